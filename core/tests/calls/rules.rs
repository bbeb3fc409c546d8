//! Single rules of the call path, each at its bound.

use fescuestack_core::*;

use crate::service::service;

const START: ClockTime = ClockTime::new(1_000_000);
const WINDOW: ClockSpan = ClockSpan::new(10_000);

fn after(millis: u64) -> ClockTime {
    START + ClockSpan::new(millis)
}

fn print(body: &str) -> RequestFingerprint {
    RequestFingerprint::from_whole("register", "POST", "/fees", body.as_bytes())
}

/// The table of the only target of a service, long after its start.
fn table(capacity: usize) -> KeyTable {
    let started = START - ClockSpan::new(100_000);
    let mut table = KeyTable::new("t000".into(), WINDOW, started).with_capacity(capacity);
    let version = VersionId::new(1, PartHash::new(b"1"));
    table.update(started, version, &service([0], 8, WINDOW.millis()));
    table
}

fn code(verdict: KeyVerdict) -> Option<ResultCode> {
    match verdict {
        KeyVerdict::Answer { code, .. } => Some(code),
        _ => None,
    }
}

fn recorded(bytes: usize) -> Option<RecordedAnswer> {
    Some(RecordedAnswer { status: 200, headers: Vec::new(), body: vec![0; bytes] })
}

/// Guards against a key that is forgotten inside the window to make room for another.
#[test]
fn full_table_refuses_and_forgets_nothing() {
    let mut table = table(2);
    for key in ["a", "b"] {
        assert_eq!(table.begin(START, key, print(key)), KeyVerdict::Run);
        assert!(table.dispatch(key));
        table.complete(START, key, recorded(10));
    }
    assert_eq!(code(table.begin(after(9_999), "c", print("c"))), Some(ResultCode::Overload));
    assert_eq!(code(table.begin(after(9_999), "a", print("a"))), Some(ResultCode::DoneEarlier));
    assert_eq!(table.begin(after(12_000), "c", print("c")), KeyVerdict::Run);
}

/// Guards against an answer to another request, to one cut short, and to one that still runs.
#[test]
fn recorded_answers_are_whole_and_their_own() {
    let mut table = table(10);
    for (key, bytes) in [("short", RECORDED_BODY_BYTES), ("long", RECORDED_BODY_BYTES + 1)] {
        assert_eq!(table.begin(START, key, print("fee")), KeyVerdict::Run);
        assert_eq!(code(table.begin(START, key, print("fee"))), Some(ResultCode::KeyInFlight));
        assert!(table.dispatch(key));
        table.complete(START, key, recorded(bytes));
        assert_eq!(code(table.begin(START, key, print("other"))), Some(ResultCode::BadRequest));
    }
    let again = |table: &mut KeyTable, key| code(table.begin(START, key, print("fee")));
    assert_eq!(again(&mut table, "short"), Some(ResultCode::DoneEarlier));
    assert_eq!(again(&mut table, "long"), Some(ResultCode::AnswerTruncated));
}

/// Guards against a second run while the first is still going on after the window, and against "not
/// dispatched" said of a request that was.
#[test]
fn dispatched_key_is_never_free() {
    let mut table = table(10);
    assert_eq!(table.begin(START, "k", print("fee")), KeyVerdict::Run);
    assert!(table.dispatch("k"));
    assert!(!table.dispatch("k"));
    let late = after(50_000);
    assert_eq!(code(table.begin(late, "k", print("fee"))), Some(ResultCode::KeyInFlight));
    table.release(late, "k");
    assert_eq!(code(table.begin(late, "k", print("fee"))), Some(ResultCode::UpstreamLost));
}

fn gate() -> TargetGate {
    let admission = AdmissionSettings { slots: 1, queue_limit: 8 };
    let drain_bound = ClockSpan::new(1_000);
    let settings = GateSettings { node: "t000".into(), admission, key_window: WINDOW, drain_bound };
    TargetGate::new(settings, START)
}

fn gate_call(fingerprint: RequestFingerprint, left: u64) -> GateCall {
    GateCall {
        class: "council/public".into(),
        kind: RouteKind::Submit,
        deadline: CallDeadline::new(START, ClockSpan::new(left)),
        fingerprint,
        key: None,
        key_fingerprint: fingerprint,
    }
}

/// Guards against a dispatch by a node that was paused after it had admitted the call.
#[test]
fn pause_between_admission_and_dispatch_is_noticed() {
    let mut gate = gate();
    let GateStep::Run(ticket) = gate.arrive(START, gate_call(print("a"), 100)) else { panic!() };
    let reply = gate.dispatch(after(100), ticket).unwrap_err();
    assert_eq!(reply.code, ResultCode::PatienceSpent);
    assert_eq!((gate.load().running, gate.running_fingerprints().len()), (0, 0));
}

/// Guards against a shutdown that cuts calls off, takes new ones, or never ends.
#[test]
fn drain_finishes_what_it_took() {
    let mut gate = gate();
    let GateStep::Run(first) = gate.arrive(START, gate_call(print("a"), 5_000)) else { panic!() };
    let GateStep::Wait(second) = gate.arrive(START, gate_call(print("b"), 5_000)) else { panic!() };
    gate.dispatch(START, first).unwrap();
    gate.begin_drain(START);
    let GateStep::Reply(reply) = gate.arrive(START, gate_call(print("c"), 5_000)) else { panic!() };
    assert_eq!(reply.code, ResultCode::Leaving);
    assert_eq!(gate.phase(after(999)), DrainPhase::Draining { calls: 2, left: ClockSpan::new(1) });
    assert_eq!(gate.phase(after(1_000)), DrainPhase::BoundReached { calls: 2 });
    let done = || GateOutcome::Done { service_micros: 1_000, answer: None };
    assert_eq!(gate.finish(after(10), first, done()), ResultCode::Done);
    let mut actions = Vec::new();
    gate.poll(after(10), &mut actions);
    assert_eq!(actions, [GateAction::Run(second)]);
    gate.dispatch(after(10), second).unwrap();
    gate.finish(after(20), second, done());
    assert_eq!(gate.phase(after(20)), DrainPhase::Drained);
}

/// What an entry node does after an attempt has ended with `code`: the target of the next attempt, or
/// the code of the answer.
fn next(
    kind: RouteKind,
    key: Option<&str>,
    nested: bool,
    code: ResultCode,
) -> Result<bool, ResultCode> {
    let view = service(0..4, 8, WINDOW.millis());
    let mut balancer = TargetBalancer::new(&view, "a".into(), ClockSpan::new(3), 7);
    let mut budget = RetryBudget::new();
    let deadline = CallDeadline::new(START, ClockSpan::new(500));
    let mut plan = RequestPlan::new(PlanCall { kind, key: key.map(Into::into), deadline, nested });
    let step = plan.start(START, &view, &mut balancer, &mut budget);
    let PlanStep::Dispatch { target: first, .. } = step else { panic!("{step:?}") };
    let from_target = !matches!(code, ResultCode::ConnectFailed | ResultCode::LinkLost);
    let end = AttemptEnd { code, from_target, retry_after: None, load: None, micros: 1_000 };
    match plan.resume(START, &view, &mut balancer, &mut budget, &end) {
        PlanStep::Dispatch { target, retry, .. } => {
            assert!(retry);
            Ok(target.name == first.name)
        }
        PlanStep::Answer(answer) => Err(answer.code),
    }
}

/// Guards against a resend of a request that may have run, and against none where it is safe: the target
/// died before, while or after it ran the request, or refused it.
#[test]
fn retries_follow_what_is_known_of_the_run() {
    use ResultCode::*;
    use RouteKind::{Lookup, Submit};
    let other = Ok(false);
    assert_eq!(next(Submit, None, false, ConnectFailed), other);
    assert_eq!(next(Submit, None, false, Leaving), other);
    assert_eq!(next(Submit, None, true, Leaving), other);
    assert_eq!(next(Submit, None, true, ConnectFailed), Err(ConnectFailed));
    assert_eq!(next(Submit, None, false, UpstreamLost), Err(UpstreamLost));
    assert_eq!(next(Submit, None, false, LinkLost), Err(LinkLost));
    assert_eq!(next(Lookup, None, false, UpstreamLost), other);
    assert_eq!(next(Lookup, None, true, UpstreamLost), Err(UpstreamLost));
    assert_eq!(next(Lookup, None, false, Overload), Err(Overload));
    // Only the owner of a key is asked again, and only when its own answer was lost.
    assert_eq!(next(Submit, Some("k"), false, LinkLost), Ok(true));
    assert_eq!(next(Submit, Some("k"), false, UpstreamLost), Err(UpstreamLost));
    assert_eq!(next(Submit, Some("k"), false, Overload), Err(Overload));
    assert_eq!(next(Submit, Some("k"), false, NotKeyOwner), Err(KeyOwnerUnreachable));
}

/// Guards against a request that takes down one upstream after another, and against the quarantine of
/// requests that only ran beside it.
#[test]
fn crashing_request_is_quarantined_alone() {
    let (poison, mut list, mut crashes) = (print("poison"), QuarantineList::new(), 0);
    let innocents: Vec<_> = (0..40).map(|number| print(&format!("fee {number}"))).collect();
    // Half of the others have completed before, as lookups mostly have.
    innocents.iter().take(20).for_each(|innocent| list.complete(*innocent));
    for round in 0..20 {
        if list.contains(after(round), poison) {
            break;
        }
        crashes += 1;
        // Three others run beside it each time; they are sent again and complete.
        let beside = innocents.iter().cycle().skip(round as usize * 17).step_by(5).take(3);
        let mut running: Vec<_> = beside.copied().collect();
        running.push(poison);
        list.crash(after(round), &running);
        running.iter().filter(|one| **one != poison).for_each(|one| list.complete(*one));
    }
    assert!(crashes <= 6, "{crashes} upstreams were lost");
    assert!(list.contains(after(100), poison));
    assert!(innocents.iter().all(|innocent| !list.contains(after(100), *innocent)));
    assert!(!list.contains(after(100) + QUARANTINE_SPAN, poison));
}

/// Guards against times left that are misread, and against a hop that is granted more than is left.
#[test]
fn time_left_is_read_strictly() {
    let deadline = CallDeadline::new(START, ClockSpan::new(250));
    assert_eq!(deadline.left_value(after(50)), "200");
    assert_eq!(deadline.with_hop(ClockSpan::new(5)).left(after(50)), ClockSpan::new(195));
    assert_eq!(deadline.verify(after(250)), Err(ResultCode::PatienceSpent));
    assert_eq!(scan_left("250"), Some(ClockSpan::new(250)));
    assert_eq!(scan_left("99999999999999999999999"), Some(ClockSpan::new(86_400_000)));
    for text in ["", "-1", "+1", "1.5", " 1", "0x10"] {
        assert_eq!(scan_left(text), None, "{text:?}");
    }
}
