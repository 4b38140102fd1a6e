//! Decides how long the store may take to answer.
//!
//! A silent connection to a store that answers promptly has to be noticed soon, and a store that is
//! slow has to be waited for.

use std::time::Duration;

/// Answer time up to which no additional time is needed.
const PROMPT_TIME: Duration = Duration::from_millis(300);
/// Time needed, as a multiple of the last answer time.
const RESERVE: u32 = 2;
/// Largest additional time.
const MAX_EXTRA: Duration = Duration::from_secs(10);
/// Additional time below which there is none.
const MIN_EXTRA: Duration = Duration::from_millis(100);

/// Time that calls have beyond their usual limits, by the answer times of the store.
#[derive(Debug, Default)]
pub struct Patience {
    extra: Duration,
    is_silent: bool,
}

impl Patience {
    /// Returns the time for the answer to a call that usually has `limit`.
    pub fn limit(&self, limit: Duration) -> Duration {
        limit.saturating_add(self.extra)
    }

    /// Returns whether the last call got no answer in its time.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Records an answer that took this time, without what the store was told to wait.
    pub fn record_answer(&mut self, time: Duration) {
        self.is_silent = false;
        let needed = time.saturating_sub(PROMPT_TIME).saturating_mul(RESERVE).min(MAX_EXTRA);
        self.extra = needed.max(self.reduced());
    }

    /// Records that there was no answer within `limit`. One below the additional time shows nothing.
    pub fn record_timeout(&mut self, limit: Duration) {
        if limit >= self.extra {
            self.is_silent = true;
            self.extra = self.reduced();
        }
    }

    fn reduced(&self) -> Duration {
        Some(self.extra / 2).filter(|extra| *extra >= MIN_EXTRA).unwrap_or_default()
    }
}
