//! Limits the bytes of all messages that a process holds at the same time.
//!
//! Each message has a limit of its own, but several of that length at once exceed the memory of a
//! small VM, and a server in trouble may send bytes without end on every connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

/// Length up to which a message needs no part of the budget, so that ordinary calls pass while long
/// ones have used it up.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// The bytes that the messages of a process may hold together.
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

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// A lease for one message, of no bytes yet.
    pub fn reservation(self: &Arc<Self>) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
    }
}

/// The part of a budget that one message has. It is given back on drop.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteReservation {
    /// Takes over that the message has `length` bytes by now. False if the budget has no room for it.
    pub fn try_grow_to(&mut self, length: usize) -> bool {
        let bytes = if length > UNCOUNTED_BYTES { length } else { 0 };
        let additional = bytes.saturating_sub(self.bytes);
        let used = self.budget.used.fetch_add(additional, Ordering::AcqRel) + additional;
        self.bytes += additional;
        additional == 0 || used <= self.budget.limit
    }

    /// Ties the lease to the bytes of the whole message.
    pub fn into_bytes(self, bytes: Vec<u8>) -> Bytes {
        if self.bytes == 0 { bytes.into() } else { Bytes::from_owner(ReservedBytes(bytes, self)) }
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Bytes with the lease that lasts as long as they do.
struct ReservedBytes(Vec<u8>, #[expect(dead_code, reason = "held for its drop")] ByteReservation);

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum CollectError {
    /// It is longer than its own limit.
    #[snafu(display("the body is too long"))]
    TooLong,
    /// All bodies together are too long.
    #[snafu(display("no memory is left for the body"))]
    BudgetExhausted,
    /// It broke off.
    #[snafu(display("the body broke off: {reason}"))]
    ReadFailed {
        /// The reason.
        reason: String,
    },
}

/// Reads a body of up to `limit` bytes whole, within the budget.
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
        // Trailers have no meaning here.
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
