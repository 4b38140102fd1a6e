//! Messages between the instances of a fleet, and the state that they replicate.
//!
//! Several instances send to the same engines, and the load that an engine reports itself is half
//! a second old. If two instances send a prompt to the same engine at the same moment, one prompt
//! waits for the other while other engines are idle. Therefore each instance sends its open work
//! per endpoint to all others as soon as it changes. A digest carries the rows that changed, and
//! at regular intervals all rows; a lost digest is corrected by the next full one.
//!
//! The same messages carry admission requests to the instance that coordinates an engine, requests
//! for the links of engines, crash reports, and changes of the store, which only a few instances
//! follow closely.

mod message;
mod outage;
mod presence;
mod pull;
mod relay;

pub use message::{
    AdmissionRequest, Digest, EvacuationRow, LimitNotice, LimitRow, LoanRequest, PeerMessage, Row,
    SpeedRow, StatementRow, StoreChanges, TransferMessage, decode_row, decode_speed, encode_row,
    encode_speed,
};
pub use outage::Outages;
pub use presence::Presence;
pub use pull::ConfigPull;
pub use relay::{ReaderReport, StorePosition, Succession};

use crate::id::{DataCentre, EndpointId, Fingerprint, InstanceId, MilliCores};
use crate::store::Position;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::{AddAssign, SubAssign};
use std::time::{Duration, Instant};

/// Time after which an instance that sent no digest is dropped; full digests are sent several
/// times within it.
const PEER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after which a reservation expires; by then the work appears in a digest of the instance
/// that requested it.
const RESERVATION_TTL: Duration = Duration::from_millis(150);
/// Interval between two full digests of an instance.
pub const FULL_DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between two digests of an instance without peers.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(15);
/// Time added to that interval for each peer, so that the digests that an instance receives per
/// second do not grow with the number of instances.
const DIGEST_INTERVAL_PER_PEER: Duration = Duration::from_micros(1500);

/// Open requests at an endpoint and the resources that they need.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Number of open requests.
    pub open: u32,
    /// Memory that their generations are expected to need by their end, in tokens.
    pub held: u64,
    /// Prompt tokens that the endpoint has not read yet.
    pub unread: u64,
    /// Tokens of running generations that are being copied, or wait to be copied, from or to the
    /// endpoint. Tokens copied between data centres count twice.
    pub copies: u32,
}

impl SubAssign for Work {
    fn sub_assign(&mut self, other: Work) {
        self.open -= other.open;
        self.held -= other.held;
        self.unread -= other.unread;
        self.copies -= other.copies;
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Work) {
        self.open += other.open;
        self.held += other.held;
        self.unread += other.unread;
        self.copies += other.copies;
    }
}

/// Identifies an endpoint in messages by a short hash of its identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tag(u32);

impl Tag {
    /// Returns the tag of an endpoint. Two endpoints of a fleet have the same tag with a
    /// probability of one in millions.
    pub fn of(id: &EndpointId) -> Tag {
        Tag(Fingerprint::of(&[id.as_str().as_bytes()]).0 as u32)
    }
}

/// Number of readers: instances that watch the store continuously and forward its changes.
const READER_COUNT: usize = 3;
/// Number of readers with the same recent report that the other instances need to rely on it. It is
/// below [`READER_COUNT`] because a datagram may be lost.
const READER_QUORUM: usize = 2;
/// Age up to which a digest counts as recent, besides the interval that grows with the instances.
const RECENT_DIGEST_AGE: Duration = Duration::from_millis(700);
/// Returns whether an instance is a reader, which watches the store continuously. The others poll
/// it at long intervals, so that the load of the store does not grow with their number.
pub fn is_reader<'i>(own: &InstanceId, others: impl Iterator<Item = &'i InstanceId>) -> bool {
    let own_rank = reader_rank(own);
    others.filter(|i| reader_rank(i) > own_rank).count() < READER_COUNT
}

/// Returns the readers among `others`, for an instance that is not a reader itself.
pub fn readers<'i>(others: impl Iterator<Item = &'i InstanceId>) -> Vec<&'i InstanceId> {
    let mut all: Vec<_> = others.collect();
    all.sort_by_cached_key(|i| std::cmp::Reverse(reader_rank(i)));
    all.truncate(READER_COUNT);
    all
}

fn reader_rank(instance: &InstanceId) -> (u64, InstanceId) {
    (rendezvous_weight("reader", instance), instance.clone())
}

/// State of the store as reported by the readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStatus {
    /// Too few readers sent a recent digest, or they do not agree.
    Unknown,
    /// A quorum of readers with recent digests gets answers from the store.
    Reachable,
    /// A quorum of readers with recent digests gets no answers from the store, and no reader gets
    /// one.
    Unreachable,
}

fn rendezvous_weight<T: Hash>(key: T, instance: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, instance).hash(&mut hasher);
    hasher.finish()
}

/// Selects the instance that decides on admissions to an engine, by rendezvous hashing. Instances
/// that know the same set of instances select the same one. When an instance leaves, only the
/// engines that it coordinated get another coordinator.
pub fn coordinator<'i>(
    tag: Tag,
    instances: impl Iterator<Item = &'i InstanceId>,
) -> Option<&'i InstanceId> {
    instances.max_by_key(|i| rendezvous_weight(tag, i))
}

/// Returns instances in the order in which they are selected as the coordinator of an endpoint.
pub fn rank<'i>(tag: Tag, instances: impl Iterator<Item = &'i InstanceId>) -> Vec<&'i InstanceId> {
    let mut all: Vec<_> = instances.collect();
    all.sort_by_cached_key(|i| std::cmp::Reverse(rendezvous_weight(tag, i)));
    all
}

/// Number of instances up to which a notice is sent to each of them by its sender.
const MAX_DIRECT_RECEIVERS: usize = 32;

/// Groups the instances that get a notice. The sender sends it to the first of each group, which
/// passes it on to the others, so that none sends more than about two times the square root of
/// their number. `instances` are all but the sender.
pub fn notice_groups(mut instances: Vec<&InstanceId>) -> Vec<Vec<&InstanceId>> {
    instances.sort();
    let size = match instances.len() {
        0..=MAX_DIRECT_RECEIVERS => 1,
        n => n.isqrt(),
    };
    instances.chunks(size).map(<[&InstanceId]>::to_vec).collect()
}

/// Returns the instances that schedule the transfers of a data centre's engines: the one that all
/// ask first, and the one to ask if that does not reply.
///
/// Only instances with at least half the power of the strongest are eligible. At the start of a
/// wave of transfers, a weak one would reply after its peers have given up waiting.
pub fn transfer_coordinators<'i>(
    centre: &DataCentre,
    instances: impl Iterator<Item = (&'i InstanceId, MilliCores)> + Clone,
) -> [Option<&'i InstanceId>; 2] {
    let strongest = instances.clone().map(|(_, power)| power.0).max().unwrap_or(0);
    let mut best = [None, None];
    for (i, _) in instances.filter(|(_, power)| power.0.saturating_mul(2) >= strongest) {
        let entry = Some((rendezvous_weight(centre, i), i));
        if entry > best[0] {
            best = [entry, best[0]];
        } else if entry > best[1] {
            best[1] = entry;
        }
    }
    best.map(|b| b.map(|(_, i)| i))
}

/// Open work of the other instances.
#[derive(Debug, Default)]
pub struct PeerLoads {
    peers: HashMap<InstanceId, PeerState>,
    reservations: Vec<Reservation>,
    /// Work of all peers and reservations by endpoint. Updated incrementally: a new sum for each
    /// message would cost the number of instances times the number of endpoints.
    sums: HashMap<Tag, Work>,
    changed: HashSet<Tag>,
}

/// Work that was admitted and does not appear in a digest yet.
#[derive(Debug)]
struct Reservation {
    tag: Tag,
    work: Work,
    expires: Instant,
}

/// State of a peer according to its digests.
#[derive(Debug, Default)]
struct PeerState {
    /// When the last digest arrived.
    received: Option<Instant>,
    store_down: bool,
    /// Position up to which the peer has passed changes of the store on.
    position: Position,
    rows: HashMap<Tag, Work>,
}

impl PeerState {
    fn is_recent(&self, now: Instant, age: Duration) -> bool {
        self.received.is_some_and(|t| now.saturating_duration_since(t) < age)
    }
}

impl PeerLoads {
    /// Returns what `readers` say about the store.
    pub fn reader_report(&self, now: Instant, readers: &[&InstanceId]) -> ReaderReport {
        let states = readers.iter().filter_map(|r| self.peers.get(*r));
        // An instance that does not know all others yet may take some for readers that are none.
        let states = states.filter(|p| p.position.revision > 0);
        let recent: Vec<&PeerState> =
            states.filter(|p| p.is_recent(now, RECENT_DIGEST_AGE)).collect();
        let up = recent.iter().filter(|p| !p.store_down);
        let newest = up.clone().map(|p| p.position).max().unwrap_or_default();
        let up = up.count();
        let status = match up {
            0 if recent.len() >= READER_QUORUM => StoreStatus::Unreachable,
            up if up >= READER_QUORUM => StoreStatus::Reachable,
            // A single reader may be the only one that is cut off from the store.
            _ => StoreStatus::Unknown,
        };
        ReaderReport { status, up, newest }
    }

    /// Applies a digest of another instance.
    pub fn apply(&mut self, now: Instant, from: InstanceId, digest: &Digest) {
        let mut peer = self.peers.remove(&from).unwrap_or_default();
        peer.received = Some(now);
        peer.store_down = digest.store_down;
        peer.position = Position::new(digest.era, digest.revision);
        if digest.full {
            peer.rows.drain().for_each(|(tag, work)| self.deduct(tag, work));
        }
        for r in &digest.rows {
            let (tag, work) = decode_row(*r);
            if let Some(old) = peer.rows.remove(&tag) {
                self.deduct(tag, old);
            }
            if work != Work::default() {
                peer.rows.insert(tag, work);
                self.add(tag, work);
            }
        }
        self.peers.insert(from, peer);
    }

    /// Counts admitted work until it appears in a digest of the instance that requested it.
    pub fn reserve(&mut self, now: Instant, tag: Tag, work: Work) {
        self.reservations.push(Reservation { tag, work, expires: now + RESERVATION_TTL });
        self.add(tag, work);
    }

    /// Drops peers that sent no digest within the peer timeout, and expired reservations.
    pub fn step(&mut self, now: Instant) {
        let expired: Vec<Reservation> =
            self.reservations.extract_if(.., |r| r.expires <= now).collect();
        expired.into_iter().for_each(|r| self.deduct(r.tag, r.work));
        let silent: Vec<PeerState> =
            self.peers.extract_if(|_, p| !p.is_recent(now, PEER_TIMEOUT)).map(|(_, p)| p).collect();
        let rows = silent.into_iter().flat_map(|p| p.rows);
        rows.for_each(|(tag, work)| self.deduct(tag, work));
    }

    fn add(&mut self, tag: Tag, work: Work) {
        *self.sums.entry(tag).or_default() += work;
        self.changed.insert(tag);
    }

    fn deduct(&mut self, tag: Tag, work: Work) {
        // Only work that was added before is deducted, so the sum cannot become negative.
        if let Some(sum) = self.sums.get_mut(&tag) {
            *sum -= work;
            if *sum == Work::default() {
                self.sums.remove(&tag);
            }
        }
        self.changed.insert(tag);
    }

    /// Returns the open work of all peers at an endpoint, reservations included.
    pub fn at(&self, tag: Tag) -> Work {
        self.sums.get(&tag).copied().unwrap_or_default()
    }

    /// Returns the peers that have generations on an engine and cannot reach the store either, of
    /// those that sent a digest lately.
    pub fn holders(&self, now: Instant, tag: Tag) -> impl Iterator<Item = &InstanceId> {
        let interval =
            DIGEST_INTERVAL_PER_PEER * u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let is_holder = move |peer: &PeerState| {
            peer.store_down
                && peer.is_recent(now, RECENT_DIGEST_AGE + interval)
                && peer.rows.get(&tag).is_some_and(|work| work.held > 0)
        };
        self.peers.iter().filter(move |(_, peer)| is_holder(peer)).map(|(i, _)| i)
    }

    /// Returns the endpoints whose sum has changed since the last call.
    pub fn take_changed(&mut self) -> HashSet<Tag> {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether an instance sent a digest recently.
    pub fn has_heard(&self, instance: &InstanceId) -> bool {
        self.peers.contains_key(instance)
    }

    /// Returns when the last digest of an instance arrived; `None` if it sent none recently.
    pub fn last_heard(&self, instance: &InstanceId) -> Option<Instant> {
        self.peers.get(instance)?.received
    }

    /// Returns the number of peers that sent a digest and were not dropped since.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether there is no such peer.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}

/// Decides when to send a digest, and which rows it carries.
#[derive(Debug, Default)]
pub struct DigestScheduler {
    /// Whether this instance gets no answer from the store; copied to each digest.
    pub store_down: bool,
    /// Whether this instance tells of an outage of the store; copied to each digest, and a change
    /// makes one due.
    pub outage: bool,
    /// Position up to which this instance has passed changes of the store on; copied to each
    /// digest.
    pub position: Position,
    /// Whether a digest has to be sent without a change of the work too, until one is sent.
    pub is_due: bool,
    /// Rows as of the last digest.
    sent: HashMap<Tag, Work>,
    /// When the last full digest was sent.
    last_full: Option<Instant>,
    /// When the last digest was sent.
    last_sent: Option<Instant>,
}

impl DigestScheduler {
    /// Returns the digest to send now, if one is due.
    pub fn step(
        &mut self,
        now: Instant,
        peers: usize,
        work: impl Iterator<Item = (Tag, Work)>,
    ) -> Option<Digest> {
        if self.last_sent.is_some_and(|t| now < t + self.min_interval(peers)) {
            return None;
        }
        let current: HashMap<Tag, Work> = work.filter(|(_, w)| *w != Work::default()).collect();
        let full = self.last_full.is_none_or(|t| now >= t + FULL_DIGEST_INTERVAL);
        let rows: Vec<Row> = if full {
            current.iter().map(|(t, w)| encode_row(*t, *w)).collect()
        } else {
            self.changed_rows(&current)
        };
        if !full && rows.is_empty() && !self.is_due {
            return None;
        }
        (self.last_sent, self.is_due) = (Some(now), false);
        if full {
            self.last_full = Some(now);
        }
        self.sent = current;
        Some(Digest {
            full,
            rows,
            store_down: self.store_down,
            outage: self.outage,
            revision: self.position.revision,
            era: self.position.era,
            token_times: Vec::new(),
            pauses: Vec::new(),
            outcomes: Vec::new(),
            evacuations: Vec::new(),
            speeds: Vec::new(),
            statements: Vec::new(),
        })
    }

    /// Returns the shortest interval between two digests for a number of peers.
    pub fn min_interval(&self, peers: usize) -> Duration {
        MIN_DIGEST_INTERVAL + DIGEST_INTERVAL_PER_PEER * peers as u32
    }

    fn changed_rows(&self, current: &HashMap<Tag, Work>) -> Vec<Row> {
        let changed = current.iter().filter(|(t, w)| self.sent.get(t) != Some(w));
        let ended = self.sent.keys().filter(|t| !current.contains_key(t));
        let changed = changed.map(|(t, w)| encode_row(*t, *w));
        changed.chain(ended.map(|t| encode_row(*t, Work::default()))).collect()
    }
}
