//! A child process that runs the product's binary.

use serde_json::Value;
use skylarkthread::clock;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A running daemon; killed on drop.
#[derive(Debug)]
pub struct Daemon {
    /// Address of the HTTP listener, from the settings.
    pub http: SocketAddr,
    /// Address of the listener for peers, from the settings.
    pub peer: SocketAddr,
    /// Settings file; the log is beside it, with the extension `log`.
    pub settings: PathBuf,
    child: Child,
    role: &'static str,
}

fn parse_address(settings: &Value, field: &str) -> SocketAddr {
    let text = settings[field].as_str().unwrap_or("");
    text.parse().expect("invalid address in a daemon's settings")
}

fn command(binary: &Path, role: &str, settings: &Path) -> Command {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"));
    let mut command = Command::new(binary);
    command
        .arg(role)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log.expect("cannot create the daemon's log file"));
    command
}

fn spawn(mut command: Command) -> Child {
    command.spawn().expect("cannot start the daemon's binary")
}

impl Daemon {
    /// Starts a daemon in the given role. Its settings and log are written to files in `dir`.
    pub fn start(binary: &Path, dir: &Path, role: &'static str, settings: &Value) -> Daemon {
        let name = settings["instance"].as_str().unwrap_or("daemon");
        let file = dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("cannot write the daemon's settings");
        Daemon {
            http: parse_address(settings, "http"),
            peer: parse_address(settings, "peer"),
            child: spawn(command(binary, role, &file)),
            role,
            settings: file,
        }
    }

    /// Kills the daemon if it still runs, and starts it again with the same settings.
    pub fn restart(&mut self, binary: &Path) {
        self.restart_prepared(binary, |_| {});
    }

    /// Kills the daemon if it still runs, and starts it again by the command that `prepare` gets.
    pub fn restart_prepared(&mut self, binary: &Path, prepare: impl FnOnce(&mut Command)) {
        self.kill();
        let mut command = command(binary, self.role, &self.settings);
        prepare(&mut command);
        self.child = spawn(command);
    }

    /// Returns the process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the identifier belongs to a child that has not been waited for, so that the
        // system cannot have reused it.
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    /// Kills the daemon with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests an orderly shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Pauses the daemon with SIGSTOP.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a paused daemon with SIGCONT.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Waits for the daemon to end; returns its exit code, or `None` after `timeout` or if a signal
    /// ended it.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<i32> {
        let end = clock::now() + timeout;
        while clock::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
