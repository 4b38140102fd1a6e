//! Runs the gateway binary as a process, with a settings file in the platform's form.

use super::{send, try_send};
use crate::host::{ListedSocket, free_address, open_sockets};
use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Number in the name of the next gateway of this process.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Bounds that the platform sets for the retries of all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryTerms {
    /// Retries for each request.
    pub ratio: f64,
    /// Time over which retries and requests are counted.
    pub window: Duration,
    /// Retries beyond the ratio.
    pub slack: f64,
}

impl RetryTerms {
    /// Bounds of gateways that are started without any.
    pub const DEFAULT: RetryTerms =
        RetryTerms { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0 };
}

/// Memory and descriptors that a gateway may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Memory in units of 1,000,000 bytes.
    pub memory_mb: u32,
    /// File descriptors.
    pub max_fds: u32,
}

impl Limits {
    /// Limits of gateways that are started without any.
    pub const DEFAULT: Limits = Limits { memory_mb: 110, max_fds: 4100 };
}

/// Addresses on which a gateway listens.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// Address that serves callers.
    pub front: SocketAddr,
    /// Address that serves the readiness check.
    pub ready: SocketAddr,
    /// Address that serves other instances, over TCP and UDP.
    pub internal: SocketAddr,
    /// Address that serves readiness and metrics.
    pub metrics: Option<SocketAddr>,
}

impl Listen {
    /// Returns free addresses, without one for metrics.
    pub fn free() -> Listen {
        let (front, ready, internal) = (free_address(), free_address(), free_address());
        Listen { front, ready, internal, metrics: None }
    }

    /// Returns free addresses, one of them for metrics.
    pub fn with_metrics() -> Listen {
        Listen { metrics: Some(free_address()), ..Listen::free() }
    }

    fn metrics_port(&self) -> Option<u16> {
        self.metrics.map(|address| address.port())
    }
}

/// Gateway process, killed on drop.
#[derive(Debug)]
pub struct Gateway {
    /// Address that serves callers.
    pub front: SocketAddr,
    /// Address that serves the readiness check.
    pub ready: SocketAddr,
    /// Address that serves other instances.
    pub internal: SocketAddr,
    /// Settings file; the log is beside it, with the extension `log`.
    pub settings_file: PathBuf,
    /// Port that serves readiness and metrics, if there is one.
    metrics: Option<u16>,
    binary: PathBuf,
    child: Child,
    /// Whether the log goes to a pipe that nothing reads, instead of a file.
    piped: bool,
}

/// Polls until `is_true` returns true, at least once and for at most `timeout`; returns whether it
/// did.
pub fn wait_until(timeout: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    loop {
        if is_true() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(15));
    }
}

impl Gateway {
    /// Starts a gateway that uses the store and logs to a file.
    pub fn start(binary: &Path, store: SocketAddr) -> Gateway {
        Gateway::launch(binary, store, false, &RetryTerms::DEFAULT, Limits::DEFAULT)
    }

    /// Starts a gateway with these bounds of retries.
    pub fn start_with(binary: &Path, store: SocketAddr, terms: &RetryTerms) -> Gateway {
        Gateway::launch(binary, store, false, terms, Limits::DEFAULT)
    }

    /// Starts a gateway whose log goes to a pipe that nothing reads.
    pub fn start_piped(binary: &Path, store: SocketAddr) -> Gateway {
        Gateway::launch(binary, store, true, &RetryTerms::DEFAULT, Limits::DEFAULT)
    }

    /// Starts a gateway with these limits; `piped` as for [`Gateway::start_piped`].
    pub fn start_limited(binary: &Path, store: SocketAddr, limits: Limits, piped: bool) -> Gateway {
        Gateway::launch(binary, store, piped, &RetryTerms::DEFAULT, limits)
    }

    /// Starts a gateway on these addresses, without waiting until it listens.
    pub fn start_on(binary: &Path, store: SocketAddr, listen: Listen) -> Gateway {
        Gateway::spawn_new(binary, store, false, &RetryTerms::DEFAULT, Limits::DEFAULT, listen)
    }

    fn launch(
        binary: &Path,
        store: SocketAddr,
        piped: bool,
        terms: &RetryTerms,
        limits: Limits,
    ) -> Gateway {
        let gateway = Gateway::spawn_new(binary, store, piped, terms, limits, Listen::free());
        assert!(
            gateway.accepts_connections(),
            "the gateway does not accept connections within 5 s of its start"
        );
        gateway
    }

    fn spawn_new(
        binary: &Path,
        store: SocketAddr,
        piped: bool,
        terms: &RetryTerms,
        limits: Limits,
        listen: Listen,
    ) -> Gateway {
        let place = Place::new(listen);
        let text = settings(&place, store, terms, limits);
        std::fs::write(&place.settings_file, text + FIRST_START)
            .expect("cannot write the settings file");
        let child = spawn(binary, &place.settings_file, piped, listen.metrics_port());
        Gateway::at(place, binary, child, piped)
    }

    /// Starts a gateway without waiting until it accepts connections. `prepare` gets the command, the
    /// path of the settings file, which is not there yet, and the text for it.
    pub fn start_prepared(
        binary: &Path,
        store: SocketAddr,
        prepare: impl FnOnce(&mut Command, &Path, &str),
    ) -> Gateway {
        let place = Place::new(Listen::free());
        let text = settings(&place, store, &RetryTerms::DEFAULT, Limits::DEFAULT);
        let mut command = command(binary, &place.settings_file, false, None);
        prepare(&mut command, &place.settings_file, &(text + FIRST_START));
        let child = command.spawn().expect("cannot start the gateway binary");
        Gateway::at(place, binary, child, false)
    }

    fn at(place: Place, binary: &Path, child: Child, piped: bool) -> Gateway {
        let Place { listen, settings_file, .. } = place;
        let Listen { front, ready, internal, .. } = listen;
        let (metrics, binary) = (listen.metrics_port(), binary.to_owned());
        Gateway { front, ready, internal, settings_file, metrics, binary, child, piped }
    }

    /// Kills the process if it still runs, and starts it again.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let text = std::fs::read_to_string(&self.settings_file);
        let text = text.expect("cannot read the settings file").replace(FIRST_START, "");
        // A busy disk delays a rewrite of a file for seconds, a new file hardly.
        let new = self.settings_file.with_extension("new");
        std::fs::write(&new, text)
            .and_then(|()| std::fs::rename(&new, &self.settings_file))
            .expect("cannot write the settings file");
        self.child = spawn(&self.binary, &self.settings_file, self.piped, self.metrics);
        assert!(
            self.accepts_connections(),
            "the gateway does not accept connections within 5 s of its restart"
        );
    }

    fn accepts_connections(&self) -> bool {
        wait_until(Duration::from_secs(5), || TcpStream::connect(self.front).is_ok())
    }

    /// Returns the id of the process, which a restart changes.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` accesses no memory of this process. The id is not reused, since the child
        // has not been waited for.
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    /// Returns the resident memory of the process in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process runs");
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let number = line.and_then(|l| l.split_whitespace().next());
        number.and_then(|n| n.parse().ok()).expect("the kernel reports the resident memory")
    }

    /// Returns the number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let dir = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        dir.expect("the process runs").count()
    }

    /// Returns the bytes in KiB that the kernel holds for connections to the gateway's addresses for
    /// callers and probes: received and unread, or sent and not taken.
    pub fn queued_kib(&self) -> u64 {
        let ports = [self.front.port(), self.ready.port()];
        let own = |s: &ListedSocket| ports.contains(&s.local.port());
        open_sockets().iter().filter(|s| own(s)).map(|s| s.sent + s.received).sum::<u64>() / 1024
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("cannot wait for the gateway process").is_some()
    }

    /// Returns the status of the readiness check; 0 if it gets no response, or no connection.
    pub fn probe(&self) -> u16 {
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        try_send(self.ready, request).map_or(0, |mut sent| sent.reply().status)
    }

    /// Returns the bytes in KiB that the kernel has received on connections to this address, of any
    /// process of this machine, and that are unread.
    pub fn unread_kib(&self, from: SocketAddr) -> u64 {
        let unread = |s: &ListedSocket| (s.remote.port() == from.port()).then_some(s.received);
        open_sockets().iter().filter_map(unread).sum::<u64>() / 1024
    }

    /// Returns the status of the readiness check; 0 if it gets no response.
    pub fn readiness(&self) -> u16 {
        send(self.ready, b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .reply()
            .status
    }

    /// Returns the exit code of the process, or `None` if it still runs after `secs` seconds or was
    /// ended by a signal.
    pub fn wait_for_exit(&mut self, secs: u64) -> Option<i32> {
        let child = &mut self.child;
        let mut code = None;
        wait_until(Duration::from_secs(secs), || {
            code = child.try_wait().expect("cannot wait for the gateway process");
            code.is_some()
        });
        code.and_then(|c| c.code())
    }

    /// Kills the process and returns its log.
    pub fn into_log(mut self) -> String {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::fs::read_to_string(self.settings_file.with_extension("log"))
            .expect("cannot read the log as UTF-8")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Name, addresses and settings file of a gateway.
struct Place {
    name: String,
    listen: Listen,
    settings_file: PathBuf,
}

impl Place {
    fn new(listen: Listen) -> Place {
        let name = format!("g-{}", NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
        let dir = std::env::temp_dir().join(format!("gateway-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("cannot create the directory for the settings");
        let settings_file = dir.join(format!("{name}.conf"));
        Place { name, listen, settings_file }
    }
}

fn spawn(binary: &Path, file: &Path, piped: bool, metrics: Option<u16>) -> Child {
    command(binary, file, piped, metrics).spawn().expect("cannot start the gateway binary")
}

fn command(binary: &Path, file: &Path, piped: bool, metrics: Option<u16>) -> Command {
    let log = File::options().create(true).append(true).open(file.with_extension("log"));
    let log = log.expect("cannot open the log file");
    let mut command = Command::new(binary);
    command
        .arg("gateway")
        .args(metrics.map(|port| format!("--metrics={port}")))
        .env("SKYLARKTHREAD_BOOT", file)
        .stdin(Stdio::null())
        .stdout(if piped { Stdio::piped() } else { Stdio::from(log) })
        .stderr(Stdio::inherit());
    command
}

/// Line of the settings file that is there only at the first start.
const FIRST_START: &str = "bootstrap=true\n";

/// Returns a settings file, with one key that the gateway does not know.
fn settings(place: &Place, store: SocketAddr, terms: &RetryTerms, limits: Limits) -> String {
    let Limits { memory_mb, max_fds } = limits;
    let Place { name, listen, .. } = place;
    let Listen { front, ready, internal, .. } = listen;
    let (ip, port) = (internal.ip(), internal.port());
    let (ratio, window, slack) = (terms.ratio, terms.window.as_secs_f64(), terms.slack);
    format!(
        "node={name}\nclass=front\nip={ip}\nzone=z-a\nlisten.front={front}\nlisten.ready={ready}\n\
        internal_port_range={port},{port}\nlimits.memory_mb={memory_mb}\n\
        limits.max_fds={max_fds}\n\
        bounds.grace_s=4\nbounds.retry_budget_ratio={ratio}\nbounds.budget_window_s={window}\n\
        bounds.budget_slack={slack}\nbounds.pass_ms=120\n\
        platform.address={store}\nnew.field=1\n"
    )
}
