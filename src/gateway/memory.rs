//! Observes the memory of the process.

use super::Gateway;
use crate::callers::Listener;
use crate::event::Kind;
use crate::memory::{self, Release, Resident, Watch};
use std::fmt;
use std::time::{Duration, Instant};

/// The kernel's status of this process.
const STATUS_FILE: &str = "/proc/self/status";
/// Interval at which the memory is read.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// When the memory was read and reported.
#[derive(Debug, Default)]
pub struct MemoryState {
    read: Option<Instant>,
    watch: Watch,
    release: Release,
}

/// Reads the memory at intervals, and reports it when it is near its limit. Returns memory to the
/// system once much of it has been freed.
pub fn step(gw: &Gateway, now: Instant) {
    let mut state = gw.memory.borrow_mut();
    if state.read.is_some_and(|at| now.saturating_duration_since(at) < READ_INTERVAL) {
        return;
    }
    state.read = Some(now);
    let limit = gw.settings.borrow().memory_bytes();
    let counted = gw.callers.borrow().bytes();
    let status = std::fs::read_to_string(STATUS_FILE);
    let resident = status.ok().as_deref().and_then(Resident::parse);
    if state.release.step(now, resident.map_or(0, |r| r.now), counted, limit) {
        memory::release();
    }
    let Some(resident) = resident else { return };
    metrics::gauge!("resident_bytes").set(resident.now as f64);
    if state.watch.step(now, resident.now, limit) {
        gw.event(Kind::MemoryHigh, "-", Parts { gw, resident, limit });
    }
}

/// The memory of the process and the parts of it that are counted.
struct Parts<'a> {
    gw: &'a Gateway,
    resident: Resident,
    limit: usize,
}

impl fmt::Display for Parts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (callers, backlog) = (self.gw.callers.borrow(), self.gw.backlog.borrow());
        let Resident { now, peak } = self.resident;
        write!(f, "resident={now} peak={peak} limit={} callers={} ", self.limit, callers.bytes())?;
        write!(f, "responses={} bodies={} ", backlog.responses(), backlog.bodies())?;
        let (front, probes) = (callers.count(Listener::Front), callers.count(Listener::Probes));
        let (active, endpoints) =
            (self.gw.active_requests.get(), self.gw.pool.borrow().endpoints.len());
        write!(f, "connections={front} probes={probes} requests={active} endpoints={endpoints}")
    }
}
