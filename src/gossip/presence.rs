//! Decides whether another instance is still there, by its registration and its messages.
//!
//! An instance that is cut off from the store alone loses its registration, and goes on to serve. It
//! depends on the others then, as they pass the changes of the store on.

use std::time::{Duration, Instant};

/// Time without a message after which an instance that is not registered counts as gone. It equals the
/// time to live of a registration, so that an instance that ends is not kept for longer than its
/// registration could be.
const SILENT_TIMEOUT: Duration = Duration::from_secs(15);

/// Signs that another instance is there.
#[derive(Debug, Clone, Copy, Default)]
pub struct Presence {
    is_registered: bool,
    /// When its last verified message arrived.
    heard: Option<Instant>,
}

impl Presence {
    /// Records that the store has its registration.
    pub fn register(&mut self) {
        self.is_registered = true;
    }

    /// Records that its registration has ended.
    pub fn unregister(&mut self) {
        self.is_registered = false;
    }

    /// Records a message that it has signed.
    pub fn record_message(&mut self, now: Instant) {
        self.heard = Some(now);
    }

    /// Returns whether it is registered.
    pub fn is_registered(&self) -> bool {
        self.is_registered
    }

    /// Returns whether it is neither registered nor heard from.
    pub fn is_gone(&self, now: Instant) -> bool {
        !self.is_registered && self.heard.is_none_or(|at| now >= at + SILENT_TIMEOUT)
    }
}
