//! Choice of the instance that grants the permits of a limited endpoint.

use crate::gossip::{self, Tag};
use crate::id::InstanceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Requests for permits without a reply in a row after which another instance is asked.
pub const MAX_MISSES: u32 = 3;
/// Time for which an instance that does not reply is not asked again.
const MISS_TIMEOUT: Duration = Duration::from_secs(2);
/// Instances that a substitute tells that it begins or ends to grant permits.
const MAX_PREDECESSORS: usize = 2;

/// Requests for permits without a reply, by the instance that was asked.
#[derive(Debug, Default)]
pub struct Misses(HashMap<InstanceId, Unanswered>);

/// Requests to an instance without a reply in a row.
#[derive(Debug)]
struct Unanswered {
    count: u32,
    /// When they are forgotten.
    until: Instant,
}

impl Misses {
    /// Records whether an instance replied. After several requests without a reply in a row, it is
    /// not asked for a while.
    pub fn record(&mut self, now: Instant, instance: InstanceId, has_replied: bool) {
        if has_replied {
            self.0.remove(&instance);
            return;
        }
        self.0.retain(|_, m| now < m.until);
        let missed = self.0.entry(instance).or_insert(Unanswered { count: 0, until: now });
        missed.count += 1;
        missed.until = now + MISS_TIMEOUT;
    }

    /// Returns whether an instance is not asked now.
    pub fn is_silent(&self, now: Instant, instance: &InstanceId) -> bool {
        self.0.get(instance).is_some_and(|m| m.count >= MAX_MISSES && now < m.until)
    }
}

/// Returns the instance that is asked for permits of an endpoint: the first of those heard from
/// that is not silent, `own` included.
///
/// Answers the load of an endpoint in need whose coordinator is killed or paused.
pub fn coordinator<'i>(
    now: Instant,
    tag: Tag,
    own: &'i InstanceId,
    heard: impl Iterator<Item = &'i InstanceId>,
    misses: &Misses,
) -> &'i InstanceId {
    let asked = heard.filter(|i| !misses.is_silent(now, i)).chain(std::iter::once(own));
    gossip::coordinator(tag, asked).unwrap_or(own)
}

/// Returns the instances that come before `own` in the choice of the coordinator, the first ones at
/// most. `own` is a substitute if there is one.
pub fn predecessors<'i>(
    tag: Tag,
    own: &'i InstanceId,
    others: impl Iterator<Item = &'i InstanceId>,
) -> Vec<&'i InstanceId> {
    let ranked = gossip::rank(tag, others.chain(std::iter::once(own)));
    ranked.into_iter().take_while(|i| *i != own).take(MAX_PREDECESSORS).collect()
}
