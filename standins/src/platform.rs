//! Stand-in for the configuration service of the platform: HTTP reads and watches, with injected
//! faults.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use fescuestack_http::lock;
use futures_lite::StreamExt;
use http_types::{Request, Response, StatusCode};

/// Rate limit of the configuration service over all its clients.
const MAX_CALLS_PER_SECOND: u32 = 2_000;

/// Maximum duration of a watch.
const MAX_WATCH_TIME: Duration = Duration::from_secs(30);

/// Behaviour of the stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlatformMode {
    /// Answers immediately.
    #[default]
    Healthy,
    /// Closes each connection without an answer.
    Down,
    /// Answers after this delay.
    Slow(Duration),
    /// Answers with the values at the time when the mode was set.
    Stale,
}

/// Counters of the calls to the stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounters {
    /// Reads and watches, counted before they are answered.
    pub calls: u64,
    /// Calls rejected by the rate limit.
    pub throttled: u64,
    /// Total size of the values sent, in bytes.
    pub bytes: u64,
}

#[derive(Debug, Clone)]
struct StoredValue {
    revision: u64,
    content: Arc<str>,
}

#[derive(Debug, Default)]
struct PlatformState {
    mode: PlatformMode,
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    stale_values: BTreeMap<String, StoredValue>,
    watches: Vec<async_channel::Sender<()>>,
    counters: PlatformCounters,
    window_start: Option<Instant>,
    calls_in_window: u32,
}

/// A running stand-in for the configuration service. Clones share its state.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
}

enum ReadResult {
    Found(StoredValue),
    Unchanged,
    Absent,
    Throttled,
    Closed,
}

impl PlatformStandin {
    /// Binds to `address` and serves until the process ends. Fails if the address cannot be bound.
    pub async fn new(address: SocketAddr) -> io::Result<PlatformStandin> {
        let listener = TcpListener::bind(address).await?;
        let standin = PlatformStandin { address: listener.local_addr()?, state: Arc::default() };
        task::spawn(standin.clone().accept(listener));
        Ok(standin)
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets values in the given order, so that a head published last never refers to a missing value, and
    /// wakes all watches. Unchanged values keep their revision.
    pub fn publish<'a>(&self, values: impl IntoIterator<Item = (&'a str, &'a str)>) {
        let mut state = self.lock();
        for (key, content) in values {
            let unchanged = state.values.get(key).is_some_and(|value| *value.content == *content);
            if unchanged {
                continue;
            }
            state.revision += 1;
            let value = StoredValue { revision: state.revision, content: content.into() };
            state.values.insert(key.to_owned(), value);
        }
        state.watches.clear();
    }

    /// Sets the mode and wakes all watches, which then read again in the new mode.
    pub fn set_mode(&self, mode: PlatformMode) {
        let mut state = self.lock();
        if mode == PlatformMode::Stale {
            state.stale_values = state.values.clone();
        }
        state.mode = mode;
        state.watches.clear();
    }

    /// Returns the counters.
    pub fn counters(&self) -> PlatformCounters {
        self.lock().counters
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        lock(&self.state)
    }

    async fn accept(self, listener: TcpListener) {
        let mut incoming = listener.incoming();
        while let Some(accepted) = incoming.next().await {
            // A failed accept affects one connection, not the listener.
            if let Ok(stream) = accepted {
                task::spawn(self.clone().serve(stream));
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        // With Nagle's algorithm, delayed acknowledgements add 40 ms to an answer.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        // An error ends only this connection. The client opens another one.
        let _ = async_h1::accept(stream, |request| self.answer(request)).await;
    }

    async fn answer(&self, request: Request) -> http_types::Result<Response> {
        let delay = match self.lock().mode {
            PlatformMode::Slow(delay) => delay,
            _ => Duration::ZERO,
        };
        task::sleep(delay).await;
        let path = request.url().path();
        let key = path.strip_prefix("/v1/values/").unwrap_or_default().to_owned();
        let mut after = None;
        let mut wait = Duration::ZERO;
        for (name, value) in request.url().query_pairs() {
            match &*name {
                "after" => after = value.parse().ok(),
                "wait_ms" => wait = Duration::from_millis(value.parse().unwrap_or(0)),
                _ => (),
            }
        }
        let outcome = self.read_value(&key, after, wait.min(MAX_WATCH_TIME)).await;
        self.response(outcome)
    }

    async fn read_value(&self, key: &str, after: Option<u64>, wait: Duration) -> ReadResult {
        let deadline = Instant::now() + wait;
        let mut is_counted = false;
        loop {
            let changed = {
                let mut state = self.lock();
                if state.mode == PlatformMode::Down {
                    return ReadResult::Closed;
                }
                if !is_counted && !state.count_call() {
                    return ReadResult::Throttled;
                }
                is_counted = true;
                let values = match state.mode {
                    PlatformMode::Stale => &state.stale_values,
                    _ => &state.values,
                };
                match values.get(key) {
                    Some(value) if after != Some(value.revision) => {
                        return ReadResult::Found(value.clone());
                    }
                    None if after.is_none() => return ReadResult::Absent,
                    _ => (),
                }
                let (sender, receiver) = async_channel::bounded(1);
                state.watches.push(sender);
                receiver
            };
            let left = deadline.saturating_duration_since(Instant::now());
            // Dropping the sender wakes the watch, so any result but a timeout means that it reads again.
            if left.is_zero() || timeout(left, changed.recv()).await.is_err() {
                return ReadResult::Unchanged;
            }
        }
    }

    fn response(&self, outcome: ReadResult) -> http_types::Result<Response> {
        match outcome {
            ReadResult::Found(value) => {
                self.lock().counters.bytes += value.content.len() as u64;
                let mut response = Response::new(StatusCode::Ok);
                response.insert_header("x-revision", value.revision.to_string());
                response.set_body(&*value.content);
                Ok(response)
            }
            ReadResult::Unchanged => Ok(Response::new(StatusCode::NoContent)),
            ReadResult::Absent => Ok(Response::new(StatusCode::NotFound)),
            ReadResult::Throttled => Ok(Response::new(StatusCode::TooManyRequests)),
            ReadResult::Closed => {
                Err(http_types::Error::from_str(StatusCode::ServiceUnavailable, "down"))
            }
        }
    }
}

impl PlatformState {
    /// Counts a call. Returns false if it exceeds the rate limit.
    fn count_call(&mut self) -> bool {
        let now = Instant::now();
        self.counters.calls += 1;
        match self.window_start {
            Some(window_start) if now.duration_since(window_start) < Duration::from_secs(1) => (),
            _ => {
                self.window_start = Some(now);
                self.calls_in_window = 0;
            }
        }
        self.calls_in_window += 1;
        if self.calls_in_window > MAX_CALLS_PER_SECOND {
            self.counters.throttled += 1;
            return false;
        }
        true
    }
}
