//! Outlier ejection: takes endpoints that fail or are slow out of service, and readmits them on
//! trial.

use crate::board::{Endpoint, EndpointKey, EntryBoard, FAILURE_LIMIT};
use std::sync::Arc;
use std::time::Instant;

/// Share of a pool that stays in service however many endpoints fail, in percent.
const MIN_SERVING_PERCENT: usize = 50;
/// Factor by which the token gap of an endpoint may exceed the median of its pool.
const SLOW_FACTOR: u32 = 4;
/// Limit of open requests at an endpoint on trial.
const MAX_TRIAL_REQUESTS: u32 = 1;

/// An ejection or a readmission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The endpoint was ejected until the given time.
    Ejected(EndpointKey, Instant),
    /// The endpoint was readmitted on trial.
    Readmitted(EndpointKey),
}

/// Records a failed request or call of an endpoint.
pub fn note_failure(e: &mut Endpoint) {
    e.health.record_failure();
}

/// Records a success, which resets the failure count and ends a trial.
pub fn note_success(e: &mut Endpoint) {
    e.health.record_success();
}

/// Returns whether the health of the endpoint permits another request: it is not ejected, and on
/// trial it is below its limit of open requests.
pub fn allows(e: &Endpoint) -> bool {
    e.health.ejected_until.is_none() && (!e.health.on_trial || e.open_requests < MAX_TRIAL_REQUESTS)
}

/// Readmits endpoints whose ejection has ended, then ejects those that fail or are far slower than
/// their pool.
pub fn step(now: Instant, board: &mut EntryBoard) -> Vec<Change> {
    let mut changes = readmit(now, board);
    let failing: Vec<EndpointKey> =
        board.endpoints.iter().filter(|(_, e)| is_failing(board, e)).map(|(k, _)| k).collect();
    for key in failing {
        let pool = pool(&board.endpoints[key]);
        let pool_members = || board.endpoints.values().filter(|e| pool == self::pool(e));
        let serving =
            pool_members().filter(|e| e.is_serving() && e.health.ejected_until.is_none()).count();
        // Below the minimum, a failing endpoint does less harm than overload of the remaining ones.
        if serving <= (pool_members().count() * MIN_SERVING_PERCENT).div_ceil(100) {
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

/// Returns whether an endpoint is far slower than the median of its pool. Pools with fewer than
/// three measured endpoints have no meaningful median.
fn is_slow(board: &EntryBoard, e: &Endpoint) -> bool {
    let gap = |e: &Endpoint| e.latest.as_ref().map_or(0, |k| k.report.gap);
    let own = pool(e);
    let pool_members = board.endpoints.values().filter(|m| m.is_serving() && pool(m) == own);
    let mut gaps: Vec<u32> = pool_members.map(gap).filter(|g| *g > 0).collect();
    if gaps.len() < 3 {
        return false;
    }
    gaps.sort_unstable();
    gap(e) > gaps[gaps.len() / 2].saturating_mul(SLOW_FACTOR)
}
