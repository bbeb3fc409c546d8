//! Checks how long a target counts as cold, and how many calls reach it meanwhile.

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, CallParams, ColdCause, ColdLimit, ColdTracker, QueuedCall,
    RateLimit, RequestKind, SlotAction, SlotQueue, SlotTicket, StorePosition, TargetListing,
    TargetPicker, TargetState, WarmupRule,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const START: ClockTime = ClockTime::new(100_000);

/// Time for which the rule of the tests keeps a target cold.
const DURATION: u64 = 6_000;

fn after(millis: u64) -> ClockTime {
    START + ClockSpan::new(millis)
}

fn rule() -> WarmupRule {
    WarmupRule {
        duration: ClockSpan::new(DURATION),
        rate: RateLimit::new(12.0).expect("a valid rate"),
        health_path: "/health".into(),
    }
}

fn tracker() -> ColdTracker {
    let mut tracker = ColdTracker::new(START);
    tracker.set_rule(Some(rule()));
    tracker
}

/// A tracker whose target has stated at 100 ms that it is warm.
fn warm_tracker() -> ColdTracker {
    let mut tracker = tracker();
    tracker.record_listing(after(50), &listing(1, 1, 0));
    tracker.begin_probe(after(90));
    tracker.record_statement(after(90), after(100), ClockSpan::ZERO);
    tracker.end_probe(after(100), true);
    assert_eq!(tracker.cause(after(100)), None);
    tracker
}

fn listing(started_ms: u64, sequence: u64, cold_ms: u64) -> TargetListing {
    TargetListing {
        id: "t".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "here".into(),
        slots: 9,
        state: TargetState::Ready,
        cold_time_left: ClockSpan::new(cold_ms),
        started_ms,
        sequence,
        position: StorePosition { era: 0, revision: sequence },
    }
}

/// Guards against a node that has started before its target, and takes it as cold from the first call on
/// although it has been running for long.
#[test]
fn listed_target_that_was_down_is_checked_before_the_first_call() {
    let mut tracker = tracker();
    tracker.begin_probe(after(10));
    tracker.record_down(after(20));
    tracker.end_probe(after(20), false);
    assert!(!tracker.wants_probe(after(400)), "checked while nothing was known of it");
    tracker.record_listing(after(500), &listing(1, 1, 0));
    assert!(tracker.wants_probe(after(500)));
    tracker.begin_probe(after(500));
    tracker.record_connected(after(505));
    tracker.record_statement(after(505), after(510), ClockSpan::ZERO);
    tracker.end_probe(after(510), true);
    assert_eq!(tracker.cause(after(510)), None);
}

/// Guards against limits in deployments whose configuration states none.
#[test]
fn target_without_rule_is_never_cold() {
    let mut tracker = ColdTracker::new(START);
    tracker.record_down(after(10));
    assert_eq!(tracker.limit(after(10), 1.5), None);
    assert_eq!(tracker.cause(after(10)), None);
    assert!(!tracker.wants_probe(after(10)), "a health check without need");
}

/// Guards against a restarted node that sends its cold target every call until it knows better.
#[test]
fn target_of_a_new_node_is_cold_until_it_states_otherwise() {
    let mut tracker = tracker();
    assert_eq!(tracker.cause(after(1)), Some(ColdCause::NodeStart));
    assert!(tracker.wants_probe(after(1)));
    // The entry may be older than the node, and the target have started again since.
    tracker.record_listing(after(200), &listing(1, 1, 0));
    assert_eq!(tracker.cause(after(200)), Some(ColdCause::NodeStart));
    tracker.begin_probe(after(210));
    assert!(!tracker.wants_probe(after(210)), "two health checks at once");
    tracker.record_statement(after(210), after(220), ClockSpan::new(4_000));
    tracker.end_probe(after(220), true);
    assert_eq!(tracker.time_left(after(220)), ClockSpan::new(4_000));
    assert_eq!(tracker.cause(after(4_220)), None);
    assert!(!tracker.wants_probe(after(4_220)), "a health check without reason");
}

/// Guards against a target that stays cold forever because its health checks fail.
#[test]
fn doubt_ends_after_the_time_of_the_rule() {
    let mut tracker = tracker();
    tracker.begin_probe(after(10));
    tracker.end_probe(after(2_010), false);
    assert!(!tracker.wants_probe(after(2_100)), "the next health check follows at once");
    assert!(tracker.wants_probe(after(3_010)));
    assert!(tracker.cause(after(DURATION - 1)).is_some());
    assert_eq!(tracker.cause(after(DURATION)), None);
}

/// Guards against taking a target as warm that has crashed and come back, by what it said, or wrote to
/// the store, before.
#[test]
fn target_that_was_down_is_cold_when_it_is_back() {
    let mut tracker = warm_tracker();
    tracker.record_connected(after(1_000));
    assert_eq!(tracker.cause(after(1_000)), None, "a new connection makes no target cold");
    tracker.record_down(after(2_000));
    assert_eq!(tracker.cause(after(60_000)), Some(ColdCause::Down));
    assert!(!tracker.wants_probe(after(2_000)), "a target that is down answers no health check");
    tracker.record_connected(after(60_000));
    assert_eq!(tracker.cause(after(60_000)), Some(ColdCause::Return));
    assert!(tracker.wants_probe(after(60_000)));
    tracker.record_listing(after(60_100), &listing(1, 2, 0));
    tracker.record_statement(after(59_990), after(60_100), ClockSpan::ZERO);
    assert_eq!(tracker.cause(after(60_100)), Some(ColdCause::Return));
    tracker.record_statement(after(60_110), after(60_120), ClockSpan::new(5_500));
    assert_eq!(tracker.time_left(after(60_120)), ClockSpan::new(5_500));
}

/// Guards against a target under the id of a former one that inherits its warmth.
#[test]
fn later_start_under_the_same_id_is_cold() {
    let mut tracker = warm_tracker();
    tracker.record_listing(after(10_000), &listing(2, 1, 3_000));
    assert_eq!(tracker.cause(after(10_000)), Some(ColdCause::Replacement));
    assert!(tracker.wants_probe(after(10_000)));
    tracker.record_listing(after(11_000), &listing(2, 2, 0));
    assert!(tracker.cause(after(11_000)).is_some(), "the entry may be older than the start");
    tracker.record_listing(after(15_000), &listing(2, 3, 0));
    assert_eq!(tracker.cause(after(15_000)), None);
}

/// Guards against missing that a running target has turned cold, and against health checks with each
/// of its entries.
#[test]
fn running_target_that_is_listed_as_cold_is_checked_once() {
    let mut tracker = warm_tracker();
    tracker.record_listing(after(9_000), &listing(1, 2, 5_000));
    assert_eq!(tracker.cause(after(9_000)), Some(ColdCause::Listing));
    assert!(tracker.wants_probe(after(9_000)));
    tracker.begin_probe(after(9_010));
    tracker.record_statement(after(9_010), after(9_020), ClockSpan::new(4_500));
    tracker.end_probe(after(9_020), true);
    tracker.record_listing(after(11_000), &listing(1, 3, 3_000));
    assert!(!tracker.wants_probe(after(11_000)), "checked again with the next entry");
    assert_eq!(tracker.time_left(after(11_000)), ClockSpan::new(3_000), "the later end holds");
    tracker.record_listing(after(11_100), &listing(1, 4, 0));
    assert!(tracker.cause(after(11_100)).is_some(), "an older entry made it warm");
}

/// Guards against unlimited calls to targets that turned cold during an evacuation.
#[test]
fn target_is_in_doubt_after_an_evacuation() {
    let mut tracker = warm_tracker();
    tracker.record_doubt(after(30_000), ColdCause::EvacuationEnd);
    assert_eq!(tracker.cause(after(30_000)), Some(ColdCause::EvacuationEnd));
    tracker.record_statement(after(30_010), after(30_020), ClockSpan::ZERO);
    assert_eq!(tracker.cause(after(30_020)), None);
}

/// Largest number of calls in any second, at a resolution of 1 ms.
fn max_per_second(times: &[u64]) -> usize {
    let in_second =
        |from: &u64| times.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
    times.iter().map(in_second).max().unwrap_or(0)
}

/// Offers `rate` calls a second with priorities 0 and 2 by turns. The target is cold from
/// `cold_from` ms on. Each call is sent up to `send_delay` ms after it was started. Returns the times
/// at which the calls were sent, and their priorities.
fn overload(rate: f64, cold_from: u64, send_delay: u64) -> Vec<(u64, u8)> {
    let mut queue = SlotQueue::new(9);
    let mut random = Pcg32::seed_from_u64(3);
    let mut priorities = std::collections::BTreeMap::new();
    let mut to_send: Vec<(u64, SlotTicket)> = Vec::new();
    let mut running: Vec<(u64, SlotTicket)> = Vec::new();
    let mut sent = Vec::new();
    let warm = ColdLimit { calls_per_second: 18, until: ClockTime::ZERO };
    queue.set_cold_limit(START, Some(warm));
    for now in 0..12_000 {
        let time = after(now);
        if now == cold_from {
            let limit = ColdLimit { until: ClockTime::new(u64::MAX), ..warm };
            queue.set_cold_limit(time, Some(limit));
        }
        if now == 9_000 {
            queue.reset(9);
            running.clear();
            to_send.clear();
        }
        let mut started = Vec::new();
        if random.random::<f64>() < rate / 1_000.0 {
            let priority = if random.random::<bool>() { 0 } else { 2 };
            let call = QueuedCall {
                route: "r".into(),
                priority,
                soft_deadline: time + ClockSpan::new(500),
                deadline: time + ClockSpan::new(2_000),
                max_wait: ClockSpan::new(2_000),
            };
            match queue.arrive(time, call) {
                AdmissionDecision::Run(ticket) => {
                    priorities.insert(ticket, priority);
                    started.push(ticket);
                }
                AdmissionDecision::Wait(ticket) => {
                    priorities.insert(ticket, priority);
                }
                AdmissionDecision::Busy | AdmissionDecision::Refuse { .. } => (),
            }
        }
        let mut actions = Vec::new();
        queue.poll(time, &mut actions);
        for action in actions {
            if let SlotAction::Run(ticket) = action {
                started.push(ticket);
            }
        }
        let delay = if send_delay == 0 { 0 } else { random.random_range(0..send_delay) };
        to_send.extend(started.into_iter().map(|ticket| (now + delay, ticket)));
        for (_, ticket) in to_send.extract_if(.., |(at, _)| *at <= now) {
            queue.record_sent(time, ticket);
            sent.push((now, priorities[&ticket]));
            running.push((now + 60, ticket));
        }
        for (_, ticket) in running.extract_if(.., |(end, _)| *end <= now) {
            queue.finish(time, ticket, CallEnd::Answered);
        }
    }
    sent
}

/// Guards against more calls in any second than a cold target accepts: in bursts that meet in one
/// second, when it turns cold under load, when calls are sent late, and when another target takes over
/// the address at 9 s.
#[test]
fn cold_target_gets_no_more_than_its_calls_in_any_second() {
    // 12 a second, times 1.5, and 8: the rule of the deployment. The limit is 18.
    const BOUND: usize = 26;
    for (rate, cold_from, send_delay) in
        [(300.0, 0, 0), (300.0, 0, 120), (60.0, 4_000, 0), (300.0, 5_000, 120)]
    {
        let sent = overload(rate, cold_from, send_delay);
        let times: Vec<_> =
            sent.iter().map(|(at, _)| *at).filter(|at| *at >= cold_from + 1_000).collect();
        let most = max_per_second(&times);
        assert!(most <= BOUND, "{most} in a second at {rate} from {cold_from}, {send_delay}");
        let seconds = (12_000 - cold_from - 1_000) / 1_000;
        let least = (12 * seconds) as usize;
        assert!(times.len() >= least, "{} calls in {seconds} s", times.len());
    }
    let exact: Vec<_> = overload(300.0, 0, 0).iter().map(|(at, _)| *at).collect();
    assert!(max_per_second(&exact) <= 18, "more than the limit without any delay");
}

/// Guards against urgent calls that wait while others use up what a cold target accepts.
#[test]
fn urgent_calls_get_the_calls_of_a_cold_target_first() {
    let sent = overload(60.0, 0, 0);
    let urgent = sent.iter().filter(|(at, priority)| *at > 2_000 && *priority == 0).count();
    let all = sent.iter().filter(|(at, _)| *at > 2_000).count();
    assert!(urgent * 10 >= all * 8, "{urgent} of {all} are urgent, at 30 of 60 offered a second");
}

/// Guards against a node that was restarted within the second and grants its cold target all calls
/// once more.
#[test]
fn first_second_of_a_limit_allows_few_calls() {
    let mut queue = SlotQueue::new(9);
    queue.set_cold_limit(START, Some(ColdLimit { calls_per_second: 18, until: after(6_000) }));
    let call = |now: ClockTime| QueuedCall {
        route: "r".into(),
        priority: 0,
        soft_deadline: now + ClockSpan::new(5_000),
        deadline: now + ClockSpan::new(5_000),
        max_wait: ClockSpan::ZERO,
    };
    let mut count = 0;
    for now in 0..900 {
        if let AdmissionDecision::Run(ticket) = queue.arrive(after(now), call(after(now))) {
            queue.finish(after(now), ticket, CallEnd::Answered);
            count += 1;
        }
    }
    // Another process may have sent 18 just before, and the bound is 26.
    assert!((1..=8).contains(&count), "{count} calls");
}

/// Guards against a target that is back after a crash and gets nothing, since the attempts to connect
/// to it while it was down count.
#[test]
fn calls_that_were_not_sent_do_not_count() {
    let mut queue = SlotQueue::new(9);
    queue.set_cold_limit(START, Some(ColdLimit { calls_per_second: 18, until: after(6_000) }));
    let mut sent = 0;
    for now in (2_000..3_000).step_by(20) {
        let time = after(now);
        let call = QueuedCall {
            route: "r".into(),
            priority: 0,
            soft_deadline: time + ClockSpan::new(5_000),
            deadline: time + ClockSpan::new(5_000),
            max_wait: ClockSpan::ZERO,
        };
        let mut started = match queue.arrive(time, call) {
            AdmissionDecision::Run(ticket) => vec![ticket],
            _ => Vec::new(),
        };
        let mut actions = Vec::new();
        queue.poll(time, &mut actions);
        started.extend(actions.into_iter().filter_map(|action| match action {
            SlotAction::Run(ticket) => Some(ticket),
            SlotAction::Refuse { .. } => None,
        }));
        for ticket in started {
            if now < 2_500 {
                queue.record_not_sent(ticket);
            } else {
                sent += 1;
            }
            queue.finish(time, ticket, CallEnd::Aborted);
        }
    }
    // Half of 18, or one less where the half-second begins between two calls.
    assert!((8..=18).contains(&sent), "{sent} calls in half a second");
}

/// Guards against all nodes rushing to listed cold targets, which look idle as long as nothing is
/// reported of them, and against cold targets that get nothing.
#[test]
fn listed_cold_target_gets_its_share() {
    let mut picker = TargetPicker::new("here".into(), 5);
    picker.set_cold_rates([("s".into(), 9.0)].into_iter().collect());
    for index in 0..8_u8 {
        let cold_ms = if index == 0 { DURATION } else { 0 };
        let id = format!("t{index}").into();
        let address = ([10, 0, 0, index + 1], 80).into();
        picker.insert(START, &TargetListing { id, address, ..listing(1, 1, cold_ms) });
    }
    let call = CallParams {
        service: "s".into(),
        route: "r".into(),
        priority: 0,
        kind: RequestKind::Idempotent,
        max_attempts: 2,
        arrived: after(2),
        soft_deadline: after(802),
        deadline: after(2_002),
        body_bytes: 0,
    };
    let picks = (0..1_000)
        .filter(|_| picker.pick(after(2), &call, &[]).is_some_and(|target| &*target.id == "t0"));
    let count = picks.count();
    // 9 slots at 150 ms run 60 calls a second, of which 0.6 are usual: the cold target accepts a
    // quarter of an eighth, 31 of 1,000. Half and double of that are allowed.
    assert!((15..=62).contains(&count), "{count} of 1,000 calls go to the cold target");
}
