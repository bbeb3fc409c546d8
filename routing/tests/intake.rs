//! Large bodies sent over the slow link of a VM.

use fescuestack_core::ClockSpan;
use fescuestack_routing::{IngressDecision, IngressLink, LARGE_BODY_BYTES};

/// Bandwidth of the slowest VMs in use, in Mbit/s.
const LINK_MBPS: f64 = 7.0;

/// Bytes per millisecond at this bandwidth.
const LINK_BYTES_PER_MS: u64 = 875;

/// Size of a typical photo.
const PHOTO_BYTES: u64 = 60_000;

/// Guards against a link that is saturated for seconds. Photos arrive at three times the capacity
/// of the link: accepted ones must arrive soon, and the link must stay in use.
#[test]
fn overload_keeps_link_queue_short() {
    let mut link = IngressLink::new(LINK_MBPS);
    let (mut in_transit, mut arrived) = (Vec::new(), 0);
    let (mut rejected, mut longest) = (0, 0);
    for now in 0..10_000_u64 {
        if now.is_multiple_of(PHOTO_BYTES / LINK_BYTES_PER_MS / 3) {
            match link.reserve(PHOTO_BYTES, ClockSpan::new(200), ClockSpan::new(2_000)) {
                IngressDecision::Accept => in_transit.push((now, PHOTO_BYTES)),
                IngressDecision::Busy | IngressDecision::Refuse { .. } => rejected += 1,
            }
        }
        if let Some((since, left)) = in_transit.first_mut() {
            *left = left.saturating_sub(LINK_BYTES_PER_MS);
            if *left == 0 {
                longest = longest.max(now - *since);
                arrived += 1;
                link.release(PHOTO_BYTES);
                in_transit.remove(0);
            }
        }
    }
    assert!(longest < 400, "a photo took {longest} ms to arrive");
    assert!(rejected > 200, "only {rejected} photos were rejected");
    assert!(arrived > 130, "{arrived} photos arrived, and the link has capacity for about 144");
    link.release(u64::MAX);
    assert_eq!(link.drain_time(), ClockSpan::ZERO);
}

/// Guards against accepting a call whose photo arrives too late, against refusals while the link is
/// idle, and against small bodies that wait for large ones.
#[test]
fn late_bodies_are_refused() {
    let (long, short) = (ClockSpan::new(5_000), ClockSpan::new(300));
    let mut link = IngressLink::new(LINK_MBPS);
    assert_eq!(link.reserve(400_000, long, short), IngressDecision::Accept, "the link was idle");
    let refused = link.reserve(PHOTO_BYTES, long, short);
    assert_eq!(refused, IngressDecision::Refuse { retry_after: ClockSpan::new(457) });
    assert_eq!(link.reserve(PHOTO_BYTES, ClockSpan::new(25), long), IngressDecision::Busy);
    assert_eq!(
        link.reserve(LARGE_BODY_BYTES - 1, ClockSpan::new(25), short),
        IngressDecision::Accept
    );
}
