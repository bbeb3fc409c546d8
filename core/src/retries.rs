//! Whether a failed attempt is followed by another.

use crate::clock::ClockSpan;
use crate::code::{CallOutcome, ResultCode};

/// Retries that a service may add, as calls per retry: 10 %.
const CALLS_PER_RETRY: u32 = 10;

/// Retries that may be saved up while no attempt fails.
const RETRY_BURST: u32 = 10;

/// Most attempts of one call, whatever the budget holds.
pub const ATTEMPT_LIMIT: u32 = 3;

/// Limits the retries of a service at one node to 10 % of its calls.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// In tenths of a retry.
    saved: u32,
}

/// What is known when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryCase {
    /// How the attempt ended.
    pub code: ResultCode,
    /// Whether a second run does no harm: an idempotent route, or a key whose owner recognises it.
    pub repeatable: bool,
    /// Time left for the call.
    pub left: ClockSpan,
    /// Time that another attempt is expected to take.
    pub needed: ClockSpan,
    /// Whether this call is part of a retry by a node further up. Its budget covers the call.
    pub nested: bool,
    /// Attempts made so far.
    pub attempts: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}

impl RetryBudget {
    /// Creates a budget with the full burst.
    pub const fn new() -> RetryBudget {
        RetryBudget { saved: RETRY_BURST * CALLS_PER_RETRY }
    }

    /// Counts a call, not an attempt.
    pub fn count_call(&mut self) {
        self.saved = (self.saved + 1).min(RETRY_BURST * CALLS_PER_RETRY);
    }

    /// Takes one retry. False when the budget is used up.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= CALLS_PER_RETRY;
        if enough {
            self.saved -= CALLS_PER_RETRY;
        }
        enough
    }
}

impl RetryCase {
    /// Decides on a retry and takes it from the budget if it has to be paid for.
    pub fn decide(&self, budget: &mut RetryBudget) -> bool {
        if self.attempts >= ATTEMPT_LIMIT || self.left <= self.needed {
            return false;
        }
        match self.code {
            // Planned moves: the target said so before any work, and another one takes the call. They
            // are free, since a restart of a quarter of a service would use up any budget.
            ResultCode::Leaving | ResultCode::NotReady | ResultCode::NotKeyOwner => true,
            ResultCode::ConnectFailed | ResultCode::UpstreamRefused => self.pay(budget),
            // An overloaded service gets no second attempt, or its overload would feed itself.
            // Every other refusal would be repeated by any target.
            code if code.outcome() == Some(CallOutcome::Unknown) => {
                self.repeatable && is_worth_repeating(code) && self.pay(budget)
            }
            _ => false,
        }
    }

    fn pay(&self, budget: &mut RetryBudget) -> bool {
        !self.nested && budget.take()
    }
}

/// Whether another attempt can end better than the one that ended with this unknown outcome.
const fn is_worth_repeating(code: ResultCode) -> bool {
    matches!(code, ResultCode::LinkLost | ResultCode::UpstreamLost | ResultCode::AnswerTruncated)
}
