//! Bytes that an instance holds for callers and endpoints, and whose connection is closed when memory
//! is short.
//!
//! A response is read ahead of its caller while there is room, so that a slow caller does not keep
//! its endpoint waiting. The room of one connection shrinks as the instance fills up, so that many
//! slow callers share it evenly. Beyond it the endpoint is held, and a caller that has stopped
//! reading is dropped before its endpoint would cut the response off or memory runs out. A caller
//! that reads is never dropped.

use slotmap::SlotMap;
use std::time::{Duration, Instant};

/// Time without reading after which a caller counts as stalled.
pub const STALL_TIME: Duration = Duration::from_secs(3);
/// Time for which an endpoint is held before a decision; endpoints cut a response off after some
/// seconds.
pub const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time without reading after which a caller counts as disconnected, however much memory is free.
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes that one read takes from an endpoint.
pub const READ_BYTES: usize = 8 << 10;
/// Share of the instance's memory that all held bytes may use.
const MEMORY_SHARE: f64 = 0.35;
/// Share of the instance's memory that request bodies may use, within [`MEMORY_SHARE`].
const BODY_SHARE: f64 = 0.25;
/// Part of the free room that one response may use.
const ROOM_DIVISOR: usize = 16;
/// Share of the limit from which stalled callers are dropped.
const HIGH_WATER: f64 = 0.9;
/// Share of the limit at which no more of them are dropped.
const LOW_WATER: f64 = 0.75;

slotmap::new_key_type! {
    /// Key of a response that is held for a caller.
    pub struct HeldKey;
}

/// What happens next to a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// More of it is read from the endpoint.
    Read,
    /// The endpoint waits.
    Hold,
    /// The connection of the caller is closed.
    Drop,
}

/// A response that is held for a caller.
#[derive(Debug)]
struct Held {
    /// Bytes that the caller has not taken.
    unread: usize,
    /// Bytes that cannot be sent yet, such as the start of an event.
    partial: usize,
    /// When the caller last took bytes, or had none to take.
    taken: Instant,
    /// Since when the endpoint is held.
    since: Option<Instant>,
    is_dropped: bool,
}

impl Held {
    fn bytes(&self) -> usize {
        self.unread + self.partial
    }

    /// Returns the bytes set aside: those held, or those of one read, so that no response waits for
    /// the callers of others.
    fn reserved(&self) -> usize {
        self.bytes().max(READ_BYTES)
    }

    /// Returns for how long the caller has left bytes unread.
    fn stall(&self, now: Instant) -> Duration {
        match self.unread {
            0 => Duration::ZERO,
            _ => now.saturating_duration_since(self.taken),
        }
    }
}

/// Bytes held by an instance.
#[derive(Debug)]
pub struct Backlog {
    held: SlotMap<HeldKey, Held>,
    /// Sum of the bytes in `held`.
    responses: usize,
    /// Sum of the bytes set aside for `held`.
    reserved: usize,
    bodies: usize,
    limit: usize,
    body_limit: usize,
}

impl Backlog {
    /// Creates the backlog of an instance with this memory in bytes.
    pub fn new(memory: usize) -> Backlog {
        let mut backlog = Backlog {
            held: SlotMap::default(),
            responses: 0,
            reserved: 0,
            bodies: 0,
            limit: 0,
            body_limit: 0,
        };
        backlog.set_memory(memory);
        backlog
    }

    /// Sets the memory of the instance in bytes.
    pub fn set_memory(&mut self, memory: usize) {
        self.limit = (memory as f64 * MEMORY_SHARE) as usize;
        self.body_limit = (memory as f64 * BODY_SHARE) as usize;
    }

    /// Returns the most bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes held of responses.
    pub fn responses(&self) -> usize {
        self.responses
    }

    /// Returns the bytes held of request bodies.
    pub fn bodies(&self) -> usize {
        self.bodies
    }

    /// Returns the bytes held of one response.
    pub fn held(&self, key: HeldKey) -> usize {
        self.held.get(key).map_or(0, Held::bytes)
    }

    /// Returns the number of responses whose endpoint is held.
    pub fn held_endpoints(&self) -> usize {
        self.held.values().filter(|h| h.since.is_some()).count()
    }

    fn used(&self) -> usize {
        self.responses + self.bodies
    }

    /// Adds a response.
    pub fn join(&mut self, now: Instant) -> HeldKey {
        self.reserved += READ_BYTES;
        self.held.insert(Held { unread: 0, partial: 0, taken: now, since: None, is_dropped: false })
    }

    /// Removes a response.
    pub fn leave(&mut self, key: HeldKey) {
        let Some(h) = self.held.remove(key) else { return };
        self.responses -= h.bytes();
        self.reserved -= h.reserved();
    }

    /// Records the bytes now held of a response: those that the caller has not taken, and those that
    /// cannot be sent yet. `has_taken` states whether the caller has taken any since the last time.
    pub fn update(
        &mut self,
        now: Instant,
        key: HeldKey,
        unread: usize,
        partial: usize,
        has_taken: bool,
    ) {
        let Some(h) = self.held.get_mut(key) else { return };
        if has_taken || h.unread == 0 {
            h.taken = now;
        }
        self.responses -= h.bytes();
        self.reserved -= h.reserved();
        (h.unread, h.partial) = (unread, partial);
        self.responses += h.bytes();
        self.reserved += h.reserved();
    }

    /// Reserves room for bytes of a request body; returns `false` if there is none.
    pub fn reserve_body(&mut self, bytes: usize) -> bool {
        let has_room = self.bodies + bytes <= self.body_limit && self.used() + bytes <= self.limit;
        self.bodies += if has_room { bytes } else { 0 };
        has_room
    }

    /// Releases room of a request body.
    pub fn release_body(&mut self, bytes: usize) {
        self.bodies -= bytes;
    }

    /// Decides how a response goes on.
    pub fn flow(&mut self, now: Instant, key: HeldKey) -> Flow {
        let flow = self.decide(now, key);
        if let Some(h) = self.held.get_mut(key) {
            h.since = match flow {
                Flow::Hold => h.since.or(Some(now)),
                Flow::Read | Flow::Drop => None,
            };
        }
        flow
    }

    fn decide(&self, now: Instant, key: HeldKey) -> Flow {
        let Some(h) = self.held.get(key) else { return Flow::Drop };
        let stall = h.stall(now);
        if h.is_dropped || stall >= READ_TIMEOUT {
            return Flow::Drop;
        }
        let free = self.limit.saturating_sub(self.reserved + self.bodies);
        let keeps_up = h.unread == 0 && h.partial <= READ_BYTES;
        let fits = self.used() + READ_BYTES <= self.limit;
        if keeps_up && fits || h.bytes() + READ_BYTES <= free / ROOM_DIVISOR {
            return Flow::Read;
        }
        let is_overdue = h.since.is_some_and(|t| now.saturating_duration_since(t) >= HOLD_TIME);
        match is_overdue {
            true if stall >= STALL_TIME => Flow::Drop,
            // One read shows the endpoint that its response is taken.
            true if READ_BYTES <= free => Flow::Read,
            _ => Flow::Hold,
        }
    }

    /// Chooses the callers to drop, and returns the responses for which the decision has changed
    /// without a cause of their own.
    pub fn step(&mut self, now: Instant) -> Vec<HeldKey> {
        self.drop_stalled(now);
        let is_due = |(key, h): (HeldKey, &Held)| {
            let flow = self.decide(now, key);
            (flow == Flow::Drop || h.since.is_some() && flow == Flow::Read).then_some(key)
        };
        self.held.iter().filter_map(is_due).collect()
    }

    /// Marks stalled callers for dropping while too much is held, those first that have not read
    /// for longest, and among equals those that hold most.
    fn drop_stalled(&mut self, now: Instant) {
        let marked = self.held.values().filter(|h| h.is_dropped).map(Held::bytes).sum::<usize>();
        let mut used = (self.used() - marked) as f64;
        if used <= self.limit as f64 * HIGH_WATER {
            return;
        }
        let mut stalled: Vec<_> = self
            .held
            .iter()
            .filter(|(_, h)| !h.is_dropped && h.stall(now) >= STALL_TIME)
            .map(|(key, h)| (h.stall(now), h.bytes(), key))
            .collect();
        stalled.sort_by(|a, b| b.cmp(a));
        for (_, bytes, key) in stalled {
            if used <= self.limit as f64 * LOW_WATER {
                return;
            }
            used -= bytes as f64;
            self.held[key].is_dropped = true;
        }
    }
}
