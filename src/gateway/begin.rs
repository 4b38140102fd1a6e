//! Dispatch of new generations: waits for admission and sends the request to an engine.

use super::attempt::{self, AttemptError, EndpointResponse};
use super::examine::{self, Host, RunGuard};
use super::job::{Job, log_id};
use super::retries;
use super::{Gateway, WorkGuard, admission, quarantine};
use crate::admit::{self, Decision, Place, Ticket};
use crate::clock;
use crate::event::Kind;
use crate::frame::Refusal;
use crate::gossip::Work;
use crate::id::ServiceName;
use crate::platform::{ForwardParams, Handoff};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use crate::route::Route;
use crate::speed::{Slowness, Speed};
use crate::sse::EventId;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval between admission checks, about that between two load digests of another instance.
const ADMISSION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The part of a generation that runs on one engine; a migration starts a new segment.
pub struct Segment {
    /// Response of the engine.
    pub response: EndpointResponse,
    /// Load counted on the engine while the segment runs.
    pub guard: WorkGuard,
    /// Tracks whether the run crashes its engine.
    pub run: RunGuard,
    /// Notified when the engine starts to leave.
    pub leaving: Rc<Notify>,
    /// Load of the engine at the time of sending, including this generation.
    pub load: Work,
    /// When the request was sent to the engine.
    pub sent: Instant,
    /// Engines that may have run the request, this one included. A migration does not count.
    pub runs: u32,
    /// Number of times that the coordinator of an engine denied admission before.
    pub denials: u32,
    /// Number of generations that it passed in the admission queue.
    pub passed: usize,
}

impl Segment {
    /// Records that the engine `took` this time until the first event. Returns its slowness, if it
    /// states that.
    pub fn record_prefill(
        &self,
        gw: &Gateway,
        now: Instant,
        took: Duration,
        service: &ServiceName,
    ) -> Option<Slowness> {
        let (key, unread) = (self.guard.key, self.load.unread);
        let mut rates = gw.prefill_rates.borrow_mut();
        let rate = rates.entry(service.clone()).or_default();
        let mut pool = gw.pool.borrow_mut();
        pool.observe_prefill(now, key, unread, took, rate.token_cost());
        let speed = pool.endpoints.get(key).map(|e| e.speed).filter(Speed::is_stated);
        let slowness = speed.map(|speed| speed.slowness(now));
        rate.observe(unread, took.div_f64(slowness.unwrap_or(Slowness::USUAL).factor()));
        slowness
    }
}

/// A place in the admission queue of a service, given up on drop.
pub struct QueueEntry<'a> {
    gw: &'a Gateway,
    service: &'a ServiceName,
    ticket: Ticket,
    /// Number of requests that it is passing, until its engine has admitted it.
    passing: usize,
}

impl<'a> QueueEntry<'a> {
    /// Joins the queue of the job's service, and keeps its place there.
    pub fn join(gw: &'a Gateway, job: &'a Job) -> Self {
        let ticket = gw.queue.borrow_mut().join(&job.service, job.urgency());
        QueueEntry { gw, service: &job.service, ticket, passing: 0 }
    }

    /// Joins the queue as a generation that may pass others, where that is in use.
    fn join_generation(gw: &'a Gateway, job: &'a Job) -> Self {
        let Some(work) = passing_work(gw, job) else { return QueueEntry::join(gw, job) };
        let ticket = gw.queue.borrow_mut().join_sized(&job.service, job.urgency(), work);
        QueueEntry { gw, service: &job.service, ticket, passing: 0 }
    }

    /// Returns the number of requests that come before this one.
    pub fn ahead(&self) -> usize {
        self.gw.queue.borrow().ahead(self.service, self.ticket)
    }

    /// Returns whether the generation may be sent to an engine now, and if so records that it is.
    fn take_turn(&mut self, key: PoolKey) -> bool {
        let mut queue = self.gw.queue.borrow_mut();
        let place = queue.place(self.service, self.ticket);
        if !self.gw.pool.borrow().endpoints.get(key).is_some_and(|e| place.may_start(e)) {
            return false;
        }
        self.passing = queue.pass(self.service, self.ticket);
        queue.set_blocked(self.service, self.ticket, false);
        true
    }

    /// Records that the generation was denied admission.
    fn end_turn(&mut self) {
        if std::mem::take(&mut self.passing) > 0 {
            self.gw.queue.borrow_mut().undo_pass(self.service, self.ticket);
        }
    }

    /// Records that the generation cannot be sent now.
    fn set_blocked(&self) {
        self.gw.queue.borrow_mut().set_blocked(self.service, self.ticket, true);
    }

    /// Leaves the queue for an engine. Returns the number of requests passed.
    fn begin(mut self) -> usize {
        let passed = std::mem::take(&mut self.passing);
        metrics::counter!("queue_starts_total", "passed" => (passed > 0).to_string()).increment(1);
        passed
    }

    /// Returns the place of the generation for a log line.
    fn detail(&self) -> String {
        let queue = self.gw.queue.borrow();
        let (len, ahead) = (queue.len(self.service), queue.ahead(self.service, self.ticket));
        let passed = queue.times_passed(self.service, self.ticket);
        format!("line={len} ahead={ahead} passed_by={passed}")
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.end_turn();
        self.gw.queue.borrow_mut().leave(self.service, self.ticket);
    }
}

/// Returns the work of a generation that may pass others in the queue; `None` if it keeps its place.
fn passing_work(gw: &Gateway, job: &Job) -> Option<Work> {
    job.engine()?;
    let table = gw.table.borrow();
    let routes = table.iter().flat_map(|table| table.hosts.values().flatten());
    let is_of_service = |r: &&Rc<Route>| r.services.iter().any(|s| s.service == job.service);
    let targets = routes.filter(is_of_service).map(|r| r.target_latency);
    let may_pass = admit::has_passing(&gw.pool.borrow(), &job.service, targets);
    may_pass.then(|| job.expected_work())
}

/// Returns the place that a generation would have in the queue if it joined now.
pub fn place_of_new(gw: &Gateway, job: &Job) -> Place {
    let work = passing_work(gw, job);
    gw.queue.borrow().place_of_new(&job.service, job.urgency(), work)
}

/// An engine that has admitted a generation.
struct Admission {
    key: PoolKey,
    /// Number of denials before.
    denials: u32,
    /// Number of waiting requests that the generation passed.
    passed: usize,
}

/// Waits until an engine admits the generation.
///
/// # Errors
///
/// Returns a problem as soon as no engine could begin it in time, or once it is quarantined.
async fn wait_for_engine(
    gw: &Rc<Gateway>,
    job: &Job,
    tried: &[PoolKey],
) -> Result<Admission, Problem> {
    let mut denials = 0;
    loop {
        quarantine::wait_for_trial(gw, job).await?;
        if let Some(admission) = queue(gw, job, tried, &mut denials).await? {
            return Ok(admission);
        }
    }
}

/// Waits in the admission queue until an engine admits the generation. Returns `None` once it has to
/// wait for the trial of a part, so that it does not hold up others in the queue.
async fn queue(
    gw: &Rc<Gateway>,
    job: &Job,
    tried: &[PoolKey],
    denials: &mut u32,
) -> Result<Option<Admission>, Problem> {
    let mut entry = QueueEntry::join_generation(gw, job);
    let mut denied = tried.to_vec();
    loop {
        quarantine::check(gw, job)?;
        if quarantine::must_wait(gw, job) {
            return Ok(None);
        }
        let now = clock::now();
        match job.decide_admission(gw, now, entry.ahead(), &denied) {
            Decision::Send(key) if entry.take_turn(key) => {
                if admission::request(gw, job, key, &denied, *denials).await {
                    quarantine::check(gw, job)?;
                    if quarantine::must_wait(gw, job) {
                        return Ok(None);
                    }
                    let passed = entry.begin();
                    return Ok(Some(Admission { key, denials: *denials, passed }));
                }
                entry.end_turn();
                denied.push(key);
                *denials += 1;
            }
            Decision::Refuse(after) => return Err(busy(gw, job, now, &entry, after)),
            Decision::Send(_) | Decision::Wait => {
                entry.set_blocked();
                denied.truncate(tried.len());
                tokio::time::sleep(super::jitter(ADMISSION_POLL_INTERVAL)).await;
            }
        }
    }
}

/// Builds the refusal of a generation that no engine could begin in time.
fn busy(
    gw: &Gateway,
    job: &Job,
    now: Instant,
    entry: &QueueEntry<'_>,
    retry_after: Duration,
) -> Problem {
    let waited = now.saturating_duration_since(job.received).as_millis();
    let (shortage, size, place) = (job.shortage(gw, now), job.prompt_suffix(), entry.detail());
    let detail = format!(
        "no engine can admit the generation in time: waited_ms={waited} {place} {shortage}{size}"
    );
    let kind = ProblemKind::Refused(Refusal::Busy);
    Problem::new(kind, detail).retry_after(super::jitter(retry_after))
}

/// Sends a generation to engines until one responds. `may_run` tells the caller of a dispatch that is
/// cut short whether the generation may have run.
///
/// # Errors
///
/// Returns a problem if the generation was not admitted in time, the attempts are used up, or an
/// attempt may have run and the generation is not idempotent.
pub async fn dispatch(
    gw: &Rc<Gateway>,
    job: &Job,
    may_run: &Cell<bool>,
) -> Result<Segment, Problem> {
    retries::note_request(gw, &job.service);
    gw.pool.borrow_mut().note_demand(&job.service);
    let mut tried: Vec<PoolKey> = Vec::new();
    let (mut reached, mut runs) = (0, 0);
    loop {
        may_run.set(runs > 0);
        let Some(permit) = attempt::permit_attempt(gw, job, tried.len(), reached).await else {
            return Err(exhausted(job, tried.len(), runs));
        };
        let Admission { key, denials, passed } = match wait_for_engine(gw, job, &tried).await {
            Ok(admission) => admission,
            Err(problem) => {
                permit.release();
                return Err(problem);
            }
        };
        let guard = WorkGuard::new(gw, key, job.expected_work());
        may_run.set(true);
        let (sent, host) = (clock::now(), Host::find(gw, job, key));
        let error = match open_segment(gw, job, guard, None, None).await {
            Ok(segment) => return Ok(Segment { runs: runs + 1, denials, passed, ..segment }),
            // Another request took the permit meanwhile.
            Err(AttemptError::Limited) => {
                permit.release();
                continue;
            }
            Err(error) => error,
        };
        permit.settle(error.is_undelivered());
        reached += usize::from(!error.is_undelivered());
        tried.push(key);
        record_failure(gw, job, key, host.as_ref(), error, sent);
        if error == AttemptError::Quarantined {
            return Err(attempt::unknown_outcome(job, error));
        }
        runs += u32::from(!error.is_not_executed());
        let may_rerun =
            job.is_idempotent() && runs < job.route.max_attempts && quarantine::may_rerun(gw, job);
        if runs > 0 && !may_rerun {
            return Err(attempt::unknown_outcome(job, error));
        }
        let detail = format!("why={error} tried={}{}", tried.len(), error.reason_suffix());
        gw.event(Kind::Reoffered, log_id(job.meta.id.as_ref()), detail);
    }
}

/// Records an attempt at `sent` that failed, and has the engine examined if it may have crashed.
fn record_failure(
    gw: &Rc<Gateway>,
    job: &Job,
    key: PoolKey,
    host: Option<&Host>,
    error: AttemptError,
    sent: Instant,
) {
    attempt::record_error(gw, key, error);
    if let Some((host, cause)) = host.zip(error.cause()) {
        examine::check_crash(gw, job, host, sent, cause);
    }
}

/// Builds the problem for a generation that may not be sent to another engine.
fn exhausted(job: &Job, tried: usize, runs: u32) -> Problem {
    if runs > 0 {
        return attempt::unknown_outcome(job, AttemptError::Failed);
    }
    let detail = format!("none of the {tried} engines tried accepted the generation");
    job.refusal(clock::now(), ProblemKind::Refused(Refusal::Busy), &detail)
}

/// Sends a generation to one engine and waits for the head of the response.
///
/// `handoff` and `last` are set to resume a migrated generation: they name the memory to continue
/// from and the last event that the caller has.
pub async fn open_segment(
    gw: &Rc<Gateway>,
    job: &Job,
    guard: WorkGuard,
    handoff: Option<&Handoff>,
    last: Option<EventId>,
) -> Result<Segment, AttemptError> {
    let found = gw
        .pool
        .borrow()
        .endpoints
        .get(guard.key)
        .map(|e| (e.listing.id.clone(), e.leave_signal.clone(), e.work()));
    let sent = clock::now();
    let Some((endpoint, leaving, load)) = found else { return Err(AttemptError::Gone) };
    let host = Host::find(gw, job, guard.key).ok_or(AttemptError::Gone)?;
    let mut run = RunGuard::new(gw, job, host);
    let params = ForwardParams {
        endpoint: &endpoint,
        key_owner: job.workspace.as_deref(),
        time_left: job.time_left(clock::now()),
        handoff,
        last_event: last,
        resumable: job.route.resumable,
    };
    let sending = tokio::select! {
        response = attempt::send(gw, job, guard.key, &params) => response,
        // Closing the connection cancels the request before the engine begins to answer it.
        () = quarantine::refused(gw, job) => Err(AttemptError::Quarantined),
    };
    let response = sending.inspect_err(|e| {
        if e.is_not_executed() {
            run.discard();
        }
    })?;
    run.record_head();
    Ok(Segment { response, guard, run, leaving, load, sent, runs: 1, denials: 0, passed: 0 })
}

/// Sends an idempotent generation that broke off after event `last` to another engine, which runs
/// it anew from there.
///
/// # Errors
///
/// Returns an error if no further attempt is allowed or none succeeds.
pub async fn rerun(
    gw: &Rc<Gateway>,
    job: &Job,
    broken: &Segment,
    last: Option<EventId>,
) -> Result<Segment, AttemptError> {
    let tried = [broken.guard.key];
    if !job.is_idempotent() || broken.runs >= job.route.max_attempts {
        return Err(AttemptError::Failed);
    }
    if !quarantine::may_rerun(gw, job) {
        return Err(AttemptError::Quarantined);
    }
    // The stream has begun, so it does not wait for admission a second time.
    let key = job.choose_endpoint(gw, clock::now(), &tried).ok_or(AttemptError::Gone)?;
    let permit = attempt::permit_attempt(gw, job, tried.len(), tried.len()).await;
    let permit = permit.ok_or(AttemptError::Failed)?;
    let guard = WorkGuard::new(gw, key, job.expected_work());
    let (sent, host) = (clock::now(), Host::find(gw, job, key));
    let opened = open_segment(gw, job, guard, None, last).await;
    permit.settle(opened.as_ref().is_err_and(|e| e.is_undelivered()));
    let segment = opened.inspect_err(|error| {
        record_failure(gw, job, key, host.as_ref(), *error, sent);
    })?;
    if !segment.response.is_stream() {
        return Err(AttemptError::Failed);
    }
    let detail = format!("why=broken tried=1 after={}", last.map_or(0, |id| id.0));
    gw.event(Kind::Reoffered, log_id(job.meta.id.as_ref()), detail);
    Ok(Segment { runs: broken.runs + 1, ..segment })
}
