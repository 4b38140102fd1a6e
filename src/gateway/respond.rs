//! What happens to a caller's connection after a response.

use crate::h1::Inbound;

/// What happens to a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disposition {
    /// Another request may follow.
    Keep,
    /// The response was the last one on this connection.
    Close,
    /// The response is incomplete, or the caller does not read it.
    Abort,
}

/// Returns what happens to a connection after a response was sent with the given result.
pub fn disposition(conn: &Inbound, sent: std::io::Result<()>, close: bool) -> Disposition {
    match sent {
        Err(e) => {
            log::debug!("sending a response failed: {e}");
            Disposition::Abort
        }
        Ok(()) if close || !conn.is_keep_alive() => Disposition::Close,
        Ok(()) => Disposition::Keep,
    }
}
