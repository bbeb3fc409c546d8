//! The side of the entry: calls from callers and from the upstream beside this node.

use std::sync::Arc;
use std::time::Instant;

use fescuestack_core::{
    CallDeadline, CallOutcome, ConfigSnapshot, KEY_LIMIT_BYTES, PlanAnswer, PlanCall, PlanStep,
    RequestFingerprint, RequestPlan, ResultCode, RouteKind,
};
use fescuestack_http::{HttpFault, within};
use http_types::{Request, Response};

use crate::balancers::ServiceBalancer;
use crate::content::CallContent;
use crate::headers::{AnswerNote, IDEMPOTENCY_HEADER, RETRY_HEADER, remove_own_headers, value};
use crate::record::{CallSide, CallStep, CallTrace};
use crate::routing::CallRoute;
use crate::service::CallService;
use fescuestack_http::CallClock;

/// A call on its way to targets.
pub(crate) struct EntryCall<'a> {
    pub(crate) snapshot: &'a ConfigSnapshot,
    pub(crate) request: Arc<str>,
    pub(crate) class: Arc<str>,
    pub(crate) kind: RouteKind,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) deadline: CallDeadline,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) key_fingerprint: RequestFingerprint,
    pub(crate) content: CallContent,
}

/// What a call ends with: its result and, with 100 and 101, the answer of an upstream.
type EntryEnd = (PlanAnswer, Option<Response>);

impl CallService {
    /// Answers a call.
    pub(crate) async fn enter(
        self: Arc<Self>,
        side: CallSide,
        incoming: Result<Request, HttpFault>,
    ) -> Response {
        let place = self.begin_call();
        let request_name = self.next_request();
        let mut trace = CallTrace::new(side, request_name.clone(), self.observer.clone());
        let (end, answer) = match incoming {
            Ok(request) => self.enter_request(side, request, &mut trace).await,
            Err(fault) => (plain(fault_code(fault)), None),
        };
        trace.record.code = Some(end.code);
        trace.record.cause = end.cause;
        let mut note = AnswerNote::new(&request_name, end.code);
        note.cause = end.cause;
        note.retry_after = end.retry_after;
        let answer = match answer {
            Some(mut answer) => {
                note.write(&mut answer);
                answer
            }
            None => note.refusal(),
        };
        self.send(answer, place)
    }

    async fn enter_request(
        &self,
        side: CallSide,
        mut request: Request,
        trace: &mut CallTrace,
    ) -> EntryEnd {
        let Some(snapshot) = self.active() else { return (plain(ResultCode::NotReady), None) };
        trace.record.version = snapshot.version();
        let route = match CallRoute::find(&snapshot, &request) {
            Ok(route) => route,
            Err(code) => return (plain(code), None),
        };
        trace.record.service = route.name().to_owned();
        trace.record.kind = Some(route.rule.kind);
        trace.push(CallStep::Routed { prefix: route.rule.prefix.clone(), kind: route.rule.kind });
        let now = self.clock.now();
        let (class, left): (Arc<str>, _) = match route.class(&snapshot, side, &request) {
            Ok((label, left)) => (label.into(), left),
            Err(code) => return (plain(code), None),
        };
        trace.set_class(&class);
        trace.push(CallStep::Left { left });
        let nested = side == CallSide::Local && value(&request, RETRY_HEADER).is_some();
        remove_own_headers(request.as_mut());
        let key = match scan_idempotency(&request) {
            Ok(key) => key,
            Err(code) => return (plain(code), None),
        };
        let deadline = CallDeadline::new(now, left);
        let plan = PlanCall { kind: route.rule.kind, key: key.clone(), deadline, nested };
        // The plan knows that a refusal of a request with a key says nothing about an earlier send.
        let refuse = |code| (RequestPlan::new(plan.clone()).refuse(code, None), None);
        if self.is_leaving() && side == CallSide::Caller {
            return refuse(ResultCode::Leaving);
        }
        let until = self.clock.instant(deadline).saturating_duration_since(Instant::now());
        let reading = within(until, CallContent::read(request, route.rule));
        let content = match reading.await.unwrap_or(Err(ResultCode::PatienceSpent)) {
            Ok(content) => content,
            Err(code) => return refuse(code),
        };
        let fingerprint = content.fingerprint(route.name());
        if self.is_quarantined(fingerprint) {
            return refuse(ResultCode::Quarantined);
        }
        let call = EntryCall {
            snapshot: &snapshot,
            request: trace.record.request.clone(),
            class,
            kind: route.rule.kind,
            key,
            deadline,
            fingerprint,
            key_fingerprint: content.key_fingerprint(route.name()),
            content,
        };
        let balancer = self.balancers.service(now, &snapshot, route.service);
        self.follow(call, plan, &balancer, trace).await
    }

    /// Follows the plan of a call to its end.
    async fn follow(
        &self,
        mut call: EntryCall<'_>,
        plan: PlanCall,
        balancer: &Arc<ServiceBalancer>,
        trace: &mut CallTrace,
    ) -> EntryEnd {
        // A streamed body is gone after the first attempt, as in a call that is part of a retry.
        let nested = plan.nested || call.content.is_stream();
        let marked = plan.nested;
        let plan = RequestPlan::new(PlanCall { nested, ..plan });
        let mut guard = PlanGuard { plan, balancer: balancer.clone(), clock: self.clock };
        let now = self.clock.now();
        let mut answer = None;
        let (mut step, mut entry) =
            balancer.step(|view, targets, budget| guard.plan.start(now, view, targets, budget));
        loop {
            let (target, deadline, retry) = match step {
                PlanStep::Answer(end) => return self.in_time(call.deadline, end, answer),
                PlanStep::Dispatch { target, deadline, retry } => (target, deadline, retry),
            };
            let retry = retry && (marked || !call.content.is_stream());
            trace.push(CallStep::Sent { target: target.name.clone(), retry });
            let attempt = self.attempt(&mut call, entry, deadline, retry, trace).await;
            let end = attempt.end;
            trace.push(CallStep::Ended { code: end.code, from_target: end.from_target });
            if let Some(code) = call.content.failure().filter(|_| is_broken(end.code)) {
                // The body failed, not the target: the plan ends without counting against it.
                let dispatched = end.code.outcome() != Some(CallOutcome::NotRun);
                let code = if dispatched { end.code } else { code };
                return (guard.plan.refuse(code, None), None);
            }
            answer = attempt.answer;
            let now = self.clock.now();
            (step, entry) = balancer
                .step(|view, targets, budget| guard.plan.resume(now, view, targets, budget, &end));
        }
    }

    /// Keeps back an answer that is late, such as one that waited while this process was paused.
    fn in_time(
        &self,
        deadline: CallDeadline,
        end: PlanAnswer,
        answer: Option<Response>,
    ) -> EntryEnd {
        if answer.is_some() && deadline.is_over(self.clock.now()) {
            let code = ResultCode::PatienceOver;
            return (PlanAnswer { code, cause: Some(end.code), retry_after: None }, None);
        }
        (end, answer)
    }
}

/// Ends the plan of a call whose caller has gone.
struct PlanGuard {
    plan: RequestPlan,
    balancer: Arc<ServiceBalancer>,
    clock: CallClock,
}

impl Drop for PlanGuard {
    fn drop(&mut self) {
        self.balancer.abandon(self.clock.now(), &mut self.plan);
    }
}

/// Whether an attempt may have ended with this code because the body of the request failed.
fn is_broken(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::ConnectFailed
            | ResultCode::LinkLost
            | ResultCode::UpstreamLost
            | ResultCode::AnswerTruncated
    )
}

fn plain(code: ResultCode) -> PlanAnswer {
    PlanAnswer { code, cause: None, retry_after: None }
}

/// The code for a request that could not be read.
pub(crate) fn fault_code(fault: HttpFault) -> ResultCode {
    match fault {
        HttpFault::HeadTooLarge => ResultCode::HeadTooLarge,
        _ => ResultCode::BadRequest,
    }
}

/// The idempotency key of a request. Fails with 210 when it is empty or too long.
fn scan_idempotency(request: &Request) -> Result<Option<Arc<str>>, ResultCode> {
    let Some(values) = request.header(IDEMPOTENCY_HEADER) else { return Ok(None) };
    let key = values.last().as_str();
    if values.iter().count() > 1 || !(1..=KEY_LIMIT_BYTES).contains(&key.len()) {
        return Err(ResultCode::BadRequest);
    }
    Ok(Some(key.into()))
}
