//! Limits on the memory and the connections that the peers of a node occupy.
//!
//! Answers crowds of clients that leave requests unfinished or answers unread, and that together
//! hold more than the memory or the descriptors of the process.

use std::cmp::Reverse;

use fescuestack_core::ClockSpan;

/// Memory in bytes that the process needs itself: its code, the content of the store, its threads
/// and the calls in progress.
const PROCESS_BYTES: u64 = 24 << 20;

/// Part of a VM's memory that the process may reach. The rest covers the kernel's buffers, which
/// count against the process, and the overhead of the allocator.
const PROCESS_SHARE: (u64, u64) = (11, 16);

/// Part of a VM's memory that the kernel may hold unread for the connections of clients: half of what the
/// process leaves.
const UNREAD_SHARE: (u64, u64) = (5, 32);

/// Receive buffer of a client's connection while there are few of them, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Smallest receive buffer that is set, in bytes. Linux has a lower bound of about this size.
const MIN_RECEIVE_BUFFER_BYTES: usize = 2 * 1024;

/// Bytes that the kernel may hold for each byte of a receive buffer. Linux doubles the size that is set.
const KERNEL_FACTOR: usize = 2;

/// Smallest part of a VM's memory that is left to peers, as a divisor.
const MIN_ACCOUNT_DIVISOR: u64 = 8;

/// Requests of up to this many bytes may use the whole account. Longer ones leave an eighth of it,
/// so that ordinary requests still find room.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// Time for which a connection must have made no progress to be closed for its memory. A client on a
/// link of 10 Mbit/s sends a packet each 1.2 ms, and a busy node reads with delays of up to 100 ms.
const STALL_TIME: ClockSpan = ClockSpan::new(500);

/// Longest wait of a request for memory. Connections without progress are closed within this time.
const MAX_MEMORY_WAIT: ClockSpan = ClockSpan::new(1_500);

/// Least number of connections of a kind, so that a process with few descriptors still serves.
const MIN_CONNECTIONS: usize = 8;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Descriptors of a process if its settings do not state them.
const DEFAULT_DESCRIPTORS: u64 = 4_096;

/// Who opened a connection to the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionKind {
    /// A client on the VM, or the target beside the node.
    Client,
    /// Another node.
    Node,
    /// The platform's readiness probe or an operator.
    Ready,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request has begun since the last answer.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A request waits for memory or for its target, or runs.
    Running,
    /// An answer is being written.
    Answer,
}

/// Why a connection was closed by the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// The process has no memory left, and the connection held some without progress.
    Memory,
    /// Another connection needed its descriptor.
    Descriptors,
    /// A head was not complete in time.
    HeadLate,
    /// A body arrived more slowly than the least rate.
    BodySlow,
    /// An answer was read more slowly than the least rate.
    AnswerSlow,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [CloseReason; 5] = [
        CloseReason::Memory,
        CloseReason::Descriptors,
        CloseReason::HeadLate,
        CloseReason::BodySlow,
        CloseReason::AnswerSlow,
    ];

    /// Name in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            CloseReason::Memory => "memory",
            CloseReason::Descriptors => "descriptors",
            CloseReason::HeadLate => "head-late",
            CloseReason::BodySlow => "body-slow",
            CloseReason::AnswerSlow => "answer-slow",
        }
    }
}

/// State of an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionState {
    /// Number of the connection. Later connections have higher ones.
    pub id: u64,
    /// Who opened it.
    pub kind: ConnectionKind,
    /// What it does.
    pub phase: ConnectionPhase,
    /// Whether a node has sent a valid call on it.
    pub is_trusted: bool,
    /// Memory that is held for it, in bytes.
    pub bytes: usize,
    /// Time since a byte was last read or written.
    pub stalled: ClockSpan,
}

impl ConnectionState {
    /// Whether closing the connection ends no request that may have run.
    fn is_closable(&self) -> bool {
        self.phase != ConnectionPhase::Running && !self.is_trusted
    }
}

/// A request for memory to receive a body.
#[derive(Debug, Clone, Copy)]
pub struct MemoryRequest {
    /// Additional bytes.
    pub bytes: usize,
    /// Length of the whole message as far as it is known, in bytes.
    pub message_bytes: usize,
    /// Bytes that earlier requests wait for.
    pub waiting_bytes: usize,
    /// Time for which this request has waited.
    pub waited: ClockSpan,
}

/// What happens to a request for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryStep {
    /// The bytes are reserved.
    Grant,
    /// Nothing is read until there is memory or the time is over.
    Wait,
    /// The request is refused. It has not run.
    Refuse,
}

/// Size of the memory that peers may occupy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryAccount {
    limit: usize,
    unread_limit: usize,
}

impl MemoryAccount {
    /// Creates the account of a process that may take `memory_bytes`.
    pub fn new(memory_bytes: u64) -> MemoryAccount {
        let share = memory_bytes / PROCESS_SHARE.1 * PROCESS_SHARE.0;
        let limit = share.saturating_sub(PROCESS_BYTES).max(memory_bytes / MIN_ACCOUNT_DIVISOR);
        let unread_limit = memory_bytes / UNREAD_SHARE.1 * UNREAD_SHARE.0;
        let bytes = |bytes| usize::try_from(bytes).unwrap_or(usize::MAX);
        MemoryAccount { limit: bytes(limit), unread_limit: bytes(unread_limit) }
    }

    /// Returns the receive buffer in bytes of a new connection while `open` others are open, of
    /// `max_open`. The first ones get an ordinary buffer, up to half of what the kernel may hold; the rest
    /// share the other half, so that a crowd on all connections stays within the memory.
    pub fn receive_buffer(self, open: usize, max_open: usize) -> usize {
        let half = self.unread_limit / KERNEL_FACTOR / 2;
        let ordinary = half / RECEIVE_BUFFER_BYTES;
        if open < ordinary {
            return RECEIVE_BUFFER_BYTES;
        }
        let rest = max_open.saturating_sub(ordinary).max(1);
        (half / rest).clamp(MIN_RECEIVE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES)
    }

    /// Returns the size in bytes.
    pub fn limit(self) -> usize {
        self.limit
    }

    /// Returns what longer requests may use, in bytes.
    fn long_limit(self) -> usize {
        self.limit - self.limit / 8
    }

    /// Whether long requests find room while `used` bytes are in use.
    pub fn has_room(self, used: usize) -> bool {
        used <= self.long_limit()
    }

    /// Decides on a request for memory while `used` bytes are in use.
    pub fn step(self, used: usize, request: MemoryRequest) -> MemoryStep {
        let is_small = request.message_bytes <= SMALL_REQUEST_BYTES;
        let limit = if is_small { self.limit } else { self.long_limit() };
        if used.saturating_add(request.bytes) <= limit {
            return MemoryStep::Grant;
        }
        // What waits stays in the kernel's buffers, so that a crowd is refused and a few callers wait.
        let is_crowd = request.waiting_bytes.saturating_add(request.bytes) > self.limit / 8
            && request.waiting_bytes > 0;
        if request.message_bytes > limit || is_crowd || request.waited >= MAX_MEMORY_WAIT {
            return MemoryStep::Refuse;
        }
        MemoryStep::Wait
    }

    /// Returns the bytes to free while `used` bytes are in use and requests wait for `waiting_bytes`.
    pub fn excess(self, used: usize, waiting_bytes: usize) -> usize {
        let wanted = used.saturating_add(waiting_bytes);
        if wanted <= self.long_limit() { 0 } else { wanted - self.limit / 4 * 3 }
    }
}

/// Returns the connections to close in order to free `excess` bytes: those that held most for
/// longest without progress. Connections that make progress stay, however much they hold.
pub fn choose_evictions(connections: &[ConnectionState], excess: usize) -> Vec<u64> {
    if excess == 0 {
        return Vec::new();
    }
    let mut stalled: Vec<_> = connections
        .iter()
        .filter(|connection| connection.is_closable() && connection.stalled >= STALL_TIME)
        .collect();
    stalled.sort_by_key(|connection| {
        (Reverse(connection.bytes as u64 * connection.stalled.millis()), connection.id)
    });
    let mut freed = 0;
    let chosen = stalled.into_iter().take_while(|connection| {
        let is_needed = freed < excess;
        freed += connection.bytes;
        is_needed
    });
    chosen.map(|connection| connection.id).collect()
}

/// Limits on the number of connections that peers open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    clients: usize,
    nodes: usize,
    ready: usize,
}

impl ConnectionLimits {
    /// Creates the limits of a process with `max_descriptors`. Three sixteenths of the sockets are
    /// left for connections to targets, other nodes and the store.
    pub fn new(max_descriptors: Option<u64>) -> ConnectionLimits {
        let descriptors = max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let sixteenths = |count| {
            usize::try_from(sockets / 16 * count).unwrap_or(usize::MAX).max(MIN_CONNECTIONS)
        };
        ConnectionLimits { clients: sixteenths(10), nodes: sixteenths(2), ready: sixteenths(1) }
    }

    /// Returns the largest number of connections of a kind.
    pub fn limit(self, kind: ConnectionKind) -> usize {
        match kind {
            ConnectionKind::Client => self.clients,
            ConnectionKind::Node => self.nodes,
            ConnectionKind::Ready => self.ready,
        }
    }
}

/// Returns the connection of a kind to close in favour of a new one: an idle one if there is any,
/// then the one that made no progress for longest. `None` if all serve requests.
pub fn choose_displaced(kind: ConnectionKind, connections: &[ConnectionState]) -> Option<u64> {
    let closable =
        connections.iter().filter(|connection| connection.kind == kind && connection.is_closable());
    let rank = |connection: &&ConnectionState| {
        let is_idle = connection.phase == ConnectionPhase::Idle;
        (is_idle, connection.stalled, Reverse(connection.id))
    };
    closable.max_by_key(rank).map(|connection| connection.id)
}

/// Least progress of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressLimits {
    /// Time for a head, from its first byte.
    pub head_timeout: ClockSpan,
    /// Least number of bytes of a body in a window.
    pub body_bytes: u64,
    /// Least number of bytes of an answer in a window.
    pub answer_bytes: u64,
    /// Length of the window.
    pub window: ClockSpan,
}

/// Progress of a connection since its phase began or the last window ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionProgress {
    /// What the connection does.
    pub phase: ConnectionPhase,
    /// Time since the phase or the window began.
    pub elapsed: ClockSpan,
    /// Bytes read in this time.
    pub read_bytes: u64,
    /// Bytes written in this time.
    pub written_bytes: u64,
}

impl ProgressLimits {
    /// Returns why the connection is too slow, if it is.
    pub fn violation(&self, progress: ConnectionProgress) -> Option<CloseReason> {
        let window_over = progress.elapsed >= self.window;
        match progress.phase {
            ConnectionPhase::Idle | ConnectionPhase::Running => None,
            ConnectionPhase::Head => {
                (progress.elapsed >= self.head_timeout).then_some(CloseReason::HeadLate)
            }
            ConnectionPhase::Body => (window_over && progress.read_bytes < self.body_bytes)
                .then_some(CloseReason::BodySlow),
            ConnectionPhase::Answer => (window_over && progress.written_bytes < self.answer_bytes)
                .then_some(CloseReason::AnswerSlow),
        }
    }

    /// Whether a new window begins. A head has one window.
    pub fn is_window_over(&self, progress: ConnectionProgress) -> bool {
        progress.phase != ConnectionPhase::Head && progress.elapsed >= self.window
    }
}
