//! Open-loop load generator: arrivals follow the plan, however slow the answers are.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_std::{future, task};
use fescuestack_core::{ClockTime, PartHash, RouteKind, dated_key};
use fescuestack_http::lock;
use serde::{Deserialize, Serialize};

use crate::arrivals::{
    ArrivalSchedule, LoadClass, LoadEntry, LoadPath, LoadSettings, ScheduledArrival,
};
use crate::caller::{AnswerVerdict, CallAnswer, LoadClient};
use crate::ledger::RequestLedger;
use crate::report::{LoadReport, MeasureReport};

/// One attempt of a request, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Identifier of the attempt.
    pub attempt: String,
    /// The answer, or that the caller gave up.
    pub answer: CallAnswer,
}

/// A request with all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// Identifier of the request.
    pub request: String,
    /// Index of its class.
    pub class: usize,
    /// Index of its path.
    pub path: usize,
    /// Time from the planned arrival to the end of the last attempt, in microseconds.
    pub latency_us: u64,
    /// The attempts in order; the last one decided.
    pub attempts: Vec<AttemptRecord>,
}

struct LoadState {
    settings: LoadSettings,
    client: LoadClient,
    /// Keeps the requests of loads that share a ledger apart.
    load_id: String,
    started: Instant,
    open_requests: AtomicUsize,
    records: Mutex<Vec<RequestRecord>>,
}

/// Runs a load to its end and reports on it. The counts that need the upstreams' side come from
/// `ledger`; without one they are absent.
pub async fn run_load(settings: LoadSettings, ledger: Option<&RequestLedger>) -> LoadReport {
    // Two loads in one process with one seed still need different requests.
    static NEXT_LOAD: AtomicU64 = AtomicU64::new(0);
    let load_id = format!("{}-{}", settings.seed, NEXT_LOAD.fetch_add(1, Ordering::Relaxed));
    let state = Arc::new(LoadState {
        settings,
        client: LoadClient::new(),
        load_id,
        started: Instant::now(),
        open_requests: AtomicUsize::new(0),
        records: Mutex::new(Vec::new()),
    });
    let skipped = send_requests(&state).await;
    wait_for_open_requests(&state).await;
    let settle = Duration::from_millis(state.settings.settle_ms);
    task::sleep(settle).await;
    let records = std::mem::take(&mut *lock(&state.records));
    let index = ledger.map(RequestLedger::index);
    LoadReport::new(&state.settings, &records, skipped, index.as_ref())
}

/// Spawns each request when it is due. Returns how many were skipped at the limit of open requests.
async fn send_requests(state: &Arc<LoadState>) -> u64 {
    let mut skipped = 0;
    for arrival in ArrivalSchedule::new(&state.settings) {
        let due = state.started + Duration::from_micros(arrival.due_us);
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        if state.open_requests.load(Ordering::SeqCst) >= state.settings.open_limit {
            skipped += 1;
            continue;
        }
        state.open_requests.fetch_add(1, Ordering::SeqCst);
        let state = state.clone();
        task::spawn(async move {
            let record = send_request(&state, arrival, due).await;
            lock(&state.records).push(record);
            state.open_requests.fetch_sub(1, Ordering::SeqCst);
        });
    }
    skipped
}

/// Waits until each request has ended. Each attempt ends by the caller's patience at the latest.
async fn wait_for_open_requests(state: &LoadState) {
    while state.open_requests.load(Ordering::SeqCst) > 0 {
        task::sleep(Duration::from_millis(5)).await;
    }
}

async fn send_request(state: &LoadState, arrival: ScheduledArrival, due: Instant) -> RequestRecord {
    let class = &state.settings.classes[arrival.class];
    let request = format!("{}-{}", state.load_id, arrival.number);
    let key = request_key(&request);
    let mut attempts = Vec::new();
    let mut patience_start = due;
    for number in 0..=class.resends {
        let attempt = format!("{request}.{number}");
        let answer = send_attempt(state, class, &arrival, &key, &attempt, patience_start).await;
        attempts.push(AttemptRecord { attempt, answer });
        if matches!(answer.verdict, AnswerVerdict::Done { .. } | AnswerVerdict::Foreign) {
            break;
        }
        if number < class.resends {
            task::sleep(Duration::from_millis(state.settings.resend_pause_ms)).await;
            patience_start = Instant::now();
        }
    }
    let latency_us = due.elapsed().as_micros() as u64;
    RequestRecord { request, class: arrival.class, path: arrival.path, latency_us, attempts }
}

/// The idempotency key of a request, as a caller makes it when it first sends the request.
fn request_key(request: &str) -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let created = ClockTime::new(elapsed.as_millis() as u64);
    let hash = PartHash::new(request.as_bytes());
    dated_key(created, u128::from_le_bytes(*hash.as_bytes()))
}

/// Sends one attempt and waits until the patience, counted from `since`, is over.
async fn send_attempt(
    state: &LoadState,
    class: &LoadClass,
    arrival: &ScheduledArrival,
    key: &str,
    attempt: &str,
    patience_start: Instant,
) -> CallAnswer {
    let patience_end = patience_start + Duration::from_millis(class.patience_ms);
    let time_left = patience_end.saturating_duration_since(Instant::now());
    let call = state.client.call(arrival.address, class, arrival.number, key, attempt);
    let gave_up = CallAnswer { verdict: AnswerVerdict::GaveUp, code: None };
    future::timeout(time_left, call).await.unwrap_or(gave_up)
}

/// Settings of a comparison of calls through nodes with direct calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MeasureSettings {
    /// Seed of the load.
    pub seed: u64,
    /// Mean arrivals per second, half of them through nodes and half direct.
    pub rate: f64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Caller ports of the nodes.
    pub entries: Vec<SocketAddr>,
    /// The upstreams, with the service that each runs.
    pub upstreams: Vec<(String, SocketAddr)>,
    /// The mix; empty for lookups of the first upstream's service.
    pub classes: Vec<LoadClass>,
}

/// Label of the path through nodes.
pub const NODE_PATH: &str = "node";

/// Label of the direct path.
pub const DIRECT_PATH: &str = "direct";

/// Sends calls through nodes and directly to the upstreams, mixed in one run, so that both paths see
/// the same machine load. The added latency is the difference between them.
pub async fn measure_calls(
    settings: MeasureSettings,
    ledger: Option<&RequestLedger>,
) -> MeasureReport {
    let mut load = LoadSettings::new(settings.seed, settings.rate, settings.seconds * 1_000);
    let nodes = settings.entries.iter().map(|&address| LoadEntry { service: None, address });
    let direct = settings
        .upstreams
        .iter()
        .map(|(service, address)| LoadEntry { service: Some(service.clone()), address: *address });
    load.paths = vec![
        LoadPath { label: NODE_PATH.to_owned(), weight: 1.0, entries: nodes.collect() },
        LoadPath { label: DIRECT_PATH.to_owned(), weight: 1.0, entries: direct.collect() },
    ];
    load.paths.retain(|path| !path.entries.is_empty());
    load.classes = settings.classes;
    if let (true, Some((service, _))) = (load.classes.is_empty(), settings.upstreams.first()) {
        load.classes = vec![LoadClass::new("lookup", service, RouteKind::Lookup)];
    }
    MeasureReport::new(run_load(load, ledger).await)
}
