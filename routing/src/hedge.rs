//! Decides whether a slow call is sent to a second target while the first one still runs it.
//!
//! Answers single slow runs and targets that turned slow, which set the tail of the response times.
//! A second request is extra load, so that it is sent only while the service has room: queues,
//! refusals, rate limits and cold targets hold it back, and it is paid for from the budget of retries,
//! after them.

use std::collections::VecDeque;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

use crate::budget::RetryBudget;
use crate::picker::{PickedTarget, TargetPicker};
use crate::plan::{AttemptEnd, CallParams, CallPlan};
use crate::slots::SlotLoad;

/// Number of the latest runs of a route from which its response times are estimated.
const WINDOW_RUNS: usize = 256;

/// Number of runs before a route's calls get second requests. The quantiles in use need a few runs
/// beyond them.
const MIN_RUNS: usize = 128;

/// Number of runs after which the sorted response times are updated.
const SORT_INTERVAL: usize = 32;

/// Maximum number of routes whose response times are kept. Each takes 2 KB.
const MAX_ROUTES: usize = 512;

/// Fraction of a route's runs that must end before a call counts as slow. With a higher one the time
/// would be that of the slow runs themselves where one in twenty is slow; with a lower one most second
/// requests would not be needed.
const SLOW_QUANTILE: f64 = 0.9;

/// Shortest time after which a call counts as slow. A second request takes milliseconds to reach
/// another VM and to be cancelled there.
const MIN_SLOW_TIME: ClockSpan = ClockSpan::new(10);

/// Average fraction of a service's slots in use above which it gets no second requests. Above it,
/// random bursts of calls already fill single targets.
const MAX_USAGE: f64 = 0.75;

/// Weight of the latest report in the average usage of a service's slots.
const USAGE_WEIGHT: f64 = 0.02;

/// Fraction of the first target's expected remaining time within which the second target must be
/// expected to answer. The ratings of targets are averages, and both runs use up capacity.
const CLEARLY_FASTER: f64 = 0.7;

/// Time after a refusal during which the service counts as short of capacity. Refused callers return
/// within 2 s.
const SHORTAGE_TIME: ClockSpan = ClockSpan::new(3_000);

/// Shortest time between two decisions on the same call.
const MIN_CHECK_INTERVAL: ClockSpan = ClockSpan::new(10);

/// Upper bound of the second requests that a node saves up for a service. A target that turns slow
/// makes several calls slow at once; more would come in one burst after a quiet time.
const MAX_SAVED_REQUESTS: f64 = 4.0;

/// Why a slow call is not sent to a second target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HedgeHold {
    /// The request may run only once, or at no more targets.
    NotAllowed,
    /// Targets have crashed while they ran the request.
    Suspected,
    /// Too few runs of the route were observed.
    Unobserved,
    /// The call has not waited longer than most runs of its route.
    NotSlow,
    /// The second target could not answer before the deadline.
    TooLate,
    /// Calls to the service were refused recently.
    Shortage,
    /// The operators' limit on second requests is used up.
    Limit,
    /// The budget of retries is used up.
    Budget,
    /// Calls are queued at a target of the service.
    Queue,
    /// A target of the service limits the rate of its calls.
    RateLimit,
    /// A target of the service is cold.
    Cold,
    /// A data centre with targets of the service is evacuated.
    Evacuation,
    /// There is no second target, or only one in another data centre that would miss the soft
    /// deadline.
    NoTarget,
    /// The second target has no free slot, or most slots of the service are in use.
    Loaded,
    /// The second target is not expected to answer clearly before the first.
    NotFaster,
}

impl HedgeHold {
    /// Returns the label of the reason in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            HedgeHold::NotAllowed => "not allowed",
            HedgeHold::Suspected => "suspected",
            HedgeHold::Unobserved => "unobserved",
            HedgeHold::NotSlow => "not slow",
            HedgeHold::TooLate => "too late",
            HedgeHold::Shortage => "shortage",
            HedgeHold::Limit => "limit",
            HedgeHold::Budget => "budget",
            HedgeHold::Queue => "queue",
            HedgeHold::RateLimit => "rate limit",
            HedgeHold::Cold => "cold",
            HedgeHold::Evacuation => "evacuation",
            HedgeHold::NoTarget => "no target",
            HedgeHold::Loaded => "loaded",
            HedgeHold::NotFaster => "not faster",
        }
    }

    /// Whether the reason holds for as long as the call runs.
    const fn is_final(self) -> bool {
        matches!(self, HedgeHold::NotAllowed | HedgeHold::Suspected | HedgeHold::TooLate)
    }
}

/// A target for a second request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SecondTarget {
    /// The target.
    pub target: PickedTarget,
    /// Expected time to its answer.
    pub expected: ClockSpan,
}

/// Decision on a call that one target runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send the request to a second target. The budget has been charged.
    Send {
        /// The second target.
        second: SecondTarget,
        /// Expected time to the answer of the first target.
        remaining: ClockSpan,
        /// Time within which most runs of the route end.
        delay: ClockSpan,
    },
    /// Do not send it now.
    Hold {
        /// Why not.
        reason: HedgeHold,
        /// Time after which to decide again; `None` if nothing can change.
        check_after: Option<ClockSpan>,
    },
}

/// State of the call to decide on.
#[derive(Debug, Clone, Copy)]
pub struct SlowCall<'a> {
    /// The call's plan, whose current attempt is running.
    pub plan: &'a CallPlan,
    /// Time since the current attempt was sent.
    pub elapsed: ClockSpan,
    /// Whether the request is suspected of crashing targets.
    pub is_suspected: bool,
}

/// Response times of the latest runs of a route.
#[derive(Debug, Default)]
struct RouteTimes {
    /// Latest runs in ms, the newest last.
    recent: VecDeque<u32>,
    /// The same, sorted, as of the last update.
    sorted: Vec<u32>,
    /// Runs recorded since then.
    unsorted_runs: usize,
    updated_at: ClockTime,
}

impl RouteTimes {
    fn record(&mut self, now: ClockTime, time: ClockSpan) {
        if self.recent.len() == WINDOW_RUNS {
            self.recent.pop_front();
        }
        self.recent.push_back(u32::try_from(time.millis()).unwrap_or(u32::MAX));
        self.updated_at = now;
        self.unsorted_runs += 1;
        if self.recent.len() >= MIN_RUNS && self.unsorted_runs >= SORT_INTERVAL {
            self.unsorted_runs = 0;
            self.sorted.clear();
            self.sorted.extend(&self.recent);
            self.sorted.sort_unstable();
        }
    }

    /// Returns the time within which a fraction `quantile` of the runs end, if enough were observed.
    fn quantile(&self, quantile: f64) -> Option<ClockSpan> {
        let index = (self.sorted.len() as f64 * quantile) as usize;
        let time = self.sorted.get(index.min(self.sorted.len().checked_sub(1)?))?;
        Some(ClockSpan::new((*time).into()))
    }

    /// Returns the mean remaining time of runs that have taken `elapsed` so far. A run that exceeds
    /// all observed ones is assumed to take as long again.
    fn remaining(&self, elapsed: ClockSpan) -> ClockSpan {
        let first = self.sorted.partition_point(|time| u64::from(*time) <= elapsed.millis());
        let longer = &self.sorted[first..];
        if longer.is_empty() {
            return elapsed;
        }
        let total: u64 = longer.iter().map(|time| u64::from(*time) - elapsed.millis()).sum();
        ClockSpan::new(total / longer.len() as u64)
    }
}

/// Second requests of one service.
#[derive(Debug)]
struct ServiceHedges {
    /// Second requests that the operators' limit allows now.
    saved: f64,
    refused_at: Option<ClockTime>,
    /// Average fraction of the slots in use at the targets that reported.
    usage: f64,
}

impl Default for ServiceHedges {
    /// Nothing is saved up, and the service counts as loaded until reports say otherwise.
    fn default() -> ServiceHedges {
        ServiceHedges { saved: 0.0, refused_at: None, usage: 1.0 }
    }
}

/// Operators' limit on second requests, and what a node has observed that decides on them.
#[derive(Debug)]
pub struct HedgeBook {
    max_ratio: f64,
    routes: FxHashMap<Arc<str>, RouteTimes>,
    services: FxHashMap<Arc<str>, ServiceHedges>,
    random: Pcg32,
}

impl HedgeBook {
    /// Creates a book that allows second requests for a fraction `max_ratio` of a service's calls.
    pub fn new(max_ratio: f64, seed: u64) -> HedgeBook {
        HedgeBook {
            max_ratio,
            routes: FxHashMap::default(),
            services: FxHashMap::default(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Records a request that is sent to its first target.
    pub fn record_call(&mut self, service: &Arc<str>) {
        let hedges = self.services.entry(service.clone()).or_default();
        hedges.saved = (hedges.saved + self.max_ratio).min(MAX_SAVED_REQUESTS);
    }

    /// Records the load that a target with `slots` slots reported.
    pub fn record_load(&mut self, service: &Arc<str>, slots: u32, load: SlotLoad) {
        let hedges = self.services.entry(service.clone()).or_default();
        let usage = f64::from(load.running + load.queued.total()) / f64::from(slots.max(1));
        hedges.usage += (usage - hedges.usage) * USAGE_WEIGHT;
    }

    /// Records the end of an attempt that took `time`.
    pub fn record_end(
        &mut self,
        now: ClockTime,
        call: &CallParams,
        end: AttemptEnd,
        time: ClockSpan,
    ) {
        match end {
            AttemptEnd::Answered { failed: false } => {
                self.route_times(now, &call.route).record(now, time);
            }
            AttemptEnd::Refused { .. } | AttemptEnd::Rejected => {
                self.services.entry(call.service.clone()).or_default().refused_at = Some(now);
            }
            // A full target is no sign of a shortage: another one may have been the better choice.
            AttemptEnd::Busy
            | AttemptEnd::Answered { failed: true }
            | AttemptEnd::NotSent
            | AttemptEnd::Moved
            | AttemptEnd::Down
            | AttemptEnd::Lost
            | AttemptEnd::LinkLost => (),
        }
    }

    /// Records a run that was cancelled after `elapsed`, because the second target answered first. It
    /// counts with its expected end: if only fast runs were recorded, ever more would seem slow.
    pub fn record_cancelled(&mut self, now: ClockTime, route: &Arc<str>, elapsed: ClockSpan) {
        let times = self.route_times(now, route);
        let time = elapsed + times.remaining(elapsed);
        times.record(now, time);
    }

    fn route_times(&mut self, now: ClockTime, route: &Arc<str>) -> &mut RouteTimes {
        if self.routes.len() >= MAX_ROUTES
            && !self.routes.contains_key(route)
            && let Some(oldest) = self.routes.iter().min_by_key(|(_, times)| times.updated_at)
        {
            let oldest = oldest.0.clone();
            self.routes.remove(&oldest);
        }
        let times = self.routes.entry(route.clone()).or_default();
        times.updated_at = now;
        times
    }

    /// Returns the time within which most runs of a route end, if enough were observed.
    pub fn delay(&self, route: &str) -> Option<ClockSpan> {
        self.routes.get(route)?.quantile(SLOW_QUANTILE).map(|time| time.max(MIN_SLOW_TIME))
    }

    /// Decides on a call that one target runs. Charges `budget` if the request is to be sent.
    pub fn decide(
        &mut self,
        now: ClockTime,
        slow: SlowCall<'_>,
        picker: &mut TargetPicker,
        budget: &mut RetryBudget,
    ) -> HedgeDecision {
        match self.evaluate(now, slow, picker, budget) {
            Ok(decision) => decision,
            Err(reason) => {
                let interval = ClockSpan::new(slow.elapsed.millis() / 2).max(MIN_CHECK_INTERVAL);
                let check_after = (!reason.is_final()).then_some(match reason {
                    HedgeHold::NotSlow => self
                        .delay(&slow.plan.call().route)
                        .map_or(interval, |delay| delay.less(slow.elapsed))
                        .max(MIN_CHECK_INTERVAL),
                    _ => interval,
                });
                HedgeDecision::Hold { reason, check_after }
            }
        }
    }

    fn evaluate(
        &mut self,
        now: ClockTime,
        slow: SlowCall<'_>,
        picker: &mut TargetPicker,
        budget: &mut RetryBudget,
    ) -> Result<HedgeDecision, HedgeHold> {
        let call = slow.plan.call();
        let (first, tried) = match slow.plan.targets() {
            Some(targets) if slow.plan.may_hedge() => targets,
            _ => return Err(HedgeHold::NotAllowed),
        };
        if slow.is_suspected {
            return Err(HedgeHold::Suspected);
        }
        let delay = self.delay(&call.route).ok_or(HedgeHold::Unobserved)?;
        if slow.elapsed < delay {
            return Err(HedgeHold::NotSlow);
        }
        let hedges = self.services.entry(call.service.clone()).or_default();
        if hedges.refused_at.is_some_and(|at| now.since(at) < SHORTAGE_TIME) {
            return Err(HedgeHold::Shortage);
        }
        if hedges.usage > MAX_USAGE {
            return Err(HedgeHold::Loaded);
        }
        if hedges.saved < 1.0 {
            return Err(HedgeHold::Limit);
        }
        if !budget.can_hedge() {
            return Err(HedgeHold::Budget);
        }
        if let Some(reason) = picker.hedge_hold(now, &call.service) {
            return Err(reason);
        }
        let mut excluded = tried.to_vec();
        excluded.push(first.id.clone());
        let second = picker.second_target(now, call, &excluded)?;
        if second.expected > call.deadline.since(now) {
            return Err(HedgeHold::TooLate);
        }
        let remaining = self
            .routes
            .get(&call.route)
            .map_or(slow.elapsed, |times| times.remaining(slow.elapsed));
        if second.expected.millis() as f64 > remaining.millis() as f64 * CLEARLY_FASTER {
            return Err(HedgeHold::NotFaster);
        }
        if !budget.try_spend_hedge(self.random.random()) {
            return Err(HedgeHold::Budget);
        }
        hedges.saved -= 1.0;
        Ok(HedgeDecision::Send { second, remaining, delay })
    }
}
