//! One attempt to send a request to an endpoint, and how its result is recorded.

use super::job::{Job, log_id};
use super::retries::{self, Permit};
use super::{Gateway, examine, limits, outage};
use crate::clock;
use crate::escape::log_value;
use crate::event::Kind;
use crate::h1::{Broken, Outbound, SendError};
use crate::id::EndpointId;
use crate::platform::{self, ForwardParams, ResponseInfo};
use crate::pool::{Hold, PoolKey, Purpose};
use crate::problem::{Problem, ProblemKind};
use crate::quarantine::Break;
use actix_http::{ResponseHead, StatusCode};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{Instant as TokioInstant, timeout_at};

/// Endpoints that one request may reach, including those that reject it without running it.
const MAX_REACHED: usize = 3;
/// Attempts for one request in all. Attempts that fail to connect put no load on the endpoint, so
/// more of them are allowed than of those that reach one.
const MAX_ATTEMPTS: usize = 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Upper bound of the random extension of a pause that an endpoint asked for, as a share of it.
const MAX_PAUSE_EXTENSION: f64 = 0.2;
/// Largest body of a refusal.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Longest wait of a stopped generation for the permit to resume on its new engine.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which it checks for one.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why an attempt gave no response that can be passed on. The log shows the variants in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptError {
    /// The endpoint was removed from the pool.
    Gone,
    /// The endpoint is leaving and takes no new requests.
    Leaving,
    /// The endpoint's data centre is evacuated.
    Evacuated,
    /// The endpoint has asked for a pause that is not over.
    Paused,
    /// The endpoint limits its requests, and there is no permit for this one.
    Limited,
    /// The connection could not be established.
    Unreached,
    /// The head of the request could not be encoded.
    Head,
    /// The endpoint rejected the request without running it.
    Full,
    /// Another endpoint now has this address.
    Misdirected,
    /// The endpoint closed the connection before the response was complete, or the response is
    /// malformed.
    Broken(Broken),
    /// The connection was lost before the response was complete: the endpoint may be cut off.
    Lost(Broken),
    /// There is no memory for the response.
    NoMemory,
    /// The deadline passed before the response was complete.
    Late,
    /// The response carries the id of another request, or several ids or seals.
    Foreign,
    /// The response lacks the endpoint's seal header.
    Unsealed,
    /// The endpoint responded with a server error.
    Failed,
    /// The endpoint asked for a pause, but did not state that it has not run this request.
    Overloaded,
    /// The request was quarantined while the endpoint had not answered it yet.
    Quarantined,
    /// This instance stops before the response was complete.
    Stopping,
}

impl AttemptError {
    /// Returns the error for a response that is incomplete.
    pub fn of_break(broken: Broken) -> Self {
        if broken == Broken::NoMemory {
            return AttemptError::NoMemory;
        }
        match examine::cause(broken) {
            Break::Unreachable => AttemptError::Lost(broken),
            Break::Closed | Break::Ended => AttemptError::Broken(broken),
        }
    }

    /// Returns why the response is incomplete; `None` for other errors.
    pub fn reason(self) -> Option<Broken> {
        match self {
            AttemptError::Broken(why) | AttemptError::Lost(why) => Some(why),
            _ => None,
        }
    }

    /// Returns the end of a log line that tells why the response is incomplete.
    pub fn reason_suffix(self) -> String {
        self.reason().map_or_else(String::new, |why| format!(" reason=\"{why}\""))
    }

    /// Returns how the connection broke; `None` if it did not.
    pub fn cause(self) -> Option<Break> {
        match self {
            AttemptError::Broken(_) => Some(Break::Closed),
            AttemptError::Lost(_) => Some(Break::Unreachable),
            _ => None,
        }
    }

    /// Returns whether the request has not run on the endpoint and never will.
    pub fn is_not_executed(self) -> bool {
        use AttemptError::{Full, Misdirected};
        self.is_undelivered() || matches!(self, Full | Misdirected)
    }

    /// Returns whether the request never reached the endpoint.
    pub fn is_undelivered(self) -> bool {
        use AttemptError::{Evacuated, Gone, Head, Leaving, Limited, Paused, Unreached};
        matches!(self, Gone | Leaving | Evacuated | Paused | Limited | Unreached | Head)
    }

    /// Returns whether the error counts against the endpoint's health. A full endpoint is healthy.
    pub fn is_endpoint_failure(self) -> bool {
        use AttemptError::{
            Evacuated, Full, Gone, Head, Leaving, Limited, NoMemory, Overloaded, Paused,
            Quarantined, Stopping,
        };
        let is_held = matches!(self, Leaving | Evacuated | Paused | Limited);
        let is_own = matches!(self, Head | NoMemory | Quarantined | Stopping);
        !is_held && !is_own && !matches!(self, Full | Gone | Overloaded)
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptError::Broken(_) => f.write_str("broken"),
            AttemptError::Lost(_) => f.write_str("lost"),
            _ => write!(f, "{}", format!("{self:?}").to_ascii_lowercase()),
        }
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Head as sent by the endpoint.
    pub head: ResponseHead,
    /// Parsed headers of the response.
    pub info: ResponseInfo,
    /// Connection from which the body is read.
    pub out: Outbound,
    /// Endpoint that the request was sent to.
    pub endpoint: EndpointId,
}

impl EndpointResponse {
    /// Returns whether the events of a generation may follow. After 204 there is no body, not even one
    /// without events.
    pub fn is_stream(&self) -> bool {
        self.info.status.is_success() && self.info.status != StatusCode::NO_CONTENT
    }
}

/// Sends a request to an endpoint and waits for the head of its response.
///
/// A leaving, evacuated or paused endpoint is sent no new requests, but may resume a migrated
/// generation, which waits for a permit if the endpoint limits its requests.
pub async fn send(
    gw: &Rc<Gateway>,
    job: &Job,
    key: PoolKey,
    params: &ForwardParams<'_>,
) -> Result<EndpointResponse, AttemptError> {
    let head = job.forward_head(params).map_err(|e| {
        log::warn!("request {:?} not sent: {e}", log_id(job.meta.id.as_ref()));
        AttemptError::Head
    })?;
    let address = match params.handoff {
        None => begin_sending(gw, key, Purpose::Request)?,
        Some(_) => wait_to_resume(gw, job, key).await?,
    };
    let sent = clock::now();
    let body = job.body.clone();
    let opened =
        Outbound::connect_for(&job.load, address, CONNECT_TIMEOUT, &gw.codec, head, body).await;
    let mut out = opened.map_err(|e| match e {
        SendError::Unreached(_) => AttemptError::Unreached,
        SendError::Head(_) => AttemptError::Head,
    })?;
    let connected = clock::now();
    let deadline = TokioInstant::from_std(job.deadline);
    let Ok(head) = timeout_at(deadline, out.read_head()).await else {
        let progress = Progress { sent, connected, unsent: out.unsent() };
        log_unanswered(gw, job, params.endpoint, &progress);
        return Err(AttemptError::Late);
    };
    let head = head.map_err(AttemptError::of_break)?;
    let info = platform::parse_response(&head);
    gw.pool.borrow_mut().record_reachable(key);
    if is_foreign(job, &info) {
        return Err(AttemptError::Foreign);
    }
    if info.not_run {
        read_refusal(&mut out, deadline).await?;
    }
    record_response(gw, key, &info);
    if is_own_response(job, &info) {
        record_statements(gw, key, sent, &info);
    }
    check_response(&info)?;
    Ok(EndpointResponse { head, info, out, endpoint: params.endpoint.clone() })
}

/// Reads the body of a refusal: one that is cut off says nothing of the request or of its endpoint.
async fn read_refusal(out: &mut Outbound, deadline: TokioInstant) -> Result<(), AttemptError> {
    match timeout_at(deadline, out.skip_body(MAX_REFUSAL_BYTES)).await {
        Ok(read) => read.map_err(AttemptError::of_break),
        Err(_) => Err(AttemptError::Late),
    }
}

/// How far a request came that was not answered by its deadline.
struct Progress {
    /// When the connection was requested.
    sent: Instant,
    /// When it was established.
    connected: Instant,
    /// Bytes of the request that the connection did not take.
    unsent: usize,
}

/// Logs what tells a late endpoint from a late network and from a late instance.
fn log_unanswered(gw: &Gateway, job: &Job, endpoint: &EndpointId, progress: &Progress) {
    let now = clock::now();
    let ms = |from: Instant, to: Instant| to.saturating_duration_since(from).as_millis();
    let (queue, connect) = (ms(job.received, progress.sent), ms(progress.sent, progress.connected));
    let wait = ms(progress.connected, now);
    let lag = gw.lag.borrow().longest(now, job.received).as_millis();
    let endpoint = log_value(endpoint.as_str());
    let detail = format!(
        "endpoint={endpoint} queue_ms={queue} connect_ms={connect} wait_ms={wait} unsent={} lag_ms={lag}",
        progress.unsent
    );
    gw.event(Kind::Unanswered, log_id(job.meta.id.as_ref()), detail);
}

/// Waits for the permit to resume a generation on an engine, and returns the engine's address.
async fn wait_to_resume(gw: &Gateway, job: &Job, key: PoolKey) -> Result<SocketAddr, AttemptError> {
    let until = job.deadline.min(clock::now() + RESUME_TIMEOUT);
    loop {
        let result = begin_sending(gw, key, Purpose::Resume);
        let now = clock::now();
        if result != Err(AttemptError::Limited) || now >= until {
            return result;
        }
        gw.pool.borrow_mut().note_demand(&job.service);
        limits::refresh(gw, now, &job.service);
        tokio::time::sleep(super::jitter(RESUME_POLL_INTERVAL)).await;
    }
}

/// Takes the permission to send something to an endpoint, and returns its address.
pub fn begin_sending(
    gw: &Gateway,
    key: PoolKey,
    purpose: Purpose,
) -> Result<SocketAddr, AttemptError> {
    limits::check_suspension(gw);
    let mut pool = gw.pool.borrow_mut();
    let e = pool.endpoints.get_mut(key).ok_or(AttemptError::Gone)?;
    e.begin_sending(clock::now(), purpose).map_err(|hold| match hold {
        Hold::Leaving => AttemptError::Leaving,
        Hold::Evacuated => AttemptError::Evacuated,
        Hold::Paused(_) => AttemptError::Paused,
        Hold::Limited => AttemptError::Limited,
    })?;
    Ok(e.listing.address)
}

/// Returns the permission to send a request once more that was sent to `tried` endpoints and reached
/// `reached` of them; `None` if it may not be sent. A retry is charged once an endpoint has been
/// reached.
pub async fn permit_attempt(
    gw: &Rc<Gateway>,
    job: &Job,
    tried: usize,
    reached: usize,
) -> Option<Permit> {
    let is_allowed =
        tried < MAX_ATTEMPTS && reached < MAX_REACHED && !job.time_left(clock::now()).is_zero();
    if !is_allowed {
        return None;
    }
    if reached == 0 {
        return Some(Permit::First);
    }
    retries::permit(gw, &job.service, job.meta.id.as_ref()).await.map(Permit::Retry)
}

/// Records a failed attempt. An unreachable endpoint is taken out of rotation; other failures of
/// the endpoint count against its health.
pub fn record_error(gw: &Gateway, key: PoolKey, error: AttemptError) {
    if error == AttemptError::Unreached {
        if let Some(change) = gw.pool.borrow_mut().record_unreachable(clock::now(), key) {
            gw.log_change(change);
        }
    } else if error.is_endpoint_failure() {
        record_health(gw, key, false);
    }
}

/// Returns whether a response carries the id of another request, or does not tell which one it
/// belongs to. It says nothing of this one then, even if it is a refusal.
fn is_foreign(job: &Job, info: &ResponseInfo) -> bool {
    let is_other = job.meta.id.is_some() && info.has_id && info.id != job.meta.id;
    info.ambiguous || is_other
}

/// Checks that the endpoint accepted the request, and that its response has a seal header.
fn check_response(info: &ResponseInfo) -> Result<(), AttemptError> {
    if info.misdirected {
        return Err(AttemptError::Misdirected);
    }
    if info.not_run {
        return Err(AttemptError::Full);
    }
    if info.sealed { Ok(()) } else { Err(AttemptError::Unsealed) }
}

/// Returns whether a response is that of the addressed endpoint to this request, so that what it
/// states of its sender holds for this endpoint.
fn is_own_response(job: &Job, info: &ResponseInfo) -> bool {
    !info.misdirected && info.id == job.meta.id
}

fn record_response(gw: &Gateway, key: PoolKey, info: &ResponseInfo) {
    let now = clock::now();
    let mut pool = gw.pool.borrow_mut();
    if info.misdirected {
        pool.mark_leaving(now, key);
    }
    if let Some(load) = info.load {
        pool.record_load(now, key, load);
    }
}

/// Records what an endpoint states of itself in a response to a request that was sent at `sent`.
fn record_statements(gw: &Rc<Gateway>, key: PoolKey, sent: Instant, info: &ResponseInfo) {
    if info.leaving {
        outage::record_notice(gw, key);
    }
    if let Some(time) = info.pause {
        record_pause(gw, key, time);
    }
    limits::record_response(gw, key, sent, info.limit);
    if let Some(left) = info.cold {
        gw.pool.borrow_mut().record_cold(clock::now(), key, left);
    }
}

/// Stops using an endpoint for the time that it asked for, and a little longer, so that its callers
/// do not all return at the same moment.
fn record_pause(gw: &Gateway, key: PoolKey, time: Duration) {
    let time = time.mul_f64(1.0 + rand::random::<f64>() * MAX_PAUSE_EXTENSION);
    if !gw.pool.borrow_mut().pause(clock::now(), key, time) {
        return;
    }
    if let Some(e) = gw.pool.borrow().endpoints.get(key) {
        gw.event(Kind::Paused, &e.listing.id, format_args!("ms={}", time.as_millis()));
    }
}

/// Counts the result of a request in the health of its endpoint.
pub fn record_health(gw: &Gateway, key: PoolKey, is_success: bool) {
    gw.pool.borrow_mut().record_outcome(clock::now(), key, is_success);
}

/// Builds the problem for a request that may or may not have run.
pub fn unknown_outcome(job: &Job, error: AttemptError) -> Problem {
    if job.time_left(clock::now()).is_zero() {
        Problem::new(ProblemKind::Late, "deadline exceeded before the response was complete")
    } else {
        let why = error.reason().map_or_else(String::new, |why| format!(", {why}"));
        let detail = format!("outcome of the request is unknown: {error}{why}");
        Problem::new(ProblemKind::Unknown, detail)
    }
}
