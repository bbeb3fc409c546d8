//! Which call runs next at the target beside a node.
//!
//! Only this node reaches the target, so it knows what runs there. Calls beyond the target's slots
//! wait here, in the order of their urgency, and are refused as soon as they cannot be answered in
//! time. The load that this answers is a burst or a loss of targets of up to three times the
//! capacity: what is served is still served within its aim, and the rest learns at once when to
//! come back.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

use crate::priorities::PriorityCounts;

/// Weight of the newest service time in the running mean.
const EWMA_WEIGHT: f64 = 0.15;

/// Service time that is assumed before anything was measured, in ms.
const DEFAULT_SERVICE_MS: f64 = 150.0;

/// Shortest time after which a refused caller is asked to come back, in ms. It lets a few calls end.
const RETRY_AFTER_MIN: ClockSpan = ClockSpan::new(60);

/// Longest time after which a refused caller is asked to come back. Load changes within seconds.
const RETRY_AFTER_MAX: ClockSpan = ClockSpan::new(2_000);

/// Share of the time between aim and deadline that a call may be expected to use when it joins the
/// queue. Work that ends later helps few callers and delays the rest.
const LATENESS_FRACTION: f64 = 0.35;

/// How much longer than on average a call may take and still meet its aim with good chance. Without it,
/// those that are just about to miss it come first in an overload, and half of them do.
const SERVICE_TIME_MARGIN: f64 = 1.5;

/// Share of a mean service time that has to be left when a call is started.
const MIN_START_FRACTION: f64 = 0.6;

/// Share of a mean service time that a call is expected to take longer once it has exceeded it.
const OVERDUE_FRACTION: f64 = 0.2;

/// Time constant over which the use of slots is averaged.
const USAGE_TIME_CONSTANT: ClockSpan = ClockSpan::new(1_500);

/// Share of the slots that less preferred calls are expected to have at least.
const MIN_SLOT_FRACTION: f64 = 0.05;

/// Share of the time to its aim that a call is taken to need before its route was measured. Operators
/// set aims a few times as long as the work.
const DEFAULT_TIME_FRACTION: f64 = 0.25;

/// How long the measured time of a route is taken as it is.
const ROUTE_TIME_TTL: ClockSpan = ClockSpan::new(1_000);

/// Time in which it halves after that.
const ROUTE_TIME_HALF_LIFE: ClockSpan = ClockSpan::new(1_000);

/// Names a call at its target's node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlotTicket(u64);

/// A call that asks to run.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    /// Route of the call; calls of a route take similar times.
    pub route: Arc<str>,
    /// Urgency; lower runs first.
    pub priority: u8,
    /// Until when an answer has its full use.
    pub soft_deadline: ClockTime,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// Longest wait after which another target is the better choice.
    pub max_wait: ClockSpan,
}

/// What becomes of a call that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run(SlotTicket),
    /// It waits for an [`SlotAction`].
    Wait(SlotTicket),
    /// It would wait longer than its limit, so another target may be better. It is not run.
    Busy,
    /// It is not run, since it cannot be answered in time here.
    Refuse {
        /// When there is likely to be room.
        retry_after: ClockSpan,
    },
}

/// What becomes of a call that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotAction {
    /// It runs now.
    Run(SlotTicket),
    /// It is not run.
    Refuse {
        /// The call.
        ticket: SlotTicket,
        /// When there is likely to be room.
        retry_after: ClockSpan,
    },
}

/// How a call that ran has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered.
    Answered,
    /// The call was given up or broke, so that its time says little.
    Aborted,
}

/// Load of a target, as its node tells other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait, by their urgency.
    pub queued: PriorityCounts,
    /// Mean time that a call takes, of any route.
    pub service_time: ClockSpan,
    /// Mean time that a call of the route in question takes. `None` if it was not measured.
    pub route_service_time: Option<ClockSpan>,
    /// Time until the bodies that are on their way to the node have arrived.
    pub ingress_delay: ClockSpan,
}

/// Measured time of the calls of a route.
#[derive(Debug)]
struct RouteTime {
    /// Running mean in ms.
    mean_ms: f64,
    /// When a call ended last.
    updated_at: ClockTime,
}

#[derive(Debug)]
struct WaitingCall {
    ticket: SlotTicket,
    /// Time in ms that it takes if its route was not measured.
    default_ms: f64,
    call: QueuedCall,
}

#[derive(Debug)]
struct RunningCall {
    route: Arc<str>,
    default_ms: f64,
    class: CallClass,
    started: ClockTime,
}

/// Which calls are preferred: the more urgent ones, of equals those that still meet their aim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallClass {
    priority: u8,
    misses_soft_deadline: bool,
}

/// The queue in front of one target.
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
}

impl SlotQueue {
    /// Creates a queue for a target that runs `slots` calls at the same time.
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
        }
    }

    /// Takes over the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Starts anew for another target at the same place. What runs is no longer counted.
    pub fn reset(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.running.clear();
        self.route_times.clear();
        self.accepting = true;
    }

    /// Opens or closes the queue. A closed queue starts no call; those that wait are refused by
    /// the next poll.
    pub fn set_open(&mut self, accepting: bool) {
        self.accepting = accepting;
    }

    /// Whether calls wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Number of calls that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The load to report.
    pub fn load(&self) -> SlotLoad {
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
        }
    }

    /// Mean time that a call of `route` takes, if it was measured.
    pub fn route_time(&self, route: &str) -> Option<ClockSpan> {
        self.route_times.get(route).map(|time| ClockSpan::new(time.mean_ms as u64))
    }

    /// Decides on a call that arrives.
    pub fn arrive(&mut self, now: ClockTime, call: QueuedCall) -> AdmissionDecision {
        if !self.accepting {
            return AdmissionDecision::Refuse { retry_after: RETRY_AFTER_MIN };
        }
        let default_ms = call.soft_deadline.since(now).millis() as f64 * DEFAULT_TIME_FRACTION;
        let service_ms = self.service_time(now, &call.route, default_ms);
        if self.has_free_slot() && self.has_precedence(call.priority) {
            if now + millis(service_ms * MIN_START_FRACTION) > call.deadline {
                return AdmissionDecision::Refuse { retry_after: RETRY_AFTER_MIN };
            }
            return AdmissionDecision::Run(self.start(now, &call, default_ms));
        }
        let waiting = WaitingCall { ticket: self.next_ticket(), default_ms, call };
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

    /// Notes the end of a call that ran.
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

    /// Forgets a call whose caller has gone.
    pub fn cancel(&mut self, ticket: SlotTicket) {
        self.running.remove(&ticket);
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Starts the calls for which there is room and refuses those that wait in vain.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<SlotAction>) {
        self.refuse_late(now, actions);
        while self.has_free_slot()
            && let Some(index) = self.next_waiting(now)
        {
            let waiting = self.waiting.swap_remove(index);
            let class = self.class(now, &waiting.call, waiting.default_ms);
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

    /// Refuses the calls that are no longer expected to end in time, because more urgent ones came
    /// or the target became slower.
    fn refuse_late(&mut self, now: ClockTime, actions: &mut Vec<SlotAction>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiting| self.sort_key(now, waiting));
        let free_in_ms = self.next_free_slot(now);
        let mut ahead_ms = 0.0;
        for call in waiting {
            let service_ms = self.service_time(now, &call.call.route, call.default_ms);
            let class = self.class(now, &call.call, call.default_ms);
            let wait_ms = self.wait_after(now, class, ahead_ms, free_in_ms);
            if self.accepting
                && now + millis(wait_ms + service_ms * MIN_START_FRACTION) <= latest_end(&call.call)
            {
                ahead_ms += service_ms;
                self.waiting.push(call);
            } else {
                let retry_after = self.retry_after(wait_ms);
                actions.push(SlotAction::Refuse { ticket: call.ticket, retry_after });
            }
        }
    }

    /// The call to start next.
    fn next_waiting(&self, now: ClockTime) -> Option<usize> {
        (0..self.waiting.len()).min_by_key(|index| self.sort_key(now, &self.waiting[*index]))
    }

    /// The most urgent call comes first, of equals one that still meets its aim, of those the one
    /// whose aim comes first.
    fn sort_key(
        &self,
        now: ClockTime,
        waiting: &WaitingCall,
    ) -> (CallClass, ClockTime, SlotTicket) {
        let class = self.class(now, &waiting.call, waiting.default_ms);
        (class, waiting.call.soft_deadline, waiting.ticket)
    }

    /// The class of a call that starts at `start`.
    fn class(&self, start: ClockTime, call: &QueuedCall, default_ms: f64) -> CallClass {
        let service_ms = self.service_time(start, &call.route, default_ms);
        let misses_soft_deadline =
            start + millis(service_ms * SERVICE_TIME_MARGIN) > call.soft_deadline;
        CallClass { priority: call.priority, misses_soft_deadline }
    }

    fn start(&mut self, now: ClockTime, call: &QueuedCall, default_ms: f64) -> SlotTicket {
        let ticket = self.next_ticket();
        let class = self.class(now, call, default_ms);
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

    fn has_free_slot(&self) -> bool {
        self.accepting && self.running.len() < self.slots as usize
    }

    /// Whether no waiting call is as urgent.
    fn has_precedence(&self, priority: u8) -> bool {
        self.waiting.iter().all(|waiting| waiting.call.priority > priority)
    }

    /// Expected time in ms until a call starts. Those that wait count if they go before it: one that
    /// can still meet its aim passes those that cannot. One that would miss its aim while it waits is
    /// passed by later ones, and so waits like one that has missed it.
    fn expected_wait(&self, now: ClockTime, call: &WaitingCall) -> f64 {
        let free_in_ms = self.next_free_slot(now);
        let class = self.class(now, &call.call, call.default_ms);
        let wait_ms = self.wait_after(now, class, self.time_ahead(now, class, call), free_in_ms);
        let start_class = self.class(now + millis(wait_ms), &call.call, call.default_ms);
        if start_class == class {
            return wait_ms;
        }
        self.wait_after(now, start_class, self.time_ahead(now, start_class, call), free_in_ms)
    }

    /// Time in ms that the waiting calls take which go before a call of `class`.
    fn time_ahead(&self, now: ClockTime, class: CallClass, call: &WaitingCall) -> f64 {
        let sort_key = (class, call.call.soft_deadline, call.ticket);
        let ahead_ms = self.waiting.iter().filter(|waiting| self.sort_key(now, waiting) < sort_key);
        ahead_ms
            .map(|waiting| self.service_time(now, &waiting.call.route, waiting.default_ms))
            .sum()
    }

    /// Expected time in ms until a call of `class` starts, when waiting calls go before it that take `ahead`
    /// and the next slot is free in `free`. Preferred calls that will come pass it.
    fn wait_after(&self, now: ClockTime, class: CallClass, ahead_ms: f64, free_in_ms: f64) -> f64 {
        let slots = f64::from(self.slots);
        let left =
            (slots - self.usage.used_by_preferred(now, class)).max(slots * MIN_SLOT_FRACTION);
        (ahead_ms / slots + free_in_ms) * (slots / left)
    }

    /// Expected time in ms until the first slot becomes free.
    fn next_free_slot(&self, now: ClockTime) -> f64 {
        if self.running.len() < self.slots as usize {
            return 0.0;
        }
        let left = |call: &RunningCall| {
            let service_ms = self.service_time(now, &call.route, call.default_ms);
            let elapsed = now.since(call.started).millis() as f64;
            (service_ms - elapsed).max(service_ms * OVERDUE_FRACTION)
        };
        self.running.values().map(left).fold(f64::INFINITY, f64::min)
    }

    fn retry_after(&self, wait_ms: f64) -> ClockSpan {
        millis(wait_ms).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Expected time in ms of a call of a route. One that was not measured lately is taken for a
    /// short one, by the `guess` from its aim at the most: a route that is refused is not measured,
    /// so that too long a time would keep it out for ever.
    fn service_time(&self, now: ClockTime, route: &str, default_ms: f64) -> f64 {
        let Some(time) = self.route_times.get(route) else { return self.mean_ms.min(default_ms) };
        let age = now.since(time.updated_at).less(ROUTE_TIME_TTL).millis() as f64;
        let decayed = time.mean_ms * 0.5f64.powf(age / ROUTE_TIME_HALF_LIFE.millis() as f64);
        decayed.max(time.mean_ms.min(default_ms))
    }
}

/// Slots that the calls of each class have used lately.
#[derive(Debug, Default)]
struct ClassUsage {
    /// Class, slot time in ms with older time fading, and when that was computed.
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

    /// Mean number of slots that calls have used which are preferred to those of `class`.
    fn used_by_preferred(&self, now: ClockTime, class: CallClass) -> f64 {
        let preferred = self.classes.iter().filter(|(known, ..)| *known < class);
        let time: f64 = preferred.map(|(_, time, at)| decay(*time, now.since(*at))).sum();
        time / USAGE_TIME_CONSTANT.millis() as f64
    }
}

fn decay(time: f64, age: ClockSpan) -> f64 {
    time * (-(age.millis() as f64) / USAGE_TIME_CONSTANT.millis() as f64).exp()
}

/// When a call has to end at the latest to be worth its place.
fn latest_end(call: &QueuedCall) -> ClockTime {
    let lateness_ms = call.deadline.since(call.soft_deadline).millis() as f64 * LATENESS_FRACTION;
    (call.soft_deadline + millis(lateness_ms)).min(call.deadline)
}

fn millis(millis: f64) -> ClockSpan {
    ClockSpan::new(millis.max(0.0) as u64)
}
