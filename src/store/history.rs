//! Eras of a store that does not state them.
//!
//! A marker key names the era and the servers that wrote it. The store may have come back from an
//! older copy if its responses name other servers than its marker, or a position before one that is
//! known. The marker is then replaced by one of a later era. Marker values are random, so a write
//! on the condition of one does not succeed in an era that began without it.

use super::{Compare, Era, Origin, Position, TxnOutcome};
use crate::id::Nonce;
use serde::{Deserialize, Serialize};

/// Key of the [`Marker`].
pub const MARKER_KEY: &str = "skylark/era";

/// Value of the marker key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marker {
    /// Era that began with this marker.
    pub era: Era,
    /// Servers that wrote it.
    pub origin: Origin,
    /// Distinguishes markers of the same era.
    pub nonce: Nonce,
    /// Time at which the era began, in seconds since the Unix epoch.
    pub since: u64,
}

impl Marker {
    /// Returns the value to store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the condition that this marker is in force.
    pub fn in_force(&self) -> Compare {
        Compare::Value(MARKER_KEY.into(), self.encode())
    }
}

/// What a read of the marker shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The marker is in force.
    Current,
    /// There is no marker, and none is known to have existed.
    Unmarked,
    /// The store has come back, maybe from an older copy.
    Returned,
}

/// What a process knows of the history of the store.
#[derive(Debug, Default)]
pub struct History {
    marker: Option<Marker>,
    known: Option<Position>,
}

impl History {
    /// Returns the marker of the latest era that this process has read.
    pub fn marker(&self) -> Option<&Marker> {
        let known = self.known?.era;
        self.marker.as_ref().filter(|m| m.era == known)
    }

    /// Returns the latest known position; `None` before a marker is known.
    pub fn known(&self) -> Option<Position> {
        self.known
    }

    /// Adds a position that another process knows.
    pub fn learn(&mut self, position: Position) {
        self.known = self.known.max(Some(position));
    }

    /// Returns what a transaction that read the marker as `found` shows. `sent` is the value of
    /// [`History::known`] when it was sent.
    pub fn check(
        &self,
        sent: Option<Position>,
        found: Option<&Marker>,
        outcome: &TxnOutcome,
    ) -> Standing {
        let Some(found) = found else {
            return if sent.is_some() { Standing::Returned } else { Standing::Unmarked };
        };
        let is_other = |m: &Marker| m.era == found.era && m.nonce != found.nonce;
        let is_behind = sent > Some(Position::new(found.era, outcome.revision));
        if found.origin != outcome.origin || is_behind || self.marker.as_ref().is_some_and(is_other)
        {
            return Standing::Returned;
        }
        Standing::Current
    }

    /// Returns whether a transaction on the condition of the marker in force, sent when `sent` was
    /// known, ran in the history that this process knows. `wrote` tells whether it wrote a key.
    pub fn is_continued(&self, sent: Option<Position>, outcome: &TxnOutcome, wrote: bool) -> bool {
        let Some(marker) = self.marker() else { return false };
        let at = Some(Position::new(marker.era, outcome.revision));
        // Each write has a revision of its own.
        let is_ahead = if wrote { sent < at } else { sent <= at };
        marker.origin == outcome.origin && is_ahead
    }

    /// Records that `marker` is in force at a revision.
    pub fn adopt(&mut self, marker: Marker, revision: u64) {
        let at = Position::new(marker.era, revision);
        if self.known.is_none_or(|k| k.era <= marker.era) {
            self.learn(at);
            self.marker = Some(marker);
        }
    }

    /// Returns the marker that follows `found` in a store that has come back, or the first one.
    pub fn next_marker(
        &self,
        found: Option<&Marker>,
        origin: Origin,
        nonce: Nonce,
        since: u64,
    ) -> Marker {
        let latest = found.map(|m| m.era).max(self.known.map(|k| k.era));
        let era = latest.map_or(Era::default(), |e| Era(e.0 + 1));
        Marker { era, origin, nonce, since }
    }
}
