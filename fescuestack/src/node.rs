//! Startup and shutdown of a node: control thread, links to other nodes, call ports and operator port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::task;
use fescuestack_callers::{CallService, CallSettings};
use fescuestack_core::{ClockSpan, ControlInput, ControlRecorder, ControlState, PeerAddress};
use fescuestack_operators::{
    MetricsError, NodeMetrics, OperatorEndpoints, OperatorServer, RecentCalls,
};
use fescuestack_peers::{LinkCounters, LinkListener, LinkPool};
use fescuestack_platform::HttpSource;
use snafu::{ResultExt, Snafu};

use crate::baseline::DistributionProtocol;
use crate::controller::{
    ControlDriver, ControlRequest, ControlShared, InstallRecord, control_channel,
};
use crate::observer::NodeObserver;
use crate::settings::NodeSettings;

/// Number of recent calls kept for `explain`.
const EXPLAIN_CAPACITY: usize = 4_096;

/// Number of control inputs kept for `record`. Ten ticks per second are recorded, so this covers several
/// minutes.
const RECORD_CAPACITY: usize = 4_096;

/// Capacity of the link event channel to the control thread.
const LINK_EVENT_CAPACITY: usize = 1_024;

/// Error that prevents a node from starting.
#[derive(Debug, Snafu)]
pub(crate) enum NodeError {
    /// The address is in use or does not belong to this machine.
    #[snafu(display("604 listen.{port}: cannot listen on {address}: {source}"))]
    Listen { port: &'static str, address: SocketAddr, source: std::io::Error },
    /// The metrics exporter cannot be created.
    #[snafu(display("605 {source}"))]
    Metrics { source: MetricsError },
    /// The control thread cannot be started.
    #[snafu(display("606 cannot start the control thread: {source}"))]
    Thread { source: std::io::Error },
}

/// Returns the artificial delay of control messages to a peer.
pub(crate) type LinkDelay = Box<dyn Fn(&PeerAddress) -> Duration + Send>;

/// Options of a node for demonstrations and measurements.
#[derive(Default)]
pub(crate) struct NodeOptions {
    /// Artificial delay of control messages.
    pub(crate) link_delay: Option<LinkDelay>,
    /// Receives a record for each version that becomes active.
    pub(crate) install_records: Option<Sender<InstallRecord>>,
    /// Protocol to use instead of tree-based distribution.
    pub(crate) protocol: Option<DistributionProtocol>,
}

/// A running node.
pub(crate) struct RunningNode {
    requests: Sender<ControlRequest>,
    link_usage: Arc<LinkCounters>,
    service: Arc<CallService>,
    listener_task: task::JoinHandle<()>,
    operator_server: OperatorServer,
    control_port: LinkListener,
    thread: Option<JoinHandle<()>>,
}

/// Answers requests at the operator port.
struct NodeEndpoints {
    requests: Sender<ControlRequest>,
    metrics: Arc<NodeMetrics>,
    recent_calls: Arc<RecentCalls>,
}

impl RunningNode {
    /// Starts a node. Fails if it cannot listen on one of its ports.
    pub(crate) async fn start(
        settings: &NodeSettings,
        options: NodeOptions,
    ) -> Result<RunningNode, NodeError> {
        let metrics = Arc::new(NodeMetrics::new().context(MetricsSnafu)?);
        let recent_calls = Arc::new(RecentCalls::new(EXPLAIN_CAPACITY));
        let link_usage = Arc::new(LinkCounters::default());
        let snapshot = Arc::new(ArcSwapOption::empty());
        let channel = control_channel();
        let requests = channel.0.clone();

        let observer = NodeObserver::new(requests.clone(), metrics.clone(), recent_calls.clone());
        let endpoints =
            NodeEndpoints { requests: requests.clone(), metrics: metrics.clone(), recent_calls };
        let operator = settings.listen.operator;
        let operator_server = OperatorServer::listen(operator, Arc::new(endpoints))
            .await
            .context(ListenSnafu { port: "operator", address: operator })?;

        let control_settings = settings.control_settings();
        let mut call_settings = CallSettings::new(
            control_settings.node.name.clone(),
            control_settings.node.data_centre.clone(),
            node_seed(&control_settings.node),
        );
        call_settings.drain_bound = ClockSpan::new(settings.drain_ms);
        let service = CallService::new(call_settings, snapshot.clone(), Arc::new(observer));
        let caller = bind_listener("caller", settings.listen.caller).await?;
        let local = bind_listener("local", settings.listen.local).await?;
        let relay = bind_listener("relay", settings.listen.relay).await?;
        let listener_task = task::spawn(service.clone().serve(caller, local, relay));

        let (event_sender, events) = async_channel::bounded(LINK_EVENT_CAPACITY);
        let mut links =
            LinkPool::new(control_settings.node.clone(), event_sender.clone(), link_usage.clone());
        if let Some(delay) = options.link_delay {
            links = links.with_delay(delay);
        }
        let address = settings.listen.control;
        let control_port = LinkListener::listen(address, event_sender, link_usage.clone())
            .context(ListenSnafu { port: "control", address })?;

        let shared = ControlShared {
            snapshot,
            link_usage: link_usage.clone(),
            metrics,
            service: service.clone(),
            install_records: options.install_records,
        };
        let node = control_settings.node.clone();
        let seed = node_seed(&node);
        let recorder = ControlRecorder::new(control_settings.clone(), seed, RECORD_CAPACITY);
        let protocol = options.protocol.unwrap_or_else(|| {
            DistributionProtocol::Trees(Box::new(ControlState::new(control_settings, seed)))
        });
        let source = HttpSource::new(settings.platform);
        let driver = ControlDriver::new(protocol, recorder, &node, links, source, channel, shared);
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || driver.run(events))
            .context(ThreadSnafu)?;
        log::info!(node = &*node.name, data_centre = &*node.data_centre; "node started");
        Ok(RunningNode {
            requests,
            link_usage,
            service,
            listener_task,
            operator_server,
            control_port,
            thread: Some(thread),
        })
    }

    /// Returns the traffic counters of the control links.
    pub(crate) fn link_usage(&self) -> &LinkCounters {
        &self.link_usage
    }

    /// Returns the status as JSON, or an empty string if the control thread has ended.
    pub(crate) async fn status(&self) -> String {
        let (sender, answer) = async_channel::bounded(1);
        if self.requests.send(ControlRequest::Status(sender)).await.is_err() {
            return String::new();
        }
        answer.recv().await.unwrap_or_default()
    }

    /// Returns the number of open links to other nodes.
    pub(crate) fn open_links(&self) -> usize {
        self.link_usage.open_links()
    }

    /// Shuts the node down gracefully: announces that it leaves, waits for calls in flight, then ends the
    /// control thread. Returns the number of calls that were aborted because `drain_ms` had elapsed.
    pub(crate) async fn stop(mut self) -> usize {
        self.send_request(ControlRequest::Input(ControlInput::Leave)).await;
        self.service.begin_drain();
        let cut_off = self.service.drained().await;
        if cut_off > 0 {
            log::warn!(calls = cut_off; "shutdown time limit reached, calls aborted");
        }
        self.send_request(ControlRequest::Stop).await;
        self.listener_task.cancel().await;
        self.control_port.close().await;
        self.operator_server.close().await;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("control thread panicked");
        }
        cut_off
    }

    async fn send_request(&self, request: ControlRequest) {
        if self.requests.send(request).await.is_err() {
            log::error!("control thread has ended");
        }
    }
}

async fn bind_listener(port: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(ListenSnafu { port, address })
}

/// Returns the seed of the node's random number generator. Seeds must differ between nodes, because
/// equal seeds give all nodes the same jitter.
fn node_seed(node: &PeerAddress) -> u64 {
    let hash = fescuestack_core::PartHash::new(node.name.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes) ^ crate::controller::wall_clock().millis()
}

impl OperatorEndpoints for NodeEndpoints {
    async fn status(&self) -> Option<String> {
        let (sender, answer) = async_channel::bounded(1);
        self.requests.send(ControlRequest::Status(sender)).await.ok()?;
        answer.recv().await.ok()
    }

    fn explain(&self, request: &str) -> Option<String> {
        self.recent_calls.get(request)
    }

    async fn recording(&self) -> Option<String> {
        let (sender, answer) = async_channel::bounded(1);
        self.requests.send(ControlRequest::Recording(sender)).await.ok()?;
        answer.recv().await.ok()
    }

    fn metrics(&self) -> Option<String> {
        match self.metrics.encode() {
            Ok(text) => Some(text),
            Err(err) => {
                log::error!("{err}");
                None
            }
        }
    }
}
