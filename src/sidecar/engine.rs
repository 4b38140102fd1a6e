//! HTTP client of the endpoint: streams and orders of a model engine, and calls whose response is
//! read whole.

use super::documents::{self, Fault, StreamEvent};
use super::status::{self, Standing, StreamStatus};
use super::{CONNECT_TIMEOUT, Sidecar, Submission, finish, limits};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Finish, Order, OrderAction, Refusal};
use crate::h1::{self, CallLimits, FetchError, Outbound};
use crate::id::Nonce;
use crate::platform;
use actix_http::{Method, RequestHead, ResponseHead};
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::StreamExt;
use serde_json::json;
use std::fmt;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for a response other than the body of a stream.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bounds of such a call.
const CALL_LIMITS: CallLimits =
    CallLimits { connect: CONNECT_TIMEOUT, wait: CALL_TIMEOUT, max_body: 2 << 20 };
/// Largest body of a refusal.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Shortest time without an event after which a stream is reopened.
const MIN_STREAM_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without an event after which a stream is reopened, as a multiple of the mean time between
/// tokens; at least [`MIN_STREAM_TIMEOUT`].
const STREAM_TIMEOUT_STEPS: u32 = 20;
/// Delay before a broken stream is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(100);
/// Weight of a new gap between tokens in the moving average.
const GAP_SMOOTHING: f64 = 0.05;

/// Why a call has no whole response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallError {
    /// The connection could not be established.
    Unreached,
    /// The response is missing, late, incomplete or malformed, or an error in place of a document.
    Failed,
}

/// How one connection to a stream ended.
enum StreamEnd {
    /// The engine ended or refused the generation.
    Done(Finish),
    /// The stream has to be resumed.
    Broken(Break),
    /// The connection could not be established.
    Unreachable,
    /// The engine does not know the generation.
    Unknown,
    /// The submission is over: the generation has ended, is held or was submitted again.
    Superseded,
}

/// Why a stream has to be resumed.
enum Break {
    /// There was no response.
    Unanswered,
    /// The response does not tell whether the generation runs.
    Status(u16),
    /// The connection ended before the generation.
    Ended,
    /// No event came in time.
    Late,
    /// Tokens before the one that came are missing.
    Gap,
    /// An event cannot be read.
    Unreadable(Fault),
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Break::Unanswered => f.write_str("why=unanswered"),
            Break::Status(status) => write!(f, "why=status status={status}"),
            Break::Ended => f.write_str("why=ended"),
            Break::Late => f.write_str("why=late"),
            Break::Gap => f.write_str("why=gap"),
            Break::Unreadable(fault) => write!(f, "why=unreadable {fault}"),
        }
    }
}

/// Submits a generation to the engine and reads its stream, reopening it after failures, until it
/// ends, is held or is cancelled.
pub async fn run(s: Rc<Sidecar>, submission: Submission) {
    let has_tokens = submission.job(&s.board.borrow()).is_some_and(|j| !j.tokens.is_empty());
    let mut standing = match submission.number {
        _ if has_tokens => Standing::Known,
        1 => Standing::New,
        _ => Standing::Held,
    };
    loop {
        let end = read_stream(&s, submission, &mut standing).await;
        if submission.job(&s.board.borrow()).is_none() {
            return;
        }
        match end {
            StreamEnd::Done(finished) => return finish(&s, submission.key, finished),
            StreamEnd::Superseded => return,
            StreamEnd::Broken(why) => record_silence(&s, submission, &why),
            // Retries until the monitor finds the engine lost; that ends the generation.
            StreamEnd::Unreachable => {}
            StreamEnd::Unknown => return finish(&s, submission.key, Finish::Lost),
        }
        tokio::time::sleep(REOPEN_DELAY).await;
        // The gate took the permission for the first attempt.
        while !s.board.borrow_mut().throttle.take(clock::now()) {
            if submission.job(&s.board.borrow()).is_none() {
                return;
            }
            tokio::time::sleep(REOPEN_DELAY).await;
        }
    }
}

/// Ends a generation whose stream is no longer read.
pub async fn give_up(s: &Rc<Sidecar>, submission: Submission) {
    let nonce = submission.job(&s.board.borrow()).map(|j| j.start.generation.nonce);
    let Some(nonce) = nonce else { return };
    finish(s, submission.key, Finish::Lost);
    cancel(s.clone(), nonce).await;
}

fn record_silence(s: &Sidecar, submission: Submission, why: &Break) {
    if let Some(job) = submission.job(&s.board.borrow()) {
        s.process.event(Kind::EngineSilent, &job.start.generation, why);
    }
}

async fn read_stream(
    s: &Rc<Sidecar>,
    submission: Submission,
    standing: &mut Standing,
) -> StreamEnd {
    let Some(request) = stream_request(s, submission, *standing == Standing::Known) else {
        return StreamEnd::Superseded;
    };
    let address = s.engine;
    let sent_at = clock::now();
    let sent = Outbound::connect(address, CONNECT_TIMEOUT, &s.codec, request.head, request.body);
    let Ok(mut out) = sent.await else { return StreamEnd::Unreachable };
    // Once a connection was made, the engine may have the generation even without a response.
    let Ok(Ok(head)) = tokio::time::timeout(CALL_TIMEOUT, out.read_head()).await else {
        *standing = Standing::Known;
        return StreamEnd::Broken(Break::Unanswered);
    };
    limits::record_response(s, sent_at, platform::parse_limit(head.headers()));
    let code = head.status.as_u16();
    let mut status = status::classify(code, *standing);
    if matches!(status, StreamStatus::NotRun | StreamStatus::Forgotten) && !is_whole(&mut out).await
    {
        status = StreamStatus::MayRun;
    }
    if status == StreamStatus::NotRun {
        return StreamEnd::Done(Finish::NotRun(Refusal::Down));
    }
    *standing = Standing::Known;
    match status {
        StreamStatus::Open => {}
        StreamStatus::Forgotten => return StreamEnd::Unknown,
        StreamStatus::NotRun | StreamStatus::MayRun => {
            return StreamEnd::Broken(Break::Status(code));
        }
    }
    let mut events = pin!(out.into_chunks().eventsource());
    loop {
        let event = match tokio::time::timeout(stream_timeout(s), events.next()).await {
            Ok(Some(Ok(event))) => event,
            Ok(_) => return StreamEnd::Broken(Break::Ended),
            Err(_) => return StreamEnd::Broken(Break::Late),
        };
        if let Some(end) = handle_event(s, submission, &event) {
            return end;
        }
    }
}

/// Reads the body of a refusal; returns whether it is whole. One that is cut off says nothing of the
/// generation.
async fn is_whole(out: &mut Outbound) -> bool {
    let read = tokio::time::timeout(CALL_TIMEOUT, out.skip_body(MAX_REFUSAL_BYTES)).await;
    matches!(read, Ok(Ok(())))
}

/// Handles one event of a stream; returns how the stream ended if this was its last event.
fn handle_event(s: &Sidecar, submission: Submission, event: &Event) -> Option<StreamEnd> {
    if event.data == "[DONE]" {
        return Some(StreamEnd::Done(Finish::Stop));
    }
    let StreamEvent { token, finish } = match documents::read_stream_event(&event.id, &event.data) {
        Ok(event) => event,
        Err(fault) => {
            fault.count();
            return Some(StreamEnd::Broken(Break::Unreadable(fault)));
        }
    };
    if let Some((ix, text)) = token
        && let Some(end) = push_token(s, submission, ix, text)
    {
        return Some(end);
    }
    match finish.as_deref() {
        Some("stop") => Some(StreamEnd::Done(Finish::Stop)),
        Some("length") => Some(StreamEnd::Done(Finish::Length)),
        _ => None,
    }
}

/// A request that opens a stream.
struct StreamRequest {
    head: RequestHead,
    body: Bytes,
}

/// Returns the request that submits the generation or resumes its stream; `None` once the
/// submission is over.
fn stream_request(s: &Sidecar, submission: Submission, is_known: bool) -> Option<StreamRequest> {
    let board = s.board.borrow();
    let job = submission.job(&board)?;
    let id = job.start.generation.nonce;
    if is_known {
        let path = format!("/v1/streams/{id}?from={}", job.tokens.len());
        let head = h1::request_head(s.engine, Method::GET, &path, None)?;
        return Some(StreamRequest { head, body: Bytes::new() });
    }
    let body = json!({
        "request_id": id.to_string(),
        "model": &*job.start.spec,
        "prompt": &*job.start.prompt,
        "max_tokens": job.start.limit.0,
        "priority": job.start.rank,
        "stream": true,
    });
    let content = Some("application/json");
    let head = h1::request_head(s.engine, Method::POST, "/v1/completions", content)?;
    Some(StreamRequest { head, body: body.to_string().into() })
}

fn stream_timeout(s: &Sidecar) -> Duration {
    MIN_STREAM_TIMEOUT.max(s.board.borrow().engine.gap * STREAM_TIMEOUT_STEPS)
}

/// Appends the token with index `ix` if it is the next one. Returns how the stream ended if the
/// submission is over or a token is missing before this one.
fn push_token(s: &Sidecar, submission: Submission, ix: u32, text: Arc<str>) -> Option<StreamEnd> {
    let mut board = s.board.borrow_mut();
    let board = &mut *board;
    if submission.job(board).is_none() {
        return Some(StreamEnd::Superseded);
    }
    let job = board.jobs.get_mut(submission.key)?;
    let next = job.tokens.len() as u32;
    // A token that is held already is skipped. If tokens are missing, the stream is reopened from
    // the first of them.
    if ix != next {
        return (ix > next).then_some(StreamEnd::Broken(Break::Gap));
    }
    let now = clock::now();
    if job.prefilled {
        let gap = now.saturating_duration_since(job.last_active).as_secs_f64();
        let mean = board.engine.gap.as_secs_f64();
        let smoothed = mean + GAP_SMOOTHING * (gap - mean);
        board.engine.gap = Duration::from_secs_f64(smoothed.max(0.0));
    } else {
        // The gate limits concurrent prefills, so the end of one may allow the next to start.
        s.wake.notify_one();
    }
    job.prefilled = true;
    job.begun.get_or_insert(now);
    job.last_active = now;
    job.tokens.push(text);
    board.fair.charge(&job.start.workspace, job.start.weight, 1);
    s.polls.notify();
    None
}

/// Cancels a generation on the engine. The engine keeps what it needs to resume it; a failure of
/// the call is ignored.
pub async fn cancel(s: Rc<Sidecar>, nonce: Nonce) {
    let path = format!("/v1/streams/{nonce}");
    let _ = call(&s, Method::DELETE, &path, Bytes::new()).await;
}

/// Makes a call to the engine or the plain service.
pub async fn call(
    s: &Sidecar,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(ResponseHead, Bytes), CallError> {
    let content = (!body.is_empty()).then_some("application/json");
    let head = h1::request_head(s.engine, method, path, content).ok_or(CallError::Failed)?;
    h1::fetch(s.engine, &CALL_LIMITS, &s.codec, head, body).await.map_err(|e| match e {
        FetchError::Unsent(_) => CallError::Unreached,
        FetchError::Broken(_) | FetchError::Slow => CallError::Failed,
    })
}

/// Fetches a document of the engine. Only a success has one; the body of an error may look like it.
pub async fn read_document(s: &Sidecar, path: &str) -> Result<(ResponseHead, Bytes), CallError> {
    let (head, body) = call(s, Method::GET, path, Bytes::new()).await?;
    if !head.status.is_success() {
        return Err(CallError::Failed);
    }
    Ok((head, body))
}

/// Sends an order to the engine and returns whether the engine accepted it.
pub async fn order(s: &Sidecar, order: &Order) -> bool {
    let (action, spec) = match &order.action {
        OrderAction::Load(spec) => ("load", spec),
        OrderAction::Unload(spec) => ("unload", spec),
    };
    let body = json!({ "fence": order.fence.0, "action": action, "spec": &**spec });
    let called = call(s, Method::POST, "/v1/orders", body.to_string().into()).await;
    called.is_ok_and(|(head, _)| head.status.is_success())
}
