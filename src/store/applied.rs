//! What was applied of a store, of which changes and lists arrive by several ways and in any order.
//!
//! A list shows all changes that were known when it was begun, since answers of the store are
//! linearizable. So only what became known later can be newer than a list, and a position that was wrong
//! is of no account for the lists begun after it.

use super::{KeyValue, Position};
use std::collections::HashMap;
use std::time::Instant;

/// Maximum number of keys whose changes are remembered beyond those that a list or a watch has shown.
const MAX_CHANGES: usize = 4096;

/// Position in the store that was reached.
#[derive(Debug, Clone, Copy)]
struct Reached {
    at: Position,
    /// When it became known.
    since: Instant,
}

impl Reached {
    /// Returns whether a change of this position or before it is known. Revisions of another era say
    /// nothing of it.
    fn has(&self, change: Position) -> bool {
        self.at.era == change.era && self.at.revision >= change.revision
    }

    /// Returns whether this is newer than what a list shows.
    fn is_after(&self, list: &ListStart) -> bool {
        self.since >= list.begun_at && self.at > list.at
    }
}

/// What a list shows at least: the changes up to a position, and those known when it was begun.
#[derive(Debug, Clone, Copy)]
pub struct ListStart {
    /// Position from which changes complete the list.
    pub at: Position,
    /// When its first page was asked for.
    pub begun_at: Instant,
}

/// Changes and lists that were applied, for each kind of keys.
#[derive(Debug)]
pub struct Applied {
    /// Prefixes of the kinds, with the position up to which all changes of the kind are applied.
    kinds: Vec<(&'static str, Option<Reached>)>,
    /// Last change of each key, deletions included, beyond the position of its kind.
    changes: HashMap<Box<str>, Reached>,
    /// When the newest of the changes that were forgotten for lack of room became known.
    forgotten: Option<Instant>,
}

impl Applied {
    /// Creates the state for kinds of keys with these prefixes.
    pub fn new(prefixes: &[&'static str]) -> Applied {
        let kinds = prefixes.iter().map(|prefix| (*prefix, None)).collect();
        Applied { kinds, changes: HashMap::new(), forgotten: None }
    }

    /// Returns whether a change of a key is to be applied: neither it nor a newer one of the key is.
    /// Records it then.
    pub fn admit_change(&mut self, now: Instant, key: &str, at: Position) -> bool {
        let kind = self.kinds.iter().find(|(prefix, _)| key.starts_with(prefix));
        let reached = kind.and_then(|(_, reached)| reached.as_ref());
        if reached.into_iter().chain(self.changes.get(key)).any(|r| r.has(at)) {
            return false;
        }
        self.record(now, key, at);
        true
    }

    /// Records that all changes up to a position are applied.
    pub fn advance(&mut self, now: Instant, at: Position) {
        let next = Reached { at, since: now };
        for (_, reached) in &mut self.kinds {
            if !reached.is_some_and(|r| r.has(at)) {
                *reached = Some(next);
            }
        }
        self.changes.retain(|_, change| !next.has(change.at));
    }

    /// Returns whether a list can be compared with what was applied since it was begun.
    pub fn can_compare(&self, begun_at: Instant) -> bool {
        self.forgotten.is_none_or(|since| since < begun_at)
    }

    /// Returns the items with a prefix that are to be applied, and records the list; `None` if a later
    /// one was applied, or all changes up to a later position. An item whose key has changed since is
    /// left out.
    pub fn admit_list<'k>(
        &mut self,
        now: Instant,
        prefix: &str,
        list: &ListStart,
        kvs: &'k [KeyValue],
    ) -> Option<Vec<&'k KeyValue>> {
        let kind = self.kinds.iter_mut().find(|(known, _)| *known == prefix);
        if let Some((_, reached)) = kind {
            if reached.is_some_and(|r| r.is_after(list)) {
                return None;
            }
            *reached = Some(Reached { at: list.at, since: now });
        }
        self.changes.retain(|key, change| !key.starts_with(prefix) || change.is_after(list));
        let position = |kv: &KeyValue| Position::new(list.at.era, kv.revision);
        let is_known =
            |kv: &KeyValue| self.changes.get(&kv.key).is_some_and(|c| c.at > position(kv));
        let of_kind = kvs.iter().filter(|kv| kv.key.starts_with(prefix));
        let items: Vec<&KeyValue> = of_kind.filter(|kv| !is_known(kv)).collect();
        // Pages behind the first one show later changes, which a watch repeats.
        for kv in items.iter().filter(|kv| position(kv) > list.at) {
            self.record(now, &kv.key, position(kv));
        }
        Some(items)
    }

    /// Returns whether a key, which an admitted list lacks, has changed since the list.
    pub fn has_changed(&self, key: &str, list: &ListStart) -> bool {
        self.changes.get(key).is_some_and(|change| change.is_after(list))
    }

    fn record(&mut self, now: Instant, key: &str, at: Position) {
        if self.changes.len() >= MAX_CHANGES && !self.changes.contains_key(key) {
            self.forget_oldest();
        }
        self.changes.insert(key.into(), Reached { at, since: now });
    }

    /// Forgets the older half of the changes.
    fn forget_oldest(&mut self) {
        let mut times: Vec<Instant> = self.changes.values().map(|change| change.since).collect();
        let middle = times.len() / 2;
        let (_, newest, _) = times.select_nth_unstable(middle);
        let newest = *newest;
        self.changes.retain(|_, change| change.since > newest);
        self.forgotten = self.forgotten.max(Some(newest));
    }
}
