//! Reads one message after another from a connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker, ready};
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

use crate::progress::ProgressTimer;
use crate::scan::find_head_end;
use crate::{BodyFraming, ChunkParser, HttpFault, MAX_HEAD_BYTES};

/// Bytes buffered for each connection. A head has to fit.
const BUFFER_BYTES: usize = MAX_HEAD_BYTES + 1;

const CONTINUE_ANSWER: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

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
    searched: usize,
    eof: bool,
    body: BodyState,
    /// Rest of the `100 Continue` that goes out before the body is read.
    interim: &'static [u8],
    timer: ProgressTimer,
    watcher: Option<Waker>,
    /// Set while the watch for a close waits for the socket.
    watch: Option<Arc<CloseWatch>>,
}

/// Wakes the task of a connection when its socket has something to read, and remembers that.
#[derive(Debug)]
struct CloseWatch {
    ready: AtomicBool,
    task: Waker,
}

impl Wake for CloseWatch {
    fn wake(self: Arc<Self>) {
        self.ready.store(true, Ordering::Release);
        self.task.wake_by_ref();
    }
}

impl MessageReader {
    pub(crate) fn new(stream: TcpStream) -> MessageReader {
        MessageReader {
            stream,
            buffer: vec![0; BUFFER_BYTES].into(),
            start: 0,
            end: 0,
            searched: 0,
            eof: false,
            body: BodyState::Done,
            interim: &[],
            timer: ProgressTimer::new(None),
            watcher: None,
            watch: None,
        }
    }

    /// Sets the limit on each wait for bytes of a body.
    pub(crate) fn limit_waits(&mut self, interval: Option<Duration>) {
        self.timer.reset(interval);
    }

    /// Bytes that arrived and were not read yet.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Whether the body of the message was read to its end.
    pub(crate) fn is_body_done(&self) -> bool {
        matches!(self.body, BodyState::Done)
    }

    /// Whether a client still waits for `100 Continue`.
    pub(crate) fn awaits_continue(&self) -> bool {
        self.interim.len() == CONTINUE_ANSWER.len()
    }

    /// Reads a head with its empty line. `None` means that the connection ended before it.
    pub(crate) fn poll_head(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Vec<u8>>, HttpFault>> {
        loop {
            // Some clients end a body with an extra line end.
            while self.searched == 0 && self.buffered().starts_with(b"\r\n") {
                self.start += 2;
            }
            let bytes = self.buffered();
            if let Some(end) = find_head_end(bytes, self.searched) {
                let head = bytes[..end].to_vec();
                self.start += end;
                self.searched = 0;
                return Poll::Ready(Ok(Some(head)));
            }
            if bytes.len() >= MAX_HEAD_BYTES {
                return Poll::Ready(Err(HttpFault::HeadTooLarge));
            }
            self.searched = bytes.len().saturating_sub(3);
            if ready!(self.poll_fill(cx))? == 0 {
                let clean = self.buffered().is_empty();
                return Poll::Ready(if clean { Ok(None) } else { Err(HttpFault::HeadTruncated) });
            }
        }
    }

    /// Starts the body that follows the last head.
    pub(crate) fn start_body(&mut self, framing: BodyFraming, expects_continue: bool) {
        // Other reads have replaced the waker since.
        self.watch = None;
        self.body = match framing {
            BodyFraming::Absent | BodyFraming::Length(0) => BodyState::Done,
            BodyFraming::Length(length) => BodyState::Length(length),
            BodyFraming::Chunked => BodyState::Chunked(ChunkParser::new()),
        };
        let waits = expects_continue && !self.is_body_done() && self.buffered().is_empty();
        self.interim = if waits { CONTINUE_ANSWER } else { &[] };
        self.timer.clear();
    }

    /// The whole body, if all of it is in the buffer already.
    pub(crate) fn take_buffered_body(&mut self) -> Option<Vec<u8>> {
        let BodyState::Length(left) = self.body else { return None };
        let length = usize::try_from(left).ok()?;
        let body = self.buffered().get(..length)?.to_vec();
        self.start += length;
        self.end_body(BodyState::Done);
        Some(body)
    }

    /// Reads from the body. Zero bytes mean its end as framed; any other end is an error.
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
        ready!(self.poll_interim(cx))?;
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
        if let Some(watcher) = self.watcher.take() {
            watcher.wake();
        }
    }

    /// Completes when the peer closes the connection after its message. Bytes of the next message
    /// stay in the buffer; a full buffer ends the watch.
    pub(crate) fn poll_close(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if !self.is_body_done() {
                self.watcher = Some(cx.waker().clone());
                return Poll::Pending;
            }
            if self.end - self.start == BUFFER_BYTES {
                return Poll::Pending;
            }
            // The task is mostly woken by its own work, which is no reason to ask the socket again.
            let waits = |watch: &Arc<CloseWatch>| {
                !watch.ready.load(Ordering::Acquire) && watch.task.will_wake(cx.waker())
            };
            if self.watch.as_ref().is_some_and(waits) {
                return Poll::Pending;
            }
            let task = cx.waker().clone();
            let watch = Arc::new(CloseWatch { ready: AtomicBool::new(false), task });
            let waker = Waker::from(watch.clone());
            match self.poll_fill_unlimited(&mut Context::from_waker(&waker)) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => (),
                Poll::Pending => self.watch = Some(watch),
            }
        }
    }

    /// Reads what comes after the last message on an idle connection. Zero bytes mean its end.
    pub(crate) fn poll_fill_unlimited(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.eof {
            return Poll::Ready(Ok(0));
        }
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        let room = &mut self.buffer[self.end..];
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, room))?;
        self.end += count;
        self.eof = count == 0;
        Poll::Ready(Ok(count))
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        match self.poll_fill_unlimited(cx) {
            Poll::Ready(result) => {
                self.timer.clear();
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_timer(cx),
        }
    }

    fn poll_stream(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_read(cx, out) {
            Poll::Ready(result) => {
                self.timer.clear();
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_timer(cx),
        }
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.timer.poll_expired(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn poll_interim(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.interim.is_empty() {
            let count = ready!(Pin::new(&mut self.stream).poll_write(cx, self.interim))?;
            self.interim = &self.interim[count..];
        }
        Poll::Ready(Ok(()))
    }
}
