//! Rate that a target accepts.

/// Rate of calls that a target accepts, in calls per 1,000 seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit(u64);

impl RateLimit {
    /// Creates a limit of `per_second` calls per second. Returns `None` unless it is a finite number
    /// that is not negative.
    pub fn new(per_second: f64) -> Option<RateLimit> {
        (per_second.is_finite() && per_second >= 0.0)
            .then(|| RateLimit((per_second * 1_000.0) as u64))
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
}
