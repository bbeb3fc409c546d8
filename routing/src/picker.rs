//! Which target a call is sent to.
//!
//! Each candidate is given the time in which it is expected to answer, with a surcharge for another
//! data centre and for failures, and the smallest sum wins. This answers uneven load between data
//! centres, targets of different or changing speed, and targets that fail behind a good health
//! check: what the nodes beside the targets report and what answers show is believed, and nothing
//! else.

use std::net::IpAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

use crate::intake::LARGE_BODY;
use crate::registry::{TargetListing, TargetState};
use crate::slots::SlotLoad;

/// Surcharge in ms for a target in another data centre. Traffic between data centres is costly, and
/// the links have delays of several ms each way.
const CROSSING_MS: f64 = 230.0;

/// Further surcharge in ms for each KB of a body that crosses.
const CROSSING_MS_PER_KB: f64 = 12.0;

/// Surcharge in ms for a target that fails all calls. It is weighed with the share of failures.
const FAILURE_MS: f64 = 1_500.0;

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.12;

/// Time in which a share of failures halves without calls, so that a target is tried again.
const FAILURE_HALF_LIFE: ClockSpan = ClockSpan::new(2_000);

/// Time after which a load report says nothing any more.
const REPORT_SPAN: ClockSpan = ClockSpan::new(1_500);

/// Service time that is assumed before a report, in ms.
const FIRST_SERVICE_MS: f64 = 150.0;

/// How much slower a target is while it warms up.
const COLD_FACTOR: f64 = 1.6;

/// How long a target is left alone whose node said that it is about to end. Its successor starts
/// within about a second.
const LEAVING_SPAN: ClockSpan = ClockSpan::new(1_200);

/// How long a target is left alone when another one is in its place. Its entry
/// expires within a few seconds.
const GONE_SPAN: ClockSpan = ClockSpan::new(3_000);

/// Longest time for which a refusal holds for further calls of the same route. Load changes quickly,
/// but asking again for each call would cost a round trip and traffic each time.
const REFUSAL_SPAN: ClockSpan = ClockSpan::new(120);

/// Random part of the sum in ms, which keeps nodes from choosing the same target at once.
const JITTER_MS: f64 = 8.0;

/// Random part of the sum, as a share of the service time, while the load of a target is not known.
/// In a large fleet a node sends each target a call now and then only, and all nodes would otherwise
/// choose the fastest one.
const UNKNOWN_SPREAD: f64 = 0.8;

/// What a call reports of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetSignal {
    /// It answered.
    Served,
    /// It answered with a failure, or its answer was lost or spoilt.
    Failed,
    /// Its node did not let the call run, which says nothing of the target's health.
    Refused,
    /// Its node is about to end.
    Leaving,
    /// Another target is in its place.
    Gone,
    /// The call was given up by its caller.
    Abandoned,
}

/// A target that a call is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickedTarget {
    /// Identity of the target.
    pub id: Arc<str>,
    /// The VM that the target and its node run on.
    pub vm: IpAddr,
    /// Slots of the target.
    pub slots: u32,
    /// Whether the target is in another data centre.
    pub crosses: bool,
}

#[derive(Debug)]
struct TargetRecord {
    entry: TargetListing,
    warm_at: ClockTime,
    in_flight: u32,
    report: SlotLoad,
    reported: Option<ClockTime>,
    sent_since: u32,
    failures: f64,
    failed_at: ClockTime,
    /// Until when the node beside the target takes no calls.
    avoid_until: ClockTime,
    /// Routes whose calls were refused, and until when that holds.
    refusals: Vec<(Arc<str>, ClockTime)>,
}

/// Everything a node knows about the targets of all services.
#[derive(Debug)]
pub struct TargetPicker {
    data_centre: Arc<str>,
    records: FxHashMap<Arc<str>, TargetRecord>,
    services: FxHashMap<Arc<str>, Vec<Arc<str>>>,
    down: FxHashMap<IpAddr, ()>,
    random: Pcg32,
}

impl TargetPicker {
    /// Creates a picker for a node in `data_centre`.
    pub fn new(data_centre: Arc<str>, seed: u64) -> TargetPicker {
        TargetPicker {
            data_centre,
            records: FxHashMap::default(),
            services: FxHashMap::default(),
            down: FxHashMap::default(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Takes over the entry of a target.
    pub fn insert(&mut self, now: ClockTime, entry: &TargetListing) {
        let warm_at = now + entry.cold_left;
        if let Some(record) = self.records.get_mut(&entry.id) {
            let moved = record.entry.service != entry.service;
            if record.entry.started != entry.started {
                record.failures = 0.0;
                record.avoid_until = ClockTime::ZERO;
                record.reported = None;
            }
            let former = std::mem::replace(&mut record.entry, entry.clone());
            record.warm_at = warm_at;
            if !moved {
                return;
            }
            self.unlist(&former);
        } else {
            let record = TargetRecord {
                entry: entry.clone(),
                warm_at,
                in_flight: 0,
                report: SlotLoad::default(),
                reported: None,
                sent_since: 0,
                failures: 0.0,
                failed_at: now,
                avoid_until: ClockTime::ZERO,
                refusals: Vec::new(),
            };
            self.records.insert(entry.id.clone(), record);
        }
        let ids = self.services.entry(entry.service.clone()).or_default();
        ids.push(entry.id.clone());
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id) {
            self.unlist(&record.entry);
        }
    }

    fn unlist(&mut self, entry: &TargetListing) {
        if let Some(ids) = self.services.get_mut(&entry.service) {
            ids.retain(|id| *id != entry.id);
        }
    }

    /// Notes whether the node on a VM can be reached.
    pub fn set_reachable(&mut self, vm: IpAddr, reachable: bool) {
        if reachable {
            self.down.remove(&vm);
        } else {
            self.down.insert(vm, ());
        }
    }

    /// The VMs of all targets.
    pub fn vms(&self) -> Vec<IpAddr> {
        let mut vms: Vec<_> =
            self.records.values().map(|record| record.entry.address.ip()).collect();
        vms.sort_unstable();
        vms.dedup();
        vms
    }

    /// Number of known targets.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of targets of a service that could be chosen.
    pub fn candidates(&self, now: ClockTime, service: &str) -> usize {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter().filter(|id| self.is_usable(now, id)).count()
    }

    /// Chooses a target of `service` for a call of `route` with `body_bytes` of body, none of `tried`
    /// and none that has just refused a call of this route.
    pub fn choose(
        &mut self,
        now: ClockTime,
        service: &str,
        route: &str,
        body_bytes: usize,
        tried: &[Arc<str>],
    ) -> Option<PickedTarget> {
        let ids = self.services.get(service)?;
        let crossing = CROSSING_MS + CROSSING_MS_PER_KB * body_bytes as f64 / 1024.0;
        let mut best: Option<(f64, &Arc<str>)> = None;
        for id in ids {
            if tried.contains(id) || !self.is_usable(now, id) {
                continue;
            }
            let Some(record) = self.records.get(id) else { continue };
            if record.refuses(now, route) {
                continue;
            }
            let crosses = record.entry.data_centre != self.data_centre;
            let mut sum =
                record.expected_time(now) + self.random.random::<f64>() * record.spread(now);
            if body_bytes as u64 >= LARGE_BODY {
                sum += record.intake_time(now);
            }
            if crosses {
                sum += crossing;
            }
            if best.is_none_or(|(least, _)| sum < least) {
                best = Some((sum, id));
            }
        }
        let id = best?.1.clone();
        let record = self.records.get(&id)?;
        Some(PickedTarget {
            vm: record.entry.address.ip(),
            slots: record.entry.slots,
            crosses: record.entry.data_centre != self.data_centre,
            id,
        })
    }

    fn is_usable(&self, now: ClockTime, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| {
            record.entry.state == TargetState::Ready
                && record.avoid_until <= now
                && !self.down.contains_key(&record.entry.address.ip())
        })
    }

    /// Counts a call that is sent.
    pub fn sent(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight += 1;
            record.sent_since += 1;
        }
    }

    /// Counts a call that has ended.
    pub fn ended(&mut self, now: ClockTime, id: &str, signal: TargetSignal) {
        let Some(record) = self.records.get_mut(id) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        let failed = match signal {
            TargetSignal::Served => 0.0,
            TargetSignal::Failed => 1.0,
            TargetSignal::Refused | TargetSignal::Abandoned => return,
            TargetSignal::Leaving => {
                record.avoid_until = now + LEAVING_SPAN;
                return;
            }
            TargetSignal::Gone => {
                record.avoid_until = now + GONE_SPAN;
                return;
            }
        };
        let share = record.failure_share(now);
        record.failures = share + (failed - share) * FAILURE_WEIGHT;
        record.failed_at = now;
    }

    /// Notes that the node beside a target refused a call of `route` and named the time after which
    /// there is likely to be room.
    pub fn refused(&mut self, now: ClockTime, id: &str, route: &Arc<str>, retry_after: ClockSpan) {
        let Some(record) = self.records.get_mut(id) else { return };
        let until = now + retry_after.min(REFUSAL_SPAN);
        record.refusals.retain(|(known, until)| *until > now && known != route);
        record.refusals.push((route.clone(), until));
    }

    /// Takes over the load that a target's node reported.
    pub fn report(&mut self, now: ClockTime, id: &str, load: SlotLoad) {
        if let Some(record) = self.records.get_mut(id) {
            record.report = load;
            record.reported = Some(now);
            record.sent_since = 0;
        }
    }
}

impl TargetRecord {
    /// Expected time to an answer in ms, with the surcharge for failures.
    fn expected_time(&self, now: ClockTime) -> f64 {
        let fresh = self.reported.filter(|reported| now.since(*reported) < REPORT_SPAN);
        let mut service = FIRST_SERVICE_MS;
        if self.reported.is_some() {
            service = self.report.service.millis().max(1) as f64;
        }
        if now < self.warm_at {
            service *= COLD_FACTOR;
        }
        let mut load = self.in_flight;
        if fresh.is_some() {
            load = load.max(self.report.running + self.report.queued + self.sent_since);
        }
        let slots = f64::from(self.entry.slots.max(1));
        let excess = (f64::from(load) + 1.0 - slots).max(0.0);
        // Targets slow down when they are nearly full, so an emptier one is a little better.
        let crowding = f64::from(load) / slots * 0.15 * service;
        service + crowding + excess * service / slots + self.failure_share(now) * FAILURE_MS
    }

    /// Time in ms until the link of the target's VM is free, as far as it is known.
    fn intake_time(&self, now: ClockTime) -> f64 {
        let fresh = self.reported.filter(|reported| now.since(*reported) < REPORT_SPAN);
        fresh.map_or(0.0, |_| self.report.intake.millis() as f64)
    }

    /// Size of the random part in ms: the less is known of the load, the larger.
    fn spread(&self, now: ClockTime) -> f64 {
        let service = self.report.service.millis().max(FIRST_SERVICE_MS as u64) as f64;
        let age = self.reported.map_or(REPORT_SPAN, |reported| now.since(reported));
        let unknown = age.millis().min(REPORT_SPAN.millis()) as f64 / REPORT_SPAN.millis() as f64;
        JITTER_MS + unknown * UNKNOWN_SPREAD * service
    }

    fn refuses(&self, now: ClockTime, route: &str) -> bool {
        self.refusals.iter().any(|(known, until)| *until > now && **known == *route)
    }

    fn failure_share(&self, now: ClockTime) -> f64 {
        let age = now.since(self.failed_at).millis() as f64;
        self.failures * 0.5f64.powf(age / FAILURE_HALF_LIFE.millis() as f64)
    }
}
