//! Decides where and when running generations go as their engine leaves.
//!
//! Load it answers: engines are taken away at short notice with many generations on each. Copies
//! of their memory queue on the link of the engine, first come first served. A generation stops
//! only for its last copy, which is short, unless it queues behind the first copies of others; so
//! the last copies wait until all first ones should be through.

use crate::id::{DataCentre, ServiceName, Tokens};
use crate::pool::{Endpoint, Pool, PoolKey};
use crate::route::Engine;
use std::time::{Duration, Instant};

/// Factor by which a copy between data centres takes longer.
const FAR_FACTOR: f64 = 2.0;
/// Time that each copy takes beside its transfer.
const COPY_TIME: Duration = Duration::from_millis(3);
/// Notice assumed where the engine does not know how long it has.
const NOTICE: Duration = Duration::from_millis(1400);
/// Time kept for the last copy, and for going on elsewhere.
const RESERVE: Duration = Duration::from_millis(300);
/// Share of the memory past which an engine takes no generation that moves.
const FULL: f64 = 0.97;
/// Cost of another data centre, as a share of an engine's memory.
const FAR: f64 = 0.35;

/// What has to move away from one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exodus {
    /// When the engine began to leave, as seen here.
    pub since: Instant,
    /// Time that it had left at `seen`, where it told.
    pub leaves: Option<Duration>,
    /// When it told.
    pub seen: Instant,
    /// Memory of all generations that ran there.
    pub held: Tokens,
    /// Generations that ran there.
    pub running: u32,
}

/// Returns how long a copy of so many tokens takes on an idle link.
pub fn transfer_time(tokens: Tokens, engine: &Engine, far: bool) -> Duration {
    let bits = f64::from(tokens.0) * engine.token_bytes as f64 * 8.0;
    let factor = if far { FAR_FACTOR } else { 1.0 };
    Duration::try_from_secs_f64(bits / engine.link_bits.max(1.0) * factor).unwrap_or(NOTICE)
}

/// Returns when a generation should stop for its last copy.
pub fn last_copy_at(now: Instant, exodus: &Exodus, engine: &Engine) -> Instant {
    let gone = exodus.leaves.map_or(exodus.since + NOTICE, |left| exodus.seen + left);
    let copies = transfer_time(exodus.held, engine, false) + COPY_TIME * exodus.running;
    let through = exodus.since + copies;
    let latest = gone.checked_sub(RESERVE).unwrap_or(now);
    through.min(latest).max(now)
}

/// A generation that has to move.
#[derive(Debug)]
pub struct Mover<'a> {
    /// Engine that it leaves.
    pub source: PoolKey,
    /// Service.
    pub service: &'a ServiceName,
    /// Data centre of the engine that it leaves.
    pub centre: &'a DataCentre,
    /// Memory that it is expected to need to its end.
    pub tokens: Tokens,
}

/// Chooses the engine that a generation moves to, not one of `tried`.
pub fn choose(
    now: Instant,
    pool: &Pool,
    mover: &Mover<'_>,
    engine: &Engine,
    tried: &[PoolKey],
) -> Option<PoolKey> {
    let fits = |k: &PoolKey, e: &Endpoint| {
        *k != mover.source
            && e.listing.service == *mover.service
            && e.is_usable()
            && !tried.contains(k)
            && e.busy(now) < e.listing.slots
            && share(e, mover, engine) <= FULL
    };
    let cost = |e: &Endpoint| {
        let far = if e.listing.centre == *mover.centre { 0.0 } else { FAR };
        share(e, mover, engine) + far
    };
    pool.endpoints
        .iter()
        .filter(|(k, e)| fits(k, e))
        .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))
        .map(|(k, _)| k)
}

/// Returns the share of an engine's memory that is in use once the generation is there.
fn share(e: &Endpoint, mover: &Mover<'_>, engine: &Engine) -> f64 {
    (e.held as f64 + f64::from(mover.tokens.0)) / f64::from(engine.memory.0.max(1))
}
