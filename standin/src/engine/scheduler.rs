//! Batch scheduling and KV cache allocation of the engine, without I/O.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Tokens per block of the KV cache.
pub const BLOCK_TOKENS: u32 = 16;
/// Percentage of all blocks that has to stay free when a sequence is admitted beside others.
const WATERMARK_PERCENT: u32 = 1;

/// Capacity and speed of an engine.
#[derive(Debug, Clone)]
pub struct Params {
    /// Size of the KV cache in tokens.
    pub capacity: u32,
    /// Maximum number of sequences in a batch.
    pub max_batch: usize,
    /// Fixed duration of a batch step.
    pub base_time: Duration,
    /// Duration added to a step for each sequence in the batch.
    pub sequence_time: Duration,
    /// Duration added to a step for each prompt token that it prefills.
    pub prefill_time: Duration,
    /// How far load reports lag behind the engine's state.
    pub report_lag: Duration,
    /// Time from accepting a load order until the model is loaded.
    pub load_time: Duration,
    /// Whether orders with an outdated fencing number are rejected.
    pub checks_fence: bool,
    /// Model specs loaded at start, in the form `model+adapter@version`.
    pub loaded: Vec<String>,
    /// Whether streams have chunks; without them, they end with their connection.
    pub chunked: bool,
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
            chunked: true,
        }
    }
}

/// A generation that waits or runs.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Identifier assigned by the sidecar.
    pub id: Arc<str>,
    /// Scheduling priority; higher values are admitted first and preempted last.
    pub priority: u32,
    /// Length of the prompt in tokens.
    pub input: u32,
    /// Hash of the start of the prompt, the key in the prefix cache.
    pub prefix: u32,
    /// Length of the output in tokens; not known outside the engine.
    pub output: u32,
    /// Output tokens generated so far.
    pub done: u32,
    /// Logical time of arrival; breaks ties within a priority.
    pub arrival: u64,
    blocks: u32,
    needs_prefill: bool,
}

/// Result of one batch step.
#[derive(Debug, Default)]
pub struct Step {
    /// Simulated duration of the step.
    pub time: Duration,
    /// Sequences that produced a token.
    pub tokens: Vec<Arc<str>>,
    /// Sequences that finished.
    pub ended: Vec<Arc<str>>,
    /// Sequences evicted for lack of memory and queued again.
    pub preempted: Vec<Arc<str>>,
    /// Prefixes added to (`true`) or evicted from (`false`) the prefix cache.
    pub cache_changes: Vec<(u32, bool)>,
}

/// Queue, batch and KV cache of an engine.
#[derive(Debug)]
pub struct Scheduler {
    params: Params,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    free_blocks: u32,
    /// Prefix hash to logical time of last use and number of blocks held.
    prefix_cache: BTreeMap<u32, (u64, u32)>,
    /// Logical clock, which orders arrivals and prefix uses.
    tick: u64,
}

fn blocks_for(tokens: u32) -> u32 {
    tokens.div_ceil(BLOCK_TOKENS)
}

impl Scheduler {
    /// Creates a scheduler without any sequences.
    pub fn new(params: Params) -> Self {
        let free_blocks = params.capacity / BLOCK_TOKENS;
        Scheduler {
            params,
            waiting: VecDeque::new(),
            running: Vec::new(),
            free_blocks,
            prefix_cache: BTreeMap::new(),
            tick: 0,
        }
    }

    /// Queues a sequence of which `done` output tokens exist already.
    pub fn add(
        &mut self,
        id: &str,
        priority: u32,
        input: u32,
        prefix: u32,
        output: u32,
        done: u32,
    ) {
        self.tick += 1;
        let seq = Sequence {
            id: Arc::from(id),
            priority,
            input,
            prefix,
            output,
            done,
            arrival: self.tick,
            blocks: 0,
            needs_prefill: true,
        };
        self.enqueue(seq);
    }

    /// Queues a sequence behind those of the same or a higher priority that arrived earlier.
    fn enqueue(&mut self, seq: Sequence) {
        let before = |w: &Sequence| {
            (w.priority, u64::MAX - w.arrival) < (seq.priority, u64::MAX - seq.arrival)
        };
        let at = self.waiting.iter().position(before).unwrap_or(self.waiting.len());
        self.waiting.insert(at, seq);
    }

    /// Removes a waiting or running sequence; returns whether there was one.
    pub fn remove(&mut self, id: &str) -> bool {
        if let Some(ix) = self.running.iter().position(|s| *s.id == *id) {
            let seq = self.running.remove(ix);
            self.free_blocks += seq.blocks;
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|s| *s.id != *id);
        self.waiting.len() < before
    }

    /// Returns whether no sequence waits or runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the numbers of running and of waiting sequences.
    pub fn counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Returns the KV cache usage of the running sequences in tokens, without cached prefixes.
    pub fn used_tokens(&self) -> u32 {
        self.running.iter().map(|s| s.blocks * BLOCK_TOKENS).sum()
    }

    /// Admits waiting sequences that fit and generates one token for each running sequence.
    pub fn step(&mut self) -> Step {
        let mut step = Step::default();
        let prefill_tokens = self.admit(&mut step);
        self.allocate_next_token(&mut step);
        step.time = self.params.base_time
            + self.params.sequence_time * self.running.len() as u32
            + self.params.prefill_time * prefill_tokens;
        let mut ix = 0;
        while ix < self.running.len() {
            let seq = &mut self.running[ix];
            seq.needs_prefill = false;
            seq.done += 1;
            step.tokens.push(seq.id.clone());
            if seq.done >= seq.output {
                let seq = self.running.remove(ix);
                self.free_blocks += seq.blocks;
                step.ended.push(seq.id.clone());
                self.cache_prefix(&seq, &mut step);
            } else {
                ix += 1;
            }
        }
        step
    }

    /// Admits waiting sequences in queue order while the batch and the KV cache have capacity.
    /// Returns the number of tokens to prefill.
    fn admit(&mut self, step: &mut Step) -> u32 {
        let mut prefill_tokens = 0;
        while self.running.len() < self.params.max_batch {
            let Some(seq) = self.waiting.front() else { break };
            let needed = blocks_for(seq.input + seq.done + 1);
            let reserve = self.params.capacity / BLOCK_TOKENS * WATERMARK_PERCENT / 100;
            if !self.ensure_free(needed + reserve, step) && !self.running.is_empty() {
                break;
            }
            let Some(mut seq) = self.waiting.pop_front() else { break };
            // A sequence larger than the whole KV cache would wait forever, so it ends at its
            // present length.
            if needed > self.free_blocks {
                seq.output = seq.done;
                step.ended.push(seq.id.clone());
                continue;
            }
            let is_cached = self.touch_prefix(seq.prefix);
            let size = seq.input + seq.done;
            // A cached prefix covers the first four blocks of the prompt, which are not prefilled.
            prefill_tokens += if is_cached { size - size.min(BLOCK_TOKENS * 4) } else { size };
            seq.blocks = needed;
            self.free_blocks -= needed;
            self.running.push(seq);
        }
        prefill_tokens
    }

    /// Ensures that each running sequence has a block for its next token, preempting sequences
    /// where no block can be freed otherwise.
    fn allocate_next_token(&mut self, step: &mut Step) {
        let mut ix = 0;
        while ix < self.running.len() {
            let needed = blocks_for(self.running[ix].input + self.running[ix].done + 1);
            if needed <= self.running[ix].blocks {
                ix += 1;
                continue;
            }
            if self.ensure_free(1, step) {
                self.free_blocks -= 1;
                self.running[ix].blocks += 1;
                ix += 1;
                continue;
            }
            let victim = self.preemption_victim();
            let mut seq = self.running.remove(victim);
            self.free_blocks += seq.blocks;
            seq.blocks = 0;
            seq.needs_prefill = true;
            step.preempted.push(seq.id.clone());
            self.enqueue(seq);
            if victim < ix {
                ix -= 1;
            }
        }
    }

    /// Returns the index of the running sequence with the lowest priority, the newest among equals.
    fn preemption_victim(&self) -> usize {
        let rank = |s: &Sequence| (s.priority, u64::MAX - s.arrival);
        let all = self.running.iter().enumerate();
        all.min_by_key(|(_, s)| rank(s)).map_or(0, |(ix, _)| ix)
    }

    /// Evicts cached prefixes, least recently used first, until `needed` blocks are free; returns
    /// whether they are.
    fn ensure_free(&mut self, needed: u32, step: &mut Step) -> bool {
        while self.free_blocks < needed {
            let oldest = self.prefix_cache.iter().min_by_key(|(_, (at, _))| *at).map(|(p, _)| *p);
            let Some((_, held)) = oldest.and_then(|p| self.prefix_cache.remove(&p)) else {
                return false;
            };
            self.free_blocks += held;
            step.cache_changes.extend(oldest.map(|p| (p, false)));
        }
        true
    }

    /// Marks a cached prefix as used now; returns whether it is cached.
    fn touch_prefix(&mut self, prefix: u32) -> bool {
        self.tick += 1;
        match self.prefix_cache.get_mut(&prefix) {
            Some(entry) => {
                entry.0 = self.tick;
                true
            }
            None => false,
        }
    }

    /// Caches the prefix of a finished sequence if enough blocks are free.
    fn cache_prefix(&mut self, seq: &Sequence, step: &mut Step) {
        let held = blocks_for(BLOCK_TOKENS * 4).min(seq.blocks);
        if self.free_blocks > held && !self.touch_prefix(seq.prefix) {
            self.free_blocks -= held;
            self.tick += 1;
            self.prefix_cache.insert(seq.prefix, (self.tick, held));
            step.cache_changes.push((seq.prefix, true));
        }
    }
}
