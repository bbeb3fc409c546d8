//! How many requests may be sent to a second target.

/// Share of the fleet's allowance that is used. Nodes do not know of each other's repeats, and
/// windows of requests and repeats differ.
const USABLE_FRACTION: f64 = 0.8;

/// What a repeat costs after a run, in repeats: the second run makes the calls of the first one
/// again, which count as repeats at other services.
const EXECUTED_RETRY_COST: f64 = 2.0;

/// Most repeats that one node saves up.
const MAX_TOKENS: f64 = 10.0;

/// Fewest repeats that one node can save up, so that a large fleet repeats at all.
const MIN_CAPACITY: f64 = EXECUTED_RETRY_COST;

/// What the operators allow the whole fleet to repeat, as the part of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    tokens_per_call: f64,
    max_tokens: f64,
}

impl RetryAllowance {
    /// The part of one of `nodes` nodes. The fleet may repeat `ratio` of its calls and `slack` more
    /// in each window.
    pub fn new(ratio: f64, slack: f64, nodes: usize) -> RetryAllowance {
        let capacity = slack * USABLE_FRACTION / nodes.max(1) as f64;
        RetryAllowance {
            tokens_per_call: ratio * USABLE_FRACTION,
            max_tokens: capacity.clamp(MIN_CAPACITY, MAX_TOKENS),
        }
    }
}

/// Limits the repeats of one service at one node.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget with nothing saved.
    pub const fn new() -> RetryBudget {
        RetryBudget { tokens: 0.0 }
    }

    /// Counts a request that is sent to its first target.
    pub fn record_call(&mut self, allowance: RetryAllowance) {
        self.tokens = (self.tokens + allowance.tokens_per_call).min(allowance.max_tokens);
    }

    /// Takes one repeat, of a request that may have run or of one that a target rejected. False when
    /// too little is left.
    pub fn try_spend(&mut self, may_have_run: bool) -> bool {
        let cost = if may_have_run { EXECUTED_RETRY_COST } else { 1.0 };
        let affordable = self.tokens >= cost;
        if affordable {
            self.tokens -= cost;
        }
        affordable
    }
}
