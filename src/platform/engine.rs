//! Calls on engines beside requests: their report, and moving a generation's memory.

use crate::h1::{Broken, Outbound, SendError};
use crate::id::RequestId;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ServiceConfig};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time to connect to an engine.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Largest answer to such a call in bytes.
const ANSWER_LIMIT: usize = 256 << 10;

/// Tells why a call on an engine failed.
#[derive(Debug)]
pub enum CallError {
    /// The engine was not reached.
    Unreached(SendError),
    /// The answer broke off.
    Broken(Broken),
    /// No answer came in time.
    Slow,
    /// The answer is not understood.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Unreached(_) => f.write_str("unreached"),
            CallError::Broken(_) => f.write_str("broken"),
            CallError::Slow => f.write_str("slow"),
            CallError::Malformed => f.write_str("malformed"),
        }
    }
}

/// Where the memory of a stopped generation lies, in the form that a resumed request names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Handoff {
    /// Engine that the generation ran on.
    pub source: SocketAddr,
    /// Handle of the copy.
    pub handle: Arc<str>,
}

impl fmt::Display for Handoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.source, self.handle)
    }
}

/// What became of a copy.
#[derive(Debug, Clone, PartialEq)]
pub enum CopyOutcome {
    /// It is complete.
    Done(Handoff),
    /// No such generation runs there.
    Absent,
    /// Another copy of it is under way.
    Busy,
    /// There is no room; a generation that was stopped lies at its source under this handle.
    NoRoom(Option<Handoff>),
}

#[derive(Debug, Serialize)]
struct MoveText<'a> {
    id: &'a str,
    to: SocketAddr,
    last: bool,
}

#[derive(Debug, Deserialize)]
struct MovedText {
    /// The platform gives handles as text or as numbers.
    #[serde(default)]
    handle: Option<serde_json::Value>,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Tells that it is leaving.
    pub leaving: bool,
    /// Time until it is gone, where it is leaving and knows.
    pub leaves_in: Option<Duration>,
}

#[derive(Debug, Deserialize)]
struct ReportText {
    #[serde(default)]
    state: Option<Box<str>>,
    #[serde(default)]
    leaves_ms: Option<f64>,
}

async fn call(
    to: SocketAddr,
    config: &ServiceConfig,
    method: Method,
    path: &str,
    body: Bytes,
    wait: Duration,
) -> Result<(u16, Bytes), CallError> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = path.parse().map_err(|_| CallError::Malformed)?;
    let host = HeaderValue::from_str(&to.to_string()).map_err(|_| CallError::Malformed)?;
    head.headers.insert(HeaderName::from_static("host"), host);
    if !body.is_empty() {
        let json = HeaderValue::from_static("application/json");
        head.headers.insert(HeaderName::from_static("content-type"), json);
    }
    let exchange = async {
        let sent = Outbound::open(to, CONNECT_TIME, config, head, body).await;
        let mut out = sent.map_err(CallError::Unreached)?;
        let head = out.head().await.map_err(CallError::Broken)?;
        let body = out.body(ANSWER_LIMIT).await.map_err(CallError::Broken)?;
        Ok((head.status.as_u16(), body))
    };
    timeout(wait, exchange).await.unwrap_or(Err(CallError::Slow))
}

/// Copies the memory of a generation to another engine; with `last` it stops first.
///
/// # Errors
///
/// Returns [`CallError`] where the outcome is not known.
pub async fn copy_memory(
    source: SocketAddr,
    to: SocketAddr,
    id: &RequestId,
    last: bool,
    config: &ServiceConfig,
    wait: Duration,
) -> Result<CopyOutcome, CallError> {
    let text = MoveText { id: id.as_str(), to, last };
    let body = serde_json::to_vec(&text).map_err(|_| CallError::Malformed)?;
    let answer = call(source, config, Method::POST, "/kv-move", body.into(), wait).await?;
    let handoff = || scan_handoff(source, &answer.1);
    match answer.0 {
        200 => handoff().map(CopyOutcome::Done).ok_or(CallError::Malformed),
        404 => Ok(CopyOutcome::Absent),
        409 => Ok(CopyOutcome::Busy),
        503 => Ok(CopyOutcome::NoRoom(handoff())),
        _ => Err(CallError::Malformed),
    }
}

fn scan_handoff(source: SocketAddr, body: &[u8]) -> Option<Handoff> {
    let text: MovedText = serde_json::from_slice(body).ok()?;
    let handle = match text.handle? {
        serde_json::Value::String(s) => Arc::from(s),
        serde_json::Value::Number(n) => Arc::from(n.to_string()),
        _ => return None,
    };
    Some(Handoff { source, handle })
}

/// Frees a copy at both ends.
///
/// # Errors
///
/// Returns [`CallError`] where the engine did not answer; the copy then expires by itself.
pub async fn free_copy(
    handoff: &Handoff,
    config: &ServiceConfig,
    wait: Duration,
) -> Result<(), CallError> {
    let path = format!("/kv-handle/{}", handoff.handle);
    call(handoff.source, config, Method::DELETE, &path, Bytes::new(), wait).await.map(drop)
}

/// Asks an engine for its report.
///
/// # Errors
///
/// Returns [`CallError`] where no report comes.
pub async fn fetch_report(
    to: SocketAddr,
    config: &ServiceConfig,
    wait: Duration,
) -> Result<Report, CallError> {
    let (_, body) = call(to, config, Method::GET, "/report", Bytes::new(), wait).await?;
    let text: ReportText = serde_json::from_slice(&body).map_err(|_| CallError::Malformed)?;
    Ok(Report {
        leaving: text.leaves_ms.is_some() || text.state.as_deref() == Some("draining"),
        leaves_in: text.leaves_ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
    })
}
