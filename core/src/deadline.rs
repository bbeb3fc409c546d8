//! How long a call may still take.

use crate::clock::{ClockSpan, ClockTime};
use crate::code::ResultCode;
use crate::config::CallerClass;
use crate::patience::PatienceZone;

/// Request header that carries the time left, in milliseconds, from node to node. Times of day are
/// not sent because the clocks of two VMs differ.
pub const LEFT_HEADER: &str = "fescuestack-left-ms";

/// Longest time left that is taken from a header, in milliseconds: one day.
const LEFT_LIMIT_MS: u64 = 24 * 60 * 60 * 1000;

/// The time by which the caller needs its answer, by this node's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallDeadline(ClockTime);

impl CallDeadline {
    /// Creates the deadline of a call that has `left` at `now`.
    pub fn new(now: ClockTime, left: ClockSpan) -> CallDeadline {
        CallDeadline(now + left)
    }

    /// The deadline at the entry node, or `None` when the class has no patience at this time of day.
    pub fn from_class(
        class: &CallerClass,
        zone: PatienceZone,
        now: ClockTime,
    ) -> Option<CallDeadline> {
        Some(CallDeadline::new(now, class.patience(zone, now)?))
    }

    /// The deadline that the next node has to meet, so that its answer arrives in time over a link
    /// with this one-way delay.
    pub fn with_hop(self, link_delay: ClockSpan) -> CallDeadline {
        CallDeadline(self.0 - link_delay)
    }

    /// The point in time.
    pub fn time(self) -> ClockTime {
        self.0
    }

    /// The time left at `now`, or zero when the deadline has passed.
    pub fn left(self, now: ClockTime) -> ClockSpan {
        self.0.since(now)
    }

    /// Whether no time is left at `now`.
    pub fn is_over(self, now: ClockTime) -> bool {
        self.left(now).is_zero()
    }

    /// The check right before a dispatch. Fails with 202 when no time is left.
    pub fn verify(self, now: ClockTime) -> Result<(), ResultCode> {
        if self.is_over(now) { Err(ResultCode::PatienceSpent) } else { Ok(()) }
    }

    /// The value of `fescuestack-left-ms` at `now`.
    pub fn left_value(self, now: ClockTime) -> String {
        self.left(now).millis().to_string()
    }
}

/// Parses the value of `fescuestack-left-ms`: decimal digits only. More than a day counts as a day.
pub fn scan_left(text: &str) -> Option<ClockSpan> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    // Digits that overflow are a time far beyond the limit.
    let millis = text.parse().unwrap_or(LEFT_LIMIT_MS);
    Some(ClockSpan::new(millis.min(LEFT_LIMIT_MS)))
}
