//! Runs a stand-in on a thread of its own, so that stopping it closes its sockets at once.

use actix_rt::System;
use socket2::{Domain, Socket, Type};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{OnceLock, mpsc};
use std::thread::JoinHandle;

/// A running stand-in; dropped, it is stopped.
#[derive(Debug)]
pub struct ServerThread {
    system: System,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Runs what `start` returns until it ends or the host is stopped.
    pub fn spawn<F, Fut>(start: F) -> ServerThread
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
        ServerThread {
            system: rx.recv().expect("the thread sends its system first"),
            thread: Some(thread),
        }
    }

    /// Stops the stand-in as a crash would.
    pub fn stop(&mut self) {
        self.system.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

/// First port that is given out; lower ones are often in use.
const FIRST_PORT: u16 = 10_000;
/// Ports given out before the first comes again.
const PORTS: u16 = 20_000;

/// Returns a loopback address that is free and that nothing else is given.
///
/// Each process uses an address of its own in 127.0.0.0/8, where no outgoing connection takes a
/// port between the choice and the use.
pub fn free_address() -> SocketAddr {
    static NET: OnceLock<[u8; 2]> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [a, b] = *NET.get_or_init(|| [rand::random_range(1..255), rand::random()]);
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from(([127, a, b, 1], port));
        if is_free(address) {
            return address;
        }
    }
}

/// Tells whether an address can be bound, without listening on it: a child that another thread
/// starts at this moment holds a copy of the socket for a while, and only one that listens would
/// keep the address from who asked for it.
fn is_free(address: SocketAddr) -> bool {
    let Ok(socket) = Socket::new(Domain::IPV4, Type::STREAM, None) else { return false };
    socket.set_reuse_address(true).and_then(|()| socket.bind(&address.into())).is_ok()
}
