//! What the crashes at which a part was present show of it.
//!
//! Engines also crash for other reasons, often several at a time, so crashes at the same moment count
//! once, unless many runs have been sound since: a sound part that was present at all of them is by
//! then most likely among those. Requests that their engines had not begun to answer count less.

use super::PartSuspects;
use super::parts::{OpenCrashes, Presence, SETTLE_TIME};
use crate::id::PartId;
use std::fmt;
use std::time::{Duration, Instant};

/// Number of crashes, at different moments, from which a part is refused.
pub const MAX_CRASHES: usize = 3;
/// Like [`MAX_CRASHES`], for crashes of engines that had not begun to answer a request with the part.
const MAX_WAITING_CRASHES: usize = 6;
/// The same, if many runs have been sound since the first of them.
const MIN_WAITING_CRASHES: usize = 4;
/// Number of crashes from which two moments suffice, or one if many runs have been sound since.
const MANY_CRASHES: usize = 5;
/// Number of sound runs that are many.
pub(super) const MANY_SOUND_RUNS: usize = 8;
/// Least time between two crashes at different moments.
const MOMENT: Duration = Duration::from_millis(700);
/// Crashes within this time of each other may have the same cause.
pub(super) const WAVE: Duration = Duration::from_millis(250);

/// Crashes that count for a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Counted {
    /// Those of engines that had begun to answer a request with it.
    Begun,
    /// All at which it was present.
    All,
}

impl Counted {
    /// Returns the number of crashes below which a part is not refused.
    fn min_crashes(self) -> usize {
        match self {
            Counted::Begun => MAX_CRASHES,
            Counted::All => MIN_WAITING_CRASHES,
        }
    }

    /// Returns whether a crash counts.
    pub fn includes(self, presence: &Presence) -> bool {
        self == Counted::All || presence.begun
    }
}

/// What the crashes of a part show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Evidence {
    /// Too few crashes.
    None,
    /// Enough of them, but nothing sound tells the part from the engines or from other parts.
    Open(Doubt),
    /// The part causes them.
    Enough,
}

/// Why a part with enough crashes is not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// No run has been sound since its first crash, so the engines may be at fault.
    Engines,
    /// Requests without it have another part that was present at all of its crashes.
    OtherPart,
    /// It was tried, and has not been present at a crash since.
    Trial,
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Doubt::Engines => "no-sound-run",
            Doubt::OtherPart => "other-part",
            Doubt::Trial => "trial",
        })
    }
}

impl PartSuspects {
    /// Returns what the open crashes of a part show. Without a sound run since the first, the
    /// engines rather than the part may be at fault.
    pub(super) fn evidence(
        &self,
        now: Instant,
        part: PartId,
        open: &OpenCrashes,
        counted: Counted,
    ) -> Evidence {
        if open.len() < counted.min_crashes() {
            return Evidence::None;
        }
        let mut crashes = self.attributed(open.values().copied().collect());
        crashes.retain(|at| now.saturating_duration_since(*at) >= SETTLE_TIME);
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return Evidence::None;
        };
        let has_many = crashes.len() >= MANY_CRASHES;
        let moments = count_moments(&crashes);
        let is_enough = match counted {
            Counted::Begun => moments >= MAX_CRASHES || has_many && moments > 1,
            Counted::All if self.has_many_sound(*first) => {
                moments >= MIN_WAITING_CRASHES || has_many && moments > 1
            }
            Counted::All => moments >= MAX_WAITING_CRASHES,
        };
        if !is_enough {
            let is_burst = has_many && self.has_many_sound(*last) && self.was_at_all(&crashes);
            return if is_burst { Evidence::Enough } else { Evidence::None };
        }
        match self.doubt(part, &crashes) {
            None => Evidence::Enough,
            Some(doubt) => Evidence::Open(doubt),
        }
    }

    /// Returns why these crashes do not show that a part causes them; `None` if they do.
    fn doubt(&self, part: PartId, crashes: &[Instant]) -> Option<Doubt> {
        let is_later = |sound: Instant| crashes.first().is_some_and(|first| sound > *first);
        if !self.sound_at.is_some_and(is_later) {
            return Some(Doubt::Engines);
        }
        if self.is_contested(part, crashes) {
            return Some(Doubt::OtherPart);
        }
        self.awaits_crash(part, crashes).then_some(Doubt::Trial)
    }

    /// Returns whether many sound runs have begun since `since`.
    fn has_many_sound(&self, since: Instant) -> bool {
        self.sounds.iter().filter(|begun| **begun > since).count() >= MANY_SOUND_RUNS
    }

    /// Returns whether a part was present at all crashes around its own, which are in the order of
    /// time.
    fn was_at_all(&self, crashes: &[Instant]) -> bool {
        crashes.iter().all(|at| count_near(*at, crashes) == count_near(*at, &self.timeline))
    }

    /// Returns whether requests without a part have one that was present at all of its crashes too,
    /// and no run has been sound since the second moment of these.
    fn is_contested(&self, part: PartId, crashes: &[Instant]) -> bool {
        let Some(first) = crashes.first() else { return false };
        let second = crashes.iter().find(|at| **at >= *first + MOMENT);
        if second.is_some_and(|second| self.sound_at.is_some_and(|sound| sound > *second)) {
            return false;
        }
        let is_near = |at: &Instant, c: &Presence| c.begun && distance(*at, c.at) < MOMENT;
        self.accused.iter().any(|(other, of_other)| {
            self.companions.are_separate(part, *other)
                && crashes.iter().all(|at| of_other.values().any(|c| is_near(at, c)))
        })
    }

    /// Returns those of the crashes of a part around which it was present at half of all or more, in
    /// the order of time.
    pub(super) fn attributed(&self, mut crashes: Vec<Instant>) -> Vec<Instant> {
        crashes.sort_unstable();
        let is_attributed =
            |at: &Instant| 2 * count_near(*at, &crashes) >= count_near(*at, &self.timeline);
        crashes.iter().filter(|at| is_attributed(at)).copied().collect()
    }
}

/// Counts the crashes of the same wave as one at `at`, among times in order.
fn count_near(at: Instant, times: &[Instant]) -> usize {
    let first = at.checked_sub(WAVE).map_or(0, |from| times.partition_point(|t| *t < from));
    times[first..].partition_point(|t| *t <= at + WAVE)
}

/// Returns the time between two instants in any order.
fn distance(a: Instant, b: Instant) -> Duration {
    a.max(b).saturating_duration_since(a.min(b))
}

/// Counts the moments of crashes in the order of time; those within [`MOMENT`] of the first are one.
fn count_moments(times: &[Instant]) -> usize {
    let mut count = 0;
    let mut last = None;
    for t in times {
        if last.is_none_or(|last| *t >= last + MOMENT) {
            count += 1;
            last = Some(*t);
        }
    }
    count
}
