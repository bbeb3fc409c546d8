//! Timeout for connections without progress.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use crate::coarse_timer::CoarseSleep;

/// Expires when a peer makes no progress for an interval, which starts at the first poll after a
/// restart. Without an interval, it never expires.
pub(crate) struct ProgressTimer {
    interval: Option<Duration>,
    sleep: Option<CoarseSleep>,
}

impl ProgressTimer {
    pub(crate) fn new(interval: Option<Duration>) -> ProgressTimer {
        ProgressTimer { interval, sleep: None }
    }

    /// Restarts the timer with another interval.
    pub(crate) fn set_interval(&mut self, interval: Option<Duration>) {
        self.interval = interval;
        self.sleep = None;
    }

    /// Restarts the timer.
    pub(crate) fn record_progress(&mut self) {
        self.sleep = None;
    }

    /// Returns whether the interval has passed without progress. If not, wakes the task when it
    /// has.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(interval) = self.interval else { return false };
        let sleep = self.sleep.get_or_insert_with(|| CoarseSleep::new(interval));
        Pin::new(sleep).poll(cx) == Poll::Ready(())
    }
}

impl fmt::Debug for ProgressTimer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProgressTimer").field("interval", &self.interval).finish()
    }
}
