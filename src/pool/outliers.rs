//! Outcomes of requests at the endpoints of the pool, and those of them that fail more than others.

use super::{Pool, PoolKey};
use crate::gossip::Tag;
use crate::id::{InstanceId, ServiceName};
use crate::outlier::{Increment, Tally};
use std::collections::HashMap;
use std::time::Instant;

impl Pool {
    /// Counts the outcome of a request of this instance in the health of its endpoint.
    pub fn record_outcome(&mut self, now: Instant, key: PoolKey, is_success: bool) {
        let Some(e) = self.endpoints.get_mut(key) else { return };
        e.outcomes.record(now, is_success);
        if is_success {
            e.health.record_success();
        } else {
            e.health.record_failure();
        }
    }

    /// Counts outcomes of requests that another instance has sent to an endpoint.
    pub fn merge_outcomes(&mut self, now: Instant, from: &InstanceId, tag: Tag, seen: Increment) {
        let key = self.find_key_by_tag(tag);
        if let Some(e) = key.and_then(|key| self.endpoints.get_mut(key)) {
            e.outcomes.merge(now, from, seen);
        }
    }

    /// Returns the outcomes to tell the other instances, of the endpoints that have failed requests.
    pub fn take_outcomes(&mut self) -> Vec<(Tag, Increment)> {
        let all = self.endpoints.values_mut();
        all.filter_map(|e| Some((e.tag, e.outcomes.take_unsent()?))).collect()
    }

    /// Returns the endpoints that fail far more of their requests than the others of their service.
    /// Where most endpoints in use begin to fail at once, the cause is none of them.
    pub(super) fn outliers(&mut self, now: Instant) -> Vec<PoolKey> {
        let mut sums: HashMap<ServiceName, (Tally, u32, u32)> = HashMap::new();
        for e in self.endpoints.values_mut() {
            let own = e.outcomes.total(now);
            if own != Tally::default() {
                let (sum, used, suspects) = sums.entry(e.listing.service.clone()).or_default();
                sum.add(own);
                *used += u32::from(e.is_usable());
                *suspects += u32::from(e.is_usable() && e.outcomes.is_suspect());
            }
        }
        let mut found = Vec::new();
        for (key, e) in self.endpoints.iter_mut().filter(|(_, e)| e.health.ejected_until.is_none())
        {
            let own = e.outcomes.total(now);
            let Some((sum, used, suspects)) = sums.get(&e.listing.service) else { continue };
            let is_common = suspects * 2 > *used && *suspects > 1;
            if !is_common && e.outcomes.is_outlier(now, sum.without(own), e.health.on_trial) {
                found.push(key);
            }
        }
        found
    }
}
