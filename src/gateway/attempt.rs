//! Sends a request to one endpoint.

use super::Gateway;
use super::job::Job;
use crate::clock;
use crate::h1::{Outbound, SendError};
use crate::id::{EndpointId, Tokens};
use crate::platform::{self, ForwardParams, ResponseInfo};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use actix_http::ResponseHead;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant as TokioInstant, timeout_at};

/// Endpoints that a request reaches, those that turn it away unrun included.
const OFFERS: usize = 3;
/// Endpoints that a request is sent to in all; those that take no connection cost them nothing.
const TRIES: usize = 10;
/// Cost of a retry in the budget of this platform, which counts requests.
pub const COST: Tokens = Tokens(1);
/// Time to connect to an endpoint.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Why an endpoint gave no answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    /// It is no longer known.
    Gone,
    /// It is leaving.
    Leaving,
    /// It was not reached.
    Unreached,
    /// The head of the request cannot be sent.
    Head,
    /// It has no place for the request.
    Full,
    /// Another endpoint has its address.
    Misdirected,
    /// The connection ended before the answer did.
    Broken,
    /// No answer came in time.
    Late,
    /// The answer belongs to another request.
    Foreign,
    /// The answer does not bear the endpoint's signature.
    Unsealed,
    /// It answered with a failure of its own.
    Failed,
}

impl Miss {
    /// Tells whether the request has not run there, and never will.
    pub fn is_unrun(self) -> bool {
        use Miss::{Full, Gone, Head, Leaving, Misdirected, Unreached};
        matches!(self, Gone | Leaving | Unreached | Head | Full | Misdirected)
    }

    /// Tells whether the endpoint has not even seen the request.
    pub fn is_unseen(self) -> bool {
        matches!(self, Miss::Gone | Miss::Leaving | Miss::Unreached | Miss::Head)
    }

    /// Tells whether it speaks against the endpoint: one that is full says so and is well.
    pub fn is_failure(self) -> bool {
        !matches!(self, Miss::Full | Miss::Gone | Miss::Leaving)
    }
}

impl fmt::Display for Miss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", format!("{self:?}").to_ascii_lowercase())
    }
}

/// An answer that has begun.
#[derive(Debug)]
pub struct Taken {
    /// Head as the endpoint sent it.
    pub head: ResponseHead,
    /// What it says.
    pub answer: ResponseInfo,
    /// Connection that the rest comes on.
    pub out: Outbound,
    /// Endpoint.
    pub endpoint: EndpointId,
}

/// Sends a request to an endpoint and waits for the head of the answer to it.
pub async fn send(
    gw: &Rc<Gateway>,
    job: &Job,
    key: PoolKey,
    onward: &ForwardParams<'_>,
) -> Result<Taken, Miss> {
    let found = gw.pool.borrow().endpoints.get(key).map(|e| (e.listing.address, e.is_leaving()));
    let (address, is_leaving) = found.ok_or(Miss::Gone)?;
    if is_leaving && onward.handoff.is_none() {
        return Err(Miss::Leaving);
    }
    let head = job.head(onward);
    let opened = Outbound::open(address, CONNECT_TIME, &gw.codec, head, job.body.clone()).await;
    let mut out = opened.map_err(|e| match e {
        SendError::Unreached(_) => Miss::Unreached,
        SendError::Head(_) => Miss::Head,
    })?;
    let deadline = TokioInstant::from_std(job.deadline);
    let head = match timeout_at(deadline, out.head()).await {
        Ok(head) => head.map_err(|_| Miss::Broken)?,
        Err(_) => return Err(Miss::Late),
    };
    let answer = platform::parse_response(&head);
    gw.pool.borrow_mut().note_present(key);
    note_answer(gw, key, &answer);
    check(job, &answer)?;
    Ok(Taken { head, answer, out, endpoint: onward.endpoint.clone() })
}

/// Tells whether a request may be sent once more, after it was sent to `tried` endpoints and
/// reached `reached` of them.
pub fn may_go_on(gw: &Gateway, job: &Job, tried: usize, reached: usize) -> bool {
    let is_free = reached == 0;
    let is_open = tried < TRIES && reached < OFFERS && !job.left(clock::now()).is_zero();
    is_open && (is_free || gw.budget.borrow_mut().spend(&job.service, COST))
}

/// Counts a failed attempt for or against its endpoint.
pub fn note_miss(gw: &Gateway, key: PoolKey, miss: Miss) {
    if miss == Miss::Unreached {
        if let Some(change) = gw.pool.borrow_mut().note_absent(clock::now(), key) {
            gw.log_change(change);
        }
    } else if miss.is_failure() {
        note_health(gw, key, false);
    }
}

/// Tells whether an answer is the endpoint's, and to this request.
fn check(job: &Job, answer: &ResponseInfo) -> Result<(), Miss> {
    if answer.misdirected {
        return Err(Miss::Misdirected);
    }
    if answer.not_run {
        return Err(Miss::Full);
    }
    if job.ask.id.is_some() && answer.id.is_some() && answer.id != job.ask.id {
        return Err(Miss::Foreign);
    }
    if answer.sealed { Ok(()) } else { Err(Miss::Unsealed) }
}

fn note_answer(gw: &Gateway, key: PoolKey, answer: &ResponseInfo) {
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
            e.health.record_success();
        } else {
            e.health.record_failure();
        }
    }
}

/// Makes the answer to a request whose outcome is not known.
pub fn lost(job: &Job, why: Miss) -> Problem {
    if job.left(clock::now()).is_zero() {
        Problem::new(ProblemKind::Late, "no answer came in time")
    } else {
        Problem::new(ProblemKind::Unknown, why.to_string())
    }
}
