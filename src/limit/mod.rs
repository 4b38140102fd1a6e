//! Limits that endpoints state for the rate of their requests.
//!
//! An endpoint in need states how many requests a second it takes from all instances together. One
//! instance per endpoint, its coordinator, shares the rate out ([`Allocator`]), and each instance
//! spends what it was granted ([`Share`]).
//!
//! Each registered instance owns an equal part of the rate. The coordinator shares out the parts of
//! the instances that it hears from, and an instance that gets no reply from it spends its own
//! part. The sum therefore holds while instances start again, are cut off, or disagree on which of
//! them is the coordinator.

mod allocator;
mod coordinator;
mod rate;
mod share;

pub use allocator::{Allocator, Fleet, Sign};
pub use coordinator::{MAX_MISSES, Misses, coordinator, predecessors};
pub use rate::{Rate, RateError};
pub use share::Share;

use crate::gossip::Tag;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time in which permits have to be used.
const PERMIT_TTL: Duration = Duration::from_millis(1000);
/// Interval at which coordinators repeat their notices of limits, for instances that missed one.
pub const NOTICE_INTERVAL: Duration = Duration::from_secs(4);
/// Time for a coordinator to reply to a request for permits.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// What a response states about the limit of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stated {
    /// There is no limit.
    Unlimited,
    /// The endpoint takes this rate of requests from all instances together.
    Limited(Rate),
    /// The statement cannot be read, which changes nothing.
    Unreadable,
}

/// A request for permits, from an instance to the coordinator of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Limited endpoint.
    #[serde(rename = "w")]
    pub tag: Tag,
    /// Limit as the sender knows it.
    #[serde(rename = "l")]
    pub limit: Rate,
    /// Age of that knowledge in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Rate of the sender's requests that could go to the endpoint.
    #[serde(rename = "d")]
    pub demand: Rate,
    /// Whether the limit is not a statement of the endpoint, but what it tolerates while it is cold.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub cold: bool,
    /// Hundredths of a request that the sender's part has added up to since it was granted one, which
    /// another coordinator may not know.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub earned: u8,
}

fn is_zero(n: &u8) -> bool {
    *n == 0
}

/// Reply to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Requests that may be sent soon.
    #[serde(rename = "p")]
    pub permits: u32,
    /// Rate at which further requests may be sent until some time after the next request for
    /// permits is due.
    #[serde(rename = "r")]
    pub rate: Rate,
    /// Rate that the instance can expect over a longer time.
    #[serde(rename = "e")]
    pub expected: Rate,
    /// Milliseconds until the next request for permits is due.
    #[serde(rename = "i")]
    pub interval_ms: u32,
}

/// A limit as known to an instance, or its absence, and the time for which that is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Known {
    /// Limit; `None` if the endpoint has none.
    pub limit: Option<Rate>,
    /// When the endpoint stated it. For a limit this is when the response arrived, for the absence
    /// of one when the request was sent, so that neither is taken for newer than it is.
    pub at: Instant,
}

/// Lowest limit that is kept to. Only a response can state that a limit has changed, so some
/// request has to be sent.
const MIN_LIMIT_PER_SECOND: f64 = 0.1;

impl Known {
    /// Raises a limit to the lowest one that is kept to.
    pub fn at_least_minimum(self) -> Known {
        let least = Rate::per_second(MIN_LIMIT_PER_SECOND);
        Known { limit: self.limit.map(|rate| if rate < least { least } else { rate }), ..self }
    }

    /// Returns what the response to a request sent at `sent` states; `None` if it says nothing.
    pub fn of_response(now: Instant, sent: Instant, stated: Stated) -> Option<Known> {
        match stated {
            Stated::Limited(rate) => Some(Known { limit: Some(rate), at: now }),
            Stated::Unlimited => Some(Known { limit: None, at: sent }),
            Stated::Unreadable => None,
        }
    }
}

/// Tokens that accrue at a rate up to a cap; a request takes one.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    updated: Instant,
}

impl Bucket {
    /// Difference up to which a number of tokens counts as whole.
    const ROUNDING: f64 = 1e-6;

    fn empty(now: Instant) -> Self {
        Bucket { tokens: 0.0, updated: now }
    }

    fn advance(&mut self, now: Instant, rate: Rate, cap: f64) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.tokens = (self.tokens + rate.over(elapsed)).min(cap);
        self.updated = self.updated.max(now);
    }

    /// Returns the number of whole tokens.
    fn whole(&self) -> u32 {
        (self.tokens + Self::ROUNDING) as u32
    }

    fn take(&mut self, n: u32) {
        self.tokens -= f64::from(n);
    }
}

/// Holds the requests to an endpoint to its limit where all of them pass through this process.
#[derive(Debug, Default)]
pub struct Throttle {
    known: Option<Known>,
    /// Requests that may be sent now; `None` without a limit.
    bucket: Option<Bucket>,
}

impl Throttle {
    /// Most requests that are saved up.
    const CAP: f64 = 1.0;

    /// Records the limit that the endpoint states, or that it states none. What is older than the
    /// known statement is ignored. Returns whether the limit changed.
    pub fn record(&mut self, now: Instant, stated: Known) -> bool {
        if self.known.is_some_and(|known| known.at > stated.at) {
            return false;
        }
        self.advance(now);
        let stated = stated.at_least_minimum();
        let previous = self.known.replace(stated).and_then(|known| known.limit);
        match stated.limit {
            Some(_) => drop(self.bucket.get_or_insert(Bucket::empty(now))),
            None => self.bucket = None,
        }
        previous != stated.limit
    }

    /// Returns the limit.
    pub fn limit(&self) -> Option<Rate> {
        self.known?.limit
    }

    fn advance(&mut self, now: Instant) {
        if let (Some(rate), Some(bucket)) = (self.limit(), &mut self.bucket) {
            bucket.advance(now, rate, Self::CAP);
        }
    }

    /// Returns the time until a request before which `ahead` others wait may be sent.
    pub fn wait(&self, now: Instant, ahead: usize) -> Duration {
        let (Some(rate), Some(bucket)) = (self.limit(), self.bucket) else { return Duration::ZERO };
        let next = bucket.updated + rate.time_for(ahead as f64 + 1.0 - bucket.tokens);
        next.saturating_duration_since(now)
    }

    /// Takes the permission to send a request now; returns whether there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.advance(now);
        let Some(bucket) = &mut self.bucket else { return true };
        let is_granted = bucket.whole() > 0;
        if is_granted {
            bucket.take(1);
        }
        is_granted
    }
}
