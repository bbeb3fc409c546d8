//! Limits the runs whose calls another service refuses.
//!
//! A run that fails because of a refused call has occupied a slot, and often that of other calls, for
//! nothing, and its client learns of it late. While calls of a route's runs are refused, the node
//! beside the target therefore runs fewer requests of the route at a time and refuses the others
//! before they run. The limit falls by a factor at a refusal and rises by a constant as calls are
//! served, so that nodes that know nothing of each other approach equal shares of what the called
//! service can do. One run is always allowed, from whose calls the node learns that there is room.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

/// Factor of the limit at a refused call.
const FALL_FACTOR: f64 = 0.7;

/// Rise of the limit while as many calls are served as it allows runs. With it, refusals of a few
/// calls in a hundred leave a target of 18 slots unlimited: most runs still succeed, and each that is
/// not started is a certain loss to its client.
const RISE: f64 = 4.0;

/// Least limit. With one run at a time, the node notices within a run's time that there is room.
const MIN_RUNS: f64 = 1.0;

/// Time after a fall in which further refusals do not lower the limit. Calls that runs make together
/// are refused together, which tells no more than one refusal.
const FALL_INTERVAL: ClockSpan = ClockSpan::new(50);

/// Time without refused calls after which a route is no longer limited. A shortage that ends while
/// no requests arrive would leave the limit in place.
const LIMIT_TTL: ClockSpan = ClockSpan::new(5_000);

/// Run time in ms that is assumed before the first measurement.
const DEFAULT_RUN: ClockSpan = ClockSpan::new(150);

/// Bounds of the delay after which a refused client is told to retry.
const RETRY_AFTER_BOUNDS: (ClockSpan, ClockSpan) = (ClockSpan::new(60), ClockSpan::new(2_000));

/// Maximum number of routes with a limit.
const MAX_ROUTES: usize = 64;

/// Limit of a route whose runs' calls have been refused.
#[derive(Debug)]
struct RouteLimit {
    runs: f64,
    fell_at: ClockTime,
    refused_at: ClockTime,
}

/// Admits requests to a target as far as the calls of their runs are served.
#[derive(Debug, Default)]
pub struct RunGate {
    /// Requests of each route that are queued or run at the target.
    admitted: FxHashMap<Arc<str>, u32>,
    limits: FxHashMap<Arc<str>, RouteLimit>,
}

impl RunGate {
    /// Creates a gate without limits.
    pub fn new() -> RunGate {
        RunGate::default()
    }

    /// Decides on a request of `route`, whose runs take `run_time` if that is known. Fails with the
    /// time after which a retry is likely to be admitted.
    pub fn admit(
        &mut self,
        now: ClockTime,
        route: &Arc<str>,
        run_time: Option<ClockSpan>,
    ) -> Result<(), ClockSpan> {
        let admitted = self.admitted.get(route).copied().unwrap_or(0);
        if let Some(limit) = self.limits.get(route) {
            if now.since(limit.refused_at) >= LIMIT_TTL {
                self.limits.remove(route);
            } else if f64::from(admitted) + 1.0 > limit.runs {
                // The runs beyond the limit have to end, then one run after the other.
                let ahead = f64::from(admitted) + 1.0 - limit.runs;
                let run_ms = run_time.unwrap_or(DEFAULT_RUN).millis() as f64;
                let wait = ClockSpan::new((run_ms * ahead / limit.runs) as u64);
                return Err(wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1));
            }
        }
        *self.admitted.entry(route.clone()).or_insert(0) += 1;
        Ok(())
    }

    /// Records that a request that was admitted has ended.
    pub fn release(&mut self, route: &str) {
        let Some(admitted) = self.admitted.get_mut(route) else { return };
        *admitted = admitted.saturating_sub(1);
        if *admitted == 0 {
            self.admitted.remove(route);
        }
    }

    /// Records that a call of a run of `route` was refused for lack of room. Returns the new limit if
    /// it has changed.
    pub fn record_refused(&mut self, now: ClockTime, route: &Arc<str>) -> Option<u32> {
        let admitted = f64::from(self.admitted.get(route).copied().unwrap_or(0));
        if !self.limits.contains_key(route) && self.limits.len() >= MAX_ROUTES {
            self.limits.retain(|_, limit| now.since(limit.refused_at) < LIMIT_TTL);
            if self.limits.len() >= MAX_ROUTES {
                return None;
            }
        }
        let limit = self.limits.entry(route.clone()).or_insert(RouteLimit {
            runs: admitted,
            fell_at: ClockTime::ZERO,
            refused_at: now,
        });
        limit.refused_at = now;
        if limit.fell_at != ClockTime::ZERO && now.since(limit.fell_at) < FALL_INTERVAL {
            return None;
        }
        limit.fell_at = now;
        limit.runs = (limit.runs.min(admitted) * FALL_FACTOR).max(MIN_RUNS);
        Some(limit.runs as u32)
    }

    /// Records that a call of a run of `route` was served. A route that may use all `slots` of the
    /// target is no longer limited.
    pub fn record_served(&mut self, route: &str, slots: u32) {
        let Some(limit) = self.limits.get_mut(route) else { return };
        limit.runs += RISE / limit.runs;
        if limit.runs >= f64::from(slots) {
            self.limits.remove(route);
        }
    }

    /// Returns the maximum number of concurrent runs of `route`, if it is limited.
    pub fn limit(&self, route: &str) -> Option<u32> {
        self.limits.get(route).map(|limit| limit.runs as u32)
    }
}
