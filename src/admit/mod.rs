//! Admission control for generations: start now, wait, or refuse.
//!
//! Guards against overload. An engine that is sent more generations than fit its memory preempts
//! running ones and repeats their prefill, and an engine that is sent more prompts than it can
//! process in time starts all of them late. A generation therefore waits here, ordered by urgency,
//! until an engine has capacity for it. It is refused once it could no longer start in time even
//! on an engine without other prefill work.

mod queue;

pub use queue::{MAX_PASSES, Place, Ticket, WaitQueue, has_passing};

use crate::balance::{self, Need};
use crate::evacuate;
use crate::gossip::Work;
use crate::pool::{Availability, Endpoint, Pool, PoolKey};
use crate::route::{Engine, Urgency};
use crate::speed::TokenCost;
use rand::Rng;
use std::fmt;
use std::time::{Duration, Instant};

/// Assumed prefill rate, in tokens per millisecond, before the first observation.
const INITIAL_PREFILL_RATE: f64 = 6.0;
/// Weight of a new observation in the moving average.
const PREFILL_RATE_WEIGHT: f64 = 0.05;
/// Bounds to which an observed rate is clamped, in tokens per millisecond.
const PREFILL_RATE_RANGE: (f64, f64) = (1.0, 100.0);
/// Longest prefill of the pending prompts and the new one, as a share of the time left until the
/// first event is due.
const PREFILL_TIME_SHARE: f64 = 0.8;
/// Time allowed to a long prompt, as a multiple of its own prefill time.
const LONG_PREFILL_FACTOR: f64 = 2.2;
/// Least time allowed to a prompt, as a multiple of its own prefill time, where the time until
/// its deadline permits.
const MIN_PREFILL_FACTOR: f64 = 1.25;
/// Share of the time between arrival and deadline that may pass before the first event.
const MAX_FIRST_EVENT_SHARE: f64 = 0.6;
/// Share of an engine's memory that expected needs may fill.
const MAX_MEMORY_FILL: f64 = 1.06;
/// Share added for generations of the most urgent rank, which wait only for each other.
const URGENT_EXTRA_FILL: f64 = 0.06;
/// Delay before a retry, as a multiple of the target for the first event.
const RETRY_FACTOR: f64 = 1.0;
/// Addition to this multiple per waiting generation, as a longer queue takes longer to drain.
const RETRY_FACTOR_PER_WAITER: f64 = 0.6;
/// Upper bound of [`RETRY_FACTOR`] with these additions.
const MAX_RETRY_FACTOR: f64 = 6.0;

/// Prefill rate of the engines of a service, as a moving average.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    /// Tokens per millisecond.
    rate: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        PrefillRate { rate: INITIAL_PREFILL_RATE }
    }
}

impl PrefillRate {
    /// Records that the first event arrived `took` after `unread` prompt tokens were pending.
    pub fn observe(&mut self, unread: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        if unread == 0 || ms <= 0.0 {
            return;
        }
        let observed = (unread as f64 / ms).clamp(PREFILL_RATE_RANGE.0, PREFILL_RATE_RANGE.1);
        self.rate += (observed - self.rate) * PREFILL_RATE_WEIGHT;
    }

    /// Returns the cost of a prompt token on an engine that is as fast as usual.
    pub fn token_cost(&self) -> TokenCost {
        TokenCost::of_secs(1.0 / self.rate / 1e3)
    }

    /// Returns the time to process `unread` prompt tokens on an engine that is as fast as usual.
    pub fn prefill_time(&self, unread: u64) -> Duration {
        self.token_cost().time(unread)
    }
}

/// Time between two requests that waited for the end of the same pause.
const PAUSE_SPACING: Duration = Duration::from_millis(5);

/// A request to start a generation, with its resource needs and time limits.
#[derive(Debug)]
pub struct AdmissionRequest<'a> {
    /// Service, placement and resources that the generation needs.
    pub need: Need<'a>,
    /// Arrival time.
    pub since: Instant,
    /// Target for the time from arrival to the first event.
    pub target: Duration,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Rank; 0 is the most urgent.
    pub urgency: Urgency,
    /// Number of generations waiting for the same service on this instance.
    pub queue_len: usize,
    /// Number of those that come before it.
    pub ahead: usize,
}

/// Outcome of an admission decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Send the generation to this engine.
    Send(PoolKey),
    /// Keep the generation in the queue.
    Wait,
    /// Refuse the generation; the caller should retry after this time.
    Refuse(Duration),
}

/// Decides whether the generation at the head of the queue starts, waits or is refused.
pub fn decide<R: Rng>(
    now: Instant,
    pool: &Pool,
    request: &AdmissionRequest<'_>,
    rate: &PrefillRate,
    tried: &[PoolKey],
    rng: &mut R,
) -> Decision {
    let candidate = candidate(now, pool, request, rate);
    let has_capacity = |e: &Endpoint| {
        let fits = |engine| fits(now, e, engine, &candidate, rate);
        request
            .need
            .engine
            .is_none_or(|engine| fits(engine) && remains(now, pool, e, request, rate))
    };
    if let Some(key) = balance::choose_where(now, pool, &request.need, tried, rng, has_capacity) {
        return Decision::Send(key);
    }
    // Answers the load that is left when all engines leave, are paused or limit their requests:
    // callers learn it at once.
    let own_prefill = fastest_prefill(now, pool, &request.need, rate);
    let earliest = match pool.availability_after(request.need.service, request.ahead) {
        Availability::Now => Some(now),
        Availability::At(end) => Some(end),
        Availability::Never => None,
    };
    let limit = request.since + first_event_limit(request, own_prefill);
    match earliest.filter(|start| *start + own_prefill <= limit) {
        Some(_) => Decision::Wait,
        None => Decision::Refuse(retry_after(now, request)),
    }
}

/// Returns whether an engine will still be there when a generation that starts now ends.
fn remains(
    now: Instant,
    pool: &Pool,
    e: &Endpoint,
    request: &AdmissionRequest<'_>,
    rate: &PrefillRate,
) -> bool {
    let Some(gone_at) = e.notices.gone_at else { return true };
    let need = &request.need;
    let prefill = prefill_time(now, e, rate, e.work().unread + need.work.unread);
    let token_time = pool.mean_token_time(now, need.service);
    evacuate::ends_in_time(now, gone_at, prefill, need.output, token_time)
}

/// Returns the time after arrival by which the first event should come. A prompt whose prefill
/// takes most of the target gets more time, since a late answer is better for its caller than none.
fn first_event_limit(request: &AdmissionRequest<'_>, own_prefill: Duration) -> Duration {
    let total = request.deadline.saturating_duration_since(request.since);
    let max = total
        .mul_f64(MAX_FIRST_EVENT_SHARE)
        .max(request.target)
        .max(own_prefill.mul_f64(MIN_PREFILL_FACTOR).min(total));
    request.target.max(own_prefill.mul_f64(LONG_PREFILL_FACTOR)).min(max)
}

/// Returns the shortest time in which an engine that takes new work processes the prompt of a
/// request, apart from the prompts before it.
fn fastest_prefill(now: Instant, pool: &Pool, need: &Need<'_>, rate: &PrefillRate) -> Duration {
    let engines = pool.endpoints.values().filter(|e| e.serves(need.service));
    let times = engines.map(|e| prefill_time(now, e, rate, need.work.unread));
    times.min().unwrap_or_else(|| rate.prefill_time(need.work.unread))
}

/// Returns the work of a request and the time it has left at `now`.
pub fn candidate(
    now: Instant,
    pool: &Pool,
    request: &AdmissionRequest<'_>,
    rate: &PrefillRate,
) -> Candidate {
    let own_prefill = fastest_prefill(now, pool, &request.need, rate);
    let left =
        (request.since + first_event_limit(request, own_prefill)).saturating_duration_since(now);
    Candidate { work: request.need.work, left, urgency: request.urgency }
}

/// A generation that is checked against the capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Work that the generation adds to the engine.
    pub work: Work,
    /// Time left until its first event is due.
    pub left: Duration,
    /// Rank; 0 is the most urgent.
    pub urgency: Urgency,
}

/// Resource that an engine lacks for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Memory.
    Memory,
    /// Time to process the prompt after those already pending.
    Prefill,
    /// A slot for another request.
    Slot,
}

/// Returns whether an engine has the memory and a slot for a generation, and can process its
/// prompt in time.
pub fn fits(
    now: Instant,
    e: &Endpoint,
    engine: &Engine,
    candidate: &Candidate,
    rate: &PrefillRate,
) -> bool {
    missing_resource(now, e, engine, candidate, rate).is_none()
}

/// Returns the resource that an engine lacks for a generation, or `None` if it can start now.
pub fn missing_resource(
    now: Instant,
    e: &Endpoint,
    engine: &Engine,
    candidate: &Candidate,
    rate: &PrefillRate,
) -> Option<Resource> {
    let (work, own) = (e.work(), candidate.work);
    let fill = if candidate.urgency.0 == 0 {
        MAX_MEMORY_FILL + URGENT_EXTRA_FILL
    } else {
        MAX_MEMORY_FILL
    };
    let memory = fill * f64::from(engine.kv_capacity.0);
    // A generation larger than the memory limit starts on an engine that runs nothing else.
    let has_memory = (work.held + own.held) as f64 <= memory || work.held == 0;
    let is_timely = is_timely(now, e, candidate, rate);
    let has_slot = e.open_requests(now) < e.listing.slots;
    let needs = [
        (has_memory, Resource::Memory),
        (is_timely, Resource::Prefill),
        (has_slot, Resource::Slot),
    ];
    needs.into_iter().find(|(is_met, _)| !is_met).map(|(_, resource)| resource)
}

/// Returns whether an engine can process the prompt of a generation in time.
///
/// Answers the load of engines that differ in speed: a generation that a slow one would start late
/// waits for another while that could still start it in time. After that, no engine can start it
/// sooner than one without pending prefill work.
fn is_timely(now: Instant, e: &Endpoint, candidate: &Candidate, rate: &PrefillRate) -> bool {
    let (pending, own) = (e.work().unread, candidate.work.unread);
    let time = prefill_time(now, e, rate, pending + own);
    if pending > 0 {
        return time <= candidate.left.mul_f64(PREFILL_TIME_SHARE);
    }
    let usual = rate.prefill_time(own);
    time <= candidate.left.max(usual) || candidate.left < usual
}

/// Returns the time that an engine takes to process `unread` prompt tokens.
pub fn prefill_time(now: Instant, e: &Endpoint, rate: &PrefillRate, unread: u64) -> Duration {
    e.speed.token_cost(now, rate.token_cost()).time(unread)
}

/// Engines of a service that cannot start a generation now, counted by the missing resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortage {
    /// Engines that accept new work.
    pub usable: u32,
    /// Engines without enough memory.
    pub memory: u32,
    /// Engines with enough memory that could not process the prompt in time.
    pub prefill: u32,
    /// Engines that lack only a free slot.
    pub slots: u32,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (usable, memory, prefill) = (self.usable, self.memory, self.prefill);
        write!(f, "engines={usable} no_memory={memory} no_time={prefill} no_place={}", self.slots)
    }
}

/// Counts the engines of a service that cannot start a generation, by missing resource.
pub fn shortage(
    now: Instant,
    pool: &Pool,
    request: &AdmissionRequest<'_>,
    rate: &PrefillRate,
) -> Shortage {
    let candidate = candidate(now, pool, request, rate);
    let mut sum = Shortage::default();
    for e in pool.endpoints.values().filter(|e| e.serves(request.need.service)) {
        sum.usable += 1;
        let missing = request
            .need
            .engine
            .and_then(|engine| missing_resource(now, e, engine, &candidate, rate));
        match missing {
            Some(Resource::Memory) => sum.memory += 1,
            Some(Resource::Prefill) => sum.prefill += 1,
            Some(Resource::Slot) => sum.slots += 1,
            None => {}
        }
    }
    sum
}

/// Returns how long a plain request waits for endpoints that are all paused until `end`; `None` if it could not be answered by its deadline then, which takes up to `target`.
///
/// Answers the load of a service whose endpoints all ask for a pause. Requests that can wait keep
/// their order: each follows the `ahead` ones before it at a distance, so that they do not all
/// arrive when the pause ends. The others are refused at once, since another instance may serve them.
pub fn pause_wait(
    now: Instant,
    end: Instant,
    deadline: Instant,
    target: Duration,
    ahead: usize,
) -> Option<Duration> {
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    let wait = end.saturating_duration_since(now) + PAUSE_SPACING.saturating_mul(ahead);
    (now + wait + target <= deadline).then_some(wait)
}

/// Returns the time after which a refused caller should retry: late enough for the present queue
/// to drain, and early enough that the caller still retries.
fn retry_after(now: Instant, request: &AdmissionRequest<'_>) -> Duration {
    /// Longest delay, as a share of the caller's remaining time. Callers do not retry after longer
    /// delays.
    const MAX_RETRY_SHARE: f64 = 0.3;
    let left = request.deadline.saturating_duration_since(now);
    let factor =
        (RETRY_FACTOR + RETRY_FACTOR_PER_WAITER * request.queue_len as f64).min(MAX_RETRY_FACTOR);
    request.target.mul_f64(factor).min(left.mul_f64(MAX_RETRY_SHARE))
}
