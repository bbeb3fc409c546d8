//! How many requests may be sent to a second target.

/// Share of the fleet's allowance that is used. Nodes do not know of each other's repeats, and
/// windows of requests and repeats differ.
const USED_SHARE: f64 = 0.8;

/// What a repeat costs after a run, in repeats: the second run makes the calls of the first one
/// again, which count as repeats at other services.
const RUN_COST: f64 = 2.0;

/// Most repeats that one node saves up.
const SAVED_MAX: f64 = 10.0;

/// Fewest repeats that one node can save up, so that a large fleet repeats at all.
const SAVED_MIN: f64 = RUN_COST;

/// What the operators allow the whole fleet to repeat, as the part of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    per_call: f64,
    saved: f64,
}

impl RetryAllowance {
    /// The part of one of `nodes` nodes. The fleet may repeat `ratio` of its calls and `slack` more
    /// in each window.
    pub fn new(ratio: f64, slack: f64, nodes: usize) -> RetryAllowance {
        let saved = slack * USED_SHARE / nodes.max(1) as f64;
        RetryAllowance { per_call: ratio * USED_SHARE, saved: saved.clamp(SAVED_MIN, SAVED_MAX) }
    }
}

/// Limits the repeats of one service at one node.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget with nothing saved.
    pub const fn new() -> RetryBudget {
        RetryBudget { saved: 0.0 }
    }

    /// Counts a request that is sent to its first target.
    pub fn record_call(&mut self, allowance: RetryAllowance) {
        self.saved = (self.saved + allowance.per_call).min(allowance.saved);
    }

    /// Takes one repeat, of a request that may have run or of one that a target rejected. False when
    /// too little is left.
    pub fn try_spend(&mut self, may_have_run: bool) -> bool {
        let cost = if may_have_run { RUN_COST } else { 1.0 };
        let enough = self.saved >= cost;
        if enough {
            self.saved -= cost;
        }
        enough
    }
}
