//! Traffic counters of links.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Framing overhead of a message: 9 bytes of HTTP/2 frame header and 5 bytes of gRPC prefix.
pub(crate) const FRAMING_BYTES_PER_MESSAGE: u64 = 14;

/// Messages and bytes on all links of a node. Bytes include HTTP/2 and gRPC framing, but no TCP/IP
/// headers.
#[derive(Debug, Default)]
pub struct LinkCounters {
    open_links: AtomicUsize,
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    cross_data_centre_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
}

impl LinkCounters {
    /// Number of outgoing links that are open or being opened.
    pub fn open_links(&self) -> usize {
        self.open_links.load(Ordering::Relaxed)
    }

    /// Total messages queued for sending.
    pub fn sent_messages(&self) -> u64 {
        self.sent_messages.load(Ordering::Relaxed)
    }

    /// Total bytes queued for sending.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Total bytes queued for sending to nodes of other data centres.
    pub fn cross_data_centre_bytes(&self) -> u64 {
        self.cross_data_centre_bytes.load(Ordering::Relaxed)
    }

    /// Total messages received.
    pub fn received_messages(&self) -> u64 {
        self.received_messages.load(Ordering::Relaxed)
    }

    /// Total bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn count_sent(&self, payload: usize, crosses_data_centres: bool) {
        let bytes = payload as u64 + FRAMING_BYTES_PER_MESSAGE;
        self.sent_messages.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        if crosses_data_centres {
            self.cross_data_centre_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    pub(crate) fn count_opened(&self) {
        self.open_links.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_closed(&self) {
        self.open_links.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, payload: usize) {
        self.received_messages.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(payload as u64 + FRAMING_BYTES_PER_MESSAGE, Ordering::Relaxed);
    }
}
