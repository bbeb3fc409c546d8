//! Decides which requests may use a kept connection to a target, or to an upstream of the product's own form.
//!
//! A target marks each answer with the id of its request, and may send a copy of an answer at any later
//! time. The id distinguishes the copy only if no other request with this id is sent on the connection.

use std::hash::{DefaultHasher, Hash, Hasher};

use fescuestack_core::ClockSpan;

/// Number of requests after which a connection is closed, which bounds the ids that it remembers.
const MAX_REQUESTS: usize = 512;

/// Longest idle time of a connection that is reused for non-idempotent requests. The target may
/// close an older one just as the request arrives, which leaves the outcome unknown.
const MAX_IDLE_NON_IDEMPOTENT: ClockSpan = ClockSpan::new(800);

/// Longest idle time of a connection that is reused for idempotent requests. The keep-alive timeout
/// that the target announces can only shorten the time, for either kind of request.
const MAX_IDLE_IDEMPOTENT: ClockSpan = ClockSpan::new(4_000);

/// Margin before the end of the announced keep-alive timeout in which a connection is no longer
/// reused.
const KEEP_ALIVE_MARGIN: ClockSpan = ClockSpan::new(1_000);

/// What identifies the answers to a request on a connection: a hash of its id. Equal hashes of two ids
/// cost a connection and nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMark(u64);

impl RequestMark {
    /// Creates the mark of the request with this id.
    pub fn new(id: &[u8]) -> RequestMark {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        RequestMark(hasher.finish())
    }
}

/// A request for which a connection is looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReuseCase {
    /// Mark of the request, or `None` if nothing in the answer will tell that it belongs to this request.
    pub mark: Option<RequestMark>,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// Time since the last exchange on the connection.
    pub idle_time: ClockSpan,
    /// How long the target keeps idle connections open, if it has announced that.
    pub keep_alive: Option<ClockSpan>,
}

/// What to do with a kept connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseStep {
    /// Send the request on it.
    Use,
    /// Keep it for other requests.
    Keep,
    /// Close it.
    Close,
}

/// The requests that were sent on a connection.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    marks: Vec<RequestMark>,
    has_unmarked: bool,
}

impl ConnectionHistory {
    /// Creates the history of a new connection.
    pub fn new() -> ConnectionHistory {
        ConnectionHistory::default()
    }

    /// Records that a request is sent on the connection.
    pub fn record_sent(&mut self, mark: Option<RequestMark>) {
        match mark {
            Some(mark) => self.marks.push(mark),
            None => self.has_unmarked = true,
        }
    }

    /// Number of requests with an id that were sent on the connection.
    pub fn requests(&self) -> usize {
        self.marks.len()
    }

    /// Whether a request with this mark was sent on the connection.
    pub fn contains(&self, mark: RequestMark) -> bool {
        self.marks.contains(&mark)
    }

    /// Whether the connection can carry further requests after the last one.
    pub fn is_kept(&self) -> bool {
        !self.has_unmarked && self.marks.len() < MAX_REQUESTS
    }

    /// Decides whether a request may use the connection.
    pub fn decide(&self, case: ReuseCase) -> ReuseStep {
        let limit = if case.is_idempotent { MAX_IDLE_IDEMPOTENT } else { MAX_IDLE_NON_IDEMPOTENT };
        let announced = case.keep_alive.map(|time| time.less(KEEP_ALIVE_MARGIN));
        if !self.is_kept() || case.idle_time >= announced.unwrap_or(limit).min(limit) {
            return ReuseStep::Close;
        }
        match case.mark {
            Some(mark) if !self.contains(mark) => ReuseStep::Use,
            _ => ReuseStep::Keep,
        }
    }
}
