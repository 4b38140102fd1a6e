//! HTTP/1.1 connections, built directly on the codecs of `actix-http`.
//!
//! A pooled client hides whether a response was complete and which request it belongs to, and a
//! server library hides when the caller closes the connection. Both are needed here: an incomplete
//! response does not count, and work for a caller that has disconnected is cancelled at once. Both
//! sides therefore own their socket and run the codec on it.

mod broken;
mod fetch;
mod head;
mod inbound;
mod outbound;
mod request;
mod requests;
mod scan;

pub use broken::Broken;
pub use fetch::{CallLimits, FetchError, fetch};
pub use head::Head;
pub use inbound::Inbound;
pub use outbound::{Framing, Outbound, SendError, request_head};
pub use request::{Allowance, ReadError, RequestLimits};
pub use requests::RequestScanner;
pub use scan::{
    BodyLength, ChunkScanner, ChunkStep, Fault, ScannedHead, ScannedRequest, scan_head,
    scan_request,
};

use crate::backlog::READ_BYTES;
use actix_rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// Time after which a connection with unacknowledged bytes fails, to detect an unreachable peer.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a caller that leaves its receive buffer full counts as unreachable. The bytes
/// sent to it are unacknowledged meanwhile, also if it reads again before.
const FULL_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the kernel's buffer for a stream to a caller; the kernel reserves twice as much.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Most bytes that the encoding adds to a chunk of a body.
const CHUNK_FRAME_BYTES: usize = 32;
/// Part of the bytes in a buffer for which it has room beyond them when it grows, as a divisor.
const GROWTH_DIVISOR: usize = 4;

/// Makes room for a chunk in a buffer of unsent bytes. Left to itself, it would double.
fn grow(out: &mut BytesMut, bytes: usize) {
    let len = out.len();
    if out.capacity() - len < bytes + CHUNK_FRAME_BYTES {
        let mut grown =
            BytesMut::with_capacity(len + bytes + CHUNK_FRAME_BYTES + len / GROWTH_DIVISOR);
        grown.extend_from_slice(out);
        *out = grown;
    }
}

/// Appends the bytes that are available to `buf`, waiting for the first ones; returns their number,
/// 0 at the end of the stream. Cancel safe. While it waits, an empty buffer takes no memory, and no
/// other grows.
async fn read_available(io: &mut ReadHalf<'_>, buf: &mut BytesMut) -> std::io::Result<usize> {
    if buf.is_empty() {
        *buf = BytesMut::new();
    }
    if buf.capacity() - buf.len() < READ_BYTES {
        io.readable().await?;
    }
    // A head with a small body fits. `try_read_buf` would not yield to timers of the task when an
    // endpoint sends without end.
    buf.reserve(READ_BYTES);
    io.read_buf(buf).await
}

/// Sends bytes from the front of `out`, waiting until the socket takes some; returns their number.
/// Cancel safe.
async fn write_some(io: &mut WriteHalf<'_>, out: &mut BytesMut) -> std::io::Result<usize> {
    let n = io.write_buf(out).await?;
    if out.is_empty() {
        *out = BytesMut::new();
    }
    if n > 0 { Ok(n) } else { Err(ErrorKind::WriteZero.into()) }
}

/// Sends as many bytes from the front of `out` as the socket takes at once; returns their number.
fn try_write(io: &TcpStream, out: &mut BytesMut) -> std::io::Result<usize> {
    match io.try_write(out) {
        Ok(0) => Err(ErrorKind::WriteZero.into()),
        Ok(n) if n == out.len() => {
            *out = BytesMut::new();
            Ok(n)
        }
        Ok(n) => {
            out.advance(n);
            Ok(n)
        }
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(0),
        Err(e) => Err(e),
    }
}

/// Disables Nagle's algorithm and limits the time that bytes may stay unacknowledged.
fn set_socket_options(io: &TcpStream) {
    if let Err(e) = io.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY failed: {e}");
    }
    if let Err(e) = SockRef::from(io).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)) {
        log::debug!("setting TCP_USER_TIMEOUT failed: {e}");
    }
}
