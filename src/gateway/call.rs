//! Requests with one answer.

use super::attempt::{self, Miss, Taken};
use super::job::{self, Job, label};
use super::serve::{Next, after};
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
const HOLD_BYTES: usize = 256 << 10;

/// How an answer is passed on.
enum Reply {
    /// It is here as a whole.
    Whole(Taken, Bytes),
    /// It is long: this much is here, the rest follows.
    Long(Taken, Bytes),
}

/// Answers a request that has one answer.
pub async fn answer(gw: &Rc<Gateway>, conn: &mut Inbound, job: &Job) -> Next {
    let replied = tokio::select! {
        replied = exchange(gw, job) => replied,
        () = conn.gone() => {
            gw.event(Kind::Abandoned, label(job.ask.id.as_ref()), "");
            return Next::Abort;
        }
    };
    let close = gw.stopping_since.get().is_some();
    match replied {
        Ok(Reply::Whole(taken, body)) => {
            note_done(gw, job, &taken);
            let sent = conn.answer(platform::response_head(&taken.head), body, close).await;
            after(conn, sent, close)
        }
        Ok(Reply::Long(taken, body)) => relay(gw, conn, job, taken, body, close).await,
        Err(problem) => {
            let sent = job::refuse(gw, conn, job.ask.id.as_ref(), &problem, close).await;
            after(conn, sent, close)
        }
    }
}

fn note_done(gw: &Gateway, job: &Job, taken: &Taken) {
    let ms = clock::now().saturating_duration_since(job.since).as_millis();
    metrics::histogram!("call_seconds").record(ms as f64 / 1e3);
    let status = taken.answer.status.as_u16();
    metrics::counter!("answers_total", "status" => status.to_string()).increment(1);
    let detail = format!("endpoint={} status={status} ms={ms}", taken.endpoint);
    gw.event(Kind::Answered, label(job.ask.id.as_ref()), detail);
}

/// Passes a long answer on as it comes.
async fn relay(
    gw: &Gateway,
    conn: &mut Inbound,
    job: &Job,
    mut taken: Taken,
    first: Bytes,
    close: bool,
) -> Next {
    let head = platform::response_head(&taken.head);
    if conn.start(head, BodySize::Stream, close).await.is_err() || conn.chunk(first).await.is_err()
    {
        return Next::Abort;
    }
    loop {
        let part = tokio::select! {
            part = taken.out.chunk() => part,
            () = conn.gone() => return Next::Abort,
            () = tokio::time::sleep_until(job.deadline.into()) => return Next::Abort,
        };
        match part {
            Ok(Some(part)) => {
                if conn.chunk(part).await.is_err() {
                    return Next::Abort;
                }
            }
            Ok(None) => break,
            Err(e) => {
                let detail = format!("endpoint={} why={e:?}", taken.endpoint);
                gw.event(Kind::Failed, label(job.ask.id.as_ref()), detail);
                return Next::Abort;
            }
        }
    }
    note_done(gw, job, &taken);
    let sent = conn.finish().await;
    after(conn, sent, close)
}

/// What has been tried for a request.
#[derive(Debug, Default)]
struct Trials {
    /// Endpoints that it was sent to.
    tried: Vec<PoolKey>,
    /// Endpoints that have seen it.
    reached: usize,
    /// Endpoints that may have run it.
    runs: u32,
    /// A failure that an endpoint answered with, for want of anything better.
    failed: Option<(Taken, Bytes)>,
}

/// Sends a request to endpoints until one has answered, or nothing more may be tried.
async fn exchange(gw: &Rc<Gateway>, job: &Job) -> Result<Reply, Problem> {
    gw.budget.borrow_mut().earn(&job.service, attempt::COST);
    let mut trials = Trials::default();
    while let Some(key) = next(gw, job, &trials) {
        trials.tried.push(key);
        let miss = match attempt(gw, job, key).await {
            Ok(Reply::Whole(taken, body)) if taken.answer.status.is_server_error() => {
                trials.failed = Some((taken, body));
                Miss::Failed
            }
            Ok(reply) => {
                attempt::note_health(gw, key, true);
                quarantine::clear(gw, job);
                return Ok(reply);
            }
            Err(miss) => miss,
        };
        attempt::note_miss(gw, key, miss);
        trials.reached += usize::from(!miss.is_unseen());
        if miss == Miss::Broken {
            quarantine::suspect(gw, job, key);
        }
        trials.runs += u32::from(!miss.is_unrun());
        if trials.runs > 0 && (!job.is_idempotent() || trials.runs >= job.route.attempts) {
            return conclude(job, trials, miss);
        }
        let detail = format!("why={miss} tried={} runs={}", trials.tried.len(), trials.runs);
        gw.event(Kind::Reoffered, label(job.ask.id.as_ref()), detail);
    }
    if trials.runs > 0 {
        return conclude(job, trials, Miss::Failed);
    }
    let (why, detail) = if trials.tried.is_empty() {
        (Refusal::NoEndpoint, "no endpoint of the service can be used")
    } else {
        (Refusal::Busy, "the endpoints tried took nothing more")
    };
    Err(job.refusal(clock::now(), ProblemKind::Refused(why), detail))
}

/// Returns the endpoint to try next, if one may be tried.
fn next(gw: &Gateway, job: &Job, trials: &Trials) -> Option<PoolKey> {
    if !attempt::may_go_on(gw, job, trials.tried.len(), trials.reached) {
        return None;
    }
    job.choose(gw, clock::now(), &trials.tried)
}

/// Makes the answer to a request that may have run and may not be sent again.
fn conclude(job: &Job, trials: Trials, miss: Miss) -> Result<Reply, Problem> {
    match trials.failed {
        Some((taken, body)) => Ok(Reply::Whole(taken, body)),
        None => Err(attempt::lost(job, miss)),
    }
}

/// Sends a request to one endpoint and reads the answer up to what is held back.
async fn attempt(gw: &Rc<Gateway>, job: &Job, key: PoolKey) -> Result<Reply, Miss> {
    let _place = WorkGuard::new(gw, key, job.work());
    let endpoint = gw.pool.borrow().endpoints.get(key).map(|e| e.listing.id.clone());
    let endpoint = endpoint.ok_or(Miss::Gone)?;
    let onward = ForwardParams {
        endpoint: &endpoint,
        member: job.member.as_deref(),
        time_left: job.left(clock::now()),
        handoff: None,
        last_event: None,
        resumable: false,
    };
    let mut taken = attempt::send(gw, job, key, &onward).await?;
    let deadline = TokioInstant::from_std(job.deadline);
    let mut body = BytesMut::new();
    while body.len() <= HOLD_BYTES {
        match timeout_at(deadline, taken.out.chunk()).await {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) => return Ok(Reply::Whole(taken, body.freeze())),
            Ok(Err(_)) => return Err(Miss::Broken),
            Err(_) => return Err(Miss::Late),
        }
    }
    Ok(Reply::Long(taken, body.freeze()))
}
