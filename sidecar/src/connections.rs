//! The connections that peers have opened to this node: their memory, descriptors and progress.
//!
//! `fescuestack-routing` decides which ones are closed and which bodies are received.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use bytes::Bytes;
use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{
    ByteBudget, CallClock, CoarseSleep, CollectError, ConnectionMeter, HeldBytes, InputLimit, lock,
};
use fescuestack_routing::{
    CloseReason, ConnectionKind, ConnectionLimits, ConnectionPhase, ConnectionProgress,
    ConnectionState, MemoryAccount, MemoryRequest, MemoryStep, ProgressLimits, choose_displaced,
    choose_evictions,
};
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rustc_hash::FxHashMap;

use crate::policy::ClientPolicy;

/// Memory of an idle connection in bytes: its task, its buffers and its entry in the table.
const CONNECTION_BYTES: usize = 32 * 1024;

/// Limit on the input of HTTP/1.1 connections. What is free is part of [`CONNECTION_BYTES`].
const HTTP1_INPUT: InputLimit =
    InputLimit { free_bytes: 4 * 1024, max_buffer_bytes: 24 * 1024, fails: false };

/// Limit on the input of another node before its first valid call, which is within the first turn
/// of reads. A connection that waited would leave its input in the kernel's buffers.
const NODE_INPUT: InputLimit =
    InputLimit { free_bytes: 32 * 1024, max_buffer_bytes: 256 * 1024, fails: true };

/// Memory of a header field beyond its name and value, in bytes, as the HTTP library keeps it.
const FIELD_BYTES: usize = 160;

/// How often a request that waits for memory checks for it.
const MEMORY_POLL_PERIOD: Duration = Duration::from_millis(20);

/// How long a new connection waits for the descriptor of one that is being closed, in steps.
const DESCRIPTOR_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Number of these steps.
const DESCRIPTOR_POLLS: usize = 100;

/// Shortest period in which all connections are checked.
const CHECK_PERIOD: ClockSpan = ClockSpan::new(100);

/// Shortest period of log lines on closed connections.
const LOG_PERIOD: ClockSpan = ClockSpan::new(1_000);

/// Multiple of its length that a body without a stated length takes, because it is copied while it
/// grows.
const GROWTH_FACTOR: usize = 2;

/// First allocation for a body without a stated length, in bytes.
const FIRST_BODY_BYTES: usize = 4 * 1024;

/// The open connections of a node's peers.
pub(crate) struct ConnectionTable {
    clock: CallClock,
    budget: Arc<ByteBudget>,
    account: MemoryAccount,
    limits: ConnectionLimits,
    progress: ProgressLimits,
    records: Mutex<FxHashMap<u64, Arc<ConnectionRecord>>>,
    next_id: AtomicU64,
    /// Bytes that requests wait for.
    waiting_bytes: AtomicUsize,
    last_check: Mutex<ClockTime>,
    closed: Mutex<ClosedConnections>,
}

/// Number of connections closed by the node.
#[derive(Default)]
struct ClosedConnections {
    by_reason: FxHashMap<CloseReason, u64>,
    logged: u64,
    last_log: ClockTime,
}

/// An open connection.
pub(crate) struct ConnectionRecord {
    id: u64,
    kind: ConnectionKind,
    pub(crate) meter: Arc<ConnectionMeter>,
    state: Mutex<RecordState>,
    /// Closed to end the connection.
    eviction: (Sender<()>, Receiver<()>),
}

struct RecordState {
    phase: ConnectionPhase,
    is_trusted: bool,
    evicted: Option<CloseReason>,
    /// Whether an answer was sent before the body of its request was read.
    has_unread_body: bool,
    /// Progress when the connection was last checked, and when it last changed.
    seen: (u64, u64),
    seen_at: ClockTime,
    /// Phase, start and progress at the start of the current window.
    window: (ConnectionPhase, ClockTime, (u64, u64)),
}

impl ConnectionTable {
    pub(crate) fn new(
        clock: CallClock,
        budget: Arc<ByteBudget>,
        account: MemoryAccount,
        limits: ConnectionLimits,
        policy: &ClientPolicy,
    ) -> ConnectionTable {
        let window_s = policy.progress_window_ms / 1_000;
        let progress = ProgressLimits {
            head_timeout: ClockSpan::ZERO,
            body_bytes: policy.min_body_bytes_per_s * window_s,
            answer_bytes: policy.min_answer_bytes_per_s * window_s,
            window: ClockSpan::new(policy.progress_window_ms),
        };
        ConnectionTable {
            clock,
            budget,
            account,
            limits,
            progress,
            records: Mutex::default(),
            next_id: AtomicU64::new(0),
            waiting_bytes: AtomicUsize::new(0),
            last_check: Mutex::new(clock.now()),
            closed: Mutex::default(),
        }
    }

    /// Registers a connection, if need be after another one of its kind was closed. `None` if there
    /// is no descriptor for it.
    pub(crate) async fn open(self: &Arc<Self>, kind: ConnectionKind) -> Option<OpenConnection> {
        for _ in 0..DESCRIPTOR_POLLS {
            if let Some(record) = self.try_open(kind) {
                return Some(OpenConnection { table: self.clone(), record });
            }
            self.displace(kind);
            task::sleep(DESCRIPTOR_POLL_PERIOD).await;
        }
        self.count_closed(CloseReason::Descriptors);
        None
    }

    fn try_open(&self, kind: ConnectionKind) -> Option<Arc<ConnectionRecord>> {
        let mut records = lock(&self.records);
        let (open, max_open) = (count_kind(&records, kind), self.limits.limit(kind));
        if open >= max_open {
            return None;
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let limit = match kind {
            ConnectionKind::Client | ConnectionKind::Ready => HTTP1_INPUT,
            ConnectionKind::Node => NODE_INPUT,
        };
        let now = self.clock.now();
        let state = RecordState {
            phase: ConnectionPhase::Idle,
            is_trusted: false,
            evicted: None,
            has_unread_body: false,
            seen: (0, 0),
            seen_at: now,
            window: (ConnectionPhase::Idle, now, (0, 0)),
        };
        let record = Arc::new(ConnectionRecord {
            id,
            kind,
            meter: ConnectionMeter::new(&self.budget, CONNECTION_BYTES, limit),
            state: Mutex::new(state),
            eviction: async_channel::bounded(1),
        });
        records.insert(id, record.clone());
        Some(record)
    }

    /// Returns the receive buffer in bytes of the next connection of a client or an operator. What the kernel
    /// has received for them and the node has not read counts against its memory.
    pub(crate) fn receive_buffer(&self, kind: ConnectionKind) -> Option<usize> {
        match kind {
            ConnectionKind::Client | ConnectionKind::Ready => {
                let open = count_kind(&lock(&self.records), kind);
                Some(self.account.receive_buffer(open, self.limits.limit(kind)))
            }
            ConnectionKind::Node => None,
        }
    }

    /// Closes a connection of a kind, unless one is being closed already.
    fn displace(&self, kind: ConnectionKind) {
        let records = lock(&self.records);
        let is_closing = |record: &Arc<ConnectionRecord>| {
            record.kind == kind && lock(&record.state).evicted.is_some()
        };
        if records.values().any(is_closing) {
            return;
        }
        let now = self.clock.now();
        let states: Vec<_> =
            records.values().filter_map(|record| record.connection_state(now)).collect();
        if let Some(id) = choose_displaced(kind, &states) {
            self.evict(&records, id, CloseReason::Descriptors);
        }
    }

    /// Closes a connection unless its request runs.
    fn evict(&self, records: &FxHashMap<u64, Arc<ConnectionRecord>>, id: u64, reason: CloseReason) {
        let Some(record) = records.get(&id) else { return };
        let mut state = lock(&record.state);
        if state.evicted.is_some() || state.phase == ConnectionPhase::Running {
            return;
        }
        state.evicted = Some(reason);
        record.eviction.0.close();
        self.count_closed(reason);
    }

    fn count_closed(&self, reason: CloseReason) {
        *lock(&self.closed).by_reason.entry(reason).or_default() += 1;
    }

    /// Closes connections that are too slow, and those that hold memory without progress while it is
    /// used up. `head_timeout` is the time for a head.
    pub(crate) fn check(&self, head_timeout: ClockSpan) {
        let now = self.clock.now();
        let waiting_bytes = self.waiting_bytes.load(Ordering::Acquire);
        {
            let mut last_check = lock(&self.last_check);
            if waiting_bytes == 0 && now.since(*last_check) < CHECK_PERIOD {
                return;
            }
            *last_check = now;
        }
        let limits = ProgressLimits { head_timeout, ..self.progress };
        let records = lock(&self.records);
        for record in records.values() {
            if let Some(reason) = record.check_progress(now, &limits) {
                self.evict(&records, record.id, reason);
            }
        }
        let excess = self.account.excess(self.budget.used(), waiting_bytes);
        if excess > 0 {
            let states: Vec<_> =
                records.values().filter_map(|record| record.connection_state(now)).collect();
            for id in choose_evictions(&states, excess) {
                self.evict(&records, id, CloseReason::Memory);
            }
        }
        let connections = records.len();
        drop(records);
        self.log_closed(now, connections);
    }

    fn log_closed(&self, now: ClockTime, connections: usize) {
        let mut closed = lock(&self.closed);
        let total: u64 = closed.by_reason.values().sum();
        if total == closed.logged || now.since(closed.last_log) < LOG_PERIOD {
            return;
        }
        let count = |reason| closed.by_reason.get(&reason).copied().unwrap_or(0);
        log::info!(closed = total - closed.logged, memory = count(CloseReason::Memory),
            descriptors = count(CloseReason::Descriptors), head_late = count(CloseReason::HeadLate),
            body_slow = count(CloseReason::BodySlow), answer_slow = count(CloseReason::AnswerSlow),
            held_bytes = self.budget.used(), limit_bytes = self.account.limit(),
            connections = connections;
            "closed connections that exceed limits");
        closed.logged = total;
        closed.last_log = now;
    }

    /// Returns the number of bytes held, of connections by kind, and of closed ones by reason.
    pub(crate) fn usage(&self) -> ConnectionUsage {
        let mut open = [ConnectionKind::Client, ConnectionKind::Node, ConnectionKind::Ready]
            .map(|kind| (kind, 0));
        for record in lock(&self.records).values() {
            for (kind, count) in &mut open {
                *count += u64::from(record.kind == *kind);
            }
        }
        let closed = lock(&self.closed);
        let closed = CloseReason::ALL
            .map(|reason| (reason, closed.by_reason.get(&reason).copied().unwrap_or(0)));
        ConnectionUsage { held_bytes: self.budget.used() as u64, open, closed }
    }

    /// Reserves memory for a body, waiting for it if need be. The client is not read from in this
    /// time.
    async fn reserve(
        &self,
        record: &ConnectionRecord,
        bytes: usize,
        message_bytes: usize,
    ) -> Result<(), CollectError> {
        let started = self.clock.now();
        let mut waiting: Option<WaitingBytes<'_>> = None;
        loop {
            if record.is_evicted() {
                return Err(CollectError::Evicted);
            }
            let own = waiting.as_ref().map_or(0, |waiting| waiting.bytes);
            let request = MemoryRequest {
                bytes,
                message_bytes,
                waiting_bytes: self.waiting_bytes.load(Ordering::Acquire) - own,
                waited: self.clock.now().since(started),
            };
            match self.account.step(self.budget.used(), request) {
                MemoryStep::Grant => return Ok(()),
                MemoryStep::Refuse => return Err(CollectError::BudgetExhausted),
                MemoryStep::Wait => {
                    waiting.get_or_insert_with(|| WaitingBytes::new(&self.waiting_bytes, bytes));
                    CoarseSleep::new(MEMORY_POLL_PERIOD).await;
                }
            }
        }
    }

    /// Whether there is memory for a request with a long head.
    pub(crate) fn has_room_for_long_head(&self) -> bool {
        self.account.has_room(self.budget.used())
    }

    /// Receives a body of up to `limit` bytes once there is memory for it. A stated length is
    /// reserved before the first byte is read.
    pub(crate) async fn receive_body(
        &self,
        record: &Arc<ConnectionRecord>,
        mut body: Incoming,
        limit: usize,
    ) -> Result<Bytes, CollectError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let stated = body.size_hint().exact().map(usize::try_from);
        let stated = match stated {
            Some(Ok(length)) if length <= limit => Some(length),
            Some(_) => return Err(CollectError::TooLong),
            None => None,
        };
        let factor = if stated.is_some() { 1 } else { GROWTH_FACTOR };
        let mut bytes = Vec::new();
        let mut held: Option<HeldBytes> = None;
        loop {
            let capacity = match stated {
                Some(length) => length,
                None if bytes.len() < bytes.capacity() => bytes.capacity(),
                None => (bytes.len() * 2).clamp(FIRST_BODY_BYTES, limit.max(FIRST_BODY_BYTES)),
            };
            let additional = (capacity - bytes.capacity().min(capacity)) * factor;
            if additional > 0 {
                self.reserve(record, additional, capacity * factor).await?;
                match &mut held {
                    Some(held) => held.grow(additional),
                    None => held = Some(record.meter.hold(additional)),
                }
                bytes.reserve_exact(capacity - bytes.len());
                record.meter.begin_body();
            }
            let Some(frame) = body.frame().await else { break };
            let frame =
                frame.map_err(|err| CollectError::ReadFailed { reason: err.to_string() })?;
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > limit {
                return Err(CollectError::TooLong);
            }
            let missing = (bytes.len() + data.len()).saturating_sub(bytes.capacity());
            if missing > 0 {
                let capacity = bytes.len() + data.len();
                self.reserve(record, missing * factor, capacity * factor).await?;
                if let Some(held) = &mut held {
                    held.grow(missing * factor);
                }
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
            if record.is_evicted() {
                return Err(CollectError::Evicted);
            }
        }
        Ok(match held {
            Some(held) => held.into_bytes(bytes),
            None => bytes.into(),
        })
    }
}

/// Numbers for the metrics.
pub(crate) struct ConnectionUsage {
    pub(crate) held_bytes: u64,
    pub(crate) open: [(ConnectionKind, u64); 3],
    pub(crate) closed: [(CloseReason, u64); 5],
}

/// Bytes that a request waits for, until this is dropped.
struct WaitingBytes<'a> {
    total: &'a AtomicUsize,
    bytes: usize,
}

impl WaitingBytes<'_> {
    fn new(total: &AtomicUsize, bytes: usize) -> WaitingBytes<'_> {
        total.fetch_add(bytes, Ordering::AcqRel);
        WaitingBytes { total, bytes }
    }
}

impl Drop for WaitingBytes<'_> {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

fn count_kind(records: &FxHashMap<u64, Arc<ConnectionRecord>>, kind: ConnectionKind) -> usize {
    records.values().filter(|record| record.kind == kind).count()
}

/// Keeps a connection registered until it is dropped.
pub(crate) struct OpenConnection {
    table: Arc<ConnectionTable>,
    pub(crate) record: Arc<ConnectionRecord>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.table.records).remove(&self.record.id);
    }
}

impl ConnectionRecord {
    /// Completes when the connection is to be closed.
    pub(crate) async fn evicted(&self) {
        // Nothing is sent on the channel; `recv` returns when it is closed.
        let _ = self.eviction.1.recv().await;
    }

    pub(crate) fn is_evicted(&self) -> bool {
        lock(&self.state).evicted.is_some()
    }

    /// Whether a body is being received, so that an answer says that its request has not run.
    pub(crate) fn owes_answer(&self) -> bool {
        self.kind == ConnectionKind::Client && lock(&self.state).phase == ConnectionPhase::Body
    }

    /// Whether an answer was sent before the body of its request was read.
    pub(crate) fn has_unread_body(&self) -> bool {
        lock(&self.state).has_unread_body
    }

    /// Records that another node has sent a valid call.
    pub(crate) fn trust(&self) {
        let mut state = lock(&self.state);
        if !state.is_trusted {
            state.is_trusted = true;
            self.meter.trust();
        }
    }

    /// Begins a request whose body is received next. Its head counts until the result is dropped.
    pub(crate) fn begin_request(&self, headers: &HeaderMap, has_body: bool) -> Option<HeldBytes> {
        {
            let mut state = lock(&self.state);
            state.phase = ConnectionPhase::Body;
            state.has_unread_body = has_body;
        }
        self.meter.end_message();
        let fields = headers.iter();
        let bytes: usize =
            fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES).sum();
        // The base of the connection covers ordinary heads.
        (bytes > FIRST_BODY_BYTES).then(|| self.meter.hold(bytes))
    }

    /// Records that the body was received and the request may be sent to a target. Fails if the
    /// connection is being closed.
    pub(crate) fn begin_run(&self) -> Result<(), CollectError> {
        let mut state = lock(&self.state);
        if state.evicted.is_some() {
            return Err(CollectError::Evicted);
        }
        state.phase = ConnectionPhase::Running;
        state.has_unread_body = false;
        Ok(())
    }

    /// Records that the answer is ready, and returns its body, which counts until it was written.
    pub(crate) fn begin_answer(self: &Arc<Self>, body: Bytes) -> Bytes {
        lock(&self.state).phase = ConnectionPhase::Answer;
        self.meter.end_message();
        self.meter.attribute(body.len());
        Bytes::from_owner(AnswerBody { body, record: self.clone() })
    }

    /// Records that an answer without a body is ready.
    pub(crate) fn end_answer(&self) {
        let mut state = lock(&self.state);
        if matches!(
            state.phase,
            ConnectionPhase::Answer | ConnectionPhase::Running | ConnectionPhase::Body
        ) {
            state.phase = ConnectionPhase::Idle;
        }
        drop(state);
        self.meter.end_message();
    }

    /// Returns the state of the connection, unless it is being closed.
    fn connection_state(&self, now: ClockTime) -> Option<ConnectionState> {
        let state = lock(&self.state);
        if state.evicted.is_some() {
            return None;
        }
        Some(ConnectionState {
            id: self.id,
            kind: self.kind,
            phase: self.phase(&state),
            is_trusted: state.is_trusted,
            bytes: self.meter.bytes(),
            stalled: now.since(state.seen_at),
        })
    }

    fn phase(&self, state: &RecordState) -> ConnectionPhase {
        match state.phase {
            ConnectionPhase::Idle if self.meter.is_write_blocked() => ConnectionPhase::Answer,
            ConnectionPhase::Idle if self.meter.unfinished_bytes() > 0 => ConnectionPhase::Head,
            phase => phase,
        }
    }

    /// Returns why the connection is too slow, if it is.
    fn check_progress(&self, now: ClockTime, limits: &ProgressLimits) -> Option<CloseReason> {
        let mut state = lock(&self.state);
        let seen = self.meter.progress();
        if seen != state.seen {
            state.seen = seen;
            state.seen_at = now;
        }
        let phase = self.phase(&state);
        let (window_phase, began, (read, written)) = state.window;
        if phase != window_phase {
            state.window = (phase, now, seen);
            return None;
        }
        let progress = ConnectionProgress {
            phase,
            elapsed: now.since(began),
            read_bytes: seen.0 - read,
            written_bytes: seen.1 - written,
        };
        // The connections between nodes carry many calls, and their silence is checked by `links`.
        if self.kind == ConnectionKind::Node {
            return None;
        }
        let violation = limits.violation(progress);
        if limits.is_window_over(progress) {
            state.window = (phase, now, seen);
        }
        violation
    }
}

/// The body of an answer that is being written.
struct AnswerBody {
    body: Bytes,
    record: Arc<ConnectionRecord>,
}

impl AsRef<[u8]> for AnswerBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.record.meter.end_attribution(self.body.len());
        let mut state = lock(&self.record.state);
        if state.phase == ConnectionPhase::Answer {
            state.phase = ConnectionPhase::Idle;
        }
    }
}
