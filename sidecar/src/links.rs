//! HTTP/2 connections to other nodes: one for each node, shared by all calls to it.

use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use fescuestack_core::ClockSpan;
use fescuestack_http::{
    ByteBudget, HyperExecutor, HyperStream, HyperTimer, PeerActivity, collect_body, connect, lock,
    within,
};
use fescuestack_routing::{LinkHealth, LinkMonitor, LinkTimeouts};
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http2;
use rustc_hash::FxHashMap;
use snafu::Snafu;

/// Timeout for opening a connection, and for its HTTP/2 handshake. Data centres are a few ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How a connection with pending calls is checked for liveness.
struct LivenessSettings {
    /// Silence after which a ping is sent. Most calls end before the first ping.
    ping_after: Duration,
    timeouts: LinkTimeouts,
}

/// Liveness within a data centre. A VM that has used up its processor quota responds after up to
/// 100 ms, and uploads on a slow link delay the response to a ping for half a second after their
/// last byte was written.
const SAME_DATA_CENTRE_LIVENESS: LivenessSettings = LivenessSettings {
    ping_after: Duration::from_millis(350),
    timeouts: LinkTimeouts { suspect: ClockSpan::new(500), disconnect: ClockSpan::new(900) },
};

/// Liveness between data centres, where traffic is costly and some packets are lost. A lost packet
/// is retransmitted after 200 ms or more.
const CROSS_DATA_CENTRE_LIVENESS: LivenessSettings = LivenessSettings {
    ping_after: Duration::from_millis(400),
    timeouts: LinkTimeouts { suspect: ClockSpan::new(700), disconnect: ClockSpan::new(1_100) },
};

/// Timeout for the response to a ping while other data arrives. Consecutive uploads on a slow link
/// delay the response.
const PING_TIMEOUT: Duration = Duration::from_secs(10);

/// First delay before a lost connection is opened again.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a lost connection is opened again.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(800);

/// Longest response of a node in bytes. It leaves room for responses of targets and copies of the
/// store.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// HTTP/2 flow-control window of a call in bytes. It lets uploads be sent without a round trip for
/// each part of the body.
pub(crate) const STREAM_WINDOW: u32 = 1 << 20;

/// Flow-control window that a small VM announces for a call, in bytes. Its node accepts or refuses
/// a body by its length before most of it is on the link. With 32 KB, refused bodies took four
/// fifths of a link of 7 Mbit/s; 8 KB still allow for 9 Mbit/s at a round trip of 7 ms.
pub(crate) const SMALL_STREAM_WINDOW: u32 = 8 * 1024;

/// Flow-control window of a connection in bytes, for all calls together.
pub(crate) const CONNECTION_WINDOW: u32 = 4 << 20;

/// Reason why a call to another node got no response.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    /// The request was not sent.
    #[snafu(display("no connection to the node"))]
    NotSent,
    /// The request may have reached the node.
    #[snafu(display("no complete response from the node: {reason}"))]
    Lost { reason: String },
}

type LinkSender = http2::SendRequest<Full<Bytes>>;

/// A connection to a node. It closes after its last call, once it is not referenced any more.
#[derive(Debug)]
struct LinkConnection {
    sender: LinkSender,
    socket: TcpStream,
    activity: PeerActivity,
    monitor: Mutex<LinkMonitor>,
    /// Number of calls that wait for their response.
    calls: AtomicUsize,
}

impl LinkConnection {
    fn begin_call(&self) -> PendingCall<'_> {
        self.calls.fetch_add(1, Ordering::AcqRel);
        PendingCall(self)
    }

    fn has_calls(&self) -> bool {
        self.calls.load(Ordering::Acquire) > 0
    }

    /// Checks for how long the connection has been silent. After the timeout, shuts it down, which
    /// fails its calls.
    fn check_health(&self, timeouts: LinkTimeouts) -> LinkHealth {
        let health = lock(&self.monitor).check(self.activity.count(), self.has_calls(), timeouts);
        if health == LinkHealth::Disconnected
            && let Err(err) = self.socket.shutdown(Shutdown::Both)
        {
            log::debug!("cannot shut down a silent connection: {err}");
        }
        health
    }
}

/// A call that waits for its response.
struct PendingCall<'a>(&'a LinkConnection);

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Debug)]
enum LinkState {
    Closed,
    Open(Arc<LinkConnection>),
    /// The connection is being opened again in the background.
    Reconnecting,
}

#[derive(Debug)]
struct NodeLink {
    address: SocketAddr,
    /// Whether the node is in this data centre.
    same_data_centre: bool,
    state: Mutex<LinkState>,
    /// Whether new calls avoid the node because its open connection is silent.
    suspected: AtomicBool,
    /// Connections that take no new calls, such as those that the node has announced to close, but
    /// still have pending ones.
    draining: Mutex<Vec<Arc<LinkConnection>>>,
    open_lock: async_std::sync::Mutex<()>,
}

/// Notified when a node becomes unreachable or reachable again.
pub(crate) trait LinkObserver: Send + Sync + 'static {
    fn reachability_changed(&self, vm: IpAddr, is_reachable: bool);
}

/// The connections to other nodes.
pub(crate) struct LinkTable {
    links: Mutex<FxHashMap<SocketAddr, Arc<NodeLink>>>,
    observer: Mutex<Option<std::sync::Weak<dyn LinkObserver>>>,
    response_budget: Arc<ByteBudget>,
    /// Longest silence of a connection that its node has announced to close. `hyper` sends no pings
    /// for the last call on it, and the node exits within its grace period.
    drain_limit: ClockSpan,
}

impl LinkTable {
    /// Creates a table without connections. Bodies of responses count against `response_budget`. A
    /// node exits within `grace` after it was asked to stop.
    pub(crate) fn new(response_budget: Arc<ByteBudget>, grace: ClockSpan) -> Arc<LinkTable> {
        Arc::new(LinkTable {
            links: Mutex::default(),
            observer: Mutex::new(None),
            response_budget,
            drain_limit: grace,
        })
    }

    pub(crate) fn set_observer(&self, observer: std::sync::Weak<dyn LinkObserver>) {
        *lock(&self.observer) = Some(observer);
    }

    /// Sends a request to a node and reads the response. Dropping the future cancels the request.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        same_data_centre: bool,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, LinkError> {
        let link = self.link(address, same_data_centre);
        let connection = self.connection(&link).await?;
        let _call = connection.begin_call();
        let response = match connection.sender.clone().try_send_request(request).await {
            Ok(response) => response,
            Err(mut err) => {
                let unsent = err.take_message().is_some();
                let reason = describe_error(err.error());
                if connection.sender.is_closed() {
                    self.mark_lost(&link, Some(&connection), &reason);
                }
                return Err(if unsent { LinkError::NotSent } else { LinkError::Lost { reason } });
            }
        };
        let (parts, body) = response.into_parts();
        match collect_body(body, MAX_RESPONSE_BYTES, &self.response_budget).await {
            Ok(body) => Ok(Response::from_parts(parts, body)),
            Err(err) => Err(LinkError::Lost { reason: err.to_string() }),
        }
    }

    fn link(&self, address: SocketAddr, same_data_centre: bool) -> Arc<NodeLink> {
        let mut links = lock(&self.links);
        let link = links.entry(address).or_insert_with(|| {
            Arc::new(NodeLink {
                address,
                same_data_centre,
                state: Mutex::new(LinkState::Closed),
                suspected: AtomicBool::new(false),
                draining: Mutex::default(),
                open_lock: async_std::sync::Mutex::new(()),
            })
        });
        link.clone()
    }

    async fn connection(
        self: &Arc<Self>,
        link: &Arc<NodeLink>,
    ) -> Result<Arc<LinkConnection>, LinkError> {
        if let Some(connection) = self.open_connection(link)? {
            return Ok(connection);
        }
        let _guard = link.open_lock.lock().await;
        if let Some(connection) = self.open_connection(link)? {
            return Ok(connection);
        }
        match link.open().await {
            Ok(connection) => {
                *lock(&link.state) = LinkState::Open(connection.clone());
                Ok(connection)
            }
            Err(reason) => {
                self.mark_lost(link, None, &reason);
                Err(LinkError::NotSent)
            }
        }
    }

    /// Returns the open connection, or `None` if none was opened yet. Fails at once while the node
    /// is known to be unreachable, so that the call can use another node.
    fn open_connection(
        self: &Arc<Self>,
        link: &Arc<NodeLink>,
    ) -> Result<Option<Arc<LinkConnection>>, LinkError> {
        let connection = match &*lock(&link.state) {
            LinkState::Open(connection) => connection.clone(),
            LinkState::Closed => return Ok(None),
            LinkState::Reconnecting => return Err(LinkError::NotSent),
        };
        if !connection.sender.is_closed() {
            return Ok(Some(connection));
        }
        self.mark_lost(link, Some(&connection), "closed by the node");
        Err(LinkError::NotSent)
    }

    /// Marks a node as unreachable and reconnects in the background. Does nothing if this is already
    /// in progress or `connection` has been replaced.
    fn mark_lost(
        self: &Arc<Self>,
        link: &Arc<NodeLink>,
        connection: Option<&Arc<LinkConnection>>,
        reason: &str,
    ) {
        let previous = {
            let mut state = lock(&link.state);
            match (&*state, connection) {
                (LinkState::Reconnecting, _) => return,
                (LinkState::Open(current), Some(closed)) if !Arc::ptr_eq(current, closed) => return,
                _ => std::mem::replace(&mut *state, LinkState::Reconnecting),
            }
        };
        link.suspected.store(false, Ordering::Release);
        if let LinkState::Open(connection) = previous {
            lock(&link.draining).push(connection);
        }
        log::info!(node = link.address.to_string().as_str(), reason = reason; "node unreachable");
        self.notify_observer(link.address.ip(), false);
        let (table, link) = (Arc::downgrade(self), link.clone());
        task::spawn(async move {
            let mut delay = MIN_RECONNECT_DELAY;
            loop {
                task::sleep(delay).await;
                delay = (delay * 2).min(MAX_RECONNECT_DELAY);
                let Some(table) = table.upgrade() else { return };
                if !table.contains(&link) {
                    return;
                }
                let Ok(connection) = link.open().await else { continue };
                *lock(&link.state) = LinkState::Open(connection);
                log::info!(node = link.address.to_string().as_str(); "node reachable again");
                table.notify_observer(link.address.ip(), true);
                return;
            }
        });
    }

    /// Closes connections that have pending calls and have been silent for too long. New calls avoid
    /// nodes whose connection has been silent for a shorter time. To be called every
    /// [`LINK_CHECK_INTERVAL`](fescuestack_routing::LINK_CHECK_INTERVAL).
    pub(crate) fn check_health(self: &Arc<Self>) {
        let links: Vec<_> = lock(&self.links).values().cloned().collect();
        for link in links {
            link.prune_draining(self.drain_limit);
            let Some((connection, health)) = link.check_health(self.drain_limit) else { continue };
            let suspected = health == LinkHealth::Suspect;
            if health == LinkHealth::Disconnected {
                self.mark_lost(&link, Some(&connection), "silent");
            } else if link.suspected.swap(suspected, Ordering::AcqRel) != suspected {
                log::info!(node = link.address.to_string().as_str(), doubted = suspected;
                    "suspicion of a silent node changed");
                self.notify_observer(link.address.ip(), !suspected);
            }
        }
    }

    /// Returns the VMs whose nodes are unreachable.
    pub(crate) fn unreachable_vms(&self) -> Vec<IpAddr> {
        let links = lock(&self.links);
        let unreachable =
            links.values().filter(|link| matches!(*lock(&link.state), LinkState::Reconnecting));
        let mut vms: Vec<_> = unreachable.map(|link| link.address.ip()).collect();
        vms.sort_unstable();
        vms
    }

    fn contains(&self, link: &Arc<NodeLink>) -> bool {
        lock(&self.links).get(&link.address).is_some_and(|known| Arc::ptr_eq(known, link))
    }

    fn notify_observer(&self, vm: IpAddr, is_reachable: bool) {
        let observer = lock(&self.observer).as_ref().and_then(std::sync::Weak::upgrade);
        if let Some(observer) = observer {
            observer.reachability_changed(vm, is_reachable);
        }
    }
}

impl NodeLink {
    /// Drops draining connections without pending calls and closes those that have been silent for
    /// too long.
    fn prune_draining(&self, drain_limit: ClockSpan) {
        lock(&self.draining).retain(|connection| {
            connection.has_calls()
                && connection.check_health(self.timeouts(connection, drain_limit))
                    != LinkHealth::Disconnected
        });
    }

    /// Checks for how long the open connection, if there is one, has been silent.
    fn check_health(&self, drain_limit: ClockSpan) -> Option<(Arc<LinkConnection>, LinkHealth)> {
        let LinkState::Open(connection) = &*lock(&self.state) else { return None };
        Some((connection.clone(), connection.check_health(self.timeouts(connection, drain_limit))))
    }

    /// Returns the timeouts for the silence of a connection: `drain_limit` for one that its node
    /// has announced to close.
    fn timeouts(&self, connection: &LinkConnection, drain_limit: ClockSpan) -> LinkTimeouts {
        match connection.sender.is_closed() {
            true => LinkTimeouts { suspect: drain_limit, disconnect: drain_limit },
            false => self.liveness().timeouts,
        }
    }

    fn liveness(&self) -> &'static LivenessSettings {
        if self.same_data_centre { &SAME_DATA_CENTRE_LIVENESS } else { &CROSS_DATA_CENTRE_LIVENESS }
    }

    async fn open(&self) -> Result<Arc<LinkConnection>, String> {
        let address = self.address;
        let stream = connect(address, CONNECT_TIMEOUT).await.map_err(|err| err.to_string())?;
        let socket = stream.clone();
        let stream = HyperStream::new(stream);
        let activity = stream.activity();
        let mut builder = http2::Builder::new(HyperExecutor);
        builder
            .timer(HyperTimer)
            .keep_alive_interval(self.liveness().ping_after)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let handshake = builder.handshake(stream);
        let opened = within(CONNECT_TIMEOUT, handshake).await.ok_or("handshake timed out")?;
        let (sender, connection) = opened.map_err(|err| err.to_string())?;
        task::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!(node = address.to_string().as_str();
                    "connection to a node closed: {err}");
            }
        });
        Ok(Arc::new(LinkConnection {
            sender,
            socket,
            activity,
            monitor: Mutex::default(),
            calls: AtomicUsize::new(0),
        }))
    }
}

fn describe_error(err: &hyper::Error) -> String {
    use std::error::Error;
    match err.source() {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}
