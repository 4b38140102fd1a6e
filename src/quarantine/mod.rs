//! Quarantine of request contents that crash endpoints.
//!
//! Each crash report names the contents that were running, including those that did not cause the
//! crash. A content present at one crash may run again, one copy at a time per entry. After two
//! crashes it runs alone on its endpoint; after three it is refused. A content that runs to its
//! end is cleared of the crashes recorded so far, unless it is already refused: it has then crashed
//! an endpoint on which it ran alone. A crash is forgotten after some minutes, and with it a refusal
//! that rests on it.
//!
//! Requests with different contents may share a part of their prompts that crashes endpoints; see
//! [`PartSuspects`].

mod companions;
mod contents;
mod evidence;
mod examination;
mod parts;
mod runs;
mod told;
mod trial;

pub use contents::{CRASH_MEMORY, CrashSet, LostRun, service_tag};
pub use evidence::{Doubt, MAX_CRASHES};
pub use examination::{Break, Examination, LIFE_MARGIN, Listed, Look, Next, Sight, Verdict};
pub use parts::{AccusedPart, CrashId, PartSet, PartSuspects, RefusedParts};
pub use runs::{CrashedRuns, RunEnd, RunKey, Runs, SOUND_TIME, SoundRun};
pub use told::Scope;
pub use trial::Trial;

use crate::frame::{Crash, Gossip, Suspect};
use crate::id::{Fingerprint, Incarnation};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of crashes from which a content runs alone.
const ALONE_THRESHOLD: usize = 2;
/// Number of crashes from which a content is refused.
const REFUSE_THRESHOLD: usize = 3;
/// Time for which a change is sent to other instances, since messages may be lost.
const GOSSIP_TIME: Duration = Duration::from_secs(3);
/// Most contents of each kind in one message.
const MAX_GOSSIP_ROWS: usize = 20;
/// Most messages about contents to an instance that has started.
const MAX_GOSSIP_PAGES: usize = 10;
/// Most suspects kept, and most cleared contents.
const MAX_CONTENTS: usize = 4096;

/// How a content may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Without restriction.
    Free,
    /// One copy at a time.
    Single,
    /// One copy at a time, with nothing else on its endpoint.
    Alone,
    /// Not at all.
    Refused,
}

/// Contents that were running when endpoints crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Parts of prompts that several contents share.
    pub parts: PartSuspects,
    suspects: HashMap<Fingerprint, CrashSet>,
    cleared: HashMap<Fingerprint, CrashSet>,
    /// Contents that changed within [`GOSSIP_TIME`], and when.
    changed: HashMap<Fingerprint, Instant>,
    running: HashMap<Fingerprint, u32>,
}

impl Quarantine {
    /// Records a crash reported by a sidecar; returns the contents to which it was added, with their
    /// new standing.
    pub fn record_crash(
        &mut self,
        now: Instant,
        endpoint: Incarnation,
        crash: &Crash,
    ) -> Vec<(Fingerprint, Standing)> {
        let run = LostRun { sent: now, ended: now, service: None };
        let runs: Vec<(Fingerprint, LostRun)> = crash.running.iter().map(|f| (*f, run)).collect();
        self.record_lost(now, (endpoint, crash.number), &runs)
    }

    /// Records the runs that a crash has ended; returns the contents to which it was added, with their
    /// new standing.
    pub fn record_lost(
        &mut self,
        now: Instant,
        id: CrashId,
        runs: &[(Fingerprint, LostRun)],
    ) -> Vec<(Fingerprint, Standing)> {
        self.forget(now);
        let mut changed = Vec::new();
        for (f, run) in runs {
            if self.add(*f, id, *run) {
                self.changed.insert(*f, now);
                changed.push((*f, self.standing(f)));
            }
        }
        changed
    }

    /// Adds a crash to a content unless it was cleared of that crash; returns whether the crash is
    /// new for the content.
    fn add(&mut self, f: Fingerprint, id: CrashId, run: LostRun) -> bool {
        if self.cleared.get(&f).is_some_and(|c| c.contains(&id)) {
            return false;
        }
        if self.suspects.len() >= MAX_CONTENTS && !self.suspects.contains_key(&f) {
            // The content present at the fewest crashes is the least likely cause.
            let least_suspect = self.suspects.iter().min_by_key(|(_, c)| c.count());
            if let Some(least) = least_suspect.map(|(f, _)| *f) {
                self.suspects.remove(&least);
            }
        }
        self.suspects.entry(f).or_default().insert(id, run)
    }

    /// Clears a content that ran to its end, at a service if that is known, of its crashes there;
    /// returns whether it was a suspect. A refused content stays refused.
    pub fn clear(&mut self, now: Instant, f: &Fingerprint, service: Option<Fingerprint>) -> bool {
        self.forget(now);
        if matches!(self.standing(f), Standing::Free | Standing::Refused) {
            return false;
        }
        let Some(known) = self.suspects.get_mut(f) else { return false };
        let crashes = known.take_cleared(service);
        if known.is_empty() {
            self.suspects.remove(f);
        }
        if crashes.is_empty() {
            return false;
        }
        self.changed.insert(*f, now);
        if self.cleared.len() >= MAX_CONTENTS {
            self.cleared.clear();
        }
        self.cleared.entry(*f).or_default().extend(crashes);
        true
    }

    /// Forgets the crashes that no longer count, and the refusals that rest on them.
    pub fn forget(&mut self, now: Instant) {
        for all in [&mut self.suspects, &mut self.cleared] {
            all.retain(|_, crashes| {
                crashes.forget(now);
                !crashes.is_empty()
            });
        }
    }

    /// Returns whether there is any suspect. Callers check this first, since a look-up requires
    /// hashing the content.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns how a content may be run.
    pub fn standing(&self, f: &Fingerprint) -> Standing {
        match self.suspects.get(f).map_or(0, CrashSet::count) {
            0 => Standing::Free,
            n if n < ALONE_THRESHOLD => Standing::Single,
            n if n < REFUSE_THRESHOLD => Standing::Alone,
            _ => Standing::Refused,
        }
    }

    /// Counts a copy as running if it may start now; returns whether it may.
    pub fn try_start(&mut self, f: &Fingerprint) -> bool {
        let running = self.running.get(f).copied().unwrap_or(0);
        let is_allowed = match self.standing(f) {
            Standing::Free => true,
            Standing::Single | Standing::Alone => running == 0,
            Standing::Refused => false,
        };
        if is_allowed {
            *self.running.entry(*f).or_default() += 1;
        }
        is_allowed
    }

    /// Counts a copy as no longer running.
    pub fn finish(&mut self, f: &Fingerprint) {
        if let Some(n) = self.running.get_mut(f) {
            *n -= 1;
            if *n == 0 {
                self.running.remove(f);
            }
        }
    }

    /// Returns the contents that are refused.
    pub fn refused(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.suspects.keys().copied().filter(|f| self.standing(f) == Standing::Refused)
    }

    /// Returns until when a content is refused unless it crashes another endpoint; `None` if it is
    /// not refused.
    pub fn refused_until(&self, f: &Fingerprint) -> Option<Instant> {
        let moments = self.suspects.get(f)?.moments();
        let oldest = moments.len().checked_sub(REFUSE_THRESHOLD)?;
        Some(moments[oldest] + CRASH_MEMORY)
    }

    /// Returns all suspects and cleared contents, to be merged by other instances.
    pub fn gossip(&self, now: Instant) -> Gossip {
        Gossip {
            suspects: to_rows(now, self.suspects.iter()),
            cleared: to_rows(now, self.cleared.iter()),
            parts: self.parts.gossip(now, Scope::All),
            store: None,
        }
    }

    /// Returns what another instance needs to know to refuse a content.
    pub fn gossip_of(&self, now: Instant, f: Fingerprint) -> Vec<Suspect> {
        to_rows(now, self.suspects.get(&f).map(|crashes| (&f, crashes)).into_iter())
    }

    /// Returns messages about the contents and parts in a scope, each of the size of a datagram.
    pub fn messages(&mut self, now: Instant, scope: Scope) -> Vec<Gossip> {
        self.changed.retain(|_, at| now.saturating_duration_since(*at) < GOSSIP_TIME);
        let is_named = |f: &Fingerprint| match scope {
            Scope::Changed => self.changed.contains_key(f),
            Scope::Refused => self.changed.contains_key(f) || self.standing(f) == Standing::Refused,
            Scope::All => true,
        };
        let suspects = to_rows(now, self.suspects.iter().filter(|(f, _)| is_named(f)));
        let is_new = |f: &Fingerprint| self.changed.contains_key(f);
        let cleared = to_rows(now, self.cleared.iter().filter(|(f, _)| is_new(f)));
        let parts = self.parts.gossip(now, scope);
        let pages = if scope == Scope::All { MAX_GOSSIP_PAGES } else { 1 };
        let rows = suspects.chunks(MAX_GOSSIP_ROWS).take(pages);
        let of_suspects = rows.map(|rows| Gossip { suspects: rows.to_vec(), ..Gossip::default() });
        let rows = cleared.chunks(MAX_GOSSIP_ROWS).take(pages);
        let of_cleared = rows.map(|rows| Gossip { cleared: rows.to_vec(), ..Gossip::default() });
        let of_parts = Gossip { parts, ..Gossip::default() };
        let mut messages: Vec<Gossip> = of_suspects.chain(of_cleared).collect();
        messages.extend(Some(of_parts).filter(|gossip| *gossip != Gossip::default()));
        messages
    }

    /// Merges the state of another instance; the order of merges does not matter. Returns the crashes
    /// with shared parts that were not known, and their times.
    pub fn merge(&mut self, now: Instant, gossip: &Gossip) -> Vec<(CrashId, Instant)> {
        let new = self.parts.merge(now, &gossip.parts);
        for s in &gossip.cleared {
            let cleared = CrashSet::of_suspect(now, s);
            if let Some(known) = self.suspects.get_mut(&s.content) {
                known.subtract(&cleared);
                if known.is_empty() {
                    self.suspects.remove(&s.content);
                }
            }
            self.cleared.entry(s.content).or_default().extend(cleared);
        }
        for s in &gossip.suspects {
            for (id, run) in CrashSet::of_suspect(now, s) {
                self.add(s.content, id, run);
            }
        }
        self.forget(now);
        new
    }
}

/// Returns rows for a message, those first that were present at the most crashes.
fn to_rows<'a>(
    now: Instant,
    all: impl Iterator<Item = (&'a Fingerprint, &'a CrashSet)>,
) -> Vec<Suspect> {
    let mut rows: Vec<Suspect> = all.map(|(f, crashes)| crashes.to_suspect(now, *f)).collect();
    rows.sort_by_key(|s| (std::cmp::Reverse(s.crashes.len()), s.content));
    rows
}
