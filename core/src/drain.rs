//! Graceful shutdown of a node.

use crate::clock::{ClockSpan, ClockTime};
use crate::code::ResultCode;

/// How far a shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// No shutdown; new calls are taken.
    Accepting,
    /// New calls are refused while those taken before run to their end.
    Draining {
        /// Calls still queued or running.
        calls: u32,
        /// Time until the bound.
        left: ClockSpan,
    },
    /// Every call has ended; the process may exit.
    Drained,
    /// Calls are left but the bound has passed; the process exits and they end as unknown.
    BoundReached {
        /// Calls that are cut off.
        calls: u32,
    },
}

/// Calls in flight and the state of the shutdown.
#[derive(Debug, Clone)]
pub struct DrainState {
    bound: ClockSpan,
    since: Option<ClockTime>,
    calls: u32,
}

impl DrainState {
    /// Creates the state of a node that accepts calls. `bound` limits the length of a shutdown.
    pub fn new(bound: ClockSpan) -> DrainState {
        DrainState { bound, since: None, calls: 0 }
    }

    /// Begins the shutdown. A second call changes nothing.
    pub fn begin(&mut self, now: ClockTime) {
        self.since.get_or_insert(now);
    }

    /// Whether new calls are refused.
    pub fn is_leaving(&self) -> bool {
        self.since.is_some()
    }

    /// Takes a call. Fails with 206 during a shutdown. Every call taken is ended with `end_call`.
    pub fn begin_call(&mut self) -> Result<(), ResultCode> {
        if self.is_leaving() {
            return Err(ResultCode::Leaving);
        }
        self.calls += 1;
        Ok(())
    }

    /// Ends a call that was taken: its answer has been written, or its caller is gone.
    pub fn end_call(&mut self) {
        self.calls = self.calls.saturating_sub(1);
    }

    /// The phase at `now`.
    pub fn phase(&self, now: ClockTime) -> DrainPhase {
        let Some(since) = self.since else { return DrainPhase::Accepting };
        if self.calls == 0 {
            return DrainPhase::Drained;
        }
        let left = (since + self.bound).since(now);
        if left.is_zero() {
            DrainPhase::BoundReached { calls: self.calls }
        } else {
            DrainPhase::Draining { calls: self.calls, left }
        }
    }
}
