//! Limits that endpoints state for the rate of their requests.
//!
//! An endpoint in need states how many requests a second it takes from all instances together.

mod rate;

pub use rate::{Rate, RateError};

use std::time::Instant;

/// What a response states about the limit of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stated {
    /// There is no limit.
    Unlimited,
    /// The endpoint takes this rate of requests from all instances together.
    Limited(Rate),
    /// The statement cannot be read, which changes nothing.
    Unreadable,
}

/// A limit as known to an instance, or its absence, and the time for which that is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Known {
    /// Limit; `None` if the endpoint has none.
    pub limit: Option<Rate>,
    /// When the endpoint stated it. For a limit this is when the response arrived, for the absence
    /// of one when the request was sent, so that neither is taken for newer than it is.
    pub at: Instant,
}
