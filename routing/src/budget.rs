//! Limits how many requests are sent to a second target.

use fescuestack_core::{ClockSpan, ClockTime};

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

/// Half-life of what recent calls have left over for second requests of slow calls. The operators
/// count repeats in windows of 10 s together with the calls of that time, so that tokens must not be
/// spent much later than the calls that earned them.
const SURPLUS_HALF_LIFE: ClockSpan = ClockSpan::new(1_000);

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
    /// Tokens that recent calls have earned and that neither retries nor second requests have spent.
    /// Negative after retries that were paid for from the node's share of the slack.
    surplus: f64,
    surplus_at: ClockTime,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub const fn new() -> RetryBudget {
        RetryBudget { tokens: 0.0, surplus: 0.0, surplus_at: ClockTime::ZERO }
    }

    /// Adds tokens for a request that is sent to its first target.
    pub fn record_call(&mut self, allowance: RetryAllowance) {
        self.tokens = (self.tokens + allowance.tokens_per_call).min(allowance.max_tokens);
        self.surplus = (self.surplus + allowance.tokens_per_call).min(MAX_TOKENS);
    }

    /// Reduces the surplus by its age. To be called before calls are recorded, if slow calls may get
    /// a second request.
    pub fn expire_surplus(&mut self, now: ClockTime) {
        let age = now.since(self.surplus_at).millis() as f64;
        if self.surplus > 0.0 {
            self.surplus *= 0.5f64.powf(age / SURPLUS_HALF_LIFE.millis() as f64);
        }
        self.surplus_at = now;
    }

    /// Returns the tokens that are left for retries.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the tokens that are left for second requests of slow calls; negative if retries have
    /// spent more than recent calls have earned.
    pub fn surplus(&self) -> f64 {
        self.surplus
    }

    /// Whether anything is left for second requests of slow calls.
    pub fn can_hedge(&self) -> bool {
        self.surplus > 0.0
    }

    /// Spends tokens on a second request of a slow call. Only what retries have not used of the tokens
    /// that recent calls have earned is spent, never the tokens kept for retries. Like a retry of a
    /// request that may have run, a second request is charged for the calls that its run makes.
    ///
    /// At most of the nodes of a large fleet, recent calls earn less than one second request. The
    /// request is then allowed with the probability that the tokens cover, and they are spent either
    /// way, so that the fleet as a whole spends what it has earned. `draw` is a random number from 0
    /// to 1. Returns whether the request may be sent.
    pub fn try_spend_hedge(&mut self, draw: f64) -> bool {
        let spent = self.surplus.clamp(0.0, EXECUTED_RETRY_COST);
        self.surplus -= spent;
        draw * EXECUTED_RETRY_COST < spent
    }

    /// Spends the tokens of one retry. `may_have_run` tells whether the request may have run, or
    /// was rejected by a target without running. Returns false if too few tokens are left.
    pub fn try_spend(&mut self, may_have_run: bool) -> bool {
        let cost = if may_have_run { EXECUTED_RETRY_COST } else { 1.0 };
        let affordable = self.tokens >= cost;
        if affordable {
            self.tokens -= cost;
            self.surplus -= cost;
        }
        affordable
    }
}
