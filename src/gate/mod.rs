//! Decides what a sidecar gives to its engine, so that memory rarely fills during a decode.
//!
//! Engines drop running generations when their memory is full and compute them again later. The
//! gate forecasts the memory that running generations will need at several points ahead, with
//! the survival curve of each, and begins a new one only where all of those points fit.

mod forecast;

pub use forecast::{Load, peak, reserve};

use crate::board::{Job, JobKey, Phase, SidecarBoard};
use crate::frame::{Refusal, Start};
use crate::id::Tokens;
use std::time::{Duration, Instant};

/// Share of the engine's memory that the forecast may fill.
const FILL: f64 = 0.98;
/// Tokens ahead that a shortage is acted on.
const NEAR: u32 = 2;
/// Tokens that each generation has to have room for before a held one goes on.
const SOON: u32 = 64;
/// Prompt tokens that may be computed at one time beside running generations.
const PREFILL_WINDOW: u32 = 1024;
/// Wait that raises a generation by one rank.
const AGE_STEP: Duration = Duration::from_secs(2);
/// Wait after which a generation that does not fit blocks those behind it.
const BLOCK_AFTER: Duration = Duration::from_millis(500);
/// Waiting generations that are looked at for one that fits.
const LOOK: usize = 8;
/// Longest queue, in generations.
const QUEUE_LIMIT: usize = 256;
/// Shortest time that a refused caller is told to stay away.
const RETRY_MIN: Duration = Duration::from_millis(500);
/// Time that an ended generation is kept for readers.
const KEEP: Duration = Duration::from_secs(60);
/// Longest wait that is worth telling apart.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Time after which a generation that nobody reads is ended.
const ABANDONED: Duration = Duration::from_secs(6);

/// What the driver has to do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Give a queued generation to the engine.
    Begin(JobKey),
    /// Give a held generation back to the engine.
    Continue(JobKey),
    /// Take a running generation off the engine.
    Hold(JobKey),
    /// Tell readers that a queued generation will not run.
    Refuse(JobKey, Refusal),
    /// End a generation that nobody reads.
    Abandon(JobKey),
}

/// Admits generations to the engine.
#[derive(Debug, Default)]
pub struct Gate {
    /// Tells that generations are given to the engine at once.
    pub open: bool,
}

impl Gate {
    /// Decides whether a new generation may join the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason and the time to come back where it may not.
    pub fn admit(&self, board: &SidecarBoard, start: &Start) -> Result<(), (Refusal, Duration)> {
        if board.leaving {
            return Err((Refusal::Leaving, RETRY_MIN));
        }
        if !board.engine.alive {
            return Err((Refusal::Down, RETRY_MIN));
        }
        if !board.engine.loaded.contains(&start.spec) {
            return Err((Refusal::NotLoaded, RETRY_MIN));
        }
        if self.open {
            return Ok(());
        }
        let usable = (f64::from(board.engine.capacity) * FILL) as u32;
        if start.input.0 + start.limit.0.min(1) > usable {
            return Err((Refusal::TooLarge, Duration::ZERO));
        }
        let wait = expected_wait(board, start);
        let left = Duration::from_millis(start.left);
        if wait > left || board.count(Phase::Queued) as usize >= QUEUE_LIMIT {
            return Err((Refusal::Busy, (wait - left.min(wait)).max(RETRY_MIN)));
        }
        Ok(())
    }

    /// Decides what to begin, hold, continue and end at `now`.
    pub fn step(&mut self, now: Instant, board: &mut SidecarBoard) -> Vec<Action> {
        let mut actions = expire(now, board);
        if !board.engine.alive {
            return actions;
        }
        if self.open {
            actions.extend(board.in_phase(Phase::Queued).map(|(k, _)| Action::Begin(k)));
            return actions;
        }
        if let Some(key) = overflow(board) {
            actions.push(Action::Hold(key));
            return actions;
        }
        let waiting: Vec<_> = board.in_phase(Phase::Queued).map(|(k, _)| k).collect();
        let mut names = Vec::new();
        names.extend(waiting.iter().map(|k| board.jobs[*k].start.workspace.clone()));
        board.fair.raise_floor(names.iter());
        if let Some(action) = next(now, board) {
            actions.push(action);
        }
        actions
    }
}

/// Drops queued work whose time is up and work that nobody reads, and forgets old results.
fn expire(now: Instant, board: &mut SidecarBoard) -> Vec<Action> {
    let mut actions = Vec::new();
    for (key, job) in &board.jobs {
        match job.phase {
            Phase::Queued if job.deadline <= now => {
                actions.push(Action::Refuse(key, Refusal::Expired));
            }
            Phase::Ended(_) => {}
            _ if job.last_read + ABANDONED <= now => actions.push(Action::Abandon(key)),
            _ => {}
        }
    }
    let nonces = &mut board.by_nonce;
    board.jobs.retain(|_, j| {
        let is_old =
            matches!(j.phase, Phase::Ended(_)) && j.last_read.max(j.last_active) + KEEP <= now;
        if is_old {
            nonces.remove(&j.start.generation.nonce);
        }
        !is_old
    });
    actions
}

/// Finds the generation to hold where memory runs out within a few steps: the lowest rank first,
/// and within it the one with the least work lost.
fn overflow(board: &SidecarBoard) -> Option<JobKey> {
    let running = || board.in_phase(Phase::Running);
    let block = board.engine.block;
    let near: u32 = running().map(|(_, j)| (j.size() + NEAR).next_multiple_of(block)).sum();
    if near <= board.engine.capacity || running().count() < 2 {
        return None;
    }
    running().min_by_key(|(_, j)| (j.start.rank, j.size())).map(|(k, _)| k)
}

/// Chooses the next generation to give to the engine, if one fits.
fn next(now: Instant, board: &SidecarBoard) -> Option<Action> {
    let running = board.count(Phase::Running);
    let is_alone = board.in_phase(Phase::Running).any(|(_, j)| j.start.alone);
    if running >= board.engine.batch || is_alone {
        return None;
    }
    let loads: Vec<Load> = forecast::loads(board);
    for key in ordered(now, board).into_iter().take(LOOK) {
        let job = &board.jobs[key];
        if fits(now, board, &loads, job, running) {
            return Some(match job.phase {
                Phase::Held => Action::Continue(key),
                _ => Action::Begin(key),
            });
        }
        // Others may pass one that does not fit, but not for ever.
        if job.phase == Phase::Held || job.arrived + BLOCK_AFTER <= now {
            return None;
        }
    }
    None
}

/// Lists waiting generations, held ones first, then by aged rank and by share.
fn ordered(now: Instant, board: &SidecarBoard) -> Vec<JobKey> {
    let is_waiting = |p: Phase| matches!(p, Phase::Queued | Phase::Held);
    let mut keys: Vec<_> = board
        .jobs
        .iter()
        .filter(|(_, j)| is_waiting(j.phase))
        .map(|(k, j)| (k, j, aged(now, j), board.fair.served(&j.start.workspace)))
        .collect();
    keys.sort_by(|(_, a, a_rank, a_served), (_, b, b_rank, b_served)| {
        let held = (b.phase == Phase::Held).cmp(&(a.phase == Phase::Held));
        let rank = b_rank.total_cmp(a_rank);
        held.then(rank).then(a_served.total_cmp(b_served)).then(a.arrived.cmp(&b.arrived))
    });
    keys.into_iter().map(|(k, ..)| k).collect()
}

fn aged(now: Instant, job: &Job) -> f64 {
    let waited = now.saturating_duration_since(job.arrived);
    f64::from(job.start.rank) + (waited.as_secs_f64() / AGE_STEP.as_secs_f64()).floor()
}

fn fits(now: Instant, board: &SidecarBoard, loads: &[Load], job: &Job, running: u32) -> bool {
    if running == 0 {
        return true;
    }
    if job.start.alone {
        return false;
    }
    let cold: u32 =
        board.in_phase(Phase::Running).filter(|(_, j)| !j.prefilled).map(|(_, j)| j.size()).sum();
    if cold > 0 && cold + job.size() > PREFILL_WINDOW {
        return false;
    }
    let usable = f64::from(board.engine.capacity) * FILL;
    let mut all = loads.to_vec();
    all.push(forecast::load(board, job));
    if job.phase == Phase::Held {
        // Its reader is waiting in the middle of an answer, so some room is enough.
        return all.iter().map(|l| f64::from(l.size.0 + SOON)).sum::<f64>() <= usable;
    }
    let waited = now.saturating_duration_since(job.arrived);
    peak(&all, reserve(waited)) <= usable
}

/// Estimates the time until a new generation would have its first token.
pub fn expected_wait(board: &SidecarBoard, start: &Start) -> Duration {
    let prefill = board.engine.prefill.saturating_mul(start.input.0 + backlog(board));
    let curve = board.lengths.curve(&start.service, &start.workspace);
    let mut loads = all_loads(board);
    loads.push(Load { size: start.input, done: Tokens(0), limit: start.limit, curve });
    let n = loads.len() as u32;
    let usable = f64::from(board.engine.capacity) * FILL;
    let peak = peak(&loads, reserve(Duration::ZERO));
    let excess = (peak - usable).max(0.0);
    if excess == 0.0 && n <= board.engine.batch {
        return prefill;
    }
    // Generations have to end until the rest fits; running ones end at an even pace.
    let share = peak / f64::from(n);
    let must_end = (excess / share).max(f64::from(n.saturating_sub(board.engine.batch)));
    let left: u64 = loads.iter().map(|l| u64::from(l.curve.remaining(l.done, l.limit).0)).sum();
    let turn = board.engine.gap.as_secs_f64() * left as f64 / f64::from(n);
    let running = f64::from(board.count(Phase::Running).max(1));
    Duration::from_secs_f64((turn * must_end / running).min(MAX_WAIT.as_secs_f64())) + prefill
}

/// Returns the loads of all generations that run or wait.
fn all_loads(board: &SidecarBoard) -> Vec<Load> {
    let is_open = |j: &&Job| !matches!(j.phase, Phase::Ended(_));
    board.jobs.values().filter(is_open).map(|j| forecast::load(board, j)).collect()
}

/// Returns the most memory that running and queued work is forecast to need, in tokens.
pub fn forecast(board: &SidecarBoard) -> f64 {
    peak(&all_loads(board), reserve(Duration::ZERO))
}

/// Counts the prompt tokens that wait to be computed.
pub fn backlog(board: &SidecarBoard) -> u32 {
    let is_cold = |j: &Job| match j.phase {
        Phase::Queued => true,
        Phase::Running => !j.prefilled,
        Phase::Held | Phase::Ended(_) => false,
    };
    board.jobs.values().filter(|j| is_cold(j)).map(|j| j.size()).sum()
}
