//! Chooses the endpoint for a request.

use crate::board::{Endpoint, EndpointKey, EntryBoard};
use crate::eject;
use crate::frame::{Refusal, Report};
use crate::id::{DataCentre, Fingerprint, InstanceId, Tokens};
use crate::settings::Placement;
use rand::Rng;
use std::hash::Hasher;
use std::sync::Arc;

/// Endpoints of a pool that one entry uses.
pub const SUBSET_SIZE: usize = 16;
/// Time that a request to another data centre loses, in microseconds.
const FAR: f64 = 2_000.0;
/// Time that each running generation adds to a batch step, in microseconds.
const SLOWDOWN: f64 = 200.0;
/// Output that the pace of an endpoint is weighed by, in tokens.
const OUTPUT: f64 = 150.0;
/// Cost of a memory that is just full, in microseconds.
const MEMORY: f64 = 1_000_000.0;
/// Cost of each generation that waits for the endpoint already, in microseconds.
const QUEUED: f64 = 100_000.0;
/// Share of memory past which an endpoint would not begin another generation at once.
const FULL: f64 = 0.92;
/// Costs within this factor of the lowest count as equal.
const NEAR: f64 = 1.01;
/// Tokens of a prompt that a cached prefix saves.
const PREFIX_TOKENS: u32 = 64;
/// Time to compute one prompt token, in microseconds.
const PREFILL: f64 = 100.0;

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Need {
    /// Base model, or name of the plain service.
    pub pool: Arc<str>,
    /// Model, adapter and version in text form; absent for a plain service.
    pub spec: Option<Arc<str>>,
    /// Length of the prompt.
    pub input: Tokens,
    /// Hash of the start of the prompt.
    pub prefix: u32,
    /// Tells that nothing else may run beside it.
    pub alone: bool,
}

/// Hashes the start of a prompt, as cache events name it.
pub fn prefix_hash(prompt: &str) -> u32 {
    /// Bytes of a prompt that name its prefix.
    const PREFIX_BYTES: usize = 64;
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    Fingerprint::of(&[start]).0 as u32
}

/// Chooses endpoints by one of several policies.
#[derive(Debug)]
pub struct Placer {
    policy: Placement,
    own: InstanceId,
    centre: DataCentre,
    turn: usize,
}

impl Placer {
    /// Makes a placer for the entry of `own` in `centre`.
    pub fn new(policy: Placement, own: InstanceId, centre: DataCentre) -> Self {
        Placer { policy, own, centre, turn: 0 }
    }

    /// Chooses an endpoint that is not among `tried`.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint can take the request.
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
        self.narrow(&mut ready);
        Ok(self.pick(&ready, need, rng))
    }

    /// Keeps the endpoints that this entry uses, so that links do not grow as entries times
    /// endpoints (rendezvous hashing, Thaler and Ravishankar, 1998).
    fn narrow(&self, ready: &mut Vec<(EndpointKey, &Endpoint)>) {
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
        let any = rng.random_range(0..ready.len());
        match self.policy {
            Placement::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                ready[self.turn % ready.len()].0
            }
            Placement::LeastRequests => {
                let n = ready.len();
                let order = (0..n).map(|ix| (ix + any) % n);
                order
                    .min_by_key(|ix| ready[*ix].1.open_requests)
                    .map_or(ready[any].0, |ix| ready[ix].0)
            }
            Placement::TwoChoices => {
                let other = rng.random_range(0..ready.len());
                let load = |ix: usize| reported(ready[ix].1);
                ready[if load(any) <= load(other) { any } else { other }].0
            }
            Placement::Forecast => self.cheapest(ready, need, rng),
        }
    }

    fn cheapest<R: Rng>(
        &self,
        ready: &[(EndpointKey, &Endpoint)],
        need: &Need,
        rng: &mut R,
    ) -> EndpointKey {
        let costs: Vec<f64> = ready.iter().map(|(_, e)| self.cost(e, need)).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        // Entries that see the same reports should not all choose the same endpoint.
        let near: Vec<usize> = (0..ready.len()).filter(|ix| costs[*ix] <= least * NEAR).collect();
        ready[near[rng.random_range(0..near.len())]].0
    }

    /// Estimates what a request costs its caller at an endpoint, in microseconds.
    fn cost(&self, e: &Endpoint, need: &Need) -> f64 {
        let Some(r) = e.latest.as_ref().map(|k| &k.report) else { return f64::INFINITY };
        let cached = if r.prefixes.contains(&need.prefix) { PREFIX_TOKENS } else { 0 };
        let prompts = need.input.0.saturating_sub(cached) + r.backlog + e.sent_tokens;
        let distance = if e.centre == self.centre { 0.0 } else { FAR };
        let others = f64::from(r.running + r.waiting + e.sent_requests);
        let pace = others * SLOWDOWN * OUTPUT;
        let memory = MEMORY * fill(r, e, need).powi(4);
        let queue = f64::from(r.waiting) * QUEUED;
        let alone = if need.alone { others * QUEUED } else { 0.0 };
        f64::from(prompts) * PREFILL + distance + pace + memory + queue + alone + 1.0
    }
}

/// Returns the share of memory that an endpoint is forecast to need with the request.
fn fill(r: &Report, e: &Endpoint, need: &Need) -> f64 {
    if r.capacity == 0 {
        return 0.0;
    }
    let sent = f64::from(e.sent_tokens) + f64::from(e.sent_requests) * OUTPUT;
    let size = f64::from(need.input.0) + OUTPUT;
    (f64::from(r.forecast) + sent + size) / f64::from(r.capacity)
}

/// Tells whether an endpoint would begin the request at once.
pub fn can_start_now(board: &EntryBoard, need: &Need) -> bool {
    board.endpoints.values().any(|e| {
        let Some(r) = e.latest.as_ref().map(|k| &k.report) else { return false };
        let fits = fill(r, e, need) <= FULL;
        let is_ready = in_pool(e, need) && has_loaded(e, need) && e.is_serving();
        is_ready && eject::allows(e) && r.waiting + e.sent_requests == 0 && fits
    })
}

fn in_pool(e: &Endpoint, need: &Need) -> bool {
    e.latest.as_ref().is_some_and(|k| k.report.pool == need.pool)
}

fn has_loaded(e: &Endpoint, need: &Need) -> bool {
    let Some(spec) = &need.spec else { return true };
    e.latest.as_ref().is_some_and(|k| k.report.loaded.contains(spec))
}

fn reported(e: &Endpoint) -> u32 {
    e.latest.as_ref().map_or(0, |k| k.report.running + k.report.waiting) + e.sent_requests
}

/// Returns the weight of an endpoint for an entry.
pub fn rendezvous_weight(own: &InstanceId, other: &InstanceId) -> u64 {
    let mut h = std::hash::DefaultHasher::new();
    h.write(own.as_str().as_bytes());
    h.write_u8(0);
    h.write(other.as_str().as_bytes());
    h.finish()
}
