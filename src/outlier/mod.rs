//! Detects endpoints that fail more of their requests than the others of their service.
//!
//! Answers the load of many instances before few endpoints, one of which fails a part of what it
//! is sent: each instance alone sees too few failures in a row, and each that waits for them loses
//! requests. Instances therefore tell each other the outcomes at endpoints that fail. A kind of
//! request that fails by its nature does so at all endpoints, and ejects none of them.

use crate::id::InstanceId;
use std::time::{Duration, Instant};

/// Time after which the weight of an outcome has fallen to about a third.
const MEMORY: Duration = Duration::from_secs(5);
/// The same for outcomes that other instances have not been told.
const UNSENT_MEMORY: Duration = Duration::from_secs(1);
/// Share of its requests that an endpoint out of order fails at least.
const FAILING_SHARE: f64 = 0.5;
/// Largest share of failures that counts as usual for the requests of a service.
const MAX_USUAL_SHARE: f64 = 0.4;
/// Logarithm of the odds at which an endpoint counts as out of order: a million to one.
const MAX_SCORE: f64 = 13.8;
/// The same for an endpoint on trial after an ejection.
const MAX_TRIAL_SCORE: f64 = MAX_SCORE / 4.0;
/// Largest score from one instance, so that one with a broken link of its own ejects an endpoint
/// for nobody else.
const MAX_WITNESSED: f64 = MAX_SCORE / 2.0;
/// Outcomes that stand for a service of which little is known.
const PRIOR: Tally = Tally { served: 19.0, failed: 1.0 };
/// Most other instances whose outcomes are kept apart for an endpoint.
const MAX_WITNESSES: usize = 64;

/// Number of requests that were served and that failed, each weighted by its age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Requests with a response that is no server error.
    pub served: f64,
    /// Requests that the endpoint failed.
    pub failed: f64,
}

impl Tally {
    /// Adds other outcomes.
    pub fn add(&mut self, other: Tally) {
        self.served += other.served;
        self.failed += other.failed;
    }

    /// Returns the outcomes without those of `part`, which they include.
    pub fn without(self, part: Tally) -> Tally {
        Tally {
            served: (self.served - part.served).max(0.0),
            failed: (self.failed - part.failed).max(0.0),
        }
    }

    fn rounded(self) -> Increment {
        Increment { served: self.served.round() as u16, failed: self.failed.ceil() as u16 }
    }

    fn scaled(self, factor: f64) -> Tally {
        Tally { served: self.served * factor, failed: self.failed * factor }
    }

    /// Returns the share of failures, close to that of [`PRIOR`] where little is known.
    fn failed_share(self) -> f64 {
        let failed = self.failed + PRIOR.failed;
        (failed / (self.served + PRIOR.served + failed)).min(MAX_USUAL_SHARE)
    }

    /// Returns the logarithm of the odds that an endpoint with these outcomes is out of order,
    /// where the requests of its service usually fail with the share `usual`.
    fn score(self, usual: f64) -> f64 {
        let failed = (FAILING_SHARE / usual).ln();
        let served = ((1.0 - FAILING_SHARE) / (1.0 - usual)).ln();
        self.failed * failed + self.served * served
    }
}

/// Outcomes at an endpoint that an instance tells the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Increment {
    /// Requests that were served.
    pub served: u16,
    /// Requests that failed.
    pub failed: u16,
}

/// Outcomes of the requests of all instances at one endpoint, and the scores that follow from them.
/// A score grows with failures and falls with served requests, not below zero.
#[derive(Debug)]
pub struct Outcomes {
    tally: Tally,
    /// Usual share of failures at the other endpoints of the service.
    usual: f64,
    /// Score of what this instance has seen.
    own: f64,
    /// Score of what all instances have seen.
    shared: f64,
    /// Parts of `shared` by instance; `None` is this one.
    witnesses: Vec<(Option<InstanceId>, f64)>,
    /// Outcomes that the other instances have not been told.
    unsent: Tally,
    updated: Option<Instant>,
}

impl Default for Outcomes {
    fn default() -> Self {
        Outcomes {
            tally: Tally::default(),
            usual: Tally::default().failed_share(),
            own: 0.0,
            shared: 0.0,
            witnesses: Vec::new(),
            unsent: Tally::default(),
            updated: None,
        }
    }
}

impl Outcomes {
    /// Records the outcome of a request of this instance.
    pub fn record(&mut self, now: Instant, is_success: bool) {
        let seen = Tally {
            served: f64::from(u8::from(is_success)),
            failed: f64::from(u8::from(!is_success)),
        };
        self.unsent.add(seen);
        self.own = (self.own + seen.score(self.usual)).max(0.0);
        self.witness(now, None, seen);
    }

    /// Records outcomes that another instance has seen.
    pub fn merge(&mut self, now: Instant, from: &InstanceId, seen: Increment) {
        let seen = Tally { served: f64::from(seen.served), failed: f64::from(seen.failed) };
        self.witness(now, Some(from), seen);
    }

    fn witness(&mut self, now: Instant, from: Option<&InstanceId>, seen: Tally) {
        self.age(now);
        self.tally.add(seen);
        let score = seen.score(self.usual);
        let known = self.witnesses.iter().position(|(i, _)| i.as_ref() == from);
        let ix = match known {
            Some(ix) => ix,
            None if score <= 0.0 || self.witnesses.len() >= MAX_WITNESSES => {
                self.shared = (self.shared + score.min(0.0)).max(0.0);
                return;
            }
            None => {
                self.witnesses.push((from.cloned(), 0.0));
                self.witnesses.len() - 1
            }
        };
        let part = &mut self.witnesses[ix].1;
        let counted = score.min(MAX_WITNESSED - *part);
        *part = (*part + counted).max(0.0);
        self.shared = (self.shared + counted).max(0.0);
        if self.shared == 0.0 {
            self.witnesses.clear();
        }
    }

    /// Returns the outcomes to tell the other instances: those at an endpoint that has lately failed
    /// requests.
    pub fn take_unsent(&mut self) -> Option<Increment> {
        let is_suspect = self.unsent.failed > 0.0 || self.shared > 0.0;
        let told = self.unsent.rounded();
        if !is_suspect || told == Increment::default() {
            return None;
        }
        self.unsent = Tally::default();
        Some(told)
    }

    /// Returns whether the endpoint fails far more of its requests than the others of its service,
    /// which had the outcomes `rest`.
    ///
    /// What this instance has seen itself is enough. Failures that only others have seen count if
    /// several instances have seen them. An endpoint on trial needs less evidence.
    pub fn is_outlier(&mut self, now: Instant, rest: Tally, on_trial: bool) -> bool {
        self.age(now);
        self.usual = rest.failed_share();
        let max = if on_trial { MAX_TRIAL_SCORE } else { MAX_SCORE };
        let witnessed: f64 = self.witnesses.iter().map(|(_, part)| part.min(max / 2.0)).sum();
        self.own >= max || (self.shared >= max && witnessed >= max)
    }

    /// Returns whether the endpoint has lately failed more than one would expect by chance.
    pub fn is_suspect(&self) -> bool {
        self.shared >= MAX_TRIAL_SCORE
    }

    /// Returns the outcomes at all instances, to compare other endpoints with.
    pub fn total(&mut self, now: Instant) -> Tally {
        self.age(now);
        self.tally
    }

    /// Starts anew, as the endpoint is not used for a while.
    pub fn clear(&mut self) {
        *self = Outcomes { usual: self.usual, ..Outcomes::default() };
    }

    fn age(&mut self, now: Instant) {
        let before = self.updated.replace(now).unwrap_or(now);
        let time = now.saturating_duration_since(before);
        if time.is_zero() {
            return;
        }
        let factor = (-time.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        (self.own, self.shared) = (self.own * factor, self.shared * factor);
        self.tally = self.tally.scaled(factor);
        self.witnesses.iter_mut().for_each(|(_, part)| *part *= factor);
        self.unsent.served *= (-time.as_secs_f64() / UNSENT_MEMORY.as_secs_f64()).exp();
    }
}
