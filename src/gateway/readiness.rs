//! Tells in log, metrics and readiness checks what stands between this instance and its readiness.

use super::Gateway;
use crate::event::Kind;
use crate::platform::CallFailure;
use crate::readiness::{Obstacle, Report, Watch};
use crate::store::StoreError;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

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
    /// When the last read of all keys ended; at first, the start of this instance.
    ended: Cell<Instant>,
    /// Whether a read of all keys has succeeded.
    was_read: Cell<bool>,
    /// Why the last read failed; `None` if it succeeded.
    failure: RefCell<Option<(StoreError, CallFailure)>>,
    found: RefCell<Found>,
}

impl ReadinessState {
    /// Starts with an instance that has its settings since `now`, and was started at `begun`.
    pub fn new(begun: Instant, now: Instant) -> Self {
        ReadinessState {
            watch: RefCell::new(Watch::new(begun, now)),
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
    } else if gw.table.borrow().is_none() {
        Some(gw.readiness.missing_configuration())
    } else {
        None
    }
}

/// Logs and counts the time without readiness.
pub fn step(gw: &Gateway, now: Instant) {
    let found = obstacle(gw);
    metrics::gauge!("ready").set(if found.is_none() { 1.0 } else { 0.0 });
    // A series at 0 shows the reason before its first second is over.
    if let Some(obstacle) = &found {
        count_seconds(obstacle, 0);
    }
    let step = gw.readiness.watch.borrow_mut().step(now, found);
    if let Some((obstacle, seconds)) = step.counted {
        count_seconds(&obstacle, seconds);
    }
    let instance = &gw.settings.borrow().instance;
    match step.report {
        Some(Report::NotReady(obstacle, time)) => {
            gw.event(Kind::NotReady, instance, Detail { gw, now, obstacle, time });
        }
        Some(Report::Ready(last, time)) => {
            let ms = time.as_millis();
            gw.event(Kind::Ready, instance, format_args!("why={last} for_ms={ms}"));
        }
        None => {}
    }
}

fn count_seconds(obstacle: &Obstacle, seconds: u64) {
    let why = obstacle.to_string();
    metrics::counter!("unready_seconds_total", "why" => why).increment(seconds);
}

/// Returns one line on why this instance is not ready; empty if it is.
pub fn describe(gw: &Gateway, now: Instant) -> String {
    let time = gw.readiness.watch.borrow().elapsed(now);
    let line = |obstacle| format!("{}\n", Detail { gw, now, obstacle, time });
    obstacle(gw).map(line).unwrap_or_default()
}

/// What stands in the way, and what is known of the configuration.
struct Detail<'a> {
    gw: &'a Gateway,
    now: Instant,
    obstacle: Obstacle,
    time: Duration,
}

impl fmt::Display for Detail<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Detail { gw, now, obstacle, time } = self;
        let state = &gw.readiness;
        write!(f, "why={obstacle} for_ms={} table={}", time.as_millis(), gw.table_version())?;
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
