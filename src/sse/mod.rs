//! Finds whole server-sent events in a stream of bytes, without changing them.

/// Number of an event within its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventId(pub u64);

impl std::fmt::Display for EventId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for EventId {
    type Err = std::num::ParseIntError;

    /// Reads a whole number.
    ///
    /// # Errors
    ///
    /// Returns an error where the text is no whole number.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(EventId)
    }
}

/// One event at the start of a buffer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Event {
    /// Bytes of the event with the blank line that ends it.
    pub len: usize,
    /// Number in its `id` field, if it has one that is a number.
    pub id: Option<EventId>,
}

/// Returns the event that `buf` begins with; `None` until its blank line has come.
pub fn scan_event(buf: &[u8]) -> Option<Event> {
    let mut id = None;
    let mut at = 0;
    while let Some(n) = buf[at..].iter().position(|b| *b == b'\n') {
        let line = buf[at..at + n].strip_suffix(b"\r").unwrap_or(&buf[at..at + n]);
        at += n + 1;
        if line.is_empty() {
            return Some(Event { len: at, id });
        }
        id = scan_id(line).or(id);
    }
    None
}

fn scan_id(line: &[u8]) -> Option<EventId> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// What to do with an event of a stream that may have moved between endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EventOrder {
    /// It is the next one.
    Next,
    /// The caller has it already.
    Repeated,
    /// Events before it are missing.
    Gap,
}

/// Compares an event with the last one that the caller has.
pub fn check_order(last: Option<EventId>, id: Option<EventId>) -> EventOrder {
    match (last, id) {
        (Some(last), Some(id)) if id <= last => EventOrder::Repeated,
        (Some(last), Some(id)) if id.0 > last.0 + 1 => EventOrder::Gap,
        _ => EventOrder::Next,
    }
}
