//! The call path of a node: its listeners, its state and its shutdown.

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use async_std::net::TcpListener;
use async_std::task;
use fescuestack_core::{
    ClockSpan, ConfigSnapshot, LoadReport, NodeName, RequestFingerprint, TargetLiveness,
};
use fescuestack_http::{ServerSettings, lock, serve_listener};
use fescuestack_upstreams::{PeerKind, PoolSettings, PoolTable};
use http_types::Response;

use crate::balancers::BalancerTable;
use crate::record::{CallObserver, CallSide};
use crate::target::TargetSide;
use fescuestack_http::CallClock;

/// Time between two looks at waiting calls.
const TICK: Duration = Duration::from_millis(100);

/// Time between two looks at the calls that a shutdown waits for.
const DRAIN_STEP: Duration = Duration::from_millis(10);

/// Shortest shutdown. Other nodes use a connection for non-idempotent requests until it was unused
/// for 1 s; a request that crosses the end of the process would have an unknown outcome.
const DRAIN_LINGER: Duration = Duration::from_millis(1_500);

/// What the call path of a node knows from its settings.
#[derive(Debug, Clone)]
pub struct CallSettings {
    /// Name of the node and of the target beside it.
    pub node: NodeName,
    /// Data centre of the node.
    pub data_centre: Arc<str>,
    /// Seed of the balancers' random choices. Nodes must differ, or they choose the same targets.
    pub seed: u64,
    /// Longest shutdown.
    pub drain_bound: ClockSpan,
    /// Connections to the upstream and to other nodes.
    pub pools: PoolSettings,
    /// Most connections to each other node.
    pub relay_connections: usize,
    /// Limits of the three listeners.
    pub server: ServerSettings,
}

impl CallSettings {
    /// Creates settings with default limits.
    pub fn new(node: NodeName, data_centre: Arc<str>, seed: u64) -> CallSettings {
        CallSettings {
            node,
            data_centre,
            seed,
            drain_bound: ClockSpan::new(30_000),
            pools: PoolSettings::default(),
            relay_connections: 256,
            server: ServerSettings::default(),
        }
    }
}

/// The call path of a node.
pub struct CallService {
    pub(crate) settings: CallSettings,
    pub(crate) clock: CallClock,
    pub(crate) balancers: BalancerTable,
    pub(crate) target: Arc<TargetSide>,
    pub(crate) relays: PoolTable,
    pub(crate) observer: Arc<dyn CallObserver>,
    snapshot: Arc<ArcSwapOption<ConfigSnapshot>>,
    /// The snapshot that the gate and the balancers have taken over.
    installed: ArcSwapOption<ConfigSnapshot>,
    installing: Mutex<()>,
    quarantined: ArcSwap<HashSet<RequestFingerprint>>,
    prefix: String,
    count: AtomicU64,
    calls: Arc<AtomicUsize>,
    leaving: OnceLock<Instant>,
}

impl CallService {
    /// Creates the call path. `snapshot` holds the active version and may change at any time; each
    /// call reads it once.
    pub fn new(
        settings: CallSettings,
        snapshot: Arc<ArcSwapOption<ConfigSnapshot>>,
        observer: Arc<dyn CallObserver>,
    ) -> Arc<CallService> {
        let clock = CallClock::new();
        let target = TargetSide::new(
            settings.node.clone(),
            settings.drain_bound,
            settings.pools,
            clock,
            observer.clone(),
        );
        let prefix = format!("{:x}-{:08x}", clock.origin().millis(), settings.seed as u32);
        Arc::new(CallService {
            balancers: BalancerTable::new(settings.data_centre.clone(), settings.seed),
            relays: PoolTable::new(PeerKind::Node, settings.pools),
            settings,
            clock,
            target,
            observer,
            snapshot,
            installed: ArcSwapOption::empty(),
            installing: Mutex::new(()),
            quarantined: ArcSwap::default(),
            prefix,
            count: AtomicU64::new(0),
            calls: Arc::default(),
            leaving: OnceLock::new(),
        })
    }

    /// Serves the three ports until the future is dropped: `caller` for callers outside the mesh,
    /// `local` for the upstream beside this node, `relay` for other nodes.
    pub async fn serve(
        self: Arc<Self>,
        caller: TcpListener,
        local: TcpListener,
        relay: TcpListener,
    ) {
        let server = self.settings.server;
        let callers = self.clone();
        let caller = serve_listener(caller, server, move |incoming| {
            let service = callers.clone();
            async move { service.enter(CallSide::Caller, incoming).await }
        });
        let locals = self.clone();
        let local = serve_listener(local, server, move |incoming| {
            let service = locals.clone();
            async move { service.enter(CallSide::Local, incoming).await }
        });
        let relays = self.clone();
        let relay = serve_listener(relay, server, move |incoming| {
            let service = relays.clone();
            async move { service.relay(incoming).await }
        });
        let ticks = self.run_ticks();
        let listeners = futures_lite::future::zip(caller, futures_lite::future::zip(local, relay));
        futures_lite::future::zip(listeners, ticks).await;
    }

    /// Notes what membership knows of a target. Targets that were never named are alive.
    pub fn set_liveness(&self, name: &str, liveness: TargetLiveness) {
        self.balancers.set_liveness(self.clock.now(), name, liveness);
    }

    /// Whether the call path waits to hear that the active version is the newest one that was accepted.
    pub fn wants_current(&self) -> bool {
        self.target
            .with_gate(|state, now| state.gate.as_ref().is_some_and(|gate| gate.wants_current(now)))
    }

    /// Notes that the platform's head is the active version.
    pub fn note_current(&self) {
        self.target.with_gate(|state, now| {
            if let Some(gate) = &mut state.gate {
                gate.note_current(now);
            }
        });
    }

    /// Replaces the fingerprints that the nodes have quarantined.
    pub fn install_quarantine(&self, fingerprints: &[u64]) {
        let numbers = fingerprints.iter().copied();
        let list = numbers.map(RequestFingerprint::from_number).collect();
        self.quarantined.store(Arc::new(list));
        self.target.install_quarantine(fingerprints);
    }

    /// The load of the upstream beside this node, or `None` before the first configuration.
    pub fn load(&self) -> Option<LoadReport> {
        self.target.load()
    }

    /// Calls whose answers have not been written to their end.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Acquire)
    }

    /// Begins the graceful shutdown: new calls from callers and other nodes are answered with 206.
    /// Calls of the upstream beside this node go on, since calls in flight may depend on them.
    pub fn begin_drain(&self) {
        self.leaving.get_or_init(Instant::now);
        self.target.begin_drain();
    }

    /// Completes when the calls in flight have ended and the connections of other nodes are out of
    /// use, or after the longest shutdown. Returns the number of calls that are cut off.
    pub async fn drained(&self) -> usize {
        let started = *self.leaving.get_or_init(Instant::now);
        let bound = Duration::from_millis(self.settings.drain_bound.millis());
        while started.elapsed() < bound {
            let idle = self.calls() == 0 && self.target.is_drained();
            if idle && started.elapsed() >= DRAIN_LINGER {
                return 0;
            }
            task::sleep(DRAIN_STEP).await;
        }
        self.calls()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// The active version, which the gate and the balancers have taken over.
    pub(crate) fn active(&self) -> Option<Arc<ConfigSnapshot>> {
        let snapshot = self.snapshot.load_full()?;
        if !self.is_installed(&snapshot) {
            let _guard = lock(&self.installing);
            if !self.is_installed(&snapshot) {
                self.target.install(&snapshot);
                self.balancers.retain(&snapshot);
                self.installed.store(Some(snapshot.clone()));
            }
        }
        Some(snapshot)
    }

    pub(crate) fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.quarantined.load().contains(&fingerprint)
    }

    /// An identity for a request that enters here.
    pub(crate) fn next_request(&self) -> Arc<str> {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{count:x}", self.prefix).into()
    }

    /// Counts a call until its answer has been written, or its caller has gone.
    pub(crate) fn begin_call(&self) -> CallPlace {
        self.calls.fetch_add(1, Ordering::AcqRel);
        CallPlace(self.calls.clone())
    }

    /// Completes an answer for the connection that it goes to.
    pub(crate) fn send(&self, mut answer: Response, place: CallPlace) -> Response {
        if self.is_leaving() {
            answer.insert_header("connection", "close");
        }
        answer.ext_mut().insert(place);
        answer
    }

    /// Whether `snapshot` is the one in use, or an older one that was overtaken.
    fn is_installed(&self, snapshot: &Arc<ConfigSnapshot>) -> bool {
        let installed = self.installed.load();
        installed.as_ref().is_some_and(|installed| {
            Arc::ptr_eq(installed, snapshot) || installed.version() > snapshot.version()
        })
    }

    async fn run_ticks(&self) {
        loop {
            task::sleep(TICK).await;
            self.active();
            self.target.tick();
            self.relays.evict_idle();
        }
    }
}

/// A call in flight.
pub(crate) struct CallPlace(Arc<AtomicUsize>);

impl Drop for CallPlace {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
