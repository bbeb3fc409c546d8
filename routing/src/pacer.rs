//! Paces the calls to a target that limits their rate or is cold.
//!
//! A target in need states how many calls it accepts from all callers together, and a cold one accepts
//! as many as the operators configured for its service. Every call to it passes through the node beside
//! it, so pacing there holds for the whole fleet.

use std::collections::VecDeque;

use fescuestack_core::{ClockSpan, ClockTime};

/// Lowest rate at which a limited target is called, in calls per second. Only a response can tell
/// that the limit has ended.
const MIN_RATE: f64 = 0.5;

/// Time whose calls may start at once after a pause, in ms. A restarted node grants it once more.
const BURST_MS: f64 = 500.0;

/// Time over which calls to a cold target are counted: a second, and the error of a clock of whole
/// milliseconds and of the time that a call takes to the target.
const COUNTED_TIME: ClockSpan = ClockSpan::new(1_050);

/// Number of calls in the first counted time after a limit on cold targets became known. Calls may
/// have been sent just before, by a former process of the node.
const FIRST_CALLS: u32 = 2;

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

/// Limit on calls to a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Number of calls in any second.
    pub calls_per_second: u32,
    /// Time until which the limit holds. Calls are counted before and after it, too.
    pub until: ClockTime,
}

impl ColdLimit {
    fn rate(self) -> RateLimit {
        RateLimit(u64::from(self.calls_per_second) * 1_000)
    }
}

/// Paces calls by the generic cell rate algorithm, and counts those to targets that may be cold.
#[derive(Debug, Default)]
pub(crate) struct CallPacer {
    stated: Option<RateLimit>,
    cold: Option<ColdLimit>,
    /// Time in ms at which the calls started so far are paid for at the rate of the limit.
    paid_at_ms: f64,
    /// Times of the calls in the last [`COUNTED_TIME`], in order. Empty without a limit on cold targets.
    sent: VecDeque<ClockTime>,
}

impl CallPacer {
    /// Returns the lower one of the limits that hold.
    pub(crate) fn limit(&self, now: ClockTime) -> Option<RateLimit> {
        let cold = self.cold_limit(now).map(ColdLimit::rate);
        match (self.stated, cold) {
            (Some(stated), Some(cold)) if cold.0 < stated.0 => Some(cold),
            (stated, cold) => stated.or(cold),
        }
    }

    fn cold_limit(&self, now: ClockTime) -> Option<ColdLimit> {
        self.cold.filter(|cold| now < cold.until)
    }

    /// Sets the limit that the target states.
    pub(crate) fn set_stated(&mut self, limit: Option<RateLimit>) {
        self.stated = limit;
    }

    /// Sets the limit on a cold target. Calls are counted as long as there is one, even if its end has
    /// passed, since the target may turn cold again.
    pub(crate) fn set_cold(&mut self, now: ClockTime, cold: Option<ColdLimit>) {
        match (self.cold, cold) {
            (None, Some(cold)) => {
                let unknown = cold.calls_per_second.saturating_sub(FIRST_CALLS);
                self.sent.extend((0..unknown).map(|_| now));
            }
            (_, None) => self.sent = VecDeque::new(),
            _ => (),
        }
        self.cold = cold;
    }

    /// Forgets the limit that the target stated, but not the calls, which reached the same address.
    pub(crate) fn reset(&mut self) {
        self.stated = None;
        self.paid_at_ms = 0.0;
    }

    /// Time in ms until the next call may start.
    pub(crate) fn delay(&self, now: ClockTime) -> f64 {
        let Some(limit) = self.limit(now) else { return 0.0 };
        let burst_ms = (BURST_MS - limit.interval_ms()).max(0.0);
        let paid_in_ms = (self.paid_at_ms - burst_ms - now.millis() as f64).max(0.0);
        paid_in_ms.max(self.counted_delay(now))
    }

    /// Time in ms until the calls in the last [`COUNTED_TIME`] are fewer than a cold target accepts, or
    /// until it is warm.
    fn counted_delay(&self, now: ClockTime) -> f64 {
        let Some(cold) = self.cold_limit(now) else { return 0.0 };
        let count = cold.calls_per_second.max(1) as usize;
        let Some(index) = self.sent.len().checked_sub(count) else { return 0.0 };
        let free_at = (self.sent[index] + COUNTED_TIME).min(cold.until);
        free_at.since(now).millis() as f64
    }

    pub(crate) fn record_start(&mut self, now: ClockTime) {
        if let Some(limit) = self.limit(now) {
            self.paid_at_ms = self.paid_at_ms.max(now.millis() as f64) + limit.interval_ms();
        }
        if self.cold.is_some() {
            while self.sent.front().is_some_and(|at| now.since(*at) >= COUNTED_TIME) {
                self.sent.pop_front();
            }
            self.sent.push_back(now);
        }
    }

    /// Records that a call started at `started_at` is sent to the target only now.
    pub(crate) fn record_sent(&mut self, now: ClockTime, started_at: ClockTime) {
        if self.cold.is_none() || started_at == now {
            return;
        }
        self.record_not_sent(started_at);
        self.sent.push_back(now);
    }

    /// Records that a call started at `started_at` is not sent.
    pub(crate) fn record_not_sent(&mut self, started_at: ClockTime) {
        if let Some(index) = self.sent.iter().position(|at| *at == started_at) {
            self.sent.remove(index);
        }
    }
}
