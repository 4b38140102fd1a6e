//! Decides whether a key may be gone from the store because its lease expired in an outage.
//!
//! An outage of less than a second is noticed by some instances only. Those tell the others, so
//! that the answer does not depend on which instance reads or passes on a removal.

use std::time::{Duration, Instant};

/// Time after the store's return during which a removed entry may be due to a lease that expired in
/// the outage; the owners of such entries write them again within this time.
const RECOVERY_TIME: Duration = Duration::from_millis(2000);
/// Time for which an instance tells the others of an outage that none of them confirms. A longer
/// one is noticed by each reader, so the instance is cut off alone.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(1500);
/// Age up to which a claim of another instance counts; claims are repeated in full digests.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1200);

/// Outage that an instance has noticed itself.
#[derive(Debug)]
struct Outage {
    begun: Instant,
    /// When the store answered again; `None` while it does not.
    ended: Option<Instant>,
    /// Whether another instance has noticed one at the same time.
    is_confirmed: bool,
}

/// What one instance knows of the latest outage of the store.
#[derive(Debug, Default)]
pub struct Outages {
    own: Option<Outage>,
    /// Latest claim of another instance.
    claimed: Option<Instant>,
}

impl Outages {
    /// Records that the store does not answer this instance.
    pub fn begin(&mut self, now: Instant) {
        self.own = Some(Outage { begun: now, ended: None, is_confirmed: self.is_claimed(now) });
    }

    /// Records that the store answers this instance again, or has come back from a copy.
    pub fn end(&mut self, now: Instant) {
        let known = self.own.take().filter(|o| o.ended.is_none());
        let outage = known.unwrap_or(Outage { begun: now, ended: None, is_confirmed: false });
        self.own = Some(Outage { ended: Some(now), ..outage });
    }

    /// Records that another instance tells of an outage.
    pub fn record_claim(&mut self, now: Instant) {
        self.claimed = Some(now);
        if let Some(outage) = self.own.as_mut().filter(|o| o.ended.is_none()) {
            outage.is_confirmed = true;
        }
    }

    /// Returns whether to tell the other instances of an outage: of one that lasts, or has ended
    /// recently, unless this instance alone seems to be cut off.
    pub fn is_told(&self, now: Instant) -> bool {
        let Some(outage) = &self.own else { return false };
        let length = outage.ended.unwrap_or(now).saturating_duration_since(outage.begun);
        let is_past = outage.ended.is_some_and(|t| now >= t + RECOVERY_TIME);
        !is_past && (outage.is_confirmed || length < UNCONFIRMED_TIME)
    }

    /// Returns whether an entry that is removed now may have expired in an outage.
    pub fn may_expire(&self, now: Instant) -> bool {
        let ended = self.own.as_ref().and_then(|o| o.ended);
        let is_recent = ended.is_some_and(|t| now < t + RECOVERY_TIME);
        is_recent || self.is_told(now) || self.is_claimed(now)
    }

    fn is_claimed(&self, now: Instant) -> bool {
        self.claimed.is_some_and(|t| now < t + CLAIM_TIMEOUT)
    }
}
