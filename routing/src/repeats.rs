//! Recognizes callers that come back sooner than they were told.
//!
//! In an overload, each attempt is another chance, so that callers who repeat at once would be served
//! more often than those who wait as they are told. A caller that repeats a request has the same
//! deadline as before, by which it is told from other callers with the same request.

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use rustc_hash::FxHashMap;

/// Largest difference between the deadlines of two attempts of a caller. Attempts take different
/// times to arrive.
const DEADLINE_TOLERANCE: ClockSpan = ClockSpan::new(20);

/// Divisor of the time left that limits how long callers wait, whatever they are told.
const MAX_WAIT_DIVISOR: u64 = 3;

/// Margin by which callers may come back early, as a divisor of the delay. Their clocks differ.
const EARLY_DIVISOR: u64 = 8;

/// Maximum number of refused callers that are remembered. Callers beyond it are not recognized.
const MAX_CALLERS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct RefusedCaller {
    deadline: ClockTime,
    /// Time from which it may come back.
    not_before: ClockTime,
}

/// Remembers refused callers until they may come back.
#[derive(Debug, Default)]
pub struct RepeatGuard {
    /// Refused callers by their request.
    callers: FxHashMap<RequestFingerprint, RefusedCaller>,
}

impl RepeatGuard {
    /// Creates a guard that remembers no callers.
    pub fn new() -> RepeatGuard {
        RepeatGuard::default()
    }

    /// Records that a caller was told to retry after some time.
    pub fn record_refused(
        &mut self,
        now: ClockTime,
        request: RequestFingerprint,
        deadline: ClockTime,
        retry_after: ClockSpan,
    ) {
        if self.callers.len() >= MAX_CALLERS {
            self.callers.retain(|_, caller| now < caller.not_before);
        }
        if self.callers.len() >= MAX_CALLERS {
            return;
        }
        let max_wait = ClockSpan::new(deadline.since(now).millis() / MAX_WAIT_DIVISOR);
        let wait = retry_after.min(max_wait);
        let not_before = now + wait.less(ClockSpan::new(wait.millis() / EARLY_DIVISOR));
        self.callers.insert(request, RefusedCaller { deadline, not_before });
    }

    /// Returns how much longer a caller that has come back should have waited, or `None` if it has
    /// waited long enough or was not refused before.
    pub fn time_left(
        &self,
        now: ClockTime,
        request: RequestFingerprint,
        deadline: ClockTime,
    ) -> Option<ClockSpan> {
        let caller = self.callers.get(&request).filter(|caller| {
            caller.deadline.since(deadline) <= DEADLINE_TOLERANCE
                && deadline.since(caller.deadline) <= DEADLINE_TOLERANCE
        })?;
        Some(caller.not_before.since(now)).filter(|left| !left.is_zero())
    }
}
