//! Reads the clocks; everything that decides takes the present time as an argument.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the monotonic time.
pub fn now() -> Instant {
    Instant::now()
}

/// Returns the wall-clock time since the Unix epoch.
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
