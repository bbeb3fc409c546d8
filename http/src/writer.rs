//! Writes encoded messages. Head and small body are combined into one write.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

use crate::progress::ProgressTimer;

/// Size of the write buffer.
const BUFFER_BYTES: usize = 32 * 1024;

/// Size of the write buffer for a message with a small body. The longest head and the body fit.
const SMALL_BUFFER_BYTES: usize = 14 * 1024;

/// Maximum length of a small body.
const MAX_SMALL_BODY_BYTES: u64 = 2 * 1024;

/// Minimum free space for a read from the encoder. The chunked encoder of `async-h1` panics below 6
/// bytes.
const MIN_READ_BYTES: usize = 1024;

/// Reason why a message was not written completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// Reading the body failed, its length differs from the declared one, or the head does not fit
    /// the buffer.
    Body(io::ErrorKind),
    /// Writing to the connection failed.
    Connection(io::ErrorKind),
}

/// Writes one message to a connection.
pub(crate) struct MessageWriter {
    stream: TcpStream,
    encoder: Box<dyn AsyncRead + Send + Sync + Unpin>,
    /// Declared length of the body; `None` for the chunked transfer coding.
    body_length: Option<u64>,
    head_bytes: Option<u64>,
    encoded: u64,
    written: u64,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    encoder_done: bool,
    timer: ProgressTimer,
}

impl MessageWriter {
    /// Creates a writer. The first read from `encoder` must return the complete head, as the
    /// encoders of `async-h1` do.
    pub(crate) fn new(
        stream: TcpStream,
        encoder: Box<dyn AsyncRead + Send + Sync + Unpin>,
        body_length: Option<u64>,
        interval: Option<Duration>,
    ) -> MessageWriter {
        let small = body_length.is_some_and(|body_length| body_length <= MAX_SMALL_BODY_BYTES);
        let buffer_bytes = if small { SMALL_BUFFER_BYTES } else { BUFFER_BYTES };
        MessageWriter {
            stream,
            encoder,
            body_length,
            head_bytes: None,
            encoded: 0,
            written: 0,
            buffer: vec![0; buffer_bytes],
            start: 0,
            end: 0,
            encoder_done: false,
            timer: ProgressTimer::new(interval),
        }
    }

    /// Returns whether any byte was written to the socket.
    pub(crate) fn has_written(&self) -> bool {
        self.written > 0
    }

    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), WriteFault>> {
        loop {
            self.poll_encoder(cx)?;
            if self.start == self.end {
                return if self.encoder_done { Poll::Ready(Ok(())) } else { Poll::Pending };
            }
            ready!(self.poll_stream(cx))?;
        }
    }

    fn poll_encoder(&mut self, cx: &mut Context<'_>) -> Result<(), WriteFault> {
        while !self.encoder_done && self.buffer.len() - self.end >= MIN_READ_BYTES {
            let free = &mut self.buffer[self.end..];
            let free_bytes = free.len();
            let count = match Pin::new(&mut self.encoder).poll_read(cx, free) {
                Poll::Pending => return Ok(()),
                Poll::Ready(Ok(count)) => count,
                Poll::Ready(Err(error)) => return Err(WriteFault::Body(error.kind())),
            };
            if self.head_bytes.is_none() {
                if count == free_bytes {
                    return Err(WriteFault::Body(io::ErrorKind::InvalidInput));
                }
                self.head_bytes = Some(count as u64);
            }
            self.end += count;
            self.encoded += count as u64;
            self.encoder_done = count == 0;
        }
        let body_bytes = self.encoded - self.head_bytes.unwrap_or(0);
        match self.body_length {
            Some(body_length) if self.encoder_done && body_length != body_bytes => {
                Err(WriteFault::Body(io::ErrorKind::UnexpectedEof))
            }
            _ => Ok(()),
        }
    }

    fn poll_stream(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), WriteFault>> {
        let bytes = &self.buffer[self.start..self.end];
        let count = match Pin::new(&mut self.stream).poll_write(cx, bytes) {
            Poll::Ready(Ok(0)) => return fail(io::ErrorKind::WriteZero),
            Poll::Ready(Ok(count)) => count,
            Poll::Ready(Err(error)) => return fail(error.kind()),
            Poll::Pending if self.timer.poll_expired(cx) => return fail(io::ErrorKind::TimedOut),
            Poll::Pending => return Poll::Pending,
        };
        self.timer.record_progress();
        self.written += count as u64;
        self.start += count;
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
        Poll::Ready(Ok(()))
    }
}

fn fail(kind: io::ErrorKind) -> Poll<Result<(), WriteFault>> {
    Poll::Ready(Err(WriteFault::Connection(kind)))
}

impl fmt::Debug for MessageWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MessageWriter").field("written", &self.written).finish_non_exhaustive()
    }
}
