//! Bodies of calls that are on their way to a node over the link of its VM.
//!
//! A target with free slots looks idle to all nodes while the link of its VM is full of uploads. Bodies that
//! would have to wait too long are sent elsewhere before they are on the link.

use fescuestack_core::ClockSpan;

/// Length in bytes from which a body counts as large. Shorter ones pass a slow link in some ms.
pub const LARGE_BODY: u64 = 16 * 1024;

/// Share of the time that is left for a call in which its body has to arrive. The rest is for its work.
const ARRIVAL_SHARE: f64 = 0.5;

/// Whether a large body may be sent to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntakeStep {
    /// It may.
    Take,
    /// It would wait longer than its limit. Another node may be better.
    Busy,
    /// It would arrive too late.
    Refuse {
        /// When the link is likely to be free.
        retry_after: ClockSpan,
    },
}

/// The bodies that are on their way to a node.
#[derive(Debug)]
pub struct LinkIntake {
    /// Bytes that the link carries in one ms.
    rate: f64,
    /// Bytes that are announced and have not arrived.
    pending: u64,
}

impl LinkIntake {
    /// Creates the intake of a link with a bandwidth in Mbit/s.
    pub fn new(link_mbps: f64) -> LinkIntake {
        LinkIntake { rate: link_mbps.max(0.001) * 125.0, pending: 0 }
    }

    /// Time until everything that is announced has arrived.
    pub fn wait(&self) -> ClockSpan {
        self.time(self.pending)
    }

    /// Decides on a body of `bytes` whose call may wait for `wait_limit` and has `left` until its answer
    /// has to be there. One that is taken counts until [`LinkIntake::arrived`].
    pub fn announce(&mut self, bytes: u64, wait_limit: ClockSpan, left: ClockSpan) -> IntakeStep {
        if bytes >= LARGE_BODY {
            let wait = self.wait();
            let arrival = self.time(self.pending + bytes).millis() as f64;
            if self.pending > 0 && arrival > left.millis() as f64 * ARRIVAL_SHARE {
                return IntakeStep::Refuse { retry_after: wait };
            }
            if wait > wait_limit {
                return IntakeStep::Busy;
            }
        }
        self.pending += bytes;
        IntakeStep::Take
    }

    /// Notes that a body of `bytes` has arrived, or comes no more.
    pub fn arrived(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
    }

    fn time(&self, bytes: u64) -> ClockSpan {
        ClockSpan::new((bytes as f64 / self.rate) as u64)
    }
}
