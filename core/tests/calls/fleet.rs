//! A fleet of entry nodes, targets and links under a random schedule. Each step is one event, so that
//! pauses, crashes, partitions and changes fall between any two steps of a call.

mod faults;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fescuestack_core::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::service::service;

pub const WINDOW: u64 = 2_000;
const PATIENCE: u64 = 400;
const TARGETS: usize = 5;
const ENTRIES: usize = 3;
const KEYS: u64 = 6;

/// What the run has shown, to prove that it reached the cases that matter.
pub type Tally = BTreeMap<String, u64>;

struct Request {
    entry: usize,
    key: Option<Arc<str>>,
    kind: RouteKind,
    plan: RequestPlan,
    /// When a target last replied to it.
    replied_at: Option<ClockTime>,
    deadline: CallDeadline,
    attempt: u32,
    waits_for: Option<NodeName>,
    answered: Option<ResultCode>,
}

struct Entry {
    version: usize,
    balancer: TargetBalancer,
    budget: RetryBudget,
}

#[derive(Clone)]
struct Attempt {
    request: usize,
    number: u32,
    /// When it reached the target.
    reached_at: ClockTime,
}

/// A call at a target: admitted, perhaps written to the upstream.
enum Work {
    Ready,
    Written,
    Running,
}

struct Node {
    gate: TargetGate,
    version: usize,
    started: u32,
    paused: bool,
    calls: BTreeMap<CallTicket, (Attempt, GateCall, Work)>,
    waiting: BTreeMap<CallTicket, (Attempt, GateCall)>,
    asking: Vec<Asking>,
}

struct Asking {
    attempt: Attempt,
    call: GateCall,
    asked: Vec<NodeName>,
    answers: Vec<(NodeName, Option<KeyAnswer>)>,
}

enum Message {
    Call { to: usize, attempt: Attempt, call: GateCall },
    Reply { attempt: Attempt, end: AttemptEnd, content: Option<u64> },
    Cancel { to: usize, attempt: Attempt },
    Question { to: usize, from: usize, question: KeyQuestion },
    Answer { to: usize, from: usize, key: Arc<str>, answer: Option<KeyAnswer> },
}

pub struct Fleet {
    now: ClockTime,
    rng: Pcg32,
    versions: Vec<(VersionId, Arc<ServiceView>, ClockTime)>,
    entries: Vec<Entry>,
    nodes: Vec<Node>,
    cut: BTreeSet<usize>,
    messages: Vec<Message>,
    requests: Vec<Request>,
    /// Runs by request, and by key with the time at which the request reached its target.
    runs: BTreeMap<usize, u32>,
    key_runs: BTreeMap<Arc<str>, Vec<(ClockTime, usize)>>,
    pub tally: Tally,
    /// Events, for the report of a failure.
    log: Vec<String>,
}

impl Fleet {
    pub fn new(seed: u64) -> Fleet {
        let first = Arc::new(service(0..4, 8, WINDOW));
        let version = VersionId::new(1, PartHash::new(b"1"));
        let now = ClockTime::new(1_000_000);
        let mut fleet = Fleet {
            now,
            rng: Pcg32::seed_from_u64(seed),
            versions: vec![(version, first.clone(), now)],
            entries: Vec::new(),
            nodes: Vec::new(),
            cut: BTreeSet::new(),
            messages: Vec::new(),
            requests: Vec::new(),
            runs: BTreeMap::new(),
            key_runs: BTreeMap::new(),
            tally: Tally::new(),
            log: Vec::new(),
        };
        for number in 0..ENTRIES as u64 {
            let link_delay = ClockSpan::new(3);
            let balancer = TargetBalancer::new(&first, "a".into(), link_delay, seed ^ number);
            fleet.entries.push(Entry { version: 0, balancer, budget: RetryBudget::new() });
        }
        for number in 0..TARGETS {
            let node = fleet.boot(number, ClockTime::new(now.millis() - 3 * WINDOW));
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Runs a number of steps. Fails with the first broken guarantee.
    pub fn run(&mut self, steps: usize) -> Result<(), String> {
        for _ in 0..steps {
            match self.rng.random_range(0..1000) {
                0..50 => self.send()?,
                50..450 => self.deliver()?,
                450..460 => self.break_link()?,
                460..740 => self.write_or_run()?,
                740..860 => self.finish()?,
                860..910 => self.tick()?,
                910..960 => self.apply(),
                960..963 => self.configure(),
                963..968 => self.crash_upstream()?,
                968..970 => self.crash_node()?,
                970..980 => self.pause(),
                980..985 => self.partition(),
                985 => self.drain(),
                986..996 => self.give_up()?,
                _ => self.jump()?,
            }
        }
        Ok(())
    }

    /// The events that concern a key.
    pub fn events(&self, key: &str) -> String {
        let lines = self.log.iter().filter(|line| line.contains(key) || line.contains("node"));
        let lines: Vec<&str> = lines.map(String::as_str).collect();
        lines[lines.len().saturating_sub(60)..].join("\n")
    }

    fn note(&mut self, event: String) {
        self.log.push(format!("{} {event}", self.now.millis()));
    }

    fn count(&mut self, what: impl ToString) {
        *self.tally.entry(what.to_string()).or_default() += 1;
    }

    fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn boot(&mut self, number: usize, started: ClockTime) -> Node {
        let (version, view, _) = self.versions.last().expect("a version").clone();
        let settings = GateSettings {
            node: format!("t{number:03}").into(),
            admission: AdmissionSettings { slots: 1, queue_limit: 8 },
            key_window: ClockSpan::new(WINDOW),
            drain_bound: ClockSpan::new(1_000),
        };
        let mut gate = TargetGate::new(settings, started);
        gate.update(started, version, &view, 1);
        Node {
            gate,
            version: self.versions.len() - 1,
            started: 0,
            paused: false,
            calls: BTreeMap::new(),
            waiting: BTreeMap::new(),
            asking: Vec::new(),
        }
    }

    fn index(name: &str) -> usize {
        name[1..].parse().expect("a target's number")
    }

    fn send(&mut self) -> Result<(), String> {
        let entry = self.pick(ENTRIES);
        let key = match self.pick(4) {
            0 => None,
            _ => Some(format!("k{}", self.rng.random_range(0..KEYS)).into()),
        };
        let kind = if self.pick(5) == 0 { RouteKind::Lookup } else { RouteKind::Submit };
        let deadline = CallDeadline::new(self.now, ClockSpan::new(PATIENCE));
        let plan = RequestPlan::new(PlanCall { kind, key: key.clone(), deadline, nested: false });
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            key: key.filter(|_| kind == RouteKind::Submit),
            kind,
            plan,
            replied_at: None,
            deadline,
            attempt: 0,
            waits_for: None,
            answered: None,
        });
        let view = self.versions[self.entries[entry].version].1.clone();
        let state = &mut self.entries[entry];
        let plan = &mut self.requests[request].plan;
        let step = plan.start(self.now, &view, &mut state.balancer, &mut state.budget);
        self.follow(request, step, None)
    }

    fn follow(&mut self, index: usize, step: PlanStep, content: Option<u64>) -> Result<(), String> {
        let request = &mut self.requests[index];
        match step {
            PlanStep::Dispatch { target, deadline, .. } => {
                request.attempt += 1;
                request.waits_for = Some(target.name.clone());
                let identity = match &request.key {
                    Some(key) => RequestFingerprint::from_whole("register", "POST", key, b"fee"),
                    None => RequestFingerprint::from_number(index as u64),
                };
                let call = GateCall {
                    class: "council/public".into(),
                    kind: request.kind,
                    deadline,
                    fingerprint: RequestFingerprint::from_number(index as u64),
                    key: request.key.clone(),
                    key_fingerprint: identity,
                };
                let attempt =
                    Attempt { request: index, number: request.attempt, reached_at: self.now };
                let to = Fleet::index(&target.name);
                self.messages.push(Message::Call { to, attempt, call });
                Ok(())
            }
            PlanStep::Answer(answer) => self.conclude(index, answer.code, content),
        }
    }

    /// Checks an answer against what has really run.
    fn conclude(
        &mut self,
        index: usize,
        code: ResultCode,
        content: Option<u64>,
    ) -> Result<(), String> {
        let request = &mut self.requests[index];
        request.answered = Some(code);
        let (key, kind) = (request.key.clone(), request.kind);
        // A target's refusal speaks of what reached the key's owner before it, not of what came while
        // the refusal was on its way.
        let said_at = request.replied_at.unwrap_or(self.now);
        self.count(code);
        let own_runs = self.runs.get(&index).copied().unwrap_or(0);
        let key_runs = key.as_ref().and_then(|key| self.key_runs.get(key));
        match code.outcome() {
            Some(CallOutcome::NotRun) => {
                let window = ClockSpan::new(WINDOW);
                let recent = key_runs.into_iter().flatten();
                let recent =
                    recent.filter(|run| run.0 < said_at && said_at.since(run.0) < window).count();
                if own_runs > 0 || recent > 0 {
                    let events = self.events(key.as_deref().unwrap_or("node"));
                    return Err(format!(
                        "request {index} {kind:?}: {code}, but it has run\n{events}"
                    ));
                }
            }
            Some(CallOutcome::Done) => {
                let content = content.ok_or("an answer without content")? as usize;
                let is_own = match key_runs {
                    Some(runs) => runs.iter().any(|(_, request)| *request == content),
                    None => content == index,
                };
                if !is_own {
                    return Err(format!("request {index} got the answer to {content}"));
                }
            }
            _ => (),
        }
        Ok(())
    }

    /// The upstream gets the request.
    fn run_request(&mut self, attempt: &Attempt) -> Result<(), String> {
        let index = attempt.request;
        let request = &self.requests[index];
        let (kind, key, reached_at) = (request.kind, request.key.clone(), attempt.reached_at);
        let answered = request.answered.and_then(ResultCode::outcome);
        let runs = self.runs.entry(index).or_default();
        *runs += 1;
        if *runs > 1 && !kind.is_idempotent() {
            return Err(format!("request {index} ran {runs} times"));
        }
        if answered == Some(CallOutcome::NotRun) {
            return Err(format!("request {index} ran after it was answered as not run"));
        }
        let Some(key) = key else { return Ok(()) };
        let runs = self.key_runs.entry(key.clone()).or_default();
        let window = ClockSpan::new(WINDOW);
        let earlier = runs.clone();
        runs.push((reached_at, index));
        for (other, first) in earlier {
            if reached_at.since(other) < window && other.since(reached_at) < window {
                let events = self.events(&key);
                return Err(format!("key {key} ran for {first} and again for {index}\n{events}"));
            }
        }
        Ok(())
    }

    /// Whether a message between these nodes goes through. Entry nodes are on the larger side.
    fn is_cut(&self, message: &Message) -> bool {
        match message {
            Message::Call { to, .. } | Message::Cancel { to, .. } => self.cut.contains(to),
            Message::Question { to, from, .. } | Message::Answer { to, from, .. } => {
                self.cut.contains(to) != self.cut.contains(from)
            }
            Message::Reply { .. } => false,
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        if self.messages.is_empty() {
            return Ok(());
        }
        // Mostly a recent message; now and then one that was long on its way.
        let recent = if self.pick(4) == 0 { self.messages.len() } else { 12 };
        let back = self.pick(recent.min(self.messages.len()));
        let index = self.messages.len() - 1 - back;
        let message = &self.messages[index];
        let to_paused = match message {
            Message::Call { to, .. }
            | Message::Cancel { to, .. }
            | Message::Question { to, .. }
            | Message::Answer { to, .. } => self.nodes[*to].paused,
            Message::Reply { .. } => false,
        };
        if to_paused || self.is_cut(message) {
            return Ok(());
        }
        match self.messages.swap_remove(index) {
            Message::Call { to, attempt, call } => {
                let attempt = Attempt { reached_at: self.now, ..attempt };
                if let Some(key) = &call.key {
                    self.note(format!("{key} request {} reaches t{to}", attempt.request));
                }
                let step = self.nodes[to].gate.arrive(self.now, call.clone());
                self.follow_gate(to, attempt, call, step);
                Ok(())
            }
            Message::Reply { attempt, end, content } => self.end_attempt(attempt, end, content),
            Message::Cancel { to, attempt } => {
                self.cancel(to, &attempt);
                Ok(())
            }
            Message::Question { to, from, question } => {
                let answer = Some(self.nodes[to].gate.answer(self.now, &question));
                let key = question.key;
                self.note(format!("{key} t{to} answers t{from}: {answer:?}"));
                self.messages.push(Message::Answer { to: from, from: to, key, answer });
                Ok(())
            }
            Message::Answer { to, from, key, answer } => {
                self.collect(to, from, &key, answer);
                Ok(())
            }
        }
    }

    fn end_attempt(
        &mut self,
        attempt: Attempt,
        end: AttemptEnd,
        content: Option<u64>,
    ) -> Result<(), String> {
        let request = &mut self.requests[attempt.request];
        // A late answer of an attempt that was given up is not passed on.
        if request.attempt != attempt.number || request.waits_for.take().is_none() {
            return Ok(());
        }
        let state = &mut self.entries[request.entry];
        let view = self.versions[state.version].1.clone();
        let (balancer, budget) = (&mut state.balancer, &mut state.budget);
        let step = request.plan.resume(self.now, &view, balancer, budget, &end);
        self.follow(attempt.request, step, content)
    }

    fn end(code: ResultCode, from_target: bool) -> AttemptEnd {
        AttemptEnd { code, from_target, retry_after: None, load: None, micros: 1_000 }
    }

    fn reply(&mut self, attempt: Attempt, code: ResultCode, content: Option<u64>) {
        if let Some(key) = self.requests[attempt.request].key.clone() {
            self.note(format!("{key} request {} gets {code}", attempt.request));
        }
        let end = Fleet::end(code, true);
        self.requests[attempt.request].replied_at = Some(self.now);
        self.messages.push(Message::Reply { attempt, end, content });
    }

    fn follow_gate(&mut self, node: usize, attempt: Attempt, call: GateCall, step: GateStep) {
        match step {
            GateStep::Run(ticket) => {
                self.nodes[node].calls.insert(ticket, (attempt, call, Work::Ready));
            }
            GateStep::Wait(ticket) => {
                self.nodes[node].waiting.insert(ticket, (attempt, call));
            }
            GateStep::Ask(asked) => {
                self.count("asked");
                let key = call.key.clone().expect("only keys are asked about");
                for name in &asked {
                    let asker: NodeName = format!("t{node:03}").into();
                    let question = KeyQuestion { key: key.clone(), asker };
                    let to = Fleet::index(name);
                    self.messages.push(Message::Question { to, from: node, question });
                }
                let answers = Vec::new();
                self.nodes[node].asking.push(Asking { attempt, call, asked, answers });
            }
            GateStep::Reply(reply) => {
                let content = reply.recorded.map(|recorded| u64::from(recorded.status));
                self.reply(attempt, reply.code, content);
            }
        }
    }

    fn collect(&mut self, node: usize, from: usize, key: &str, answer: Option<KeyAnswer>) {
        let asking = &mut self.nodes[node].asking;
        let Some(position) = asking.iter().position(|it| it.call.key.as_deref() == Some(key))
        else {
            return;
        };
        asking[position].answers.push((format!("t{from:03}").into(), answer));
        if asking[position].answers.len() < asking[position].asked.len() {
            return;
        }
        let done = asking.swap_remove(position);
        let step = self.nodes[node].gate.resume(self.now, done.call.clone(), &done.answers);
        self.follow_gate(node, done.attempt, done.call, step);
    }

    fn poll(&mut self, node: usize) {
        let mut actions = Vec::new();
        self.nodes[node].gate.poll(self.now, &mut actions);
        for action in actions {
            match action {
                GateAction::Run(ticket) => {
                    let waiting = self.nodes[node].waiting.remove(&ticket);
                    let (attempt, call) = waiting.expect("a call that waited");
                    self.nodes[node].calls.insert(ticket, (attempt, call, Work::Ready));
                }
                GateAction::Reply(ticket, reply) => {
                    let waiting = self.nodes[node].waiting.remove(&ticket);
                    let (attempt, _) = waiting.expect("a call that waited");
                    self.reply(attempt, reply.code, None);
                }
            }
        }
    }

    /// A ready call passes the last check; a call past it reaches the upstream. Two steps, since a pause
    /// may fall between them.
    fn write_or_run(&mut self) -> Result<(), String> {
        let node = self.pick(TARGETS);
        if self.nodes[node].paused {
            return Ok(());
        }
        let now = self.now;
        let state = &mut self.nodes[node];
        let due = state.calls.iter_mut().find(|(_, call)| !matches!(call.2, Work::Running));
        let Some((&ticket, (attempt, _, work))) = due else { return Ok(()) };
        let attempt = attempt.clone();
        if matches!(work, Work::Written) {
            *work = Work::Running;
            if let Some(key) = self.requests[attempt.request].key.clone() {
                self.note(format!("{key} request {} runs at t{node}", attempt.request));
            }
            return self.run_request(&attempt);
        }
        match state.gate.dispatch(now, ticket) {
            Ok(()) => *work = Work::Written,
            Err(reply) => {
                state.calls.remove(&ticket);
                self.reply(attempt, reply.code, None);
                self.poll(node);
            }
        }
        Ok(())
    }

    fn finish(&mut self) -> Result<(), String> {
        let node = self.pick(TARGETS);
        let written = self.nodes[node].calls.iter();
        let mut written = written.filter(|(_, call)| !matches!(call.2, Work::Ready));
        let Some((&ticket, _)) = written.next_back() else { return Ok(()) };
        if self.nodes[node].paused {
            return Ok(());
        }
        let (attempt, _, work) = self.nodes[node].calls.remove(&ticket).expect("a call");
        let request = attempt.request as u64;
        let (outcome, content) = match work {
            Work::Running => {
                let body = vec![0; if request.is_multiple_of(7) { 20_000 } else { 10 }];
                let answer = RecordedAnswer { status: request as u16, headers: Vec::new(), body };
                let answer = Some(answer);
                (GateOutcome::Done { service_micros: 120_000, answer }, Some(request))
            }
            _ => (GateOutcome::NotSent, None),
        };
        let code = self.nodes[node].gate.finish(self.now, ticket, outcome);
        self.reply(attempt, code, content);
        self.poll(node);
        Ok(())
    }
}
