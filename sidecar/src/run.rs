//! Start, listeners and graceful stop of a node.

use std::convert::Infallible;
use std::net::{Shutdown, SocketAddr};
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use fescuestack_core::ClockSpan;
use fescuestack_http::{
    HyperExecutor, HyperStream, HyperTimer, lock, set_client_options, set_receive_buffer,
    set_socket_options, within,
};
use fescuestack_operators::{MetricsError, NodeMetrics};
use fescuestack_platform::headers::READY_PATH;
use fescuestack_platform::{SidecarSettings, SidecarSettingsError};
use fescuestack_routing::{ConnectionKind, LINK_CHECK_INTERVAL, READINESS_NOTICE_TIME};
use futures_lite::future;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use snafu::{ResultExt, Snafu};

use crate::connections::{ConnectionRecord, OpenConnection};
use crate::follower::StoreFollower;
use crate::links::{CONNECTION_WINDOW, SMALL_STREAM_WINDOW, STREAM_WINDOW};
use crate::message::{FullResponse, empty_response};
use crate::node::NodeState;
use crate::policy::NodePolicy;
use crate::report::{EXPLAIN_PREFIX, STATUS_PATH, explain_response, status_response};
use crate::{entry, peer};

/// Path of the metrics, on the address that also serves the readiness probe.
const METRICS_PATH: &str = "/metrics";

/// Delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How often the queue is checked for calls that can no longer be executed in time.
const TICK_PERIOD: Duration = Duration::from_millis(25);

/// The same while no call waits. Each check costs a wake-up, and a fleet is idle most of the time.
const IDLE_TICK_PERIOD: Duration = Duration::from_millis(100);

/// How often other nodes are told which suspect requests the target has completed. Many nodes complete a
/// popular request at about the same time; most learn of it in this time and do not report it as well.
const COMPLETION_REPORT_INTERVAL: ClockSpan = ClockSpan::new(500);

/// How often the settings file is read again, since it may change without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_millis(1_000);

/// How long a stopping node accepts requests of clients that have not noticed the stop.
const STOP_SERVE_TIME: Duration = Duration::from_millis(3_000);

/// How long a stopping node must have been without calls to exit early.
const STOP_QUIET_TIME: Duration = Duration::from_millis(250);

/// Part of the grace period that is reserved for the end of the stop, after the calls that are still
/// in progress were broken off.
const STOP_GRACE_MARGIN: ClockSpan = ClockSpan::new(500);

/// Time in which the responses to these calls are written. What is left of the margin covers delays
/// on a busy VM, before the platform kills the process.
const ABORT_TIME: Duration = Duration::from_millis(200);

/// Idle timeout of client connections while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest request head in bytes while there is no configuration.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Size of the read buffer beyond the longest head, in bytes. It holds the start of a body.
const EXTRA_BUFFER_BYTES: usize = 8 * 1024;

/// How long a connection whose client still sends stays open after its last answer. Closing it with
/// unread bytes resets it, and the client may lose the answer.
const LINGER_TIME: Duration = Duration::from_millis(1_000);

/// Number of bytes after which such a connection is closed, although its client still sends.
const MAX_LINGER_BYTES: usize = 1024 * 1024;

/// How long the answer of a connection that is closed for its limits may take.
const EVICTION_TIME: Duration = Duration::from_millis(100);

/// Limit on concurrent calls from another node.
const MAX_CONCURRENT_STREAMS: u32 = 4_096;

/// Limit on cancelled calls of a connection that are not processed yet. Many clients may disconnect
/// at once.
const MAX_PENDING_RESETS: usize = 4_096;

/// Error while starting a node.
#[derive(Debug, Snafu)]
pub enum SidecarError {
    /// The settings are missing or invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: SidecarSettingsError,
    },
    /// The metrics exporter cannot be created.
    #[snafu(display("605 {source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
    /// The node cannot listen on an address. It is in use or does not belong to this VM.
    #[snafu(display("604 {setting}: cannot listen on {address}: {source}"))]
    Listen {
        /// Name of the setting with the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// A running sidecar node.
pub struct SidecarNode {
    path: PathBuf,
    state: Arc<NodeState>,
    started: Instant,
}

impl SidecarNode {
    /// Reads the settings at `path` and starts to accept connections, with the default policy. Fails
    /// with 604, 605, 607 or 608.
    pub async fn start(path: PathBuf) -> Result<SidecarNode, SidecarError> {
        SidecarNode::start_with_policy(path, NodePolicy::default()).await
    }

    /// Like [`SidecarNode::start`], with a policy of the operators.
    pub async fn start_with_policy(
        path: PathBuf,
        policy: NodePolicy,
    ) -> Result<SidecarNode, SidecarError> {
        let settings = SidecarSettings::load(&path).context(SettingsSnafu)?;
        let (ready, outbound, inbound) = (settings.ready, settings.outbound, settings.inbound);
        let (name, data_centre) = (settings.node.clone(), settings.data_centre.clone());
        let metrics = NodeMetrics::new().context(MetricsSnafu)?;
        let state = NodeState::new(settings, policy, metrics);
        let ready = bind("ready", ready).await?;
        let outbound = bind("outbound", outbound).await?;
        let inbound = bind("inbound", inbound).await?;
        task::spawn(accept(ready, state.clone(), ConnectionKind::Ready, serve_ready));
        task::spawn(accept(outbound, state.clone(), ConnectionKind::Client, serve_client));
        task::spawn(accept(inbound, state.clone(), ConnectionKind::Node, serve_node));
        task::spawn(tick(state.clone()));
        log::info!(node = name.as_str(), data_centre = data_centre.as_str(); "node started");
        Ok(SidecarNode { path, state, started: Instant::now() })
    }

    /// Follows the platform until `stop` completes, then stops gracefully. `stop` is called again
    /// during the stop; each completion restarts the grace period. The settings are read again when
    /// `reload` completes.
    pub async fn run(self, stop: impl AsyncFn(), reload: impl AsyncFn()) {
        let follower = StoreFollower::new(self.state.clone()).run();
        let settings = follow_settings(self.path.clone(), self.state.clone(), reload);
        let stopping = async {
            stop().await;
            let last_stop_request = Mutex::new(Instant::now());
            let repeated_stops = async {
                loop {
                    stop().await;
                    log::info!("stop requested again");
                    *lock(&last_stop_request) = Instant::now();
                    self.state.begin_stop(self.call_time());
                    task::sleep(TICK_PERIOD).await;
                }
            };
            future::or(self.stop(&last_stop_request), repeated_stops).await;
        };
        future::or(stopping, future::or(follower, settings)).await;
    }

    /// Returns the time for which calls may run after the platform has asked the node to stop.
    fn call_time(&self) -> ClockSpan {
        self.state.settings.load().grace.less(STOP_GRACE_MARGIN)
    }

    /// Lets clients switch to other nodes and calls in progress end, within the grace period that
    /// starts at `last_stop_request`.
    async fn stop(&self, last_stop_request: &Mutex<Instant>) {
        let stop_started = Instant::now();
        let call_time = self.call_time();
        let time_limit = Duration::from_millis(call_time.millis());
        self.state.begin_stop(call_time);
        let uptime = self.started.elapsed().as_millis() as u64;
        log::info!(uptime_ms = uptime, calls = self.state.active_calls(); "graceful stop begins");
        let notice_time = Duration::from_millis(READINESS_NOTICE_TIME.millis());
        let mut last_active = Instant::now();
        while stop_started.elapsed() < STOP_SERVE_TIME.min(time_limit) {
            task::sleep(TICK_PERIOD).await;
            if self.state.active_calls() > 0 {
                last_active = Instant::now();
            }
            if stop_started.elapsed() >= notice_time && last_active.elapsed() >= STOP_QUIET_TIME {
                break;
            }
        }
        self.state.close_connections();
        while self.state.is_busy() && lock(last_stop_request).elapsed() < time_limit {
            task::sleep(TICK_PERIOD).await;
        }
        let cut_off = self.state.active_calls();
        self.state.stop.abort();
        while self.state.is_busy() && lock(last_stop_request).elapsed() < time_limit + ABORT_TIME {
            task::sleep(TICK_PERIOD).await;
        }
        // Gives responses that were just written time to leave the process.
        task::sleep(TICK_PERIOD).await;
        log::info!(cut_off = cut_off; "node stopped");
    }
}

async fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, SidecarError> {
    TcpListener::bind(address).await.context(ListenSnafu { setting, address })
}

async fn accept<F, Fut>(
    listener: TcpListener,
    state: Arc<NodeState>,
    kind: ConnectionKind,
    serve: F,
) where
    F: Fn(Arc<NodeState>, TcpStream, OpenConnection) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let mut receive_buffer = None;
    let mut largest_buffer = None;
    loop {
        // Connections inherit the size before they are accepted.
        let next_buffer = state.connections.receive_buffer(kind);
        if let Some(bytes) = next_buffer.filter(|_| next_buffer != receive_buffer) {
            receive_buffer = next_buffer;
            largest_buffer = largest_buffer.max(next_buffer);
            if let Err(err) = set_receive_buffer(&listener, bytes) {
                log::debug!("cannot set the receive buffer of the listener: {err}");
            }
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(open) = state.connections.open(kind).await else { continue };
                // It may have connected while the size was larger.
                if let Some(bytes) = receive_buffer.filter(|_| receive_buffer < largest_buffer)
                    && let Err(err) = set_receive_buffer(&stream, bytes)
                {
                    log::debug!("cannot set the receive buffer: {err}");
                }
                let options_set = match kind {
                    ConnectionKind::Client => set_client_options(&stream),
                    ConnectionKind::Node | ConnectionKind::Ready => set_socket_options(&stream),
                };
                if let Err(err) = options_set {
                    log::debug!("cannot set socket options: {err}");
                }
                task::spawn(serve(state.clone(), stream, open));
            }
            Err(err) => {
                log::warn!("cannot accept a connection: {err}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_ready(state: Arc<NodeState>, stream: TcpStream, open: OpenConnection) {
    let record = open.record.clone();
    let builder = http1_builder(&state);
    let service = service_fn(move |request: Request<Incoming>| {
        let _head = record.begin_request(request.headers(), !request.body().is_end_stream());
        let mut response = ready_port_response(&state, request.uri().path());
        if record.has_unread_body() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        record.end_answer();
        async { Ok::<_, Infallible>(response) }
    });
    let socket = stream.clone();
    let stream = HyperStream::new(stream).with_meter(open.record.meter.clone());
    let connection = builder.serve_connection(stream, service);
    // Not closed by a stop: the platform probes a node that stops.
    let ended = future::or(async { Some(connection.await) }, async {
        open.record.evicted().await;
        None
    });
    if let Some(ended) = ended.await {
        linger(&socket, &open.record, ended.is_err()).await;
        log_connection_end("ready", ended);
    }
}

/// Returns the settings of connections of clients and operators.
fn http1_builder(state: &NodeState) -> http1::Builder {
    let (idle_timeout, head_bytes) = match &*state.routes.load() {
        Some(routes) => {
            let idle_timeout = Duration::from_millis(routes.limits.idle_timeout.millis());
            (idle_timeout, routes.limits.max_head_bytes)
        }
        None => (DEFAULT_IDLE_TIMEOUT, DEFAULT_HEAD_BYTES),
    };
    let mut builder = http1::Builder::new();
    // The time for a head is checked by the connection table.
    builder
        .timer(HyperTimer)
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes + EXTRA_BUFFER_BYTES)
        .max_headers(state.policy.clients.max_head_fields);
    builder
}

/// Reads what a client still sends after its last answer, so that the answer is not lost.
async fn linger(mut stream: &TcpStream, record: &ConnectionRecord, has_failed: bool) {
    if record.meter.has_ended() || !(has_failed || record.has_unread_body()) {
        return;
    }
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let discarded = async {
        let mut buffer = vec![0; 4096];
        let mut discarded = 0;
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            discarded += count;
            if discarded >= MAX_LINGER_BYTES {
                break;
            }
            // While the socket has data, reads complete at once and would keep the thread.
            task::yield_now().await;
        }
    };
    future::or(within(LINGER_TIME, discarded), async {
        record.evicted().await;
        None
    })
    .await;
}

/// Serves the platform's readiness probe, the metrics and the requests of operators.
fn ready_port_response(state: &NodeState, path: &str) -> FullResponse {
    match path {
        READY_PATH if state.is_ready() => empty_response(StatusCode::OK),
        READY_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        METRICS_PATH => match state.encode_metrics() {
            Ok(text) => Response::new(Full::new(text.into())),
            Err(err) => {
                log::error!("605 {err}");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        STATUS_PATH => status_response(state),
        _ => match path.strip_prefix(EXPLAIN_PREFIX) {
            Some(request) => explain_response(state, request),
            None => empty_response(StatusCode::NOT_FOUND),
        },
    }
}

async fn serve_client(state: Arc<NodeState>, stream: TcpStream, open: OpenConnection) {
    let _connection_guard = state.open_connection();
    let socket = stream.clone();
    let stream = HyperStream::new(stream).with_meter(open.record.meter.clone());
    let builder = http1_builder(&state);
    let (watch, closing) = (stream.watch(), state.closing_signal());
    let (record, service_state) = (open.record.clone(), state.clone());
    let service = service_fn(move |request| {
        let (state, watch, record) = (service_state.clone(), watch.clone(), record.clone());
        async move { Ok::<_, Infallible>(entry::serve(state, request, watch, &record).await) }
    });
    let connection = builder.serve_connection(stream, service);
    let shut_down = |connection: Pin<&mut _>| http1::Connection::graceful_shutdown(connection);
    let ended = run_connection("client", connection, closing, &open.record, shut_down).await;
    if !state.is_stopping() && ended != ConnectionEnd::Evicted {
        linger(&socket, &open.record, ended == ConnectionEnd::Failed).await;
    }
}

async fn serve_node(state: Arc<NodeState>, stream: TcpStream, open: OpenConnection) {
    let _connection_guard = state.open_connection();
    let closing = state.closing_signal();
    let stream_window = if state.is_small() { SMALL_STREAM_WINDOW } else { STREAM_WINDOW };
    let record = open.record.clone();
    let service = service_fn(move |request| {
        let (state, record) = (state.clone(), record.clone());
        async move { Ok::<_, Infallible>(peer::serve(state, request, &record).await) }
    });
    let mut builder = http2::Builder::new(HyperExecutor);
    builder
        .timer(HyperTimer)
        .auto_date_header(false)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
        .initial_stream_window_size(stream_window)
        .initial_connection_window_size(CONNECTION_WINDOW);
    let stream = HyperStream::new(stream).with_meter(open.record.meter.clone());
    let connection = builder.serve_connection(stream, service);
    let shut_down = |connection: Pin<&mut _>| http2::Connection::graceful_shutdown(connection);
    run_connection("node", connection, closing, &open.record, shut_down).await;
}

/// How the service of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// The last message was complete.
    Complete,
    /// A message was invalid or incomplete.
    Failed,
    /// The connection table closes it.
    Evicted,
}

/// Serves a connection to its end. When `closing` closes, `shut_down` makes it end after its
/// current requests. When the connection table closes it, an answer to a request that has not run
/// may still be written.
async fn run_connection<C>(
    peer: &'static str,
    connection: C,
    closing: Receiver<()>,
    record: &ConnectionRecord,
    shut_down: impl FnOnce(Pin<&mut C>),
) -> ConnectionEnd
where
    C: Future<Output = hyper::Result<()>>,
{
    let mut connection = std::pin::pin!(connection);
    let evicted = async {
        record.evicted().await;
        ConnectionEnd::Evicted
    };
    let served = async {
        let closed = async {
            // Nothing is sent on the channel; `recv` returns when it is closed.
            let _ = closing.recv().await;
            None
        };
        let ended = match future::or(async { Some(connection.as_mut().await) }, closed).await {
            Some(ended) => ended,
            None => {
                shut_down(connection.as_mut());
                connection.as_mut().await
            }
        };
        let has_failed = ended.is_err();
        log_connection_end(peer, ended);
        if has_failed { ConnectionEnd::Failed } else { ConnectionEnd::Complete }
    };
    let ended = future::or(served, evicted).await;
    if ended == ConnectionEnd::Evicted && record.owes_answer() {
        // A request whose body is being received ends with an answer.
        within(EVICTION_TIME, connection).await;
    }
    ended
}

fn log_connection_end(peer: &'static str, ended: hyper::Result<()>) {
    if let Err(err) = ended {
        log::debug!(peer = peer; "connection ended: {err}");
    }
}

async fn tick(state: Arc<NodeState>) {
    let mut last_check = state.clock.now();
    let mut last_report = last_check;
    loop {
        let period = if state.local_target.has_waiting() { TICK_PERIOD } else { IDLE_TICK_PERIOD };
        task::sleep(period).await;
        state.local_target.tick();
        state.local_target.probe_if_wanted();
        state.connections.check(state.head_timeout());
        let now = state.clock.now();
        if now.since(last_check) >= LINK_CHECK_INTERVAL {
            last_check = now;
            state.links.check_health();
        }
        if now.since(last_report) >= COMPLETION_REPORT_INTERVAL {
            last_report = now;
            state.report_completions();
        }
    }
}

/// Applies changes of the settings file, such as another service or target. Changed listen
/// addresses take effect at the next start.
async fn follow_settings(path: PathBuf, state: Arc<NodeState>, reload: impl AsyncFn()) {
    loop {
        future::or(task::sleep(SETTINGS_POLL_PERIOD), reload()).await;
        let settings = match SidecarSettings::load(&path) {
            Ok(settings) => settings,
            Err(err) => {
                log::warn!("keeping the previous settings: {err}");
                continue;
            }
        };
        if settings != **state.settings.load() {
            log::info!(service = settings.service.as_str(),
                target = settings.target.to_string().as_str(); "settings changed");
            state.settings.store(Arc::new(settings));
            state.apply_warmup();
        }
    }
}
