//! Keys that carry their creation time, at an owner that has just started.

mod key_service;

use fescuestack_core::{
    ClockSpan, ClockTime, KeyFinding, KeyQuestion, KeyTable, KeyVerdict, PartHash,
    RequestFingerprint, ResultCode, ServiceView, VersionId, dated_key,
};
use key_service::service_view;

const START: ClockTime = ClockTime::new(1_700_000_000_000);
const WINDOW: ClockSpan = ClockSpan::new(120_000);
const SKEW: ClockSpan = ClockSpan::new(500);
const ONE: ClockSpan = ClockSpan::new(1);

fn view(skew: Option<ClockSpan>) -> ServiceView {
    service_view(&["register-1"], WINDOW, skew)
}

fn verdict(skew: Option<ClockSpan>, now: ClockTime, created: ClockTime) -> KeyVerdict {
    let mut table = KeyTable::new("register-1".into(), WINDOW, START);
    table.update(START, VersionId::new(1, PartHash::default()), &view(skew));
    let fingerprint = RequestFingerprint::from_number(7);
    table.begin(now, &dated_key(created, 1), fingerprint)
}

fn is_unknown(verdict: &KeyVerdict) -> bool {
    matches!(verdict, KeyVerdict::Answer { code: ResultCode::KeyOwnerYoung, .. })
}

/// Guards against a whole key window after each restart in which no payment can be made.
#[test]
fn key_created_after_the_start_runs_at_once() {
    let created = START + SKEW + ONE;
    assert_eq!(verdict(Some(SKEW), created, created), KeyVerdict::Run);
}

/// Guards against a second run of a request that the owner ran before its restart.
#[test]
fn key_that_may_be_older_than_the_start_is_unknown() {
    let created = START + SKEW;
    assert!(is_unknown(&verdict(Some(SKEW), created + ONE, created)));
}

/// Guards against a caller whose clock is fast, which makes an old key look new.
#[test]
fn key_from_the_future_is_unknown() {
    let now = START + SKEW + ONE;
    assert!(is_unknown(&verdict(Some(SKEW), now, now + SKEW + ONE)));
}

/// Guards against believing callers whose clocks the operators have not vouched for.
#[test]
fn without_a_stated_skew_no_time_is_believed() {
    let created = START + WINDOW - ONE;
    assert!(is_unknown(&verdict(None, created, created)));
}

/// Guards against earlier owners that have just started and therefore vouch for no key, so that after a
/// restart of all nodes no payment could be made.
#[test]
fn earlier_owner_vouches_for_a_key_created_after_its_start() {
    let mut table = KeyTable::new("register-1".into(), WINDOW, START);
    table.update(START, VersionId::new(1, PartHash::default()), &view(Some(SKEW)));
    let mut find = |created: ClockTime| {
        let key = dated_key(created, 2).into();
        let question = KeyQuestion { key, asker: "register-2".into() };
        table.answer(created.max(START), &question).finding
    };
    assert_eq!(find(START + SKEW), KeyFinding::Unsure);
    assert!(matches!(find(START + SKEW + ONE), KeyFinding::Fenced { .. }));
}
