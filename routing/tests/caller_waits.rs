//! Plays an overload in which refused callers come back, and checks whose answers come in time.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, CallerWaitEstimator, QueuedCall, SlotAction, SlotQueue, SlotTicket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const SLOTS: u32 = 12;
const SERVICE: f64 = 160.0;
const AIM: u64 = 500;
const DEADLINE: f64 = 3_000.0;
const SECONDS: u64 = 20;

/// A caller, from its first try on.
struct PlayedCaller {
    began: u64,
    deadline: u64,
    tries: u32,
    /// When it was let into the queue last.
    queued: u64,
}

#[derive(Debug, Default)]
struct PlayResult {
    offered: u32,
    in_aim: u32,
    late: u32,
    refusals: u32,
    /// Time in ms that refused callers have spent in the queue.
    held: u64,
}

/// Plays `load` times the capacity of one target. Refused callers come back twice, after what they were
/// told. With `aware`, the node takes the time into account that a caller has waited already.
fn play(load: f64, aware: bool) -> PlayResult {
    let route: Arc<str> = "lookup".into();
    let mut random = Pcg32::seed_from_u64(3);
    let mut waits = CallerWaitEstimator::default();
    let mut queue = SlotQueue::new(SLOTS);
    let mut result = PlayResult::default();
    let mut returning: Vec<(u64, PlayedCaller)> = Vec::new();
    let mut open: BTreeMap<SlotTicket, PlayedCaller> = BTreeMap::new();
    let mut running: Vec<(u64, SlotTicket)> = Vec::new();
    let rate = load * f64::from(SLOTS) / SERVICE;
    for now in 0..SECONDS * 1_000 {
        let time = ClockTime::new(now);
        for (_, ticket) in running.extract_if(.., |(end, _)| *end <= now) {
            queue.finish(time, ticket, CallEnd::Answered);
            let caller = open.remove(&ticket).expect("it runs");
            match now - caller.began {
                taken if taken <= AIM => result.in_aim += 1,
                taken if now < caller.deadline && taken > AIM => result.late += 1,
                _ => (),
            }
        }
        let mut arriving: Vec<_> =
            returning.extract_if(.., |(at, _)| *at <= now).map(|(_, caller)| caller).collect();
        if random.random::<f64>() < rate {
            let patience = 0.85 + 0.15 * random.random::<f64>();
            let deadline = now + (DEADLINE * patience) as u64;
            result.offered += 1;
            arriving.push(PlayedCaller { began: now, deadline, tries: 0, queued: now });
        }
        let mut refused = Vec::new();
        let mut started = Vec::new();
        for mut caller in arriving {
            caller.queued = now;
            let left = ClockSpan::new(caller.deadline.saturating_sub(now));
            let waited = waits.estimate(&route, left);
            let waited = if aware { waited } else { ClockSpan::ZERO };
            let call = QueuedCall {
                route: route.clone(),
                priority: 2,
                soft_deadline: time + ClockSpan::new(AIM).less(waited),
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
                AdmissionDecision::Busy => panic!("the limit is the deadline"),
            }
        }
        let mut actions = Vec::new();
        queue.poll(time, &mut actions);
        for action in actions {
            match action {
                SlotAction::Run(ticket) => started.push(ticket),
                SlotAction::Refuse { ticket, retry_after } => {
                    refused.push((retry_after, open.remove(&ticket).expect("it waits")));
                }
            }
        }
        for ticket in started {
            let factor = 0.7 + 0.6 * random.random::<f64>();
            running.push((now + (SERVICE * factor) as u64, ticket));
        }
        for (retry_after, caller) in refused {
            result.refusals += 1;
            result.held += now - caller.queued;
            let pause = retry_after.millis().min(caller.deadline.saturating_sub(now) / 3);
            if caller.tries < 2 {
                let caller = PlayedCaller { tries: caller.tries + 1, ..caller };
                returning.push((now + pause, caller));
            }
        }
    }
    result
}

/// Guards against an overload in which nearly all answers are late, since callers that were refused before
/// take the slots of those that could still be answered in time.
#[test]
fn returning_callers_do_not_make_all_late() {
    for load in [1.2, 1.5, 2.0] {
        let (unaware, aware) = (play(load, false), play(load, true));
        let worth = |result: &PlayResult| f64::from(result.in_aim) + 0.3 * f64::from(result.late);
        assert!(worth(&aware) > worth(&unaware), "load {load}: {unaware:?}, {aware:?}");
        let capacity = f64::from(SLOTS) / SERVICE * 1_000.0 * SECONDS as f64;
        let share = f64::from(aware.in_aim) / capacity;
        assert!(share > 0.7, "{share} of the capacity at load {load}: {aware:?}");
    }
}

/// Guards against callers that are let into the queue and refused half a second later, when they can no
/// longer be answered within their aim anywhere.
#[test]
fn refused_callers_learn_it_early() {
    for load in [1.2, 1.5, 2.0] {
        let result = play(load, true);
        let held = result.held / u64::from(result.refusals.max(1));
        assert!(held < AIM / 5, "held for {held} ms on average at load {load}: {result:?}");
    }
}

/// Guards against new callers that count as returning ones because they are less patient than others.
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
    assert!(wrong < 40, "{wrong} of 2,000 new callers");
    let waited = waits.estimate(&route, ClockSpan::new(2_000));
    assert!((550..=1_000).contains(&waited.millis()), "{waited:?}");
}
