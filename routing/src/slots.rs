//! Queue and admission control in front of the target next to a node.
//!
//! All calls to a target pass through its node, so the node knows what runs there. Calls that
//! exceed the target's slots are queued by priority, and refused as soon as they cannot be answered
//! in time. The queue is designed for bursts, or losses of targets, that raise the load to up to
//! three times the capacity. Accepted calls then still meet their soft deadline, and refused
//! callers are told immediately when to retry.

use std::cmp::Ordering;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

use crate::pacer::{CallPacer, ColdLimit, RateLimit};
use crate::ranks::PriorityCounts;

/// Weight of the latest service time in the moving averages.
const EWMA_WEIGHT: f64 = 0.15;

/// Service time in ms that is assumed before the first measurement.
const DEFAULT_SERVICE_MS: f64 = 150.0;

/// Shortest retry delay of a refused caller. It allows a few calls to finish.
const RETRY_AFTER_MIN: ClockSpan = ClockSpan::new(60);

/// Longest retry delay of a refused caller. Load changes within seconds.
const RETRY_AFTER_MAX: ClockSpan = ClockSpan::new(2_000);

/// Fraction of the time between soft deadline and deadline that a call may be expected to use when
/// it is queued. Calls that end later help few callers and delay the others.
const LATENESS_FRACTION: f64 = 0.35;

/// Ratio to the average service time that is allowed for a call to be likely to meet its soft
/// deadline. Without this margin, calls that are about to miss the soft deadline run first in an
/// overload, and half of them miss it.
const SERVICE_TIME_MARGIN: f64 = 1.5;

/// Fraction of the average service time that must be left before the deadline when a call is
/// started.
const MIN_START_FRACTION: f64 = 0.6;

/// Remaining time of a call that has exceeded the average, as a fraction of the average service
/// time.
const OVERDUE_FRACTION: f64 = 0.2;

/// Time constant of the exponential average of slot usage.
const USAGE_TIME_CONSTANT: ClockSpan = ClockSpan::new(1_500);

/// Minimum fraction of the slots that calls of a lower class are expected to get.
const MIN_SLOT_FRACTION: f64 = 0.05;

/// Fraction of the time to the soft deadline that a call of an unmeasured route is expected to
/// take. Operators usually set soft deadlines to a few times the service time.
const DEFAULT_TIME_FRACTION: f64 = 0.25;

/// Time for which the measured average of a route is used unchanged.
const ROUTE_TIME_TTL: ClockSpan = ClockSpan::new(1_000);

/// Half-life of the average of a route after that time.
const ROUTE_TIME_HALF_LIFE: ClockSpan = ClockSpan::new(1_000);

/// Starts of clients' calls between two calls of runs that are as urgent. The run already occupies a slot elsewhere, but clients keep half of the starts.
const EQUAL_STARTS: u32 = 1;

/// The same ahead of calls that are more urgent. One start in eight keeps runs from being starved of
/// their calls, and costs the more urgent calls little.
const URGENT_STARTS: u32 = 7;

/// Identifies a call at its target's node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlotTicket(u64);

/// A call that requests a slot.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    /// Route of the call. Calls of the same route take similar times.
    pub route: Arc<str>,
    /// Priority; calls with a lower value run first.
    pub priority: u8,
    /// Time until which an answer has its full value.
    pub soft_deadline: ClockTime,
    /// Time at which the caller stops waiting.
    pub deadline: ClockTime,
    /// Queue time above which another target is the better choice.
    pub max_wait: ClockSpan,
}

/// Who makes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOrigin {
    /// A client.
    Client,
    /// A run at another target, which occupies a slot until the call ends.
    Run,
}

/// Decision on a call that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call runs now.
    Run(SlotTicket),
    /// The call is queued until its [`SlotAction`].
    Wait(SlotTicket),
    /// The call is not run. It would be queued for longer than its limit, so another target may be
    /// better.
    Busy,
    /// The call is not run, since it cannot be answered in time here.
    Refuse {
        /// Expected time until a call can be accepted.
        retry_after: ClockSpan,
    },
}

/// Decision on a queued call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotAction {
    /// The call runs now.
    Run(SlotTicket),
    /// The call is not run.
    Refuse {
        /// The refused call.
        ticket: SlotTicket,
        /// Expected time until a call can be accepted.
        retry_after: ClockSpan,
    },
}

/// How a running call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered.
    Answered,
    /// The call was cancelled or broke off, so its duration is not representative.
    Aborted,
}

/// Load of a target, as reported by its node to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotLoad {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls by priority.
    pub queued: PriorityCounts,
    /// Average service time over all routes.
    pub service_time: ClockSpan,
    /// Average service time of the route that the report is about, if it has been measured.
    pub route_service_time: Option<ClockSpan>,
    /// Time until the bodies in transit to the node have arrived.
    pub ingress_delay: ClockSpan,
    /// Rate of calls that the target accepts, if it limits them.
    pub rate_limit: Option<RateLimit>,
    /// Time until the limit allows the next call.
    pub rate_delay: ClockSpan,
}

/// Measured service time of a route.
#[derive(Debug)]
struct RouteTime {
    /// Moving average in ms.
    mean_ms: f64,
    /// End of the last call.
    updated_at: ClockTime,
}

#[derive(Debug)]
struct WaitingCall {
    ticket: SlotTicket,
    /// Service time in ms that is assumed if the route has not been measured.
    default_ms: f64,
    call: QueuedCall,
    origin: CallOrigin,
}

#[derive(Debug)]
struct RunningCall {
    route: Arc<str>,
    default_ms: f64,
    class: CallClass,
    started: ClockTime,
}

/// Class of a call, in order of preference: by priority, then calls that can still meet their soft
/// deadline before those that cannot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallClass {
    priority: u8,
    misses_soft_deadline: bool,
}

/// Queue in front of one target.
#[derive(Debug)]
pub struct SlotQueue {
    slots: u32,
    accepting: bool,
    running: FxHashMap<SlotTicket, RunningCall>,
    waiting: Vec<WaitingCall>,
    route_times: FxHashMap<Arc<str>, RouteTime>,
    mean_ms: f64,
    last_ticket: u64,
    usage: ClassUsage,
    pacer: CallPacer,
    run_precedence: RunPrecedence,
}

impl SlotQueue {
    /// Creates a queue for a target that runs `slots` calls concurrently.
    pub fn new(slots: u32) -> SlotQueue {
        SlotQueue {
            slots: slots.max(1),
            accepting: true,
            running: FxHashMap::default(),
            waiting: Vec::new(),
            route_times: FxHashMap::default(),
            mean_ms: DEFAULT_SERVICE_MS,
            last_ticket: 0,
            usage: ClassUsage::default(),
            pacer: CallPacer::default(),
            run_precedence: RunPrecedence::default(),
        }
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Resets the queue for a new target at the same address. Calls running at the old one no
    /// longer count, except against the limit on a cold target.
    pub fn reset(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.running.clear();
        self.route_times.clear();
        self.pacer.reset();
        self.accepting = true;
    }

    /// Opens or closes the queue. A closed queue starts no calls and refuses the queued ones at the
    /// next poll.
    pub fn set_open(&mut self, accepting: bool) {
        self.accepting = accepting;
    }

    /// Sets the rate of calls that the target accepts, or that it does not limit them.
    pub fn set_rate_limit(&mut self, limit: Option<RateLimit>) {
        self.pacer.set_stated(limit);
    }

    /// Sets the limit on a cold target, or that none of the service is ever cold.
    pub fn set_cold_limit(&mut self, now: ClockTime, limit: Option<ColdLimit>) {
        self.pacer.set_cold(now, limit);
    }

    /// Records that a call that was started is sent to the target now.
    pub fn record_sent(&mut self, now: ClockTime, ticket: SlotTicket) {
        if let Some(running) = self.running.get(&ticket) {
            self.pacer.record_sent(now, running.started);
        }
    }

    /// Records that a call that was started could not be sent to the target.
    pub fn record_not_sent(&mut self, ticket: SlotTicket) {
        if let Some(running) = self.running.get(&ticket) {
            self.pacer.record_not_sent(running.started);
        }
    }

    /// Whether calls are queued.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the load to report.
    pub fn load(&self, now: ClockTime) -> SlotLoad {
        let mut queued = PriorityCounts::new();
        for waiting in &self.waiting {
            queued.add(waiting.call.priority, 1);
        }
        SlotLoad {
            running: self.running.len() as u32,
            queued,
            service_time: ClockSpan::new(self.mean_ms as u64),
            route_service_time: None,
            ingress_delay: ClockSpan::ZERO,
            rate_limit: self.pacer.limit(now),
            rate_delay: millis(self.pacer.delay(now)),
        }
    }

    /// Returns the average service time of `route`, if it has been measured.
    pub fn route_time(&self, route: &str) -> Option<ClockSpan> {
        self.route_times.get(route).map(|time| ClockSpan::new(time.mean_ms as u64))
    }

    /// Decides on a call of a client.
    pub fn arrive(&mut self, now: ClockTime, call: QueuedCall) -> AdmissionDecision {
        self.arrive_from(now, call, CallOrigin::Client)
    }

    /// Decides on a call that arrives. Calls of runs start before calls of clients that are as
    /// urgent or less, up to a bounded share of the starts.
    pub fn arrive_from(
        &mut self,
        now: ClockTime,
        call: QueuedCall,
        origin: CallOrigin,
    ) -> AdmissionDecision {
        if !self.accepting {
            return AdmissionDecision::Refuse { retry_after: RETRY_AFTER_MIN };
        }
        let default_ms = call.soft_deadline.since(now).millis() as f64 * DEFAULT_TIME_FRACTION;
        let service_ms = self.service_time(now, &call.route, default_ms);
        if self.can_start(now) && self.has_precedence(call.priority) {
            if now + millis(service_ms * MIN_START_FRACTION) > call.deadline {
                return AdmissionDecision::Refuse { retry_after: RETRY_AFTER_MIN };
            }
            return AdmissionDecision::Run(self.start(now, &call, default_ms));
        }
        let waiting = WaitingCall { ticket: self.next_ticket(), default_ms, call, origin };
        let wait_ms = self.expected_wait(now, &waiting);
        if now + millis(wait_ms + service_ms) > latest_end(&waiting.call) {
            return AdmissionDecision::Refuse { retry_after: self.retry_after(wait_ms) };
        }
        if millis(wait_ms) > waiting.call.max_wait {
            return AdmissionDecision::Busy;
        }
        let ticket = waiting.ticket;
        self.waiting.push(waiting);
        AdmissionDecision::Wait(ticket)
    }

    /// Records the end of a running call.
    pub fn finish(&mut self, now: ClockTime, ticket: SlotTicket, end: CallEnd) {
        let Some(running) = self.running.remove(&ticket) else { return };
        if end == CallEnd::Aborted {
            return;
        }
        let elapsed_ms = now.since(running.started).millis() as f64;
        self.usage.add(now, running.class, elapsed_ms);
        self.mean_ms += (elapsed_ms - self.mean_ms) * EWMA_WEIGHT;
        let time = self
            .route_times
            .entry(running.route)
            .or_insert(RouteTime { mean_ms: elapsed_ms, updated_at: now });
        time.mean_ms += (elapsed_ms - time.mean_ms) * EWMA_WEIGHT;
        time.updated_at = now;
    }

    /// Removes a call whose caller has disconnected.
    pub fn cancel(&mut self, ticket: SlotTicket) {
        self.running.remove(&ticket);
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Starts queued calls while slots are free, and refuses those that can no longer be answered
    /// in time.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<SlotAction>) {
        self.refuse_late(now, actions);
        while self.can_start(now)
            && let Some(index) = self.next_waiting(now)
        {
            let waiting = self.waiting.swap_remove(index);
            self.run_precedence.record_start(waiting.origin);
            let class = self.class(now, &waiting.call, waiting.default_ms);
            self.pacer.record_start(now);
            self.running.insert(
                waiting.ticket,
                RunningCall {
                    route: waiting.call.route,
                    default_ms: waiting.default_ms,
                    class,
                    started: now,
                },
            );
            actions.push(SlotAction::Run(waiting.ticket));
        }
    }

    /// Refuses the queued calls that are no longer expected to end in time, because more urgent
    /// ones arrived or the target slowed down.
    fn refuse_late(&mut self, now: ClockTime, actions: &mut Vec<SlotAction>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiting| self.sort_key(now, waiting));
        let free_in_ms = self.next_free_slot(now);
        let mut ahead_ms = 0.0;
        let mut run_ahead_ms = 0.0;
        for call in waiting {
            let service_ms = self.service_time(now, &call.call.route, call.default_ms);
            let class = self.class(now, &call.call, call.default_ms);
            let same_origin_ms = match call.origin {
                CallOrigin::Client => ahead_ms - run_ahead_ms,
                CallOrigin::Run => run_ahead_ms,
            };
            let ahead = TimeAhead { all_ms: ahead_ms, same_origin_ms };
            let wait_ms = self.shared_wait(now, class, call.origin, ahead, free_in_ms);
            if self.accepting
                && now + millis(wait_ms + service_ms * MIN_START_FRACTION) <= latest_end(&call.call)
            {
                ahead_ms += service_ms;
                if call.origin == CallOrigin::Run {
                    run_ahead_ms += service_ms;
                }
                self.waiting.push(call);
            } else {
                let retry_after = self.retry_after(wait_ms);
                actions.push(SlotAction::Refuse { ticket: call.ticket, retry_after });
            }
        }
    }

    /// Returns the index of the queued call to start next.
    fn next_waiting(&self, now: ClockTime) -> Option<usize> {
        let first = |origin| {
            (0..self.waiting.len())
                .filter(|index| self.waiting[*index].origin == origin)
                .min_by_key(|index| self.sort_key(now, &self.waiting[*index]))
        };
        let (run_call, client_call) = (first(CallOrigin::Run), first(CallOrigin::Client));
        let (Some(run_index), Some(client_index)) = (run_call, client_call) else {
            return run_call.or(client_call);
        };
        let priority = |index: usize| self.waiting[index].call.priority;
        let precedes = self.run_precedence.allows(priority(run_index), priority(client_index));
        Some(if precedes { run_index } else { client_index })
    }

    /// Sort key of the queue: by class, then by soft deadline, then by arrival.
    fn sort_key(
        &self,
        now: ClockTime,
        waiting: &WaitingCall,
    ) -> (CallClass, ClockTime, SlotTicket) {
        let class = self.class(now, &waiting.call, waiting.default_ms);
        (class, waiting.call.soft_deadline, waiting.ticket)
    }

    /// Returns the class of a call that is started at `start`.
    fn class(&self, start: ClockTime, call: &QueuedCall, default_ms: f64) -> CallClass {
        let service_ms = self.service_time(start, &call.route, default_ms);
        let misses_soft_deadline =
            start + millis(service_ms * SERVICE_TIME_MARGIN) > call.soft_deadline;
        CallClass { priority: call.priority, misses_soft_deadline }
    }

    fn start(&mut self, now: ClockTime, call: &QueuedCall, default_ms: f64) -> SlotTicket {
        let ticket = self.next_ticket();
        let class = self.class(now, call, default_ms);
        self.pacer.record_start(now);
        self.running.insert(
            ticket,
            RunningCall { route: call.route.clone(), default_ms, class, started: now },
        );
        ticket
    }

    fn next_ticket(&mut self) -> SlotTicket {
        self.last_ticket += 1;
        SlotTicket(self.last_ticket)
    }

    /// Whether a slot is free and the target's rate limit allows a call.
    fn can_start(&self, now: ClockTime) -> bool {
        self.accepting && self.running.len() < self.slots as usize && self.pacer.delay(now) == 0.0
    }

    /// Whether the priority is higher than that of all queued calls.
    fn has_precedence(&self, priority: u8) -> bool {
        self.waiting.iter().all(|waiting| waiting.call.priority > priority)
    }

    /// Expected time in ms until a call starts. Only queued calls that run before it count: calls
    /// that can still meet their soft deadline overtake those that cannot. A call that would miss
    /// its soft deadline while it is queued is overtaken by later ones, so it waits as long as a
    /// call that has already missed it.
    fn expected_wait(&self, now: ClockTime, call: &WaitingCall) -> f64 {
        let free_in_ms = self.next_free_slot(now);
        let class = self.class(now, &call.call, call.default_ms);
        let ahead = self.time_ahead(now, class, call);
        let wait_ms = self.shared_wait(now, class, call.origin, ahead, free_in_ms);
        let start_class = self.class(now + millis(wait_ms), &call.call, call.default_ms);
        if start_class == class {
            return wait_ms;
        }
        let ahead = self.time_ahead(now, start_class, call);
        self.shared_wait(now, start_class, call.origin, ahead, free_in_ms)
    }

    /// Service time of the queued calls that run before a call of `class`.
    fn time_ahead(&self, now: ClockTime, class: CallClass, call: &WaitingCall) -> TimeAhead {
        let sort_key = (class, call.call.soft_deadline, call.ticket);
        let mut ahead = TimeAhead { all_ms: 0.0, same_origin_ms: 0.0 };
        for waiting in self.waiting.iter().filter(|waiting| self.sort_key(now, waiting) < sort_key)
        {
            let service_ms = self.service_time(now, &waiting.call.route, waiting.default_ms);
            ahead.all_ms += service_ms;
            if waiting.origin == call.origin {
                ahead.same_origin_ms += service_ms;
            }
        }
        ahead
    }

    /// Expected time in ms until a call starts. While calls of clients and of runs wait, each of them
    /// is sure of a share of the starts.
    fn shared_wait(
        &self,
        now: ClockTime,
        class: CallClass,
        origin: CallOrigin,
        ahead: TimeAhead,
        free_in_ms: f64,
    ) -> f64 {
        let wait_ms = self.wait_after(now, class, ahead.all_ms, free_in_ms);
        let mut others = self.waiting.iter().filter(|waiting| waiting.origin != origin).peekable();
        if others.peek().is_none() {
            return wait_ms;
        }
        let is_most_urgent = others.all(|waiting| waiting.call.priority >= class.priority);
        let share = RunPrecedence::share(origin, is_most_urgent);
        let ahead_ms = ahead.same_origin_ms;
        let in_share_ms = match origin {
            _ if share == 0.0 => return wait_ms,
            CallOrigin::Client => self.wait_after(now, class, ahead_ms / share, free_in_ms / share),
            CallOrigin::Run => (ahead_ms / self.usable_slots(now) + free_in_ms) / share,
        };
        wait_ms.min(in_share_ms)
    }

    /// Expected time in ms until a call of `class` starts, if queued calls of `ahead_ms` run before
    /// it and the next slot is free in `free_in_ms`. The estimate includes calls of preferred
    /// classes that are expected to arrive and overtake it.
    fn wait_after(&self, now: ClockTime, class: CallClass, ahead_ms: f64, free_in_ms: f64) -> f64 {
        let slots = self.usable_slots(now);
        let left =
            (slots - self.usage.used_by_preferred(now, class)).max(slots * MIN_SLOT_FRACTION);
        (ahead_ms / slots + free_in_ms) * (slots / left)
    }

    /// Number of slots that the target can keep busy: at a limited rate, only as many as the calls of
    /// an average service time occupy.
    fn usable_slots(&self, now: ClockTime) -> f64 {
        let slots = f64::from(self.slots);
        self.pacer.limit(now).map_or(slots, |limit| slots.min(self.mean_ms / limit.interval_ms()))
    }

    /// Expected time in ms until a slot is free and the rate limit allows a call.
    fn next_free_slot(&self, now: ClockTime) -> f64 {
        let rate_delay_ms = self.pacer.delay(now);
        if self.running.len() < self.slots as usize {
            return rate_delay_ms;
        }
        let left = |call: &RunningCall| {
            let service_ms = self.service_time(now, &call.route, call.default_ms);
            let elapsed = now.since(call.started).millis() as f64;
            (service_ms - elapsed).max(service_ms * OVERDUE_FRACTION)
        };
        self.running.values().map(left).fold(f64::INFINITY, f64::min).max(rate_delay_ms)
    }

    fn retry_after(&self, wait_ms: f64) -> ClockSpan {
        millis(wait_ms).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Expected service time in ms of a call. For a route that has not been measured recently it is
    /// limited to `default_ms`, which derives from the soft deadline. A route whose calls are all
    /// refused is not measured any more, so an estimate that is too long would keep it out
    /// permanently.
    fn service_time(&self, now: ClockTime, route: &str, default_ms: f64) -> f64 {
        let Some(time) = self.route_times.get(route) else { return self.mean_ms.min(default_ms) };
        let age = now.since(time.updated_at).less(ROUTE_TIME_TTL).millis() as f64;
        let decayed = time.mean_ms * 0.5f64.powf(age / ROUTE_TIME_HALF_LIFE.millis() as f64);
        decayed.max(time.mean_ms.min(default_ms))
    }
}

/// Bounds the starts that calls of runs get ahead of calls of clients, so that neither starves the
/// other.
#[derive(Debug)]
struct RunPrecedence {
    /// Queued calls of clients that have started since the last queued call of a run.
    client_starts: u32,
}

impl Default for RunPrecedence {
    fn default() -> RunPrecedence {
        RunPrecedence { client_starts: URGENT_STARTS }
    }
}

impl RunPrecedence {
    /// Whether a call of a run starts before a client's call.
    fn allows(&self, run_priority: u8, client_priority: u8) -> bool {
        match run_priority.cmp(&client_priority) {
            Ordering::Less => true,
            Ordering::Equal => self.client_starts >= EQUAL_STARTS,
            Ordering::Greater => self.client_starts >= URGENT_STARTS,
        }
    }

    /// Records the start of a queued call.
    fn record_start(&mut self, origin: CallOrigin) {
        self.client_starts = match origin {
            CallOrigin::Client => self.client_starts.saturating_add(1),
            CallOrigin::Run => 0,
        };
    }

    /// Share of the starts that calls of an origin get at least while calls of the other one wait.
    fn share(origin: CallOrigin, is_most_urgent: bool) -> f64 {
        match (origin, is_most_urgent) {
            (_, true) => 1.0 / f64::from(1 + EQUAL_STARTS),
            (CallOrigin::Run, false) => 1.0 / f64::from(1 + URGENT_STARTS),
            (CallOrigin::Client, false) => 0.0,
        }
    }
}

/// Service time in ms of the queued calls that run before another one.
#[derive(Debug, Clone, Copy)]
struct TimeAhead {
    all_ms: f64,
    /// The same of calls with the origin of that call alone.
    same_origin_ms: f64,
}

/// Recent slot usage of each class.
#[derive(Debug, Default)]
struct ClassUsage {
    /// Class, exponentially decaying slot time in ms, and the time of its last update.
    classes: Vec<(CallClass, f64, ClockTime)>,
}

impl ClassUsage {
    fn add(&mut self, now: ClockTime, class: CallClass, elapsed_ms: f64) {
        match self.classes.iter_mut().find(|(known, ..)| *known == class) {
            Some((_, time, at)) => {
                *time = decay(*time, now.since(*at)) + elapsed_ms;
                *at = now;
            }
            None => self.classes.push((class, elapsed_ms, now)),
        }
    }

    /// Average number of slots used by calls of classes that are preferred to `class`.
    fn used_by_preferred(&self, now: ClockTime, class: CallClass) -> f64 {
        let preferred = self.classes.iter().filter(|(known, ..)| *known < class);
        let time: f64 = preferred.map(|(_, time, at)| decay(*time, now.since(*at))).sum();
        time / USAGE_TIME_CONSTANT.millis() as f64
    }
}

fn decay(time: f64, age: ClockSpan) -> f64 {
    time * (-(age.millis() as f64) / USAGE_TIME_CONSTANT.millis() as f64).exp()
}

/// Latest expected end with which a call is still accepted.
fn latest_end(call: &QueuedCall) -> ClockTime {
    let lateness_ms = call.deadline.since(call.soft_deadline).millis() as f64 * LATENESS_FRACTION;
    (call.soft_deadline + millis(lateness_ms)).min(call.deadline)
}

fn millis(millis: f64) -> ClockSpan {
    ClockSpan::new(millis.max(0.0) as u64)
}
