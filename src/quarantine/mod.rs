//! Finds contents that crash endpoints, clears those that only stood beside them, and refuses the
//! guilty.
//!
//! Each crash names the contents that were running. A content present at one crash may run
//! again, one copy at a time per entry; at two it runs alone; at three it is refused. A content
//! that runs to its end is cleared, unless it crashed an endpoint while it was alone.

use crate::frame::{Crash, Gossip, Suspect};
use crate::id::{Fingerprint, Incarnation};
use std::collections::{HashMap, HashSet};

/// Crashes after which a content runs alone.
const ALONE_AT: usize = 2;
/// Crashes after which a content is refused.
const REFUSE_AT: usize = 3;
/// Contents kept under suspicion.
const LIMIT: usize = 4096;

/// How a content may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Without restriction.
    Free,
    /// One copy at a time.
    Single,
    /// With nothing else on its endpoint, one copy at a time.
    Alone,
    /// Not at all.
    Refused,
}

type CrashSet = HashSet<(Incarnation, u32)>;

/// What is known of contents that were running at crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, CrashSet>,
    cleared: HashMap<Fingerprint, CrashSet>,
    running: HashMap<Fingerprint, u32>,
}

impl Quarantine {
    /// Takes over a crash; returns the contents whose standing got worse.
    pub fn record_crash(
        &mut self,
        endpoint: Incarnation,
        crash: &Crash,
    ) -> Vec<(Fingerprint, Standing)> {
        let id = (endpoint, crash.number);
        let mut worse = Vec::new();
        for f in &crash.running {
            if self.add(*f, id) {
                worse.push((*f, self.standing(f)));
            }
        }
        worse
    }

    /// Adds a crash to a content, unless it was cleared of it; `true` where that is news.
    fn add(&mut self, f: Fingerprint, crash: (Incarnation, u32)) -> bool {
        if self.cleared.get(&f).is_some_and(|c| c.contains(&crash)) {
            return false;
        }
        if self.suspects.len() >= LIMIT && !self.suspects.contains_key(&f) {
            // Those present at the fewest crashes are the least likely to be guilty.
            let least = self.suspects.iter().min_by_key(|(_, c)| c.len()).map(|(f, _)| *f);
            if let Some(least) = least {
                self.suspects.remove(&least);
            }
        }
        self.suspects.entry(f).or_default().insert(crash)
    }

    /// Clears a content that ran to its end; `true` where it was a suspect.
    pub fn clear(&mut self, f: &Fingerprint) -> bool {
        if matches!(self.standing(f), Standing::Free | Standing::Refused) {
            return false;
        }
        let crashes = self.suspects.remove(f).unwrap_or_default();
        if self.cleared.len() >= LIMIT {
            self.cleared.clear();
        }
        self.cleared.entry(*f).or_default().extend(crashes);
        true
    }

    /// Tells whether any content is a suspect, before one is hashed to look it up.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns how a content may be run.
    pub fn standing(&self, f: &Fingerprint) -> Standing {
        match self.suspects.get(f).map_or(0, HashSet::len) {
            0 => Standing::Free,
            n if n < ALONE_AT => Standing::Single,
            n if n < REFUSE_AT => Standing::Alone,
            _ => Standing::Refused,
        }
    }

    /// Tells whether a copy may start now, and counts it if so.
    pub fn try_start(&mut self, f: &Fingerprint) -> bool {
        let running = self.running.get(f).copied().unwrap_or(0);
        let may = match self.standing(f) {
            Standing::Free => true,
            Standing::Single | Standing::Alone => running == 0,
            Standing::Refused => false,
        };
        if may {
            *self.running.entry(*f).or_default() += 1;
        }
        may
    }

    /// Counts a copy as ended.
    pub fn finish(&mut self, f: &Fingerprint) {
        if let Some(n) = self.running.get_mut(f) {
            *n -= 1;
            if *n == 0 {
                self.running.remove(f);
            }
        }
    }

    /// Returns what other entries should know.
    pub fn gossip(&self) -> Gossip {
        Gossip { suspects: listed(&self.suspects), cleared: listed(&self.cleared) }
    }

    /// Takes over what another entry knows; the order of merges does not matter.
    pub fn merge(&mut self, gossip: &Gossip) {
        for s in &gossip.cleared {
            self.cleared.entry(s.content).or_default().extend(s.crashes.iter().copied());
            if let Some(known) = self.suspects.get_mut(&s.content) {
                known.retain(|c| !s.crashes.contains(c));
                if known.is_empty() {
                    self.suspects.remove(&s.content);
                }
            }
        }
        for s in &gossip.suspects {
            for crash in &s.crashes {
                self.add(s.content, *crash);
            }
        }
    }
}

fn listed(all: &HashMap<Fingerprint, CrashSet>) -> Vec<Suspect> {
    let mut rows: Vec<Suspect> = all
        .iter()
        .map(|(f, crashes)| Suspect { content: *f, crashes: crashes.iter().copied().collect() })
        .collect();
    rows.sort_by_key(|s| s.content);
    rows
}
