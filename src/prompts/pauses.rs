//! Pauses of running streams beside prompts.
//!
//! An engine reads a chunk of a prompt before each token, so an event of a stream waits for as many
//! chunks as it has tokens, whatever the size of the prompt. Answers the load of streams and prompts
//! on engines that differ in speed: where this takes longer than a route allows between two events,
//! every prompt makes the streams late that run beside it.

use crate::speed::Slowness;
use std::time::{Duration, Instant};

/// Time after which a pause counts for a third, as the mix of prompts and streams changes.
const MEMORY: Duration = Duration::from_secs(30);
/// Largest growth by one pause, which may have other causes than prompts.
const MAX_GROWTH: f64 = 1.5;
/// Seconds up to which the growth is not limited.
const MIN_PEAK: f64 = 0.05;

/// A maximum in seconds that decays.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Peak(Option<(f64, Instant)>);

impl Peak {
    fn observe(&mut self, now: Instant, secs: f64) {
        let known = self.get(now);
        if known.is_none_or(|known| secs > known) {
            let max = known.map_or(secs, |known| known.max(MIN_PEAK) * MAX_GROWTH);
            self.0 = Some((secs.min(max), now));
        }
    }

    fn get(&self, now: Instant) -> Option<f64> {
        let (secs, at) = self.0?;
        let age = now.saturating_duration_since(at);
        Some(secs * (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp())
    }
}

/// Longest recent pause of the streams of a service, on an engine of usual speed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pauses {
    /// As seen by this instance.
    own: Peak,
    /// As seen by all instances.
    all: Peak,
}

impl Pauses {
    /// Records a pause between two events on an engine of a mean slowness.
    pub fn observe(&mut self, now: Instant, pause: Duration, slowness: Slowness) {
        let secs = pause.as_secs_f64() / slowness.factor();
        self.own.observe(now, secs);
        self.all.observe(now, secs);
    }

    /// Records the longest pause that another instance has seen.
    pub fn merge(&mut self, now: Instant, longest: Duration) {
        self.all.observe(now, longest.as_secs_f64());
    }

    /// Returns the longest pause that this instance has seen; `None` if it saw none.
    pub fn report(&self, now: Instant) -> Option<Duration> {
        self.own.get(now).map(Duration::from_secs_f64)
    }

    /// Returns the mean slowness of the slowest engines on which pauses stay within `limit`; `None`
    /// if no pause was observed.
    pub fn tolerated(&self, now: Instant, limit: Duration) -> Option<Slowness> {
        let longest = self.all.get(now).filter(|secs| *secs > 0.0)?;
        Some(Slowness::new(limit.as_secs_f64() / longest))
    }
}
