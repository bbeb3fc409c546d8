//! Memory of connections in the budget of the process.

use bytes::Bytes;
use fescuestack_http::{ByteBudget, ConnectionMeter, InputLimit};

const LIMIT: InputLimit =
    InputLimit { free_bytes: 8 * 1024, max_buffer_bytes: 24 * 1024, fails: false };

/// Guards against memory that stays reserved after its connection or message has gone, so that the
/// node refuses all callers in the end, and against memory that is not counted.
#[test]
fn connections_release_what_they_held() {
    let budget = ByteBudget::new(100_000);
    let meter = ConnectionMeter::new(&budget, 1_000, LIMIT);
    let mut held = meter.hold(2_000);
    held.grow(500);
    assert_eq!((meter.bytes(), budget.used()), (3_500, 3_500));
    let body: Bytes = held.into_bytes(vec![0; 2_500]);
    meter.attribute(300);
    assert_eq!((meter.bytes(), budget.used()), (3_800, 3_500));
    meter.end_attribution(300);
    drop(meter);
    // A call may still send the body after its client has left.
    assert_eq!(budget.used(), 3_500);
    drop(body);
    assert_eq!(budget.used(), 0);
}

/// Guards against connections that are taken for a crowd because earlier ones were not released.
#[test]
fn full_budget_has_room_again() {
    let budget = ByteBudget::new(10_000);
    let meter = ConnectionMeter::new(&budget, 9_000, LIMIT);
    assert!(!budget.has_room(1_001));
    drop(meter);
    assert!(budget.has_room(10_000));
}
