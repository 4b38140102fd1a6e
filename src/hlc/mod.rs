//! A hybrid logical clock: stamps whose order agrees with cause and effect across processes.
//!
//! After Kulkarni et al., "Logical Physical Clocks", 2014.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A stamp; a later event that knows of an earlier one has the greater stamp.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Greatest wall-clock time seen, in microseconds since the Unix epoch.
    pub micros: u64,
    /// Counts events within one microsecond.
    pub count: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}.{}", self.micros / 1_000_000, self.micros % 1_000_000, self.count)
    }
}

/// The clock of one process.
#[derive(Debug, Default)]
pub struct Hlc {
    last: Stamp,
}

impl Hlc {
    /// Stamps a local event or a message about to be sent.
    pub fn tick(&mut self, wall: Duration) -> Stamp {
        let micros = wall.as_micros() as u64;
        self.last = if micros > self.last.micros {
            Stamp { micros, count: 0 }
        } else {
            Stamp { micros: self.last.micros, count: self.last.count + 1 }
        };
        self.last
    }

    /// Takes over the stamp of a message, so that what follows is later than it.
    pub fn observe(&mut self, wall: Duration, seen: Stamp) -> Stamp {
        self.last = self.last.max(seen);
        self.tick(wall)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_follows_a_message_is_later_even_with_a_slow_clock(walls in proptest::collection::vec(0u64..1000, 2..40)) {
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
