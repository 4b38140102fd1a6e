//! Names failed calls to the store and the instance list in log and metrics.

use crate::h1::{Broken, Fault, FetchError};
use std::cell::RefCell;
use std::fmt::{self, Display};
use std::rc::Rc;
use std::sync::Arc;

/// Most bytes of the target, and of the reason, of a failed call in the log. Both may have text from
/// outside, and an event has a limit for its whole detail.
const MAX_FAILURE_BYTES: usize = 150;

/// A call that failed.
#[derive(Debug, Clone, Default)]
pub struct CallFailure {
    target: Arc<str>,
    /// Reason; empty if no call has failed.
    pub why: Arc<str>,
}

impl CallFailure {
    /// Creates the record of a call to `target`, with the start of its reason.
    pub fn new(target: &str, reason: impl Display) -> Self {
        CallFailure { target: shorten(target), why: shorten(&reason.to_string()) }
    }

    /// Returns whether no call has failed.
    pub fn is_empty(&self) -> bool {
        self.why.is_empty()
    }
}

impl Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failure={:?} call={:?}", self.why, self.target)
    }
}

fn shorten(text: &str) -> Arc<str> {
    text[..text.floor_char_boundary(MAX_FAILURE_BYTES)].into()
}

/// Returns the label in metrics of a call without a whole response.
pub fn failure_label(e: &FetchError) -> &'static str {
    match e {
        FetchError::Unsent(_) => "unreached",
        FetchError::Broken(Broken::Malformed(Fault::BodySize)) => "too-large",
        FetchError::Broken(_) => "broken",
        FetchError::Slow => "slow",
    }
}

/// Outcome of the last call of a client, whose failures a metric counts.
#[derive(Debug, Clone)]
pub(super) struct LastCall {
    failure: Rc<RefCell<Option<CallFailure>>>,
    /// Name of the metric.
    counter: &'static str,
}

impl LastCall {
    /// Starts without a call.
    pub fn new(counter: &'static str) -> Self {
        LastCall { failure: Rc::default(), counter }
    }

    /// Records and counts a failure, with the label `why` in the metric.
    pub fn fail(&self, target: &str, why: impl Into<metrics::SharedString>, reason: impl Display) {
        metrics::counter!(self.counter, "why" => why.into()).increment(1);
        *self.failure.borrow_mut() = Some(CallFailure::new(target, reason));
    }

    /// Records a success.
    pub fn succeed(&self) {
        *self.failure.borrow_mut() = None;
    }

    /// Returns the failure; empty if the call succeeded.
    pub fn failure(&self) -> CallFailure {
        self.failure.borrow().clone().unwrap_or_default()
    }
}
