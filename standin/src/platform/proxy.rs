//! A proxy that harms the connections that pass through it.

use crate::host::free_address;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What it does with bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProxyMode {
    /// Passes them on.
    Pass,
    /// Passes them on after a while.
    Delay(Duration),
    /// Closes each connection as soon as bytes come.
    Reset,
    /// Swallows them both ways.
    Silent,
    /// Swallows what comes back.
    OneWay,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Address it listens on.
    pub address: SocketAddr,
    mode: Arc<Mutex<ProxyMode>>,
}

impl Proxy {
    /// Starts a proxy in front of `to`.
    pub fn start(to: SocketAddr) -> Proxy {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("the address was free");
        let mode = Arc::new(Mutex::new(ProxyMode::Pass));
        let shared = mode.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
                let (there, back) = (shared.clone(), shared.clone());
                std::thread::spawn(move || pass(near, far, &there, false));
                std::thread::spawn(move || pass(far2, near2, &back, true));
            }
        });
        Proxy { address, mode }
    }

    /// Returns what changes it from another thread.
    pub fn shared_mode(&self) -> Arc<Mutex<ProxyMode>> {
        self.mode.clone()
    }

    /// Changes what it does, also with open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, mode: &Mutex<ProxyMode>, is_back: bool) {
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
            ProxyMode::OneWay if is_back => continue,
            ProxyMode::OneWay => {}
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
