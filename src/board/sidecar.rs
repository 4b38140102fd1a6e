//! State of a sidecar: its engine and the generations it holds.

use crate::fair::TokenCounters;
use crate::frame::{Crash, Finish, Start};
use crate::id::Nonce;
use crate::length::Lengths;
use crate::limit::Throttle;
use slotmap::{SlotMap, new_key_type};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

new_key_type! {
    /// Key of a generation in [`SidecarBoard::jobs`].
    pub struct JobKey;
}

/// Phase of a generation at its sidecar.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Waiting to be submitted to the engine.
    Queued,
    /// Submitted to the engine.
    Running,
    /// Preempted: cancelled on the engine, to be continued later from its tokens so far.
    Held,
    /// Ended; kept for a while so that readers can fetch the remaining tokens.
    Ended(Finish),
}

impl Phase {
    /// Returns whether the generation has not run so far.
    pub fn has_not_run(self) -> bool {
        matches!(self, Phase::Queued | Phase::Ended(Finish::NotRun(_)))
    }
}

/// A generation held by the sidecar.
#[derive(Debug)]
pub struct Job {
    /// The entry's request.
    pub start: Start,
    /// Current phase.
    pub phase: Phase,
    /// Time at which the generation was accepted.
    pub arrived: Instant,
    /// Time after which a queued generation is refused as expired.
    pub deadline: Instant,
    /// Tokens generated so far.
    pub tokens: Vec<Arc<str>>,
    /// Time of the last submission, token or end.
    pub last_active: Instant,
    /// Time of the last poll with a cursor for the generation; before the first, of its arrival.
    pub last_read: Instant,
    /// Whether a token has arrived since the last submission, so that the prompt is in the engine's
    /// KV cache.
    pub prefilled: bool,
    /// Number of submissions to the engine. The reader of an earlier submission's stream stops when
    /// the number has changed.
    pub submissions: u32,
    /// Time of the first token.
    pub begun: Option<Instant>,
    /// Whether a poll reply has included the end.
    pub end_sent: bool,
}

impl Job {
    /// Returns the KV cache that the generation takes on the engine, in tokens.
    pub fn size(&self) -> u32 {
        self.start.input.0.saturating_add(self.tokens.len() as u32)
    }
}

/// Last known state of the engine or plain service behind the sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Whether it answers.
    pub alive: bool,
    /// KV cache capacity in tokens, as reported by the engine.
    pub capacity: u32,
    /// Tokens per KV cache block.
    pub block: u32,
    /// Maximum number of generations in one batch.
    pub batch: u32,
    /// Mean time between tokens of a generation.
    pub gap: Duration,
    /// Prefill time per prompt token.
    pub prefill: Duration,
    /// Loaded models, each with adapter and version in text form.
    pub loaded: Vec<Arc<str>>,
    /// Hashes of cached prompt prefixes, as far as known from the engine's cache events.
    pub prefixes: Vec<u32>,
}

impl Default for Engine {
    fn default() -> Self {
        Engine {
            alive: false,
            capacity: 0,
            block: 16,
            batch: 1,
            gap: Duration::from_millis(30),
            prefill: Duration::from_micros(100),
            loaded: Vec::new(),
            prefixes: Vec::new(),
        }
    }
}

/// Counts a call as in progress until it is dropped, as by a panic.
struct CountedCall<'a>(&'a RefCell<SidecarBoard>);

impl<'a> CountedCall<'a> {
    fn begin(board: &'a RefCell<SidecarBoard>) -> Self {
        board.borrow_mut().calls += 1;
        CountedCall(board)
    }
}

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().calls -= 1;
    }
}

/// State shared by the controllers of a sidecar.
#[derive(Debug, Default)]
pub struct SidecarBoard {
    /// Last known state of the engine.
    pub engine: Engine,
    /// Generations that are queued, running, held or recently ended.
    pub jobs: SlotMap<JobKey, Job>,
    /// Keys of the generations by the nonce of their identifier.
    pub by_nonce: HashMap<Nonce, JobKey>,
    /// Observed output lengths, for forecasts.
    pub lengths: Lengths,
    /// Fair-share counters of the workspaces.
    pub fair: TokenCounters,
    /// Whether the sidecar is shutting down and accepts no new work.
    pub leaving: bool,
    /// Calls on a plain service in progress.
    pub calls: u32,
    /// Calls on a plain service that wait to be sent, in order.
    pub waiting_calls: VecDeque<u64>,
    /// Limit of the endpoint for the rate of its requests.
    pub throttle: Throttle,
    /// Crashes of the engine since the sidecar started, with their times.
    pub crashes: Vec<(Instant, Crash)>,
}

impl SidecarBoard {
    /// Runs a call on a plain service and counts it as in progress meanwhile.
    pub async fn count_call<F: Future>(board: &RefCell<Self>, call: F) -> F::Output {
        let _counted = CountedCall::begin(board);
        call.await
    }

    /// Returns an iterator over the generations in a phase.
    pub fn in_phase(&self, phase: Phase) -> impl Iterator<Item = (JobKey, &Job)> {
        self.jobs.iter().filter(move |(_, j)| j.phase == phase)
    }

    /// Returns the number of generations in a phase.
    pub fn count(&self, phase: Phase) -> u32 {
        self.in_phase(phase).count() as u32
    }

    /// Returns whether no call or generation is in progress.
    pub fn is_idle(&self) -> bool {
        self.calls == 0 && self.jobs.values().all(|j| matches!(j.phase, Phase::Ended(_)))
    }
}
