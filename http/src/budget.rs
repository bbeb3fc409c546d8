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

/// Messages up to this length don't count against the budget, so that ordinary calls still succeed
/// while long messages have exhausted it.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Limits the total number of bytes that the messages of a process hold.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<ByteBudget> {
        Arc::new(ByteBudget { limit, used: AtomicUsize::new(0) })
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
        let bytes = if length > UNCOUNTED_BYTES { length } else { 0 };
        let additional = bytes.saturating_sub(self.bytes);
        let used = self.budget.used.fetch_add(additional, Ordering::AcqRel) + additional;
        self.bytes += additional;
        additional == 0 || used <= self.budget.limit
    }

    /// Converts a complete message to `Bytes` that keep the reservation until they are dropped.
    pub fn into_bytes(self, bytes: Vec<u8>) -> Bytes {
        if self.bytes == 0 { bytes.into() } else { Bytes::from_owner(ReservedBytes(bytes, self)) }
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// The bytes of a message together with their reservation.
struct ReservedBytes(Vec<u8>, #[expect(dead_code, reason = "held for its drop")] ByteReservation);

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.0
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
        if bytes.is_empty() && body.is_end_stream() && data.len() <= UNCOUNTED_BYTES {
            return Ok(data);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(reservation.into_bytes(bytes))
}
