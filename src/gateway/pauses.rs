//! Records how long prompts and other work keep streams and prompts waiting at engines.

use super::Gateway;
use super::begin::Segment;
use super::job::Job;
use crate::clock;
use crate::pool::PoolKey;
use crate::prompts::Size;
use crate::speed::Speed;
use std::time::{Duration, Instant};

/// Records the time since the event before, `last`, of a stream, if its engine states its slowness.
/// The first event after a migration does not count.
pub fn record_pause(
    gw: &Gateway,
    now: Instant,
    job: &Job,
    segment: &Segment,
    last: Option<Instant>,
) {
    let Some(last) = last.filter(|t| *t >= segment.sent) else { return };
    let pool = gw.pool.borrow();
    let speed = pool.endpoints.get(segment.guard.key).map(|e| e.speed).filter(Speed::is_stated);
    if let Some(speed) = speed {
        let mut pauses = gw.pauses.borrow_mut();
        let of_service = pauses.entry(job.service.clone()).or_default();
        of_service.observe(now, now.saturating_duration_since(last), speed.usual(now));
    }
}

/// Records the longest pause of a stream that has ended on an engine.
pub fn record_stream(gw: &Gateway, job: &Job, key: PoolKey, longest: Duration) {
    metrics::histogram!("pause_seconds").record(longest.as_secs_f64());
    if longest <= job.route.max_gap {
        return;
    }
    let now = clock::now();
    let tolerated = job.tolerated(gw, now);
    let usual = gw.pool.borrow().endpoints.get(key).map(|e| e.speed.usual(now));
    let is_slow = usual.zip(tolerated).is_some_and(|(usual, tolerated)| usual > tolerated);
    metrics::counter!("long_pauses_total", "slow" => is_slow.to_string()).increment(1);
}

/// Records how long a prompt whose first event came `took` after it was sent to its engine was kept
/// waiting there, beyond its own prefill time.
pub fn record_wait(gw: &Gateway, job: &Job, took: Duration) {
    let rate = gw.prefill_rates.borrow().get(&job.service).copied().unwrap_or_default();
    let own_prefill = rate.prefill_time(job.expected_work().unread);
    let size = Size::of(own_prefill, job.route.target_latency);
    metrics::histogram!("prompt_wait_seconds", "size" => size.to_string())
        .record(took.saturating_sub(own_prefill).as_secs_f64());
}
