//! Tests of requests that crash targets, with the completions and ends that a node learns of.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use fescuestack_routing::{CrashTracker, KnownCompletion, SOUND_DURATION};

const NOW: ClockTime = ClockTime::new(50_000);

/// Time after the third crash from which retries of a crashing request count, and how many the operators
/// allow.
const COUNTED_AFTER: ClockSpan = ClockSpan::new(3_000);
const ALLOWED_RETRIES: usize = 3;

/// Time between two attempts of one try.
const ATTEMPT_GAP: ClockSpan = ClockSpan::new(20);

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint::from_number(number)
}

fn target(number: usize) -> Arc<str> {
    format!("t{number}").into()
}

/// Sends a crashing request again and again, with `gap` between the tries and `attempts` targets in each of
/// them, beside others that are at work whenever a target ends. Returns the number of tries that the
/// operators count, and whether the last one was held.
fn play_tries(
    tracker: &mut CrashTracker,
    gap: ClockSpan,
    attempts: usize,
    others: &[RequestFingerprint],
) -> (usize, bool) {
    let crashing = request(0);
    let mut crashes = Vec::new();
    let mut counted = 0;
    let mut is_held = false;
    let tries = 8 + 6_000 / gap.millis();
    for number in 0..tries {
        let sent_at = NOW + ClockSpan::new(gap.millis() * number);
        is_held = tracker.is_quarantined(sent_at, crashing);
        if is_held {
            continue;
        }
        if crashes.get(2).is_some_and(|third: &ClockTime| sent_at > *third + COUNTED_AFTER) {
            counted += 1;
        }
        for attempt in 0..attempts {
            let at = sent_at + ClockSpan::new(ATTEMPT_GAP.millis() * attempt as u64);
            let running: Vec<_> = others.iter().copied().chain([crashing]).collect();
            tracker.record_end(at, &target(crashes.len()), &running);
            crashes.push(at);
        }
    }
    (counted, is_held)
}

/// Guards against a request that crashes targets of a new release and is sent on without end, because
/// targets of the previous release have completed it.
#[test]
fn completed_run_does_not_speak_for_a_new_release() {
    let others: Vec<_> = (1..=6).map(request).collect();
    for gap in [100, 500, 1_000, 3_500, 10_000].map(ClockSpan::new) {
        for attempts in 1..=3 {
            for others in [&others[..0], &others[..2], &others[..]] {
                let mut tracker = CrashTracker::new();
                for number in 0..30 {
                    let at = NOW - ClockSpan::new(100 * (30 - number));
                    tracker.record_completion(at, request(0));
                }
                let (counted, is_held) = play_tries(&mut tracker, gap, attempts, others);
                let case = format!("{gap:?}, {attempts} attempts, {} others", others.len());
                assert!(counted <= ALLOWED_RETRIES, "{counted} retries: {case}");
                assert!(is_held, "still sent: {case}");
            }
        }
    }
}

/// Guards against holding a popular request that is at work at each of many ends, on a node that completes
/// it as well.
#[test]
fn popular_request_is_never_held_where_it_completes() {
    let popular = request(1);
    for completion_gap in [50, 400, 1_500] {
        let mut tracker = CrashTracker::new();
        for millis in 0..60_000 {
            let now = NOW + ClockSpan::new(millis);
            if millis.is_multiple_of(completion_gap) {
                tracker.record_completion(now, popular);
            }
            if millis.is_multiple_of(130) {
                tracker.record_end(now, &target(millis as usize % 9), &[popular]);
            }
            assert!(!tracker.is_quarantined(now, popular), "held after {millis} ms");
        }
    }
}

/// Guards against holding what runs at many targets that end at the same moment, such as those of one rack.
#[test]
fn simultaneous_ends_count_as_one() {
    let mut tracker = CrashTracker::new();
    for number in 0..20 {
        tracker.record_end(
            NOW + ClockSpan::new(5 * number),
            &target(number as usize),
            &[request(1)],
        );
    }
    assert!(!tracker.is_quarantined(NOW + ClockSpan::new(200), request(1)));
}

/// Guards against an end that becomes known after a later completion and makes the request suspect again,
/// and against a completion that hides a later end.
#[test]
fn completions_and_ends_count_in_the_order_in_which_they_happened() {
    let mut tracker = CrashTracker::new();
    tracker.record_completion(NOW, request(1));
    tracker.record_end(NOW - ClockSpan::new(1), &target(0), &[request(1)]);
    assert!(!tracker.is_suspected(NOW, request(1)), "suspected for an end before the completion");
    let later = NOW + SOUND_DURATION;
    tracker.record_end(later, &target(1), &[request(1)]);
    tracker.record_completion(later - ClockSpan::new(1), request(1));
    assert!(tracker.is_suspected(later, request(1)), "cleared by a completion before the end");
}

/// Guards against a node that holds a popular request because it learns of all ends and sees no completion,
/// and against reports without end of requests that are not suspect.
#[test]
fn completions_are_reported_while_a_request_is_suspect() {
    let popular = request(1);
    let [mut local, mut remote] = [CrashTracker::new(), CrashTracker::new()];
    for number in 0..12 {
        let now = NOW + ClockSpan::new(1_000 * number);
        for tracker in [&mut local, &mut remote] {
            tracker.record_end(now, &target(number as usize), &[popular]);
        }
        let completed_at = now + ClockSpan::new(300);
        local.record_own_completion(completed_at, popular);
        local.record_own_completion(completed_at, popular);
        let reported_at = now + ClockSpan::new(700);
        let known = local.take_unreported(reported_at);
        assert_eq!(known.iter().map(|known| known.request).collect::<Vec<_>>(), [popular]);
        remote.merge_completions(reported_at, &known);
        assert!(!remote.is_suspected(reported_at, popular));
        local.record_own_completion(reported_at, popular);
        assert!(local.take_unreported(reported_at).is_empty(), "reported though it is not suspect");
    }
}

/// Guards against clearing a request of an end that came after the completion, when the report arrives
/// later, and against two nodes that report the same completion to each other.
#[test]
fn late_reports_clear_earlier_ends_only() {
    let mut tracker = CrashTracker::new();
    tracker.record_end(NOW, &target(0), &[request(1), request(2)]);
    tracker.record_own_completion(NOW + ClockSpan::new(10), request(2));
    tracker.record_end(NOW + ClockSpan::new(400), &target(1), &[request(1)]);
    let now = NOW + ClockSpan::new(500);
    let known =
        |number, age| KnownCompletion { request: request(number), age: ClockSpan::new(age) };
    tracker.merge_completions(now, &[known(1, 300), known(2, 200)]);
    assert!(tracker.is_suspected(now, request(1)), "cleared of the end after the completion");
    assert!(
        tracker.take_unreported(now).is_empty(),
        "another node has reported a later completion"
    );
}

/// Guards against a request that crashes three further targets each time that its quarantine ends.
#[test]
fn released_request_is_held_after_its_next_crash() {
    let mut tracker = CrashTracker::new();
    let mut crashes = 0;
    let mut released_at = Vec::new();
    for second in 0..1_900 {
        let now = NOW + ClockSpan::new(1_000 * second);
        if tracker.is_quarantined(now, request(0)) {
            continue;
        }
        if crashes >= 3 {
            released_at.push(second);
        }
        tracker.record_end(now, &target(crashes), &[request(0)]);
        crashes += 1;
    }
    assert_eq!(released_at, [122, 362, 842, 1_802]);
    let last = NOW + ClockSpan::new(1_802_000);
    tracker.record_completion(last + ClockSpan::new(1), request(0));
    assert!(!tracker.is_quarantined(last + ClockSpan::new(10_000), request(0)));
}
