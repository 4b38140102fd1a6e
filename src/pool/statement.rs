//! What endpoints state of themselves to a single instance, which tells the others.
//!
//! Answers the load of an endpoint that turns cold, or begins to leave while the store cannot tell:
//! only the instances that have a response or a report from it know, and the others would go on
//! sending it more than it can serve.

use super::{Pool, PoolKey};
use crate::gossip::{StatementRow, Tag};
use std::time::{Duration, Instant};

/// Age that a report of an engine may have when it is read; deducted from the remaining time.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// What an endpoint has stated to this instance itself, and when that ends.
#[derive(Debug, Default)]
pub struct Statements {
    /// End of its cold time.
    cold_until: Option<Instant>,
    /// When it will be gone.
    gone_at: Option<Instant>,
    /// Whether it is leaving.
    leaving: bool,
    /// Whether the other instances have not been told yet.
    is_new: bool,
}

impl Statements {
    fn row(&self, now: Instant, tag: Tag, incarnation: u16) -> Option<StatementRow> {
        let left = |end: Option<Instant>| {
            let left = end?.checked_duration_since(now).filter(|left| !left.is_zero())?;
            Some(u32::try_from(left.as_millis()).unwrap_or(u32::MAX))
        };
        let (cold_ms, gone_ms) = (left(self.cold_until), left(self.gone_at));
        let holds = cold_ms.is_some() || gone_ms.is_some() || self.leaving;
        let (leaving, incarnation) = (self.leaving, Some(incarnation));
        holds.then_some(StatementRow { tag, cold_ms, gone_ms, leaving, incarnation })
    }
}

impl Pool {
    /// Records that an endpoint states to this instance that it stays cold for some time.
    pub fn record_cold(&mut self, now: Instant, key: PoolKey, left: Duration) {
        let Some(e) = self.endpoints.get_mut(key).filter(|_| !left.is_zero()) else { return };
        let known = e.statements.cold_until.replace(now + left);
        e.statements.is_new |= known.is_none_or(|end| end <= now);
        self.extend_cold(now, key, left);
    }

    /// Records that an endpoint states to this instance how much time it has left.
    pub fn record_departure(&mut self, now: Instant, key: PoolKey, left: Duration) {
        let Some(e) = self.endpoints.get_mut(key) else { return };
        let gone_at = now + left.saturating_sub(REPORT_LAG);
        e.statements.is_new |= e.statements.gone_at.is_none();
        e.statements.gone_at = Some(gone_at);
        e.notices.gone_at = Some(gone_at);
    }

    /// Records that an endpoint states to this instance that it is leaving, which instances that start
    /// later are told.
    pub fn record_leaving(&mut self, key: PoolKey) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.statements.leaving = true;
        }
    }

    /// Returns whether there is a statement that the other instances have not been told.
    pub fn has_new_statements(&self) -> bool {
        self.endpoints.values().any(|e| e.statements.is_new)
    }

    /// Returns what endpoints have stated to this instance: all that holds, or what the other
    /// instances have not been told yet.
    pub fn take_statements(&mut self, now: Instant, all: bool) -> Vec<StatementRow> {
        let endpoints = self.endpoints.values_mut();
        let told = endpoints.filter_map(|e| {
            let is_new = std::mem::take(&mut e.statements.is_new);
            e.statements.row(now, e.tag, e.listing.incarnation()).filter(|_| all || is_new)
        });
        told.collect()
    }

    /// Returns whether a row is about the incarnation of an endpoint that this instance knows. One that
    /// has started again under its id does not hold to what it stated before.
    pub fn is_current(&self, row: &StatementRow) -> bool {
        let e = self.find_key_by_tag(row.tag).map(|key| &self.endpoints[key]);
        e.is_some_and(|e| row.incarnation.is_none_or(|i| i == e.listing.incarnation()))
    }

    /// Applies what an endpoint has stated to another instance, except that it is leaving.
    pub fn apply_statement(&mut self, now: Instant, row: StatementRow) {
        let Some(key) = self.find_key_by_tag(row.tag).filter(|_| self.is_current(&row)) else {
            return;
        };
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        if let Some(ms) = row.cold_ms {
            self.extend_cold(now, key, millis(ms));
        }
        if let Some((e, ms)) = self.endpoints.get_mut(key).zip(row.gone_ms) {
            e.notices.gone_at = Some(now + millis(ms));
        }
    }
}
