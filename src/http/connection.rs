//! Connections of callers, whose request bodies have a limited time to arrive, and of which malformed
//! bytes do not reach the server.

use super::screen::Screen;
use crate::event::{self, Kind};
use actix_rt::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::Notify;

/// Time limit for a caller to send the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after [`BODY_TIMEOUT`] for the caller to get the refusal before its connection is closed.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time to wait for the caller to close its side after a refusal.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer for bytes that are not used.
const DISCARD_BYTES: usize = 8 << 10;

/// Time limit of the body that a connection is sending.
///
/// The server reads on what remains of a body after an answer, so a limit of the one that handles the
/// request is not enough.
#[derive(Debug, Default)]
pub struct BodyLimit {
    /// When the connection is closed; `None` while no body is expected.
    end: Cell<Option<Instant>>,
    /// Notified when `end` changes.
    changed: Notify,
}

impl BodyLimit {
    /// Starts the time of a request that was read at `now`.
    pub fn begin(&self, now: Instant, has_body: bool) {
        self.set(has_body.then(|| now + BODY_TIMEOUT + ANSWER_TIME));
    }

    /// Ends the time, as the body has arrived.
    pub fn finish(&self) {
        self.set(None);
    }

    fn set(&self, end: Option<Instant>) {
        self.end.set(end);
        self.changed.notify_one();
    }

    /// Waits until a body has not arrived in time.
    pub async fn passed(&self) {
        loop {
            let changed = self.changed.notified();
            match self.end.get() {
                None => changed.await,
                Some(end) => {
                    if tokio::time::timeout_at(end.into(), changed).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Connection of a caller.
#[derive(Debug)]
pub struct Connection {
    /// `None` once the connection is dropped.
    stream: Option<TcpStream>,
    screen: Screen,
    /// Gets the stream of a connection that is dropped after malformed bytes.
    pub refused: Rc<RefCell<Option<TcpStream>>>,
    /// Time limit of the present body.
    pub limit: Rc<BodyLimit>,
}

impl Connection {
    /// Creates a connection that expects no body yet.
    pub fn new(stream: TcpStream) -> Self {
        Connection {
            stream: Some(stream),
            screen: Screen::default(),
            refused: Rc::default(),
            limit: Rc::default(),
        }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.stream.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        Ok(Pin::new(stream))
    }

    /// Receives bytes into the screen; `buf` is empty before and after.
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.stream()?.poll_read(cx, buf))?;
        if buf.filled().is_empty() {
            self.screen.end();
        } else if let Err(e) = self.screen.receive(buf.filled()) {
            event::log(Kind::TurnedAway, "-", &format!("why={e:?}"));
        }
        buf.clear();
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        while this.screen.is_waiting() {
            let mut part = buf.take(buf.remaining());
            ready!(this.poll_receive(cx, &mut part))?;
        }
        this.screen.pass(buf);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().stream()?.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream()?.poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream()?.poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.screen.has_refused() {
            *self.refused.borrow_mut() = self.stream.take();
        }
    }
}

/// Reads and discards what a caller sends until it has closed the connection. Closing the socket with
/// unread bytes would reset the connection, and the caller could lose the response.
pub async fn linger(mut stream: TcpStream) {
    if let Err(e) = stream.shutdown().await {
        log::debug!("shutting down a caller connection failed: {e}");
    }
    let mut bytes = vec![0; DISCARD_BYTES];
    let discard = async { while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {} };
    // The connection is closed after the timeout as at its end.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard).await;
}
