//! Runs an attempt of a request, and a second one beside it if the first is slow.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{BufferedResponse, lock};
use fescuestack_operators::HedgeEvent;
use fescuestack_routing::{
    AttemptEnd, CallParams, HedgeDecision, HedgeHold, PickedTarget, SecondTarget, SlowCall,
};
use futures_lite::future;

use crate::entry::{EntryAttempt, EntryCall, EntryProgress};
use crate::node::NodeState;

/// Sends a request to a target, and to a second one if the first is slow and the operators' policy
/// allows it. Records the ends of both in the plan and returns the response to pass on, if there is
/// one.
pub(crate) async fn run_attempt(
    call: &EntryCall,
    state: &Arc<NodeState>,
    progress: &mut EntryProgress<'_>,
    target: &PickedTarget,
    wait_limit: ClockSpan,
) -> Option<BufferedResponse> {
    let params = progress.plan.call().clone();
    let sent_at = state.clock.now();
    progress.trace.times.before_last_attempt = sent_at.since(params.arrived).millis();
    let mut first = std::pin::pin!(call.attempt(state, &params, target, wait_limit));
    let mut held = HeldBack { state, call, service: &params.service, reason: None };
    let mut check_after = first_check(state, &params);
    let second = loop {
        let ended = async { Some(first.as_mut().await) };
        let Some(wait) = check_after else { break None };
        let due = async {
            task::sleep(Duration::from_millis(wait.millis())).await;
            None
        };
        if let Some(attempt) = future::or(ended, due).await {
            record_first(call, state, progress, &params, target, &attempt, sent_at);
            return attempt.response;
        }
        match decide(call, state, progress, sent_at) {
            Ok(second) => break Some(second),
            Err((reason, interval)) => {
                held.reason = reason;
                check_after = interval;
            }
        }
    };
    let Some(second) = second else {
        let attempt = first.await;
        record_first(call, state, progress, &params, target, &attempt, sent_at);
        return attempt.response;
    };
    held.reason = None;
    progress.plan.record_hedge();
    let mut other = std::pin::pin!(call.attempt(state, &params, &second.target, ClockSpan::ZERO));
    let earliest =
        future::or(async { (true, first.as_mut().await) }, async { (false, other.as_mut().await) });
    let (is_first, attempt) = earliest.await;
    let is_answer = attempt.end == AttemptEnd::Answered { failed: false };
    if is_answer && !is_first {
        let now = state.clock.now();
        if let Some(hedges) = &mut lock(&state.routing).hedges {
            hedges.record_cancelled(now, &params.route, now.since(sent_at));
        }
    }
    record(call, state, progress, &params, (target, &second, is_first), &attempt, sent_at);
    if is_answer {
        // Both futures are dropped on return, which cancels the other run at its target.
        state.metrics.record_hedge(&params.service, HedgeEvent::Cancelled);
        return attempt.response;
    }
    let last = if is_first { other.await } else { first.await };
    record(call, state, progress, &params, (target, &second, !is_first), &last, sent_at);
    last.response.or(attempt.response)
}

/// Returns the time after which a call counts as slow, or `None` if it never gets a second request.
fn first_check(state: &NodeState, params: &CallParams) -> Option<ClockSpan> {
    let routing = lock(&state.routing);
    let hedges = routing.hedges.as_ref().filter(|_| params.kind.is_idempotent())?;
    hedges.delay(&params.route)
}

/// Decides on a second request. If it is held back, returns the reason and the time after which to
/// decide again.
fn decide(
    call: &EntryCall,
    state: &NodeState,
    progress: &EntryProgress<'_>,
    sent_at: ClockTime,
) -> Result<SecondTarget, (Option<HedgeHold>, Option<ClockSpan>)> {
    if !state.stop.allows(call.deadline) {
        return Err((None, None));
    }
    let now = state.clock.now();
    let elapsed = now.since(sent_at);
    let is_suspected = lock(&state.crashes).is_suspected(now, call.fingerprint);
    let slow = SlowCall { plan: &progress.plan, elapsed, is_suspected };
    let decision = lock(&state.routing).decide_hedge(now, slow);
    match decision {
        Some(HedgeDecision::Send { second, remaining, delay }) => {
            let service = &progress.plan.call().service;
            state.metrics.record_hedge(service, HedgeEvent::Sent);
            log::info!(request = call.request_id(), target = &*second.target.id,
                route = &*call.route.name, service = &**service, waited_ms = elapsed.millis(),
                usual_ms = delay.millis(), first_ms = remaining.millis(),
                second_ms = second.expected.millis(), crosses = second.target.is_remote;
                "second request sent for a slow call");
            Ok(second)
        }
        Some(HedgeDecision::Hold { reason, check_after }) => Err((Some(reason), check_after)),
        None => Err((None, None)),
    }
}

/// Records the end of the only attempt, or of the first of two.
fn record_first(
    call: &EntryCall,
    state: &NodeState,
    progress: &mut EntryProgress<'_>,
    params: &CallParams,
    target: &PickedTarget,
    attempt: &EntryAttempt,
    sent_at: ClockTime,
) {
    call.record_attempt(progress.trace, target, attempt);
    progress.plan.record_end(attempt.end);
    let now = state.clock.now();
    if let Some(hedges) = &mut lock(&state.routing).hedges {
        hedges.record_end(now, params, attempt.end, now.since(sent_at));
    }
}

/// Records the end of one of two attempts.
fn record(
    call: &EntryCall,
    state: &NodeState,
    progress: &mut EntryProgress<'_>,
    params: &CallParams,
    (target, second, is_first): (&PickedTarget, &SecondTarget, bool),
    attempt: &EntryAttempt,
    sent_at: ClockTime,
) {
    if is_first {
        return record_first(call, state, progress, params, target, attempt, sent_at);
    }
    call.record_attempt(progress.trace, &second.target, attempt);
    progress.plan.record_hedge_end(&second.target, attempt.end);
    let event = match attempt.end {
        AttemptEnd::Answered { failed: false } => HedgeEvent::Won,
        _ => HedgeEvent::Failed,
    };
    state.metrics.record_hedge(&params.service, event);
}

/// Why a slow call has no second request. Recorded when its attempt ends or is cancelled.
struct HeldBack<'a> {
    state: &'a NodeState,
    call: &'a EntryCall,
    service: &'a str,
    reason: Option<HedgeHold>,
}

impl Drop for HeldBack<'_> {
    fn drop(&mut self) {
        let Some(reason) = self.reason else { return };
        self.state.metrics.record_hedge(self.service, HedgeEvent::Held(reason.label()));
        log::debug!(request = self.call.request_id(), route = &*self.call.route.name,
            service = self.service, reason = reason.label();
            "no second request for a slow call");
    }
}
