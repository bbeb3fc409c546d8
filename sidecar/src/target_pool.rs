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
use http::Method;

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
}

/// A connection to the target.
pub(crate) struct TargetConnection {
    exchange: ExchangeConnection,
    history: ConnectionHistory,
    address: SocketAddr,
    /// Number of the connection in log lines.
    number: u64,
}

/// What log lines tell about the connection of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerOrigin {
    /// Number of the connection.
    pub(crate) connection: u64,
    /// Number of requests with an id that were sent on it, with the one that was answered.
    pub(crate) requests: usize,
    /// Whether a request with the same id was sent on it before.
    pub(crate) is_repeated: bool,
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

    /// Takes the most recently used connection that a request may use. Closes those that no request
    /// may use.
    fn take(&mut self, mark: Option<RequestMark>, is_idempotent: bool) -> Option<TargetConnection> {
        for index in (0..self.idle.len()).rev() {
            let connection = &self.idle[index];
            let millis = |time: Duration| ClockSpan::new(time.as_millis() as u64);
            let case = ReuseCase {
                mark,
                is_idempotent,
                idle_time: millis(connection.exchange.idle_time()),
                keep_alive: connection.exchange.keep_alive_timeout().map(millis),
            };
            match connection.history.decide(case) {
                ReuseStep::Use => return Some(self.idle.remove(index)),
                ReuseStep::Keep => (),
                ReuseStep::Close => drop(self.idle.remove(index)),
            }
        }
        None
    }

    fn put_back(&mut self, connection: TargetConnection) {
        let is_kept = connection.address == self.address && connection.history.is_kept();
        if is_kept && self.idle.len() < MAX_IDLE_CONNECTIONS {
            self.idle.push(connection);
        }
    }

    fn open(&mut self, exchange: ExchangeConnection, address: SocketAddr) -> TargetConnection {
        self.counts.opened += 1;
        let number = self.counts.opened;
        TargetConnection { exchange, history: ConnectionHistory::new(), address, number }
    }
}

impl TargetConnection {
    /// Sends a request and reads its response.
    pub(crate) async fn exchange(
        &mut self,
        request: &BufferedRequest,
    ) -> Result<(BufferedResponse, AnswerOrigin), ExchangeError> {
        let mark = request_mark(request);
        let is_repeated = mark.is_some_and(|mark| self.history.contains(mark));
        self.history.record_sent(mark);
        let (connection, requests) = (self.number, self.history.requests());
        let response = self.exchange.exchange(request, response_tag(request).as_ref()).await?;
        Ok((response, AnswerOrigin { connection, requests, is_repeated }))
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
            let (address, idle) = {
                let pool = &mut lock(&self.state).pool;
                (pool.address, pool.take(mark, is_idempotent))
            };
            let Some(mut connection) = idle else {
                if closed_early >= MIN_CLOSED_EARLY {
                    lock(&self.state).warmth.record_suspicion(self.clock.now());
                }
                return self.open_connection(address).await;
            };
            let was_kept_alive = connection.exchange.is_kept_alive();
            match connection.exchange.idle_state().await {
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

    async fn open_connection(
        &self,
        address: SocketAddr,
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
        let exchange = opened?.with_budget(&self.body_budget);
        Ok(lock(&self.state).pool.open(exchange, address))
    }

    /// Keeps a connection after an exchange, for further ones.
    pub(crate) fn keep_connection(&self, mut connection: TargetConnection) {
        let skipped = connection.exchange.take_skipped_responses();
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
