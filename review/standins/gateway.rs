//! Processes of the program under review, and the platform's view of their readiness.

use super::http;
use super::record::Record;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// All processes that were started.
static PROCESSES: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started and still run.
pub fn end_all() {
    for process in PROCESSES.lock().expect("no holder panics").iter() {
        let mut child = process.lock().expect("no holder panics");
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A front machine, on which one process runs.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// Whether new connections are sent to it.
    pub in_rotation: AtomicBool,
    settings: PathBuf,
    binary: String,
    metrics: u16,
    child: Mutex<Option<Arc<Mutex<Child>>>>,
}

fn free_port() -> std::io::Result<u16> {
    loop {
        let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
}

impl Machine {
    /// Writes the settings of a machine, with the bounds of the small site.
    pub fn new(
        binary: &str,
        dir: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> std::io::Result<Machine> {
        let ports = [free_port()?, free_port()?, free_port()?, free_port()?];
        let at = |i: usize| SocketAddr::from(([127, 0, 0, 1], ports[i]));
        let settings = dir.join(format!("{name}.conf"));
        let text = format!(
            "node={name}\nrole=entry\nclass=front\nserves=front\nip=127.0.0.1\nzone={zone}\nregion=cymru-de\n\
            listen.front={}\nlisten.ready={}\ninternal_port_range={},{}\nbootstrap=true\nlimits.cpu_share=0.19\n\
            limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
            heartbeat_ms=1200\nbounds.stable_window_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
            bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\n\
            bounds.budget_window_s=10\nbounds.budget_slack=52\nbounds.recover_s=12\nbounds.pass_ms=120\n\
            platform.address={store}\nplatform.form=kv\n",
            at(0),
            at(1),
            ports[2],
            ports[2]
        );
        std::fs::write(&settings, text)?;
        let m = Machine {
            name: name.into(),
            zone: zone.into(),
            front: at(0),
            ready: at(1),
            in_rotation: AtomicBool::new(false),
            settings,
            binary: binary.into(),
            metrics: ports[3],
            child: Mutex::new(None),
        };
        m.start()?;
        Ok(m)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) -> std::io::Result<()> {
        let log =
            File::options().create(true).append(true).open(self.settings.with_extension("log"))?;
        let child = Command::new(&self.binary)
            .args(["gateway", "--metrics", &self.metrics.to_string()])
            .env("SKYLARKTHREAD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        let child = Arc::new(Mutex::new(child));
        PROCESSES.lock().expect("no holder panics").push(child.clone());
        *self.child.lock().expect("no holder panics") = Some(child);
        Ok(())
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        if let Some(c) = &*self.child.lock().expect("no holder panics") {
            let id = c.lock().expect("no holder panics").id();
            let _ = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).status();
        }
    }

    /// Waits until the process has ended; kills it after `grace`, as the platform does.
    pub fn wait(&self, grace: Duration) -> String {
        let end = Instant::now() + grace;
        let child = self.child.lock().expect("no holder panics");
        let Some(c) = child.as_ref() else { return "not running".into() };
        let mut c = c.lock().expect("no holder panics");
        while Instant::now() < end {
            if let Ok(Some(status)) = c.try_wait() {
                return status.to_string();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = c.kill();
        let _ = c.wait();
        "killed at the end of grace_s".into()
    }

    fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut io = http::connect(self.ready)?;
            io.set_read_timeout(Some(Duration::from_millis(900)))?;
            io.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(http::read(&mut BufReader::new(io))?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }
}

/// Asks a machine once a second whether it is ready: two misses take it out, a 200 back in.
pub fn probe(m: Arc<Machine>, record: Record) {
    std::thread::spawn(move || {
        let mut misses = 0;
        loop {
            let next = Instant::now() + Duration::from_secs(1);
            misses = if m.is_ready() { 0 } else { misses + 1 };
            let was = m.in_rotation.load(Ordering::SeqCst);
            let is = misses == 0 || was && misses < 2;
            if is != was {
                m.in_rotation.store(is, Ordering::SeqCst);
                record.line(&format!("platform: {} in rotation: {is}", m.name));
            }
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    });
}

/// The machine that gets a client's new connection, as PROTOCOL.md says under "Ingress".
pub fn choose<'m>(all: &'m [Arc<Machine>], zone: &str, hash: usize) -> &'m Arc<Machine> {
    let is_in = |m: &&Arc<Machine>| m.in_rotation.load(Ordering::SeqCst);
    let own: Vec<_> = all.iter().filter(|m| m.zone == zone).collect();
    let ready: Vec<_> = own.iter().copied().filter(is_in).collect();
    let others: Vec<_> = all.iter().filter(|m| m.zone != zone).filter(is_in).collect();
    let from = if !ready.is_empty() && ready.len() * 2 >= own.len() {
        ready
    } else if ready.is_empty() && !others.is_empty() {
        others
    } else {
        own
    };
    from[hash % from.len()]
}
