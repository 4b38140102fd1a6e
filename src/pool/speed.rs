//! Speed of endpoints: what they state of it, and what instances see.

use super::{Load, Pool, PoolKey};
use crate::gossip::{SpeedRow, decode_speed, encode_speed};
use crate::speed::TokenCost;
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
        let tokens = if since == now { 0 } else { before.saturating_add(tokens) };
        if tokens < Self::TOKENS {
            self.interval = Some((since, tokens));
            return None;
        }
        self.interval = Some((now, 0));
        Some(now.saturating_duration_since(since) / tokens)
    }
}

impl Pool {
    /// Records the load that an endpoint reported with a response.
    pub fn record_load(&mut self, now: Instant, key: PoolKey, load: Load) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.load = Some((load, now));
            if let Some(slowness) = load.slowness {
                e.speed.record_stated(now, slowness);
            }
        }
    }

    /// Records that the first event of a generation came `took` after `unread` prompt tokens were
    /// pending at an engine; `expected` is the cost of a token in its service.
    pub fn observe_prefill(
        &mut self,
        now: Instant,
        key: PoolKey,
        unread: u64,
        took: Duration,
        expected: TokenCost,
    ) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.speed.observe_prefill(now, unread, took, expected);
        }
    }

    /// Returns what this instance has seen of the speed of endpoints, for the other instances.
    pub fn speed_rows(&self, now: Instant) -> Vec<SpeedRow> {
        let rows = self.endpoints.values().filter_map(|e| {
            let report = e.speed.report(now)?;
            Some(encode_speed(e.tag, e.listing.incarnation(), &report))
        });
        rows.collect()
    }

    /// Applies what another instance has seen of the speed of an endpoint.
    pub fn apply_speed(&mut self, now: Instant, row: SpeedRow) {
        let (tag, incarnation, report) = decode_speed(row);
        let endpoint = self.tags.get(&tag).and_then(|k| self.endpoints.get_mut(*k));
        if let Some(e) = endpoint.filter(|e| e.listing.incarnation() == incarnation) {
            e.speed.apply(now, &report);
        }
    }
}
