//! How long callers have waited already when a call arrives.
//!
//! A caller that was refused comes back with less time left than it had, so its answer is due earlier
//! than that of a new call. The load that this answers is an overload in which every second call has
//! been refused before: without it, calls whose aim has passed take the slots of those that could
//! still meet theirs, and nearly all are late.

use std::sync::Arc;

use fescuestack_core::ClockSpan;
use rustc_hash::FxHashMap;

/// Share of the calls of a route whose time left is not above the tracked one.
const QUANTILE: f64 = 0.9;

/// Step of the tracked time, as a share of it.
const STEP_FRACTION: f64 = 0.02;

/// Share of the tracked time that a new call has left at least, as callers differ in patience.
const NEW_CALL_MIN_FRACTION: f64 = 0.85;

/// Share of the tracked time that a new call has left on average.
const NEW_CALL_MEAN_FRACTION: f64 = 0.93;

/// What callers of each route usually say that they have left.
#[derive(Debug, Default)]
pub struct CallerWaitEstimator {
    /// A high quantile of the times left in ms.
    typical_ms: FxHashMap<Arc<str>, f64>,
}

impl CallerWaitEstimator {
    /// Notes a call of `route` whose caller has `left`, and returns how long it has waited already.
    /// Zero for a new call.
    pub fn estimate(&mut self, route: &Arc<str>, remaining: ClockSpan) -> ClockSpan {
        let remaining = remaining.millis() as f64;
        let Some(typical_ms) = self.typical_ms.get_mut(route) else {
            self.typical_ms.insert(route.clone(), remaining);
            return ClockSpan::ZERO;
        };
        let step = *typical_ms * STEP_FRACTION;
        *typical_ms +=
            if remaining > *typical_ms { step * QUANTILE } else { -step * (1.0 - QUANTILE) };
        if remaining >= *typical_ms * NEW_CALL_MIN_FRACTION {
            return ClockSpan::ZERO;
        }
        ClockSpan::new((*typical_ms * NEW_CALL_MEAN_FRACTION - remaining) as u64)
    }
}
