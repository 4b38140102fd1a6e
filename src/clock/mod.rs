//! Access to the system clocks. Decision logic does not call it but takes the current time as an
//! argument, which makes it testable.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the current time of the monotonic clock.
pub fn now() -> Instant {
    Instant::now()
}

/// Returns the wall-clock time since the Unix epoch, or zero if the clock is set before it.
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
