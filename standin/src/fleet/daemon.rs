//! One process of the real binary.

use serde_json::Value;
use skylarkthread::clock;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A running daemon; dropped, it is killed.
#[derive(Debug)]
pub struct Daemon {
    /// Address for HTTP.
    pub http: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    child: Child,
    role: &'static str,
    settings: PathBuf,
}

fn address(settings: &Value, field: &str) -> SocketAddr {
    let text = settings[field].as_str().unwrap_or("");
    text.parse().expect("a fleet's addresses are valid")
}

fn spawn(binary: &Path, role: &str, settings: &Path) -> Child {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"));
    Command::new(binary)
        .arg(role)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log.expect("the fleet's folder takes files"))
        .spawn()
        .expect("the binary runs")
}

impl Daemon {
    /// Starts a daemon from its settings, which are written to `dir`.
    pub fn start(binary: &Path, dir: &Path, role: &'static str, settings: &Value) -> Daemon {
        let name = settings["instance"].as_str().unwrap_or("daemon");
        let file = dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("the fleet's folder takes files");
        Daemon {
            http: address(settings, "http"),
            peer: address(settings, "peer"),
            child: spawn(binary, role, &file),
            role,
            settings: file,
        }
    }

    /// Starts a new run of a daemon that has ended.
    pub fn restart(&mut self, binary: &Path) {
        self.kill();
        self.child = spawn(binary, self.role, &self.settings);
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: i32) {
        // SAFETY: the id is that of a child that has not been waited for, so it is not reused.
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the daemon to stop.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Pauses the daemon.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a paused daemon go on.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Waits for the daemon to end; returns its exit code, or `None` after `wait`.
    pub fn wait_exit(&mut self, wait: Duration) -> Option<i32> {
        let end = clock::now() + wait;
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
