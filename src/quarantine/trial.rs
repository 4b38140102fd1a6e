//! Trials of parts that nothing sound tells from others.
//!
//! Where few engines are left and each of them crashes soon after it is back, no run becomes sound,
//! and all parts of the requests there stay accused. Requests with the most suspect part then wait
//! while others run. If engines crash meanwhile, or nothing happens, the next part is tried. If a
//! run is sound, requests with the part run again, and its next crash shows that it is the cause.
//! Requests with parts that were or may be tried run one at a time.

use super::evidence::{Counted, Doubt, Evidence, MAX_CRASHES, WAVE};
use super::parts::{Crashes, OpenCrashes, SETTLE_TIME};
use super::{PartSuspects, RefusedParts};
use crate::id::PartId;
use std::time::{Duration, Instant};

/// Longest time from the latest crash for which requests wait. Engines are back in some seconds.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Time after which another part is tried if nothing has crashed and nothing was sound, as where
/// requests with the others do not come.
const SLICE: Duration = Duration::from_secs(2);

/// Trial of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The part.
    pub part: PartId,
    /// When it began.
    pub since: Instant,
    /// Whether requests with the part have to wait.
    pub is_holding: bool,
    /// Part that is refused, and may run meanwhile: engines crash without it as before.
    pub released: Option<PartId>,
}

impl Trial {
    /// Returns whether a sound run began during the trial, which keeps requests with the part from
    /// being sound first. One that began before shows as much as without it.
    pub(super) fn affects_run(&self, begun: Instant) -> bool {
        begun >= self.since
    }
}

impl PartSuspects {
    /// Records a request, which shows the parts that occur without each other.
    pub fn record_request(&mut self, parts: &[PartId]) {
        if !self.accused.is_empty() {
            self.companions.record(parts, |p| self.accused.contains_key(p));
        }
    }

    /// Returns the trial under way if a request has the part that is tried.
    pub fn find_trial(&self, parts: &[PartId]) -> Option<Trial> {
        self.trial.filter(|t| parts.contains(&t.part))
    }

    /// Returns the part of a request that runs one at a time: the one that was tried, or another one
    /// that may be.
    pub fn find_single(&self, parts: &[PartId]) -> Option<PartId> {
        let tried = self.trial.map(|t| t.part);
        tried.iter().chain(&self.next_trials).find(|p| parts.contains(p)).copied()
    }

    /// Returns whether a request has to wait because its parts are tried, or will most likely be
    /// refused once their latest crash has settled.
    pub fn is_held(&self, parts: &[PartId]) -> bool {
        let has_all = |r: &RefusedParts| r.parts.iter().all(|p| parts.contains(p));
        let is_refused = |r: &RefusedParts| self.refused.iter().any(|known| known.parts == r.parts);
        self.find_trial(parts).is_some_and(|t| t.is_holding)
            || self.pending.iter().any(|r| has_all(r) && !is_refused(r))
    }

    /// Returns the part whose requests have to wait, and the refused part that may run meanwhile.
    pub fn held(&self) -> Option<(PartId, Option<PartId>)> {
        self.trial.filter(|t| t.is_holding).map(|t| (t.part, t.released))
    }

    /// Returns whether a part was tried and has not been present at a crash since the trial began.
    pub(super) fn awaits_crash(&self, part: PartId, crashes: &[Instant]) -> bool {
        let trial = self.trial.filter(|t| t.part == part);
        trial.is_some_and(|t| crashes.last().is_none_or(|last| *last <= t.since))
    }

    /// Chooses the part to try, and decides whether requests with it wait.
    pub(super) fn update_trial(&mut self, now: Instant) {
        self.open = self.candidates(now);
        let candidates: Vec<PartId> = self.open.iter().map(|(p, _)| *p).collect();
        let waves = if candidates.is_empty() { Vec::new() } else { self.waves(now) };
        self.next_trials = self.rank(&candidates, &waves);
        let is_sound = |t: &Trial| self.sound_at.is_some_and(|sound| sound > t.since);
        let shown = self.trial.filter(|t| is_sound(t) && candidates.contains(&t.part));
        let held = waves.last().filter(|_| shown.is_none()).and_then(|last| {
            let passed = now.saturating_duration_since(*last);
            let parts = &self.next_trials;
            // A part without another one to try is let through by turns.
            let turn = (passed.as_millis() / SLICE.as_millis()) as usize % parts.len().max(2);
            parts.get(turn).copied().filter(|_| passed < MAX_HOLD)
        });
        let Some(part) = held else {
            let accused = &self.accused;
            self.trial.take_if(|t| !accused.contains_key(&t.part));
            self.trial = self.trial.map(|t| Trial { is_holding: false, released: None, ..t });
            return;
        };
        let same = self.trial.filter(|t| t.part == part && t.is_holding);
        let since = same.map_or(now, |t| t.since);
        let released = self.find_released(part, &waves);
        self.trial = Some(Trial { part, since, is_holding: true, released });
    }

    /// Returns a refused part that `part` may have been taken for: since it was refused no run has
    /// been sound, and engines have crashed as before, each time with `part`.
    fn find_released(&self, part: PartId, waves: &[Instant]) -> Option<PartId> {
        let streak = self.streak(part, waves);
        let is_mistaken = |refused: &PartId| {
            let Some(last) = self.accused.get(refused).and_then(last_crash) else { return false };
            let later = waves.iter().filter(|at| **at > last + WAVE).count();
            let is_sound = self.sound_at.is_some_and(|sound| sound > last);
            !is_sound
                && (MAX_CRASHES..=streak).contains(&later)
                && self.companions.are_separate(part, *refused)
        };
        let alone = self.refused.iter().filter(|r| r.parts.len() == 1);
        alone.flat_map(|r| r.parts.iter()).find(|p| is_mistaken(p)).copied()
    }

    /// Returns the parts that may cause all of their crashes, as far as is known, and what tells
    /// against it.
    fn candidates(&self, now: Instant) -> Vec<(PartId, Doubt)> {
        let is_refused = |p: &PartId| self.refused.iter().any(|r| r.parts.contains(p));
        let to_open = |part: PartId| {
            let crashes = self.accused[&part].iter().filter(|(_, c)| c.begun);
            let open: OpenCrashes = crashes.map(|(id, c)| (*id, c.at)).collect();
            match self.evidence(now, part, &open, Counted::Begun) {
                Evidence::Open(doubt) => Some((part, doubt)),
                Evidence::None | Evidence::Enough => None,
            }
        };
        self.accused.keys().copied().filter(|p| !is_refused(p)).filter_map(to_open).collect()
    }

    /// Returns the starts of the waves of crashes that have settled, in the order of time.
    fn waves(&self, now: Instant) -> Vec<Instant> {
        let mut times = self.timeline.clone();
        times.retain(|at| now.saturating_duration_since(*at) >= SETTLE_TIME);
        times.dedup_by(|at, first| *at <= *first + WAVE);
        times
    }

    /// Returns the candidates to try, those first that were present at the most of the latest waves
    /// without a gap. A part that all requests with another such candidate have yields to that one,
    /// and requests of which none would be left without the part are not held.
    fn rank(&self, candidates: &[PartId], waves: &[Instant]) -> Vec<PartId> {
        let rank = |p: &PartId| (self.streak(*p, waves), self.accused[p].len(), *p);
        let is_tried = |p: &PartId| {
            let yields = |q: &PartId| {
                self.companions.is_narrower(*q, *p)
                    && self.streak(*q, waves) >= self.streak(*p, waves)
            };
            self.streak(*p, waves) > 0
                && self.companions.has_others(*p)
                && !candidates.iter().any(yields)
        };
        let mut parts: Vec<PartId> = candidates.iter().copied().filter(is_tried).collect();
        parts.sort_by_key(|p| std::cmp::Reverse(rank(p)));
        parts
    }

    /// Counts the latest waves at all of which a part was present.
    fn streak(&self, part: PartId, waves: &[Instant]) -> usize {
        let crashes = &self.accused[&part];
        let is_in = |wave: &Instant, at: Instant| at >= *wave && at <= *wave + WAVE;
        let is_present = |wave: &&Instant| {
            crashes.keys().filter_map(|id| self.times.get(id)).any(|at| is_in(wave, *at))
        };
        waves.iter().rev().take_while(is_present).count()
    }
}

fn last_crash(crashes: &Crashes) -> Option<Instant> {
    crashes.values().map(|c| c.at).max()
}
