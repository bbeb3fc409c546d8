//! A process-wide limit on the memory that message bodies occupy.
//!
//! Each message has its own limit, but several messages of that length exceed the memory of a small
//! VM, and a faulty server may send endless responses on all its connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

/// Messages up to this length count against the budget but are not limited by it, so that ordinary
/// calls still succeed while long messages have exhausted it.
const SHORT_BYTES: usize = 64 * 1024;

/// Limits the total number of bytes that the messages and connections of a process hold.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    /// Limit for messages that grow without a stated length.
    long_limit: usize,
    used: AtomicUsize,
    /// Bytes in use by such messages.
    received: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<ByteBudget> {
        ByteBudget::with_long_limit(limit, limit)
    }

    /// Like [`ByteBudget::new`]. Long messages that are received into a [`ByteReservation`] are
    /// accepted while they use less than `long_limit` bytes, because they are copied while they grow.
    pub fn with_long_limit(limit: usize, long_limit: usize) -> Arc<ByteBudget> {
        let (used, received) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Arc::new(ByteBudget { limit, long_limit, used, received })
    }

    /// Whether `bytes` more fit the budget.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.used().saturating_add(bytes) <= self.limit
    }

    pub(crate) fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::AcqRel);
    }

    pub(crate) fn subtract(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Returns the number of reserved bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// Creates an empty reservation for one message.
    pub fn reservation(self: &Arc<Self>) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes of a budget reserved for one message. Dropping it releases them.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteReservation {
    /// Grows the reservation to the `length` bytes that the message has now. Returns whether the
    /// budget allows this; the bytes are reserved in either case.
    pub fn try_grow_to(&mut self, length: usize) -> bool {
        let additional = length.saturating_sub(self.bytes);
        self.budget.add(additional);
        let received = self.budget.received.fetch_add(additional, Ordering::AcqRel) + additional;
        self.bytes += additional;
        additional == 0 || length <= SHORT_BYTES || received <= self.budget.long_limit
    }

    /// Converts a complete message to `Bytes` that keep the reservation until they are dropped.
    pub fn into_bytes(self, bytes: Vec<u8>) -> Bytes {
        if self.bytes == 0 { bytes.into() } else { Bytes::from_owner(ReservedBytes(bytes, self)) }
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.subtract(self.bytes);
        self.budget.received.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// The bytes of a message together with their reservation.
struct ReservedBytes<B>(B, #[expect(dead_code, reason = "held for its drop")] ByteReservation);

impl<B: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.0.as_ref()
    }
}

/// Reason why a body was not read completely.
#[derive(Debug, Snafu)]
pub enum CollectError {
    /// The body exceeds its own limit.
    #[snafu(display("the body exceeds its length limit"))]
    TooLong,
    /// The budget of the process is exhausted.
    #[snafu(display("the memory budget for bodies is exhausted"))]
    BudgetExhausted,
    /// The connection was closed to free its memory or its descriptor.
    #[snafu(display("the connection was closed"))]
    Evicted,
    /// Reading the body failed.
    #[snafu(display("reading the body failed: {reason}"))]
    ReadFailed {
        /// Description of the underlying error.
        reason: String,
    },
}

/// Reads a body of up to `limit` bytes into memory and counts it against the budget.
pub async fn collect_body<B>(
    body: B,
    limit: usize,
    budget: &Arc<ByteBudget>,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes, Error: std::fmt::Display>,
{
    let mut reservation = budget.reservation();
    let mut bytes = Vec::new();
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| CollectError::ReadFailed { reason: err.to_string() })?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(CollectError::TooLong);
        }
        if !reservation.try_grow_to(bytes.len() + data.len()) {
            return Err(CollectError::BudgetExhausted);
        }
        if bytes.is_empty() && body.is_end_stream() && data.len() <= SHORT_BYTES {
            return Ok(Bytes::from_owner(ReservedBytes(data, reservation)));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(reservation.into_bytes(bytes))
}
