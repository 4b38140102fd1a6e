//! Plain requests, safe and unsafe: one request, one response.

use super::attempt::{self, AttemptError, EndpointResponse};
use super::begin::QueueEntry;
use super::examine::{self, Host, RunGuard};
use super::job::{self, Job, log_id};
use super::respond::{Disposition, disposition};
use super::retries::{self, Permit};
use super::unread::{self, Holder};
use super::{Gateway, MAINTENANCE_INTERVAL, WorkGuard, limits, quarantine};
use crate::admit;
use crate::backlog::{Flow, READ_BYTES};
use crate::clock;
use crate::escape::log_value;
use crate::event::Kind;
use crate::frame::Refusal;
use crate::h1::{Broken, Framing, Inbound};
use crate::platform::{self, ForwardParams};
use crate::pool::{Availability, Endpoint, PoolKey};
use crate::problem::{Problem, ProblemKind};
use crate::shutdown::Phase;
use actix_http::body::BodySize;
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant as TokioInstant, timeout_at};

/// Bytes of a response that are buffered before any are passed on. If the response breaks off
/// within them, the request can still be sent to another endpoint.
const RETRY_BUFFER_BYTES: usize = 256 << 10;

/// Interval at which a request that waits for a permit checks for one.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A response as read so far.
enum CallResponse {
    /// The whole response with its body.
    Complete(EndpointResponse, Bytes),
    /// The start of a body over [`RETRY_BUFFER_BYTES`]; the rest is still on the connection.
    Partial(EndpointResponse, Bytes),
}

/// Serves a plain request. Dropping the attempt when the caller disconnects closes the connection
/// to the endpoint, which cancels the request there.
pub async fn answer(gw: &Rc<Gateway>, conn: &mut Inbound, job: &Job) -> Disposition {
    let mut attempts = Attempts::default();
    let finished = tokio::select! {
        result = send_with_retries(gw, job, &mut attempts) => Some(result),
        () = gw.stop.reached(Phase::Expiring) => None,
        () = conn.closed() => {
            gw.event(Kind::Abandoned, log_id(job.meta.id.as_ref()), "");
            return Disposition::Abort;
        }
    };
    let result = finished.unwrap_or_else(|| expire(job, &mut attempts));
    let close = gw.stop.is_requested();
    match result {
        Ok(CallResponse::Complete(response, body)) => {
            record_answer(gw, job, &response);
            unread::respond(gw, conn, log_id(job.meta.id.as_ref()), &response, body, close).await
        }
        Ok(CallResponse::Partial(response, body)) => {
            relay(gw, conn, job, response, body, close).await
        }
        Err(problem) => {
            let sent = job::refuse(gw, conn, job.meta.id.as_ref(), &problem, close).await;
            disposition(conn, sent, close)
        }
    }
}

fn record_answer(gw: &Gateway, job: &Job, response: &EndpointResponse) {
    let ms = clock::now().saturating_duration_since(job.received).as_millis();
    metrics::histogram!("call_seconds").record(ms as f64 / 1e3);
    let status = response.info.status.as_u16();
    metrics::counter!("answers_total", "status" => status.to_string()).increment(1);
    let (endpoint, framing) = (log_value(response.endpoint.as_str()), response.out.framing());
    let detail = format!("endpoint={endpoint} framing={framing} status={status} ms={ms}");
    gw.event(Kind::Answered, log_id(job.meta.id.as_ref()), detail);
}

/// Relays a response that exceeds the buffer, chunk by chunk.
async fn relay(
    gw: &Rc<Gateway>,
    conn: &mut Inbound,
    job: &Job,
    mut response: EndpointResponse,
    first: Bytes,
    close: bool,
) -> Disposition {
    let holder = Holder::new(gw, log_id(job.meta.id.as_ref()));
    let head = platform::response_head(&response.head);
    conn.bound_buffer();
    if conn.send_head(head, BodySize::Stream, close).await.is_err()
        || conn.queue_chunk(first).is_err()
    {
        return Disposition::Abort;
    }
    response.out.keep_body(0);
    holder.update(conn, 0, 0);
    loop {
        let Some(part) = read_ahead(conn, &holder, &mut response, job).await else {
            return Disposition::Abort;
        };
        match part {
            Ok(Some(part)) => match conn.queue_chunk(part) {
                Ok(n) => {
                    holder.update(conn, 0, n);
                    tokio::task::consume_budget().await;
                }
                Err(_) => return Disposition::Abort,
            },
            Ok(None) => break,
            Err(e) => {
                let endpoint = log_value(response.endpoint.as_str());
                let detail = format!("endpoint={endpoint} why={:?}", e.to_string());
                gw.event(Kind::Failed, log_id(job.meta.id.as_ref()), detail);
                return Disposition::Abort;
            }
        }
    }
    record_answer(gw, job, &response);
    quarantine::clear(gw, job);
    drop(response);
    let sent = match conn.queue_end() {
        Ok(()) => holder.send_rest(conn).await,
        Err(e) => Err(e),
    };
    disposition(conn, sent, close)
}

/// Waits for the next part of a response, and sends what is unsent meanwhile. Returns `None` if the
/// caller is gone or is dropped, or the deadline has passed.
async fn read_ahead(
    conn: &mut Inbound,
    holder: &Holder,
    response: &mut EndpointResponse,
    job: &Job,
) -> Option<Result<Option<Bytes>, Broken>> {
    loop {
        // Read ahead only while no connection has to be closed for it.
        let flow = match holder.flow() {
            Flow::Read if conn.unsent() > 0 && !job.load.may_keep(READ_BYTES) => Flow::Hold,
            flow => flow,
        };
        match flow {
            Flow::Read | Flow::Hold => {}
            Flow::Drop => return None,
        }
        tokio::select! {
            part = response.out.read_chunk(), if flow == Flow::Read => return Some(part),
            () = holder.changed() => {}
            sent = conn.send_until_closed() => holder.update(conn, 0, sent.ok()?),
            () = tokio::time::sleep_until(job.deadline.into()) => return None,
        }
    }
}

/// Attempts made for one request.
#[derive(Debug, Default)]
struct Attempts {
    /// Endpoints that an attempt was made on.
    tried: Vec<PoolKey>,
    /// Endpoints that the request reached.
    reached: usize,
    /// Endpoints that may have run the request.
    runs: u32,
    /// Whether an attempt is under way.
    is_sending: bool,
    /// Whether the request has waited for its turn at a limited endpoint.
    has_waited: bool,
    /// Latest server error from an endpoint, passed on if no attempt succeeds.
    error_response: Option<(EndpointResponse, Bytes)>,
}

/// Sends a request to endpoints until one responds without a server error, or no further attempt
/// is allowed.
async fn send_with_retries(
    gw: &Rc<Gateway>,
    job: &Job,
    attempts: &mut Attempts,
) -> Result<CallResponse, Problem> {
    retries::note_request(gw, &job.service);
    gw.pool.borrow_mut().note_demand(&job.service);
    quarantine::wait_for_trial(gw, job).await?;
    loop {
        if attempts.runs == 0 {
            quarantine::check(gw, job)?;
        }
        let Some(permit) = permit_attempt(gw, job, attempts).await else { break };
        let Some(key) = next_endpoint(gw, job, attempts) else {
            permit.release();
            if attempts.runs > 0 || !wait_for_endpoint(gw, job, attempts).await {
                break;
            }
            continue;
        };
        let error = match attempt_call(gw, job, key, permit, attempts).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        let may_rerun = || {
            job.is_idempotent()
                && attempts.runs < job.route.max_attempts
                && quarantine::may_rerun(gw, job)
        };
        if attempts.runs > 0 && !may_rerun() {
            return final_response(job, attempts, error);
        }
        let (tried, runs, reason) = (attempts.tried.len(), attempts.runs, error.reason_suffix());
        let detail = format!("why={error} tried={tried} runs={runs}{reason}");
        gw.event(Kind::Reoffered, log_id(job.meta.id.as_ref()), detail);
    }
    if attempts.runs > 0 {
        return final_response(job, attempts, AttemptError::Failed);
    }
    Err(not_run_problem(gw, job, attempts.tried.len()))
}

/// Makes one attempt and records its outcome. A server error is kept, to be passed on if no attempt
/// succeeds.
async fn attempt_call(
    gw: &Rc<Gateway>,
    job: &Job,
    key: PoolKey,
    permit: Permit,
    attempts: &mut Attempts,
) -> Result<CallResponse, AttemptError> {
    attempts.tried.push(key);
    attempts.is_sending = true;
    let (sent, host) = (clock::now(), Host::find(gw, job, key));
    let result = try_endpoint(gw, job, key, host.clone()).await;
    attempts.is_sending = false;
    let error = match result {
        Ok(CallResponse::Complete(response, body)) if response.info.status.is_server_error() => {
            let is_paused = response.info.pause.is_some();
            attempts.error_response = Some((response, body));
            if is_paused { AttemptError::Overloaded } else { AttemptError::Failed }
        }
        Ok(response) => {
            attempt::record_health(gw, key, true);
            if matches!(response, CallResponse::Complete(..)) {
                quarantine::clear(gw, job);
            }
            return Ok(response);
        }
        Err(error) => error,
    };
    attempt::record_error(gw, key, error);
    permit.settle(error.is_undelivered());
    attempts.reached += usize::from(!error.is_undelivered());
    if let Some((host, cause)) = host.zip(error.cause()) {
        examine::check_crash(gw, job, &host, sent, cause);
    }
    attempts.runs += u32::from(!error.is_not_executed());
    Err(error)
}

/// Waits until a request that has not run may be tried again on all endpoints. Returns `false` if it
/// cannot wait so long.
async fn wait_for_endpoint(gw: &Gateway, job: &Job, attempts: &mut Attempts) -> bool {
    let is_limited = gw.pool.borrow().permit_time(&job.service, 0).is_some();
    let is_ready = match is_limited {
        true => wait_for_permit(gw, job).await,
        false => wait_for_pause(gw, job).await,
    };
    if is_ready {
        attempts.has_waited |= is_limited;
        attempts.tried.clear();
    }
    is_ready
}

/// Builds the problem for a request that has not run on any of the `tried` endpoints.
pub fn not_run_problem(gw: &Gateway, job: &Job, tried: usize) -> Problem {
    let now = clock::now();
    let ahead = gw.queue.borrow().len(&job.service);
    if let Some(permit) = gw.pool.borrow().permit_time(&job.service, ahead) {
        return job.limit_refusal(now, permit);
    }
    if let Availability::At(end) = gw.pool.borrow().availability(&job.service) {
        return job.pause_refusal(now, end);
    }
    if tried == 0 {
        let kind = ProblemKind::Refused(Refusal::NoEndpoint);
        return job.refusal(now, kind, "the service has no usable endpoint");
    }
    let detail = format!("none of the {tried} endpoints tried accepted the request");
    job.refusal(now, ProblemKind::Refused(Refusal::Busy), &detail)
}

/// Returns the permission for the next attempt; `None` if none is allowed.
async fn permit_attempt(gw: &Rc<Gateway>, job: &Job, attempts: &Attempts) -> Option<Permit> {
    attempt::permit_attempt(gw, job, attempts.tried.len(), attempts.reached).await
}

/// Returns the next endpoint to try; `None` if no endpoint is left.
fn next_endpoint(gw: &Gateway, job: &Job, attempts: &Attempts) -> Option<PoolKey> {
    let key = job.choose_endpoint(gw, clock::now(), &attempts.tried)?;
    let is_limited = gw.pool.borrow().endpoints.get(key).is_some_and(Endpoint::is_limited);
    let has_waiters = gw.queue.borrow().len(&job.service) > 0;
    // Requests that wait for a permit come first.
    (!is_limited || !has_waiters || attempts.has_waited).then_some(key)
}

/// Waits, in the order of arrival, for a permit for a limited endpoint of the service, or for
/// another endpoint. Returns `false` as soon as the request cannot wait so long.
async fn wait_for_permit(gw: &Gateway, job: &Job) -> bool {
    let entry = QueueEntry::join(gw, job);
    // Permits come unevenly, so a request joins the queue only if there is time for one more.
    let mut spare = usize::from(entry.ahead() > 0);
    loop {
        let before = entry.ahead() + std::mem::take(&mut spare);
        let permit = gw.pool.borrow().permit_time(&job.service, before);
        if permit.is_none_or(|t| t + job.route.target_latency > job.deadline) {
            return false;
        }
        tokio::time::sleep(super::jitter(PERMIT_POLL_INTERVAL)).await;
        limits::refresh(gw, clock::now(), &job.service);
        let is_usable = gw.pool.borrow().endpoints.values().any(|e| e.serves(&job.service));
        if is_usable && entry.ahead() == 0 {
            return true;
        }
    }
}

/// Waits, in the order of arrival, for the end of a pause that all endpoints of the service have
/// asked for. Returns `false` if there is none, or the request cannot wait so long.
async fn wait_for_pause(gw: &Gateway, job: &Job) -> bool {
    let now = clock::now();
    let Availability::At(end) = gw.pool.borrow().availability(&job.service) else { return false };
    let ahead = gw.queue.borrow().len(&job.service);
    let target = job.route.target_latency;
    let Some(wait) = admit::pause_wait(now, end, job.deadline, target, ahead) else {
        return false;
    };
    let _entry = QueueEntry::join(gw, job);
    // The pool ends pauses in its steps.
    tokio::time::sleep(wait + MAINTENANCE_INTERVAL).await;
    true
}

/// Returns the final result for a request that may have run and must not be sent again.
fn final_response(
    job: &Job,
    attempts: &mut Attempts,
    error: AttemptError,
) -> Result<CallResponse, Problem> {
    match attempts.error_response.take() {
        Some((response, body)) => Ok(CallResponse::Complete(response, body)),
        None => Err(attempt::unknown_outcome(job, error)),
    }
}

/// Builds the final result for a request that is not finished when this instance has to exit.
fn expire(job: &Job, attempts: &mut Attempts) -> Result<CallResponse, Problem> {
    if attempts.is_sending || attempts.runs > 0 {
        return final_response(job, attempts, AttemptError::Stopping);
    }
    Err(job.stop_refusal())
}

/// Returns whether there is memory for more of a response; the first bytes are always read. A buffer
/// that is full doubles its size, and there is a copy of it meanwhile.
fn may_grow(job: &Job, body: &BytesMut) -> bool {
    let has_room = body.len() + READ_BYTES <= body.capacity();
    body.len() < READ_BYTES || has_room || job.load.may_keep(body.capacity() * 2)
}

/// Sends a request to one endpoint and reads up to [`RETRY_BUFFER_BYTES`] of the response, or less if
/// memory is short.
async fn try_endpoint(
    gw: &Rc<Gateway>,
    job: &Job,
    key: PoolKey,
    host: Option<Host>,
) -> Result<CallResponse, AttemptError> {
    let _guard = WorkGuard::new(gw, key, job.expected_work());
    let endpoint = gw.pool.borrow().endpoints.get(key).map(|e| e.listing.id.clone());
    let endpoint = endpoint.ok_or(AttemptError::Gone)?;
    let mut run = RunGuard::new(gw, job, host.ok_or(AttemptError::Gone)?);
    let params = ForwardParams {
        endpoint: &endpoint,
        key_owner: job.workspace.as_deref(),
        time_left: job.time_left(clock::now()),
        handoff: None,
        last_event: None,
        resumable: false,
    };
    let mut response = attempt::send(gw, job, key, &params).await.inspect_err(|e| {
        if e.is_not_executed() {
            run.discard();
        }
    })?;
    run.record_head();
    let deadline = TokioInstant::from_std(job.deadline);
    let mut body = BytesMut::new();
    while body.len() <= RETRY_BUFFER_BYTES && may_grow(job, &body) {
        match timeout_at(deadline, response.out.read_chunk()).await {
            Ok(Ok(Some(chunk))) => {
                run.record_event();
                body.extend_from_slice(&chunk);
                response.out.keep_body(body.capacity());
            }
            Ok(Ok(None)) => {
                run.complete(response.out.framing() != Framing::Close);
                return Ok(CallResponse::Complete(response, body.freeze()));
            }
            Ok(Err(broken)) => return Err(AttemptError::of_break(broken)),
            Err(_) => return Err(AttemptError::Late),
        }
    }
    Ok(CallResponse::Partial(response, body.freeze()))
}
