//! Runs each stand-in server on its own thread, so that stopping it closes its sockets at once.

mod cores;
mod holder;
mod sockets;

pub use cores::use_one_core;
pub use holder::Holder;
pub use sockets::{ListedSocket, connections_to, open_sockets, scan_socket, sockets, unshared};

use actix_http::{ConnectionType, Response};
use actix_rt::System;
use skylarkthread::http::Body;
use socket2::{Domain, Socket, Type};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{OnceLock, mpsc};
use std::thread::JoinHandle;

/// A thread with its own runtime that runs a stand-in; stopped on drop.
#[derive(Debug)]
pub struct ServerThread {
    system: System,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Spawns a thread that runs the future made by `start` until the thread is stopped.
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
            system: rx.recv().expect("stand-in thread ended before it sent its system"),
            thread: Some(thread),
        }
    }

    /// Stops the stand-in without closing its connections first, as in a crash, and waits for the
    /// thread to end.
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

/// Lowest port that [`free_address`] returns; lower ones are often in use.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that [`free_address`] cycles through.
const PORT_COUNT: u16 = 20_000;

/// Returns a loopback address that is free at present and that this process has not handed out
/// before, until the ports repeat.
///
/// Each process uses a random address in 127.0.0.0/8, so that no outgoing connection takes the port
/// before the caller binds it.
pub fn free_address() -> SocketAddr {
    static NET: OnceLock<[u8; 2]> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [a, b] = *NET.get_or_init(|| [rand::random_range(1..255), rand::random()]);
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::from(([127, a, b, 1], port));
        if is_free(address) {
            return address;
        }
    }
}

/// Returns whether an address can be bound, without listening on it. A child process started by
/// another thread meanwhile inherits a copy of the socket for a while; if that socket listened, the
/// caller could not bind the address.
fn is_free(address: SocketAddr) -> bool {
    let Ok(socket) = Socket::new(Domain::IPV4, Type::STREAM, None) else { return false };
    socket.set_reuse_address(true).and_then(|()| socket.bind(&address.into())).is_ok()
}

/// Makes the body of a streamed response end with the connection in place of a last chunk.
pub fn unframe(mut response: Response<Body>) -> Response<Body> {
    response.head_mut().no_chunking(true);
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}
