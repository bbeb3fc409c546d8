//! Progress of a graceful stop, as the modules of a node see it.

use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use event_listener::Event;
use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{CallClock, lock};
use fescuestack_routing::StopSchedule;

/// Tells calls whether the node is stopping and for how long they may run.
pub(crate) struct StopSignal {
    clock: CallClock,
    schedule: Mutex<StopSchedule>,
    /// Notified when a stop begins, or begins again.
    changed: Event,
    /// Closed when the calls in progress are broken off.
    abort_channel: (Sender<()>, Receiver<()>),
}

impl StopSignal {
    pub(crate) fn new(clock: CallClock) -> StopSignal {
        StopSignal {
            clock,
            schedule: Mutex::new(StopSchedule::new()),
            changed: Event::new(),
            abort_channel: async_channel::bounded(1),
        }
    }

    /// Begins a stop in which calls may run for `grace`.
    pub(crate) fn begin(&self, grace: ClockSpan) {
        lock(&self.schedule).begin(self.clock.now(), grace);
        self.changed.notify(usize::MAX);
    }

    /// Returns the time for which calls may still run, or `None` if the node is not stopping.
    pub(crate) fn time_left(&self) -> Option<ClockSpan> {
        lock(&self.schedule).time_left(self.clock.now())
    }

    /// Whether a call that ends at `deadline` at the latest may start.
    pub(crate) fn allows(&self, deadline: ClockTime) -> bool {
        lock(&self.schedule).allows(deadline)
    }

    /// Returns when a client that is refused because of the stop should retry.
    pub(crate) fn retry_after(&self) -> ClockSpan {
        lock(&self.schedule).retry_after(self.clock.now())
    }

    /// Completes when a call that ends at `deadline` at the latest may not start any more.
    pub(crate) async fn forbids(&self, deadline: ClockTime) {
        loop {
            let listener = self.changed.listen();
            if !self.allows(deadline) {
                return;
            }
            listener.await;
        }
    }

    /// Breaks off all calls in progress.
    pub(crate) fn abort(&self) {
        self.abort_channel.0.close();
    }

    /// Completes when calls in progress are broken off.
    pub(crate) async fn aborted(&self) {
        // Nothing is sent on the channel; `recv` returns when it is closed.
        let _ = self.abort_channel.1.recv().await;
    }
}
