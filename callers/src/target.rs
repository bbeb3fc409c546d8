//! The side of the target: calls for the upstream beside this node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use fescuestack_core::{
    AdmissionSettings, CallTicket, ClockSpan, ClockTime, ConfigSnapshot, DrainPhase, GateAction,
    GateCall, GateReply, GateSettings, GateStep, KeyAnswer, KeyQuestion, LoadReport, NodeName,
    RecordedAnswer, RequestFingerprint, ResultCode, ServiceView, TargetEntry, TargetGate,
    VersionId,
};
use fescuestack_upstreams::{ConnectionPool, PeerKind, PoolSettings};
use http_types::{Body, Method, Response, StatusCode};

use crate::ask::KeyAsker;
use crate::balancers::find_target;
use crate::content::CallContent;
use crate::headers::{CLASS_HEADER, LEFT_HEADER, REQUEST_HEADER, RETRY_HEADER};
use crate::record::{CallObserver, CallStep, CallTrace};
use crate::ticket::{AnswerContent, TicketGuard};
use fescuestack_http::{CallClock, lock};

/// Most targets of other versions whose relay ports are remembered for questions about keys.
const PAST_RELAYS: usize = 256;

/// How a call ended at the target's node.
#[derive(Debug)]
pub(crate) struct TargetReply {
    pub(crate) code: ResultCode,
    pub(crate) retry_after: Option<ClockSpan>,
    pub(crate) load: Option<LoadReport>,
    /// The upstream's answer, with 100 and 101.
    pub(crate) answer: Option<Response>,
}

/// A call for the upstream.
pub(crate) struct TargetCall<'a> {
    pub(crate) gate: GateCall,
    pub(crate) content: &'a mut CallContent,
    pub(crate) request: &'a str,
    pub(crate) retry: bool,
}

/// The gate of the upstream beside this node, with everything around it.
pub(crate) struct TargetSide {
    pub(crate) node: NodeName,
    pub(crate) clock: CallClock,
    drain_bound: ClockSpan,
    pool_settings: PoolSettings,
    asker: KeyAsker,
    pub(crate) observer: Arc<dyn CallObserver>,
    state: Mutex<TargetState>,
}

/// What changes at a target's node.
#[derive(Default)]
pub(crate) struct TargetState {
    pub(crate) gate: Option<TargetGate>,
    waiters: HashMap<CallTicket, Sender<GateAction>>,
    pool: Option<Arc<ConnectionPool>>,
    /// The service of the upstream and where the targets take questions, by the last version.
    service: Option<Arc<str>>,
    relays: HashMap<NodeName, SocketAddr>,
    leaving: bool,
    /// Whether the death of the upstream was reported and nothing ran to its end since.
    pub(crate) down: bool,
    /// Requests that were reported with a death.
    pub(crate) suspects: Vec<RequestFingerprint>,
}

/// What became of a call at the gate.
pub(crate) enum GateEntry {
    Run(TicketGuard),
    Wait(TicketGuard, Receiver<GateAction>),
    Ask(Vec<NodeName>),
    Reply(GateReply),
}

impl TargetSide {
    pub(crate) fn new(
        node: NodeName,
        drain_bound: ClockSpan,
        pool_settings: PoolSettings,
        clock: CallClock,
        observer: Arc<dyn CallObserver>,
    ) -> Arc<TargetSide> {
        let asker = KeyAsker::new(pool_settings);
        let state = Mutex::default();
        Arc::new(TargetSide { node, clock, drain_bound, pool_settings, asker, observer, state })
    }

    /// Takes over a newer version. Calls that run or wait are not touched.
    pub(crate) fn install(&self, snapshot: &ConfigSnapshot) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let found = find_own(snapshot, &self.node, state.service.as_deref());
        let Some((view, entry)) = found else {
            state.service = None;
            return;
        };
        self.update_gate(&mut state, now, snapshot.version(), view, entry);
        let limit = entry.connections as usize;
        let fits = |pool: &Arc<ConnectionPool>| {
            pool.address() == entry.upstream && pool.max_connections() == limit.max(1)
        };
        if !state.pool.as_ref().is_some_and(fits) {
            let settings = self.pool_settings;
            state.pool =
                Some(ConnectionPool::new(entry.upstream, PeerKind::Upstream, limit, settings));
        }
        if state.relays.len() > PAST_RELAYS {
            state.relays.clear();
        }
        let relays = view.targets.iter().map(|target| (target.name.clone(), target.relay));
        state.relays.extend(relays);
        state.service = Some(view.part.service.as_str().into());
        state.poll(now);
    }

    fn update_gate(
        &self,
        state: &mut TargetState,
        now: ClockTime,
        version: VersionId,
        view: &ServiceView,
        entry: &TargetEntry,
    ) {
        let leaving = state.leaving;
        let gate = state.gate.get_or_insert_with(|| {
            let admission =
                AdmissionSettings { slots: entry.slots, queue_limit: view.part.queue_limit };
            let settings = GateSettings {
                node: self.node.clone(),
                admission,
                key_window: ClockSpan::new(view.part.key_window_ms),
                drain_bound: self.drain_bound,
            };
            let mut gate = TargetGate::new(settings, self.clock.origin());
            if leaving {
                gate.begin_drain(now);
            }
            gate
        });
        gate.update(now, version, view, entry.slots);
    }

    /// Whether the upstream beside this node belongs to `service`.
    pub(crate) fn serves(&self, service: &str) -> bool {
        lock(&self.state).service.as_deref() == Some(service)
    }

    /// Changes the gate and wakes the calls that this concerns.
    pub(crate) fn with_gate<T>(&self, change: impl FnOnce(&mut TargetState, ClockTime) -> T) -> T {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let result = change(&mut state, now);
        state.poll(now);
        result
    }

    /// Ends calls that waited too long. Comes every 100 ms.
    pub(crate) fn tick(&self) {
        self.with_gate(|_, _| ());
        let pool = lock(&self.state).pool.clone();
        if let Some(pool) = pool {
            pool.evict_idle();
        }
        self.asker.sweep();
    }

    pub(crate) fn begin_drain(&self) {
        self.with_gate(|state, now| {
            state.leaving = true;
            if let Some(gate) = &mut state.gate {
                gate.begin_drain(now);
            }
        });
    }

    /// Whether every call has ended.
    pub(crate) fn is_drained(&self) -> bool {
        let now = self.clock.now();
        match &lock(&self.state).gate {
            Some(gate) => {
                matches!(gate.phase(now), DrainPhase::Drained | DrainPhase::BoundReached { .. })
            }
            None => true,
        }
    }

    pub(crate) fn install_quarantine(&self, fingerprints: &[u64]) {
        self.with_gate(|state, _| {
            if let Some(gate) = &mut state.gate {
                let numbers = fingerprints.iter().copied();
                gate.install_quarantine(numbers.map(RequestFingerprint::from_number));
            }
        });
    }

    /// Answers the question of a key's new owner.
    pub(crate) fn answer_question(&self, question: &KeyQuestion) -> Option<KeyAnswer> {
        self.with_gate(|state, now| Some(state.gate.as_mut()?.answer(now, question)))
    }

    pub(crate) fn load(&self) -> Option<LoadReport> {
        lock(&self.state).gate.as_ref().map(TargetGate::load)
    }

    /// Runs a call as soon as the gate lets it.
    pub(crate) async fn run(
        self: &Arc<Self>,
        call: TargetCall<'_>,
        trace: &mut CallTrace,
    ) -> TargetReply {
        let mut entry = self.enter(&call.gate, |gate, now, call| gate.arrive(now, call));
        while let GateEntry::Ask(owners) = entry {
            trace.push(CallStep::Asked { owners: owners.len() });
            entry = self.ask(&call.gate, owners).await;
        }
        let ticket = match entry {
            GateEntry::Run(ticket) => ticket,
            GateEntry::Wait(ticket, waiter) => {
                trace.push(CallStep::Queued);
                match ticket.wait(waiter).await {
                    Ok(ticket) => ticket,
                    Err(reply) => return self.reply(reply),
                }
            }
            GateEntry::Reply(reply) => return self.reply(reply),
            // The loop above ends with another entry.
            GateEntry::Ask(_) => return self.refuse(ResultCode::KeyOwnerYoung),
        };
        self.dispatch(call, ticket, trace).await
    }

    /// Sends a call to the upstream.
    async fn dispatch(
        self: &Arc<Self>,
        call: TargetCall<'_>,
        ticket: TicketGuard,
        trace: &mut CallTrace,
    ) -> TargetReply {
        let pool = lock(&self.state).pool.clone();
        let (Some(pool), Some(mut request)) = (pool, call.content.request()) else {
            return self.refuse(ResultCode::NotReady);
        };
        let deadline = call.gate.deadline;
        request.insert_header(REQUEST_HEADER, call.request);
        request.insert_header(CLASS_HEADER, &*call.gate.class);
        request.insert_header(LEFT_HEADER, deadline.left_value(self.clock.now()));
        if call.retry {
            request.insert_header(RETRY_HEADER, "1");
        }
        let ticket = match ticket.dispatch() {
            Ok(ticket) => ticket,
            Err(reply) => return self.reply(reply),
        };
        trace.push(CallStep::Dispatched);
        let limits = fescuestack_upstreams::ExchangeLimits {
            deadline: self.clock.instant(deadline),
            idempotent: call.gate.kind.is_idempotent(),
        };
        let started = Instant::now();
        let result = pool.exchange(request, limits).await;
        let content = if call.content.head.method() == Method::Head {
            AnswerContent::HeadOnly
        } else if call.gate.key.is_some() && !call.gate.kind.is_idempotent() {
            AnswerContent::Recorded
        } else {
            AnswerContent::Passed
        };
        let (code, answer) = ticket.finish(result, started, pool.address(), content).await;
        TargetReply { code, retry_after: None, load: self.load(), answer }
    }

    /// Takes a call to the gate. `step` is `arrive` or `resume`.
    fn enter(
        self: &Arc<Self>,
        call: &GateCall,
        step: impl FnOnce(&mut TargetGate, ClockTime, GateCall) -> GateStep,
    ) -> GateEntry {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let Some(gate) = &mut state.gate else {
            let retry_after = ClockSpan::new(1_000);
            let code = ResultCode::NotReady;
            return GateEntry::Reply(GateReply { code, retry_after, recorded: None });
        };
        let entry = match step(gate, now, call.clone()) {
            GateStep::Run(ticket) => {
                GateEntry::Run(TicketGuard::new(self.clone(), ticket, call.fingerprint))
            }
            GateStep::Wait(ticket) => {
                let (sender, receiver) = async_channel::bounded(1);
                state.waiters.insert(ticket, sender);
                GateEntry::Wait(TicketGuard::new(self.clone(), ticket, call.fingerprint), receiver)
            }
            GateStep::Ask(owners) => GateEntry::Ask(owners),
            GateStep::Reply(reply) => GateEntry::Reply(reply),
        };
        state.poll(now);
        entry
    }

    /// Asks earlier owners about the key of a call and takes it to the gate again.
    async fn ask(self: &Arc<Self>, call: &GateCall, owners: Vec<NodeName>) -> GateEntry {
        let mut guard = AskGuard { side: self, call, armed: true };
        let Some(key) = call.key.clone() else {
            return GateEntry::Reply(GateReply {
                code: ResultCode::BadRequest,
                retry_after: ClockSpan::ZERO,
                recorded: None,
            });
        };
        let question = KeyQuestion { key, asker: self.node.clone() };
        let (service, relays) = {
            let state = lock(&self.state);
            let relay = |owner: &NodeName| (owner.clone(), state.relays.get(owner).copied());
            let relays: Vec<_> = owners.iter().map(relay).collect();
            (state.service.clone(), relays)
        };
        let deadline = self.clock.instant(call.deadline);
        let service = service.unwrap_or_default();
        let answers = self.asker.ask(&service, &question, relays, deadline).await;
        guard.armed = false;
        self.enter(call, |gate, now, call| gate.resume(now, call, &answers))
    }

    fn reply(&self, reply: GateReply) -> TargetReply {
        let retry_after = Some(reply.retry_after).filter(|span| !span.is_zero());
        let answer = reply.recorded.map(|recorded| restore(&recorded));
        TargetReply { code: reply.code, retry_after, load: self.load(), answer }
    }

    fn refuse(&self, code: ResultCode) -> TargetReply {
        TargetReply { code, retry_after: None, load: self.load(), answer: None }
    }
}

impl TargetState {
    /// Wakes the calls that the gate names.
    fn poll(&mut self, now: ClockTime) {
        let Some(gate) = &mut self.gate else { return };
        let mut actions = Vec::new();
        gate.poll(now, &mut actions);
        for action in actions {
            let (GateAction::Run(ticket) | GateAction::Reply(ticket, _)) = &action;
            if let Some(waiter) = self.waiters.remove(ticket) {
                // The channel has room for the one action. A call that has gone ends its ticket
                // itself.
                let _ = waiter.try_send(action);
            }
        }
    }

    /// Forgets a call that no longer waits.
    pub(crate) fn remove_waiter(&mut self, ticket: CallTicket) {
        self.waiters.remove(&ticket);
    }
}

/// Ends the use of a key when its caller goes away while owners are asked.
struct AskGuard<'a> {
    side: &'a TargetSide,
    call: &'a GateCall,
    armed: bool,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.side.with_gate(|state, now| {
                if let Some(gate) = &mut state.gate {
                    gate.abandon(now, self.call);
                }
            });
        }
    }
}

/// The service and the entry of the target beside `node`; `hint` is looked at first.
fn find_own<'a>(
    snapshot: &'a ConfigSnapshot,
    node: &str,
    hint: Option<&str>,
) -> Option<(&'a Arc<ServiceView>, &'a TargetEntry)> {
    let entry = |view: &'a Arc<ServiceView>| Some((view, find_target(view, node)?));
    let hinted = hint.and_then(|name| snapshot.service(name)).and_then(entry);
    hinted.or_else(|| snapshot.services().find_map(entry))
}

/// The answer that was recorded for a key.
fn restore(recorded: &RecordedAnswer) -> Response {
    let status = StatusCode::try_from(recorded.status).unwrap_or(StatusCode::Ok);
    let mut answer = Response::new(status);
    answer.set_body(Body::from_bytes(recorded.body.clone()));
    answer.remove_header("content-type");
    for (name, value) in &recorded.headers {
        answer.append_header(name.as_str(), value.as_str());
    }
    answer
}
