//! The ledger of a sidecar, which ensures that each non-idempotent call runs at most once.
//!
//! A call key names one incarnation of one sidecar, so no agreement is needed on where a call may
//! run. The ledger is kept in memory only: a new incarnation has no records of older keys and
//! replies that their outcome is unknown. Records are grouped by epoch and discarded a whole epoch
//! at a time; the outcome of a key of a discarded epoch is unknown as well.
//!
//! Keys chosen by callers are bound to a sidecar by a claim in the store. When the store has come
//! back from an older copy, the sidecar writes the claims of its records again. From then on it
//! runs no call whose claim was read before: the key may have been bound to another sidecar.

mod claim;
mod homes;

pub use claim::{Claim, ClaimUse, claim_key, judge_claim};
pub use homes::{CLAIM_LIFETIME, Homes};

use crate::frame::{Answer, CallKey, CallReply, Refusal};
use crate::id::{Epoch, Fingerprint, Incarnation};
use crate::store::Era;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::time::{Duration, Instant};

/// Time during which new keys are issued for an epoch.
const EPOCH_DURATION: Duration = Duration::from_secs(600);
/// Past epochs kept; together with the current one they cover a day.
const PAST_EPOCHS_KEPT: u32 = 143;
/// Limit of records in all epochs.
const MAX_RECORDS: usize = 65_536;
/// Limit of bytes of answers kept in all epochs.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Largest body of an answer that is kept.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Limits of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Number of past epochs kept.
    pub epochs: u32,
    /// Limit of records in all epochs.
    pub records: usize,
    /// Limit of bytes of answers kept in all epochs.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { epochs: PAST_EPOCHS_KEPT, records: MAX_RECORDS, bytes: MAX_ANSWER_BYTES }
    }
}

/// Recorded state of a call.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Running,
    Done(Answer),
    /// The call ran, and its answer is not kept or no longer kept.
    Ran,
    /// The call has not run and never will.
    Sealed,
    /// It is not known whether the call ran.
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
struct Record {
    content: Fingerprint,
    state: State,
}

/// Decision on an arriving call.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Run it; it is recorded as running.
    Run,
    /// Send this reply without running it.
    Answer(CallReply),
}

/// Records the outcome of a call when it is dropped.
struct OpenRecord<'a> {
    ledger: &'a RefCell<Ledger>,
    key: &'a CallKey,
    reply: CallReply,
}

impl Drop for OpenRecord<'_> {
    fn drop(&mut self) {
        let reply = std::mem::replace(&mut self.reply, CallReply::Unknown);
        self.ledger.borrow_mut().finish(self.key, reply);
    }
}

/// Records of the calls of one incarnation of a sidecar.
#[derive(Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    limits: Limits,
    /// Current epoch.
    epoch: Epoch,
    epoch_start: Instant,
    epochs: BTreeMap<Epoch, HashMap<Fingerprint, Record>>,
    /// Number of records in all epochs.
    records: usize,
    /// Bytes of answers in all epochs.
    bytes: usize,
    /// Last closed epoch: in epochs up to this one, no key without a record may run.
    closed: Option<Epoch>,
    /// Whether keys without a record were sealed, because the ledger was full.
    was_full: bool,
    /// Latest known era of the store.
    era: Era,
}

impl Ledger {
    /// Creates the empty ledger of a new incarnation.
    pub fn new(now: Instant, incarnation: Incarnation, limits: Limits) -> Self {
        Ledger {
            incarnation,
            limits,
            epoch: Epoch(1),
            epoch_start: now,
            epochs: BTreeMap::new(),
            records: 0,
            bytes: 0,
            closed: None,
            was_full: false,
            era: Era::default(),
        }
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Enters an era of the store, and returns the recorded keys, whose claims have to be written
    /// again. Returns `None` if some keys have no record, so that their claims are lost.
    pub fn enter_era(&mut self, era: Era) -> Option<Vec<(Fingerprint, Epoch)>> {
        self.era = self.era.max(era);
        let keys = |(epoch, records): (&Epoch, &HashMap<Fingerprint, Record>)| {
            records.keys().map(|hash| (*hash, *epoch)).collect::<Vec<_>>()
        };
        (!self.was_full).then(|| self.epochs.iter().flat_map(keys).collect())
    }

    /// Returns the current epoch, which new keys name.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Starts a new epoch when the current one has ended, and discards epochs that are too old.
    pub fn step(&mut self, now: Instant) {
        if now >= self.epoch_start + EPOCH_DURATION {
            self.advance(now);
        }
    }

    fn advance(&mut self, now: Instant) {
        self.epoch.0 += 1;
        self.epoch_start = now;
        while self.oldest().is_some_and(|e| e.0 + self.limits.epochs < self.epoch.0) {
            self.discard_oldest();
        }
    }

    fn oldest(&self) -> Option<Epoch> {
        self.epochs.keys().next().copied()
    }

    fn discard_oldest(&mut self) {
        let Some((epoch, discarded)) = self.epochs.pop_first() else { return };
        self.records -= discarded.len();
        self.bytes -= discarded.values().map(answer_bytes).sum::<usize>();
        // A key of a discarded epoch may have run: `find` replies that its outcome is unknown.
        self.closed = self.closed.max(Some(epoch));
    }

    /// Returns the first epoch that is not discarded by age.
    fn oldest_kept(&self) -> u32 {
        self.epoch.0.saturating_sub(self.limits.epochs)
    }

    /// Decides whether an arriving call runs, and records it as running if so.
    pub fn begin(&mut self, now: Instant, key: &CallKey) -> Verdict {
        if let Some(reply) = self.find(key) {
            return Verdict::Answer(reply);
        }
        if self.is_closed(key) {
            return Verdict::Answer(CallReply::NotRun(Refusal::Expired));
        }
        if self.records >= self.limits.records {
            // The ledger is full. Closing all epochs so far seals every key without a record, which
            // takes no further record.
            self.close(now);
            return Verdict::Answer(CallReply::NotRun(Refusal::Busy));
        }
        self.put(key, State::Running);
        Verdict::Run
    }

    /// Runs a call that was recorded as running, and records its outcome. That of a call which ends
    /// without a reply, as by a panic, is unknown.
    pub async fn record_call(
        ledger: &RefCell<Self>,
        key: &CallKey,
        call: impl Future<Output = CallReply>,
    ) -> CallReply {
        let mut record = OpenRecord { ledger, key, reply: CallReply::Unknown };
        record.reply = call.await;
        record.reply.clone()
    }

    /// Records the outcome of a call.
    pub fn finish(&mut self, key: &CallKey, reply: CallReply) {
        let state = match reply {
            CallReply::Done(a) if a.body.len() <= MAX_BODY_BYTES => State::Done(a),
            CallReply::Done(_) | CallReply::Ran => State::Ran,
            CallReply::NotRun(_) => State::Sealed,
            _ => State::Unknown,
        };
        self.put(key, state);
        self.drop_answers();
    }

    /// Seals a key that has not run, so that it never does; replies with its state otherwise.
    pub fn seal(&mut self, now: Instant, key: &CallKey) -> CallReply {
        if let Some(reply) = self.find(key) {
            return reply;
        }
        if !self.is_closed(key) {
            if self.records >= self.limits.records {
                self.close(now);
            } else {
                self.put(key, State::Sealed);
            }
        }
        CallReply::NotRun(Refusal::Expired)
    }

    /// Seals all keys so far that have no record.
    fn close(&mut self, now: Instant) {
        self.closed = Some(self.epoch);
        self.was_full = true;
        self.advance(now);
    }

    fn is_closed(&self, key: &CallKey) -> bool {
        self.closed.is_some_and(|e| key.epoch <= e)
    }

    /// Returns the reply according to the records, or `None` for a key that has not run here.
    fn find(&self, key: &CallKey) -> Option<CallReply> {
        let is_kept = key.epoch.0 >= self.oldest_kept() && key.epoch <= self.epoch;
        if key.incarnation != self.incarnation || !is_kept {
            return Some(CallReply::Unknown);
        }
        let record = self.epochs.get(&key.epoch).and_then(|e| e.get(&key.hash));
        // A key whose claim was read in an earlier era may have been bound anew since.
        let is_outdated = key.claim.is_some_and(|claim| claim.at.era < self.era);
        let Some(record) = record else { return is_outdated.then_some(CallReply::Unknown) };
        if record.content != key.content {
            return Some(CallReply::Mismatch);
        }
        Some(match &record.state {
            State::Running => CallReply::Running,
            State::Done(a) => CallReply::Done(a.clone()),
            State::Ran => CallReply::Ran,
            State::Sealed => CallReply::NotRun(Refusal::Expired),
            State::Unknown => CallReply::Unknown,
        })
    }

    fn put(&mut self, key: &CallKey, state: State) {
        let record = Record { content: key.content, state };
        self.bytes += answer_bytes(&record);
        let old = self.epochs.entry(key.epoch).or_default().insert(key.hash, record);
        match old {
            Some(old) => self.bytes -= answer_bytes(&old),
            None => self.records += 1,
        }
    }

    /// Drops answers, oldest epochs first, until they are within the limit; outcomes are kept.
    fn drop_answers(&mut self) {
        for record in self.epochs.values_mut().flat_map(|e| e.values_mut()) {
            if self.bytes <= self.limits.bytes {
                return;
            }
            if matches!(record.state, State::Done(_)) {
                self.bytes -= answer_bytes(record);
                record.state = State::Ran;
            }
        }
    }
}

fn answer_bytes(r: &Record) -> usize {
    match &r.state {
        State::Done(a) => a.body.len() + a.content.len(),
        _ => 0,
    }
}
