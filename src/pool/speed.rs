//! Time that engines take per output token.

use std::time::{Duration, Instant};

/// Weight of a new observation in the moving average.
const WEIGHT: f64 = 0.2;
/// Age from which the average no longer tells anything, as the load has changed.
const MAX_AGE: Duration = Duration::from_secs(4);

/// Time per output token of an engine, as a moving average of what instances see in the streams
/// that they relay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TokenTime {
    /// Average in seconds, and the time of the last observation.
    average: Option<(f64, Instant)>,
}

impl TokenTime {
    /// Records an observation.
    pub fn observe(&mut self, now: Instant, time: Duration) {
        let observed = time.as_secs_f64();
        let average = match self.get(now) {
            Some(average) => average.as_secs_f64() * (1.0 - WEIGHT) + observed * WEIGHT,
            None => observed,
        };
        self.average = Some((average, now));
    }

    /// Returns the average; `None` without a recent observation.
    pub fn get(&self, now: Instant) -> Option<Duration> {
        let (average, at) = self.average?;
        let is_recent = now.saturating_duration_since(at) < MAX_AGE;
        is_recent.then(|| Duration::from_secs_f64(average))
    }
}

/// Measures the time per token of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenTimer {
    /// When the interval began, and the tokens that have arrived since.
    interval: Option<(Instant, u32)>,
}

impl TokenTimer {
    /// Tokens over which one observation is made. A prompt of another request that is read
    /// meanwhile delays single tokens.
    const TOKENS: u32 = 48;

    /// Records that tokens have arrived. Returns the time per token once in a while.
    pub fn record(&mut self, now: Instant, tokens: u32) -> Option<Duration> {
        let (since, before) = *self.interval.get_or_insert((now, 0));
        // The first tokens arrive at the start of the interval.
        let tokens = if since == now { 0 } else { before + tokens };
        if tokens < Self::TOKENS {
            self.interval = Some((since, tokens));
            return None;
        }
        self.interval = Some((now, 0));
        Some(now.saturating_duration_since(since) / tokens)
    }
}
