//! Engines that are about to be gone and still take short generations.
//!
//! Answers the load of engines that are reclaimed while memory is short: it is used until the end,
//! but not by generations that would be lost with it, most of which are the long ones.

use crate::id::Tokens;
use std::time::{Duration, Instant};

/// Time per output token of an engine of which none is known.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(20);
/// Time that a generation is allowed, as a multiple of its expected one. Outputs are longer than
/// expected as often as shorter, and the prompts of others delay them.
const TIME_FACTOR: f64 = 1.5;

/// Returns whether a generation that starts now is expected to end before its engine is gone. Its
/// first token comes after `prefill`.
pub fn ends_in_time(
    now: Instant,
    gone_at: Instant,
    prefill: Duration,
    output: Tokens,
    token_time: Option<Duration>,
) -> bool {
    let tokens = token_time.unwrap_or(DEFAULT_TOKEN_TIME).saturating_mul(output.0);
    let expected = prefill.saturating_add(tokens).as_secs_f64() * TIME_FACTOR;
    expected <= gone_at.saturating_duration_since(now).as_secs_f64()
}
