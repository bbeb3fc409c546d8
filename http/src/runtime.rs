//! Implementations of the `hyper` runtime traits for `async-std`.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::rt::{Executor, ReadBufCursor, Sleep, Timer};

use crate::body::lock;
use crate::coarse_timer::CoarseSleep;
use crate::meter::ConnectionMeter;
use crate::read_turn::ReadTurn;

/// Maximum number of bytes per read from a socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of bytes read ahead while a request is served. If a client sends more, its close
/// is no longer detected. The longest head fits.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Number of bytes that are read ahead even if the memory budget is exhausted.
const MIN_READ_AHEAD_BYTES: usize = 4 * 1024;

/// How long a connection that must not read waits before it checks the memory budget again.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Spawns the tasks of `hyper` on `async-std`.
#[derive(Debug, Clone, Copy, Default)]
pub struct HyperExecutor;

impl<F> Executor<F> for HyperExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        task::spawn(future);
    }
}

/// Creates timers for `hyper`.
#[derive(Debug, Clone, Copy, Default)]
pub struct HyperTimer;

/// A timer that stays ready once it has elapsed, as `hyper` expects. `async_io::Timer` is ready
/// only once.
struct TimerSleep {
    timer: async_io::Timer,
    elapsed: bool,
}

impl TimerSleep {
    fn boxed(timer: async_io::Timer) -> Pin<Box<dyn Sleep>> {
        Box::pin(TimerSleep { timer, elapsed: false })
    }
}

impl Future for TimerSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if !self.elapsed {
            ready!(Pin::new(&mut self.timer).poll(cx));
            self.elapsed = true;
        }
        Poll::Ready(())
    }
}

impl Sleep for TimerSleep {}

impl Timer for HyperTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        TimerSleep::boxed(async_io::Timer::after(duration))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        TimerSleep::boxed(async_io::Timer::at(deadline))
    }
}

/// Input that was read from the socket before `hyper` requested it.
#[derive(Debug, Default)]
struct ReadAhead {
    bytes: Vec<u8>,
    eof: bool,
}

/// Counts events that prove a peer to be alive: reads that returned data, and writes that succeeded
/// after blocking, because the peer must have received data in between.
#[derive(Debug, Clone, Default)]
pub struct PeerActivity(Arc<AtomicU64>);

impl PeerActivity {
    /// Returns the number of events so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn record(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// A TCP stream that implements the I/O traits of `hyper`.
#[derive(Debug)]
pub struct HyperStream {
    stream: TcpStream,
    read_ahead: Arc<Mutex<ReadAhead>>,
    activity: PeerActivity,
    /// Whether the last write blocked.
    write_blocked: bool,
    turn: ReadTurn,
    meter: Option<Arc<ConnectionMeter>>,
    /// Runs while the connection must not read.
    pause: Option<CoarseSleep>,
}

/// Detects that the client closes its connection while a request is served.
#[derive(Debug, Clone)]
pub struct CloseWatch {
    stream: TcpStream,
    read_ahead: Arc<Mutex<ReadAhead>>,
    meter: Option<Arc<ConnectionMeter>>,
}

impl HyperStream {
    /// Wraps a TCP stream.
    pub fn new(stream: TcpStream) -> HyperStream {
        HyperStream {
            stream,
            read_ahead: Arc::default(),
            activity: PeerActivity::default(),
            write_blocked: false,
            turn: ReadTurn::default(),
            meter: None,
            pause: None,
        }
    }

    /// Counts the memory and the progress of the connection with `meter`, and stops to read while
    /// the budget is exhausted.
    pub fn with_meter(mut self, meter: Arc<ConnectionMeter>) -> HyperStream {
        self.meter = Some(meter);
        self
    }

    /// Returns the activity counter of the peer.
    pub fn activity(&self) -> PeerActivity {
        self.activity.clone()
    }

    /// Waits until the memory budget allows reading, or fails if the connection does not wait.
    fn poll_memory(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(meter) = &self.meter else { return Poll::Ready(Ok(())) };
        while !meter.reserve_read() {
            if meter.fails_without_room() {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
            let pause = self.pause.get_or_insert_with(|| CoarseSleep::new(READ_PAUSE));
            ready!(Pin::new(pause).poll(cx));
            self.pause = None;
        }
        Poll::Ready(Ok(()))
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>, length: usize) {
        if let Some(meter) = &self.meter {
            match written {
                Poll::Pending => meter.record_blocked_write(length),
                Poll::Ready(Ok(count)) => meter.record_written(*count),
                Poll::Ready(Err(_)) => (),
            }
        }
        match written {
            Poll::Pending => self.write_blocked = true,
            Poll::Ready(Ok(_)) if self.write_blocked => {
                self.write_blocked = false;
                self.activity.record();
            }
            Poll::Ready(_) => (),
        }
    }

    /// Returns a watch that detects when the peer closes the connection.
    pub fn watch(&self) -> CloseWatch {
        let (stream, read_ahead) = (self.stream.clone(), self.read_ahead.clone());
        CloseWatch { stream, read_ahead, meter: self.meter.clone() }
    }
}

impl CloseWatch {
    /// Completes when the peer closes the connection. Bytes of further requests are buffered for
    /// the server. Await it only after the body of the current request was read.
    pub async fn closed(&mut self) {
        std::future::poll_fn(|cx| self.poll_closed(cx)).await;
    }

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut read_ahead = lock(&self.read_ahead);
            if read_ahead.eof {
                return Poll::Ready(());
            }
            let limit = match &self.meter {
                Some(meter) if !meter.may_read_ahead() => MIN_READ_AHEAD_BYTES,
                _ => MAX_READ_AHEAD_BYTES,
            };
            if read_ahead.bytes.len() >= limit {
                return Poll::Pending;
            }
            let mut buffer = [0; 4096];
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer)) {
                Ok(0) | Err(_) => read_ahead.eof = true,
                Ok(count) => {
                    read_ahead.bytes.extend_from_slice(&buffer[..count]);
                    if let Some(meter) = &self.meter {
                        meter.record_read_ahead(read_ahead.bytes.capacity());
                    }
                }
            }
        }
    }
}

impl hyper::rt::Read for HyperStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut read_ahead = lock(&this.read_ahead);
        if !read_ahead.bytes.is_empty() {
            let max_read = this.meter.as_ref().map_or(usize::MAX, |meter| meter.max_read_bytes());
            let count = read_ahead.bytes.len().min(target.remaining()).min(max_read);
            target.put_slice(&read_ahead.bytes[..count]);
            read_ahead.bytes.drain(..count);
            if read_ahead.bytes.is_empty() {
                read_ahead.bytes = Vec::new();
            }
            if let Some(meter) = &this.meter {
                meter.record_read_ahead(read_ahead.bytes.capacity());
                meter.record_read(count);
            }
            return Poll::Ready(Ok(()));
        }
        if read_ahead.eof {
            return Poll::Ready(Ok(()));
        }
        drop(read_ahead);
        ready!(this.poll_memory(cx))?;
        let mut buffer = [0; READ_CHUNK_BYTES];
        let max_read = this.meter.as_ref().map_or(usize::MAX, |meter| meter.max_read_bytes());
        let limit = target.remaining().min(READ_CHUNK_BYTES).min(max_read);
        let (stream, out) = (&mut this.stream, &mut buffer[..limit]);
        let count = ready!(this.turn.poll_read(cx, |cx| Pin::new(stream).poll_read(cx, out)))?;
        target.put_slice(&buffer[..count]);
        if let Some(meter) = &this.meter {
            meter.record_read(count);
        }
        if count > 0 {
            this.activity.record();
        }
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for HyperStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&written, bytes.len());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.record_write(&written, bytes.iter().map(|part| part.len()).sum());
        written
    }
}
