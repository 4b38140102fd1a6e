//! Timing of a stream, and how it ends.

use super::attempt::AttemptError;
use crate::h1::Broken;
use crate::speed::Slowness;
use std::fmt;
use std::time::{Duration, Instant};

/// Timing of a stream's events, for the log and the metrics.
#[derive(Debug, Default)]
pub struct StreamStats {
    /// Events sent to the caller.
    pub events: u32,
    /// When the latest events arrived.
    pub last_event: Option<Instant>,
    /// Time from the request to the first event.
    pub first: Duration,
    /// Longest pause between two events.
    pub pause: Duration,
    /// Completed migrations.
    pub moves: u32,
    /// Time from the request until it was sent to the first engine.
    pub sent: Duration,
    /// Time from the request until the head of that engine's response.
    pub head: Duration,
    /// Prompt tokens not yet read by that engine at the time of sending, including its own.
    pub unread: u64,
    /// Memory in tokens expected to be needed on that engine, including its own.
    pub held: u64,
    /// Slowness of that engine at the time of the first event, if it states that.
    pub slowness: Option<Slowness>,
    /// Bytes after the last complete event when the response of an engine ended.
    pub rest: usize,
}

impl StreamStats {
    /// Records that events have arrived.
    pub fn record(&mut self, since: Instant, now: Instant, events: u32) {
        match self.last_event {
            None => self.first = now.saturating_duration_since(since),
            Some(t) => self.pause = self.pause.max(now.saturating_duration_since(t)),
        }
        self.last_event = Some(now);
        self.events += events;
    }
}

impl fmt::Display for StreamStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (first, pause) = (self.first.as_millis(), self.pause.as_millis());
        let (events, moves) = (self.events, self.moves);
        let (sent, unread, held) = (self.sent.as_millis(), self.unread, self.held);
        let (head, rest) = (self.head.as_millis(), self.rest);
        write!(f, "events={events} first_ms={first} pause_ms={pause} moves={moves} ")?;
        write!(f, "sent_ms={sent} head_ms={head} unread={unread} held={held} rest={rest}")?;
        self.slowness.map_or(Ok(()), |s| write!(f, " slowness={s}"))
    }
}

/// Why a stream could not be completed.
#[derive(Debug)]
pub enum Failure {
    /// The connection to the engine broke or its data was malformed.
    Cut(Broken),
    /// The caller does not read, or has disconnected.
    Unread,
    /// The deadline has passed.
    Late,
    /// The event ids have a gap.
    Gap,
    /// The migration failed, for the reason in the text.
    Unmoved(&'static str),
    /// The attempt to resume on the target engine failed.
    Refused(AttemptError),
    /// The target engine responded with this error status.
    Failed(u16),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Cut(why) => write!(f, "{why}"),
            Failure::Unread => f.write_str("unread"),
            Failure::Late => f.write_str("late"),
            Failure::Gap => f.write_str("gap in the event ids"),
            Failure::Unmoved(why) => f.write_str(why),
            Failure::Refused(e) => write!(f, "attempt to resume on the target engine failed: {e}"),
            Failure::Failed(status) => write!(f, "target engine responded with status {status}"),
        }
    }
}

/// How a segment ended.
#[derive(Debug)]
pub enum SegmentEnd {
    /// The response is complete.
    Complete,
    /// The connection ended after an event, at the end of the response or because a migration has
    /// stopped the generation.
    Closed,
    /// The engine stopped the generation for a migration, or the connection broke.
    Interrupted(Broken),
    /// The caller has disconnected.
    CallerGone,
    /// The stream cannot be completed.
    Failed(Failure),
}
