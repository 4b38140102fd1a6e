//! Ejects endpoints that keep failing, and lets them back with care.

use crate::board::{Endpoint, EndpointKey, EntryBoard, FAILURE_LIMIT};
use std::sync::Arc;
use std::time::Instant;

/// Share of a pool that stays in service however many fail, in percent.
const FLOOR: usize = 50;
/// Factor by which a batch step may exceed the median of its pool.
const SLOW_FACTOR: u32 = 4;
/// Requests that an endpoint gets at one time while it is tried.
const TRIAL_OPEN: u32 = 1;

/// A change that the controller made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// An endpoint was ejected until then.
    Ejected(EndpointKey, Instant),
    /// An endpoint is tried again.
    Readmitted(EndpointKey),
}

/// Notes a failure of an endpoint to serve.
pub fn note_failure(e: &mut Endpoint) {
    e.health.record_failure();
}

/// Notes that an endpoint served well.
pub fn note_success(e: &mut Endpoint) {
    e.health.record_success();
}

/// Tells whether health allows the endpoint one more request.
pub fn allows(e: &Endpoint) -> bool {
    e.health.ejected_until.is_none() && (!e.health.on_trial || e.open_requests < TRIAL_OPEN)
}

/// Ejects endpoints that fail or are far slower than their pool, and readmits those whose time
/// is up.
pub fn step(now: Instant, board: &mut EntryBoard) -> Vec<Change> {
    let mut changes = readmit(now, board);
    let failing: Vec<EndpointKey> =
        board.endpoints.iter().filter(|(_, e)| is_failing(board, e)).map(|(k, _)| k).collect();
    for key in failing {
        let pool = pool(&board.endpoints[key]);
        let mates = || board.endpoints.values().filter(|e| pool == self::pool(e));
        let serving =
            mates().filter(|e| e.is_serving() && e.health.ejected_until.is_none()).count();
        // Past the floor a failing endpoint beats an overloaded one.
        if serving <= (mates().count() * FLOOR).div_ceil(100) {
            continue;
        }
        let until = board.endpoints[key].health.eject(now);
        changes.push(Change::Ejected(key, until));
    }
    changes
}

fn readmit(now: Instant, board: &mut EntryBoard) -> Vec<Change> {
    let mut changes = Vec::new();
    for (key, e) in &mut board.endpoints {
        if e.health.readmit(now) {
            changes.push(Change::Readmitted(key));
        }
    }
    changes
}

fn pool(e: &Endpoint) -> Option<Arc<str>> {
    e.latest.as_ref().map(|k| k.report.pool.clone())
}

fn is_failing(board: &EntryBoard, e: &Endpoint) -> bool {
    e.health.ejected_until.is_none() && (e.health.failures >= FAILURE_LIMIT || is_slow(board, e))
}

/// Tells whether an endpoint is far slower than the median of its pool.
fn is_slow(board: &EntryBoard, e: &Endpoint) -> bool {
    let gap = |e: &Endpoint| e.latest.as_ref().map_or(0, |k| k.report.gap);
    let own = pool(e);
    let mates = board.endpoints.values().filter(|m| m.is_serving() && pool(m) == own);
    let mut gaps: Vec<u32> = mates.map(gap).filter(|g| *g > 0).collect();
    if gaps.len() < 3 {
        return false;
    }
    gaps.sort_unstable();
    gap(e) > gaps[gaps.len() / 2].saturating_mul(SLOW_FACTOR)
}
