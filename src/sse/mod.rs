//! Splits a byte stream into server-sent events, without changing their bytes.

mod sequence;

pub use sequence::Sequence;

/// Id of an event: its number within the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventId(pub u64);

impl std::fmt::Display for EventId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for EventId {
    type Err = std::num::ParseIntError;

    /// Parses a decimal number.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an unsigned 64-bit integer.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(EventId)
    }
}

/// Complete event at the start of a buffer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Event {
    /// Length in bytes, including the blank line that ends the event.
    pub len: usize,
    /// Value of the `id` field; `None` if it is absent or not a number.
    pub id: Option<EventId>,
    /// Whether it consists of comments alone, which are no event.
    pub is_comment: bool,
}

/// Finds events at the start of a buffer that grows. Each byte is examined once, however small the
/// parts in which an event arrives.
#[derive(Debug, Default)]
pub struct EventScanner {
    /// Start of the present line.
    line: usize,
    /// End of the bytes that have been examined.
    examined: usize,
    /// Id of the event so far.
    id: Option<EventId>,
    /// Whether the event has a field so far.
    has_field: bool,
}

impl EventScanner {
    /// Returns the event at the start of `buf`, `None` until its blank line has been received.
    ///
    /// Between calls, bytes may only be appended to `buf`, unless an event was returned: then the
    /// event has to be removed.
    pub fn scan(&mut self, buf: &[u8]) -> Option<Event> {
        while let Some(n) = buf[self.examined..].iter().position(|b| *b == b'\n') {
            let end = self.examined + n;
            let line = &buf[self.line..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            (self.line, self.examined) = (end + 1, end + 1);
            if line.is_empty() {
                let EventScanner { id, has_field, .. } = std::mem::take(self);
                return Some(Event { len: end + 1, id, is_comment: !has_field });
            }
            self.id = parse_id(line).or(self.id);
            self.has_field |= !line.starts_with(b":");
        }
        self.examined = buf.len();
        None
    }
}

/// Returns whether a stream whose last bytes after its last complete event are `rest` ended inside
/// an event. Complete comment lines belong to no event.
pub fn ends_inside_event(rest: &[u8]) -> bool {
    rest.split_inclusive(|b| *b == b'\n')
        .any(|line| !line.starts_with(b":") || !line.ends_with(b"\n"))
}

fn parse_id(line: &[u8]) -> Option<EventId> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Position of an event relative to the last one sent to the caller.
///
/// After a migration, the new endpoint may repeat or miss events of the stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EventOrder {
    /// The event follows the last one, or one of the two has no id.
    Next,
    /// The event has been sent to the caller before.
    Repeated,
    /// Events between the last one and this one are missing.
    Gap,
}

/// Compares the id of an event with that of the last one sent to the caller.
pub fn check_order(last: Option<EventId>, id: Option<EventId>) -> EventOrder {
    match (last, id) {
        (Some(last), Some(id)) if id <= last => EventOrder::Repeated,
        (Some(last), Some(id)) if id.0 > last.0 + 1 => EventOrder::Gap,
        _ => EventOrder::Next,
    }
}
