//! How many requests may be sent to a second target.

/// Repeats that each first send adds. The limit for the whole fleet is twice this, which leaves
/// room for the calls that a repeated request makes again at other services.
const REPEATS_PER_CALL: f64 = 0.08;

/// Repeats that may be saved up by one node. The allowance of the fleet beyond its ratio is shared
/// by all nodes, so each keeps a small part of it.
const SAVED_REPEATS: f64 = 4.0;

/// Limits the repeats of one service at one node.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    saved: f64,
}

impl Default for RepeatBudget {
    fn default() -> RepeatBudget {
        RepeatBudget::new()
    }
}

impl RepeatBudget {
    /// Creates a full budget.
    pub const fn new() -> RepeatBudget {
        RepeatBudget { saved: SAVED_REPEATS }
    }

    /// Counts a request that is sent to its first target.
    pub fn count_call(&mut self) {
        self.saved = (self.saved + REPEATS_PER_CALL).min(SAVED_REPEATS);
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
