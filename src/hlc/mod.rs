//! A hybrid logical clock, whose timestamps order causally related events across processes.
//!
//! Follows Kulkarni et al., "Logical Physical Clocks", 2014.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A timestamp of the hybrid logical clock. If one event causally follows another, its stamp is
/// greater.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Greatest wall-clock time known so far, in microseconds since the Unix epoch.
    pub micros: u64,
    /// Distinguishes and orders events with the same `micros`.
    pub count: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}.{}", self.micros / 1_000_000, self.micros % 1_000_000, self.count)
    }
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Hlc {
    last: Stamp,
}

impl Hlc {
    /// Returns the stamp of a local event or of a message about to be sent.
    ///
    /// It is greater than all previous stamps, even if the wall clock was set back.
    pub fn tick(&mut self, wall: Duration) -> Stamp {
        let micros = wall.as_micros() as u64;
        self.last = match self.last.count.checked_add(1) {
            _ if micros > self.last.micros => Stamp { micros, count: 0 },
            Some(count) => Stamp { micros: self.last.micros, count },
            None => Stamp { micros: self.last.micros.saturating_add(1), count: 0 },
        };
        self.last
    }

    /// Advances the clock past the stamp of a received message and returns the new stamp.
    pub fn observe(&mut self, wall: Duration, received: Stamp) -> Stamp {
        self.last = self.last.max(received);
        self.tick(wall)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn stamps_increase_across_messages_despite_slow_clocks(walls in proptest::collection::vec(0u64..1000, 2..40)) {
            let mut clocks = [Hlc::default(), Hlc::default()];
            let mut last = Stamp::default();
            for (ix, w) in walls.iter().enumerate() {
                let s = clocks[ix % 2].observe(Duration::from_micros(*w), last);
                prop_assert!(s > last);
                last = s;
            }
        }
    }
}
