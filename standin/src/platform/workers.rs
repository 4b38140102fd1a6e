//! Threads that serve connections.
//!
//! On a busy machine a new thread may wait for a second until it first runs, and at times one that
//! is woken does too. Therefore threads are kept for further connections, and all that wait are
//! woken for each, so that the first to run serves it.

use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Fewest threads of a server that wait for a connection.
const MIN_WAITING: usize = 8;
/// Most threads of a server that wait for a connection; further ones end.
const MAX_WAITING: usize = 16;
/// Time in seconds after which a connection is accepted on which nothing has arrived.
const DEFER_SECONDS: libc::c_int = 1;
/// Pause after a connection could not be accepted, most likely for lack of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens on an address. Connections are accepted once their first bytes have arrived, so that
/// their threads need not be woken a second time.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let seconds = DEFER_SECONDS;
    // SAFETY: the option's value is valid for reads of the size given.
    let result = unsafe {
        libc::setsockopt(
            listener.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_DEFER_ACCEPT,
            (&raw const seconds).cast(),
            size_of::<libc::c_int>() as libc::socklen_t,
        )
    };
    if result == 0 { Ok(listener) } else { Err(io::Error::last_os_error()) }
}

/// Waits for the next connection of a listener made by [`listen`], retrying after errors.
///
/// # Errors
///
/// Returns an error if the listener was shut down.
pub fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    loop {
        match listener.accept() {
            Ok((io, _)) => return Ok(io),
            Err(e) if e.kind() == ErrorKind::WouldBlock => wait_readable(listener),
            Err(e) if e.kind() == ErrorKind::InvalidInput => return Err(e),
            Err(_) => std::thread::sleep(ACCEPT_RETRY_INTERVAL),
        }
    }
}

/// Ends all waits for connections of a listener. Connections that were accepted go on.
pub fn close(listener: &TcpListener) {
    // It fails if the listener is closed already.
    let _ = SockRef::from(listener).shutdown(Shutdown::Both);
}

fn wait_readable(listener: &TcpListener) {
    let mut fd = libc::pollfd { fd: listener.as_raw_fd(), events: libc::POLLIN, revents: 0 };
    // SAFETY: `fd` is valid for reads and writes for the duration of the call. An error leads to
    // another attempt to accept.
    unsafe { libc::poll(&raw mut fd, 1, -1) };
}

/// Server of connections, used by several threads at once.
pub trait Server: Send + Sync + 'static {
    /// Waits for the next connection; `None` once the server has stopped.
    fn accept(&self) -> Option<TcpStream>;

    /// Serves a connection to its end.
    fn serve(&self, io: TcpStream);
}

/// Serves connections until the server stops, each on a thread of its own.
pub fn start<S: Server>(server: Arc<S>) {
    let workers = Arc::new(Workers { server, waiting: AtomicUsize::new(0) });
    (0..MIN_WAITING).for_each(|_| workers.add());
}

struct Workers<S> {
    server: Arc<S>,
    /// Threads that wait for a connection or are about to.
    waiting: AtomicUsize,
}

impl<S: Server> Workers<S> {
    fn add(self: &Arc<Self>) {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let workers = self.clone();
        std::thread::spawn(move || workers.run());
    }

    /// Serves connections until the server stops or enough other threads wait.
    fn run(self: &Arc<Self>) {
        loop {
            let Some(io) = self.server.accept() else { return };
            if self.waiting.fetch_sub(1, Ordering::SeqCst) <= MIN_WAITING {
                self.add();
            }
            self.server.serve(io);
            if self.waiting.fetch_add(1, Ordering::SeqCst) >= MAX_WAITING {
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return;
            }
        }
    }
}
