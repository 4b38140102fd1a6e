//! Limits on requests, and why none was read.

use super::Fault;
use actix_http::error::ParseError;
use std::time::{Duration, Instant};

/// Limits on requests from callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    /// Largest request head in bytes.
    pub max_head: usize,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// Time that a caller may take for the head, and again for the body.
    pub arrival_timeout: Duration,
    /// Time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_head: 16 << 10,
            max_body: 4 << 20,
            arrival_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Time that a caller may take to send a part of a request. Delays of this process do not count: it has not
/// read meanwhile, and the kernel holds little for it.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    limit: Duration,
    begun: Instant,
    /// Sum of the delays of this process at the begin.
    delays: Duration,
}

impl Allowance {
    /// Begins with the first wait for the part; `delays` is the sum of all delays of this process so far.
    pub fn new(limit: Duration, begun: Instant, delays: Duration) -> Self {
        Allowance { limit, begun, delays }
    }

    /// Returns what is left of the time, zero once it is used up.
    pub fn left(&self, now: Instant, delays: Duration) -> Duration {
        let own = delays.saturating_sub(self.delays);
        let elapsed = now.saturating_duration_since(self.begun);
        self.limit.saturating_sub(elapsed.saturating_sub(own))
    }
}

/// Reason why no request was read.
#[derive(Debug)]
pub enum ReadError {
    /// The caller closed the connection, or left it idle.
    Closed,
    /// The head or the body did not arrive in time.
    Slow,
    /// The bytes break a rule of HTTP/1.1.
    Malformed(Fault),
    /// The codec refuses the head.
    Refused(ParseError),
    /// The head exceeds [`RequestLimits::max_head`].
    HeadTooLarge,
    /// The body exceeds [`RequestLimits::max_body`].
    BodyTooLarge,
    /// There is no memory for the head or the body.
    NoMemory,
}

impl From<Fault> for ReadError {
    fn from(rule: Fault) -> ReadError {
        match rule {
            Fault::HeadSize => ReadError::HeadTooLarge,
            rule => ReadError::Malformed(rule),
        }
    }
}
