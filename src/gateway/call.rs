//! Requests with one answer.

use super::job::{self, Job, label};
use super::serve::{Next, after};
use super::{Gateway, Place};
use crate::clock;
use crate::event::Kind;
use crate::frame::Refusal;
use crate::h1::{Inbound, Outbound, SendError};
use crate::id::{EndpointId, Tokens};
use crate::platform::{self, Answer, Onward};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use actix_http::ResponseHead;
use actix_http::body::BodySize;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant as TokioInstant, timeout_at};

/// Time to connect to an endpoint.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Bytes of an answer that are held back until its end is here, so that one that breaks off can
/// still be asked for elsewhere.
const HOLD_BYTES: usize = 256 << 10;
/// Endpoints that turn a request away unrun before it is refused.
const OFFERS: usize = 3;
/// Cost of a retry in the budget of this platform, which counts requests.
const ONE: Tokens = Tokens(1);

/// What an endpoint made of a request.
#[derive(Debug)]
pub enum Tried {
    /// It has answered.
    Answered(Taken),
    /// It has not run the request, and never will.
    Unrun(&'static str),
    /// It may have run the request, and no answer can be had.
    Lost(&'static str),
}

/// An answer that has begun.
#[derive(Debug)]
pub struct Taken {
    /// Head as the endpoint sent it.
    pub head: ResponseHead,
    /// What it says.
    pub answer: Answer,
    /// Connection that the rest comes on.
    pub out: Outbound,
    /// Endpoint.
    pub endpoint: EndpointId,
}

/// Sends a request to an endpoint and waits for the head of the answer to it.
pub async fn offer(gw: &Rc<Gateway>, job: &Job, key: PoolKey, onward: &Onward<'_>) -> Tried {
    let Some((address, leave)) =
        gw.pool.borrow().endpoints.get(key).map(|e| (e.listing.address, e.is_leaving()))
    else {
        return Tried::Unrun("gone");
    };
    if leave && onward.handoff.is_none() {
        return Tried::Unrun("leaving");
    }
    let head = job.head(onward);
    let opened = Outbound::open(address, CONNECT_TIME, &gw.codec, head, job.body.clone()).await;
    let mut out = match opened {
        Ok(out) => out,
        Err(SendError::Unreached(_)) => return Tried::Unrun("unreached"),
        Err(SendError::Head(_)) => return Tried::Unrun("head"),
    };
    let deadline = TokioInstant::from_std(job.deadline);
    loop {
        let head = match timeout_at(deadline, out.head()).await {
            Ok(Ok(head)) => head,
            Ok(Err(_)) => return Tried::Lost("broken"),
            Err(_) => return Tried::Lost("late"),
        };
        let answer = platform::scan_answer(&head);
        note_answer(gw, key, &answer);
        if answer.unrun {
            return Tried::Unrun(if answer.misdirected { "misdirected" } else { "full" });
        }
        // The answer to another request belongs to nobody here.
        if job.ask.id.is_some() && answer.id.is_some() && answer.id != job.ask.id {
            return Tried::Lost("foreign");
        }
        if !answer.sealed {
            return Tried::Lost("unsealed");
        }
        return Tried::Answered(Taken { head, answer, out, endpoint: onward.endpoint.clone() });
    }
}

fn note_answer(gw: &Gateway, key: PoolKey, answer: &Answer) {
    let now = clock::now();
    let mut pool = gw.pool.borrow_mut();
    if answer.misdirected {
        pool.note_leaving(now, key);
    }
    if let (Some(load), Some(e)) = (answer.load, pool.endpoints.get_mut(key)) {
        e.load = Some((load, now));
    }
}

/// Counts what became of a request at an endpoint for or against it.
pub fn note_health(gw: &Gateway, key: PoolKey, is_good: bool) {
    if let Some(e) = gw.pool.borrow_mut().endpoints.get_mut(key) {
        if is_good {
            e.health.succeed();
        } else {
            e.health.fail();
        }
    }
}

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
    let close = gw.stopping.get().is_some();
    match replied {
        Ok(Reply::Whole(taken, body)) => {
            note_done(gw, job, &taken);
            let sent = conn.answer(platform::answer_head(&taken.head), body, close).await;
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
    let head = platform::answer_head(&taken.head);
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

/// Sends a request to endpoints until one has answered, or nothing more may be tried.
async fn exchange(gw: &Rc<Gateway>, job: &Job) -> Result<Reply, Problem> {
    gw.budget.borrow_mut().earn(&job.service, ONE);
    let mut tried: Vec<PoolKey> = Vec::new();
    let mut runs = 0;
    let mut failed: Option<(Taken, Bytes)> = None;
    loop {
        let now = clock::now();
        let may_try = tried.is_empty()
            || tried.len() < OFFERS
                && !job.left(now).is_zero()
                && gw.budget.borrow_mut().spend(&job.service, ONE);
        let key = if may_try { job.choose(gw, now, &tried) } else { None };
        let Some(key) = key else {
            return match failed {
                Some((taken, body)) => Ok(Reply::Whole(taken, body)),
                None => Err(give_up(job, runs, tried.is_empty())),
            };
        };
        tried.push(key);
        let why = match attempt(gw, job, key).await {
            Ok(Reply::Whole(taken, body)) => {
                let is_failure = taken.answer.status.is_server_error();
                note_health(gw, key, !is_failure);
                runs += 1;
                if !is_failure || !job.is_idempotent() || runs >= job.route.attempts {
                    return Ok(Reply::Whole(taken, body));
                }
                failed = Some((taken, body));
                "failed"
            }
            Ok(long) => return Ok(long),
            Err(Tried::Unrun(why)) => {
                if why != "full" {
                    note_health(gw, key, false);
                }
                why
            }
            Err(Tried::Lost(why)) => {
                note_health(gw, key, false);
                runs += 1;
                if !job.is_idempotent() || runs >= job.route.attempts {
                    return match failed {
                        Some((taken, body)) => Ok(Reply::Whole(taken, body)),
                        None => Err(lost(job, why)),
                    };
                }
                why
            }
            Err(Tried::Answered(_)) => "answered",
        };
        let detail = format!("why={why} tried={} runs={runs}", tried.len());
        gw.event(Kind::Reoffered, label(job.ask.id.as_ref()), detail);
    }
}

/// Makes the refusal of a request that no endpoint has answered.
fn give_up(job: &Job, runs: u32, is_untried: bool) -> Problem {
    if runs > 0 {
        return lost(job, "failed");
    }
    let (why, detail) = if is_untried {
        (Refusal::NoEndpoint, "no endpoint of the service can be used")
    } else {
        (Refusal::Busy, "the endpoints tried took nothing more")
    };
    job.refusal(clock::now(), ProblemKind::Refused(why), detail)
}

/// Makes the answer to a request whose outcome is not known.
pub fn lost(job: &Job, why: &str) -> Problem {
    if job.left(clock::now()).is_zero() {
        Problem::new(ProblemKind::Late, "no answer came in time")
    } else {
        Problem::new(ProblemKind::Unknown, why)
    }
}

/// Sends a request to one endpoint and reads the answer up to what is held back.
async fn attempt(gw: &Rc<Gateway>, job: &Job, key: PoolKey) -> Result<Reply, Tried> {
    let _place = Place::take(gw, key, job.work());
    let Some(endpoint) = gw.pool.borrow().endpoints.get(key).map(|e| e.listing.id.clone()) else {
        return Err(Tried::Unrun("gone"));
    };
    let onward = Onward {
        endpoint: &endpoint,
        member: job.member.as_deref(),
        left: job.left(clock::now()),
        urgency: None,
        handoff: None,
        last: None,
        resumable: false,
    };
    let mut taken = match offer(gw, job, key, &onward).await {
        Tried::Answered(taken) => taken,
        other => return Err(other),
    };
    let deadline = TokioInstant::from_std(job.deadline);
    let mut body = bytes::BytesMut::new();
    loop {
        match timeout_at(deadline, taken.out.chunk()).await {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) => return Ok(Reply::Whole(taken, body.freeze())),
            Ok(Err(_)) => return Err(Tried::Lost("broken")),
            Err(_) => return Err(Tried::Lost("late")),
        }
        if body.len() > HOLD_BYTES {
            return Ok(Reply::Long(taken, body.freeze()));
        }
    }
}
