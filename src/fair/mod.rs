//! Fair sharing of a busy engine among workspaces, by tokens served.
//!
//! Each workspace has a counter of served tokens divided by its weight, and the workspace with the
//! lowest counter goes first (the virtual token counter of Sheng et al., OSDI 2024).

use crate::id::Workspace;
use std::collections::HashMap;

/// Number of counters above which those at the floor are dropped.
const MAX_COUNTERS: usize = 4096;

/// Virtual token counters of the workspaces served by this engine.
#[derive(Debug, Default)]
pub struct TokenCounters {
    served: HashMap<Workspace, f64>,
    /// Least value of any counter, also that of a workspace without one.
    floor: f64,
}

impl TokenCounters {
    /// Returns the counter of a workspace.
    pub fn served(&self, w: &Workspace) -> f64 {
        self.served.get(w).copied().unwrap_or(self.floor).max(self.floor)
    }

    /// Counts tokens served to a workspace.
    pub fn charge(&mut self, w: &Workspace, weight: u32, tokens: u32) {
        let next = self.served(w) + f64::from(tokens) / f64::from(weight.max(1));
        self.served.insert(w.clone(), next);
        if self.served.len() > MAX_COUNTERS {
            let floor = self.floor;
            self.served.retain(|_, n| *n > floor);
        }
    }

    /// Raises the floor to the lowest counter among the waiting workspaces, so that a workspace
    /// accumulates no credit while it is idle.
    pub fn raise_floor<'a>(&mut self, waiting: impl Iterator<Item = &'a Workspace>) {
        let lowest = waiting.map(|w| self.served(w)).fold(f64::INFINITY, f64::min);
        if lowest.is_finite() {
            self.floor = self.floor.max(lowest);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn large_workspace_does_not_starve_small_one() {
        let (large, small): (Workspace, Workspace) =
            ("large".parse().unwrap(), "small".parse().unwrap());
        let mut fair = TokenCounters::default();
        let mut turns = Vec::new();
        for _ in 0..6 {
            fair.raise_floor([&large, &small].into_iter());
            let next = if fair.served(&large) <= fair.served(&small) { &large } else { &small };
            fair.charge(next, 1, if next == &large { 300 } else { 100 });
            turns.push(next.as_str());
        }
        assert_eq!(turns, ["large", "small", "small", "small", "large", "small"]);
    }
}
