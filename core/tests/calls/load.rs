//! A deterministic simulation of callers, entry nodes and upstreams with slots, in µs.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use fescuestack_core::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::service::{SLOTS, service};

/// One-way delay to a target in the other data centre, in µs.
const LINK_MICROS: u64 = 3_000;
const SECOND: u64 = 1_000_000;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product's decisions.
    Full,
    /// Random targets behind the product's admission.
    RandomTargets,
    /// The product's balancer before first-come, first-served queues without bound.
    NoAdmission,
    /// The product's balancer and admission with up to two retries after any failure.
    PlainRetries,
}

#[derive(Clone)]
pub struct Load {
    pub policy: Policy,
    pub seed: u64,
    pub targets: usize,
    pub seconds: u64,
    /// Offered load as a share of the capacity.
    pub share: f64,
    pub patience_ms: u64,
    pub service_micros: f64,
    /// A target that is restarted cold at this second.
    pub cold: Option<(usize, u64)>,
    /// A target that reports no load and a short service time, and is three times slower than that.
    pub liar: Option<usize>,
    /// Seconds between which every upstream drops its calls at once.
    pub outage: Option<(u64, u64)>,
}

impl Load {
    pub fn new(policy: Policy, share: f64) -> Load {
        Load {
            policy,
            seed: 7,
            targets: 6,
            seconds: 12,
            share,
            patience_ms: 100,
            service_micros: 10_000.0,
            cold: None,
            liar: None,
            outage: None,
        }
    }

    pub fn run(self) -> Outcome {
        Simulation::new(self).run()
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub offered: u64,
    pub good: u64,
    /// Answered "not run", within patience.
    pub refused: u64,
    /// Calls that the upstreams ran.
    pub runs: Vec<u64>,
    /// Calls that began in an outage, and their runs.
    pub outage_calls: u64,
    pub outage_runs: u64,
    /// Times of good calls in µs, in order.
    pub times: Vec<u64>,
    /// Good calls in each second.
    pub seconds: Vec<u64>,
}

impl Outcome {
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.offered as f64
    }

    pub fn time(&self, share: f64) -> u64 {
        let last = self.times.len().saturating_sub(1);
        self.times.get((last as f64 * share) as usize).copied().unwrap_or(0)
    }
}

struct Call {
    began: u64,
    entry: usize,
    plan: RequestPlan,
    choice: Option<TargetChoice>,
    attempt: u32,
    ended: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord, Clone, Copy)]
enum Event {
    Arrive,
    Reach { call: usize, attempt: u32, target: usize, left_ms: u64 },
    Served { target: usize, ticket: CallTicket, began: u64 },
    ServedPlain { target: usize, call: usize, attempt: u32, began: u64 },
    Back { call: usize, attempt: u32, code: u16, began: u64, load: [u32; 4] },
    Poll { target: usize },
    Timeout { call: usize },
}

struct Target {
    gate: TargetGate,
    calls: HashMap<CallTicket, (usize, u32)>,
    /// Without admission.
    queue: VecDeque<(usize, u32)>,
    running: u32,
    served_cold: f64,
}

struct Simulation {
    load: Load,
    now: u64,
    rng: Pcg32,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    view: ServiceView,
    targets: Vec<Target>,
    entries: Vec<(TargetBalancer, RetryBudget)>,
    calls: Vec<Call>,
    outcome: Outcome,
}

impl Simulation {
    fn new(load: Load) -> Simulation {
        let view = service(0..load.targets, 1_000, 1_000);
        let started = ClockTime::new(1_000_000);
        let gate = |number: usize| {
            let settings = GateSettings {
                node: view.targets[number].name.clone(),
                admission: AdmissionSettings { slots: SLOTS, queue_limit: 1_000 },
                key_window: ClockSpan::new(1_000),
                drain_bound: ClockSpan::new(1_000),
            };
            TargetGate::new(settings, started)
        };
        let target = |number| Target {
            gate: gate(number),
            calls: HashMap::new(),
            queue: VecDeque::new(),
            running: 0,
            served_cold: f64::MAX,
        };
        let entry = |number: u64| {
            let place = if number.is_multiple_of(2) { "a" } else { "b" };
            let delay = ClockSpan::new(LINK_MICROS / 1_000);
            let balancer = TargetBalancer::new(&view, place.into(), delay, load.seed ^ number);
            (balancer, RetryBudget::new())
        };
        let targets = (0..load.targets).map(target).collect();
        let entries = (0..6).map(entry).collect();
        let outcome = Outcome {
            runs: vec![0; load.targets],
            seconds: vec![0; load.seconds as usize + 1],
            ..Outcome::default()
        };
        let rng = Pcg32::seed_from_u64(load.seed);
        let events = BinaryHeap::new();
        let calls = Vec::new();
        let (now, number) = (0, 0);
        Simulation { load, now, rng, events, number, view, targets, entries, calls, outcome }
    }

    fn run(mut self) -> Outcome {
        self.at(0, Event::Arrive);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            if let Some((target, second)) = self.load.cold
                && now >= second * SECOND
                && self.targets[target].served_cold == f64::MAX
            {
                self.targets[target].served_cold = 0.0;
                let name = self.view.targets[target].name.clone();
                let clock = self.clock();
                self.entries.iter_mut().for_each(|entry| entry.0.restarted(clock, &name));
            }
            self.handle(event);
        }
        self.outcome.times.sort_unstable();
        self.outcome
    }

    fn at(&mut self, after: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + after, self.number, event)));
    }

    fn clock(&self) -> ClockTime {
        ClockTime::new(1_000_000 + self.now / 1_000)
    }

    fn in_outage(&self, at: u64) -> bool {
        self.load.outage.is_some_and(|(from, to)| (from * SECOND..to * SECOND).contains(&at))
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn service_micros(&mut self, target: usize) -> u64 {
        let mut micros = self.load.service_micros * (0.2 + 0.8 * self.exponential());
        if self.load.liar == Some(target) {
            micros *= 3.0;
        }
        // The first 200 calls after a cold start take up to ten times as long.
        let cold = (1.0 - self.targets[target].served_cold / 200.0).max(0.0);
        self.targets[target].served_cold += 1.0;
        (micros * (1.0 + 9.0 * cold)) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { call, attempt, target, left_ms } => {
                self.reach(call, attempt, target, left_ms);
            }
            Event::Served { target, ticket, began } => self.served(target, ticket, began),
            Event::ServedPlain { target, call, attempt, began } => {
                self.targets[target].running -= 1;
                self.answer(target, call, attempt, ResultCode::Done, began);
                self.serve_plain(target);
            }
            Event::Back { call, attempt, code, began, load } => {
                self.back(call, attempt, code, began, load);
            }
            Event::Poll { target } => self.poll(target),
            Event::Timeout { call } => {
                if !self.calls[call].ended {
                    let attempt = self.calls[call].attempt;
                    let code = ResultCode::PatienceOver.number();
                    self.back(call, attempt, code, self.now, [0; 4]);
                    self.calls[call].ended = true;
                }
            }
        }
    }

    fn arrive(&mut self) {
        let capacity =
            (self.load.targets as u32 * SLOTS) as f64 / self.load.service_micros * SECOND as f64;
        let gap = self.exponential() * SECOND as f64 / (capacity * self.load.share);
        if self.now + (gap as u64) < self.load.seconds * SECOND {
            self.at(gap as u64, Event::Arrive);
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let deadline = CallDeadline::new(self.clock(), ClockSpan::new(self.load.patience_ms));
        let plan = RequestPlan::new(PlanCall {
            kind: RouteKind::Lookup,
            key: None,
            deadline,
            nested: false,
        });
        let call = self.calls.len();
        let began = self.now;
        self.calls.push(Call { began, entry, plan, choice: None, attempt: 0, ended: false });
        self.outcome.offered += 1;
        self.outcome.outage_calls += u64::from(self.in_outage(began));
        self.at(self.load.patience_ms * 1_000, Event::Timeout { call });
        if self.load.policy == Policy::Full {
            let clock = self.clock();
            let (balancer, budget) = &mut self.entries[entry];
            let step = self.calls[call].plan.start(clock, &self.view, balancer, budget);
            self.follow(call, step);
        } else {
            self.send_plain(call);
        }
    }

    fn follow(&mut self, call: usize, step: PlanStep) {
        match step {
            PlanStep::Dispatch { target, deadline, .. } => {
                let left_ms = deadline.left(self.clock()).millis();
                self.dispatch(call, target, left_ms);
            }
            PlanStep::Answer(answer) => self.end(call, answer.code),
        }
    }

    fn send_plain(&mut self, call: usize) {
        let clock = self.clock();
        let index = self.rng.random_range(0..self.load.targets);
        let name = self.view.targets[index].name.clone();
        let balancer = &mut self.entries[self.calls[call].entry].0;
        let choice = match self.load.policy {
            Policy::RandomTargets => balancer.choose_named(&name),
            _ => balancer.choose(clock, &[]),
        };
        let spent = (self.now - self.calls[call].began) / 1_000;
        let left_ms = self.load.patience_ms.saturating_sub(spent);
        self.dispatch(call, choice.expect("a target"), left_ms);
    }

    fn delay(&self, call: usize, target: usize) -> u64 {
        if self.calls[call].entry % 2 == target % 2 { 0 } else { LINK_MICROS }
    }

    fn dispatch(&mut self, call: usize, choice: TargetChoice, left_ms: u64) {
        let target = choice.index;
        self.calls[call].attempt += 1;
        self.calls[call].choice = Some(choice);
        let attempt = self.calls[call].attempt;
        let delay = self.delay(call, target);
        self.at(delay, Event::Reach { call, attempt, target, left_ms });
    }

    fn reach(&mut self, call: usize, attempt: u32, target: usize, left_ms: u64) {
        let clock = self.clock();
        if self.load.policy == Policy::NoAdmission {
            self.targets[target].queue.push_back((call, attempt));
            return self.serve_plain(target);
        }
        let print = RequestFingerprint::from_number(call as u64);
        let step = self.targets[target].gate.arrive(
            clock,
            GateCall {
                class: "council/public".into(),
                kind: RouteKind::Lookup,
                deadline: CallDeadline::new(clock, ClockSpan::new(left_ms)),
                fingerprint: print,
                key: None,
                key_fingerprint: print,
            },
        );
        match step {
            GateStep::Run(ticket) => {
                self.targets[target].calls.insert(ticket, (call, attempt));
                self.begin(target, ticket);
            }
            GateStep::Wait(ticket) => {
                self.targets[target].calls.insert(ticket, (call, attempt));
                self.at(left_ms * 1_000, Event::Poll { target });
            }
            GateStep::Reply(reply) => self.answer(target, call, attempt, reply.code, self.now),
            GateStep::Ask(_) => unreachable!("no call has a key"),
        }
    }

    fn begin(&mut self, target: usize, ticket: CallTicket) {
        let clock = self.clock();
        match self.targets[target].gate.dispatch(clock, ticket) {
            Ok(()) => {
                let call = self.targets[target].calls[&ticket].0;
                let micros = self.count_run(target, call);
                self.at(micros, Event::Served { target, ticket, began: self.now });
            }
            Err(reply) => {
                let ended = self.targets[target].calls.remove(&ticket);
                let (call, attempt) = ended.expect("a call of this target");
                self.answer(target, call, attempt, reply.code, self.now);
            }
        }
    }

    /// Counts a run and draws its time: in an outage, the connection is dropped after 0.5 ms.
    fn count_run(&mut self, target: usize, call: usize) -> u64 {
        self.outcome.runs[target] += 1;
        let began = self.calls[call].began;
        self.outcome.outage_runs += u64::from(self.in_outage(began));
        if self.in_outage(self.now) {
            return 500;
        }
        self.service_micros(target)
    }

    fn served(&mut self, target: usize, ticket: CallTicket, began: u64) {
        let clock = self.clock();
        let outcome = if self.in_outage(began) {
            GateOutcome::Lost(ResultCode::UpstreamLost)
        } else {
            GateOutcome::Done { service_micros: self.now - began, answer: None }
        };
        let code = self.targets[target].gate.finish(clock, ticket, outcome);
        let ended = self.targets[target].calls.remove(&ticket);
        let (call, attempt) = ended.expect("a call of this target");
        self.answer(target, call, attempt, code, began);
        self.poll(target);
    }

    fn poll(&mut self, target: usize) {
        let mut actions = Vec::new();
        let clock = self.clock();
        self.targets[target].gate.poll(clock, &mut actions);
        for action in actions {
            match action {
                GateAction::Run(ticket) => self.begin(target, ticket),
                GateAction::Reply(ticket, reply) => {
                    let ended = self.targets[target].calls.remove(&ticket);
                    let (call, attempt) = ended.expect("a call of this target");
                    self.answer(target, call, attempt, reply.code, self.now);
                }
            }
        }
    }

    fn serve_plain(&mut self, target: usize) {
        while self.targets[target].running < SLOTS {
            let Some((call, attempt)) = self.targets[target].queue.pop_front() else { return };
            self.targets[target].running += 1;
            let micros = self.count_run(target, call);
            let began = self.now;
            self.at(micros, Event::ServedPlain { target, call, attempt, began });
        }
    }

    fn answer(&mut self, target: usize, call: usize, attempt: u32, code: ResultCode, began: u64) {
        let mut load = self.targets[target].gate.load();
        if self.load.policy == Policy::NoAdmission {
            load.running = self.targets[target].running;
            load.queued = self.targets[target].queue.len() as u32;
        }
        if self.load.liar == Some(target) {
            load = LoadReport { running: 0, queued: 0, service_micros: 1_000, ..load };
        }
        let load = [load.running, load.queued, load.slots, load.service_micros];
        let code = code.number();
        let delay = self.delay(call, target);
        self.at(delay, Event::Back { call, attempt, code, began, load });
    }

    fn back(&mut self, index: usize, attempt: u32, code: u16, began: u64, load: [u32; 4]) {
        let call = &mut self.calls[index];
        if call.ended || call.attempt != attempt {
            return;
        }
        let code = ResultCode::from_number(code).expect("a code");
        let [running, queued, slots, service_micros] = load;
        let load = LoadReport { running, queued, slots, service_micros };
        let end = AttemptEnd {
            code,
            from_target: true,
            retry_after: None,
            load: (slots > 0).then_some(load),
            micros: self.now - began,
        };
        let clock = ClockTime::new(1_000_000 + self.now / 1_000);
        let (balancer, budget) = &mut self.entries[call.entry];
        if self.load.policy == Policy::Full {
            let step = call.plan.resume(clock, &self.view, balancer, budget, &end);
            return self.follow(index, step);
        }
        if let Some(choice) = call.choice.take() {
            balancer.finish(clock, &choice, end.outcome(), end.load);
        }
        let spent = self.now - call.began;
        let has_time = spent < self.load.patience_ms * 1_000;
        let failed = code != ResultCode::Done;
        if self.load.policy == Policy::PlainRetries && failed && has_time && attempt < 3 {
            return self.send_plain(index);
        }
        self.end(index, code);
    }

    fn end(&mut self, call: usize, code: ResultCode) {
        let call = &mut self.calls[call];
        call.ended = true;
        let spent = self.now - call.began;
        match code.outcome() {
            Some(CallOutcome::Done) if spent <= self.load.patience_ms * 1_000 => {
                self.outcome.good += 1;
                self.outcome.times.push(spent);
                self.outcome.seconds[(self.now / SECOND) as usize] += 1;
            }
            Some(CallOutcome::NotRun) => self.outcome.refused += 1,
            _ => (),
        }
    }
}
