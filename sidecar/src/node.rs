//! What the parts of a node share.

use std::hash::{Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use event_listener::Event;
use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{ByteBudget, CallClock, lock};
use fescuestack_operators::{MetricsError, NodeMetrics, RecentCalls};
use fescuestack_platform::SidecarSettings;
use fescuestack_routing::{
    CallerWaitEstimator, CrashTracker, RetryAllowance, RetryBudget, RouteTable, StoreView,
    TargetPicker, VmSizes, is_small_vm,
};
use http_body_util::Full;
use rustc_hash::{FxHashMap, FxHasher};

use crate::links::{LinkObserver, LinkTable};
use crate::report::EXPLAIN_REQUESTS;
use crate::target::TargetSide;

/// One part of so many of a VM's memory is for the bodies of calls. They are copied once or twice on
/// their way, and the rest of the node takes about 40 MB.
const MEMORY_PARTS: u64 = 6;

/// Age from which a node's content is no longer passed on. Contact is confirmed about every half
/// second on each level of the tree.
const AGE_MAX: ClockSpan = ClockSpan::new(2_500);

/// The state of a node that runs on the users' platform.
pub(crate) struct NodeState {
    pub(crate) settings: ArcSwap<SidecarSettings>,
    pub(crate) clock: CallClock,
    /// The configuration in force.
    pub(crate) routes: ArcSwapOption<RouteTable>,
    pub(crate) routing: Mutex<RoutingState>,
    pub(crate) target: Arc<TargetSide>,
    pub(crate) links: Arc<LinkTable>,
    pub(crate) metrics: NodeMetrics,
    /// Calls made to the store so far.
    pub(crate) store_calls: AtomicU64,
    /// A copy of the store, for this node and for others that cannot reach it.
    pub(crate) view: Mutex<StoreView>,
    /// Notified when the view has changed, or whether this node reads the store.
    pub(crate) view_changed: Event,
    /// What the bodies of all calls may take of the memory.
    pub(crate) bytes: Arc<ByteBudget>,
    /// Sizes of the VMs of the data centre.
    pub(crate) sizes: Mutex<VmSizes>,
    /// The last content that was sent to other nodes.
    pub(crate) encoded: Mutex<Option<EncodedContent>>,
    /// Whether this node reads the store itself and has contact with it.
    reading: AtomicBool,
    /// When the store confirmed the content that was learned from another node, by this node's clock.
    confirmed: AtomicU64,
    /// Until when entries that are missing may come back.
    lapse_until: AtomicU64,
    /// Requests that crash the targets that run them.
    pub(crate) crashes: Mutex<CrashTracker>,
    /// Decisions on the last requests that were not answered at their first attempt.
    pub(crate) explained: RecentCalls,
    /// Start of this node's splits, so that nodes do not split in step.
    pub(crate) split_offset: u32,
    stopping: AtomicBool,
    /// Set when the stop has come so far that new requests are refused.
    refusing: AtomicBool,
    calls: AtomicUsize,
    /// Closed when connections are to end after their present request.
    closing: (Sender<()>, Receiver<()>),
}

/// Content of the store as it was sent to another node.
pub(crate) struct EncodedContent {
    /// The revision that it leads on from.
    pub(crate) after: u64,
    /// The revision that it leads to.
    pub(crate) at: u64,
    pub(crate) body: Full<Bytes>,
}

/// What the choice of targets is based on.
pub(crate) struct RoutingState {
    pub(crate) picker: TargetPicker,
    pub(crate) allowance: RetryAllowance,
    pub(crate) waits: CallerWaitEstimator,
    budgets: FxHashMap<Arc<str>, RetryBudget>,
}

impl RoutingState {
    /// The picker, and the budget of a service.
    pub(crate) fn parts(&mut self, service: &Arc<str>) -> (&mut TargetPicker, &mut RetryBudget) {
        let budget = self.budgets.entry(service.clone()).or_default();
        (&mut self.picker, budget)
    }
}

impl NodeState {
    pub(crate) fn new(settings: SidecarSettings, metrics: NodeMetrics) -> Arc<NodeState> {
        let clock = CallClock::new();
        let seed = seed(&settings.node, clock.now().millis());
        let picker = TargetPicker::new(settings.data_centre.as_str().into(), seed);
        let allowance =
            RetryAllowance::new(settings.retry_budget_ratio, settings.retry_budget_slack, 1);
        let routing = RoutingState {
            picker,
            allowance,
            waits: CallerWaitEstimator::default(),
            budgets: FxHashMap::default(),
        };
        let bytes = ByteBudget::new((settings.memory_bytes / MEMORY_PARTS) as usize);
        let links = LinkTable::new(bytes.clone(), settings.grace);
        let target = TargetSide::new(settings.target, settings.link_mbps, clock, bytes.clone());
        let state = Arc::new(NodeState {
            settings: ArcSwap::from_pointee(settings),
            clock,
            routes: ArcSwapOption::empty(),
            routing: Mutex::new(routing),
            target,
            links,
            bytes,
            metrics,
            store_calls: AtomicU64::new(0),
            view: Mutex::default(),
            view_changed: Event::new(),
            sizes: Mutex::default(),
            encoded: Mutex::new(None),
            reading: AtomicBool::new(false),
            confirmed: AtomicU64::new(0),
            lapse_until: AtomicU64::new(0),
            crashes: Mutex::default(),
            explained: RecentCalls::new(EXPLAIN_REQUESTS),
            split_offset: seed as u32,
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            calls: AtomicUsize::new(0),
            closing: async_channel::bounded(1),
        });
        let observer: Arc<dyn LinkObserver> = state.clone();
        state.links.set_observer(Arc::downgrade(&observer));
        state
    }

    /// Where the node on a VM takes calls from other nodes.
    pub(crate) fn node_address(&self, vm: IpAddr) -> SocketAddr {
        SocketAddr::new(vm, self.settings.load().inbound.port())
    }

    /// Whether a VM is this node's own.
    pub(crate) fn is_own(&self, vm: IpAddr) -> bool {
        self.settings.load().target.ip() == vm
    }

    /// Whether this node reads the store itself and has contact with it.
    pub(crate) fn is_reading(&self) -> bool {
        self.reading.load(Ordering::Acquire)
    }

    pub(crate) fn set_reading(&self, reading: bool) {
        if self.reading.swap(reading, Ordering::AcqRel) != reading {
            self.view_changed.notify(usize::MAX);
        }
    }

    /// Notes that this node cannot reach the store, so that others should not follow it.
    pub(crate) fn lose_store(&self) {
        self.reading.store(false, Ordering::Release);
        self.confirmed.store(0, Ordering::Release);
        self.view_changed.notify(usize::MAX);
    }

    /// Notes that the store had confirmed what another node knows `age` ago.
    pub(crate) fn confirm_view(&self, age: ClockSpan) {
        let at = self.clock.now() - age;
        self.confirmed.fetch_max(at.millis(), Ordering::AcqRel);
    }

    /// How long ago the store confirmed what this node knows. `None` if that is too long.
    pub(crate) fn view_age(&self) -> Option<ClockSpan> {
        if self.is_reading() {
            return Some(ClockSpan::ZERO);
        }
        let confirmed = ClockTime::new(self.confirmed.load(Ordering::Acquire));
        Some(self.clock.now().since(confirmed)).filter(|age| *age <= AGE_MAX)
    }

    /// Until when entries that are missing may come back.
    pub(crate) fn lapse_until(&self) -> ClockTime {
        ClockTime::new(self.lapse_until.load(Ordering::Acquire))
    }

    pub(crate) fn extend_lapse(&self, until: ClockTime) {
        self.lapse_until.fetch_max(until.millis(), Ordering::AcqRel);
    }

    /// Whether other nodes should rather follow larger ones.
    pub(crate) fn is_small(&self) -> bool {
        let settings = self.settings.load();
        is_small_vm(settings.core_share, settings.link_mbps)
    }

    /// Whether clients should send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.load().is_some()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Tells clients and other nodes to go elsewhere.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether new requests are refused, because the process is about to end.
    pub(crate) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    /// Refuses new requests and ends the connections of clients after their present ones.
    pub(crate) fn close_connections(&self) {
        self.refusing.store(true, Ordering::Release);
        self.closing.0.close();
    }

    /// Completes when connections are to end.
    pub(crate) fn closing(&self) -> Receiver<()> {
        self.closing.1.clone()
    }

    /// All metrics in the text format of Prometheus.
    pub(crate) fn encode_metrics(&self) -> Result<String, MetricsError> {
        let version = self.routes.load().as_ref().map_or(0, |routes| routes.version);
        let targets = lock(&self.routing).picker.len();
        let load = self.target.load();
        self.metrics.record_node_state(version, targets, self.store_calls.load(Ordering::Relaxed));
        self.metrics.record_target_queue(load.running, load.queued.total());
        self.metrics.encode()
    }

    /// Calls that are being served.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Acquire)
    }

    pub(crate) fn begin_call(self: &Arc<Self>) -> CallPlace {
        self.calls.fetch_add(1, Ordering::AcqRel);
        CallPlace(self.clone())
    }
}

impl LinkObserver for NodeState {
    fn reachable(&self, vm: IpAddr, reachable: bool) {
        lock(&self.routing).picker.set_reachable(vm, reachable);
    }
}

/// A call that is being served.
pub(crate) struct CallPlace(Arc<NodeState>);

impl Drop for CallPlace {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A seed that differs between nodes and between their starts.
fn seed(node: &str, now: u64) -> u64 {
    let mut hasher = FxHasher::default();
    (node, now).hash(&mut hasher);
    hasher.finish()
}
