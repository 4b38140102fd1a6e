//! Requests with one answer.

use super::attempt::{self, AttemptError, EndpointResponse};
use super::job::{self, Job, log_id};
use super::serve::{Disposition, disposition};
use super::{Gateway, WorkGuard, quarantine};
use crate::clock;
use crate::event::Kind;
use crate::frame::Refusal;
use crate::h1::Inbound;
use crate::platform::{self, ForwardParams};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use actix_http::body::BodySize;
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use tokio::time::{Instant as TokioInstant, timeout_at};

/// Bytes of an answer that are held back until its end is here, so that one that breaks off can
/// still be asked for elsewhere.
const RETRY_BUFFER_BYTES: usize = 256 << 10;

/// How an answer is passed on.
enum CallResponse {
    /// It is here as a whole.
    Complete(EndpointResponse, Bytes),
    /// It is long: this much is here, the rest follows.
    Partial(EndpointResponse, Bytes),
}

/// Answers a request that has one answer.
pub async fn answer(gw: &Rc<Gateway>, conn: &mut Inbound, job: &Job) -> Disposition {
    let replied = tokio::select! {
        replied = send_with_retries(gw, job) => replied,
        () = conn.gone() => {
            gw.event(Kind::Abandoned, log_id(job.meta.id.as_ref()), "");
            return Disposition::Abort;
        }
    };
    let close = gw.stopping_since.get().is_some();
    match replied {
        Ok(CallResponse::Complete(response, body)) => {
            record_answer(gw, job, &response);
            let sent = conn.answer(platform::response_head(&response.head), body, close).await;
            disposition(conn, sent, close)
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
    let status = response.answer.status.as_u16();
    metrics::counter!("answers_total", "status" => status.to_string()).increment(1);
    let detail = format!("endpoint={} status={status} ms={ms}", response.endpoint);
    gw.event(Kind::Answered, log_id(job.meta.id.as_ref()), detail);
}

/// Passes a long answer on as it comes.
async fn relay(
    gw: &Gateway,
    conn: &mut Inbound,
    job: &Job,
    mut response: EndpointResponse,
    first: Bytes,
    close: bool,
) -> Disposition {
    let head = platform::response_head(&response.head);
    if conn.start(head, BodySize::Stream, close).await.is_err() || conn.chunk(first).await.is_err()
    {
        return Disposition::Abort;
    }
    loop {
        let part = tokio::select! {
            part = response.out.chunk() => part,
            () = conn.gone() => return Disposition::Abort,
            () = tokio::time::sleep_until(job.deadline.into()) => return Disposition::Abort,
        };
        match part {
            Ok(Some(part)) => {
                if conn.chunk(part).await.is_err() {
                    return Disposition::Abort;
                }
            }
            Ok(None) => break,
            Err(e) => {
                let detail = format!("endpoint={} why={e:?}", response.endpoint);
                gw.event(Kind::Failed, log_id(job.meta.id.as_ref()), detail);
                return Disposition::Abort;
            }
        }
    }
    record_answer(gw, job, &response);
    let sent = conn.finish().await;
    disposition(conn, sent, close)
}

/// What has been tried for a request.
#[derive(Debug, Default)]
struct Attempts {
    /// Endpoints that it was sent to.
    tried: Vec<PoolKey>,
    /// Endpoints that have seen it.
    reached: usize,
    /// Endpoints that may have run it.
    runs: u32,
    /// A failure that an endpoint answered with, for want of anything better.
    error_response: Option<(EndpointResponse, Bytes)>,
}

/// Sends a request to endpoints until one has answered, or nothing more may be tried.
async fn send_with_retries(gw: &Rc<Gateway>, job: &Job) -> Result<CallResponse, Problem> {
    gw.budget.borrow_mut().earn(&job.service, attempt::RETRY_COST);
    let mut attempts = Attempts::default();
    while let Some(key) = next_endpoint(gw, job, &attempts) {
        attempts.tried.push(key);
        let error = match try_endpoint(gw, job, key).await {
            Ok(CallResponse::Complete(response, body))
                if response.answer.status.is_server_error() =>
            {
                attempts.error_response = Some((response, body));
                AttemptError::Failed
            }
            Ok(reply) => {
                attempt::record_health(gw, key, true);
                quarantine::clear(gw, job);
                return Ok(reply);
            }
            Err(error) => error,
        };
        attempt::record_error(gw, key, error);
        attempts.reached += usize::from(!error.is_undelivered());
        if error == AttemptError::Broken {
            quarantine::check_crash(gw, job, key);
        }
        attempts.runs += u32::from(!error.is_not_executed());
        if attempts.runs > 0 && (!job.is_idempotent() || attempts.runs >= job.route.attempts) {
            return final_response(job, attempts, error);
        }
        let detail = format!("why={error} tried={} runs={}", attempts.tried.len(), attempts.runs);
        gw.event(Kind::Reoffered, log_id(job.meta.id.as_ref()), detail);
    }
    if attempts.runs > 0 {
        return final_response(job, attempts, AttemptError::Failed);
    }
    let (why, detail) = if attempts.tried.is_empty() {
        (Refusal::NoEndpoint, "no endpoint of the service can be used")
    } else {
        (Refusal::Busy, "the endpoints tried took nothing more")
    };
    Err(job.refusal(clock::now(), ProblemKind::Refused(why), detail))
}

/// Returns the endpoint to try next, if one may be tried.
fn next_endpoint(gw: &Gateway, job: &Job, attempts: &Attempts) -> Option<PoolKey> {
    if !attempt::permit_attempt(gw, job, attempts.tried.len(), attempts.reached) {
        return None;
    }
    job.choose_endpoint(gw, clock::now(), &attempts.tried)
}

/// Makes the answer to a request that may have run and may not be sent again.
fn final_response(
    job: &Job,
    attempts: Attempts,
    error: AttemptError,
) -> Result<CallResponse, Problem> {
    match attempts.error_response {
        Some((response, body)) => Ok(CallResponse::Complete(response, body)),
        None => Err(attempt::unknown_outcome(job, error)),
    }
}

/// Sends a request to one endpoint and reads the answer up to what is held back.
async fn try_endpoint(
    gw: &Rc<Gateway>,
    job: &Job,
    key: PoolKey,
) -> Result<CallResponse, AttemptError> {
    let _place = WorkGuard::new(gw, key, job.expected_work());
    let endpoint = gw.pool.borrow().endpoints.get(key).map(|e| e.listing.id.clone());
    let endpoint = endpoint.ok_or(AttemptError::Gone)?;
    let onward = ForwardParams {
        endpoint: &endpoint,
        member: job.workspace.as_deref(),
        time_left: job.time_left(clock::now()),
        handoff: None,
        last_event: None,
        resumable: false,
    };
    let mut response = attempt::send(gw, job, key, &onward).await?;
    let deadline = TokioInstant::from_std(job.deadline);
    let mut body = BytesMut::new();
    while body.len() <= RETRY_BUFFER_BYTES {
        match timeout_at(deadline, response.out.chunk()).await {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) => return Ok(CallResponse::Complete(response, body.freeze())),
            Ok(Err(_)) => return Err(AttemptError::Broken),
            Err(_) => return Err(AttemptError::Late),
        }
    }
    Ok(CallResponse::Partial(response, body.freeze()))
}
