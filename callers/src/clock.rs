//! The clock of calls.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fescuestack_core::{CallDeadline, ClockTime};

/// Milliseconds that never jump: the wall clock at the start, advanced by the monotonic clock. A
/// jump forward would end the window of idempotency keys early.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallClock {
    origin: ClockTime,
    started: Instant,
}

impl CallClock {
    pub(crate) fn new() -> CallClock {
        CallClock { origin: wall_time(), started: Instant::now() }
    }

    pub(crate) fn now(&self) -> ClockTime {
        let elapsed = self.started.elapsed().as_millis() as u64;
        ClockTime::new(self.origin.millis() + elapsed)
    }

    /// When the process started.
    pub(crate) fn origin(&self) -> ClockTime {
        self.origin
    }

    pub(crate) fn instant(&self, deadline: CallDeadline) -> Instant {
        self.started + Duration::from_millis(deadline.time().since(self.origin).millis())
    }
}

/// The time of day, by which the patience of callers is found.
pub(crate) fn wall_time() -> ClockTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ClockTime::new(since.as_millis() as u64)
}
