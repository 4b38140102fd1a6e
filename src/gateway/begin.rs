//! Finds the engine that begins a generation.

use super::attempt::{self, AttemptError, EndpointResponse};
use super::job::{Job, log_id};
use super::{Gateway, WorkGuard, peers, quarantine};
use crate::admit::{Ticket, Verdict};
use crate::clock;
use crate::event::Kind;
use crate::frame::Refusal;
use crate::gossip::Work;
use crate::id::ServiceName;
use crate::platform::{ForwardParams, Handoff};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use crate::sse::EventId;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time between two looks for room, about that between two messages of another instance.
const ADMISSION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The part of a generation that one engine makes.
pub struct Segment {
    /// Its answer.
    pub response: EndpointResponse,
    /// Its place at the engine.
    pub place: WorkGuard,
    /// Tells that the engine begins to leave.
    pub leaving: Rc<Notify>,
    /// What was at the engine when it was sent, its own included.
    pub load: Work,
    /// When it was sent.
    pub sent: Instant,
}

/// A generation in line, until it begins or is given up.
struct QueueEntry<'a> {
    gw: &'a Gateway,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl<'a> QueueEntry<'a> {
    fn join(gw: &'a Gateway, job: &'a Job) -> Self {
        let ticket = gw.queue.borrow_mut().join(&job.service, job.urgency());
        QueueEntry { gw, service: &job.service, ticket }
    }

    fn is_first(&self) -> bool {
        self.gw.queue.borrow().is_first(self.service, self.ticket)
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.gw.queue.borrow_mut().leave(self.service, self.ticket);
    }
}

/// Waits until an engine has room.
async fn wait_for_engine(
    gw: &Rc<Gateway>,
    job: &Job,
    tried: &[PoolKey],
) -> Result<PoolKey, Problem> {
    let entry = QueueEntry::join(gw, job);
    let mut denied = tried.to_vec();
    loop {
        let now = clock::now();
        let is_first = entry.is_first();
        match job.decide_admission(gw, now, &denied) {
            Verdict::Send(key) if is_first => {
                if is_granted(gw, job, key).await {
                    return Ok(key);
                }
                denied.push(key);
            }
            Verdict::Refuse(after) => {
                let line = gw.queue.borrow().len(&job.service);
                let waited = now.saturating_duration_since(job.received).as_millis();
                let (shortage, size) = (job.shortage(gw, now), job.size_suffix());
                let detail = format!(
                    "no engine has room in time: waited_ms={waited} line={line} {shortage}{size}"
                );
                let kind = ProblemKind::Refused(Refusal::Busy);
                return Err(Problem::new(kind, detail).retry(super::jitter(after)));
            }
            Verdict::Send(_) | Verdict::Wait => {
                denied.truncate(tried.len());
                tokio::time::sleep(super::jitter(ADMISSION_POLL_INTERVAL)).await;
            }
        }
    }
}

/// Asks whoever decides for an engine.
async fn is_granted(gw: &Gateway, job: &Job, key: PoolKey) -> bool {
    let Some(tag) = gw.pool.borrow().endpoints.get(key).map(|e| e.tag) else { return false };
    peers::request_admission(gw, tag, &job.entrant(gw, clock::now())).await
}

/// Finds an engine that begins the generation.
pub async fn dispatch(gw: &Rc<Gateway>, job: &Job) -> Result<Segment, Problem> {
    gw.budget.borrow_mut().earn(&job.service, attempt::RETRY_COST);
    let mut tried: Vec<PoolKey> = Vec::new();
    let mut reached = 0;
    loop {
        if !attempt::permit_attempt(gw, job, tried.len(), reached) {
            let kind = ProblemKind::Refused(Refusal::Busy);
            return Err(job.refusal(clock::now(), kind, "the engines tried took nothing more"));
        }
        let key = wait_for_engine(gw, job, &tried).await?;
        tried.push(key);
        let place = WorkGuard::new(gw, key, job.expected_work());
        let error = match open_segment(gw, job, place, None, None).await {
            Ok(leg) => return Ok(leg),
            Err(error) => error,
        };
        attempt::record_error(gw, key, error);
        reached += usize::from(!error.is_undelivered());
        if error == AttemptError::Broken {
            quarantine::check_crash(gw, job, key);
        }
        if !error.is_not_executed() {
            return Err(attempt::unknown_outcome(job, error));
        }
        let detail = format!("why={error} tried={}", tried.len());
        gw.event(Kind::Reoffered, log_id(job.meta.id.as_ref()), detail);
    }
}

/// Sends a generation to one engine and waits for the head of its answer.
pub async fn open_segment(
    gw: &Rc<Gateway>,
    job: &Job,
    place: WorkGuard,
    handoff: Option<&Handoff>,
    last: Option<EventId>,
) -> Result<Segment, AttemptError> {
    let found = gw
        .pool
        .borrow()
        .endpoints
        .get(place.key)
        .map(|e| (e.listing.id.clone(), e.leave.clone(), e.work()));
    let sent = clock::now();
    let Some((endpoint, leaving, load)) = found else { return Err(AttemptError::Gone) };
    let onward = ForwardParams {
        endpoint: &endpoint,
        member: job.workspace.as_deref(),
        time_left: job.time_left(clock::now()),
        handoff,
        last_event: last,
        resumable: job.route.resumable,
    };
    let response = attempt::send(gw, job, place.key, &onward).await?;
    Ok(Segment { response, place, leaving, load, sent })
}
