//! Tracks request bodies in transit to a node over the link of its VM.
//!
//! A target with free slots looks idle to all nodes even if the link of its VM is saturated with
//! uploads. Bodies that would have to wait too long are therefore sent to another node before they
//! are put on the link.

use fescuestack_core::ClockSpan;

/// Bodies of at least this length count as large. Smaller ones pass even a slow link within some
/// milliseconds.
pub const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// Fraction of a call's remaining time within which its body has to arrive. The rest is left for
/// the work itself.
const MAX_TRANSFER_FRACTION: f64 = 0.5;

/// Decision on whether a large body may be sent to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IngressDecision {
    /// The body may be sent.
    Accept,
    /// The body would wait longer than its limit. Another node may be better.
    Busy,
    /// The body would arrive too late.
    Refuse {
        /// Expected time until the link is free.
        retry_after: ClockSpan,
    },
}

/// Accounts for the bodies in transit to a node.
#[derive(Debug)]
pub struct IngressLink {
    /// Bandwidth of the link in bytes per millisecond.
    bytes_per_ms: f64,
    /// Bytes that are reserved and have not arrived.
    pending_bytes: u64,
}

impl IngressLink {
    /// Creates an empty link with a bandwidth in Mbit/s.
    pub fn new(link_mbps: f64) -> IngressLink {
        IngressLink { bytes_per_ms: link_mbps.max(0.001) * 125.0, pending_bytes: 0 }
    }

    /// Returns the time until all reserved bytes have arrived.
    pub fn drain_time(&self) -> ClockSpan {
        self.transfer_time(self.pending_bytes)
    }

    /// Decides on a body of `bytes` whose call may wait for up to `max_wait` and has to be answered
    /// within `remaining`. An accepted body counts as pending until [`IngressLink::release`] is
    /// called.
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

    /// Removes a body of `bytes` that has arrived or was aborted.
    pub fn release(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_sub(bytes);
    }

    fn transfer_time(&self, bytes: u64) -> ClockSpan {
        ClockSpan::new((bytes as f64 / self.bytes_per_ms) as u64)
    }
}
