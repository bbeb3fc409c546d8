//! Decides which calls a node that is stopping still accepts.
//!
//! A rolling restart stops one node after the other under full load. Calls that end before the node
//! exits are still served; those that might not are refused before they run, so that none is broken
//! off.

use fescuestack_core::{ClockSpan, ClockTime};

/// Time in which clients notice that a stopping node is not ready: two probes, one second apart.
/// Until then, a client that is told to retry may return to the same node.
pub const READINESS_NOTICE_TIME: ClockSpan = ClockSpan::new(2_200);

/// Shortest retry delay of a client that a stopping node refuses. The successor of the node starts
/// within a second.
const MIN_RETRY_AFTER: ClockSpan = ClockSpan::new(800);

/// Time between the end of a call and the moment at which its client has the response.
const RESPONSE_TIME: ClockSpan = ClockSpan::new(100);

/// Times of a graceful stop, once it has begun.
#[derive(Debug, Clone, Copy, Default)]
pub struct StopSchedule {
    times: Option<StopTimes>,
}

#[derive(Debug, Clone, Copy)]
struct StopTimes {
    begun_at: ClockTime,
    /// Time at which calls that have not ended are broken off.
    ends_at: ClockTime,
}

impl StopSchedule {
    /// Creates the schedule of a node that is not stopping.
    pub const fn new() -> StopSchedule {
        StopSchedule { times: None }
    }

    /// Begins a stop in which calls may run for `grace` from now on. A stop that is requested again
    /// gets a new grace period.
    pub fn begin(&mut self, now: ClockTime, grace: ClockSpan) {
        let begun_at = self.times.map_or(now, |times| times.begun_at);
        self.times = Some(StopTimes { begun_at, ends_at: now + grace });
    }

    /// Returns the time for which calls may still run, or `None` if the node is not stopping.
    pub fn time_left(&self, now: ClockTime) -> Option<ClockSpan> {
        self.times.map(|times| times.ends_at.since(now))
    }

    /// Whether a call that ends at `deadline` at the latest is answered before the node exits.
    /// Service times vary too much to predict an earlier end.
    pub fn allows(&self, deadline: ClockTime) -> bool {
        self.times.is_none_or(|times| deadline + RESPONSE_TIME <= times.ends_at)
    }

    /// Returns when a client that is refused because of the stop should retry.
    pub fn retry_after(&self, now: ClockTime) -> ClockSpan {
        let noticed = self.times.map(|times| times.begun_at + READINESS_NOTICE_TIME);
        noticed.map_or(MIN_RETRY_AFTER, |at| at.since(now).max(MIN_RETRY_AFTER))
    }
}
