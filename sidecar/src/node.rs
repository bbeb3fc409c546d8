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
use crate::report::EXPLAIN_RECORDS;
use crate::target::LocalTarget;

/// One part of so many of a VM's memory is for the bodies of calls. They are copied once or twice on
/// their way, and the rest of the node takes about 40 MB.
const BODY_MEMORY_DIVISOR: u64 = 6;

/// Age from which a node's content is no longer passed on. Contact is confirmed about every half
/// second on each level of the tree.
const MAX_VIEW_AGE: ClockSpan = ClockSpan::new(2_500);

/// The state of a node that runs on the users' platform.
pub(crate) struct NodeState {
    pub(crate) settings: ArcSwap<SidecarSettings>,
    pub(crate) clock: CallClock,
    /// The configuration in force.
    pub(crate) routes: ArcSwapOption<RouteTable>,
    pub(crate) routing: Mutex<RoutingState>,
    pub(crate) local_target: Arc<LocalTarget>,
    pub(crate) links: Arc<LinkTable>,
    pub(crate) metrics: NodeMetrics,
    /// Calls made to the store so far.
    pub(crate) store_calls: AtomicU64,
    /// A copy of the store, for this node and for others that cannot reach it.
    pub(crate) view: Mutex<StoreView>,
    /// Notified when the view has changed, or whether this node reads the store.
    pub(crate) view_changed: Event,
    /// What the bodies of all calls may take of the memory.
    pub(crate) body_budget: Arc<ByteBudget>,
    /// Sizes of the VMs of the data centre.
    pub(crate) vm_sizes: Mutex<VmSizes>,
    /// The last content that was sent to other nodes.
    pub(crate) encoded_content: Mutex<Option<EncodedContent>>,
    /// Whether this node reads the store itself and has contact with it.
    store_reader: AtomicBool,
    /// When the store confirmed the content that was learned from another node, by this node's clock.
    confirmed_at: AtomicU64,
    /// Until when entries that are missing may come back.
    removals_deferred_until: AtomicU64,
    /// Requests that crash the targets that run them.
    pub(crate) crashes: Mutex<CrashTracker>,
    /// Decisions on the last requests that were not answered at their first attempt.
    pub(crate) recent_calls: RecentCalls,
    /// Start of this node's splits, so that nodes do not split in step.
    pub(crate) split_offset: u32,
    stopping: AtomicBool,
    /// Set when the stop has come so far that new requests are refused.
    refuses_requests: AtomicBool,
    active_calls: AtomicUsize,
    /// Closed when connections are to end after their present request.
    closing_channel: (Sender<()>, Receiver<()>),
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
    pub(crate) fn picker_and_budget(
        &mut self,
        service: &Arc<str>,
    ) -> (&mut TargetPicker, &mut RetryBudget) {
        let budget = self.budgets.entry(service.clone()).or_default();
        (&mut self.picker, budget)
    }
}

impl NodeState {
    pub(crate) fn new(settings: SidecarSettings, metrics: NodeMetrics) -> Arc<NodeState> {
        let clock = CallClock::new();
        let node_seed = node_seed(&settings.node, clock.now().millis());
        let picker = TargetPicker::new(settings.data_centre.as_str().into(), node_seed);
        let allowance =
            RetryAllowance::new(settings.retry_budget_ratio, settings.retry_budget_slack, 1);
        let routing = RoutingState {
            picker,
            allowance,
            waits: CallerWaitEstimator::default(),
            budgets: FxHashMap::default(),
        };
        let body_budget = ByteBudget::new((settings.memory_bytes / BODY_MEMORY_DIVISOR) as usize);
        let links = LinkTable::new(body_budget.clone(), settings.grace);
        let local_target =
            LocalTarget::new(settings.target, settings.link_mbps, clock, body_budget.clone());
        let state = Arc::new(NodeState {
            settings: ArcSwap::from_pointee(settings),
            clock,
            routes: ArcSwapOption::empty(),
            routing: Mutex::new(routing),
            local_target,
            links,
            body_budget,
            metrics,
            store_calls: AtomicU64::new(0),
            view: Mutex::default(),
            view_changed: Event::new(),
            vm_sizes: Mutex::default(),
            encoded_content: Mutex::new(None),
            store_reader: AtomicBool::new(false),
            confirmed_at: AtomicU64::new(0),
            removals_deferred_until: AtomicU64::new(0),
            crashes: Mutex::default(),
            recent_calls: RecentCalls::new(EXPLAIN_RECORDS),
            split_offset: node_seed as u32,
            stopping: AtomicBool::new(false),
            refuses_requests: AtomicBool::new(false),
            active_calls: AtomicUsize::new(0),
            closing_channel: async_channel::bounded(1),
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
    pub(crate) fn is_own_vm(&self, vm: IpAddr) -> bool {
        self.settings.load().target.ip() == vm
    }

    /// Whether this node reads the store itself and has contact with it.
    pub(crate) fn is_store_reader(&self) -> bool {
        self.store_reader.load(Ordering::Acquire)
    }

    pub(crate) fn set_store_reader(&self, store_reader: bool) {
        if self.store_reader.swap(store_reader, Ordering::AcqRel) != store_reader {
            self.view_changed.notify(usize::MAX);
        }
    }

    /// Notes that this node cannot reach the store, so that others should not follow it.
    pub(crate) fn mark_store_unreachable(&self) {
        self.store_reader.store(false, Ordering::Release);
        self.confirmed_at.store(0, Ordering::Release);
        self.view_changed.notify(usize::MAX);
    }

    /// Notes that the store had confirmed what another node knows `age` ago.
    pub(crate) fn confirm_view(&self, age: ClockSpan) {
        let at = self.clock.now() - age;
        self.confirmed_at.fetch_max(at.millis(), Ordering::AcqRel);
    }

    /// How long ago the store confirmed what this node knows. `None` if that is too long.
    pub(crate) fn view_age(&self) -> Option<ClockSpan> {
        if self.is_store_reader() {
            return Some(ClockSpan::ZERO);
        }
        let confirmed_at = ClockTime::new(self.confirmed_at.load(Ordering::Acquire));
        Some(self.clock.now().since(confirmed_at)).filter(|age| *age <= MAX_VIEW_AGE)
    }

    /// Until when entries that are missing may come back.
    pub(crate) fn removals_deferred_until(&self) -> ClockTime {
        ClockTime::new(self.removals_deferred_until.load(Ordering::Acquire))
    }

    pub(crate) fn defer_removals_until(&self, until: ClockTime) {
        self.removals_deferred_until.fetch_max(until.millis(), Ordering::AcqRel);
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
        self.refuses_requests.load(Ordering::Acquire)
    }

    /// Refuses new requests and ends the connections of clients after their present ones.
    pub(crate) fn close_connections(&self) {
        self.refuses_requests.store(true, Ordering::Release);
        self.closing_channel.0.close();
    }

    /// Completes when connections are to end.
    pub(crate) fn closing_signal(&self) -> Receiver<()> {
        self.closing_channel.1.clone()
    }

    /// All metrics in the text format of Prometheus.
    pub(crate) fn encode_metrics(&self) -> Result<String, MetricsError> {
        let version = self.routes.load().as_ref().map_or(0, |routes| routes.version);
        let targets = lock(&self.routing).picker.len();
        let load = self.local_target.load();
        self.metrics.record_node_state(version, targets, self.store_calls.load(Ordering::Relaxed));
        self.metrics.record_target_queue(load.running, load.queued.total());
        self.metrics.encode()
    }

    /// Calls that are being served.
    pub(crate) fn active_calls(&self) -> usize {
        self.active_calls.load(Ordering::Acquire)
    }

    pub(crate) fn begin_call(self: &Arc<Self>) -> CallGuard {
        self.active_calls.fetch_add(1, Ordering::AcqRel);
        CallGuard(self.clone())
    }
}

impl LinkObserver for NodeState {
    fn reachability_changed(&self, vm: IpAddr, reachable: bool) {
        lock(&self.routing).picker.set_reachable(vm, reachable);
    }
}

/// A call that is being served.
pub(crate) struct CallGuard(Arc<NodeState>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A seed that differs between nodes and between their starts.
fn node_seed(node: &str, now: u64) -> u64 {
    let mut hasher = FxHasher::default();
    (node, now).hash(&mut hasher);
    hasher.finish()
}
