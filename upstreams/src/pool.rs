//! Connections to one address, and the rules on using them again.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use fescuestack_core::ResultCode;
use fescuestack_http::{ClientConnection, lock, within};
use http_types::{Request, Response};

use crate::ExchangeError;
use crate::lease::LeasedBody;

/// What the address belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerKind {
    /// The upstream beside this node.
    Upstream,
    /// Another node's relay port.
    Node,
}

impl PeerKind {
    /// The code for a connection that broke after dispatch.
    pub const fn connection_lost_code(self) -> ResultCode {
        match self {
            PeerKind::Upstream => ResultCode::UpstreamLost,
            PeerKind::Node => ResultCode::LinkLost,
        }
    }
}

/// Limits of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// How long a new connection may take.
    pub connect_timeout: Duration,
    /// How long an unused connection serves non-idempotent requests. The peer may have closed an
    /// older one at the moment at which the request arrives, which leaves the outcome unknown.
    pub non_idempotent_idle_timeout: Duration,
    /// How long an unused connection is kept.
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
    /// When the exchange has to be over, the body of the answer included.
    pub deadline: Instant,
    /// Whether the request may run twice.
    pub idempotent: bool,
}

/// Connections to one address, up to a limit.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    peer: PeerKind,
    settings: PoolSettings,
    max_connections: usize,
    idle: Mutex<Vec<IdleConnection>>,
    /// Holds a unit for each exchange that may still start.
    permits: (Sender<()>, Receiver<()>),
}

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    idle_since: Instant,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_connections` connections, at least one.
    pub fn new(
        address: SocketAddr,
        peer: PeerKind,
        max_connections: usize,
        settings: PoolSettings,
    ) -> Arc<ConnectionPool> {
        let max_connections = max_connections.max(1);
        let permits = async_channel::bounded(max_connections);
        for _ in 0..max_connections {
            // The channel has room for all of them.
            let _ = permits.0.try_send(());
        }
        let idle = Mutex::new(Vec::new());
        Arc::new(ConnectionPool { address, peer, settings, max_connections, idle, permits })
    }

    /// The address that the connections lead to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The most connections at the same time.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// How many connections are unused at present.
    pub fn idle_count(&self) -> usize {
        self.lock_idle().len()
    }

    /// Sends a request and returns the answer, whose body may still stream.
    ///
    /// Dropping the future or the body before its end closes the connection, which cancels the
    /// request at the peer. A fault with a code of 2xx means that no byte was sent.
    pub async fn exchange(
        self: &Arc<Self>,
        request: Request,
        limits: ExchangeLimits,
    ) -> Result<Response, ExchangeError> {
        let no_connection_in_time =
            || ExchangeError::new(ResultCode::PatienceSpent, "no connection in the time left");
        let acquisition = self.acquire(limits.idempotent);
        let mut lease = with_deadline(limits.deadline, acquisition)
            .await
            .ok_or_else(no_connection_in_time)??;
        // Nothing was sent yet, so a deadline that passed meanwhile still means "not run".
        if limits.deadline <= Instant::now() {
            return Err(no_connection_in_time());
        }
        let transmission = lease.connection.send(request);
        let Some(sent) = with_deadline(limits.deadline, transmission).await else {
            // The whole path may have gone silent, so the unused connections are given up too.
            self.lock_idle().clear();
            return Err(ExchangeError::new(ResultCode::PatienceOver, "no answer in the time left"));
        };
        let mut response =
            sent.map_err(|error| ExchangeError::from_send_error(error, self.peer))?;
        if lease.connection.is_idle() {
            lease.release();
        } else {
            let body = response.take_body();
            let has_content_type = response.content_type().is_some();
            response.set_body(LeasedBody::new(body, lease, limits.deadline).into_body());
            // The body type of the library is a guess.
            if !has_content_type {
                response.remove_header("content-type");
            }
        }
        Ok(response)
    }

    /// Closes the connections that were unused for too long.
    pub fn evict_idle(&self) {
        self.lock_idle().retain(|entry| entry.idle_since.elapsed() < self.settings.idle_timeout);
    }

    async fn acquire(self: &Arc<Self>, idempotent: bool) -> Result<ConnectionLease, ExchangeError> {
        // Fails only when the channel is closed, which it never is.
        let _ = self.permits.1.recv().await;
        let permit = PoolPermit(self.clone());
        if let Some(connection) = self.take_idle(idempotent) {
            return Ok(ConnectionLease { connection, permit });
        }
        self.evict_excess_idle();
        let opened = ClientConnection::open(self.address, self.settings.connect_timeout).await;
        let connection =
            opened.map_err(|error| ExchangeError::new(ResultCode::ConnectFailed, error))?;
        Ok(ConnectionLease { connection, permit })
    }

    /// Takes the connection used last, which is the least likely to have been closed.
    fn take_idle(&self, idempotent: bool) -> Option<ClientConnection> {
        let mut idle = self.lock_idle();
        while let Some(entry) = idle.last() {
            // The rest is older still. It stays for idempotent requests.
            if !idempotent && entry.idle_since.elapsed() > self.settings.non_idempotent_idle_timeout
            {
                return None;
            }
            let entry = idle.pop()?;
            if entry.connection.is_reusable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Closes the oldest unused connections, so that one more stays within the limit.
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

/// The right to use one connection of a pool.
#[derive(Debug)]
struct PoolPermit(Arc<ConnectionPool>);

impl Drop for PoolPermit {
    fn drop(&mut self) {
        // The channel has room for all permits.
        let _ = self.0.permits.0.try_send(());
    }
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    connection: ClientConnection,
    permit: PoolPermit,
}

impl ConnectionLease {
    /// Gives the connection back, or closes it when it must not be used again.
    pub(crate) fn release(self) {
        if self.connection.is_idle() {
            let entry = IdleConnection { connection: self.connection, idle_since: Instant::now() };
            self.permit.0.lock_idle().push(entry);
        }
    }
}

/// Runs `work` until `deadline`. `None` means that the time was over first.
async fn with_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    within(deadline.saturating_duration_since(Instant::now()), future).await
}

/// Pools by address.
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

    /// The pool for `address`. A changed `max_connections` starts a new pool; exchanges in flight
    /// end on the old one.
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

    /// Closes what was unused for too long and forgets pools without connections.
    pub fn evict_idle(&self) {
        let mut pools = self.lock_pools();
        pools.values().for_each(|pool| pool.evict_idle());
        pools.retain(|_, pool| Arc::strong_count(pool) > 1 || pool.idle_count() > 0);
    }

    fn lock_pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<ConnectionPool>>> {
        lock(&self.pools)
    }
}
