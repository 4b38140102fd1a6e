//! Decides when to ask another instance for the operators' configuration.
//!
//! Load it answers: an instance that is cut off from the store alone. All messages between
//! instances carry the version that their sender has in force. Who lags behind for longer than a
//! read of the store takes asks one that does not.

use crate::id::InstanceId;
use std::time::{Duration, Instant};

/// Time that a newer version may take to come from the store: readers pass on a change at once,
/// and a read after it takes tens of milliseconds.
const PATIENCE: Duration = Duration::from_millis(400);

/// Longest time between two tries: one that no instance can hand on is not asked for all day.
const PATIENCE_MOST: Duration = Duration::from_millis(6400);

/// The newest version that another instance has in force.
#[derive(Debug)]
struct Seen {
    version: u64,
    from: InstanceId,
    /// When it is time to ask.
    due: Instant,
    /// Time to the next try after that.
    pause: Duration,
}

/// Versions of other instances.
#[derive(Debug, Default)]
pub struct ConfigPull {
    seen: Option<Seen>,
}

impl ConfigPull {
    /// Takes over the version that another instance has in force. The latest sender is the one
    /// that is asked, so that tries after a failure go elsewhere.
    pub fn note_version(&mut self, now: Instant, from: &InstanceId, version: u64) {
        match &mut self.seen {
            Some(s) if s.version > version => {}
            // A later version does not put off what is due: changes may come faster than that.
            Some(s) => {
                if version > s.version {
                    s.pause = PATIENCE;
                }
                (s.version, s.from) = (version, from.clone());
            }
            None => {
                let (from, due) = (from.clone(), now + PATIENCE);
                self.seen = Some(Seen { version, from, due, pause: PATIENCE });
            }
        }
    }

    /// Returns whom to ask, if a version newer than `own` has been known for long enough.
    pub fn step(&mut self, now: Instant, own: u64) -> Option<InstanceId> {
        let seen = self.seen.as_mut()?;
        if seen.version <= own {
            self.seen = None;
            return None;
        }
        if now < seen.due {
            return None;
        }
        seen.due = now + seen.pause;
        seen.pause = (seen.pause * 2).min(PATIENCE_MOST);
        Some(seen.from.clone())
    }
}
