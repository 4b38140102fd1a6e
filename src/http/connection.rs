//! Connections of callers, whose request bodies have a limited time to arrive, and of which malformed
//! bytes do not reach the server.

use super::screen::Screen;
use crate::event::{self, Kind};
use actix_rt::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Time limit for a caller to send the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after [`BODY_TIMEOUT`] for the caller to get the refusal before its connection is closed.
const ANSWER_TIME: Duration = Duration::from_millis(500);

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
    stream: TcpStream,
    screen: Screen,
    /// Time limit of the present body.
    pub limit: Rc<BodyLimit>,
}

impl Connection {
    /// Creates a connection that expects no body yet.
    pub fn new(stream: TcpStream) -> Self {
        Connection { stream, screen: Screen::default(), limit: Rc::default() }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl Connection {
    /// Receives bytes into the screen; `buf` is empty before and after.
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
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
        self.stream().poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
