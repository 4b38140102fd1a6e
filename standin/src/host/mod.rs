//! Runs a stand-in on a thread of its own, so that stopping it closes its sockets at once.

use actix_rt::System;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::JoinHandle;

/// A running stand-in; dropped, it is stopped.
#[derive(Debug)]
pub struct Host {
    system: System,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Runs what `start` returns until it ends or the host is stopped.
    pub fn run<F, Fut>(start: F) -> Host
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let (tx, rx) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runner = System::new();
            let system = System::current();
            runner.runtime().spawn(start());
            let _ = tx.send(system);
            let _ = runner.run();
        });
        Host { system: rx.recv().expect("the thread sends its system first"), thread: Some(thread) }
    }

    /// Stops the stand-in as a crash would.
    pub fn stop(&mut self) {
        self.system.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns a loopback address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("a bound socket has an address")
}
