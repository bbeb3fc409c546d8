//! Requests from clients on this VM and from the target beside the node.

use std::sync::Arc;
use std::time::Duration;

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use fescuestack_http::{BufferedRequest, BufferedResponse, CloseWatch, CollectError, lock, within};
use fescuestack_platform::headers::{CALLER_SERVICE, DEADLINE_MS, EXPECTED_INSTANCE, REQUEST_ID};
use fescuestack_routing::{
    AttemptEnd, CallParams, CallPlan, CallingRun, KnownOutage, LatencyBreakdown, LossCause,
    PickedTarget, PlanStep, RateLimit, RouteRule, TargetFeedback,
};
use futures_lite::future;
use http::header::{CONNECTION, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use hyper::body::{Body, Incoming};

use crate::connections::ConnectionRecord;
use crate::crashes::CRASHING_RETRY_AFTER;
use crate::fingerprint::fingerprint;
use crate::hedge;
use crate::message::{FullResponse, empty_response, forwarded_request, full_response};
use crate::node::{DoorCaller, NodeState};
use crate::note::{CallNote, ReplyEnd, ReplyNote};
use crate::peer::{MEMORY_FULL_RETRY_AFTER, run_local, send_call};
use crate::report::record_decisions;
use crate::target::RunCallEnd;

/// When a client should retry while the node has no configuration.
const NOT_READY_RETRY_AFTER: ClockSpan = ClockSpan::new(300);

/// Divisor of the soft timeout of a route that gives the time in which its calls can be answered.
/// Operators usually set soft timeouts to a few times the service time.
const MIN_CALL_TIME_DIVISOR: u64 = 2;

/// How long to wait for a response after the deadline. One that is already on its way is still
/// delivered.
const RESPONSE_GRACE: Duration = Duration::from_millis(60);

/// Why a request has no response from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntryFault {
    /// 400: the request is malformed or lacks a required header.
    Invalid,
    /// 404: no route matches.
    NoRoute,
    /// 408: the body did not arrive in time.
    BodyLate,
    /// 413: the body is too long.
    TooLong,
    /// 503: the request was not executed.
    NotRun { retry_after: ClockSpan },
    /// 502: the request may have been executed.
    Lost,
    /// 504: the deadline has passed and the request may have been executed.
    Late,
    /// The client has disconnected, so that nobody reads the response.
    ClientGone,
}

impl EntryFault {
    /// Name of the fault in decision records.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            EntryFault::Invalid => "invalid",
            EntryFault::NoRoute => "no-route",
            EntryFault::BodyLate => "body-late",
            EntryFault::TooLong => "too-long",
            EntryFault::NotRun { .. } => "not-run",
            EntryFault::Lost => "lost",
            EntryFault::Late => "late",
            EntryFault::ClientGone => "client-gone",
        }
    }
}

/// Details of a request for the log and for decision records.
#[derive(Debug, Default)]
pub(crate) struct EntryTrace {
    /// Why the request was refused or failed, if that does not follow from its attempts.
    pub(crate) cause: Option<LossCause>,
    /// How the time of the last attempt was spent.
    pub(crate) times: LatencyBreakdown,
    pub(crate) route: Option<Arc<RouteRule>>,
    /// The run of this VM's target that made the request.
    pub(crate) run: Option<CallingRun>,
    /// Whether the time that was left on arrival was enough for an ordinary request of its route.
    pub(crate) had_time: bool,
    /// The caller, if the request competes with those of other priorities.
    pub(crate) door_caller: Option<DoorCaller>,
    pub(crate) service: Option<Arc<str>>,
    pub(crate) version: u64,
    /// Targets of all attempts with their outcomes.
    pub(crate) attempts: Vec<(Arc<str>, AttemptEnd)>,
}

/// Serves a request. If the client disconnects, the request is cancelled.
pub(crate) async fn serve(
    state: Arc<NodeState>,
    request: Request<Incoming>,
    mut watch: CloseWatch,
    connection: &Arc<ConnectionRecord>,
) -> FullResponse {
    let _call_guard = state.begin_call();
    let head = connection.begin_request(request.headers(), !request.body().is_end_stream());
    let id = request.headers().get(&REQUEST_ID).cloned();
    let arrived = state.clock.now();
    let mut trace = EntryTrace::default();
    let outcome = if head.is_some() && !state.connections.has_room_for_long_head() {
        drop(request);
        trace.cause = Some(LossCause::MemoryFull);
        Err(EntryFault::NotRun { retry_after: MEMORY_FULL_RETRY_AFTER })
    } else {
        handle_request(&state, request, arrived, &mut watch, connection, &mut trace).await
    };
    drop(head);
    let fault = outcome.as_ref().err().copied();
    record_decisions(&state, id.as_ref(), arrived, fault, &trace);
    if let (Some(run), Some(route)) = (&trace.run, &trace.route) {
        let end = run_call_end(&outcome, &trace);
        state.local_target.record_run_call(run, &route.name, arrived, end);
        let label = fault.map_or("answered", EntryFault::label);
        state.metrics.record_run_call(&run.route, &route.name, label);
    }
    record_shortage(&state, fault, &trace);
    let mut response = match outcome {
        Ok(response) => {
            trace.times.total = state.clock.now().since(arrived).millis();
            log_late_or_failed(&state, id.as_ref(), response.status, &trace);
            let body = connection.begin_answer(response.body);
            full_response(BufferedResponse { body, ..response })
        }
        Err(fault) => {
            log_fault(&state, id.as_ref(), arrived, fault, &trace);
            connection.end_answer();
            fault_response(fault, id)
        }
    };
    record_call(&state, &trace, arrived, response.status());
    if state.is_stopping() || connection.has_unread_body() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_request(
    state: &Arc<NodeState>,
    request: Request<Incoming>,
    arrived: ClockTime,
    watch: &mut CloseWatch,
    connection: &Arc<ConnectionRecord>,
    trace: &mut EntryTrace,
) -> Result<BufferedResponse, EntryFault> {
    if state.is_refusing() {
        return Err(stopping_fault(state, trace));
    }
    let Some(routes) = state.routes.load_full() else {
        trace.cause = Some(LossCause::NoConfiguration);
        return Err(EntryFault::NotRun { retry_after: NOT_READY_RETRY_AFTER });
    };
    trace.version = routes.version;
    let (parts, body) = request.into_parts();
    // Nodes open no tunnels, and HTTP/2 carries no path in CONNECT.
    if parts.method == Method::CONNECT {
        return Err(EntryFault::Invalid);
    }
    if single_value(&parts.headers, &REQUEST_ID)?.is_none() {
        return Err(EntryFault::Invalid);
    }
    let host = single_value(&parts.headers, &HOST)?.and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).ok_or(EntryFault::Invalid)?;
    let route = routes.find(host, parts.uri.path()).ok_or(EntryFault::NoRoute)?.clone();
    let service = route.next_service(state.split_offset).ok_or(EntryFault::NoRoute)?.clone();

    trace.route = Some(route.clone());
    trace.service = Some(service.clone());
    let client_time_left = client_timeout(&parts.headers);
    trace.had_time = client_time_left
        .is_some_and(|left| left.millis() >= route.soft_timeout.millis() / MIN_CALL_TIME_DIVISOR);
    trace.run = client_time_left
        .and_then(|left| state.local_target.calling_run(&route.name, arrived + left));
    // A run calls with the time that it has left itself, which does not mean that the call has been
    // refused before.
    let waited = client_time_left
        .filter(|_| trace.run.is_none())
        .map(|left| lock(&state.routing).waits.estimate(&route.name, left))
        .unwrap_or_default();
    let left = client_time_left.map_or(route.timeout, |left| left.min(route.timeout));
    let deadline = arrived + left;
    if !state.stop.allows(deadline) {
        return Err(stopping_fault(state, trace));
    }
    trace.times.soft_timeout = route.soft_timeout.less(waited).millis();
    let timeout = Duration::from_millis(left.millis());
    let max_body_bytes = usize::try_from(routes.limits.max_body_bytes).unwrap_or(usize::MAX);
    let received = async {
        let body = state.connections.receive_body(connection, body, max_body_bytes).await?;
        connection.begin_run()?;
        Ok(body)
    };
    let body = match within(timeout, received).await {
        Some(Ok(body)) => body,
        Some(Err(CollectError::TooLong)) => return Err(EntryFault::TooLong),
        Some(Err(CollectError::BudgetExhausted | CollectError::Evicted)) => {
            trace.cause = Some(LossCause::MemoryFull);
            return Err(EntryFault::NotRun { retry_after: MEMORY_FULL_RETRY_AFTER });
        }
        Some(Err(CollectError::ReadFailed { .. })) => return Err(EntryFault::Invalid),
        None => return Err(EntryFault::BodyLate),
    };
    let caller = HeaderValue::from_str(&state.settings.load().service);
    let caller = caller.map_err(|_| EntryFault::Invalid)?;
    let mut request = forwarded_request(parts, body);
    // Set after the client's headers have been filtered, so that the client cannot change them.
    request.headers.remove(&EXPECTED_INSTANCE);
    request.headers.insert(CALLER_SERVICE, caller);
    let fingerprint = fingerprint(&request).await;
    // A call of a run is not refused here, since that would waste the run. The body has been read, since
    // a connection that is closed with an unread body may lose the response.
    if trace.run.is_none() && routes.has_competing_routes(&service) {
        let deadline = arrived + client_time_left.unwrap_or(left);
        let caller = DoorCaller { request: fingerprint, deadline };
        trace.door_caller = Some(caller);
        let (class, has_waited) = ((&service, route.priority), !waited.is_zero());
        let passed = lock(&state.routing).pass_door(state.clock.now(), class, caller, has_waited);
        if let Err((reason, retry_after)) = passed {
            trace.cause = Some(LossCause::QueueFull);
            state.metrics.record_door_refusal(&service, route.priority, reason);
            return Err(EntryFault::NotRun { retry_after });
        }
    }
    let priority = trace.run.as_ref().map_or(route.priority, |run| run.priority);
    let from_run = trace.run.is_some();
    let call = EntryCall { route: route.clone(), from_run, deadline, fingerprint, request };
    let plan = CallPlan::new(CallParams {
        service,
        route: route.name.clone(),
        priority,
        kind: route.kind,
        max_attempts: route.max_attempts,
        arrived,
        soft_deadline: arrived + route.soft_timeout.less(waited),
        deadline,
        body_bytes: call.request.body.len(),
    });
    let mut progress = EntryProgress { plan, attempt_running: false, trace };
    let left = deadline.since(state.clock.now());
    let timeout = Duration::from_millis(left.millis()) + RESPONSE_GRACE;
    let client_gone = async {
        watch.closed().await;
        CallOutcome::ClientGone
    };
    let aborted = async {
        state.stop.aborted().await;
        CallOutcome::Aborted
    };
    let executed = async {
        match within(timeout, call.execute(state, &mut progress)).await {
            Some(result) => CallOutcome::Ended(result),
            None => CallOutcome::TimedOut,
        }
    };
    let outcome = future::or(executed, future::or(client_gone, aborted)).await;
    let may_have_run = progress.attempt_running || progress.plan.may_have_run();
    match outcome {
        CallOutcome::Ended(result) => result,
        CallOutcome::ClientGone => Err(EntryFault::ClientGone),
        CallOutcome::TimedOut if may_have_run => Err(EntryFault::Late),
        CallOutcome::TimedOut => Err(EntryFault::NotRun { retry_after: NOT_READY_RETRY_AFTER }),
        CallOutcome::Aborted if may_have_run => {
            trace.cause = Some(LossCause::Stopping);
            Err(EntryFault::Lost)
        }
        CallOutcome::Aborted => Err(stopping_fault(state, trace)),
    }
}

/// How the execution of a request ended.
enum CallOutcome {
    /// Its plan has ended.
    Ended(Result<BufferedResponse, EntryFault>),
    /// Its deadline has passed.
    TimedOut,
    /// The client has disconnected.
    ClientGone,
    /// The node exits.
    Aborted,
}

/// Returns the fault of a request that has not run because the node is stopping.
fn stopping_fault(state: &NodeState, trace: &mut EntryTrace) -> EntryFault {
    trace.cause = Some(LossCause::Stopping);
    EntryFault::NotRun { retry_after: state.stop.retry_after() }
}

/// A request that is sent to targets.
pub(crate) struct EntryCall {
    pub(crate) route: Arc<RouteRule>,
    /// Whether a run makes the call.
    from_run: bool,
    pub(crate) deadline: ClockTime,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) request: BufferedRequest,
}

pub(crate) struct EntryProgress<'a> {
    pub(crate) plan: CallPlan,
    pub(crate) trace: &'a mut EntryTrace,
    /// Whether an attempt is in progress.
    attempt_running: bool,
}

impl EntryCall {
    /// Executes the attempts of the request's plan until it ends.
    async fn execute(
        &self,
        state: &Arc<NodeState>,
        progress: &mut EntryProgress<'_>,
    ) -> Result<BufferedResponse, EntryFault> {
        let mut response = None;
        if lock(&state.crashes).is_quarantined(state.clock.now(), self.fingerprint) {
            progress.trace.cause = Some(LossCause::CrashesTargets);
            state.metrics.record_held_request();
            return Err(EntryFault::NotRun { retry_after: CRASHING_RETRY_AFTER });
        }
        loop {
            if !state.stop.allows(self.deadline) {
                return match response {
                    Some(response) => Ok(response),
                    None if progress.plan.may_have_run() => Err(EntryFault::Lost),
                    None => Err(stopping_fault(state, progress.trace)),
                };
            }
            let step = {
                let mut routing = lock(&state.routing);
                let allowance = routing.allowance;
                if progress.trace.attempts.is_empty() {
                    let service = &progress.plan.call().service;
                    routing.record_hedgeable_call(state.clock.now(), service);
                }
                let (picker, budget) =
                    routing.picker_and_budget(&progress.plan.call().service.clone());
                let step = progress.plan.next_step(state.clock.now(), picker, budget, allowance);
                if let PlanStep::Send { target, .. } = &step {
                    picker.record_sent(&target.id, progress.plan.call().priority);
                }
                step
            };
            let (target, wait_limit) = match step {
                PlanStep::Send { target, max_wait } => (target, max_wait),
                PlanStep::Answer => return response.ok_or(EntryFault::Lost),
                PlanStep::Refuse { retry_after } => {
                    return Err(EntryFault::NotRun { retry_after });
                }
                PlanStep::Fail if state.clock.now() >= self.deadline => {
                    return Err(EntryFault::Late);
                }
                PlanStep::Fail => return Err(EntryFault::Lost),
            };
            progress.attempt_running = true;
            let arrived = progress.plan.call().arrived;
            progress.trace.times.before_last_attempt = state.clock.now().since(arrived).millis();
            let latest = hedge::run_attempt(self, state, progress, &target, wait_limit).await;
            progress.attempt_running = false;
            response = latest.or(response);
        }
    }

    /// Sends the request to a target. Dropping the future cancels the request there.
    pub(crate) async fn attempt(
        &self,
        state: &Arc<NodeState>,
        params: &CallParams,
        target: &PickedTarget,
        wait_limit: ClockSpan,
    ) -> EntryAttempt {
        let now = state.clock.now();
        let mut guard = AttemptGuard { state, target, feedback: TargetFeedback::Cancelled };
        let note = CallNote {
            target: target.id.clone(),
            slots: target.slots,
            route: self.route.name.clone(),
            rank: params.priority,
            idempotent: self.route.kind.is_idempotent(),
            left: self.deadline.since(now).millis(),
            aim_left: params.soft_deadline.since(now).millis(),
            wait_limit: wait_limit.millis(),
            body_bytes: self.request.body.len() as u64,
            rate_limit: target.rate_limit.map(RateLimit::millihertz),
            warmup: state.warmup_rule(&params.service),
            from_run: self.from_run,
        };
        let (reply, response) = if state.is_own_vm(target.vm) {
            let reply = run_local(state, &note, self.fingerprint, self.request.clone()).await;
            (reply.note, reply.response)
        } else {
            match send_call(state, target, &note, &self.request).await {
                Ok(reply) => reply,
                Err(end) => {
                    guard.feedback = TargetFeedback::Refused;
                    return EntryAttempt { end, response: None, queued: None };
                }
            }
        };
        guard.report(params, &reply);
        if reply.short_of_calls {
            state.metrics.record_door_refusal(&params.service, params.priority, "calls");
        }
        let (end, feedback) = attempt_end(&reply, response.as_ref());
        guard.feedback = feedback;
        if reply.end == ReplyEnd::Answered {
            lock(&state.crashes).record_completion(state.clock.now(), self.fingerprint);
        }
        EntryAttempt { end, response, queued: Some(reply.waited) }
    }

    /// Records the end of an attempt in the log and the trace.
    pub(crate) fn record_attempt(
        &self,
        trace: &mut EntryTrace,
        target: &PickedTarget,
        attempt: &EntryAttempt,
    ) {
        let end = attempt.end;
        log::debug!(request = self.request_id(), target = &*target.id, crosses = target.is_remote,
            route = &*self.route.name, priority = self.route.priority, from_run = self.from_run,
            bytes = self.request.body.len(),
            answer_bytes = attempt.response.as_ref().map_or(0, |response| response.body.len()),
            end = format!("{end:?}").as_str();
            "attempt ended");
        trace.times.queued = attempt.queued.unwrap_or(trace.times.queued);
        trace.attempts.push((target.id.clone(), end));
    }

    pub(crate) fn request_id(&self) -> &str {
        self.request.headers.get(&REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or("")
    }
}

/// How an attempt ended.
pub(crate) struct EntryAttempt {
    pub(crate) end: AttemptEnd,
    pub(crate) response: Option<BufferedResponse>,
    /// Time for which it waited in the queue in ms, if the target's node replied.
    pub(crate) queued: Option<u64>,
}

/// Derives the outcome of an attempt and the feedback about its target from the reply.
fn attempt_end(
    reply: &ReplyNote,
    response: Option<&BufferedResponse>,
) -> (AttemptEnd, TargetFeedback) {
    match (reply.end, response) {
        (ReplyEnd::Answered, Some(response)) => {
            let failed = response.status.is_server_error();
            let feedback = if failed { TargetFeedback::Failed } else { TargetFeedback::Served };
            (AttemptEnd::Answered { failed }, feedback)
        }
        (ReplyEnd::Answered | ReplyEnd::Lost, _) => (AttemptEnd::Lost, TargetFeedback::Failed),
        (ReplyEnd::Busy, _) => (AttemptEnd::Busy, TargetFeedback::Refused),
        (ReplyEnd::Refused, _) => {
            let retry_after = ClockSpan::new(reply.retry_after);
            (AttemptEnd::Refused { retry_after }, TargetFeedback::Refused)
        }
        (ReplyEnd::Leaving, _) => (AttemptEnd::Moved, TargetFeedback::Leaving),
        (ReplyEnd::Stopping | ReplyEnd::Evacuated, _) => {
            (AttemptEnd::Moved, TargetFeedback::Refused)
        }
        (ReplyEnd::Gone, _) => (AttemptEnd::Moved, TargetFeedback::Replaced),
        (ReplyEnd::Rejected, _) => (AttemptEnd::Rejected, TargetFeedback::Failed),
        (ReplyEnd::NotSent, _) => (AttemptEnd::NotSent, TargetFeedback::Failed),
        (ReplyEnd::Down, _) => (AttemptEnd::Down, TargetFeedback::Refused),
    }
}

/// Ends the attempt in the picker's accounts of the target, also when the attempt is dropped.
struct AttemptGuard<'a> {
    state: &'a Arc<NodeState>,
    target: &'a PickedTarget,
    feedback: TargetFeedback,
}

impl AttemptGuard<'_> {
    fn report(&self, call: &CallParams, reply: &ReplyNote) {
        let now = self.state.clock.now();
        let mut routing = lock(&self.state.routing);
        if let Some(hedges) = &mut routing.hedges {
            hedges.record_load(&call.service, self.target.slots, reply.load());
        }
        let picker = &mut routing.picker;
        picker.record_load(now, &self.target.id, &call.route, reply.load());
        picker.record_stop(now, &self.target.id, reply.stops_in.map(ClockSpan::new));
        if reply.end == ReplyEnd::Refused {
            let wait = ClockSpan::new(reply.retry_after);
            picker.record_refusal(now, &self.target.id, call.priority, wait);
        }
        let outage = KnownOutage {
            target: self.target.id.clone(),
            started_ms: Some(self.target.started_ms),
            notice: reply.outage,
        };
        if picker.record_outage(now, &outage) {
            log::debug!(target = &*outage.target, down = outage.notice.is_down;
                "outage of a target learned from a reply");
        }
        if reply.end == ReplyEnd::Evacuated {
            picker.record_evacuation(now, &self.target.id);
        }
        if reply.target_leaving && picker.record_departure(now, self.target) {
            log::info!(target = &*self.target.id; "target is leaving, as it has stated itself");
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        lock(&self.state.routing).picker.record_end(now, &self.target.id, self.feedback);
    }
}

/// Returns the value of a header that says what the request is. Fails if there are several: the target
/// may take another one than this node.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, EntryFault> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(EntryFault::Invalid),
        (value, None) => Ok(value),
    }
}

/// Returns the client's remaining time, if the request states it.
fn client_timeout(headers: &HeaderMap) -> Option<ClockSpan> {
    let millis: f64 = headers.get(&DEADLINE_MS)?.to_str().ok()?.trim().parse().ok()?;
    Some(ClockSpan::new(millis.max(0.0) as u64))
}

fn record_call(state: &NodeState, trace: &EntryTrace, arrived: ClockTime, status: StatusCode) {
    let service = trace.service.as_deref().unwrap_or("");
    let route = trace.route.as_ref().map_or("", |route| &*route.name);
    let taken = Duration::from_millis(state.clock.now().since(arrived).millis());
    state.metrics.record_call(service, route, status.as_u16(), taken);
    for (_, end) in &trace.attempts {
        state.metrics.record_attempt(service, end.label());
    }
}

fn fault_response(fault: EntryFault, id: Option<HeaderValue>) -> FullResponse {
    let status = match fault {
        EntryFault::Invalid => StatusCode::BAD_REQUEST,
        EntryFault::NoRoute => StatusCode::NOT_FOUND,
        EntryFault::BodyLate => StatusCode::REQUEST_TIMEOUT,
        EntryFault::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        EntryFault::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
        EntryFault::Lost => StatusCode::BAD_GATEWAY,
        EntryFault::Late | EntryFault::ClientGone => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = empty_response(status);
    if let EntryFault::NotRun { retry_after } = fault {
        let seconds = format!("{:.3}", retry_after.millis() as f64 / 1000.0);
        if let Ok(value) = HeaderValue::try_from(seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Records that the targets of a service had no room for a request that competes with others.
fn record_shortage(state: &NodeState, fault: Option<EntryFault>, trace: &EntryTrace) {
    let Some(fault @ EntryFault::NotRun { retry_after }) = fault else { return };
    let (Some(caller), Some(service), Some(route)) =
        (trace.door_caller, &trace.service, &trace.route)
    else {
        return;
    };
    if !trace.attempts.is_empty() && fault_cause(fault, trace) == LossCause::QueueFull {
        let class = (service, route.priority);
        lock(&state.routing).record_shortage(state.clock.now(), class, caller, retry_after);
    }
}

/// Determines what the end of a call tells the run that made it.
fn run_call_end(outcome: &Result<BufferedResponse, EntryFault>, trace: &EntryTrace) -> RunCallEnd {
    match outcome {
        Ok(response) if response.status.is_server_error() => RunCallEnd::Other,
        Ok(_) => RunCallEnd::Answered,
        // A call with too little time left is refused at any load.
        Err(fault @ EntryFault::NotRun { .. }) if trace.had_time => {
            match fault_cause(*fault, trace) {
                LossCause::QueueFull | LossCause::TargetRejected => RunCallEnd::Refused,
                _ => RunCallEnd::Other,
            }
        }
        Err(_) => RunCallEnd::Other,
    }
}

fn fault_cause(fault: EntryFault, trace: &EntryTrace) -> LossCause {
    match fault {
        EntryFault::Invalid | EntryFault::NoRoute | EntryFault::TooLong | EntryFault::BodyLate => {
            LossCause::BadRequest
        }
        EntryFault::Late => LossCause::DeadlinePassed,
        EntryFault::ClientGone => LossCause::ClientLeft,
        EntryFault::NotRun { .. } | EntryFault::Lost => trace.cause.unwrap_or_else(|| {
            let ends: Vec<_> = trace.attempts.iter().map(|(_, end)| *end).collect();
            LossCause::from_attempts(&ends)
        }),
    }
}

/// Logs a response that is a failure or missed the route's soft timeout.
fn log_late_or_failed(
    state: &NodeState,
    id: Option<&HeaderValue>,
    status: StatusCode,
    trace: &EntryTrace,
) {
    let cause = if status.is_server_error() {
        Some(LossCause::TargetFailed)
    } else {
        trace.times.lateness_cause()
    };
    let Some(cause) = cause else { return };
    let LatencyBreakdown { soft_timeout, before_last_attempt, queued, total } = trace.times;
    log::info!(
        request = id.and_then(|id| id.to_str().ok()).unwrap_or(""),
        cause = cause.label(), status = status.as_u16(), node = state.settings.load().node.as_str(),
        route = trace.route.as_ref().map_or("", |route| &*route.name),
        service = trace.service.as_deref().unwrap_or(""),
        aim_left_ms = soft_timeout, searched_ms = before_last_attempt, queued_ms = queued,
        taken_ms = total,
        attempts = trace.attempts.len();
        "request answered late or with a failure"
    );
}

fn log_fault(
    state: &NodeState,
    id: Option<&HeaderValue>,
    arrived: ClockTime,
    fault: EntryFault,
    trace: &EntryTrace,
) {
    let attempts = trace.attempts.iter().map(|(target, end)| format!("{target} {end:?}"));
    let attempts = attempts.collect::<Vec<_>>().join(", ");
    log::info!(
        request = id.and_then(|id| id.to_str().ok()).unwrap_or(""),
        fault = format!("{fault:?}").as_str(),
        cause = fault_cause(fault, trace).label(),
        held_ms = state.clock.now().since(arrived).millis(),
        version = trace.version,
        route = trace.route.as_ref().map_or("", |route| &*route.name),
        priority = trace.route.as_ref().map_or(0, |route| route.priority),
        run_route = trace.run.as_ref().map_or("", |run| &*run.route),
        service = trace.service.as_deref().unwrap_or(""),
        attempts = attempts.as_str();
        "request not served"
    );
}
