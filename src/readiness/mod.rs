//! Decides what is logged and counted while a process is not ready.
//!
//! A process that listens and gets no callers has to say why, again and again: whoever looks at its log
//! may have only the last minute of it, or a selection of lines.

mod output;
mod stall;
mod tally;

pub use output::{count_seconds, wait_settings};
pub use stall::StallWatch;

use crate::event::Kind;
use crate::store::StoreError;
use std::fmt;
use std::mem::discriminant;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tally::Tally;

/// Time between two reports of the same obstacle.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest time between two reports of what stands in the way, and of an obstacle that is reported as
/// it ends.
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

impl Obstacle {
    /// Returns whether both have the same name in log and metrics, whatever their reasons.
    fn has_name_of(&self, other: &Obstacle) -> bool {
        match (self, other) {
            (Obstacle::StoreFailed(e, _), Obstacle::StoreFailed(other, _)) => e == other,
            _ => discriminant(self) == discriminant(other),
        }
    }
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

/// Time for which an obstacle stood in the way without another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// What stood in the way.
    pub obstacle: Obstacle,
    /// Time of this obstacle alone.
    pub time: Duration,
    /// Time without readiness, whatever stood in the way.
    pub total: Duration,
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Span { obstacle, time, total } = self;
        write!(f, "why={obstacle} for_ms={} total_ms={}", time.as_millis(), total.as_millis())
    }
}

/// What is logged of the readiness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// The process is not ready.
    NotReady(Span),
    /// The obstacle is gone, and another one is there.
    Ended(Span),
    /// The process is ready; the obstacle is the last one.
    Ready(Span),
}

impl Report {
    /// Returns the kind of the event.
    pub fn kind(&self) -> Kind {
        match self {
            Report::NotReady(_) | Report::Ended(_) => Kind::NotReady,
            Report::Ready(_) => Kind::Ready,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Report::NotReady(span) | Report::Ready(span) => span.fmt(f),
            Report::Ended(span) => write!(f, "{span} ended=true"),
        }
    }
}

/// What follows a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Logged in this order.
    pub reports: Vec<Report>,
    /// Obstacle of each second without readiness that is counted. Fractions are carried over.
    pub counted: Vec<Obstacle>,
}

/// Watches the readiness of a process.
#[derive(Debug)]
pub struct Watch {
    stepped: Instant,
    /// What stood in the way at the last step, and since when.
    current: Option<(Obstacle, Instant)>,
    /// When the process was last ready, or started.
    since: Instant,
    /// The last obstacle before the process was ready, until that is reported.
    ended: Option<Span>,
    /// What the last report said; `None` if none is left to stand.
    reported: Option<Option<Obstacle>>,
    report_time: Instant,
    tally: Tally,
}

impl Watch {
    /// Starts to watch a process at `now`, with what stands in its way until the first step.
    pub fn new(now: Instant, obstacle: Obstacle) -> Self {
        Watch {
            stepped: now,
            current: Some((obstacle, now)),
            since: now,
            ended: None,
            reported: None,
            report_time: now,
            tally: Tally::default(),
        }
    }

    /// Returns for how long an obstacle that is there at `now` has stood in the way.
    pub fn span(&self, now: Instant, obstacle: Obstacle) -> Span {
        match &self.current {
            Some((known, begun)) if known.has_name_of(&obstacle) => {
                self.span_since(*begun, now, obstacle)
            }
            Some(_) => self.span_since(now, now, obstacle),
            None => Span { obstacle, time: Duration::ZERO, total: Duration::ZERO },
        }
    }

    /// Takes note of what stands in the way at `now`, and decides what is logged and counted.
    pub fn step(&mut self, now: Instant, obstacle: Option<Obstacle>) -> Step {
        let mut reports = Vec::new();
        if now.saturating_duration_since(self.stepped) >= STALL_TIME {
            reports.extend(self.enter(self.stepped, Some(Obstacle::Stalled)));
            self.reported = None;
        }
        let counted = self.count(now);
        reports.extend(self.enter(now, obstacle));
        self.stepped = now;
        reports.extend(self.report(now));
        Step { reports, counted }
    }

    /// Counts the time since the last step for the obstacle that there was.
    fn count(&mut self, now: Instant) -> Vec<Obstacle> {
        let time = now.saturating_duration_since(self.stepped);
        self.current.as_ref().map(|(o, _)| self.tally.add(o, time)).unwrap_or_default()
    }

    /// Replaces what stands in the way; returns the report of what is gone.
    fn enter(&mut self, now: Instant, next: Option<Obstacle>) -> Option<Report> {
        match (self.current.take(), next) {
            (None, None) => None,
            (None, Some(next)) => {
                self.since = now;
                self.current = Some((next, now));
                None
            }
            (Some((last, begun)), None) => {
                self.ended = Some(self.span_since(begun, now, last));
                None
            }
            (Some((last, begun)), Some(next)) if last.has_name_of(&next) => {
                self.current = Some((next, begun));
                None
            }
            (Some((last, begun)), Some(next)) => {
                self.current = Some((next, now));
                let span = self.span_since(begun, now, last);
                // Lines of shorter ones would be more than the log takes.
                (span.time >= CHANGE_INTERVAL).then_some(Report::Ended(span))
            }
        }
    }

    fn span_since(&self, begun: Instant, now: Instant, obstacle: Obstacle) -> Span {
        let [time, total] = [begun, self.since].map(|at| now.saturating_duration_since(at));
        Span { obstacle, time, total }
    }

    fn report(&mut self, now: Instant) -> Option<Report> {
        let time = now.saturating_duration_since(self.report_time);
        let found = self.current.as_ref().map(|(obstacle, _)| obstacle.clone());
        let has_changed = self.reported.as_ref() != Some(&found);
        let is_due = if has_changed {
            time >= CHANGE_INTERVAL
        } else {
            found.is_some() && time >= REPORT_INTERVAL
        };
        if !is_due {
            return None;
        }
        self.report_time = now;
        self.reported = Some(found.clone());
        match found {
            Some(obstacle) => Some(Report::NotReady(self.span(now, obstacle))),
            None => self.ended.take().map(Report::Ready),
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
