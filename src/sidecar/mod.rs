//! The sidecar process. One runs beside each endpoint, and all requests to the endpoint pass
//! through it.

mod calls;
pub mod documents;
mod engine;
mod limits;
mod monitor;
mod peers;
mod polls;
mod restore;
pub mod status;

use crate::board::{Job, JobKey, Phase, SidecarBoard};
use crate::clock;
use crate::event::{self, Kind};
use crate::frame::{Crash, Finish, Refusal, Report};
use crate::gate::{self, Action, Gate};
use crate::http::{self, Body};
use crate::id::Tokens;
use crate::intent::Intent;
use crate::lead::{FENCE_KEY, Guard, fence_at};
use crate::net::{Acceptor, Purpose};
use crate::once::{Ledger, Limits};
use crate::peer::Listener;
use crate::process::{OutageLog, Process};
use crate::settings::{Admission, EndpointKind, EndpointSettings};
use crate::shutdown::{Drain, StopSignals, run_stop};
use crate::store::{Era, Etcd, MARKER_KEY, Op, Position, Store};
use crate::task::{self, Unfinished};
use actix_http::ServiceConfig;
use polls::Polls;
use restore::Restore;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, Notify};

/// Time limit for connecting to the endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of scheduler steps while generations are queued, running or held.
const BUSY_STEP_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of scheduler steps at other times.
const IDLE_STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of crashes in one report; older ones are left out.
const MAX_REPORTED_CRASHES: usize = 16;
/// Longest time for which a shutdown waits for readers to fetch the end of a generation.
const SHUTDOWN_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Mean delay before the fencing number is read again after a failure.
const FENCE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// State shared by the tasks of the sidecar.
#[derive(Debug)]
struct Sidecar {
    process: Process,
    endpoint: EndpointSettings,
    board: RefCell<SidecarBoard>,
    gate: RefCell<Gate>,
    ledger: RefCell<Ledger>,
    guard: RefCell<Guard>,
    restore: Restore,
    polls: Polls,
    /// Wakes the scheduler before its next interval.
    wake: Notify,
    /// Address of the engine or the plain service.
    engine: SocketAddr,
    /// Configuration of the HTTP/1 codecs for calls and streams.
    codec: ServiceConfig,
}

/// Runs the sidecar of an endpoint until it has received a stop signal and finished its work.
///
/// # Errors
///
/// Returns [`Unfinished`] if the work has not finished in the time of the settings.
pub async fn run(
    process: Process,
    endpoint: EndpointSettings,
    metrics: http::Metrics,
    mut stop_signals: StopSignals,
) -> Result<(), Unfinished> {
    // A sidecar keeps the configuration for entries that start while the store is unavailable.
    process.intent.replace(Intent::relay());
    let peers = Listener::open(process.settings.peer);
    let web = http::open(process.settings.http, Purpose::Probes);
    let sidecar = Rc::new(Sidecar {
        board: RefCell::new(SidecarBoard::default()),
        gate: RefCell::new(Gate { open: endpoint.admission == Admission::Open }),
        ledger: RefCell::new(Ledger::new(clock::now(), process.incarnation, Limits::default())),
        guard: RefCell::new(Guard::default()),
        restore: Restore::default(),
        polls: Polls::default(),
        wake: Notify::new(),
        engine: endpoint.address,
        codec: ServiceConfig::default(),
        endpoint,
        process,
    });
    sidecar.process.event(Kind::Started, &sidecar.process.settings.instance, "sidecar");
    task::spawn("peers", peers::serve(sidecar.clone(), peers));
    keep(&sidecar, "polls", polls::run_flush);
    keep(&sidecar, "endpoint", monitor::run);
    keep(&sidecar, "fence", learn_fence);
    keep(&sidecar, "scheduler", run_scheduler);
    let acceptor = Rc::new(Mutex::new(Acceptor::new(web, event::log)));
    task::keep("http", move || {
        let (acceptor, metrics) = (acceptor.clone(), metrics.clone());
        async move {
            let mut acceptor = acceptor.lock().await;
            let handler = move |req| std::future::ready(handle_http(req, &metrics));
            http::serve(&mut *acceptor, handler).await;
        }
    });
    stop_signals.wait().await;
    let stop = Drain::new(clock::now(), sidecar.process.settings.stop_grace);
    run_stop(stop, || drain(&sidecar)).await
}

/// Starts a task that serves as long as the process runs.
fn keep<F: Future<Output = ()>>(
    sidecar: &Rc<Sidecar>,
    name: &'static str,
    run: impl Fn(Rc<Sidecar>) -> F + 'static,
) {
    let sidecar = sidecar.clone();
    task::keep(name, move || run(sidecar.clone()));
}

fn handle_http(req: actix_http::Request, metrics: &http::Metrics) -> actix_http::Response<Body> {
    match req.path() {
        "/metrics" => http::full_response(200, "text/plain", metrics.render()),
        "/healthz" => http::full_response(200, "text/plain", "ok"),
        _ => http::full_response(404, "text/plain", "not found"),
    }
}

/// Refuses new work, and returns once all work has ended and readers have fetched the results.
async fn drain(s: &Sidecar) {
    s.board.borrow_mut().leaving = true;
    s.process.event(Kind::Draining, &s.process.settings.instance, "");
    // Reports to the entries at once that this endpoint is leaving.
    s.polls.flush_all();
    let is_done = || {
        let now = clock::now();
        let board = s.board.borrow();
        let is_read = |j: &Job| j.end_sent || j.last_active + SHUTDOWN_READ_TIMEOUT <= now;
        board.is_idle() && board.jobs.values().all(is_read)
    };
    while !is_done() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // nng sends the last replies on its own threads; this leaves time for them.
    tokio::time::sleep(Duration::from_millis(300)).await;
    s.process.event(Kind::Stopped, &s.process.settings.instance, "");
}

/// Reads the highest fencing number from the store, retrying until this succeeds. Until then the
/// guard refuses orders.
async fn learn_fence(s: Rc<Sidecar>) {
    let store = Etcd::new(s.process.settings.store);
    let mut outage = OutageLog::new("fence");
    loop {
        let reads = [Op::Get(MARKER_KEY.into()), Op::Get(FENCE_KEY.into())];
        match store.txn(&[], &reads, &[]).await {
            Ok(outcome) => {
                let found = |ix| outcome.found.get(ix).and_then(Option::as_ref);
                let era = restore::parse_marker(found(0)).map_or(Era::default(), |m| m.era);
                let revision = found(1).map_or(0, |f| f.revision);
                let highest = fence_at(Position::new(era, revision));
                s.guard.borrow_mut().learn_fence(highest);
                return outage.end(&s.process);
            }
            Err(e) => outage.fail(&s.process, clock::now(), e, &store.last_failure()),
        }
        tokio::time::sleep(FENCE_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Runs the ledger and the gate at each wake-up and at short intervals.
async fn run_scheduler(s: Rc<Sidecar>) {
    loop {
        let is_busy = {
            let board = s.board.borrow();
            board.jobs.values().any(|j| matches!(j.phase, Phase::Queued | Phase::Held))
                || board.count(Phase::Running) > 0
        };
        let wait = if is_busy { BUSY_STEP_INTERVAL } else { IDLE_STEP_INTERVAL };
        let _ = tokio::time::timeout(wait, s.wake.notified()).await;
        let now = clock::now();
        s.ledger.borrow_mut().step(now);
        // Each action changes the state on which the gate decides, so the gate is run again until
        // it returns no actions, at most 64 times.
        for _ in 0..64 {
            let actions = s.gate.borrow_mut().step(now, &mut s.board.borrow_mut());
            if actions.is_empty() {
                break;
            }
            for action in actions {
                execute(&s, action);
            }
        }
    }
}

fn execute(s: &Rc<Sidecar>, action: Action) {
    match action {
        Action::Begin(key) => begin(s, key, Kind::Begun),
        Action::Continue(key) => begin(s, key, Kind::Continued),
        Action::Hold(key) => hold(s, key),
        Action::Refuse(key, refusal) => finish(s, key, Finish::NotRun(refusal)),
        Action::Abandon(key) => cancel(s, key),
    }
}

/// One submission of a generation to the engine.
#[derive(Debug, Clone, Copy)]
struct Submission {
    key: JobKey,
    /// Value of [`Job::submissions`] at this submission.
    number: u32,
}

impl Submission {
    /// Returns the generation, or `None` once it has ended, is held or was submitted again.
    fn job(self, board: &SidecarBoard) -> Option<&Job> {
        board
            .jobs
            .get(self.key)
            .filter(|j| j.phase == Phase::Running && j.submissions == self.number)
    }
}

/// Submits a generation to the engine, either for the first time or to continue it after a hold.
fn begin(s: &Rc<Sidecar>, key: JobKey, kind: Kind) {
    let mut board = s.board.borrow_mut();
    let Some(job) = board.jobs.get_mut(key).filter(|j| !matches!(j.phase, Phase::Ended(_))) else {
        return;
    };
    job.phase = Phase::Running;
    job.prefilled = false;
    job.submissions += 1;
    job.last_active = clock::now();
    s.process.event(kind, &job.start.generation, format_args!("at={}", job.tokens.len()));
    let submission = Submission { key, number: job.submissions };
    let lost = s.clone();
    let give_up = move || async move { engine::give_up(&lost, submission).await };
    task::spawn_or("generation", engine::run(s.clone(), submission), give_up);
}

/// Preempts a running generation: cancels it on the engine and keeps its tokens, so that it can be
/// continued.
fn hold(s: &Rc<Sidecar>, key: JobKey) {
    let mut board = s.board.borrow_mut();
    let Some(job) = board.jobs.get_mut(key) else { return };
    job.phase = Phase::Held;
    metrics::counter!("generations_held_total").increment(1);
    s.process.event(Kind::Held, &job.start.generation, format_args!("at={}", job.tokens.len()));
    task::spawn("cancel", engine::cancel(s.clone(), job.start.generation.nonce));
}

/// Ends a generation for its readers, and cancels it on the engine if it was submitted.
fn cancel(s: &Rc<Sidecar>, key: JobKey) {
    let found = s.board.borrow().jobs.get(key).map(|j| (j.phase, j.start.generation.nonce));
    if let Some((phase, nonce)) = found {
        if matches!(phase, Phase::Running | Phase::Held) {
            task::spawn("cancel", engine::cancel(s.clone(), nonce));
        }
        finish(s, key, Finish::Cancelled);
    }
}

/// Records the end of a generation and wakes its readers and the scheduler.
fn finish(s: &Sidecar, key: JobKey, end: Finish) {
    let mut board = s.board.borrow_mut();
    let board = &mut *board;
    let Some(job) = board.jobs.get_mut(key) else { return };
    if matches!(job.phase, Phase::Ended(_)) {
        return;
    }
    job.phase = Phase::Ended(end);
    job.last_active = clock::now();
    let (start, n) = (&job.start, Tokens(job.tokens.len() as u32));
    if let Finish::NotRun(why) = end {
        s.process.event(Kind::Refused, &start.generation, format_args!("why={why:?}"));
    }
    let has_ended = matches!(end, Finish::Stop | Finish::Length);
    if has_ended || n.0 > 0 {
        board.lengths.record(&start.service, &start.workspace, n, has_ended);
    }
    s.polls.notify();
    s.wake.notify_one();
}

/// Returns the report on this endpoint that each poll reply includes.
fn report(s: &Sidecar) -> Report {
    let now = clock::now();
    let board = s.board.borrow();
    let engine = &board.engine;
    let pool: Arc<str> = match &s.endpoint.kind {
        EndpointKind::Engine(model) => Arc::from(model.as_str()),
        EndpointKind::Plain(service) => Arc::from(service.as_str()),
    };
    let running = board.count(Phase::Running);
    let skip = board.crashes.len().saturating_sub(MAX_REPORTED_CRASHES);
    Report {
        leaving: board.leaving,
        alive: engine.alive,
        pool,
        loaded: engine.loaded.clone(),
        running: running + board.calls - board.waiting_calls.len() as u32,
        waiting: board.count(Phase::Queued)
            + board.count(Phase::Held)
            + board.waiting_calls.len() as u32,
        backlog: gate::backlog(&board),
        capacity: engine.capacity,
        forecast: gate::forecast(&board) as u32,
        gap: engine.gap.as_micros() as u32,
        epoch: s.ledger.borrow().epoch(),
        prefixes: engine.prefixes.clone(),
        crashes: board.crashes[skip..].iter().map(|(at, c)| with_age(now, *at, c)).collect(),
        store: s.restore.known(),
        restored: s.restore.restored(),
        limited: !board.throttle.wait(now, board.waiting_calls.len()).is_zero(),
    }
}

/// Returns a crash at `at` with its age at `now`.
fn with_age(now: Instant, at: Instant, crash: &Crash) -> Crash {
    let age = now.saturating_duration_since(at).as_millis() as u64;
    Crash { age, ..crash.clone() }
}

/// Returns a retry delay in milliseconds, as in [`Reply::Refused`](crate::frame::Reply::Refused).
pub fn retry_millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}

/// Refusal of a request that names another incarnation of this sidecar.
const WRONG_INCARNATION: Refusal = Refusal::Down;
