//! How many requests may be sent to a second target.

/// Share of the fleet's allowance that first sends may use up directly. The rest is for the calls
/// that a repeated request makes again at other services.
const DIRECT_SHARE: f64 = 0.5;

/// Most repeats that one node saves up.
const SAVED_MAX: f64 = 10.0;

/// Fewest repeats that one node can save up, so that a large fleet repeats at all.
const SAVED_MIN: f64 = 1.0;

/// What the operators allow the whole fleet to repeat, as the part of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatAllowance {
    per_call: f64,
    saved: f64,
}

impl RepeatAllowance {
    /// The part of one of `nodes` nodes. The fleet may repeat `ratio` of its calls and `slack` more
    /// in each window.
    pub fn new(ratio: f64, slack: f64, nodes: usize) -> RepeatAllowance {
        let saved = slack * DIRECT_SHARE / nodes.max(1) as f64;
        RepeatAllowance { per_call: ratio * DIRECT_SHARE, saved: saved.clamp(SAVED_MIN, SAVED_MAX) }
    }
}

/// Limits the repeats of one service at one node.
#[derive(Debug, Clone, Default)]
pub struct RepeatBudget {
    saved: f64,
}

impl RepeatBudget {
    /// Creates a budget with nothing saved.
    pub const fn new() -> RepeatBudget {
        RepeatBudget { saved: 0.0 }
    }

    /// Counts a request that is sent to its first target.
    pub fn count_call(&mut self, allowance: RepeatAllowance) {
        self.saved = (self.saved + allowance.per_call).min(allowance.saved);
    }

    /// Takes one repeat. False when none is left.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
