//! Tells in log, metrics and readiness checks what stands between this instance and its readiness.

use super::Gateway;
use crate::clock;
use crate::event::{self, Kind};
use crate::id::InstanceId;
use crate::readiness::{Obstacle, Report, Span, StallWatch, Watch, count_seconds};
use crate::store::{CallFailure, StoreError};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which another thread checks whether the thread that serves runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Size of the stack of that thread, which only formats a line.
const STACK_BYTES: usize = 256 << 10;

/// Most bytes that are kept of the reason for which a configuration is refused.
const MAX_REASON_BYTES: usize = 200;

/// What the reads of the store have shown so far.
#[derive(Debug, Clone, Default)]
enum Found {
    /// No read has ended.
    #[default]
    Nothing,
    /// An answer that is older than what is known.
    Outdated,
    /// No configuration.
    Absent,
    /// A configuration that is invalid for this reason, wherever it came from.
    Refused(Arc<str>),
}

/// What is known of the readiness of this instance.
#[derive(Debug)]
pub struct ReadinessState {
    watch: RefCell<Watch>,
    /// Number of steps, which another thread watches.
    steps: Arc<AtomicU64>,
    /// When the last read of all keys ended; at first, the start of this instance.
    ended: Cell<Instant>,
    /// Whether a read of all keys has succeeded.
    was_read: Cell<bool>,
    /// Why the last read failed; `None` if it succeeded.
    failure: RefCell<Option<(StoreError, CallFailure)>>,
    found: RefCell<Found>,
}

impl ReadinessState {
    /// Starts with an instance that has its settings since `now`; `watch` knows the time before.
    pub fn new(watch: Watch, now: Instant) -> Self {
        ReadinessState {
            watch: RefCell::new(watch),
            steps: Arc::default(),
            ended: Cell::new(now),
            was_read: Cell::default(),
            failure: RefCell::default(),
            found: RefCell::default(),
        }
    }

    /// Records that a read of all keys has succeeded.
    pub fn end_read(&self, now: Instant) {
        self.ended.set(now);
        self.was_read.set(true);
        *self.failure.borrow_mut() = None;
    }

    /// Records that a read has failed.
    pub fn fail_read(&self, now: Instant, e: StoreError, failure: CallFailure) {
        self.ended.set(now);
        *self.failure.borrow_mut() = Some((e, failure));
    }

    /// Records that what was read is dropped as outdated.
    pub fn record_outdated(&self) {
        *self.found.borrow_mut() = Found::Outdated;
    }

    /// Records that there is no configuration among all keys.
    pub fn record_absent(&self) {
        *self.found.borrow_mut() = Found::Absent;
    }

    /// Records that a configuration is refused.
    pub fn record_refused(&self, why: &str) {
        let why = why[..why.floor_char_boundary(MAX_REASON_BYTES)].into();
        *self.found.borrow_mut() = Found::Refused(why);
    }

    /// Returns why there is no configuration.
    fn missing_configuration(&self) -> Obstacle {
        if let Some((e, failure)) = &*self.failure.borrow() {
            return Obstacle::StoreFailed(*e, failure.why.clone());
        }
        match &*self.found.borrow() {
            Found::Nothing => Obstacle::StoreUnread,
            Found::Outdated => Obstacle::StoreOutdated,
            Found::Absent => Obstacle::ConfigurationAbsent,
            Found::Refused(why) => Obstacle::ConfigurationRefused(why.clone()),
        }
    }
}

/// Returns what stands between this instance and its readiness; `None` if it is ready.
pub fn obstacle(gw: &Gateway) -> Option<Obstacle> {
    if gw.stop.is_requested() {
        Some(Obstacle::Stopping)
    } else if !gw.callers_accepted.get() {
        Some(Obstacle::NotListening)
    } else if are_probes_closed(gw) {
        Some(Obstacle::ProbesNotListening)
    } else if gw.table.borrow().is_none() {
        Some(gw.readiness.missing_configuration())
    } else {
        None
    }
}

/// Returns whether the settings name an address for readiness checks that is not listened on.
fn are_probes_closed(gw: &Gateway) -> bool {
    gw.settings.borrow().probe_address.is_some() && !gw.probes_accepted.get()
}

/// Starts a thread that logs while the thread that serves does not run, which cannot do so itself.
pub fn watch_stalls(gw: &Gateway) {
    let (steps, instance) = (gw.readiness.steps.clone(), gw.settings.borrow().instance.clone());
    let builder = thread::Builder::new().name("watchdog".to_owned()).stack_size(STACK_BYTES);
    if let Err(e) = builder.spawn(move || log_stalls(&steps, &instance)) {
        log::warn!("no thread to watch the one that serves: {e}");
    }
}

fn log_stalls(steps: &AtomicU64, instance: &InstanceId) {
    let mut watch = StallWatch::new(clock::now());
    loop {
        thread::sleep(CHECK_INTERVAL);
        if let Some(time) = watch.step(clock::now(), steps.load(Ordering::Relaxed)) {
            let detail = format!("why={} for_ms={}", Obstacle::Stalled, time.as_millis());
            event::log(Kind::NotReady, instance.as_str(), &detail);
        }
    }
}

/// Logs and counts the time without readiness.
pub fn step(gw: &Gateway, now: Instant) {
    gw.readiness.steps.fetch_add(1, Ordering::Relaxed);
    let found = obstacle(gw);
    metrics::gauge!("ready").set(if found.is_none() { 1.0 } else { 0.0 });
    // A series at 0 shows the reason before its first second is over.
    if let Some(obstacle) = &found {
        count_seconds(obstacle, 0);
    }
    let step = gw.readiness.watch.borrow_mut().step(now, found);
    step.counted.iter().for_each(|obstacle| count_seconds(obstacle, 1));
    step.reports.into_iter().for_each(|report| log_report(gw, now, report));
}

fn log_report(gw: &Gateway, now: Instant, report: Report) {
    let instance = &gw.settings.borrow().instance;
    match report {
        Report::NotReady(span) => gw.event(Kind::NotReady, instance, Detail { gw, now, span }),
        _ => gw.event(report.kind(), instance, report),
    }
}

/// Returns one line on why this instance is not ready; empty if it is.
pub fn describe(gw: &Gateway, now: Instant) -> String {
    let span = |obstacle| gw.readiness.watch.borrow().span(now, obstacle);
    let line = |obstacle| format!("{}\n", Detail { gw, now, span: span(obstacle) });
    obstacle(gw).map(line).unwrap_or_default()
}

/// What stands in the way, and what is known of the configuration.
struct Detail<'a> {
    gw: &'a Gateway,
    now: Instant,
    span: Span,
}

impl fmt::Display for Detail<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Detail { gw, now, span } = self;
        let state = &gw.readiness;
        write!(f, "{span} table={}", gw.table_version())?;
        if gw.table.borrow().is_some() {
            return Ok(());
        }
        let ended = now.saturating_duration_since(state.ended.get()).as_millis();
        let (was_read, peers) = (state.was_read.get(), gw.peers.borrow().len());
        write!(f, " read={was_read} ended_ms={ended} peers={peers}")?;
        if let Found::Refused(why) = &*state.found.borrow() {
            write!(f, " refused={why:?}")?;
        }
        match &*state.failure.borrow() {
            Some((_, failure)) => write!(f, " {failure}"),
            None => Ok(()),
        }
    }
}
