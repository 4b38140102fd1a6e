//! The endpoints that are listed at present, and what this instance sends to them.
//!
//! The list may lag, lapse while the store is away, and name a new endpoint at an old address.
//! What this instance has learned itself, that an endpoint is leaving or refuses connections,
//! goes before what the list says.

use crate::board::{FAILURE_LIMIT, Health};
use crate::gossip::{PeerLoads, Tag, Work};
use crate::id::{DataCentre, EndpointId, ServiceName};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time for which an entry that lapsed while the store was away may come back.
const LAPSE_TIME: Duration = Duration::from_millis(1800);
/// Share of a service that stays in use however many endpoints fail, in percent.
const FLOOR: usize = 50;
/// Time for which a load that an endpoint told of counts.
const LOAD_AGE: Duration = Duration::from_millis(600);
/// Time for which an endpoint that takes no connection is left alone; it doubles each time.
const ABSENT_TIME: Duration = Duration::from_millis(1000);
/// Longest such time: a cut between an instance and its endpoints lasts seconds.
const ABSENT_MOST: Duration = Duration::from_secs(8);
/// Requests that an endpoint gets at one time while it is tried.
const TRIAL_OPEN: u32 = 1;

new_key_type! {
    /// Names an endpoint in the pool of one instance.
    pub struct PoolKey;
}

/// What the list says of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Start of the endpoint.
    pub id: EndpointId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentre,
    /// Requests that run at one time.
    pub slots: u32,
    /// Tells that it is leaving.
    pub leaving: bool,
    /// Time for which it is still slow after its start.
    pub warming: Duration,
    /// When it started, in milliseconds since the Unix epoch, where it says so.
    pub started_ms: Option<u64>,
}

/// Requests at an endpoint, as it told with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Whether an endpoint may get new work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// It may.
    Serving,
    /// It is leaving since then; what runs there has to go.
    Leaving(Instant),
    /// Its entry lapsed, and may be back until then.
    Lapsed(Instant),
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// What the list says.
    pub listing: Listing,
    /// Whether it may get new work.
    pub standing: Standing,
    /// Failures that this instance met.
    pub health: Health,
    /// What this instance has there.
    pub own: Work,
    /// What the other instances have there.
    pub others: Work,
    /// Its name in messages between instances.
    pub tag: Tag,
    /// Load that it told of last, and when.
    pub load: Option<(Load, Instant)>,
    /// When it has warmed up.
    pub warm_at: Instant,
    /// Time until which it is left alone, as it took no connection.
    pub unreachable_until: Option<Instant>,
    /// Times in a row that it took none.
    misses: u32,
    /// Wakes the generations that run there when it begins to leave.
    pub leave_signal: Rc<Notify>,
}

impl Endpoint {
    fn new(now: Instant, listing: Listing) -> Self {
        let warm_at = now + listing.warming;
        let tag = Tag::of(&listing.id);
        let mut e = Endpoint {
            listing,
            standing: Standing::Serving,
            health: Health::default(),
            own: Work::default(),
            others: Work::default(),
            tag,
            load: None,
            warm_at,
            unreachable_until: None,
            misses: 0,
            leave_signal: Rc::new(Notify::new()),
        };
        e.mark(now);
        e
    }

    fn mark(&mut self, now: Instant) {
        match (self.listing.leaving, self.standing) {
            (true, Standing::Leaving(_)) => {}
            (true, _) => self.depart(now),
            // An endpoint that has begun to leave does not come back under the same id.
            (false, Standing::Leaving(_)) => {}
            (false, _) => self.standing = Standing::Serving,
        }
    }

    fn depart(&mut self, now: Instant) {
        if !matches!(self.standing, Standing::Leaving(_)) {
            self.standing = Standing::Leaving(now);
            self.leave_signal.notify_waiters();
        }
    }

    /// Tells whether it may get a new request now.
    pub fn is_usable(&self) -> bool {
        let is_out = self.health.ejected_until.is_some();
        let is_tried = self.health.on_trial && self.own.open >= TRIAL_OPEN;
        self.standing == Standing::Serving
            && !is_out
            && !is_tried
            && self.unreachable_until.is_none()
    }

    /// Tells whether it may get a new request of a service now.
    pub fn serves(&self, service: &ServiceName) -> bool {
        self.listing.service == *service && self.is_usable()
    }

    /// Tells whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        matches!(self.standing, Standing::Leaving(_))
    }

    /// Returns what all instances have there.
    pub fn work(&self) -> Work {
        let mut sum = self.own;
        sum += self.others;
        sum
    }

    /// Returns the requests thought to be there: what instances have open, and at least its own
    /// word while that is fresh.
    pub fn open_requests(&self, now: Instant) -> u32 {
        let told = self.load.filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_AGE);
        told.map_or(0, |(l, _)| l.running + l.waiting).max(self.work().open)
    }
}

/// A change that others should know of.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// An endpoint joined.
    Joined(EndpointId),
    /// An endpoint is leaving.
    Leaving(EndpointId),
    /// An endpoint is no longer listed.
    Left(EndpointId),
    /// An endpoint was ejected after failures.
    Ejected(EndpointId),
    /// An ejected endpoint is tried again.
    Readmitted(EndpointId),
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Pool {
    /// Endpoints, those that are gone but still run generations included.
    pub endpoints: SlotMap<PoolKey, Endpoint>,
    ids: HashMap<EndpointId, PoolKey>,
    /// Endpoints by their names in messages; the newest start, where an id has had several.
    tags: HashMap<Tag, PoolKey>,
}

impl Pool {
    /// Finds an endpoint by its id.
    pub fn find(&self, id: &EndpointId) -> Option<PoolKey> {
        self.ids.get(id).copied()
    }

    /// Finds an endpoint by its name in messages.
    pub fn find_by_tag(&self, tag: Tag) -> Option<&Endpoint> {
        self.tags.get(&tag).and_then(|k| self.endpoints.get(*k))
    }

    /// Takes over one entry of the list.
    pub fn upsert(&mut self, now: Instant, listing: Listing) -> Option<Change> {
        let id = listing.id.clone();
        let known = self.find(&id).filter(|k| !self.is_reborn(*k, &listing));
        let Some(key) = known else {
            self.remove(now, &id);
            let key = self.endpoints.insert(Endpoint::new(now, listing));
            self.tags.insert(Tag::of(&id), key);
            self.ids.insert(id.clone(), key);
            return Some(Change::Joined(id));
        };
        let e = &mut self.endpoints[key];
        let was_leaving = e.is_leaving();
        e.warm_at = now + listing.warming;
        e.listing = listing;
        e.mark(now);
        (e.is_leaving() && !was_leaving).then_some(Change::Leaving(id))
    }

    /// Tells whether an entry speaks of another start than the one that is known.
    fn is_reborn(&self, key: PoolKey, listing: &Listing) -> bool {
        let known = &self.endpoints[key].listing;
        known.address != listing.address
            || known.service != listing.service
            || matches!((known.started_ms, listing.started_ms), (Some(a), Some(b)) if a != b)
    }

    /// Takes an endpoint out that the list no longer names; its generations have to go.
    pub fn remove(&mut self, now: Instant, id: &EndpointId) -> Option<Change> {
        let key = self.ids.remove(id)?;
        let e = &mut self.endpoints[key];
        e.depart(now);
        self.drop_unused(key);
        Some(Change::Left(id.clone()))
    }

    /// Keeps an endpoint whose entry is missing after the store was away, in case it comes back.
    pub fn lapse(&mut self, now: Instant, id: &EndpointId) {
        if let Some(e) = self.find(id).map(|k| &mut self.endpoints[k])
            && e.standing == Standing::Serving
        {
            e.standing = Standing::Lapsed(now + LAPSE_TIME);
        }
    }

    /// Takes over the whole list as it is after an absence of the store.
    pub fn replace_listings(&mut self, now: Instant, all: Vec<Listing>) -> Vec<Change> {
        let missing: Vec<EndpointId> =
            self.ids.keys().filter(|id| all.iter().all(|l| l.id != **id)).cloned().collect();
        missing.iter().for_each(|id| self.lapse(now, id));
        all.into_iter().filter_map(|l| self.upsert(now, l)).collect()
    }

    /// Notes that an endpoint said itself that it is leaving, or is not the one listed.
    pub fn mark_leaving(&mut self, now: Instant, key: PoolKey) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.depart(now);
        }
    }

    /// Notes that an endpoint took no connection. It looks idle, so it would be chosen first; and
    /// unlike one that fails, it serves nobody, so no share of a service stays in use that way.
    pub fn record_unreachable(&mut self, now: Instant, key: PoolKey) -> Option<Change> {
        let e = self.endpoints.get_mut(key).filter(|e| e.unreachable_until.is_none())?;
        let time = ABSENT_TIME.saturating_mul(1 << e.misses.min(5)).min(ABSENT_MOST);
        e.unreachable_until = Some(now + time);
        e.misses += 1;
        Some(Change::Ejected(e.listing.id.clone()))
    }

    /// Notes that an endpoint answered.
    pub fn record_reachable(&mut self, key: PoolKey) {
        if let Some(e) = self.endpoints.get_mut(key) {
            (e.unreachable_until, e.misses) = (None, 0);
        }
    }

    /// Counts a request as sent to an endpoint.
    pub fn add_work(&mut self, key: PoolKey, work: Work) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.own += work;
        }
    }

    /// Counts the prompt of a request as read.
    pub fn finish_prefill(&mut self, key: PoolKey, unread: u64) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.own.unread -= unread;
        }
    }

    /// Counts a request as ended.
    pub fn remove_work(&mut self, key: PoolKey, work: Work) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.own -= work;
            self.drop_unused(key);
        }
    }

    /// Takes over what other instances have at the endpoints where that has changed.
    pub fn update_peer_work(&mut self, peer_loads: &mut PeerLoads) {
        for tag in peer_loads.take_changed() {
            if let Some(e) = self.tags.get(&tag).and_then(|k| self.endpoints.get_mut(*k)) {
                e.others = peer_loads.at(tag);
            }
        }
    }

    /// Takes over what other instances have at all endpoints, new ones included.
    pub fn update_all_peer_work(&mut self, peer_loads: &mut PeerLoads) {
        peer_loads.take_changed();
        self.endpoints.values_mut().for_each(|e| e.others = peer_loads.at(e.tag));
    }

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

    /// Ejects endpoints that keep failing, readmits those whose time is up, and gives up those
    /// that lapsed and did not come back.
    pub fn step(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut lapsed = Vec::new();
        let mut failing = Vec::new();
        for (key, e) in &mut self.endpoints {
            let is_due = e.unreachable_until.is_some_and(|t| t <= now);
            if is_due {
                e.unreachable_until = None;
            }
            if e.health.readmit(now) || is_due {
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
        changes.extend(failing.into_iter().filter_map(|key| self.eject(now, key)));
        changes
    }

    fn eject(&mut self, now: Instant, key: PoolKey) -> Option<Change> {
        let service = self.endpoints.get(key)?.listing.service.clone();
        let mates = || self.endpoints.values().filter(|e| e.listing.service == service);
        let serving = mates().filter(|e| e.is_usable()).count();
        // Past the floor a failing endpoint beats an overloaded one.
        if serving <= (mates().count() * FLOOR).div_ceil(100) {
            return None;
        }
        let e = &mut self.endpoints[key];
        e.health.eject(now);
        Some(Change::Ejected(e.listing.id.clone()))
    }
}
