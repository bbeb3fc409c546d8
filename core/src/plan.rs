//! The course of a call at its entry node.
//!
//! This is the one place that decides whether a request is sent again and whether its caller is told
//! "not run". Two rules hold for every path through it. A non-idempotent request is sent again only when
//! the attempt before was certainly not dispatched, or to the owner of its key. The caller is told "not
//! run" only when no attempt may have run and, for a request with a key, when the key's owner said so:
//! an earlier send of the same request may have gone through another entry node.

use std::sync::Arc;

use crate::balancer::{LoadReport, TargetBalancer, TargetChoice, TargetLiveness, TargetOutcome};
use crate::clock::{ClockSpan, ClockTime};
use crate::code::{CallOutcome, ResultCode};
use crate::config::{NodeName, RouteKind};
use crate::deadline::CallDeadline;
use crate::owner::key_owner;
use crate::retries::{RetryBudget, RetryCase};
use crate::snapshot::ServiceView;

/// When a caller may try again if nothing better is known.
const DEFAULT_RETRY: ClockSpan = ClockSpan::new(1_000);

/// A call as its entry node knows it.
#[derive(Debug, Clone)]
pub struct PlanCall {
    /// Kind of the route.
    pub kind: RouteKind,
    /// Idempotency key. It counts on non-idempotent routes only.
    pub key: Option<Arc<str>>,
    /// When the answer has to leave this node.
    pub deadline: CallDeadline,
    /// Whether the request says that it is part of a retry.
    pub nested: bool,
}

/// How an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The code: that of the target's node if it gave one, else what this node saw.
    pub code: ResultCode,
    /// Whether the target's node gave the code. A refusal counts as its word only then.
    pub from_target: bool,
    /// The retry-after time that the target's node gave.
    pub retry_after: Option<ClockSpan>,
    /// Load that came with the answer.
    pub load: Option<LoadReport>,
    /// Time from dispatch to the end of the answer, in µs.
    pub micros: u64,
}

/// What an entry node does next with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanStep {
    /// Send it to this target, then call `resume`.
    Dispatch {
        /// The target.
        target: TargetChoice,
        /// When the answer has to leave the target's node.
        deadline: CallDeadline,
        /// Whether the request carries `fescuestack-retry`.
        retry: bool,
    },
    /// Answer the caller.
    Answer(PlanAnswer),
}

/// The answer for the caller, apart from what the upstream sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanAnswer {
    /// The code. With 100 and 101 the content comes from the last attempt.
    pub code: ResultCode,
    /// What happened, when `code` says less because it has to be true of the whole request.
    pub cause: Option<ResultCode>,
    /// When a new attempt may succeed.
    pub retry_after: Option<ClockSpan>,
}

/// The state of a call at its entry node.
#[derive(Debug)]
pub struct RequestPlan {
    call: PlanCall,
    attempts: u32,
    tried: Vec<NodeName>,
    current: Option<TargetChoice>,
    /// How the first attempt that may have run ended.
    doubt: Option<ResultCode>,
}

impl RequestPlan {
    /// Creates the plan of a call that has not been sent.
    pub fn new(call: PlanCall) -> RequestPlan {
        RequestPlan { call, attempts: 0, tried: Vec::new(), current: None, doubt: None }
    }

    /// The answer to a call that is refused before `start`, such as for want of a route. A quarantined
    /// request with a key is better started: its owner can say "not run", this node cannot.
    pub fn refuse(&self, code: ResultCode, retry_after: Option<ClockSpan>) -> PlanAnswer {
        self.conclude(code, false, retry_after)
    }

    /// The first step.
    pub fn start(
        &mut self,
        now: ClockTime,
        service: &ServiceView,
        balancer: &mut TargetBalancer,
        budget: &mut RetryBudget,
    ) -> PlanStep {
        budget.count_call();
        self.send(now, service, balancer)
    }

    /// The step after an attempt has ended. `service` may be of a newer version than before.
    pub fn resume(
        &mut self,
        now: ClockTime,
        service: &ServiceView,
        balancer: &mut TargetBalancer,
        budget: &mut RetryBudget,
        end: &AttemptEnd,
    ) -> PlanStep {
        if let Some(choice) = self.current.take() {
            balancer.finish(now, &choice, end.outcome(), end.load);
            self.tried.push(choice.name);
        }
        if end.code.outcome() == Some(CallOutcome::Unknown) && self.doubt.is_none() {
            self.doubt = Some(end.code);
        }
        if self.is_repeated(now, service, balancer, budget, end) {
            return self.send(now, service, balancer);
        }
        PlanStep::Answer(self.conclude(end.code, end.from_target, end.retry_after))
    }

    /// Ends the plan of a call whose caller has gone. The host closes the connection to the target.
    pub fn abandon(&mut self, now: ClockTime, balancer: &mut TargetBalancer) {
        if let Some(choice) = self.current.take() {
            balancer.finish(now, &choice, TargetOutcome::Uncounted, None);
        }
    }

    fn key(&self) -> Option<&Arc<str>> {
        if self.call.kind.is_idempotent() { None } else { self.call.key.as_ref() }
    }

    fn send(
        &mut self,
        now: ClockTime,
        service: &ServiceView,
        balancer: &mut TargetBalancer,
    ) -> PlanStep {
        if let Err(code) = self.call.deadline.verify(now) {
            return PlanStep::Answer(self.conclude(code, false, None));
        }
        let choice = match self.key() {
            Some(key) => key_owner(service, key).and_then(|owner| reach(balancer, &owner.name)),
            None => balancer.choose(now, &self.tried),
        };
        let Some(target) = choice else {
            let answer = self.conclude(ResultCode::NoTarget, false, Some(DEFAULT_RETRY));
            return PlanStep::Answer(answer);
        };
        let deadline = self.call.deadline.with_hop(balancer.delay_to(&target));
        let retry = self.call.nested || self.attempts > 0;
        self.attempts += 1;
        self.current = Some(target.clone());
        PlanStep::Dispatch { target, deadline, retry }
    }

    fn is_repeated(
        &self,
        now: ClockTime,
        service: &ServiceView,
        balancer: &TargetBalancer,
        budget: &mut RetryBudget,
        end: &AttemptEnd,
    ) -> bool {
        let mut repeatable = self.call.kind.is_idempotent();
        if let Some(key) = self.key() {
            let owner = key_owner(service, key).map(|owner| &owner.name);
            let is_same = owner.is_some() && owner == self.tried.last();
            // The owner's node has recorded how the request ended, unless its answer was lost.
            repeatable = is_same && !end.from_target;
            let moved = matches!(
                end.code,
                ResultCode::Leaving | ResultCode::NotReady | ResultCode::NotKeyOwner
            );
            // Asking the same owner again would bring the same answer.
            if moved && is_same {
                return false;
            }
        }
        let case = RetryCase {
            code: end.code,
            repeatable,
            left: self.call.deadline.left(now),
            needed: balancer.expected_time(),
            nested: self.call.nested,
            attempts: self.attempts,
        };
        case.decide(budget)
    }

    /// The answer that is true of the whole request, given how its last step ended.
    fn conclude(
        &self,
        code: ResultCode,
        from_target: bool,
        retry_after: Option<ClockSpan>,
    ) -> PlanAnswer {
        let plain = PlanAnswer { code, cause: None, retry_after };
        if code.outcome() != Some(CallOutcome::NotRun) {
            return plain;
        }
        if let Some(doubt) = self.doubt {
            return PlanAnswer { code: doubt, cause: Some(code), retry_after };
        }
        let vouched = from_target && is_vouched(code);
        if self.key().is_none() || vouched {
            return plain;
        }
        PlanAnswer { code: ResultCode::KeyOwnerUnreachable, cause: Some(code), retry_after }
    }
}

impl AttemptEnd {
    /// What the end of the attempt says about the target.
    pub fn outcome(&self) -> TargetOutcome {
        match self.code {
            ResultCode::Done | ResultCode::DoneEarlier => {
                TargetOutcome::Answered { micros: self.micros }
            }
            ResultCode::Overload | ResultCode::TenantLimit => TargetOutcome::Refused,
            ResultCode::ConnectFailed
            | ResultCode::LinkLost
            | ResultCode::UpstreamLost
            | ResultCode::AnswerTruncated => TargetOutcome::Failed,
            ResultCode::PatienceOver => TargetOutcome::Silent { micros: self.micros },
            _ => TargetOutcome::Uncounted,
        }
    }
}

/// The choice of a key's owner, unless membership knows that it cannot answer.
fn reach(balancer: &mut TargetBalancer, owner: &str) -> Option<TargetChoice> {
    match balancer.liveness(owner)? {
        TargetLiveness::Dead => None,
        TargetLiveness::Alive | TargetLiveness::Suspect | TargetLiveness::Leaving => {
            balancer.choose_named(owner)
        }
    }
}

/// Whether a refusal by a target's node comes after a look into its key table.
const fn is_vouched(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Overload
            | ResultCode::PatienceSpent
            | ResultCode::Leaving
            | ResultCode::Quarantined
            | ResultCode::BadRequest
            | ResultCode::ConnectFailed
            | ResultCode::TenantLimit
    )
}
