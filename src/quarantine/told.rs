//! What instances tell each other of parts, and what they know to be refused.

use super::parts::{CRASH_MEMORY, Crashes, GOSSIP_TIME, PartSet, Presence};
use super::{CrashId, PartSuspects};
use crate::frame::{PartRow, PartsGossip, SeenCrash};
use crate::id::PartId;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time for which a part that was refused is refused again at its first crash.
const RELAPSE_MEMORY: Duration = Duration::from_secs(3600);
/// A part with a sound run that began within this time is not named to other instances, which have
/// sound runs of such a common part too.
const COMMON_TIME: Duration = Duration::from_millis(1500);
/// Most crashes of one part in a message, the latest ones.
const MAX_ROW_CRASHES: usize = 32;
/// Most parts in one message.
const MAX_GOSSIP_ROWS: usize = 60;
/// Most crashes in one message, which has to fit into a datagram.
const MAX_GOSSIP_CRASHES: usize = 300;
/// Most sets of parts that are known to be refused.
const MAX_KNOWN: usize = 1024;

/// Parts that a message to other instances names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those that changed at this instance of late.
    Changed,
    /// Also those that are refused.
    Refused,
    /// All, those with the most crashes first.
    All,
}

/// Parts that are or were refused, alone or together, and when last.
#[derive(Debug, Default)]
pub(super) struct KnownRefusals(HashMap<PartSet, Instant>);

impl KnownRefusals {
    /// Records parts that are refused now.
    pub fn record(&mut self, now: Instant, parts: &PartSet) {
        if let Some(at) = self.0.get_mut(parts) {
            *at = now;
        } else if self.0.len() < MAX_KNOWN {
            self.0.insert(parts.clone(), now);
        }
    }

    /// Records parts that another instance refuses. These are not refused for longer than there.
    pub fn adopt(&mut self, now: Instant, parts: PartSet) {
        if !parts.is_empty() && self.0.len() < MAX_KNOWN {
            self.0.entry(parts).or_insert(now);
        }
    }

    /// Removes a part that is sound. What was refused together with it causes the crashes alone.
    pub fn narrow(&mut self, part: PartId) {
        let (wide, mut rest): (HashMap<_, _>, HashMap<_, _>) =
            std::mem::take(&mut self.0).into_iter().partition(|(set, _)| set.contains(&part));
        for (mut set, at) in wide {
            set.remove(&part);
            if !set.is_empty() {
                rest.entry(set).or_insert(at);
            }
        }
        self.0 = rest;
    }

    /// Forgets what was refused long ago.
    pub fn forget(&mut self, now: Instant) {
        self.0.retain(|_, at| now.saturating_duration_since(*at) < RELAPSE_MEMORY);
    }

    /// Returns whether a part is known to be refused alone.
    pub fn has(&self, part: PartId) -> bool {
        self.0.contains_key(&PartSet::from([part]))
    }

    /// Returns the sets of parts that are known to be refused only together, without those that
    /// contain another known set.
    pub fn together(&self) -> impl Iterator<Item = &PartSet> {
        let is_wider = |set: &PartSet| {
            self.0.keys().any(|other| other.len() < set.len() && other.is_subset(set))
        };
        self.0.keys().filter(move |set| set.len() > 1 && !is_wider(set))
    }
}

impl PartSuspects {
    /// Returns what other instances need to know of the parts in a scope.
    pub fn gossip(&self, now: Instant, scope: Scope) -> PartsGossip {
        let is_recent = |changes: &HashMap<PartId, Instant>, p: &PartId, time| {
            changes.get(p).is_some_and(|at| now.saturating_duration_since(*at) < time)
        };
        let is_changed = |p: &PartId| {
            is_recent(&self.clearances, p, GOSSIP_TIME)
                || is_recent(&self.accusations, p, GOSSIP_TIME)
                    && !is_recent(&self.last_sound, p, COMMON_TIME)
        };
        let is_refused = |p: &PartId| self.refused.iter().any(|r| r.parts.contains(p));
        let is_named = |p: &PartId| match scope {
            Scope::Changed => is_changed(p),
            Scope::Refused => is_changed(p) || is_refused(p),
            Scope::All => true,
        };
        let parts: HashSet<PartId> =
            self.accused.keys().chain(self.clearances.keys()).copied().collect();
        let mut rows: Vec<PartRow> =
            parts.into_iter().filter(is_named).map(|p| self.row(now, p)).collect();
        rows.sort_by_key(|r| (std::cmp::Reverse(r.crashes.len()), r.part));
        rows.truncate(MAX_GOSSIP_ROWS);
        let mut left = MAX_GOSSIP_CRASHES;
        rows.retain(|r| {
            left = left.saturating_sub(r.crashes.len() + r.cleared.len());
            left > 0
        });
        let is_told = |p: &PartId| rows.iter().any(|r| r.part == *p);
        let told = self.refused.iter().map(|r| &r.parts).filter(|set| set.iter().all(is_told));
        let (refused, together) = split(told);
        PartsGossip { rows, refused, together, crashes: self.seen_crashes(now) }
    }

    /// Returns the crashes that this instance has seen of late, for those that have lost requests to
    /// them unnoticed.
    fn seen_crashes(&self, now: Instant) -> Vec<SeenCrash> {
        let at = |id: &CrashId| self.times.get(id).copied();
        let seen: Crashes = self
            .seen
            .keys()
            .filter_map(|id| Some((*id, Presence { at: at(id)?, begun: false })))
            .collect();
        to_seen(now, &seen)
    }

    fn row(&self, now: Instant, part: PartId) -> PartRow {
        let seen = |all: &HashMap<PartId, Crashes>| {
            all.get(&part).map_or_else(Vec::new, |crashes| to_seen(now, crashes))
        };
        PartRow { part, crashes: seen(&self.accused), cleared: seen(&self.cleared) }
    }

    /// Returns what another instance needs to know to refuse parts together.
    pub fn gossip_of(&self, now: Instant, parts: &PartSet) -> PartsGossip {
        let rows = parts.iter().map(|p| self.row(now, *p)).collect();
        let (refused, together) = split(std::iter::once(parts));
        PartsGossip { rows, refused, together, crashes: Vec::new() }
    }

    /// Merges what another instance knows; the order of merges does not matter. Returns the crashes
    /// that were not known.
    pub fn merge(&mut self, now: Instant, gossip: &PartsGossip) -> Vec<(CrashId, Instant)> {
        let told = gossip.rows.iter().map(|row| &row.crashes).chain([&gossip.crashes]);
        let told = told.flat_map(|crashes| from_seen(now, crashes));
        let mut new: Vec<(CrashId, Instant)> = Vec::new();
        for (id, presence) in told {
            if let Entry::Vacant(entry) = self.times.entry(id) {
                entry.insert(presence.at);
                new.push((id, presence.at));
            }
        }
        for row in &gossip.rows {
            let cleared: Crashes = from_seen(now, &row.cleared).collect();
            if let Some(known) = self.accused.get_mut(&row.part) {
                known.retain(|id, _| !cleared.contains_key(id));
                if known.is_empty() {
                    self.accused.remove(&row.part);
                    self.known.narrow(row.part);
                }
            }
            if !cleared.is_empty() {
                self.clear(row.part, cleared);
            }
            for (id, presence) in from_seen(now, &row.crashes) {
                if self.is_cleared(presence.at, row.part, id) {
                    self.clearances.insert(row.part, now);
                } else {
                    self.accuse(id, presence, row.part);
                }
            }
        }
        let alone = gossip.refused.iter().map(|p| PartSet::from([*p]));
        let together = gossip.together.iter().map(|set| set.iter().copied().collect());
        for set in alone.chain(together) {
            if set.iter().all(|p| self.accused.contains_key(p)) {
                self.known.adopt(now, set);
            }
        }
        new
    }
}

/// Splits sets of parts into those of one part and the others, as messages name them.
fn split<'a>(sets: impl Iterator<Item = &'a PartSet>) -> (Vec<PartId>, Vec<Vec<PartId>>) {
    let (mut alone, mut together) = (Vec::new(), Vec::new());
    for set in sets {
        match set.len() {
            1 => alone.extend(set.iter().copied()),
            _ => together.push(set.iter().copied().collect()),
        }
    }
    (alone, together)
}

fn to_seen(now: Instant, crashes: &Crashes) -> Vec<SeenCrash> {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    let row = |(id, c): (&CrashId, &Presence)| SeenCrash {
        endpoint: id.0,
        number: id.1,
        age: age(c.at),
        begun: c.begun,
    };
    let mut seen: Vec<SeenCrash> = crashes.iter().map(row).collect();
    seen.sort_by_key(|c| (c.age, c.endpoint, c.number));
    seen.truncate(MAX_ROW_CRASHES);
    seen
}

fn from_seen(now: Instant, seen: &[SeenCrash]) -> impl Iterator<Item = (CrashId, Presence)> + '_ {
    seen.iter().filter_map(move |c| {
        let age = Duration::from_millis(c.age);
        let at = if age < CRASH_MEMORY { now.checked_sub(age) } else { None };
        Some(((c.endpoint, c.number), Presence { at: at?, begun: c.begun }))
    })
}
