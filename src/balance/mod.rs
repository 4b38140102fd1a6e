//! Load balancing: selects the endpoint of a service that gets a request.
//!
//! Endpoints of plain services are compared by their open requests. Engines are compared by two
//! quantities: unread prompt tokens, which delay the first event, and the memory that their
//! generations are expected to need, because a generation that finds the memory full preempts
//! another one in the middle of its stream. In both cases the caller's data centre is preferred
//! unless its endpoints are noticeably busier. Where endpoints state how long work takes on them,
//! open requests and unread tokens are weighed by that.

use crate::gossip::Work;
use crate::id::{DataCentre, ServiceName, Tokens};
use crate::pool::{Endpoint, Pool, PoolKey};
use crate::route::Engine;
use crate::speed::{Slowness, TokenCost};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

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
/// Cost of an engine that takes twice the mean time per output token, for a long output.
const TOKEN_TIME_COST: f64 = 0.5;
/// Cost of an engine that states that work takes twice as long there, for a long output.
const SLOW_ENGINE_COST: f64 = 0.3;
/// Cost of an engine on which the pauses of a long output would exceed their limit.
const LONG_PAUSE_COST: f64 = 0.6;
/// Cost of each open request on an engine, for a request with a short output. The prompt delays the
/// tokens of all of them.
const INTERFERENCE_COST: f64 = 0.15;
/// Mean memory share up to which the pace of tokens counts in full.
const AMPLE_MEMORY_SHARE: f64 = 0.5;
/// Mean memory share from which it does not count.
const SHORT_MEMORY_SHARE: f64 = 0.8;
/// Expected output tokens from which the time per token counts in full. A short output gains
/// little from a fast engine, and its prompt delays the tokens of others there.
const LONG_OUTPUT: Tokens = Tokens(256);
/// Weight of the own prompt's time where streams avoid engines with long pauses. Slow engines have few
/// streams then and would attract short outputs, whose long prompts they process too late.
const OWN_PROMPT_WEIGHT: f64 = 2.0;
/// Expected output tokens from which long pauses count in full. A single prompt that is processed
/// beside a stream makes it late.
const STREAM_OUTPUT: Tokens = Tokens(64);
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
    /// Output tokens that a generation is expected to have.
    pub output: Tokens,
    /// Data centre of the caller, which is preferred.
    pub centre: &'a DataCentre,
    /// Mean slowness up to which an engine keeps the pauses of the generation's stream within its
    /// limit; `None` if that is not known.
    pub tolerated: Option<Slowness>,
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
    costs(now, pool, need, fits)
        .map(|(k, cost)| (k, cost.total() + rng.random_range(0.0..COST_JITTER)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(k, _)| k)
}

/// Returns all endpoints of a service with their costs, the lowest first.
pub fn rank(now: Instant, pool: &Pool, need: &Need<'_>) -> Vec<(PoolKey, Cost)> {
    let is_listed = |_: &PoolKey, e: &Endpoint| e.listing.service == *need.service;
    let mut ranked: Vec<(PoolKey, Cost)> = costs(now, pool, need, is_listed).collect();
    ranked.sort_by(|a, b| a.1.total().total_cmp(&b.1.total()));
    ranked
}

/// Returns the costs of the endpoints that `accept` selects.
fn costs<'a>(
    now: Instant,
    pool: &'a Pool,
    need: &'a Need<'_>,
    accept: impl Fn(&PoolKey, &Endpoint) -> bool + 'a,
) -> impl Iterator<Item = (PoolKey, Cost)> + 'a {
    let pace = need.engine.map(|engine| Pace::of(now, pool, need.service, engine));
    let speeds = Speeds::of(now, pool, need.service);
    let accepted = pool.endpoints.iter().filter(move |(k, e)| accept(k, e));
    accepted.map(move |(k, e)| {
        let slowness = speeds.as_ref().map_or(1.0, |s| s.slowness(now, e));
        let pace = pace.as_ref().map_or(0.0, |p| p.cost(now, e, need, slowness));
        (k, Cost { pace, ..cost(now, e, need, slowness) })
    })
}

/// Cost of sending a request to an endpoint, by part; a load of 1 is its full capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Open requests of a plain service, or memory of an engine.
    pub load: f64,
    /// Prompts that an engine has to read before.
    pub unread: f64,
    /// Distance of another data centre.
    pub remote: f64,
    /// Warm-up.
    pub warmup: f64,
    /// Failure of its last request.
    pub failed: f64,
    /// Pace of its tokens, and what a prompt delays there.
    pub pace: f64,
    /// Pauses of a stream beyond their limit.
    pub pauses: f64,
}

impl Cost {
    /// Returns the sum by which endpoints are compared.
    pub fn total(&self) -> f64 {
        let own = self.unread + self.load + self.remote + self.warmup + self.failed;
        own + self.pace + self.pauses
    }
}

/// Returns the cost of sending a request to an endpoint, without the pace of tokens. `slowness` is
/// the time that work takes there, compared with the mean of the service.
fn cost(now: Instant, e: &Endpoint, need: &Need<'_>, slowness: f64) -> Cost {
    let (load, unread) = match need.engine {
        Some(engine) => engine_load(e, need, engine, slowness),
        None => {
            // The request itself takes longer there too.
            let requests = f64::from(e.open_requests(now)) * slowness + slowness - 1.0;
            (requests / f64::from(e.listing.slots.max(1)), 0.0)
        }
    };
    let remote = if e.listing.centre == *need.centre { 0.0 } else { REMOTE_COST };
    // One that tolerates only some requests gets these: it gains by them.
    let is_slow = e.warmup_end > now && !e.is_limited();
    let warmup = if is_slow { WARMUP_COST } else { 0.0 };
    let failed = if e.health.failures > 0 { FAILURE_COST } else { 0.0 };
    Cost { load, unread, remote, warmup, failed, pace: 0.0, pauses: pause_cost(now, e, need) }
}

/// Mean speed of the endpoints of a service, with which each is compared.
///
/// Answers the load of endpoints that differ in speed, or slow down for a moment: each gets the
/// work that it does in the same time as the others.
#[derive(Debug)]
pub struct Speeds {
    /// Cost of a prompt token on an endpoint of which little is known.
    prior: TokenCost,
    /// Mean of the present costs, in seconds.
    mean: f64,
}

impl Speeds {
    /// Returns the mean speed; `None` if no endpoint states its slowness.
    pub fn of(now: Instant, pool: &Pool, service: &ServiceName) -> Option<Speeds> {
        let endpoints = || pool.endpoints.values().filter(|e| e.serves(service));
        if !endpoints().any(|e| e.speed.is_stated()) {
            return None;
        }
        let learned = endpoints().filter_map(|e| e.speed.learned(now));
        let (sum, weight) = learned.fold((0.0, 0.0), |(sum, total), (cost, weight)| {
            (sum + cost.as_secs() * weight, total + weight)
        });
        // Without an observation, only what the endpoints state counts.
        let prior = TokenCost::of_secs(if weight > 0.0 { sum / weight } else { 1.0 });
        let costs = endpoints().map(|e| e.speed.token_cost(now, prior).as_secs());
        let (sum, count) = costs.fold((0.0, 0.0), |(sum, n), cost| (sum + cost, n + 1.0));
        Some(Speeds { prior, mean: sum / count })
    }

    /// Returns the time that work takes on an endpoint, compared with the mean.
    pub fn slowness(&self, now: Instant, e: &Endpoint) -> f64 {
        e.speed.token_cost(now, self.prior).as_secs() / self.mean
    }
}

/// State of the engines of a service by which the pace of their tokens is weighed.
///
/// Answers the load of many long outputs beside many prompts. Where memory is short, it alone
/// decides: an engine that is passed over for its pace leaves memory unused for which others wait.
#[derive(Debug)]
struct Pace {
    /// Mean time per output token; `None` if none was seen recently.
    mean_time: Option<Duration>,
    /// Weight from 0, where memory is short, to 1.
    weight: f64,
}

impl Pace {
    fn of(now: Instant, pool: &Pool, service: &ServiceName, engine: &Engine) -> Pace {
        let share = mean_memory_share(pool, service, engine);
        let weight = (SHORT_MEMORY_SHARE - share) / (SHORT_MEMORY_SHARE - AMPLE_MEMORY_SHARE);
        Pace { mean_time: pool.mean_token_time(now, service), weight: weight.clamp(0.0, 1.0) }
    }

    /// Returns the cost of an engine for a long output or, if the output is short, for its prompt.
    ///
    /// A long output takes the time of its tokens, and on an engine that is slow for its service,
    /// each prompt that is processed beside it interrupts it for longer. A short one takes the time
    /// of its prompt, which delays the tokens of the requests that are open there.
    fn cost(&self, now: Instant, e: &Endpoint, need: &Need<'_>, slowness: f64) -> f64 {
        let length = (f64::from(need.output.0) / f64::from(LONG_OUTPUT.0)).min(1.0);
        let prompt = need.work.unread as f64 / UNREAD_TOKENS_PER_COST * (slowness - 1.0);
        let delayed = f64::from(e.work().open) * INTERFERENCE_COST * slowness;
        let (prompt, delayed) = match need.tolerated {
            Some(_) if has_long_pauses(now, e, need) => (prompt * OWN_PROMPT_WEIGHT, delayed),
            // The prompt delays tokens, but makes no stream late.
            Some(_) => (prompt * OWN_PROMPT_WEIGHT, 0.0),
            None => (prompt, delayed),
        };
        let short = (1.0 - length) * (delayed + prompt);
        let excess = match (self.mean_time, e.token_time.get(now)) {
            (Some(mean), Some(own)) => own.as_secs_f64() / mean.as_secs_f64().max(1e-9) - 1.0,
            _ => 0.0,
        };
        let pauses = (slowness - 1.0).max(0.0) * SLOW_ENGINE_COST;
        self.weight * (short + (excess * TOKEN_TIME_COST + pauses) * length)
    }
}

/// Returns whether the pauses of a stream on an engine would exceed their limit.
fn has_long_pauses(now: Instant, e: &Endpoint, need: &Need<'_>) -> bool {
    let usual = e.speed.is_stated().then(|| e.speed.usual(now));
    need.tolerated.zip(usual).is_some_and(|(limit, usual)| usual > limit)
}

/// Returns the cost of the pauses of a stream on an engine, if they would exceed their limit.
///
/// Answers the load of streams beside prompts on engines of which some are slow: an event waits for
/// a chunk of a prompt for each of its tokens, on a slow engine for longer than its route allows.
/// Streams go to other engines while these have memory, and prompts of short outputs find room on
/// the slow ones. Unlike the pace, this counts also where memory is short: an engine that lacks it
/// is passed over anyway.
fn pause_cost(now: Instant, e: &Endpoint, need: &Need<'_>) -> f64 {
    if !has_long_pauses(now, e, need) {
        return 0.0;
    }
    LONG_PAUSE_COST * (f64::from(need.output.0) / f64::from(STREAM_OUTPUT.0)).min(1.0)
}

/// Returns the mean share of memory that is in use on the engines of a service that take new work.
fn mean_memory_share(pool: &Pool, service: &ServiceName, engine: &Engine) -> f64 {
    let serving = pool.endpoints.values().filter(|e| e.serves(service));
    let (held, count) = serving.fold((0, 0), |(held, n), e| (held + e.work().held, n + 1));
    let memory = f64::from(engine.kv_capacity.0.max(1)) * f64::from(count.max(1));
    held as f64 / memory
}

/// Returns whether memory is short on the engines of a service.
pub fn is_memory_short(pool: &Pool, service: &ServiceName, engine: &Engine) -> bool {
    mean_memory_share(pool, service, engine) >= SHORT_MEMORY_SHARE
}

/// Returns the cost of an engine's memory and that of its unread prompts.
fn engine_load(e: &Endpoint, need: &Need<'_>, engine: &Engine, slowness: f64) -> (f64, f64) {
    let work = e.work();
    let memory = (work.held + need.work.held) as f64 / f64::from(engine.kv_capacity.0.max(1));
    let excess = (memory - HIGH_MEMORY_SHARE).max(0.0) * HIGH_MEMORY_COST;
    // Only the wait for earlier prompts counts: whether an engine is fast enough for this one is
    // decided on admission, and the memory of slow engines has to be used too.
    (memory + excess, work.unread as f64 * slowness / UNREAD_TOKENS_PER_COST)
}
