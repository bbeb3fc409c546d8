//! Simulates loads in front of one target and checks the results for callers.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, QueuedCall, RateLimit, SlotAction, SlotQueue, SlotTicket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const SLOTS: u32 = 6;

fn call(now: u64, route: &str, priority: u8, soft_timeout: u64, deadline: u64) -> QueuedCall {
    QueuedCall {
        route: route.into(),
        priority,
        soft_deadline: ClockTime::new(now + soft_timeout),
        deadline: ClockTime::new(now + deadline),
        max_wait: ClockSpan::new(deadline),
    }
}

/// Results of the calls of one route.
#[derive(Debug, Default, Clone, Copy)]
struct RouteResult {
    offered: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Longest time until a refusal, in ms.
    slowest_refusal_ms: u64,
}

#[derive(Clone, Copy)]
struct RouteLoad {
    name: &'static str,
    /// Start of its calls, in ms.
    from: u64,
    priority: u8,
    /// Calls per second.
    rate: f64,
    service: u64,
    soft_timeout: u64,
    deadline: u64,
}

/// Simulates ten seconds in steps of 1 ms.
fn simulate(loads: &[RouteLoad]) -> BTreeMap<&'static str, RouteResult> {
    simulate_slow_start(loads, 0, 1)
}

/// Simulates a target that is slower by `factor` until `slow_until`. Only calls that arrive at
/// least two seconds after that are counted.
fn simulate_slow_start(
    loads: &[RouteLoad],
    slow_until: u64,
    factor: u64,
) -> BTreeMap<&'static str, RouteResult> {
    let counted_from = if factor > 1 { slow_until + 2_000 } else { 0 };
    let mut queue = SlotQueue::new(SLOTS);
    let mut random = Pcg32::seed_from_u64(7);
    let mut results: BTreeMap<&'static str, RouteResult> = BTreeMap::new();
    let mut calls: BTreeMap<SlotTicket, (usize, u64)> = BTreeMap::new();
    let mut running: Vec<(u64, SlotTicket)> = Vec::new();
    for now in 0..10_000 {
        let time = ClockTime::new(now);
        let ended: Vec<_> = running.iter().filter(|(end, _)| *end <= now).copied().collect();
        running.retain(|(end, _)| *end > now);
        for (_, ticket) in ended {
            queue.finish(time, ticket, CallEnd::Answered);
            let (index, arrived) = calls[&ticket];
            let load = &loads[index];
            if arrived < counted_from {
                continue;
            }
            let result = results.entry(load.name).or_default();
            match now - arrived {
                taken if taken <= load.soft_timeout => result.in_time += 1,
                taken if taken <= load.deadline => result.late += 1,
                _ => (),
            }
        }
        let mut started = Vec::new();
        for (index, load) in loads.iter().enumerate() {
            if now < load.from || random.random::<f64>() >= load.rate / 1000.0 {
                continue;
            }
            let mut uncounted = RouteResult::default();
            let result = match now < counted_from {
                true => &mut uncounted,
                false => results.entry(load.name).or_default(),
            };
            result.offered += 1;
            let request = call(now, load.name, load.priority, load.soft_timeout, load.deadline);
            match queue.arrive(time, request) {
                AdmissionDecision::Run(ticket) => {
                    calls.insert(ticket, (index, now));
                    started.push(ticket);
                }
                AdmissionDecision::Wait(ticket) => {
                    calls.insert(ticket, (index, now));
                }
                AdmissionDecision::Busy | AdmissionDecision::Refuse { .. } => result.refused += 1,
            }
        }
        let mut actions = Vec::new();
        queue.poll(time, &mut actions);
        for action in actions {
            match action {
                SlotAction::Run(ticket) => started.push(ticket),
                SlotAction::Refuse { ticket, .. } => {
                    let (index, arrived) = calls[&ticket];
                    if arrived < counted_from {
                        continue;
                    }
                    let result = results.entry(loads[index].name).or_default();
                    result.refused += 1;
                    result.slowest_refusal_ms = result.slowest_refusal_ms.max(now - arrived);
                }
            }
        }
        for ticket in started {
            let (index, _) = calls[&ticket];
            let slowness = if now < slow_until { factor as f64 } else { 1.0 };
            let factor = slowness * (0.7 + 0.6 * random.random::<f64>());
            running.push((now + (loads[index].service as f64 * factor) as u64, ticket));
        }
        assert!(running.len() <= SLOTS as usize, "more calls are running than there are slots");
    }
    results
}

fn lookups(rate: f64) -> RouteLoad {
    RouteLoad {
        name: "lookup",
        from: 0,
        priority: 2,
        rate,
        service: 120,
        soft_timeout: 400,
        deadline: 1_500,
    }
}

/// Guards against a congestion collapse: at three times the capacity, the slots must stay busy with
/// calls that are answered in time.
#[test]
fn overload_keeps_goodput() {
    let capacity = f64::from(SLOTS) / 0.120;
    let full = simulate(&[lookups(capacity)])["lookup"];
    let over = simulate(&[lookups(3.0 * capacity)])["lookup"];
    assert!(f64::from(full.in_time + full.late) > 0.85 * f64::from(full.offered), "{full:?}");
    let goodput = f64::from(over.in_time + over.late) / (10.0 * capacity);
    assert!(goodput > 0.9, "goodput {goodput}: {over:?}");
}

/// Guards against calls that are queued until shortly before their deadline and then refused.
#[test]
fn refusals_come_early() {
    let results = simulate(&[
        lookups(60.0),
        RouteLoad {
            name: "payment",
            from: 0,
            priority: 1,
            rate: 30.0,
            service: 160,
            soft_timeout: 500,
            deadline: 2_000,
        },
    ]);
    let result = results["lookup"];
    assert!(result.refused > 0, "{result:?}");
    assert!(
        result.slowest_refusal_ms < 800,
        "a call was refused after {} ms",
        result.slowest_refusal_ms
    );
}

/// Long calls that use all slots, and short urgent calls made by targets.
fn search_and_check(check_from: u64) -> [RouteLoad; 2] {
    let search = RouteLoad {
        name: "search",
        from: 0,
        priority: 2,
        rate: 14.0,
        service: 480,
        soft_timeout: 1_200,
        deadline: 5_000,
    };
    let check = RouteLoad {
        name: "check",
        from: check_from,
        priority: 1,
        rate: 36.0,
        service: 30,
        soft_timeout: 150,
        deadline: 400,
    };
    [search, check]
}

/// Requirement: calls of a lower priority may be served more often by at most five percentage
/// points.
fn assert_urgent_served(results: &BTreeMap<&'static str, RouteResult>) {
    let served = |name| {
        let result: RouteResult = results[name];
        f64::from(result.in_time + result.late) / f64::from(result.offered)
    };
    assert!(served("check") >= served("search") - 0.05, "{results:?}");
}

/// Guards against urgent calls that fail because of less urgent ones. Calls made by targets have a
/// short soft deadline and occupy a slot of their caller.
#[test]
fn urgent_calls_pass_long_ones() {
    assert_urgent_served(&simulate(&search_and_check(0)));
}

/// Guards against a route that is refused permanently because it has never been measured. A node
/// that restarted while long calls filled all slots assumed their service time for the short ones.
#[test]
fn unmeasured_route_is_admitted() {
    assert_urgent_served(&simulate(&search_and_check(3_000)));
}

/// Guards against a route that is refused permanently because it was slow when it was last
/// measured.
#[test]
fn slow_route_is_admitted_again() {
    assert_urgent_served(&simulate_slow_start(&search_and_check(0), 3_000, 12));
}

/// Guards against less urgent calls that run before more urgent ones.
#[test]
fn priority_precedes_arrival_order() {
    let mut queue = SlotQueue::new(1);
    let start = ClockTime::new(0);
    let AdmissionDecision::Run(first) = queue.arrive(start, call(0, "a", 2, 500, 2_000)) else {
        panic!("a call was not run although a slot was free");
    };
    let AdmissionDecision::Wait(low) = queue.arrive(start, call(0, "a", 2, 500, 2_000)) else {
        panic!("a call was not queued although the queue was short");
    };
    let AdmissionDecision::Wait(high) = queue.arrive(start, call(0, "a", 0, 500, 2_000)) else {
        panic!("an urgent call was not queued although the queue was short");
    };
    let now = ClockTime::new(100);
    queue.finish(now, first, CallEnd::Answered);
    let mut actions = Vec::new();
    queue.poll(now, &mut actions);
    assert_eq!(actions, [SlotAction::Run(high)]);
    queue.cancel(high);
    actions.clear();
    queue.poll(now, &mut actions);
    assert_eq!(actions, [SlotAction::Run(low)]);
}

/// Guards against calls to a target that is shutting down: queued calls are refused as not run.
#[test]
fn closed_queue_refuses_all() {
    let mut queue = SlotQueue::new(1);
    let start = ClockTime::new(0);
    queue.arrive(start, call(0, "a", 1, 500, 2_000));
    let AdmissionDecision::Wait(waiting) = queue.arrive(start, call(0, "a", 1, 500, 2_000)) else {
        panic!("a call was not queued although the queue was short");
    };
    queue.set_open(false);
    let mut actions = Vec::new();
    queue.poll(start, &mut actions);
    assert!(
        matches!(actions[..], [SlotAction::Refuse { ticket, .. }] if ticket == waiting),
        "{actions:?}"
    );
    let step = queue.arrive(start, call(0, "a", 1, 500, 2_000));
    assert!(matches!(step, AdmissionDecision::Refuse { .. }), "{step:?}");
}

/// Guards against an estimate that adds up all running calls. It refused short calls although a
/// slot became free every 80 ms.
#[test]
fn wait_is_until_first_free_slot() {
    let mut queue = SlotQueue::new(SLOTS);
    let AdmissionDecision::Run(ticket) = queue.arrive(ClockTime::new(0), search(0)) else {
        panic!("a call was not run although a slot was free");
    };
    queue.finish(ClockTime::new(480), ticket, CallEnd::Answered);
    let mut now = 500;
    for _ in 0..SLOTS {
        now += 80;
        queue.arrive(ClockTime::new(now), search(now));
    }
    let check = call(now, "check", 1, 600, 1_200);
    let limited = QueuedCall { max_wait: ClockSpan::new(100), ..check };
    let step = queue.arrive(ClockTime::new(now), limited);
    assert!(matches!(step, AdmissionDecision::Wait(_)), "{step:?}");
}

fn search(now: u64) -> QueuedCall {
    QueuedCall { route: Arc::from("search"), ..call(now, "", 2, 1_200, 5_000) }
}

/// Starts of calls in ms at a target that limits its rate from the first second on. Calls of 100 ms
/// arrive at `rate` calls per second.
fn starts_at_limited_target(limit: f64, rate: f64) -> Vec<u64> {
    let mut queue = SlotQueue::new(SLOTS);
    let mut random = Pcg32::seed_from_u64(11);
    let mut running: Vec<(u64, SlotTicket)> = Vec::new();
    let mut starts = Vec::new();
    for now in 0..15_000 {
        let time = ClockTime::new(now);
        if now == 1_000 {
            queue.set_rate_limit(RateLimit::new(limit));
        }
        let ended: Vec<_> = running.iter().filter(|(end, _)| *end <= now).copied().collect();
        running.retain(|(end, _)| *end > now);
        for (_, ticket) in ended {
            queue.finish(time, ticket, CallEnd::Answered);
        }
        let mut started = Vec::new();
        if random.random::<f64>() < rate / 1_000.0 {
            match queue.arrive(time, call(now, "r", 1, 400, 1_000)) {
                AdmissionDecision::Run(ticket) => started.push(ticket),
                AdmissionDecision::Refuse { retry_after } => assert!(!retry_after.is_zero()),
                AdmissionDecision::Wait(_) | AdmissionDecision::Busy => (),
            }
        }
        let mut actions = Vec::new();
        queue.poll(time, &mut actions);
        started.extend(actions.into_iter().filter_map(|action| match action {
            SlotAction::Run(ticket) => Some(ticket),
            SlotAction::Refuse { .. } => None,
        }));
        starts.extend(started.iter().map(|_| now));
        running.extend(started.into_iter().map(|ticket| (now + 100, ticket)));
    }
    starts
}

/// Guards against a queue that admits calls by free slots only, so that a target that limits its
/// rate gets more, and against one that uses far less than the limit allows.
#[test]
fn rate_limit_holds_at_any_load() {
    for (limit, rate) in [(0.0, 50.0), (0.4, 5.0), (3.0, 50.0), (14.6, 20.0), (25.0, 200.0)] {
        let starts: Vec<_> =
            starts_at_limited_target(limit, rate).into_iter().filter(|at| *at >= 4_000).collect();
        for start in &starts {
            let in_window =
                starts.iter().filter(|at| (*start..start + 4_000).contains(at)).count() as f64;
            let allowed = 1.5 * limit * 4.0 + 5.0;
            assert!(
                in_window <= allowed,
                "{in_window} calls in 4 s at {limit}/s, {allowed} allowed"
            );
        }
        let expected = limit.min(rate) * 11.0 * 0.8;
        let count = starts.len() as f64;
        assert!(
            count >= expected,
            "{count} calls in 11 s at a limit of {limit}/s, {rate}/s arrive"
        );
    }
}

/// Guards against a limited target whose callers are held until their deadline: a call that the
/// limit does not allow in time is refused when it arrives.
#[test]
fn calls_beyond_the_rate_limit_are_refused_at_once() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.set_rate_limit(RateLimit::new(1.0));
    let now = ClockTime::new(5_000);
    assert!(matches!(queue.arrive(now, call(5_000, "r", 1, 400, 800)), AdmissionDecision::Run(_)));
    let decision = queue.arrive(now, call(5_000, "r", 1, 400, 800));
    let AdmissionDecision::Refuse { retry_after } = decision else {
        panic!("the call was not refused: {decision:?}");
    };
    assert!(retry_after >= ClockSpan::new(500), "{retry_after:?}");
    queue.set_rate_limit(None);
    assert!(matches!(queue.arrive(now, call(5_000, "r", 1, 400, 800)), AdmissionDecision::Run(_)));
}
