//! TCP proxy that injects faults into the connections through it.

use crate::host::free_address;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
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
    /// Discards them in both directions and keeps the connections open.
    Silent,
    /// Forwards what clients send and discards what the server sends.
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
                let (to_server, to_client) = (shared.clone(), shared.clone());
                std::thread::spawn(move || forward(client, upstream, &to_server, false));
                std::thread::spawn(move || forward(server_reader, client_writer, &to_client, true));
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

fn forward(mut from: TcpStream, mut to: TcpStream, mode: &Mutex<ProxyMode>, is_to_client: bool) {
    let mut buf = [0; 16 << 10];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 {
            break;
        }
        let mode = *mode.lock().expect("no holder panics");
        match mode {
            ProxyMode::Pass => {}
            ProxyMode::Delay(time) => std::thread::sleep(time),
            ProxyMode::Reset => break,
            ProxyMode::Silent => continue,
            ProxyMode::OneWay if is_to_client => continue,
            ProxyMode::OneWay => {}
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
