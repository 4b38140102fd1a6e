//! Shares the rates of limited endpoints out to the instances that ask for permits.
//!
//! Answers the load of an endpoint in need before which any number of instances stand. An instance
//! whose part is worth a request or more until it asks again gets a rate. With a low limit, it gets
//! single requests as its part adds up to them. With many instances that takes too long, and what
//! is left over goes to the next instance that asks. All instances together ask at a bounded rate,
//! so that the messages to a coordinator do not grow with their number.

use super::{Bucket, Grant, PERMIT_TTL, PermitRequest, Rate};
use crate::gossip::{FULL_DIGEST_INTERVAL, Tag};
use crate::id::InstanceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Rate at which all instances together ask a coordinator for permits.
const REQUESTS_PER_SECOND: u32 = 10;
/// Shortest interval between two requests for permits of one instance to an endpoint.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Intervals after which an instance that did not ask again has no demand.
const ASKER_TIMEOUT_INTERVALS: u32 = 2;
/// Time added to this timeout.
const ASKER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Part of the interval between two requests for permits by which a lease outlasts it, as a divisor.
const LEASE_MARGIN_DIVISOR: u32 = 2;
/// Requests of an endpoint that are kept for instances whose part adds up to one.
const KEPT_REQUESTS: u32 = 1;
/// Time over which requests are kept beyond those.
const SAVING_TIME: Duration = Duration::from_millis(300);
/// Part of the rate of a cold endpoint that is leased. It is cold for a short time, in which the
/// first instances that ask would keep all others from it.
const COLD_LEASED_PART: f64 = 0.5;
/// Most requests that the part of an instance adds up to.
const MAX_CREDIT: f64 = 2.0;
/// Time for which another instance that grants permits for the same endpoint counts as active.
const RIVAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a digest after which such an instance counts as gone if it does not reply to requests
/// for permits either.
const SILENT_TIMEOUT: Duration = FULL_DIGEST_INTERVAL.saturating_mul(3).checked_div(2).unwrap();
/// Time for which such an instance is remembered, longer than any lease.
const RIVAL_RETENTION: Duration = Duration::from_secs(300);
/// Smallest demand that counts, so that the parts of all askers have a sum.
const MIN_DEMAND: f64 = 1e-3;

/// Returns the time for which an instance uses what it was granted.
pub fn lease_time(interval: Duration) -> Duration {
    interval + interval / LEASE_MARGIN_DIVISOR
}

/// What a coordinator knows of the fleet, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Instances that own a part of each limit: those that are registered, and those whose registration
    /// has ended while they are still heard from.
    pub owners: usize,
    /// Those of which it has heard recently.
    pub heard: usize,
}

impl Fleet {
    /// Returns the part of a rate that `n` instances own.
    fn part(self, rate: Rate, n: usize) -> Rate {
        rate.times(n.min(self.owners) as f64 / self.owners.max(1) as f64)
    }

    /// Returns the part of a rate that one instance owns.
    pub fn own_part(self, rate: Rate) -> Rate {
        self.part(rate, 1)
    }

    /// Returns the interval at which instances without a coordinator ask again.
    pub fn retry_interval(self) -> Duration {
        interval(self.owners)
    }

    /// Returns the time after which no instance has a lease of an earlier coordinator.
    fn handover_time(self) -> Duration {
        lease_time(interval(self.owners))
    }
}

/// Returns the interval between two requests for permits of one instance to an endpoint where
/// `pairs` of an instance and an endpoint share the coordinator.
fn interval(pairs: usize) -> Duration {
    let pairs = u32::try_from(pairs).unwrap_or(u32::MAX);
    (Duration::from_secs(1) / REQUESTS_PER_SECOND).saturating_mul(pairs).max(MIN_INTERVAL)
}

/// An instance that asks for permits.
#[derive(Debug)]
struct Asker {
    demand: f64,
    /// Requests that its part has added up to since it was granted one.
    credit: f64,
    /// When it last asked.
    asked: Instant,
    /// Rate that it was granted, in parts of the limit, until the given time.
    lease: Option<(f64, Instant)>,
    /// Time after which it has no demand, unless it asks again.
    expires: Instant,
}

impl Asker {
    fn leased(&self, now: Instant) -> f64 {
        self.lease.filter(|(_, until)| *until > now).map_or(0.0, |(part, _)| part)
    }
}

/// Permits of one endpoint.
#[derive(Debug)]
struct Allocation {
    askers: HashMap<InstanceId, Asker>,
    bucket: Bucket,
    /// Rate that is not leased.
    unleased: Rate,
}

impl Allocation {
    /// Starts with the requests that a rate yields in a short time in hand.
    fn new(now: Instant, in_hand: Rate) -> Self {
        let bucket = Bucket { tokens: in_hand.over(SAVING_TIME), updated: now };
        Allocation { askers: HashMap::new(), bucket, unleased: Rate::ZERO }
    }

    /// Returns the parts of the limit that are leased.
    fn leased(&self, now: Instant) -> f64 {
        self.askers.values().map(|a| a.leased(now)).sum()
    }

    /// Grants an instance its part of the limit, of which `owned` is shared out here.
    fn grant(
        &mut self,
        now: Instant,
        from: &InstanceId,
        request: &PermitRequest,
        owned: Rate,
        interval: Duration,
    ) -> Grant {
        let cap = f64::from(KEPT_REQUESTS + 1) + request.limit.over(SAVING_TIME);
        self.bucket.advance(now, self.unleased, cap);
        let known = self.askers.remove(from);
        let demand = request.demand.as_f64().max(MIN_DEMAND);
        let others: f64 = self.askers.values().map(|a| a.demand).sum();
        let expected = owned.times(demand / (demand + others));
        let credit = known.map_or(f64::from(request.earned) / 100.0, |a| {
            let earned = expected.over(now.saturating_duration_since(a.asked));
            (a.credit + earned).min(MAX_CREDIT)
        });
        let timeout = interval * ASKER_TIMEOUT_INTERVALS + ASKER_TIMEOUT_MARGIN;
        let expires = now + timeout.max(PERMIT_TTL);
        let mut asker = Asker { demand, credit, asked: now, lease: None, expires };
        let leasable = if request.cold { owned.times(COLD_LEASED_PART) } else { owned };
        let free = leasable.as_f64() - request.limit.times(self.leased(now)).as_f64();
        let mut rate = Rate::per_second(free.min(expected.as_f64()));
        let mut permits = 0;
        if rate.over(interval) >= 1.0 {
            let part = rate.as_f64() / request.limit.as_f64();
            asker.lease = Some((part, now + lease_time(interval)));
        } else {
            rate = Rate::ZERO;
            let wanted = (request.demand.over(interval).ceil() as u32).max(1);
            let left_over = self.bucket.whole().saturating_sub(KEPT_REQUESTS);
            let earned = self.bucket.whole().min(credit as u32);
            permits = left_over.max(earned).min(wanted);
            self.bucket.take(permits);
            asker.credit -= f64::from(permits);
        }
        self.askers.insert(from.clone(), asker);
        let leased = request.limit.times(self.leased(now));
        self.unleased = Rate::per_second(owned.as_f64() - leased.as_f64());
        let interval_ms = u32::try_from(interval.as_millis()).unwrap_or(u32::MAX);
        Grant { permits, rate, expected, interval_ms }
    }
}

/// Last sign of life of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Sign {
    /// When its last digest arrived.
    pub at: Instant,
    /// Whether it left several requests for permits in a row unanswered.
    pub is_silent: bool,
}

/// Another instance that grants permits for an endpoint.
#[derive(Debug)]
struct Rival {
    instance: InstanceId,
    /// When it last said so, or showed the last sign of life.
    at: Instant,
    /// Whether it has shown one recently.
    is_alive: bool,
}

/// Shares out the rates of the limited endpoints that one instance coordinates.
#[derive(Debug)]
pub struct Allocator {
    started: Instant,
    endpoints: HashMap<Tag, Allocation>,
    rivals: HashMap<Tag, Rival>,
    /// Endpoints for which it does not grant permits any more.
    ended: Vec<Tag>,
}

impl Allocator {
    /// Starts without any permit granted.
    pub fn new(now: Instant) -> Self {
        Allocator {
            started: now,
            endpoints: HashMap::new(),
            rivals: HashMap::new(),
            ended: Vec::new(),
        }
    }

    /// Decides on a request for permits.
    pub fn request(
        &mut self,
        now: Instant,
        fleet: Fleet,
        from: &InstanceId,
        request: &PermitRequest,
    ) -> Grant {
        self.step(now);
        let heard = if self.is_alone(now, fleet, request.tag) { fleet.heard } else { 0 };
        let pairs: usize = self.endpoints.values().map(|a| a.askers.len()).sum();
        // A cold endpoint has no permits from before, and is warm before they add up.
        let in_hand = if request.cold { fleet.part(request.limit, heard) } else { Rate::ZERO };
        let allocation =
            self.endpoints.entry(request.tag).or_insert_with(|| Allocation::new(now, in_hand));
        let is_new = !allocation.askers.contains_key(from);
        let asking = allocation.askers.len() + usize::from(is_new);
        let owned = fleet.part(request.limit, heard.max(asking));
        allocation.grant(now, from, request, owned, interval(pairs + usize::from(is_new)))
    }

    /// Returns whether instances that do not ask here have no permits of another coordinator, so
    /// that their parts can be shared out too.
    fn is_alone(&self, now: Instant, fleet: Fleet, tag: Tag) -> bool {
        let handover = fleet.handover_time();
        let has_rival = self.rivals.get(&tag).is_some_and(|rival| {
            let is_active = rival.is_alive && now < rival.at + RIVAL_TIMEOUT;
            is_active || now < rival.at + handover
        });
        now >= self.started + handover && !has_rival
    }

    /// Forgets instances that no longer ask, endpoints that none asks for, and other coordinators.
    pub fn step(&mut self, now: Instant) {
        for a in self.endpoints.values_mut() {
            a.askers.retain(|_, asker| asker.expires > now);
        }
        let ended = self.endpoints.extract_if(|_, a| a.askers.is_empty());
        self.ended.extend(ended.map(|(tag, _)| tag));
        self.rivals.retain(|_, rival| now < rival.at + RIVAL_RETENTION);
    }

    /// Records that another instance grants permits for an endpoint.
    pub fn note_rival(&mut self, now: Instant, tag: Tag, instance: &InstanceId) {
        self.rivals.insert(tag, Rival { instance: instance.clone(), at: now, is_alive: true });
    }

    /// Records that an instance does not grant permits for an endpoint any more, and that those it
    /// granted have expired.
    pub fn end_rival(&mut self, tag: Tag, instance: &InstanceId) {
        if self.rivals.get(&tag).is_some_and(|rival| rival.instance == *instance) {
            self.rivals.remove(&tag);
        }
    }

    /// Returns the endpoints for which the last permits granted here have expired since the last
    /// call.
    pub fn take_ended(&mut self) -> Vec<Tag> {
        std::mem::take(&mut self.ended)
    }

    /// Records which of the other instances that grant permits are gone. `last_sign` returns the last
    /// sign of life of an instance; `None` if there was none recently.
    pub fn check_rivals(&mut self, now: Instant, last_sign: impl Fn(&InstanceId) -> Option<Sign>) {
        for rival in self.rivals.values_mut().filter(|rival| rival.is_alive) {
            let sign = last_sign(&rival.instance);
            let at = sign.map_or(rival.at, |sign| rival.at.max(sign.at));
            rival.is_alive = sign.is_some_and(|s| !s.is_silent || now < at + SILENT_TIMEOUT);
            if !rival.is_alive {
                rival.at = at;
            }
        }
    }

    /// Returns whether instances ask here for permits of an endpoint.
    pub fn is_active(&self, tag: Tag) -> bool {
        self.endpoints.contains_key(&tag)
    }
}
