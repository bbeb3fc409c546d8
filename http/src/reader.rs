//! Reads consecutive messages from a connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker, ready};
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

use crate::head::find_head_end;
use crate::progress::ProgressTimer;
use crate::read_turn::ReadTurn;
use crate::response_head::{ResponseHead, parse_response_head};
use crate::{BodyFraming, ChunkParser, HttpFault, MAX_HEAD_BYTES, ParseSchedule};

/// Size of the read buffer of a connection. A complete head must fit.
const BUFFER_BYTES: usize = MAX_HEAD_BYTES + 1;

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

#[derive(Debug)]
enum BodyState {
    Done,
    Length(u64),
    Chunked(ChunkParser),
    Failed,
}

/// The reading half of a connection.
#[derive(Debug)]
pub(crate) struct MessageReader {
    stream: TcpStream,
    buffer: Box<[u8]>,
    start: usize,
    end: usize,
    searched_bytes: usize,
    parse_schedule: ParseSchedule,
    eof: bool,
    body: BodyState,
    /// Part of `100 Continue` that must be written before the body is read.
    continue_left: &'static [u8],
    timer: ProgressTimer,
    turn: ReadTurn,
    close_waker: Option<Waker>,
    /// Set while `poll_close` waits for the socket.
    read_signal: Option<Arc<ReadSignal>>,
}

/// Wakes the task of a connection when its socket is readable, and records that it was.
#[derive(Debug)]
struct ReadSignal {
    readable: AtomicBool,
    task_waker: Waker,
}

impl Wake for ReadSignal {
    fn wake(self: Arc<Self>) {
        self.readable.store(true, Ordering::Release);
        self.task_waker.wake_by_ref();
    }
}

impl MessageReader {
    pub(crate) fn new(stream: TcpStream) -> MessageReader {
        MessageReader {
            stream,
            buffer: vec![0; BUFFER_BYTES].into(),
            start: 0,
            end: 0,
            searched_bytes: 0,
            parse_schedule: ParseSchedule::new(),
            eof: false,
            body: BodyState::Done,
            continue_left: &[],
            timer: ProgressTimer::new(None),
            turn: ReadTurn::default(),
            close_waker: None,
            read_signal: None,
        }
    }

    /// Sets the timeout of each read. `None` disables it.
    pub(crate) fn set_read_timeout(&mut self, interval: Option<Duration>) {
        self.timer.set_interval(interval);
    }

    /// Returns the bytes that have arrived and are not yet consumed.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Returns whether the body of the current message was read to its end.
    pub(crate) fn is_body_done(&self) -> bool {
        matches!(self.body, BodyState::Done)
    }

    /// Returns whether the client still waits for `100 Continue`.
    pub(crate) fn awaits_continue(&self) -> bool {
        self.continue_left.len() == CONTINUE_RESPONSE.len()
    }

    /// Reads a request head, including the empty line. Returns `None` if the connection ended before
    /// it.
    pub(crate) fn poll_request_head(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Vec<u8>>, HttpFault>> {
        loop {
            // Some clients send an extra CRLF after a body.
            while self.searched_bytes == 0 && self.buffered().starts_with(b"\r\n") {
                self.start += 2;
            }
            let bytes = self.buffered();
            if let Some(end) = find_head_end(bytes, self.searched_bytes) {
                let head = bytes[..end].to_vec();
                self.start += end;
                self.searched_bytes = 0;
                return Poll::Ready(Ok(Some(head)));
            }
            if bytes.len() >= MAX_HEAD_BYTES {
                return Poll::Ready(Err(HttpFault::HeadTooLarge));
            }
            self.searched_bytes = bytes.len().saturating_sub(3);
            if ready!(self.poll_fill(cx))? == 0 {
                return Poll::Ready(self.ended_head());
            }
        }
    }

    /// Reads a response head. Returns `None` if the connection ended before it.
    pub(crate) fn poll_response_head(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<ResponseHead>, HttpFault>> {
        loop {
            let bytes = &self.buffer[self.start..self.end];
            if self.parse_schedule.is_due(bytes)
                && let Some(head) = parse_response_head(bytes)?
            {
                self.start += head.length;
                self.parse_schedule = ParseSchedule::new();
                return Poll::Ready(Ok(Some(head)));
            }
            if bytes.len() >= MAX_HEAD_BYTES {
                return Poll::Ready(Err(HttpFault::HeadTooLarge));
            }
            if ready!(self.poll_fill(cx))? == 0 {
                return Poll::Ready(self.ended_head());
            }
        }
    }

    /// Returns the outcome of reading a head after the connection has ended.
    fn ended_head<T>(&self) -> Result<Option<T>, HttpFault> {
        if self.buffered().is_empty() { Ok(None) } else { Err(HttpFault::HeadTruncated) }
    }

    /// Prepares to read the body that follows the last head.
    pub(crate) fn start_body(&mut self, framing: BodyFraming, expects_continue: bool) {
        // Other reads have replaced the waker of the socket since.
        self.read_signal = None;
        self.body = match framing {
            BodyFraming::Absent | BodyFraming::Length(0) => BodyState::Done,
            BodyFraming::Length(length) => BodyState::Length(length),
            BodyFraming::Chunked => BodyState::Chunked(ChunkParser::new()),
        };
        let send_continue = expects_continue && !self.is_body_done() && self.buffered().is_empty();
        self.continue_left = if send_continue { CONTINUE_RESPONSE } else { &[] };
        self.timer.record_progress();
    }

    /// Returns the complete body if it has a declared length and is already buffered.
    pub(crate) fn take_buffered_body(&mut self) -> Option<Vec<u8>> {
        let BodyState::Length(left) = self.body else { return None };
        let length = usize::try_from(left).ok()?;
        let body = self.buffered().get(..length)?.to_vec();
        self.start += length;
        self.end_body(BodyState::Done);
        Some(body)
    }

    /// Reads from the body. Returns 0 at the end of its framing and an error at any earlier end.
    pub(crate) fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(self.poll_body_bytes(cx, out));
        if result.is_err() {
            self.end_body(BodyState::Failed);
        }
        Poll::Ready(result)
    }

    fn poll_body_bytes(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        if out.is_empty() {
            return Poll::Ready(Ok(0));
        }
        ready!(self.poll_continue(cx))?;
        loop {
            let data_left = match &mut self.body {
                BodyState::Done => return Poll::Ready(Ok(0)),
                BodyState::Failed => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
                BodyState::Length(left) => *left,
                BodyState::Chunked(scanner) => {
                    let bytes = &self.buffer[self.start..self.end];
                    self.start += scanner.parse_framing(bytes)?;
                    if scanner.is_done() {
                        self.end_body(BodyState::Done);
                        return Poll::Ready(Ok(0));
                    }
                    scanner.remaining_data()
                }
            };
            let limit = usize::try_from(data_left).unwrap_or(usize::MAX).min(out.len());
            let count = if limit == 0 || (self.buffered().is_empty() && out.len() < BUFFER_BYTES) {
                if ready!(self.poll_fill(cx))? == 0 {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
                continue;
            } else if self.buffered().is_empty() {
                ready!(self.poll_stream(cx, &mut out[..limit]))?
            } else {
                let count = limit.min(self.end - self.start);
                out[..count].copy_from_slice(&self.buffer[self.start..self.start + count]);
                self.start += count;
                count
            };
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            self.take_data(count as u64);
            return Poll::Ready(Ok(count));
        }
    }

    fn take_data(&mut self, count: u64) {
        match &mut self.body {
            BodyState::Length(left) => {
                *left -= count;
                if *left == 0 {
                    self.end_body(BodyState::Done);
                }
            }
            BodyState::Chunked(scanner) => scanner.consume_data(count),
            BodyState::Done | BodyState::Failed => (),
        }
    }

    fn end_body(&mut self, state: BodyState) {
        self.body = state;
        if let Some(close_waker) = self.close_waker.take() {
            close_waker.wake();
        }
    }

    /// Completes when the peer closes the connection after the current message. Bytes of the next
    /// message are buffered; once the buffer is full, a close is no longer detected.
    pub(crate) fn poll_close(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if !self.is_body_done() {
                self.close_waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            if self.end - self.start == BUFFER_BYTES {
                return Poll::Pending;
            }
            // Most wake-ups of the task come from its own work. Polling the socket each time would
            // cost a system call.
            let is_waiting = |read_signal: &Arc<ReadSignal>| {
                !read_signal.readable.load(Ordering::Acquire)
                    && read_signal.task_waker.will_wake(cx.waker())
            };
            if self.read_signal.as_ref().is_some_and(is_waiting) {
                return Poll::Pending;
            }
            let task_waker = cx.waker().clone();
            let read_signal = Arc::new(ReadSignal { readable: AtomicBool::new(false), task_waker });
            let waker = Waker::from(read_signal.clone());
            match self.poll_fill_untimed(&mut Context::from_waker(&waker)) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => (),
                Poll::Pending => self.read_signal = Some(read_signal),
            }
        }
    }

    /// Reads into the buffer without a timeout. Returns 0 at the end of the connection.
    pub(crate) fn poll_fill_untimed(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.eof {
            return Poll::Ready(Ok(0));
        }
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        let free = &mut self.buffer[self.end..];
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, free))?;
        self.end += count;
        self.eof = count == 0;
        Poll::Ready(Ok(count))
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut turn = std::mem::take(&mut self.turn);
        let result = turn.poll_read(cx, |cx| self.poll_fill_untimed(cx));
        self.turn = turn;
        match result {
            Poll::Ready(result) => {
                self.timer.record_progress();
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_timeout(cx),
        }
    }

    fn poll_stream(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        match self.turn.poll_read(cx, |cx| stream.poll_read(cx, out)) {
            Poll::Ready(result) => {
                self.timer.record_progress();
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_timeout(cx),
        }
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.timer.poll_expired(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn poll_continue(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.continue_left.is_empty() {
            let count = ready!(Pin::new(&mut self.stream).poll_write(cx, self.continue_left))?;
            self.continue_left = &self.continue_left[count..];
        }
        Poll::Ready(Ok(()))
    }
}
