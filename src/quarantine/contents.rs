//! Contents of requests that were running when endpoints crashed.
//!
//! Crashes at the same moment, as of all endpoints of a data centre that loses power, say nothing
//! about a content that ran on several of them: of runs that overlap, one counts.

use super::parts::CrashId;
use crate::frame::{CrashedRun, Suspect};
use crate::id::{Fingerprint, ServiceName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a crash counts, and for which a content is cleared of it.
pub const CRASH_MEMORY: Duration = Duration::from_secs(600);
/// Most crashes kept of one content, the latest ones.
const MAX_CRASHES: usize = 16;
/// Most crashes of one content in a message, the latest ones.
const MAX_ROW_CRASHES: usize = 6;
/// Time by which the ends of runs that other instances report may be wrong.
const CLOCK_ERROR: Duration = Duration::from_millis(10);

/// Run of a content that ended with the crash of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LostRun {
    /// When the request was sent.
    pub sent: Instant,
    /// When the crash ended it.
    pub ended: Instant,
    /// Service of the endpoint; `None` if it is not known.
    pub service: Option<Fingerprint>,
}

/// Crashes at which a content was running.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CrashSet(HashMap<CrashId, LostRun>);

impl CrashSet {
    /// Adds a crash; returns whether it is new.
    pub fn insert(&mut self, id: CrashId, run: LostRun) -> bool {
        if self.0.contains_key(&id) {
            return false;
        }
        if self.0.len() >= MAX_CRASHES {
            let oldest = self.0.iter().min_by_key(|(id, run)| (run.ended, **id)).map(|(id, _)| *id);
            oldest.map(|id| self.0.remove(&id));
        }
        self.0.insert(id, run);
        true
    }

    /// Adds the crashes of another set.
    pub fn extend(&mut self, other: CrashSet) {
        for (id, run) in other {
            self.insert(id, run);
        }
    }

    /// Returns whether a crash is in the set.
    pub fn contains(&self, id: &CrashId) -> bool {
        self.0.contains_key(id)
    }

    /// Returns whether there is no crash.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the times of the crashes whose runs did not overlap, in order.
    pub fn moments(&self) -> Vec<Instant> {
        let mut runs: Vec<&LostRun> = self.0.values().collect();
        runs.sort_by_key(|run| run.ended);
        let mut moments: Vec<Instant> = Vec::new();
        for run in runs {
            if moments.last().is_none_or(|last| run.sent + CLOCK_ERROR >= *last) {
                moments.push(run.ended);
            }
        }
        moments
    }

    /// Counts the crashes whose runs did not overlap.
    pub fn count(&self) -> usize {
        self.moments().len()
    }

    /// Forgets the crashes of another set.
    pub fn subtract(&mut self, other: &CrashSet) {
        self.0.retain(|id, _| !other.contains(id));
    }

    /// Removes the crashes that a run at a service shows not to be due to the content.
    pub fn take_cleared(&mut self, service: Option<Fingerprint>) -> CrashSet {
        let is_tested = |run: &LostRun| {
            run.service.zip(service).is_none_or(|(crashed, tested)| crashed == tested)
        };
        CrashSet(self.0.extract_if(|_, run| is_tested(run)).collect())
    }

    /// Forgets the crashes that no longer count.
    pub fn forget(&mut self, now: Instant) {
        self.0.retain(|_, run| now.saturating_duration_since(run.ended) < CRASH_MEMORY);
    }

    /// Returns the crashes as another instance is told of them.
    pub fn to_suspect(&self, now: Instant, content: Fingerprint) -> Suspect {
        let millis = |from: Instant, to: Instant| to.saturating_duration_since(from).as_millis();
        let row = |(id, run): (&CrashId, &LostRun)| CrashedRun {
            endpoint: id.0,
            number: id.1,
            age: millis(run.ended, now) as u64,
            ran: millis(run.sent, run.ended) as u64,
            service: run.service,
        };
        let mut runs: Vec<CrashedRun> = self.0.iter().map(row).collect();
        runs.sort_by_key(|run| (run.age, run.endpoint, run.number));
        runs.truncate(MAX_ROW_CRASHES);
        let crashes = runs.iter().map(|run| (run.endpoint, run.number)).collect();
        Suspect { content, crashes, runs }
    }

    /// Returns the crashes that another instance tells of, as far as they still count. Those without
    /// a run come from an older version, and count as of now.
    pub fn of_suspect(now: Instant, suspect: &Suspect) -> CrashSet {
        let told = |id: &CrashId| {
            let run = suspect.runs.iter().find(|run| (run.endpoint, run.number) == *id);
            let Some(run) = run else {
                return Some((*id, LostRun { sent: now, ended: now, service: None }));
            };
            let ended = now.checked_sub(Duration::from_millis(run.age))?;
            let sent = ended.checked_sub(Duration::from_millis(run.ran))?;
            Some((*id, LostRun { sent, ended, service: run.service }))
        };
        let mut set = CrashSet(suspect.crashes.iter().filter_map(told).collect());
        set.forget(now);
        set
    }
}

impl IntoIterator for CrashSet {
    type Item = (CrashId, LostRun);
    type IntoIter = std::collections::hash_map::IntoIter<CrashId, LostRun>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

/// Identifies a service in the crashes of contents.
pub fn service_tag(service: &ServiceName) -> Fingerprint {
    Fingerprint::of(&[service.as_str().as_bytes()])
}
