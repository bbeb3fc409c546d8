//! Detects connections to other nodes that have failed without a reset.
//!
//! Calls on such a connection get no answer, so they have to be failed over quickly. A slow link
//! that is saturated with uploads can delay activity by more than a second although it works. New
//! calls are routed around a suspect connection well before it counts as disconnected, since all
//! calls on a failed one would be lost.

use fescuestack_core::ClockSpan;

/// Interval between two checks of a connection.
pub const LINK_CHECK_INTERVAL: ClockSpan = ClockSpan::new(100);

/// Timeouts of a connection that has open calls but shows no activity.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimeouts {
    /// Time until new calls are routed elsewhere.
    pub suspect: ClockSpan,
    /// Time until the connection counts as disconnected.
    pub disconnect: ClockSpan,
}

/// Health of a connection, judged by its activity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkHealth {
    /// The connection works, or no activity is expected.
    #[default]
    Alive,
    /// The connection may have failed.
    Suspect,
    /// The connection counts as failed.
    Disconnected,
}

/// Monitors one connection. It is to be checked every [`LINK_CHECK_INTERVAL`].
#[derive(Debug, Default)]
pub struct LinkMonitor {
    activity_count: u64,
    /// Number of checks since the last activity. Checks are counted instead of elapsed time,
    /// because nothing is read either while the own process is suspended.
    idle_checks: u64,
}

impl LinkMonitor {
    /// Determines the health of the connection. `activity_count` counts reads, and writes that made
    /// progress after they were blocked by the peer. `has_open_calls` tells whether calls are open
    /// on the connection.
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
