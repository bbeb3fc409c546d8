//! Which calls the upstream beside this node runs, and in which order.

use std::collections::VecDeque;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::balancer::LoadReport;
use crate::clock::{ClockSpan, ClockTime};
use crate::code::ResultCode;
use crate::config::RouteKind;
use crate::deadline::CallDeadline;
use crate::owner::mix;

/// Service time that is assumed before the first call has ended, in µs.
const FIRST_SERVICE_MICROS: u64 = 1_000;

/// Weight of a new service time in the running mean: 1 / 8.
const MEAN_SHIFT: u64 = 8;

/// Kinds of routes.
const KIND_COUNT: usize = 4;

/// Shortest retry-after time of a refusal.
const RETRY_AFTER_MINIMUM: ClockSpan = ClockSpan::new(50);

/// Limits of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Calls that the upstream runs at the same time.
    pub slots: u32,
    /// Longest queue for each class, in calls.
    pub queue_limit: u32,
}

/// Identifies a call at this node until it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(u64);

/// A call that asks to be run.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionCall<'a> {
    /// Class of the caller, as `<tenant>/<class>`.
    pub class: &'a str,
    /// Kind of the route; service times are kept for each kind.
    pub kind: RouteKind,
    /// When the caller needs the answer.
    pub deadline: CallDeadline,
}

/// What becomes of a call that asked to be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAnswer {
    /// A slot is free: dispatch it now.
    Run(CallTicket),
    /// Keep it until `poll` names it.
    Wait(CallTicket),
    /// Answer it now.
    Refused {
        /// 201, 202 or 215.
        code: ResultCode,
        /// When a new attempt may succeed.
        retry_after: ClockSpan,
    },
}

/// What is to be done with a call that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Dispatch it now.
    Run(CallTicket),
    /// Answer it with 202; it has not been dispatched and will not be.
    Expire(CallTicket),
}

/// The calls of a class that wait. All have about the same patience, so a new one goes to the end.
#[derive(Debug)]
struct ClassQueue {
    tenant: usize,
    /// In order of deadline, then of arrival.
    calls: VecDeque<(CallDeadline, CallTicket, RouteKind)>,
    /// Calls of each kind.
    kinds: [u64; KIND_COUNT],
}

#[derive(Debug, Clone, Copy)]
struct ServiceTime {
    mean: u64,
    deviation: u64,
}

#[derive(Debug, Clone, Copy)]
struct RunningCall {
    kind: RouteKind,
    since: ClockTime,
}

/// The running calls of an upstream and the calls that wait for a slot.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    next_ticket: u64,
    classes: Vec<ClassQueue>,
    class_indexes: FxHashMap<Arc<str>, usize>,
    /// Indexes of each tenant's classes.
    tenants: Vec<Vec<usize>>,
    tenant_indexes: FxHashMap<Arc<str>, usize>,
    /// Tenant that is served next.
    turn: usize,
    /// Class and deadline of each call that waits.
    waiting: FxHashMap<CallTicket, (usize, CallDeadline)>,
    running: FxHashMap<CallTicket, RunningCall>,
    times: [ServiceTime; KIND_COUNT],
    /// Mean over all kinds, as it is reported to other nodes.
    mean: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings) -> AdmissionQueue {
        let time = ServiceTime { mean: FIRST_SERVICE_MICROS, deviation: 0 };
        AdmissionQueue {
            settings,
            next_ticket: 0,
            classes: Vec::new(),
            class_indexes: FxHashMap::default(),
            tenants: Vec::new(),
            tenant_indexes: FxHashMap::default(),
            turn: 0,
            waiting: FxHashMap::default(),
            running: FxHashMap::default(),
            times: [time; KIND_COUNT],
            mean: FIRST_SERVICE_MICROS,
        }
    }

    /// Takes over limits from a new configuration. Calls that run or wait stay.
    pub fn update(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// Decides on a call. A call that was admitted is ended with `finish`, whether it ran or not.
    pub fn offer(&mut self, now: ClockTime, call: &AdmissionCall<'_>) -> AdmissionAnswer {
        if let Err(code) = call.deadline.verify(now) {
            return AdmissionAnswer::Refused { code, retry_after: ClockSpan::ZERO };
        }
        let left = call.deadline.left(now).millis() * 1000;
        let needed = self.needed(call.kind);
        if self.has_slot() && self.waiting.is_empty() {
            // One call may always run: without it, no new service time would ever correct an estimate
            // that has become too long.
            if self.running.is_empty() || needed <= left {
                let ticket = self.ticket();
                self.running.insert(ticket, RunningCall { kind: call.kind, since: now });
                return AdmissionAnswer::Run(ticket);
            }
            return self.refusal(ResultCode::Overload, 0);
        }
        let class = self.class_index(call.class);
        let wait = self.expected_wait(now, self.classes[class].tenant, call.deadline);
        if self.classes[class].calls.len() >= self.settings.queue_limit as usize {
            return self.refusal(ResultCode::TenantLimit, wait);
        }
        if wait + needed > left {
            return self.refusal(ResultCode::Overload, wait);
        }
        let ticket = self.ticket();
        self.classes[class].insert(call.deadline, ticket, call.kind);
        self.waiting.insert(ticket, (class, call.deadline));
        AdmissionAnswer::Wait(ticket)
    }

    /// Names the waiting calls that are to be dispatched or answered now. Called after `finish`,
    /// `cancel` and `update`, and at least every 100 ms.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        self.expire(now, actions);
        while self.has_slot() {
            let Some(ticket) = self.take_next(now, actions) else { break };
            actions.push(AdmissionAction::Run(ticket));
        }
    }

    /// Ends a running call and frees its slot. `service_micros` is the time that the upstream took,
    /// or `None` when the call did not run to its end.
    pub fn finish(&mut self, ticket: CallTicket, service_micros: Option<u64>) {
        let Some(call) = self.running.remove(&ticket) else { return };
        let Some(micros) = service_micros else { return };
        let time = &mut self.times[call.kind as usize];
        let off = micros.abs_diff(time.mean);
        time.mean = (time.mean * (MEAN_SHIFT - 1) + micros) / MEAN_SHIFT;
        time.deviation = (time.deviation * (MEAN_SHIFT - 1) + off) / MEAN_SHIFT;
        self.mean = (self.mean * (MEAN_SHIFT - 1) + micros) / MEAN_SHIFT;
    }

    /// Removes a call whose caller has gone. True when it was still waiting and so never runs; a
    /// running call is ended with `finish`.
    pub fn cancel(&mut self, ticket: CallTicket) -> bool {
        let Some((class, deadline)) = self.waiting.remove(&ticket) else { return false };
        self.classes[class].remove(deadline, ticket);
        true
    }

    /// The load, as it goes back with each answer.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            slots: self.settings.slots,
            service_micros: u32::try_from(self.mean).unwrap_or(u32::MAX),
        }
    }

    /// Calls that wait and run.
    pub fn calls(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    fn ticket(&mut self) -> CallTicket {
        self.next_ticket += 1;
        CallTicket(self.next_ticket)
    }

    fn has_slot(&self) -> bool {
        self.running.len() < self.settings.slots as usize
    }

    fn class_index(&mut self, label: &str) -> usize {
        if let Some(index) = self.class_indexes.get(label) {
            return *index;
        }
        let name = label.split_once('/').map_or(label, |(tenant, _)| tenant);
        let tenant = match self.tenant_indexes.get(name) {
            Some(tenant) => *tenant,
            None => {
                self.tenants.push(Vec::new());
                self.tenant_indexes.insert(name.into(), self.tenants.len() - 1);
                self.tenants.len() - 1
            }
        };
        let index = self.classes.len();
        self.tenants[tenant].push(index);
        self.classes.push(ClassQueue { tenant, calls: VecDeque::new(), kinds: [0; KIND_COUNT] });
        self.class_indexes.insert(label.into(), index);
        index
    }

    /// Time that a call of this kind needs in a slot, in µs.
    fn needed(&self, kind: RouteKind) -> u64 {
        let time = self.times[kind as usize];
        time.mean + time.deviation
    }

    /// Time until a new call of this tenant gets a slot, in µs.
    fn expected_wait(&self, now: ClockTime, tenant: usize, deadline: CallDeadline) -> u64 {
        let own = self.tenants[tenant].iter().map(|class| &self.classes[*class]);
        let ahead: usize = own.map(|class| class.calls_before(deadline)).sum();
        let mut work = 0;
        for (index, classes) in self.tenants.iter().enumerate() {
            // Tenants take turns, so another tenant gets at most one slot more than this one before
            // the new call has its turn.
            let turns = if index == tenant { ahead } else { ahead + 1 };
            let calls: usize = classes.iter().map(|class| self.classes[*class].calls.len()).sum();
            let total: u64 = classes.iter().map(|class| self.work(&self.classes[*class])).sum();
            work += total * turns.min(calls) as u64 / calls.max(1) as u64;
        }
        for call in self.running.values() {
            let ran = now.since(call.since).millis() * 1000;
            work += self.times[call.kind as usize].mean.saturating_sub(ran);
        }
        work / u64::from(self.settings.slots.max(1))
    }

    /// Time that the calls of a class need in slots, in µs.
    fn work(&self, class: &ClassQueue) -> u64 {
        class.kinds.iter().zip(&self.times).map(|(count, time)| count * time.mean).sum()
    }

    /// A refusal with a retry-after time of one to two times the wait. It differs from call to call, so
    /// that refused callers do not all come back at once.
    fn refusal(&mut self, code: ResultCode, wait_micros: u64) -> AdmissionAnswer {
        let wait = (wait_micros / 1000).max(RETRY_AFTER_MINIMUM.millis());
        let spread = mix(self.ticket().0) % wait;
        AdmissionAnswer::Refused { code, retry_after: ClockSpan::new(wait + spread) }
    }

    fn expire(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        for class in 0..self.classes.len() {
            while let Some(&(deadline, ticket, _)) = self.classes[class].calls.front() {
                if !deadline.is_over(now) {
                    break;
                }
                self.cancel(ticket);
                actions.push(AdmissionAction::Expire(ticket));
            }
        }
    }

    /// The call that gets the next free slot. Calls that cannot end in time are answered instead.
    fn take_next(
        &mut self,
        now: ClockTime,
        actions: &mut Vec<AdmissionAction>,
    ) -> Option<CallTicket> {
        while let Some(class) = self.next_class() {
            let &(deadline, ticket, kind) = self.classes[class].calls.front()?;
            self.cancel(ticket);
            let hopeless = self.needed(kind) > deadline.left(now).millis() * 1000;
            if hopeless && !self.running.is_empty() {
                actions.push(AdmissionAction::Expire(ticket));
                continue;
            }
            self.turn = self.classes[class].tenant + 1;
            self.running.insert(ticket, RunningCall { kind, since: now });
            return Some(ticket);
        }
        None
    }

    /// The class with the least time left of the tenant whose turn it is.
    fn next_class(&self) -> Option<usize> {
        let count = self.tenants.len();
        (0..count).find_map(|step| {
            let classes = self.tenants[(self.turn + step) % count].iter().copied();
            let busy = classes.filter(|class| !self.classes[*class].calls.is_empty());
            busy.min_by_key(|class| self.classes[*class].calls[0].0)
        })
    }
}

impl ClassQueue {
    fn insert(&mut self, deadline: CallDeadline, ticket: CallTicket, kind: RouteKind) {
        let position = self.calls_before(deadline);
        self.calls.insert(position, (deadline, ticket, kind));
        self.kinds[kind as usize] += 1;
    }

    fn remove(&mut self, deadline: CallDeadline, ticket: CallTicket) {
        let found = self.calls.binary_search_by_key(&(deadline, ticket), |call| (call.0, call.1));
        let Some((_, _, kind)) = found.ok().and_then(|index| self.calls.remove(index)) else {
            return;
        };
        self.kinds[kind as usize] -= 1;
    }

    /// Calls that have no more time left than one with this deadline.
    fn calls_before(&self, deadline: CallDeadline) -> usize {
        self.calls.partition_point(|call| call.0 <= deadline)
    }
}
