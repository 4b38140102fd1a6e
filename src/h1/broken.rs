//! Why a response is incomplete.

use super::Fault;
use std::fmt;
use std::io::ErrorKind;

/// Reason why a response is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Reading from the connection failed.
    Read(ErrorKind),
    /// Sending the request failed before the end of the connection. The failure takes the error of
    /// the socket, so that a reset looks like an end in order to the next read.
    Write(ErrorKind),
    /// The connection was closed in order before the end of the response.
    Early,
    /// The bytes are not a valid response, or the response is too large.
    Malformed(Fault),
    /// There is no memory for more of the response.
    NoMemory,
}

impl Broken {
    /// Returns whether the other side of the connection did not answer for too long.
    pub fn is_timeout(self) -> bool {
        matches!(self, Broken::Read(ErrorKind::TimedOut) | Broken::Write(ErrorKind::TimedOut))
    }
}

impl From<Fault> for Broken {
    fn from(rule: Fault) -> Broken {
        Broken::Malformed(rule)
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Read(e) => write!(f, "connection lost in a read: {e}"),
            Broken::Write(e) => write!(f, "connection lost in a write: {e}"),
            Broken::Early => f.write_str("connection closed before the end of the response"),
            Broken::Malformed(rule) => write!(f, "malformed: {rule}"),
            Broken::NoMemory => f.write_str("no memory for more of the response"),
        }
    }
}
