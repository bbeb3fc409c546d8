//! Calls that runs of a target make, as far as its node can tell.
//!
//! A run that waits for a call keeps its slot, and fails if the call fails. The node therefore treats
//! calls of runs with the priority of their run. Nothing in such a call names its run, but it
//! expires at the deadline of the run. The node knows the deadlines of all runs of its target, and
//! learns which routes are called by runs from how often the deadlines agree. Agreement by chance is
//! estimated from deadlines that are shifted, so that routes of clients are not mistaken even if many
//! runs are in progress.

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

/// Weight of the latest arrival in the agreement of a route. Routes are learned within about forty
/// calls.
const AGREEMENT_WEIGHT: f64 = 0.02;

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

/// How often the deadlines of a route's calls agree with those of runs.
#[derive(Debug)]
struct RouteAgreement {
    /// Share of calls that agree.
    agreeing: f64,
    /// Share of calls that agree by chance.
    by_chance: f64,
    seen_at: ClockTime,
}

impl RouteAgreement {
    fn record(&mut self, now: ClockTime, agrees: bool, chance: f64) {
        self.agreeing += (f64::from(u8::from(agrees)) - self.agreeing) * AGREEMENT_WEIGHT;
        self.by_chance += (chance - self.by_chance) * AGREEMENT_WEIGHT;
        self.seen_at = now;
    }

    fn is_called_by_runs(&self) -> bool {
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
    agreements: FxHashMap<Arc<str>, RouteAgreement>,
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
        if self.active.is_empty() && !self.agreements.contains_key(route) {
            return None;
        }
        let run = self.agreeing_run(deadline);
        let calling =
            run.map(|run| CallingRun { route: run.route.clone(), priority: run.priority });
        let shifted = [deadline + CHANCE_SHIFT, deadline - CHANCE_SHIFT];
        let by_chance = shifted.iter().filter(|at| self.agreeing_run(**at).is_some()).count();
        if !self.agreements.contains_key(route) {
            remove_oldest(&mut self.agreements, |agreement| agreement.seen_at);
        }
        let agreement = self.agreements.entry(route.clone()).or_insert(RouteAgreement {
            agreeing: 0.0,
            by_chance: 0.0,
            seen_at: now,
        });
        agreement.record(now, calling.is_some(), by_chance as f64 / shifted.len() as f64);
        let calling = calling.filter(|_| agreement.is_called_by_runs())?;
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
