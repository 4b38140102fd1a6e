//! Forecasts the memory needs of the generations on an engine.

use crate::board::{Job, Phase, SidecarBoard};
use crate::id::Tokens;
use crate::length::SurvivalCurve;
use std::time::Duration;

/// Points of the forecast, in tokens that each generation adds.
const FORECAST_POINTS: [u32; 28] = [
    0, 8, 16, 24, 32, 48, 64, 80, 100, 128, 160, 200, 256, 320, 400, 512, 640, 800, 1000, 1300,
    1700, 2200, 2900, 4000, 6000, 9000, 16_000, 32_000,
];
/// Reserve for a generation that has just arrived, in standard deviations.
const MAX_RESERVE: f64 = 2.0;
/// Reserve for a generation that has waited for `RESERVE_DECAY_TIME`, in standard deviations.
const MIN_RESERVE: f64 = 0.8;
/// Waiting time over which the reserve falls linearly from `MAX_RESERVE` to `MIN_RESERVE`.
const RESERVE_DECAY_TIME: Duration = Duration::from_millis(2500);

/// Returns the reserve after a wait, in standard deviations. A generation that has waited longer
/// starts with a smaller reserve, at a higher risk of being held later.
pub fn reserve(waited: Duration) -> f64 {
    let part = (waited.as_secs_f64() / RESERVE_DECAY_TIME.as_secs_f64()).min(1.0);
    MAX_RESERVE + (MIN_RESERVE - MAX_RESERVE) * part
}

/// One generation as input of the forecast.
#[derive(Debug, Clone)]
pub struct Load {
    /// Present memory use.
    pub size: Tokens,
    /// Tokens generated so far.
    pub done: Tokens,
    /// Most tokens that it may generate.
    pub limit: Tokens,
    /// Distribution of output lengths for its service and workspace.
    pub curve: SurvivalCurve,
}

/// Returns the forecast inputs of all generations on the engine.
pub fn loads(board: &SidecarBoard) -> Vec<Load> {
    board.in_phase(Phase::Running).map(|(_, j)| load(board, j)).collect()
}

/// Returns the forecast input of one generation.
pub fn load(board: &SidecarBoard, job: &Job) -> Load {
    Load {
        // The last block of a generation is half full on average.
        size: Tokens(job.size().saturating_add(board.engine.block / 2)),
        done: Tokens(job.tokens.len() as u32),
        limit: job.start.limit,
        curve: board.lengths.curve(&job.start.service, &job.start.workspace),
    }
}

/// Returns the highest memory need over all forecast points, including the reserve, in tokens.
pub fn peak(loads: &[Load], reserve: f64) -> f64 {
    FORECAST_POINTS.iter().map(|n| memory_need(loads, *n, reserve)).fold(0.0, f64::max)
}

/// Returns the memory needed `n` tokens ahead: the mean plus `reserve` standard deviations, where
/// each generation has either ended or grown by `n`.
fn memory_need(loads: &[Load], n: u32, reserve: f64) -> f64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for l in loads {
        if l.done.0.saturating_add(n) > l.limit.0 {
            continue;
        }
        let p = f64::from(l.curve.survives(l.done, Tokens(n)));
        let size = f64::from(l.size.0) + f64::from(n);
        mean += p * size;
        variance += p * (1.0 - p) * size * size;
    }
    mean + reserve * variance.sqrt()
}
