//! A node on the users' platform, from its start to its graceful stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use fescuestack_http::{HyperExecutor, HyperStream, HyperTimer, lock, set_socket_options};
use fescuestack_operators::{MetricsError, NodeMetrics};
use fescuestack_platform::headers::READY_PATH;
use fescuestack_platform::{SidecarSettings, SidecarSettingsError};
use fescuestack_routing::LINK_CHECK_INTERVAL;
use futures_lite::future;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use snafu::{ResultExt, Snafu};

use crate::follower::StoreFollower;
use crate::links::{CONNECTION_WINDOW, SMALL_STREAM_WINDOW, STREAM_WINDOW};
use crate::message::{FullAnswer, empty_answer};
use crate::node::NodeState;
use crate::report::{EXPLAIN_PREFIX, STATUS_PATH, explain_answer, status_answer};
use crate::{entry, peer};

/// Path of the metrics on the address at which the platform asks whether the node is ready.
const METRICS_PATH: &str = "/metrics";

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How often the queue looks for calls that wait in vain.
const TICK: Duration = Duration::from_millis(25);

/// The same while no call waits. Each look costs a wake-up, and a fleet is idle most of the time.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// How often the settings file is looked at, since it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_millis(1_000);

/// How long clients may take to notice that a stopping node is not ready: two questions, one second
/// apart. A node without calls may end after it.
const NOTICE_SPAN: Duration = Duration::from_millis(2_200);

/// How long a stopping node takes requests of clients that have not noticed.
const SERVE_SPAN: Duration = Duration::from_millis(3_000);

/// How long a stopping node has to be without calls to end early.
const QUIET_SPAN: Duration = Duration::from_millis(250);

/// Time before the platform kills the process that is kept for the end of the stop.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Idle time of clients' connections before a configuration sets it.
const FIRST_IDLE: Duration = Duration::from_secs(15);

/// Longest head before a configuration sets it, in bytes.
const FIRST_HEAD_BYTES: usize = 16 * 1024;

/// Room in the read buffer beyond the longest head, in bytes, for the start of a body.
const BUFFER_SLACK_BYTES: usize = 8 * 1024;

/// Calls of one other node at a time.
const STREAM_LIMIT: u32 = 4_096;

/// Cancelled calls of a connection that were not yet looked at. Many clients may leave at once.
const RESET_LIMIT: usize = 4_096;

/// Why a node cannot start.
#[derive(Debug, Snafu)]
pub enum SidecarError {
    /// The settings cannot be used.
    #[snafu(display("{source}"))]
    Settings {
        /// The reason.
        source: SidecarSettingsError,
    },
    /// The metrics exporter cannot be set up.
    #[snafu(display("605 {source}"))]
    Metrics {
        /// The reason.
        source: MetricsError,
    },
    /// An address is in use or does not belong to this VM.
    #[snafu(display("604 {port}: cannot listen on {address}: {source}"))]
    Listen {
        /// Name of the setting.
        port: &'static str,
        /// The address.
        address: SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
}

/// A node on the users' platform.
pub struct SidecarNode {
    path: PathBuf,
    state: Arc<NodeState>,
    started: Instant,
}

impl SidecarNode {
    /// Reads the settings at `path` and starts to serve. Fails with 604, 605, 607 and 608.
    pub async fn start(path: PathBuf) -> Result<SidecarNode, SidecarError> {
        let settings = SidecarSettings::load(&path).context(SettingsSnafu)?;
        let (ready, outbound, inbound) = (settings.ready, settings.outbound, settings.inbound);
        let (name, data_centre) = (settings.node.clone(), settings.data_centre.clone());
        let metrics = NodeMetrics::new().context(MetricsSnafu)?;
        let state = NodeState::new(settings, metrics);
        let ready = bind("ready", ready).await?;
        let outbound = bind("outbound", outbound).await?;
        let inbound = bind("inbound", inbound).await?;
        task::spawn(accept(ready, state.clone(), serve_ready));
        task::spawn(accept(outbound, state.clone(), serve_client));
        task::spawn(accept(inbound, state.clone(), serve_node));
        task::spawn(tick(state.clone()));
        log::info!(node = name.as_str(), data_centre = data_centre.as_str(); "node started");
        Ok(SidecarNode { path, state, started: Instant::now() })
    }

    /// Follows the platform until `stop` completes, then stops gracefully. `stop` is asked again
    /// meanwhile.
    pub async fn run(self, stop: impl AsyncFn(), reload: impl AsyncFn()) {
        let follower = StoreFollower::new(self.state.clone()).run();
        let settings = follow_settings(self.path.clone(), self.state.clone(), reload);
        let stopping = async {
            stop().await;
            let asked = Mutex::new(Instant::now());
            let repeated = async {
                loop {
                    stop().await;
                    log::info!("stop asked for again");
                    *lock(&asked) = Instant::now();
                    task::sleep(TICK).await;
                }
            };
            future::or(self.stop(&asked), repeated).await;
        };
        future::or(stopping, future::or(follower, settings)).await;
    }

    /// Lets clients go elsewhere and calls in flight end, within the grace since the node was last
    /// `asked` to stop.
    async fn stop(&self, asked: &Mutex<Instant>) {
        let begun = Instant::now();
        let grace = Duration::from_millis(self.state.settings.load().grace.millis());
        let bound = grace.saturating_sub(GRACE_MARGIN);
        self.state.begin_stop();
        let uptime = self.started.elapsed().as_millis() as u64;
        log::info!(uptime_ms = uptime, calls = self.state.calls(); "graceful stop begins");
        let mut busy = Instant::now();
        while begun.elapsed() < SERVE_SPAN.min(bound) {
            task::sleep(TICK).await;
            if self.state.calls() > 0 {
                busy = Instant::now();
            }
            if begun.elapsed() >= NOTICE_SPAN && busy.elapsed() >= QUIET_SPAN {
                break;
            }
        }
        self.state.close_connections();
        while self.state.calls() > 0 && lock(asked).elapsed() < bound {
            task::sleep(TICK).await;
        }
        // Answers that were just written leave the process before it ends.
        task::sleep(TICK).await;
        log::info!(cut_off = self.state.calls(); "node stopped");
    }
}

async fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, SidecarError> {
    TcpListener::bind(address).await.context(ListenSnafu { port, address })
}

async fn accept<F, Fut>(listener: TcpListener, state: Arc<NodeState>, serve: F)
where
    F: Fn(Arc<NodeState>, TcpStream) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = set_socket_options(&stream) {
                    log::debug!("socket option refused: {err}");
                }
                task::spawn(serve(state.clone(), stream));
            }
            Err(err) => {
                log::warn!("cannot accept: {err}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_ready(state: Arc<NodeState>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer_ready(&state, request.uri().path());
        async { Ok::<_, Infallible>(answer) }
    });
    let stream = HyperStream::new(stream);
    let mut builder = http1::Builder::new();
    let connection = builder.timer(HyperTimer).serve_connection(stream, service);
    note_end("ready", connection.await);
}

/// The platform's question whether clients may come, the metrics, and what operators ask.
fn answer_ready(state: &NodeState, path: &str) -> FullAnswer {
    match path {
        READY_PATH if state.is_ready() => empty_answer(StatusCode::OK),
        READY_PATH => empty_answer(StatusCode::SERVICE_UNAVAILABLE),
        METRICS_PATH => match state.encode_metrics() {
            Ok(text) => Response::new(Full::new(text.into())),
            Err(err) => {
                log::error!("605 {err}");
                empty_answer(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        STATUS_PATH => status_answer(state),
        _ => match path.strip_prefix(EXPLAIN_PREFIX) {
            Some(request) => explain_answer(state, request),
            None => empty_answer(StatusCode::NOT_FOUND),
        },
    }
}

async fn serve_client(state: Arc<NodeState>, stream: TcpStream) {
    let stream = HyperStream::new(stream);
    let (idle, head_bytes) = match &*state.routes.load() {
        Some(routes) => {
            let idle = Duration::from_millis(routes.limits.idle_timeout.millis());
            (idle, routes.limits.max_head_bytes)
        }
        None => (FIRST_IDLE, FIRST_HEAD_BYTES),
    };
    let (watch, closing) = (stream.watch(), state.closing());
    let service = service_fn(move |request| {
        let answer = entry::serve(state.clone(), request, watch.clone());
        async { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(HyperTimer)
        .header_read_timeout(idle)
        .max_buf_size(head_bytes + BUFFER_SLACK_BYTES);
    let connection = builder.serve_connection(stream, service);
    run_connection("client", connection, closing, |connection| connection.graceful_shutdown())
        .await;
}

async fn serve_node(state: Arc<NodeState>, stream: TcpStream) {
    let closing = state.closing();
    let stream_window = if state.is_small() { SMALL_STREAM_WINDOW } else { STREAM_WINDOW };
    let service = service_fn(move |request| {
        let answer = peer::serve(state.clone(), request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http2::Builder::new(HyperExecutor);
    builder
        .timer(HyperTimer)
        .auto_date_header(false)
        .max_concurrent_streams(STREAM_LIMIT)
        .max_pending_accept_reset_streams(RESET_LIMIT)
        .initial_stream_window_size(stream_window)
        .initial_connection_window_size(CONNECTION_WINDOW);
    let stream = HyperStream::new(stream);
    let connection = builder.serve_connection(stream, service);
    run_connection("node", connection, closing, |connection| connection.graceful_shutdown()).await;
}

/// Serves a connection to its end. Once `closing` is closed, `shut_down` ends it after its present
/// requests.
async fn run_connection<C>(
    peer: &'static str,
    connection: C,
    closing: Receiver<()>,
    shut_down: impl FnOnce(Pin<&mut C>),
) where
    C: Future<Output = hyper::Result<()>>,
{
    let mut connection = std::pin::pin!(connection);
    let closed = async {
        // Nothing is ever sent: the channel only tells that it is closed.
        let _ = closing.recv().await;
        None
    };
    match future::or(async { Some(connection.as_mut().await) }, closed).await {
        Some(ended) => note_end(peer, ended),
        None => {
            shut_down(connection.as_mut());
            note_end(peer, connection.await);
        }
    }
}

fn note_end(peer: &'static str, ended: hyper::Result<()>) {
    if let Err(err) = ended {
        log::debug!(peer = peer; "connection ended: {err}");
    }
}

async fn tick(state: Arc<NodeState>) {
    let mut looked = state.clock.now();
    loop {
        let period = if state.target.has_waiting() { TICK } else { IDLE_TICK };
        task::sleep(period).await;
        state.target.tick();
        let now = state.clock.now();
        if now.since(looked) >= LINK_CHECK_INTERVAL {
            looked = now;
            state.links.look();
        }
    }
}

/// Takes over changed settings: the service and the target beside the node, for example. Addresses
/// that the node listens on stay as they are until it starts again.
async fn follow_settings(path: PathBuf, state: Arc<NodeState>, reload: impl AsyncFn()) {
    loop {
        future::or(task::sleep(SETTINGS_PERIOD), reload()).await;
        let settings = match SidecarSettings::load(&path) {
            Ok(settings) => settings,
            Err(err) => {
                log::warn!("settings kept as they were: {err}");
                continue;
            }
        };
        if settings != **state.settings.load() {
            log::info!(service = settings.service.as_str(),
                target = settings.target.to_string().as_str(); "settings changed");
            state.settings.store(Arc::new(settings));
        }
    }
}
