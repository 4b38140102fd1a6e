//! Chooses the endpoint for a request.

use crate::board::{Endpoint, EndpointKey, EntryBoard};
use crate::eject;
use crate::frame::Refusal;
use crate::id::{DataCentre, Fingerprint, InstanceId, Tokens};
use crate::settings::Placement;
use rand::Rng;
use std::hash::Hasher;
use std::sync::Arc;

/// Endpoints of a pool that one entry uses.
pub const SUBSET: usize = 16;
/// Time that a request to another data centre loses, in microseconds.
const FAR: f64 = 2_000.0;
/// Weight of the pace of an endpoint against the wait for its first token.
const PACE: f64 = 0.3;
/// Share of memory past which an endpoint counts as nearly full.
const FULL: f64 = 0.85;
/// Costs within this factor of the lowest count as equal.
const NEAR: f64 = 1.1;
/// Time to compute one prompt token, in microseconds, for comparison only.
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
        if ready.len() > SUBSET {
            ready.sort_by_cached_key(|(_, e)| std::cmp::Reverse(weight(&self.own, &e.instance)));
            ready.truncate(SUBSET);
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
                order.min_by_key(|ix| ready[*ix].1.open).map_or(ready[any].0, |ix| ready[ix].0)
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
        let Some(r) = e.known.as_ref().map(|k| &k.report) else { return f64::INFINITY };
        let is_cached = r.prefixes.contains(&need.prefix);
        let input = if is_cached { 0.0 } else { f64::from(need.input.0) };
        let ahead = f64::from(r.backlog + e.load);
        let distance = if e.centre == self.centre { 0.0 } else { FAR };
        let running = f64::from(r.running + r.waiting + e.sent);
        let mean = f64::from(r.mean.max(16));
        let gap = f64::from(r.gap.max(1_000));
        let size = f64::from(need.input.0) + mean;
        let fill = if r.capacity == 0 {
            running / 64.0
        } else {
            let sent = f64::from(e.load) + f64::from(e.sent) * mean;
            (f64::from(r.forecast) + sent + size) / f64::from(r.capacity)
        };
        // A full endpoint starts the request only as running ones end.
        let queue = (fill - FULL).max(0.0) * mean * gap + f64::from(r.waiting) * mean * gap / 8.0;
        let pace = PACE * mean * gap * (0.5 + fill.min(1.5));
        let alone = if need.alone { running * mean * gap } else { 0.0 };
        (input + ahead) * PREFILL + distance + queue + pace + alone + 1.0
    }
}

/// Tells whether an endpoint would begin the request at once.
pub fn has_room(board: &EntryBoard, need: &Need) -> bool {
    board.endpoints.values().any(|e| {
        let Some(r) = e.known.as_ref().map(|k| &k.report) else { return false };
        let size = need.input.0 + r.mean + e.load + e.sent * r.mean;
        let fits = f64::from(r.forecast + size) <= f64::from(r.capacity) * FULL;
        let is_ready = in_pool(e, need) && has_loaded(e, need) && e.is_serving();
        is_ready && eject::allows(e) && r.waiting + e.sent == 0 && fits
    })
}

fn in_pool(e: &Endpoint, need: &Need) -> bool {
    e.known.as_ref().is_some_and(|k| k.report.pool == need.pool)
}

fn has_loaded(e: &Endpoint, need: &Need) -> bool {
    let Some(spec) = &need.spec else { return true };
    e.known.as_ref().is_some_and(|k| k.report.loaded.contains(spec))
}

fn reported(e: &Endpoint) -> u32 {
    e.known.as_ref().map_or(0, |k| k.report.running + k.report.waiting) + e.sent
}

/// Returns the weight of an endpoint for an entry.
pub fn weight(own: &InstanceId, other: &InstanceId) -> u64 {
    let mut h = std::hash::DefaultHasher::new();
    h.write(own.as_str().as_bytes());
    h.write_u8(0);
    h.write(other.as_str().as_bytes());
    h.finish()
}
