//! HTTP/1.1 connections over the library's codecs.
//!
//! A client pool hides where an answer ended and which request it belongs to, and a server hides
//! when its peer leaves. Both matter here: an answer counts only with its end, and work for a
//! caller that has left is cancelled at once. So each side owns its socket and runs the codec of
//! `actix-http` over it.

mod inbound;
mod outbound;

pub use inbound::{Inbound, ReadError, RequestLimits};
pub use outbound::{Broken, Outbound, SendError};

use bytes::BytesMut;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Time after which unacknowledged bytes count as lost, so that a dead peer is noticed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads what has come; returns the number of bytes, 0 at the end.
async fn read_available<R: AsyncRead + Unpin>(
    io: &mut R,
    buf: &mut BytesMut,
) -> std::io::Result<usize> {
    /// Bytes read at one time; a head and a small body fit.
    const READ_BYTES: usize = 8 << 10;
    buf.reserve(READ_BYTES);
    io.read_buf(buf).await
}

/// Sends small writes at once and notices a peer that acknowledges nothing.
fn set_socket_options(io: &actix_rt::net::TcpStream) {
    if let Err(e) = io.set_nodelay(true) {
        log::debug!("nodelay cannot be set: {e}");
    }
    if let Err(e) = socket2::SockRef::from(io).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)) {
        log::debug!("user timeout cannot be set: {e}");
    }
}
