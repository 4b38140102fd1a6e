//! Order in which generations wait for admission.

use crate::gossip::Work;
use crate::id::ServiceName;
use crate::pool::{Endpoint, Pool};
use crate::route::Urgency;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Number of times that a waiting generation is passed. After that it is the next to start of its
/// urgency, so that no size waits for ever.
pub const MAX_PASSES: u32 = 4;
/// Least ratio between the work of a generation that is passed and that of the one that passes it.
const MIN_PASS_RATIO: u64 = 2;
/// Least ratio between the longest and the shortest target of routes that differ widely.
const MIN_TARGET_RATIO: u32 = 2;

/// Position in a queue, ordered by urgency, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    urgency: Urgency,
    number: u64,
}

/// Place of a request in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of requests that come before it.
    pub ahead: usize,
    /// Whether it may pass all of them.
    pub may_pass: bool,
}

impl Place {
    /// Returns whether the request may be sent to this endpoint now. Permits for a limited endpoint are
    /// used in the order of the queue.
    pub fn may_start(self, e: &Endpoint) -> bool {
        self.ahead == 0 || (self.may_pass && !e.is_limited())
    }
}

/// A waiting request.
#[derive(Debug, Default)]
struct Waiter {
    /// Work of a generation that others may pass and that may pass others.
    work: Option<Work>,
    /// Whether it could not be sent when it was last its turn, or was held up by those before it.
    is_blocked: bool,
    /// Number of times that it was passed.
    passed: u32,
}

impl Waiter {
    /// Returns whether a generation that adds `work` may start before this one.
    fn lets_pass(&self, work: &Work) -> bool {
        let is_smaller = |own: &Work| {
            work.unread.saturating_mul(MIN_PASS_RATIO) <= own.unread
                && work.held.saturating_mul(MIN_PASS_RATIO) <= own.held
        };
        self.is_blocked && self.passed < MAX_PASSES && self.work.as_ref().is_some_and(is_smaller)
    }
}

/// Queues of waiting requests, one per service.
///
/// The first of a queue starts first. Answers the load of long and short prompts that wait for busy
/// engines: while those before it cannot be sent, a generation with at most half of the work of each
/// passes them, since an engine may have room for it and not for them. Each is passed at most
/// [`MAX_PASSES`] times, and never by a less urgent one.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: HashMap<ServiceName, BTreeMap<Ticket, Waiter>>,
    last_number: u64,
}

impl WaitQueue {
    /// Adds a request that keeps its place to the queue of a service.
    pub fn join(&mut self, service: &ServiceName, urgency: Urgency) -> Ticket {
        self.insert(service, urgency, Waiter::default())
    }

    /// Adds a generation that may pass others, and be passed, to the queue of a service.
    pub fn join_sized(&mut self, service: &ServiceName, urgency: Urgency, work: Work) -> Ticket {
        self.insert(service, urgency, Waiter { work: Some(work), ..Waiter::default() })
    }

    fn insert(&mut self, service: &ServiceName, urgency: Urgency, waiter: Waiter) -> Ticket {
        self.last_number += 1;
        let ticket = Ticket { urgency, number: self.last_number };
        self.waiting.entry(service.clone()).or_default().insert(ticket, waiter);
        ticket
    }

    /// Removes a request from the queue of a service.
    pub fn leave(&mut self, service: &ServiceName, ticket: Ticket) {
        if let Some(queue) = self.waiting.get_mut(service) {
            queue.remove(&ticket);
        }
    }

    /// Records whether a request cannot be sent now.
    pub fn set_blocked(&mut self, service: &ServiceName, ticket: Ticket, is_blocked: bool) {
        let queue = self.waiting.get_mut(service);
        if let Some(waiter) = queue.and_then(|queue| queue.get_mut(&ticket)) {
            waiter.is_blocked = is_blocked;
        }
    }

    /// Returns whether a request is at the head of the queue.
    pub fn is_first(&self, service: &ServiceName, ticket: Ticket) -> bool {
        let first = self.waiting.get(service).and_then(|queue| queue.first_key_value());
        first.is_some_and(|(first, _)| *first == ticket)
    }

    /// Returns the place of a request in the queue of a service.
    pub fn place(&self, service: &ServiceName, ticket: Ticket) -> Place {
        let queue = self.waiting.get(service);
        let work = queue.and_then(|queue| queue.get(&ticket)?.work);
        Place { ahead: self.ahead(service, ticket), may_pass: self.may_pass(service, ticket, work) }
    }

    /// Returns the place of a request that joins now; `work` is that of a generation that may pass
    /// others.
    pub fn place_of_new(
        &self,
        service: &ServiceName,
        urgency: Urgency,
        work: Option<Work>,
    ) -> Place {
        let last = Ticket { urgency, number: u64::MAX };
        Place { ahead: self.ahead(service, last), may_pass: self.may_pass(service, last, work) }
    }

    fn may_pass(&self, service: &ServiceName, ticket: Ticket, work: Option<Work>) -> bool {
        let (Some(queue), Some(work)) = (self.waiting.get(service), work) else { return false };
        let mut before = queue.range(..ticket);
        before.all(|(other, waiter)| other.urgency == ticket.urgency && waiter.lets_pass(&work))
    }

    /// Records that a generation starts before those before it. Returns their number.
    pub fn pass(&mut self, service: &ServiceName, ticket: Ticket) -> usize {
        let passed = self.passed_by(service, ticket);
        passed.map(|waiter| waiter.passed += 1).count()
    }

    /// Takes back what [`WaitQueue::pass`] recorded, as the generation was not admitted.
    pub fn undo_pass(&mut self, service: &ServiceName, ticket: Ticket) {
        let passed = self.passed_by(service, ticket);
        passed.for_each(|waiter| waiter.passed = waiter.passed.saturating_sub(1));
    }

    /// Returns those that a generation passes: more urgent ones that have joined since are not
    /// among them.
    fn passed_by(
        &mut self,
        service: &ServiceName,
        ticket: Ticket,
    ) -> impl Iterator<Item = &mut Waiter> {
        let first = Ticket { urgency: ticket.urgency, number: 0 };
        let queue = self.waiting.get_mut(service).into_iter();
        queue.flat_map(move |queue| queue.range_mut(first..ticket).map(|(_, waiter)| waiter))
    }

    /// Returns how often a request was passed.
    pub fn times_passed(&self, service: &ServiceName, ticket: Ticket) -> u32 {
        let queue = self.waiting.get(service);
        queue.and_then(|queue| queue.get(&ticket)).map_or(0, |waiter| waiter.passed)
    }

    /// Returns the number of requests that come before one in the queue of a service.
    pub fn ahead(&self, service: &ServiceName, ticket: Ticket) -> usize {
        self.waiting.get(service).map_or(0, |queue| queue.range(..ticket).count())
    }

    /// Returns the number of requests waiting for a service.
    pub fn len(&self, service: &ServiceName) -> usize {
        self.waiting.get(service).map_or(0, BTreeMap::len)
    }
}

/// Returns whether generations of a service may pass others in the queue; `targets` are those of its
/// routes.
///
/// They do where the targets of the routes differ widely, and where engines state their slowness: these
/// share their machines, so that room for a long prompt comes and goes.
pub fn has_passing(
    pool: &Pool,
    service: &ServiceName,
    targets: impl Iterator<Item = Duration>,
) -> bool {
    let mut endpoints = pool.endpoints.values().filter(|e| e.listing.service == *service);
    if endpoints.any(|e| e.speed.is_stated()) {
        return true;
    }
    let range = |(min, max): (Duration, Duration), t: Duration| (min.min(t), max.max(t));
    let (min, max) = targets.fold((Duration::MAX, Duration::ZERO), range);
    max >= min.saturating_mul(MIN_TARGET_RATIO)
}
