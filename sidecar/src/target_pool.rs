//! The connections to the target beside this node.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use fescuestack_core::ClockSpan;
use fescuestack_http::{
    BufferedRequest, BufferedResponse, ExchangeConnection, ExchangeError, IdleState, ResponseTag,
    lock,
};
use fescuestack_platform::headers::REQUEST_ID;
use fescuestack_routing::{ConnectionHistory, RequestMark, ReuseCase, ReuseStep};
use http::{HeaderValue, Method};

use crate::target::LocalTarget;

/// Timeout for a connection to the target, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of idle connections that a target must have closed ahead of time, while none is left, for a
/// restart to be likely.
const MIN_CLOSED_EARLY: u32 = 2;

/// Number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The idle connections to the target.
pub(crate) struct TargetPool {
    address: SocketAddr,
    idle: Vec<TargetConnection>,
    counts: PoolCounts,
}

/// Numbers of events on the connections to the target since the start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PoolCounts {
    /// Connections that were opened.
    pub(crate) opened: u64,
    /// Responses to other requests that were skipped.
    pub(crate) skipped_responses: u64,
    /// Idle connections on which bytes arrived.
    pub(crate) unexpected_bytes: u64,
    /// Answers that a request was not executed.
    pub(crate) refusals: u64,
    /// Requests for which no idle connection was used that had carried their id.
    pub(crate) repeated_ids: u64,
}

/// A connection to the target.
pub(crate) struct TargetConnection {
    connection: ExchangeConnection,
    history: ConnectionHistory,
    address: SocketAddr,
    /// Number of the connection in log lines.
    number: u64,
    /// Id of the request whose exchange has begun and not ended.
    current: Option<HeaderValue>,
}

/// What log lines tell about the connection of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerOrigin {
    /// Number of the connection.
    pub(crate) connection: u64,
    /// Number of requests with an id that were sent on it, with the one that was answered.
    pub(crate) requests: usize,
}

/// What the search for an idle connection has found.
struct IdleChoice {
    connection: Option<TargetConnection>,
    /// Connections to be closed.
    closed: Vec<TargetConnection>,
}

impl TargetPool {
    pub(crate) fn new(address: SocketAddr) -> TargetPool {
        TargetPool { address, idle: Vec::new(), counts: PoolCounts::default() }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn counts(&self) -> PoolCounts {
        self.counts
    }

    /// Counts an answer that a request was not executed.
    pub(crate) fn record_refusal(&mut self) {
        self.counts.refusals += 1;
    }

    /// Closes the idle connections if the target has another address now.
    pub(crate) fn set_address(&mut self, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) != address {
            self.idle.clear();
        }
    }

    /// Closes the idle connections.
    pub(crate) fn clear(&mut self) {
        self.idle.clear();
    }

    /// Takes the most recently used connection that a request may use, and those that no request may use.
    /// If there are others only, takes the oldest of them to be closed, so that a new one in its place
    /// leaves their number as it is.
    fn take(&mut self, mark: Option<RequestMark>, is_idempotent: bool) -> IdleChoice {
        let mut closed = Vec::new();
        let mut is_passed_over = false;
        for index in (0..self.idle.len()).rev() {
            match self.idle[index].decide(mark, is_idempotent) {
                ReuseStep::Use => {
                    let connection = Some(self.idle.remove(index));
                    self.counts.repeated_ids += u64::from(is_passed_over);
                    return IdleChoice { connection, closed };
                }
                ReuseStep::Keep => is_passed_over = mark.is_some(),
                ReuseStep::Close => closed.push(self.idle.remove(index)),
            }
        }
        self.counts.repeated_ids += u64::from(is_passed_over);
        if !self.idle.is_empty() {
            closed.push(self.idle.remove(0));
        }
        IdleChoice { connection: None, closed }
    }

    fn put_back(&mut self, connection: TargetConnection) {
        let is_kept = connection.address == self.address
            && connection.history.is_kept()
            && connection.connection.is_kept_alive();
        if is_kept && self.idle.len() < MAX_IDLE_CONNECTIONS {
            self.idle.push(connection);
        }
    }

    fn open(&mut self, connection: ExchangeConnection, address: SocketAddr) -> TargetConnection {
        self.counts.opened += 1;
        let (history, number) = (ConnectionHistory::new(), self.counts.opened);
        TargetConnection { connection, history, address, number, current: None }
    }
}

impl TargetConnection {
    fn decide(&self, mark: Option<RequestMark>, is_idempotent: bool) -> ReuseStep {
        let millis = |time: Duration| ClockSpan::new(time.as_millis() as u64);
        self.history.decide(ReuseCase {
            mark,
            is_idempotent,
            idle_time: millis(self.connection.idle_time()),
            keep_alive: self.connection.keep_alive_timeout().map(millis),
        })
    }

    /// Sends a request and reads its response.
    pub(crate) async fn exchange(
        &mut self,
        request: &BufferedRequest,
    ) -> Result<(BufferedResponse, AnswerOrigin), ExchangeError> {
        self.history.record_sent(request_mark(request));
        self.current = request.headers.get(&REQUEST_ID).cloned();
        let tag = response_tag(request);
        let response = self.connection.exchange(request, tag.as_ref()).await?;
        self.current = None;
        let origin = AnswerOrigin { connection: self.number, requests: self.history.requests() };
        Ok((response, origin))
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        let Some(id) = self.current.take() else { return };
        log::info!(request = id.to_str().unwrap_or(""), connection = self.number,
            requests = self.history.requests(),
            skipped = self.connection.take_skipped_responses();
            "connection to the target closed during an exchange");
    }
}

/// Returns what identifies the answer to a request on its connection, or `None` if the request must have a
/// connection of its own.
fn request_mark(request: &BufferedRequest) -> Option<RequestMark> {
    // Only the method tells that an answer to HEAD has no body, so a copy of it cannot be told from the
    // bytes of the next answer, nor a copy of another answer be read during HEAD.
    if request.method == Method::HEAD {
        return None;
    }
    request.headers.get(&REQUEST_ID).map(|id| RequestMark::new(id.as_bytes()))
}

fn response_tag(request: &BufferedRequest) -> Option<ResponseTag> {
    let id = request.headers.get(&REQUEST_ID)?;
    Some(ResponseTag { name: REQUEST_ID, value: id.clone() })
}

impl LocalTarget {
    /// Returns the most recently used idle connection that a request may use, or a new one. Drops idle
    /// connections that are too old or closed.
    pub(crate) async fn connection(
        &self,
        request: &BufferedRequest,
        is_idempotent: bool,
    ) -> Result<TargetConnection, ExchangeError> {
        let mark = request_mark(request);
        let mut closed_early = 0;
        loop {
            let (address, choice) = {
                let pool = &mut lock(&self.state).pool;
                (pool.address, pool.take(mark, is_idempotent))
            };
            drop(choice.closed);
            let Some(mut connection) = choice.connection else {
                return self.open_connection(address, closed_early).await;
            };
            let was_kept_alive = connection.connection.is_kept_alive();
            match connection.connection.idle_state().await {
                IdleState::Open => return Ok(connection),
                IdleState::Closed => closed_early += u32::from(was_kept_alive),
                IdleState::UnexpectedBytes => {
                    lock(&self.state).pool.counts.unexpected_bytes += 1;
                    log::info!(connection = connection.number,
                        requests = connection.history.requests();
                        "unexpected bytes on an idle connection to the target");
                }
            }
        }
    }

    /// Opens a connection, after `closed_early` idle ones were found closed.
    async fn open_connection(
        &self,
        address: SocketAddr,
        closed_early: u32,
    ) -> Result<TargetConnection, ExchangeError> {
        let opened = ExchangeConnection::open(address, CONNECT_TIMEOUT).await;
        match &opened {
            Ok(_) => self.record_connection(true),
            Err(ExchangeError::NotSent { source })
                if source.kind() == ErrorKind::ConnectionRefused =>
            {
                self.record_connection(false);
            }
            Err(_) => (),
        }
        let mut state = lock(&self.state);
        if closed_early >= MIN_CLOSED_EARLY {
            state.warmth.record_suspicion(self.clock.now());
        }
        Ok(state.pool.open(opened?.with_budget(&self.body_budget), address))
    }

    /// Keeps a connection after an exchange, for further ones.
    pub(crate) fn keep_connection(&self, mut connection: TargetConnection) {
        let skipped = connection.connection.take_skipped_responses();
        if skipped > 0 {
            log::info!(connection = connection.number, skipped = skipped,
                requests = connection.history.requests();
                "skipped responses of the target to other requests");
        }
        let pool = &mut lock(&self.state).pool;
        pool.counts.skipped_responses += u64::from(skipped);
        pool.put_back(connection);
    }
}
