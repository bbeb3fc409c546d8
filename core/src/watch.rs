//! State of a watch of the platform, and the limit on calls to it.

use crate::clock::ClockTime;

/// Calls to the platform in one second. Its limit is about 2,000 for all readers, of which 13 data
/// centres have 26.
const CALLS_PER_SECOND: u64 = 20;

/// One of the two watches.
#[derive(Debug, Default)]
pub(crate) struct WatchState {
    pub(crate) pending: bool,
    pub(crate) revision: Option<u64>,
    pub(crate) failures: u32,
    pub(crate) retry_at: ClockTime,
}

impl WatchState {
    pub(crate) fn is_due(&self, now: ClockTime) -> bool {
        !self.pending && now >= self.retry_at
    }

    pub(crate) fn begin(&mut self) -> Option<u64> {
        self.pending = true;
        self.revision
    }
}

/// Tokens for calls to the platform. A second's worth of calls may be made in a burst.
#[derive(Debug, Default)]
pub(crate) struct TokenBucket {
    filled_ms: u64,
    filled_at: ClockTime,
}

impl TokenBucket {
    /// Takes a token for a call, if there is one.
    pub(crate) fn take(&mut self, now: ClockTime) -> bool {
        const CALL_MS: u64 = 1_000 / CALLS_PER_SECOND;
        self.filled_ms = (self.filled_ms + now.since(self.filled_at).millis()).min(1_000);
        self.filled_at = self.filled_at.max(now);
        if self.filled_ms < CALL_MS {
            return false;
        }
        self.filled_ms -= CALL_MS;
        true
    }
}
