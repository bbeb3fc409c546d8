//! Time as the decisions see it: milliseconds handed in by the host.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

/// A length of time, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockSpan(u64);

impl ClockTime {
    /// The Unix epoch.
    pub const ZERO: ClockTime = ClockTime(0);

    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn new(millis: u64) -> ClockTime {
        ClockTime(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, or zero if `earlier` lies ahead.
    pub const fn since(self, earlier: ClockTime) -> ClockSpan {
        ClockSpan(self.0.saturating_sub(earlier.0))
    }
}

impl ClockSpan {
    /// No time at all.
    pub const ZERO: ClockSpan = ClockSpan(0);

    /// Creates a span from milliseconds.
    pub const fn new(millis: u64) -> ClockSpan {
        ClockSpan(millis)
    }

    /// The span in milliseconds.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// The span less `other`, or zero if `other` is longer.
    pub const fn less(self, other: ClockSpan) -> ClockSpan {
        ClockSpan(self.0.saturating_sub(other.0))
    }

    /// Whether the span has no length.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add<ClockSpan> for ClockTime {
    type Output = ClockTime;

    fn add(self, span: ClockSpan) -> ClockTime {
        ClockTime(self.0.saturating_add(span.0))
    }
}

impl Sub<ClockSpan> for ClockTime {
    type Output = ClockTime;

    fn sub(self, span: ClockSpan) -> ClockTime {
        ClockTime(self.0.saturating_sub(span.0))
    }
}

impl Add for ClockSpan {
    type Output = ClockSpan;

    fn add(self, other: ClockSpan) -> ClockSpan {
        ClockSpan(self.0.saturating_add(other.0))
    }
}
