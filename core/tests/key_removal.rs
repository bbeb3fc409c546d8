//! Keys of a target that was removed and cannot be asked.

mod key_service;

use fescuestack_core::{
    ClockSpan, ClockTime, KeyTable, KeyVerdict, PartHash, RequestFingerprint, VersionId, key_owner,
};
use key_service::service_view;

const START: ClockTime = ClockTime::new(1_700_000_000_000);
const WINDOW: ClockSpan = ClockSpan::new(10_000);

fn version(number: u64) -> VersionId {
    VersionId::new(number, PartHash::default())
}

/// Guards against keys that stay unknown for good after a target was removed, and against running them
/// while the removed target may still do so.
#[test]
fn keys_of_a_removed_target_run_once_the_version_is_known_to_be_newest() {
    let (both, one) = (
        service_view(&["register-1", "register-2"], WINDOW, None),
        service_view(&["register-1"], WINDOW, None),
    );
    let key = (0..100)
        .map(|index| format!("key-{index}"))
        .find(|key| key_owner(&both, key).is_some_and(|owner| &*owner.name == "register-2"))
        .expect("one of the keys belongs to the second target");
    let fingerprint = RequestFingerprint::from_number(7);
    let mut table = KeyTable::new("register-1".into(), WINDOW, START);
    table.update(START, version(1), &both);
    let removed = START + ClockSpan::new(100_000);
    table.update(removed, version(2), &one);

    let later = removed + ClockSpan::new(100_000);
    let verdict = table.begin(later, &key, fingerprint);
    assert_eq!(verdict, KeyVerdict::Ask(vec!["register-2".into()]), "the version may be outdated");
    table.release(later, &key);

    assert!(!table.wants_current(removed + WINDOW));
    assert!(table.wants_current(later));
    table.note_current(later);
    assert!(!table.wants_current(later));
    assert_eq!(table.begin(later, &key, fingerprint), KeyVerdict::Run);
}
