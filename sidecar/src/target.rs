//! The target beside this node: its queue, connections and responses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use fescuestack_http::{
    BufferedRequest, BufferedResponse, ByteBudget, CallClock, ExchangeConnection, ExchangeError,
    lock, within,
};
use fescuestack_platform::headers::{
    DEADLINE_MS, EXPECTED_INSTANCE, INSTANCE_ID, NOT_EXECUTED, REQUEST_ID, RESPONSE_SIGNATURE,
};
use fescuestack_platform::{decode_rate_limit, states_departure};
use fescuestack_routing::{
    AdmissionDecision, CallEnd, CallOrigin, CallProfile, CallingRun, IngressDecision, IngressLink,
    QueuedCall, RateLimit, RunGate, RunId, SlotAction, SlotLoad, SlotQueue, SlotTicket,
    TargetListing, TargetNotice, TargetState,
};
use futures_lite::future;
use http::header::CONTENT_ENCODING;
use http::{HeaderValue, StatusCode};
use rustc_hash::FxHashMap;

use crate::down::{OutageWatch, SentRun, confirm_outage};
use crate::note::{CallNote, ReplyEnd, ReplyNote};
use crate::stop::StopSignal;
use crate::target_pool::{AnswerOrigin, TargetPool};
use crate::warmth::TargetWarmth;

/// Timeout for reconnecting to a target that broke a connection. If this fails, the target counts
/// as down.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time to wait for the response beyond the deadline. The target itself responds when the deadline
/// passes.
const RESPONSE_GRACE: Duration = Duration::from_millis(30);

/// Status of a response by another target than the one that the request was meant for.
const WRONG_INSTANCE: StatusCode = StatusCode::MISDIRECTED_REQUEST;

/// Statuses by which clients know that their request has not run and never will.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// How a call that a run of the target made has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunCallEnd {
    Answered,
    /// Its service had no room for it.
    Refused,
    /// It failed for another reason.
    Other,
}

/// Result of a call at the target.
#[derive(Debug)]
pub(crate) struct TargetReply {
    pub(crate) note: ReplyNote,
    /// The target's response if the call ended with one.
    pub(crate) response: Option<BufferedResponse>,
    /// Whether the target ran the call to its end, also if its response is not passed on.
    pub(crate) run_end: CallEnd,
}

/// The target beside this node.
pub(crate) struct LocalTarget {
    pub(crate) clock: CallClock,
    pub(crate) body_budget: Arc<ByteBudget>,
    pub(crate) stop: Arc<StopSignal>,
    pub(crate) outage: Arc<OutageWatch>,
    ingress: Mutex<IngressLink>,
    pub(crate) state: Mutex<LocalTargetState>,
}

pub(crate) struct LocalTargetState {
    pub(crate) pool: TargetPool,
    pub(crate) queue: SlotQueue,
    pub(crate) warmth: TargetWarmth,
    /// Whether the target's data centre is evacuated.
    pub(crate) evacuated: bool,
    /// Calls that the target's runs make.
    calls: CallProfile,
    /// Limits the runs whose calls are refused.
    gate: RunGate,
    /// Id and start time of the target that the platform lists.
    listed: Option<(Arc<str>, u64)>,
    /// Id that the target itself reports, if it differs from the listed one.
    actual_id: Option<Arc<str>>,
    /// What the target stated about itself in its last response, if there was any.
    notice: Option<TargetNotice>,
    /// Calls sent since the notice changed, and the time of the change.
    sent_since_notice: u64,
    notice_changed_at: ClockTime,
    waiters: FxHashMap<SlotTicket, Sender<Result<(), ClockSpan>>>,
}

impl LocalTarget {
    /// Creates the state of the target at `address`, on a VM whose link has `link_mbps` Mbit/s.
    /// Bodies of its responses count against `body_budget`.
    pub(crate) fn new(
        address: SocketAddr,
        link_mbps: f64,
        clock: CallClock,
        body_budget: Arc<ByteBudget>,
        stop: Arc<StopSignal>,
    ) -> Arc<LocalTarget> {
        let state = LocalTargetState {
            pool: TargetPool::new(address),
            queue: SlotQueue::new(1),
            warmth: TargetWarmth::new(clock.now()),
            evacuated: false,
            calls: CallProfile::new(),
            gate: RunGate::new(),
            listed: None,
            actual_id: None,
            notice: None,
            sent_since_notice: 0,
            notice_changed_at: clock.now(),
            waiters: FxHashMap::default(),
        };
        let ingress = Mutex::new(IngressLink::new(link_mbps));
        let outage = OutageWatch::new();
        let state = Mutex::new(state);
        Arc::new(LocalTarget { clock, body_budget, stop, outage, ingress, state })
    }

    /// Applies the platform's entry for the target's address. Without an entry, a target that was
    /// listed before has left and gets no more calls.
    pub(crate) fn update(&self, address: SocketAddr, listing: Option<&TargetListing>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.pool.set_address(address);
        match listing {
            Some(listing) => {
                let incarnation = (listing.id.clone(), listing.started_ms);
                if state.listed.as_ref() != Some(&incarnation) {
                    if state.listed.replace(incarnation).is_some() {
                        state.notice = None;
                        state.queue.reset(listing.slots);
                    }
                    state.actual_id = None;
                    state.pool.clear();
                    self.outage.probe_now();
                }
                let is_leaving = state.notice.is_some_and(|notice| notice.is_leaving);
                state.queue.set_slots(listing.slots);
                let is_open =
                    listing.state == TargetState::Ready && !is_leaving && !state.evacuated;
                state.queue.set_open(is_open);
                let (warmth, queue) = state.warmth_and_queue();
                warmth.record_listing(now, listing, queue);
            }
            None if state.listed.is_some() => state.queue.set_open(false),
            None => (),
        }
        state.poll(now);
    }

    /// Sets whether the target's data centre is evacuated. The target then gets no calls, and queued
    /// ones are refused; running ones end. Followed by an [`update`](Self::update).
    pub(crate) fn set_evacuated(&self, evacuated: bool) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if std::mem::replace(&mut state.evacuated, evacuated) == evacuated {
            return;
        }
        state.queue.set_open(!evacuated);
        if !evacuated {
            let (warmth, queue) = state.warmth_and_queue();
            warmth.record_evacuation_end(now, queue);
        }
    }

    pub(crate) fn load(&self) -> SlotLoad {
        let ingress_delay = lock(&self.ingress).drain_time();
        SlotLoad { ingress_delay, ..lock(&self.state).queue.load(self.clock.now()) }
    }

    /// Decides whether the body of a call from another node is accepted. Fails with the reason and
    /// the time after which a retry is likely to be accepted.
    pub(crate) fn admit_body(
        self: &Arc<Self>,
        note: &CallNote,
    ) -> Result<IncomingBody, (ReplyEnd, ClockSpan)> {
        let (wait_limit, left) = (ClockSpan::new(note.wait_limit), ClockSpan::new(note.left));
        let step = lock(&self.ingress).reserve(note.body_bytes, wait_limit, left);
        match step {
            IngressDecision::Accept => {
                Ok(IncomingBody { local_target: self.clone(), bytes: note.body_bytes })
            }
            IngressDecision::Busy => Err((ReplyEnd::Busy, ClockSpan::ZERO)),
            IngressDecision::Refuse { retry_after } => Err((ReplyEnd::Refused, retry_after)),
        }
    }

    /// Returns the run of this target that makes a request, as far as is known. The request arrived
    /// from this VM and expires at `deadline`.
    pub(crate) fn calling_run(&self, route: &Arc<str>, deadline: ClockTime) -> Option<CallingRun> {
        lock(&self.state).calls.record_arrival(self.clock.now(), route, deadline)
    }

    /// Records the end of a call that `run` made at `arrived`.
    pub(crate) fn record_run_call(
        &self,
        run: &CallingRun,
        route: &Arc<str>,
        arrived: ClockTime,
        end: RunCallEnd,
    ) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.calls.record_call_time(now, run, route, now.since(arrived));
        let known = state.gate.limit(&run.route);
        match end {
            RunCallEnd::Answered => {
                let slots = state.queue.slots();
                state.gate.record_served(&run.route, slots);
            }
            RunCallEnd::Refused => {
                state.gate.record_refused(now, &run.route);
            }
            RunCallEnd::Other => (),
        }
        let limit = state.gate.limit(&run.route);
        if known.is_some() != limit.is_some() {
            let needs = state.calls.needs(&run.route);
            let need = needs.iter().find(|need| need.route == *route);
            log::info!(route = &*run.route, called = &**route, limit = limit,
                calls_per_run = need.map_or(0.0, |need| need.calls_per_run),
                call_ms = need.map_or(0.0, |need| need.call_time_ms);
                "limit of runs whose calls are refused changed");
        }
    }

    /// Whether calls wait in the queue.
    pub(crate) fn has_waiting(&self) -> bool {
        lock(&self.state).queue.has_waiting()
    }

    /// Refuses queued calls that can no longer be executed in time. Called every few milliseconds.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.warmth.has_rule() {
            let (warmth, queue) = state.warmth_and_queue();
            warmth.apply(now, queue);
        }
        state.poll(now);
    }

    /// Executes a call as soon as the queue admits it.
    pub(crate) async fn run(
        self: &Arc<Self>,
        note: &CallNote,
        fingerprint: RequestFingerprint,
        mut request: BufferedRequest,
    ) -> TargetReply {
        let now = self.clock.now();
        let deadline = now + ClockSpan::new(note.left);
        if self.is_replaced(&note.target) {
            return self.reply(&note.route, ReplyEnd::Gone, ClockSpan::ZERO);
        }
        if !self.stop.allows(deadline) {
            return self.reply(&note.route, ReplyEnd::Stopping, ClockSpan::ZERO);
        }
        if self.outage.is_down() {
            return self.reply(&note.route, ReplyEnd::Down, ClockSpan::ZERO);
        }
        if self.is_evacuated() {
            return self.evacuated_reply(note);
        }
        let _gate_pass = match self.pass_gate(now, &note.route) {
            Ok(gate_pass) => gate_pass,
            Err(retry_after) => {
                let mut reply = self.reply(&note.route, ReplyEnd::Refused, retry_after);
                reply.note.short_of_calls = true;
                return reply;
            }
        };
        let mut ticket = match self.acquire_slot(now, note).await {
            Ok(_) if self.outage.is_down() => {
                return self.reply(&note.route, ReplyEnd::Down, ClockSpan::ZERO);
            }
            Ok(ticket) => ticket,
            Err(_) if self.is_leaving() => return self.leaving_reply(note),
            Err(_) if self.is_evacuated() => return self.evacuated_reply(note),
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
        ticket.begin_run(note, deadline);
        let timeout = Duration::from_millis(left.millis()) + RESPONSE_GRACE;
        let run = self.outage.prepare_run(fingerprint);
        let Some(outcome) = within(timeout, self.exchange(&ticket, note, &request, &run)).await
        else {
            // The response would come too late. Closing the connection cancels the call at the
            // target.
            return self.reply(&note.route, ReplyEnd::Lost, ClockSpan::ZERO);
        };
        let (end, response, run_end) = match outcome {
            Ok(response) if response.status == WRONG_INSTANCE => {
                self.record_actual_id(note, &response);
                (ReplyEnd::Rejected, None, CallEnd::Aborted)
            }
            Ok(response) => classify_response(note, &request, response),
            Err(ExchangeError::NotSent { .. }) if confirm_outage(self, &note.target).await => {
                (ReplyEnd::Down, None, CallEnd::Aborted)
            }
            Err(ExchangeError::NotSent { source }) => {
                log::info!(target = &*note.target, request = request_id(&request),
                    reason = source.to_string().as_str();
                    "cannot connect to the target");
                lock(&self.state).queue.record_not_sent(ticket.ticket);
                (ReplyEnd::NotSent, None, CallEnd::Aborted)
            }
            Err(err) => {
                let crashed = matches!(
                    err,
                    ExchangeError::ConnectionLost { .. } | ExchangeError::Truncated { .. }
                ) && confirm_outage(self, &note.target).await;
                log::info!(target = &*note.target, request = request_id(&request),
                    reason = err.to_string().as_str(), crashed = crashed;
                    "exchange with the target failed");
                (ReplyEnd::Lost, None, CallEnd::Aborted)
            }
        };
        ticket.end(run_end);
        let mut reply = self.reply(&note.route, end, ClockSpan::ZERO);
        reply.note.waited = waited.millis();
        TargetReply { response, run_end, ..reply }
    }

    /// Admits a call as far as calls of runs of its route are served. Fails with the time after which
    /// a retry is likely to be admitted.
    fn pass_gate(
        self: &Arc<Self>,
        now: ClockTime,
        route: &Arc<str>,
    ) -> Result<GatePass, ClockSpan> {
        let mut state = lock(&self.state);
        let run_time = state.queue.route_time(route);
        state.gate.admit(now, route, run_time)?;
        Ok(GatePass { local_target: self.clone(), route: route.clone() })
    }

    /// Opens a connection to the target and closes it.
    pub(crate) async fn probe_connection(&self) -> Result<(), ExchangeError> {
        let address = lock(&self.state).pool.address();
        let result = ExchangeConnection::open(address, CRASH_PROBE_TIMEOUT).await.map(drop);
        self.record_connection(result.is_ok());
        result
    }

    /// Returns the id and the start time of the listed target.
    pub(crate) fn listed(&self) -> Option<(Arc<str>, u64)> {
        lock(&self.state).listed.clone()
    }

    /// Records whether a connection to the target could be opened. A target that was down is cold when
    /// it is back.
    pub(crate) fn record_connection(&self, opened: bool) {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        let (warmth, queue) = state.warmth_and_queue();
        warmth.record_connection(now, opened, queue);
    }

    /// Whether the target is known to have another id than `id`.
    fn is_replaced(&self, id: &str) -> bool {
        lock(&self.state).actual_id.as_deref().is_some_and(|actual_id| actual_id != id)
    }

    /// Stores the id that the target reports, so that calls for other ids are not sent to it.
    fn record_actual_id(&self, note: &CallNote, response: &BufferedResponse) {
        let actual_id = response.headers.get(&INSTANCE_ID).and_then(|id| id.to_str().ok());
        log::info!(target = &*note.target, actual = actual_id.unwrap_or("unknown");
            "another target has this address");
        if let Some(actual_id) = actual_id {
            let mut state = lock(&self.state);
            let former = state.actual_id.replace(actual_id.into());
            if former.as_deref() != Some(actual_id) {
                let now = self.clock.now();
                let (warmth, queue) = state.warmth_and_queue();
                warmth.record_replacement(now, queue);
            }
        }
    }

    /// Stores what the target states about itself. An invalid rate limit leaves the last one in place.
    fn record_notice(&self, note: &CallNote, response: &BufferedResponse) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let previous = state.notice.unwrap_or_default();
        let rate_limit = decode_rate_limit(&response.headers).unwrap_or_else(|err| {
            log::info!(target = &*note.target; "ignoring invalid rate limit of the target: {err}");
            previous.rate_limit
        });
        // A target that leaves does not return, and responses may arrive out of order.
        let is_leaving = previous.is_leaving || states_departure(&response.headers);
        let notice = TargetNotice { rate_limit, is_leaving };
        state.notice = Some(notice);
        state.queue.set_rate_limit(notice.rate_limit);
        if notice.is_leaving {
            state.queue.set_open(false);
            state.poll(now);
        }
        if notice == previous {
            return;
        }
        log::info!(target = &*note.target, limit = notice.rate_limit.map(RateLimit::per_second),
            previous = previous.rate_limit.map(RateLimit::per_second),
            leaving = notice.is_leaving, sent = state.sent_since_notice,
            held_ms = now.since(state.notice_changed_at).millis();
            "target changed its rate limit or is leaving");
        state.sent_since_notice = 0;
        state.notice_changed_at = now;
    }

    /// Waits for a slot. Fails with the reason and the time after which a retry is likely to be
    /// accepted.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        now: ClockTime,
        note: &CallNote,
    ) -> Result<SlotGuard, (ReplyEnd, ClockSpan)> {
        let deadline = now + ClockSpan::new(note.left);
        let call = QueuedCall {
            route: note.route.clone(),
            priority: note.rank,
            soft_deadline: now + ClockSpan::new(note.aim_left),
            deadline,
            max_wait: ClockSpan::new(note.wait_limit),
        };
        let (ticket, waiter) = {
            let mut state = lock(&self.state);
            if state.listed.is_none() {
                state.queue.set_slots(note.slots);
            }
            if state.notice.is_none()
                && let Some(limit) = note.rate_limit
            {
                state.queue.set_rate_limit(Some(RateLimit::from_millihertz(limit)));
            }
            if let Some(rule) = &note.warmup {
                let (warmth, queue) = state.warmth_and_queue();
                warmth.learn_rule(now, rule, queue);
            }
            let origin = if note.from_run { CallOrigin::Run } else { CallOrigin::Client };
            match state.queue.arrive_from(now, call, origin) {
                AdmissionDecision::Run(ticket) => (ticket, None),
                AdmissionDecision::Wait(ticket) => (ticket, Some(state.add_waiter(ticket))),
                AdmissionDecision::Busy => return Err((ReplyEnd::Busy, ClockSpan::ZERO)),
                AdmissionDecision::Refuse { retry_after } => {
                    return Err((ReplyEnd::Refused, retry_after));
                }
            }
        };
        let guard = SlotGuard { local_target: self.clone(), ticket, run: None, ended: false };
        if let Some(waiter) = waiter {
            // The sender stays in `waiters` until it has sent the result, so the channel does not
            // close earlier.
            let admitted = async {
                let result = waiter.recv().await.unwrap_or(Err(ClockSpan::ZERO));
                result.map_err(|retry_after| (ReplyEnd::Refused, retry_after))
            };
            let stopped = async {
                self.stop.forbids(deadline).await;
                Err((ReplyEnd::Stopping, ClockSpan::ZERO))
            };
            let went_down = async {
                self.outage.went_down().await;
                Err((ReplyEnd::Down, ClockSpan::ZERO))
            };
            future::or(admitted, future::or(stopped, went_down)).await?;
        }
        Ok(guard)
    }

    async fn exchange(
        &self,
        ticket: &SlotGuard,
        note: &CallNote,
        request: &BufferedRequest,
        run: &SentRun,
    ) -> Result<BufferedResponse, ExchangeError> {
        let (asked_at, response, origin) =
            self.exchange_once(ticket, note.idempotent, request, Some(run)).await?;
        if is_refusal(&response) {
            log::info!(request = request_id(request), target = &*note.target,
                status = response.status.as_u16(), connection = origin.connection,
                requests = origin.requests,
                after_ms = self.clock.now().since(asked_at).millis();
                "the target has not executed a request");
            lock(&self.state).pool.record_refusal();
        }
        if response.status != WRONG_INSTANCE {
            self.record_notice(note, &response);
            let mut state = lock(&self.state);
            let now = self.clock.now();
            let (warmth, queue) = state.warmth_and_queue();
            warmth.record_headers(asked_at, now, &response.headers, queue);
        }
        Ok(response)
    }

    /// Sends a request on a connection to the target, which is kept for further ones. Returns the time
    /// of sending, the response and where it came from.
    pub(crate) async fn exchange_once(
        &self,
        ticket: &SlotGuard,
        idempotent: bool,
        request: &BufferedRequest,
        run: Option<&SentRun>,
    ) -> Result<(ClockTime, BufferedResponse, AnswerOrigin), ExchangeError> {
        let mut connection = self.connection(request, idempotent).await?;
        if let Some(run) = run {
            run.start();
        }
        let sent_at = self.clock.now();
        {
            let mut state = lock(&self.state);
            state.sent_since_notice += 1;
            state.queue.record_sent(sent_at, ticket.ticket);
        }
        let (response, origin) = connection.exchange(request).await?;
        self.keep_connection(connection);
        Ok((sent_at, response, origin))
    }

    /// Whether the target's data centre is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        lock(&self.state).evacuated
    }

    /// Whether the target has stated that it is leaving.
    fn is_leaving(&self) -> bool {
        lock(&self.state).notice.is_some_and(|notice| notice.is_leaving)
    }

    /// Returns the reply to a call that is refused because the node is stopping or its target is
    /// leaving.
    pub(crate) fn leaving_reply(&self, note: &CallNote) -> TargetReply {
        self.reply(&note.route, ReplyEnd::Leaving, ClockSpan::ZERO)
    }

    /// Returns the reply to a call that is refused because of an evacuation.
    pub(crate) fn evacuated_reply(&self, note: &CallNote) -> TargetReply {
        self.reply(&note.route, ReplyEnd::Evacuated, ClockSpan::ZERO)
    }

    /// Returns a reply without a response, with the current load of the target and the service time
    /// of `route`.
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
            rate_limit: load.rate_limit.map(RateLimit::millihertz),
            rate_delay: load.rate_delay.millis(),
            waited: 0,
            outage: self.outage.notice(),
            target_leaving: self.is_leaving(),
            retry_after: retry_after.millis(),
            short_of_calls: false,
            stops_in: self.stop.time_left().map(ClockSpan::millis),
        };
        TargetReply { note, response: None, run_end: CallEnd::Aborted }
    }
}

/// Derives the outcome of a call from the target's response, and whether the call has run to its end.
fn classify_response(
    note: &CallNote,
    request: &BufferedRequest,
    response: BufferedResponse,
) -> (ReplyEnd, Option<BufferedResponse>, CallEnd) {
    if is_refusal(&response) {
        return (ReplyEnd::Rejected, None, CallEnd::Aborted);
    }
    // Clients ask for no content coding, so that the body is not the one that the target made.
    if response.headers.contains_key(CONTENT_ENCODING) {
        log::info!(request = request_id(request), target = &*note.target;
            "response with a content coding");
        return (ReplyEnd::Lost, None, CallEnd::Aborted);
    }
    if response.status.as_u16() < 400 && !response.headers.contains_key(&RESPONSE_SIGNATURE) {
        log::info!(request = request_id(request), target = &*note.target;
            "response without the target's signature");
        return (ReplyEnd::Lost, None, CallEnd::Aborted);
    }
    // The target may have run the request, and the client would repeat it.
    if PROMISES.contains(&response.status) {
        log::info!(request = request_id(request), target = &*note.target,
            status = response.status.as_u16();
            "response that does not state that the request was not executed, as its status does");
        return (ReplyEnd::Lost, None, CallEnd::Answered);
    }
    (ReplyEnd::Answered, Some(response), CallEnd::Answered)
}

/// Whether the target states that it has not executed the request.
fn is_refusal(response: &BufferedResponse) -> bool {
    response.status == WRONG_INSTANCE || response.headers.contains_key(&NOT_EXECUTED)
}

pub(crate) fn request_id(request: &BufferedRequest) -> &str {
    request.headers.get(&REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or("")
}

impl LocalTargetState {
    /// Returns what is known of the target's warmth, with the queue that it limits.
    pub(crate) fn warmth_and_queue(&mut self) -> (&mut TargetWarmth, &mut SlotQueue) {
        (&mut self.warmth, &mut self.queue)
    }

    fn add_waiter(&mut self, ticket: SlotTicket) -> Receiver<Result<(), ClockSpan>> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.insert(ticket, sender);
        receiver
    }

    /// Lets the queue decide and notifies the calls that it admits or refuses.
    pub(crate) fn poll(&mut self, now: ClockTime) {
        let mut actions = Vec::new();
        self.queue.poll(now, &mut actions);
        for action in actions {
            let (ticket, result) = match action {
                SlotAction::Run(ticket) => (ticket, Ok(())),
                SlotAction::Refuse { ticket, retry_after } => (ticket, Err(retry_after)),
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // The channel has room for the single result. If the call was dropped, its guard
                // has freed the slot.
                let _ = waiter.try_send(result);
            }
        }
    }
}

/// A large body that is being received. It counts against the link until it is dropped.
pub(crate) struct IncomingBody {
    local_target: Arc<LocalTarget>,
    bytes: u64,
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        lock(&self.local_target.ingress).release(self.bytes);
    }
}

/// A call that the gate of its route has admitted, until it ends or is dropped.
struct GatePass {
    local_target: Arc<LocalTarget>,
    route: Arc<str>,
}

impl Drop for GatePass {
    fn drop(&mut self) {
        lock(&self.local_target.state).gate.release(&self.route);
    }
}

/// A place in the queue or a slot of the target. It is freed when the call ends or is dropped.
pub(crate) struct SlotGuard {
    local_target: Arc<LocalTarget>,
    ticket: SlotTicket,
    run: Option<RunId>,
    ended: bool,
}

impl SlotGuard {
    /// Records that the target starts to run the call.
    fn begin_run(&mut self, note: &CallNote, deadline: ClockTime) {
        let now = self.local_target.clock.now();
        let calls = &mut lock(&self.local_target.state).calls;
        self.run = Some(calls.begin_run(now, &note.route, note.rank, deadline));
    }

    fn end(mut self, end: CallEnd) {
        self.free(end);
    }

    fn free(&mut self, end: CallEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.local_target.clock.now();
        let mut state = lock(&self.local_target.state);
        state.waiters.remove(&self.ticket);
        if let Some(run) = self.run.take() {
            state.calls.end_run(run);
        }
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
