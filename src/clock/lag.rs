//! Measures how late a thread runs when its timers fire.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which delays are remembered, longer than most requests last.
const RETENTION: Duration = Duration::from_secs(10);
/// Shortest delay that is remembered. Timers are rounded to milliseconds.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Delays of a thread that runs at an interval. Long ones mean that the machine lacks cores, or that
/// the thread is busy with something long.
#[derive(Debug)]
pub struct Lag {
    /// Time at which the thread is to run next.
    due: Instant,
    /// When the thread ran late, and how late.
    delays: VecDeque<(Instant, Duration)>,
    /// Sum of all delays, those included that are no longer remembered.
    sum: Duration,
}

impl Lag {
    /// Starts with the time at which the thread is to run first.
    pub fn new(due: Instant) -> Self {
        Lag { due, delays: VecDeque::new(), sum: Duration::ZERO }
    }

    /// Records that the thread runs, and that it is to run again after `interval`. Returns how late
    /// it is.
    pub fn record(&mut self, now: Instant, interval: Duration) -> Duration {
        let delay = now.saturating_duration_since(self.due);
        self.due = now + interval;
        if delay >= MIN_DELAY {
            self.delays.push_back((now, delay));
            self.sum += delay;
        }
        while self.delays.front().is_some_and(|(at, _)| now > *at + RETENTION) {
            self.delays.pop_front();
        }
        delay
    }

    /// Returns the longest delay that ended after `since`, or that lasts.
    pub fn longest(&self, now: Instant, since: Instant) -> Duration {
        let ended = self.delays.iter().filter(|(at, _)| *at > since).map(|(_, delay)| *delay);
        let present = now.saturating_duration_since(self.due);
        ended.chain([present]).max().unwrap_or_default()
    }

    /// Returns the sum of all delays since the start, with one that lasts.
    pub fn total(&self, now: Instant) -> Duration {
        let present = now.saturating_duration_since(self.due);
        self.sum + if present >= MIN_DELAY { present } else { Duration::ZERO }
    }
}
