//! Time limit on the wait for the next byte.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use crate::coarse_timer::CoarseSleep;

/// A timer that is armed while a peer makes no progress.
pub(crate) struct ProgressTimer {
    interval: Option<Duration>,
    sleep: Option<CoarseSleep>,
}

impl ProgressTimer {
    pub(crate) fn new(interval: Option<Duration>) -> ProgressTimer {
        ProgressTimer { interval, sleep: None }
    }

    /// Notes progress and sets the next limit.
    pub(crate) fn set_interval(&mut self, interval: Option<Duration>) {
        self.interval = interval;
        self.sleep = None;
    }

    /// Notes progress.
    pub(crate) fn record_progress(&mut self) {
        self.sleep = None;
    }

    /// Whether the peer made no progress for the interval. Wakes the task when that is so.
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
