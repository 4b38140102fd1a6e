//! Sidecars that calls may have been bound to, as one entry knows them.
//!
//! After the store has come back from an older copy, a key without a claim may have run at a
//! sidecar whose claims went with the copy. It is bound anew only once each sidecar that may know
//! it has written its claims again. For sidecars that have ended, the copy itself has to show that
//! it has their claims: the entry writes a number to the store after each loss, and claims that
//! were made before a number are in every copy that has the number. While claims of a service may
//! be missing, no number is written.

use crate::id::{Incarnation, InstanceId, ServiceName};
use crate::store::Era;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest lifetime of a claim.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(25 * 3600);
/// Largest number of lost sidecars that are remembered.
const MAX_LOST: usize = 1024;

/// A run of a sidecar in service.
#[derive(Debug, Clone, PartialEq)]
struct Home {
    service: Arc<str>,
    incarnation: Incarnation,
    /// Era in which its claims were complete in the store.
    restored: Era,
}

/// A run of a sidecar that has ended.
#[derive(Debug)]
struct LostHome {
    /// Service of its endpoint; `None` if it never reported.
    service: Option<Arc<str>>,
    /// Latest number that was sent to the store before.
    after: u64,
}

/// Sidecars that may know claims, and the numbers written after the losses of some.
#[derive(Debug, Default)]
pub struct Homes {
    present: BTreeMap<InstanceId, Home>,
    lost: Vec<LostHome>,
    /// Highest [`LostHome::after`] of those that are no longer remembered.
    forgotten: Option<u64>,
    /// Latest number sent to the store.
    sent: u64,
    /// Latest number that the store is known to have.
    confirmed: u64,
    /// Whether the next number is due.
    is_due: bool,
    /// The era in force.
    era: Era,
    /// Latest number confirmed before this era.
    base: u64,
    /// Number in the copy from which this era began; `None` until it is read or if there is none.
    intact: Option<u64>,
}

impl Homes {
    /// Records the report of a sidecar.
    pub fn note_report(
        &mut self,
        instance: &InstanceId,
        service: &Arc<str>,
        incarnation: Incarnation,
        restored: Era,
    ) {
        let home = Home { service: service.clone(), incarnation, restored };
        let previous = self.present.insert(instance.clone(), home);
        if let Some(p) = previous.filter(|p| p.incarnation != incarnation) {
            self.add_lost(Some(p.service));
        }
    }

    /// Records that a sidecar has left.
    pub fn note_left(&mut self, instance: &InstanceId) {
        let previous = self.present.remove(instance);
        self.add_lost(previous.map(|p| p.service));
    }

    fn add_lost(&mut self, service: Option<Arc<str>>) {
        self.is_due = true;
        if self.lost.len() >= MAX_LOST {
            self.forgotten = self.forgotten.max(Some(self.lost.remove(0).after));
        }
        self.lost.push(LostHome { service, after: self.sent });
    }

    /// Enters a new era of the store.
    pub fn enter_era(&mut self, era: Era) {
        if era > self.era {
            (self.era, self.base, self.intact) = (era, self.confirmed, None);
        }
    }

    /// Records the number that the copy has from which `era` began. It counts only if it was
    /// confirmed in an earlier era; another one may have been written after the return.
    pub fn set_intact(&mut self, era: Era, number: u64) {
        let counts = era == self.era && 0 < number && number <= self.base;
        self.intact = Some(number).filter(|_| counts);
    }

    /// Returns the number to write to the store now, if one is due and no service is in doubt. A
    /// number that was written in doubt would show in the next copy that nothing is missing.
    pub fn next_number(&mut self, in_doubt: bool) -> Option<u64> {
        if in_doubt || (self.sent > 0 && !self.is_due) {
            return None;
        }
        self.is_due = false;
        self.sent += 1;
        Some(self.sent)
    }

    /// Records whether the number sent last was written in `era`.
    pub fn note_written(&mut self, era: Era, number: u64, is_written: bool) {
        if is_written && era == self.era {
            self.confirmed = self.confirmed.max(number);
        } else {
            self.is_due = true;
        }
    }

    /// Returns whether a key of the service without a claim in the era in force has not run.
    /// `members` are the instances that may belong to the service now.
    pub fn has_all_claims(&self, service: &ServiceName, members: &[InstanceId]) -> bool {
        let Some(intact) = self.intact else { return false };
        let is_own = |s: &Arc<str>| **s == *service.as_str();
        let may_know = |l: &LostHome| l.after >= intact && l.service.as_ref().is_none_or(is_own);
        let is_complete = |h: &Home| !is_own(&h.service) || h.restored >= self.era;
        let has_reported = |i: &InstanceId| self.present.contains_key(i);
        self.forgotten.is_none_or(|after| after < intact)
            && !self.lost.iter().any(may_know)
            && members.iter().all(has_reported)
            && self.present.values().all(is_complete)
    }
}
