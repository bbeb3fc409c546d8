//! The clock used for call deadlines.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fescuestack_core::{CallDeadline, ClockTime};

/// Millisecond clock that starts at the wall-clock time and advances with the monotonic clock. If
/// it followed the wall clock, a forward jump would end the window of idempotency keys early.
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

    /// Returns the current time.
    pub fn now(&self) -> ClockTime {
        let elapsed = self.started.elapsed().as_millis() as u64;
        ClockTime::new(self.origin.millis() + elapsed)
    }

    /// Returns the time at which the clock was created.
    pub fn origin(&self) -> ClockTime {
        self.origin
    }

    /// Converts a deadline to an `Instant`.
    pub fn instant(&self, deadline: CallDeadline) -> Instant {
        self.instant_at(deadline.time())
    }

    /// Converts a time of this clock to an `Instant`.
    pub fn instant_at(&self, time: ClockTime) -> Instant {
        self.started + Duration::from_millis(time.since(self.origin).millis())
    }
}

/// Returns the wall-clock time, which selects the patience period of a caller class.
pub fn wall_time() -> ClockTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ClockTime::new(since.as_millis() as u64)
}
