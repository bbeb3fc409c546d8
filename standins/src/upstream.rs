//! Stand-in for an upstream, with slots, connection limits, service times, load shedding and faults.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use fescuestack_core::{RouteKind, ServicePart};
use futures_lite::{FutureExt, StreamExt};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

use crate::exchange;
use crate::ledger::RequestLedger;

/// What the health and load endpoints report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProbeMode {
    /// The state of this many milliseconds ago.
    Lagging(u64),
    /// Always healthy and without load.
    AlwaysGood,
    /// Always unhealthy and fully loaded.
    AlwaysBad,
}

/// A route of the stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandinRoute {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path prefix. The longest matching prefix takes precedence.
    pub prefix: String,
    /// Kind of the route, which determines the service time.
    pub kind: RouteKind,
}

/// Settings of a stand-in upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSettings {
    /// Name, included in each answer.
    pub name: String,
    /// Address to listen on. With port 0 the system chooses a port.
    pub address: SocketAddr,
    /// Seed for the random service times.
    pub seed: u64,
    /// Maximum number of concurrently running requests.
    pub slots: usize,
    /// Maximum number of requests waiting for a slot. Further requests are rejected without running.
    pub queue: usize,
    /// Maximum number of open connections. Further connections are closed immediately.
    pub connections: usize,
    /// Delay before the first request of a new connection is read, in microseconds.
    pub connect_us: u64,
    /// Service time of a lookup, in microseconds.
    pub lookup_us: u64,
    /// Service time of a search, in microseconds.
    pub search_us: u64,
    /// Service time of a submit, in microseconds.
    pub submit_us: u64,
    /// Service time of an upload for each KiB of body, in microseconds.
    pub upload_us_per_kib: u64,
    /// Spread of service times. Each is multiplied by a factor drawn uniformly from 1 ± this value.
    pub spread: f64,
    /// Factor on service times immediately after a start.
    pub cold_factor: f64,
    /// Time after a start over which the factor decreases linearly to 1, in milliseconds.
    pub cold_ms: u64,
    /// Minimum size of the answer body, in bytes.
    pub answer_bytes: usize,
    /// What `/health` and `/load` report.
    pub probes: ProbeMode,
    /// Whether answers carry the `fescuestack-request` header of their requests.
    pub echo_requests: bool,
    /// Time until the stand-in restarts after a poison request crashed it, in milliseconds, or `None` to
    /// stay down.
    pub restart_ms: Option<u64>,
    /// Routes. The kind of a request that matches none is derived from its method and path.
    pub routes: Vec<StandinRoute>,
}

impl UpstreamSettings {
    /// Creates settings that match the upstreams of the current deployments, with a loopback port chosen
    /// by the system.
    pub fn new(name: &str, seed: u64) -> UpstreamSettings {
        UpstreamSettings {
            name: name.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed,
            slots: 6,
            queue: 6,
            connections: 120,
            connect_us: 1_000,
            lookup_us: 2_000,
            search_us: 200_000,
            submit_us: 10_000,
            // 20 ms per MiB: a photo of 2 MiB adds the time of four submits.
            upload_us_per_kib: 20,
            spread: 0.3,
            cold_factor: 4.0,
            cold_ms: 2_000,
            answer_bytes: 256,
            probes: ProbeMode::Lagging(1_000),
            echo_requests: true,
            restart_ms: Some(1_000),
            routes: Vec::new(),
        }
    }

    /// Replaces the routes by those of `service`.
    pub fn with_service(mut self, service: &ServicePart) -> UpstreamSettings {
        let routes = service.routes.iter().map(|rule| StandinRoute {
            method: rule.method.clone(),
            prefix: rule.prefix.clone(),
            kind: rule.kind,
        });
        self.routes = routes.collect();
        self
    }

    /// Disables the cold start, so that service times do not depend on the time since the start.
    pub fn with_warm_start(mut self) -> UpstreamSettings {
        self.cold_factor = 1.0;
        self
    }

    /// Leaves the `fescuestack-request` header out of answers, as upstreams do that ignore it. Nodes then
    /// open a connection for each request.
    pub fn without_echo(mut self) -> UpstreamSettings {
        self.echo_requests = false;
        self
    }

    /// Returns the route kind of a request.
    pub fn kind(&self, method: &str, path: &str) -> RouteKind {
        let matching = |route: &&StandinRoute| {
            route.method.eq_ignore_ascii_case(method) && path.starts_with(&route.prefix)
        };
        match self.routes.iter().filter(matching).max_by_key(|route| route.prefix.len()) {
            Some(route) => route.kind,
            None if method.eq_ignore_ascii_case("POST") => RouteKind::Submit,
            None if method.eq_ignore_ascii_case("PUT") => RouteKind::Upload,
            None if path.contains("search") => RouteKind::Search,
            None => RouteKind::Lookup,
        }
    }
}

/// Load of a stand-in at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Number of running requests.
    pub running: usize,
    /// Number of requests waiting for a slot.
    pub waiting: usize,
    /// Whether the stand-in accepts new requests.
    pub healthy: bool,
}

/// Maximum number of samples kept for lagging probes.
const MAX_SAMPLES: usize = 4_096;

/// Shared state of a stand-in.
#[derive(Debug)]
pub(crate) struct StandinState {
    pub(crate) settings: UpstreamSettings,
    pub(crate) ledger: Arc<RequestLedger>,
    pub(crate) slot_permits: (Sender<()>, Receiver<()>),
    pub(crate) running: AtomicUsize,
    pub(crate) waiting: AtomicUsize,
    pub(crate) draining: AtomicBool,
    pub(crate) pending_truncations: AtomicUsize,
    pub(crate) pending_drops: AtomicUsize,
    /// Connections with a number below this one are stalled and neither read nor write.
    stalled_below: AtomicU64,
    next_connection: AtomicU64,
    /// Number of times that the stand-in was killed. A run that sees it change was killed.
    pub(crate) kill_count: AtomicU64,
    open_connections: AtomicUsize,
    process: Mutex<StandinProcess>,
    rng: Mutex<Pcg64>,
    samples: Mutex<VecDeque<(Instant, LoadSample)>>,
}

/// The simulated process of the stand-in, from launch to kill.
#[derive(Debug)]
struct StandinProcess {
    started: Instant,
    /// Present while the process runs. Dropping the sender ends all tasks of the process.
    stop_on_drop: Option<Sender<()>>,
}

/// Handle of a stand-in upstream, which is killed when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct UpstreamStandin {
    state: Arc<StandinState>,
    address: SocketAddr,
    _kill_on_drop: Arc<KillOnDrop>,
}

#[derive(Debug)]
struct KillOnDrop(Arc<StandinState>);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.kill();
    }
}

impl UpstreamStandin {
    /// Starts a stand-in that records its runs in `ledger`. Fails if the address cannot be bound.
    pub async fn start(
        settings: UpstreamSettings,
        ledger: Arc<RequestLedger>,
    ) -> io::Result<UpstreamStandin> {
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let slot_permits = async_channel::bounded(settings.slots.max(1));
        (0..settings.slots).for_each(|_| {
            slot_permits.0.try_send(()).expect("the channel has capacity for each slot")
        });
        let state = Arc::new(StandinState {
            rng: Mutex::new(Pcg64::seed_from_u64(settings.seed)),
            settings: UpstreamSettings { address, ..settings },
            ledger,
            slot_permits,
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            pending_truncations: AtomicUsize::new(0),
            pending_drops: AtomicUsize::new(0),
            stalled_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(0),
            kill_count: AtomicU64::new(0),
            open_connections: AtomicUsize::new(0),
            process: Mutex::new(StandinProcess { started: Instant::now(), stop_on_drop: None }),
            samples: Mutex::new(VecDeque::new()),
        });
        state.launch(listener);
        let kill_on_drop = Arc::new(KillOnDrop(state.clone()));
        Ok(UpstreamStandin { state, address, _kill_on_drop: kill_on_drop })
    }

    /// Returns the address of the stand-in, which stays the same after a restart.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the ledger in which the stand-in records its runs.
    pub fn ledger(&self) -> &Arc<RequestLedger> {
        &self.state.ledger
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadSample {
        self.state.sample()
    }

    /// Closes all connections and stops listening, like a killed process.
    pub fn kill(&self) {
        self.state.kill();
    }

    /// Starts the stand-in again after a kill, with a cold start. Fails if the address cannot be bound.
    pub async fn restart(&self) -> io::Result<()> {
        restart_standin(&self.state).await
    }

    /// Stalls all open connections permanently. New connections work.
    pub fn stall_connections(&self) {
        let next = self.state.next_connection.load(Ordering::SeqCst);
        self.state.stalled_below.store(next, Ordering::SeqCst);
    }

    /// Truncates the bodies of the next `count` answers.
    pub fn truncate_next_answers(&self, count: usize) {
        self.state.pending_truncations.store(count, Ordering::SeqCst);
    }

    /// Runs the next `count` requests, but closes their connections without an answer.
    pub fn drop_next_answers(&self, count: usize) {
        self.state.pending_drops.store(count, Ordering::SeqCst);
    }

    /// Rejects new requests, waits until running and waiting requests are answered, and stops.
    pub async fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
        self.state.record_load();
        while self.state.is_busy() {
            task::sleep(Duration::from_millis(1)).await;
        }
        // The connection tasks may still be writing the last answers.
        task::sleep(Duration::from_millis(20)).await;
        self.state.kill();
    }
}

impl StandinState {
    fn process(&self) -> MutexGuard<'_, StandinProcess> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.process().stop_on_drop.is_some()
    }

    fn is_busy(&self) -> bool {
        self.running.load(Ordering::SeqCst) + self.waiting.load(Ordering::SeqCst) > 0
    }

    pub(crate) fn kill(&self) {
        self.kill_count.fetch_add(1, Ordering::SeqCst);
        self.process().stop_on_drop = None;
        self.record_load();
    }

    fn launch(self: &Arc<StandinState>, listener: TcpListener) {
        let (stop_on_drop, stop) = async_channel::bounded(1);
        *self.process() =
            StandinProcess { started: Instant::now(), stop_on_drop: Some(stop_on_drop) };
        self.draining.store(false, Ordering::SeqCst);
        self.record_load();
        let state = self.clone();
        task::spawn(async move {
            let stopped = stop.clone();
            let accept = accept_connections(&state, listener, stop);
            accept.or(async { stopped.recv().await.unwrap_or_default() }).await;
        });
    }

    /// Kills the stand-in and restarts it after the delay in the settings.
    pub(crate) fn crash(self: &Arc<StandinState>) {
        self.kill();
        let Some(restart_ms) = self.settings.restart_ms else { return };
        let state = self.clone();
        task::spawn(async move {
            task::sleep(Duration::from_millis(restart_ms)).await;
            if let Err(err) = restart_standin(&state).await {
                log::error!("failed to restart stand-in {}: {err}", state.settings.name);
            }
        });
    }

    pub(crate) fn is_stalled(&self, connection: u64) -> bool {
        connection < self.stalled_below.load(Ordering::SeqCst)
    }

    /// Draws a random service time for a request.
    pub(crate) fn service_time(&self, kind: RouteKind, body_bytes: u64) -> Duration {
        let settings = &self.settings;
        let base = match kind {
            RouteKind::Lookup => settings.lookup_us,
            RouteKind::Search => settings.search_us,
            RouteKind::Submit => settings.submit_us,
            RouteKind::Upload => {
                settings.submit_us + settings.upload_us_per_kib * body_bytes / 1024
            }
        };
        let draw: f64 = self.rng.lock().unwrap_or_else(PoisonError::into_inner).random();
        let spread = 1.0 + settings.spread * (2.0 * draw - 1.0);
        let age = self.process().started.elapsed().as_millis() as f64;
        let warm = (age / settings.cold_ms.max(1) as f64).min(1.0);
        let cold = settings.cold_factor + (1.0 - settings.cold_factor) * warm;
        Duration::from_micros((base as f64 * spread * cold) as u64)
    }

    pub(crate) fn sample(&self) -> LoadSample {
        LoadSample {
            running: self.running.load(Ordering::SeqCst),
            waiting: self.waiting.load(Ordering::SeqCst),
            healthy: self.is_alive() && !self.draining.load(Ordering::SeqCst),
        }
    }

    /// Records a load sample for lagging probes.
    pub(crate) fn record_load(&self) {
        let sample = (Instant::now(), self.sample());
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// Returns the load that the probe endpoints report.
    pub(crate) fn probe(&self) -> LoadSample {
        let slots = self.settings.slots;
        match self.settings.probes {
            ProbeMode::AlwaysGood => LoadSample { running: 0, waiting: 0, healthy: true },
            ProbeMode::AlwaysBad => LoadSample { running: slots, waiting: slots, healthy: false },
            ProbeMode::Lagging(lag_ms) => {
                let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
                let lag = Duration::from_millis(lag_ms);
                let old = samples.iter().rev().find(|(taken, _)| taken.elapsed() >= lag);
                old.or(samples.front()).map(|(_, sample)| *sample).unwrap_or_default()
            }
        }
    }
}

async fn restart_standin(state: &Arc<StandinState>) -> io::Result<()> {
    if state.is_alive() {
        return Ok(());
    }
    let listener = TcpListener::bind(state.settings.address).await?;
    state.launch(listener);
    Ok(())
}

async fn accept_connections(state: &Arc<StandinState>, listener: TcpListener, stop: Receiver<()>) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        let open_before = state.open_connections.fetch_add(1, Ordering::SeqCst);
        let guard = ConnectionGuard(state.clone());
        if open_before >= state.settings.connections {
            continue;
        }
        let number = state.next_connection.fetch_add(1, Ordering::SeqCst);
        task::spawn(serve_connection(guard, stream, number, stop.clone()));
    }
}

struct ConnectionGuard(Arc<StandinState>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve_connection(
    guard: ConnectionGuard,
    stream: TcpStream,
    number: u64,
    stop: Receiver<()>,
) {
    let serve = async {
        let _ = stream.set_nodelay(true);
        task::sleep(Duration::from_micros(guard.0.settings.connect_us)).await;
        while exchange::serve_request(&guard.0, &stream, number).await {}
    };
    serve.or(async { stop.recv().await.unwrap_or_default() }).await;
}
