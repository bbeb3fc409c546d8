//! Streaming bodies that are read from a shared connection.

use std::fmt;
use std::io;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use futures_lite::{AsyncBufRead, AsyncRead};

const BUFFER_BYTES: usize = 4096;

/// A connection that message bodies are read from.
pub(crate) trait BodySource: Send + fmt::Debug + 'static {
    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>>;
}

/// A message body that shares its connection with the messages that follow.
#[derive(Debug)]
pub(crate) struct SharedBody<S> {
    source: Arc<Mutex<S>>,
    /// Allocated on the first use as `AsyncBufRead`. `AsyncRead` reads directly from the source.
    buffer: Vec<u8>,
    start: usize,
    end: usize,
}

impl<S: BodySource> SharedBody<S> {
    pub(crate) fn new(source: Arc<Mutex<S>>) -> SharedBody<S> {
        SharedBody { source, buffer: Vec::new(), start: 0, end: 0 }
    }
}

impl<S: BodySource> AsyncRead for SharedBody<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.start < self.end {
            let count = out.len().min(self.end - self.start);
            out[..count].copy_from_slice(&self.buffer[self.start..self.start + count]);
            self.start += count;
            return Poll::Ready(Ok(count));
        }
        lock(&self.source).poll_body(cx, out)
    }
}

impl<S: BodySource> AsyncBufRead for SharedBody<S> {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        if body.start == body.end {
            body.buffer.resize(BUFFER_BYTES, 0);
            body.start = 0;
            body.end = 0;
            body.end = ready!(lock(&body.source).poll_body(cx, &mut body.buffer))?;
        }
        Poll::Ready(Ok(&body.buffer[body.start..body.end]))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.start = self.end.min(self.start + count);
    }
}

/// Locks a mutex and ignores poisoning. Use it only for state that is consistent at every point
/// where the holder of the lock can panic.
pub fn lock<S: ?Sized>(source: &Mutex<S>) -> MutexGuard<'_, S> {
    source.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Polls a future once and returns its output if it is ready. The decoders of `async-h1` never wait
/// on bytes in memory, and their 4 KB of state would otherwise be part of the calling future.
pub(crate) fn now_or_never<F: Future>(future: F) -> Option<F::Output> {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(output) => Some(output),
        Poll::Pending => None,
    }
}
