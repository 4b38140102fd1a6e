//! Connections of callers, and which of them are closed when memory or descriptors are short.
//!
//! What a connection keeps counts towards one sum over all of them: received bytes, the request in
//! progress, its response, and what the kernel may hold while the caller does not read or is not read.
//! Before the sum reaches its limit, connections are closed: those first that keep much for long
//! without a request in progress. A request for which there is no room is refused. When there are as many
//! connections as there may be, a new one takes the place of one without a request in progress, and
//! of those first of one that never had any.

use crate::backlog::READ_BYTES;
use crate::net::Bounds;
use slotmap::SlotMap;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Size of the kernel's buffer for bytes that a caller sends.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Size of the kernel's buffer for plain responses that a caller has not taken.
pub const RESPONSE_BUFFER_BYTES: usize = 16 << 10;
/// Size of the kernel's buffer for bytes that an endpoint sends.
pub const ENDPOINT_BUFFER_BYTES: usize = 16 << 10;
/// Bytes that the task and the socket of a connection take.
const TASK_BYTES: usize = 8 << 10;
/// Memory that the instance takes without connections of callers: code, tables, endpoints.
pub const OWN_BYTES: usize = 20_000_000;
/// Least part of the memory that is left for connections, as a divisor.
const MIN_REST_DIVISOR: usize = 4;
/// Share of the rest of the memory that tasks and receive buffers of all connections may take.
const CONNECTION_SHARE: f64 = 0.4;
/// Share of the file descriptors that connections of callers may use; the rest is for endpoints and
/// the store.
const DESCRIPTOR_SHARE: f64 = 0.45;
/// Most connections to the address of the readiness check.
const MAX_PROBES: usize = 128;
/// Share of the rest of the memory that receive buffers of connections may take before these are accepted.
const BACKLOG_SHARE: f64 = 0.1;
/// Most connections to an address that the kernel keeps until they are accepted.
const MAX_BACKLOG: usize = 1024;
/// Most such connections to the address of the readiness check.
const MAX_PROBE_BACKLOG: usize = 32;
/// Share of the rest of the memory that the sum may take; freed memory is not all used again.
const MEMORY_SHARE: f64 = 0.55;
/// Share of the limit of the sum from which connections are closed.
const HIGH_WATER: f64 = 0.85;
/// Share of the limit of the sum down to which connections are closed.
const LOW_WATER: f64 = 0.8;
/// Time in which a request usually arrives. What a connection keeps for less time weighs the same.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);
/// Time in which a caller usually receives the end of a response.
const DELIVERY_TIME: Duration = Duration::from_secs(1);
/// Multiple of what a connection keeps that stays free for others as it grows.
const SPARE_MULTIPLE: usize = 64;
/// Most that this multiple may be, as a divisor of the limit of the sum.
const SPARE_DIVISOR: usize = 8;

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
    /// What its endpoints have sent and was not passed on, until the last byte has been sent to the
    /// caller: buffers keep their size until then.
    Incoming,
    /// What the kernel may hold of what its endpoint sends.
    Response,
    /// Its task and its socket.
    Task,
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 7] = [
        Part::Received,
        Part::Unsent,
        Part::Head,
        Part::Body,
        Part::Incoming,
        Part::Response,
        Part::Task,
    ];
    /// Parts that are freed when a request ends.
    const OF_REQUEST: [Part; 4] = [Part::Head, Part::Body, Part::Incoming, Part::Response];
    /// Parts of a connection with a request in progress that there was no room reserved for.
    const BEYOND_REQUEST: [Part; 3] = [Part::Received, Part::Unsent, Part::Incoming];
}

/// Sum over all connections.
#[derive(Debug, Default)]
struct Sum {
    bytes: Cell<usize>,
    limit: Cell<usize>,
    exceeded: Notify,
}

impl Sum {
    /// Returns whether connections are to be closed.
    fn is_high(&self) -> bool {
        self.bytes.get() as f64 > self.limit.get() as f64 * HIGH_WATER
    }
}

/// Bytes that one connection keeps. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Load {
    parts: Rc<[Cell<usize>; Part::ALL.len()]>,
    sum: Rc<Sum>,
    /// Whether the connection is closed for the memory or the place that it takes, and what the kernel
    /// holds of its response is given up.
    is_revoked: Rc<Cell<bool>>,
}

impl Load {
    /// Records the bytes of a part.
    pub fn set(&self, part: Part, bytes: usize) {
        let before = self.parts[part as usize].replace(bytes);
        let sum = self.sum.bytes.get() - before + bytes;
        self.sum.bytes.set(sum);
        if bytes > before && self.sum.is_high() {
            self.sum.exceeded.notify_one();
        }
    }

    /// Returns whether the connection may keep more bytes: the more it keeps, the more stays free, so that
    /// those that keep little find room for longest.
    pub fn has_room(&self, bytes: usize) -> bool {
        let (own, limit) = (self.bytes(), self.sum.limit.get());
        let spare = (SPARE_MULTIPLE * (own + bytes)).min(limit / SPARE_DIVISOR);
        self.sum.bytes.get() + bytes + own + spare <= limit
    }

    /// Returns whether bytes may be kept that could also be passed on: connections would be closed for
    /// them later otherwise.
    pub fn may_keep(&self, bytes: usize) -> bool {
        (self.sum.bytes.get() + bytes) as f64 <= self.sum.limit.get() as f64 * LOW_WATER
    }

    /// Returns whether the sum exceeds its limit.
    pub fn is_sum_exceeded(&self) -> bool {
        let is_exceeded = self.sum.bytes.get() > self.sum.limit.get();
        if is_exceeded {
            self.sum.exceeded.notify_one();
        }
        is_exceeded
    }

    /// Asks for room: connections are closed if the sum is near its limit.
    pub fn ask_for_room(&self) {
        self.sum.exceeded.notify_one();
    }

    /// Returns whether the connection is closed for the memory or the place that it takes, and what the
    /// kernel holds of its response is given up.
    pub fn is_revoked(&self) -> bool {
        self.is_revoked.get()
    }

    fn get(&self, part: Part) -> usize {
        self.parts[part as usize].get()
    }

    /// Returns the bytes of all parts.
    pub fn bytes(&self) -> usize {
        self.parts.iter().map(Cell::get).sum()
    }
}

/// What one endpoint has sent for a request, counted until dropped.
#[derive(Debug)]
pub struct Charge {
    load: Load,
    bytes: usize,
}

impl Charge {
    /// Creates a charge of nothing.
    pub fn new(load: &Load) -> Charge {
        Charge { load: load.clone(), bytes: 0 }
    }

    /// Records the bytes.
    pub fn set(&mut self, bytes: usize) {
        let others = self.load.get(Part::Incoming).saturating_sub(self.bytes);
        self.load.set(Part::Incoming, others + bytes);
        self.bytes = bytes;
    }

    /// Returns whether there is memory for a read into a buffer with this many bytes and this
    /// capacity; the first bytes are always read. A buffer that is full doubles its size, and there is
    /// a copy of it meanwhile.
    pub fn may_read(&self, len: usize, capacity: usize) -> bool {
        len < READ_BYTES || len + READ_BYTES <= capacity || self.load.may_keep(capacity * 2)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
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
    /// When it was accepted, its last request ended, or the next began to arrive.
    since: Instant,
    is_busy: bool,
    has_served: bool,
    is_closed: bool,
}

impl Caller {
    /// Returns how much is gained by closing the connection: the bytes that it keeps times the time for
    /// which its request has been arriving.
    fn weight(&self, now: Instant) -> u128 {
        let sum = |parts: &[Part]| -> usize { parts.iter().map(|p| self.load.get(*p)).sum() };
        let (bytes, time) = match self.is_busy {
            true => (sum(&Part::BEYOND_REQUEST), Duration::ZERO),
            false => {
                let time = now.saturating_duration_since(self.since);
                (sum(&Part::ALL) - self.load.get(Part::Task), time)
            }
        };
        bytes as u128 * time.max(ARRIVAL_TIME).as_millis()
    }
}

/// Returns what is left for connections of the memory of an instance, in bytes.
fn rest(memory: usize) -> f64 {
    memory.saturating_sub(OWN_BYTES).max(memory / MIN_REST_DIVISOR) as f64
}

/// Returns the bounds on what the kernel holds for connections to an address, of an instance with this
/// memory in bytes.
pub fn bounds(listener: Listener, memory: usize) -> Bounds {
    let by_memory = (rest(memory) * BACKLOG_SHARE) as usize / RECEIVE_BUFFER_BYTES;
    let most = if listener == Listener::Front { MAX_BACKLOG } else { MAX_PROBE_BACKLOG };
    Bounds {
        receive: RECEIVE_BUFFER_BYTES as u32,
        send: RESPONSE_BUFFER_BYTES as u32,
        backlog: by_memory.min(most) as u32,
    }
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
        let rest = rest(memory);
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
        let load = Load { sum: self.sum.clone(), ..Load::default() };
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

    /// Records that the first bytes of a request have arrived.
    pub fn arrive(&mut self, now: Instant, key: CallerKey) {
        if let Some(caller) = self.all.get_mut(key) {
            caller.since = now;
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

    /// Records that a connection is being closed. What the kernel holds of its response is given up, unless
    /// the caller may still be receiving a whole one.
    pub fn close(&mut self, now: Instant, key: CallerKey) {
        if let Some(caller) = self.all.get_mut(key) {
            caller.is_closed = true;
            let idle = now.saturating_duration_since(caller.since);
            caller.load.is_revoked.set(caller.is_busy || idle >= DELIVERY_TIME);
        }
    }

    /// Chooses the connections to close so that there is room for others, and returns them with what
    /// they keep.
    pub fn relieve(&mut self, now: Instant) -> Vec<(CallerKey, usize)> {
        let closing: usize =
            self.all.values().filter(|c| c.is_closed).map(|c| c.load.bytes()).sum();
        let (mut sum, limit) = ((self.bytes() - closing) as f64, self.sum.limit.get() as f64);
        if sum <= limit * HIGH_WATER {
            return Vec::new();
        }
        let open = self.all.iter().filter(|(_, c)| !c.is_closed);
        let weighed = open.map(|(key, c)| (c.weight(now), key, c.load.bytes()));
        let mut weighed: Vec<_> = weighed.filter(|(weight, ..)| *weight > 0).collect();
        weighed.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen = Vec::new();
        for (_, key, bytes) in weighed {
            if sum <= limit * LOW_WATER {
                break;
            }
            sum -= bytes as f64;
            self.close(now, key);
            chosen.push((key, bytes));
        }
        chosen
    }

    /// Returns what is notified when connections are to be closed.
    pub fn exceeded(&self) -> impl Future<Output = ()> + use<> {
        let sum = self.sum.clone();
        async move { sum.exceeded.notified().await }
    }
}
