//! Front of a store that is faulty at first, and then passes connections on to the store.

use super::read_request;
use super::workers;
use crate::host::free_address;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval between two bytes of an answer that comes slowly.
const BYTE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a silent connection looks for the end of the fault.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a store fails that has just been started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreFault {
    /// Nothing listens.
    Absent,
    /// Connections are accepted, and nothing is answered.
    Silent,
    /// Connections are closed when a request has come.
    Closing,
    /// An answer comes byte by byte.
    Slow,
    /// Requests get this status.
    Status(u16),
    /// Requests get this body with status 200.
    Body(&'static str),
    /// Requests get a part of the body that is announced.
    Cut,
    /// Connections that were accepted get no answer, also after the fault.
    Lost,
    /// Requests reach the store after this time.
    Late(Duration),
    /// Requests whose target contains this text reach the store at once, and are answered after this time.
    LateAnswer(&'static str, Duration),
    /// The first of this many connections is closed when a request has come, and so on.
    OneIn(usize),
    /// Requests whose target contains this text get this status.
    Target(&'static str, u16),
    /// Requests whose target contains this text get no answer.
    SilentTarget(&'static str),
    /// Of a hundred requests, about this number get this status.
    Share(u32, u16),
}

impl StoreFault {
    /// Returns whether the store answers a request itself, which begins with `head` and is the `n`th one.
    fn spares(self, head: &[u8], n: u32) -> bool {
        let contains = |text: &str| head.windows(text.len()).any(|w| w == text.as_bytes());
        match self {
            StoreFault::Target(text, _)
            | StoreFault::SilentTarget(text)
            | StoreFault::LateAnswer(text, _) => !contains(text),
            // Spreads the failures without a pattern that calls in a fixed order could meet.
            StoreFault::Share(share, _) => (n.wrapping_mul(0x9e37_79b9) >> 16) % 100 >= share,
            _ => false,
        }
    }

    /// Returns whether the fault depends on the request.
    fn is_selective(self) -> bool {
        use StoreFault::{LateAnswer, Share, SilentTarget, Target};
        matches!(self, Target(..) | SilentTarget(_) | Share(..) | LateAnswer(..))
    }
}

/// Running front.
#[derive(Debug)]
pub struct StoreFront {
    /// Address of the front.
    pub address: SocketAddr,
    store: SocketAddr,
    is_faulty: Arc<AtomicBool>,
    fault: StoreFault,
}

impl StoreFront {
    /// Starts a front of `store` with a fault.
    pub fn start(store: SocketAddr, fault: StoreFault) -> StoreFront {
        let is_faulty = Arc::new(AtomicBool::new(true));
        let front = StoreFront { address: free_address(), store, is_faulty, fault };
        if fault != StoreFault::Absent {
            front.listen();
        }
        front
    }

    /// Ends the fault.
    pub fn mend(&self) {
        self.is_faulty.store(false, Ordering::Relaxed);
        if self.fault == StoreFault::Absent {
            self.listen();
        }
    }

    /// Begins the fault again, for connections that are accepted from now on.
    pub fn relapse(&self) {
        self.is_faulty.store(true, Ordering::Relaxed);
    }

    fn listen(&self) {
        let listener: TcpListener =
            workers::listen(self.address).expect("cannot listen on the free address");
        let (store, fault, is_faulty) = (self.store, self.fault, self.is_faulty.clone());
        std::thread::spawn(move || {
            for (n, client) in listener.incoming().flatten().enumerate() {
                let is_faulty = is_faulty.clone();
                std::thread::spawn(move || {
                    let fault = is_faulty.load(Ordering::Relaxed).then_some(fault);
                    match fault {
                        Some(StoreFault::OneIn(all)) if n % all != 0 => {
                            pass_on(client, store, Duration::ZERO);
                        }
                        Some(fault)
                            if fault.is_selective() && fault.spares(&head(&client), n as u32) =>
                        {
                            pass_on(client, store, Duration::ZERO);
                        }
                        Some(StoreFault::LateAnswer(_, delay)) => pass_on(client, store, delay),
                        Some(StoreFault::Late(delay)) => {
                            std::thread::sleep(delay);
                            pass_on(client, store, Duration::ZERO);
                        }
                        Some(fault) => fail(client, fault, &is_faulty),
                        None => pass_on(client, store, Duration::ZERO),
                    }
                });
            }
        });
    }
}

/// Returns the head of the first request of a connection, which stays unread.
fn head(client: &TcpStream) -> Vec<u8> {
    let mut buf = vec![0; 16 << 10];
    loop {
        let n = client.peek(&mut buf).unwrap_or(0);
        if n == 0 || buf[..n].windows(4).any(|w| w == b"\r\n\r\n") {
            buf.truncate(n);
            return buf;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Fails the requests of a connection until the fault ends or the connection does.
fn fail(client: TcpStream, fault: StoreFault, is_faulty: &AtomicBool) {
    let Ok(mut writer) = client.try_clone() else { return };
    let mut reader = BufReader::new(client);
    while read_request(&mut reader).is_some() {
        let is_open = answer(&mut writer, fault, is_faulty);
        if !is_open || !is_faulty.load(Ordering::Relaxed) {
            return;
        }
    }
}

/// Answers a request; returns whether the connection stays open.
fn answer(io: &mut TcpStream, fault: StoreFault, is_faulty: &AtomicBool) -> bool {
    let respond = |io: &mut TcpStream, status: u16, length: usize, body: &str| {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n");
        io.write_all((head + body).as_bytes()).is_ok()
    };
    match fault {
        StoreFault::Absent | StoreFault::Silent | StoreFault::SilentTarget(_) => {
            while is_faulty.load(Ordering::Relaxed) {
                std::thread::sleep(CHECK_INTERVAL);
            }
            false
        }
        // The connection is closed by the other side.
        StoreFault::Lost => io.peek(&mut [0]).is_ok_and(|n| n > 0),
        StoreFault::Closing
        | StoreFault::Late(_)
        | StoreFault::LateAnswer(..)
        | StoreFault::OneIn(_) => false,
        StoreFault::Status(status)
        | StoreFault::Target(_, status)
        | StoreFault::Share(_, status) => respond(io, status, 4, "null"),
        StoreFault::Body(body) => respond(io, 200, body.len(), body),
        StoreFault::Cut => {
            let _ = respond(io, 200, 1000, r#"{"items":[{"key":"op/config","#);
            false
        }
        StoreFault::Slow => {
            let text = "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n";
            let bytes = text.bytes().chain(std::iter::repeat_n(b' ', 50_000));
            for byte in bytes.take_while(|_| is_faulty.load(Ordering::Relaxed)) {
                if io.write_all(&[byte]).is_err() {
                    break;
                }
                std::thread::sleep(BYTE_INTERVAL);
            }
            false
        }
    }
}

/// Passes a connection on to the store, whose answers begin after a delay.
fn pass_on(client: TcpStream, store: SocketAddr, delay: Duration) {
    let Ok(upstream) = TcpStream::connect(store) else { return };
    let (Ok(client_copy), Ok(upstream_copy)) = (client.try_clone(), upstream.try_clone()) else {
        return;
    };
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        copy(upstream_copy, client_copy);
    });
    copy(client, upstream);
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Write);
}
