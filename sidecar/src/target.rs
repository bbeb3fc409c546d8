//! The target beside this node: its queue, its connections and its answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{
    BufferedRequest, BufferedResponse, ByteBudget, CallClock, ExchangeConnection, ExchangeError,
    ResponseTag, lock, within,
};
use fescuestack_platform::headers::{
    DEADLINE_MS, EXPECTED_INSTANCE, INSTANCE_ID, NOT_EXECUTED, REQUEST_ID, RESPONSE_SIGNATURE,
};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, IngressDecision, IngressLink, QueuedCall, SlotAction, SlotLoad,
    SlotQueue, SlotTicket, TargetListing, TargetState,
};
use http::HeaderValue;
use rustc_hash::FxHashMap;

use crate::note::{CallNote, ReplyEnd, ReplyNote};

/// How long a connection to the target may take. It is on the same VM.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How long a target that has broken a connection may take to accept another, before it counts as
/// crashed.
const CRASH_LIMIT: Duration = Duration::from_millis(150);

/// How long an unused connection serves requests that must not run twice. The target may close an
/// older one just when the request arrives, which leaves its outcome unknown.
const FRESH: Duration = Duration::from_millis(800);

/// How long an unused connection serves idempotent requests when the target does not say.
const KEEP: Duration = Duration::from_secs(4);

/// How much earlier than the target says a connection is given up.
const KEEP_MARGIN: Duration = Duration::from_millis(1_000);

/// How long an answer is awaited after the deadline, at which a target answers by itself.
const ANSWER_SLACK: Duration = Duration::from_millis(30);

/// Unused connections that are kept.
const IDLE_LIMIT: usize = 16;

/// A call's result at the target.
#[derive(Debug)]
pub(crate) struct TargetReply {
    pub(crate) note: ReplyNote,
    /// The target's answer if the call ended with one.
    pub(crate) answer: Option<BufferedResponse>,
}

/// The target beside this node.
pub(crate) struct TargetSide {
    clock: CallClock,
    bytes: Arc<ByteBudget>,
    intake: Mutex<IngressLink>,
    state: Mutex<SideState>,
}

struct SideState {
    address: SocketAddr,
    queue: SlotQueue,
    known: Option<Arc<str>>,
    /// The target that is here by its own word, if it is not the listed one.
    actual: Option<Arc<str>>,
    idle: Vec<ExchangeConnection>,
    waiters: FxHashMap<SlotTicket, Sender<Result<(), ClockSpan>>>,
}

impl TargetSide {
    /// Creates the side of the target at `address`, on a VM whose link has `link_mbps` Mbit/s.
    /// Its answers count against `bytes`.
    pub(crate) fn new(
        address: SocketAddr,
        link_mbps: f64,
        clock: CallClock,
        bytes: Arc<ByteBudget>,
    ) -> Arc<TargetSide> {
        let state = SideState {
            address,
            queue: SlotQueue::new(1),
            known: None,
            actual: None,
            idle: Vec::new(),
            waiters: FxHashMap::default(),
        };
        let intake = Mutex::new(IngressLink::new(link_mbps));
        Arc::new(TargetSide { clock, bytes, intake, state: Mutex::new(state) })
    }

    /// Takes over what the platform lists at the target's address. Without an entry, a target that
    /// was listed before has left.
    pub(crate) fn update(&self, address: SocketAddr, entry: Option<&TargetListing>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.address != address {
            state.address = address;
            state.idle.clear();
        }
        match entry {
            Some(entry) => {
                if state.known.as_ref() != Some(&entry.id) {
                    state.known = Some(entry.id.clone());
                    state.actual = None;
                    state.idle.clear();
                    state.queue.reset(entry.slots);
                }
                state.queue.set_slots(entry.slots);
                state.queue.set_open(entry.state == TargetState::Ready);
            }
            None if state.known.is_some() => state.queue.set_open(false),
            None => (),
        }
        state.poll(now);
    }

    pub(crate) fn load(&self) -> SlotLoad {
        let ingress_delay = lock(&self.intake).drain_time();
        SlotLoad { ingress_delay, ..lock(&self.state).queue.load() }
    }

    /// Decides whether the body of a call from another node may come. Fails with the reason and the
    /// time after which there is likely to be room.
    pub(crate) fn announce(
        self: &Arc<Self>,
        note: &CallNote,
    ) -> Result<IntakeGuard, (ReplyEnd, ClockSpan)> {
        let (wait_limit, left) = (ClockSpan::new(note.wait_limit), ClockSpan::new(note.left));
        let step = lock(&self.intake).reserve(note.body_bytes, wait_limit, left);
        match step {
            IngressDecision::Accept => {
                Ok(IntakeGuard { side: self.clone(), bytes: note.body_bytes })
            }
            IngressDecision::Busy => Err((ReplyEnd::Busy, ClockSpan::ZERO)),
            IngressDecision::Refuse { retry_after } => Err((ReplyEnd::Refused, retry_after)),
        }
    }

    /// Whether calls wait for the target.
    pub(crate) fn has_waiting(&self) -> bool {
        lock(&self.state).queue.has_waiting()
    }

    /// Refuses calls that wait in vain. Comes every few milliseconds.
    pub(crate) fn tick(&self) {
        lock(&self.state).poll(self.clock.now());
    }

    /// Runs a call as soon as the queue lets it.
    pub(crate) async fn run(
        self: &Arc<Self>,
        note: &CallNote,
        mut request: BufferedRequest,
    ) -> TargetReply {
        let now = self.clock.now();
        let deadline = now + ClockSpan::new(note.left);
        if self.is_gone(&note.target) {
            return self.reply(&note.route, ReplyEnd::Gone, ClockSpan::ZERO);
        }
        let ticket = match self.admit(now, note).await {
            Ok(ticket) => ticket,
            Err((end, retry_after)) => return self.reply(&note.route, end, retry_after),
        };
        let waited = self.clock.now().since(now);
        let left = deadline.since(self.clock.now());
        if left.is_zero() {
            return self.reply(&note.route, ReplyEnd::Refused, ClockSpan::ZERO);
        }
        let headers = &mut request.headers;
        headers.insert(DEADLINE_MS, HeaderValue::from(left.millis()));
        if let Ok(id) = HeaderValue::from_str(&note.target) {
            headers.insert(EXPECTED_INSTANCE, id);
        }
        let limit = Duration::from_millis(left.millis()) + ANSWER_SLACK;
        let Some(outcome) = within(limit, self.exchange(note, &request)).await else {
            // The answer would come too late. The target learns of it by the closed connection.
            return self.reply(&note.route, ReplyEnd::Lost, ClockSpan::ZERO);
        };
        let mut crashed = false;
        let (end, answer) = match outcome {
            Ok(answer) if answer.status == 421 => {
                self.note_actual(note, &answer);
                (ReplyEnd::Rejected, None)
            }
            Ok(answer) => judge(note, answer),
            Err(ExchangeError::NotSent { source }) => {
                log::info!(target = &*note.target, reason = source.to_string().as_str();
                    "target cannot be reached");
                (ReplyEnd::NotSent, None)
            }
            Err(err) => {
                crashed = matches!(
                    err,
                    ExchangeError::ConnectionLost { .. } | ExchangeError::Truncated { .. }
                ) && self.is_down().await;
                log::info!(target = &*note.target, request = request_id(&request),
                    reason = err.to_string().as_str(), crashed = crashed; "answer lost");
                (ReplyEnd::Lost, None)
            }
        };
        let measured = matches!(end, ReplyEnd::Answered);
        ticket.end(if measured { CallEnd::Answered } else { CallEnd::Aborted });
        let mut reply = self.reply(&note.route, end, ClockSpan::ZERO);
        reply.note.waited = waited.millis();
        reply.note.crashed = crashed;
        TargetReply { answer, ..reply }
    }

    /// Whether the target takes no connections.
    async fn is_down(&self) -> bool {
        let address = lock(&self.state).address;
        ExchangeConnection::open(address, CRASH_LIMIT).await.is_err()
    }

    /// Whether another target than `id` is known to be here.
    fn is_gone(&self, id: &str) -> bool {
        lock(&self.state).actual.as_deref().is_some_and(|actual| actual != id)
    }

    /// Remembers which target is here, so that calls meant for another one need not be sent to it.
    fn note_actual(&self, note: &CallNote, answer: &BufferedResponse) {
        let actual = answer.headers.get(&INSTANCE_ID).and_then(|id| id.to_str().ok());
        log::info!(target = &*note.target, actual = actual.unwrap_or("unknown");
            "another target has the address");
        if let Some(actual) = actual {
            lock(&self.state).actual = Some(actual.into());
        }
    }

    /// Waits for a slot. Fails with the reason and the time after which there is likely to be room.
    async fn admit(
        self: &Arc<Self>,
        now: ClockTime,
        note: &CallNote,
    ) -> Result<SlotGuard, (ReplyEnd, ClockSpan)> {
        let call = QueuedCall {
            route: note.route.clone(),
            priority: note.rank,
            soft_deadline: now + ClockSpan::new(note.aim_left),
            deadline: now + ClockSpan::new(note.left),
            max_wait: ClockSpan::new(note.wait_limit),
        };
        let (ticket, waiter) = {
            let mut state = lock(&self.state);
            if state.known.is_none() {
                state.queue.set_slots(note.slots);
            }
            match state.queue.arrive(now, call) {
                AdmissionDecision::Run(ticket) => (ticket, None),
                AdmissionDecision::Wait(ticket) => (ticket, Some(state.wait(ticket))),
                AdmissionDecision::Busy => return Err((ReplyEnd::Busy, ClockSpan::ZERO)),
                AdmissionDecision::Refuse { retry_after } => {
                    return Err((ReplyEnd::Refused, retry_after));
                }
            }
        };
        let guard = SlotGuard { side: self.clone(), ticket, ended: false };
        if let Some(waiter) = waiter {
            // The sender stays until it has sent.
            let result = waiter.recv().await.unwrap_or(Err(ClockSpan::ZERO));
            result.map_err(|retry_after| (ReplyEnd::Refused, retry_after))?;
        }
        Ok(guard)
    }

    async fn exchange(
        &self,
        note: &CallNote,
        request: &BufferedRequest,
    ) -> Result<BufferedResponse, ExchangeError> {
        let tag = request
            .headers
            .get(&REQUEST_ID)
            .map(|value| ResponseTag { name: REQUEST_ID, value: value.clone() });
        let mut connection = self.connection(note.idempotent).await?;
        let answer = connection.exchange(request, tag.as_ref()).await?;
        let mut state = lock(&self.state);
        if state.idle.len() < IDLE_LIMIT {
            state.idle.push(connection);
        }
        Ok(answer)
    }

    /// An unused connection, the one used last if there are several, or a new one.
    async fn connection(&self, idempotent: bool) -> Result<ExchangeConnection, ExchangeError> {
        loop {
            let (address, idle) = {
                let mut state = lock(&self.state);
                (state.address, state.idle.pop())
            };
            let Some(mut connection) = idle else {
                let connection = ExchangeConnection::open(address, CONNECT_LIMIT).await?;
                return Ok(connection.with_budget(&self.bytes));
            };
            let told = connection.keep_alive_timeout().map(|keep| keep.saturating_sub(KEEP_MARGIN));
            let limit = told.unwrap_or(KEEP).min(if idempotent { KEEP } else { FRESH });
            if connection.idle_time() < limit && connection.is_reusable().await {
                return Ok(connection);
            }
        }
    }

    /// Refuses a call because the node is about to end.
    pub(crate) fn refuse_leaving(&self, note: &CallNote) -> TargetReply {
        self.reply(&note.route, ReplyEnd::Leaving, ClockSpan::ZERO)
    }

    /// The reply to a call of `route` that has no answer of the target.
    pub(crate) fn reply(&self, route: &str, end: ReplyEnd, retry_after: ClockSpan) -> TargetReply {
        let load = self.load();
        let route_time = lock(&self.state).queue.route_time(route);
        let note = ReplyNote {
            end,
            running: load.running,
            queued: load.queued.to_array(),
            service: load.service_time.millis(),
            route_time: route_time.map(ClockSpan::millis),
            intake: load.ingress_delay.millis(),
            waited: 0,
            crashed: false,
            retry_after: retry_after.millis(),
        };
        TargetReply { note, answer: None }
    }
}

/// What an answer of the target says of the call.
fn judge(note: &CallNote, answer: BufferedResponse) -> (ReplyEnd, Option<BufferedResponse>) {
    if answer.headers.contains_key(&NOT_EXECUTED) {
        return (ReplyEnd::Rejected, None);
    }
    if answer.status < 400 && !answer.headers.contains_key(&RESPONSE_SIGNATURE) {
        log::info!(target = &*note.target; "answer without the target's signature");
        return (ReplyEnd::Lost, None);
    }
    (ReplyEnd::Answered, Some(answer))
}

fn request_id(request: &BufferedRequest) -> &str {
    request.headers.get(&REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or("")
}

impl SideState {
    fn wait(&mut self, ticket: SlotTicket) -> Receiver<Result<(), ClockSpan>> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.insert(ticket, sender);
        receiver
    }

    /// Wakes the calls that the queue names.
    fn poll(&mut self, now: ClockTime) {
        let mut actions = Vec::new();
        self.queue.poll(now, &mut actions);
        for action in actions {
            let (ticket, result) = match action {
                SlotAction::Run(ticket) => (ticket, Ok(())),
                SlotAction::Refuse { ticket, retry_after } => (ticket, Err(retry_after)),
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // The channel has room for the one result. A call that has gone frees its slot itself.
                let _ = waiter.try_send(result);
            }
        }
    }
}

/// A body on its way to this node. It counts until this is dropped.
pub(crate) struct IntakeGuard {
    side: Arc<TargetSide>,
    bytes: u64,
}

impl Drop for IntakeGuard {
    fn drop(&mut self) {
        lock(&self.side.intake).release(self.bytes);
    }
}

/// A place in the queue or at the target. Freed when the call ends, however that happens.
struct SlotGuard {
    side: Arc<TargetSide>,
    ticket: SlotTicket,
    ended: bool,
}

impl SlotGuard {
    fn end(mut self, end: CallEnd) {
        self.free(end);
    }

    fn free(&mut self, end: CallEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.side.clock.now();
        let mut state = lock(&self.side.state);
        state.waiters.remove(&self.ticket);
        state.queue.finish(now, self.ticket, end);
        state.queue.cancel(self.ticket);
        state.poll(now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.free(CallEnd::Aborted);
    }
}
