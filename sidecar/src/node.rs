//! State that the modules of a node share.

use std::hash::{Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use event_listener::Event;
use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use fescuestack_http::{ByteBudget, CallClock, lock};
use fescuestack_operators::{MetricsError, NodeMetrics, RecentCalls};
use fescuestack_platform::{SidecarSettings, decode_config};
use fescuestack_routing::{
    CallerWaitEstimator, ConnectionKind, ConnectionLimits, CrashTracker, HedgeBook, HedgeDecision,
    MemoryAccount, RepeatGuard, RetryAllowance, RetryBudget, RoomEstimator, RouteTable, SlowCall,
    StorePosition, StoreView, TargetPicker, VmSizes, WarmupRule, is_small_vm,
};
use http_body_util::Full;
use rustc_hash::{FxHashMap, FxHasher};

use crate::connections::ConnectionTable;
use crate::down::OutageObserver;
use crate::links::{LinkObserver, LinkTable};
use crate::policy::NodePolicy;
use crate::report::EXPLAIN_RECORDS;
use crate::stop::StopSignal;
use crate::target::LocalTarget;

/// Divisor of the VM's memory that gives the part for long responses. They are copied once or twice
/// while they are received.
const LONG_RESPONSE_DIVISOR: u64 = 6;

/// Time for a head while there is no configuration.
const DEFAULT_HEAD_TIMEOUT: ClockSpan = ClockSpan::new(5_000);

/// Age from which a node's view of the store is not passed on. Contact is confirmed about every 500
/// ms on each level of the tree of followers.
const MAX_VIEW_AGE: ClockSpan = ClockSpan::new(2_500);

/// State of a node.
pub(crate) struct NodeState {
    pub(crate) settings: ArcSwap<SidecarSettings>,
    pub(crate) policy: NodePolicy,
    pub(crate) clock: CallClock,
    /// The active configuration.
    pub(crate) routes: ArcSwapOption<RouteTable>,
    /// The active configuration as the platform encodes it. A restored store may hold an older one.
    config_value: Mutex<Arc<[u8]>>,
    pub(crate) routing: Mutex<RoutingState>,
    pub(crate) local_target: Arc<LocalTarget>,
    pub(crate) links: Arc<LinkTable>,
    pub(crate) metrics: NodeMetrics,
    /// Number of requests sent to the store.
    pub(crate) store_calls: AtomicU64,
    /// Copy of the store, for this node and for nodes that cannot reach the store.
    pub(crate) view: Mutex<StoreView>,
    /// Notified when the view changes and when this node starts or stops reading the store.
    pub(crate) view_changed: Event,
    /// The connections that peers have opened, with the memory held for them.
    pub(crate) connections: Arc<ConnectionTable>,
    /// Sizes of the VMs in this data centre.
    pub(crate) vm_sizes: Mutex<VmSizes>,
    /// The content that was last sent to another node.
    pub(crate) encoded_content: Mutex<Option<EncodedContent>>,
    /// Whether this node reads the store directly and has contact with it.
    store_reader: AtomicBool,
    /// Local time at which the store confirmed the content that came from another node, in ms.
    confirmed_at: AtomicU64,
    /// Local time until which targets that vanish from the store are kept, in ms.
    removals_deferred_until: AtomicU64,
    /// Ends of targets, and the requests that were at work.
    pub(crate) crashes: Mutex<CrashTracker>,
    /// Whether another node has reported its crashes since this node started.
    crashes_learned: AtomicBool,
    /// Decisions on recent requests that failed or took more than one attempt.
    pub(crate) recent_calls: RecentCalls,
    /// Offset of this node in traffic splits, so that nodes do not choose services in step.
    pub(crate) split_offset: u32,
    /// Times of the stop, once it has begun.
    pub(crate) stop: Arc<StopSignal>,
    stopping: AtomicBool,
    /// Whether the stop has progressed so far that new requests are refused.
    refuses_requests: AtomicBool,
    active_calls: AtomicUsize,
    /// Number of open connections of clients and of other nodes to this one.
    open_connections: AtomicUsize,
    /// Closed to make connections end after their current request.
    closing_channel: (Sender<()>, Receiver<()>),
}

/// Encoded content of the store, as it was sent to another node.
pub(crate) struct EncodedContent {
    /// Position that the receiving node had.
    pub(crate) after: StorePosition,
    /// Position of the content.
    pub(crate) at: StorePosition,
    pub(crate) body: Full<Bytes>,
}

/// Caller of a request that competes with requests of other priorities.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DoorCaller {
    /// Hash of the request, which is the same when the caller repeats it.
    pub(crate) request: RequestFingerprint,
    /// Time until which the caller waits, over all of its attempts.
    pub(crate) deadline: ClockTime,
}

/// State on which the choice of targets is based.
pub(crate) struct RoutingState {
    pub(crate) picker: TargetPicker,
    pub(crate) allowance: RetryAllowance,
    pub(crate) waits: CallerWaitEstimator,
    room: RoomEstimator,
    repeats: RepeatGuard,
    /// Second requests for slow calls, if the operators' policy switches them on.
    pub(crate) hedges: Option<HedgeBook>,
    budgets: FxHashMap<Arc<str>, RetryBudget>,
}

impl RoutingState {
    /// Decides whether a request is refused because calls as urgent have no chance at `service`, or
    /// because its caller has come back too early. Fails with the reason and the time after which the
    /// caller should retry.
    pub(crate) fn pass_door(
        &mut self,
        now: ClockTime,
        (service, priority): (&Arc<str>, u8),
        caller: DoorCaller,
        has_waited: bool,
    ) -> Result<(), (&'static str, ClockSpan)> {
        let picker = &self.picker;
        let has_free_slot = || picker.has_free_slot(now, service);
        let early = self.repeats.time_left(now, caller.request, caller.deadline);
        if let Some(retry_after) = early.filter(|_| !has_free_slot()) {
            return Err(("early", retry_after));
        }
        let random = rand::random();
        let class = (service, priority);
        let admitted = self.room.admit(now, class, has_waited, random, has_free_slot);
        admitted.map_err(|retry_after| {
            self.repeats.record_refused(now, caller.request, caller.deadline, retry_after);
            ("priority", retry_after)
        })
    }

    /// Records that the targets of a service had no room for a request that had passed.
    pub(crate) fn record_shortage(
        &mut self,
        now: ClockTime,
        class: (&Arc<str>, u8),
        caller: DoorCaller,
        retry_after: ClockSpan,
    ) {
        self.room.record_refused(now, class, retry_after);
        self.repeats.record_refused(now, caller.request, caller.deadline, retry_after);
    }

    /// Returns the picker and the retry budget of a service.
    pub(crate) fn picker_and_budget(
        &mut self,
        service: &Arc<str>,
    ) -> (&mut TargetPicker, &mut RetryBudget) {
        let budget = self.budgets.entry(service.clone()).or_default();
        (&mut self.picker, budget)
    }

    /// Records a call that is sent to its first target, if slow calls may get second requests.
    pub(crate) fn record_hedgeable_call(&mut self, now: ClockTime, service: &Arc<str>) {
        if let Some(hedges) = &mut self.hedges {
            hedges.record_call(service);
            self.budgets.entry(service.clone()).or_default().expire_surplus(now);
        }
    }

    /// Decides on a second request for a slow call.
    pub(crate) fn decide_hedge(
        &mut self,
        now: ClockTime,
        slow: SlowCall<'_>,
    ) -> Option<HedgeDecision> {
        let budget = self.budgets.entry(slow.plan.call().service.clone()).or_default();
        let hedges = self.hedges.as_mut()?;
        let decision = hedges.decide(now, slow, &mut self.picker, budget);
        if let HedgeDecision::Send { second, .. } = &decision {
            self.picker.record_sent(&second.target.id, slow.plan.call().priority);
        }
        Some(decision)
    }
}

impl NodeState {
    pub(crate) fn new(
        settings: SidecarSettings,
        policy: NodePolicy,
        metrics: NodeMetrics,
    ) -> Arc<NodeState> {
        let clock = CallClock::new();
        let node_seed = node_seed(&settings.node, clock.now().millis());
        let picker = TargetPicker::new(settings.data_centre.as_str().into(), node_seed);
        let allowance =
            RetryAllowance::new(settings.retry_budget_ratio, settings.retry_budget_reserve, 1);
        let routing = RoutingState {
            picker,
            allowance,
            waits: CallerWaitEstimator::default(),
            room: RoomEstimator::new(),
            repeats: RepeatGuard::new(),
            hedges: policy
                .hedging
                .as_ref()
                .map(|hedging| HedgeBook::new(hedging.max_ratio, node_seed)),
            budgets: FxHashMap::default(),
        };
        let account = MemoryAccount::new(settings.memory_bytes);
        let long_limit = (settings.memory_bytes / LONG_RESPONSE_DIVISOR) as usize;
        let body_budget =
            ByteBudget::with_long_limit(account.limit(), long_limit.min(account.limit()));
        let connections = Arc::new(ConnectionTable::new(
            clock,
            body_budget.clone(),
            account,
            ConnectionLimits::new(settings.max_descriptors),
            &policy.clients,
        ));
        let links = LinkTable::new(body_budget.clone(), settings.grace);
        let stop = Arc::new(StopSignal::new(clock));
        let local_target =
            LocalTarget::new(settings.target, settings.link_mbps, clock, body_budget, stop.clone());
        let state = Arc::new(NodeState {
            settings: ArcSwap::from_pointee(settings),
            policy,
            clock,
            routes: ArcSwapOption::empty(),
            config_value: Mutex::new(Arc::from([])),
            routing: Mutex::new(routing),
            local_target,
            links,
            connections,
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
            crashes_learned: AtomicBool::new(false),
            recent_calls: RecentCalls::new(EXPLAIN_RECORDS),
            split_offset: node_seed as u32,
            stop,
            stopping: AtomicBool::new(false),
            refuses_requests: AtomicBool::new(false),
            active_calls: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            closing_channel: async_channel::bounded(1),
        });
        let observer: Arc<dyn LinkObserver> = state.clone();
        state.links.set_observer(Arc::downgrade(&observer));
        let observer: Arc<dyn OutageObserver> = state.clone();
        state.local_target.outage.set_observer(Arc::downgrade(&observer));
        state
    }

    /// Returns the address at which the node on a VM accepts calls from other nodes.
    pub(crate) fn node_address(&self, vm: IpAddr) -> SocketAddr {
        SocketAddr::new(vm, self.settings.load().inbound.port())
    }

    /// Whether `vm` is the VM of this node.
    pub(crate) fn is_own_vm(&self, vm: IpAddr) -> bool {
        self.settings.load().target.ip() == vm
    }

    /// Whether this node reads the store directly and has contact with it.
    pub(crate) fn is_store_reader(&self) -> bool {
        self.store_reader.load(Ordering::Acquire)
    }

    pub(crate) fn set_store_reader(&self, store_reader: bool) {
        if self.store_reader.swap(store_reader, Ordering::AcqRel) != store_reader {
            self.view_changed.notify(usize::MAX);
        }
    }

    /// Records that this node cannot reach the store, so that other nodes stop following it.
    pub(crate) fn mark_store_unreachable(&self) {
        self.store_reader.store(false, Ordering::Release);
        self.confirmed_at.store(0, Ordering::Release);
        self.view_changed.notify(usize::MAX);
    }

    /// Records that the store confirmed another node's content `age` ago.
    pub(crate) fn confirm_view(&self, age: ClockSpan) {
        let at = self.clock.now() - age;
        self.confirmed_at.fetch_max(at.millis(), Ordering::AcqRel);
    }

    /// Returns the time since the store confirmed this node's view, or `None` if it is too long.
    pub(crate) fn view_age(&self) -> Option<ClockSpan> {
        if self.is_store_reader() {
            return Some(ClockSpan::ZERO);
        }
        let confirmed_at = ClockTime::new(self.confirmed_at.load(Ordering::Acquire));
        Some(self.clock.now().since(confirmed_at)).filter(|age| *age <= MAX_VIEW_AGE)
    }

    /// Returns the time until which targets that vanish from the store are kept.
    pub(crate) fn removals_deferred_until(&self) -> ClockTime {
        ClockTime::new(self.removals_deferred_until.load(Ordering::Acquire))
    }

    pub(crate) fn defer_removals_until(&self, until: ClockTime) {
        self.removals_deferred_until.fetch_max(until.millis(), Ordering::AcqRel);
    }

    /// Whether another node has reported its crashes since this node started.
    pub(crate) fn has_learned_crashes(&self) -> bool {
        self.crashes_learned.load(Ordering::Acquire)
    }

    pub(crate) fn set_crashes_learned(&self) {
        self.crashes_learned.store(true, Ordering::Release);
    }

    /// Returns the version of the active configuration, or 0.
    pub(crate) fn active_version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |routes| routes.version)
    }

    /// Returns the value of the active configuration.
    pub(crate) fn config_value(&self) -> Arc<[u8]> {
        lock(&self.config_value).clone()
    }

    /// Activates a configuration, which the store holds or another node has sent, if it is valid and
    /// newer than the active one. `revision` is that of the store when it was read.
    pub(crate) fn activate_config(&self, value: &Arc<[u8]>, revision: u64) {
        let routes = match decode_config(value) {
            Ok(routes) => routes,
            Err(err) => {
                log::warn!(revision = revision; "cannot use configuration: {err}");
                return;
            }
        };
        // Held until the configuration is active: two tasks may receive different versions.
        let mut active_value = lock(&self.config_value);
        let active = self.active_version();
        if routes.version <= active {
            log::warn!(version = routes.version, active = active; "ignoring older configuration");
            return;
        }
        log::info!(version = routes.version, routes = routes.route_count(),
            revision = revision; "configuration active");
        *active_value = value.clone();
        self.routes.store(Some(Arc::new(routes)));
        self.apply_warmup();
    }

    /// Returns how targets of a service warm up, if calls to cold ones are limited.
    pub(crate) fn warmup_rule(&self, service: &str) -> Option<WarmupRule> {
        self.routes.load().as_ref()?.service(service)?.warmup.clone()
    }

    /// Applies how the targets of all services warm up, after a change of the configuration or the
    /// settings.
    pub(crate) fn apply_warmup(&self) {
        let (settings, routes) = (self.settings.load(), self.routes.load());
        let Some(routes) = &*routes else { return };
        let factor = settings.warmup_factor;
        let cold_rates = routes.services().into_iter().filter_map(|(name, rule)| {
            let calls = rule.warmup.as_ref()?.calls_per_second(factor);
            Some((name.into(), f64::from(calls)))
        });
        lock(&self.routing).picker.set_cold_rates(cold_rates.collect());
        self.local_target.set_warmup(self.warmup_rule(&settings.service), factor);
    }

    /// Returns the time for a request's head, from its first byte.
    pub(crate) fn head_timeout(&self) -> ClockSpan {
        let routes = self.routes.load();
        let configured =
            routes.as_ref().map_or(DEFAULT_HEAD_TIMEOUT, |routes| routes.limits.head_timeout);
        configured + ClockSpan::new(self.policy.clients.head_margin_ms)
    }

    /// Whether the VM is small, so that other nodes prefer to follow larger ones.
    pub(crate) fn is_small(&self) -> bool {
        let settings = self.settings.load();
        is_small_vm(settings.core_share, settings.link_mbps)
    }

    /// Whether clients should send requests to this node.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.load().is_some()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Marks the node as stopping, so that clients and other nodes use other ones. Calls may run for
    /// `grace` from now on.
    pub(crate) fn begin_stop(&self, grace: ClockSpan) {
        self.stopping.store(true, Ordering::Release);
        self.stop.begin(grace);
    }

    /// Whether new requests are refused because the process is about to exit.
    pub(crate) fn is_refusing(&self) -> bool {
        self.refuses_requests.load(Ordering::Acquire)
    }

    /// Refuses new requests and closes client connections after their current request.
    pub(crate) fn close_connections(&self) {
        self.refuses_requests.store(true, Ordering::Release);
        self.closing_channel.0.close();
    }

    /// Returns a receiver that completes when connections are to be closed.
    pub(crate) fn closing_signal(&self) -> Receiver<()> {
        self.closing_channel.1.clone()
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode_metrics(&self) -> Result<String, MetricsError> {
        let version = self.routes.load().as_ref().map_or(0, |routes| routes.version);
        let (targets, evacuated) = {
            let routing = lock(&self.routing);
            (routing.picker.len(), routing.picker.evacuated_count())
        };
        let load = self.local_target.load();
        self.metrics.record_node_state(version, targets, self.store_calls.load(Ordering::Relaxed));
        self.metrics.record_target_queue(load.running, load.queued.total());
        self.metrics.record_evacuated(evacuated);
        self.metrics.record_cold_time(self.local_target.cold_time_left().millis());
        let usage = self.connections.usage();
        let kind_name = |kind| match kind {
            ConnectionKind::Client => "client",
            ConnectionKind::Node => "node",
            ConnectionKind::Ready => "ready",
        };
        let open = usage.open.map(|(kind, count)| (kind_name(kind), count));
        let closed = usage.closed.map(|(reason, count)| (reason.label(), count));
        self.metrics.record_connections(usage.held_bytes, &open, &closed);
        let counts = lock(&self.local_target.state).pool.counts();
        self.metrics.record_target_connections(&[
            ("opened", counts.opened),
            ("skipped-response", counts.skipped_responses),
            ("unexpected-bytes", counts.unexpected_bytes),
            ("refusal", counts.refusals),
            ("repeated-id", counts.repeated_ids),
        ]);
        self.metrics.encode()
    }

    /// Returns the number of calls in progress.
    pub(crate) fn active_calls(&self) -> usize {
        self.active_calls.load(Ordering::Acquire)
    }

    /// Whether calls are in progress or connections open. Once connections are to be closed, those
    /// that remain open still have a response to send.
    pub(crate) fn is_busy(&self) -> bool {
        self.active_calls() > 0 || self.open_connections.load(Ordering::Acquire) > 0
    }

    pub(crate) fn open_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.open_connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard(self.clone())
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

/// Counts a call as in progress until it is dropped.
pub(crate) struct CallGuard(Arc<NodeState>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts a connection as open until it is dropped.
pub(crate) struct ConnectionGuard(Arc<NodeState>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns a seed that differs between nodes and between starts of a node.
fn node_seed(node: &str, now: u64) -> u64 {
    let mut hasher = FxHasher::default();
    (node, now).hash(&mut hasher);
    hasher.finish()
}
