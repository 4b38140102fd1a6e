//! Finds the engine that begins a generation.

use super::attempt::{self, Miss, Taken};
use super::job::{Job, label};
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
const ROOM_TIME: Duration = Duration::from_millis(20);

/// The part of a generation that one engine makes.
pub struct Leg {
    /// Its answer.
    pub taken: Taken,
    /// Its place at the engine.
    pub place: WorkGuard,
    /// Tells that the engine begins to leave.
    pub leave: Rc<Notify>,
    /// What was at the engine when it was sent, its own included.
    pub load: Work,
    /// When it was sent.
    pub sent: Instant,
}

/// A generation in line, until it begins or is given up.
struct Waiting<'a> {
    gw: &'a Gateway,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl<'a> Waiting<'a> {
    fn join(gw: &'a Gateway, job: &'a Job) -> Self {
        let ticket = gw.queue.borrow_mut().join(&job.service, job.urgency());
        Waiting { gw, service: &job.service, ticket }
    }

    fn is_first(&self) -> bool {
        self.gw.queue.borrow().is_first(self.service, self.ticket)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gw.queue.borrow_mut().leave(self.service, self.ticket);
    }
}

/// Waits until an engine has room.
async fn room(gw: &Rc<Gateway>, job: &Job, tried: &[PoolKey]) -> Result<PoolKey, Problem> {
    let waiting = Waiting::join(gw, job);
    let mut denied = tried.to_vec();
    loop {
        let now = clock::now();
        let is_first = waiting.is_first();
        match job.decide(gw, now, &denied) {
            Verdict::Send(key) if is_first => {
                if is_granted(gw, job, key).await {
                    return Ok(key);
                }
                denied.push(key);
            }
            Verdict::Refuse(after) => {
                let line = gw.queue.borrow().len(&job.service);
                let waited = now.saturating_duration_since(job.since).as_millis();
                let (shortage, size) = (job.shortage(gw, now), job.size());
                let detail = format!(
                    "no engine has room in time: waited_ms={waited} line={line} {shortage}{size}"
                );
                let kind = ProblemKind::Refused(Refusal::Busy);
                return Err(Problem::new(kind, detail).retry(super::jitter(after)));
            }
            Verdict::Send(_) | Verdict::Wait => {
                denied.truncate(tried.len());
                tokio::time::sleep(super::jitter(ROOM_TIME)).await;
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
pub async fn begin(gw: &Rc<Gateway>, job: &Job) -> Result<Leg, Problem> {
    gw.budget.borrow_mut().earn(&job.service, attempt::COST);
    let mut tried: Vec<PoolKey> = Vec::new();
    let mut reached = 0;
    loop {
        if !attempt::may_go_on(gw, job, tried.len(), reached) {
            let kind = ProblemKind::Refused(Refusal::Busy);
            return Err(job.refusal(clock::now(), kind, "the engines tried took nothing more"));
        }
        let key = room(gw, job, &tried).await?;
        tried.push(key);
        let place = WorkGuard::new(gw, key, job.work());
        let miss = match open(gw, job, place, None, None).await {
            Ok(leg) => return Ok(leg),
            Err(miss) => miss,
        };
        attempt::note_miss(gw, key, miss);
        reached += usize::from(!miss.is_unseen());
        if miss == Miss::Broken {
            quarantine::suspect(gw, job, key);
        }
        if !miss.is_unrun() {
            return Err(attempt::lost(job, miss));
        }
        let detail = format!("why={miss} tried={}", tried.len());
        gw.event(Kind::Reoffered, label(job.ask.id.as_ref()), detail);
    }
}

/// Sends a generation to one engine and waits for the head of its answer.
pub async fn open(
    gw: &Rc<Gateway>,
    job: &Job,
    place: WorkGuard,
    handoff: Option<&Handoff>,
    last: Option<EventId>,
) -> Result<Leg, Miss> {
    let found = gw
        .pool
        .borrow()
        .endpoints
        .get(place.key)
        .map(|e| (e.listing.id.clone(), e.leave.clone(), e.work()));
    let sent = clock::now();
    let Some((endpoint, leave, load)) = found else { return Err(Miss::Gone) };
    let onward = ForwardParams {
        endpoint: &endpoint,
        member: job.member.as_deref(),
        time_left: job.left(clock::now()),
        handoff,
        last_event: last,
        resumable: job.route.resumable,
    };
    let taken = attempt::send(gw, job, place.key, &onward).await?;
    Ok(Leg { taken, place, leave, load, sent })
}
