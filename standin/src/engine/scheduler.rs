//! The batching and memory of an engine, without I/O.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Tokens in one block of memory.
pub const BLOCK: u32 = 16;
/// Share of blocks kept free when a generation is admitted, in percent.
const WATERMARK: u32 = 1;

/// What an engine can do.
#[derive(Debug, Clone)]
pub struct Params {
    /// Memory in tokens.
    pub capacity: u32,
    /// Most generations in one batch.
    pub max_batch: usize,
    /// Time of a batch step.
    pub base_time: Duration,
    /// Time added to a step per generation in it.
    pub sequence_time: Duration,
    /// Time added to a step per prompt token computed in it.
    pub prefill_time: Duration,
    /// Age of a load report.
    pub report_lag: Duration,
    /// Time to load a model.
    pub load_time: Duration,
    /// Refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Loaded at start, as model, adapter and version.
    pub loaded: Vec<String>,
}

impl Default for Params {
    fn default() -> Self {
        Params {
            capacity: 8192,
            max_batch: 64,
            base_time: Duration::from_millis(12),
            sequence_time: Duration::from_micros(200),
            prefill_time: Duration::from_micros(60),
            report_lag: Duration::from_millis(300),
            load_time: Duration::from_millis(500),
            checks_fence: true,
            loaded: Vec::new(),
        }
    }
}

/// One generation in the engine.
#[derive(Debug, Clone)]
pub struct Seq {
    /// Name given by the sidecar.
    pub id: Arc<str>,
    /// Rank, higher first.
    pub priority: u32,
    /// Length of the prompt in tokens.
    pub input: u32,
    /// Hash of the start of the prompt.
    pub prefix: u32,
    /// Length of the output in tokens; the engine alone knows it.
    pub output: u32,
    /// Tokens generated.
    pub done: u32,
    /// Order of arrival.
    pub arrival: u64,
    blocks: u32,
    is_cold: bool,
}

/// What one step did.
#[derive(Debug, Default)]
pub struct Step {
    /// Time it takes.
    pub time: Duration,
    /// Generations that got a token.
    pub tokens: Vec<Arc<str>>,
    /// Generations that ended.
    pub ended: Vec<Arc<str>>,
    /// Generations that were dropped.
    pub preempted: Vec<Arc<str>>,
    /// Prefixes that came into or went out of the cache.
    pub cache: Vec<(u32, bool)>,
}

/// The state of an engine.
#[derive(Debug)]
pub struct Scheduler {
    params: Params,
    waiting: VecDeque<Seq>,
    running: Vec<Seq>,
    free: u32,
    cache: BTreeMap<u32, (u64, u32)>,
    clock: u64,
}

fn blocks(tokens: u32) -> u32 {
    tokens.div_ceil(BLOCK)
}

impl Scheduler {
    /// Makes an idle engine.
    pub fn new(params: Params) -> Self {
        let free = params.capacity / BLOCK;
        Scheduler {
            params,
            waiting: VecDeque::new(),
            running: Vec::new(),
            free,
            cache: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Adds a generation that has `done` tokens already.
    pub fn add(
        &mut self,
        id: &str,
        priority: u32,
        input: u32,
        prefix: u32,
        output: u32,
        done: u32,
    ) {
        self.clock += 1;
        let seq = Seq {
            id: Arc::from(id),
            priority,
            input,
            prefix,
            output,
            done,
            arrival: self.clock,
            blocks: 0,
            is_cold: true,
        };
        self.enqueue(seq);
    }

    fn enqueue(&mut self, seq: Seq) {
        let before =
            |w: &Seq| (w.priority, u64::MAX - w.arrival) < (seq.priority, u64::MAX - seq.arrival);
        let at = self.waiting.iter().position(before).unwrap_or(self.waiting.len());
        self.waiting.insert(at, seq);
    }

    /// Takes a generation off; `true` where it was there.
    pub fn remove(&mut self, id: &str) -> bool {
        if let Some(ix) = self.running.iter().position(|s| *s.id == *id) {
            let seq = self.running.remove(ix);
            self.free += seq.blocks;
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|s| *s.id != *id);
        self.waiting.len() < before
    }

    /// Tells whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Counts generations that run and that wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Returns the memory in use by generations, in tokens.
    pub fn used(&self) -> u32 {
        self.running.iter().map(|s| s.blocks * BLOCK).sum()
    }

    /// Admits what fits and generates one token for each running generation.
    pub fn step(&mut self) -> Step {
        let mut step = Step::default();
        let computed = self.admit(&mut step);
        self.grow(&mut step);
        step.time = self.params.base_time
            + self.params.sequence_time * self.running.len() as u32
            + self.params.prefill_time * computed;
        let mut ix = 0;
        while ix < self.running.len() {
            let seq = &mut self.running[ix];
            seq.is_cold = false;
            seq.done += 1;
            step.tokens.push(seq.id.clone());
            if seq.done >= seq.output {
                let seq = self.running.remove(ix);
                self.free += seq.blocks;
                step.ended.push(seq.id.clone());
                self.keep_prefix(&seq, &mut step);
            } else {
                ix += 1;
            }
        }
        step
    }

    /// Admits waiting generations while memory lasts; returns the prompt tokens to compute.
    fn admit(&mut self, step: &mut Step) -> u32 {
        let mut computed = 0;
        while self.running.len() < self.params.max_batch {
            let Some(seq) = self.waiting.front() else { break };
            let need = blocks(seq.input + seq.done + 1);
            let spare = self.params.capacity / BLOCK * WATERMARK / 100;
            if !self.make_room(need + spare, step) && !self.running.is_empty() {
                break;
            }
            let Some(mut seq) = self.waiting.pop_front() else { break };
            // A generation larger than the memory would wait for ever; it ends short instead.
            if need > self.free {
                seq.output = seq.done;
                step.ended.push(seq.id.clone());
                continue;
            }
            let is_cached = self.touch(seq.prefix);
            let size = seq.input + seq.done;
            computed += if is_cached { size - size.min(BLOCK * 4) } else { size };
            seq.blocks = need;
            self.free -= need;
            self.running.push(seq);
        }
        computed
    }

    /// Gives each running generation room for one token, dropping others where there is none.
    fn grow(&mut self, step: &mut Step) {
        let mut ix = 0;
        while ix < self.running.len() {
            let need = blocks(self.running[ix].input + self.running[ix].done + 1);
            if need <= self.running[ix].blocks {
                ix += 1;
                continue;
            }
            if self.make_room(1, step) {
                self.free -= 1;
                self.running[ix].blocks += 1;
                ix += 1;
                continue;
            }
            let victim = self.victim();
            let mut seq = self.running.remove(victim);
            self.free += seq.blocks;
            seq.blocks = 0;
            seq.is_cold = true;
            step.preempted.push(seq.id.clone());
            self.enqueue(seq);
            if victim < ix {
                ix -= 1;
            }
        }
    }

    /// Chooses the lowest rank, and within it the newest.
    fn victim(&self) -> usize {
        let rank = |s: &Seq| (s.priority, u64::MAX - s.arrival);
        let all = self.running.iter().enumerate();
        all.min_by_key(|(_, s)| rank(s)).map_or(0, |(ix, _)| ix)
    }

    /// Drops cached prefixes, oldest first, until `need` blocks are free.
    fn make_room(&mut self, need: u32, step: &mut Step) -> bool {
        while self.free < need {
            let oldest = self.cache.iter().min_by_key(|(_, (at, _))| *at).map(|(p, _)| *p);
            let Some((_, held)) = oldest.and_then(|p| self.cache.remove(&p)) else { return false };
            self.free += held;
            step.cache.extend(oldest.map(|p| (p, false)));
        }
        true
    }

    fn touch(&mut self, prefix: u32) -> bool {
        self.clock += 1;
        match self.cache.get_mut(&prefix) {
            Some(entry) => {
                entry.0 = self.clock;
                true
            }
            None => false,
        }
    }

    /// Keeps the prefix of a generation that ended, where there is room.
    fn keep_prefix(&mut self, seq: &Seq, step: &mut Step) {
        let held = blocks(BLOCK * 4).min(seq.blocks);
        if self.free > held && !self.touch(seq.prefix) {
            self.free -= held;
            self.clock += 1;
            self.cache.insert(seq.prefix, (self.clock, held));
            step.cache.push((seq.prefix, true));
        }
    }
}
