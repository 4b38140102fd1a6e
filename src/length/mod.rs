//! Estimates how many tokens a generation still has to come, given those it has.
//!
//! A curve keeps, per range of lengths, how many generations ended in it and how many went past
//! it. The product of the shares that went past is the survival curve (Kaplan and Meier, 1958);
//! a generation that was cut off counts for the ranges it passed and says nothing of the rest.

use crate::id::{ServiceName, Tokens, Workspace};
use lru::LruCache;
use std::collections::HashMap;
use std::num::NonZeroUsize;

/// Ranges of lengths; each is a factor of about 1.41 wide.
const RANGES: usize = 40;
/// Lengths below this have a range of their own each.
const EXACT: u32 = 4;
/// Generations after which older ones weigh half.
const MEMORY: f32 = 2000.0;
/// Generations that the curve of a service counts for in the curve of a workspace.
const SHRINK: f32 = 10.0;
/// Generations that the initial guess counts for.
const GUESS: f32 = 2.0;
/// Workspaces with a curve of their own.
const WORKSPACE_LIMIT: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// Returns the range that a length falls into.
fn range_of(n: u32) -> usize {
    if n < EXACT {
        return n as usize;
    }
    let half_octaves = (2.0 * (n as f32 / EXACT as f32).log2()).floor() as usize;
    (EXACT as usize + half_octaves).min(RANGES - 1)
}

/// Returns the first length of a range.
fn start_of(ix: usize) -> f32 {
    if ix < EXACT as usize {
        return ix as f32;
    }
    EXACT as f32 * 2f32.powf((ix - EXACT as usize) as f32 / 2.0)
}

/// Lengths seen, by range.
#[derive(Debug, Clone)]
struct Seen {
    ended: [f32; RANGES],
    passed: [f32; RANGES],
}

impl Default for Seen {
    fn default() -> Self {
        Seen { ended: [0.0; RANGES], passed: [0.0; RANGES] }
    }
}

impl Seen {
    fn add(&mut self, n: u32, has_ended: bool) {
        let last = range_of(n);
        let decay = 1.0 - 1.0 / MEMORY;
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

/// The share of generations that are longer than each range's start.
#[derive(Debug, Clone, PartialEq)]
pub struct SurvivalCurve {
    longer: [f32; RANGES + 1],
}

impl SurvivalCurve {
    fn new(seen: &Seen, prior: impl Fn(usize) -> f32, weight: f32) -> Self {
        let mut longer = [1.0; RANGES + 1];
        for ix in 0..RANGES {
            let ended = seen.ended[ix] + weight * prior(ix);
            let all = seen.ended[ix] + seen.passed[ix] + weight;
            longer[ix + 1] = longer[ix] * (1.0 - ended / all);
        }
        SurvivalCurve { longer }
    }

    /// Returns the share of generations that end in a range among those that reach it.
    fn hazard(&self, ix: usize) -> f32 {
        if self.longer[ix] > 0.0 { 1.0 - self.longer[ix + 1] / self.longer[ix] } else { 1.0 }
    }

    fn longer_than(&self, n: u32) -> f32 {
        let ix = range_of(n);
        let (a, b) = (start_of(ix), start_of(ix + 1));
        let part = ((n as f32 - a) / (b - a)).clamp(0.0, 1.0);
        self.longer[ix] + (self.longer[ix + 1] - self.longer[ix]) * part
    }

    /// Returns the probability that a generation with `done` tokens has at least `more` to come.
    pub fn survives(&self, done: Tokens, more: Tokens) -> f32 {
        let now = self.longer_than(done.0);
        if now <= f32::EPSILON {
            return 0.0;
        }
        (self.longer_than(done.0 + more.0) / now).clamp(0.0, 1.0)
    }

    /// Returns the mean number of tokens to come, at most `limit` in all.
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

/// A generation whose length is not known ends in each range with the same chance.
fn guess(_: usize) -> f32 {
    0.15
}

/// What is known of the lengths of one service.
#[derive(Debug, Clone)]
struct ServiceLengths {
    seen: Seen,
    curve: SurvivalCurve,
}

/// Curves per service, and per workspace where one has been seen lately.
#[derive(Debug)]
pub struct Lengths {
    services: HashMap<ServiceName, ServiceLengths>,
    workspaces: LruCache<(ServiceName, Workspace), Seen>,
    unknown: SurvivalCurve,
}

impl Default for Lengths {
    fn default() -> Self {
        Lengths {
            services: HashMap::new(),
            workspaces: LruCache::new(WORKSPACE_LIMIT),
            unknown: SurvivalCurve::new(&Seen::default(), guess, GUESS),
        }
    }
}

impl Lengths {
    /// Notes a generation that ended, or was cut off, after `n` tokens.
    pub fn record(&mut self, service: &ServiceName, workspace: &Workspace, n: Tokens, ended: bool) {
        let entry = self.services.entry(service.clone()).or_insert_with(|| ServiceLengths {
            seen: Seen::default(),
            curve: self.unknown.clone(),
        });
        entry.seen.add(n.0, ended);
        entry.curve = SurvivalCurve::new(&entry.seen, guess, GUESS);
        let key = (service.clone(), workspace.clone());
        self.workspaces.get_or_insert_mut(key, Seen::default).add(n.0, ended);
    }

    /// Returns the curve of a service in a workspace.
    pub fn curve(&self, service: &ServiceName, workspace: &Workspace) -> SurvivalCurve {
        let common = self.services.get(service).map_or(&self.unknown, |s| &s.curve);
        match self.workspaces.peek(&(service.clone(), workspace.clone())) {
            Some(seen) => SurvivalCurve::new(seen, |ix| common.hazard(ix), SHRINK),
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
    fn a_long_generation_is_expected_to_go_on_where_lengths_have_two_modes() {
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
        let left = curve.remaining(Tokens(100), Tokens(8192)).0;
        assert!((1500..2600).contains(&left), "left {left}");
    }

    #[test]
    fn a_workspace_departs_from_its_service_as_it_is_seen() {
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
        fn survival_falls_with_distance(ns in proptest::collection::vec((0u32..60_000, any::<bool>()), 0..80), done in 0u32..5000) {
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
