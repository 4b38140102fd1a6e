//! Times that the platform, its callers and its endpoints state as numbers.

use std::time::Duration;

/// Longest time that is told from longer ones. It may be added to the present time several times, and
/// multiplied by small factors, without an overflow.
const MAX_TIME: Duration = Duration::from_secs(1 << 32);

/// Converts a number of seconds, at most [`MAX_TIME`]; `None` if that is no time.
pub fn seconds(secs: f64) -> Option<Duration> {
    let is_time = secs.is_finite() && secs >= 0.0;
    is_time.then(|| Duration::try_from_secs_f64(secs).map_or(MAX_TIME, |t| t.min(MAX_TIME)))
}

/// Converts a number of milliseconds, like [`seconds`].
pub fn millis(ms: f64) -> Option<Duration> {
    seconds(ms / 1e3)
}
