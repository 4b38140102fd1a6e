//! What one instance may send to a limited endpoint.

use super::allocator::lease_time;
use super::{Bucket, Grant, MAX_MISSES, PERMIT_TTL, Rate};
use std::time::{Duration, Instant};

/// Time without a request for permits after which an instance has earned nothing.
const MAX_EARNING_TIME: Duration = Duration::from_secs(2);
/// Shortest time over which demand is measured.
const MIN_DEMAND_TIME: Duration = Duration::from_millis(100);
/// Time over which a rate is saved up, beyond a single request.
const SAVING_TIME: Duration = Duration::from_millis(100);

/// Rate that may be used until some time.
#[derive(Debug, Clone, Copy)]
struct Lease {
    rate: Rate,
    /// Limit of the endpoint when the lease was granted.
    limit: Rate,
    until: Instant,
}

/// Permits of one instance for a limited endpoint, and when it asks for more.
#[derive(Debug)]
pub struct Share {
    limit: Rate,
    lease: Option<Lease>,
    bucket: Bucket,
    permits: u32,
    permits_until: Instant,
    /// Replies to requests for permits from before are ignored.
    valid_from: Instant,
    /// Requests that could have gone to the endpoint since the last request for permits.
    demand: u32,
    /// When that request was sent, or when the limit became known.
    since: Instant,
    next_request: Instant,
    is_pending: bool,
    /// Part of a request that the expected rate has added up to since the last permit.
    earned: f64,
    /// Requests for permits without a reply, in a row.
    misses: u32,
    /// Rate that can be expected; `None` before the first reply.
    expected: Option<Rate>,
    last_used: Instant,
}

impl Share {
    /// Starts without permits.
    pub fn new(now: Instant, limit: Rate) -> Self {
        Share {
            limit,
            lease: None,
            bucket: Bucket::empty(now),
            permits: 0,
            permits_until: now,
            valid_from: now,
            demand: 0,
            since: now,
            next_request: now,
            is_pending: false,
            earned: 0.0,
            misses: 0,
            expected: None,
            last_used: now,
        }
    }

    /// Returns the limit of the endpoint.
    pub fn limit(&self) -> Rate {
        self.limit
    }

    /// Changes the limit of the endpoint; a lease shrinks with it.
    pub fn set_limit(&mut self, now: Instant, limit: Rate) {
        self.advance(now);
        self.limit = limit;
    }

    /// Brings the permits up to date.
    pub fn advance(&mut self, now: Instant) {
        if now >= self.permits_until {
            self.permits = 0;
        }
        let Some(lease) = self.lease else {
            return self.bucket.advance(now, Rate::ZERO, self.bucket.tokens);
        };
        let shrunk = (self.limit.as_f64() / lease.limit.as_f64()).min(1.0);
        let rate = lease.rate.times(shrunk);
        let cap = 1.0 + rate.over(SAVING_TIME);
        self.bucket.advance(now.min(lease.until), rate, cap);
        if now >= lease.until {
            self.lease = None;
            self.bucket.advance(now, Rate::ZERO, cap);
        }
    }

    /// Returns whether a request may be sent now.
    pub fn is_ready(&self) -> bool {
        self.permits > 0 || self.bucket.whole() > 0
    }

    /// Takes the permit for one request; returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.advance(now);
        if self.permits > 0 {
            self.permits -= 1;
        } else if self.bucket.whole() > 0 {
            self.bucket.take(1);
        } else {
            return false;
        }
        self.last_used = now;
        true
    }

    /// Counts a request that could go to the endpoint.
    pub fn note_demand(&mut self) {
        self.demand += 1;
    }

    /// Returns whether permits are due to be requested. `waiting` requests wait for one.
    pub fn is_due(&self, now: Instant, waiting: usize) -> bool {
        !self.is_pending && now >= self.next_request && (self.demand > 0 || waiting > 0)
    }

    /// Returns the demand to ask for permits with, if that is due. `waiting` requests wait for one.
    pub fn next_demand(&mut self, now: Instant, waiting: usize) -> Option<Rate> {
        if !self.is_due(now, waiting) {
            return None;
        }
        let demand = self.demand.saturating_add(u32::try_from(waiting).unwrap_or(u32::MAX));
        let time = now.saturating_duration_since(self.since).max(MIN_DEMAND_TIME);
        let earned = self.earned + self.expected.unwrap_or_default().over(time);
        self.earned = if time > MAX_EARNING_TIME { 0.0 } else { earned.min(1.0) };
        (self.demand, self.since, self.is_pending) = (0, now, true);
        Some(Rate::per_second(f64::from(demand) / time.as_secs_f64()))
    }

    /// Drops all permits, those that are on their way included.
    pub fn drop_permits(&mut self, now: Instant) {
        (self.permits, self.lease, self.valid_from) = (0, None, now);
        self.bucket = Bucket::empty(now);
    }

    /// Returns the hundredths of a request that the instance's part has added up to since it was
    /// granted one.
    pub fn earned(&self) -> u8 {
        (self.earned * 100.0) as u8
    }

    /// Applies the grant that replies to the request for permits sent at `sent`.
    pub fn apply(&mut self, now: Instant, sent: Instant, grant: &Grant) {
        self.advance(now);
        (self.is_pending, self.misses) = (false, 0);
        if sent < self.valid_from {
            return;
        }
        let interval = Duration::from_millis(u64::from(grant.interval_ms));
        self.next_request = sent + interval;
        self.expected = Some(grant.expected);
        (self.permits, self.permits_until) = (grant.permits, sent + PERMIT_TTL);
        if self.permits > 0 || grant.rate > Rate::ZERO {
            self.earned = 0.0;
        }
        let until = sent + lease_time(interval);
        let lease = Lease { rate: grant.rate, limit: self.limit, until };
        self.lease = (grant.rate > Rate::ZERO).then_some(lease);
    }

    /// Records that a request for permits got no reply. After several, the instance uses the part
    /// of the rate that it owns, and asks again after `interval`.
    pub fn record_unanswered(&mut self, now: Instant, own_part: Rate, interval: Duration) {
        self.advance(now);
        self.is_pending = false;
        self.misses += 1;
        if self.misses < MAX_MISSES {
            return;
        }
        self.next_request = now + interval;
        self.expected = Some(own_part);
        let until = now + lease_time(interval);
        self.lease = Some(Lease { rate: own_part, limit: self.limit, until });
    }

    /// Returns whether a reply is awaited, or permits may be requested at any time.
    pub fn is_open(&self, now: Instant) -> bool {
        self.is_pending || now >= self.next_request
    }

    /// Returns the earliest time at which there may be a permit.
    pub fn earliest_permit(&self, now: Instant) -> Instant {
        let is_soon = self.lease.is_some() || self.is_open(now);
        if is_soon { now } else { self.next_request }
    }

    /// Returns when a permit was last used, or when the limit became known.
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Returns the rate that the last reply made expect, or the whole limit before the first one.
    pub fn usual_rate(&self) -> Rate {
        self.expected.unwrap_or(self.limit)
    }

    /// Returns when the permits were last brought up to date.
    pub fn updated(&self) -> Instant {
        self.bucket.updated
    }
}
