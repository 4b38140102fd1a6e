//! Runs of generations at endpoints, as far as they may have caused a crash there.
//!
//! A run is sound once its engine has outlived its first event by [`SOUND_TIME`]. Its own events show
//! that; for one that ends before, whatever else the engine sends does. The end of a response does
//! not: an engine may crash right after it, and one without framing also ends with a crash.

use super::{AccusedPart, CrashId};
use crate::id::PartId;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which a run without progress does not keep others with its parts waiting. Its engine
/// may be cut off.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Time after its first event for which a run may still crash its endpoint.
pub const SOUND_TIME: Duration = Duration::from_millis(500);
/// Time for which a run that has ended is kept, in which other instances tell of a crash.
const ENDED_MEMORY: Duration = Duration::from_secs(4);

new_key_type! {
    /// Key of a run until it is sound.
    pub struct RunKey;
}

/// How a run has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The response broke off, or its caller left.
    Broken,
    /// The response is complete.
    Whole,
    /// The response ended with its connection, which a crash does too.
    Unframed,
}

#[derive(Debug)]
struct Run<K> {
    endpoint: K,
    parts: Rc<[PartId]>,
    /// When it was sent.
    started: Instant,
    /// When the head of the response arrived.
    head: Option<Instant>,
    /// Time of the first event.
    begun: Option<Instant>,
    /// When and how it ended.
    ended: Option<(Instant, RunEnd)>,
    /// Crash that it is accused of.
    crash: Option<CrashId>,
}

impl<K> Run<K> {
    /// Returns whether the run may have caused a crash of its endpoint at `at`. A request that was
    /// sent later has found the endpoint down.
    fn may_cause(&self, at: Instant, id: CrashId) -> bool {
        let is_within = |since: Instant| at <= since + SOUND_TIME;
        self.started <= at
            && self.begun.is_none_or(is_within)
            && self.ended.is_none_or(|(ended, _)| is_within(ended))
            && self.crash.is_none_or(|known| known == id)
    }
}

/// A run that its endpoint has outlived.
#[derive(Debug, Clone, PartialEq)]
pub struct SoundRun {
    /// Shared parts of its prompt.
    pub parts: Rc<[PartId]>,
    /// Time of its first event. It tells nothing of crashes after that.
    pub begun: Instant,
}

/// What the runs at an endpoint that has crashed show.
#[derive(Debug, Default)]
pub struct CrashedRuns {
    /// Their parts, each once.
    pub parts: Vec<AccusedPart>,
    /// Their parts, run by run.
    pub requests: Vec<Rc<[PartId]>>,
}

/// Runs that are not known to be sound, at endpoints with keys of type `K`.
#[derive(Debug)]
pub struct Runs<K> {
    runs: SlotMap<RunKey, Run<K>>,
    /// When each endpoint last sent anything.
    lives: HashMap<K, Instant>,
}

impl<K> Default for Runs<K> {
    fn default() -> Self {
        Runs { runs: SlotMap::with_key(), lives: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> Runs<K> {
    /// Adds a run that is sent to an endpoint.
    pub fn start(&mut self, now: Instant, endpoint: K, parts: Rc<[PartId]>) -> RunKey {
        let (started, head, begun, ended, crash) = (now, None, None, None, None);
        self.runs.insert(Run { endpoint, parts, started, head, begun, ended, crash })
    }

    /// Records that an endpoint has sent something.
    pub fn record_life(&mut self, now: Instant, endpoint: K) {
        self.lives.insert(endpoint, now);
    }

    /// Returns whether an endpoint has sent anything since `since`.
    pub fn has_lived(&self, endpoint: &K, since: Instant) -> bool {
        self.lives.get(endpoint).is_some_and(|at| *at >= since)
    }

    /// Records that the endpoint has begun to answer.
    pub fn record_head(&mut self, now: Instant, key: RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            run.head = Some(now);
        }
    }

    /// Records an event of a run. Returns the run once it is sound.
    pub fn record_event(&mut self, now: Instant, key: RunKey) -> Option<SoundRun> {
        let run = self.runs.get_mut(key)?;
        let begun = *run.begun.get_or_insert(now);
        if now < begun + SOUND_TIME {
            return None;
        }
        self.runs.remove(key).map(|run| SoundRun { parts: run.parts, begun })
    }

    /// Returns whether a run with a part is under way that is not known to be sound and has made
    /// progress lately.
    pub fn is_running(&self, now: Instant, part: PartId) -> bool {
        let is_active = |run: &Run<K>| {
            let progress = run.begun.or(run.head).unwrap_or(run.started);
            run.ended.is_none() && now < progress + MAX_SILENCE
        };
        self.runs.values().any(|run| is_active(run) && run.parts.contains(&part))
    }

    /// Records the end of a run.
    pub fn end(&mut self, now: Instant, key: RunKey, end: RunEnd) {
        if let Some(run) = self.runs.get_mut(key) {
            run.ended.get_or_insert((now, end));
        }
    }

    /// Removes a run of a request that has not run there.
    pub fn remove(&mut self, key: RunKey) {
        self.runs.remove(key);
    }

    /// Returns when the latest of the runs at an endpoint was sent that may have caused a crash at
    /// `at` and that the endpoint had begun to answer.
    pub fn last_answered(&self, endpoint: &K, at: Instant) -> Option<Instant> {
        let at_endpoint = self.runs.values().filter(|run| run.endpoint == *endpoint);
        let answered = at_endpoint.filter(|run| run.head.is_some() && run.crash.is_none());
        answered.map(|run| run.started).filter(|started| *started <= at).max()
    }

    /// Accuses the runs at an endpoint that may have caused its crash at `at`, and returns what they
    /// show.
    pub fn accuse(&mut self, endpoint: &K, at: Instant, id: CrashId) -> CrashedRuns {
        let mut parts: BTreeMap<PartId, bool> = BTreeMap::new();
        let mut requests = Vec::new();
        let at_endpoint = self.runs.values_mut().filter(|run| run.endpoint == *endpoint);
        for run in at_endpoint.filter(|run| run.may_cause(at, id)) {
            for part in run.parts.iter() {
                *parts.entry(*part).or_default() |= run.head.is_some();
            }
            run.crash = Some(id);
            requests.push(run.parts.clone());
        }
        let parts = parts.into_iter().map(|(part, begun)| AccusedPart { part, begun }).collect();
        CrashedRuns { parts, requests }
    }

    /// Returns an endpoint with runs for which `is_meant` holds.
    pub fn find(&self, is_meant: impl Fn(&K) -> bool) -> Option<K> {
        self.runs.values().map(|run| &run.endpoint).find(|k| is_meant(k)).cloned()
    }

    /// Returns the endpoints that have to be examined, each with the end of its first run that nothing
    /// shows it to have outlived: one without framing, or one with a part for which `is_accused` holds.
    pub fn unproven(
        &self,
        now: Instant,
        is_accused: impl Fn(&PartId) -> bool,
    ) -> Vec<(K, Instant)> {
        let to_unproven = |run: &Run<K>| {
            let (proven, (ended, end)) = (run.begun? + SOUND_TIME, run.ended?);
            let is_doubtful = end == RunEnd::Unframed || run.parts.iter().any(&is_accused);
            let is_due = end != RunEnd::Broken && run.crash.is_none() && now >= proven;
            (is_due && is_doubtful && !self.has_lived(&run.endpoint, proven)).then_some(ended)
        };
        let mut endpoints: HashMap<&K, Instant> = HashMap::new();
        for run in self.runs.values() {
            let Some(ended) = to_unproven(run) else { continue };
            let first = endpoints.entry(&run.endpoint).or_insert(ended);
            *first = ended.min(*first);
        }
        endpoints.into_iter().map(|(k, ended)| (k.clone(), ended)).collect()
    }

    /// Removes the runs that ended long enough ago. Returns those that are sound.
    pub fn step(&mut self, now: Instant) -> Vec<SoundRun> {
        let mut sound = Vec::new();
        let lives = &self.lives;
        self.runs.retain(|_, run| {
            let Some((ended, end)) = run.ended else { return true };
            let begun = run.begun.filter(|_| end != RunEnd::Broken && run.crash.is_none());
            let is_proven = |begun: &Instant| {
                lives.get(&run.endpoint).is_some_and(|at| *at >= *begun + SOUND_TIME)
            };
            if let Some(begun) = begun.filter(is_proven) {
                sound.push(SoundRun { parts: run.parts.clone(), begun });
                return false;
            }
            now < ended + ENDED_MEMORY
        });
        self.lives.retain(|_, at| now < *at + ENDED_MEMORY);
        sound
    }
}
