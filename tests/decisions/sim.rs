//! Simulated engines in virtual time. Prompts are processed one after another, each generation
//! whose prefill is complete produces one token per step, and the newest generation is preempted
//! when memory is full.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// Duration of a simulation step.
pub const STEP: Duration = Duration::from_millis(10);
/// Prompt tokens that an engine processes per step, in addition to the tokens that it produces.
const PREFILL_TOKENS_PER_STEP: u32 = 60;

/// A generation.
#[derive(Debug, Clone)]
pub struct Job {
    pub arrived: Instant,
    pub prompt: u32,
    pub output: u32,
    unread: u32,
    produced: u32,
    first: Option<Instant>,
}

/// Number of generations by outcome, and of preemptions.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub on_time: u32,
    pub late: u32,
    pub preempted: u32,
}

/// A simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    memory: u32,
    running: Vec<Job>,
}

impl Engine {
    pub fn new(memory: u32) -> Engine {
        Engine { memory, running: Vec::new() }
    }

    pub fn begin(&mut self, job: Job) {
        self.running.push(job);
    }

    /// Runs one step and returns the generations that ended.
    pub fn step(&mut self, now: Instant, out: &mut Outcome) -> Vec<Job> {
        if let Some(job) = self.running.iter_mut().find(|j| j.unread > 0) {
            job.unread = job.unread.saturating_sub(PREFILL_TOKENS_PER_STEP);
        }
        for job in self.running.iter_mut().filter(|j| j.unread == 0) {
            job.produced += 1;
            job.first.get_or_insert(now);
        }
        let used =
            |jobs: &[Job]| -> u32 { jobs.iter().map(|j| j.prompt - j.unread + j.produced).sum() };
        while used(&self.running) > self.memory && self.running.len() > 1 {
            let Some(newest) = self.running.iter_mut().rfind(|j| j.unread < j.prompt) else {
                break;
            };
            newest.unread = newest.prompt + newest.produced;
            newest.prompt = newest.unread;
            out.preempted += 1;
        }
        let (done, remaining) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|j: &Job| j.produced >= j.output);
        self.running = remaining;
        done
    }
}

impl Job {
    /// Returns whether the first token came within `target` of arrival.
    pub fn is_on_time(&self, target: Duration) -> bool {
        self.first.is_some_and(|t| t <= self.arrived + target)
    }
}

/// Generates Poisson arrivals for `secs` seconds at `rate` per second, reproducible by seed.
pub fn arrivals(start: Instant, seed: u64, rate: f64, secs: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut jobs = Vec::new();
    while at < secs as f64 {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let prompt = rng.random_range(1500..4500);
        let output = rng.random_range(100..1400);
        let arrived = start + Duration::from_secs_f64(at);
        jobs.push(Job { arrived, prompt, output, unread: prompt, produced: 0, first: None });
    }
    jobs
}
