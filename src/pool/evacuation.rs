//! Evacuated data centres, whose endpoints are sent nothing new.
//!
//! Answers the load of a data centre that the operator takes out of use at once: its requests go to
//! the endpoints elsewhere, and what runs there finishes.

use super::{Pool, Source};
use crate::id::DataCentre;
use crate::store::Position;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Change of the evacuation of a data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct Evacuation {
    /// Data centre.
    pub centre: DataCentre,
    /// Position in the store of the change.
    pub at: Position,
    /// Whether the data centre is evacuated from then on.
    pub active: bool,
}

/// How far the evacuation of a data centre has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// Data centre.
    pub centre: DataCentre,
    /// Time since this instance learned of it.
    pub time: Duration,
    /// Requests that all instances have open there.
    pub open: u32,
    /// Whether there is none any more since the previous step.
    pub is_emptied: bool,
}

/// What an instance has seen of an evacuation.
#[derive(Debug)]
struct Seen {
    since: Instant,
    is_empty: bool,
}

/// Newest change that is known of each data centre.
#[derive(Debug, Default)]
pub struct Evacuations {
    newest: BTreeMap<DataCentre, Evacuation>,
    /// Evacuations in force, as of the last step.
    seen: BTreeMap<DataCentre, Seen>,
    /// Position of the last full read that was not one of a copy.
    read_at: Position,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    pub fn is_active(&self, centre: &DataCentre) -> bool {
        self.newest.get(centre).is_some_and(|e| e.active)
    }

    /// Returns the newest change of each data centre.
    pub fn all(&self) -> impl Iterator<Item = &Evacuation> {
        self.newest.values()
    }

    /// Lets the next full read replace all changes, whatever their positions.
    fn forget_positions(&mut self) {
        self.read_at = Position::default();
        self.newest.values_mut().for_each(|e| e.at = Position::default());
    }

    /// Records a change unless the same or a newer one is known. Returns whether the data centre
    /// begins or ceases to be evacuated.
    fn record(&mut self, change: Evacuation) -> bool {
        let known = self.newest.get(&change.centre).map_or(self.read_at, |e| e.at);
        if change.at <= known {
            return false;
        }
        let was_active = self.is_active(&change.centre);
        let is_active = change.active;
        self.newest.insert(change.centre.clone(), change);
        was_active != is_active
    }

    /// Records all requests of a full read, and returns the changes that begin or end an evacuation.
    fn replace(&mut self, at: Position, all: Vec<Evacuation>, source: Source) -> Vec<Evacuation> {
        let mut changes = Vec::new();
        // A key that is there counts, however old it is.
        let read_at = std::mem::take(&mut self.read_at);
        if source == Source::Current {
            let is_over =
                |e: &&Evacuation| e.active && e.at < at && all.iter().all(|r| r.centre != e.centre);
            let over = self.newest.values().filter(is_over);
            changes.extend(over.map(|e| Evacuation { at, active: false, ..e.clone() }));
            self.newest.retain(|_, e| e.active || e.at > at);
        }
        changes.extend(all);
        changes.retain(|change| self.record(change.clone()));
        self.read_at = if source == Source::Current { read_at.max(at) } else { read_at };
        changes
    }
}

impl Pool {
    /// Returns the evacuations.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies a change of the evacuation of a data centre. Returns whether it begins or ends one.
    pub fn apply_evacuation(&mut self, change: Evacuation) -> bool {
        let is_changed = self.evacuations.record(change);
        if is_changed {
            self.update_evacuated();
        }
        is_changed
    }

    /// Applies the evacuations that a full read at a position found. Returns the changes that begin
    /// or end one.
    ///
    /// A copy from which the store has come back may lack one that was requested since, so it ends
    /// none.
    pub fn replace_evacuations(
        &mut self,
        at: Position,
        all: Vec<Evacuation>,
        source: Source,
    ) -> Vec<Evacuation> {
        let changes = self.evacuations.replace(at, all, source);
        self.update_evacuated();
        changes
    }

    /// Lets the next full read replace all evacuations, whatever their positions, which were of an
    /// era that was wrong.
    pub fn forget_evacuation_positions(&mut self) {
        self.evacuations.forget_positions();
    }

    /// Returns the number of endpoints in a data centre.
    pub fn count_in(&self, centre: &DataCentre) -> usize {
        self.endpoints.values().filter(|e| e.listing.centre == *centre).count()
    }

    /// Returns the number of requests that this instance has open in evacuated data centres.
    pub fn evacuated_requests(&self) -> u32 {
        self.endpoints.values().filter(|e| e.is_evacuated()).map(|e| e.own.open).sum()
    }

    /// Returns how far each evacuation in force has come, by the work of all instances.
    pub fn step_evacuations(&mut self, now: Instant) -> Vec<Progress> {
        let Evacuations { newest, seen, .. } = &mut self.evacuations;
        seen.retain(|centre, _| newest.get(centre).is_some_and(|e| e.active));
        let active = newest.values().filter(|e| e.active);
        let progress = active.map(|e| {
            let there = self.endpoints.values().filter(|p| p.listing.centre == e.centre);
            let open = there.map(|p| p.work().open).sum();
            let known = seen.entry(e.centre.clone());
            let seen = known.or_insert(Seen { since: now, is_empty: false });
            let was_empty = std::mem::replace(&mut seen.is_empty, open == 0);
            Progress {
                centre: e.centre.clone(),
                time: now.saturating_duration_since(seen.since),
                open,
                is_emptied: seen.is_empty && !was_empty,
            }
        });
        progress.collect()
    }

    fn update_evacuated(&mut self) {
        for e in self.endpoints.values_mut() {
            e.notices.evacuated = self.evacuations.is_active(&e.listing.centre);
        }
    }
}
