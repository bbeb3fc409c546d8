//! Assembly of a node: control thread, links, traffic and operator port.

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
use fescuestack_peers::{LinkHub, LinkListener, LinkUsage};
use fescuestack_platform::HttpSource;
use snafu::{ResultExt, Snafu};

use crate::baseline::ControlPolicy;
use crate::controller::{
    ControlDriver, ControlRequest, ControlShared, InstallRecord, control_channel,
};
use crate::observer::NodeObserver;
use crate::settings::NodeSettings;

/// Calls that `explain` can look back on.
const EXPLAIN_CAPACITY: usize = 4_096;

/// Control inputs that `record` can save: several minutes, because ten of them are ticks each second.
const RECORD_CAPACITY: usize = 4_096;

/// Link events that may wait for the control thread.
const EVENT_LIMIT: usize = 1_024;

/// Why a node cannot start.
#[derive(Debug, Snafu)]
pub(crate) enum NodeError {
    /// A port is in use or its address does not belong to this machine.
    #[snafu(display("604 listen.{port}: cannot listen on {address}: {source}"))]
    Listen { port: &'static str, address: SocketAddr, source: std::io::Error },
    /// The metrics exporter cannot be set up.
    #[snafu(display("605 {source}"))]
    Metrics { source: MetricsError },
    /// The control thread cannot be started.
    #[snafu(display("606 cannot start the control thread: {source}"))]
    Thread { source: std::io::Error },
}

/// Delay of control messages to a peer.
pub(crate) type LinkDelay = Box<dyn Fn(&PeerAddress) -> Duration + Send>;

/// What a host may add to a node, for demonstrations and measurements.
#[derive(Default)]
pub(crate) struct NodeOptions {
    /// Delay of control messages to a peer.
    pub(crate) link_delay: Option<LinkDelay>,
    /// Told of each version that becomes active.
    pub(crate) installs: Option<Sender<InstallRecord>>,
    /// Replaces the product's distribution by a baseline.
    pub(crate) baseline: Option<ControlPolicy>,
}

/// A running node.
pub(crate) struct NodeProcess {
    requests: Sender<ControlRequest>,
    usage: Arc<LinkUsage>,
    service: Arc<CallService>,
    listeners: task::JoinHandle<()>,
    operator_port: OperatorServer,
    control_port: LinkListener,
    thread: Option<JoinHandle<()>>,
}

struct NodeEndpoints {
    requests: Sender<ControlRequest>,
    metrics: Arc<NodeMetrics>,
    ring: Arc<RecentCalls>,
}

impl NodeProcess {
    /// Starts a node. Fails when a port cannot be listened on.
    pub(crate) async fn start(
        settings: &NodeSettings,
        options: NodeOptions,
    ) -> Result<NodeProcess, NodeError> {
        let metrics = Arc::new(NodeMetrics::new().context(MetricsSnafu)?);
        let ring = Arc::new(RecentCalls::new(EXPLAIN_CAPACITY));
        let usage = Arc::new(LinkUsage::default());
        let snapshot = Arc::new(ArcSwapOption::empty());
        let channel = control_channel();
        let requests = channel.0.clone();

        let observer = NodeObserver::new(requests.clone(), metrics.clone(), ring.clone());
        let view = NodeEndpoints { requests: requests.clone(), metrics: metrics.clone(), ring };
        let operator = settings.listen.operator;
        let operator_port = OperatorServer::listen(operator, Arc::new(view))
            .await
            .context(ListenSnafu { port: "operator", address: operator })?;

        let control = settings.control();
        let mut calls = CallSettings::new(
            control.node.name.clone(),
            control.node.data_centre.clone(),
            control_seed(&control.node),
        );
        calls.drain_bound = ClockSpan::new(settings.drain_ms);
        let service = CallService::new(calls, snapshot.clone(), Arc::new(observer));
        let caller = bind("caller", settings.listen.caller).await?;
        let local = bind("local", settings.listen.local).await?;
        let relay = bind("relay", settings.listen.relay).await?;
        let listeners = task::spawn(service.clone().serve(caller, local, relay));

        let (event_sender, events) = async_channel::bounded(EVENT_LIMIT);
        let mut links = LinkHub::new(control.node.clone(), event_sender.clone(), usage.clone());
        if let Some(delay) = options.link_delay {
            links = links.with_delay(delay);
        }
        let address = settings.listen.control;
        let control_port = LinkListener::listen(address, event_sender, usage.clone())
            .context(ListenSnafu { port: "control", address })?;

        let shared = ControlShared {
            snapshot,
            usage: usage.clone(),
            metrics,
            service: service.clone(),
            installs: options.installs,
        };
        let node = control.node.clone();
        let seed = control_seed(&node);
        let recorder = ControlRecorder::new(control.clone(), seed, RECORD_CAPACITY);
        let policy = options
            .baseline
            .unwrap_or_else(|| ControlPolicy::Trees(Box::new(ControlState::new(control, seed))));
        let source = HttpSource::new(settings.platform);
        let driver = ControlDriver::new(policy, recorder, &node, links, source, channel, shared);
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || driver.run(events))
            .context(ThreadSnafu)?;
        log::info!(node = &*node.name, data_centre = &*node.data_centre; "node started");
        Ok(NodeProcess {
            requests,
            usage,
            service,
            listeners,
            operator_port,
            control_port,
            thread: Some(thread),
        })
    }

    /// Traffic on the control links.
    pub(crate) fn usage(&self) -> &LinkUsage {
        &self.usage
    }

    /// The status, as JSON; empty when the node has stopped.
    pub(crate) async fn status(&self) -> String {
        let (sender, answer) = async_channel::bounded(1);
        if self.requests.send(ControlRequest::Status(sender)).await.is_err() {
            return String::new();
        }
        answer.recv().await.unwrap_or_default()
    }

    /// Number of open links to other nodes.
    pub(crate) fn open_links(&self) -> usize {
        self.usage.open_links()
    }

    /// Stops gracefully: announces leaving, lets calls in flight finish, then ends the control thread.
    /// Returns the number of calls that were cut off because the bound of the settings was reached.
    pub(crate) async fn stop(mut self) -> usize {
        self.request(ControlRequest::Input(ControlInput::Leave)).await;
        self.service.begin_drain();
        let cut_off = self.service.drained().await;
        if cut_off > 0 {
            log::warn!(calls = cut_off; "shutdown bound reached, calls cut off");
        }
        self.request(ControlRequest::Stop).await;
        self.listeners.cancel().await;
        self.control_port.close().await;
        self.operator_port.close().await;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("control thread panicked");
        }
        cut_off
    }

    async fn request(&self, request: ControlRequest) {
        if self.requests.send(request).await.is_err() {
            log::error!("control thread has ended");
        }
    }
}

async fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(ListenSnafu { port, address })
}

/// Seed of the node's random choices. Nodes must differ, or jitter would not spread them.
fn control_seed(node: &PeerAddress) -> u64 {
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
        self.ring.get(request)
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
