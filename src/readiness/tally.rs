//! Divides the time without readiness into whole seconds of each obstacle.

use super::Obstacle;
use std::time::Duration;

/// Nanoseconds of a second.
const SECOND_NANOS: i64 = 1_000_000_000;

/// Time that an obstacle has stood in the way.
#[derive(Debug)]
struct Part {
    obstacle: Obstacle,
    /// Time that is not counted, in nanoseconds; below 0 if more has been counted.
    uncounted: i64,
}

/// Time without readiness that is not counted yet.
///
/// The seconds that are counted add up to the whole time, less than a second short.
#[derive(Debug, Default)]
pub(super) struct Tally {
    parts: Vec<Part>,
}

impl Tally {
    /// Adds time of an obstacle. Returns an obstacle for each second that is counted: that with the
    /// most time that is not counted.
    pub(super) fn add(&mut self, obstacle: &Obstacle, time: Duration) -> Vec<Obstacle> {
        let nanos = i64::try_from(time.as_nanos()).unwrap_or(i64::MAX);
        match self.parts.iter_mut().find(|p| p.obstacle.has_name_of(obstacle)) {
            Some(part) => part.uncounted = part.uncounted.saturating_add(nanos),
            None => self.parts.push(Part { obstacle: obstacle.clone(), uncounted: nanos }),
        }
        std::iter::from_fn(|| self.count()).collect()
    }

    /// Counts a second if a whole one is left.
    fn count(&mut self) -> Option<Obstacle> {
        let uncounted = self.parts.iter().fold(0, |sum: i64, p| sum.saturating_add(p.uncounted));
        if uncounted < SECOND_NANOS {
            return None;
        }
        let most = self.parts.iter_mut().max_by_key(|p| p.uncounted)?;
        most.uncounted -= SECOND_NANOS;
        Some(most.obstacle.clone())
    }
}
