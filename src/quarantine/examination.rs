//! Finds out whether an endpoint has crashed whose connection broke during a request.
//!
//! One look is not enough. An address may take connections for a while after the crash, or again
//! before the instance looks; an endpoint that is full closes new connections; one that is cut off
//! does not answer.

use std::fmt;
use std::time::{Duration, Instant};

/// Time after a closed connection until the next look.
const CLOSED_INTERVAL: Duration = Duration::from_millis(150);
/// Time after a look without a valid response until the next one.
const SILENT_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a response after which an endpoint that has closed its connections counts as
/// crashed.
const MAX_SILENCE: Duration = Duration::from_millis(1200);
/// Least time after the connection broke at which a sign of life counts. What was sent before may
/// still be on its way.
pub const LIFE_MARGIN: Duration = Duration::from_millis(100);

/// How the connection to an endpoint broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// The endpoint closed or reset it.
    Closed,
    /// The endpoint has not acknowledged what was sent. It may be cut off.
    Unreachable,
    /// It ended in order; whether the endpoint has crashed is not known.
    Ended,
}

/// What one look at an endpoint shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sight {
    /// It refuses connections.
    Refused,
    /// It closes connections without a response.
    Closed,
    /// It does not respond.
    Silent,
    /// Something takes its connections, and sends bytes that are no response.
    Unclear,
    /// It responds, and has not started anew as far as it says.
    Responding,
    /// It responds as another start, or as another endpoint.
    Restarted,
}

/// What the list of endpoints says of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// It is listed as before.
    Same,
    /// It is listed in another start.
    Restarted,
    /// It is not listed. Some endpoints that leave serve on for a while.
    Gone,
}

/// Outcome of an examination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It has crashed.
    Crashed,
    /// It serves on.
    Serving,
    /// It cannot be told.
    Unknown,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Crashed => "crashed",
            Verdict::Serving => "serving",
            Verdict::Unknown => "unknown",
        })
    }
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The endpoint is looked at again after this time.
    Look(Duration),
    /// The examination is over.
    Done(Verdict),
}

/// One look at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Look {
    /// When it began.
    pub began: Instant,
    /// What it shows.
    pub sight: Sight,
    /// What the list of endpoints says.
    pub listed: Listed,
    /// How the connections to the endpoint broke, as far as is known.
    pub cause: Break,
}

/// Tells from looks at an endpoint whether it has crashed.
#[derive(Debug, Default)]
pub struct Examination {
    /// When the first look without a valid response began.
    silent_since: Option<Instant>,
    /// Whether a look has found connections closed.
    was_closed: bool,
}

impl Examination {
    /// Records a look.
    pub fn record(&mut self, now: Instant, look: Look) -> Next {
        if look.listed == Listed::Restarted {
            return Next::Done(Verdict::Crashed);
        }
        match look.sight {
            Sight::Refused | Sight::Restarted => Next::Done(Verdict::Crashed),
            Sight::Responding => Next::Done(Verdict::Serving),
            Sight::Closed if self.was_closed || look.listed == Listed::Gone => {
                Next::Done(Verdict::Crashed)
            }
            Sight::Closed => {
                self.was_closed = true;
                Next::Look(CLOSED_INTERVAL)
            }
            Sight::Silent | Sight::Unclear => self.record_silence(now, look),
        }
    }

    /// Records a look without a valid response.
    fn record_silence(&mut self, now: Instant, look: Look) -> Next {
        let since = *self.silent_since.get_or_insert(look.began);
        if now < since + MAX_SILENCE {
            return Next::Look(SILENT_INTERVAL);
        }
        // An endpoint that is cut off closes no connection.
        let may_be_down = look.cause == Break::Closed || look.listed == Listed::Gone;
        let is_crashed = may_be_down && look.sight == Sight::Silent;
        Next::Done(if is_crashed { Verdict::Crashed } else { Verdict::Unknown })
    }
}
