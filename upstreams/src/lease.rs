//! A streamed response body that returns its connection to the pool at its end.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use fescuestack_http::CoarseSleep;
use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::Body;

use crate::pool::ConnectionLease;

/// A response body that can be read until the deadline of its exchange.
pub(crate) struct LeasedBody {
    body: Body,
    lease: Option<ConnectionLease>,
    deadline: Instant,
    deadline_timer: Option<CoarseSleep>,
}

impl LeasedBody {
    pub(crate) fn new(body: Body, lease: ConnectionLease, deadline: Instant) -> LeasedBody {
        LeasedBody { body, lease: Some(lease), deadline, deadline_timer: None }
    }

    pub(crate) fn into_body(self) -> Body {
        let length = self.body.len();
        Body::from_reader(self, length)
    }

    /// Is ready once the deadline has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let deadline_timer = self.deadline_timer.get_or_insert_with(|| CoarseSleep::new(remaining));
        Pin::new(deadline_timer).poll(cx)
    }

    /// Closes the connection and returns an error of the given kind.
    fn fail<T>(&mut self, kind: io::ErrorKind) -> Poll<io::Result<T>> {
        self.lease = None;
        Poll::Ready(Err(kind.into()))
    }

    /// Returns the connection to the pool after the last byte.
    fn release(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.release();
        }
    }
}

impl AsyncRead for LeasedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.lease.is_none() {
            return Poll::Ready(Ok(0));
        }
        match Pin::new(&mut this.body).poll_read(cx, buffer) {
            Poll::Ready(Ok(0)) if !buffer.is_empty() => {
                this.release();
                Poll::Ready(Ok(0))
            }
            Poll::Ready(Ok(count)) => Poll::Ready(Ok(count)),
            Poll::Ready(Err(error)) => this.fail(error.kind()),
            Poll::Pending => {
                ready!(this.poll_deadline(cx));
                this.fail(io::ErrorKind::TimedOut)
            }
        }
    }
}

impl AsyncBufRead for LeasedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        Pin::new(&mut self.body).consume(count);
    }
}

impl Drop for LeasedBody {
    fn drop(&mut self) {
        // A reader that knows the length never polls past the last byte, so the connection is
        // released here. The lease closes it if the body was not read to its end.
        self.release();
    }
}

impl fmt::Debug for LeasedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LeasedBody").field("lease", &self.lease).finish_non_exhaustive()
    }
}
