//! Decides where and when running generations go as their engine leaves.
//!
//! Load it answers: engines are taken away at short notice with many generations on each. Copies
//! of their memory queue on the links of both engines, first come first served. A generation
//! stands still only for its last copy, which is short, unless that queues behind the first copies
//! of others. So first copies are spread over the engines, and last ones wait until the links are
//! free, as far as the notice allows.

use crate::id::{DataCentre, ServiceName};
use crate::pool::{Endpoint, Pool, PoolKey};
use crate::route::Engine;
use std::time::{Duration, Instant};

/// Notice assumed where the engine does not know how long it has.
const NOTICE: Duration = Duration::from_millis(1400);
/// Age of what an engine says of itself.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time kept for the last copy, and for going on elsewhere.
const RESERVE: Duration = Duration::from_millis(300);
/// Share of the memory past which an engine is not even asked: expected needs are more than what
/// is in use, and the engine knows.
const FULL: f64 = 1.3;
/// Cost of another data centre, as a share of an engine's memory: copies take twice as long.
const FAR: f64 = 0.6;
/// Tokens on the link of an engine that cost as much as a full memory.
const LINK_TOKENS: f64 = 14_000.0;
/// Factor by which a copy between data centres takes longer.
const FAR_FACTOR: u32 = 2;
/// Time over which instances spread the beginning of their copies, so that each sees those of the
/// others; the smallest generations go first, and more are saved.
const SPREAD_TIME: Duration = Duration::from_millis(80);
/// Times of the bare transfer that copies take on a link that others use too.
const LINK_SLACK: f64 = 1.15;
/// Tokens that a link carries while another copy joins; enough to keep it busy until the next one
/// has been told of.
const PIPELINE_TOKENS: u32 = 4_000;
/// Tokens of a generation that goes last.
const LARGE: f64 = 8_000.0;

/// What is known of an engine that leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShutdownNotice {
    /// When it began to leave, as seen here.
    pub since: Instant,
    /// Time that it had left at `seen`, where it told.
    pub remaining: Option<Duration>,
    /// When it told.
    pub reported: Instant,
}

/// Returns when a generation should stop for its last copy, whatever the links carry.
pub fn last_copy_deadline(notice: &ShutdownNotice) -> Instant {
    let told = notice.remaining.map(|left| notice.reported + left.saturating_sub(REPORT_LAG));
    let gone = told.unwrap_or(notice.since + NOTICE);
    gone.checked_sub(RESERVE).unwrap_or(notice.since)
}

/// Returns the tokens that a copy counts for on a link.
pub fn link_tokens(tokens: u32, is_far: bool) -> u32 {
    if is_far { tokens.saturating_mul(FAR_FACTOR) } else { tokens }
}

/// Returns the time after which a generation of so many tokens should begin to be copied.
pub fn copy_delay(tokens: u32) -> Duration {
    SPREAD_TIME.mul_f64((f64::from(tokens) / LARGE).min(1.0))
}

/// Tells whether a copy may begin on a link that carries so many tokens: it follows soon, so that
/// what it waits for is known, and ends before the last copies have to begin. One that does not
/// would only hold up those of other generations, and all of them would be lost.
pub fn can_start_copy(now: Instant, by: Instant, engine: &Engine, queued: u32, own: u32) -> bool {
    if queued > PIPELINE_TOKENS {
        return false;
    }
    let bits = f64::from(queued + own) * engine.token_bytes as f64 * 8.0;
    let time = Duration::try_from_secs_f64(bits / engine.link_bits.max(1.0));
    time.is_ok_and(|t| now + t.mul_f64(LINK_SLACK) <= by)
}

/// A generation that has to move.
#[derive(Debug)]
pub struct MoveRequest<'a> {
    /// Engine that it leaves.
    pub source: PoolKey,
    /// Service.
    pub service: &'a ServiceName,
    /// Data centre of the engine that it leaves.
    pub centre: &'a DataCentre,
    /// Memory that it is expected to need to its end, in tokens.
    pub held: u64,
}

/// Chooses the engine that a generation moves to, not one of `tried`.
pub fn choose(
    now: Instant,
    pool: &Pool,
    mover: &MoveRequest<'_>,
    engine: &Engine,
    tried: &[PoolKey],
) -> Option<PoolKey> {
    let fits = |k: &PoolKey, e: &Endpoint| {
        *k != mover.source
            && e.serves(mover.service)
            && !tried.contains(k)
            && e.busy(now) < e.listing.slots
            && share(e, mover, engine) <= FULL
    };
    let cost = |e: &Endpoint| {
        let far = if e.listing.centre == *mover.centre { 0.0 } else { FAR };
        share(e, mover, engine) + far + f64::from(e.work().copies) / LINK_TOKENS
    };
    pool.endpoints
        .iter()
        .filter(|(k, e)| fits(k, e))
        .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))
        .map(|(k, _)| k)
}

/// Returns the share of an engine's memory that is in use once the generation is there.
fn share(e: &Endpoint, mover: &MoveRequest<'_>, engine: &Engine) -> f64 {
    (e.work().held + mover.held) as f64 / f64::from(engine.memory.0.max(1))
}
