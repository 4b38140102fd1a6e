//! Decides whether a generation begins now, waits, or is refused.
//!
//! Load it answers: more generations than the engines can hold. An engine that is sent more than
//! fits its memory preempts running generations and reads their prompts again, and one that is
//! sent more prompts than it can read in time begins all of them late. So a generation waits here
//! while no engine has room for it, the more urgent ones first, and is refused as soon as it could
//! not begin in time even on an engine that has nothing else to read.

use crate::balance::{self, Need};
use crate::gossip::Work;
use crate::id::ServiceName;
use crate::pool::{Endpoint, Pool, PoolKey};
use crate::route::{Engine, Urgency};
use rand::Rng;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

/// Prompt tokens that an engine reads in a millisecond, until the first one was observed.
const READ_GUESS: f64 = 6.0;
/// Weight of a new observation.
const READ_WEIGHT: f64 = 0.05;
/// Slowest and fastest reading that is believed, in tokens a millisecond.
const READ_RANGE: (f64, f64) = (1.0, 100.0);
/// Share of the time to the first event that reading may be expected to take.
const READ_SHARE: f64 = 0.8;
/// Times of its own reading within which a long prompt should have been read.
const READ_SLACK: f64 = 2.2;
/// Times of its own reading that a prompt gets whatever its caller's time.
const READ_LEAST: f64 = 1.25;
/// Share of its caller's time that a generation may wait for its first event.
const WAIT_SHARE: f64 = 0.6;
/// Share of an engine's memory that expected needs may fill, for the least urgent.
const FILL: f64 = 1.06;
/// Share added for the most urgent, which wait for none but their like.
const URGENT_FILL: f64 = 0.06;
/// Times of a target after which a refused generation should come back.
const COME_BACK: f64 = 1.0;
/// Times of a target added for each other that waits here: a longer line takes longer to clear.
const COME_BACK_EACH: f64 = 0.6;
/// Most times of a target after which one should come back.
const COME_BACK_MOST: f64 = 6.0;

/// How fast the engines of a service read prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    rate: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        PrefillRate { rate: READ_GUESS }
    }
}

impl PrefillRate {
    /// Notes that a first event came `took` after so many tokens waited to be read.
    pub fn observe(&mut self, unread: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        if unread == 0 || ms <= 0.0 {
            return;
        }
        let seen = (unread as f64 / ms).clamp(READ_RANGE.0, READ_RANGE.1);
        self.rate += (seen - self.rate) * READ_WEIGHT;
    }

    /// Returns the time to read so many tokens.
    pub fn time(&self, unread: u64) -> Duration {
        Duration::from_secs_f64(unread as f64 / self.rate / 1e3)
    }
}

/// What a generation asks for and how long it may wait.
#[derive(Debug)]
pub struct AdmissionRequest<'a> {
    /// What it needs.
    pub need: Need<'a>,
    /// When it came.
    pub since: Instant,
    /// Time within which its first event is of full use.
    pub target: Duration,
    /// When its caller gives up.
    pub deadline: Instant,
    /// Rank, from 0 for the most urgent.
    pub urgency: Urgency,
    /// Generations that wait for the same service here.
    pub queue_len: usize,
}

/// What becomes of a generation now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It goes to this engine.
    Send(PoolKey),
    /// It waits.
    Wait,
    /// It is refused, and should come back after this time.
    Refuse(Duration),
}

/// Decides for the generation that is first in line.
pub fn decide<R: Rng>(
    now: Instant,
    pool: &Pool,
    bid: &AdmissionRequest<'_>,
    reading: &PrefillRate,
    tried: &[PoolKey],
    rng: &mut R,
) -> Decision {
    let entrant = candidate(now, bid, reading);
    let has_room =
        |e: &Endpoint| bid.need.engine.is_none_or(|engine| fits(now, e, engine, &entrant, reading));
    if let Some(key) = balance::choose_where(now, pool, &bid.need, tried, rng, has_room) {
        return Decision::Send(key);
    }
    let alone = reading.time(bid.need.work.unread);
    if now + alone > bid.since + patience(bid, alone) {
        return Decision::Refuse(come_back(now, bid));
    }
    Decision::Wait
}

/// Returns the time within which the first event should come. A prompt that takes most of the
/// target to read gets longer: late is better for its caller than never.
fn patience(bid: &AdmissionRequest<'_>, alone: Duration) -> Duration {
    let all = bid.deadline.saturating_duration_since(bid.since);
    let most = all.mul_f64(WAIT_SHARE).max(bid.target).max(alone.mul_f64(READ_LEAST).min(all));
    bid.target.max(alone.mul_f64(READ_SLACK)).min(most)
}

/// Returns a generation as an engine would meet it now.
pub fn candidate(now: Instant, bid: &AdmissionRequest<'_>, reading: &PrefillRate) -> Candidate {
    let alone = reading.time(bid.need.work.unread);
    let left = (bid.since + patience(bid, alone)).saturating_duration_since(now);
    Candidate { work: bid.need.work, left, urgency: bid.urgency }
}

/// A generation as an engine would meet it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What it needs.
    pub work: Work,
    /// Time within which its first event is of full use.
    pub left: Duration,
    /// Rank.
    pub urgency: Urgency,
}

/// What an engine lacks for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// Memory.
    Memory,
    /// Time to read its prompt behind others.
    Reading,
    /// A place in its batch.
    Place,
}

/// Tells whether an engine has the memory for a generation, and reads it in time.
pub fn fits(
    now: Instant,
    e: &Endpoint,
    engine: &Engine,
    entrant: &Candidate,
    reading: &PrefillRate,
) -> bool {
    lack(now, e, engine, entrant, reading).is_none()
}

/// Returns what an engine lacks for a generation; `None` where it may begin now.
pub fn lack(
    now: Instant,
    e: &Endpoint,
    engine: &Engine,
    entrant: &Candidate,
    reading: &PrefillRate,
) -> Option<Lack> {
    let (work, own) = (e.work(), entrant.work);
    let fill = if entrant.urgency.0 == 0 { FILL + URGENT_FILL } else { FILL };
    let memory = fill * f64::from(engine.memory.0);
    // One that is larger than that begins where nothing else runs.
    let has_memory = (work.held + own.held) as f64 <= memory || work.held == 0;
    let time = reading.time(work.unread + own.unread);
    // Nowhere would it begin sooner than where nothing else is read.
    let begins = time <= entrant.left.mul_f64(READ_SHARE) || work.unread == 0;
    let has_place = e.open_requests(now) < e.listing.slots;
    let needs = [(has_memory, Lack::Memory), (begins, Lack::Reading), (has_place, Lack::Place)];
    needs.into_iter().find(|(is_met, _)| !is_met).map(|(_, lack)| lack)
}

/// What the engines of a service lack for a generation, in numbers of engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortage {
    /// Engines that take new work.
    pub usable: u32,
    /// Those without the memory.
    pub memory: u32,
    /// Those that have the memory, and would read it too late.
    pub reading: u32,
    /// Those that only have no place.
    pub place: u32,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (usable, memory, reading) = (self.usable, self.memory, self.reading);
        write!(f, "engines={usable} no_memory={memory} no_time={reading} no_place={}", self.place)
    }
}

/// Counts what the engines lack for a generation.
pub fn shortage(
    now: Instant,
    pool: &Pool,
    bid: &AdmissionRequest<'_>,
    reading: &PrefillRate,
) -> Shortage {
    let entrant = candidate(now, bid, reading);
    let mut sum = Shortage::default();
    for e in pool.endpoints.values().filter(|e| e.serves(bid.need.service)) {
        sum.usable += 1;
        let lacks = bid.need.engine.and_then(|engine| lack(now, e, engine, &entrant, reading));
        match lacks {
            Some(Lack::Memory) => sum.memory += 1,
            Some(Lack::Reading) => sum.reading += 1,
            Some(Lack::Place) => sum.place += 1,
            None => {}
        }
    }
    sum
}

/// Returns when a refused generation should come back: after the present crowd, and within the
/// time for which its caller comes back at all.
fn come_back(now: Instant, bid: &AdmissionRequest<'_>) -> Duration {
    /// Share of the time left within which callers come back.
    const PATIENCE: f64 = 0.3;
    let left = bid.deadline.saturating_duration_since(now);
    let times = (COME_BACK + COME_BACK_EACH * bid.queue_len as f64).min(COME_BACK_MOST);
    bid.target.mul_f64(times).min(left.mul_f64(PATIENCE))
}

/// Names a generation in line; the order is that of urgency, then of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    urgency: Urgency,
    number: u64,
}

/// Generations that wait, by service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: HashMap<ServiceName, BTreeSet<Ticket>>,
    next: u64,
}

impl WaitQueue {
    /// Puts a generation in line.
    pub fn join(&mut self, service: &ServiceName, urgency: Urgency) -> Ticket {
        self.next += 1;
        let ticket = Ticket { urgency, number: self.next };
        self.waiting.entry(service.clone()).or_default().insert(ticket);
        ticket
    }

    /// Takes a generation out.
    pub fn leave(&mut self, service: &ServiceName, ticket: Ticket) {
        if let Some(line) = self.waiting.get_mut(service) {
            line.remove(&ticket);
        }
    }

    /// Tells whether a generation is first in line.
    pub fn is_first(&self, service: &ServiceName, ticket: Ticket) -> bool {
        self.waiting.get(service).and_then(BTreeSet::first) == Some(&ticket)
    }

    /// Counts the generations that wait for a service.
    pub fn len(&self, service: &ServiceName) -> usize {
        self.waiting.get(service).map_or(0, BTreeSet::len)
    }
}
