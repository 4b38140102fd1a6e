//! Decides when all keys are read again, since changes cannot be followed.

use std::time::Duration;

/// Delay before the second full read in a row.
const FIRST_DELAY: Duration = Duration::from_millis(300);
/// Longest delay, so that changes apply in time where only full reads show them.
const MAX_DELAY: Duration = Duration::from_millis(1200);

/// Full reads in a row, after each of which changes could not be followed either.
#[derive(Debug, Default)]
pub struct Rereads {
    count: u32,
}

impl Rereads {
    /// Returns the time until the next full read. The first one in a row is due at once.
    pub fn delay(&mut self) -> Duration {
        let doublings = self.count.checked_sub(1);
        self.count = self.count.saturating_add(1);
        doublings
            .map_or(Duration::ZERO, |n| FIRST_DELAY.saturating_mul(1 << n.min(8)).min(MAX_DELAY))
    }

    /// Records that changes could be followed.
    pub fn reset(&mut self) {
        self.count = 0;
    }
}
