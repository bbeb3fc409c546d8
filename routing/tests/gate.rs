//! Plays services whose runs call each other, and checks what clients get while a called service has
//! too few slots.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, CallOrigin, QueuedCall, RunGate, SlotAction, SlotQueue, SlotTicket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const DEADLINE_MS: u64 = 2_000;
const PLAYED_MS: u64 = 10_000;

/// A kind of request: a run at one service, which makes calls of other kinds when it starts.
#[derive(Debug, Clone)]
struct RequestLoad {
    service: usize,
    priority: u8,
    soft_timeout: u64,
    service_ms: f64,
    /// Kind and number of the calls of a run.
    calls: Option<(usize, u32)>,
    /// Requests of clients per second.
    rate: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct RequestResult {
    offered: u32,
    served: u32,
    /// Requests that were refused without running.
    refused: u32,
    /// Requests whose run failed with one of its calls.
    failed: u32,
    /// Total time in ms for which refused requests were held.
    held_ms: u64,
}

/// A request of a client or a call of a run.
#[derive(Debug)]
struct OpenCall {
    kind: usize,
    parent: Option<usize>,
    arrived: u64,
    deadline: u64,
    ticket: Option<SlotTicket>,
    /// End of its own work, once it runs.
    work_end: Option<u64>,
    open_calls: u32,
}

struct Playground {
    loads: Vec<RequestLoad>,
    gated: bool,
    queues: Vec<SlotQueue>,
    gates: Vec<RunGate>,
    slots: Vec<u32>,
    calls: BTreeMap<usize, OpenCall>,
    tickets: BTreeMap<(usize, SlotTicket), usize>,
    results: Vec<RequestResult>,
    last_call: usize,
    /// Arrivals of clients, which are the same in plays that are compared.
    arrivals: Pcg32,
    service_times: Pcg32,
}

impl Playground {
    fn route(kind: usize) -> Arc<str> {
        format!("route-{kind}").into()
    }

    fn arrive(&mut self, now: u64, kind: usize, parent: Option<usize>, deadline: u64) {
        let (time, load, route) = (ClockTime::new(now), &self.loads[kind], Self::route(kind));
        let service = load.service;
        self.last_call += 1;
        let id = self.last_call;
        let call = QueuedCall {
            route: route.clone(),
            priority: parent.map_or(load.priority, |id| self.loads[self.calls[&id].kind].priority),
            soft_deadline: time + ClockSpan::new(load.soft_timeout),
            deadline: ClockTime::new(deadline),
            max_wait: ClockSpan::new(deadline - now),
        };
        let (ticket, work_end, open_calls) = (None, None, 0);
        let open = OpenCall { kind, parent, arrived: now, deadline, ticket, work_end, open_calls };
        self.calls.insert(id, open);
        let run_time = self.queues[service].route_time(&route);
        if self.gated && self.gates[service].admit(time, &route, run_time).is_err() {
            return self.end(now, id, CallResult::Refused);
        }
        let origin = if parent.is_some() { CallOrigin::Run } else { CallOrigin::Client };
        match self.queues[service].arrive_from(time, call, origin) {
            AdmissionDecision::Run(ticket) => self.start(now, id, ticket),
            AdmissionDecision::Wait(ticket) => {
                self.calls.get_mut(&id).expect("the call is open").ticket = Some(ticket);
                self.tickets.insert((service, ticket), id);
            }
            AdmissionDecision::Busy | AdmissionDecision::Refuse { .. } => {
                self.gates[service].release(&route);
                self.end(now, id, CallResult::Refused);
            }
        }
    }

    fn start(&mut self, now: u64, id: usize, ticket: SlotTicket) {
        let factor = 0.6 + 0.8 * self.service_times.random::<f64>();
        let Some(call) = self.calls.get_mut(&id) else { return };
        let load = &self.loads[call.kind];
        call.work_end = Some(now + (load.service_ms * factor) as u64);
        call.ticket = Some(ticket);
        let deadline = call.deadline;
        self.tickets.insert((load.service, ticket), id);
        let Some((kind, count)) = load.calls else { return };
        call.open_calls = count;
        for _ in 0..count {
            if self.calls.contains_key(&id) {
                self.arrive(now, kind, Some(id), deadline);
            }
        }
    }

    fn end(&mut self, now: u64, id: usize, result: CallResult) {
        let Some(call) = self.calls.remove(&id) else { return };
        let (time, route) = (ClockTime::new(now), Self::route(call.kind));
        let service = self.loads[call.kind].service;
        if let Some(ticket) = call.ticket {
            self.tickets.remove(&(service, ticket));
            match result {
                CallResult::Served => self.queues[service].finish(time, ticket, CallEnd::Answered),
                _ => self.queues[service].cancel(ticket),
            }
            self.gates[service].release(&route);
        }
        let Some(parent) = call.parent else {
            let counts = &mut self.results[call.kind];
            match result {
                CallResult::Served => counts.served += 1,
                CallResult::Failed => counts.failed += 1,
                CallResult::Refused => {
                    counts.refused += 1;
                    counts.held_ms += now - call.arrived;
                }
            }
            return;
        };
        let Some(run) = self.calls.get_mut(&parent) else { return };
        run.open_calls -= 1;
        let route = Self::route(run.kind);
        let service = self.loads[run.kind].service;
        match result {
            CallResult::Served => self.gates[service].record_served(&route, self.slots[service]),
            CallResult::Refused => {
                self.gates[service].record_refused(time, &route);
            }
            CallResult::Failed => (),
        }
        if result != CallResult::Served {
            self.end(now, parent, CallResult::Failed);
        }
    }

    fn step(&mut self, now: u64) {
        let time = ClockTime::new(now);
        let ended =
            |call: &OpenCall| call.work_end.is_some_and(|at| at <= now) && call.open_calls == 0;
        let done: Vec<_> =
            self.calls.iter().filter(|(_, call)| ended(call)).map(|(id, _)| *id).collect();
        for id in done {
            self.end(now, id, CallResult::Served);
        }
        let late = |call: &OpenCall| call.deadline <= now;
        let late: Vec<_> =
            self.calls.iter().filter(|(_, call)| late(call)).map(|(id, _)| *id).collect();
        for id in late {
            self.end(now, id, CallResult::Failed);
        }
        for kind in 0..self.loads.len() {
            if self.arrivals.random::<f64>() < self.loads[kind].rate / 1_000.0 {
                self.results[kind].offered += 1;
                self.arrive(now, kind, None, now + DEADLINE_MS);
            }
        }
        for service in 0..self.queues.len() {
            let mut actions = Vec::new();
            self.queues[service].poll(time, &mut actions);
            for action in actions {
                let (SlotAction::Run(ticket) | SlotAction::Refuse { ticket, .. }) = action;
                let Some(id) = self.tickets.get(&(service, ticket)).copied() else { continue };
                match action {
                    SlotAction::Run(_) => self.start(now, id, ticket),
                    SlotAction::Refuse { .. } => self.end(now, id, CallResult::Refused),
                }
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallResult {
    Served,
    Refused,
    Failed,
}

fn play(slots: &[u32], loads: &[RequestLoad], gated: bool) -> Vec<RequestResult> {
    let mut playground = Playground {
        loads: loads.to_vec(),
        gated,
        queues: slots.iter().map(|slots| SlotQueue::new(*slots)).collect(),
        gates: slots.iter().map(|_| RunGate::new()).collect(),
        slots: slots.to_vec(),
        calls: BTreeMap::new(),
        tickets: BTreeMap::new(),
        results: vec![RequestResult::default(); loads.len()],
        last_call: 0,
        arrivals: Pcg32::seed_from_u64(5),
        service_times: Pcg32::seed_from_u64(6),
    };
    for now in 0..PLAYED_MS {
        playground.step(now);
    }
    playground.results
}

fn client(service: usize, priority: u8, service_ms: f64, rate: f64) -> RequestLoad {
    RequestLoad { service, priority, soft_timeout: 800, service_ms, calls: None, rate }
}

/// Requests that exceed the called service `load` times, beside more urgent clients of that service.
fn two_services(load: f64) -> Vec<RequestLoad> {
    // 18 slots of 110 ms are 164 calls per second. Each run makes two calls.
    let capacity = 18.0 / 0.110;
    let search = RequestLoad {
        calls: Some((1, 2)),
        soft_timeout: 1_200,
        ..client(0, 2, 380.0, load * capacity * 0.6 / 2.0)
    };
    let call = RequestLoad { soft_timeout: 400, ..client(1, 3, 110.0, 0.0) };
    vec![search, call, client(1, 0, 110.0, load * capacity * 0.4)]
}

/// Guards against runs that fail one after the other because the service that they call has no room
/// for their calls.
#[test]
fn requests_are_refused_before_they_run_in_vain() {
    for load in [0.8, 1.0, 1.5, 2.0] {
        let loads = two_services(load);
        let (before, after) = (play(&[40, 18], &loads, false), play(&[40, 18], &loads, true));
        let context = format!("load {load}: {before:?}, {after:?}");
        assert!(after[0].served * 100 >= before[0].served * 97, "{context}");
        assert!(after[2].served * 100 >= before[2].served * 97, "{context}");
        assert!(after[0].failed <= before[0].failed, "{context}");
        if load >= 1.5 {
            assert!(after[0].failed * 2 <= before[0].failed, "{context}");
        }
        let held_ms = after[0].held_ms / u64::from(after[0].refused.max(1));
        assert!(held_ms <= 100, "refused after {held_ms} ms, {context}");
    }
}

/// Guards against a shortage at the end of a chain that is noticed only by the runs next to it, so
/// that the first service goes on to start runs in vain.
#[test]
fn shortage_is_passed_up_a_chain() {
    let first =
        RequestLoad { calls: Some((1, 1)), soft_timeout: 1_200, ..client(0, 1, 200.0, 80.0) };
    let second = RequestLoad { calls: Some((2, 1)), ..client(1, 1, 100.0, 0.0) };
    let third = client(2, 1, 100.0, 0.0);
    let loads = [first, second, third];
    // The third service can run 40 calls per second, half of the requests.
    let (before, after) = (play(&[30, 20, 4], &loads, false), play(&[30, 20, 4], &loads, true));
    let context = format!("{before:?}, {after:?}");
    assert!(after[0].served * 100 >= before[0].served * 97, "{context}");
    assert!(after[0].failed * 2 <= before[0].failed, "{context}");
}

/// Guards against services that call each other or themselves and wait for each other's slots with
/// all slots taken by their runs.
#[test]
fn services_that_call_each_other_keep_serving() {
    let calling = |service, call, rate| RequestLoad {
        calls: Some((call, 1)),
        ..client(service, 1, 100.0, rate)
    };
    let loop_of_two = [
        calling(0, 2, 80.0),
        calling(1, 3, 80.0),
        client(1, 1, 100.0, 0.0),
        client(0, 1, 100.0, 0.0),
    ];
    let own_calls = [calling(0, 1, 80.0), client(0, 1, 100.0, 0.0)];
    for (slots, loads) in [(vec![8, 8], &loop_of_two[..]), (vec![8], &own_calls[..])] {
        let (before, after) = (play(&slots, loads, false), play(&slots, loads, true));
        let context = format!("{before:?}, {after:?}");
        let served =
            |results: &[RequestResult]| results.iter().map(|result| result.served).sum::<u32>();
        assert!(served(&after) * 100 >= served(&before) * 97, "{context}");
        // A request occupies a slot for about 200 ms in all, so 8 slots can serve 40 per second.
        let possible = 40 * slots.len() as u64 * PLAYED_MS / 1_000;
        assert!(u64::from(served(&after)) * 2 >= possible, "{context}");
    }
}

/// Guards against a route that stays limited after the called service has room again.
#[test]
fn limit_is_lifted_when_calls_are_served() {
    let mut gate = RunGate::new();
    let route: Arc<str> = "search".into();
    let mut now = ClockTime::new(1_000);
    for _ in 0..18 {
        assert_eq!(gate.admit(now, &route, None), Ok(()));
    }
    for _ in 0..20 {
        now = now + ClockSpan::new(60);
        gate.record_refused(now, &route);
    }
    assert_eq!(gate.limit(&route), Some(1));
    assert!(gate.admit(now, &route, Some(ClockSpan::new(400))).is_err());
    for _ in 0..18 {
        gate.release(&route);
    }
    assert_eq!(gate.admit(now, &route, None), Ok(()), "one run shows whether there is room");
    let mut served = 0;
    while gate.limit(&route).is_some() {
        gate.record_served(&route, 18);
        served += 1;
    }
    assert!(served <= 60, "lifted after {served} served calls");
    let refusal = gate.record_refused(now, &route);
    assert_eq!(refusal, Some(1));
    let later = now + ClockSpan::new(60_000);
    gate.release(&route);
    assert_eq!(gate.admit(later, &route, None), Ok(()));
    assert_eq!(gate.limit(&route), None, "a limit without refusals expires");
}
