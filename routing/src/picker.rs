//! Selects the target of each call.
//!
//! Each candidate is rated by the expected time to its answer plus a penalty for failures, and the
//! lowest rating wins. A target in another data centre is selected only if no local one is expected
//! to answer before the call's soft deadline. This handles uneven load between data centres,
//! targets of different or changing speed, and targets that fail calls although they pass health
//! checks. The rating therefore relies only on the load that the nodes next to the targets report,
//! and on the results of calls.
//!
//! Each selection considers a sample of bounded size, so its cost does not grow with the fleet.

use std::net::IpAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::hedge::{HedgeHold, SecondTarget};
use crate::intake::LARGE_BODY_BYTES;
use crate::outage::{KnownOutage, OutageTable};
use crate::pacer::RateLimit;
use crate::plan::CallParams;
use crate::ranks::PriorityCounts;
use crate::registry::{TargetListing, TargetState};
use crate::slots::SlotLoad;

/// Fraction of the time to the soft deadline within which a call must be expected to end for it to
/// stay in its own data centre. The rest allows for the variance of service times.
const LOCAL_TIME_FRACTION: f64 = 0.8;

/// Additional delay in ms of a call to another data centre. The one-way latency of the links is
/// several milliseconds.
const REMOTE_DELAY_MS: f64 = 12.0;

/// Maximum number of targets that one selection considers in the own data centre, and likewise in
/// the others.
const SAMPLE_SIZE: usize = 32;

/// Penalty for a target that fails all calls, in multiples of the service time of the route. It is
/// scaled by the failure rate. A failed call costs its caller the time until it retries, and
/// another run.
const FAILURE_PENALTY: f64 = 3.0;

/// Weight of the latest result in the failure rate.
const FAILURE_WEIGHT: f64 = 0.12;

/// Half-life of the failure rate without calls, so that a failing target is eventually tried again.
const FAILURE_HALF_LIFE: ClockSpan = ClockSpan::new(2_000);

/// Time after which a load report is outdated.
const REPORT_TTL: ClockSpan = ClockSpan::new(1_500);

/// Time for which a reported free slot counts as free. Other nodes fill it within a few calls.
const FREE_SLOT_TTL: ClockSpan = ClockSpan::new(250);

/// Service time in ms that is assumed before the first report.
const DEFAULT_SERVICE_MS: f64 = 150.0;

/// Weight of the latest report in the average time of a route over all targets.
const ROUTE_TIME_WEIGHT: f64 = 0.05;

/// Weight of the latest report in the slowdown of a target. Reports are averages already.
const SLOWDOWN_WEIGHT: f64 = 0.5;

/// Lower and upper bound of the slowdown taken from one report.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.2, 12.0);

/// Penalty for a listed cold target beyond its share of calls, in multiples of the service time of the
/// route. Other nodes call it too, so that its limit is likely to be used up.
const COLD_PENALTY: f64 = 2.0;

/// Fraction of their capacity at which targets usually run.
const USUAL_LOAD: f64 = 0.6;

/// Lowest share of its usual calls that is offered to a cold target, so that its load gets known.
const MIN_COLD_SHARE: f64 = 0.05;

/// How long targets count as cold after an evacuation of their data centre, unless they are listed as
/// cold for longer. The nodes beside them find out meanwhile.
const EVACUATION_DOUBT: ClockSpan = ClockSpan::new(2_000);

/// How long a data centre is avoided after one of its nodes has refused a call because of an
/// evacuation. The store's content reaches all nodes within about this time.
const EVACUATION_HINT_TTL: ClockSpan = ClockSpan::new(1_000);

/// Half-life of the slowdown without reports, so that a slow target is eventually tried again.
const SLOWDOWN_HALF_LIFE: ClockSpan = ClockSpan::new(3_000);

/// How long a target is avoided after its node announced its shutdown. The successor starts within
/// about a second.
const LEAVING_BACKOFF: ClockSpan = ClockSpan::new(1_200);

/// How long a target is avoided after another one was found at its address. Its entry expires
/// within a few seconds.
const REPLACED_BACKOFF: ClockSpan = ClockSpan::new(3_000);

/// How long a departure that a target stated itself is remembered. A leaving target ends within
/// minutes, and its entry may disappear and return in the meantime.
const DEPARTURE_TTL: ClockSpan = ClockSpan::new(600_000);

/// Random addition to the rating in ms, which prevents nodes from all selecting the same target at
/// once.
const JITTER_MS: f64 = 8.0;

/// Random addition to the rating while the load of a target is unknown, as a fraction of the
/// service time. In a large fleet a node rarely calls any given target, so without it all nodes
/// would select the fastest one.
const UNKNOWN_LOAD_JITTER: f64 = 0.8;

/// What the end of a call tells about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFeedback {
    /// The target answered.
    Served,
    /// The target answered with an error, or the answer was lost or invalid.
    Failed,
    /// The node did not run the call, which says nothing about the target's health.
    Refused,
    /// The node is shutting down.
    Leaving,
    /// Another target has taken over the address.
    Replaced,
    /// The caller cancelled the call.
    Cancelled,
}

/// The target selected for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickedTarget {
    /// Unique id of the target.
    pub id: Arc<str>,
    /// VM on which the target and its node run.
    pub vm: IpAddr,
    /// Number of slots of the target.
    pub slots: u32,
    /// Rate of calls that the target accepts, as far as this node knows.
    pub rate_limit: Option<RateLimit>,
    /// Whether the target is in another data centre.
    pub is_remote: bool,
    /// Start time of the target as listed, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Where other targets for the call are available.
    pub alternatives: Alternatives,
}

/// Where targets other than the selected one are available for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Alternatives {
    /// There are none.
    None,
    /// All of them are in other data centres.
    Remote,
    /// At least one is in the node's own data centre.
    Local,
}

#[derive(Debug)]
struct TargetStats {
    entry: TargetListing,
    warm_from: ClockTime,
    in_flight: u32,
    load_report: SlotLoad,
    load_reported_at: Option<ClockTime>,
    /// Service time relative to the average of the called routes; 1 is average.
    slowdown: f64,
    slowdown_at: ClockTime,
    /// Time until which the target, at its rate limit, refuses calls, with the most urgent priority
    /// that it refused.
    refusal: Option<(u8, ClockTime)>,
    /// Calls sent since the last load report.
    sent_since_report: PriorityCounts,
    failure_rate: f64,
    failure_rate_at: ClockTime,
    /// Time until which the target is not selected.
    avoid_until: ClockTime,
    /// Time at which the target's node, which is stopping, breaks off its calls.
    stops_at: Option<ClockTime>,
}

/// Targets of one service.
#[derive(Debug, Default)]
struct ServiceTargets {
    /// Targets in the node's own data centre.
    local: Vec<Arc<str>>,
    remote: Vec<Arc<str>>,
}

impl ServiceTargets {
    fn list(&mut self, local: bool) -> &mut Vec<Arc<str>> {
        if local { &mut self.local } else { &mut self.remote }
    }
}

/// Result of rating a sample of targets.
#[derive(Debug, Default)]
struct SampleResult {
    /// Lowest rating in ms, and the id of the target with it.
    best: Option<(f64, Arc<str>)>,
    /// Number of targets that the call could be sent to.
    candidates: usize,
    /// Number of reachable targets, including those already tried.
    reachable: usize,
    /// Whether one of them limits its rate.
    is_limited: bool,
}

/// Selects targets by what a node knows about all services' targets.
#[derive(Debug)]
pub struct TargetPicker {
    data_centre: Arc<str>,
    stats: FxHashMap<Arc<str>, TargetStats>,
    services: FxHashMap<Arc<str>, ServiceTargets>,
    /// Average service time of each route in ms.
    route_times: FxHashMap<Arc<str>, f64>,
    unreachable: FxHashSet<IpAddr>,
    /// Start times of the targets that have stated that they are leaving, with the time of the last
    /// statement.
    departures: FxHashMap<Arc<str>, (u64, ClockTime)>,
    outages: OutageTable,
    /// Evacuated data centres.
    evacuated: FxHashSet<Arc<str>>,
    /// Data centres whose evacuation a node there has reported before the store did, with the time
    /// until which they are avoided.
    evacuation_hints: FxHashMap<Arc<str>, ClockTime>,
    /// Calls per second that cold targets accept, for each service where they are limited.
    cold_rates: FxHashMap<Arc<str>, f64>,
    random: Pcg32,
}

impl TargetPicker {
    /// Creates a picker for a node in `data_centre`.
    pub fn new(data_centre: Arc<str>, seed: u64) -> TargetPicker {
        TargetPicker {
            data_centre,
            stats: FxHashMap::default(),
            services: FxHashMap::default(),
            route_times: FxHashMap::default(),
            unreachable: FxHashSet::default(),
            departures: FxHashMap::default(),
            outages: OutageTable::default(),
            evacuated: FxHashSet::default(),
            evacuation_hints: FxHashMap::default(),
            cold_rates: FxHashMap::default(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Sets the calls per second that cold targets accept, for each service where they are limited.
    pub fn set_cold_rates(&mut self, cold_rates: FxHashMap<Arc<str>, f64>) {
        self.cold_rates = cold_rates;
    }

    /// Adds a target or updates its entry.
    pub fn insert(&mut self, now: ClockTime, entry: &TargetListing) {
        let warm_from = now + entry.cold_time_left;
        if let Some(record) = self.stats.get_mut(&entry.id) {
            let listed_elsewhere = record.entry.service != entry.service
                || record.entry.data_centre != entry.data_centre;
            if record.entry.started_ms != entry.started_ms {
                record.failure_rate = 0.0;
                record.avoid_until = ClockTime::ZERO;
                record.load_report = SlotLoad::default();
                record.load_reported_at = None;
                record.refusal = None;
                record.slowdown = 1.0;
            }
            let former = std::mem::replace(&mut record.entry, entry.clone());
            record.warm_from = warm_from;
            if !listed_elsewhere {
                return;
            }
            self.remove_from_service(&former);
        } else {
            let record = TargetStats {
                entry: entry.clone(),
                warm_from,
                in_flight: 0,
                load_report: SlotLoad::default(),
                load_reported_at: None,
                refusal: None,
                slowdown: 1.0,
                slowdown_at: now,
                sent_since_report: PriorityCounts::new(),
                failure_rate: 0.0,
                failure_rate_at: now,
                avoid_until: ClockTime::ZERO,
                stops_at: None,
            };
            self.stats.insert(entry.id.clone(), record);
        }
        let local = entry.data_centre == self.data_centre;
        let targets = self.services.entry(entry.service.clone()).or_default();
        targets.list(local).push(entry.id.clone());
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &str) {
        if let Some(record) = self.stats.remove(id) {
            self.remove_from_service(&record.entry);
        }
    }

    fn remove_from_service(&mut self, entry: &TargetListing) {
        let local = entry.data_centre == self.data_centre;
        if let Some(targets) = self.services.get_mut(&entry.service) {
            targets.list(local).retain(|id| *id != entry.id);
        }
    }

    /// Records whether the node on a VM is reachable.
    pub fn set_reachable(&mut self, vm: IpAddr, reachable: bool) {
        if reachable {
            self.unreachable.remove(&vm);
        } else {
            self.unreachable.insert(vm);
        }
    }

    /// Sets whether a data centre is evacuated: its targets are not selected. When that ends, they count
    /// as cold until their nodes report otherwise. Returns the number of its targets.
    pub fn set_evacuated(&mut self, now: ClockTime, centre: &Arc<str>, evacuated: bool) -> usize {
        if evacuated {
            self.evacuated.insert(centre.clone());
        } else {
            self.evacuated.remove(centre);
            self.evacuation_hints.remove(centre);
        }
        let records = self.stats.values_mut().filter(|record| record.entry.data_centre == *centre);
        let mut count = 0;
        for record in records {
            count += 1;
            if !evacuated {
                record.warm_from = record.warm_from.max(now + EVACUATION_DOUBT);
                record.load_reported_at = None;
            }
        }
        count
    }

    /// Records that the node of a target refused a call because its data centre is evacuated, which this
    /// node does not know yet or no longer. The other targets there would refuse it, too.
    pub fn record_evacuation(&mut self, now: ClockTime, id: &str) {
        if let Some(record) = self.stats.get(id) {
            let centre = record.entry.data_centre.clone();
            self.evacuation_hints.insert(centre, now + EVACUATION_HINT_TTL);
        }
    }

    /// Returns the number of evacuated data centres.
    pub fn evacuated_count(&self) -> usize {
        self.evacuated.len()
    }

    fn is_evacuated(&self, now: ClockTime, centre: &str) -> bool {
        self.evacuated.contains(centre)
            || self.evacuation_hints.get(centre).is_some_and(|until| now < *until)
    }

    /// Returns the VMs of all targets.
    pub fn vms(&self) -> Vec<IpAddr> {
        let mut vms: Vec<_> = self.stats.values().map(|record| record.entry.address.ip()).collect();
        vms.sort_unstable();
        vms.dedup();
        vms
    }

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.stats.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.stats.is_empty()
    }

    /// Selects a target for a call that is not in `tried`.
    pub fn pick(
        &mut self,
        now: ClockTime,
        call: &CallParams,
        tried: &[Arc<str>],
    ) -> Option<PickedTarget> {
        let targets = self.services.get(&call.service)?;
        let offset = self.random.random::<u32>() as usize;
        let local = self.sample(now, call, tried, &targets.local, offset);
        let limit = local_time_limit(now, call);
        let stays_local = local.best.as_ref().is_some_and(|(time, _)| *time <= limit);
        let remote = match stays_local {
            true => SampleResult::default(),
            false => self.sample(now, call, tried, &targets.remote, offset),
        };
        let (local_candidates, remote_candidates) = (local.candidates, remote.candidates);
        let (id, is_remote) = prefer_local(now, call, local, remote)?;
        let alternatives = if local_candidates > usize::from(!is_remote) {
            Alternatives::Local
        } else if (stays_local && !targets.remote.is_empty())
            || remote_candidates > usize::from(is_remote)
        {
            Alternatives::Remote
        } else {
            Alternatives::None
        };
        let record = self.stats.get(&id)?;
        let entry = &record.entry;
        Some(PickedTarget {
            vm: entry.address.ip(),
            slots: entry.slots,
            rate_limit: record.load_report.rate_limit,
            started_ms: entry.started_ms,
            is_remote,
            alternatives,
            id,
        })
    }

    /// Returns why no call to a service may be sent to a second target now, as far as the reports of
    /// its targets tell.
    pub(crate) fn hedge_hold(&self, now: ClockTime, service: &str) -> Option<HedgeHold> {
        let targets = self.services.get(service)?;
        let ids = targets.local.iter().chain(&targets.remote);
        ids.filter_map(|id| self.stats.get(id)).find_map(|record| {
            match self.is_evacuated(now, &record.entry.data_centre) {
                true => Some(HedgeHold::Evacuation),
                false => record.hedge_hold(now),
            }
        })
    }

    /// Selects a second target for a call whose other targets are `excluded`. One in another data
    /// centre must be able to meet the soft deadline.
    pub(crate) fn second_target(
        &mut self,
        now: ClockTime,
        call: &CallParams,
        excluded: &[Arc<str>],
    ) -> Result<SecondTarget, HedgeHold> {
        let targets = self.services.get(&call.service).ok_or(HedgeHold::NoTarget)?;
        let offset = self.random.random::<u32>() as usize;
        let local = self.sample(now, call, excluded, &targets.local, offset).best;
        let (expected_ms, id, is_remote) = match local {
            Some((time, id)) => (time, id, false),
            None => {
                let remote = self.sample(now, call, excluded, &targets.remote, offset).best;
                let (time, id) = remote.ok_or(HedgeHold::NoTarget)?;
                let time = time + REMOTE_DELAY_MS;
                if time > call.soft_deadline.since(now).millis() as f64 {
                    return Err(HedgeHold::NoTarget);
                }
                (time, id, true)
            }
        };
        let record = self.stats.get(&id).ok_or(HedgeHold::NoTarget)?;
        if record.known_calls(now) >= record.entry.slots {
            return Err(HedgeHold::Loaded);
        }
        let target = PickedTarget {
            vm: record.entry.address.ip(),
            slots: record.entry.slots,
            rate_limit: record.load_report.rate_limit,
            started_ms: record.entry.started_ms,
            is_remote,
            alternatives: Alternatives::None,
            id,
        };
        Ok(SecondTarget { target, expected: ClockSpan::new(expected_ms as u64) })
    }

    /// Rates up to [`SAMPLE_SIZE`] reachable targets of `target_ids`, starting at a random one.
    fn sample(
        &self,
        now: ClockTime,
        call: &CallParams,
        tried: &[Arc<str>],
        target_ids: &[Arc<str>],
        offset: usize,
    ) -> SampleResult {
        let mut random = Pcg32::seed_from_u64(offset as u64);
        let route_time = self.route_times.get(&call.route).copied().unwrap_or(DEFAULT_SERVICE_MS);
        let (first, second) = target_ids.split_at(offset % target_ids.len().max(1));
        let reachable = second.iter().chain(first).filter_map(|id| {
            let record = self.stats.get(id)?;
            let reachable = record.is_usable(now)
                && !record.may_cut_off(now, call.deadline)
                && !self.unreachable.contains(&record.entry.address.ip())
                && !self.has_departed(&record.entry)
                && !self.outages.is_down(now, id, record.entry.started_ms)
                && !self.is_evacuated(now, &record.entry.data_centre);
            reachable.then_some((id, record))
        });
        let cold_rate = self.cold_rates.get(&call.service).copied();
        let mut result = SampleResult::default();
        for (id, record) in reachable.take(SAMPLE_SIZE) {
            result.reachable += 1;
            result.is_limited |= record.load_report.rate_limit.is_some();
            if tried.contains(id) {
                continue;
            }
            result.candidates += 1;
            let mut time = record.expected_time(now, call.priority, route_time);
            time += random.random::<f64>() * record.jitter_range(now, route_time);
            if let Some(share) = cold_rate.and_then(|rate| record.cold_share(now, rate, route_time))
                && random.random::<f64>() >= share
            {
                time += COLD_PENALTY * route_time;
            }
            if call.body_bytes as u64 >= LARGE_BODY_BYTES {
                time += record.ingress_delay_ms(now);
            }
            if result.best.as_ref().is_none_or(|(min, _)| time < *min) {
                result.best = Some((time, id.clone()));
            }
        }
        result
    }

    fn has_departed(&self, entry: &TargetListing) -> bool {
        self.departures
            .get(&entry.id)
            .is_some_and(|(started_ms, _)| *started_ms == entry.started_ms)
    }

    /// Records that a target has stated that it is leaving. It is not selected again, even if its
    /// entry disappears and returns; a later start under the same id is another target. Returns
    /// whether this was not known.
    pub fn record_departure(&mut self, now: ClockTime, target: &PickedTarget) -> bool {
        self.departures.retain(|_, (_, at)| now.since(*at) < DEPARTURE_TTL);
        let known = self.departures.insert(target.id.clone(), (target.started_ms, now));
        known.is_none_or(|(started_ms, _)| started_ms != target.started_ms)
    }

    /// Records whether a target is down, as its node states. It is not selected until its node states
    /// that it is back, its entry shows a later start, or
    /// [`OUTAGE_TTL`](crate::OUTAGE_TTL) has passed. Returns whether this was not known.
    pub fn record_outage(&mut self, now: ClockTime, outage: &KnownOutage) -> bool {
        self.outages.record(now, outage)
    }

    /// Returns the targets that are known to be down.
    pub fn known_outages(&self, now: ClockTime) -> Vec<KnownOutage> {
        self.outages.known(now)
    }

    /// Whether a target of a service has recently reported a free slot and an empty queue, and has got
    /// fewer calls from this node since than it has free slots.
    pub fn has_free_slot(&self, now: ClockTime, service: &str) -> bool {
        let Some(targets) = self.services.get(service) else { return false };
        targets.local.iter().chain(&targets.remote).any(|id| {
            self.stats.get(id).is_some_and(|record| {
                record.is_usable(now)
                    && !self.unreachable.contains(&record.entry.address.ip())
                    && record.load_reported_at.is_some_and(|at| now.since(at) < FREE_SLOT_TTL)
                    && record.load_report.queued.total() == 0
                    && record.load_report.running + record.sent_since_report.total()
                        < record.entry.slots
            })
        })
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, id: &str, priority: u8) {
        if let Some(record) = self.stats.get_mut(id) {
            record.in_flight += 1;
            record.sent_since_report.add(priority, 1);
        }
    }

    /// Records the end of a call.
    pub fn record_end(&mut self, now: ClockTime, id: &str, signal: TargetFeedback) {
        let Some(record) = self.stats.get_mut(id) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        let failed = match signal {
            TargetFeedback::Served => 0.0,
            TargetFeedback::Failed => 1.0,
            TargetFeedback::Refused | TargetFeedback::Cancelled => return,
            TargetFeedback::Leaving => {
                record.avoid_until = now + LEAVING_BACKOFF;
                return;
            }
            TargetFeedback::Replaced => {
                record.avoid_until = now + REPLACED_BACKOFF;
                return;
            }
        };
        let rate = record.current_failure_rate(now);
        record.failure_rate = rate + (failed - rate) * FAILURE_WEIGHT;
        record.failure_rate_at = now;
    }

    /// Records for how long a target's node still runs calls if it is stopping.
    pub fn record_stop(&mut self, now: ClockTime, id: &str, time_left: Option<ClockSpan>) {
        if let Some(record) = self.stats.get_mut(id) {
            record.stops_at = time_left.map(|left| now + left);
        }
    }

    /// Records that a target with a rate limit has refused a call of `priority`, and when it is
    /// expected to accept one. A refusal without a limit tells less: calls end at any moment.
    pub fn record_refusal(&mut self, now: ClockTime, id: &str, priority: u8, wait: ClockSpan) {
        let Some(record) = self.stats.get_mut(id) else { return };
        if record.load_report.rate_limit.is_some() {
            record.refusal = Some((priority, now + wait));
        }
    }

    /// Records the load that a target's node reported after a call of `route`.
    pub fn record_load(&mut self, now: ClockTime, id: &str, route: &Arc<str>, load: SlotLoad) {
        let Some(record) = self.stats.get_mut(id) else { return };
        record.load_report = load;
        record.load_reported_at = Some(now);
        record.sent_since_report = PriorityCounts::new();
        if let Some(time) = load.route_service_time
            && now >= record.warm_from
        {
            let time = time.millis().max(1) as f64;
            let route_time = self.route_times.entry(route.clone()).or_insert(time);
            *route_time += (time - *route_time) * ROUTE_TIME_WEIGHT;
            record.update_slowdown(now, time / *route_time);
        }
    }
}

impl TargetStats {
    fn is_usable(&self, now: ClockTime) -> bool {
        self.entry.state == TargetState::Ready && self.avoid_until <= now
    }

    /// Returns why the target's state holds back second requests to its service, if it does.
    fn hedge_hold(&self, now: ClockTime) -> Option<HedgeHold> {
        if self.warm_from > now {
            return Some(HedgeHold::Cold);
        }
        if self.refusal.is_some_and(|(_, until)| until > now) {
            return Some(HedgeHold::Shortage);
        }
        if !self.has_fresh_report(now) {
            None
        } else if self.load_report.rate_limit.is_some() {
            Some(HedgeHold::RateLimit)
        } else {
            (self.load_report.queued.total() > 0).then_some(HedgeHold::Queue)
        }
    }

    fn has_fresh_report(&self, now: ClockTime) -> bool {
        self.load_reported_at.is_some_and(|at| now.since(at) < REPORT_TTL)
    }

    /// Number of calls that the target runs or has queued, as far as this node knows.
    fn known_calls(&self, now: ClockTime) -> u32 {
        if !self.has_fresh_report(now) {
            return self.in_flight;
        }
        let load = &self.load_report;
        let reported = load.running + load.queued.total() + self.sent_since_report.total();
        reported.max(self.in_flight)
    }

    /// Whether the target's node is stopping and may break off a call that ends at `deadline`.
    fn may_cut_off(&self, now: ClockTime, deadline: ClockTime) -> bool {
        self.stops_at.is_some_and(|at| now < at && at < deadline)
    }

    /// Expected time in ms to the answer to a call of `priority` on a route with an average of
    /// `route_time`, including the failure penalty. Queued calls of lower priority do not count,
    /// because the call overtakes them.
    fn expected_time(&self, now: ClockTime, priority: u8, route_time: f64) -> f64 {
        let fresh_report = self.load_reported_at.filter(|at| now.since(*at) < REPORT_TTL);
        let service_ms = route_time * self.slowdown(now);
        let mut load = self.in_flight;
        let mut queue_service_ms = service_ms;
        if fresh_report.is_some() {
            let queued = self.load_report.queued.at_least(priority)
                + self.sent_since_report.at_least(priority);
            load = self.load_report.running + queued;
            queue_service_ms = self.load_report.service_time.millis().max(1) as f64;
        }
        let slots = f64::from(self.entry.slots.max(1));
        let excess_calls = (f64::from(load) + 1.0 - slots).max(0.0);
        // Targets slow down when they are nearly full, so emptier ones are rated slightly better.
        let crowding = f64::from(load) / slots * 0.15 * service_ms;
        let slot_wait_ms = excess_calls * queue_service_ms / slots;
        service_ms
            + crowding
            + slot_wait_ms.max(self.rate_wait_ms(now, priority))
            + self.current_failure_rate(now) * FAILURE_PENALTY * route_time
    }

    /// Expected time in ms until the target's rate limit allows another call of `priority`, or 0
    /// without a limit or a recent report.
    fn rate_wait_ms(&self, now: ClockTime, priority: u8) -> f64 {
        let Some(limit) = self.load_report.rate_limit else { return 0.0 };
        let refused_ms = match self.refusal {
            Some((refused, until)) if priority >= refused => until.since(now).millis() as f64,
            _ => 0.0,
        };
        let Some(at) = self.load_reported_at.filter(|at| now.since(*at) < REPORT_TTL) else {
            return refused_ms;
        };
        let queued =
            self.load_report.queued.at_least(priority) + self.sent_since_report.at_least(priority);
        let delay =
            self.load_report.rate_delay.millis() as f64 + f64::from(queued) * limit.interval_ms();
        (delay - now.since(at).millis() as f64).max(refused_ms)
    }

    /// Share of its usual calls that a listed cold target without a recent report can take at
    /// `cold_rate` calls per second. Returns `None` for other targets.
    fn cold_share(&self, now: ClockTime, cold_rate: f64, route_time: f64) -> Option<f64> {
        let is_reported = self.load_reported_at.is_some_and(|at| now.since(at) < REPORT_TTL);
        if is_reported || now >= self.warm_from {
            return None;
        }
        let usual_rate = f64::from(self.entry.slots) * 1_000.0 / route_time.max(1.0);
        Some((cold_rate / (usual_rate * USUAL_LOAD)).clamp(MIN_COLD_SHARE, 1.0))
    }

    fn update_slowdown(&mut self, now: ClockTime, ratio: f64) {
        let known = self.slowdown(now);
        let (min, max) = SLOWDOWN_BOUNDS;
        self.slowdown = known + (ratio.clamp(min, max) - known) * SLOWDOWN_WEIGHT;
        self.slowdown_at = now;
    }

    /// Returns the current slowdown, which decays towards 1.
    fn slowdown(&self, now: ClockTime) -> f64 {
        1.0 + (self.slowdown - 1.0) * decay(now.since(self.slowdown_at), SLOWDOWN_HALF_LIFE)
    }

    /// Time in ms until the link of the target's VM is free, or 0 if it is unknown.
    fn ingress_delay_ms(&self, now: ClockTime) -> f64 {
        let fresh_report = self.load_reported_at.filter(|at| now.since(*at) < REPORT_TTL);
        fresh_report.map_or(0.0, |_| self.load_report.ingress_delay.millis() as f64)
    }

    /// Upper bound of the random addition in ms. It grows with the age of the last load report.
    fn jitter_range(&self, now: ClockTime, route_time: f64) -> f64 {
        let age = self.load_reported_at.map_or(REPORT_TTL, |at| now.since(at));
        let unknown = age.millis().min(REPORT_TTL.millis()) as f64 / REPORT_TTL.millis() as f64;
        JITTER_MS + unknown * UNKNOWN_LOAD_JITTER * route_time
    }

    fn current_failure_rate(&self, now: ClockTime) -> f64 {
        self.failure_rate * decay(now.since(self.failure_rate_at), FAILURE_HALF_LIFE)
    }
}

/// Time in ms within which a call must be expected to end for it to stay in its own data centre.
/// Large bodies are sent to another data centre only if they would miss the deadline otherwise,
/// because links between data centres are expensive.
fn local_time_limit(now: ClockTime, call: &CallParams) -> f64 {
    match call.body_bytes as u64 >= LARGE_BODY_BYTES {
        true => call.deadline.since(now).millis() as f64,
        false => call.soft_deadline.since(now).millis() as f64 * LOCAL_TIME_FRACTION,
    }
}

/// Chooses between the best local and the best remote target. The result tells whether the chosen
/// one is remote.
fn prefer_local(
    now: ClockTime,
    call: &CallParams,
    local: SampleResult,
    remote: SampleResult,
) -> Option<(Arc<str>, bool)> {
    // Targets that refuse calls because of their own rate limit say little about the load of other
    // data centres, so that late calls are sent there, too.
    let time_limit = match local.is_limited {
        true => f64::INFINITY,
        false => local_time_limit(now, call),
    };
    match (local.best, remote.best) {
        (Some((local_time, _)), Some((time, id)))
            if time + REMOTE_DELAY_MS <= time_limit.min(local_time) =>
        {
            Some((id, true))
        }
        (Some((_, id)), _) => Some((id, false)),
        // A call that was refused in its own data centre is likely to be refused elsewhere too, so
        // it is sent to another data centre only if it can meet its soft deadline there.
        (None, Some((time, id))) => {
            let in_time = time + REMOTE_DELAY_MS <= call.soft_deadline.since(now).millis() as f64;
            (local.reachable == 0 || local.is_limited || in_time).then_some((id, true))
        }
        (None, None) => None,
    }
}

/// Returns the fraction of a value that remains after `age`.
fn decay(age: ClockSpan, half_life: ClockSpan) -> f64 {
    0.5f64.powf(age.millis() as f64 / half_life.millis() as f64)
}
