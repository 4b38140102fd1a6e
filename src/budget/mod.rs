//! Limits retries, so that a fault never multiplies load.

use crate::id::{ServiceName, Tokens};
use std::collections::HashMap;

/// How much may be retried; the unit is whatever the costs are counted in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Retries allowed per first attempt, in percent.
    pub percent: u64,
    /// Retries allowed before any first attempt has earned more.
    pub initial: u64,
    /// Most retries that can be saved up.
    pub max: u64,
}

impl Allowance {
    /// Allows a tenth in tokens, for generations and calls of the project's own interface.
    pub const TOKENS: Allowance = Allowance { percent: 10, initial: 20_000, max: 200_000 };
}

/// Retries that may still be made, per service; counted in hundredths.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    left: HashMap<ServiceName, u64>,
}

impl Default for Budget {
    fn default() -> Self {
        Budget::new(Allowance::TOKENS)
    }
}

impl Budget {
    /// Makes a budget in which nothing is spent.
    pub fn new(allowance: Allowance) -> Self {
        Budget { allowance, left: HashMap::new() }
    }

    /// Earns a share of the cost of a first attempt.
    pub fn earn(&mut self, service: &ServiceName, cost: Tokens) {
        let a = self.allowance;
        let left = self.left.entry(service.clone()).or_insert(a.initial * 100);
        *left = (*left + u64::from(cost.0) * a.percent).min(a.max * 100);
    }

    /// Spends the cost of a retry; `false` where too little is left.
    pub fn spend(&mut self, service: &ServiceName, cost: Tokens) -> bool {
        let left = self.left.entry(service.clone()).or_insert(self.allowance.initial * 100);
        let cost = u64::from(cost.0) * 100;
        let is_enough = *left >= cost;
        if is_enough {
            *left -= cost;
        }
        is_enough
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn when_every_attempt_fails_retries_add_a_tenth_at_most() {
        let service: ServiceName = "s".parse().unwrap();
        let mut budget = Budget::default();
        let cost = Tokens(500);
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.earn(&service, cost);
            while budget.spend(&service, cost) {
                retries += 1;
            }
        }
        assert!((1000..1100).contains(&retries), "{retries}");
    }
}
