//! Large bodies over the slow link of a VM.

use fescuestack_core::ClockSpan;
use fescuestack_routing::{IngressDecision, IngressLink, LARGE_BODY_BYTES};

/// Bandwidth of the slowest VMs that the users run, in Mbit/s.
const LINK_MBPS: f64 = 7.0;

/// Bytes that it carries in one ms.
const LINK_RATE: u64 = 875;

/// Length of a common photo.
const PHOTO_BYTES: u64 = 60_000;

/// Guards against a link that is full for seconds: three times as many photos as it carries come in, and
/// those that are taken have to arrive soon, while it stays in use.
#[test]
fn overload_keeps_the_link_short() {
    let mut intake = IngressLink::new(LINK_MBPS);
    let (mut under_way, mut arrived) = (Vec::new(), 0);
    let (mut turned_away, mut longest) = (0, 0);
    for now in 0..10_000_u64 {
        if now.is_multiple_of(PHOTO_BYTES / LINK_RATE / 3) {
            match intake.reserve(PHOTO_BYTES, ClockSpan::new(200), ClockSpan::new(2_000)) {
                IngressDecision::Accept => under_way.push((now, PHOTO_BYTES)),
                IngressDecision::Busy | IngressDecision::Refuse { .. } => turned_away += 1,
            }
        }
        if let Some((since, left)) = under_way.first_mut() {
            *left = left.saturating_sub(LINK_RATE);
            if *left == 0 {
                longest = longest.max(now - *since);
                arrived += 1;
                intake.release(PHOTO_BYTES);
                under_way.remove(0);
            }
        }
    }
    assert!(longest < 400, "a photo took {longest} ms");
    assert!(turned_away > 200, "{turned_away} were sent elsewhere");
    assert!(arrived > 130, "{arrived} of about 144 that the link carries have arrived");
    intake.release(u64::MAX);
    assert_eq!(intake.drain_time(), ClockSpan::ZERO);
}

/// Guards against a call that is taken though its photo arrives after its time, against a refusal
/// while the link is free, and against short bodies that wait for long ones.
#[test]
fn late_bodies_are_refused() {
    let (any, soon) = (ClockSpan::new(5_000), ClockSpan::new(300));
    let mut intake = IngressLink::new(LINK_MBPS);
    assert_eq!(intake.reserve(400_000, any, soon), IngressDecision::Accept, "nothing else comes");
    let refused = intake.reserve(PHOTO_BYTES, any, soon);
    assert_eq!(refused, IngressDecision::Refuse { retry_after: ClockSpan::new(457) });
    assert_eq!(intake.reserve(PHOTO_BYTES, ClockSpan::new(25), any), IngressDecision::Busy);
    assert_eq!(
        intake.reserve(LARGE_BODY_BYTES - 1, ClockSpan::new(25), soon),
        IngressDecision::Accept
    );
}
