//! Feeds all short sequences of results into plans and checks when a caller is told that its request has
//! not run.

use std::net::SocketAddr;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AttemptEnd, CallParams, CallPlan, PlanStep, RequestKind, RetryAllowance, RetryBudget,
    StorePosition, TargetListing, TargetPicker, TargetState,
};

const NOW: ClockTime = ClockTime::new(10_000);

/// Number of attempts in each sequence.
const ATTEMPTS: usize = 3;

/// Results after which the request may have run.
const MAY_HAVE_RUN: [AttemptEnd; 4] = [
    AttemptEnd::Answered { failed: false },
    AttemptEnd::Answered { failed: true },
    AttemptEnd::Lost,
    AttemptEnd::LinkLost,
];

/// Results after which the request has not run in this attempt.
const NOT_RUN: [AttemptEnd; 6] = [
    AttemptEnd::Busy,
    AttemptEnd::Refused { retry_after: ClockSpan::ZERO },
    AttemptEnd::Rejected,
    AttemptEnd::NotSent,
    AttemptEnd::Moved,
    AttemptEnd::Down,
];

fn picker() -> TargetPicker {
    let mut picker = TargetPicker::new("here".into(), 1);
    for host in 1..=8 {
        picker.insert(
            NOW,
            &TargetListing {
                id: format!("t{host}").as_str().into(),
                service: "s".into(),
                address: SocketAddr::from(([10, 0, 0, host], 80)),
                data_centre: "here".into(),
                slots: 6,
                state: TargetState::Ready,
                cold_time_left: ClockSpan::ZERO,
                started_ms: 1,
                sequence: 1,
                position: StorePosition { era: 0, revision: 1 },
            },
        );
    }
    picker
}

fn plan(kind: RequestKind) -> CallPlan {
    CallPlan::new(CallParams {
        service: "s".into(),
        route: "r".into(),
        priority: 2,
        kind,
        max_attempts: 4,
        arrived: NOW,
        soft_deadline: NOW + ClockSpan::new(400),
        deadline: NOW + ClockSpan::new(1_000),
        body_bytes: 0,
    })
}

/// Returns all sequences of results.
fn sequences() -> Vec<Vec<AttemptEnd>> {
    let ends: Vec<_> = MAY_HAVE_RUN.into_iter().chain(NOT_RUN).collect();
    let mut sequences = vec![Vec::new()];
    for _ in 0..ATTEMPTS {
        let longer = sequences.iter().flat_map(|sequence: &Vec<_>| {
            ends.iter().map(move |end| [sequence.as_slice(), &[*end]].concat())
        });
        sequences = longer.collect();
    }
    sequences
}

/// Plays a sequence until the plan ends. With `hedge_end`, a second request beside the first attempt ends
/// that way before it. Checks the plan after each result.
fn play(kind: RequestKind, sequence: &[AttemptEnd], hedge_end: Option<AttemptEnd>) {
    let (mut plan, mut picker, mut budget) = (plan(kind), picker(), RetryBudget::new());
    let allowance = RetryAllowance::new(0.2, 60.0, 1);
    for _ in 0..1_000 {
        budget.record_call(allowance);
    }
    let mut may_have_run = false;
    let mut ends = sequence.iter();
    loop {
        let step = plan.next_step(NOW, &mut picker, &mut budget, allowance);
        let case = format!("{kind:?} {sequence:?} {hedge_end:?}: {step:?}");
        assert!(!may_have_run || plan.may_have_run(), "{case}");
        match step {
            PlanStep::Refuse { .. } => return assert!(!may_have_run, "{case}"),
            PlanStep::Answer | PlanStep::Fail => return,
            PlanStep::Send { target, .. } => {
                assert!(!may_have_run || kind.is_idempotent(), "{case}");
                let Some(end) = ends.next() else { return };
                if ends.len() == sequence.len() - 1
                    && let Some(hedge_end) = hedge_end
                    && plan.may_hedge()
                {
                    plan.record_hedge();
                    plan.record_hedge_end(&target, hedge_end);
                    may_have_run |= MAY_HAVE_RUN.contains(&hedge_end);
                }
                plan.record_end(*end);
                may_have_run |= MAY_HAVE_RUN.contains(end);
            }
        }
    }
}

/// Guards against the statement that a request has not run, after any attempt in which it may have, and
/// against another attempt of a request that must run once.
#[test]
fn no_sequence_of_results_leads_to_a_false_refusal() {
    for sequence in sequences() {
        for kind in [RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Upload] {
            play(kind, &sequence, None);
        }
    }
}

/// Like the test before, with a second request for a slow call.
#[test]
fn no_result_of_a_second_request_leads_to_a_false_refusal() {
    for sequence in sequences() {
        for hedge_end in MAY_HAVE_RUN.into_iter().chain(NOT_RUN) {
            play(RequestKind::Idempotent, &sequence, Some(hedge_end));
        }
    }
}
