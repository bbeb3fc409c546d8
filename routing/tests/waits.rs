//! Simulates an overload in which refused callers retry, and checks which callers are answered in
//! time.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, CallerWaitEstimator, QueuedCall, SlotAction, SlotQueue, SlotTicket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const SLOTS: u32 = 12;
const SERVICE_MS: f64 = 160.0;
const SOFT_TIMEOUT_MS: u64 = 500;
const DEADLINE_MS: f64 = 3_000.0;
const SECONDS: u64 = 20;

/// A caller, starting with its first attempt.
struct SimulatedCaller {
    started: u64,
    deadline: u64,
    attempts: u32,
    /// Time at which its last attempt arrived at the queue.
    queued: u64,
}

#[derive(Debug, Default)]
struct SimulationResult {
    offered: u32,
    in_time: u32,
    late: u32,
    refusals: u32,
    /// Total time in ms that refused callers have spent in the queue.
    refused_queue_ms: u64,
}

/// Simulates `load` times the capacity of one target. Refused callers retry twice, after the delay
/// that they were told. With `estimate_waits`, the node takes into account how long a caller has
/// already waited.
fn simulate(load: f64, estimate_waits: bool) -> SimulationResult {
    let route: Arc<str> = "lookup".into();
    let mut random = Pcg32::seed_from_u64(3);
    let mut waits = CallerWaitEstimator::default();
    let mut queue = SlotQueue::new(SLOTS);
    let mut result = SimulationResult::default();
    let mut retrying: Vec<(u64, SimulatedCaller)> = Vec::new();
    let mut open: BTreeMap<SlotTicket, SimulatedCaller> = BTreeMap::new();
    let mut running: Vec<(u64, SlotTicket)> = Vec::new();
    let rate = load * f64::from(SLOTS) / SERVICE_MS;
    for now in 0..SECONDS * 1_000 {
        let time = ClockTime::new(now);
        for (_, ticket) in running.extract_if(.., |(end, _)| *end <= now) {
            queue.finish(time, ticket, CallEnd::Answered);
            let caller = open.remove(&ticket).expect("the call is running");
            match now - caller.started {
                taken if taken <= SOFT_TIMEOUT_MS => result.in_time += 1,
                taken if now < caller.deadline && taken > SOFT_TIMEOUT_MS => result.late += 1,
                _ => (),
            }
        }
        let mut arriving: Vec<_> =
            retrying.extract_if(.., |(at, _)| *at <= now).map(|(_, caller)| caller).collect();
        if random.random::<f64>() < rate {
            let patience = 0.85 + 0.15 * random.random::<f64>();
            let deadline = now + (DEADLINE_MS * patience) as u64;
            result.offered += 1;
            arriving.push(SimulatedCaller { started: now, deadline, attempts: 0, queued: now });
        }
        let mut refused = Vec::new();
        let mut started = Vec::new();
        for mut caller in arriving {
            caller.queued = now;
            let left = ClockSpan::new(caller.deadline.saturating_sub(now));
            let waited = waits.estimate(&route, left);
            let waited = if estimate_waits { waited } else { ClockSpan::ZERO };
            let call = QueuedCall {
                route: route.clone(),
                priority: 2,
                soft_deadline: time + ClockSpan::new(SOFT_TIMEOUT_MS).less(waited),
                deadline: time + left,
                max_wait: left,
            };
            match queue.arrive(time, call) {
                AdmissionDecision::Run(ticket) => {
                    open.insert(ticket, caller);
                    started.push(ticket);
                }
                AdmissionDecision::Wait(ticket) => {
                    open.insert(ticket, caller);
                }
                AdmissionDecision::Refuse { retry_after } => refused.push((retry_after, caller)),
                AdmissionDecision::Busy => {
                    panic!("the wait limit is the deadline, so no call is busy")
                }
            }
        }
        let mut actions = Vec::new();
        queue.poll(time, &mut actions);
        for action in actions {
            match action {
                SlotAction::Run(ticket) => started.push(ticket),
                SlotAction::Refuse { ticket, retry_after } => {
                    refused.push((retry_after, open.remove(&ticket).expect("the call is queued")));
                }
            }
        }
        for ticket in started {
            let factor = 0.7 + 0.6 * random.random::<f64>();
            running.push((now + (SERVICE_MS * factor) as u64, ticket));
        }
        for (retry_after, caller) in refused {
            result.refusals += 1;
            result.refused_queue_ms += now - caller.queued;
            let pause = retry_after.millis().min(caller.deadline.saturating_sub(now) / 3);
            if caller.attempts < 2 {
                let caller = SimulatedCaller { attempts: caller.attempts + 1, ..caller };
                retrying.push((now + pause, caller));
            }
        }
    }
    result
}

/// Guards against an overload in which nearly all answers are late, because callers that were
/// refused before take the slots of callers that could still be answered in time.
#[test]
fn retrying_callers_do_not_make_all_late() {
    for load in [1.2, 1.5, 2.0] {
        let (unaware, aware) = (simulate(load, false), simulate(load, true));
        let utility =
            |result: &SimulationResult| f64::from(result.in_time) + 0.3 * f64::from(result.late);
        assert!(utility(&aware) > utility(&unaware), "load {load}: {unaware:?}, {aware:?}");
        let capacity = f64::from(SLOTS) / SERVICE_MS * 1_000.0 * SECONDS as f64;
        let share = f64::from(aware.in_time) / capacity;
        assert!(share > 0.7, "calls in time are {share} of the capacity at load {load}: {aware:?}");
    }
}

/// Guards against callers that are queued and refused half a second later, when no target can
/// answer them before their soft deadline any more.
#[test]
fn refusals_reach_callers_early() {
    for load in [1.2, 1.5, 2.0] {
        let result = simulate(load, true);
        let queue_ms = result.refused_queue_ms / u64::from(result.refusals.max(1));
        assert!(
            queue_ms < SOFT_TIMEOUT_MS / 5,
            "refused callers were queued for {queue_ms} ms on average at load {load}: {result:?}"
        );
    }
}

/// Guards against new callers that are taken for retrying ones because they have a shorter timeout
/// than others.
#[test]
fn new_callers_have_not_waited() {
    let route: Arc<str> = "r".into();
    let mut waits = CallerWaitEstimator::default();
    let mut random = Pcg32::seed_from_u64(5);
    let mut wrong = 0;
    for _ in 0..2_000 {
        let left = ClockSpan::new((3_000.0 * (0.85 + 0.15 * random.random::<f64>())) as u64);
        wrong += u32::from(!waits.estimate(&route, left).is_zero());
    }
    assert!(wrong < 40, "{wrong} of 2,000 new callers were taken for retrying ones");
    let waited = waits.estimate(&route, ClockSpan::new(2_000));
    assert!((550..=1_000).contains(&waited.millis()), "{waited:?}");
}
