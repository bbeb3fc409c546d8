//! The clock of calls.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fescuestack_core::{CallDeadline, ClockTime};

/// Milliseconds that never jump: the wall clock at the start, advanced by the monotonic clock. A
/// jump forward would end the window of idempotency keys early.
#[derive(Debug, Clone, Copy)]
pub struct CallClock {
    origin: ClockTime,
    started: Instant,
}

impl Default for CallClock {
    fn default() -> CallClock {
        CallClock::new()
    }
}

impl CallClock {
    /// Creates a clock that starts now.
    pub fn new() -> CallClock {
        CallClock { origin: wall_time(), started: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> ClockTime {
        let elapsed = self.started.elapsed().as_millis() as u64;
        ClockTime::new(self.origin.millis() + elapsed)
    }

    /// When the process started.
    pub fn origin(&self) -> ClockTime {
        self.origin
    }

    /// The monotonic time of a deadline.
    pub fn instant(&self, deadline: CallDeadline) -> Instant {
        self.instant_at(deadline.time())
    }

    /// The monotonic time of a time of this clock.
    pub fn instant_at(&self, time: ClockTime) -> Instant {
        self.started + Duration::from_millis(time.since(self.origin).millis())
    }
}

/// The time of day, by which the patience of callers is found.
pub fn wall_time() -> ClockTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ClockTime::new(since.as_millis() as u64)
}
