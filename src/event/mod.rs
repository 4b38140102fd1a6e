//! The numbered events of a process and the ring buffer that stores the newest of them.

mod wave;

pub use wave::{WaveEvent, WaveLog};

use crate::escape;
use crate::hlc::{Hlc, Stamp};
use crate::id::InstanceId;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Number of events stored by a process.
const MAX_EVENTS: usize = 8192;
/// Most bytes of the subject, and of the detail, of an event.
const MAX_TEXT_BYTES: usize = 512;

/// Returns the start of a text from outside, for the log.
pub fn shorten(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}

/// Returns the start of the detail of an event. A quoted value that is cut off ends with its quote.
fn shorten_detail(detail: &str) -> Cow<'_, str> {
    let start = shorten(detail);
    if start.len() == detail.len() {
        return Cow::Borrowed(start);
    }
    let (mut is_quoted, mut escape) = (false, None);
    for (ix, c) in start.char_indices() {
        match escape {
            Some(from) => {
                // An escape is one character, or a number in braces.
                let is_open = if ix == from + 1 { c == 'u' } else { c != '}' };
                escape = escape.filter(|_| is_open);
            }
            None if c == '\\' && is_quoted => escape = Some(ix),
            None => is_quoted ^= c == '"',
        }
    }
    match is_quoted {
        true => Cow::Owned(format!("{}\"", &start[..escape.unwrap_or(start.len())])),
        false => Cow::Borrowed(start),
    }
}

macro_rules! kinds {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal,)*) => {
        /// Kinds of events. A number is never reused for another meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Kind {
            $($(#[doc = $doc])* $name = $number,)*
        }

        impl Kind {
            /// All kinds, each with its number, name and doc comment.
            pub const ALL: &[(Kind, u16, &str, &str)] =
                &[$((Kind::$name, $number, stringify!($name), concat!($($doc),*)),)*];
        }
    };
}

kinds! {
    /// A process has started.
    Started = 100,
    /// A process accepts no new work and finishes the running work.
    Draining = 101,
    /// A process has finished shutting down and exits.
    Stopped = 102,
    /// Log lines were dropped because of the rate limit or a full queue.
    LinesDropped = 104,
    /// A process has reloaded its settings.
    Reloaded = 103,
    /// A stopping process closes idle connections and accepts no new ones.
    Closing = 105,
    /// A stopping process answers the requests that its endpoints have not answered.
    Expiring = 106,
    /// An address is listened on.
    Listening = 107,
    /// An address cannot be listened on yet, most likely as it is in use.
    PortBusy = 108,
    /// A settings file cannot be used as it is; the process waits, or replaces faulty fields.
    SettingsUnusable = 109,
    /// A process ends because of an error.
    Exiting = 113,
    /// A frame had an invalid length, signature or body and was dropped.
    FrameDropped = 110,
    /// A link to a peer came up, for the first time or after an outage.
    LinkUp = 111,
    /// A peer did not answer over its link in time, or is no longer registered.
    LinkSilent = 112,
    /// A task has panicked. A task that serves as long as the process runs starts again.
    Panicked = 114,
    /// The resident memory of a process is near the limit at which the platform kills it.
    MemoryHigh = 115,
    /// A process is not ready, or still is not, for the reason in the detail.
    NotReady = 116,
    /// A process is ready.
    Ready = 117,
    /// A peer is no longer registered, and stays one as long as it is heard from.
    LinkUnlisted = 118,
    /// A request was admitted by an entry.
    Admitted = 200,
    /// A request was refused before it had any effect.
    Refused = 201,
    /// An entry sent a generation to an endpoint.
    Placed = 202,
    /// A generation without a first token is placed on another endpoint.
    Replaced = 203,
    /// The first token of a generation reached the entry.
    FirstToken = 204,
    /// A generation ended and its complete response was sent to the caller.
    Completed = 205,
    /// A generation could not be continued, which was reported to its caller.
    Incomplete = 206,
    /// A caller resumed a generation.
    Resumed = 207,
    /// A generation was cancelled by its caller or because its caller disconnected.
    Cancelled = 208,
    /// A connection was closed because its caller reads too slowly.
    SlowReader = 209,
    /// Connections of callers that keep most were closed, as all together kept too much.
    Overfull = 210,
    /// A generation was given up as its first token was late; the detail has its sidecar's answer.
    GivenUp = 211,
    /// A sidecar queued a generation.
    Queued = 300,
    /// A sidecar started a generation on its engine.
    Begun = 301,
    /// A sidecar preempted a running generation to free engine memory.
    Held = 302,
    /// A sidecar continued a preempted generation on its engine.
    Continued = 303,
    /// The stream of a generation from its engine broke or stalled and is reopened.
    EngineSilent = 304,
    /// An engine has failed; its running generations are lost.
    EngineLost = 305,
    /// An engine answers again.
    EngineBack = 306,
    /// A document of an engine or a field of it cannot be read; logged once for each field.
    EngineUnreadable = 307,
    /// An endpoint was ejected after repeated failures.
    Ejected = 310,
    /// An ejected endpoint is used again on trial.
    Readmitted = 311,
    /// An endpoint turned a request away and asked for a pause.
    Paused = 312,
    /// An endpoint limited the rate of its requests, changed the limit or ended it.
    Limited = 313,
    /// An endpoint is cold and gets only what it tolerates.
    Cold = 314,
    /// An endpoint that was cold is used like the others again.
    Warm = 315,
    /// The content of a request is suspected of having crashed an endpoint.
    Suspected = 320,
    /// The content of a request or a part of its prompt is quarantined, as it crashed endpoints.
    Convicted = 321,
    /// A suspected content or part ran soundly and is cleared.
    Cleared = 322,
    /// An endpoint crashed, of which the shared parts of the prompts there are accused.
    Accused = 323,
    /// Requests with a part of their prompts wait, to find out whether it crashes engines.
    Tried = 324,
    /// An endpoint whose connection broke during a request was examined for a crash.
    Examined = 325,
    /// A part of prompts has crashed enough engines, but something tells against refusing it.
    Undecided = 326,
    /// A non-idempotent call was recorded and then started.
    CallStarted = 400,
    /// A non-idempotent call finished and its result was recorded.
    CallDone = 401,
    /// An idempotency key was sealed: its call has not run and never will.
    CallSealed = 402,
    /// It cannot be determined whether a non-idempotent call ran.
    CallUnknown = 403,
    /// A call was answered from the record without being run.
    CallReplayed = 404,
    /// A batch of idempotency keys was claimed or looked up in the store.
    CallClaimed = 405,
    /// The claims that went with a copy of the store are written again.
    ClaimsRestored = 406,
    /// A process adopted a version of the configuration.
    Adopted = 500,
    /// A submitted configuration was stored as the newest version.
    Accepted = 501,
    /// A configuration was rejected: it conflicts with a newer one or is invalid.
    Rejected = 502,
    /// The store, or what else the subject names, cannot be read, for the reason in the detail.
    StoreLost = 510,
    /// The store, or what else the subject names, can be read again.
    StoreBack = 511,
    /// The store has come back from an older copy of itself.
    StoreReturned = 512,
    /// The store names an older era than the one that counted, and steadily; it counts from now on.
    EraCorrected = 513,
    /// A process became the leader.
    Elected = 520,
    /// A process is no longer the leader.
    Deposed = 521,
    /// The leader ordered an engine to load or unload a model.
    Ordered = 522,
    /// A sidecar refused an order or a ticket request for an invalid fencing number or ticket.
    OrderRefused = 523,
    /// An entry added an endpoint to its view of the membership.
    Joined = 600,
    /// An endpoint is shutting down and gets no new work.
    Leaving = 601,
    /// An entry removed an endpoint from its view of the membership.
    Left = 602,
    /// A configuration in the store is invalid and was not adopted.
    TableRefused = 504,
    /// Parts of the adopted configuration cannot be read; they are left out or have defaults.
    TableFaulty = 505,
    /// An endpoint is no longer listed after a store outage; it is kept for a grace period.
    Lapsed = 603,
    /// A data centre is evacuated: its endpoints are sent no new requests.
    EvacuationBegun = 604,
    /// The evacuation of a data centre was taken back.
    EvacuationEnded = 605,
    /// No instance has a request open any more at the endpoints of an evacuated data centre.
    Emptied = 606,
    /// The entry of an endpoint in the store cannot be read; a known endpoint stays as it was listed.
    ListingUnreadable = 607,
    /// The migration of a generation failed.
    MoveFailed = 712,
    /// A migrated generation continues on another engine.
    MoveDone = 711,
    /// The migration of a running generation started, as its engine is shutting down.
    MoveBegun = 710,
    /// An endpoint did not begin to answer a request by its deadline.
    Unanswered = 705,
    /// A request was not sent to another endpoint because the retry budget is used up.
    RetryDenied = 707,
    /// The retry budget was charged for sending a request to another endpoint.
    Retried = 706,
    /// A request is retried after an endpoint did not serve it.
    Reoffered = 704,
    /// A caller disconnected before its response was complete.
    Abandoned = 703,
    /// A request that may have run ended without a complete response.
    Failed = 702,
    /// A request was refused without having run.
    TurnedAway = 701,
    /// An endpoint has answered a request completely.
    Answered = 700,
}

impl Kind {
    /// Returns the stable number, as printed in log lines and events.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Finds a kind by its number or, ignoring case, its name.
    pub fn find(s: &str) -> Option<Kind> {
        let n = s.parse::<u16>().ok();
        Kind::ALL.iter().find(|k| Some(k.1) == n || k.2.eq_ignore_ascii_case(s)).map(|k| k.0)
    }
}

/// An event as stored in the ring buffer and sent to other processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event, which orders events of different processes causally.
    pub at: Stamp,
    /// Instance of the process that recorded the event.
    pub instance: InstanceId,
    /// Determines the meaning of the subject and the detail.
    pub kind: Kind,
    /// Request, call, endpoint or version that the event concerns.
    pub subject: Arc<str>,
    /// Further information, mostly as `key=value` pairs; may be empty.
    pub detail: Arc<str>,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, n) = (self.kind, self.kind.number());
        let (subject, detail) = (escape::log_value(&self.subject), escape::line(&self.detail));
        write!(f, "{} {} {n} {kind:?} {subject} {detail}", self.at, self.instance)
    }
}

/// The newest events of one process, with the clock that stamps them.
#[derive(Debug)]
pub struct EventRing {
    /// Stamps events and outgoing messages.
    pub clock: Hlc,
    instance: InstanceId,
    events: VecDeque<Event>,
}

impl EventRing {
    /// Creates an empty ring buffer for the process on `instance`.
    pub fn new(instance: InstanceId) -> Self {
        EventRing { clock: Hlc::default(), instance, events: VecDeque::new() }
    }

    /// Stamps, stores and logs an event, evicting the oldest one if the buffer is full.
    pub fn push(&mut self, wall: Duration, kind: Kind, subject: &str, detail: &str) {
        let (subject, detail) = (shorten(subject), shorten_detail(detail));
        let at = self.clock.tick(wall);
        let event = Event {
            at,
            instance: self.instance.clone(),
            kind,
            subject: Arc::from(subject),
            detail: Arc::from(&*detail),
        };
        log(kind, subject, &detail);
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the newest `limit` events that match the filter, oldest first.
    pub fn select(&self, filter: &Filter, limit: usize) -> Vec<Event> {
        let mut found: Vec<Event> =
            self.events.iter().rev().filter(|e| filter.matches(e)).take(limit).cloned().collect();
        found.reverse();
        found
    }
}

/// Logs an event without storing it, for a process that has no ring buffer yet.
pub fn log(kind: Kind, subject: &str, detail: &str) {
    let subject = escape::log_value(subject);
    log::info!("event={} kind={kind:?} subject={subject} {detail}", kind.number());
}

/// Criteria for the events in a timeline; an absent criterion matches every event.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Filter {
    /// Substring of the subject or the detail.
    pub subject: Option<Arc<str>>,
    /// Exact kind.
    pub kind: Option<Kind>,
}

impl Filter {
    fn matches(&self, e: &Event) -> bool {
        let is_kind = self.kind.is_none_or(|k| k == e.kind);
        is_kind
            && self.subject.as_deref().is_none_or(|s| e.subject.contains(s) || e.detail.contains(s))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn full_ring_evicts_oldest_events() {
        let mut ring = EventRing::new("a".parse().unwrap());
        for n in 0..MAX_EVENTS + 2 {
            ring.push(Duration::ZERO, Kind::Started, &n.to_string(), "");
        }
        let kept = ring.select(&Filter::default(), usize::MAX);
        assert_eq!((kept.len(), &*kept[0].subject), (MAX_EVENTS, "2"));
    }

    #[test]
    fn event_catalogue_lists_every_kind() {
        let page = include_str!("../../docs/EVENTS.md");
        for (_, n, name, doc) in Kind::ALL {
            let row = format!("| {n} | {name} | {} |", doc.trim());
            assert!(page.contains(&row), "docs/EVENTS.md lacks the row: {row}");
        }
    }
}
