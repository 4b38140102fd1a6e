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
const MAX_REACHED: usize = 3;
/// Endpoints that a request is sent to in all; those that take no connection cost them nothing.
const MAX_ATTEMPTS: usize = 10;
/// Cost of a retry in the budget of this platform, which counts requests.
pub const RETRY_COST: Tokens = Tokens(1);
/// Time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why an endpoint gave no answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptError {
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

impl AttemptError {
    /// Tells whether the request has not run there, and never will.
    pub fn is_not_executed(self) -> bool {
        use AttemptError::{Full, Gone, Head, Leaving, Misdirected, Unreached};
        matches!(self, Gone | Leaving | Unreached | Head | Full | Misdirected)
    }

    /// Tells whether the endpoint has not even seen the request.
    pub fn is_undelivered(self) -> bool {
        matches!(
            self,
            AttemptError::Gone
                | AttemptError::Leaving
                | AttemptError::Unreached
                | AttemptError::Head
        )
    }

    /// Tells whether it speaks against the endpoint: one that is full says so and is well.
    pub fn is_endpoint_failure(self) -> bool {
        !matches!(self, AttemptError::Full | AttemptError::Gone | AttemptError::Leaving)
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", format!("{self:?}").to_ascii_lowercase())
    }
}

/// An answer that has begun.
#[derive(Debug)]
pub struct EndpointResponse {
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
) -> Result<EndpointResponse, AttemptError> {
    let found = gw.pool.borrow().endpoints.get(key).map(|e| (e.listing.address, e.is_leaving()));
    let (address, is_leaving) = found.ok_or(AttemptError::Gone)?;
    if is_leaving && onward.handoff.is_none() {
        return Err(AttemptError::Leaving);
    }
    let head = job.forward_head(onward);
    let opened = Outbound::open(address, CONNECT_TIMEOUT, &gw.codec, head, job.body.clone()).await;
    let mut out = opened.map_err(|e| match e {
        SendError::Unreached(_) => AttemptError::Unreached,
        SendError::Head(_) => AttemptError::Head,
    })?;
    let deadline = TokioInstant::from_std(job.deadline);
    let head = match timeout_at(deadline, out.head()).await {
        Ok(head) => head.map_err(|_| AttemptError::Broken)?,
        Err(_) => return Err(AttemptError::Late),
    };
    let answer = platform::parse_response(&head);
    gw.pool.borrow_mut().note_present(key);
    record_response(gw, key, &answer);
    check_response(job, &answer)?;
    Ok(EndpointResponse { head, answer, out, endpoint: onward.endpoint.clone() })
}

/// Tells whether a request may be sent once more, after it was sent to `tried` endpoints and
/// reached `reached` of them.
pub fn permit_attempt(gw: &Gateway, job: &Job, tried: usize, reached: usize) -> bool {
    let is_free = reached == 0;
    let is_open =
        tried < MAX_ATTEMPTS && reached < MAX_REACHED && !job.time_left(clock::now()).is_zero();
    is_open && (is_free || gw.budget.borrow_mut().spend(&job.service, RETRY_COST))
}

/// Counts a failed attempt for or against its endpoint.
pub fn record_error(gw: &Gateway, key: PoolKey, error: AttemptError) {
    if error == AttemptError::Unreached {
        if let Some(change) = gw.pool.borrow_mut().note_absent(clock::now(), key) {
            gw.log_change(change);
        }
    } else if error.is_endpoint_failure() {
        record_health(gw, key, false);
    }
}

/// Tells whether an answer is the endpoint's, and to this request.
fn check_response(job: &Job, answer: &ResponseInfo) -> Result<(), AttemptError> {
    if answer.misdirected {
        return Err(AttemptError::Misdirected);
    }
    if answer.not_run {
        return Err(AttemptError::Full);
    }
    if job.meta.id.is_some() && answer.id.is_some() && answer.id != job.meta.id {
        return Err(AttemptError::Foreign);
    }
    if answer.sealed { Ok(()) } else { Err(AttemptError::Unsealed) }
}

fn record_response(gw: &Gateway, key: PoolKey, answer: &ResponseInfo) {
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
pub fn record_health(gw: &Gateway, key: PoolKey, is_success: bool) {
    if let Some(e) = gw.pool.borrow_mut().endpoints.get_mut(key) {
        if is_success {
            e.health.record_success();
        } else {
            e.health.record_failure();
        }
    }
}

/// Makes the answer to a request whose outcome is not known.
pub fn unknown_outcome(job: &Job, error: AttemptError) -> Problem {
    if job.time_left(clock::now()).is_zero() {
        Problem::new(ProblemKind::Late, "no answer came in time")
    } else {
        Problem::new(ProblemKind::Unknown, error.to_string())
    }
}
