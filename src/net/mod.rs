//! Opens listening sockets, whose addresses may be in use for a time, and connects to servers.

mod acceptor;
mod retry;
mod share;

pub use acceptor::{Accept, Acceptor};
pub use retry::{Failures, Step};
pub use share::share_ports;

use crate::clock;
use crate::event::Kind;
use actix_rt::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Connections that the kernel keeps until they are accepted.
const BACKLOG: u32 = 1024;

/// What an address is listened on for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Purpose {
    /// Requests of callers.
    Callers,
    /// Checks for readiness.
    Probes,
    /// Metrics, and readiness too.
    Metrics,
    /// Connections of other processes of the system.
    PeerConnections,
    /// Datagrams of other instances.
    PeerDatagrams,
}

impl Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Purpose::Callers => "callers",
            Purpose::Probes => "probes",
            Purpose::Metrics => "metrics",
            Purpose::PeerConnections => "peer-connections",
            Purpose::PeerDatagrams => "peer-datagrams",
        })
    }
}

/// Way to open a listening socket.
pub trait Open<T, E>: Copy {
    /// Opens a socket on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    fn open(self, address: SocketAddr) -> Result<T, E>;
}

impl<T, E> Open<T, E> for fn(SocketAddr) -> Result<T, E> {
    fn open(self, address: SocketAddr) -> Result<T, E> {
        self(address)
    }
}

/// Bounds on what the kernel holds for connections, in force before the first of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Size of the buffer for received bytes of each connection.
    pub receive: u32,
    /// Size of the buffer for sent bytes of each connection.
    pub send: u32,
    /// Connections that are kept until they are accepted.
    pub backlog: u32,
}

impl Open<TcpListener, io::Error> for Bounds {
    fn open(self, address: SocketAddr) -> io::Result<TcpListener> {
        let socket = reusable_socket(address)?;
        let bounded = socket
            .set_recv_buffer_size(self.receive)
            .and_then(|()| socket.set_send_buffer_size(self.send));
        if let Err(e) = bounded {
            log::warn!("the kernel's buffers on {address} could not be bounded: {e}");
        }
        socket.bind(address)?;
        socket.listen(self.backlog)
    }
}

/// A listening socket that is being opened.
#[derive(Debug)]
pub struct Opening<T, E = io::Error, O = fn(SocketAddr) -> Result<T, E>> {
    address: SocketAddr,
    purpose: Purpose,
    failures: Failures,
    open: O,
    /// Outcome of an attempt that has not been handled yet.
    tried: Option<Result<T, E>>,
}

impl<T, E: Display> Opening<T, E> {
    /// Makes the first attempt.
    pub fn start(
        address: SocketAddr,
        purpose: Purpose,
        open: fn(SocketAddr) -> Result<T, E>,
    ) -> Self {
        Opening::start_with(address, purpose, open)
    }
}

impl<T, E: Display, O: Open<T, E>> Opening<T, E, O> {
    /// Makes the first attempt, like all later ones in this way.
    pub fn start_with(address: SocketAddr, purpose: Purpose, open: O) -> Self {
        let failures = Failures::new(clock::now());
        Opening { address, purpose, failures, open, tried: Some(open.open(address)) }
    }

    /// Tries until the socket is open. Events are passed to `record` with subject and detail.
    pub async fn finish(&mut self, record: &impl Fn(Kind, &str, &str)) -> T {
        loop {
            let tried = self.tried.take().unwrap_or_else(|| self.open.open(self.address));
            match tried {
                Ok(socket) => {
                    self.report(Kind::Listening, "", record);
                    return socket;
                }
                Err(e) => {
                    let step = self.failures.record(clock::now());
                    if step.is_reported {
                        self.report(Kind::PortBusy, &format!(" why={:?}", e.to_string()), record);
                    }
                    tokio::time::sleep(jitter(step.delay)).await;
                }
            }
        }
    }

    fn report(&self, kind: Kind, why: &str, record: &impl Fn(Kind, &str, &str)) {
        let waited = self.failures.elapsed(clock::now()).as_millis();
        let (purpose, count) = (self.purpose, self.failures.count());
        let detail = format!("for={purpose} waited_ms={waited} failures={count}{why}");
        record(kind, &self.address.to_string(), &detail);
    }
}

/// Listens for connections.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = reusable_socket(address)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Binds a socket for datagrams.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Connects to a server. A listener can be opened on the local port of the connection.
///
/// # Errors
///
/// Returns an error if the connection is not established.
pub async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    reusable_socket(to)?.connect(to).await
}

/// Connects like [`connect`], with this size of the kernel's buffer for received bytes.
///
/// # Errors
///
/// Returns an error if the connection is not established.
pub async fn connect_bounded(to: SocketAddr, receive: u32) -> io::Result<TcpStream> {
    let socket = reusable_socket(to)?;
    if let Err(e) = socket.set_recv_buffer_size(receive) {
        log::debug!("setting SO_RCVBUF failed: {e}");
    }
    socket.connect(to).await
}

/// Opens a socket whose port, once it no longer listens, does not keep others from listening there.
fn reusable_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

/// Receives a datagram. After an error that a later attempt may not meet, it pauses and goes on.
///
/// # Errors
///
/// Returns an error if the socket is of no use any more.
pub async fn receive(
    socket: &UdpSocket,
    buf: &mut [u8],
    failures: &mut Failures,
) -> io::Result<(usize, SocketAddr)> {
    loop {
        match socket.recv_from(buf).await {
            Ok(received) => {
                failures.reset();
                return Ok(received);
            }
            Err(e) => {
                let step = failures.record(clock::now());
                if step.is_reported {
                    log::warn!("receiving datagrams failed: {e}");
                }
                tokio::time::sleep(step.delay).await;
                if is_broken(&e) {
                    return Err(e);
                }
            }
        }
    }
}

/// Returns whether a listening socket is of no use any more after this error.
pub fn is_broken(e: &io::Error) -> bool {
    let broken = [libc::EBADF, libc::EINVAL, libc::ENOTSOCK, libc::EOPNOTSUPP];
    e.raw_os_error().is_some_and(|code| broken.contains(&code))
}

/// Varies a duration randomly by up to a quarter either way.
fn jitter(duration: Duration) -> Duration {
    duration.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}
