//! Plans the attempts of a request from its arrival to its final answer.
//!
//! A request is retried only if it has certainly not run or is idempotent. Once a target has received
//! it, the retry budget must allow each retry. A request that cannot be retried is answered
//! immediately.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};

use crate::budget::{RetryAllowance, RetryBudget};
use crate::picker::{Alternatives, PickedTarget, TargetPicker};
use crate::routes::RequestKind;

/// A request is given up after this many attempts that nodes refused. An attempt that may have run
/// resets the count.
const MAX_REFUSALS: u32 = 4;

/// A request is given up after this many attempts that ended at a node that cannot be reached, or at
/// one whose target is down. Such an attempt tells nothing about the load of other targets, and it
/// takes no time once the outage is known. Half of a service's targets may be down at once.
const MAX_UNREACHED: u32 = 16;

/// Maximum queue time at the first local nodes while another target may be free. Asking a node
/// costs less than a millisecond.
const LOCAL_MAX_WAIT: ClockSpan = ClockSpan::new(25);

/// Retry delay of a caller for whose request no target was found. Entries and links recover within
/// this time.
const NO_TARGET_RETRY_AFTER: ClockSpan = ClockSpan::new(250);

/// Retry delay of a caller whose request was rejected by the target itself. As far as its node
/// knew, the target had a free slot, so a longer delay would only make the caller miss its soft
/// deadline.
const REJECTED_RETRY_AFTER: ClockSpan = ClockSpan::new(60);

/// Minimum time left for an attempt. With less, it cannot be answered in time.
const MIN_TIME_LEFT: ClockSpan = ClockSpan::new(30);

/// Parameters of a request that is to be served.
#[derive(Debug, Clone)]
pub struct CallParams {
    /// Service that the request goes to.
    pub service: Arc<str>,
    /// Route of the request.
    pub route: Arc<str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request may be retried.
    pub kind: RequestKind,
    /// Maximum number of targets that may receive the request.
    pub max_attempts: u32,
    /// Time until which an answer has its full value.
    pub soft_deadline: ClockTime,
    /// Time of arrival.
    pub arrived: ClockTime,
    /// Time at which the caller stops waiting.
    pub deadline: ClockTime,
    /// Length of the body.
    pub body_bytes: usize,
}

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered.
    Answered {
        /// Whether the answer is an error of the target.
        failed: bool,
    },
    /// The node next to the target would have queued the request for too long.
    Busy,
    /// The node next to the target refused the request without running it.
    Refused {
        /// Expected time until the request can be accepted.
        retry_after: ClockSpan,
    },
    /// The target itself reported that it did not run the request.
    Rejected,
    /// The request was not sent to the target.
    NotSent,
    /// The request did not reach the target, because the target has shut down or been replaced, or
    /// its node is shutting down.
    Moved,
    /// The node next to the target did not run the request, because the target is down.
    Down,
    /// The request may have run.
    Lost,
    /// The request may have run: the connection to the node next to the target broke.
    LinkLost,
}

impl AttemptEnd {
    /// Returns the label of the result in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            AttemptEnd::Answered { failed: false } => "answered",
            AttemptEnd::Answered { failed: true } => "failed",
            AttemptEnd::Busy => "busy",
            AttemptEnd::Refused { .. } => "refused",
            AttemptEnd::Rejected => "rejected",
            AttemptEnd::NotSent => "not sent",
            AttemptEnd::Moved => "moved",
            AttemptEnd::Down => "down",
            AttemptEnd::Lost => "lost",
            AttemptEnd::LinkLost => "link lost",
        }
    }
}

/// The next step of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanStep {
    /// Send the request.
    Send {
        /// The target to send it to.
        target: PickedTarget,
        /// Maximum queue time at the target's node.
        max_wait: ClockSpan,
    },
    /// Forward the last answer of a target.
    Answer,
    /// Answer that the request has not run.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: ClockSpan,
    },
    /// Answer that the outcome is unknown.
    Fail,
}

/// Progress of one request.
#[derive(Debug)]
pub struct CallPlan {
    call: CallParams,
    tried: Vec<Arc<str>>,
    /// Targets whose queue time exceeded the limit. One of them may still turn out to be the best
    /// choice.
    busy: Vec<Arc<str>>,
    current: Option<PickedTarget>,
    last_end: Option<AttemptEnd>,
    deliveries: u32,
    refusals: u32,
    /// Number of attempts that found no node or no target.
    unreached: u32,
    /// Whether the next retry is charged already, because the last one reached no target.
    retry_charged: bool,
    /// Whether a node of another data centre has refused the request. That node was selected for
    /// its free capacity, so other nodes are unlikely to have any.
    refused_remotely: bool,
    may_have_run: bool,
    answered: bool,
    /// Whether the request was sent to a second target while the first one ran it.
    hedged: bool,
    retry_after: Option<ClockSpan>,
}

impl CallPlan {
    /// Creates the plan of a request.
    pub fn new(call: CallParams) -> CallPlan {
        CallPlan {
            call,
            tried: Vec::new(),
            busy: Vec::new(),
            current: None,
            last_end: None,
            deliveries: 0,
            refusals: 0,
            unreached: 0,
            retry_charged: false,
            refused_remotely: false,
            may_have_run: false,
            answered: false,
            hedged: false,
            retry_after: None,
        }
    }

    /// Returns the parameters of the request.
    pub fn call(&self) -> &CallParams {
        &self.call
    }

    /// Whether the request may have run at a target.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the number of targets that have received the request so far.
    pub fn deliveries(&self) -> u32 {
        self.deliveries
    }

    /// Records the result of the last attempt.
    pub fn record_end(&mut self, end: AttemptEnd) {
        let list = if end == AttemptEnd::Busy { &mut self.busy } else { &mut self.tried };
        let was_remote = self.current.as_ref().is_some_and(|target| target.is_remote);
        list.extend(self.current.take().map(|target| target.id));
        match end {
            AttemptEnd::Answered { .. } => {
                self.deliveries += 1;
                self.may_have_run = true;
                self.answered = true;
            }
            AttemptEnd::Lost | AttemptEnd::LinkLost => {
                self.deliveries += 1;
                self.may_have_run = true;
                self.refusals = 0;
            }
            AttemptEnd::Rejected => {
                self.deliveries += 1;
                self.update_retry_after(REJECTED_RETRY_AFTER);
            }
            AttemptEnd::Moved | AttemptEnd::Busy => self.refusals += 1,
            AttemptEnd::NotSent | AttemptEnd::Down => self.unreached += 1,
            AttemptEnd::Refused { retry_after } => {
                self.refusals += 1;
                self.refused_remotely |= was_remote;
                self.update_retry_after(retry_after);
            }
        }
        self.retry_charged &= matches!(end, AttemptEnd::NotSent | AttemptEnd::Down);
        self.last_end = Some(end);
    }

    /// Whether the request may be sent to a second target while the current one runs it: it may run
    /// more than once, at most `max_attempts` targets receive it, and it was not done before.
    pub fn may_hedge(&self) -> bool {
        let running = u32::from(self.current.is_some());
        self.call.kind.is_idempotent()
            && !self.hedged
            && running == 1
            && self.deliveries + running < self.call.max_attempts
    }

    /// Returns the target of the current attempt and those of earlier ones.
    pub(crate) fn targets(&self) -> Option<(&PickedTarget, &[Arc<str>])> {
        Some((self.current.as_ref()?, &self.tried))
    }

    /// Records that the request was sent to a second target while the current one runs it.
    pub fn record_hedge(&mut self) {
        self.hedged = true;
    }

    /// Records the result of a second request. If it was not run, that says nothing about the
    /// request, since it had to find a free slot at once.
    pub fn record_hedge_end(&mut self, target: &PickedTarget, end: AttemptEnd) {
        match end {
            AttemptEnd::Busy
            | AttemptEnd::Refused { .. }
            | AttemptEnd::NotSent
            | AttemptEnd::Moved
            | AttemptEnd::Down => {
                self.tried.push(target.id.clone());
            }
            AttemptEnd::Answered { .. }
            | AttemptEnd::Rejected
            | AttemptEnd::Lost
            | AttemptEnd::LinkLost => {
                let first = self.current.replace(target.clone());
                self.record_end(end);
                self.current = first;
            }
        }
    }

    /// Keeps the shortest of the retry delays received, which is the one reported to the caller.
    fn update_retry_after(&mut self, retry_after: ClockSpan) {
        let known = self.retry_after.unwrap_or(retry_after);
        self.retry_after = Some(known.min(retry_after));
    }

    /// Determines the next step.
    pub fn next_step(
        &mut self,
        now: ClockTime,
        picker: &mut TargetPicker,
        budget: &mut RetryBudget,
        allowance: RetryAllowance,
    ) -> PlanStep {
        let is_retry = match self.last_end {
            None => false,
            Some(AttemptEnd::Answered { failed: false }) => return PlanStep::Answer,
            Some(
                AttemptEnd::Answered { failed: true }
                | AttemptEnd::Rejected
                | AttemptEnd::Lost
                | AttemptEnd::LinkLost,
            ) => true,
            Some(
                AttemptEnd::Refused { .. }
                | AttemptEnd::Busy
                | AttemptEnd::NotSent
                | AttemptEnd::Moved
                | AttemptEnd::Down,
            ) => self.deliveries > 0,
        };
        if self.is_exhausted(now) || (self.may_have_run && !self.call.kind.is_idempotent()) {
            return self.give_up();
        }
        let call = &self.call;
        let choice = picker.pick(now, call, &self.tried);
        let Some(target) = choice else { return self.give_up() };
        // A retry is charged when it is sent, even if the node next to the target then refuses it.
        if is_retry && !self.retry_charged && !budget.try_spend(self.may_have_run) {
            return self.give_up();
        }
        self.retry_charged = is_retry;
        if self.last_end.is_none() {
            budget.record_call(allowance);
        }
        let max_wait = self.max_wait(now, &target);
        self.current = Some(target.clone());
        PlanStep::Send { target, max_wait }
    }

    fn is_exhausted(&self, now: ClockTime) -> bool {
        self.deliveries >= self.call.max_attempts.max(1)
            || self.refusals >= MAX_REFUSALS
            || self.unreached >= MAX_UNREACHED
            || self.refused_remotely
            || self.call.deadline.since(now) < MIN_TIME_LEFT
    }

    /// Maximum queue time at a target's node. The first nodes refuse at once if the wait would be
    /// long, because another target may be better. A node may queue the request until the deadline if
    /// it is selected again, is the last that may refuse, or has no alternatives.
    fn max_wait(&self, now: ClockTime, target: &PickedTarget) -> ClockSpan {
        let may_wait = self.busy.contains(&target.id) || self.refusals + 1 >= MAX_REFUSALS;
        let to_aim = ClockSpan::new(self.call.soft_deadline.since(now).millis() / 2);
        match target.alternatives {
            _ if may_wait => self.call.deadline.since(now),
            Alternatives::None => self.call.deadline.since(now),
            Alternatives::Local if !target.is_remote => to_aim.min(LOCAL_MAX_WAIT),
            Alternatives::Local | Alternatives::Remote => to_aim,
        }
    }

    fn give_up(&self) -> PlanStep {
        // An error that a target answered tells the caller more than a failed retry.
        if self.answered {
            return PlanStep::Answer;
        }
        if self.may_have_run {
            return PlanStep::Fail;
        }
        PlanStep::Refuse { retry_after: self.retry_after.unwrap_or(NO_TARGET_RETRY_AFTER) }
    }
}
