//! Engines in virtual time: prompts are read one after the other, every running generation makes a
//! token a step, and a full memory preempts the newest.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// Length of a step.
pub const STEP: Duration = Duration::from_millis(10);
/// Prompt tokens that an engine reads in a step beside the tokens that it makes.
const READ: u32 = 60;

/// One generation.
#[derive(Debug, Clone)]
pub struct Job {
    pub came: Instant,
    pub prompt: u32,
    pub output: u32,
    unread: u32,
    made: u32,
    first: Option<Instant>,
}

/// What callers got.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub on_time: u32,
    pub late: u32,
    pub preempted: u32,
}

/// One engine.
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

    /// Runs one step; returns what ended.
    pub fn step(&mut self, now: Instant, out: &mut Outcome) -> Vec<Job> {
        if let Some(job) = self.running.iter_mut().find(|j| j.unread > 0) {
            job.unread = job.unread.saturating_sub(READ);
        }
        for job in self.running.iter_mut().filter(|j| j.unread == 0) {
            job.made += 1;
            job.first.get_or_insert(now);
        }
        let used =
            |jobs: &[Job]| -> u32 { jobs.iter().map(|j| j.prompt - j.unread + j.made).sum() };
        while used(&self.running) > self.memory && self.running.len() > 1 {
            let Some(newest) = self.running.iter_mut().rfind(|j| j.unread < j.prompt) else {
                break;
            };
            newest.unread = newest.prompt + newest.made;
            newest.prompt = newest.unread;
            out.preempted += 1;
        }
        let (done, going) =
            std::mem::take(&mut self.running).into_iter().partition(|j: &Job| j.made >= j.output);
        self.running = going;
        done
    }
}

impl Job {
    /// Tells whether its first event came in time.
    pub fn is_on_time(&self, target: Duration) -> bool {
        self.first.is_some_and(|t| t <= self.came + target)
    }
}

/// Draws arrivals for `secs` seconds at `rate` a second, the same for the same seed.
pub fn arrivals(start: Instant, seed: u64, rate: f64, secs: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut jobs = Vec::new();
    while at < secs as f64 {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let prompt = rng.random_range(1500..4500);
        let output = rng.random_range(100..1400);
        let came = start + Duration::from_secs_f64(at);
        jobs.push(Job { came, prompt, output, unread: prompt, made: 0, first: None });
    }
    jobs
}
