//! Decides when a failed operation is tried again, and which failures are reported.

use std::time::{Duration, Instant};

/// Delay after the first failure.
const FIRST_DELAY: Duration = Duration::from_millis(20);
/// Longest delay.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// What follows a failure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Mean time until the next attempt.
    pub delay: Duration,
    /// Whether the failure is reported.
    pub is_reported: bool,
}

/// Consecutive failures of an operation.
#[derive(Debug)]
pub struct Failures {
    begun: Instant,
    count: u32,
    reported: Option<Instant>,
}

impl Failures {
    /// Starts without a failure.
    pub fn new(now: Instant) -> Self {
        Failures { begun: now, count: 0, reported: None }
    }

    /// Records a failure.
    pub fn record(&mut self, now: Instant) -> Step {
        let delay = FIRST_DELAY.saturating_mul(1 << self.count.min(8)).min(MAX_DELAY);
        self.count = self.count.saturating_add(1);
        let is_reported = self.reported.is_none_or(|at| now >= at + REPORT_INTERVAL);
        if is_reported {
            self.reported = Some(now);
        }
        Step { delay, is_reported }
    }

    /// Records a success. The rate of reports stays bounded.
    pub fn reset(&mut self) {
        self.count = 0;
    }

    /// Returns the number of failures since the last success.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the time since the start.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.begun)
    }
}
