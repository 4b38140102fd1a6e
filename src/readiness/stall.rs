//! Detects from another thread that the thread that serves does not run.

use super::{REPORT_INTERVAL, STALL_TIME};
use std::time::{Duration, Instant};

/// Watches a count that the thread that serves raises whenever it runs.
#[derive(Debug)]
pub struct StallWatch {
    beats: u64,
    /// When the count last changed.
    since: Instant,
    reported: Option<Instant>,
}

impl StallWatch {
    /// Starts with a thread that has just run.
    pub fn new(now: Instant) -> Self {
        StallWatch { beats: 0, since: now, reported: None }
    }

    /// Returns for how long the thread has not run, if that is to be logged at `now`.
    pub fn step(&mut self, now: Instant, beats: u64) -> Option<Duration> {
        if self.beats != beats {
            *self = StallWatch { beats, since: now, reported: None };
        }
        let time = now.saturating_duration_since(self.since);
        let is_due = self.reported.is_none_or(|at| now >= at + REPORT_INTERVAL);
        if time < STALL_TIME || !is_due {
            return None;
        }
        self.reported = Some(now);
        Some(time)
    }
}
