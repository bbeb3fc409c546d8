//! Checks which targets get calls during evacuations of data centres.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AttemptEnd, CallParams, CallPlan, EvacuationSet, PlanStep, RequestKind, RetryAllowance,
    RetryBudget, StorePosition, TargetListing, TargetPicker, TargetState,
};

const NOW: ClockTime = ClockTime::new(10_000);

fn entry(id: &str, data_centre: &str) -> TargetListing {
    let host = id.bytes().last().unwrap_or(0);
    TargetListing {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, host], 80).into(),
        data_centre: data_centre.into(),
        slots: 6,
        state: TargetState::Ready,
        cold_time_left: ClockSpan::ZERO,
        started_ms: 1,
        sequence: 1,
        position: StorePosition { era: 0, revision: 1 },
    }
}

fn call(now: ClockTime) -> CallParams {
    CallParams {
        service: "s".into(),
        route: "r".into(),
        priority: 0,
        kind: RequestKind::NonIdempotent,
        max_attempts: 2,
        arrived: now,
        soft_deadline: now + ClockSpan::new(400),
        deadline: now + ClockSpan::new(1_000),
        body_bytes: 0,
    }
}

/// A picker in `here`, with two targets there, two in `there` and one in `far`.
fn picker() -> TargetPicker {
    let mut picker = TargetPicker::new("here".into(), 1);
    for (id, centre) in
        [("a1", "here"), ("a2", "here"), ("b3", "there"), ("b4", "there"), ("c5", "far")]
    {
        picker.insert(NOW, &entry(id, centre));
    }
    picker
}

/// First letters of the targets that 200 calls are sent to.
fn picked(picker: &mut TargetPicker, now: ClockTime) -> String {
    let mut letters: Vec<_> =
        (0..200).filter_map(|_| picker.pick(now, &call(now), &[])?.id.chars().next()).collect();
    letters.sort_unstable();
    letters.dedup();
    letters.into_iter().collect()
}

/// Guards against an evacuation that ends although nobody has taken it back: with a restore of the
/// store from an older copy, or with the end of another one.
#[test]
fn evacuation_ends_only_when_its_key_is_removed() {
    let mut evacuations = EvacuationSet::new();
    assert!(evacuations.begin("here"));
    assert!(!evacuations.begin("here"), "the same key was written again");
    assert!(evacuations.begin("there"));
    assert!(evacuations.end("there"));
    assert!(evacuations.contains("here") && !evacuations.contains("there"));

    assert_eq!(evacuations.record_restore(|_| false), ["here".into()]);
    assert!(!evacuations.end("here"), "the copy lacks the key, which nobody has removed");
    assert!(evacuations.contains("here"));
    assert!(!evacuations.begin("here"), "it never ended");
    assert!(evacuations.end("here"));
    assert!(!evacuations.contains("here"));

    evacuations.begin("here");
    assert!(evacuations.record_restore(|centre| centre == "here").is_empty());
    assert!(evacuations.end("here"), "the copy holds the key, and it was removed since");
}

/// Guards against calls to targets of an evacuated data centre, also to ones that are listed meanwhile,
/// and against callers in it that are not served from elsewhere.
#[test]
fn evacuated_targets_get_no_calls() {
    let (here, there): (Arc<str>, Arc<str>) = ("here".into(), "there".into());
    let mut picker = picker();
    assert_eq!(picked(&mut picker, NOW), "a");
    assert_eq!(picker.set_evacuated(NOW, &here, true), 2);
    picker.insert(NOW, &entry("a6", "here"));
    assert_eq!(picked(&mut picker, NOW), "bc");
    assert_eq!(picker.set_evacuated(NOW, &there, true), 2);
    assert_eq!(picked(&mut picker, NOW), "c");
    picker.remove("a1");
    assert_eq!(picked(&mut picker, NOW), "c");
    assert_eq!(picker.set_evacuated(NOW, &here, false), 2);
    assert_eq!(picked(&mut picker, NOW), "a");
    assert_eq!(picker.evacuated_count(), 1);
}

/// Guards against a request that is refused with a reason that keeps its client from a retry, or is
/// charged to the retry budget, when no data centre is left.
#[test]
fn request_is_not_run_when_all_data_centres_are_evacuated() {
    let mut picker = picker();
    for centre in ["here", "there", "far"] {
        picker.set_evacuated(NOW, &centre.into(), true);
    }
    let mut plan = CallPlan::new(call(NOW));
    let step = plan.next_step(
        NOW,
        &mut picker,
        &mut RetryBudget::new(),
        RetryAllowance::new(0.2, 60.0, 3),
    );
    assert!(matches!(step, PlanStep::Refuse { retry_after } if !retry_after.is_zero()), "{step:?}");
}

/// Guards against a node that is behind and asks one evacuated target after the other until it gives
/// up, and against one that avoids the data centre for long after the evacuation.
#[test]
fn refusal_because_of_an_evacuation_tells_of_all_its_targets() {
    let mut picker = picker();
    let mut budget = RetryBudget::new();
    let allowance = RetryAllowance::new(0.2, 60.0, 3);
    let mut plan = CallPlan::new(call(NOW));
    let PlanStep::Send { target, .. } = plan.next_step(NOW, &mut picker, &mut budget, allowance)
    else {
        panic!("no target");
    };
    assert!(target.id.starts_with('a'));
    picker.record_evacuation(NOW, &target.id);
    plan.record_end(AttemptEnd::Moved);
    let step = plan.next_step(NOW, &mut picker, &mut budget, allowance);
    let PlanStep::Send { target, .. } = step else { panic!("not sent elsewhere: {step:?}") };
    assert!(!target.id.starts_with('a'), "sent to {}", target.id);
    assert_eq!(picked(&mut picker, NOW + ClockSpan::new(999)), "bc");
    assert_eq!(picked(&mut picker, NOW + ClockSpan::new(1_000)), "a");
}
