//! Shares the polls of engines among the instances that have generations on them.
//!
//! Answers the load of an outage of the store, in which only the report of an engine tells that it
//! will be gone. If each instance polled each engine that it uses, the number of polls would grow
//! with the instances as well as with the engines. An instance that learns of a departure tells all
//! others, so a few polls of an engine serve all of them.

use crate::gossip::{self, Tag};
use crate::id::InstanceId;
use crate::pool::PoolKey;
use slotmap::SecondaryMap;
use std::time::{Duration, Instant};

/// Interval between two polls of an engine. It may be gone one or two seconds after it announces
/// that it leaves.
pub const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Returns the interval at which the instance `own` polls an engine on which the instances `others`
/// have generations too.
///
/// The first two by rendezvous hashing poll at [`POLL_INTERVAL`], so that one of them may be lost;
/// each further one polls less often by its rank.
pub fn poll_interval<'i>(
    tag: Tag,
    own: &'i InstanceId,
    others: impl Iterator<Item = &'i InstanceId>,
) -> Duration {
    let ranked = gossip::rank(tag, others.chain(std::iter::once(own)));
    let rank = ranked.iter().position(|i| *i == own).unwrap_or(0);
    POLL_INTERVAL * u32::try_from(rank.max(1)).unwrap_or(u32::MAX)
}

/// When this instance last polled each engine.
#[derive(Debug, Default)]
pub struct PollSchedule(SecondaryMap<PoolKey, Instant>);

impl PollSchedule {
    /// Returns whether an engine that is polled at `interval` is due, and counts it as polled then.
    pub fn take_due(&mut self, now: Instant, key: PoolKey, interval: Duration) -> bool {
        let is_due = self.0.get(key).is_none_or(|last| now >= *last + interval);
        if is_due {
            self.0.insert(key, now);
        }
        is_due
    }
}
