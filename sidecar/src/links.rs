//! Connections to other nodes: one for each, shared by all calls to it.

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

/// How long a connection may take to open. Data centres are some ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How a connection with open calls is watched.
struct LivenessSettings {
    /// Silence after which it is asked for a sign of life. Most calls end before the first question.
    ping_after: Duration,
    timeouts: LinkTimeouts,
}

/// Within a data centre. A VM that has used up its processor time answers after up to 100 ms, and uploads on
/// a slow link hold up the answer for half a second after the last of them was written.
const SAME_DATA_CENTRE_LIVENESS: LivenessSettings = LivenessSettings {
    ping_after: Duration::from_millis(350),
    timeouts: LinkTimeouts { suspect: ClockSpan::new(500), disconnect: ClockSpan::new(900) },
};

/// Between data centres, where traffic is costly and packets are lost now and then. A lost packet is sent
/// again after 200 ms or more.
const CROSS_DATA_CENTRE_LIVENESS: LivenessSettings = LivenessSettings {
    ping_after: Duration::from_millis(400),
    timeouts: LinkTimeouts { suspect: ClockSpan::new(700), disconnect: ClockSpan::new(1_100) },
};

/// How long the answer to the question for a sign of life may take while there are others. Uploads
/// that follow one another on a slow link hold it up.
const PING_TIMEOUT: Duration = Duration::from_secs(10);

/// First pause before a lost connection is opened again.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Longest pause before a lost connection is opened again.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(800);

/// Longest answer of a node in bytes. Answers of targets and copies of the store fit.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Bytes of a body that may be under way in one call, so that uploads go out without a round trip
/// for each piece.
pub(crate) const STREAM_WINDOW: u32 = 1 << 20;

/// The same towards a small VM, whose node decides on a body by its length before most of it is on the
/// link. A window of 32 KB let bodies that were turned away take four fifths of a link of 7 Mbit/s; a
/// round trip of 7 ms still allows for 9 Mbit/s.
pub(crate) const SMALL_STREAM_WINDOW: u32 = 8 * 1024;

/// Bytes that may be under way in all calls of a connection.
pub(crate) const CONNECTION_WINDOW: u32 = 4 << 20;

/// Why a call to another node has no answer.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    /// Nothing was sent.
    #[snafu(display("no connection to the node"))]
    NotSent,
    /// The request may have reached the node.
    #[snafu(display("connection to the node lost: {reason}"))]
    Lost { reason: String },
}

type LinkSender = http2::SendRequest<Full<Bytes>>;

/// A connection to a node. It ends when its last call has ended and nothing holds it any more.
#[derive(Debug)]
struct LinkConnection {
    sender: LinkSender,
    socket: TcpStream,
    activity: PeerActivity,
    monitor: Mutex<LinkMonitor>,
    /// Calls that wait for their answer.
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

    /// Judges the silence of the connection. Ends it and its calls if it counts as cut.
    fn check_health(&self, timeouts: LinkTimeouts) -> LinkHealth {
        let health = lock(&self.monitor).check(self.activity.count(), self.has_calls(), timeouts);
        if health == LinkHealth::Disconnected
            && let Err(err) = self.socket.shutdown(Shutdown::Both)
        {
            log::debug!("silent connection is closed already: {err}");
        }
        health
    }
}

/// A call that waits for its answer.
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
    /// Being opened again in the background.
    Reconnecting,
}

#[derive(Debug)]
struct NodeLink {
    address: SocketAddr,
    /// Whether the node is in the same data centre.
    same_data_centre: bool,
    state: Mutex<LinkState>,
    /// Whether new calls go elsewhere because of the silence of the open connection.
    suspected: AtomicBool,
    /// Former connections that still bring answers, since the node has announced to close them.
    draining: Mutex<Vec<Arc<LinkConnection>>>,
    open_lock: async_std::sync::Mutex<()>,
}

/// Told when a node can be reached or not any more.
pub(crate) trait LinkObserver: Send + Sync + 'static {
    fn reachability_changed(&self, vm: IpAddr, is_reachable: bool);
}

/// The connections of this node to others.
pub(crate) struct LinkTable {
    links: Mutex<FxHashMap<SocketAddr, Arc<NodeLink>>>,
    observer: Mutex<Option<std::sync::Weak<dyn LinkObserver>>>,
    response_budget: Arc<ByteBudget>,
    /// How long a connection may be silent that its node has announced to close. `hyper` sends no pings for
    /// the last call on it, and the node ends within its grace.
    drain_limit: ClockSpan,
}

impl LinkTable {
    /// Creates a table without connections. Answers count against `bytes`. A node ends within `grace` once
    /// it has been asked to.
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

    /// Sends a request to a node and reads its answer. Dropping the future cancels the request.
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

    /// The open connection, or `None` before the first one. Fails at once while the node is known to
    /// be out of reach, so that the call can go elsewhere.
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

    /// Notes that a node cannot be reached, and opens its connection again in the background. Nothing
    /// changes if `connection` was replaced by another one before.
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
        log::info!(node = link.address.to_string().as_str(), reason = reason; "node lost");
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
                log::info!(node = link.address.to_string().as_str(); "node regained");
                table.notify_observer(link.address.ip(), true);
                return;
            }
        });
    }

    /// Closes the connections that have gone silent while calls are open, and keeps new calls from those that
    /// may have. To be called in each [`LINK_CHECK_INTERVAL`](fescuestack_routing::LINK_CHECK_INTERVAL).
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
                    "silence of a node");
                self.notify_observer(link.address.ip(), !suspected);
            }
        }
    }

    /// VMs whose nodes cannot be reached at present.
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
    /// Ends the former connections that have gone silent, and forgets those without calls.
    fn prune_draining(&self, drain_limit: ClockSpan) {
        lock(&self.draining).retain(|connection| {
            connection.has_calls()
                && connection.check_health(self.timeouts(connection, drain_limit))
                    != LinkHealth::Disconnected
        });
    }

    /// Judges the silence of the open connection, if there is one.
    fn check_health(&self, drain_limit: ClockSpan) -> Option<(Arc<LinkConnection>, LinkHealth)> {
        let LinkState::Open(connection) = &*lock(&self.state) else { return None };
        Some((connection.clone(), connection.check_health(self.timeouts(connection, drain_limit))))
    }

    /// How long a connection may be silent. One that its node has announced to close may be for `closing`.
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
                log::debug!(node = address.to_string().as_str(); "link closed: {err}");
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
