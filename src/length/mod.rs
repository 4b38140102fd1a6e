//! Estimates the remaining output tokens of a generation from those it has produced.
//!
//! For each range of lengths, the number of generations that ended in it and the number that went
//! past it are counted. The running product of the shares that went past is the survival curve
//! (Kaplan and Meier, 1958). A generation that was cut off is a censored observation: it counts
//! only for the ranges that it passed.

use crate::id::{ServiceName, Tokens, Workspace};
use lru::LruCache;
use std::collections::HashMap;
use std::num::NonZeroUsize;

/// Number of length ranges; from `EXACT_LENGTHS` on, each is a factor of about 1.41 wide.
const RANGES: usize = 40;
/// Each length below this value has its own range.
const EXACT_LENGTHS: u32 = 4;
/// Time constant of the exponential decay of the counts, in generations.
const DECAY_GENERATIONS: f32 = 2000.0;
/// Weight of the curve of a service as prior of a workspace, in generations.
const SERVICE_PRIOR_WEIGHT: f32 = 10.0;
/// Weight of the initial prior of a service, in generations.
const INITIAL_PRIOR_WEIGHT: f32 = 2.0;
/// Most pairs of service and workspace with a curve of their own.
const MAX_WORKSPACES: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// Returns the range that a length falls into.
fn range_of(n: u32) -> usize {
    if n < EXACT_LENGTHS {
        return n as usize;
    }
    let half_octaves = (2.0 * (n as f32 / EXACT_LENGTHS as f32).log2()).floor() as usize;
    (EXACT_LENGTHS as usize + half_octaves).min(RANGES - 1)
}

/// Returns the first length of a range.
fn start_of(ix: usize) -> f32 {
    if ix < EXACT_LENGTHS as usize {
        return ix as f32;
    }
    EXACT_LENGTHS as f32 * 2f32.powf((ix - EXACT_LENGTHS as usize) as f32 / 2.0)
}

/// Decayed counts of generations, by length range.
#[derive(Debug, Clone)]
struct LengthCounts {
    /// Generations that ended in the range.
    ended: [f32; RANGES],
    /// Generations that went past the range.
    passed: [f32; RANGES],
}

impl Default for LengthCounts {
    fn default() -> Self {
        LengthCounts { ended: [0.0; RANGES], passed: [0.0; RANGES] }
    }
}

impl LengthCounts {
    /// Counts a generation of `n` tokens after decaying the present counts.
    fn add(&mut self, n: u32, has_ended: bool) {
        let last = range_of(n);
        let decay = 1.0 - 1.0 / DECAY_GENERATIONS;
        for ix in 0..RANGES {
            self.ended[ix] *= decay;
            self.passed[ix] *= decay;
            if ix < last {
                self.passed[ix] += 1.0;
            }
        }
        if has_ended {
            self.ended[last] += 1.0;
        }
    }
}

/// Survival curve of output lengths.
#[derive(Debug, Clone, PartialEq)]
pub struct SurvivalCurve {
    /// Share of generations at least as long as the start of each range.
    longer: [f32; RANGES + 1],
}

impl SurvivalCurve {
    /// Estimates a curve from counts and a prior hazard per range, which counts as `weight`
    /// generations.
    fn new(counts: &LengthCounts, prior: impl Fn(usize) -> f32, weight: f32) -> Self {
        let mut longer = [1.0; RANGES + 1];
        for ix in 0..RANGES {
            let ended = counts.ended[ix] + weight * prior(ix);
            let total = counts.ended[ix] + counts.passed[ix] + weight;
            longer[ix + 1] = longer[ix] * (1.0 - ended / total);
        }
        SurvivalCurve { longer }
    }

    /// Returns the share of generations that end in a range among those that reach it.
    fn hazard(&self, ix: usize) -> f32 {
        if self.longer[ix] > 0.0 { 1.0 - self.longer[ix + 1] / self.longer[ix] } else { 1.0 }
    }

    /// Returns the share of generations longer than `n`, interpolated within its range.
    fn longer_than(&self, n: u32) -> f32 {
        let ix = range_of(n);
        let (a, b) = (start_of(ix), start_of(ix + 1));
        let part = ((n as f32 - a) / (b - a)).clamp(0.0, 1.0);
        self.longer[ix] + (self.longer[ix + 1] - self.longer[ix]) * part
    }

    /// Returns the probability that a generation with `done` tokens produces at least `more`.
    pub fn survives(&self, done: Tokens, more: Tokens) -> f32 {
        let now = self.longer_than(done.0);
        if now <= f32::EPSILON {
            return 0.0;
        }
        (self.longer_than(done.0.saturating_add(more.0)) / now).clamp(0.0, 1.0)
    }

    /// Returns the expected number of tokens after `done`, for at most `limit` tokens in total.
    pub fn remaining(&self, done: Tokens, limit: Tokens) -> Tokens {
        let now = self.longer_than(done.0).max(f32::EPSILON);
        let mut sum = 0.0;
        let mut n = done.0;
        while n < limit.0 {
            let next = (start_of(range_of(n) + 1).ceil() as u32).clamp(n + 1, limit.0);
            sum += (next - n) as f32 * (self.longer_than(n) + self.longer_than(next)) / 2.0;
            if next >= start_of(RANGES - 1) as u32 {
                break;
            }
            n = next;
        }
        Tokens((sum / now).ceil() as u32)
    }
}

/// Returns the prior probability that a generation ends in a range that it reaches; without data
/// it is the same for all ranges.
fn prior_hazard(_: usize) -> f32 {
    0.15
}

/// Length counts of one service, and the curve computed from them.
#[derive(Debug, Clone)]
struct ServiceLengths {
    counts: LengthCounts,
    curve: SurvivalCurve,
}

/// Survival curves per service, and per workspace for the most recently used ones.
#[derive(Debug)]
pub struct Lengths {
    services: HashMap<ServiceName, ServiceLengths>,
    workspaces: LruCache<(ServiceName, Workspace), LengthCounts>,
    /// Curve of a service without data.
    initial: SurvivalCurve,
}

impl Default for Lengths {
    fn default() -> Self {
        Lengths {
            services: HashMap::new(),
            workspaces: LruCache::new(MAX_WORKSPACES),
            initial: SurvivalCurve::new(
                &LengthCounts::default(),
                prior_hazard,
                INITIAL_PRIOR_WEIGHT,
            ),
        }
    }
}

impl Lengths {
    /// Records a generation of `n` tokens; `ended` is false if it was cut off.
    pub fn record(&mut self, service: &ServiceName, workspace: &Workspace, n: Tokens, ended: bool) {
        let entry = self.services.entry(service.clone()).or_insert_with(|| ServiceLengths {
            counts: LengthCounts::default(),
            curve: self.initial.clone(),
        });
        entry.counts.add(n.0, ended);
        entry.curve = SurvivalCurve::new(&entry.counts, prior_hazard, INITIAL_PRIOR_WEIGHT);
        let key = (service.clone(), workspace.clone());
        self.workspaces.get_or_insert_mut(key, LengthCounts::default).add(n.0, ended);
    }

    /// Returns the curve of a workspace for a service, or the curve of the service if there is no
    /// data of the workspace.
    pub fn curve(&self, service: &ServiceName, workspace: &Workspace) -> SurvivalCurve {
        let common = self.services.get(service).map_or(&self.initial, |s| &s.curve);
        match self.workspaces.peek(&(service.clone(), workspace.clone())) {
            Some(counts) => {
                SurvivalCurve::new(counts, |ix| common.hazard(ix), SERVICE_PRIOR_WEIGHT)
            }
            None => common.clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn names() -> (ServiceName, Workspace) {
        ("s".parse().unwrap(), "w".parse().unwrap())
    }

    #[test]
    fn bimodal_lengths_predict_continuation_past_first_mode() {
        let (s, w) = names();
        let mut lengths = Lengths::default();
        for ix in 0..400 {
            let n = if ix % 4 == 0 { 2000 } else { 20 };
            lengths.record(&s, &w, Tokens(n), true);
        }
        let curve = lengths.curve(&s, &w);
        let fresh = curve.survives(Tokens(0), Tokens(500));
        let past = curve.survives(Tokens(100), Tokens(500));
        assert!(fresh < 0.35 && past > 0.9, "fresh {fresh} past {past}");
        let remaining = curve.remaining(Tokens(100), Tokens(8192)).0;
        assert!((1500..2600).contains(&remaining), "remaining {remaining}");
    }

    #[test]
    fn workspace_curve_departs_from_service_curve_with_data() {
        let (s, w) = names();
        let other: Workspace = "x".parse().unwrap();
        let mut lengths = Lengths::default();
        for _ in 0..300 {
            lengths.record(&s, &w, Tokens(10), true);
        }
        for _ in 0..40 {
            lengths.record(&s, &other, Tokens(1000), true);
        }
        let short = lengths.curve(&s, &w).survives(Tokens(0), Tokens(200));
        let long = lengths.curve(&s, &other).survives(Tokens(0), Tokens(200));
        assert!(short < 0.2 && long > 0.6, "short {short} long {long}");
    }

    proptest! {
        #[test]
        fn survival_decreases_with_distance(ns in proptest::collection::vec((0u32..60_000, any::<bool>()), 0..80), done in 0u32..5000) {
            let (s, w) = names();
            let mut lengths = Lengths::default();
            for (n, ended) in ns {
                lengths.record(&s, &w, Tokens(n), ended);
            }
            let curve = lengths.curve(&s, &w);
            let at = |n| curve.survives(Tokens(done), Tokens(n));
            prop_assert!(at(0) >= at(10) && at(10) >= at(1000) && at(1000) >= 0.0);
        }
    }
}
