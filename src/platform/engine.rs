//! Control calls to engines: their reports, and the transfer of a generation's KV memory.

use super::headers::{cold_time, endpoint_id, states_leaving};
use super::{fields, time};
use crate::escape;
use crate::event::shorten;
use crate::h1::{self, Broken, CallLimits, FetchError, SendError};
use crate::id::{EndpointId, RequestId};
use crate::net;
use actix_http::{Method, ResponseHead, ServiceConfig};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// Timeout of connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of the response to a control call.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// The reason why a control call to an engine failed.
#[derive(Debug)]
pub enum CallError {
    /// The request could not be sent.
    Unreached(SendError),
    /// The connection failed before the response was complete.
    Broken(Broken),
    /// No response arrived within the timeout.
    Slow,
    /// The response has an unexpected status or body.
    Malformed,
    /// The target of the call cannot be written.
    Target,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Unreached(_) => f.write_str("unreached"),
            CallError::Broken(_) => f.write_str("broken"),
            CallError::Slow => f.write_str("slow"),
            CallError::Malformed => f.write_str("malformed"),
            CallError::Target => f.write_str("invalid-target"),
        }
    }
}

/// Location of the KV memory of a generation that was copied or stopped. A resumed request names it
/// in the form of the `Display` output.
#[derive(Debug, Clone, PartialEq)]
pub struct Handoff {
    /// Engine that the generation ran on.
    pub source: SocketAddr,
    /// Handle of the memory, chosen by that engine.
    pub handle: Arc<str>,
}

impl fmt::Display for Handoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.source, self.handle)
    }
}

/// Outcome of copying the memory of a generation.
#[derive(Debug, Clone, PartialEq)]
pub enum CopyOutcome {
    /// The copy is complete.
    Done(Handoff),
    /// The source does not run this generation.
    Absent,
    /// Another copy of the generation is in progress.
    Busy,
    /// The target has too little memory. If the generation was stopped for this copy, its memory
    /// stays at the source under this handle.
    NoRoom(Option<Handoff>),
}

#[derive(Debug, Serialize)]
struct CopyRequest<'a> {
    id: &'a str,
    to: SocketAddr,
    /// Whether the engine stops the generation before it copies.
    last: bool,
}

#[derive(Debug, Deserialize)]
struct CopyResponse {
    /// A string or a number, depending on the engine.
    #[serde(default)]
    handle: Option<Value>,
}

/// The state that an engine reports of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Whether the engine is about to stop.
    pub leaving: bool,
    /// Time until the engine stops, if it is leaving and reports the time.
    pub leaves_in: Option<Duration>,
    /// Time for which it stays cold, if it states that.
    pub cold: Option<Duration>,
}

/// Fields of a report that are used, each to be read for itself.
#[derive(Debug, Default, Deserialize)]
struct ReportBody<'a> {
    /// `draining` if the engine is leaving.
    #[serde(default, borrow)]
    state: Option<&'a RawValue>,
    /// Time until the engine stops; present only if it is leaving.
    #[serde(default, borrow)]
    leaves_ms: Option<&'a RawValue>,
    /// Start time in milliseconds since the Unix epoch.
    #[serde(default, borrow)]
    born: Option<&'a RawValue>,
}

/// Reads a field of a report; `None` if it is absent or of another type.
fn read_field<T>(
    name: &str,
    field: Option<&RawValue>,
    read: impl FnOnce(&Value) -> Option<T>,
) -> Option<T> {
    let text = field?.get();
    let found = serde_json::from_str(text).ok().and_then(|value| read(&value));
    if found.is_none() {
        log::warn!("ignored {name} of a report, which is {:?}", shorten(text));
    }
    found
}

/// How an endpoint is asked who it is.
#[derive(Debug, Clone)]
pub enum Probe {
    /// An engine is asked for its report, which needs no slot.
    Report,
    /// A plain service is asked at its health path, where it may answer that it is full.
    Health(Arc<str>),
    /// Nothing is asked; a connection that stays open counts as an answer.
    Connection,
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Identity {
    /// Its id.
    pub id: Option<EndpointId>,
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
}

/// Counts a failed call by its reason, and returns the error.
fn count_failure(e: CallError) -> CallError {
    metrics::counter!("control_failures_total", "why" => e.to_string()).increment(1);
    e
}

async fn send_request(
    to: SocketAddr,
    config: &ServiceConfig,
    method: Method,
    path: &str,
    body: Bytes,
    wait: Duration,
) -> Result<(ResponseHead, Bytes), CallError> {
    let content = (!body.is_empty()).then_some("application/json");
    let head = h1::request_head(to, method, path, content).ok_or_else(|| {
        log::warn!("no call of the endpoint at {to}: {:?} is no target", shorten(path));
        count_failure(CallError::Target)
    })?;
    let limits = CallLimits { connect: CONNECT_TIMEOUT, wait, max_body: MAX_RESPONSE_BYTES };
    let called = timeout(wait, h1::fetch(to, &limits, config, head, body)).await;
    called.unwrap_or(Err(FetchError::Slow)).map_err(|e| {
        count_failure(match e {
            FetchError::Unsent(e) => CallError::Unreached(e),
            FetchError::Broken(e) => CallError::Broken(e),
            FetchError::Slow => CallError::Slow,
        })
    })
}

/// Copies the KV memory of a generation from engine `source` to engine `to`. With `last`, the
/// source stops the generation first, so that the copy is final.
///
/// # Errors
///
/// Returns [`CallError`] if the outcome is not known.
pub async fn copy_memory(
    source: SocketAddr,
    to: SocketAddr,
    id: &RequestId,
    last: bool,
    config: &ServiceConfig,
    wait: Duration,
) -> Result<CopyOutcome, CallError> {
    let request = CopyRequest { id: id.as_str(), to, last };
    let body = serde_json::to_vec(&request).map_err(|_| CallError::Malformed)?;
    let (head, body) =
        send_request(source, config, Method::POST, "/kv-move", body.into(), wait).await?;
    let status = head.status.as_u16();
    let handoff = parse_handoff(source, &body).filter(|_| matches!(status, 200 | 503));
    if let Some(unusable) = handoff.as_ref().filter(|h| escape::header_value(&h.handle).is_none()) {
        let handle = shorten(&unusable.handle);
        log::warn!("engine {source} named memory by the handle {handle:?}, unfit for a header");
        // The copy would take up memory until it expires.
        if status == 200 && !handle.is_empty() {
            free_copy(unusable, config, wait).await?;
        }
        return Err(count_failure(CallError::Malformed));
    }
    match status {
        200 => handoff.map(CopyOutcome::Done).ok_or(CallError::Malformed),
        404 => Ok(CopyOutcome::Absent),
        409 => Ok(CopyOutcome::Busy),
        503 => Ok(CopyOutcome::NoRoom(handoff)),
        _ => Err(CallError::Malformed),
    }
}

fn parse_handoff(source: SocketAddr, body: &[u8]) -> Option<Handoff> {
    let response: CopyResponse = serde_json::from_slice(body).ok()?;
    let handle = match response.handle? {
        Value::String(s) => Arc::from(s),
        Value::Number(n) => Arc::from(n.to_string()),
        _ => return None,
    };
    Some(Handoff { source, handle })
}

/// Frees a copy at the source and the target.
///
/// # Errors
///
/// Returns [`CallError`] if the engine did not answer; the copy then expires by itself.
pub async fn free_copy(
    handoff: &Handoff,
    config: &ServiceConfig,
    wait: Duration,
) -> Result<(), CallError> {
    let path = format!("/kv-handle/{}", escape::path_segment(&handoff.handle));
    send_request(handoff.source, config, Method::DELETE, &path, Bytes::new(), wait).await.map(drop)
}

/// Asks an endpoint who it is.
///
/// # Errors
///
/// Returns [`CallError`] if there is no response within `wait`.
pub async fn probe(
    to: SocketAddr,
    probe: &Probe,
    config: &ServiceConfig,
    wait: Duration,
) -> Result<Identity, CallError> {
    let path = match probe {
        Probe::Report => Cow::Borrowed("/report"),
        Probe::Health(path) => Cow::Owned(escape::target(path)),
        Probe::Connection => return watch_connection(to, wait).await,
    };
    let (head, body) = send_request(to, config, Method::GET, &path, Bytes::new(), wait).await?;
    // Only a report has a body that says more, and only a success is a report.
    let is_report = matches!(probe, Probe::Report) && head.status.is_success();
    let report: ReportBody<'_> = if is_report {
        serde_json::from_slice(&body)
            .inspect_err(|e| log::warn!("the report of {to} cannot be read: {e}"))
            .unwrap_or_default()
    } else {
        ReportBody::default()
    };
    let started_ms = read_field("born", report.born, fields::whole);
    Ok(Identity { id: endpoint_id(head.headers()), started_ms })
}

/// Opens a connection, and waits whether it is closed.
async fn watch_connection(to: SocketAddr, wait: Duration) -> Result<Identity, CallError> {
    let unreached = |e| CallError::Unreached(SendError::Unreached(e));
    let timed_out = || unreached(ErrorKind::TimedOut.into());
    let connected = timeout(CONNECT_TIMEOUT, net::connect(to)).await;
    let mut io = connected.map_err(|_| timed_out())?.map_err(unreached)?;
    match timeout(wait, io.read(&mut [0])).await {
        Ok(Ok(0)) => Err(CallError::Broken(Broken::Early)),
        Ok(Err(e)) => Err(CallError::Broken(Broken::Read(e.kind()))),
        Ok(Ok(_)) | Err(_) => Ok(Identity::default()),
    }
}

/// Fetches the report of an engine.
///
/// # Errors
///
/// Returns [`CallError`] if there is no valid report within `wait`.
pub async fn fetch_report(
    to: SocketAddr,
    config: &ServiceConfig,
    wait: Duration,
) -> Result<Report, CallError> {
    let (head, body) = send_request(to, config, Method::GET, "/report", Bytes::new(), wait).await?;
    if !head.status.is_success() {
        return Err(CallError::Malformed);
    }
    let is_told = states_leaving(head.headers());
    let report: ReportBody<'_> = match serde_json::from_slice(&body) {
        Ok(report) => report,
        Err(e) if is_told => {
            log::warn!("the report of {to} cannot be read: {e}");
            ReportBody::default()
        }
        Err(_) => return Err(CallError::Malformed),
    };
    let is_draining = read_field("state", report.state, |v| v.as_str().map(|s| s == "draining"));
    let leaves_ms = read_field("leaves_ms", report.leaves_ms, Value::as_f64);
    Ok(Report {
        leaving: leaves_ms.is_some() || is_draining == Some(true) || is_told,
        leaves_in: leaves_ms.and_then(time::millis),
        cold: cold_time(head.headers()),
    })
}
