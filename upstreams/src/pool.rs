//! Connection pools by address, and the rules for reusing a connection.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use fescuestack_core::ResultCode;
use fescuestack_http::{ClientConnection, SendError, lock, within};
use http_types::{Request, Response};

use crate::ExchangeError;
use crate::answers::{AnswerHistory, SentRequest};
use crate::lease::LeasedBody;

/// Kind of peer at the address of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerKind {
    /// The upstream beside this node.
    Upstream,
    /// Another node's relay port.
    Node,
}

impl PeerKind {
    /// Result code for a connection that broke after the request was sent.
    pub const fn connection_lost_code(self) -> ResultCode {
        match self {
            PeerKind::Upstream => ResultCode::UpstreamLost,
            PeerKind::Node => ResultCode::LinkLost,
        }
    }
}

/// Timeouts of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How long an idle connection may be reused for non-idempotent requests. The peer may close
    /// an older one just as the request arrives, which leaves the outcome unknown.
    pub non_idempotent_idle_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
}

impl Default for PoolSettings {
    fn default() -> PoolSettings {
        PoolSettings {
            connect_timeout: Duration::from_millis(500),
            non_idempotent_idle_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// Limits of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeLimits {
    /// When the exchange must be complete, including the response body.
    pub deadline: Instant,
    /// Whether the request may be executed twice.
    pub idempotent: bool,
}

/// A pool with a limited number of connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    peer: PeerKind,
    settings: PoolSettings,
    max_connections: usize,
    idle: Mutex<Vec<IdleConnection>>,
    /// Holds one permit for each further exchange that may start.
    permits: (Sender<()>, Receiver<()>),
}

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    history: AnswerHistory,
    idle_since: Instant,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_connections` connections; zero counts as one.
    pub fn new(
        address: SocketAddr,
        peer: PeerKind,
        max_connections: usize,
        settings: PoolSettings,
    ) -> Arc<ConnectionPool> {
        let max_connections = max_connections.max(1);
        let permits = async_channel::bounded(max_connections);
        for _ in 0..max_connections {
            // The channel has capacity for all permits.
            let _ = permits.0.try_send(());
        }
        let idle = Mutex::new(Vec::new());
        Arc::new(ConnectionPool { address, peer, settings, max_connections, idle, permits })
    }

    /// The address that the pool connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The maximum number of concurrent connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// The number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.lock_idle().len()
    }

    /// Sends a request and returns the response, whose body may still be streaming.
    ///
    /// Dropping the future or the body before its end closes the connection, which cancels the
    /// request at the peer. An error with a code of 2xx means that no byte was sent.
    ///
    /// An upstream may send copies of its answers. A response of one is certainly that to this request:
    /// it names the request, of which the connection carries no other with the same id, or the
    /// connection is new and not used again.
    pub async fn exchange(
        self: &Arc<Self>,
        request: Request,
        limits: ExchangeLimits,
    ) -> Result<Response, ExchangeError> {
        let no_connection_in_time = || {
            ExchangeError::new(
                ResultCode::PatienceSpent,
                "no connection available before the deadline",
            )
        };
        let sent_request = SentRequest::new(&request);
        let acquisition = self.acquire(sent_request, limits.idempotent);
        let mut lease = with_deadline(limits.deadline, acquisition)
            .await
            .ok_or_else(no_connection_in_time)??;
        // Nothing has been sent, so a deadline that passed meanwhile still means "not run".
        if limits.deadline <= Instant::now() {
            return Err(no_connection_in_time());
        }
        let transmission = lease.send(request, sent_request);
        let Some(sent) = with_deadline(limits.deadline, transmission).await else {
            // The network path or the peer may be unresponsive, so idle connections are closed too.
            self.lock_idle().clear();
            return Err(ExchangeError::new(
                ResultCode::PatienceOver,
                "no response before the deadline",
            ));
        };
        let mut response =
            sent.map_err(|error| ExchangeError::from_send_error(error, self.peer))?;
        lease.is_kept = match self.peer {
            PeerKind::Upstream => lease.history.is_kept(sent_request, &response),
            PeerKind::Node => true,
        };
        if lease.connection.is_idle() {
            lease.release();
        } else {
            let body = response.take_body();
            let has_content_type = response.content_type().is_some();
            response.set_body(LeasedBody::new(body, lease, limits.deadline).into_body());
            // `set_body` adds a content type that the peer did not send.
            if !has_content_type {
                response.remove_header("content-type");
            }
        }
        Ok(response)
    }

    /// Closes the connections that were idle for longer than the idle timeout.
    pub fn evict_idle(&self) {
        self.lock_idle().retain(|entry| entry.idle_since.elapsed() < self.settings.idle_timeout);
    }

    async fn acquire(
        self: &Arc<Self>,
        request: SentRequest,
        idempotent: bool,
    ) -> Result<ConnectionLease, ExchangeError> {
        // Fails only if the channel is closed, which never happens.
        let _ = self.permits.1.recv().await;
        let permit = PoolPermit(self.clone());
        if let Some(IdleConnection { connection, history, .. }) =
            self.take_idle(request, idempotent)
        {
            return Ok(ConnectionLease { connection, history, is_kept: false, permit });
        }
        self.evict_excess_idle();
        let opened = ClientConnection::open(self.address, self.settings.connect_timeout).await;
        let connection =
            opened.map_err(|error| ExchangeError::new(ResultCode::ConnectFailed, error))?;
        let history = AnswerHistory::default();
        Ok(ConnectionLease { connection, history, is_kept: false, permit })
    }

    /// Takes the most recently used connection that the request may use, which is the least likely to
    /// have been closed.
    fn take_idle(&self, request: SentRequest, idempotent: bool) -> Option<IdleConnection> {
        let mut idle = self.lock_idle();
        for index in (0..idle.len()).rev() {
            let entry = &idle[index];
            // The remaining ones are older still and are kept for idempotent requests.
            if !idempotent && entry.idle_since.elapsed() > self.settings.non_idempotent_idle_timeout
            {
                return None;
            }
            if self.peer == PeerKind::Upstream && !entry.history.allows(request) {
                continue;
            }
            let entry = idle.remove(index);
            if entry.connection.is_reusable() {
                return Some(entry);
            }
        }
        None
    }

    /// Closes the oldest idle connections, so that a new one stays within the limit.
    fn evict_excess_idle(&self) {
        let in_use = self.max_connections - self.permits.1.len();
        let mut idle = self.lock_idle();
        let excess = (idle.len() + in_use).saturating_sub(self.max_connections).min(idle.len());
        idle.drain(..excess);
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        lock(&self.idle)
    }
}

/// Permit to use one connection of a pool, returned on drop.
#[derive(Debug)]
struct PoolPermit(Arc<ConnectionPool>);

impl Drop for PoolPermit {
    fn drop(&mut self) {
        // The channel has capacity for all permits.
        let _ = self.0.permits.0.try_send(());
    }
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    connection: ClientConnection,
    history: AnswerHistory,
    /// Whether the connection may be used again after the exchange.
    is_kept: bool,
    permit: PoolPermit,
}

impl ConnectionLease {
    async fn send(&mut self, request: Request, sent: SentRequest) -> Result<Response, SendError> {
        match self.permit.0.peer {
            // A node sends one answer to each request, in order.
            PeerKind::Node => self.connection.send(request).await,
            PeerKind::Upstream => {
                self.history.record_sent(sent);
                let history = &self.history;
                self.connection
                    .send_matched(request, |headers| history.compare(headers, sent))
                    .await
            }
        }
    }

    /// Returns the connection to the pool, or closes it if it cannot be reused.
    pub(crate) fn release(self) {
        if self.is_kept && self.connection.is_idle() {
            let ConnectionLease { connection, history, permit, .. } = self;
            let entry = IdleConnection { connection, history, idle_since: Instant::now() };
            permit.0.lock_idle().push(entry);
        }
    }
}

/// Runs `future` until `deadline`. Returns `None` if the deadline passes first.
async fn with_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    within(deadline.saturating_duration_since(Instant::now()), future).await
}

/// Connection pools by address.
#[derive(Debug)]
pub struct PoolTable {
    peer: PeerKind,
    settings: PoolSettings,
    pools: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
}

impl PoolTable {
    /// Creates an empty table.
    pub fn new(peer: PeerKind, settings: PoolSettings) -> PoolTable {
        PoolTable { peer, settings, pools: Mutex::new(HashMap::new()) }
    }

    /// Returns the pool for `address`. If `max_connections` has changed, a new pool replaces the
    /// old one, on which exchanges in flight are completed.
    pub fn get_or_create(
        &self,
        address: SocketAddr,
        max_connections: usize,
    ) -> Arc<ConnectionPool> {
        let mut pools = self.lock_pools();
        match pools.get(&address) {
            Some(pool) if pool.max_connections == max_connections.max(1) => pool.clone(),
            _ => {
                let pool = ConnectionPool::new(address, self.peer, max_connections, self.settings);
                pools.insert(address, pool.clone());
                pool
            }
        }
    }

    /// Closes connections past their idle timeout and removes unreferenced pools without any.
    pub fn evict_idle(&self) {
        let mut pools = self.lock_pools();
        pools.values().for_each(|pool| pool.evict_idle());
        pools.retain(|_, pool| Arc::strong_count(pool) > 1 || pool.idle_count() > 0);
    }

    fn lock_pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<ConnectionPool>>> {
        lock(&self.pools)
    }
}
