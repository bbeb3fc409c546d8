//! Calls that runs of a target make, as far as its node can tell.
//!
//! A run that waits for a call keeps its slot, and fails if the call fails. The node therefore treats
//! calls of runs with the priority of their run. Nothing in such a call names its run, but it
//! expires at the deadline of the run. The node knows the deadlines of all runs of its target, and
//! learns which routes are called by runs from how often the deadlines agree. Agreement by chance is
//! estimated from deadlines that are shifted, so that routes of clients are not mistaken even if many
//! runs are in progress. A target may limit its calls to less time than the run has. Calls with the
//! longest time of their route are therefore learned from separately: only the others have to agree.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

/// How much earlier than its run's deadline a call may appear to expire. Times are rounded to ms.
const EARLY_TOLERANCE: ClockSpan = ClockSpan::new(3);

/// How much later it may appear to expire. The run and its call are both forwarded between the two
/// measurements.
const LATE_TOLERANCE: ClockSpan = ClockSpan::new(25);

/// Shift of the deadlines from which chance agreement is estimated. It is a multiple of the
/// tolerance, and short compared with the deadlines of clients.
const CHANCE_SHIFT: ClockSpan = ClockSpan::new(120);

/// Weight of the latest arrival in the agreement of a route. Routes are learned within about twenty
/// calls.
const AGREEMENT_WEIGHT: f64 = 0.04;

/// Largest difference to the longest time of a route's calls with which a call counts as limited to it.
const LIMIT_TOLERANCE: ClockSpan = ClockSpan::new(3);

/// Fraction of the difference by which the longest time of a route's calls falls with each shorter one.
const LIMIT_DECAY: f64 = 0.002;

/// Agreement beyond chance from which a route counts as called by runs. Routes of clients have 0,
/// routes that only runs call have 1 less the calls that are delayed.
const MIN_AGREEMENT: f64 = 0.5;

/// Least share of calls without chance agreement from which the agreement can be told.
const MIN_TELLING_SHARE: f64 = 0.1;

/// Maximum number of runs that are tracked. Targets run fewer calls.
const MAX_RUNS: usize = 512;

/// Maximum number of routes that are tracked, both of runs and of their calls.
const MAX_ROUTES: usize = 64;

/// Maximum number of routes that are tracked as called by runs of one route.
const MAX_CALLED_ROUTES: usize = 8;

/// Half-life of the counts of runs and calls. Runs change with the versions of the target.
const COUNT_HALF_LIFE: ClockSpan = ClockSpan::new(10_000);

/// Weight of the latest call in the average time of a route's calls.
const CALL_TIME_WEIGHT: f64 = 0.1;

/// Identifies a run at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId(u64);

/// The run that makes a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallingRun {
    /// Route of the run.
    pub route: Arc<str>,
    /// Priority of the run.
    pub priority: u8,
}

/// What the runs of a route need from another route.
#[derive(Debug, Clone, PartialEq)]
pub struct CallNeed {
    /// The called route.
    pub route: Arc<str>,
    /// Average number of calls of a run.
    pub calls_per_run: f64,
    /// Average time of a call in ms, including calls that were refused.
    pub call_time_ms: f64,
}

#[derive(Debug)]
struct ActiveRun {
    id: RunId,
    route: Arc<str>,
    priority: u8,
    deadline: ClockTime,
}

/// What is known of the calls of a route.
#[derive(Debug)]
struct RouteCalls {
    /// Longest time in ms that calls of the route have.
    limit_ms: f64,
    /// Agreement of the calls that have this time, and of the others.
    limited: RouteAgreement,
    unlimited: RouteAgreement,
    seen_at: ClockTime,
}

impl RouteCalls {
    fn new(now: ClockTime) -> RouteCalls {
        let (limited, unlimited) = Default::default();
        RouteCalls { limit_ms: 0.0, limited, unlimited, seen_at: now }
    }

    /// Returns whether a call with `left` to its deadline is limited to the longest time.
    fn record_time(&mut self, now: ClockTime, left: ClockSpan) -> bool {
        self.seen_at = now;
        let left_ms = left.millis() as f64;
        if left_ms >= self.limit_ms {
            self.limit_ms = left_ms;
        }
        let is_limited = left_ms + LIMIT_TOLERANCE.millis() as f64 >= self.limit_ms;
        self.limit_ms -= (self.limit_ms - left_ms) * LIMIT_DECAY;
        is_limited
    }

    fn are_of_runs(&self) -> bool {
        self.limited.is_beyond_chance() || self.unlimited.is_beyond_chance()
    }
}

/// How often the deadlines of a route's calls agree with those of runs.
#[derive(Debug, Default)]
struct RouteAgreement {
    /// Share of calls that agree.
    agreeing: f64,
    /// Share of calls that agree by chance.
    by_chance: f64,
}

impl RouteAgreement {
    fn record(&mut self, agrees: bool, chance: f64) {
        self.agreeing += (f64::from(u8::from(agrees)) - self.agreeing) * AGREEMENT_WEIGHT;
        self.by_chance += (chance - self.by_chance) * AGREEMENT_WEIGHT;
    }

    fn is_beyond_chance(&self) -> bool {
        let telling = 1.0 - self.by_chance;
        telling >= MIN_TELLING_SHARE && self.agreeing - self.by_chance >= MIN_AGREEMENT * telling
    }
}

/// Runs and calls of a route with runs, as exponentially decaying counts.
#[derive(Debug)]
struct RunningRoute {
    runs: f64,
    called: Vec<CalledRoute>,
    updated_at: ClockTime,
}

#[derive(Debug)]
struct CalledRoute {
    route: Arc<str>,
    calls: f64,
    time_ms: f64,
}

impl RunningRoute {
    /// Ages the counts up to `now`.
    fn age(&mut self, now: ClockTime) {
        let age = now.since(self.updated_at).millis() as f64;
        let left = 0.5f64.powf(age / COUNT_HALF_LIFE.millis() as f64);
        self.runs *= left;
        for called in &mut self.called {
            called.calls *= left;
        }
        self.updated_at = now;
    }

    fn called(&mut self, route: &Arc<str>) -> &mut CalledRoute {
        let position = self.called.iter().position(|called| called.route == *route);
        let index = position.unwrap_or_else(|| {
            if self.called.len() >= MAX_CALLED_ROUTES {
                let least = (0..self.called.len())
                    .min_by(|a, b| self.called[*a].calls.total_cmp(&self.called[*b].calls));
                self.called.swap_remove(least.unwrap_or(0));
            }
            self.called.push(CalledRoute { route: route.clone(), calls: 0.0, time_ms: 0.0 });
            self.called.len() - 1
        });
        &mut self.called[index]
    }
}

/// Learns which routes the runs of a target call.
#[derive(Debug, Default)]
pub struct CallProfile {
    active: Vec<ActiveRun>,
    arrivals: FxHashMap<Arc<str>, RouteCalls>,
    routes: FxHashMap<Arc<str>, RunningRoute>,
    last_run: u64,
}

impl CallProfile {
    /// Creates a profile that knows of no runs.
    pub fn new() -> CallProfile {
        CallProfile::default()
    }

    /// Records the start of a run that expires at `deadline`.
    pub fn begin_run(
        &mut self,
        now: ClockTime,
        route: &Arc<str>,
        priority: u8,
        deadline: ClockTime,
    ) -> RunId {
        self.last_run += 1;
        let id = RunId(self.last_run);
        if self.active.len() < MAX_RUNS {
            self.active.push(ActiveRun { id, route: route.clone(), priority, deadline });
        }
        self.running_route(now, route).runs += 1.0;
        id
    }

    /// Records the end of a run.
    pub fn end_run(&mut self, id: RunId) {
        self.active.retain(|run| run.id != id);
    }

    /// Records a request that arrives from this VM, and returns the run that makes it. Returns `None`
    /// if it comes from a client, or as long as that is not known.
    pub fn record_arrival(
        &mut self,
        now: ClockTime,
        route: &Arc<str>,
        deadline: ClockTime,
    ) -> Option<CallingRun> {
        if self.active.is_empty() && !self.arrivals.contains_key(route) {
            return None;
        }
        let calling_run =
            |run: &ActiveRun| CallingRun { route: run.route.clone(), priority: run.priority };
        let agreeing = self.agreeing_run(deadline).map(calling_run);
        let limited_run = self.outlasting_run(route, deadline).map(calling_run);
        let shifted = [deadline + CHANCE_SHIFT, deadline - CHANCE_SHIFT];
        let by_chance = shifted.iter().filter(|at| self.agreeing_run(**at).is_some()).count();
        if !self.arrivals.contains_key(route) {
            remove_oldest(&mut self.arrivals, |calls| calls.seen_at);
        }
        let calls = self.arrivals.entry(route.clone()).or_insert_with(|| RouteCalls::new(now));
        let is_limited = calls.record_time(now, deadline.since(now));
        let agreement = if is_limited { &mut calls.limited } else { &mut calls.unlimited };
        agreement.record(agreeing.is_some(), by_chance as f64 / shifted.len() as f64);
        if !calls.are_of_runs() {
            return None;
        }
        let calling = agreeing.or(limited_run.filter(|_| is_limited))?;
        self.running_route(now, &calling.route).called(route).calls += 1.0;
        Some(calling)
    }

    /// Records the end of a call that a run has made.
    pub fn record_call_time(
        &mut self,
        now: ClockTime,
        run: &CallingRun,
        route: &Arc<str>,
        time: ClockSpan,
    ) {
        let called = self.running_route(now, &run.route).called(route);
        let time_ms = time.millis() as f64;
        match called.time_ms {
            0.0 => called.time_ms = time_ms,
            _ => called.time_ms += (time_ms - called.time_ms) * CALL_TIME_WEIGHT,
        }
    }

    /// Returns what the runs of `route` need from other routes.
    pub fn needs(&self, route: &str) -> Vec<CallNeed> {
        let Some(running) = self.routes.get(route) else { return Vec::new() };
        let need = |called: &CalledRoute| CallNeed {
            route: called.route.clone(),
            calls_per_run: called.calls / running.runs.max(1.0),
            call_time_ms: called.time_ms,
        };
        running.called.iter().map(need).collect()
    }

    /// Returns the run with the deadline that is closest to that of a call, within the tolerance.
    fn agreeing_run(&self, deadline: ClockTime) -> Option<&ActiveRun> {
        let agreeing = self.active.iter().filter(|run| {
            run.deadline <= deadline + EARLY_TOLERANCE && deadline <= run.deadline + LATE_TOLERANCE
        });
        agreeing.min_by_key(|run| {
            deadline.since(run.deadline).millis() + run.deadline.since(deadline).millis()
        })
    }

    /// Returns a run that does not end before a call of `called`, of the route that calls it most.
    fn outlasting_run(&self, called: &Arc<str>, deadline: ClockTime) -> Option<&ActiveRun> {
        let calls = |run: &ActiveRun| {
            let routes = self.routes.get(&run.route).map_or(&[][..], |running| &running.called);
            routes.iter().find(|known| known.route == *called).map_or(0.0, |known| known.calls)
        };
        let outlasting = self.active.iter().filter(|run| run.deadline >= deadline);
        outlasting
            .map(|run| (calls(run), run))
            .filter(|(calls, _)| *calls > 0.0)
            .max_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, run)| run)
    }

    fn running_route(&mut self, now: ClockTime, route: &Arc<str>) -> &mut RunningRoute {
        if !self.routes.contains_key(route) {
            remove_oldest(&mut self.routes, |running| running.updated_at);
        }
        let running = self.routes.entry(route.clone()).or_insert(RunningRoute {
            runs: 0.0,
            called: Vec::new(),
            updated_at: now,
        });
        running.age(now);
        running
    }
}

/// Makes room for another route by removing the one that was seen the longest ago.
fn remove_oldest<T>(routes: &mut FxHashMap<Arc<str>, T>, seen_at: impl Fn(&T) -> ClockTime) {
    if routes.len() < MAX_ROUTES {
        return;
    }
    let oldest = routes.iter().min_by_key(|(_, route)| seen_at(route));
    if let Some(route) = oldest.map(|(route, _)| route.clone()) {
        routes.remove(&route);
    }
}
