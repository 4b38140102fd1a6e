//! Forecasts the memory that generations on an engine will need.

use crate::board::{Job, Phase, SidecarBoard};
use crate::id::Tokens;
use crate::length::SurvivalCurve;
use std::time::Duration;

/// Points ahead, in tokens per generation, at which memory is forecast.
const AHEAD: [u32; 28] = [
    0, 8, 16, 24, 32, 48, 64, 80, 100, 128, 160, 200, 256, 320, 400, 512, 640, 800, 1000, 1300,
    1700, 2200, 2900, 4000, 6000, 9000, 16_000, 32_000,
];
/// Standard deviations kept in reserve for a generation that has just come.
const RESERVE_MOST: f64 = 2.0;
/// Standard deviations kept in reserve for one that has waited long.
const RESERVE_LEAST: f64 = 0.8;
/// Wait over which the reserve shrinks from the most to the least.
const SHRINK_TIME: Duration = Duration::from_millis(2500);

/// Returns the standard deviations to keep in reserve after a wait: a generation that waits long
/// takes more risk of being held later.
pub fn reserve(waited: Duration) -> f64 {
    let part = (waited.as_secs_f64() / SHRINK_TIME.as_secs_f64()).min(1.0);
    RESERVE_MOST + (RESERVE_LEAST - RESERVE_MOST) * part
}

/// One generation as the forecast sees it.
#[derive(Debug, Clone)]
pub struct Load {
    /// Memory at present.
    pub size: Tokens,
    /// Tokens generated so far.
    pub done: Tokens,
    /// Most tokens it may generate in all.
    pub limit: Tokens,
    /// Lengths of its kind.
    pub curve: SurvivalCurve,
}

/// Returns the loads of all generations on the engine.
pub fn loads(board: &SidecarBoard) -> Vec<Load> {
    board.in_phase(Phase::Running).map(|(_, j)| load(board, j)).collect()
}

/// Returns the load of one generation.
pub fn load(board: &SidecarBoard, job: &Job) -> Load {
    Load {
        // On average half a block is in use at the end of each generation.
        size: Tokens(job.size() + board.engine.block / 2),
        done: Tokens(job.tokens.len() as u32),
        limit: job.start.limit,
        curve: board.lengths.curve(&job.start.service, &job.start.workspace),
    }
}

/// Returns the most memory needed at any point ahead, with the reserve, in tokens.
pub fn peak(loads: &[Load], reserve: f64) -> f64 {
    AHEAD.iter().map(|n| need(loads, *n, reserve)).fold(0.0, f64::max)
}

/// Returns the memory needed `n` tokens ahead: the mean and a reserve of standard deviations,
/// where each generation has by then ended or grown by `n`.
fn need(loads: &[Load], n: u32, reserve: f64) -> f64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for l in loads {
        if l.done.0 + n > l.limit.0 {
            continue;
        }
        let p = f64::from(l.curve.survives(l.done, Tokens(n)));
        let size = f64::from(l.size.0 + n);
        mean += p * size;
        variance += p * (1.0 - p) * size * size;
    }
    mean + reserve * variance.sqrt()
}
