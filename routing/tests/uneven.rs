//! Plays targets of different speed, and traffic splits of which one part is short of room.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AdmissionDecision, AttemptEnd, CallEnd, CallParams, CallPlan, PlanStep, QueuedCall,
    RequestKind, RetryAllowance, RetryBudget, RouteRule, SlotAction, SlotLoad, SlotQueue,
    SlotTicket, StorePosition, TargetFeedback, TargetListing, TargetPicker, TargetState,
    WeightedService,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const NODES: usize = 8;
const SLOTS: u32 = 18;
const SERVICE_MS: f64 = 150.0;
const SOFT_TIMEOUT: ClockSpan = ClockSpan::new(800);
const DEADLINE: ClockSpan = ClockSpan::new(2_000);
const PLAYED_MS: u64 = 8_000;

/// Time in which nodes learn the speeds. Calls that arrive in it are not counted.
const LEARNING_MS: u64 = 2_000;

/// Times of the targets in multiples of the usual one.
const TIME_FACTORS: [f64; 6] = [0.6, 0.6, 1.0, 1.0, 1.6, 1.6];

fn listing(index: usize, service: &str) -> TargetListing {
    TargetListing {
        id: format!("{service}-{index}").into(),
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, index as u8 + 1], 80)),
        data_centre: "here".into(),
        slots: SLOTS,
        state: TargetState::Ready,
        cold_time_left: ClockSpan::ZERO,
        started_ms: 1,
        sequence: 1,
        position: StorePosition { era: 0, revision: 1 },
    }
}

fn params(now: ClockTime, service: &Arc<str>) -> CallParams {
    CallParams {
        service: service.clone(),
        route: "r".into(),
        priority: 1,
        kind: RequestKind::Idempotent,
        max_attempts: 2,
        arrived: now,
        soft_deadline: now + SOFT_TIMEOUT,
        deadline: now + DEADLINE,
        body_bytes: 0,
    }
}

/// Calls at one target.
#[derive(Debug, Default, Clone, Copy)]
struct TargetResult {
    placed: u32,
    in_time: u32,
    refused: u32,
}

#[derive(Debug)]
struct PlacedCall {
    node: usize,
    arrived: u64,
}

struct Playground {
    pickers: Vec<TargetPicker>,
    queues: Vec<SlotQueue>,
    open: BTreeMap<(usize, SlotTicket), PlacedCall>,
    running: Vec<(u64, usize, SlotTicket)>,
    results: [TargetResult; TIME_FACTORS.len()],
    service_times: Pcg32,
}

impl Playground {
    fn reply(&mut self, now: u64, node: usize, target: usize, feedback: TargetFeedback) {
        let (time, id, route) = (ClockTime::new(now), format!("s-{target}"), "r".into());
        let queue = &self.queues[target];
        let load = SlotLoad { route_service_time: queue.route_time("r"), ..queue.load(time) };
        self.pickers[node].record_load(time, &id, &route, load);
        self.pickers[node].record_end(time, &id, feedback);
    }

    fn refuse(&mut self, now: u64, target: usize, call: &PlacedCall) {
        self.results[target].refused += u32::from(call.arrived >= LEARNING_MS);
        self.reply(now, call.node, target, TargetFeedback::Refused);
    }

    fn start(&mut self, now: u64, target: usize, ticket: SlotTicket, call: PlacedCall) {
        let factor = TIME_FACTORS[target] * (0.6 + 0.8 * self.service_times.random::<f64>());
        self.running.push((now + (SERVICE_MS * factor) as u64, target, ticket));
        self.open.insert((target, ticket), call);
    }

    fn arrive(&mut self, now: u64, node: usize) {
        let time = ClockTime::new(now);
        let params = params(time, &"s".into());
        let picked = self.pickers[node].pick(time, &params, &[]).expect("all targets are ready");
        self.pickers[node].record_sent(&picked.id, params.priority);
        let target = usize::from(picked.id.as_bytes()[2] - b'0');
        let call = PlacedCall { node, arrived: now };
        self.results[target].placed += u32::from(now >= LEARNING_MS);
        let queued = QueuedCall {
            route: params.route,
            priority: params.priority,
            soft_deadline: params.soft_deadline,
            deadline: params.deadline,
            max_wait: DEADLINE,
        };
        match self.queues[target].arrive(time, queued) {
            AdmissionDecision::Run(ticket) => self.start(now, target, ticket, call),
            AdmissionDecision::Wait(ticket) => {
                self.open.insert((target, ticket), call);
            }
            AdmissionDecision::Busy | AdmissionDecision::Refuse { .. } => {
                self.refuse(now, target, &call);
            }
        }
    }

    fn step(&mut self, now: u64) {
        let time = ClockTime::new(now);
        let ended: Vec<_> = self.running.extract_if(.., |(end, ..)| *end <= now).collect();
        for (_, target, ticket) in ended {
            self.queues[target].finish(time, ticket, CallEnd::Answered);
            let call = self.open.remove(&(target, ticket)).expect("the call is running");
            let in_time = now - call.arrived <= SOFT_TIMEOUT.millis();
            self.results[target].in_time += u32::from(in_time && call.arrived >= LEARNING_MS);
            self.reply(now, call.node, target, TargetFeedback::Served);
        }
        for target in 0..TIME_FACTORS.len() {
            let mut actions = Vec::new();
            self.queues[target].poll(time, &mut actions);
            for action in actions {
                let (SlotAction::Run(ticket) | SlotAction::Refuse { ticket, .. }) = action;
                let call = self.open.remove(&(target, ticket)).expect("the call is queued");
                match action {
                    SlotAction::Run(_) => self.start(now, target, ticket, call),
                    SlotAction::Refuse { .. } => self.refuse(now, target, &call),
                }
            }
        }
    }
}

/// Plays `load` times the capacity of all targets together.
fn play(load: f64) -> [TargetResult; TIME_FACTORS.len()] {
    let mut playground = Playground {
        pickers: (0..NODES).map(|node| TargetPicker::new("here".into(), node as u64)).collect(),
        queues: TIME_FACTORS.iter().map(|_| SlotQueue::new(SLOTS)).collect(),
        open: BTreeMap::new(),
        running: Vec::new(),
        results: Default::default(),
        service_times: Pcg32::seed_from_u64(2),
    };
    for picker in &mut playground.pickers {
        for target in 0..TIME_FACTORS.len() {
            picker.insert(ClockTime::new(0), &listing(target, "s"));
        }
    }
    let mut arrivals = Pcg32::seed_from_u64(1);
    let capacity: f64 =
        TIME_FACTORS.iter().map(|factor| f64::from(SLOTS) / (SERVICE_MS * factor)).sum();
    for now in 0..PLAYED_MS {
        playground.step(now);
        if arrivals.random::<f64>() < load * capacity {
            playground.arrive(now, arrivals.random_range(0..NODES));
        }
    }
    playground.results
}

/// Guards against slow targets that get as many calls as fast ones and answer them late or refuse
/// them, while fast ones are idle.
#[test]
fn calls_are_placed_by_what_targets_finish() {
    for load in [0.6, 0.8, 0.9] {
        let results = play(load);
        let placed: u32 = results.iter().map(|result| result.placed).sum();
        let in_time: u32 = results.iter().map(|result| result.in_time).sum();
        let refused: u32 = results.iter().map(|result| result.refused).sum();
        assert!(refused * 100 <= placed, "load {load}: {refused} of {placed}, {results:?}");
        // Calls that run when the play ends are not counted as answered.
        assert!(in_time * 100 >= placed * 95, "load {load}: {in_time} of {placed}, {results:?}");
    }
    let results = play(0.9);
    let (fast, slow) =
        (results[0].placed + results[1].placed, results[4].placed + results[5].placed);
    assert!(fast >= slow * 2, "{results:?}");
    let results = play(1.5);
    for (result, factor) in results.iter().zip(TIME_FACTORS) {
        let time_ms = (PLAYED_MS - LEARNING_MS) as f64;
        let possible = f64::from(SLOTS) * time_ms / (SERVICE_MS * factor);
        assert!(f64::from(result.in_time) > 0.8 * possible, "factor {factor}: {results:?}");
    }
}

/// Guards against requests of a part of a traffic split that are moved to another part because their
/// own has no room, and against a part whose share shrinks while it refuses requests.
#[test]
fn split_does_not_move_refused_requests() {
    let part = |service: &str, weight| WeightedService { service: service.into(), weight };
    let rule = RouteRule::new("r".into(), "/".into(), RequestKind::Idempotent)
        .with_split(vec![part("full", 3), part("free", 1)]);
    let mut picker = TargetPicker::new("here".into(), 1);
    for index in 0..3 {
        picker.insert(ClockTime::new(0), &listing(index, "full"));
        picker.insert(ClockTime::new(0), &listing(index + 3, "free"));
    }
    let mut budget = RetryBudget::new();
    let allowance = RetryAllowance::new(0.2, 60.0, 1);
    let (mut refused, mut answered) = (0, 0);
    for index in 0..800 {
        let now = ClockTime::new(index * 10);
        let service = rule.next_service(0).expect("a service").clone();
        let mut plan = CallPlan::new(params(now, &service));
        loop {
            match plan.next_step(now, &mut picker, &mut budget, allowance) {
                PlanStep::Send { target, .. } => {
                    assert!(target.id.starts_with(&*service), "{service}: {target:?}");
                    plan.record_end(match &*service {
                        "full" => AttemptEnd::Refused { retry_after: ClockSpan::new(300) },
                        _ => AttemptEnd::Answered { failed: false },
                    });
                }
                PlanStep::Answer => {
                    answered += 1;
                    break;
                }
                PlanStep::Refuse { .. } => {
                    refused += 1;
                    break;
                }
                PlanStep::Fail => panic!("no request has run without an answer"),
            }
        }
    }
    assert!((590..=610).contains(&refused), "{refused} refused");
    assert_eq!(refused + answered, 800);
}
