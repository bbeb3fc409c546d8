//! Which target a call is sent to.
//!
//! Each candidate is given the time in which it is expected to answer, with a surcharge for failures,
//! and the smallest one wins. A target of another data centre is chosen only if none of the own one is
//! expected to answer within the call's aim. This answers uneven load between data centres, targets
//! of different or changing speed, and targets that fail behind a good health check: what the nodes
//! beside the targets report and what answers show is believed, and nothing else.
//!
//! A choice looks at a bounded sample of the targets, so that its cost does not grow with the fleet.

use std::net::IpAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::ingress::LARGE_BODY_BYTES;
use crate::plan::CallParams;
use crate::priorities::PriorityCounts;
use crate::registry::{TargetListing, TargetState};
use crate::slots::SlotLoad;

/// Share of the time to its aim in which a call has to be expected to end in its own data centre, so
/// that it stays there. The rest is for the spread of service times.
const NEAR_SHARE: f64 = 0.8;

/// Delay in ms of a call to another data centre. The links have delays of several ms each way.
const CROSSING_MS: f64 = 12.0;

/// Most targets that one choice looks at in the own data centre, and in the others.
const SAMPLE: usize = 32;

/// Surcharge for a target that fails all calls, in runs of the route. It is weighed with the share of
/// failures. A failed call costs its caller the time until it comes back and a further run.
const FAILURE_RUNS: f64 = 3.0;

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.12;

/// Time in which a share of failures halves without calls, so that a target is tried again.
const FAILURE_HALF_LIFE: ClockSpan = ClockSpan::new(2_000);

/// Time after which a load report says nothing any more.
const REPORT_SPAN: ClockSpan = ClockSpan::new(1_500);

/// Service time that is assumed before a report, in ms.
const FIRST_SERVICE_MS: f64 = 150.0;

/// Weight of the newest report in the usual time of a route, over all targets.
const ROUTE_WEIGHT: f64 = 0.05;

/// Weight of the newest report in the slowness of a target. Reports are means already.
const SLOWNESS_WEIGHT: f64 = 0.5;

/// Bounds of the slowness that one report can show.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 12.0);

/// Time in which the known slowness of a target halves without reports, so that one that was slow
/// is tried again.
const SLOWNESS_HALF_LIFE: ClockSpan = ClockSpan::new(3_000);

/// How long a target is left alone whose node said that it is about to end. Its successor starts
/// within about a second.
const LEAVING_SPAN: ClockSpan = ClockSpan::new(1_200);

/// How long a target is left alone when another one is in its place. Its entry
/// expires within a few seconds.
const GONE_SPAN: ClockSpan = ClockSpan::new(3_000);

/// Random part of the sum in ms, which keeps nodes from choosing the same target at once.
const JITTER_MS: f64 = 8.0;

/// Random part of the sum, as a share of the service time, while the load of a target is not known.
/// In a large fleet a node sends each target a call now and then only, and all nodes would otherwise
/// choose the fastest one.
const UNKNOWN_SPREAD: f64 = 0.8;

/// What a call reports of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFeedback {
    /// It answered.
    Served,
    /// It answered with a failure, or its answer was lost or spoilt.
    Failed,
    /// Its node did not let the call run, which says nothing of the target's health.
    Refused,
    /// Its node is about to end.
    Leaving,
    /// Another target is in its place.
    Replaced,
    /// The call was given up by its caller.
    Cancelled,
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
    pub is_remote: bool,
    /// Which other targets the call could be sent to.
    pub alternatives: Alternatives,
}

/// Which other targets a call could be sent to, beside the one that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Alternatives {
    /// None.
    None,
    /// Some, all of them in other data centres.
    Remote,
    /// Some in the node's own data centre.
    Local,
}

#[derive(Debug)]
struct TargetRecord {
    entry: TargetListing,
    warm_at: ClockTime,
    in_flight: u32,
    report: SlotLoad,
    reported: Option<ClockTime>,
    /// Time of its calls, as a multiple of what their routes usually take.
    slowness: f64,
    slowness_at: ClockTime,
    /// Calls sent since the last report.
    sent_since: PriorityCounts,
    failures: f64,
    failed_at: ClockTime,
    /// Until when the node beside the target takes no calls.
    avoid_until: ClockTime,
}

/// The targets of a service.
#[derive(Debug, Default)]
struct ServiceTargets {
    /// Those of the node's own data centre.
    near: Vec<Arc<str>>,
    far: Vec<Arc<str>>,
}

impl ServiceTargets {
    fn list(&mut self, near: bool) -> &mut Vec<Arc<str>> {
        if near { &mut self.near } else { &mut self.far }
    }
}

/// The best of a sample of targets.
#[derive(Debug, Default)]
struct SampleResult {
    /// The one with the smallest expected time in ms, and that time.
    best: Option<(f64, Arc<str>)>,
    /// Targets that could take the call.
    usable: usize,
    /// Targets that can be reached, those that were tried included.
    live: usize,
}

/// Everything a node knows about the targets of all services.
#[derive(Debug)]
pub struct TargetPicker {
    data_centre: Arc<str>,
    records: FxHashMap<Arc<str>, TargetRecord>,
    services: FxHashMap<Arc<str>, ServiceTargets>,
    /// Usual time of the calls of each route in ms.
    route_times: FxHashMap<Arc<str>, f64>,
    down: FxHashSet<IpAddr>,
    random: Pcg32,
}

impl TargetPicker {
    /// Creates a picker for a node in `data_centre`.
    pub fn new(data_centre: Arc<str>, seed: u64) -> TargetPicker {
        TargetPicker {
            data_centre,
            records: FxHashMap::default(),
            services: FxHashMap::default(),
            route_times: FxHashMap::default(),
            down: FxHashSet::default(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Takes over the entry of a target.
    pub fn insert(&mut self, now: ClockTime, entry: &TargetListing) {
        let warm_at = now + entry.warmup_left;
        if let Some(record) = self.records.get_mut(&entry.id) {
            let moved = record.entry.service != entry.service
                || record.entry.data_centre != entry.data_centre;
            if record.entry.started_ms != entry.started_ms {
                record.failures = 0.0;
                record.avoid_until = ClockTime::ZERO;
                record.reported = None;
                record.slowness = 1.0;
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
                slowness: 1.0,
                slowness_at: now,
                sent_since: PriorityCounts::new(),
                failures: 0.0,
                failed_at: now,
                avoid_until: ClockTime::ZERO,
            };
            self.records.insert(entry.id.clone(), record);
        }
        let near = entry.data_centre == self.data_centre;
        let targets = self.services.entry(entry.service.clone()).or_default();
        targets.list(near).push(entry.id.clone());
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id) {
            self.unlist(&record.entry);
        }
    }

    fn unlist(&mut self, entry: &TargetListing) {
        let near = entry.data_centre == self.data_centre;
        if let Some(targets) = self.services.get_mut(&entry.service) {
            targets.list(near).retain(|id| *id != entry.id);
        }
    }

    /// Notes whether the node on a VM can be reached.
    pub fn set_reachable(&mut self, vm: IpAddr, reachable: bool) {
        if reachable {
            self.down.remove(&vm);
        } else {
            self.down.insert(vm);
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

    /// Chooses a target for a call: none of `tried`.
    pub fn pick(
        &mut self,
        now: ClockTime,
        call: &CallParams,
        tried: &[Arc<str>],
    ) -> Option<PickedTarget> {
        let targets = self.services.get(&call.service)?;
        let offset = self.random.random::<u32>() as usize;
        let near = self.sample(now, call, tried, &targets.near, offset);
        let limit = near_limit(now, call);
        let stays = near.best.as_ref().is_some_and(|(time, _)| *time <= limit);
        let far = match stays {
            true => SampleResult::default(),
            false => self.sample(now, call, tried, &targets.far, offset),
        };
        let (near_usable, far_usable) = (near.usable, far.usable);
        let (id, is_remote) = better_place(now, call, near, far)?;
        let alternatives = if near_usable > usize::from(!is_remote) {
            Alternatives::Local
        } else if (stays && !targets.far.is_empty()) || far_usable > usize::from(is_remote) {
            Alternatives::Remote
        } else {
            Alternatives::None
        };
        let entry = &self.records.get(&id)?.entry;
        Some(PickedTarget {
            vm: entry.address.ip(),
            slots: entry.slots,
            is_remote,
            alternatives,
            id,
        })
    }

    /// Looks at up to [`SAMPLE`] of the targets `ids`, from a random one on.
    fn sample(
        &self,
        now: ClockTime,
        call: &CallParams,
        tried: &[Arc<str>],
        ids: &[Arc<str>],
        offset: usize,
    ) -> SampleResult {
        let mut random = Pcg32::seed_from_u64(offset as u64);
        let usual = self.route_times.get(&call.route).copied().unwrap_or(FIRST_SERVICE_MS);
        let (first, second) = ids.split_at(offset % ids.len().max(1));
        let live = second.iter().chain(first).filter_map(|id| {
            let record = self.records.get(id)?;
            let live = record.is_usable(now) && !self.down.contains(&record.entry.address.ip());
            live.then_some((id, record))
        });
        let mut result = SampleResult::default();
        for (id, record) in live.take(SAMPLE) {
            result.live += 1;
            if tried.contains(id) {
                continue;
            }
            result.usable += 1;
            let mut time = record.expected_time(now, call.priority, usual);
            time += random.random::<f64>() * record.spread(now, usual);
            if call.body_bytes as u64 >= LARGE_BODY_BYTES {
                time += record.intake_time(now);
            }
            if result.best.as_ref().is_none_or(|(least, _)| time < *least) {
                result.best = Some((time, id.clone()));
            }
        }
        result
    }

    /// Counts a call that is sent.
    pub fn record_sent(&mut self, id: &str, rank: u8) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight += 1;
            record.sent_since.add(rank, 1);
        }
    }

    /// Counts a call that has ended.
    pub fn record_end(&mut self, now: ClockTime, id: &str, signal: TargetFeedback) {
        let Some(record) = self.records.get_mut(id) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        let failed = match signal {
            TargetFeedback::Served => 0.0,
            TargetFeedback::Failed => 1.0,
            TargetFeedback::Refused | TargetFeedback::Cancelled => return,
            TargetFeedback::Leaving => {
                record.avoid_until = now + LEAVING_SPAN;
                return;
            }
            TargetFeedback::Replaced => {
                record.avoid_until = now + GONE_SPAN;
                return;
            }
        };
        let share = record.failure_share(now);
        record.failures = share + (failed - share) * FAILURE_WEIGHT;
        record.failed_at = now;
    }

    /// Takes over the load that a target's node reported after a call of `route`.
    pub fn record_load(&mut self, now: ClockTime, id: &str, route: &Arc<str>, load: SlotLoad) {
        let Some(record) = self.records.get_mut(id) else { return };
        record.report = load;
        record.reported = Some(now);
        record.sent_since = PriorityCounts::new();
        if let Some(time) = load.route_service_time
            && now >= record.warm_at
        {
            let time = time.millis().max(1) as f64;
            let usual = self.route_times.entry(route.clone()).or_insert(time);
            *usual += (time - *usual) * ROUTE_WEIGHT;
            record.note_slowness(now, time / *usual);
        }
    }
}

impl TargetRecord {
    fn is_usable(&self, now: ClockTime) -> bool {
        self.entry.state == TargetState::Ready && self.avoid_until <= now
    }

    /// Expected time in ms to the answer to a call of `rank` that usually takes `usual`, with the surcharge
    /// for failures. Less urgent calls that wait do not count, since it passes them.
    fn expected_time(&self, now: ClockTime, rank: u8, usual: f64) -> f64 {
        let fresh = self.reported.filter(|reported| now.since(*reported) < REPORT_SPAN);
        let service = usual * self.slowness(now);
        let mut load = self.in_flight;
        let mut ahead = service;
        if fresh.is_some() {
            let queued = self.report.queued.at_least(rank) + self.sent_since.at_least(rank);
            load = self.report.running + queued;
            ahead = self.report.service_time.millis().max(1) as f64;
        }
        let slots = f64::from(self.entry.slots.max(1));
        let excess = (f64::from(load) + 1.0 - slots).max(0.0);
        // Targets slow down when they are nearly full, so an emptier one is a little better.
        let crowding = f64::from(load) / slots * 0.15 * service;
        service + crowding + excess * ahead / slots + self.failure_share(now) * FAILURE_RUNS * usual
    }

    fn note_slowness(&mut self, now: ClockTime, ratio: f64) {
        let known = self.slowness(now);
        let (least, most) = SLOWNESS_BOUNDS;
        self.slowness = known + (ratio.clamp(least, most) - known) * SLOWNESS_WEIGHT;
        self.slowness_at = now;
    }

    /// The known slowness, which fades towards the usual one.
    fn slowness(&self, now: ClockTime) -> f64 {
        1.0 + (self.slowness - 1.0) * faded(now.since(self.slowness_at), SLOWNESS_HALF_LIFE)
    }

    /// Time in ms until the link of the target's VM is free, as far as it is known.
    fn intake_time(&self, now: ClockTime) -> f64 {
        let fresh = self.reported.filter(|reported| now.since(*reported) < REPORT_SPAN);
        fresh.map_or(0.0, |_| self.report.ingress_delay.millis() as f64)
    }

    /// Size of the random part in ms: the less is known of the load, the larger.
    fn spread(&self, now: ClockTime, usual: f64) -> f64 {
        let age = self.reported.map_or(REPORT_SPAN, |reported| now.since(reported));
        let unknown = age.millis().min(REPORT_SPAN.millis()) as f64 / REPORT_SPAN.millis() as f64;
        JITTER_MS + unknown * UNKNOWN_SPREAD * usual
    }

    fn failure_share(&self, now: ClockTime) -> f64 {
        self.failures * faded(now.since(self.failed_at), FAILURE_HALF_LIFE)
    }
}

/// Time in ms within which a call has to be expected to end in its own data centre, so that it stays there.
/// A long body crosses only if it would come too late otherwise, as links between data centres are costly.
fn near_limit(now: ClockTime, call: &CallParams) -> f64 {
    match call.body_bytes as u64 >= LARGE_BODY_BYTES {
        true => call.deadline.since(now).millis() as f64,
        false => call.soft_deadline.since(now).millis() as f64 * NEAR_SHARE,
    }
}

/// The better one of the best targets of the own data centre and of the others, and whether it is one of
/// the others.
fn better_place(
    now: ClockTime,
    call: &CallParams,
    near: SampleResult,
    far: SampleResult,
) -> Option<(Arc<str>, bool)> {
    match (near.best, far.best) {
        (Some((near_time, _)), Some((time, id)))
            if time + CROSSING_MS <= near_limit(now, call).min(near_time) =>
        {
            Some((id, true))
        }
        (Some((_, id)), _) => Some((id, false)),
        // A call that was refused in its own data centre may well be refused elsewhere too, so it
        // crosses only for its aim.
        (None, Some((time, id))) => {
            let in_time = time + CROSSING_MS <= call.soft_deadline.since(now).millis() as f64;
            (near.live == 0 || in_time).then_some((id, true))
        }
        (None, None) => None,
    }
}

/// What is left of a value after `age`, as a share.
fn faded(age: ClockSpan, half_life: ClockSpan) -> f64 {
    0.5f64.powf(age.millis() as f64 / half_life.millis() as f64)
}
