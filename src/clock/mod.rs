//! Access to the system clocks. Decision logic does not call it but takes the current time as an
//! argument, which makes it testable.

mod lag;

pub use lag::Lag;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the current time of the monotonic clock.
pub fn now() -> Instant {
    Instant::now()
}

/// Returns the wall-clock time since the Unix epoch, or zero if the clock is set before it.
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns for how long the machine was suspended since it was booted; 0 where that is not known.
/// [`now`] does not count this time.
pub fn suspended() -> Duration {
    let all = read(libc::CLOCK_BOOTTIME);
    // Read last, so that a delay between the two is not taken for a suspension.
    let running = read(libc::CLOCK_MONOTONIC);
    all.saturating_sub(running)
}

/// Returns the time of a clock; 0 if the system does not have it.
fn read(clock: libc::clockid_t) -> Duration {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for writes for the duration of the call.
    unsafe { libc::clock_gettime(clock, &mut time) };
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(secs, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Shortest suspension that counts. What is read before may be too low by a delay of the process.
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// Detects that the machine was suspended.
#[derive(Debug)]
pub struct Suspension {
    /// Suspended time that is taken into account.
    seen: Duration,
}

impl Suspension {
    /// Starts with the time for which the machine was suspended before.
    pub fn new(suspended: Duration) -> Self {
        Suspension { seen: suspended }
    }

    /// Returns for how long the machine was suspended since the last suspension that this returned;
    /// `suspended` is the time since it was booted.
    pub fn update(&mut self, suspended: Duration) -> Option<Duration> {
        let time = suspended.saturating_sub(self.seen);
        if time < MIN_SUSPENSION {
            return None;
        }
        self.seen = suspended;
        Some(time)
    }
}
