//! When a connection to another node counts as silent.
//!
//! A cut without a reset leaves calls without an answer, so that they have to be given up soon. A slow link
//! that is busy with uploads delays a sign of life by more than a second, and is not cut.

use fescuestack_core::ClockSpan;

/// Time between two looks at a connection.
pub const LOOK_PERIOD: ClockSpan = ClockSpan::new(100);

/// Looks at a connection in each [`LOOK_PERIOD`].
#[derive(Debug, Default)]
pub struct LinkSilence {
    signs: u64,
    /// Looks since the last sign of life. They are counted instead of the time, since nothing is read
    /// while the own process does not run.
    looks: u64,
}

impl LinkSilence {
    /// Whether the connection has been silent for `limit` while calls were open. `signs` counts its
    /// signs of life: reads, and writes that went on after they had to wait for the peer.
    pub fn look(&mut self, signs: u64, busy: bool, limit: ClockSpan) -> bool {
        if signs != self.signs || !busy {
            self.signs = signs;
            self.looks = 0;
            return false;
        }
        self.looks += 1;
        self.looks * LOOK_PERIOD.millis() >= limit.millis()
    }
}
