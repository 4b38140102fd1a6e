//! Calls whose response is read whole, each on its own connection.

use super::{Broken, Outbound, SendError};
use actix_http::{RequestHead, ResponseHead, ServiceConfig};
use bytes::Bytes;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Bounds of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Time limit of connecting.
    pub connect: Duration,
    /// Time limit of the call up to the head of the response, and again of its body.
    pub wait: Duration,
    /// Maximum size of the body of the response.
    pub max_body: usize,
}

/// Reason why a call has no whole response.
#[derive(Debug)]
pub enum FetchError {
    /// The request was not sent.
    Unsent(SendError),
    /// The response is incomplete or malformed; the call may have taken effect.
    Broken(Broken),
    /// The response is not complete in time; the call may have taken effect.
    Slow,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::Unsent(SendError::Unreached(e)) => write!(f, "cannot connect: {e}"),
            FetchError::Unsent(SendError::Head(e)) => write!(f, "cannot encode the request: {e}"),
            FetchError::Broken(e) => write!(f, "{e}"),
            FetchError::Slow => f.write_str("no response in time"),
        }
    }
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Returns [`FetchError`] if there is none.
pub async fn fetch(
    to: SocketAddr,
    limits: &CallLimits,
    config: &ServiceConfig,
    head: RequestHead,
    body: Bytes,
) -> Result<(ResponseHead, Bytes), FetchError> {
    let begin = async {
        let sent = Outbound::connect(to, limits.connect, config, head, body).await;
        let mut out = sent.map_err(FetchError::Unsent)?;
        let head = out.read_head().await.map_err(FetchError::Broken)?;
        Ok((out, head))
    };
    let (mut out, head) = timeout(limits.wait, begin).await.unwrap_or(Err(FetchError::Slow))?;
    let read = async { out.read_body(limits.max_body).await.map_err(FetchError::Broken) };
    let body = timeout(limits.wait, read).await.unwrap_or(Err(FetchError::Slow))?;
    Ok((head, body))
}
