//! Parts of prompts that crash engines, whatever else their requests hold.
//!
//! Each crash accuses the parts of all requests that might have caused it. A run that is sound
//! clears its parts, so only the cause and parts that share all of its requests stay accused. Of
//! these, the part with the most crashes is refused, and the crashes that it explains accuse no
//! other part. Parts that were present at the same crashes are refused only together, until a
//! request with some of them tells them apart.
//!
//! Engines also crash for other reasons, often several at a time. Crashes at the same moment
//! therefore count once, and only if the part was present at half of them or more; a request that
//! its engine had not begun to answer counts less.

use super::SoundRun;
use super::companions::Companions;
use super::evidence::{Counted, Doubt, Evidence, MANY_SOUND_RUNS};
use super::told::KnownRefusals;
use super::trial::Trial;
use crate::id::{Incarnation, PartId};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Number of crashes from which a request with the part is not sent to another engine.
const MAX_RERUN_CRASHES: usize = 2;
/// Time until a crash counts, in which others of the same wave become known.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time for which a crash counts, and for which a part is cleared of it.
pub(super) const CRASH_MEMORY: Duration = Duration::from_secs(600);
/// Time for which a change is sent to other instances, since messages may be lost.
pub(super) const GOSSIP_TIME: Duration = Duration::from_secs(3);
/// Time for which a sound run is remembered, longer than messages are late.
const SOUND_MEMORY: Duration = Duration::from_secs(30);
/// Most parts that are accused, and most that are cleared.
const MAX_PARTS: usize = 4096;
/// Parts whose latest sound run is remembered.
const MAX_SOUND_PARTS: usize = 16_384;

/// Crash of an endpoint: the run of the endpoint or its sidecar, and the number in that run.
pub type CrashId = (Incarnation, u32);
pub(super) type Crashes = HashMap<CrashId, Presence>;
/// Crashes that no other part explains, with their times.
pub(super) type OpenCrashes = BTreeMap<CrashId, Instant>;
/// Parts that occur together.
pub type PartSet = BTreeSet<PartId>;

/// Presence of a part at a crash.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Presence {
    /// Time of the crash.
    pub at: Instant,
    /// Whether the engine had begun to answer a request with the part.
    pub begun: bool,
}

/// A part of a request that may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccusedPart {
    /// The part.
    pub part: PartId,
    /// Whether the engine had begun to answer the request.
    pub begun: bool,
}

/// Parts that are refused together.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusedParts {
    /// The parts; a request is refused if it has all of them.
    pub parts: PartSet,
    /// Crashes at which they were present.
    pub crashes: usize,
    /// Time from which they are allowed again unless they crash another engine.
    pub until: Instant,
}

/// Parts accused of crashes, cleared of them, and refused.
#[derive(Debug, Default)]
pub struct PartSuspects {
    /// Crashes at which each accused part was present.
    pub(super) accused: HashMap<PartId, Crashes>,
    /// Times of all known crashes.
    pub(super) times: HashMap<CrashId, Instant>,
    /// The same times in order, as of the last step.
    pub(super) timeline: Vec<Instant>,
    /// Crashes of which sound runs have cleared each part.
    pub(super) cleared: HashMap<PartId, Crashes>,
    /// Crashes that this instance has seen of late, and when.
    pub(super) seen: HashMap<CrashId, Instant>,
    /// Parts that this instance accused of late, and when.
    pub(super) accusations: HashMap<PartId, Instant>,
    /// Parts that this instance cleared of late, or that another instance still accuses, and when.
    pub(super) clearances: HashMap<PartId, Instant>,
    /// Parts refused at present.
    pub(super) refused: Vec<RefusedParts>,
    /// Parts that are or were refused.
    pub(super) known: KnownRefusals,
    /// When the latest sound run of each part began.
    pub(super) last_sound: HashMap<PartId, Instant>,
    /// When the latest run began that was found sound.
    pub(super) sound_at: Option<Instant>,
    /// When the latest sound runs began.
    pub(super) sounds: VecDeque<Instant>,
    /// Which of the accused parts occur without each other.
    pub(super) companions: Companions,
    /// Part that is tried because nothing sound tells it from others.
    pub(super) trial: Option<Trial>,
    /// Parts to be refused unless other crashes of the same wave become known.
    pub(super) pending: Vec<RefusedParts>,
    /// Parts that may be tried, the most suspect one first.
    pub(super) next_trials: Vec<PartId>,
    /// Parts with enough crashes that are not refused, and why.
    pub(super) open: Vec<(PartId, Doubt)>,
}

impl PartSuspects {
    /// Identifies a crash at `at` of an endpoint whose restarts are not numbered, in the run that its
    /// listing names, and returns it with its time. The listing may not show yet that it has
    /// restarted since the last known crash; if it has begun to answer a request that was sent since
    /// then, the latest of them at `answered`, this is another crash.
    pub fn identify_crash(
        &self,
        run: Incarnation,
        at: Instant,
        answered: Option<Instant>,
    ) -> (CrashId, Instant) {
        let known = self.times.iter().filter(|((crashed, _), _)| *crashed == run);
        let Some((number, last)) = known.map(|((_, number), at)| (*number, *at)).max() else {
            return ((run, 0), at);
        };
        let is_next = answered.is_some_and(|answered| answered > last);
        match number.checked_add(1).filter(|_| is_next) {
            Some(next) => ((run, next), at),
            None => ((run, number), last),
        }
    }

    /// Records a crash that this instance has seen itself.
    pub fn record_seen(&mut self, now: Instant, id: CrashId) {
        self.seen.insert(id, now);
    }

    /// Returns whether a part is accused of any crash.
    pub fn is_accused(&self, part: &PartId) -> bool {
        self.accused.contains_key(part)
    }

    /// Accuses parts of a crash at `at`. Returns those that are accused of it for the first time,
    /// with their numbers of crashes.
    pub fn record_crash(
        &mut self,
        at: Instant,
        id: CrashId,
        parts: &[AccusedPart],
    ) -> Vec<(PartId, usize)> {
        let at = *self.times.entry(id).or_insert(at);
        let accused: Vec<(PartId, usize)> = parts
            .iter()
            .filter_map(|p| {
                let presence = Presence { at, begun: p.begun };
                Some((p.part, self.accuse(id, presence, p.part)?))
            })
            .collect();
        self.accusations.extend(accused.iter().map(|(p, _)| (*p, at)));
        accused
    }

    /// Returns whether a part is cleared of a crash at `at`, of which this instance may learn only
    /// after the sound run.
    pub(super) fn is_cleared(&self, at: Instant, part: PartId, id: CrashId) -> bool {
        self.cleared.get(&part).is_some_and(|c| c.contains_key(&id))
            || self.last_sound.get(&part).is_some_and(|sound| *sound >= at)
    }

    /// Returns the part's number of crashes; `None` if this one is known or the part is cleared of
    /// it.
    pub(super) fn accuse(
        &mut self,
        id: CrashId,
        presence: Presence,
        part: PartId,
    ) -> Option<usize> {
        self.times.entry(id).or_insert(presence.at);
        if self.is_cleared(presence.at, part, id) {
            return None;
        }
        if self.accused.len() >= MAX_PARTS && !self.accused.contains_key(&part) {
            // The part with the fewest crashes is the least likely cause.
            let least = self.accused.iter().min_by_key(|(_, c)| c.len()).map(|(p, _)| *p);
            least.map(|p| self.accused.remove(&p));
        }
        let crashes = self.accused.entry(part).or_default();
        if let Some(known) = crashes.get_mut(&id) {
            known.begun |= presence.begun;
            return None;
        }
        crashes.insert(id, presence);
        Some(crashes.len())
    }

    /// Clears the parts of a sound run of the known crashes before it began. Returns the parts that
    /// were accused of some, with the number of these.
    pub fn record_sound(&mut self, now: Instant, run: &SoundRun) -> Vec<(PartId, usize)> {
        self.sound_at = self.sound_at.max(Some(run.begun));
        self.sounds.push_back(run.begun);
        if self.sounds.len() > MANY_SOUND_RUNS {
            self.sounds.pop_front();
        }
        self.trial.take_if(|t| run.parts.contains(&t.part) || !t.affects_run(run.begun));
        let mut changed = Vec::new();
        self.bound_sound(now);
        for p in run.parts.iter() {
            let last = self.last_sound.entry(*p).or_insert(run.begun);
            *last = run.begun.max(*last);
            let Some(crashes) = self.accused.get_mut(p) else {
                self.known.narrow(*p);
                continue;
            };
            let cleared: Crashes = crashes.extract_if(|_, c| c.at <= run.begun).collect();
            if crashes.is_empty() {
                self.accused.remove(p);
                self.known.narrow(*p);
            }
            if !cleared.is_empty() {
                changed.push((*p, cleared.len()));
                self.clearances.insert(*p, now);
                self.clear(*p, cleared);
            }
        }
        changed
    }

    /// Forgets sound runs earlier than usual when callers name very many parts.
    fn bound_sound(&mut self, now: Instant) {
        if self.last_sound.len() < MAX_SOUND_PARTS {
            return;
        }
        self.last_sound.retain(|_, at| now.saturating_duration_since(*at) < SOUND_MEMORY / 10);
        if self.last_sound.len() >= MAX_SOUND_PARTS {
            self.last_sound.clear();
        }
    }

    pub(super) fn clear(&mut self, part: PartId, crashes: Crashes) {
        if self.cleared.len() >= MAX_PARTS {
            self.cleared.clear();
        }
        self.cleared.entry(part).or_default().extend(crashes);
    }

    /// Forgets old crashes and decides anew which parts are refused. Returns those that were not
    /// refused before.
    pub fn step(&mut self, now: Instant) -> Vec<RefusedParts> {
        self.forget(now);
        self.timeline = self.times.values().copied().collect();
        self.timeline.sort_unstable();
        let refused = self.find_causes(now);
        let is_new = |r: &&RefusedParts| self.refused.iter().all(|old| old.parts != r.parts);
        let new: Vec<RefusedParts> = refused.iter().filter(is_new).cloned().collect();
        refused.iter().for_each(|r| self.known.record(now, &r.parts));
        self.refused = refused;
        self.pending = self.find_causes(now + SETTLE_TIME);
        self.update_trial(now);
        new
    }

    fn forget(&mut self, now: Instant) {
        let is_recent = |at: Instant, time| now.saturating_duration_since(at) < time;
        for all in [&mut self.accused, &mut self.cleared] {
            all.retain(|_, crashes| {
                crashes.retain(|_, c| is_recent(c.at, CRASH_MEMORY));
                !crashes.is_empty()
            });
        }
        self.times.retain(|_, at| is_recent(*at, CRASH_MEMORY));
        self.seen.retain(|_, at| is_recent(*at, GOSSIP_TIME));
        self.accusations.retain(|_, at| is_recent(*at, GOSSIP_TIME));
        self.clearances.retain(|_, at| is_recent(*at, GOSSIP_TIME));
        self.last_sound.retain(|_, at| is_recent(*at, SOUND_MEMORY));
        self.known.forget(now);
        self.companions.retain(|p| self.accused.contains_key(p));
    }

    /// Returns the fewest sets of parts that explain the crashes, as far as these suffice.
    fn find_causes(&self, now: Instant) -> Vec<RefusedParts> {
        let mut causes = Vec::new();
        let mut explained = HashSet::new();
        if self.accused.is_empty() {
            return causes;
        }
        for counted in [Counted::Begun, Counted::All] {
            while let Some((cause, crashes)) = self.find_cause(now, counted, &explained) {
                explained.extend(crashes.into_keys());
                causes.push(cause);
            }
        }
        causes.extend(self.told_together(&causes));
        causes
    }

    /// Returns the parts that are known to be refused together, where these causes do not say more.
    fn told_together(&self, causes: &[RefusedParts]) -> Vec<RefusedParts> {
        let is_refined = |set: &&PartSet| causes.iter().any(|c| c.parts.is_subset(set));
        let sets = self.known.together().filter(|set| !is_refined(set));
        let to_refused = |set: &PartSet| {
            let crashes: Option<Vec<&Crashes>> = set.iter().map(|p| self.accused.get(p)).collect();
            let crashes = crashes?.into_iter().min_by_key(|c| c.len())?;
            let until = crashes.values().map(|c| c.at).max()? + CRASH_MEMORY;
            Some(RefusedParts { parts: set.clone(), crashes: crashes.len(), until })
        };
        sets.filter_map(to_refused).collect()
    }

    /// Returns the part that explains the most open crashes, with the parts that were present at
    /// the same ones, and these crashes. `None` if no part has enough of them.
    fn find_cause(
        &self,
        now: Instant,
        counted: Counted,
        explained: &HashSet<CrashId>,
    ) -> Option<(RefusedParts, OpenCrashes)> {
        let open = |crashes: &Crashes| -> OpenCrashes {
            let counted =
                crashes.iter().filter(|(id, c)| counted.includes(c) && !explained.contains(id));
            counted.map(|(id, c)| (*id, c.at)).collect()
        };
        let all: Vec<_> = self.accused.iter().map(|(p, crashes)| (*p, open(crashes))).collect();
        let is_known = |p: &PartId| self.known.has(*p);
        let suffices = |(part, open): &&(PartId, OpenCrashes)| {
            !open.is_empty()
                && (is_known(part) || self.evidence(now, *part, open, counted) == Evidence::Enough)
        };
        let rank = |(part, open): &&(PartId, OpenCrashes)| (is_known(part), open.len(), *part);
        let (part, crashes) = all.iter().filter(suffices).max_by_key(rank)?;
        let mut parts = PartSet::from([*part]);
        if !is_known(part) {
            let same = all.iter().filter(|(_, open)| open.keys().eq(crashes.keys()));
            parts.extend(same.map(|(p, _)| *p));
        }
        let until = *crashes.values().max()? + CRASH_MEMORY;
        Some((RefusedParts { parts, crashes: crashes.len(), until }, crashes.clone()))
    }

    /// Returns the part with the most crashes among those that have enough of them and are not
    /// refused, with the number of its crashes and the reason.
    pub fn undecided(&self) -> Option<(PartId, usize, Doubt)> {
        // A part may have been cleared since the last step.
        let crashes = |p: &PartId| self.accused.get(p).map(HashMap::len);
        let open = self.open.iter().filter_map(|(p, doubt)| Some((*p, crashes(p)?, *doubt)));
        open.max_by_key(|(p, crashes, _)| (*crashes, *p))
    }

    /// Returns whether a part is accused of enough crashes that a request with it should not be
    /// sent to another engine after a crash.
    pub fn is_suspect(&self, parts: &[PartId]) -> bool {
        let begun = |crashes: &Crashes| -> Vec<Instant> {
            crashes.values().filter(|c| c.begun).map(|c| c.at).collect()
        };
        let accused = parts.iter().filter_map(|p| self.accused.get(p));
        accused.map(|c| self.attributed(begun(c))).any(|c| c.len() >= MAX_RERUN_CRASHES)
    }

    /// Returns why a request with these parts is refused; `None` if it is not.
    pub fn find_refused(&self, parts: &[PartId]) -> Option<&RefusedParts> {
        let released = self.trial.and_then(|t| t.released);
        let is_released = |r: &RefusedParts| r.parts.iter().any(|p| Some(*p) == released);
        let has_all = |r: &&RefusedParts| r.parts.iter().all(|p| parts.contains(p));
        self.refused.iter().filter(|r| !is_released(r)).find(has_all)
    }

    /// Returns the parts refused at present.
    pub fn refused(&self) -> &[RefusedParts] {
        &self.refused
    }
}
