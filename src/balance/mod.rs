//! Chooses the endpoint of a request among those of its service.
//!
//! Plain services are chosen by the requests at each endpoint. Engines are chosen by the prompts
//! that wait to be read there, which delay the first event, and by the memory that the
//! generations there are expected to need: one that meets a full memory preempts another in the
//! middle of its stream. Both prefer the caller's data centre where little speaks against it.

use crate::gossip::Work;
use crate::id::{DataCentre, ServiceName};
use crate::pool::{Endpoint, Pool, PoolKey};
use crate::route::Engine;
use rand::Rng;
use std::time::Instant;

/// Cost of another data centre, as a share of an endpoint's places or memory.
const FAR: f64 = 0.05;
/// Cost of an endpoint that has just started and is slow.
const COLD: f64 = 0.5;
/// Cost of an endpoint whose last request failed.
const DOUBT: f64 = 0.3;
/// Prompt tokens whose reading costs as much as a full memory.
const READ_AHEAD: f64 = 8_000.0;
/// Share of the memory past which each further share costs more.
const PACKED: f64 = 0.85;
/// Cost of each share of the memory past [`PACKED`].
const PACK: f64 = 4.0;
/// Costs closer than this are chosen between at random, so that instances do not act in step.
const NEAR: f64 = 0.03;

/// What a request needs.
#[derive(Debug)]
pub struct Need<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Engines of the service; absent for a plain one.
    pub engine: Option<&'a Engine>,
    /// What it will need of an endpoint.
    pub work: Work,
    /// Data centre that is nearest.
    pub centre: &'a DataCentre,
    /// Connections that an endpoint takes from all instances.
    pub connections: u32,
}

/// Chooses an endpoint that is not among `tried`.
pub fn choose<R: Rng>(
    now: Instant,
    pool: &Pool,
    need: &Need<'_>,
    tried: &[PoolKey],
    rng: &mut R,
) -> Option<PoolKey> {
    choose_where(now, pool, need, tried, rng, |_| true)
}

/// Chooses an endpoint among those that `accept` names, not one of `tried`.
pub fn choose_where<R: Rng>(
    now: Instant,
    pool: &Pool,
    need: &Need<'_>,
    tried: &[PoolKey],
    rng: &mut R,
    accept: impl Fn(&Endpoint) -> bool,
) -> Option<PoolKey> {
    let fits = |k: &PoolKey, e: &Endpoint| {
        let is_open = e.work().open < need.connections;
        e.serves(need.service) && is_open && !tried.contains(k) && accept(e)
    };
    pool.endpoints
        .iter()
        .filter(|(k, e)| fits(k, e))
        .map(|(k, e)| (k, cost(now, e, need) + rng.random_range(0.0..NEAR)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(k, _)| k)
}

/// Returns the cost of sending a request to an endpoint, where 1 is all that it can carry.
fn cost(now: Instant, e: &Endpoint, need: &Need<'_>) -> f64 {
    let load = match need.engine {
        Some(engine) => engine_load(e, need, engine),
        None => f64::from(e.busy(now)) / f64::from(e.listing.slots.max(1)),
    };
    let far = if e.listing.centre == *need.centre { 0.0 } else { FAR };
    let cold = if e.warm > now { COLD } else { 0.0 };
    let doubt = if e.health.failures > 0 { DOUBT } else { 0.0 };
    load + far + cold + doubt
}

fn engine_load(e: &Endpoint, need: &Need<'_>, engine: &Engine) -> f64 {
    let work = e.work();
    let memory = (work.held + need.work.held) as f64 / f64::from(engine.memory.0.max(1));
    let pack = (memory - PACKED).max(0.0) * PACK;
    work.unread as f64 / READ_AHEAD + memory + pack
}
