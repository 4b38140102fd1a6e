//! An endpoint as one instance knows it, and whether it may get requests.

use super::{Hold, Listing, Notices, Purpose, Statements, TokenTime};
use crate::board::Health;
use crate::gossip::{Tag, Work};
use crate::id::ServiceName;
use crate::outlier::Outcomes;
use crate::speed::{Slowness, Speed};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Age after which the load that an endpoint reported is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_millis(600);
/// Most concurrent requests to an endpoint that is on trial after an ejection.
const MAX_TRIAL_REQUESTS: u32 = 1;

/// Load of an endpoint, as reported with a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// How long work takes there at this moment, if reported.
    pub slowness: Option<Slowness>,
}

/// State of an endpoint according to its listing and its own reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// Accepts new work.
    Serving,
    /// Leaving since the given time; its running generations have to be moved.
    Leaving(Instant),
    /// Its listing lapsed; it is removed if not listed again by the given time.
    Lapsed(Instant),
}

/// Why an endpoint gets no new requests, apart from what it states of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closure {
    /// It is leaving.
    Leaving,
    /// Its listing has lapsed.
    Lapsed,
    /// It was ejected after failures.
    Ejected,
    /// It refused a connection.
    Unreachable,
    /// It is on trial after an ejection, and has a request.
    OnTrial,
}

/// An endpoint as this instance knows it.
#[derive(Debug)]
pub struct Endpoint {
    /// Last listing.
    pub listing: Listing,
    /// Whether it is serving, leaving or lapsed.
    pub standing: Standing,
    /// Failures of requests from this instance, and ejection.
    pub health: Health,
    /// Outcomes of the requests of all instances.
    pub outcomes: Outcomes,
    /// Work that this instance has on it.
    pub own: Work,
    /// Work that the other instances have on it.
    pub others: Work,
    /// Identifies it in messages between instances.
    pub tag: Tag,
    /// Last reported load, and when it was received.
    pub load: Option<(Load, Instant)>,
    /// Time per output token, from the streams of all instances.
    pub token_time: TokenTime,
    /// The same, from the streams of this instance.
    pub own_token_time: TokenTime,
    /// Speed, if it states its slowness.
    pub speed: Speed,
    /// Time at which its warm-up ends.
    pub warmup_end: Instant,
    /// Time until which it is not used because it refused a connection.
    pub unreachable_until: Option<Instant>,
    /// What holds requests back from it.
    pub notices: Notices,
    /// What it has stated to this instance itself.
    pub statements: Statements,
    /// Failed connection attempts in a row, not counting those while it was not used.
    pub(super) connect_failures: u32,
    /// Notifies the generations that run on it when it starts to leave.
    pub leave_signal: Rc<Notify>,
}

impl Endpoint {
    pub(super) fn new(now: Instant, listing: Listing) -> Self {
        let warmup_end = now + listing.warmup.unwrap_or_default();
        let tag = Tag::of(&listing.id);
        let mut e = Endpoint {
            listing,
            standing: Standing::Serving,
            health: Health::default(),
            outcomes: Outcomes::default(),
            own: Work::default(),
            others: Work::default(),
            tag,
            load: None,
            token_time: TokenTime::default(),
            own_token_time: TokenTime::default(),
            speed: Speed::default(),
            warmup_end,
            unreachable_until: None,
            notices: Notices::default(),
            statements: Statements::default(),
            connect_failures: 0,
            leave_signal: Rc::new(Notify::new()),
        };
        e.update_standing(now);
        e
    }

    /// Updates the standing from the listing.
    pub(super) fn update_standing(&mut self, now: Instant) {
        match (self.listing.leaving, self.standing) {
            (true, Standing::Leaving(_)) => {}
            (true, _) => self.start_leaving(now),
            // Leaving is final: a listing without the flag does not revert it.
            (false, Standing::Leaving(_)) => {}
            (false, _) => self.standing = Standing::Serving,
        }
    }

    /// Marks the endpoint as leaving and notifies its generations, once.
    pub(super) fn start_leaving(&mut self, now: Instant) {
        if !matches!(self.standing, Standing::Leaving(_)) {
            self.standing = Standing::Leaving(now);
            self.leave_signal.notify_waiters();
        }
    }

    /// Returns why it gets no new request now, apart from what it states of itself.
    pub fn closure(&self) -> Option<Closure> {
        match self.standing {
            Standing::Leaving(_) => Some(Closure::Leaving),
            Standing::Lapsed(_) => Some(Closure::Lapsed),
            Standing::Serving if self.health.ejected_until.is_some() => Some(Closure::Ejected),
            Standing::Serving if self.unreachable_until.is_some() => Some(Closure::Unreachable),
            Standing::Serving => {
                let is_trial_full = self.health.on_trial && self.own.open >= MAX_TRIAL_REQUESTS;
                is_trial_full.then_some(Closure::OnTrial)
            }
        }
    }

    /// Returns whether it may get a new request now, apart from what it states of itself.
    pub fn is_open(&self) -> bool {
        self.closure().is_none()
    }

    /// Returns whether it may get a new request now.
    pub fn is_usable(&self) -> bool {
        self.is_open() && self.hold(Purpose::Request).is_none()
    }

    /// Returns whether running generations of a service may move to it. They may wait there for a
    /// permit.
    pub fn accepts_moves(&self, service: &ServiceName) -> bool {
        let hold = self.hold(Purpose::Request).filter(|hold| *hold != Hold::Limited);
        self.listing.service == *service && self.is_open() && hold.is_none()
    }

    /// Returns whether it may get a new request for a service now.
    pub fn serves(&self, service: &ServiceName) -> bool {
        self.listing.service == *service && self.is_usable()
    }

    /// Returns whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        matches!(self.standing, Standing::Leaving(_))
    }

    /// Returns the work that all instances have on it.
    pub fn work(&self) -> Work {
        let mut sum = self.own;
        sum += self.others;
        sum
    }

    /// Returns the estimated number of requests at the endpoint: the larger of the requests that
    /// instances have open there and its last reported load, if recent.
    pub fn open_requests(&self, now: Instant) -> u32 {
        let reported =
            self.load.filter(|(_, at)| now.saturating_duration_since(*at) < MAX_LOAD_AGE);
        reported.map_or(0, |(l, _)| l.running.saturating_add(l.waiting)).max(self.work().open)
    }
}
