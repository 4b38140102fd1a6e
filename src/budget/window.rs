//! Keeps the retries of all instances together within what is allowed in any window of time.
//!
//! Answers the load of endpoints that fail or reject requests at many instances at once, late in a
//! calm day, and again while instances start, stop, or are cut off. Each instance keeps to a part of
//! the allowed retries that it owns, so that the sum holds without any message:
//!
//! - For each request that it received, it owns half of what the ratio allows over two windows.
//!   What it did not use expires with them and is not saved up.
//! - It owns an equal part of the slack while it is registered. An instance that registers waits
//!   until the others count it too, and until what they and its previous process sent before does not
//!   count any more.
//!
//! What an instance does not need it lends to one that asks, in parts of a retry too: where many
//! instances share the requests, none of them owns a whole one.

use crate::id::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

/// Part of the allowed retries that is used. The rest covers requests that reach their endpoints
/// late, or were counted late.
const USED_PART: f64 = 0.9;
/// Part of the window by which retries count longer and requests less long, as a divisor.
const MARGIN_DIVISOR: u32 = 10;
/// Time for which requests are counted together.
const BUCKET: Duration = Duration::from_millis(100);
/// Time within which a borrowed retry has to be made.
pub const LOAN_TTL: Duration = Duration::from_millis(2000);
/// Time without asking other instances after none of them had a retry to lend.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Difference up to which a number of retries, or of hundredths, counts as whole.
const ROUNDING: f64 = 1e-6;

/// Retries that are allowed in any window of time, over all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Retries for each request in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Retries beyond these.
    pub slack: f64,
}

impl Terms {
    fn margin(&self) -> Duration {
        self.window / MARGIN_DIVISOR
    }

    /// Returns the time for which a retry counts.
    fn retention(&self) -> Duration {
        self.window + self.margin()
    }
}

/// Hundredths of a retry, as instances lend them to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hundredths(u16);

impl Hundredths {
    /// Returns the parts of a number of retries, rounded down.
    fn of(retries: f64) -> Self {
        Hundredths((retries * 100.0 + ROUNDING) as u16)
    }

    /// Returns the number of retries.
    fn retries(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Returns whether this is nothing.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Hundredths {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}", self.0 / 100, self.0 % 100)
    }
}

/// What a retry that has begun takes from the part of this instance. The rest is borrowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge(f64);

impl Charge {
    /// Returns whether a part of the retry is borrowed.
    pub fn is_borrowed(self) -> bool {
        self.0 < 1.0
    }
}

/// Requests and retries of one service.
#[derive(Debug, Default)]
struct Ledger {
    /// Requests by the start of the time in which they were received.
    requests: VecDeque<(Instant, u32)>,
    /// Retries that have begun and may reach their endpoint at any time.
    open: f64,
    /// When the other retries reached their endpoints at the latest, in order, and how much of each
    /// was this instance's.
    spent: VecDeque<(Instant, f64)>,
    /// Until when parts of retries are borrowed, in order.
    loans: VecDeque<(Instant, f64)>,
    /// When other instances may be asked again.
    next_ask: Option<Instant>,
}

impl Ledger {
    fn expire(&mut self, now: Instant, terms: &Terms) {
        while self.spent.front().is_some_and(|(at, _)| *at + terms.retention() <= now) {
            self.spent.pop_front();
        }
        while self.requests.front().is_some_and(|(at, _)| *at + terms.window * 2 <= now) {
            self.requests.pop_front();
        }
        while self.loans.front().is_some_and(|(until, _)| *until <= now) {
            self.loans.pop_front();
        }
    }

    fn note_request(&mut self, now: Instant) {
        match self.requests.back_mut() {
            Some((start, n)) if now < *start + BUCKET => *n += 1,
            _ => self.requests.push_back((now, 1)),
        }
    }

    fn spend(&mut self, at: Instant, amount: f64) {
        if amount == 0.0 {
            return;
        }
        let ix = self.spent.partition_point(|(other, _)| *other <= at);
        self.spent.insert(ix, (at, amount));
    }

    /// Returns the retries that may begin now, where the instance owns `part` of the slack.
    fn left(&self, now: Instant, terms: &Terms, part: f64) -> f64 {
        let reach = terms.window - terms.margin();
        let earned = terms.ratio * USED_PART / 2.0;
        let lent = self.spent.len() - self.spent.partition_point(|(at, _)| *at <= now);
        let newest = self.spent.iter().rev().copied();
        // Of the windows with the same retries, the one that begins with a retry has the fewest
        // requests.
        let starts = newest.clone().take(lent).chain(std::iter::once((now, 0.0)));
        let mut requests = self.requests.iter().rev().peekable();
        let (mut received, mut retries, mut left) = (0, self.open, f64::INFINITY);
        for (start, amount) in starts.chain(newest.skip(lent)) {
            while let Some((_, n)) = requests.next_if(|(at, _)| *at + reach >= start) {
                received += n;
            }
            retries += amount;
            left = left.min(part + earned * f64::from(received) - retries);
        }
        left.max(0.0)
    }

    /// Returns the parts of retries that are borrowed.
    fn borrowed(&self) -> f64 {
        self.loans.iter().map(|(_, amount)| amount).sum()
    }

    /// Uses borrowed parts, the oldest first.
    fn use_loans(&mut self, mut amount: f64) {
        while amount > ROUNDING
            && let Some((_, loan)) = self.loans.front_mut()
        {
            let used = loan.min(amount);
            (*loan, amount) = (*loan - used, amount - used);
            if *loan < ROUNDING {
                self.loans.pop_front();
            }
        }
    }
}

/// Number of registered instances over time.
#[derive(Debug, Default)]
struct FleetSize(VecDeque<(Instant, usize)>);

impl FleetSize {
    fn record(&mut self, now: Instant, n: usize) {
        if self.0.back().is_none_or(|(_, last)| *last != n) {
            self.0.push_back((now, n));
        }
    }

    /// Returns the largest number since a time.
    fn largest_since(&mut self, since: Option<Instant>) -> usize {
        while self.0.get(1).is_some_and(|(at, _)| since.is_some_and(|since| *at <= since)) {
            self.0.pop_front();
        }
        self.0.iter().map(|(_, n)| *n).max().unwrap_or(1)
    }
}

/// The part of one instance in the retries of all.
#[derive(Debug)]
pub struct SharedBudget {
    terms: Terms,
    services: HashMap<ServiceName, Ledger>,
    fleet: FleetSize,
    /// Until when a registration is the first one of the whole system.
    first_until: Instant,
    /// From when to when the others count this instance as registered.
    registered: Option<(Instant, Instant)>,
}

impl SharedBudget {
    /// Starts without any request. `is_first` tells that the whole system starts for the first time.
    pub fn new(now: Instant, terms: Terms, is_first: bool) -> Self {
        let first_until = if is_first { now + terms.window } else { now };
        let (services, fleet) = (HashMap::new(), FleetSize::default());
        SharedBudget { terms, services, fleet, first_until, registered: None }
    }

    /// Changes what is allowed.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Records how many instances are registered, this one included.
    pub fn record_fleet(&mut self, now: Instant, registered: usize) {
        self.fleet.record(now, registered);
    }

    /// Returns the time for which what an instance has sent or lent may count.
    fn memory(&self) -> Duration {
        self.terms.retention() + LOAN_TTL
    }

    /// Records that this instance was registered, or its registration renewed, by a call sent at `now`
    /// that holds for `ttl`.
    pub fn record_registration(&mut self, now: Instant, ttl: Duration) {
        let from = match self.registered {
            Some((from, until)) if now < until => from,
            _ if now < self.first_until => now,
            // An instance that is cut off uses its part of the slack without this one until then.
            _ => now + ttl + self.memory(),
        };
        self.registered = Some((from, now + ttl));
    }

    /// Drops what was earned and borrowed after the machine was suspended for some time, which `now`
    /// does not count.
    pub fn record_suspension(&mut self, suspended: Duration) {
        if let Some((_, until)) = &mut self.registered {
            *until = until.checked_sub(suspended).unwrap_or(*until);
        }
        for ledger in self.services.values_mut() {
            ledger.requests.clear();
            ledger.loans.clear();
        }
    }

    /// Counts a request that a caller has sent.
    pub fn note_request(&mut self, now: Instant, service: &ServiceName) {
        self.ledger(now, service).note_request(now);
    }

    /// Returns the part of the slack that this instance owns now.
    fn part(&mut self, now: Instant) -> f64 {
        if self.registered.is_none_or(|(from, until)| now < from || until <= now) {
            return 0.0;
        }
        // An instance that is not registered any more has used its part in windows that still count.
        let since = now.checked_sub(self.memory());
        self.terms.slack * USED_PART / self.fleet.largest_since(since).max(1) as f64
    }

    fn ledger(&mut self, now: Instant, service: &ServiceName) -> &mut Ledger {
        let ledger = self.services.entry(service.clone()).or_default();
        ledger.expire(now, &self.terms);
        ledger
    }

    /// Returns the retries that this instance has left of its part.
    pub fn left(&mut self, now: Instant, service: &ServiceName) -> f64 {
        let (part, terms) = (self.part(now), self.terms);
        self.ledger(now, service).left(now, &terms, part)
    }

    /// Takes the permission for a retry, which counts until [`SharedBudget::end`].
    pub fn begin(&mut self, now: Instant, service: &ServiceName) -> Option<Charge> {
        let own = self.left(now, service).min(1.0);
        let ledger = self.ledger(now, service);
        if own + ledger.borrowed() < 1.0 - ROUNDING {
            return None;
        }
        ledger.use_loans(1.0 - own);
        ledger.open += own;
        Some(Charge(own))
    }

    /// Records that a retry has reached its endpoint, or cannot reach it any more.
    pub fn end(&mut self, now: Instant, service: &ServiceName, charge: Charge) {
        let ledger = self.ledger(now, service);
        ledger.open -= charge.0;
        ledger.spend(now, charge.0);
    }

    /// Gives back the permission for a retry that has not been sent.
    pub fn release(&mut self, now: Instant, service: &ServiceName, charge: Charge) {
        self.ledger(now, service).open -= charge.0;
    }

    /// Lends retries to another instance. Keeps half of what is left, but no part of a single retry.
    pub fn lend(&mut self, now: Instant, service: &ServiceName, wanted: Hundredths) -> Hundredths {
        let left = self.left(now, service);
        let lent = Hundredths::of((left / 2.0).max(left.min(1.0)).min(wanted.retries()));
        // The borrower may use them until then.
        self.ledger(now, service).spend(now + LOAN_TTL, lent.retries());
        lent
    }

    /// Returns what is missing for a retry.
    pub fn missing(&mut self, now: Instant, service: &ServiceName) -> Hundredths {
        let left = self.left(now, service);
        let missing = 1.0 - left - self.ledger(now, service).borrowed();
        Hundredths::of((missing * 100.0 - ROUNDING).ceil().max(0.0) / 100.0)
    }

    /// Returns whether other instances may be asked for retries.
    pub fn may_ask(&mut self, now: Instant, service: &ServiceName) -> bool {
        self.ledger(now, service).next_ask.is_none_or(|at| at <= now)
    }

    /// Records what another instance has lent in reply to a request sent at `sent`.
    pub fn borrow(&mut self, now: Instant, sent: Instant, service: &ServiceName, lent: Hundredths) {
        let ledger = self.ledger(now, service);
        ledger.loans.push_back((sent + LOAN_TTL, lent.retries()));
    }

    /// Records that the instances that were asked had too little to lend.
    pub fn record_refusal(&mut self, now: Instant, service: &ServiceName) {
        self.ledger(now, service).next_ask = Some(now + ASK_INTERVAL);
    }
}
