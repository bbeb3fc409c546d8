//! Feeds results of attempts into plans and checks what the caller is told.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AttemptEnd, CallParams, CallPlan, PlanStep, PriorityCounts, RateLimit, RequestKind,
    RetryAllowance, RetryBudget, SlotLoad, StorePosition, TargetFeedback, TargetListing,
    TargetPicker, TargetState,
};

const NOW: ClockTime = ClockTime::new(10_000);

fn load(running: u32, waiting: u32, service_time: u64) -> SlotLoad {
    let service_time = ClockSpan::new(service_time);
    let mut queued = PriorityCounts::new();
    queued.add(2, waiting);
    SlotLoad {
        running,
        queued,
        service_time,
        route_service_time: Some(service_time),
        ingress_delay: ClockSpan::ZERO,
        rate_limit: None,
        rate_delay: ClockSpan::ZERO,
    }
}

fn entry(id: &str, host: u8, data_centre: &str) -> TargetListing {
    TargetListing {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, host], 80)),
        data_centre: data_centre.into(),
        slots: 6,
        state: TargetState::Ready,
        cold_time_left: ClockSpan::ZERO,
        started_ms: 1,
        sequence: 1,
        position: StorePosition { era: 0, revision: 1 },
    }
}

fn picker(entries: &[TargetListing]) -> TargetPicker {
    let mut picker = TargetPicker::new("here".into(), 1);
    for entry in entries {
        picker.insert(NOW, entry);
    }
    picker
}

fn call(now: ClockTime, route: &str, body_bytes: usize) -> CallParams {
    CallParams {
        service: "s".into(),
        route: route.into(),
        priority: 2,
        kind: RequestKind::Idempotent,
        max_attempts: 2,
        arrived: now,
        soft_deadline: now + ClockSpan::new(400),
        deadline: now + ClockSpan::new(1_000),
        body_bytes,
    }
}

fn plan(kind: RequestKind, max_attempts: u32) -> CallPlan {
    CallPlan::new(CallParams { kind, max_attempts, ..call(NOW, "r", 0) })
}

fn allowance() -> RetryAllowance {
    RetryAllowance::new(0.2, 60.0, 3)
}

/// A retry budget after many calls.
fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::new();
    for _ in 0..1_000 {
        budget.record_call(allowance());
    }
    budget
}

/// Runs a plan with the given results of attempts, and returns the last step and the targets.
fn run_plan(plan: &mut CallPlan, attempt_ends: &[AttemptEnd]) -> (PlanStep, Vec<Arc<str>>) {
    let entries = [entry("a", 1, "here"), entry("b", 2, "here"), entry("c", 3, "here")];
    let mut picker = picker(&entries);
    let mut budget = full_budget();
    let mut targets = Vec::new();
    let mut step = plan.next_step(NOW, &mut picker, &mut budget, allowance());
    for end in attempt_ends {
        if let PlanStep::Send { target, .. } = &step {
            targets.push(target.id.clone());
        }
        plan.record_end(*end);
        step = plan.next_step(NOW, &mut picker, &mut budget, allowance());
    }
    (step, targets)
}

/// Guards against a second run of a request that may have run.
#[test]
fn lost_payment_is_not_retried() {
    for kind in [RequestKind::NonIdempotent, RequestKind::Upload] {
        let (step, _) = run_plan(&mut plan(kind, 3), &[AttemptEnd::Lost]);
        assert_eq!(step, PlanStep::Fail);
    }
}

/// Guards against the answer "not run" for a request that may have run.
#[test]
fn refusal_after_loss_is_reported_as_unknown() {
    let refused = AttemptEnd::Refused { retry_after: ClockSpan::new(100) };
    let attempt_ends = [AttemptEnd::Lost, refused, refused, refused, refused];
    let (step, _) = run_plan(&mut plan(RequestKind::Idempotent, 9), &attempt_ends);
    assert_eq!(step, PlanStep::Fail);
}

/// A request that certainly has not run is sent to another target, even if it is not idempotent.
#[test]
fn unsent_payment_goes_elsewhere() {
    for end in [AttemptEnd::NotSent, AttemptEnd::Rejected, AttemptEnd::Busy] {
        let (step, targets) = run_plan(&mut plan(RequestKind::NonIdempotent, 3), &[end]);
        let PlanStep::Send { target, .. } = step else { panic!("{end:?}: {step:?}") };
        if end != AttemptEnd::Busy {
            assert!(
                !targets.contains(&target.id),
                "{end:?}: the request was sent to the same target again"
            );
        }
    }
}

/// Guards against more attempts than the operators allow.
#[test]
fn attempts_are_limited() {
    let (step, targets) =
        run_plan(&mut plan(RequestKind::Idempotent, 2), &[AttemptEnd::Lost, AttemptEnd::Lost]);
    assert_eq!(targets.len(), 2);
    assert_eq!(step, PlanStep::Fail);
}

/// Guards against an error of a target that is replaced by a 502 when its retry is refused.
#[test]
fn answered_failure_is_passed_on() {
    let refused = AttemptEnd::Refused { retry_after: ClockSpan::new(100) };
    let attempt_ends = [AttemptEnd::Answered { failed: true }, refused, refused];
    let (step, _) = run_plan(&mut plan(RequestKind::Idempotent, 3), &attempt_ends);
    assert_eq!(step, PlanStep::Answer);
}

/// Guards against retries beyond the allowance of the fleet.
#[test]
fn retries_need_budget() {
    let entries = [entry("a", 1, "here"), entry("b", 2, "here")];
    let mut picker = picker(&entries);
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..100 {
        let mut plan = plan(RequestKind::Idempotent, 2);
        plan.next_step(NOW, &mut picker, &mut budget, allowance());
        plan.record_end(AttemptEnd::Lost);
        if let PlanStep::Send { .. } = plan.next_step(NOW, &mut picker, &mut budget, allowance()) {
            retries += 1;
        }
    }
    assert!((5..=10).contains(&retries), "{retries} retries of 100 calls at a ratio of 0.2");
}

/// Guards against traffic between data centres while there is local capacity.
#[test]
fn calls_stay_in_their_data_centre() {
    let mut picker = picker(&[entry("near", 1, "here"), entry("far", 2, "there")]);
    let busy = load(6, 1, 120);
    picker.record_load(NOW, "near", &"r".into(), busy);
    let picked = picker.pick(NOW, &call(NOW, "r", 0), &[]).expect("two targets are ready");
    assert_eq!(&*picked.id, "near");
    let full = load(6, 30, 120);
    picker.record_load(NOW, "near", &"r".into(), full);
    let picked = picker.pick(NOW, &call(NOW, "r", 0), &[]).expect("two targets are ready");
    assert!(picked.is_remote, "a queue time of 600 ms was preferred to another data centre");
    let picked = picker.pick(NOW, &call(NOW, "r", 200_000), &[]).expect("two targets are ready");
    assert!(!picked.is_remote, "a large body was sent to another data centre");
}

/// Guards against urgent calls that are sent to another data centre although they overtake all
/// queued calls in their own.
#[test]
fn urgent_calls_pass_the_local_queue() {
    let mut picker = picker(&[entry("near", 1, "here"), entry("far", 2, "there")]);
    picker.record_load(NOW, "near", &"r".into(), load(6, 30, 120));
    let urgent = CallParams { priority: 1, ..call(NOW, "r", 0) };
    let picked = picker.pick(NOW, &urgent, &[]).expect("two targets are ready");
    assert_eq!(&*picked.id, "near");
    let picked = picker.pick(NOW, &call(NOW, "r", 0), &[]).expect("two targets are ready");
    assert!(picked.is_remote, "a queue time of 600 ms was preferred to another data centre");
}

/// Guards against calls that are sent to another data centre only because a target there is faster,
/// although a slower local target also meets the soft deadline. A local target that would miss it
/// is not selected.
#[test]
fn calls_cross_only_for_their_aim() {
    for (time, is_remote) in [(280, false), (380, true)] {
        let mut picker = picker(&[entry("near", 1, "here"), entry("far", 2, "there")]);
        for _ in 0..20 {
            picker.record_load(NOW, "far", &"r".into(), load(0, 0, 100));
        }
        picker.record_load(NOW, "near", &"r".into(), load(0, 0, time));
        picker.record_load(NOW, "near", &"r".into(), load(0, 0, time));
        let picked = picker.pick(NOW, &call(NOW, "r", 0), &[]).expect("two targets are ready");
        assert_eq!(picked.is_remote, is_remote, "a local call takes {time} ms");
    }
}

/// Guards against a target that is avoided because its only calls were of a slow route, so that
/// calls of a fast route are sent to another data centre instead.
#[test]
fn long_calls_do_not_make_a_target_slow() {
    let mut picker = picker(&[entry("near", 1, "here"), entry("far", 2, "there")]);
    let (long, short) = ("long".into(), "short".into());
    let times = |service, route_time| SlotLoad {
        route_service_time: Some(ClockSpan::new(route_time)),
        ..load(0, 0, service)
    };
    for _ in 0..10 {
        picker.record_load(NOW, "far", &long, times(60, 400));
        picker.record_load(NOW, "far", &short, times(60, 40));
    }
    picker.record_load(NOW, "near", &long, times(400, 400));
    let picked = picker.pick(NOW, &call(NOW, "short", 0), &[]).expect("two targets are ready");
    assert_eq!(&*picked.id, "near");
}

/// Guards against a target that was slow once and is never tried again.
#[test]
fn slow_target_is_tried_again() {
    let mut picker = picker(&[entry("slow", 1, "here"), entry("far", 2, "there")]);
    picker.record_load(NOW, "far", &"r".into(), load(0, 0, 100));
    picker.record_load(NOW, "slow", &"r".into(), load(0, 0, 900));
    let pick = |picker: &mut TargetPicker, now| {
        picker.pick(now, &call(now, "r", 0), &[]).expect("two targets are ready").is_remote
    };
    assert!(pick(&mut picker, NOW), "the slow target was selected");
    assert!(
        !pick(&mut picker, NOW + ClockSpan::new(12_000)),
        "the slow target was not tried again"
    );
}

/// Guards against a selection whose cost grows with the fleet. Of thousands of targets it considers
/// a few, and it distributes the calls over all of them.
#[test]
fn calls_spread_over_a_large_service() {
    let entries: Vec<_> = (0..2_000u32)
        .map(|index| {
            let [_, _, high, low] = index.to_be_bytes();
            let address = SocketAddr::from(([10, 1, high, low], 80));
            TargetListing { address, ..entry(&format!("t{index}"), 1, "here") }
        })
        .collect();
    let mut picker = picker(&entries);
    let mut chosen = std::collections::BTreeSet::new();
    for _ in 0..1_000 {
        let picked = picker.pick(NOW, &call(NOW, "r", 0), &[]).expect("all targets are ready");
        chosen.insert(picked.id);
    }
    assert!(chosen.len() > 600, "only {} of 2,000 targets were selected", chosen.len());
}

/// Guards against uploads that are all sent to the target that looks idle because its link is
/// saturated with uploads.
#[test]
fn uploads_avoid_full_links() {
    let mut picker = picker(&[entry("full", 1, "here"), entry("free", 2, "here")]);
    picker.record_load(
        NOW,
        "full",
        &"r".into(),
        SlotLoad { ingress_delay: ClockSpan::new(400), ..load(0, 0, 100) },
    );
    picker.record_load(NOW, "free", &"r".into(), load(5, 0, 100));
    let picked = picker.pick(NOW, &call(NOW, "r", 60_000), &[]).expect("two targets are ready");
    assert_eq!(&*picked.id, "free");
    let picked = picker.pick(NOW, &call(NOW, "r", 100), &[]).expect("two targets are ready");
    assert_eq!(
        &*picked.id, "full",
        "a small body avoided a link that is saturated with large ones"
    );
}

/// Guards against calls to targets that cannot accept them: draining, replaced or unreachable.
#[test]
fn unusable_targets_are_passed_over() {
    let mut picker = picker(&[entry("a", 1, "here"), entry("b", 2, "here")]);
    let draining = TargetListing { state: TargetState::Draining, ..entry("a", 1, "here") };
    picker.insert(NOW, &draining);
    for _ in 0..20 {
        let picked = picker.pick(NOW, &call(NOW, "r", 0), &[]).expect("one target is ready");
        assert_eq!(&*picked.id, "b");
    }
    picker.record_sent("b", 0);
    picker.record_end(NOW, "b", TargetFeedback::Replaced);
    assert_eq!(picker.pick(NOW, &call(NOW, "r", 0), &[]), None);
    let later = NOW + ClockSpan::new(4_000);
    assert!(picker.pick(later, &call(later, "r", 0), &[]).is_some());
    picker.set_reachable(entry("b", 2, "here").address.ip(), false);
    assert_eq!(picker.pick(later, &call(later, "r", 0), &[]), None);
}

/// Guards against a target that fails its calls but looks idle, and therefore attracts more of
/// them.
#[test]
fn failing_target_is_avoided() {
    let mut picker = picker(&[entry("bad", 1, "here"), entry("good", 2, "here")]);
    let mut sent = 0;
    let mut now = NOW;
    for _ in 0..200 {
        now = now + ClockSpan::new(20);
        let picked = picker.pick(now, &call(now, "r", 0), &[]).expect("two targets are ready");
        picker.record_sent(&picked.id, 0);
        let failed = &*picked.id == "bad";
        sent += u32::from(failed);
        let signal = if failed { TargetFeedback::Failed } else { TargetFeedback::Served };
        picker.record_end(now, &picked.id, signal);
        let load = load(1, 0, 100);
        picker.record_load(now, &picked.id, &"r".into(), load);
    }
    assert!(sent < 40, "{sent} of 200 calls were sent to the failing target");
}

/// Guards against calls that ask full targets repeatedly: each call asks each target once.
#[test]
fn full_targets_are_asked_once_by_a_call() {
    let refused = AttemptEnd::Refused { retry_after: ClockSpan::new(100) };
    let (step, mut targets) = run_plan(&mut plan(RequestKind::Idempotent, 9), &[refused; 6]);
    assert_eq!(step, PlanStep::Refuse { retry_after: ClockSpan::new(100) });
    targets.sort_unstable();
    assert_eq!(targets.iter().map(|id| &**id).collect::<Vec<_>>(), ["a", "b", "c"]);
}

/// Guards against callers that miss their soft deadline by waiting, although a target has only
/// rejected them.
#[test]
fn rejected_caller_comes_back_soon() {
    let (step, _) = run_plan(&mut plan(RequestKind::NonIdempotent, 1), &[AttemptEnd::Rejected]);
    let PlanStep::Refuse { retry_after } = step else { panic!("{step:?}") };
    // The soft deadline is 400 ms away, and a run takes 150 ms.
    assert!(retry_after < ClockSpan::new(100), "{retry_after:?}");
}

/// Guards against calls that all leave their data centre because its targets reject some of them:
/// remote targets may reject them too. A target that fails most calls is avoided in favour of a
/// remote one.
#[test]
fn calls_cross_from_targets_that_fail_most() {
    for (failed_of_ten, is_remote) in [(0, false), (3, false), (10, true)] {
        let mut picker = picker(&[entry("near", 1, "here"), entry("far", 2, "there")]);
        picker.record_load(NOW, "near", &"r".into(), load(0, 0, 150));
        for call in 0..100 {
            let failed = call % 10 < failed_of_ten;
            let signal = if failed { TargetFeedback::Failed } else { TargetFeedback::Served };
            picker.record_end(NOW, "near", signal);
        }
        let picked = picker.pick(NOW, &call(NOW, "r", 0), &[]).expect("two targets are ready");
        assert_eq!(picked.is_remote, is_remote, "{failed_of_ten} of ten local calls fail");
    }
}

/// Guards against calls that wait for the rate limit of one target while another one is free.
#[test]
fn limited_target_is_chosen_only_when_its_rate_allows() {
    let mut picker = picker(&[entry("limited", 1, "here"), entry("free", 2, "here")]);
    let limited = |rate_delay| SlotLoad {
        rate_limit: RateLimit::new(2.0),
        rate_delay: ClockSpan::new(rate_delay),
        ..load(0, 0, 100)
    };
    picker.record_load(NOW, "free", &"r".into(), load(5, 0, 100));
    picker.record_load(NOW, "limited", &"r".into(), limited(400));
    let mut pick = |now| picker.pick(now, &call(now, "r", 0), &[]).expect("two targets are ready");
    assert_eq!(&*pick(NOW).id, "free");
    let later = NOW + ClockSpan::new(500);
    let picked = pick(later);
    assert_eq!(&*picked.id, "limited", "the limit allows a call again");
    assert_eq!(picked.rate_limit, RateLimit::new(2.0));
}

/// Guards against a target that is used again although it has stated its departure, because its
/// entry disappears and returns while the store fails.
#[test]
fn departed_target_is_not_used_again() {
    let listed = entry("leaving", 1, "here");
    let mut picker = picker(std::slice::from_ref(&listed));
    let target = picker.pick(NOW, &call(NOW, "r", 0), &[]).expect("the target is ready");
    assert!(picker.record_departure(NOW, &target));
    assert!(!picker.record_departure(NOW, &target));
    assert_eq!(picker.pick(NOW, &call(NOW, "r", 0), &[]), None);
    picker.remove("leaving");
    let later = NOW + ClockSpan::new(60_000);
    picker.insert(later, &listed);
    assert_eq!(picker.pick(later, &call(later, "r", 0), &[]), None, "its entry has returned");
    picker.insert(later, &TargetListing { started_ms: 2, ..listed });
    assert!(picker.pick(later, &call(later, "r", 0), &[]).is_some(), "it has started again");
}

/// Guards against callers that are refused by the limited targets of their own data centre while a
/// target of another one is free, also if they have missed their soft deadline already.
#[test]
fn calls_beyond_the_limit_are_sent_to_another_data_centre() {
    for soft_timeout in [0, 400] {
        let mut picker = picker(&[entry("limited", 1, "here"), entry("free", 2, "there")]);
        let limited = SlotLoad { rate_limit: RateLimit::new(2.0), ..load(0, 0, 100) };
        picker.record_load(NOW, "free", &"r".into(), load(0, 0, 100));
        picker.record_load(NOW, "limited", &"r".into(), limited);
        let call = |priority| CallParams {
            priority,
            soft_deadline: NOW + ClockSpan::new(soft_timeout),
            ..call(NOW, "r", 0)
        };
        let refused: Vec<Arc<str>> = vec!["limited".into()];
        let next = picker.pick(NOW, &call(2), &refused).map(|target| target.id);
        assert_eq!(next.as_deref(), Some("free"), "the refused call");
        picker.record_refusal(NOW, "limited", 2, ClockSpan::new(900));
        let next = picker.pick(NOW, &call(2), &[]).map(|target| target.id);
        assert_eq!(next.as_deref(), Some("free"), "a call after the refusal");
        let next = picker.pick(NOW, &call(1), &[]).map(|target| target.id);
        assert_eq!(next.as_deref(), Some("limited"), "a more urgent call");
        let later = NOW + ClockSpan::new(1_000);
        let next = picker.pick(later, &CallParams { ..call(2) }, &[]).map(|target| target.id);
        assert_eq!(next.as_deref(), Some("limited"), "a call after that time");
    }
}
