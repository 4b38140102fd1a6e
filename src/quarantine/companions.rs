//! Which parts of prompts occur without each other.

use crate::id::PartId;
use std::collections::{BTreeSet, HashMap};

/// Parts that requests have in common, as far as this instance has seen requests with them.
#[derive(Debug, Default)]
pub struct Companions {
    /// For each part, those that all requests with it had.
    shared: HashMap<PartId, BTreeSet<PartId>>,
}

impl Companions {
    /// Records the parts of a request, as far as `is_relevant`.
    pub fn record(&mut self, parts: &[PartId], is_relevant: impl Fn(&PartId) -> bool) {
        for part in parts.iter().filter(|p| is_relevant(p)) {
            let all = || parts.iter().copied().collect();
            self.shared.entry(*part).or_insert_with(all).retain(|p| parts.contains(p));
        }
    }

    /// Forgets the parts that are not relevant any more.
    pub fn retain(&mut self, is_relevant: impl Fn(&PartId) -> bool) {
        self.shared.retain(|p, _| is_relevant(p));
    }

    /// Returns whether there were requests with each of the parts that did not have the other.
    pub fn are_separate(&self, a: PartId, b: PartId) -> bool {
        let lacks = |p, other| self.shared.get(&p).is_some_and(|all| !all.contains(&other));
        lacks(a, b) && lacks(b, a)
    }

    /// Returns whether all requests with `part` had `other`, but not the reverse.
    pub fn is_narrower(&self, part: PartId, other: PartId) -> bool {
        let has = |p, other| self.shared.get(&p).map(|all| all.contains(&other));
        has(part, other) == Some(true) && has(other, part) == Some(false)
    }

    /// Returns whether there were requests without a part.
    pub fn has_others(&self, part: PartId) -> bool {
        self.shared.values().any(|all| !all.contains(&part))
    }
}
