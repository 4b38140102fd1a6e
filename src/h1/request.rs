//! Limits on requests, and why none was read.

use super::Fault;
use actix_http::error::ParseError;
use std::time::Duration;

/// Limits on requests from callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    /// Largest request head in bytes.
    pub max_head: usize,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// Time limit for the head to arrive, and again for the body.
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
