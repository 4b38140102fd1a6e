//! Decides when a settings file is used, and how often it is logged that it is not.
//!
//! A file may be read while it is written. What looks cut off, or has faults, is used only after it
//! has stayed the same for a while.

mod file;
mod reader;

pub use file::{Content, SettingsFile};

use std::time::{Duration, Instant};

/// Time after which a file that stays the same is taken as it is.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Interval between two log lines with the same reason.
const SAME_REASON_INTERVAL: Duration = Duration::from_secs(10);
/// Shortest interval between two log lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Detects that the text of a file no longer changes.
#[derive(Debug, Default)]
pub struct Settled {
    /// Text that was read last, and when it was first read.
    last: Option<(Box<str>, Instant)>,
}

impl Settled {
    /// Returns whether `text`, read at `now`, has been the same for [`SETTLE_TIME`].
    pub fn step(&mut self, now: Instant, text: &str) -> bool {
        match &self.last {
            Some((last, since)) if **last == *text => {
                now.saturating_duration_since(*since) >= SETTLE_TIME
            }
            _ => {
                self.last = Some((text.into(), now));
                false
            }
        }
    }
}

/// Limits how often the reason for which a file is not used is logged.
#[derive(Debug, Default)]
pub struct Reasons {
    last: Option<(Box<str>, Instant)>,
}

impl Reasons {
    /// Returns whether to log `reason` at `now`, and counts it as logged if so.
    pub fn is_due(&mut self, now: Instant, reason: &str) -> bool {
        let is_due = self.last.as_ref().is_none_or(|(last, at)| {
            let is_same = **last == *reason;
            let interval = if is_same { SAME_REASON_INTERVAL } else { LINE_INTERVAL };
            now.saturating_duration_since(*at) >= interval
        });
        if is_due {
            self.last = Some((reason.into(), now));
        }
        is_due
    }

    /// Forgets what was logged, once the file is used.
    pub fn clear(&mut self) {
        self.last = None;
    }
}
