//! Decides when to request the operators' configuration from another instance.
//!
//! This covers an instance that is the only one cut off from the store. Every message between
//! instances carries the configuration version that its sender has in force. An instance that
//! stays behind for longer than a read of the store takes requests the configuration from one
//! that is up to date.

use crate::id::InstanceId;
use std::time::{Duration, Instant};

/// Time allowed for a newer version to arrive from the store: readers forward a change at once,
/// and the read that follows takes tens of milliseconds.
const STORE_WAIT: Duration = Duration::from_millis(400);

/// Longest interval between two requests, which limits their rate when no instance can supply the
/// version.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(6400);

/// The newest version that another instance has in force.
#[derive(Debug)]
struct NewestVersion {
    version: u64,
    /// Instance that reported it last.
    from: InstanceId,
    /// When the next request is due.
    due: Instant,
    /// Interval between that request and the one after it.
    interval: Duration,
}

/// Tracks the newest version among the other instances, and when to request it.
#[derive(Debug, Default)]
pub struct ConfigPull {
    newest: Option<NewestVersion>,
}

impl ConfigPull {
    /// Records the version that another instance has in force. Requests go to the instance that
    /// reported the newest version last, so that a retry after a failure usually goes to a
    /// different one.
    pub fn note_version(&mut self, now: Instant, from: &InstanceId, version: u64) {
        match &mut self.newest {
            Some(n) if n.version > version => {}
            // A newer version does not postpone a pending request; otherwise versions that follow
            // each other quickly would postpone it forever.
            Some(n) => {
                if version > n.version {
                    n.interval = STORE_WAIT;
                }
                (n.version, n.from) = (version, from.clone());
            }
            None => {
                let (from, due) = (from.clone(), now + STORE_WAIT);
                self.newest = Some(NewestVersion { version, from, due, interval: STORE_WAIT });
            }
        }
    }

    /// Returns the instance to request the configuration from, if a version newer than `own` has
    /// been known for long enough.
    pub fn step(&mut self, now: Instant, own: u64) -> Option<InstanceId> {
        let newest = self.newest.as_mut()?;
        if newest.version <= own {
            self.newest = None;
            return None;
        }
        if now < newest.due {
            return None;
        }
        newest.due = now + newest.interval;
        newest.interval = (newest.interval * 2).min(MAX_RETRY_INTERVAL);
        Some(newest.from.clone())
    }
}
