//! Messages between the instances of a fleet, and the state that they replicate.
//!
//! Several instances send to the same engines, and the load that an engine reports itself is half
//! a second old. If two instances send a prompt to the same engine at the same moment, one prompt
//! waits for the other while other engines are idle. Therefore each instance sends its open work
//! per endpoint to all others as soon as it changes. A digest carries the rows that changed, and
//! at regular intervals all rows; a lost digest is corrected by the next full one.
//!
//! The same messages carry admission requests to the instance that coordinates an engine, crash
//! reports, and changes of the store, which only a few instances follow closely.

mod pull;
mod relay;

pub use pull::ConfigPull;
pub use relay::{ReaderReport, StorePosition};

use crate::evacuate::Verdict;
use crate::frame::Gossip;
use crate::id::{DataCentre, EndpointId, Fingerprint, InstanceId, MilliCores, ServiceName};
use crate::store::KeyValue;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::{AddAssign, SubAssign};
use std::time::{Duration, Instant};

/// Time after which an instance that sent no digest is dropped; full digests are sent several
/// times within it.
const PEER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Limit of keys and values in a [`StoreChanges`] message, so that it fits a datagram.
const MAX_CHANGES_BYTES: usize = 8 << 10;
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

/// One row of a message: endpoint, then the fields of [`Work`] in their order.
pub type Row = (Tag, u32, u32, u32, u32);

/// The open work of one instance, sent to all others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Whether endpoints without a row have no open work; otherwise their rows are unchanged.
    #[serde(rename = "f")]
    pub full: bool,
    /// All rows of a full digest, or those that changed since the previous digest.
    #[serde(rename = "r")]
    pub rows: Vec<Row>,
    /// Whether the sender gets no answer from the store.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub store_down: bool,
    /// Store revision up to which the sender has passed changes on; 0 if it is no reader.
    #[serde(rename = "v", default)]
    pub revision: u64,
    /// Time per output token, in microseconds, of the engines whose streams the sender relays; only
    /// in full digests.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub token_times: Vec<(Tag, u32)>,
}

/// A request to the coordinator of an engine for permission to start a generation there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// Number that the reply repeats, unique per sender.
    #[serde(rename = "n")]
    pub number: u64,
    /// Engine, and the load that the generation adds to it.
    #[serde(rename = "w")]
    pub row: Row,
    /// Milliseconds left until the first event is late.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// Rank; 0 is the most urgent.
    #[serde(rename = "u")]
    pub urgency: u8,
}

/// A request to the coordinator of a data centre's transfers, to copy a generation from an engine
/// that is leaving.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransferMessage {
    /// Number that the reply repeats, unique per sender and generation.
    #[serde(rename = "n")]
    pub number: u64,
    /// Engine that is leaving.
    #[serde(rename = "s")]
    pub source: Tag,
    /// Service of that engine.
    #[serde(rename = "k")]
    pub service: ServiceName,
    /// Data centre of that engine.
    #[serde(rename = "d")]
    pub centre: DataCentre,
    /// Tokens to copy.
    #[serde(rename = "c")]
    pub tokens: u32,
    /// Memory that the generation needs by its end, in tokens.
    #[serde(rename = "h")]
    pub held: u32,
    /// Milliseconds within which the copy has to end.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// Engines that did not accept the copy.
    #[serde(rename = "t")]
    pub tried: Vec<Tag>,
}

/// A message from one instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Open work of the sender.
    #[serde(rename = "d")]
    Digest(Digest),
    /// Requests admission to an engine.
    #[serde(rename = "a")]
    AdmissionRequest(AdmissionRequest),
    /// Reply to the admission request with this number: whether it is granted.
    #[serde(rename = "g")]
    AdmissionReply(u64, bool),
    /// Requests the links for a copy of a generation.
    #[serde(rename = "m")]
    TransferRequest(TransferMessage),
    /// Reply to the transfer request with this number.
    #[serde(rename = "v")]
    TransferReply(u64, Verdict),
    /// The transfer with this number has ended.
    #[serde(rename = "e")]
    TransferDone(u64),
    /// An engine reported to the sender that it is leaving.
    #[serde(rename = "q")]
    EngineLeaving(Tag),
    /// Contents that crashed endpoints.
    #[serde(rename = "b")]
    Quarantine(Gossip),
    /// Changes that a reader received from the store.
    #[serde(rename = "n")]
    StoreChanges(StoreChanges),
    /// Requests the operators' configuration; sent on a connection, not as a datagram.
    #[serde(rename = "p")]
    PullConfig,
    /// The operators' configuration as the store holds it; sent on a connection, not as a
    /// datagram.
    #[serde(rename = "t", with = "serde_bytes")]
    Config(Vec<u8>),
}

/// Changes of the store that a reader forwards to the other instances.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Changes of keys with small values.
    #[serde(rename = "f")]
    pub kvs: Vec<KeyValue>,
    /// Whether further changes are left out because of their size; the receiver then reads the
    /// store.
    #[serde(rename = "m")]
    pub truncated: bool,
    /// Store revision after which the changes follow.
    #[serde(rename = "a", default)]
    pub after: u64,
    /// Store revision up to which the changes are complete, unless they are truncated.
    #[serde(rename = "u", default)]
    pub upto: u64,
    /// Whether the store was unreachable until shortly before. Keys may be missing because their
    /// leases expired meanwhile.
    #[serde(rename = "r", default)]
    pub recovering: bool,
}

impl StoreChanges {
    /// Collects changes up to the size of a datagram.
    pub fn of<'k>(kvs: impl Iterator<Item = &'k KeyValue>) -> StoreChanges {
        let mut changes = StoreChanges::default();
        let mut bytes = 0;
        for kv in kvs {
            bytes += kv.key.len() + kv.value.as_ref().map_or(0, Vec::len);
            if bytes > MAX_CHANGES_BYTES {
                changes.truncated = true;
                break;
            }
            changes.kvs.push(kv.clone());
        }
        changes
    }
}

/// Number of readers: instances that watch the store continuously and forward its changes.
const READER_COUNT: usize = 3;
/// Number of readers with the same recent report that the other instances need to rely on it. It is
/// below [`READER_COUNT`] because a datagram may be lost.
const READER_QUORUM: usize = 2;
/// Age up to which a reader's digest counts as recent; readers send one more often than this.
const READER_TIMEOUT: Duration = Duration::from_millis(700);
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
    for (i, _) in instances.filter(|(_, power)| power.0 * 2 >= strongest) {
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
    /// Store revision up to which the peer has passed changes on.
    revision: u64,
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
        let recent: Vec<&PeerState> = states.filter(|p| p.is_recent(now, READER_TIMEOUT)).collect();
        let up = recent.iter().filter(|p| !p.store_down);
        let revision = up.clone().map(|p| p.revision).max().unwrap_or_default();
        let up = up.count();
        let status = match up {
            0 if recent.len() >= READER_QUORUM => StoreStatus::Unreachable,
            up if up >= READER_QUORUM => StoreStatus::Reachable,
            // A single reader may be the only one that is cut off from the store.
            _ => StoreStatus::Unknown,
        };
        ReaderReport { status, up, revision }
    }

    /// Applies a digest of another instance.
    pub fn apply(&mut self, now: Instant, from: InstanceId, digest: &Digest) {
        let mut peer = self.peers.remove(&from).unwrap_or_default();
        peer.received = Some(now);
        peer.store_down = digest.store_down;
        peer.revision = digest.revision;
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

    /// Returns the endpoints whose sum has changed since the last call.
    pub fn take_changed(&mut self) -> HashSet<Tag> {
        std::mem::take(&mut self.changed)
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
    /// Store revision up to which this instance has passed changes on; copied to each digest.
    pub revision: u64,
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
        if !full && rows.is_empty() {
            return None;
        }
        self.last_sent = Some(now);
        if full {
            self.last_full = Some(now);
        }
        self.sent = current;
        Some(Digest {
            full,
            rows,
            store_down: self.store_down,
            revision: self.revision,
            token_times: Vec::new(),
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

/// Converts a row to the work at its endpoint.
pub fn decode_row((tag, open, held, unread, copies): Row) -> (Tag, Work) {
    (tag, Work { open, held: u64::from(held), unread: u64::from(unread), copies })
}

/// Converts the work at an endpoint to a row; counts above `u32::MAX` are capped.
pub fn encode_row(tag: Tag, work: Work) -> Row {
    let cap = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
    (tag, work.open, cap(work.held), cap(work.unread), work.copies)
}
