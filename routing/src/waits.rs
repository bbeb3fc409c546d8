//! Estimates how long callers have already waited when a call arrives.
//!
//! A refused caller retries with less time left than it had at first, so its answer is due earlier
//! than that of a new call. This matters in an overload in which every second call has been refused
//! before. If the waits were ignored, calls past their soft deadline would take the slots of calls
//! that could still meet theirs, and nearly all answers would be late.

use std::sync::Arc;

use fescuestack_core::ClockSpan;
use rustc_hash::FxHashMap;

/// Quantile of the remaining times that is tracked for each route.
const QUANTILE: f64 = 0.9;

/// Step of the tracked quantile, as a fraction of its value.
const STEP_FRACTION: f64 = 0.02;

/// Minimum remaining time of a new call, as a fraction of the tracked quantile. Callers differ in
/// their timeouts.
const NEW_CALL_MIN_FRACTION: f64 = 0.85;

/// Average remaining time of a new call, as a fraction of the tracked quantile.
const NEW_CALL_MEAN_FRACTION: f64 = 0.93;

/// Tracks the remaining times that callers of each route state.
#[derive(Debug, Default)]
pub struct CallerWaitEstimator {
    /// High quantile of the remaining times by route, in ms.
    typical_ms: FxHashMap<Arc<str>, f64>,
}

impl CallerWaitEstimator {
    /// Records a call of `route` whose caller waits for another `remaining`. Returns how long the
    /// caller has already waited, zero for a new call.
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
