//! Plays callers of different priority that ask a service for more than it can do, and checks what
//! each priority gets and how long refused callers are held.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, CallerWaitEstimator, QueuedCall, RepeatGuard, RoomEstimator,
    SlotAction, SlotQueue, SlotTicket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const NODES: usize = 12;
const TARGETS: usize = 4;
const SLOTS: u32 = 18;
const SERVICE_MS: f64 = 150.0;
const SOFT_TIMEOUT_MS: u64 = 500;
const DEADLINE_MS: u64 = 1_500;
const PLAYED_MS: u64 = 8_000;
const PRIORITIES: usize = 3;

/// Seeds of the plays that are added up. What one play gives differs by a few calls in a hundred.
const SEEDS: [u64; 3] = [3, 5, 7];

/// Delay after which callers come back that do not wait as they are told.
const IMPATIENT_MS: u64 = 20;

/// Share of the callers that do not wait, in the loads in which some do not.
const IMPATIENT_SHARE: f64 = 0.2;

struct Caller {
    priority: usize,
    node: usize,
    started: u64,
    deadline: u64,
    arrived: u64,
    retries: u32,
    impatient: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct CallerResult {
    callers: u32,
    served: u32,
    in_time: u32,
    refusals: u32,
    held_ms: u64,
    late_refusals: u32,
}

impl CallerResult {
    fn add(&mut self, other: &CallerResult) {
        self.callers += other.callers;
        self.served += other.served;
        self.in_time += other.in_time;
        self.refusals += other.refusals;
        self.held_ms += other.held_ms;
        self.late_refusals += other.late_refusals;
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct PlayResult {
    priorities: [CallerResult; PRIORITIES],
    impatient: CallerResult,
}

impl PlayResult {
    fn served(&self) -> u32 {
        self.priorities.iter().map(|result| result.served).sum()
    }

    fn late_refusals(&self) -> u32 {
        self.priorities.iter().map(|result| result.late_refusals).sum()
    }
}

struct Service {
    queues: Vec<SlotQueue>,
    rooms: Vec<RoomEstimator>,
    repeats: Vec<RepeatGuard>,
    waits: Vec<CallerWaitEstimator>,
    open: BTreeMap<(usize, SlotTicket), Caller>,
    running: Vec<(u64, usize, SlotTicket)>,
    retrying: Vec<(u64, Caller)>,
    result: PlayResult,
    impatient_share: f64,
    /// Random numbers of the arrivals, which are the same in plays that are compared.
    arrivals: Pcg32,
    choices: Pcg32,
}

impl Service {
    fn count(&mut self, caller: &Caller, record: impl Fn(&mut CallerResult)) {
        record(&mut self.result.priorities[caller.priority]);
        if caller.impatient {
            record(&mut self.result.impatient);
        }
    }

    fn refuse(&mut self, now: u64, mut caller: Caller, retry_after: ClockSpan) {
        let held_ms = now - caller.arrived;
        let deadline = ClockTime::new(caller.deadline);
        self.repeats[caller.node].record_refused(
            ClockTime::new(now),
            RequestFingerprint::from_number(caller.started),
            deadline,
            retry_after,
        );
        self.count(&caller, |result| {
            result.refusals += 1;
            result.held_ms += held_ms;
            result.late_refusals += u32::from(held_ms > 100);
        });
        let wait = retry_after.millis().min(caller.deadline.saturating_sub(now) / 3);
        let (wait, retries) = if caller.impatient { (IMPATIENT_MS, 3) } else { (wait, 1) };
        if caller.retries < retries {
            caller.retries += 1;
            self.retrying.push((now + wait.max(1), caller));
        }
    }

    fn arrive(&mut self, now: u64, mut caller: Caller, at_door: bool) {
        caller.arrived = now;
        let time = ClockTime::new(now);
        let (service, priority): (Arc<str>, _) = ("desk".into(), caller.priority as u8);
        let route: Arc<str> = format!("route-{priority}").into();
        let left = ClockSpan::new(caller.deadline.saturating_sub(now));
        let waited = self.waits[caller.node].estimate(&route, left);
        let target = self.choices.random_range(0..TARGETS);
        let random = self.choices.random::<f64>();
        if at_door {
            // The node has recent reports of some of the targets.
            let queue = &self.queues[target];
            let free = || queue.running() < SLOTS as usize && !queue.has_waiting();
            let deadline = ClockTime::new(caller.deadline);
            let request = RequestFingerprint::from_number(caller.started);
            let early = self.repeats[caller.node].time_left(time, request, deadline);
            if let Some(retry_after) = early
                && !free()
            {
                return self.refuse(now, caller, retry_after);
            }
            let admitted = self.rooms[caller.node].admit(
                time,
                (&service, priority),
                !waited.is_zero(),
                random,
                free,
            );
            if let Err(retry_after) = admitted {
                return self.refuse(now, caller, retry_after);
            }
        }
        let call = QueuedCall {
            route,
            priority,
            soft_deadline: time + ClockSpan::new(SOFT_TIMEOUT_MS).less(waited),
            deadline: time + left,
            max_wait: left,
        };
        match self.queues[target].arrive(time, call) {
            AdmissionDecision::Run(ticket) => self.start(now, target, ticket, caller),
            AdmissionDecision::Wait(ticket) => {
                self.open.insert((target, ticket), caller);
            }
            AdmissionDecision::Refuse { retry_after } => {
                self.rooms[caller.node].record_refused(time, (&service, priority), retry_after);
                self.refuse(now, caller, retry_after);
            }
            AdmissionDecision::Busy => panic!("the wait limit is the deadline"),
        }
    }

    fn start(&mut self, now: u64, target: usize, ticket: SlotTicket, caller: Caller) {
        let factor = 0.6 + 0.8 * self.choices.random::<f64>();
        self.running.push((now + (SERVICE_MS * factor) as u64, target, ticket));
        self.open.insert((target, ticket), caller);
    }

    fn step(&mut self, now: u64, load: f64, at_door: bool) {
        let time = ClockTime::new(now);
        let ended: Vec<_> = self.running.extract_if(.., |(end, ..)| *end <= now).collect();
        for (_, target, ticket) in ended {
            self.queues[target].finish(time, ticket, CallEnd::Answered);
            let caller = self.open.remove(&(target, ticket)).expect("the call is running");
            let in_time = now - caller.started <= SOFT_TIMEOUT_MS;
            self.count(&caller, |result| {
                result.served += u32::from(now <= caller.deadline);
                result.in_time += u32::from(in_time);
            });
        }
        let back: Vec<_> = self.retrying.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, caller) in back {
            self.arrive(now, caller, at_door);
        }
        let rate = load * f64::from(SLOTS) * TARGETS as f64 / SERVICE_MS;
        for priority in 0..PRIORITIES {
            if self.arrivals.random::<f64>() >= rate / PRIORITIES as f64 {
                continue;
            }
            let patience = 0.85 + 0.15 * self.arrivals.random::<f64>();
            let node = self.arrivals.random_range(0..NODES);
            let impatient = self.arrivals.random::<f64>() < self.impatient_share;
            let deadline = now + (DEADLINE_MS as f64 * patience) as u64;
            let (started, arrived, retries) = (now, now, 0);
            let caller = Caller { priority, node, started, deadline, arrived, retries, impatient };
            self.count(&caller, |result| result.callers += 1);
            self.arrive(now, caller, at_door);
        }
        for target in 0..TARGETS {
            let mut actions = Vec::new();
            self.queues[target].poll(time, &mut actions);
            for action in actions {
                let (SlotAction::Run(ticket) | SlotAction::Refuse { ticket, .. }) = action;
                let caller = self.open.remove(&(target, ticket)).expect("the call is queued");
                match action {
                    SlotAction::Run(_) => self.start(now, target, ticket, caller),
                    SlotAction::Refuse { retry_after, .. } => {
                        let class = (&"desk".into(), caller.priority as u8);
                        self.rooms[caller.node].record_refused(time, class, retry_after);
                        self.refuse(now, caller, retry_after);
                    }
                }
            }
        }
    }
}

/// Plays a load that is `load(ms)` times the capacity with several seeds. With `at_door`, nodes
/// refuse requests that have no chance.
fn play(load: impl Fn(u64) -> f64, impatient_share: f64, at_door: bool) -> PlayResult {
    let mut sum = PlayResult::default();
    for seed in SEEDS {
        let result = play_seed(&load, impatient_share, at_door, seed);
        for (sum, result) in sum.priorities.iter_mut().zip(&result.priorities) {
            sum.add(result);
        }
        sum.impatient.add(&result.impatient);
    }
    sum
}

fn play_seed(
    load: impl Fn(u64) -> f64,
    impatient_share: f64,
    at_door: bool,
    seed: u64,
) -> PlayResult {
    let mut service = Service {
        queues: (0..TARGETS).map(|_| SlotQueue::new(SLOTS)).collect(),
        repeats: (0..NODES).map(|_| RepeatGuard::new()).collect(),
        rooms: (0..NODES).map(|_| RoomEstimator::new()).collect(),
        waits: (0..NODES).map(|_| CallerWaitEstimator::default()).collect(),
        open: BTreeMap::new(),
        running: Vec::new(),
        retrying: Vec::new(),
        result: PlayResult::default(),
        impatient_share,
        arrivals: Pcg32::seed_from_u64(seed),
        choices: Pcg32::seed_from_u64(seed + 1_000),
    };
    for now in 0..PLAYED_MS {
        service.step(now, load(now), at_door);
    }
    service.result
}

/// Guards against callers of a low priority that wait for a refusal, and against a door that costs
/// the more urgent callers, or all callers together, more than it saves.
#[test]
fn door_refuses_early_and_serves_no_less() {
    for load in [0.8, 1.0, 1.5, 2.0] {
        let (before, after) = (play(|_| load, 0.0, false), play(|_| load, 0.0, true));
        let context = format!("load {load}: {before:?}, {after:?}");
        assert!(after.served() * 100 >= before.served() * 98, "{context}");
        for priority in 0..PRIORITIES - 1 {
            let (was, is) = (before.priorities[priority], after.priorities[priority]);
            assert!(is.served * 100 >= was.served * 98, "priority {priority}, {context}");
        }
        let (was, is) = (before.priorities[2], after.priorities[2]);
        assert!(is.served * 2 >= was.served, "the least urgent starve, {context}");
        assert!(after.late_refusals() <= before.late_refusals(), "{context}");
    }
}

/// Guards against a door that stays closed after a burst.
#[test]
fn door_opens_after_a_burst() {
    let load = |now| if (2_000..4_000).contains(&now) { 2.5 } else { 0.7 };
    let (before, after) = (play(load, 0.0, false), play(load, 0.0, true));
    assert!(after.served() * 100 >= before.served() * 97, "{before:?}, {after:?}");
}

/// Guards against callers that get more by coming back at once than by waiting as they are told.
#[test]
fn impatient_callers_gain_nothing() {
    for load in [1.5, 2.0] {
        let after = play(|_| load, IMPATIENT_SHARE, true);
        let share = |result: &PlayResult| {
            let (callers, served) =
                result.priorities.iter().fold((0, 0), |(callers, served), all| {
                    (callers + all.callers, served + all.served)
                });
            let impatient = result.impatient;
            let patient =
                f64::from(served - impatient.served) / f64::from(callers - impatient.callers);
            (patient, f64::from(impatient.served) / f64::from(impatient.callers))
        };
        let (patient, impatient) = share(&after);
        assert!(impatient <= patient * 1.05, "load {load}: {patient}, {impatient}, {after:?}");
    }
}

/// Guards against callers that are taken for others that have repeated the same request at once, and
/// against callers that are refused although they wait as long as a third of their time allows.
#[test]
fn only_early_callers_are_recognized() {
    let mut guard = RepeatGuard::new();
    let at = |ms| ClockTime::new(ms);
    let (request, other) = (RequestFingerprint::from_number(7), RequestFingerprint::from_number(8));
    guard.record_refused(at(1_000), request, at(2_200), ClockSpan::new(2_000));
    assert!(
        guard.time_left(at(1_050), request, at(2_205)).is_some(),
        "the caller has come back at once"
    );
    assert_eq!(guard.time_left(at(1_050), request, at(2_500)), None, "another caller");
    assert_eq!(guard.time_left(at(1_050), other, at(2_200)), None, "another request");
    assert_eq!(
        guard.time_left(at(1_400), request, at(2_200)),
        None,
        "a third of the time has passed"
    );
}

/// Guards against a door that shuts out a priority completely, or that refuses requests although
/// targets have free slots.
#[test]
fn some_requests_always_pass() {
    let service: Arc<str> = "desk".into();
    let class = (&service, 2);
    let mut room = RoomEstimator::new();
    let mut random = Pcg32::seed_from_u64(9);
    let mut passed = 0;
    for index in 0..2_000 {
        let now = ClockTime::new(1_000 + index * 10);
        if room.admit(now, class, false, random.random(), || false).is_ok() {
            passed += 1;
            room.record_refused(now, class, ClockSpan::new(400));
        }
    }
    assert!((20..600).contains(&passed), "{passed} of 2,000 requests passed");
    let now = ClockTime::new(21_000);
    assert_eq!(room.admit(now, class, false, 0.0, || true), Ok(()), "a target has a free slot");
    assert_eq!(room.admit(now, class, true, 0.0, || false), Ok(()), "the caller has waited");
    let retry_after = room.admit(now, class, false, 0.0, || false).expect_err("no room");
    assert!((300..=500).contains(&retry_after.millis()), "{retry_after:?}");
}
