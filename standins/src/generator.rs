//! Open-loop load generator: requests are sent on schedule, however slow the answers are.

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

/// One attempt of a request, as seen by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Identifier of the attempt.
    pub attempt: String,
    /// Result of the attempt.
    pub answer: CallAnswer,
}

/// A request and all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// Identifier of the request.
    pub request: String,
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the path in the settings.
    pub path: usize,
    /// Time from the scheduled arrival to the end of the last attempt, in microseconds.
    pub latency_us: u64,
    /// The attempts in order. The last one determines the outcome of the request.
    pub attempts: Vec<AttemptRecord>,
}

struct LoadState {
    settings: LoadSettings,
    client: LoadClient,
    /// Prefix of request identifiers that distinguishes loads with a shared ledger.
    load_id: String,
    started: Instant,
    open_requests: AtomicUsize,
    records: Mutex<Vec<RequestRecord>>,
}

/// Runs a load to its end and returns its report. The report includes counts of runs at the upstreams
/// only if there is a `ledger`.
pub async fn run_load(settings: LoadSettings, ledger: Option<&RequestLedger>) -> LoadReport {
    // Loads with the same seed in one process need distinct request identifiers.
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

/// Sends each request at its scheduled time. Returns the number of requests skipped because of the
/// limit on open requests.
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

/// Waits until all requests have ended. The patience of the caller bounds each attempt.
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

/// Creates the idempotency key of a request, dated at the time of its first attempt.
fn request_key(request: &str) -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let created = ClockTime::new(elapsed.as_millis() as u64);
    let hash = PartHash::new(request.as_bytes());
    dated_key(created, u128::from_le_bytes(*hash.as_bytes()))
}

/// Sends an attempt and waits for its answer until the patience of the caller, which starts at
/// `patience_start`, is over.
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

/// Settings of a comparison between calls through nodes and direct calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MeasureSettings {
    /// Seed for the load.
    pub seed: u64,
    /// Mean number of arrivals per second, half of them through nodes and half direct.
    pub rate: f64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Caller ports of the nodes.
    pub entries: Vec<SocketAddr>,
    /// The upstreams and the service that each of them runs.
    pub upstreams: Vec<(String, SocketAddr)>,
    /// The request mix. If it is empty, the load consists of lookups at the service of the first upstream.
    pub classes: Vec<LoadClass>,
}

/// Label of the path through nodes.
pub const NODE_PATH: &str = "node";

/// Label of the direct path.
pub const DIRECT_PATH: &str = "direct";

/// Measures the latency that nodes add. Calls through nodes and direct calls to the upstreams are mixed
/// in one run, so that both are measured under the same machine load.
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
