//! Retry budgets, which limit the load that retries add when attempts fail.
//!
//! Entries keep a [`Budget`] of tokens each. Gateways keep the retries of all instances within what
//! the platform allows in any window of time ([`SharedBudget`]).

mod window;

pub use window::{Charge, Hundredths, LOAN_TTL, SharedBudget, Terms};

use crate::id::{ServiceName, Tokens};
use std::collections::HashMap;

/// Limits of a retry budget, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Share of the cost of each first attempt that is added to the budget, in percent.
    pub percent: u64,
    /// Budget of a service before its first attempt.
    pub initial: u64,
    /// Upper limit of the budget of a service.
    pub max: u64,
}

impl Allowance {
    /// Allows retries of a tenth of the tokens, for generations and calls.
    pub const TOKENS: Allowance = Allowance { percent: 10, initial: 20_000, max: 200_000 };
}

/// Retry budgets of all services.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    /// Remaining budget, in hundredths of a token.
    remaining: HashMap<ServiceName, u64>,
}

impl Default for Budget {
    fn default() -> Self {
        Budget::new(Allowance::TOKENS)
    }
}

impl Budget {
    /// Creates budgets that start at [`Allowance::initial`].
    pub fn new(allowance: Allowance) -> Self {
        Budget { allowance, remaining: HashMap::new() }
    }

    /// Adds the configured share of the cost of a first attempt.
    pub fn earn(&mut self, service: &ServiceName, cost: Tokens) {
        let a = self.allowance;
        let remaining = self.remaining.entry(service.clone()).or_insert(a.initial * 100);
        *remaining = (*remaining + u64::from(cost.0) * a.percent).min(a.max * 100);
    }

    /// Deducts the cost of a retry; returns `false` and deducts nothing if the budget is too small.
    pub fn spend(&mut self, service: &ServiceName, cost: Tokens) -> bool {
        let remaining =
            self.remaining.entry(service.clone()).or_insert(self.allowance.initial * 100);
        let cost = u64::from(cost.0) * 100;
        let is_enough = *remaining >= cost;
        if is_enough {
            *remaining -= cost;
        }
        is_enough
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_stay_within_a_tenth_when_all_attempts_fail() {
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
