//! Connections to other nodes: one for each, shared by all calls to it.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::Sender;
use async_std::task;
use bytes::Bytes;
use fescuestack_core::ClockSpan;
use fescuestack_http::{LifeSigns, ServedStream, TaskExecutor, TaskTimer, connect, lock, within};
use fescuestack_routing::LinkSilence;
use futures_lite::future;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http2;
use rustc_hash::FxHashMap;
use snafu::Snafu;

/// How long a connection may take to open. Data centres are some ms apart.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// How long a connection with open calls may be silent before it is asked for a sign of life, and until
/// it counts as cut, within a data centre. A VM that has used up its processor time answers after up to
/// 100 ms, and uploads on a slow link hold up the answer for half a second after the last of them was
/// written.
const NEAR_SILENCE: (Duration, ClockSpan) = (Duration::from_millis(200), ClockSpan::new(900));

/// The same between data centres, where traffic is costly and packets are lost now and then. A lost
/// packet is sent again after 200 ms or more.
const FAR_SILENCE: (Duration, ClockSpan) = (Duration::from_millis(400), ClockSpan::new(1_100));

/// How long the answer to the question for a sign of life may take while there are others. Uploads
/// that follow one another on a slow link hold it up.
const PING_LIMIT: Duration = Duration::from_secs(10);

/// First pause before a lost connection is opened again.
const REOPEN_FIRST: Duration = Duration::from_millis(100);

/// Longest pause before a lost connection is opened again.
const REOPEN_LAST: Duration = Duration::from_millis(800);

/// Longest answer of a node in bytes. Answers of targets and copies of the store fit.
const ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Bytes of a body that may be under way in one call, so that uploads go out without a round trip
/// for each piece.
pub(crate) const STREAM_WINDOW: u32 = 1 << 20;

/// The same towards a small VM, whose node decides on a body by its length before most of it is on the
/// link. Even so, a round trip of 10 ms allows for 26 Mbit/s.
pub(crate) const SMALL_STREAM_WINDOW: u32 = 32 * 1024;

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

/// An open connection.
#[derive(Debug)]
struct OpenLink {
    sender: LinkSender,
    signs: LifeSigns,
    silence: LinkSilence,
    /// The connection ends when this is closed. One that the node has announced to close still brings
    /// its last answers, so dropping this does not end it.
    closer: Sender<()>,
}

#[derive(Debug)]
enum LinkState {
    Closed,
    Open(OpenLink),
    /// Being opened again in the background.
    Lost,
}

#[derive(Debug)]
struct NodeLink {
    address: SocketAddr,
    /// Whether the node is in the same data centre.
    near: bool,
    state: Mutex<LinkState>,
    opening: async_std::sync::Mutex<()>,
    /// Calls that wait for their answer.
    calls: AtomicUsize,
}

/// A call that waits for its answer.
struct OpenCall<'a>(&'a NodeLink);

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Told when a node can be reached or not any more.
pub(crate) trait LinkObserver: Send + Sync + 'static {
    fn reachable(&self, vm: IpAddr, reachable: bool);
}

/// The connections of this node to others.
pub(crate) struct LinkTable {
    links: Mutex<FxHashMap<SocketAddr, Arc<NodeLink>>>,
    observer: Mutex<Option<std::sync::Weak<dyn LinkObserver>>>,
}

impl LinkTable {
    pub(crate) fn new() -> Arc<LinkTable> {
        Arc::new(LinkTable { links: Mutex::default(), observer: Mutex::new(None) })
    }

    pub(crate) fn set_observer(&self, observer: std::sync::Weak<dyn LinkObserver>) {
        *lock(&self.observer) = Some(observer);
    }

    /// Sends a request to a node and reads its answer. Dropping the future cancels the request.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        near: bool,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, LinkError> {
        let link = self.link(address, near);
        let mut sender = self.sender(&link).await?;
        let _call = link.begin_call();
        let answer = match sender.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut err) => {
                let unsent = err.take_message().is_some();
                let reason = describe(err.error());
                if sender.is_closed() {
                    self.lose(&link, &reason);
                }
                return Err(if unsent { LinkError::NotSent } else { LinkError::Lost { reason } });
            }
        };
        let (parts, body) = answer.into_parts();
        match Limited::new(body, ANSWER_BYTES).collect().await {
            Ok(body) => Ok(Response::from_parts(parts, body.to_bytes())),
            Err(err) => Err(LinkError::Lost { reason: err.to_string() }),
        }
    }

    fn link(&self, address: SocketAddr, near: bool) -> Arc<NodeLink> {
        let mut links = lock(&self.links);
        let link = links.entry(address).or_insert_with(|| {
            let (state, opening) = (Mutex::new(LinkState::Closed), async_std::sync::Mutex::new(()));
            Arc::new(NodeLink { address, near, state, opening, calls: AtomicUsize::new(0) })
        });
        link.clone()
    }

    async fn sender(self: &Arc<Self>, link: &Arc<NodeLink>) -> Result<LinkSender, LinkError> {
        if let Some(sender) = self.open_sender(link)? {
            return Ok(sender);
        }
        let _guard = link.opening.lock().await;
        if let Some(sender) = self.open_sender(link)? {
            return Ok(sender);
        }
        match link.open().await {
            Ok(open) => {
                let sender = open.sender.clone();
                *lock(&link.state) = LinkState::Open(open);
                Ok(sender)
            }
            Err(reason) => {
                self.lose(link, &reason);
                Err(LinkError::NotSent)
            }
        }
    }

    /// The open connection, or `None` before the first one. Fails at once while the node is known to
    /// be out of reach, so that the call can go elsewhere.
    fn open_sender(
        self: &Arc<Self>,
        link: &Arc<NodeLink>,
    ) -> Result<Option<LinkSender>, LinkError> {
        match &*lock(&link.state) {
            LinkState::Open(open) if !open.sender.is_closed() => {
                return Ok(Some(open.sender.clone()));
            }
            LinkState::Open(_) => (),
            LinkState::Closed => return Ok(None),
            LinkState::Lost => return Err(LinkError::NotSent),
        }
        self.lose(link, "closed by the node");
        Err(LinkError::NotSent)
    }

    /// Notes that a node cannot be reached, and opens its connection again in the background.
    fn lose(self: &Arc<Self>, link: &Arc<NodeLink>, reason: &str) {
        let former = std::mem::replace(&mut *lock(&link.state), LinkState::Lost);
        if matches!(former, LinkState::Lost) {
            return;
        }
        log::info!(node = link.address.to_string().as_str(), reason = reason; "node lost");
        self.notify(link.address.ip(), false);
        let (table, link) = (Arc::downgrade(self), link.clone());
        task::spawn(async move {
            let mut pause = REOPEN_FIRST;
            loop {
                task::sleep(pause).await;
                pause = (pause * 2).min(REOPEN_LAST);
                let Some(table) = table.upgrade() else { return };
                if !table.holds(&link) {
                    return;
                }
                let Ok(open) = link.open().await else { continue };
                *lock(&link.state) = LinkState::Open(open);
                log::info!(node = link.address.to_string().as_str(); "node regained");
                table.notify(link.address.ip(), true);
                return;
            }
        });
    }

    /// Closes the connections that have gone silent while calls are open. To be called in each
    /// [`LOOK_PERIOD`](fescuestack_routing::LOOK_PERIOD).
    pub(crate) fn look(self: &Arc<Self>) {
        let links: Vec<_> = lock(&self.links).values().cloned().collect();
        for link in links {
            if link.end_if_silent() {
                self.lose(&link, "silent");
            }
        }
    }

    /// VMs whose nodes cannot be reached at present.
    pub(crate) fn lost(&self) -> Vec<IpAddr> {
        let links = lock(&self.links);
        let lost = links.values().filter(|link| matches!(*lock(&link.state), LinkState::Lost));
        let mut lost: Vec<_> = lost.map(|link| link.address.ip()).collect();
        lost.sort_unstable();
        lost
    }

    fn holds(&self, link: &Arc<NodeLink>) -> bool {
        lock(&self.links).get(&link.address).is_some_and(|known| Arc::ptr_eq(known, link))
    }

    fn notify(&self, vm: IpAddr, reachable: bool) {
        let observer = lock(&self.observer).as_ref().and_then(std::sync::Weak::upgrade);
        if let Some(observer) = observer {
            observer.reachable(vm, reachable);
        }
    }
}

impl NodeLink {
    fn begin_call(&self) -> OpenCall<'_> {
        self.calls.fetch_add(1, Ordering::AcqRel);
        OpenCall(self)
    }

    /// Looks whether the connection has gone silent, and ends it then.
    fn end_if_silent(&self) -> bool {
        let busy = self.calls.load(Ordering::Acquire) > 0;
        let (_, limit) = self.silence();
        match &mut *lock(&self.state) {
            LinkState::Open(open) => {
                let silent = open.silence.look(open.signs.count(), busy, limit);
                if silent {
                    open.closer.close();
                }
                silent
            }
            LinkState::Closed | LinkState::Lost => false,
        }
    }

    fn silence(&self) -> (Duration, ClockSpan) {
        if self.near { NEAR_SILENCE } else { FAR_SILENCE }
    }

    async fn open(&self) -> Result<OpenLink, String> {
        let address = self.address;
        let stream = connect(address, CONNECT_LIMIT).await.map_err(|err| err.to_string())?;
        let (interval, _) = self.silence();
        let stream = ServedStream::new(stream);
        let signs = stream.signs();
        let mut builder = http2::Builder::new(TaskExecutor);
        builder
            .timer(TaskTimer)
            .keep_alive_interval(interval)
            .keep_alive_timeout(PING_LIMIT)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let handshake = builder.handshake(stream);
        let opened = within(CONNECT_LIMIT, handshake).await.ok_or("handshake timed out")?;
        let (sender, connection) = opened.map_err(|err| err.to_string())?;
        let (closer, closed) = async_channel::bounded::<()>(1);
        let opened = closer.clone();
        let closed = async move {
            // Nothing is ever sent; the channel is closed.
            let _ = closed.recv().await;
            drop(opened);
            Ok(())
        };
        task::spawn(async move {
            if let Err(err) = future::or(connection, closed).await {
                log::debug!(node = address.to_string().as_str(); "link closed: {err}");
            }
        });
        Ok(OpenLink { sender, signs, silence: LinkSilence::default(), closer })
    }
}

fn describe(err: &hyper::Error) -> String {
    use std::error::Error;
    match err.source() {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}
