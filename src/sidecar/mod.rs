//! The small process beside each endpoint, and the only way to it.

mod calls;
mod engine;
mod peers;
mod polls;

use crate::board::{Job, JobKey, Phase, SidecarBoard};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Finish, Refusal, Report};
use crate::gate::{self, Action, Gate};
use crate::http::{self, Body, Fresh};
use crate::id::{Fence, Tokens};
use crate::intent::Intent;
use crate::lead::{FENCE_KEY, Guard};
use crate::once::{Ledger, Limits};
use crate::peer::{Listener, PeerError};
use crate::process::Process;
use crate::settings::{Admission, EndpointKind, EndpointSettings};
use crate::shutdown;
use crate::store::{Etcd, Store};
use polls::Polls;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time to connect to the endpoint.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Time between two looks at the queue while generations wait.
const STEP_TIME: Duration = Duration::from_millis(5);
/// Time between two looks where nothing waits.
const IDLE_TIME: Duration = Duration::from_millis(50);
/// Crashes named in each report.
const CRASHES_TOLD: usize = 16;
/// Time that an ended generation is offered to readers during a stop.
const LINGER: Duration = Duration::from_secs(5);
/// Pause between tries to learn the fencing number.
const FENCE_RETRY: Duration = Duration::from_secs(2);

/// Tells why a sidecar cannot run.
#[derive(Debug)]
pub enum SidecarError {
    /// The settings name no endpoint.
    NoEndpoint,
    /// The address for peers cannot be used.
    Peer(PeerError),
    /// The address for HTTP cannot be used.
    Http(std::io::Error),
}

/// The state of the daemon.
#[derive(Debug)]
struct Sidecar {
    process: Process,
    endpoint: EndpointSettings,
    board: RefCell<SidecarBoard>,
    gate: RefCell<Gate>,
    ledger: RefCell<Ledger>,
    guard: RefCell<Guard>,
    polls: Polls,
    wake: Notify,
    engine: Fresh,
}

/// Runs a sidecar until it is told to stop and has finished its work.
///
/// # Errors
///
/// Returns [`SidecarError`] where an address cannot be used.
pub async fn run(process: Process, metrics: http::Metrics) -> Result<(), SidecarError> {
    let endpoint = process.settings.endpoint.clone().ok_or(SidecarError::NoEndpoint)?;
    // A sidecar holds the text for entries that come up while the store is down.
    process.intent.replace(Intent::relay());
    let listener = Listener::bind(process.settings.peer).map_err(SidecarError::Peer)?;
    let web = http::bind(process.settings.http).await.map_err(SidecarError::Http)?;
    let sidecar = Rc::new(Sidecar {
        board: RefCell::new(SidecarBoard::default()),
        gate: RefCell::new(Gate { open: endpoint.admission == Admission::Open }),
        ledger: RefCell::new(Ledger::new(clock::now(), process.incarnation, Limits::default())),
        guard: RefCell::new(Guard::default()),
        polls: Polls::default(),
        wake: Notify::new(),
        engine: Fresh::new(endpoint.address, CONNECT_TIME),
        endpoint,
        process,
    });
    sidecar.process.event(Kind::Started, &sidecar.process.settings.instance, "sidecar");
    actix_rt::spawn(peers::serve(sidecar.clone(), listener));
    actix_rt::spawn(polls::flush(sidecar.clone()));
    actix_rt::spawn(engine::watch(sidecar.clone()));
    actix_rt::spawn(learn_fence(sidecar.clone()));
    actix_rt::spawn(drive(sidecar.clone()));
    actix_rt::spawn(http::serve(web, move |req| {
        let metrics = metrics.clone();
        async move { answer(req, &metrics) }
    }));
    shutdown::wait_for_signal().await;
    stop(&sidecar).await;
    Ok(())
}

fn answer(req: actix_http::Request, metrics: &http::Metrics) -> actix_http::Response<Body> {
    match req.path() {
        "/metrics" => http::full(200, "text/plain", metrics.render()),
        "/healthz" => http::full(200, "text/plain", "ok"),
        _ => http::full(404, "text/plain", "not found"),
    }
}

/// Finishes what runs, takes nothing new, and returns when readers have all.
async fn stop(s: &Sidecar) {
    s.board.borrow_mut().leaving = true;
    s.process.event(Kind::Draining, &s.process.settings.instance, "");
    // A leaving endpoint says so at once.
    s.polls.announce();
    let is_done = || {
        let now = clock::now();
        let board = s.board.borrow();
        let is_read = |j: &Job| j.end_sent || j.last_active + LINGER <= now;
        board.is_idle() && board.jobs.values().all(is_read)
    };
    while !is_done() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The last answers leave through nng's own threads.
    tokio::time::sleep(Duration::from_millis(300)).await;
    s.process.event(Kind::Stopped, &s.process.settings.instance, "");
}

/// Reads the highest fencing number once; no order is taken before.
async fn learn_fence(s: Rc<Sidecar>) {
    let store = Etcd::new(s.process.settings.store);
    loop {
        if let Ok(found) = store.get(FENCE_KEY).await {
            let floor = found.map_or(0, |f| f.revision);
            s.guard.borrow_mut().learn_fence(Fence(floor));
            return;
        }
        tokio::time::sleep(FENCE_RETRY.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Runs the controllers whenever something happened, and at short intervals.
async fn drive(s: Rc<Sidecar>) {
    loop {
        let is_waiting = {
            let board = s.board.borrow();
            board.jobs.values().any(|j| matches!(j.phase, Phase::Queued | Phase::Held))
                || board.count(Phase::Running) > 0
        };
        let wait = if is_waiting { STEP_TIME } else { IDLE_TIME };
        let _ = tokio::time::timeout(wait, s.wake.notified()).await;
        let now = clock::now();
        s.ledger.borrow_mut().step(now);
        // Each action changes what the next one may be.
        for _ in 0..64 {
            let actions = s.gate.borrow_mut().step(now, &mut s.board.borrow_mut());
            if actions.is_empty() {
                break;
            }
            for action in actions {
                carry_out(&s, action);
            }
        }
    }
}

fn carry_out(s: &Rc<Sidecar>, action: Action) {
    match action {
        Action::Begin(key) => begin(s, key, Kind::Begun),
        Action::Continue(key) => begin(s, key, Kind::Continued),
        Action::Hold(key) => hold(s, key),
        Action::Refuse(key, refusal) => finish(s, key, Finish::NotRun(refusal)),
        Action::Abandon(key) => cancel(s, key),
    }
}

/// One time that a generation is on the engine.
#[derive(Debug, Clone, Copy)]
struct Turn {
    key: JobKey,
    n: u32,
}

impl Turn {
    /// Returns the generation while this turn lasts.
    fn job(self, board: &SidecarBoard) -> Option<&Job> {
        board.jobs.get(self.key).filter(|j| j.phase == Phase::Running && j.submissions == self.n)
    }
}

fn begin(s: &Rc<Sidecar>, key: JobKey, kind: Kind) {
    let mut board = s.board.borrow_mut();
    let Some(job) = board.jobs.get_mut(key) else { return };
    job.phase = Phase::Running;
    job.prefilled = false;
    job.submissions += 1;
    job.last_active = clock::now();
    s.process.event(kind, &job.start.generation, format_args!("at={}", job.tokens.len()));
    let turn = Turn { key, n: job.submissions };
    actix_rt::spawn(engine::run(s.clone(), turn));
}

fn hold(s: &Rc<Sidecar>, key: JobKey) {
    let mut board = s.board.borrow_mut();
    let Some(job) = board.jobs.get_mut(key) else { return };
    job.phase = Phase::Held;
    metrics::counter!("generations_held_total").increment(1);
    s.process.event(Kind::Held, &job.start.generation, format_args!("at={}", job.tokens.len()));
    actix_rt::spawn(engine::cancel(s.clone(), job.start.generation.nonce));
}

/// Ends a generation for its reader, on the engine too.
fn cancel(s: &Rc<Sidecar>, key: JobKey) {
    let found = s.board.borrow().jobs.get(key).map(|j| (j.phase, j.start.generation.nonce));
    if let Some((phase, nonce)) = found {
        if matches!(phase, Phase::Running | Phase::Held) {
            actix_rt::spawn(engine::cancel(s.clone(), nonce));
        }
        finish(s, key, Finish::Cancelled);
    }
}

/// Records the end of a generation and wakes its readers.
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
    let has_ended = matches!(end, Finish::Stop | Finish::Length);
    if has_ended || n.0 > 0 {
        board.lengths.record(&start.service, &start.workspace, n, has_ended);
    }
    s.polls.touch();
    s.wake.notify_one();
}

/// Returns what every answer says of this endpoint.
fn report(s: &Sidecar) -> Report {
    let board = s.board.borrow();
    let engine = &board.engine;
    let pool: Arc<str> = match &s.endpoint.kind {
        EndpointKind::Engine(model) => Arc::from(model.as_str()),
        EndpointKind::Plain(service) => Arc::from(service.as_str()),
    };
    let running = board.count(Phase::Running);
    let skip = board.crashes.len().saturating_sub(CRASHES_TOLD);
    Report {
        leaving: board.leaving,
        alive: engine.alive,
        pool,
        loaded: engine.loaded.clone(),
        running: running + board.calls,
        waiting: board.count(Phase::Queued) + board.count(Phase::Held),
        backlog: gate::backlog(&board),
        capacity: engine.capacity,
        forecast: gate::forecast(&board) as u32,
        gap: engine.gap.as_micros() as u32,
        epoch: s.ledger.borrow().epoch(),
        prefixes: engine.prefixes.clone(),
        crashes: board.crashes[skip..].to_vec(),
    }
}

/// Tells a caller of this process when to come back.
fn retry_millis(wait: Duration) -> u64 {
    wait.as_millis() as u64
}

/// The refusal of a request that names another run of this sidecar.
const WRONG_RUN: Refusal = Refusal::Down;
