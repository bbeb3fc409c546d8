//! Large bodies over the slow link of a VM.

use fescuestack_core::ClockSpan;
use fescuestack_routing::{IngressDecision, IngressLink, LARGE_BODY_BYTES};

/// Bandwidth of the slowest VMs that the users run, in Mbit/s.
const LINK_MBPS: f64 = 7.0;

/// Bytes that it carries in one ms.
const LINK_BYTES_PER_MS: u64 = 875;

/// Length of a common photo.
const PHOTO_BYTES: u64 = 60_000;

/// Guards against a link that is full for seconds: three times as many photos as it carries come in, and
/// those that are taken have to arrive soon, while it stays in use.
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
    assert!(longest < 400, "a photo took {longest} ms");
    assert!(rejected > 200, "{rejected} were sent elsewhere");
    assert!(arrived > 130, "{arrived} of about 144 that the link carries have arrived");
    link.release(u64::MAX);
    assert_eq!(link.drain_time(), ClockSpan::ZERO);
}

/// Guards against a call that is taken though its photo arrives after its time, against a refusal
/// while the link is free, and against short bodies that wait for long ones.
#[test]
fn late_bodies_are_refused() {
    let (long, short) = (ClockSpan::new(5_000), ClockSpan::new(300));
    let mut link = IngressLink::new(LINK_MBPS);
    assert_eq!(link.reserve(400_000, long, short), IngressDecision::Accept, "nothing else comes");
    let refused = link.reserve(PHOTO_BYTES, long, short);
    assert_eq!(refused, IngressDecision::Refuse { retry_after: ClockSpan::new(457) });
    assert_eq!(link.reserve(PHOTO_BYTES, ClockSpan::new(25), long), IngressDecision::Busy);
    assert_eq!(
        link.reserve(LARGE_BODY_BYTES - 1, ClockSpan::new(25), short),
        IngressDecision::Accept
    );
}
