//! Logs that the store, or the instance list, cannot be read.

use super::Process;
use crate::event::Kind;
use crate::readiness::OutageReasons;
use crate::store::{CallFailure, StoreError};
use std::time::Instant;

/// What was logged of an outage. Its begin, each other reason and its end are one line each, and the
/// reasons have a bounded rate.
#[derive(Debug)]
pub struct OutageLog {
    reasons: OutageReasons,
    subject: &'static str,
}

impl OutageLog {
    /// Starts without an outage of what `subject` names.
    pub fn new(subject: &'static str) -> Self {
        OutageLog { reasons: OutageReasons::default(), subject }
    }

    /// Records that a call failed at `now`.
    pub fn fail(&mut self, process: &Process, now: Instant, e: StoreError, failure: &CallFailure) {
        if self.reasons.is_due(now, e, &failure.why) {
            process.event(Kind::StoreLost, self.subject, format_args!("why={e} {failure}"));
        }
    }

    /// Returns whether there is an outage.
    pub fn is_open(&self) -> bool {
        self.reasons.is_lost()
    }

    /// Records that the calls succeed.
    pub fn end(&mut self, process: &Process) {
        if self.reasons.end() {
            process.event(Kind::StoreBack, self.subject, "");
        }
    }
}
