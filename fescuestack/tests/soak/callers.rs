//! Clients of the nodes, and what they observe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use fescuestack_http::{
    BufferedRequest, BufferedResponse, ExchangeConnection, ExchangeError, IdleState, within,
};
use fescuestack_platform_standin::{client_request, request_id_and_signature};
use http::Method;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::HOST;

/// Deadline of a client request, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 1_500;

/// Longest time after which a caller that gives up early does so, in milliseconds.
const LONGEST_PATIENCE_MS: u64 = 80;

/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(5);

/// How a caller uses its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerKind {
    /// Opens a connection for each request.
    Fresh,
    /// Uses a connection until it ends or gets no answer.
    Kept,
    /// Like `Kept`, but closes the connection early in some requests.
    Hasty,
}

impl CallerKind {
    fn new(caller: usize) -> CallerKind {
        match caller % 4 {
            0 => CallerKind::Fresh,
            1 | 2 => CallerKind::Kept,
            _ => CallerKind::Hasty,
        }
    }
}

/// An answer that a caller received.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    pub status: u16,
    pub signature: Option<String>,
    /// Kind of caller and node, for reports.
    pub origin: String,
}

impl CallerAnswer {
    /// Whether the answer promises that the request does not run, now or later.
    pub fn is_promise(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// What all callers have observed.
#[derive(Default)]
pub struct CallerRecord {
    /// Answers by request ID. Requests without an answer are missing.
    pub answers: BTreeMap<String, CallerAnswer>,
    pub violations: Vec<String>,
    /// Requests of callers that wait for their answers, and those of them that were served.
    pub sent: u64,
    pub served: u64,
}

/// What a caller needs to send requests. Clones share the record.
#[derive(Clone)]
pub struct CallerTask {
    nodes: Vec<SocketAddr>,
    seed: u64,
    count: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    record: Arc<Mutex<CallerRecord>>,
}

impl CallerTask {
    pub fn new(nodes: Vec<SocketAddr>, seed: u64) -> CallerTask {
        let (count, stop, record) = Default::default();
        CallerTask { nodes, seed, count, stop, record }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn with_record<T>(&self, operation: impl FnOnce(&mut CallerRecord) -> T) -> T {
        operation(&mut self.record.lock().expect("no caller panics"))
    }

    /// Sends requests until `stop` is set and records each result.
    pub async fn run(self, caller: usize) {
        let kind = CallerKind::new(caller);
        let mut random = Pcg64::seed_from_u64(self.seed << 16 | caller as u64);
        let mut connection = None;
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.count.fetch_add(1, Ordering::Relaxed);
            let is_unsafe = random.random::<f64>() < 0.5;
            let id = format!("{}{number}", if is_unsafe { "p" } else { "r" });
            let mut current = match connection.take() {
                Some(current) => current,
                None => {
                    let node = self.nodes[random.next_u64() as usize % self.nodes.len()];
                    CallerConnection { node, exchange: None }
                }
            };
            let gives_up = kind == CallerKind::Hasty && random.random::<f64>() < 0.3;
            let patience_ms = if gives_up {
                1 + random.next_u64() % LONGEST_PATIENCE_MS
            } else {
                CLIENT_TIMEOUT_MS
            };
            let result = current.send(&id, is_unsafe, Duration::from_millis(patience_ms)).await;
            let is_kept = kind != CallerKind::Fresh && current.is_kept();
            let origin = format!("{kind:?} at {}", current.node);
            connection = is_kept.then_some(current);
            let is_patient = kind != CallerKind::Hasty;
            self.with_record(|record| record.record(id, result, origin, is_patient));
            task::sleep(CALLER_PAUSE).await;
        }
    }
}

impl CallerRecord {
    fn record(
        &mut self,
        id: String,
        result: Result<Option<BufferedResponse>, &'static str>,
        origin: String,
        is_patient: bool,
    ) {
        self.sent += u64::from(is_patient);
        let answer = match result {
            Ok(Some(answer)) => answer,
            Ok(None) => return,
            Err(reason) => return self.violations.push(format!("{id}, {origin}: {reason}")),
        };
        self.served += u64::from(is_patient && answer.status == 200);
        if let Some(reason) = find_fault(&id, &answer) {
            self.violations.push(format!("{id}, {origin}: {reason}"));
        }
        let (_, signature) = request_id_and_signature(&answer.headers);
        let signature = signature.map(str::to_owned);
        let answer = CallerAnswer { status: answer.status.as_u16(), signature, origin };
        self.answers.insert(id, answer);
    }
}

/// Returns which guarantee the answer to the request `id` violates by itself.
fn find_fault(id: &str, answer: &BufferedResponse) -> Option<&'static str> {
    let (echoed, signature) = request_id_and_signature(&answer.headers);
    if echoed.is_some_and(|echoed| echoed != id) {
        return Some("the response belongs to another request");
    }
    match answer.status.as_u16() {
        200 if signature.is_none() => Some("a success response lacks the signature of a target"),
        200 if &answer.body[..] != b"answer" => Some("a success response lacks part of its body"),
        404 => Some("a configured route returned 404"),
        _ => None,
    }
}

/// A connection to one node, which is opened for the first request.
struct CallerConnection {
    node: SocketAddr,
    exchange: Option<ExchangeConnection>,
}

impl CallerConnection {
    fn is_kept(&self) -> bool {
        self.exchange.as_ref().is_some_and(ExchangeConnection::is_kept_alive)
    }

    /// Sends one request. Returns `None` without a response in time. Fails if the node sends bytes that
    /// belong to no request.
    async fn send(
        &mut self,
        id: &str,
        is_unsafe: bool,
        limit: Duration,
    ) -> Result<Option<BufferedResponse>, &'static str> {
        let request = caller_request(id, is_unsafe);
        let exchange = self.exchange.take();
        let sent = async {
            let mut exchange = match exchange {
                Some(exchange) => exchange,
                None => match ExchangeConnection::open(self.node, limit).await {
                    Ok(exchange) => exchange,
                    Err(_) => return Ok(None),
                },
            };
            match exchange.idle_state().await {
                IdleState::Open => (),
                IdleState::Closed => return Ok(None),
                IdleState::UnexpectedBytes => {
                    return Err("bytes arrived that no request waits for");
                }
            }
            match exchange.exchange(&request, None).await {
                Ok(response) => {
                    self.exchange = Some(exchange);
                    Ok(Some(response))
                }
                Err(ExchangeError::InvalidResponse { reason }) => Err(reason),
                Err(_) => Ok(None),
            }
        };
        within(limit, sent).await.unwrap_or(Ok(None))
    }
}

fn caller_request(id: &str, is_unsafe: bool) -> BufferedRequest {
    let (method, path, body) =
        if is_unsafe { (Method::POST, "/pay/", id) } else { (Method::GET, "/read/", "") };
    client_request(HOST, id, method, path, CLIENT_TIMEOUT_MS, body.as_bytes())
}
