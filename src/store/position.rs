//! Positions in the history of a store that may come back from an older copy of itself.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of times that the store has come back from an older copy.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl Era {
    /// Returns whether this is the first era; messages leave it out.
    pub fn is_first(&self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    /// Parses a decimal number.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an unsigned 64-bit integer.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Era)
    }
}

/// Position in the history of the store. A later era gives out the same revisions again, so the era
/// is compared first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era in which the revision was given out.
    pub era: Era,
    /// Revision of the store.
    pub revision: u64,
}

impl Position {
    /// Creates a position.
    pub fn new(era: Era, revision: u64) -> Position {
        Position { era, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// Reason why a text is not a position.
#[derive(Debug, PartialEq)]
pub enum PositionError {
    /// The text has no dot between era and revision.
    Separator,
    /// The era or the revision is not a number.
    Number(ParseIntError),
}

impl FromStr for Position {
    type Err = PositionError;

    /// Parses the form of the `Display` output, `ERA.REVISION`.
    ///
    /// # Errors
    ///
    /// Returns [`PositionError`] if the text does not have this form.
    fn from_str(s: &str) -> Result<Self, PositionError> {
        let (era, revision) = s.split_once('.').ok_or(PositionError::Separator)?;
        let era = era.parse().map_err(PositionError::Number)?;
        Ok(Position { era, revision: revision.parse().map_err(PositionError::Number)? })
    }
}
