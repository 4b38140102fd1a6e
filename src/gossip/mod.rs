//! What each instance has under way at endpoints, told to all others.
//!
//! Load it answers: several instances send to the same engines, and each engine's own word is
//! half a second old. Two prompts that two instances send to one engine at the same moment wait
//! for each other while others are idle. So each instance tells the others what it has where,
//! as soon as that changes. A message carries the rows that changed, and now and then all of them;
//! one that is lost is made good by the next full one.

mod pull;

pub use pull::ConfigPull;

use crate::frame::Gossip;
use crate::id::{EndpointId, Fingerprint, InstanceId};
use crate::store::Fact;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::{AddAssign, SubAssign};
use std::time::{Duration, Instant};

/// Age past which the word of an instance no longer counts: it sends a full message far more
/// often.
const WORD_AGE: Duration = Duration::from_millis(2000);
/// Bytes of keys and values that a bulletin carries.
const BULLETIN_BYTES: usize = 8 << 10;
/// Time for room that was granted to show in a digest.
const GRANT_TIME: Duration = Duration::from_millis(150);
/// Time between two full messages of an instance.
pub const FULL_DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two messages of an instance.
const FLUSH_LEAST: Duration = Duration::from_millis(15);
/// Time added between two messages for each other instance, so that what an instance receives in
/// a second does not grow with their number.
const FLUSH_PEER: Duration = Duration::from_micros(1500);

/// Requests at an endpoint and what they need.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests.
    pub open: u32,
    /// Memory that its generations are expected to need to their end, in tokens.
    pub held: u64,
    /// Prompt tokens that it has not read yet.
    pub unread: u64,
    /// Tokens of running generations that are being copied from or to it, one after the other;
    /// those between data centres count twice.
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

/// Names an endpoint in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tag(u32);

impl Tag {
    /// Returns the tag of an endpoint; two of a fleet share one with a chance of one in millions.
    pub fn of(id: &EndpointId) -> Tag {
        Tag(Fingerprint::of(&[id.as_str().as_bytes()]).0 as u32)
    }
}

/// One row of a message: endpoint, requests, memory, unread tokens and copies.
pub type Row = (Tag, u32, u32, u32, u32);

/// A message from one instance to all others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Tells that endpoints without a row have nothing.
    #[serde(rename = "f")]
    pub full: bool,
    /// Rows.
    #[serde(rename = "r")]
    pub rows: Vec<Row>,
    /// Tells that the store does not answer the sender.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub store_down: bool,
}

/// Asks the coordinator of an engine whether a generation may begin there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// Tells the answer apart from others.
    #[serde(rename = "n")]
    pub number: u64,
    /// Engine and what the generation needs there.
    #[serde(rename = "w")]
    pub row: Row,
    /// Milliseconds within which its first event is of full use.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// Rank, from 0 for the most urgent.
    #[serde(rename = "u")]
    pub urgency: u8,
}

/// A message from one instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the sender has under way.
    #[serde(rename = "d")]
    Digest(Digest),
    /// Asks for room at an engine.
    #[serde(rename = "a")]
    AdmissionRequest(AdmissionRequest),
    /// Answers such a question, by its number.
    #[serde(rename = "g")]
    AdmissionReply(u64, bool),
    /// Contents that crashed endpoints.
    #[serde(rename = "b")]
    Quarantine(Gossip),
    /// What the store told a reader.
    #[serde(rename = "n")]
    StoreChanges(StoreChanges),
    /// Asks for the operators' configuration; not sent as a datagram.
    #[serde(rename = "p")]
    PullConfig,
    /// The operators' configuration as the store holds it; not sent as a datagram.
    #[serde(rename = "t", with = "serde_bytes")]
    Config(Vec<u8>),
}

/// Changes that a reader passes on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Changes of small keys.
    #[serde(rename = "f")]
    pub facts: Vec<Fact>,
    /// Tells that larger ones changed too: the store should be asked.
    #[serde(rename = "m")]
    pub truncated: bool,
}

impl StoreChanges {
    /// Makes a bulletin of what fits a datagram.
    pub fn of<'f>(facts: impl Iterator<Item = &'f Fact>) -> StoreChanges {
        let mut bulletin = StoreChanges::default();
        let mut bytes = 0;
        for fact in facts {
            bytes += fact.key.len() + fact.value.as_ref().map_or(0, Vec::len);
            if bytes > BULLETIN_BYTES {
                bulletin.truncated = true;
                break;
            }
            bulletin.facts.push(fact.clone());
        }
        bulletin
    }
}

/// Instances that follow the store closely and pass on what it says.
const READERS: usize = 3;
/// Readers that have to be heard for the others to rely on them: one datagram may be lost.
const READERS_LEAST: usize = 2;
/// Age past which a reader does not count as heard: it sends a message in less than this.
const HEARD_AGE: Duration = Duration::from_millis(700);
/// Time between two looks at the store of an instance that hears of changes from readers.
const HEARSAY_TIME: Duration = Duration::from_millis(2600);
/// Time between two looks of one that hears too few of them.
const ALONE_TIME: Duration = Duration::from_millis(600);

/// Tells whether an instance is one of those that follow the store closely. The others ask it now
/// and then, so that its load does not grow with their number.
pub fn is_reader<'i>(own: &InstanceId, others: impl Iterator<Item = &'i InstanceId>) -> bool {
    let mine = rank(own);
    others.filter(|i| rank(i) > mine).count() < READERS
}

/// Returns the instances among `others` that follow the store closely, for one that does not.
pub fn readers<'i>(others: impl Iterator<Item = &'i InstanceId>) -> Vec<&'i InstanceId> {
    let mut all: Vec<_> = others.collect();
    all.sort_by_cached_key(|i| std::cmp::Reverse(rank(i)));
    all.truncate(READERS);
    all
}

fn rank(instance: &InstanceId) -> (u64, InstanceId) {
    (weigh("reader", instance), instance.clone())
}

/// What an instance knows of the store from those that follow it closely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStatus {
    /// Too few of them are heard, or they do not agree.
    Unknown,
    /// The store answers them.
    Reachable,
    /// The store does not answer them.
    Unreachable,
}

impl StoreStatus {
    /// Returns the time between two looks at the store.
    pub fn poll_interval(self) -> Duration {
        if self == StoreStatus::Reachable { HEARSAY_TIME } else { ALONE_TIME }
    }
}

fn weigh<T: Hash>(what: T, instance: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (what, instance).hash(&mut hasher);
    hasher.finish()
}

/// Chooses the instance that decides for an engine, by rendezvous hashing: all that know the same
/// instances choose the same one, and one that leaves moves only the engines that it decided for.
pub fn coordinator<'i>(
    tag: Tag,
    instances: impl Iterator<Item = &'i InstanceId>,
) -> Option<&'i InstanceId> {
    instances.max_by_key(|i| weigh(tag, i))
}

/// What the others have under way.
#[derive(Debug, Default)]
pub struct PeerLoads {
    words: HashMap<InstanceId, Word>,
    granted: Vec<Granted>,
    /// What all others have, by endpoint: kept up with each message, as summing up anew would cost
    /// instances times endpoints for each.
    sums: HashMap<Tag, Work>,
    touched: HashSet<Tag>,
}

/// Room that was granted and does not show in a digest yet.
#[derive(Debug)]
struct Granted {
    tag: Tag,
    work: Work,
    until: Instant,
}

#[derive(Debug, Default)]
struct Word {
    at: Option<Instant>,
    lost: bool,
    rows: HashMap<Tag, Work>,
}

impl Word {
    fn is_within(&self, now: Instant, age: Duration) -> bool {
        self.at.is_some_and(|t| now.saturating_duration_since(t) < age)
    }
}

impl PeerLoads {
    /// Returns what is known of the store from its readers.
    pub fn store_status(&self, now: Instant, readers: &[&InstanceId]) -> StoreStatus {
        let words = readers.iter().filter_map(|r| self.words.get(*r));
        let heard: Vec<&Word> = words.filter(|w| w.is_within(now, HEARD_AGE)).collect();
        let lost = heard.iter().filter(|w| w.lost).count();
        match heard.len() - lost {
            0 if lost >= READERS_LEAST => StoreStatus::Unreachable,
            well if well >= READERS_LEAST => StoreStatus::Reachable,
            // A reader may be cut off alone.
            _ => StoreStatus::Unknown,
        }
    }

    /// Takes over a message.
    pub fn apply(&mut self, now: Instant, from: InstanceId, digest: &Digest) {
        let mut word = self.words.remove(&from).unwrap_or_default();
        word.at = Some(now);
        word.lost = digest.store_down;
        if digest.full {
            word.rows.drain().for_each(|(tag, work)| self.deduct(tag, work));
        }
        for r in &digest.rows {
            let (tag, work) = decode_row(*r);
            if let Some(old) = word.rows.remove(&tag) {
                self.deduct(tag, old);
            }
            if work != Work::default() {
                word.rows.insert(tag, work);
                self.add(tag, work);
            }
        }
        self.words.insert(from, word);
    }

    /// Counts room as taken until it shows in the digest of who asked for it.
    pub fn reserve(&mut self, now: Instant, tag: Tag, work: Work) {
        self.granted.push(Granted { tag, work, until: now + GRANT_TIME });
        self.add(tag, work);
    }

    /// Forgets instances that have gone silent, and grants that show by now.
    pub fn step(&mut self, now: Instant) {
        let over: Vec<Granted> = self.granted.extract_if(.., |g| g.until <= now).collect();
        over.into_iter().for_each(|g| self.deduct(g.tag, g.work));
        let silent: Vec<Word> =
            self.words.extract_if(|_, w| !w.is_within(now, WORD_AGE)).map(|(_, w)| w).collect();
        let rows = silent.into_iter().flat_map(|w| w.rows);
        rows.for_each(|(tag, work)| self.deduct(tag, work));
    }

    fn add(&mut self, tag: Tag, work: Work) {
        *self.sums.entry(tag).or_default() += work;
        self.touched.insert(tag);
    }

    fn deduct(&mut self, tag: Tag, work: Work) {
        // What is deducted was added before.
        if let Some(sum) = self.sums.get_mut(&tag) {
            *sum -= work;
            if *sum == Work::default() {
                self.sums.remove(&tag);
            }
        }
        self.touched.insert(tag);
    }

    /// Returns what the others have at an endpoint.
    pub fn at(&self, tag: Tag) -> Work {
        self.sums.get(&tag).copied().unwrap_or_default()
    }

    /// Returns the endpoints at which that has changed since the last call.
    pub fn take_changed(&mut self) -> HashSet<Tag> {
        std::mem::take(&mut self.touched)
    }

    /// Counts the instances whose word counts.
    pub fn len(&self) -> usize {
        self.words.len()
    }

    /// Tells that no other instance is heard.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }
}

/// Decides what to tell and when.
#[derive(Debug, Default)]
pub struct DigestScheduler {
    /// Tells that the store does not answer this instance.
    pub store_down: bool,
    told: HashMap<Tag, Work>,
    full: Option<Instant>,
    latest: Option<Instant>,
}

impl DigestScheduler {
    /// Returns the message that is due, if there is one.
    pub fn step(
        &mut self,
        now: Instant,
        peers: usize,
        work: impl Iterator<Item = (Tag, Work)>,
    ) -> Option<Digest> {
        if self.latest.is_some_and(|t| now < t + self.min_interval(peers)) {
            return None;
        }
        let now_open: HashMap<Tag, Work> = work.filter(|(_, w)| *w != Work::default()).collect();
        let full = self.full.is_none_or(|t| now >= t + FULL_DIGEST_INTERVAL);
        let rows: Vec<Row> = if full {
            now_open.iter().map(|(t, w)| encode_row(*t, *w)).collect()
        } else {
            self.changes(&now_open)
        };
        if !full && rows.is_empty() {
            return None;
        }
        self.latest = Some(now);
        if full {
            self.full = Some(now);
        }
        self.told = now_open;
        Some(Digest { full, rows, store_down: self.store_down })
    }

    /// Returns the least time between two messages to so many others.
    pub fn min_interval(&self, peers: usize) -> Duration {
        FLUSH_LEAST + FLUSH_PEER * peers as u32
    }

    fn changes(&self, now_open: &HashMap<Tag, Work>) -> Vec<Row> {
        let changed = now_open.iter().filter(|(t, w)| self.told.get(t) != Some(w));
        let ended = self.told.keys().filter(|t| !now_open.contains_key(t));
        let changed = changed.map(|(t, w)| encode_row(*t, *w));
        changed.chain(ended.map(|t| encode_row(*t, Work::default()))).collect()
    }
}

/// Reads a row.
pub fn decode_row((tag, open, held, unread, copies): Row) -> (Tag, Work) {
    (tag, Work { open, held: u64::from(held), unread: u64::from(unread), copies })
}

/// Makes a row.
pub fn encode_row(tag: Tag, work: Work) -> Row {
    let cap = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
    (tag, work.open, cap(work.held), cap(work.unread), work.copies)
}
