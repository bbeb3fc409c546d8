//! What happens to a request from its arrival to its final answer.
//!
//! A request is sent again only if it has certainly not run, or if it is idempotent and the budget
//! has room. A request that is given up is answered at once.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};

use crate::budget::{RetryAllowance, RetryBudget};
use crate::picker::{Alternatives, PickedTarget, TargetPicker};
use crate::routes::RequestKind;

/// Most nodes that may refuse a request before it is given up.
const MAX_REFUSALS: u32 = 4;

/// Longest wait at the first nodes in the same data centre, while another target may be free. Asking
/// one costs less than a millisecond.
const LOCAL_MAX_WAIT: ClockSpan = ClockSpan::new(25);

/// When a caller comes back that found no target to send to. Entries and links return within this.
const NO_TARGET_RETRY_AFTER: ClockSpan = ClockSpan::new(250);

/// When a caller comes back that a target itself has turned away. The target had a free slot by all that its
/// node knows, so that waiting longer only costs the caller its aim.
const REJECTED_RETRY_AFTER: ClockSpan = ClockSpan::new(60);

/// Least time that has to be left for another attempt. A shorter one cannot be answered.
const MIN_TIME_LEFT: ClockSpan = ClockSpan::new(30);

/// A request that is to be served.
#[derive(Debug, Clone)]
pub struct CallParams {
    /// The service that it goes to.
    pub service: Arc<str>,
    /// Its route.
    pub route: Arc<str>,
    /// Urgency; lower goes first.
    pub priority: u8,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Most targets that it may be sent to.
    pub max_attempts: u32,
    /// Until when an answer has its full use.
    pub soft_deadline: ClockTime,
    /// When it arrived.
    pub arrived: ClockTime,
    /// When its caller stops waiting.
    pub deadline: ClockTime,
    /// Length of its body.
    pub body_bytes: usize,
}

/// How an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered.
    Answered {
        /// Whether its answer is a failure of its own.
        failed: bool,
    },
    /// The node beside the target found its wait too long.
    Busy,
    /// The node beside the target did not let it run.
    Refused {
        /// When there is likely to be room.
        retry_after: ClockSpan,
    },
    /// The target itself said that it did not run it.
    Rejected,
    /// Nothing reached the target.
    NotSent,
    /// Nothing reached the target, since it has left or been replaced, or its node is about to end.
    Moved,
    /// It may have run.
    Lost,
    /// It may have run: the connection to the node beside the target broke.
    LinkLost,
}

impl AttemptEnd {
    /// The end as a label of metrics.
    pub const fn label(self) -> &'static str {
        match self {
            AttemptEnd::Answered { failed: false } => "answered",
            AttemptEnd::Answered { failed: true } => "failed",
            AttemptEnd::Busy => "busy",
            AttemptEnd::Refused { .. } => "refused",
            AttemptEnd::Rejected => "rejected",
            AttemptEnd::NotSent => "not sent",
            AttemptEnd::Moved => "moved",
            AttemptEnd::Lost => "lost",
            AttemptEnd::LinkLost => "link lost",
        }
    }
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanStep {
    /// Send the request.
    Send {
        /// Where to.
        target: PickedTarget,
        /// Longest wait at the target's node.
        max_wait: ClockSpan,
    },
    /// Pass on the last answer of a target.
    Answer,
    /// Answer that the request has not run.
    Refuse {
        /// When the caller should come back.
        retry_after: ClockSpan,
    },
    /// Answer that the outcome is not known.
    Fail,
}

/// The progress of one request.
#[derive(Debug)]
pub struct CallPlan {
    call: CallParams,
    tried: Vec<Arc<str>>,
    /// Targets whose wait was over the limit. They may be the best choice all the same.
    busy: Vec<Arc<str>>,
    current: Option<PickedTarget>,
    last_end: Option<AttemptEnd>,
    deliveries: u32,
    refusals: u32,
    /// Whether a node of another data centre has refused it. It is chosen for its room, so that
    /// there is hardly more elsewhere.
    refused_remotely: bool,
    may_have_run: bool,
    answered: bool,
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
            refused_remotely: false,
            may_have_run: false,
            answered: false,
            retry_after: None,
        }
    }

    /// The request.
    pub fn call(&self) -> &CallParams {
        &self.call
    }

    /// Whether the request may have run at a target.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Targets that the request was sent to so far.
    pub fn deliveries(&self) -> u32 {
        self.deliveries
    }

    /// Notes how the attempt that was sent last has ended.
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
            AttemptEnd::NotSent | AttemptEnd::Moved | AttemptEnd::Busy => self.refusals += 1,
            AttemptEnd::Refused { retry_after } => {
                self.refusals += 1;
                self.refused_remotely |= was_remote;
                self.update_retry_after(retry_after);
            }
        }
        self.last_end = Some(end);
    }

    /// Of several times after which there may be room, the shortest is told.
    fn update_retry_after(&mut self, retry_after: ClockSpan) {
        let known = self.retry_after.unwrap_or(retry_after);
        self.retry_after = Some(known.min(retry_after));
    }

    /// Decides on the next step.
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
                | AttemptEnd::Moved,
            ) => self.deliveries > 0,
        };
        if self.is_exhausted(now) || (self.may_have_run && !self.call.kind.is_idempotent()) {
            return self.give_up();
        }
        let call = &self.call;
        let choice = picker.pick(now, call, &self.tried);
        let Some(target) = choice else { return self.give_up() };
        // A repeat is paid for when it is sent, also if the node beside the target refuses it.
        if is_retry && !budget.try_spend(self.may_have_run) {
            return self.give_up();
        }
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
            || self.refused_remotely
            || self.call.deadline.since(now) < MIN_TIME_LEFT
    }

    /// The first nodes say at once if the wait is long, while another target may be better. One that
    /// is chosen again in spite of that may let the request wait.
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
        // A failure that a target answered says more than a repeat that found no room.
        if self.answered {
            return PlanStep::Answer;
        }
        if self.may_have_run {
            return PlanStep::Fail;
        }
        PlanStep::Refuse { retry_after: self.retry_after.unwrap_or(NO_TARGET_RETRY_AFTER) }
    }
}
