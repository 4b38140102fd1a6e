//! What holds requests back from endpoints: that they are leaving, that they want a pause, the limit
//! of their requests, and the evacuation of their data centre. All requests and polls are decided on
//! here.

use super::cold::Cold;
use super::{Change, Endpoint, Pool, PoolKey};
use crate::id::ServiceName;
use crate::limit::{Known, PermitRequest, REPLY_TIMEOUT, Rate, Share};
use std::time::{Duration, Instant};

/// Longest pause that an endpoint may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// What is sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A request, or another attempt of one.
    Request,
    /// A request that resumes a generation which has moved to the endpoint.
    Resume,
    /// A question about the state of an endpoint on which generations run. It brings no work, and
    /// without an answer they are lost when the endpoint leaves.
    Poll,
}

/// Why an endpoint is sent nothing now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// It is leaving.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It has asked for a pause until this time.
    Paused(Instant),
    /// It limits its requests, and this instance has no permit for one.
    Limited,
}

/// What holds requests back from an endpoint, except that it is leaving.
#[derive(Debug, Default)]
pub struct Notices {
    /// Time until which it is not used because it asked for a pause.
    pub paused_until: Option<Instant>,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Limit of its requests, or that it has none; `None` before the first statement.
    limit: Option<Known>,
    /// How long it is cold, and what it tolerates meanwhile.
    pub cold: Cold,
    /// When it will be gone, if an instance has learned that.
    pub gone_at: Option<Instant>,
    /// Permits of this instance, while its requests are limited.
    share: Option<Share>,
}

impl Notices {
    /// Returns the limit that it states, and for which time it is known; `None` if it states none.
    pub fn limit(&self) -> Option<(Rate, Instant)> {
        let known = self.limit?;
        Some((known.limit?, known.at))
    }

    /// Returns what is known of the limit that it states; `None` before the first statement.
    pub fn known_limit(&self) -> Option<Known> {
        self.limit
    }

    /// Returns the rate in force: the smaller of the limit that it states and of what it tolerates while
    /// it is cold.
    fn rate(&self, now: Instant) -> Option<Rate> {
        let (stated, cold) = (self.limit.and_then(|known| known.limit), self.cold.limit(now));
        match (stated, cold) {
            (Some(a), Some(b)) => Some(if a < b { a } else { b }),
            (stated, cold) => stated.or(cold),
        }
    }

    /// Brings the limit of the permits up to date.
    pub fn update_share(&mut self, now: Instant) {
        match (self.rate(now), &mut self.share) {
            (None, share) => *share = None,
            (Some(rate), Some(share)) => share.set_limit(now, rate),
            (Some(rate), share) => *share = Some(Share::new(now, rate)),
        }
    }

    /// Returns the permits of this instance; `None` if there is no limit.
    pub fn share(&mut self) -> Option<&mut Share> {
        self.share.as_mut()
    }
}

impl Endpoint {
    /// Returns why nothing is sent for this purpose now, as of the last update of the permits.
    pub fn hold(&self, purpose: Purpose) -> Option<Hold> {
        // A generation that has moved here can go on nowhere else.
        let is_new = purpose != Purpose::Resume;
        if is_new && self.is_leaving() {
            return Some(Hold::Leaving);
        }
        if purpose == Purpose::Request && self.is_evacuated() {
            return Some(Hold::Evacuated);
        }
        if let Some(end) = self.notices.paused_until.filter(|_| is_new) {
            return Some(Hold::Paused(end));
        }
        let share = self.notices.share.as_ref()?;
        let may_send = purpose != Purpose::Poll && share.is_ready();
        (!may_send).then_some(Hold::Limited)
    }

    /// Takes the permission to send something now.
    ///
    /// # Errors
    ///
    /// Returns why nothing may be sent.
    pub fn begin_sending(&mut self, now: Instant, purpose: Purpose) -> Result<(), Hold> {
        if let Some(share) = self.notices.share() {
            share.advance(now);
        }
        if let Some(hold) = self.hold(purpose) {
            return Err(hold);
        }
        let is_permitted = self.notices.share().is_none_or(|share| share.take(now));
        if is_permitted { Ok(()) } else { Err(Hold::Limited) }
    }

    /// Returns whether its data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.notices.evacuated
    }

    /// Returns whether its requests are limited.
    pub fn is_limited(&self) -> bool {
        self.notices.share.is_some()
    }

    /// Returns the limit of its requests from all instances together, as of the last update.
    pub fn limit(&self) -> Option<Rate> {
        self.notices.share.as_ref().map(Share::limit)
    }

    /// Brings the bound of a cold endpoint up to date; returns whether it begins or ends.
    pub(super) fn update_cold(&mut self, now: Instant) -> Option<Change> {
        let is_bound = self.notices.cold.limit(now).is_some();
        if is_bound || self.notices.cold.was_bound {
            self.notices.update_share(now);
        }
        let was_bound = std::mem::replace(&mut self.notices.cold.was_bound, is_bound);
        let id = || self.listing.id.clone();
        match (was_bound, is_bound) {
            (false, true) => Some(Change::Cold(id())),
            (true, false) => Some(Change::Warm(id())),
            _ => None,
        }
    }
}

/// Whether a service has an endpoint that may get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It has one, or one that may be usable again at any time.
    Now,
    /// All that are neither leaving nor evacuated are paused or have no permit left; the first may
    /// be used then.
    At(Instant),
    /// All its endpoints are leaving or evacuated, or none is listed.
    Never,
}

impl Pool {
    /// Records that an endpoint asked for a pause. Of several pauses, the latest end
    /// counts. It is neither a failure nor a departure. Returns whether it was not paused before.
    pub fn pause(&mut self, now: Instant, key: PoolKey, time: Duration) -> bool {
        let Some(e) = self.endpoints.get_mut(key) else { return false };
        let was_paused = e.notices.paused_until.is_some();
        e.notices.paused_until = e.notices.paused_until.max(Some(now + time.min(MAX_PAUSE)));
        !was_paused
    }

    /// Records the limit that an endpoint states, or that it states none. What is older than the
    /// known statement is ignored. Returns whether the limit changed.
    pub fn record_limit(&mut self, now: Instant, key: PoolKey, stated: Known) -> bool {
        let Some(notices) = self.endpoints.get_mut(key).map(|e| &mut e.notices) else {
            return false;
        };
        if notices.limit.is_some_and(|known| known.at > stated.at) {
            return false;
        }
        let stated = stated.at_least_minimum();
        let previous = notices.limit.replace(stated);
        notices.update_share(now);
        previous.and_then(|known| known.limit) != stated.limit
    }

    /// Drops all permits after the machine was suspended for some time, which `now` does not count.
    /// What is known of limits is older by this time.
    pub fn drop_permits(&mut self, now: Instant, suspended: Duration) {
        for notices in self.endpoints.values_mut().map(|e| &mut e.notices) {
            if let Some(known) = &mut notices.limit {
                known.at = known.at.checked_sub(suspended).unwrap_or(known.at);
            }
            notices.share().into_iter().for_each(|share| share.drop_permits(now));
        }
    }

    /// Returns whether a service has an endpoint that may get requests.
    pub fn availability(&self, service: &ServiceName) -> Availability {
        self.availability_after(service, 0)
    }

    /// Returns whether a service has an endpoint that may get a request before which `ahead` others
    /// wait.
    pub fn availability_after(&self, service: &ServiceName, ahead: usize) -> Availability {
        let all = self.endpoints.values().filter(|e| e.listing.service == *service);
        let mut earliest = self.permit_time(service, ahead);
        let mut is_listed = false;
        for e in all {
            match e.hold(Purpose::Request) {
                Some(Hold::Leaving | Hold::Evacuated) => continue,
                Some(Hold::Limited) => {}
                Some(Hold::Paused(end)) => {
                    earliest = Some(earliest.map_or(end, |t| t.min(end)));
                }
                // An endpoint without a hold comes first.
                None => return Availability::Now,
            }
            is_listed = true;
        }
        match earliest {
            Some(time) => Availability::At(time),
            // A limited endpoint that is unreachable may be usable again at any time.
            None if is_listed => Availability::Now,
            None => Availability::Never,
        }
    }

    /// Returns when a request before which `ahead` others wait can expect a permit for a limited
    /// endpoint of a service; `None` if no limited endpoint is usable.
    pub fn permit_time(&self, service: &ServiceName, ahead: usize) -> Option<Instant> {
        let limited = self.endpoints.values().filter(|e| {
            e.listing.service == *service
                && e.is_open()
                && !e.is_evacuated()
                && e.notices.paused_until.is_none()
        });
        let shares: Vec<&Share> = limited.filter_map(|e| e.notices.share.as_ref()).collect();
        let now = shares.iter().map(|s| s.updated()).max()?;
        if ahead == 0 && shares.iter().any(|s| s.is_ready()) {
            return Some(now);
        }
        let rate = Rate::per_second(shares.iter().map(|s| s.usual_rate().as_f64()).sum());
        let last_used = shares.iter().map(|s| s.last_used()).max()?;
        // A permit that is overdue does not make those after it come sooner.
        let overdue = now.checked_sub(rate.time_for(1.0)).unwrap_or(last_used);
        // The next reply may grant something to the first that waits.
        let may_be_next = ahead == 0 && shares.iter().any(|s| s.is_open(now));
        let before = if may_be_next { 0.0 } else { ahead as f64 + 1.0 };
        let in_turn = last_used.max(overdue) + rate.time_for(before);
        let earliest = shares.iter().map(|s| s.earliest_permit(now)).min()?;
        Some(in_turn.max(earliest).max(now + REPLY_TIMEOUT))
    }

    /// Brings the permits for a service's endpoints up to date; returns whether some are due to be
    /// requested. `waiting` requests wait for one.
    pub fn update_permits(&mut self, now: Instant, service: &ServiceName, waiting: usize) -> bool {
        let mut is_due = false;
        for e in self.endpoints.values_mut().filter(|e| e.listing.service == *service) {
            if let Some(share) = e.notices.share() {
                share.advance(now);
                is_due |= share.is_due(now, waiting);
            }
        }
        is_due
    }

    /// Counts a request that could go to any limited endpoint of a service.
    pub fn note_demand(&mut self, service: &ServiceName) {
        let endpoints = self.endpoints.values_mut().filter(|e| e.listing.service == *service);
        endpoints.filter_map(|e| e.notices.share()).for_each(Share::note_demand);
    }

    /// Returns the requests for permits that are due. `waiting` returns the number of requests that
    /// wait for a service.
    pub fn due_permit_requests(
        &mut self,
        now: Instant,
        waiting: impl Fn(&ServiceName) -> usize,
    ) -> Vec<(PoolKey, PermitRequest)> {
        let mut due = Vec::new();
        let used = self.endpoints.iter_mut().filter(|(_, e)| e.is_open() && !e.is_evacuated());
        for (key, e) in used {
            let stated = e.notices.limit();
            let waiting = waiting(&e.listing.service);
            let Some(share) = e.notices.share() else { continue };
            let limit = share.limit();
            // A rate that the endpoint does not state itself is that of a cold one.
            let at = stated.filter(|(rate, _)| *rate == limit).map(|(_, at)| at);
            if let Some(demand) = share.next_demand(now, waiting) {
                let age = now.saturating_duration_since(at.unwrap_or(now)).as_millis();
                let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
                let cold = at.is_none();
                let (tag, earned) = (e.tag, share.earned());
                due.push((key, PermitRequest { tag, limit, age_ms, demand, cold, earned }));
            }
        }
        due
    }
}
