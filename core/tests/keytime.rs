//! Creation times of idempotency keys.

use fescuestack_core::{ClockTime, dated_key, scan_key_time};
use quickcheck::quickcheck;

/// Guards against a time read from the wrong bits, which would make an old key look new.
#[test]
fn reads_the_time_of_the_example_in_rfc_9562() {
    let key = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
    assert_eq!(scan_key_time(key), Some(ClockTime::new(0x017f_22e2_79b0)));
}

/// Guards against believing a time in keys that carry none.
#[test]
fn other_keys_have_no_time() {
    for key in [
        "",
        "order-1",
        "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f",
        "017f22e2+79b0-7cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0",
        "017f22eg-79b0-7cc3-98c4-dc0c0c07398f",
    ] {
        assert_eq!(scan_key_time(key), None, "{key}");
    }
}

quickcheck! {
    /// Guards against keys whose time is not the one they were made with.
    fn made_keys_carry_their_time(created: u32, random: u64) -> bool {
        let created = ClockTime::new(u64::from(created) << 8);
        let random = u128::from(random) << 40 | u128::from(random);
        scan_key_time(&dated_key(created, random)) == Some(created)
    }
}
