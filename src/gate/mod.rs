//! Schedules generations on the engine of a sidecar so that its memory rarely fills during decode.
//!
//! An engine whose memory is full preempts running generations and recomputes them later. The gate
//! forecasts the memory that the running generations will need at several points ahead, from the
//! survival curve of each, and starts another one only if the forecast fits at all of these points.

mod forecast;

pub use forecast::{Load, peak, reserve};

use crate::board::{Job, JobKey, Phase, SidecarBoard};
use crate::frame::{Refusal, Start};
use crate::id::Tokens;
use std::time::{Duration, Instant};

/// Share of the engine's memory that the forecast may fill.
const MAX_MEMORY_FILL: f64 = 0.98;
/// Growth of each running generation that must still fit; otherwise one of them is held.
const OVERFLOW_LOOKAHEAD_TOKENS: u64 = 2;
/// Growth of each generation that must fit before a held one continues.
const CONTINUE_HEADROOM_TOKENS: u32 = 64;
/// Prompt tokens that may be in prefill at one time while other generations run.
const MAX_PREFILL_TOKENS: u32 = 1024;
/// Waiting time that raises the rank of a generation by one.
const RANK_AGING_STEP: Duration = Duration::from_secs(2);
/// Waiting time after which a generation that does not fit blocks those behind it.
const BLOCK_AFTER: Duration = Duration::from_millis(500);
/// Number of waiting generations that are checked for one that fits.
const MAX_CANDIDATES: usize = 8;
/// Most generations in the queue.
const MAX_QUEUE_LEN: usize = 256;
/// Shortest delay before a retry that a refusal suggests.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for which an ended generation stays available to readers.
const RESULT_RETENTION: Duration = Duration::from_secs(60);
/// Upper bound of an estimated wait. Longer waits need not be told apart.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(600);
/// Time without a reader after which a generation is ended.
const READER_TIMEOUT: Duration = Duration::from_secs(6);

/// Operation that the caller of [`Gate::step`] has to carry out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Start a queued generation on the engine.
    Begin(JobKey),
    /// Resume a held generation on the engine.
    Continue(JobKey),
    /// Remove a running generation from the engine, to be resumed later.
    Hold(JobKey),
    /// Report to readers that a queued generation will not run.
    Refuse(JobKey, Refusal),
    /// End a generation without readers.
    Abandon(JobKey),
}

/// Admits generations to the engine.
#[derive(Debug, Default)]
pub struct Gate {
    /// Whether generations are sent to the engine at once, without a memory forecast.
    pub open: bool,
}

impl Gate {
    /// Decides whether a new generation may join the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal and the delay before a retry.
    pub fn admit(
        &self,
        now: Instant,
        board: &SidecarBoard,
        start: &Start,
    ) -> Result<(), (Refusal, Duration)> {
        if board.leaving {
            return Err((Refusal::Leaving, MIN_RETRY_DELAY));
        }
        if !board.engine.alive {
            return Err((Refusal::Down, MIN_RETRY_DELAY));
        }
        if !board.engine.loaded.contains(&start.spec) {
            return Err((Refusal::NotLoaded, MIN_RETRY_DELAY));
        }
        let left = Duration::from_millis(start.left);
        let wait = board.throttle.wait(now, board.count(Phase::Queued) as usize);
        if wait > left {
            return Err((Refusal::Busy, (wait - left).max(MIN_RETRY_DELAY)));
        }
        if self.open {
            return Ok(());
        }
        let usable = (f64::from(board.engine.capacity) * MAX_MEMORY_FILL) as u32;
        if start.input.0.saturating_add(start.limit.0.min(1)) > usable {
            return Err((Refusal::TooLarge, Duration::ZERO));
        }
        let wait = expected_wait(board, start).max(wait);
        if wait > left || board.count(Phase::Queued) as usize >= MAX_QUEUE_LEN {
            return Err((Refusal::Busy, (wait - left.min(wait)).max(MIN_RETRY_DELAY)));
        }
        Ok(())
    }

    /// Returns the generations to begin, hold, continue, refuse or end at `now`.
    pub fn step(&mut self, now: Instant, board: &mut SidecarBoard) -> Vec<Action> {
        let mut actions = expire(now, board);
        // The generations that these actions end are still on the board, and must not begin.
        if !actions.is_empty() || !board.engine.alive {
            return actions;
        }
        if self.open {
            let queued: Vec<_> = board.in_phase(Phase::Queued).map(|(k, _)| k).collect();
            let permitted = queued.into_iter().take_while(|_| board.throttle.take(now));
            actions.extend(permitted.map(Action::Begin));
            return actions;
        }
        if let Some(key) = overflow_victim(board) {
            actions.push(Action::Hold(key));
            return actions;
        }
        let waiting: Vec<_> = board.in_phase(Phase::Queued).map(|(k, _)| k).collect();
        let mut workspaces = Vec::new();
        workspaces.extend(waiting.iter().map(|k| board.jobs[*k].start.workspace.clone()));
        board.fair.raise_floor(workspaces.iter());
        if let Some(action) = next_action(now, board)
            && board.throttle.take(now)
        {
            actions.push(action);
        }
        actions
    }
}

/// Refuses queued generations past their deadline, ends those without readers, and removes ended
/// ones after their retention period.
fn expire(now: Instant, board: &mut SidecarBoard) -> Vec<Action> {
    let mut actions = Vec::new();
    for (key, job) in &board.jobs {
        match job.phase {
            Phase::Queued if job.deadline <= now => {
                actions.push(Action::Refuse(key, Refusal::Expired));
            }
            Phase::Ended(_) => {}
            _ if job.last_read + READER_TIMEOUT <= now => actions.push(Action::Abandon(key)),
            _ => {}
        }
    }
    let nonces = &mut board.by_nonce;
    board.jobs.retain(|_, j| {
        let is_old = matches!(j.phase, Phase::Ended(_))
            && j.last_read.max(j.last_active) + RESULT_RETENTION <= now;
        if is_old {
            nonces.remove(&j.start.generation.nonce);
        }
        !is_old
    });
    actions
}

/// Returns the generation to hold if memory will run out within a few steps: of the lowest rank,
/// the smallest one, which is the cheapest to recompute.
fn overflow_victim(board: &SidecarBoard) -> Option<JobKey> {
    let running = || board.in_phase(Phase::Running);
    let block = u64::from(board.engine.block);
    let needed: u64 = running()
        .map(|(_, j)| (u64::from(j.size()) + OVERFLOW_LOOKAHEAD_TOKENS).next_multiple_of(block))
        .sum();
    if needed <= u64::from(board.engine.capacity) || running().count() < 2 {
        return None;
    }
    running().min_by_key(|(_, j)| (j.start.rank, j.size())).map(|(k, _)| k)
}

/// Chooses the next waiting generation to run on the engine, if one fits.
fn next_action(now: Instant, board: &SidecarBoard) -> Option<Action> {
    let running = board.count(Phase::Running);
    let is_alone = board.in_phase(Phase::Running).any(|(_, j)| j.start.alone);
    if running >= board.engine.batch || is_alone {
        return None;
    }
    let loads: Vec<Load> = forecast::loads(board);
    for key in run_order(now, board).into_iter().take(MAX_CANDIDATES) {
        let job = &board.jobs[key];
        if fits(now, board, &loads, job, running) {
            return Some(match job.phase {
                Phase::Held => Action::Continue(key),
                _ => Action::Begin(key),
            });
        }
        // Others may overtake a generation that does not fit, but only for a limited time.
        if job.phase == Phase::Held || job.arrived + BLOCK_AFTER <= now {
            return None;
        }
    }
    None
}

/// Lists waiting generations: held ones first, then by aged rank, by tokens served to their
/// workspace and by arrival.
fn run_order(now: Instant, board: &SidecarBoard) -> Vec<JobKey> {
    let is_waiting = |p: Phase| matches!(p, Phase::Queued | Phase::Held);
    let mut keys: Vec<_> = board
        .jobs
        .iter()
        .filter(|(_, j)| is_waiting(j.phase))
        .map(|(k, j)| (k, j, aged_rank(now, j), board.fair.served(&j.start.workspace)))
        .collect();
    keys.sort_by(|(_, a, a_rank, a_served), (_, b, b_rank, b_served)| {
        let held = (b.phase == Phase::Held).cmp(&(a.phase == Phase::Held));
        let rank = b_rank.total_cmp(a_rank);
        held.then(rank).then(a_served.total_cmp(b_served)).then(a.arrived.cmp(&b.arrived))
    });
    keys.into_iter().map(|(k, ..)| k).collect()
}

/// Returns the rank of a generation, raised by its waiting time.
fn aged_rank(now: Instant, job: &Job) -> f64 {
    let waited = now.saturating_duration_since(job.arrived);
    f64::from(job.start.rank) + (waited.as_secs_f64() / RANK_AGING_STEP.as_secs_f64()).floor()
}

/// Returns whether a generation can run beside the `running` ones, whose forecasts are `loads`.
fn fits(now: Instant, board: &SidecarBoard, loads: &[Load], job: &Job, running: u32) -> bool {
    if running == 0 {
        return true;
    }
    if job.start.alone {
        return false;
    }
    let in_prefill = board.in_phase(Phase::Running).filter(|(_, j)| !j.prefilled);
    let prefilling = sum_sizes(in_prefill.map(|(_, j)| j));
    if prefilling > 0 && prefilling.saturating_add(job.size()) > MAX_PREFILL_TOKENS {
        return false;
    }
    let usable = f64::from(board.engine.capacity) * MAX_MEMORY_FILL;
    let mut all = loads.to_vec();
    all.push(forecast::load(board, job));
    if job.phase == Phase::Held {
        // A reader waits in the middle of an answer, so a small headroom is enough.
        let need = |l: &Load| f64::from(l.size.0) + f64::from(CONTINUE_HEADROOM_TOKENS);
        return all.iter().map(need).sum::<f64>() <= usable;
    }
    let waited = now.saturating_duration_since(job.arrived);
    peak(&all, reserve(waited)) <= usable
}

/// Estimates the time until the first token of a new generation.
pub fn expected_wait(board: &SidecarBoard, start: &Start) -> Duration {
    let unread = start.input.0.saturating_add(backlog(board));
    let prefill = board.engine.prefill.saturating_mul(unread).min(MAX_EXPECTED_WAIT);
    let curve = board.lengths.curve(&start.service, &start.workspace);
    let mut loads = all_loads(board);
    loads.push(Load { size: start.input, done: Tokens(0), limit: start.limit, curve });
    let n = loads.len() as u32;
    let usable = f64::from(board.engine.capacity) * MAX_MEMORY_FILL;
    let peak = peak(&loads, reserve(Duration::ZERO));
    let excess = (peak - usable).max(0.0);
    if excess == 0.0 && n <= board.engine.batch {
        return prefill;
    }
    // Enough generations have to end for the rest to fit; running ones are taken to end at a
    // constant rate.
    let mean_size = peak / f64::from(n);
    let must_end = (excess / mean_size).max(f64::from(n.saturating_sub(board.engine.batch)));
    let tokens_left: u64 =
        loads.iter().map(|l| u64::from(l.curve.remaining(l.done, l.limit).0)).sum();
    let mean_time = board.engine.gap.as_secs_f64() * tokens_left as f64 / f64::from(n);
    let running = f64::from(board.count(Phase::Running).max(1));
    Duration::from_secs_f64((mean_time * must_end / running).min(MAX_EXPECTED_WAIT.as_secs_f64()))
        + prefill
}

/// Returns the forecast inputs of all generations that have not ended.
fn all_loads(board: &SidecarBoard) -> Vec<Load> {
    let is_open = |j: &&Job| !matches!(j.phase, Phase::Ended(_));
    board.jobs.values().filter(is_open).map(|j| forecast::load(board, j)).collect()
}

/// Returns the forecast peak memory of all generations that have not ended, in tokens.
pub fn forecast(board: &SidecarBoard) -> f64 {
    peak(&all_loads(board), reserve(Duration::ZERO))
}

/// Counts the tokens of queued and running generations whose prefill is not complete.
pub fn backlog(board: &SidecarBoard) -> u32 {
    let is_pending = |j: &Job| match j.phase {
        Phase::Queued => true,
        Phase::Running => !j.prefilled,
        Phase::Held | Phase::Ended(_) => false,
    };
    sum_sizes(board.jobs.values().filter(|j| is_pending(j)))
}

/// Adds up the tokens of generations; a sum beyond the highest count is that count.
fn sum_sizes<'a>(jobs: impl Iterator<Item = &'a Job>) -> u32 {
    jobs.map(Job::size).fold(0, u32::saturating_add)
}
