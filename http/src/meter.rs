//! Counts the memory that is held for a connection, and its progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;

use crate::ByteBudget;

/// Longest read outside of a body, in bytes: less than the first buffer of `hyper`.
const MAX_HEAD_READ_BYTES: usize = 4 * 1024;

/// How the input of a connection between two messages is limited.
#[derive(Debug, Clone, Copy)]
pub struct InputLimit {
    /// Bytes that may be read without a reservation.
    pub free_bytes: usize,
    /// Largest size of the read buffer in bytes.
    pub max_buffer_bytes: usize,
    /// Whether reading fails, rather than waits, while the budget is exhausted.
    pub fails: bool,
}

/// Longest part of a blocked write that counts, in bytes. The rest is part of the message.
const MAX_PENDING_BYTES: usize = 24 * 1024;

/// The memory and the progress of a connection. All bytes count against a budget until the meter is
/// dropped.
#[derive(Debug)]
pub struct ConnectionMeter {
    budget: Arc<ByteBudget>,
    base_bytes: usize,
    limit: InputLimit,
    buffer_bytes: AtomicUsize,
    read_ahead_bytes: AtomicUsize,
    pending_bytes: AtomicUsize,
    held_bytes: AtomicUsize,
    /// Bytes of messages that have a reservation of their own.
    attributed_bytes: AtomicUsize,
    read: AtomicU64,
    written: AtomicU64,
    /// Value of `read` at the end of the last message.
    read_mark: AtomicU64,
    is_trusted: AtomicBool,
    receives_body: AtomicBool,
    has_ended: AtomicBool,
}

/// Bytes that are held for a connection until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    meter: Arc<ConnectionMeter>,
    bytes: usize,
}

impl ConnectionMeter {
    /// Creates the meter of a connection that takes `base_bytes` while it is idle.
    pub fn new(
        budget: &Arc<ByteBudget>,
        base_bytes: usize,
        limit: InputLimit,
    ) -> Arc<ConnectionMeter> {
        budget.add(base_bytes);
        Arc::new(ConnectionMeter {
            budget: budget.clone(),
            base_bytes,
            limit,
            buffer_bytes: AtomicUsize::new(0),
            read_ahead_bytes: AtomicUsize::new(0),
            pending_bytes: AtomicUsize::new(0),
            held_bytes: AtomicUsize::new(0),
            attributed_bytes: AtomicUsize::new(0),
            read: AtomicU64::new(0),
            written: AtomicU64::new(0),
            read_mark: AtomicU64::new(0),
            is_trusted: AtomicBool::new(false),
            receives_body: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
        })
    }

    /// Returns the number of bytes held for the connection.
    pub fn bytes(&self) -> usize {
        let parts = [
            &self.buffer_bytes,
            &self.read_ahead_bytes,
            &self.pending_bytes,
            &self.held_bytes,
            &self.attributed_bytes,
        ];
        self.base_bytes + parts.iter().map(|part| part.load(Ordering::Acquire)).sum::<usize>()
    }

    /// Returns the numbers of bytes that were read from the socket and written to it.
    pub fn progress(&self) -> (u64, u64) {
        (self.read.load(Ordering::Relaxed), self.written.load(Ordering::Relaxed))
    }

    /// Returns the number of bytes read since the last message ended.
    pub fn unfinished_bytes(&self) -> u64 {
        self.read.load(Ordering::Relaxed) - self.read_mark.load(Ordering::Relaxed)
    }

    /// Whether a write waits for the peer to read.
    pub fn is_write_blocked(&self) -> bool {
        self.pending_bytes.load(Ordering::Acquire) > 0
    }

    /// Whether the peer has ended its side of the connection.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Acquire)
    }

    /// Records that a body is received, for which long reads are allowed.
    pub fn begin_body(&self) {
        self.receives_body.store(true, Ordering::Release);
    }

    /// Releases the memory of the read buffer, because a message has ended.
    pub fn end_message(&self) {
        self.receives_body.store(false, Ordering::Release);
        self.read_mark.store(self.read.load(Ordering::Relaxed), Ordering::Relaxed);
        self.set_part(&self.buffer_bytes, 0);
    }

    /// Lets the connection read without limit.
    pub fn trust(&self) {
        if !self.is_trusted.swap(true, Ordering::AcqRel) {
            self.set_part(&self.buffer_bytes, 0);
        }
    }

    /// Counts `bytes` for the connection until the result is dropped, also beyond the budget.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        self.budget.add(bytes);
        self.held_bytes.fetch_add(bytes, Ordering::AcqRel);
        HeldBytes { meter: self.clone(), bytes }
    }

    /// Counts a message that has a reservation of its own for this connection.
    pub fn attribute(&self, bytes: usize) {
        self.attributed_bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Ends the effect of [`ConnectionMeter::attribute`].
    pub fn end_attribution(&self, bytes: usize) {
        self.attributed_bytes.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Whether the connection may read now. Reserves the memory of the read buffer.
    pub(crate) fn reserve_read(&self) -> bool {
        let unfinished = usize::try_from(self.unfinished_bytes()).unwrap_or(usize::MAX);
        if unfinished < self.limit.free_bytes || self.is_trusted.load(Ordering::Acquire) {
            return true;
        }
        // The buffer doubles when it is full.
        let wanted = (unfinished * 2).min(self.limit.max_buffer_bytes);
        let reserved = self.buffer_bytes.load(Ordering::Acquire);
        if wanted <= reserved {
            return true;
        }
        let has_room = self.budget.has_room(wanted - reserved);
        if has_room {
            self.set_part(&self.buffer_bytes, wanted);
        }
        has_room
    }

    /// Returns the longest read, in bytes. `hyper` enlarges its buffer after reads that fill it, and
    /// the requests that a client sends ahead would stay there uncounted.
    pub(crate) fn max_read_bytes(&self) -> usize {
        match self.receives_body.load(Ordering::Acquire) || self.is_trusted.load(Ordering::Acquire)
        {
            true => usize::MAX,
            false => MAX_HEAD_READ_BYTES,
        }
    }

    /// Whether a connection that must not read fails.
    pub(crate) fn fails_without_room(&self) -> bool {
        self.limit.fails
    }

    /// Whether bytes of further requests may be read ahead.
    pub(crate) fn may_read_ahead(&self) -> bool {
        self.budget.has_room(0)
    }

    pub(crate) fn record_read(&self, count: usize) {
        if count == 0 {
            self.has_ended.store(true, Ordering::Release);
        }
        self.read.fetch_add(count as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_written(&self, count: usize) {
        self.written.fetch_add(count as u64, Ordering::Relaxed);
        self.set_part(&self.pending_bytes, 0);
    }

    /// Records that a write of `bytes` waits for the peer.
    pub(crate) fn record_blocked_write(&self, bytes: usize) {
        self.set_part(&self.pending_bytes, bytes.clamp(1, MAX_PENDING_BYTES));
    }

    pub(crate) fn record_read_ahead(&self, bytes: usize) {
        self.set_part(&self.read_ahead_bytes, bytes);
    }

    fn set_part(&self, part: &AtomicUsize, bytes: usize) {
        if part.load(Ordering::Acquire) == bytes {
            return;
        }
        self.budget.add(bytes);
        self.budget.subtract(part.swap(bytes, Ordering::AcqRel));
    }
}

impl Drop for ConnectionMeter {
    fn drop(&mut self) {
        for part in [&self.buffer_bytes, &self.read_ahead_bytes, &self.pending_bytes] {
            self.set_part(part, 0);
        }
        self.budget.subtract(self.base_bytes);
    }
}

impl HeldBytes {
    /// Holds `bytes` more.
    pub fn grow(&mut self, bytes: usize) {
        self.meter.budget.add(bytes);
        self.meter.held_bytes.fetch_add(bytes, Ordering::AcqRel);
        self.bytes += bytes;
    }

    /// Converts a complete message to `Bytes` that are held until they are dropped.
    pub fn into_bytes(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldMessage(bytes, self))
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.meter.held_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
        self.meter.budget.subtract(self.bytes);
    }
}

struct HeldMessage(Vec<u8>, #[expect(dead_code, reason = "held for its drop")] HeldBytes);

impl AsRef<[u8]> for HeldMessage {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}
