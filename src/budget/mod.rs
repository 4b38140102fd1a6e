//! Limits retries, in tokens, so that a fault never multiplies load.

use crate::id::{ServiceName, Tokens};
use std::collections::HashMap;

/// Retried tokens allowed per token of first attempts, in percent.
const SHARE: u64 = 10;
/// Tokens that may be retried before any first attempt has earned more.
const START: u64 = 20_000;
/// Most tokens that can be saved up.
const MOST: u64 = 200_000;

/// Tokens that may still be spent on retries, per service; counted in hundredths.
#[derive(Debug, Default)]
pub struct Budget {
    left: HashMap<ServiceName, u64>,
}

impl Budget {
    /// Earns a share of the cost of a first attempt.
    pub fn earn(&mut self, service: &ServiceName, cost: Tokens) {
        let left = self.left.entry(service.clone()).or_insert(START * 100);
        *left = (*left + u64::from(cost.0) * SHARE).min(MOST * 100);
    }

    /// Spends the cost of a retry; `false` where too little is left.
    pub fn spend(&mut self, service: &ServiceName, cost: Tokens) -> bool {
        let left = self.left.entry(service.clone()).or_insert(START * 100);
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
