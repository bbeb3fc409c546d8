//! Which calls the upstream beside this node runs, and in which order.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::balancer::LoadReport;
use crate::clock::{ClockSpan, ClockTime};
use crate::code::ResultCode;
use crate::config::RouteKind;
use crate::deadline::CallDeadline;

/// Service time that is assumed before the first call has ended, in µs.
const FIRST_SERVICE_MICROS: u64 = 1_000;

/// Weight of a new service time in the running mean: 1 / 8.
const MEAN_SHIFT: u64 = 8;

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

#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    kind: RouteKind,
    class: usize,
}

#[derive(Debug, Default)]
struct TenantQueue {
    /// In order of deadline, then of arrival.
    calls: BTreeMap<(CallDeadline, CallTicket), WaitingCall>,
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
    tenants: Vec<TenantQueue>,
    tenant_indexes: FxHashMap<Arc<str>, usize>,
    /// Class, its tenant's index and its queue length.
    classes: Vec<(Arc<str>, usize, u32)>,
    class_indexes: FxHashMap<Arc<str>, usize>,
    /// Tenant that is served next.
    turn: usize,
    waiting: FxHashMap<CallTicket, (usize, CallDeadline)>,
    running: FxHashMap<CallTicket, RunningCall>,
    times: [ServiceTime; 4],
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
            tenants: Vec::new(),
            tenant_indexes: FxHashMap::default(),
            classes: Vec::new(),
            class_indexes: FxHashMap::default(),
            turn: 0,
            waiting: FxHashMap::default(),
            running: FxHashMap::default(),
            times: [time; 4],
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
        let class = self.class_index(call.class);
        let tenant = self.classes[class].1;
        if self.running.len() < self.settings.slots as usize && self.waiting.is_empty() {
            let left = call.deadline.left(now).millis() * 1000;
            // One call may always run: without it, no new service time would ever correct an estimate
            // that has become too long.
            if self.running.is_empty() || self.needed(call.kind) <= left {
                let ticket = self.ticket();
                self.running.insert(ticket, RunningCall { kind: call.kind, since: now });
                return AdmissionAnswer::Run(ticket);
            }
            return self.refusal(ResultCode::Overload, 0);
        }
        if self.classes[class].2 >= self.settings.queue_limit {
            let wait = self.expected_wait(now, tenant, call.deadline);
            return self.refusal(ResultCode::TenantLimit, wait);
        }
        let wait = self.expected_wait(now, tenant, call.deadline);
        if wait + self.needed(call.kind) > call.deadline.left(now).millis() * 1000 {
            return self.refusal(ResultCode::Overload, wait);
        }
        let ticket = self.ticket();
        self.classes[class].2 += 1;
        let waiting = WaitingCall { kind: call.kind, class };
        self.tenants[tenant].calls.insert((call.deadline, ticket), waiting);
        self.waiting.insert(ticket, (tenant, call.deadline));
        AdmissionAnswer::Wait(ticket)
    }

    /// Names the waiting calls that are to be dispatched or answered now. Called after `finish`,
    /// `cancel` and `update`, and at least every 100 ms.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        self.expire(now, actions);
        while self.running.len() < self.settings.slots as usize {
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
        let Some((tenant, deadline)) = self.waiting.remove(&ticket) else { return false };
        if let Some(call) = self.tenants[tenant].calls.remove(&(deadline, ticket)) {
            self.classes[call.class].2 -= 1;
        }
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

    fn class_index(&mut self, label: &str) -> usize {
        if let Some(index) = self.class_indexes.get(label) {
            return *index;
        }
        let tenant = label.split_once('/').map_or(label, |(tenant, _)| tenant);
        let tenant = match self.tenant_indexes.get(tenant) {
            Some(index) => *index,
            None => {
                self.tenants.push(TenantQueue::default());
                self.tenant_indexes.insert(tenant.into(), self.tenants.len() - 1);
                self.tenants.len() - 1
            }
        };
        let label: Arc<str> = label.into();
        self.classes.push((label.clone(), tenant, 0));
        self.class_indexes.insert(label, self.classes.len() - 1);
        self.classes.len() - 1
    }

    /// Time that a call of this kind needs in a slot, in µs.
    fn needed(&self, kind: RouteKind) -> u64 {
        let time = self.times[kind as usize];
        time.mean + time.deviation
    }

    /// Time until a new call of this tenant gets a slot, in µs.
    fn expected_wait(&self, now: ClockTime, tenant: usize, deadline: CallDeadline) -> u64 {
        let own = &self.tenants[tenant].calls;
        let ahead = own.range(..(deadline, CallTicket(u64::MAX))).count();
        let mut work = 0;
        for (index, queue) in self.tenants.iter().enumerate() {
            // Tenants take turns, so another tenant gets at most one slot more than this one before
            // the new call has its turn.
            let turns = if index == tenant { ahead } else { ahead + 1 };
            work += self.work(queue.calls.values().take(turns));
        }
        for call in self.running.values() {
            let ran = now.since(call.since).millis() * 1000;
            work += self.times[call.kind as usize].mean.saturating_sub(ran);
        }
        work / u64::from(self.settings.slots.max(1))
    }

    fn work<'a>(&self, calls: impl Iterator<Item = &'a WaitingCall>) -> u64 {
        calls.map(|call| self.times[call.kind as usize].mean).sum()
    }

    fn refusal(&self, code: ResultCode, wait_micros: u64) -> AdmissionAnswer {
        let retry_after = ClockSpan::new(wait_micros / 1000).max(RETRY_AFTER_MINIMUM);
        AdmissionAnswer::Refused { code, retry_after }
    }

    fn expire(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        for tenant in 0..self.tenants.len() {
            while let Some((&(deadline, ticket), _)) = self.tenants[tenant].calls.first_key_value()
            {
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
        while !self.waiting.is_empty() {
            let tenant = self.next_tenant()?;
            let (&(deadline, ticket), &call) = self.tenants[tenant].calls.first_key_value()?;
            self.cancel(ticket);
            let hopeless = self.needed(call.kind) > deadline.left(now).millis() * 1000;
            if hopeless && !self.running.is_empty() {
                actions.push(AdmissionAction::Expire(ticket));
                continue;
            }
            self.turn = tenant + 1;
            self.running.insert(ticket, RunningCall { kind: call.kind, since: now });
            return Some(ticket);
        }
        None
    }

    fn next_tenant(&self) -> Option<usize> {
        let count = self.tenants.len();
        let order = (0..count).map(|step| (self.turn + step) % count);
        order.into_iter().find(|tenant| !self.tenants[*tenant].calls.is_empty())
    }
}
