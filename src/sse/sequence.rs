//! Place of events in a stream that several endpoints may send in turn.

use super::{Event, EventId, EventOrder, check_order};

/// Events of one stream that have been sent to its caller.
///
/// An event without an id has its place by the event with an id before it from the same endpoint.
#[derive(Debug)]
pub struct Sequence {
    /// Id of the last event that has one.
    last_id: Option<EventId>,
    /// Whether an event without an id has been sent since.
    has_unnumbered: bool,
    /// Order of the last event with an id from the present endpoint, which those without one share.
    order: EventOrder,
}

impl Default for Sequence {
    fn default() -> Self {
        Sequence { last_id: None, has_unnumbered: false, order: EventOrder::Next }
    }
}

impl Sequence {
    /// Returns the id of the last event, to continue after it.
    pub fn last_id(&self) -> Option<EventId> {
        self.last_id
    }

    /// Returns whether another endpoint can tell from [`Sequence::last_id`] which events were sent.
    pub fn can_continue(&self) -> bool {
        !self.has_unnumbered
    }

    /// Begins with the events of another endpoint.
    pub fn continue_elsewhere(&mut self) {
        self.order = if self.last_id.is_some() { EventOrder::Gap } else { EventOrder::Next };
    }

    /// Returns the place of an event, which is sent to the caller if it is the next one.
    pub fn add(&mut self, event: &Event) -> EventOrder {
        if event.is_comment {
            return EventOrder::Next;
        }
        if event.id.is_some() {
            self.order = check_order(self.last_id, event.id);
        }
        if self.order == EventOrder::Next {
            self.last_id = event.id.or(self.last_id);
            self.has_unnumbered = event.id.is_none();
        }
        self.order
    }
}
