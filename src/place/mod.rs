//! Placement: chooses the endpoint for a request.

use crate::board::{Endpoint, EndpointKey, EntryBoard};
use crate::eject;
use crate::frame::{Refusal, Report};
use crate::id::{DataCentre, Fingerprint, InstanceId, Tokens};
use crate::settings::Placement;
use rand::Rng;
use std::hash::Hasher;
use std::sync::Arc;

/// Most endpoints of a pool that one entry uses.
pub const SUBSET_SIZE: usize = 16;
/// Cost of a request to another data centre, in microseconds.
const REMOTE_COST_US: f64 = 2_000.0;
/// Time that each running generation adds to a decode step, in microseconds.
const STEP_COST_US: f64 = 200.0;
/// Assumed output length of a request, in tokens.
const ASSUMED_OUTPUT_TOKENS: f64 = 150.0;
/// Cost of an endpoint whose forecast fills its memory exactly, in microseconds.
const FULL_MEMORY_COST_US: f64 = 1_000_000.0;
/// Cost of each generation that waits in the queue of the endpoint, in microseconds. Each running
/// or waiting one costs as much for a request that must run alone.
const QUEUE_COST_US: f64 = 100_000.0;
/// Forecast share of memory above which an endpoint is not expected to start a request at once.
const MAX_MEMORY_FILL: f64 = 0.92;
/// Factor of the lowest cost within which costs count as equal.
const COST_TOLERANCE: f64 = 1.01;
/// Prompt tokens that need no prefill if the prefix is cached.
const CACHED_PREFIX_TOKENS: u32 = 64;
/// Prefill time per prompt token, in microseconds.
const PREFILL_TOKEN_COST_US: f64 = 100.0;

/// Requirements of a request.
#[derive(Debug, Clone)]
pub struct Need {
    /// Base model, or name of the plain service.
    pub pool: Arc<str>,
    /// Model, adapter and version in text form; absent for a plain service.
    pub spec: Option<Arc<str>>,
    /// Prompt length.
    pub input: Tokens,
    /// Hash of the start of the prompt, as returned by [`prefix_hash`].
    pub prefix: u32,
    /// Whether the request must be the only one running on its engine.
    pub alone: bool,
}

/// Returns the hash of the start of a prompt that identifies it in cache events.
pub fn prefix_hash(prompt: &str) -> u32 {
    /// Bytes of a prompt that are hashed.
    const PREFIX_BYTES: usize = 64;
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    Fingerprint::of(&[start]).0 as u32
}

/// Chooses endpoints according to the configured policy.
#[derive(Debug)]
pub struct Placer {
    policy: Placement,
    own: InstanceId,
    centre: DataCentre,
    /// Counter of the round-robin policy.
    last_index: usize,
}

impl Placer {
    /// Creates a placer for the entry on instance `own` in `centre`.
    pub fn new(policy: Placement, own: InstanceId, centre: DataCentre) -> Self {
        Placer { policy, own, centre, last_index: 0 }
    }

    /// Chooses an endpoint that is not among `tried`.
    ///
    /// # Errors
    ///
    /// Returns the reason if no endpoint can accept the request.
    pub fn choose<R: Rng>(
        &mut self,
        board: &EntryBoard,
        need: &Need,
        tried: &[InstanceId],
        rng: &mut R,
    ) -> Result<EndpointKey, Refusal> {
        let pool: Vec<(EndpointKey, &Endpoint)> =
            board.endpoints.iter().filter(|(_, e)| in_pool(e, need)).collect();
        if pool.is_empty() {
            return Err(Refusal::NoEndpoint);
        }
        let loaded: Vec<_> = pool.into_iter().filter(|(_, e)| has_loaded(e, need)).collect();
        if loaded.is_empty() {
            return Err(Refusal::NotLoaded);
        }
        let mut ready: Vec<_> = loaded
            .into_iter()
            .filter(|(_, e)| e.is_serving() && eject::allows(e))
            .filter(|(_, e)| !tried.contains(&e.instance))
            .collect();
        if ready.is_empty() {
            return Err(Refusal::Down);
        }
        self.retain_subset(&mut ready);
        // At a limited endpoint the request would wait for others, or be refused.
        let is_limited = |e: &Endpoint| e.latest.as_ref().is_some_and(|k| k.report.limited);
        if ready.iter().any(|(_, e)| !is_limited(e)) {
            ready.retain(|(_, e)| !is_limited(e));
        }
        Ok(self.pick(&ready, need, rng))
    }

    /// Reduces the candidates to the subset that this entry uses, so that the number of links does
    /// not grow as entries times endpoints (rendezvous hashing, Thaler and Ravishankar, 1998).
    fn retain_subset(&self, ready: &mut Vec<(EndpointKey, &Endpoint)>) {
        if ready.len() > SUBSET_SIZE {
            ready.sort_by_cached_key(|(_, e)| {
                std::cmp::Reverse(rendezvous_weight(&self.own, &e.instance))
            });
            ready.truncate(SUBSET_SIZE);
        }
    }

    fn pick<R: Rng>(
        &mut self,
        ready: &[(EndpointKey, &Endpoint)],
        need: &Need,
        rng: &mut R,
    ) -> EndpointKey {
        let random_ix = rng.random_range(0..ready.len());
        match self.policy {
            Placement::RoundRobin => {
                self.last_index = self.last_index.wrapping_add(1);
                ready[self.last_index % ready.len()].0
            }
            Placement::LeastRequests => {
                let n = ready.len();
                let order = (0..n).map(|ix| (ix + random_ix) % n);
                order
                    .min_by_key(|ix| ready[*ix].1.open_requests)
                    .map_or(ready[random_ix].0, |ix| ready[ix].0)
            }
            Placement::TwoChoices => {
                let other_ix = rng.random_range(0..ready.len());
                let load = |ix: usize| request_count(ready[ix].1);
                ready[if load(random_ix) <= load(other_ix) { random_ix } else { other_ix }].0
            }
            Placement::Forecast => self.cheapest(ready, need, rng),
        }
    }

    /// Chooses an endpoint of the lowest estimated cost.
    fn cheapest<R: Rng>(
        &self,
        ready: &[(EndpointKey, &Endpoint)],
        need: &Need,
        rng: &mut R,
    ) -> EndpointKey {
        let costs: Vec<f64> = ready.iter().map(|(_, e)| self.cost(e, need)).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        // A random choice among near-equal costs keeps entries with the same reports from all
        // choosing the same endpoint.
        let cheapest: Vec<usize> =
            (0..ready.len()).filter(|ix| costs[*ix] <= least * COST_TOLERANCE).collect();
        ready[cheapest[rng.random_range(0..cheapest.len())]].0
    }

    /// Estimates the cost of a request at an endpoint, as delay to its caller in microseconds.
    fn cost(&self, e: &Endpoint, need: &Need) -> f64 {
        let Some(r) = e.latest.as_ref().map(|k| &k.report) else { return f64::INFINITY };
        let cached = if r.prefixes.contains(&need.prefix) { CACHED_PREFIX_TOKENS } else { 0 };
        let unread = [need.input.0.saturating_sub(cached), r.backlog, e.sent_tokens];
        let prefill: f64 = unread.into_iter().map(f64::from).sum();
        let remote = if e.centre == self.centre { 0.0 } else { REMOTE_COST_US };
        let others = f64::from(request_count(e));
        let decode = others * STEP_COST_US * ASSUMED_OUTPUT_TOKENS;
        let memory = FULL_MEMORY_COST_US * memory_fill(r, e, need).powi(4);
        let queue = f64::from(r.waiting) * QUEUE_COST_US;
        let alone = if need.alone { others * QUEUE_COST_US } else { 0.0 };
        prefill * PREFILL_TOKEN_COST_US + remote + decode + memory + queue + alone + 1.0
    }
}

/// Returns the forecast share of memory used on an endpoint if it gets the request.
fn memory_fill(r: &Report, e: &Endpoint, need: &Need) -> f64 {
    if r.capacity == 0 {
        return 0.0;
    }
    let sent = f64::from(e.sent_tokens) + f64::from(e.sent_requests) * ASSUMED_OUTPUT_TOKENS;
    let size = f64::from(need.input.0) + ASSUMED_OUTPUT_TOKENS;
    (f64::from(r.forecast) + sent + size) / f64::from(r.capacity)
}

/// Returns whether any endpoint is expected to start the request at once.
pub fn can_start_now(board: &EntryBoard, need: &Need) -> bool {
    board.endpoints.values().any(|e| {
        let Some(r) = e.latest.as_ref().map(|k| &k.report) else { return false };
        let fits = memory_fill(r, e, need) <= MAX_MEMORY_FILL;
        let is_ready = in_pool(e, need) && has_loaded(e, need) && e.is_serving();
        is_ready && eject::allows(e) && r.waiting == 0 && e.sent_requests == 0 && fits
    })
}

fn in_pool(e: &Endpoint, need: &Need) -> bool {
    e.latest.as_ref().is_some_and(|k| k.report.pool == need.pool)
}

fn has_loaded(e: &Endpoint, need: &Need) -> bool {
    let Some(spec) = &need.spec else { return true };
    e.latest.as_ref().is_some_and(|k| k.report.loaded.contains(spec))
}

/// Returns the requests running or waiting according to the last report, plus those sent since.
fn request_count(e: &Endpoint) -> u32 {
    let reported = |r: &Report| r.running.saturating_add(r.waiting);
    e.latest.as_ref().map_or(0, |k| reported(&k.report)).saturating_add(e.sent_requests)
}

/// Returns the rendezvous weight of instance `other` for `own`; the highest weights are chosen.
pub fn rendezvous_weight(own: &InstanceId, other: &InstanceId) -> u64 {
    let mut h = std::hash::DefaultHasher::new();
    h.write(own.as_str().as_bytes());
    h.write_u8(0);
    h.write(other.as_str().as_bytes());
    h.finish()
}
