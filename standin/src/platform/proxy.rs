//! TCP proxy that injects faults into the connections through it.

use crate::host::free_address;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Treatment of the bytes that pass through a proxy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProxyMode {
    /// Forwards them at once.
    Pass,
    /// Forwards each block that was read, after this delay.
    Delay(Duration),
    /// Closes a connection as soon as bytes arrive on it.
    Reset,
    /// Discards them in both directions and keeps the connections open. A connection of which
    /// bytes were discarded is reset when it is used in another mode.
    Silent,
    /// Forwards what clients send and discards what the server sends, as `Silent` does.
    OneWay,
}

/// Running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    mode: Arc<Mutex<ProxyMode>>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `server`.
    pub fn start(server: SocketAddr) -> Proxy {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("cannot listen on the free address");
        let mode = Arc::new(Mutex::new(ProxyMode::Pass));
        let shared = mode.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(server) else { continue };
                let (Ok(client_writer), Ok(server_reader)) =
                    (client.try_clone(), upstream.try_clone())
                else {
                    continue;
                };
                let link = Arc::new(Link { mode: shared.clone(), lossy: AtomicBool::new(false) });
                let to_client = link.clone();
                std::thread::spawn(move || link.forward(client, upstream, false));
                std::thread::spawn(move || to_client.forward(server_reader, client_writer, true));
            }
        });
        Proxy { address, mode }
    }

    /// Returns the mode, shared so that another thread can change it.
    pub fn shared_mode(&self) -> Arc<Mutex<ProxyMode>> {
        self.mode.clone()
    }

    /// Changes the mode, also of open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }
}

/// A connection through the proxy.
struct Link {
    mode: Arc<Mutex<ProxyMode>>,
    /// Set once bytes have been discarded. TCP cannot lose bytes in the middle of a connection, so
    /// nothing that follows them is passed on, and the connection ends with a reset.
    lossy: AtomicBool,
}

impl Link {
    fn forward(&self, mut from: TcpStream, mut to: TcpStream, is_to_client: bool) {
        let mut buf = [0; 16 << 10];
        while let Ok(n) = from.read(&mut buf) {
            if n == 0 {
                break;
            }
            let mode = *self.mode.lock().expect("no holder panics");
            match mode {
                ProxyMode::Reset => break,
                ProxyMode::Silent => {
                    self.lossy.store(true, Ordering::SeqCst);
                    continue;
                }
                ProxyMode::OneWay if is_to_client => {
                    self.lossy.store(true, Ordering::SeqCst);
                    continue;
                }
                ProxyMode::Delay(time) => std::thread::sleep(time),
                ProxyMode::Pass | ProxyMode::OneWay => {}
            }
            if self.lossy.load(Ordering::SeqCst) || to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        if self.lossy.load(Ordering::SeqCst) {
            // The thread of the other direction holds both sockets too. It ends as it reads no
            // more, and the last close sends the reset. One that is closed already needs none.
            for io in [&to, &from] {
                let _ = SockRef::from(io).set_linger(Some(Duration::ZERO));
                let _ = io.shutdown(Shutdown::Read);
            }
            return;
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
