//! Ends of targets under load: which requests are suspect, and which targets get no calls.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use fescuestack_routing::{
    AttemptEnd, CallParams, CallPlan, CrashTracker, FailureStep, KnownOutage, OUTAGE_TTL,
    OutageChange, OutageNotice, OutageTracker, PlanStep, QUARANTINE_DURATION, RequestKind,
    RetryAllowance, RetryBudget, StorePosition, TargetListing, TargetPicker, TargetState,
};

const NOW: ClockTime = ClockTime::new(10_000);

/// A request that crashes each target that runs it.
const CRASHING: RequestFingerprint = RequestFingerprint::from_number(1);

fn requests(numbers: std::ops::Range<u64>) -> Vec<RequestFingerprint> {
    numbers.map(RequestFingerprint::from_number).collect()
}

/// Time of the end with the given number, when a target ends every 4 s.
fn end_time(index: u64) -> ClockTime {
    NOW + ClockSpan::new(4_000 * index)
}

fn target(index: u64) -> Arc<str> {
    format!("t{index}").into()
}

/// Guards against suspecting dozens of requests that were at work when a target fell over under
/// load.
#[test]
fn many_requests_at_one_end_are_not_suspect() {
    let mut tracker = CrashTracker::new();
    let running = requests(100..160);
    let evidence = tracker.record_end(NOW, &target(0), &running);
    assert_eq!((evidence.suspect(), evidence.quarantined), (None, 0));
    assert!(running.iter().all(|request| !tracker.is_quarantined(NOW, *request)));
}

/// Guards against sending a request on that crashes targets, because many others are at work beside
/// it each time.
#[test]
fn crashing_request_is_quarantined_among_others() {
    let mut tracker = CrashTracker::new();
    for index in 0..3 {
        assert!(!tracker.is_quarantined(end_time(index), CRASHING), "after {index} ends");
        let mut running = requests(100 * (index + 1)..100 * (index + 1) + 50);
        running.push(CRASHING);
        let evidence = tracker.record_end(end_time(index), &target(index), &running);
        let suspect = (index > 0).then_some((CRASHING, index as usize + 1));
        assert_eq!(evidence.suspect(), suspect);
        assert_eq!(evidence.quarantined, usize::from(index == 2));
    }
    let now = end_time(3);
    assert!(tracker.is_quarantined(now, CRASHING));
    assert!(requests(100..350).iter().all(|request| !tracker.is_quarantined(now, *request)));
    assert!(!tracker.is_quarantined(now + QUARANTINE_DURATION, CRASHING));
}

/// Guards against quarantining requests that load moves from one falling target to the next. They
/// are held at the latest before a crashing one among them has used up its three further tries.
#[test]
fn requests_that_share_their_ends_are_held_later() {
    let mut tracker = CrashTracker::new();
    let running = requests(100..104);
    for index in 0..5 {
        let held = running.iter().any(|request| tracker.is_quarantined(end_time(index), *request));
        assert!(!held, "after {index} ends");
        tracker.record_end(end_time(index), &target(index), &running);
    }
    assert!(running.iter().all(|request| tracker.is_quarantined(end_time(5), *request)));
    tracker.record_completion(end_time(5), running[0]);
    assert!(!tracker.is_quarantined(end_time(5), running[0]), "it has completed");
}

/// Guards against a crashing request that goes free because requests that ran beside it once are at
/// work beside it again. They are as suspect until they complete.
#[test]
fn completed_companions_do_not_hide_a_crashing_request() {
    let mut tracker = CrashTracker::new();
    let companions = requests(100..130);
    let running = [&companions[..], &[CRASHING]].concat();
    for index in 0..3 {
        tracker.record_end(end_time(index), &target(index), &running);
    }
    assert!(!tracker.is_quarantined(end_time(3), CRASHING));
    for request in &companions {
        tracker.record_completion(end_time(3), *request);
    }
    assert!(tracker.is_quarantined(end_time(3), CRASHING));
}

/// Guards against a started node that counts from zero, or counts an end twice of which several
/// nodes report.
#[test]
fn started_node_learns_the_ends() {
    let mut known = CrashTracker::new();
    let mut started = CrashTracker::new();
    for index in 0..2 {
        let others = requests(100 * (index + 1)..100 * (index + 1) + 20);
        known.record_end(end_time(index), &target(index), &[&others[..], &[CRASHING]].concat());
    }
    let ends = known.known_ends(end_time(2));
    assert_eq!(ends.len(), 2);
    started.merge(end_time(2), &ends);
    started.merge(end_time(2) + ClockSpan::new(100), &ends);
    assert!(!started.is_quarantined(end_time(2), CRASHING));
    started.record_end(end_time(2), &target(2), &[CRASHING]);
    assert!(started.is_quarantined(end_time(2), CRASHING));
}

/// Guards against memory that grows with the ends of targets, and against forgetting, among them, a
/// request that was at work at two ends.
#[test]
fn memory_is_bounded() {
    let mut tracker = CrashTracker::new();
    for index in 0..10_000 {
        let at = NOW + ClockSpan::new(10 * index);
        let mut running = requests(100 * (index + 1)..100 * (index + 1) + 50);
        if [0, 40, 9_000].contains(&index) {
            running.push(CRASHING);
        }
        tracker.record_end(at, &target(index), &running);
        let (requests, ends) = tracker.tracked();
        assert!(requests <= 4_096 && ends <= 4_097, "{requests} requests, {ends} ends");
    }
    assert!(tracker.is_quarantined(NOW + ClockSpan::new(100_000), CRASHING));
}

/// Guards against a probe for each call that an end breaks off, against taking a reset connection
/// for an end, and against probing a target that is down at an unbounded pace or too rarely.
#[test]
fn one_probe_decides() {
    let mut tracker = OutageTracker::new(7);
    assert_eq!(tracker.record_failure(), FailureStep::Probe);
    assert_eq!(tracker.record_failure(), FailureStep::Wait);
    assert_eq!(tracker.record_probe(true), None, "the target has reset a connection");
    assert!(!tracker.is_down());
    assert_eq!(tracker.record_failure(), FailureStep::Probe);
    assert_eq!(tracker.record_probe(false), Some(OutageChange::Ended));
    assert_eq!(tracker.record_failure(), FailureStep::Down);
    let ended = OutageNotice { node_start: 7, changes: 1, is_down: true };
    assert_eq!(tracker.notice(), ended);
    let mut delays = Vec::new();
    for _ in 0..8 {
        delays.extend(tracker.probe_delay().map(ClockSpan::millis));
        assert_eq!(tracker.record_probe(false), None);
    }
    assert_eq!(delays, [50, 100, 200, 400, 400, 400, 400, 400]);
    assert_eq!(tracker.record_probe(true), Some(OutageChange::Back));
    assert_eq!(tracker.notice(), OutageNotice { changes: 2, is_down: false, ..ended });
    assert_eq!(tracker.probe_delay(), None);
}

fn listing(id: &str, host: u8, started_ms: u64) -> TargetListing {
    TargetListing {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, host], 80)),
        data_centre: "here".into(),
        slots: 6,
        state: TargetState::Ready,
        cold_time_left: ClockSpan::ZERO,
        started_ms,
        sequence: 1,
        position: StorePosition { era: 0, revision: 1 },
    }
}

fn call() -> CallParams {
    CallParams {
        service: "s".into(),
        route: "r".into(),
        priority: 2,
        kind: RequestKind::NonIdempotent,
        max_attempts: 2,
        arrived: NOW,
        soft_deadline: NOW + ClockSpan::new(400),
        deadline: NOW + ClockSpan::new(60_000),
        body_bytes: 0,
    }
}

fn outage(changes: u64) -> KnownOutage {
    let notice = OutageNotice { node_start: 7, changes, is_down: changes % 2 == 1 };
    KnownOutage { target: "a".into(), started_ms: Some(1), notice }
}

/// Guards against calls to a target that is down, and against a target that stays unused because the
/// message that it is back was lost.
#[test]
fn target_gets_no_calls_until_it_is_back() {
    let mut picker = TargetPicker::new("here".into(), 1);
    picker.insert(NOW, &listing("a", 1, 1));
    assert!(picker.record_outage(NOW, &outage(1)));
    assert!(!picker.record_outage(NOW, &outage(1)), "the same outage was new twice");
    assert!(picker.pick(NOW, &call(), &[]).is_none());
    assert!(picker.record_outage(NOW, &outage(2)));
    assert!(picker.pick(NOW, &call(), &[]).is_some());
    picker.record_outage(NOW, &outage(1));
    assert!(picker.pick(NOW, &call(), &[]).is_some(), "a late message was believed");

    picker.record_outage(NOW, &outage(3));
    let almost = NOW + OUTAGE_TTL - ClockSpan::new(1);
    assert!(picker.pick(almost, &call(), &[]).is_none());
    let later = NOW + OUTAGE_TTL;
    assert!(picker.pick(later, &call(), &[]).is_some(), "it was not tried again");
    picker.record_outage(later, &outage(3));
    assert!(picker.pick(later, &call(), &[]).is_none(), "the reply to that call was ignored");
}

/// Guards against a target that gets no calls after its restart under the same id, and against a late
/// message about its earlier start.
#[test]
fn restarted_target_is_used() {
    let mut picker = TargetPicker::new("here".into(), 1);
    picker.insert(NOW, &listing("a", 1, 1));
    picker.record_outage(NOW, &outage(1));
    picker.insert(NOW, &listing("a", 1, 2));
    assert!(picker.pick(NOW, &call(), &[]).is_some());
    picker.record_outage(NOW, &outage(1));
    assert!(picker.pick(NOW, &call(), &[]).is_some());
    picker.record_outage(NOW, &KnownOutage { started_ms: Some(2), ..outage(3) });
    assert!(picker.pick(NOW, &call(), &[]).is_none(), "the new start has ended, too");
}

/// Guards against giving a request up after four attempts that reached no target although another
/// one is free, and against attempts without bound.
#[test]
fn unreached_targets_do_not_use_up_the_chances() {
    for (end, down, is_served) in [
        (AttemptEnd::Down, 10, true),
        (AttemptEnd::NotSent, 10, true),
        (AttemptEnd::Down, 60, false),
        (AttemptEnd::Moved, 10, false),
    ] {
        let mut picker = TargetPicker::new("here".into(), 1);
        for host in 1..=down {
            picker.insert(NOW, &listing(&format!("down{host}"), host, 1));
        }
        let mut budget = RetryBudget::new();
        let allowance = RetryAllowance::new(0.2, 60.0, 3);
        let mut plan = CallPlan::new(call());
        let mut attempts = 0;
        loop {
            match plan.next_step(NOW, &mut picker, &mut budget, allowance) {
                PlanStep::Send { target, .. } if &*target.id == "free" => break,
                PlanStep::Send { .. } => plan.record_end(end),
                step => {
                    assert!(!is_served, "{end:?}: {step:?} after {attempts} attempts");
                    assert!(matches!(step, PlanStep::Refuse { .. }), "{end:?}: {step:?}");
                    break;
                }
            }
            attempts += 1;
            assert!(attempts <= 16, "{end:?}: {attempts} attempts");
            if attempts == down {
                picker.insert(NOW, &listing("free", 200, 1));
            }
        }
    }
}

/// Guards against retries that use up the budget of the fleet at targets that are down.
#[test]
fn retry_that_reaches_no_target_is_charged_once() {
    let mut picker = TargetPicker::new("here".into(), 1);
    for host in 1..=8 {
        picker.insert(NOW, &listing(&format!("t{host}"), host, 1));
    }
    let allowance = RetryAllowance::new(0.2, 60.0, 3);
    let mut budget = RetryBudget::new();
    // The tokens of one retry of a request that may have run.
    while !budget.clone().try_spend(true) {
        budget.record_call(allowance);
    }
    let mut plan =
        CallPlan::new(CallParams { kind: RequestKind::Idempotent, max_attempts: 3, ..call() });
    let mut next_step = |plan: &mut CallPlan| {
        plan.next_step(NOW, &mut picker, &mut budget, RetryAllowance::new(0.0, 60.0, 3))
    };
    assert!(matches!(next_step(&mut plan), PlanStep::Send { .. }));
    plan.record_end(AttemptEnd::Lost);
    for end in [AttemptEnd::Down, AttemptEnd::NotSent, AttemptEnd::Down, AttemptEnd::Lost] {
        assert!(matches!(next_step(&mut plan), PlanStep::Send { .. }), "before {end:?}");
        plan.record_end(end);
    }
    assert_eq!(next_step(&mut plan), PlanStep::Fail, "a further retry was not charged");
}
