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
/// Time kept for the last copy, and for going on elsewhere.
const RESERVE: Duration = Duration::from_millis(300);
/// Share of the memory past which an engine is not even asked: expected needs are more than what
/// is in use, and the engine knows.
const FULL: f64 = 1.3;
/// Cost of another data centre, as a share of an engine's memory: copies take twice as long.
const FAR: f64 = 0.6;
/// Cost of each copy that the link of an engine carries already.
const COPY: f64 = 0.25;

/// What is known of an engine that leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exodus {
    /// When it began to leave, as seen here.
    pub since: Instant,
    /// Time that it had left at `seen`, where it told.
    pub leaves: Option<Duration>,
    /// When it told.
    pub seen: Instant,
}

/// Returns when a generation should stop for its last copy, whatever the links carry.
pub fn last_copy_by(exodus: &Exodus) -> Instant {
    let gone = exodus.leaves.map_or(exodus.since + NOTICE, |left| exodus.seen + left);
    gone.checked_sub(RESERVE).unwrap_or(exodus.since)
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
    /// Memory that it is expected to need to its end, in tokens.
    pub held: u64,
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
        share(e, mover, engine) + far + f64::from(e.work().copies) * COPY
    };
    pool.endpoints
        .iter()
        .filter(|(k, e)| fits(k, e))
        .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))
        .map(|(k, _)| k)
}

/// Returns the share of an engine's memory that is in use once the generation is there.
fn share(e: &Endpoint, mover: &Mover<'_>, engine: &Engine) -> f64 {
    (e.work().held + mover.held) as f64 / f64::from(engine.memory.0.max(1))
}
