//! Limits how many requests are sent to a second target.

/// Fraction of the fleet-wide allowance that nodes use. The rest is a safety margin: nodes do not
/// know each other's retries, and the windows in which requests and retries are counted differ.
const USABLE_FRACTION: f64 = 0.8;

/// Tokens that a retry costs if the request may have run. The second run repeats all downstream
/// calls of the first one, and these count as retries at other services.
const EXECUTED_RETRY_COST: f64 = 2.0;

/// Upper bound of the tokens that one node accumulates.
const MAX_TOKENS: f64 = 10.0;

/// Lower bound of a node's token capacity, so that nodes of a large fleet can retry at all.
const MIN_CAPACITY: f64 = EXECUTED_RETRY_COST;

/// One node's share of the retries that the operators allow the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    tokens_per_call: f64,
    max_tokens: f64,
}

impl RetryAllowance {
    /// Computes the share of one of `nodes` nodes. The fleet may retry a fraction `ratio` of its
    /// calls, plus `slack` retries in each window.
    pub fn new(ratio: f64, slack: f64, nodes: usize) -> RetryAllowance {
        let capacity = slack * USABLE_FRACTION / nodes.max(1) as f64;
        RetryAllowance {
            tokens_per_call: ratio * USABLE_FRACTION,
            max_tokens: capacity.clamp(MIN_CAPACITY, MAX_TOKENS),
        }
    }
}

/// Token bucket that limits the retries of one service at one node.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub const fn new() -> RetryBudget {
        RetryBudget { tokens: 0.0 }
    }

    /// Adds tokens for a request that is sent to its first target.
    pub fn record_call(&mut self, allowance: RetryAllowance) {
        self.tokens = (self.tokens + allowance.tokens_per_call).min(allowance.max_tokens);
    }

    /// Spends the tokens of one retry. `may_have_run` tells whether the request may have run, or
    /// was rejected by a target without running. Returns false if too few tokens are left.
    pub fn try_spend(&mut self, may_have_run: bool) -> bool {
        let cost = if may_have_run { EXECUTED_RETRY_COST } else { 1.0 };
        let affordable = self.tokens >= cost;
        if affordable {
            self.tokens -= cost;
        }
        affordable
    }
}
