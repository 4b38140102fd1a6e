//! Requests that arrive while an instance has no configuration yet.
//!
//! Answers the load after a power failure of all instances: callers connect again as soon as the
//! processes run, and the configuration arrives some hundred milliseconds later, or once the store
//! answers again. A refused caller returns after a delay that nobody can choose well, mostly later
//! than its target. A request therefore waits in its connection for the configuration.

use std::time::{Duration, Instant};

/// Longest wait, which is the shortest time after which a caller gives up a stream without events.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Share of the time until the deadline that a request may wait. The rest is left to be served in,
/// or to try again.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Share of the remaining time after which a refused caller should retry, as the time until a
/// configuration arrives is unknown. Callers do not retry after longer delays.
const RETRY_SHARE: f64 = 0.25;
/// Retry delay for a caller that states no timeout.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Returns until when a request that arrived at `since` waits for a configuration at most; `None`
/// if it is refused at once. `timeout` is the time that its caller waits, if stated.
///
/// `has_peers` is set if other instances are known. One of them may have a configuration, and the
/// caller may reach it when it retries.
pub fn wait_end(since: Instant, timeout: Option<Duration>, has_peers: bool) -> Option<Instant> {
    let wait = timeout?.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT);
    (!has_peers).then(|| since + wait)
}

/// Returns the time after which a caller that is refused without a configuration should retry.
pub fn retry_after(now: Instant, since: Instant, timeout: Option<Duration>) -> Duration {
    let Some(timeout) = timeout else { return DEFAULT_RETRY_AFTER };
    (since + timeout).saturating_duration_since(now).mul_f64(RETRY_SHARE)
}
