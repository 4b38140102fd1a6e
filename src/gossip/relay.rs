//! Tracks which changes of the store an instance has received from readers, and decides when it
//! has to read the store itself.
//!
//! Answers the load that a large fleet puts on the store: reads grow with the changes that are
//! lost on the way, not with the number of instances.

use super::{StoreChanges, StoreStatus};
use crate::store::{Era, Position};
use std::time::{Duration, Instant};

/// Time for the changes up to a reader's revision to arrive, counted from its report of that
/// revision. Readers pass changes on before they report them.
const RELAY_WAIT: Duration = Duration::from_millis(300);
/// Interval between two reads if enough readers report that they follow the store. It limits how
/// long a fault of all readers goes unnoticed.
const RELAYED_POLL_INTERVAL: Duration = Duration::from_secs(15);
/// The same interval if one reader does.
const DEGRADED_POLL_INTERVAL: Duration = Duration::from_millis(2600);
/// Interval between two reads without such a report.
const DIRECT_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Wait after a failed read of an instance that learns of changes from nobody else.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The same for one that learns of them from readers, or knows that the store is unreachable.
const RELAYED_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// What recent digests of readers say about the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReaderReport {
    /// Whether the store is reachable.
    pub status: StoreStatus,
    /// Number of readers that get answers from the store.
    pub up: usize,
    /// Newest position in the store up to which one of these has passed changes on.
    pub newest: Position,
}

impl ReaderReport {
    /// Returns the interval at which an instance that is not a reader reads the store.
    pub fn poll_interval(&self) -> Duration {
        match (self.status, self.up) {
            (StoreStatus::Reachable, _) => RELAYED_POLL_INTERVAL,
            (StoreStatus::Unknown, 1..) => DEGRADED_POLL_INTERVAL,
            // The readers may be the only instances that are cut off.
            (StoreStatus::Unreachable, _) | (StoreStatus::Unknown, 0) => DIRECT_POLL_INTERVAL,
        }
    }

    /// Returns the time after a failed read in which an instance that is not a reader does not read
    /// again. One that is cut off from the store alone would else load it with calls in vain.
    pub fn retry_interval(&self) -> Duration {
        match (self.status, self.up) {
            (StoreStatus::Unknown, 0) => DIRECT_RETRY_INTERVAL,
            _ => RELAYED_RETRY_INTERVAL,
        }
    }
}

/// How a read of the store relates to what an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Succession {
    /// It is of the same era, or the first one.
    Same,
    /// The store has come back from an older copy since.
    Returned,
    /// It was made before the store came back, and is outdated.
    Outdated,
}

/// Responses in a row that name an older era before it counts.
const MIN_REFUTATIONS: u32 = 5;
/// Time over which they have to come. A response of before a return of the store takes less.
const REFUTATION_TIME: Duration = Duration::from_secs(5);

/// Responses in a row that name one era before the newest one.
#[derive(Debug)]
struct Refutation {
    era: Era,
    since: Instant,
    count: u32,
}

/// Position in the store up to which an instance has all changes.
#[derive(Debug, Default)]
pub struct StorePosition {
    position: Option<Position>,
    /// Newest era seen; `None` before the first read.
    era: Option<Era>,
    /// Since when a reader has reported a newer position, and that position.
    behind: Option<(Instant, Position)>,
    /// Whether the newest era may be wrong.
    refutation: Option<Refutation>,
}

impl StorePosition {
    /// Returns the position; `None` if the next read has to be a full one.
    pub fn get(&self) -> Option<Position> {
        self.position
    }

    /// Returns the newest era seen.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Compares the era of a read with the newest one seen.
    pub fn compare(&self, at: Position) -> Succession {
        match self.era {
            Some(era) if at.era > era => Succession::Returned,
            Some(era) if at.era < era => Succession::Outdated,
            _ => Succession::Same,
        }
    }

    /// Records a read of the store up to a position.
    pub fn set(&mut self, at: Position) {
        self.era = self.era.max(Some(at.era));
        self.position = Some(at);
        self.behind = None;
        self.refutation = None;
    }

    /// Records a response of an era before the newest one, to a call that was sent after the last
    /// response. Returns whether an era was named so steadily that the newest one was wrong.
    pub fn is_refuted(&mut self, now: Instant, at: Position) -> bool {
        let known = self.refutation.take().filter(|r| r.era == at.era);
        let first = Refutation { era: at.era, since: now, count: 0 };
        let refutation = self.refutation.insert(known.unwrap_or(first));
        refutation.count = refutation.count.saturating_add(1);
        let time = now.saturating_duration_since(refutation.since);
        refutation.count >= MIN_REFUTATIONS && time >= REFUTATION_TIME
    }

    /// Returns whether the last response was of an era before the newest one.
    pub fn is_disputed(&self) -> bool {
        self.refutation.is_some()
    }

    /// Makes the next read a full one, whose era counts whatever it is.
    pub fn forget_era(&mut self) {
        *self = StorePosition::default();
    }

    /// Makes the next read a full one.
    pub fn reset(&mut self) {
        self.position = None;
        self.behind = None;
    }

    /// Records changes that a reader has passed on, if none are missing before them.
    pub fn extend(&mut self, changes: &StoreChanges) {
        let Some(own) = self.position else { return };
        let is_next = changes.era == own.era && changes.after <= own.revision;
        if !changes.truncated && is_next && changes.end() > own {
            self.position = Some(changes.end());
        }
    }

    /// Returns whether changes that a reader has are missing here for longer than they take to
    /// arrive.
    pub fn is_behind(&mut self, now: Instant, reported: Position) -> bool {
        let own = self.position.unwrap_or_default();
        // Newer changes may be on their way, but those that were missing first count.
        if self.behind.is_some_and(|(_, position)| own >= position) {
            self.behind = None;
        }
        if own >= reported {
            return false;
        }
        let (since, _) = *self.behind.get_or_insert((now, reported));
        now.saturating_duration_since(since) >= RELAY_WAIT
    }
}
