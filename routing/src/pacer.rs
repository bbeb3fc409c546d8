//! Paces the calls to a target that limits their rate.
//!
//! A target in need states how many calls it accepts from all callers together. Every call to it passes
//! through the node beside it, so pacing there holds for the whole fleet.

use fescuestack_core::ClockTime;

/// Lowest rate at which a limited target is called, in calls per second. Only a response can tell
/// that the limit has ended.
const MIN_RATE: f64 = 0.5;

/// Time whose calls may start at once after a pause, in ms. A restarted node grants it once more.
const BURST_MS: f64 = 500.0;

/// Rate of calls that a target accepts, in calls per 1,000 seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit(u64);

impl RateLimit {
    /// Creates a limit of `per_second` calls per second. Returns `None` unless it is a finite number
    /// that is not negative.
    pub fn new(per_second: f64) -> Option<RateLimit> {
        (per_second.is_finite() && per_second >= 0.0)
            .then_some(RateLimit((per_second * 1_000.0) as u64))
    }

    /// Creates a limit from calls per 1,000 seconds.
    pub const fn from_millihertz(millihertz: u64) -> RateLimit {
        RateLimit(millihertz)
    }

    /// Returns the limit in calls per 1,000 seconds.
    pub const fn millihertz(self) -> u64 {
        self.0
    }

    /// Returns the limit in calls per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Time between two calls in ms.
    pub(crate) fn interval_ms(self) -> f64 {
        1_000.0 / self.per_second().max(MIN_RATE)
    }
}

/// Paces calls by the generic cell rate algorithm.
#[derive(Debug, Default)]
pub(crate) struct CallPacer {
    limit: Option<RateLimit>,
    /// Time in ms at which the calls started so far are paid for at the rate of the limit.
    paid_at_ms: f64,
}

impl CallPacer {
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    pub(crate) fn set_limit(&mut self, limit: Option<RateLimit>) {
        self.limit = limit;
    }

    /// Time in ms until the next call may start.
    pub(crate) fn delay(&self, now: ClockTime) -> f64 {
        let Some(limit) = self.limit else { return 0.0 };
        let burst_ms = (BURST_MS - limit.interval_ms()).max(0.0);
        (self.paid_at_ms - burst_ms - now.millis() as f64).max(0.0)
    }

    pub(crate) fn record_start(&mut self, now: ClockTime) {
        let Some(limit) = self.limit else { return };
        self.paid_at_ms = self.paid_at_ms.max(now.millis() as f64) + limit.interval_ms();
    }
}
