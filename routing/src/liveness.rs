//! When a connection to another node counts as silent.
//!
//! A cut without a reset leaves calls without an answer, so that they have to be given up soon. A slow link
//! that is busy with uploads delays a sign of life by more than a second, and is not cut. New calls are kept
//! from a connection well before that, since one that was cut would lose all of them.

use fescuestack_core::ClockSpan;

/// Time between two looks at a connection.
pub const LINK_CHECK_INTERVAL: ClockSpan = ClockSpan::new(100);

/// How long a connection with open calls may be silent.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimeouts {
    /// Until new calls go elsewhere.
    pub suspect: ClockSpan,
    /// Until it counts as cut.
    pub disconnect: ClockSpan,
}

/// What the silence of a connection says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkHealth {
    /// It works, or nothing is expected of it.
    #[default]
    Alive,
    /// It may be cut.
    Suspect,
    /// It counts as cut.
    Disconnected,
}

/// Looks at a connection in each [`LINK_CHECK_INTERVAL`].
#[derive(Debug, Default)]
pub struct LinkMonitor {
    activity_count: u64,
    /// Looks since the last sign of life. They are counted instead of the time, since nothing is read
    /// while the own process does not run.
    idle_checks: u64,
}

impl LinkMonitor {
    /// Judges the connection. `signs` counts its signs of life: reads, and writes that went on after they had
    /// to wait for the peer. `busy` says whether calls are open on it.
    pub fn check(
        &mut self,
        activity_count: u64,
        has_open_calls: bool,
        timeouts: LinkTimeouts,
    ) -> LinkHealth {
        if activity_count != self.activity_count || !has_open_calls {
            self.activity_count = activity_count;
            self.idle_checks = 0;
            return LinkHealth::Alive;
        }
        self.idle_checks += 1;
        let idle_ms = self.idle_checks * LINK_CHECK_INTERVAL.millis();
        if idle_ms >= timeouts.disconnect.millis() {
            LinkHealth::Disconnected
        } else if idle_ms >= timeouts.suspect.millis() {
            LinkHealth::Suspect
        } else {
            LinkHealth::Alive
        }
    }
}
