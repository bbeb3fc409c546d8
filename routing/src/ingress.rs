//! Bodies of calls that are on their way to a node over the link of its VM.
//!
//! A target with free slots looks idle to all nodes while the link of its VM is full of uploads. Bodies that
//! would have to wait too long are sent elsewhere before they are on the link.

use fescuestack_core::ClockSpan;

/// Length in bytes from which a body counts as large. Shorter ones pass a slow link in some ms.
pub const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// Share of the time that is left for a call in which its body has to arrive. The rest is for its work.
const MAX_TRANSFER_FRACTION: f64 = 0.5;

/// Whether a large body may be sent to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IngressDecision {
    /// It may.
    Accept,
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
pub struct IngressLink {
    /// Bytes that the link carries in one ms.
    bytes_per_ms: f64,
    /// Bytes that are announced and have not arrived.
    pending_bytes: u64,
}

impl IngressLink {
    /// Creates the intake of a link with a bandwidth in Mbit/s.
    pub fn new(link_mbps: f64) -> IngressLink {
        IngressLink { bytes_per_ms: link_mbps.max(0.001) * 125.0, pending_bytes: 0 }
    }

    /// Time until everything that is announced has arrived.
    pub fn drain_time(&self) -> ClockSpan {
        self.transfer_time(self.pending_bytes)
    }

    /// Decides on a body of `bytes` whose call may wait for `wait_limit` and has `left` until its answer
    /// has to be there. One that is taken counts until [`IngressLink::arrived`].
    pub fn reserve(
        &mut self,
        bytes: u64,
        max_wait: ClockSpan,
        remaining: ClockSpan,
    ) -> IngressDecision {
        if bytes >= LARGE_BODY_BYTES {
            let queue_time = self.drain_time();
            let transfer_ms = self.transfer_time(self.pending_bytes + bytes).millis() as f64;
            if self.pending_bytes > 0
                && transfer_ms > remaining.millis() as f64 * MAX_TRANSFER_FRACTION
            {
                return IngressDecision::Refuse { retry_after: queue_time };
            }
            if queue_time > max_wait {
                return IngressDecision::Busy;
            }
        }
        self.pending_bytes += bytes;
        IngressDecision::Accept
    }

    /// Notes that a body of `bytes` has arrived, or comes no more.
    pub fn release(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_sub(bytes);
    }

    fn transfer_time(&self, bytes: u64) -> ClockSpan {
        ClockSpan::new((bytes as f64 / self.bytes_per_ms) as u64)
    }
}
