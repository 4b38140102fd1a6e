//! Waiting behind the prompts of other requests.
//!
//! An engine reads prompts in order of arrival, so a prompt waits there until all unread tokens
//! before it are read. Answers the load of long and short prompts that several instances send to
//! the same engines: an instance that did not know of a long wait chooses another engine. No engine
//! is set aside for a size of prompts, and the number of further choices is limited, so that no
//! prompt is kept waiting for a better engine.

mod pauses;

pub use pauses::Pauses;

use crate::admit::{self, AdmissionRequest, Candidate, PrefillRate};
use crate::pool::{Endpoint, Pool, PoolKey};
use crate::route::Engine;
use std::fmt;
use std::time::{Duration, Instant};

/// Share of the slack that an unexpected wait may take. A further choice costs a round trip and
/// leads to an engine that is preferred less, which is not worth it for a shorter wait.
const UNEXPECTED_WAIT_SHARE: f64 = 0.1;
/// Least slack, as a share of the prompt's own prefill time. A prompt that is late anyway still
/// gains from a shorter wait.
const MIN_SLACK_SHARE: f64 = 0.5;
/// Number of times that a request chooses another engine because of an unexpected wait. While all
/// engines are busy, it would otherwise be passed on between them.
const MAX_REVISIONS: u32 = 3;

/// Time that a prompt can spare: the time left until its first event is due, less its own prefill
/// time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Slack(Duration);

impl Slack {
    fn new(left: Duration, own_prefill: Duration) -> Slack {
        Slack(left.saturating_sub(own_prefill).max(own_prefill.mul_f64(MIN_SLACK_SHARE)))
    }

    /// Returns whether a wait that the sender did not expect is long enough for another choice.
    fn is_notable(self, unexpected: Duration) -> bool {
        unexpected > self.0.mul_f64(UNEXPECTED_WAIT_SHARE)
    }
}

/// Returns the number of unread tokens up to which a request accepts the engine `chosen`, which it
/// states to the coordinator: what its instance knows of, or those of the least busy other engine
/// that it could be sent to. `None` if there is no other, or once the request was denied too often.
pub fn acceptable_unread(
    now: Instant,
    pool: &Pool,
    request: &AdmissionRequest<'_>,
    rate: &PrefillRate,
    (chosen, denied): (PoolKey, &[PoolKey]),
    denials: u32,
) -> Option<u64> {
    let engine = request.need.engine.filter(|_| denials < MAX_REVISIONS)?;
    let candidate = admit::candidate(now, pool, request, rate);
    let is_other = |k: PoolKey, e: &Endpoint| {
        k != chosen && !denied.contains(&k) && e.serves(request.need.service)
    };
    let others = pool
        .endpoints
        .iter()
        .filter(|(k, e)| is_other(*k, e) && admit::fits(now, e, engine, &candidate, rate));
    let least = others.map(|(_, e)| e.work().unread).min()?;
    Some(least.max(pool.endpoints.get(chosen)?.work().unread))
}

/// Decision of the coordinator of an engine on an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The generation may start.
    Granted,
    /// The engine lacks a resource for it.
    Full,
    /// The engine was chosen from an outdated view.
    Outdated,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Granted => "granted",
            Outcome::Full => "full",
            Outcome::Outdated => "outdated",
        })
    }
}

/// Decides on an admission request as the coordinator of an engine. `acceptable` is what the
/// sender stated.
pub fn admit(
    now: Instant,
    e: &Endpoint,
    engine: &Engine,
    candidate: &Candidate,
    rate: &PrefillRate,
    acceptable: Option<u64>,
) -> Outcome {
    if !admit::fits(now, e, engine, candidate, rate) {
        Outcome::Full
    } else if acceptable.is_some_and(|tokens| is_outdated(now, e, candidate, rate, tokens)) {
        Outcome::Outdated
    } else {
        Outcome::Granted
    }
}

/// Returns whether the unread prompts beyond those that the sender accepts would take a notable part
/// of the slack.
fn is_outdated(
    now: Instant,
    e: &Endpoint,
    candidate: &Candidate,
    rate: &PrefillRate,
    acceptable: u64,
) -> bool {
    let unexpected = admit::prefill_time(now, e, rate, e.work().unread.saturating_sub(acceptable));
    let own_prefill = admit::prefill_time(now, e, rate, candidate.work.unread);
    Slack::new(candidate.left, own_prefill).is_notable(unexpected)
}

/// Size of a prompt, relative to the time in which its first event is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Its prefill takes a small part of that time.
    Short,
    /// Its prefill takes a large part of that time.
    Long,
}

impl Size {
    /// Share of the time that the prefill of a long prompt takes at least.
    const LONG_SHARE: f64 = 0.25;

    /// Returns the size of a prompt with this prefill time and this time until its first event.
    pub fn of(own_prefill: Duration, time: Duration) -> Size {
        if own_prefill >= time.mul_f64(Size::LONG_SHARE) { Size::Long } else { Size::Short }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Size::Short => "short",
            Size::Long => "long",
        })
    }
}
