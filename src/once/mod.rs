//! The record of a sidecar that lets each non-idempotent call run at most once.
//!
//! A key names one incarnation of one sidecar, so where a call may run needs no agreement. The
//! record lives in memory: a new incarnation knows nothing of older keys and answers that their
//! outcome is unknown. Records are kept by epoch; whole epochs are forgotten, and a key of a
//! forgotten epoch is unknown as well.

use crate::frame::{Answer, CallKey, CallReply, Refusal};
use crate::id::{Epoch, Fingerprint, Incarnation};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time that an epoch takes new keys.
const EPOCH_TIME: Duration = Duration::from_secs(600);
/// Epochs kept after they took new keys: with the present one, a day.
const EPOCHS_KEPT: u32 = 143;
/// Most records of all epochs.
const RECORD_LIMIT: usize = 65_536;
/// Most bytes of answers kept.
const ANSWER_LIMIT: usize = 8 << 20;
/// Largest answer that is kept.
const ANSWER_MAX: usize = 64 << 10;

/// Bounds of a record.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Epochs kept after they took new keys.
    pub epochs: u32,
    /// Most records of all epochs.
    pub records: usize,
    /// Most bytes of answers kept.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { epochs: EPOCHS_KEPT, records: RECORD_LIMIT, bytes: ANSWER_LIMIT }
    }
}

/// What is recorded of a call.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Running,
    Done(Answer),
    /// It ran, and its answer is no longer kept.
    Ran,
    Sealed,
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
struct Record {
    content: Fingerprint,
    state: State,
}

/// What to do with a call that arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Run it; the record says so from now on.
    Run,
    /// Answer this, and run nothing.
    Answer(CallReply),
}

/// The record of one incarnation.
#[derive(Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    limits: Limits,
    epoch: Epoch,
    began: Instant,
    epochs: BTreeMap<Epoch, HashMap<Fingerprint, Record>>,
    records: usize,
    bytes: usize,
    /// Epochs up to this one run no key that they have not seen.
    shut: Option<Epoch>,
}

impl Ledger {
    /// Makes the empty record of a new incarnation.
    pub fn new(now: Instant, incarnation: Incarnation, limits: Limits) -> Self {
        Ledger {
            incarnation,
            limits,
            epoch: Epoch(1),
            began: now,
            epochs: BTreeMap::new(),
            records: 0,
            bytes: 0,
            shut: None,
        }
    }

    /// Returns the epoch that new keys should name.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Begins a new epoch when it is time, and forgets the oldest.
    pub fn step(&mut self, now: Instant) {
        if now >= self.began + EPOCH_TIME {
            self.advance(now);
        }
    }

    fn advance(&mut self, now: Instant) {
        self.epoch.0 += 1;
        self.began = now;
        while self.oldest().is_some_and(|e| e.0 + self.limits.epochs < self.epoch.0) {
            self.forget_oldest();
        }
    }

    fn oldest(&self) -> Option<Epoch> {
        self.epochs.keys().next().copied()
    }

    fn forget_oldest(&mut self) {
        let Some((epoch, gone)) = self.epochs.pop_first() else { return };
        self.records -= gone.len();
        self.bytes -= gone.values().map(answer_bytes).sum::<usize>();
        // A forgotten key may have run: `find` answers that it is unknown.
        self.shut = self.shut.max(Some(epoch));
    }

    /// Returns the first epoch whose keys are all on record.
    fn known_from(&self) -> u32 {
        self.epoch.0.saturating_sub(self.limits.epochs)
    }

    /// Decides whether an arriving call runs, and records it if so.
    pub fn begin(&mut self, now: Instant, key: &CallKey) -> Verdict {
        if let Some(reply) = self.find(key) {
            return Verdict::Answer(reply);
        }
        if self.is_shut(key) {
            return Verdict::Answer(CallReply::NotRun(Refusal::Expired));
        }
        if self.records >= self.limits.records {
            // No room for one more record: shut all epochs so far, which seals every key that
            // they have not seen and needs no record of its own.
            self.shut = Some(self.epoch);
            self.advance(now);
            return Verdict::Answer(CallReply::NotRun(Refusal::Busy));
        }
        self.put(key, State::Running);
        Verdict::Run
    }

    /// Records how a call ended.
    pub fn finish(&mut self, key: &CallKey, reply: CallReply) {
        let state = match reply {
            CallReply::Done(a) if a.body.len() <= ANSWER_MAX => State::Done(a),
            CallReply::Done(_) | CallReply::Ran => State::Ran,
            CallReply::NotRun(_) => State::Sealed,
            _ => State::Unknown,
        };
        self.put(key, state);
        self.trim();
    }

    /// Seals a key that has not run; answers what became of it otherwise.
    pub fn seal(&mut self, now: Instant, key: &CallKey) -> CallReply {
        if let Some(reply) = self.find(key) {
            return reply;
        }
        if !self.is_shut(key) {
            if self.records >= self.limits.records {
                self.shut = Some(self.epoch);
                self.advance(now);
            } else {
                self.put(key, State::Sealed);
            }
        }
        CallReply::NotRun(Refusal::Expired)
    }

    fn is_shut(&self, key: &CallKey) -> bool {
        self.shut.is_some_and(|e| key.epoch <= e)
    }

    /// Answers from the record, or `None` for a key that has certainly not run here.
    fn find(&self, key: &CallKey) -> Option<CallReply> {
        let is_kept = key.epoch.0 >= self.known_from() && key.epoch <= self.epoch;
        if key.incarnation != self.incarnation || !is_kept {
            return Some(CallReply::Unknown);
        }
        let record = self.epochs.get(&key.epoch)?.get(&key.hash)?;
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

    /// Drops the answers, but not the outcomes, of the oldest epochs.
    fn trim(&mut self) {
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
