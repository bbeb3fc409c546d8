//! Calls at a node that is stopping, and at the nodes that know of it.

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{READINESS_NOTICE_TIME, StopSchedule};

const NOW: ClockTime = ClockTime::new(10_000);

const GRACE: ClockSpan = ClockSpan::new(5_500);

fn at(ms: u64) -> ClockTime {
    NOW + ClockSpan::new(ms)
}

/// Guards against a stopping node that accepts a call which can outlast it.
#[test]
fn calls_that_can_outlast_the_node_are_not_allowed() {
    let mut schedule = StopSchedule::new();
    assert!(schedule.allows(at(60_000)), "the node is not stopping");
    schedule.begin(NOW, GRACE);
    assert!(schedule.allows(at(1_000)) && schedule.allows(at(5_300)));
    assert!(!schedule.allows(at(5_500)), "its response would be cut off");
    assert!(!schedule.allows(at(60_000)));
    assert_eq!(schedule.time_left(at(2_000)), Some(ClockSpan::new(3_500)));
    schedule.begin(at(3_000), GRACE);
    assert!(schedule.allows(at(8_000)), "the stop was requested again");
}

/// Guards against a client that returns to the stopping node, because it has not yet noticed that the
/// node is not ready, and is refused again.
#[test]
fn refused_clients_return_after_they_have_noticed_the_stop() {
    let mut schedule = StopSchedule::new();
    schedule.begin(NOW, GRACE);
    let noticed = NOW + READINESS_NOTICE_TIME;
    for sent in [0, 700, 1_500, 2_100, 2_900, 5_000] {
        let delay = schedule.retry_after(at(sent));
        assert!(at(sent) + delay >= noticed, "{delay:?} after {sent} ms");
        assert!(ClockSpan::ZERO < delay && delay <= READINESS_NOTICE_TIME, "{delay:?}");
    }
}
