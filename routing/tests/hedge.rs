//! Second requests for slow calls: what they change for callers, and their limits.

use std::collections::HashMap;
use std::net::SocketAddr;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AdmissionDecision, AttemptEnd, CallEnd, CallParams, CallPlan, HedgeBook, HedgeDecision,
    HedgeHold, PickedTarget, PlanStep, PriorityCounts, QueuedCall, RateLimit, RequestKind,
    RetryAllowance, RetryBudget, SlotAction, SlotLoad, SlotQueue, SlotTicket, SlowCall,
    StorePosition, TargetFeedback, TargetListing, TargetPicker, TargetState,
};
use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const NOW: ClockTime = ClockTime::new(100_000);
const RATIO: f64 = 0.2;

fn entry(index: u8, data_centre: &str, cold_ms: u64) -> TargetListing {
    TargetListing {
        id: format!("t{index}").into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, index], 80)),
        data_centre: data_centre.into(),
        slots: 4,
        state: TargetState::Ready,
        cold_time_left: ClockSpan::new(cold_ms),
        started_ms: 1,
        sequence: 1,
        position: StorePosition { era: 0, revision: 1 },
    }
}

fn call(now: ClockTime, kind: RequestKind, max_attempts: u32) -> CallParams {
    CallParams {
        service: "s".into(),
        route: "r".into(),
        priority: 1,
        kind,
        max_attempts,
        arrived: now,
        soft_deadline: now + ClockSpan::new(1_000),
        deadline: now + ClockSpan::new(2_000),
        body_bytes: 0,
    }
}

fn load(running: u32, queued: u32) -> SlotLoad {
    let mut counts = PriorityCounts::new();
    counts.add(1, queued);
    let service_time = ClockSpan::new(100);
    SlotLoad {
        running,
        queued: counts,
        service_time,
        route_service_time: Some(service_time),
        ..SlotLoad::default()
    }
}

/// One node's state: idle targets, a measured route whose runs take 100 ms or, one in thirty, 700 ms,
/// and a full budget.
struct Node {
    picker: TargetPicker,
    book: HedgeBook,
    budget: RetryBudget,
    allowance: RetryAllowance,
}

impl Node {
    fn new(targets: &[TargetListing], max_ratio: f64, nodes: usize, seed: u64) -> Node {
        let mut node = Node::measured(targets, max_ratio, nodes, seed);
        for _ in 0..300 {
            node.book.record_call(&"s".into());
            node.budget.record_call(node.allowance);
        }
        node
    }

    /// Like [`Node::new`], with nothing saved up.
    fn measured(targets: &[TargetListing], max_ratio: f64, nodes: usize, seed: u64) -> Node {
        let mut picker = TargetPicker::new("here".into(), seed);
        for target in targets {
            picker.insert(NOW, target);
            picker.record_load(NOW, &target.id, &"r".into(), load(0, 0));
        }
        let mut node = Node {
            picker,
            book: HedgeBook::new(max_ratio, seed),
            budget: RetryBudget::new(),
            allowance: RetryAllowance::new(RATIO, 60.0, nodes),
        };
        node.budget.expire_surplus(NOW);
        let call = call(NOW, RequestKind::Idempotent, 2);
        for index in 0..300 {
            node.book.record_load(&call.service, 4, load(1, 0));
            let time = ClockSpan::new(if index % 30 == 0 { 700 } else { 100 });
            node.book.record_end(NOW, &call, AttemptEnd::Answered { failed: false }, time);
        }
        node
    }

    fn begin(&mut self, now: ClockTime, call: CallParams) -> (CallPlan, PickedTarget) {
        let mut plan = CallPlan::new(call);
        let step = plan.next_step(now, &mut self.picker, &mut self.budget, self.allowance);
        let PlanStep::Send { target, .. } = step else { panic!("no target: {step:?}") };
        (plan, target)
    }

    fn decide(&mut self, now: ClockTime, plan: &CallPlan, elapsed: u64) -> HedgeDecision {
        let slow = SlowCall { plan, elapsed: ClockSpan::new(elapsed), is_suspected: false };
        self.book.decide(now, slow, &mut self.picker, &mut self.budget)
    }
}

fn targets() -> Vec<TargetListing> {
    (1..=3).map(|index| entry(index, "here", 0)).collect()
}

fn hold(decision: HedgeDecision) -> Option<HedgeHold> {
    match decision {
        HedgeDecision::Hold { reason, .. } => Some(reason),
        HedgeDecision::Send { .. } => None,
    }
}

/// Decides on a call that has waited for 200 ms at a node that `change` has changed.
fn decision_after(change: impl Fn(&mut Node)) -> Option<HedgeHold> {
    let mut node = Node::new(&targets(), 0.05, 12, 1);
    let (plan, _) = node.begin(NOW, call(NOW, RequestKind::Idempotent, 2));
    change(&mut node);
    hold(node.decide(NOW, &plan, 200))
}

/// Guards against second requests that add load where there is no room for it.
#[test]
fn load_holds_second_requests_back() {
    assert_eq!(decision_after(|_| ()), None);
    let report = |node: &mut Node, load| node.picker.record_load(NOW, "t3", &"r".into(), load);
    assert_eq!(decision_after(|node| report(node, load(4, 1))), Some(HedgeHold::Queue));
    let limited = SlotLoad { rate_limit: RateLimit::new(5.0), ..load(0, 0) };
    assert_eq!(decision_after(|node| report(node, limited)), Some(HedgeHold::RateLimit));
    let cold = |node: &mut Node| node.picker.insert(NOW, &entry(3, "here", 500));
    assert_eq!(decision_after(cold), Some(HedgeHold::Cold));
    let evacuated = |node: &mut Node| {
        node.picker.insert(NOW, &entry(3, "there", 0));
        node.picker.set_evacuated(NOW, &"there".into(), true);
    };
    assert_eq!(decision_after(evacuated), Some(HedgeHold::Evacuation));
    let full = |node: &mut Node| {
        for id in ["t1", "t2", "t3"] {
            node.picker.record_load(NOW, id, &"r".into(), load(4, 0));
        }
    };
    assert_eq!(decision_after(full), Some(HedgeHold::Loaded));
    let refused = AttemptEnd::Refused { retry_after: ClockSpan::new(50) };
    for end in [refused, AttemptEnd::Rejected] {
        let refused = |node: &mut Node| {
            let call = call(NOW, RequestKind::Idempotent, 2);
            node.book.record_end(NOW, &call, end, ClockSpan::ZERO);
        };
        assert_eq!(decision_after(refused), Some(HedgeHold::Shortage));
    }
    let spent = |node: &mut Node| while node.budget.try_spend(true) {};
    let spent = |node: &mut Node| {
        node.budget = RetryBudget::new();
        spent(node);
    };
    assert_eq!(decision_after(spent), Some(HedgeHold::Budget));
}

/// Guards against second requests for calls that are not slow, of unmeasured routes, without another
/// target, for requests that crash targets, and to a target that is not clearly faster.
#[test]
fn second_requests_need_a_slow_call_and_a_faster_target() {
    let mut node = Node::new(&targets(), 0.05, 12, 1);
    let (plan, first) = node.begin(NOW, call(NOW, RequestKind::Idempotent, 2));
    assert_eq!(hold(node.decide(NOW, &plan, 90)), Some(HedgeHold::NotSlow));
    let slow = SlowCall { plan: &plan, elapsed: ClockSpan::new(200), is_suspected: true };
    let decision = node.book.decide(NOW, slow, &mut node.picker, &mut node.budget);
    assert_eq!(decision, HedgeDecision::Hold { reason: HedgeHold::Suspected, check_after: None });
    assert_eq!(hold(node.decide(NOW, &plan, 640)), Some(HedgeHold::NotFaster));
    let HedgeDecision::Send { second, .. } = node.decide(NOW, &plan, 200) else {
        panic!("no second request");
    };
    assert_ne!(second.target.id, first.id);

    let mut unmeasured =
        Node { book: HedgeBook::new(0.05, 1), ..Node::new(&targets(), 0.05, 12, 1) };
    let (plan, _) = unmeasured.begin(NOW, call(NOW, RequestKind::Idempotent, 2));
    assert_eq!(hold(unmeasured.decide(NOW, &plan, 900)), Some(HedgeHold::Unobserved));
    let mut alone = Node::new(&[entry(1, "here", 0)], 0.05, 12, 1);
    let (plan, _) = alone.begin(NOW, call(NOW, RequestKind::Idempotent, 2));
    assert_eq!(hold(alone.decide(NOW, &plan, 200)), Some(HedgeHold::NoTarget));
    // Another data centre is used only while the soft deadline can be met there.
    let mut apart = Node::new(&[entry(1, "here", 0), entry(2, "there", 0)], 0.05, 12, 1);
    let (plan, _) = apart.begin(NOW, call(NOW, RequestKind::Idempotent, 2));
    let late = NOW + ClockSpan::new(950);
    assert_eq!(hold(apart.decide(late, &plan, 200)), Some(HedgeHold::NoTarget));
    assert_eq!(hold(apart.decide(NOW, &plan, 200)), None);
}

quickcheck! {
    /// Guards against a second run of what may run once, and against more runs than `max_attempts`,
    /// whatever is set and whatever happened before.
    fn nothing_is_sent_twice_that_may_run_once(kind: u8, attempts: u8, ends: Vec<u8>, ratio: u8,
        elapsed: u16) -> bool
    {
        let kinds = [RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Upload];
        let kind = kinds[usize::from(kind) % kinds.len()];
        let max_attempts = u32::from(attempts % 5);
        let mut node = Node::new(&targets(), f64::from(ratio) / 255.0, 12, 1);
        let (mut plan, _) = node.begin(NOW, call(NOW, kind, max_attempts));
        let mut deliveries = 0;
        let possible = [
            AttemptEnd::Busy, AttemptEnd::Lost, AttemptEnd::LinkLost, AttemptEnd::Rejected,
            AttemptEnd::Answered { failed: true }, AttemptEnd::NotSent, AttemptEnd::Moved,
            AttemptEnd::Refused { retry_after: ClockSpan::new(50) },
        ];
        for end in ends {
            let end = possible[usize::from(end) % possible.len()];
            let decision = node.decide(NOW, &plan, u64::from(elapsed));
            if let HedgeDecision::Send { second, .. } = decision {
                if !kind.is_idempotent() || deliveries + 2 > max_attempts {
                    return false;
                }
                plan.record_hedge();
                if hold(node.decide(NOW, &plan, 900)) != Some(HedgeHold::NotAllowed) {
                    return false;
                }
                plan.record_hedge_end(&second.target, AttemptEnd::Lost);
            }
            plan.record_end(end);
            deliveries = plan.deliveries();
            let step = plan.next_step(NOW, &mut node.picker, &mut node.budget, node.allowance);
            if !matches!(step, PlanStep::Send { .. }) {
                break;
            }
        }
        deliveries <= max_attempts.max(1)
    }
}

/// Guards against a second request that found no room and ends the request's retries, and against an
/// error that wins while the other target still works.
#[test]
fn end_of_a_second_request_leaves_the_first_running() {
    let mut node = Node::new(&targets(), 0.05, 12, 1);
    for (end, deliveries) in [(AttemptEnd::Busy, 0), (AttemptEnd::Lost, 1)] {
        let (mut plan, first) = node.begin(NOW, call(NOW, RequestKind::Idempotent, 3));
        let second = PickedTarget { id: "t9".into(), ..first };
        plan.record_hedge();
        plan.record_hedge_end(&second, end);
        assert_eq!(plan.deliveries(), deliveries);
        plan.record_end(AttemptEnd::Answered { failed: false });
        let step = plan.next_step(NOW, &mut node.picker, &mut node.budget, node.allowance);
        assert_eq!(step, PlanStep::Answer);
    }
}

/// Repeats in windows of 10 s as the operators count them: those of a window, and the requests of that
/// window or the one before, whichever are more.
fn worst_excess(requests: &[u64], repeats: &[u64], ratio: f64, slack: f64) -> f64 {
    let sum = |counts: &[u64], from: usize| counts[from..from + 10].iter().sum::<u64>() as f64;
    let windows = 10..requests.len() - 10;
    let excess = windows.map(|from| {
        let requested = sum(requests, from).max(sum(requests, from - 10));
        sum(repeats, from) - ratio * requested - slack
    });
    excess.fold(f64::MIN, f64::max)
}

/// Plays `seconds` of a fleet whose calls are all slow, so that each asks for a second request, while a
/// tenth of the nodes serve clients whose requests are rejected and retried as often as the budget
/// allows. Returns requests, retries and second requests of each second.
fn play_fleet(nodes: usize, slack: f64, rate: f64, max_ratio: f64) -> [Vec<u64>; 3] {
    let seconds = 60;
    let mut fleet: Vec<_> = (0..nodes)
        .map(|index| Node::measured(&targets(), max_ratio, nodes, index as u64))
        .collect();
    for node in &mut fleet {
        node.allowance = RetryAllowance::new(RATIO, slack, nodes);
    }
    let mut random = Pcg32::seed_from_u64(7);
    let [mut requests, mut retries, mut hedges] = [const { Vec::new() }; 3];
    for second in 0..seconds {
        let now = NOW + ClockSpan::new(second * 1_000);
        let (mut requested, mut retried, mut hedged) = (0, 0, 0);
        for (index, node) in fleet.iter_mut().enumerate() {
            // All nodes' calls stop at the same time for 5 s, and the clients that repeat begin after
            // half a minute.
            let abused = index % 10 == 0 && second >= 30;
            let rate = if second % 25 >= 20 { 0.0 } else { rate * if abused { 3.0 } else { 1.0 } };
            let mut calls = rate as u64 + u64::from(random.random::<f64>() < rate.fract());
            requested += calls;
            while calls > 0 {
                calls -= 1;
                node.budget.expire_surplus(now);
                node.book.record_call(&"s".into());
                let (plan, _) = node.begin(now, call(now, RequestKind::Idempotent, 2));
                if abused && node.budget.try_spend(false) {
                    retried += 1;
                } else if hold(node.decide(now, &plan, 200)).is_none() {
                    hedged += 1;
                }
            }
        }
        requests.push(requested);
        retries.push(retried);
        hedges.push(hedged);
    }
    [requests, retries, hedges]
}

/// Guards against a fleet whose nodes together send more repeats than the operators allow: for any
/// number of nodes, with few and with many calls at each, while some clients repeat at once.
#[test]
fn limits_hold_over_the_fleet() {
    for (nodes, slack) in [(12, 60.0), (65, 60.0), (65, 130.0), (79, 170.0), (295, 630.0)] {
        for rate in [0.5, 2.0, 10.0] {
            for max_ratio in [0.02, 1.0] {
                let [requests, retries, hedges] = play_fleet(nodes, slack, rate, max_ratio);
                let repeats: Vec<_> =
                    retries.iter().zip(&hedges).map(|(retries, hedges)| retries + hedges).collect();
                let excess = worst_excess(&requests, &repeats, RATIO, slack);
                let context = format!("{nodes} nodes, {rate}/s each, ratio {max_ratio}");
                assert!(excess <= 0.0, "{context}: {excess} repeats beyond the budget");
                let requested: u64 = requests.iter().sum();
                let hedged: u64 = hedges.iter().sum();
                println!("{context}: {requested} requests, {hedged} second requests, {excess:.0}");
                let allowed = max_ratio * requested as f64;
                assert!(hedged as f64 <= allowed, "{context}: {hedged} second requests");
                // At least half of the lower limit is of use, or the test would guard nothing.
                let earned = allowed.min(0.06 * requested as f64);
                assert!(hedged as f64 >= 0.5 * earned - nodes as f64, "{context}: {hedged}");
            }
        }
    }
}

/// Guards against retries that find their tokens spent on second requests.
#[test]
fn second_requests_leave_the_reserve_of_retries() {
    let mut node = Node::new(&targets(), 1.0, 65, 1);
    let before = node.budget.tokens();
    while node.budget.can_hedge() {
        node.budget.try_spend_hedge(0.0);
    }
    assert_eq!(node.budget.tokens(), before);
    assert!(node.budget.try_spend(true));
}

/// Guards against a bound that depends on the number of nodes: in any 10 s a node spends at most its
/// stored tokens, what it earns, and a surplus of the last seconds; no more than the ratio allows of
/// its requests and its share of the slack.
#[test]
fn arithmetic_holds_for_all_fleet_sizes() {
    for nodes in [12_usize, 65, 79, 295, 3_000] {
        let slack = 2.0 * nodes as f64 + 60.0;
        let allowance = RetryAllowance::new(RATIO, slack, nodes);
        for rate in [1_u64, 5, 40] {
            let mut budget = RetryBudget::new();
            let mut now = NOW;
            budget.expire_surplus(now);
            let mut call = |budget: &mut RetryBudget| {
                now = now + ClockSpan::new(1_000 / rate);
                budget.expire_surplus(now);
                budget.record_call(allowance);
            };
            (0..100 * rate).for_each(|_| call(&mut budget));
            // A second request whenever one is allowed, and each token for retries is used, too.
            let mut repeats = 0.0;
            for _ in 0..10 * rate {
                call(&mut budget);
                while budget.surplus() >= 2.0 && budget.try_spend_hedge(0.0) {
                    repeats += 1.0;
                }
                // Fewer tokens than a request costs: the mean of the random decision.
                repeats += budget.surplus().max(0.0) / 2.0;
                budget.try_spend_hedge(1.0);
                while budget.try_spend(false) {
                    repeats += 1.0;
                }
            }
            let allowed = RATIO * (10 * rate) as f64 + slack / nodes as f64;
            assert!(repeats <= allowed, "{nodes} nodes at {rate}/s: {repeats} of {allowed}");
        }
    }
}

const CALLS: usize = 8_000;
const TARGETS: usize = 6;
const SLOTS: u32 = 4;

/// Mean time of a run in ms: 97 in 100 take 50 to 150, the others seven times as long.
const MEAN_MS: f64 = 0.97 * 100.0 + 0.03 * 700.0;

struct Run {
    call: usize,
    target: PickedTarget,
    ticket: SlotTicket,
    sent_at: u64,
    ends_at: Option<u64>,
    is_second: bool,
}

/// What the callers of a service saw.
#[derive(Debug)]
struct Outcome {
    served: usize,
    p99: u64,
    p999: u64,
    hedges: usize,
    cancelled: usize,
}

/// One entry node with all targets of a service, in steps of 1 ms.
struct Service {
    node: Node,
    hedging: bool,
    queues: Vec<SlotQueue>,
    runs: Vec<Run>,
    plans: Vec<Option<CallPlan>>,
    checks: Vec<u64>,
    times: Vec<u64>,
    second_time: Pcg32,
    latencies: Vec<u64>,
    /// Decisions against a second request.
    holds: HashMap<HedgeHold, usize>,
    /// A target whose runs never end from a time on.
    lost: Option<(usize, u64)>,
    outcome: Outcome,
}

impl Service {
    fn new(hedging: bool, seed: u64) -> Service {
        let targets: Vec<_> = (0..TARGETS as u8).map(|index| entry(index, "here", 0)).collect();
        let mut node = Node::new(&targets, 0.05, 12, seed);
        node.book = HedgeBook::new(0.05, seed);
        node.budget = RetryBudget::new();
        Service {
            node,
            hedging,
            queues: (0..TARGETS).map(|_| SlotQueue::new(SLOTS)).collect(),
            runs: Vec::new(),
            plans: Vec::new(),
            checks: Vec::new(),
            times: Vec::new(),
            second_time: Pcg32::seed_from_u64(seed + 1),
            latencies: Vec::new(),
            holds: HashMap::new(),
            lost: None,
            outcome: Outcome { served: 0, p99: 0, p999: 0, hedges: 0, cancelled: 0 },
        }
    }

    /// Serves calls at `load` times the capacity, with the given run times.
    fn play(mut self, load: f64, seed: u64) -> Outcome {
        let mut random = Pcg32::seed_from_u64(seed);
        let gap = MEAN_MS / (f64::from(SLOTS) * TARGETS as f64 * load);
        let mut next = 0.0;
        let mut now = NOW.millis();
        let start = now;
        while self.plans.len() < CALLS || !self.runs.is_empty() {
            while self.plans.len() < CALLS && (now - start) as f64 >= next {
                next -= gap * (1.0 - random.random::<f64>()).ln();
                self.times.push(run_time(&mut random));
                let arrived = ClockTime::new(now);
                let plan = CallPlan::new(call(arrived, RequestKind::Idempotent, 2));
                self.plans.push(Some(plan));
                self.checks.push(u64::MAX);
                if self.hedging {
                    self.node.budget.expire_surplus(arrived);
                    self.node.book.record_call(&"s".into());
                }
                self.advance(now, self.plans.len() - 1);
            }
            self.end_runs(now);
            // Nodes check their queues at the end of each run, and at this interval.
            if now.is_multiple_of(25) {
                self.start_runs(now);
            }
            self.hedge(now);
            now += 1;
        }
        println!("held back at load {load}: {:?}", self.holds);
        self.latencies.sort_unstable();
        let quantile = |share: f64| self.latencies[(self.latencies.len() as f64 * share) as usize];
        Outcome { p99: quantile(0.99), p999: quantile(0.999), ..self.outcome }
    }

    /// Sends a call to its next target, or ends it.
    fn advance(&mut self, now: u64, index: usize) {
        while let Some(plan) = &mut self.plans[index] {
            let node = &mut self.node;
            let time = ClockTime::new(now);
            let step = plan.next_step(time, &mut node.picker, &mut node.budget, node.allowance);
            let PlanStep::Send { target, max_wait } = step else {
                self.plans[index] = None;
                return;
            };
            if self.send(now, index, &target, max_wait, false) {
                let delay = self.node.book.delay("r").filter(|_| self.hedging);
                self.checks[index] = delay.map_or(u64::MAX, |delay| now + delay.millis());
                return;
            }
        }
    }

    /// Sends a call to a target. Returns whether the target's node accepted it.
    fn send(
        &mut self,
        now: u64,
        index: usize,
        target: &PickedTarget,
        max_wait: ClockSpan,
        is_second: bool,
    ) -> bool {
        let time = ClockTime::new(now);
        self.node.picker.record_sent(&target.id, 1);
        let plan = self.plans[index].as_mut().expect("an open call");
        let call = plan.call().clone();
        let queued = QueuedCall {
            route: "r".into(),
            priority: 1,
            soft_deadline: call.soft_deadline,
            deadline: call.deadline,
            max_wait,
        };
        let number = target_number(target);
        let (ticket, is_running) = match self.queues[number].arrive(time, queued) {
            AdmissionDecision::Run(ticket) => (ticket, true),
            AdmissionDecision::Wait(ticket) => (ticket, false),
            refusal => {
                let end = match refusal {
                    AdmissionDecision::Refuse { retry_after } => {
                        AttemptEnd::Refused { retry_after }
                    }
                    _ => AttemptEnd::Busy,
                };
                self.report(now, target, TargetFeedback::Refused);
                self.node.book.record_end(time, &call, end, ClockSpan::ZERO);
                let plan = self.plans[index].as_mut().expect("an open call");
                match is_second {
                    true => plan.record_hedge_end(target, end),
                    false => plan.record_end(end),
                }
                return false;
            }
        };
        let target = target.clone();
        let mut run = Run { call: index, target, ticket, sent_at: now, ends_at: None, is_second };
        if is_running {
            run.ends_at = Some(now + self.duration(now, number, index, is_second));
        }
        self.runs.push(run);
        true
    }

    fn duration(&mut self, now: u64, target: usize, index: usize, is_second: bool) -> u64 {
        if self.lost.is_some_and(|(lost, from)| target == lost && now >= from) {
            return u64::from(u32::MAX);
        }
        if is_second { run_time(&mut self.second_time) } else { self.times[index] }
    }

    fn report(&mut self, now: u64, target: &PickedTarget, feedback: TargetFeedback) {
        let time = ClockTime::new(now);
        if feedback != TargetFeedback::Cancelled {
            let queue = &self.queues[target_number(target)];
            let load = SlotLoad { route_service_time: queue.route_time("r"), ..queue.load(time) };
            self.node.picker.record_load(time, &target.id, &"r".into(), load);
            self.node.book.record_load(&"s".into(), SLOTS, load);
        }
        self.node.picker.record_end(time, &target.id, feedback);
    }

    /// Ends the runs that are due, and the calls that have passed their deadline.
    fn end_runs(&mut self, now: u64) {
        let time = ClockTime::new(now);
        while let Some(position) = self.runs.iter().position(|run| {
            let deadline = self.plans[run.call].as_ref().expect("an open call").call().deadline;
            run.ends_at.is_some_and(|at| at <= now) || time >= deadline
        }) {
            let run = self.runs.swap_remove(position);
            let call = self.plans[run.call].take().expect("an open call").call().clone();
            let number = target_number(&run.target);
            let other = self.runs.iter().position(|other| other.call == run.call);
            let other = other.map(|position| self.runs.swap_remove(position));
            if let Some(other) = &other {
                self.queues[target_number(&other.target)].cancel(other.ticket);
                self.report(now, &other.target, TargetFeedback::Cancelled);
                self.outcome.cancelled += 1;
            }
            if time >= call.deadline {
                self.queues[number].cancel(run.ticket);
                self.report(now, &run.target, TargetFeedback::Cancelled);
                continue;
            }
            self.queues[number].finish(time, run.ticket, CallEnd::Answered);
            self.start_runs(now);
            self.report(now, &run.target, TargetFeedback::Served);
            let taken = ClockSpan::new(now - run.sent_at);
            let end = AttemptEnd::Answered { failed: false };
            self.node.book.record_end(time, &call, end, taken);
            if let Some(other) = other.filter(|_| run.is_second) {
                let elapsed = ClockSpan::new(now - other.sent_at);
                self.node.book.record_cancelled(time, &"r".into(), elapsed);
            }
            self.outcome.served += 1;
            self.latencies.push(now - call.arrived.millis());
        }
    }

    /// Starts and refuses queued calls.
    fn start_runs(&mut self, now: u64) {
        let time = ClockTime::new(now);
        for number in 0..TARGETS {
            let mut actions = Vec::new();
            self.queues[number].poll(time, &mut actions);
            for action in actions {
                match action {
                    SlotAction::Run(ticket) => {
                        let position = find_run(&self.runs, number, ticket);
                        let (call, is_second) =
                            (self.runs[position].call, self.runs[position].is_second);
                        self.runs[position].ends_at =
                            Some(now + self.duration(now, number, call, is_second));
                    }
                    SlotAction::Refuse { ticket, retry_after } => {
                        let run = self.runs.swap_remove(find_run(&self.runs, number, ticket));
                        self.report(now, &run.target, TargetFeedback::Refused);
                        let plan = self.plans[run.call].as_mut().expect("an open call");
                        let call = plan.call().clone();
                        let end = AttemptEnd::Refused { retry_after };
                        self.node.book.record_end(time, &call, end, ClockSpan::ZERO);
                        assert!(!run.is_second, "a second request was queued");
                        plan.record_end(end);
                        if !self.runs.iter().any(|other| other.call == run.call) {
                            self.advance(now, run.call);
                        }
                    }
                }
            }
        }
    }

    /// Sends second requests for slow calls.
    fn hedge(&mut self, now: u64) {
        for position in 0..self.runs.len() {
            let (index, sent_at) = (self.runs[position].call, self.runs[position].sent_at);
            if self.runs[position].is_second || self.checks[index] > now {
                continue;
            }
            let plan = self.plans[index].as_ref().expect("an open call");
            match self.node.decide(ClockTime::new(now), plan, now - sent_at) {
                HedgeDecision::Send { second, .. } => {
                    self.checks[index] = u64::MAX;
                    self.plans[index].as_mut().expect("an open call").record_hedge();
                    self.outcome.hedges += 1;
                    self.send(now, index, &second.target, ClockSpan::ZERO, true);
                }
                HedgeDecision::Hold { check_after, reason } => {
                    *self.holds.entry(reason).or_default() += 1;
                    self.checks[index] = check_after.map_or(u64::MAX, |after| now + after.millis());
                }
            }
        }
    }
}

fn find_run(runs: &[Run], number: usize, ticket: SlotTicket) -> usize {
    let is_run = |run: &Run| run.ticket == ticket && target_number(&run.target) == number;
    runs.iter().position(is_run).expect("a queued run")
}

fn target_number(target: &PickedTarget) -> usize {
    target.id[1..].parse().expect("a number")
}

fn run_time(random: &mut Pcg32) -> u64 {
    let time = random.random_range(50..150);
    if random.random::<f64>() < 0.03 { 7 * time } else { time }
}

/// Guards against second requests that cost callers more than they gain: the tail is shorter where the
/// service has room, and never are fewer calls served.
#[test]
fn slow_runs_no_longer_set_the_tail() {
    for load in [0.5, 0.8, 1.0, 2.0] {
        for seed in [1, 2] {
            let off = Service::new(false, seed).play(load, seed);
            let on = Service::new(true, seed).play(load, seed);
            println!("load {load}, seed {seed}: off {off:?}, on {on:?}");
            assert!(on.served >= off.served, "load {load}, seed {seed}: {on:?}, off {off:?}");
            assert!(on.hedges as f64 <= 0.05 * CALLS as f64, "load {load}, seed {seed}: {on:?}");
            if load == 0.5 {
                assert!(
                    on.p99 < off.p99 && on.p999 <= off.p999,
                    "seed {seed}: {on:?}, off {off:?}"
                );
            }
        }
    }
}

/// Guards against calls that wait for a target that is gone until their deadline passes.
#[test]
fn lost_first_target_is_overtaken() {
    let mut on = Service::new(true, 1);
    on.lost = Some((0, NOW.millis() + 10_000));
    let mut off = Service::new(false, 1);
    off.lost = on.lost;
    let (on, off) = (on.play(0.3, 1), off.play(0.3, 1));
    println!("off {off:?}, on {on:?}");
    assert!(on.served > off.served, "{on:?}, off {off:?}");
}

/// Guards against a call that is answered twice, and against slots that stay taken, when both targets
/// answer at the same moment.
#[test]
fn both_answers_at_the_same_moment() {
    let mut service = Service::new(true, 1);
    let now = NOW.millis();
    service.times.push(100);
    service.plans.push(Some(CallPlan::new(call(NOW, RequestKind::Idempotent, 2))));
    service.checks.push(u64::MAX);
    service.advance(now, 0);
    let first = service.runs[0].target.clone();
    let second =
        PickedTarget { id: format!("t{}", (target_number(&first) + 1) % TARGETS).into(), ..first };
    service.plans[0].as_mut().expect("an open call").record_hedge();
    assert!(service.send(now, 0, &second, ClockSpan::ZERO, true));
    service.runs.iter_mut().for_each(|run| run.ends_at = Some(now + 80));
    service.end_runs(now + 80);
    assert_eq!((service.outcome.served, service.outcome.cancelled), (1, 1));
    assert!(service.runs.is_empty() && service.queues.iter().all(|queue| queue.running() == 0));
}
