//! What a sidecar knows of its endpoint and of the work it holds.

use crate::fair::TokenCounters;
use crate::frame::{Crash, Finish, Start};
use crate::id::Nonce;
use crate::length::Lengths;
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

new_key_type! {
    /// Names a generation on the board of a sidecar.
    pub struct JobKey;
}

/// Where a generation stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Waits for the engine.
    Queued,
    /// Is on the engine.
    Running,
    /// Was taken off the engine and goes on later.
    Held,
    /// Has ended.
    Ended(Finish),
}

/// One generation.
#[derive(Debug)]
pub struct Job {
    /// What was asked for.
    pub start: Start,
    /// Where it stands.
    pub phase: Phase,
    /// When it was accepted.
    pub arrived: Instant,
    /// When its first token is due.
    pub deadline: Instant,
    /// Tokens so far.
    pub tokens: Vec<Arc<str>>,
    /// When a token last came, or the engine was last asked.
    pub last_active: Instant,
    /// When a reader last asked for it.
    pub last_read: Instant,
    /// Tells that the prompt has been computed since the engine last got it.
    pub prefilled: bool,
    /// Counts how often it was given to the engine; a reader of an earlier time gives up.
    pub submissions: u32,
    /// Tells that a reader was sent the end.
    pub end_sent: bool,
}

impl Job {
    /// Returns the memory it takes on the engine, in tokens.
    pub fn size(&self) -> u32 {
        self.start.input.0 + self.tokens.len() as u32
    }
}

/// What is known of the engine or plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Tells whether it answers.
    pub alive: bool,
    /// Memory in tokens, as the engine reports it.
    pub capacity: u32,
    /// Tokens in one block of memory.
    pub block: u32,
    /// Most generations in one batch.
    pub batch: u32,
    /// Mean time between tokens.
    pub gap: Duration,
    /// Time to compute one token of a prompt.
    pub prefill: Duration,
    /// Model, adapter and version in text form, each loaded.
    pub loaded: Vec<Arc<str>>,
    /// Hashes of prefixes held, as far as events told.
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

/// The state of a sidecar.
#[derive(Debug, Default)]
pub struct SidecarBoard {
    /// What is known of the endpoint.
    pub engine: Engine,
    /// Generations, running, waiting and lately ended.
    pub jobs: SlotMap<JobKey, Job>,
    /// Generations by the nonce of their identifier.
    pub by_nonce: HashMap<Nonce, JobKey>,
    /// Lengths seen.
    pub lengths: Lengths,
    /// Shares of workspaces.
    pub fair: TokenCounters,
    /// Tells that no new work is taken.
    pub leaving: bool,
    /// Calls on a plain service at present.
    pub calls: u32,
    /// Crashes seen.
    pub crashes: Vec<Crash>,
}

impl SidecarBoard {
    /// Iterates over the generations in a phase.
    pub fn in_phase(&self, phase: Phase) -> impl Iterator<Item = (JobKey, &Job)> {
        self.jobs.iter().filter(move |(_, j)| j.phase == phase)
    }

    /// Counts the generations in a phase.
    pub fn count(&self, phase: Phase) -> u32 {
        self.in_phase(phase).count() as u32
    }

    /// Tells whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.calls == 0 && self.jobs.values().all(|j| matches!(j.phase, Phase::Ended(_)))
    }
}
