//! Load balancing: selects the endpoint of a service that gets a request.
//!
//! Endpoints of plain services are compared by their open requests. Engines are compared by two
//! quantities: unread prompt tokens, which delay the first event, and the memory that their
//! generations are expected to need, because a generation that finds the memory full preempts
//! another one in the middle of its stream. In both cases the caller's data centre is preferred
//! unless its endpoints are noticeably busier.

use crate::gossip::Work;
use crate::id::{DataCentre, ServiceName};
use crate::pool::{Endpoint, Pool, PoolKey};
use crate::route::Engine;
use rand::Rng;
use std::time::Instant;

/// Cost of an endpoint in another data centre, as a share of its slots or memory.
const REMOTE_COST: f64 = 0.05;
/// Cost of an endpoint that is in its warm-up, during which it is slow.
const WARMUP_COST: f64 = 0.5;
/// Cost of an endpoint whose last request failed.
const FAILURE_COST: f64 = 0.3;
/// Unread prompt tokens that cost as much as a full memory.
const UNREAD_TOKENS_PER_COST: f64 = 8_000.0;
/// Share of the memory above which the cost of memory rises more steeply.
const HIGH_MEMORY_SHARE: f64 = 0.85;
/// Additional cost of each unit of memory share above [`HIGH_MEMORY_SHARE`].
const HIGH_MEMORY_COST: f64 = 4.0;
/// Upper bound of the random amount added to each cost. Without it, instances with the same view
/// would all choose the same endpoint at once.
const COST_JITTER: f64 = 0.03;

/// Requirements of a request.
#[derive(Debug)]
pub struct Need<'a> {
    pub service: &'a ServiceName,
    /// Engine settings of the service; `None` for a plain service.
    pub engine: Option<&'a Engine>,
    /// Load that the request adds to its endpoint.
    pub work: Work,
    /// Data centre of the caller, which is preferred.
    pub centre: &'a DataCentre,
    /// Limit of open requests per endpoint, counted over all instances.
    pub connections: u32,
}

/// Selects the endpoint with the lowest cost that is not in `tried`.
pub fn choose<R: Rng>(
    now: Instant,
    pool: &Pool,
    need: &Need<'_>,
    tried: &[PoolKey],
    rng: &mut R,
) -> Option<PoolKey> {
    choose_where(now, pool, need, tried, rng, |_| true)
}

/// Selects the endpoint with the lowest cost that is accepted by `accept` and not in `tried`.
pub fn choose_where<R: Rng>(
    now: Instant,
    pool: &Pool,
    need: &Need<'_>,
    tried: &[PoolKey],
    rng: &mut R,
    accept: impl Fn(&Endpoint) -> bool,
) -> Option<PoolKey> {
    let fits = |k: &PoolKey, e: &Endpoint| {
        let has_capacity = e.work().open < need.connections;
        e.serves(need.service) && has_capacity && !tried.contains(k) && accept(e)
    };
    pool.endpoints
        .iter()
        .filter(|(k, e)| fits(k, e))
        .map(|(k, e)| (k, cost(now, e, need) + rng.random_range(0.0..COST_JITTER)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(k, _)| k)
}

/// Returns the cost of sending a request to an endpoint; a load of 1 is its full capacity.
fn cost(now: Instant, e: &Endpoint, need: &Need<'_>) -> f64 {
    let load = match need.engine {
        Some(engine) => engine_load(e, need, engine),
        None => f64::from(e.open_requests(now)) / f64::from(e.listing.slots.max(1)),
    };
    let remote = if e.listing.centre == *need.centre { 0.0 } else { REMOTE_COST };
    let warmup = if e.warmup_end > now { WARMUP_COST } else { 0.0 };
    let failed = if e.health.failures > 0 { FAILURE_COST } else { 0.0 };
    load + remote + warmup + failed
}

fn engine_load(e: &Endpoint, need: &Need<'_>, engine: &Engine) -> f64 {
    let work = e.work();
    let memory = (work.held + need.work.held) as f64 / f64::from(engine.kv_capacity.0.max(1));
    let excess = (memory - HIGH_MEMORY_SHARE).max(0.0) * HIGH_MEMORY_COST;
    work.unread as f64 / UNREAD_TOKENS_PER_COST + memory + excess
}
