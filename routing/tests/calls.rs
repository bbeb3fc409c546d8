//! Checks that calls of runs are recognized, and that they and clients' calls each get a share of a
//! target's slots.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, CallOrigin, CallProfile, QueuedCall, RunId, SlotAction, SlotQueue,
    SlotTicket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Calls after which a node has learned that runs make them.
const LEARNING_CALLS: u32 = 40;

/// Calls of each route, with those that a node attributes to a run.
#[derive(Debug, Default)]
struct Attribution {
    run_calls: (u32, u32),
    client_calls: (u32, u32),
}

/// Plays 20 seconds of a target with `runs` concurrent runs of 380 ms, each of which makes two calls,
/// while clients on the same VM send requests of their own. The target gives its calls `limit` ms at
/// most.
fn attribute(runs: u64, limit: u64) -> Attribution {
    let (search, rates, check): (Arc<str>, Arc<str>, Arc<str>) =
        ("search".into(), "rates".into(), "check".into());
    let mut random = Pcg32::seed_from_u64(7);
    let mut profile = CallProfile::new();
    let mut result = Attribution::default();
    let mut active: Vec<(u64, RunId)> = Vec::new();
    let mut calls: Vec<(u64, u64)> = Vec::new();
    let mut seen_calls = 0;
    for now in 0..20_000 {
        let time = ClockTime::new(now);
        for (_, id) in active.extract_if(.., |(end, _)| *end <= now) {
            profile.end_run(id);
        }
        if now % (380 / runs) == 0 {
            let deadline = now + 1_200 + random.random_range(0..800);
            let id = profile.begin_run(time, &search, 2, ClockTime::new(deadline));
            active.push((now + 380, id));
            let limited = deadline.min(now + 50 + limit);
            calls.extend([(now + 50, limited), (now + 50, limited)]);
        }
        for (_, deadline) in calls.extract_if(.., |(at, _)| *at <= now) {
            // The node measures the time that is left from when the call arrives.
            let delay = ClockSpan::new(random.random_range(0..12));
            let deadline = ClockTime::new(deadline) + delay;
            let run = profile.record_arrival(time + delay, &rates, deadline);
            assert!(run.as_ref().is_none_or(|run| run.priority == 2 && run.route == search));
            seen_calls += 1;
            if seen_calls <= LEARNING_CALLS {
                continue;
            }
            result.run_calls.0 += 1;
            result.run_calls.1 += u32::from(run.is_some());
        }
        if now % 40 == 0 {
            let deadline = ClockTime::new(now + 1_000 + random.random_range(0..200));
            result.client_calls.0 += 1;
            let run = profile.record_arrival(time, &check, deadline);
            result.client_calls.1 += u32::from(run.is_some());
        }
    }
    let needs = profile.needs("search");
    let need = needs.iter().find(|need| need.route == rates).expect("the call is known");
    assert!((1.2..=2.1).contains(&need.calls_per_run), "{needs:?}");
    result
}

/// Guards against calls of runs that are refused as if their callers had waited and come back, and
/// against clients that are preferred because their deadlines resemble those of runs.
#[test]
fn calls_of_runs_are_told_from_those_of_clients() {
    for runs in [1, 5, 18] {
        let result = attribute(runs, 5_000);
        let (calls, found) = result.run_calls;
        assert!(f64::from(found) > 0.8 * f64::from(calls), "{runs} runs: {result:?}");
        let (calls, found) = result.client_calls;
        assert!(f64::from(found) < 0.02 * f64::from(calls), "{runs} runs: {result:?}");
    }
}

/// Guards against calls of runs that are not recognized because the target gives them less time than
/// the run has.
#[test]
fn calls_with_a_limit_of_their_own_are_recognized() {
    for runs in [5, 18] {
        let result = attribute(runs, 1_500);
        let (calls, found) = result.run_calls;
        assert!(f64::from(found) > 0.8 * f64::from(calls), "{runs} runs: {result:?}");
        let (calls, found) = result.client_calls;
        assert!(f64::from(found) < 0.02 * f64::from(calls), "{runs} runs: {result:?}");
    }
}

/// Guards against a profile that grows with the number of routes.
#[test]
fn profile_keeps_frequent_routes_among_many() {
    let mut profile = CallProfile::new();
    let (parent, child): (Arc<str>, Arc<str>) = ("parent".into(), "child".into());
    let mut found = 0;
    for index in 0..2_000 {
        let now = ClockTime::new(index * 20);
        let deadline = now + ClockSpan::new(1_000);
        let id = profile.begin_run(now, &parent, 1, deadline);
        found += u32::from(profile.record_arrival(now, &child, deadline).is_some());
        profile.end_run(id);
        let other: Arc<str> = format!("other-{index}").into();
        let id = profile.begin_run(now, &other, 1, deadline);
        assert!(profile.record_arrival(now, &other, deadline + ClockSpan::new(900)).is_none());
        profile.end_run(id);
    }
    assert!(found > 1_900, "{found} of 2,000 calls were attributed");
    assert_eq!(profile.needs("other-0"), []);
}

/// Calls of a kind at a target.
#[derive(Debug, Clone, Copy)]
struct CallLoad {
    origin: CallOrigin,
    priority: u8,
    /// Load in multiples of the target's capacity.
    load: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct LoadResult {
    offered: u32,
    served: u32,
}

const SLOTS: u32 = 18;
const SERVICE_MS: f64 = 110.0;
/// Length of a load.
const PLAYED_MS: u64 = 6_000;

/// Plays calls at one target. With `known_origins`, the target's node knows which of
/// them runs make.
fn play(loads: &[CallLoad], known_origins: bool) -> Vec<LoadResult> {
    let mut random = Pcg32::seed_from_u64(11);
    let mut queue = SlotQueue::new(SLOTS);
    let mut results = vec![LoadResult::default(); loads.len()];
    let mut open: BTreeMap<SlotTicket, usize> = BTreeMap::new();
    let mut running: Vec<(u64, SlotTicket)> = Vec::new();
    for now in 0..PLAYED_MS {
        let time = ClockTime::new(now);
        for (_, ticket) in running.extract_if(.., |(end, _)| *end <= now) {
            queue.finish(time, ticket, CallEnd::Answered);
            let kind = open.remove(&ticket).expect("the call is running");
            results[kind].served += 1;
        }
        let mut started = Vec::new();
        for (kind, load) in loads.iter().enumerate() {
            if random.random::<f64>() >= load.load * f64::from(SLOTS) / SERVICE_MS {
                continue;
            }
            results[kind].offered += 1;
            let call = QueuedCall {
                route: format!("{kind}").into(),
                priority: load.priority,
                soft_deadline: time + ClockSpan::new(400),
                deadline: time + ClockSpan::new(1_200),
                max_wait: ClockSpan::new(1_200),
            };
            let origin = if known_origins { load.origin } else { CallOrigin::Client };
            match queue.arrive_from(time, call, origin) {
                AdmissionDecision::Run(ticket) => {
                    open.insert(ticket, kind);
                    started.push(ticket);
                }
                AdmissionDecision::Wait(ticket) => {
                    open.insert(ticket, kind);
                }
                AdmissionDecision::Busy | AdmissionDecision::Refuse { .. } => (),
            }
        }
        let mut actions = Vec::new();
        queue.poll(time, &mut actions);
        for action in actions {
            match action {
                SlotAction::Run(ticket) => started.push(ticket),
                SlotAction::Refuse { ticket, .. } => {
                    open.remove(&ticket);
                }
            }
        }
        for ticket in started {
            let factor = 0.6 + 0.8 * random.random::<f64>();
            running.push((now + (SERVICE_MS * factor) as u64, ticket));
        }
    }
    results
}

fn share(result: LoadResult) -> f64 {
    f64::from(result.served) / f64::from(result.offered.max(1))
}

/// Guards against runs that occupy a slot and then fail because clients' calls of their own priority
/// take the slots that their calls need, and against clients that get nothing while runs call.
#[test]
fn calls_of_runs_precede_equal_clients() {
    let client = |load| CallLoad { origin: CallOrigin::Client, priority: 2, load };
    let run = |load| CallLoad { origin: CallOrigin::Run, priority: 2, load };
    for total in [0.8, 1.0, 1.5, 2.0] {
        let loads = [client(total * 0.6), run(total * 0.4)];
        let (before, after) = (play(&loads, false), play(&loads, true));
        assert!(share(after[1]) >= share(before[1]) - 0.01, "load {total}: {before:?}, {after:?}");
        // Runs' calls are sure of half of the starts.
        let due = (0.5 / loads[1].load).min(1.0);
        assert!(share(after[1]) > 0.85 * due, "load {total}: {before:?}, {after:?}");
        let served =
            |results: &[LoadResult]| results.iter().map(|result| result.served).sum::<u32>();
        assert!(
            f64::from(served(&after)) >= 0.98 * f64::from(served(&before)),
            "load {total}: {before:?}, {after:?}"
        );
    }
    let after = play(&[client(1.0), run(3.0)], true);
    let capacity = f64::from(SLOTS) / SERVICE_MS * PLAYED_MS as f64;
    assert!(f64::from(after[0].served) > 0.35 * capacity, "clients starve: {after:?}");
}

/// Guards against runs whose calls are starved by more urgent calls of clients, and against urgent
/// clients that pay for it with more than a bounded share of the slots.
#[test]
fn calls_of_runs_keep_a_share_beside_urgent_clients() {
    let loads = [
        CallLoad { origin: CallOrigin::Client, priority: 0, load: 2.0 },
        CallLoad { origin: CallOrigin::Run, priority: 2, load: 0.5 },
    ];
    let after = play(&loads, true);
    let capacity = f64::from(SLOTS) / SERVICE_MS * PLAYED_MS as f64;
    let urgent = f64::from(after[0].served) / capacity;
    assert!(urgent > 0.8, "urgent clients get {urgent} of the capacity: {after:?}");
    let all = f64::from(after[0].served + after[1].served);
    let all = all / f64::from(after[0].offered + after[1].offered);
    assert!(share(after[1]) > all / 4.0, "calls of runs starve: {after:?}");
}
