//! Connections of callers, and which of them are closed when memory or descriptors are short.
//!
//! What a connection keeps counts towards one sum over all of them: received bytes, the request in
//! progress, its response, and what the kernel may hold while the caller does not read or is not read.
//! When the sum exceeds its limit, those that keep most are closed first. When there are as many
//! connections as there may be, a new one takes the place of one without a request in progress, and
//! of those first of one that never had any.

use slotmap::SlotMap;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Size of the kernel's buffer for bytes that a caller sends.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Size of the kernel's buffer for plain responses that a caller has not taken.
pub const RESPONSE_BUFFER_BYTES: usize = 16 << 10;
/// Bytes that the task and the socket of a connection take.
const TASK_BYTES: usize = 8 << 10;
/// Memory that the instance takes without connections of callers: code, tables, endpoints.
const OWN_BYTES: usize = 20_000_000;
/// Least part of the memory that is left for connections, as a divisor.
const MIN_REST_DIVISOR: usize = 4;
/// Share of the rest of the memory that tasks and receive buffers of all connections may take.
const CONNECTION_SHARE: f64 = 0.4;
/// Share of the file descriptors that connections of callers may use; the rest is for endpoints and
/// the store.
const DESCRIPTOR_SHARE: f64 = 0.45;
/// Most connections to the address of the readiness check.
const MAX_PROBES: usize = 128;
/// Share of the rest of the memory that the sum may take; freed memory is not all used again.
const MEMORY_SHARE: f64 = 0.55;
/// Share of the limit of the sum down to which connections are closed.
const LOW_WATER: f64 = 0.9;

slotmap::new_key_type! {
    /// Key of a connection.
    pub struct CallerKey;
}

/// Part of what a connection keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Received bytes that are not decoded.
    Received,
    /// Encoded bytes that the caller has not taken.
    Unsent,
    /// The head of the request in progress.
    Head,
    /// Its body.
    Body,
    /// Its response, until the last byte has been sent: buffers keep their size until then.
    Response,
    /// Its task and its socket.
    Task,
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 6] =
        [Part::Received, Part::Unsent, Part::Head, Part::Body, Part::Response, Part::Task];
    /// Parts that are freed when a request ends.
    const OF_REQUEST: [Part; 3] = [Part::Head, Part::Body, Part::Response];
}

/// Sum over all connections.
#[derive(Debug, Default)]
struct Sum {
    bytes: Cell<usize>,
    limit: Cell<usize>,
    exceeded: Notify,
}

/// Bytes that one connection keeps. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Load {
    parts: Rc<[Cell<usize>; Part::ALL.len()]>,
    sum: Rc<Sum>,
}

impl Load {
    /// Records the bytes of a part.
    pub fn set(&self, part: Part, bytes: usize) {
        let before = self.parts[part as usize].replace(bytes);
        let sum = self.sum.bytes.get() - before + bytes;
        self.sum.bytes.set(sum);
        if bytes > before && sum > self.sum.limit.get() {
            self.sum.exceeded.notify_one();
        }
    }

    /// Returns whether the connection may keep more bytes: as much as it keeps stays free, so that those
    /// that keep little find room for longest.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.sum.bytes.get() + bytes + self.bytes() <= self.sum.limit.get()
    }

    /// Returns whether the sum exceeds its limit. Connections that keep most are closed then.
    pub fn is_sum_exceeded(&self) -> bool {
        let is_exceeded = self.sum.bytes.get() > self.sum.limit.get();
        if is_exceeded {
            self.sum.exceeded.notify_one();
        }
        is_exceeded
    }

    /// Returns the bytes of all parts.
    pub fn bytes(&self) -> usize {
        self.parts.iter().map(Cell::get).sum()
    }
}

/// Listener that accepted a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// The one for callers.
    Front,
    /// The one for readiness checks, metrics and questions.
    Probes,
}

#[derive(Debug)]
struct Caller {
    listener: Listener,
    load: Load,
    /// When it was accepted, or its last request ended.
    since: Instant,
    is_busy: bool,
    has_served: bool,
    is_closed: bool,
}

/// What is to be done with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// There is room for it.
    Free,
    /// It takes the place of this one.
    Instead(CallerKey),
    /// There is none.
    Full,
}

/// Connections of callers to an instance.
#[derive(Debug, Default)]
pub struct Callers {
    all: SlotMap<CallerKey, Caller>,
    sum: Rc<Sum>,
    max_front: usize,
}

impl Callers {
    /// Sets the memory of the instance in bytes, and its descriptors for sockets.
    pub fn set_limits(&mut self, memory: usize, sockets: u32) {
        let rest = memory.saturating_sub(OWN_BYTES).max(memory / MIN_REST_DIVISOR) as f64;
        self.sum.limit.set((rest * MEMORY_SHARE) as usize);
        let by_memory = rest * CONNECTION_SHARE / (TASK_BYTES + RECEIVE_BUFFER_BYTES) as f64;
        self.max_front = by_memory.min(f64::from(sockets) * DESCRIPTOR_SHARE) as usize;
    }

    /// Returns the sum of what all connections keep.
    pub fn bytes(&self) -> usize {
        self.sum.bytes.get()
    }

    /// Returns the number of connections to an address, those included that are being closed.
    pub fn count(&self, listener: Listener) -> usize {
        self.all.values().filter(|c| c.listener == listener).count()
    }

    /// Returns whether there is room for a new connection to an address.
    pub fn room(&self, now: Instant, listener: Listener) -> Room {
        let max = if listener == Listener::Front { self.max_front } else { MAX_PROBES };
        let open = || self.all.iter().filter(|(_, c)| c.listener == listener && !c.is_closed);
        if open().count() < max {
            return Room::Free;
        }
        let idle = open().filter(|(_, c)| !c.is_busy);
        let rank =
            |(_, c): &(CallerKey, &Caller)| (!c.has_served, now.saturating_duration_since(c.since));
        idle.max_by_key(rank).map_or(Room::Full, |(key, _)| Room::Instead(key))
    }

    /// Adds a connection.
    pub fn join(&mut self, now: Instant, listener: Listener) -> (CallerKey, Load) {
        let load = Load { parts: Rc::default(), sum: self.sum.clone() };
        load.set(Part::Task, TASK_BYTES);
        let (is_busy, has_served, is_closed) = (false, false, false);
        let caller =
            Caller { listener, load: load.clone(), since: now, is_busy, has_served, is_closed };
        (self.all.insert(caller), load)
    }

    /// Removes a connection.
    pub fn leave(&mut self, key: CallerKey) {
        let Some(caller) = self.all.remove(key) else { return };
        for part in Part::ALL {
            caller.load.set(part, 0);
        }
    }

    /// Records that a request has been read in full.
    pub fn begin(&mut self, key: CallerKey) {
        if let Some(caller) = self.all.get_mut(key) {
            caller.is_busy = true;
        }
    }

    /// Records that the request in progress has ended, or could not be read.
    pub fn end(&mut self, now: Instant, key: CallerKey) {
        if let Some(caller) = self.all.get_mut(key) {
            Part::OF_REQUEST.iter().for_each(|part| caller.load.set(*part, 0));
            caller.has_served |= caller.is_busy;
            (caller.is_busy, caller.since) = (false, now);
        }
    }

    /// Records that a connection is being closed.
    pub fn close(&mut self, key: CallerKey) {
        if let Some(caller) = self.all.get_mut(key) {
            caller.is_closed = true;
        }
    }

    /// Chooses the connections to close so that the sum keeps to its limit, those first that keep
    /// most, and returns them with what they keep.
    pub fn relieve(&mut self) -> Vec<(CallerKey, usize)> {
        let closing: usize =
            self.all.values().filter(|c| c.is_closed).map(|c| c.load.bytes()).sum();
        let (mut sum, limit) = (self.bytes() - closing, self.sum.limit.get());
        if sum <= limit {
            return Vec::new();
        }
        let open = self.all.iter().filter(|(_, c)| !c.is_closed);
        let mut open: Vec<_> = open.map(|(key, c)| (c.load.bytes(), key)).collect();
        open.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen = Vec::new();
        for (bytes, key) in open {
            if sum as f64 <= limit as f64 * LOW_WATER {
                break;
            }
            sum -= bytes;
            self.close(key);
            chosen.push((key, bytes));
        }
        chosen
    }

    /// Returns what is notified when the sum exceeds its limit.
    pub fn exceeded(&self) -> impl Future<Output = ()> + use<> {
        let sum = self.sum.clone();
        async move { sum.exceeded.notified().await }
    }
}
