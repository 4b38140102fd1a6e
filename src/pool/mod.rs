//! The pool of listed endpoints, with their health and the work sent to them.
//!
//! Listings come from the store. They may be out of date, expire while the store is unavailable, or
//! name a new endpoint at a reused address. What this instance observes itself, that an endpoint is
//! leaving or refuses connections, takes precedence over the listing.

mod cold;
mod departure;
mod endpoint;
mod evacuation;
mod notice;
mod outliers;
mod speed;
mod statement;

pub use endpoint::{Closure, Endpoint, Load, Standing};
pub use evacuation::{Evacuation, Evacuations, Progress};
pub use notice::{Availability, Hold, Notices, Purpose};
pub use speed::{TokenTime, TokenTimer};
pub use statement::Statements;

use crate::board::FAILURE_LIMIT;
use crate::gossip::{PeerLoads, Tag, Work};
use crate::id::{DataCentre, EndpointId, ServiceName};
use crate::limit::Rate;
use departure::Departures;
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which an endpoint is kept whose listing lapsed while the store was unavailable.
const LAPSE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Share of the endpoints of a service that is never ejected for failures in a row, in percent.
const MIN_USABLE_PERCENT: usize = 50;
/// The same for endpoints that fail more than the others, so that the others are known to do better.
const MIN_BETTER_PERCENT: usize = 33;
/// Initial time for which an unreachable endpoint is not used; doubles with each failure in a row.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1000);
/// Upper bound of that time. Network partitions between an instance and its endpoints last seconds.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_secs(8);

new_key_type! {
    /// Key of an endpoint in the pool of one instance.
    pub struct PoolKey;
}

/// Listing of an endpoint in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Id of the endpoint; it may be reused after a restart.
    pub id: EndpointId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub centre: DataCentre,
    /// Number of requests that it runs at one time.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Remaining warm-up time, during which it is slow; `None` if it cannot be read.
    pub warmup: Option<Duration>,
    /// Start time in milliseconds since the Unix epoch, if listed.
    pub started_ms: Option<u64>,
}

impl Listing {
    /// Returns a number that is most likely another one after a restart of the endpoint.
    fn incarnation(&self) -> u16 {
        self.started_ms.unwrap_or(0) as u16
    }
}

/// What a full set of listings was read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store, with all changes that it has acknowledged.
    Current,
    /// An older copy, from which the store has just come back.
    Copy,
}

/// Change to the pool that is published as an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// An endpoint was added.
    Joined(EndpointId),
    /// An endpoint is leaving.
    Leaving(EndpointId),
    /// An endpoint is no longer listed.
    Left(EndpointId),
    /// An endpoint was ejected after failures, or is not used because it was unreachable.
    Ejected(EndpointId),
    /// An endpoint was ejected because it fails more requests than the others of its service.
    Outlying(EndpointId),
    /// An ejected or unreachable endpoint may get requests again.
    Readmitted(EndpointId),
    /// An endpoint is cold and gets only what it tolerates.
    Cold(EndpointId),
    /// An endpoint that was cold is used like the others again.
    Warm(EndpointId),
}

/// All endpoints known to this instance.
#[derive(Debug, Default)]
pub struct Pool {
    /// Endpoints, including removed ones that still run generations of this instance.
    pub endpoints: SlotMap<PoolKey, Endpoint>,
    ids: HashMap<EndpointId, PoolKey>,
    /// Keys by tag; the newest endpoint if an id was reused.
    tags: HashMap<Tag, PoolKey>,
    departures: Departures,
    evacuations: Evacuations,
    /// Requests a second that cold endpoints tolerate, by service.
    cold_rates: HashMap<ServiceName, Rate>,
}

impl Pool {
    /// Finds an endpoint by its id.
    pub fn find(&self, id: &EndpointId) -> Option<PoolKey> {
        self.ids.get(id).copied()
    }

    /// Finds an endpoint by its tag in messages between instances.
    pub fn find_by_tag(&self, tag: Tag) -> Option<&Endpoint> {
        self.tags.get(&tag).and_then(|k| self.endpoints.get(*k))
    }

    /// Finds the key of an endpoint by its tag.
    pub fn find_key_by_tag(&self, tag: Tag) -> Option<PoolKey> {
        self.tags.get(&tag).copied()
    }

    /// Adds the endpoint of a listing, or updates it if it is known.
    pub fn upsert(&mut self, now: Instant, listing: Listing) -> Option<Change> {
        let id = listing.id.clone();
        let known = self.find(&id).filter(|k| !self.is_restarted(*k, &listing));
        let Some(key) = known else {
            self.remove(now, &id);
            let key = self.endpoints.insert(Endpoint::new(now, listing));
            self.update_notices(now, key);
            self.tags.insert(Tag::of(&id), key);
            self.ids.insert(id.clone(), key);
            self.departures.forget(&id);
            return Some(Change::Joined(id));
        };
        let e = &mut self.endpoints[key];
        let was_leaving = e.is_leaving();
        e.warmup_end = listing.warmup.map_or(e.warmup_end, |left| now + left);
        e.listing = listing;
        e.update_standing(now);
        let has_left = e.is_leaving() && !was_leaving;
        self.update_notices(now, key);
        has_left.then_some(Change::Leaving(id))
    }

    /// Returns the last listing of an endpoint, without its cold time, which has run on since.
    pub fn last_listing(&self, id: &EndpointId) -> Option<Listing> {
        let known = &self.endpoints.get(self.find(id)?)?.listing;
        Some(Listing { warmup: None, ..known.clone() })
    }

    /// Returns whether a listing belongs to another start of the endpoint than the known one.
    fn is_restarted(&self, key: PoolKey, listing: &Listing) -> bool {
        let known = &self.endpoints[key].listing;
        known.address != listing.address
            || known.service != listing.service
            || matches!((known.started_ms, listing.started_ms), (Some(a), Some(b)) if a != b)
    }

    /// Removes an endpoint that is no longer listed; its generations have to be moved.
    pub fn remove(&mut self, now: Instant, id: &EndpointId) -> Option<Change> {
        let key = self.ids.remove(id)?;
        let e = &mut self.endpoints[key];
        e.start_leaving(now);
        self.departures.record(now, &e.listing);
        self.drop_unused(key);
        Some(Change::Left(id.clone()))
    }

    /// Returns whether a listing from a copy may be outdated: the endpoint was removed or restarted
    /// since the listing was written.
    fn is_outdated(&self, listing: &Listing) -> bool {
        match self.find(&listing.id) {
            Some(key) => self.endpoints[key].listing.started_ms > listing.started_ms,
            None => self.departures.contains(listing),
        }
    }

    /// Marks an endpoint as lapsed whose listing is missing after the store was unavailable. It is
    /// kept for a while in case it is listed again.
    pub fn mark_lapsed(&mut self, now: Instant, id: &EndpointId) {
        if let Some(e) = self.find(id).map(|k| &mut self.endpoints[k])
            && e.standing == Standing::Serving
        {
            e.standing = Standing::Lapsed(now + LAPSE_TIMEOUT);
        }
    }

    /// Applies the full set of listings after the store was unavailable. Listings from a copy bring
    /// back no endpoint that was removed recently. An endpoint that the set lacks stays as it is if its
    /// listing `has_changed` since the set was read.
    pub fn replace_listings(
        &mut self,
        now: Instant,
        mut all: Vec<Listing>,
        source: Source,
        has_changed: impl Fn(&EndpointId) -> bool,
    ) -> Vec<Change> {
        if source == Source::Copy {
            all.retain(|l| !self.is_outdated(l));
        }
        let is_missing = |id: &&EndpointId| all.iter().all(|l| l.id != **id) && !has_changed(id);
        let missing: Vec<EndpointId> = self.ids.keys().filter(is_missing).cloned().collect();
        missing.iter().for_each(|id| self.mark_lapsed(now, id));
        all.into_iter().filter_map(|l| self.upsert(now, l)).collect()
    }

    /// Records that an endpoint reported that it is leaving, or proved not to be the listed one. If
    /// its listing has lapsed too, it is removed: no listing will show its end.
    pub fn mark_leaving(&mut self, now: Instant, key: PoolKey) {
        let Some(e) = self.endpoints.get_mut(key) else { return };
        if matches!(e.standing, Standing::Lapsed(_)) {
            let id = e.listing.id.clone();
            self.remove(now, &id);
        } else {
            e.start_leaving(now);
        }
    }

    /// Records that an endpoint refused a connection. It appears idle and would otherwise be chosen
    /// first. Unlike a failing endpoint it serves no requests at all, so `MIN_USABLE_PERCENT` does
    /// not apply.
    pub fn record_unreachable(&mut self, now: Instant, key: PoolKey) -> Option<Change> {
        let e = self.endpoints.get_mut(key).filter(|e| e.unreachable_until.is_none())?;
        let time = UNREACHABLE_BACKOFF
            .saturating_mul(1 << e.connect_failures.min(5))
            .min(MAX_UNREACHABLE_BACKOFF);
        e.unreachable_until = Some(now + time);
        e.connect_failures += 1;
        Some(Change::Ejected(e.listing.id.clone()))
    }

    /// Records that an endpoint answered.
    pub fn record_reachable(&mut self, key: PoolKey) {
        if let Some(e) = self.endpoints.get_mut(key) {
            (e.unreachable_until, e.connect_failures) = (None, 0);
        }
    }

    /// Adds the work of a request that is sent to an endpoint.
    pub fn add_work(&mut self, key: PoolKey, work: Work) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.own += work;
        }
    }

    /// Records the time per output token of a stream that this instance relays from an endpoint.
    pub fn observe_token_time(&mut self, now: Instant, key: PoolKey, time: Duration) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.token_time.observe(now, time);
            e.own_token_time.observe(now, time);
        }
    }

    /// Records the time per output token that another instance sees at an endpoint.
    pub fn observe_peer_token_time(&mut self, now: Instant, tag: Tag, time: Duration) {
        if let Some(e) = self.tags.get(&tag).and_then(|k| self.endpoints.get_mut(*k)) {
            e.token_time.observe(now, time);
        }
    }

    /// Returns the mean time per output token over the engines of a service; `None` if no engine
    /// has a recent one.
    pub fn mean_token_time(&self, now: Instant, service: &ServiceName) -> Option<Duration> {
        let engines = self.endpoints.values().filter(|e| e.serves(service));
        let (sum, count) = engines
            .filter_map(|e| e.token_time.get(now))
            .fold((Duration::ZERO, 0), |(sum, count), time| (sum + time, count + 1));
        sum.checked_div(count)
    }

    /// Subtracts the prompt tokens of a request whose prefill is complete.
    pub fn finish_prefill(&mut self, key: PoolKey, unread: u64) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.own.unread -= unread;
        }
    }

    /// Subtracts the work of a request that has ended.
    pub fn remove_work(&mut self, key: PoolKey, work: Work) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.own -= work;
            self.drop_unused(key);
        }
    }

    /// Updates the work of other instances at the endpoints where it has changed.
    pub fn update_peer_work(&mut self, peer_loads: &mut PeerLoads) {
        for tag in peer_loads.take_changed() {
            if let Some(e) = self.tags.get(&tag).and_then(|k| self.endpoints.get_mut(*k)) {
                e.others = peer_loads.at(tag);
            }
        }
    }

    /// Updates the work of other instances at all endpoints, including new ones.
    pub fn update_all_peer_work(&mut self, peer_loads: &mut PeerLoads) {
        peer_loads.take_changed();
        self.endpoints.values_mut().for_each(|e| e.others = peer_loads.at(e.tag));
    }

    /// Drops a removed endpoint once this instance has no work on it.
    fn drop_unused(&mut self, key: PoolKey) {
        let e = &self.endpoints[key];
        if e.own == Work::default() && self.ids.get(&e.listing.id) != Some(&key) {
            let tag = e.tag;
            self.endpoints.remove(key);
            if self.tags.get(&tag) == Some(&key) {
                self.tags.remove(&tag);
            }
        }
    }

    /// Ejects endpoints that keep failing or fail far more than others, readmits those whose
    /// ejection or back-off has ended, and removes lapsed ones that were not listed again in time.
    pub fn step(&mut self, now: Instant) -> Vec<Change> {
        self.departures.step(now);
        let mut changes = Vec::new();
        let mut lapsed = Vec::new();
        let mut failing = Vec::new();
        for (key, e) in &mut self.endpoints {
            e.notices.paused_until.take_if(|t| *t <= now);
            changes.extend(e.update_cold(now));
            let is_backoff_over = e.unreachable_until.is_some_and(|t| t <= now);
            if is_backoff_over {
                e.unreachable_until = None;
            }
            let is_readmitted = e.health.readmit(now);
            if is_readmitted {
                // What came in during the ejection is no evidence of the trial.
                e.outcomes.clear();
            }
            if is_readmitted || is_backoff_over {
                changes.push(Change::Readmitted(e.listing.id.clone()));
            }
            if matches!(e.standing, Standing::Lapsed(t) if t <= now) {
                lapsed.push(e.listing.id.clone());
            }
            if e.health.ejected_until.is_none() && e.health.failures >= FAILURE_LIMIT {
                failing.push(key);
            }
        }
        changes.extend(lapsed.iter().filter_map(|id| self.remove(now, id)));
        let outliers = self.outliers(now);
        changes.extend(outliers.into_iter().filter_map(|key| {
            self.eject(now, key, MIN_BETTER_PERCENT)?;
            Some(Change::Outlying(self.endpoints[key].listing.id.clone()))
        }));
        changes
            .extend(failing.into_iter().filter_map(|key| self.eject(now, key, MIN_USABLE_PERCENT)));
        changes
    }

    /// Ejects an endpoint unless less than `floor` percent of its service would be left.
    fn eject(&mut self, now: Instant, key: PoolKey, floor: usize) -> Option<Change> {
        let is_used = |e: &&Endpoint| e.health.ejected_until.is_none() && !e.is_evacuated();
        let service = self.endpoints.get(key).filter(is_used)?.listing.service.clone();
        let counts = |e: &&Endpoint| e.listing.service == service && !e.is_evacuated();
        let same_service = || self.endpoints.values().filter(counts);
        let serving = same_service().filter(|e| e.is_usable()).count();
        // At the minimum, using a failing endpoint is better than overloading the others.
        if serving <= (same_service().count() * floor).div_ceil(100) {
            return None;
        }
        let e = &mut self.endpoints[key];
        e.health.eject(now);
        e.outcomes.clear();
        Some(Change::Ejected(e.listing.id.clone()))
    }
}
