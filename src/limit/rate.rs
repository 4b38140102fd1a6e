//! Rates of requests.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

/// Longest time that a wait for requests at a rate is computed as.
const MAX_TIME: Duration = Duration::from_secs(3600);

/// Requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(f32);

impl Rate {
    /// Rate of nothing.
    pub const ZERO: Rate = Rate(0.0);

    /// Returns a rate in requests per second; negative ones count as zero.
    pub fn per_second(n: f64) -> Rate {
        Rate(n.max(0.0) as f32)
    }

    /// Returns the number of requests in a second.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0)
    }

    /// Returns the number of requests in a time.
    pub fn over(self, time: Duration) -> f64 {
        self.as_f64() * time.as_secs_f64()
    }

    /// Returns a multiple of this rate.
    pub fn times(self, factor: f64) -> Rate {
        Rate::per_second(self.as_f64() * factor)
    }

    /// Returns the time in which `n` requests accrue, an hour at most.
    pub fn time_for(self, n: f64) -> Duration {
        let time = Duration::try_from_secs_f64(n.max(0.0) / self.as_f64());
        time.map_or(MAX_TIME, |t| t.min(MAX_TIME))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Why a text is no [`Rate`].
#[derive(Debug, PartialEq)]
pub enum RateError {
    /// The text is not a number.
    Number(ParseFloatError),
    /// The number is negative or not finite.
    Range(f32),
}

impl fmt::Display for RateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RateError::Number(e) => write!(f, "{e}"),
            RateError::Range(n) => write!(f, "{n} is not a finite number of at least 0"),
        }
    }
}

impl FromStr for Rate {
    type Err = RateError;

    /// Reads a decimal number of requests per second; a trailing `/s` may be left out.
    ///
    /// # Errors
    ///
    /// Returns [`RateError`] if the text is not a finite decimal number of at least 0.
    fn from_str(s: &str) -> Result<Self, RateError> {
        let n: f32 = s.trim_end_matches("/s").parse().map_err(RateError::Number)?;
        if n.is_finite() && n >= 0.0 { Ok(Rate(n)) } else { Err(RateError::Range(n)) }
    }
}
