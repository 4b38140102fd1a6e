//! Decides when a stopping instance takes no more requests, and when it exits.
//!
//! Answers the load of a planned stop: callers keep sending on open connections until the process is
//! gone. The connections are closed before the process exits, and it exits only once they are, so
//! that each request that was read is answered.

use std::time::{Duration, Instant};

/// Minimum time for which a stopping instance keeps accepting connections: the platform probes
/// readiness once a second and needs up to two probes to notice that the instance is not ready.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2600);
/// Time before the end of the grace period at which requests without a response are answered with a
/// failure.
const EXPIRY_RESERVE: Duration = Duration::from_millis(600);
/// Time before the end of the grace period at which the process exits in any case.
const EXIT_RESERVE: Duration = Duration::from_millis(200);
/// Time before the end of the grace period at which a stop is given up that has not come to its end.
const ABORT_RESERVE: Duration = Duration::from_millis(50);
/// Time that each stop has at least, however short the grace period.
const MIN_STOP_TIME: Duration = Duration::from_millis(1000);
/// Time from which no new generation starts: it would not end in time.
const MAX_START_TIME: Duration = Duration::from_millis(2500);
/// Part of the grace period after which no work starts that could outlast it.
const START_SHARE: u32 = 3;

/// How far the stop of an instance has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has not been asked to stop.
    #[default]
    Serving,
    /// It takes requests, and closes each connection after the next response.
    Draining,
    /// It accepts no connections and closes idle ones. Requests that were read are answered.
    Closing,
    /// Requests whose response has not begun are answered with a failure.
    Expiring,
    /// It reads nothing, and the process exits.
    Stopped,
}

/// What is open at an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Connections of callers.
    pub connections: u32,
    /// Requests in progress.
    pub requests: u32,
}

/// Stop of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    begun: Instant,
    /// Time from the signal until the process is killed.
    grace: Duration,
    phase: Phase,
}

impl Drain {
    /// Starts the stop of an instance that is killed `grace` after `now`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        Drain { begun: now, grace, phase: Phase::Draining }
    }

    /// Returns the phase that the instance is in now.
    pub fn step(&mut self, now: Instant, open: OpenWork) -> Phase {
        let age = now.saturating_duration_since(self.begun);
        let is_quiet = age >= MIN_DRAIN_TIME && open.requests == 0;
        let is_closed = self.phase >= Phase::Closing && open.connections == 0;
        let reached = if is_closed || age >= self.grace.saturating_sub(EXIT_RESERVE) {
            Phase::Stopped
        } else if now >= self.expiry() {
            Phase::Expiring
        } else if is_quiet {
            Phase::Closing
        } else {
            Phase::Draining
        };
        self.phase = self.phase.max(reached);
        self.phase
    }

    /// Returns when requests without a response are answered with a failure.
    pub fn expiry(&self) -> Instant {
        self.begun + self.grace.saturating_sub(EXPIRY_RESERVE)
    }

    /// Returns when the stop is given up if it has not come to its end.
    pub fn abort(&self) -> Instant {
        self.begun + self.grace.saturating_sub(ABORT_RESERVE).max(MIN_STOP_TIME)
    }

    /// Returns whether a request that was read at `now` is refused since it may not end in time: one
    /// whose deadline is after the expiry, or a generation, which callers await for longer.
    pub fn refuses(&self, now: Instant, deadline: Instant, is_generation: bool) -> bool {
        let is_late = now >= self.begun + MAX_START_TIME.min(self.grace / START_SHARE);
        is_late && (is_generation || deadline > self.expiry())
    }
}
