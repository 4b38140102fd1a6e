//! Live migration of running generations from an engine that is shutting down: selects the target
//! and the time of each copy.
//!
//! Engines are reclaimed at short notice with many generations on each. The copies of their memory
//! queue on the links of both engines, first come, first served. A generation pauses only for its
//! last copy, which is short unless it queues behind the first copies of other generations.
//! Therefore first copies are distributed over the engines, and last copies wait until the links
//! are free, as far as the notice allows.

mod departing;
mod links;
mod polls;

pub use departing::ends_in_time;
pub use links::{LinkScheduler, TransferId, TransferRequest, Verdict};
pub use polls::{POLL_INTERVAL, PollSchedule, poll_interval};

use crate::balance::Speeds;
use crate::id::{DataCentre, ServiceName};
use crate::pool::{Endpoint, Pool, PoolKey};
use crate::route::Engine;
use std::time::{Duration, Instant};

/// Notice period assumed if the engine does not report how much time it has left.
const DEFAULT_NOTICE: Duration = Duration::from_millis(1400);
/// Age that a report of an engine may have when it is read; deducted from the remaining time.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time reserved for the last copy and for resuming on the target.
const LAST_COPY_RESERVE: Duration = Duration::from_millis(80);
/// Share of an engine's memory above which it is not considered as a target. It exceeds 1 because
/// expected needs are higher than the memory in use, and the engine itself refuses a copy that does
/// not fit.
const MAX_MEMORY_SHARE: f64 = 1.3;
/// Cost of a target in another data centre, as a share of its memory: copies take twice as long.
const REMOTE_COST: f64 = 0.6;
/// Cost of a target on which work takes twice as long as on the mean of the service. A generation
/// stays there until its end, and each prompt that is processed beside it interrupts it for longer.
const SLOW_TARGET_COST: f64 = 1.0;
/// Tokens queued on the link of an engine that cost as much as a full memory.
const LINK_TOKENS_PER_COST: f64 = 14_000.0;
/// Factor by which a copy takes longer between data centres than within one.
const REMOTE_COPY_FACTOR: u32 = 2;
/// Longest delay before the first copy of a generation. Instances distribute the start of their
/// copies over this time so that each sees the copies of the others. Smaller generations start
/// earlier, so that more of them are migrated in time.
const MAX_COPY_DELAY: Duration = Duration::from_millis(20);
/// Factor by which copies take longer than the bare transfer on a link that others use too.
const LINK_SLACK: f64 = 1.15;
/// Most tokens queued on a link when another copy may start: enough to keep the link busy until the
/// next copy is announced to the other instances.
const MAX_QUEUED_TOKENS: u32 = 4_000;
/// Size in tokens from which a generation gets the full [`MAX_COPY_DELAY`].
const LARGE_GENERATION_TOKENS: f64 = 8_000.0;

/// Shutdown notice of an engine, as known to this instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShutdownNotice {
    /// When this instance learned that the engine is shutting down.
    pub since: Instant,
    /// Time left at `reported`; `None` if the engine did not report it.
    pub remaining: Option<Duration>,
    /// When the report of the engine was last requested.
    pub reported: Instant,
}

/// Returns the latest time at which a generation has to pause for its last copy, even if the links
/// are busy.
pub fn last_copy_deadline(notice: &ShutdownNotice) -> Instant {
    let reported = notice.remaining.map(|time| notice.reported + time.saturating_sub(REPORT_LAG));
    let shutdown = reported.unwrap_or(notice.since + DEFAULT_NOTICE);
    shutdown.checked_sub(LAST_COPY_RESERVE).unwrap_or(notice.since)
}

/// Returns the load of a copy on a link, in tokens copied within a data centre.
pub fn link_tokens(tokens: u32, is_remote: bool) -> u32 {
    if is_remote { tokens.saturating_mul(REMOTE_COPY_FACTOR) } else { tokens }
}

/// Returns the delay before the first copy of a generation of `tokens` tokens.
pub fn copy_delay(tokens: u32) -> Duration {
    MAX_COPY_DELAY.mul_f64((f64::from(tokens) / LARGE_GENERATION_TOKENS).min(1.0))
}

/// Returns whether a copy of `own` tokens may start on a link with `queued` tokens.
///
/// The queue has to be short, so that the copies ahead are known, and the copy has to end before
/// `deadline`, when the last copies start. A later one would only delay the last copies of other
/// generations, and all of them would be lost.
pub fn can_start_copy(
    now: Instant,
    deadline: Instant,
    engine: &Engine,
    queued: u32,
    own: u32,
) -> bool {
    if queued > MAX_QUEUED_TOKENS {
        return false;
    }
    copy_time(engine, queued.saturating_add(own)) <= deadline.saturating_duration_since(now)
}

/// Returns the time to copy `tokens` tokens over a link.
fn copy_time(engine: &Engine, tokens: u32) -> Duration {
    let bits = f64::from(tokens) * engine.token_bytes as f64 * 8.0;
    let secs = bits / engine.link_bps.max(1.0) * LINK_SLACK;
    Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
}

/// Cost of an engine that limits its requests, where a generation may have to wait for a permit
/// while it is stopped. It exceeds all other costs together.
const LIMITED_COST: f64 = 100.0;

/// A generation that has to be migrated.
#[derive(Debug)]
pub struct MoveRequest<'a> {
    /// Engine on which it runs.
    pub source: PoolKey,
    pub service: &'a ServiceName,
    /// Data centre of that engine.
    pub centre: &'a DataCentre,
    /// Memory that it is expected to need by its end, in tokens.
    pub held: u64,
}

/// Selects the target of a migration, an engine that is not in `tried`.
pub fn choose(
    now: Instant,
    pool: &Pool,
    request: &MoveRequest<'_>,
    engine: &Engine,
    tried: &[PoolKey],
) -> Option<PoolKey> {
    let fits = |k: &PoolKey, e: &Endpoint| {
        *k != request.source
            && e.accepts_moves(request.service)
            && !tried.contains(k)
            && e.open_requests(now) < e.listing.slots
            && memory_share(e, request.held, engine) <= MAX_MEMORY_SHARE
    };
    let speeds = Speeds::of(now, pool, request.service);
    let cost = |e: &Endpoint| {
        target_cost(e, request.centre, request.held, engine) + slow_cost(now, speeds.as_ref(), e)
    };
    pool.endpoints
        .iter()
        .filter(|(k, e)| fits(k, e))
        .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))
        .map(|(k, _)| k)
}

/// Returns the cost of an engine as the target of a generation that runs in `centre` and needs
/// `held` tokens of memory.
fn target_cost(e: &Endpoint, centre: &DataCentre, held: u64, engine: &Engine) -> f64 {
    let remote = if e.listing.centre == *centre { 0.0 } else { REMOTE_COST };
    let link = f64::from(e.work().copies) / LINK_TOKENS_PER_COST;
    let limited = if e.is_limited() { LIMITED_COST } else { 0.0 };
    memory_share(e, held, engine) + remote + link + limited
}

/// Returns the cost of an engine as a target for its slowness.
fn slow_cost(now: Instant, speeds: Option<&Speeds>, e: &Endpoint) -> f64 {
    let slowness = speeds.map_or(1.0, |s| s.slowness(now, e));
    (slowness - 1.0).max(0.0) * SLOW_TARGET_COST
}

/// Returns the share of an engine's memory that is needed once it runs a generation that needs
/// `held` tokens.
fn memory_share(e: &Endpoint, held: u64, engine: &Engine) -> f64 {
    (e.work().held + held) as f64 / f64::from(engine.kv_capacity.0.max(1))
}
