//! Decides what is logged and counted while a process is not ready.
//!
//! A process that listens and gets no callers has to say why, again and again: whoever looks at its log
//! may have only the last minute of it, or a selection of lines.

mod stall;

pub use stall::StallWatch;

use crate::store::StoreError;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two reports of the same obstacle.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest time between two reports.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a step after which the process was stalled, which steps ten times a second. Checks for
/// readiness got no answer meanwhile.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What stands between a process and its readiness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Obstacle {
    /// There are no settings that can be used.
    Settings,
    /// The thread that serves did not run.
    Stalled,
    /// The process was asked to stop.
    Stopping,
    /// The address for callers is not listened on.
    NotListening,
    /// The address for readiness checks is not listened on.
    ProbesNotListening,
    /// No read of the store has ended.
    StoreUnread,
    /// The last read of the store failed, for the reason in the text.
    StoreFailed(StoreError, Arc<str>),
    /// What the store answers is older than what is known of it.
    StoreOutdated,
    /// The store has no configuration.
    ConfigurationAbsent,
    /// The configuration is invalid, for the reason in the text.
    ConfigurationRefused(Arc<str>),
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Obstacle::Settings => "settings",
            Obstacle::Stalled => "stalled",
            Obstacle::Stopping => "stopping",
            Obstacle::NotListening => "not-listening",
            Obstacle::ProbesNotListening => "probes-not-listening",
            Obstacle::StoreUnread => "store-unread",
            Obstacle::StoreFailed(e, _) => return write!(f, "store-{e}"),
            Obstacle::StoreOutdated => "store-outdated",
            Obstacle::ConfigurationAbsent => "configuration-absent",
            Obstacle::ConfigurationRefused(_) => "configuration-refused",
        })
    }
}

/// What is logged of the readiness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// The process has not been ready for this time.
    NotReady(Obstacle, Duration),
    /// The process is ready, after this time; the obstacle is the last one.
    Ready(Obstacle, Duration),
}

/// What follows a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Logged.
    pub report: Option<Report>,
    /// Counted as seconds without readiness. Fractions are carried over to later steps.
    pub counted: Option<(Obstacle, u64)>,
}

/// Watches the readiness of a process.
#[derive(Debug)]
pub struct Watch {
    stepped: Instant,
    /// What stood in the way at the last step.
    obstacle: Option<Obstacle>,
    /// When the process was last ready, or started.
    since: Instant,
    /// The last obstacle, and the time without readiness that ended with it.
    ended: Option<(Obstacle, Duration)>,
    /// What the last report said; `None` if none is left to stand.
    reported: Option<Option<Obstacle>>,
    report_time: Instant,
    /// Time without readiness that is not counted yet.
    uncounted: Duration,
}

impl Watch {
    /// Starts to watch a process that has its settings since `now`, and was started at `begun`.
    pub fn new(begun: Instant, now: Instant) -> Self {
        Watch {
            stepped: now,
            obstacle: Some(Obstacle::Settings),
            since: begun,
            ended: None,
            reported: None,
            report_time: begun,
            uncounted: now.saturating_duration_since(begun),
        }
    }

    /// Returns the time for which the process has not been ready; 0 if it was at the last step.
    pub fn elapsed(&self, now: Instant) -> Duration {
        let is_ready = self.obstacle.is_none();
        if is_ready { Duration::ZERO } else { now.saturating_duration_since(self.since) }
    }

    /// Takes note of what stands in the way at `now`, and decides what is logged and counted.
    pub fn step(&mut self, now: Instant, obstacle: Option<Obstacle>) -> Step {
        if now.saturating_duration_since(self.stepped) >= STALL_TIME {
            self.enter(self.stepped, Some(Obstacle::Stalled));
            self.reported = None;
        }
        let counted = self.count(now);
        self.enter(now, obstacle);
        self.stepped = now;
        Step { report: self.report(now), counted }
    }

    /// Counts the time since the last step for the obstacle that there was.
    fn count(&mut self, now: Instant) -> Option<(Obstacle, u64)> {
        let obstacle = self.obstacle.clone()?;
        self.uncounted += now.saturating_duration_since(self.stepped);
        let seconds = self.uncounted.as_secs();
        self.uncounted -= Duration::from_secs(seconds);
        Some((obstacle, seconds))
    }

    fn enter(&mut self, now: Instant, obstacle: Option<Obstacle>) {
        match (self.obstacle.take(), &obstacle) {
            (None, Some(_)) => self.since = now,
            (Some(last), None) => {
                self.ended = Some((last, now.saturating_duration_since(self.since)));
            }
            _ => {}
        }
        self.obstacle = obstacle;
    }

    fn report(&mut self, now: Instant) -> Option<Report> {
        let time = now.saturating_duration_since(self.report_time);
        let has_changed = self.reported.as_ref() != Some(&self.obstacle);
        let is_due = if has_changed {
            time >= CHANGE_INTERVAL
        } else {
            self.obstacle.is_some() && time >= REPORT_INTERVAL
        };
        if !is_due {
            return None;
        }
        self.report_time = now;
        self.reported = Some(self.obstacle.clone());
        match &self.obstacle {
            Some(obstacle) => Some(Report::NotReady(obstacle.clone(), self.elapsed(now))),
            None => self.ended.take().map(|(last, time)| Report::Ready(last, time)),
        }
    }
}

/// Limits how often the reason of an outage is logged.
#[derive(Debug, Default)]
pub struct OutageReasons {
    last: Option<(StoreError, Arc<str>, Instant)>,
}

impl OutageReasons {
    /// Returns whether to log that calls fail for this reason at `now`: where it is the first one or
    /// another than the last, at intervals. Counts it as logged if so.
    pub fn is_due(&mut self, now: Instant, e: StoreError, why: &str) -> bool {
        let is_due = self.last.as_ref().is_none_or(|(last, text, at)| {
            let has_changed = *last != e || **text != *why;
            has_changed && now.saturating_duration_since(*at) >= REPORT_INTERVAL
        });
        if is_due {
            self.last = Some((e, why.into(), now));
        }
        is_due
    }

    /// Returns whether there is an outage.
    pub fn is_lost(&self) -> bool {
        self.last.is_some()
    }

    /// Returns whether there was an outage, which has ended now.
    pub fn end(&mut self) -> bool {
        self.last.take().is_some()
    }
}
