//! HTTP/1.1 connections, built directly on the codecs of `actix-http`.
//!
//! A pooled client hides whether a response was complete and which request it belongs to, and a
//! server library hides when the caller closes the connection. Both are needed here: an incomplete
//! response does not count, and work for a caller that has disconnected is cancelled at once. Both
//! sides therefore own their socket and run the codec on it.

mod inbound;
mod outbound;

pub use inbound::{Inbound, ReadError, RequestLimits};
pub use outbound::{Broken, Framing, Outbound, SendError, request_head};

use bytes::BytesMut;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Time after which a connection with unacknowledged bytes fails, to detect an unreachable peer.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);

/// Appends the bytes that are available to `buf`, waiting for the first ones; returns their number,
/// 0 at the end of the stream.
async fn read_available<R: AsyncRead + Unpin>(
    io: &mut R,
    buf: &mut BytesMut,
) -> std::io::Result<usize> {
    /// Free space in the buffer before each read; a head with a small body fits.
    const READ_BYTES: usize = 8 << 10;
    buf.reserve(READ_BYTES);
    io.read_buf(buf).await
}

/// Disables Nagle's algorithm and limits the time that bytes may stay unacknowledged.
fn set_socket_options(io: &actix_rt::net::TcpStream) {
    if let Err(e) = io.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY failed: {e}");
    }
    if let Err(e) = socket2::SockRef::from(io).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)) {
        log::debug!("setting TCP_USER_TIMEOUT failed: {e}");
    }
}
