//! Decides when a task that has panicked starts again.

use std::time::Duration;

/// Delay after the first panic.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Longest delay. What comes in meanwhile waits in the kernel's queues.
const MAX_DELAY: Duration = Duration::from_millis(800);
/// Time that a task has to run for its next panic to count as the first one.
const SOUND_TIME: Duration = Duration::from_secs(10);

/// Panics of one task in a row.
#[derive(Debug, Default)]
pub struct Restarts {
    panics: u32,
}

impl Restarts {
    /// Returns the time after which a task starts again that `ran` for this time until it panicked.
    pub fn delay(&mut self, ran: Duration) -> Duration {
        self.panics = if ran >= SOUND_TIME { 1 } else { self.panics.saturating_add(1) };
        MIN_DELAY.saturating_mul(1 << (self.panics - 1).min(8)).min(MAX_DELAY)
    }
}
