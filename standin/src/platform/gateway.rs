//! The real gateway as a process, with settings as the platform writes them.

use super::send;
use crate::host::free_address;
use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A gateway process; dropped, it is killed.
#[derive(Debug)]
pub struct Gateway {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for readiness.
    pub ready: SocketAddr,
    /// Address for other instances.
    pub internal: SocketAddr,
    /// Settings file.
    pub settings_file: PathBuf,
    binary: PathBuf,
    child: Child,
    /// Tells that its log goes into a pipe that nobody reads, not into a file.
    piped: bool,
}

/// Polls until `is_true`, for at most `time`.
pub fn wait_until(time: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if is_true() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(15));
    }
    false
}

impl Gateway {
    /// Starts a gateway on the store; its log goes beside its settings.
    pub fn start(binary: &Path, store: SocketAddr) -> Gateway {
        Gateway::launch(binary, store, false)
    }

    /// Starts a gateway whose log goes into a pipe that nobody reads.
    pub fn start_piped(binary: &Path, store: SocketAddr) -> Gateway {
        Gateway::launch(binary, store, true)
    }

    fn launch(binary: &Path, store: SocketAddr, piped: bool) -> Gateway {
        let (front, ready, internal) = (free_address(), free_address(), free_address());
        let name = format!("g-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let dir = std::env::temp_dir().join(format!("gateway-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder can be made");
        let settings_file = dir.join(format!("{name}.conf"));
        std::fs::write(&settings_file, settings(&name, [front, ready, internal], store))
            .expect("it can be written");
        let child = spawn(binary, &settings_file, piped);
        let gateway = Gateway {
            front,
            ready,
            internal,
            settings_file,
            binary: binary.to_owned(),
            child,
            piped,
        };
        assert!(gateway.accepts_connections(), "the gateway listens");
        gateway
    }

    /// Starts a new run after the last one has ended or is killed.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.binary, &self.settings_file, self.piped);
        assert!(self.accepts_connections(), "the gateway listens again");
    }

    fn accepts_connections(&self) -> bool {
        wait_until(Duration::from_secs(5), || TcpStream::connect(self.front).is_ok())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the id is that of a child that has not been waited for, so it is not reused.
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    /// Tells what it says when it is asked for readiness.
    pub fn readiness(&self) -> u16 {
        send(self.ready, b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .reply()
            .status
    }

    /// Waits for the process to end; returns its exit code.
    pub fn wait_for_exit(&mut self, secs: u64) -> Option<i32> {
        let child = &mut self.child;
        let mut code = None;
        wait_until(Duration::from_secs(secs), || {
            code = child.try_wait().expect("the child can be waited for");
            code.is_some()
        });
        code.and_then(|c| c.code())
    }

    /// Returns what it has logged; it is killed for that.
    pub fn into_log(mut self) -> String {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::fs::read_to_string(self.settings_file.with_extension("log")).expect("the log is text")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(binary: &Path, file: &Path, piped: bool) -> Child {
    let log = File::options().create(true).append(true).open(file.with_extension("log"));
    let log = log.expect("the folder takes files");
    Command::new(binary)
        .arg("gateway")
        .env("SKYLARKTHREAD_BOOT", file)
        .stdin(Stdio::null())
        .stdout(if piped { Stdio::piped() } else { Stdio::from(log) })
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the binary runs")
}

fn settings(name: &str, own: [SocketAddr; 3], store: SocketAddr) -> String {
    let [front, ready, internal] = own;
    let (ip, port) = (internal.ip(), internal.port());
    format!(
        "node={name}\nclass=front\nip={ip}\nzone=z-a\nlisten.front={front}\nlisten.ready={ready}\n\
        internal_port_range={port},{port}\nlimits.memory_mb=110\nlimits.max_fds=4100\n\
        bounds.grace_s=4\nbounds.retry_budget_ratio=0.2\nbounds.pass_ms=120\n\
        platform.address={store}\nnew.field=1\n"
    )
}
