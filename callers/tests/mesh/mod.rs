//! A few nodes with their upstreams on loopback sockets, for the tests of the call path.
#![allow(dead_code)]

pub mod proxy;

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_std::net::{SocketAddr, TcpListener};
use async_std::task::{self, JoinHandle};
use fescuestack_callers::{CallObserver, CallRecord, CallService, CallSettings};
use fescuestack_core::{
    CallerClass, CallersPart, ConfigSnapshot, FleetPart, PartContent, PartManifest, PatiencePeriod,
    RegionEntry, RequestFingerprint, RouteKind, RouteRule, ServicePart, SpreadPreference,
    TargetEntry, TargetsPart, VersionId,
};
use fescuestack_http::{ClientConnection, HttpFault, ServerSettings, serve_connection};
use futures_lite::io::{AsyncRead, AsyncReadExt, BufReader};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use serde::Serialize;

pub const PATIENCE_MS: u64 = 2_000;
/// Long, because the answers of earlier owners have to come within a ninth of the time that keys are kept.
pub const KEY_WINDOW_MS: u64 = 8_000;

/// Time after its start from which an owner vouches for keys: the window, an eighth of it, and a rest.
pub const KEEP_TIME: Duration = Duration::from_millis(KEY_WINDOW_MS + KEY_WINDOW_MS / 8 + 100);

/// A server that does what the path of a request says.
pub struct TestUpstream {
    pub address: SocketAddr,
    pub log: Arc<UpstreamLog>,
    task: Option<JoinHandle<()>>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

/// What an upstream has seen.
#[derive(Default)]
pub struct UpstreamLog {
    pub runs: Mutex<Vec<String>>,
    pub cancelled: AtomicUsize,
    pub finished: AtomicUsize,
    pub most: AtomicUsize,
    running: AtomicUsize,
    /// Lets requests of the kind `held` end.
    pub released: AtomicBool,
}

impl UpstreamLog {
    pub fn runs_of(&self, path: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|run| run.as_str() == path).count()
    }
}

/// An end that comes after the bytes before it were sent.
struct LateEnd(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl LateEnd {
    fn new() -> LateEnd {
        LateEnd(Box::pin(task::sleep(Duration::from_millis(20))))
    }
}

impl AsyncRead for LateEnd {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        self.0.as_mut().poll(cx).map(|()| Ok(0))
    }
}

struct RunGuard(Arc<UpstreamLog>, bool);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        let count = if self.1 { &self.0.finished } else { &self.0.cancelled };
        count.fetch_add(1, Ordering::SeqCst);
    }
}

impl TestUpstream {
    pub async fn start(name: String) -> TestUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        TestUpstream::with_listener(name, listener)
    }

    fn with_listener(name: String, listener: TcpListener) -> TestUpstream {
        let address = listener.local_addr().unwrap();
        let log = Arc::new(UpstreamLog::default());
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (seen, opened) = (log.clone(), connections.clone());
        let task = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (name, seen) = (name.clone(), seen.clone());
                let serving = task::spawn(async move {
                    let handler = |incoming| run_with_echo(name.clone(), seen.clone(), incoming);
                    let _ = serve_connection(stream, &ServerSettings::default(), &handler).await;
                });
                opened.lock().unwrap().push(serving);
            }
        });
        TestUpstream { address, log, task: Some(task), connections }
    }

    /// Ends the process: its connections break and new ones are refused.
    pub async fn die(&mut self) {
        if let Some(task) = self.task.take() {
            task.cancel().await;
        }
        let connections = std::mem::take(&mut *self.connections.lock().unwrap());
        for connection in connections {
            connection.cancel().await;
        }
    }
}

/// Runs a request; the answer names it.
async fn run_with_echo(
    name: String,
    log: Arc<UpstreamLog>,
    incoming: Result<Request, HttpFault>,
) -> Response {
    let request = incoming.as_ref().expect("a valid request");
    let id = request.header("fescuestack-request").map(|id| id.last().to_string());
    let mut answer = run(name, log, incoming).await;
    if let Some(id) = id {
        answer.insert_header("fescuestack-request", id);
    }
    answer
}

async fn run(
    name: String,
    log: Arc<UpstreamLog>,
    incoming: Result<Request, HttpFault>,
) -> Response {
    let mut request = incoming.unwrap();
    let path = request.url().path().to_owned();
    log.runs.lock().unwrap().push(path.clone());
    let running = log.running.fetch_add(1, Ordering::SeqCst) + 1;
    log.most.fetch_max(running, Ordering::SeqCst);
    let mut guard = RunGuard(log, false);
    let mut answer = Response::new(StatusCode::Ok);
    let words: Vec<&str> = path.split('/').collect();
    match words.as_slice() {
        [.., "slow", millis, _] => {
            task::sleep(Duration::from_millis(millis.parse().unwrap())).await;
            answer.set_body(format!("{name} {path}"));
        }
        [.., "early"] => answer.set_body("early"),
        [.., "held", _] => {
            while !guard.0.released.load(Ordering::SeqCst) {
                task::sleep(Duration::from_millis(1)).await;
            }
            answer.set_body(format!("{name} {path}"));
        }
        [.., "shed"] => {
            answer.set_status(StatusCode::ServiceUnavailable);
            answer.insert_header("fescuestack-outcome", "not-run");
        }
        [.., "unavailable"] => answer.set_status(StatusCode::ServiceUnavailable),
        [.., "hang"] => std::future::pending().await,
        [.., "cut"] => {
            let reader = futures_lite::io::Cursor::new(b"short").chain(LateEnd::new());
            answer.set_body(Body::from_reader(BufReader::new(reader), Some(50)));
        }
        [.., "longcut"] => {
            let reader = futures_lite::io::Cursor::new(vec![b'x'; 300_000]);
            answer.set_body(Body::from_reader(reader, Some(400_000)));
        }
        [.., "long", bytes] => {
            let bytes = vec![b'x'; bytes.parse().unwrap()];
            answer.set_body(Body::from_reader(futures_lite::io::Cursor::new(bytes), None));
        }
        [.., "count"] => {
            let mut body = request.take_body();
            let mut buffer = vec![0; 16 * 1024];
            let mut total = 0;
            loop {
                match body.read(&mut buffer).await {
                    Ok(0) => break,
                    Ok(count) => total += count,
                    Err(_) => return Response::new(StatusCode::BadRequest),
                }
            }
            answer.set_body(format!("{total}"));
        }
        _ => {
            let body = request.take_body().into_string().await.unwrap();
            answer.set_body(format!("{name} {path} {body}"));
        }
    }
    guard.1 = true;
    answer
}

/// Keeps what the call path reports.
#[derive(Default)]
pub struct TestObserver {
    pub records: Mutex<Vec<CallRecord>>,
    pub deaths: Mutex<Vec<Vec<RequestFingerprint>>>,
    pub completed: Mutex<Vec<RequestFingerprint>>,
}

impl CallObserver for TestObserver {
    fn call_ended(&self, record: CallRecord) {
        self.records.lock().unwrap().push(record);
    }

    fn upstream_died(&self, running: Vec<RequestFingerprint>) {
        self.deaths.lock().unwrap().push(running);
    }

    fn run_completed(&self, fingerprint: RequestFingerprint) {
        self.completed.lock().unwrap().push(fingerprint);
    }
}

/// A node with the upstream beside it.
pub struct TestNode {
    pub name: String,
    pub service: Arc<CallService>,
    pub observer: Arc<TestObserver>,
    pub upstream: TestUpstream,
    pub caller: SocketAddr,
    pub local: SocketAddr,
    pub relay: SocketAddr,
    snapshot: Arc<ArcSwapOption<ConfigSnapshot>>,
    serving: Option<JoinHandle<()>>,
}

impl TestNode {
    pub async fn start(name: &str) -> TestNode {
        let snapshot = Arc::new(ArcSwapOption::empty());
        let observer = Arc::new(TestObserver::default());
        let seed = name.bytes().map(u64::from).sum();
        let settings = CallSettings::new(name.into(), "here".into(), seed);
        let service = CallService::new(settings, snapshot.clone(), observer.clone());
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let [caller, local, relay] =
            [0, 1, 2].map(|port: usize| listeners[port].local_addr().unwrap());
        let (third, second) = (listeners.pop().unwrap(), listeners.pop().unwrap());
        let first = listeners.pop().unwrap();
        let serving = task::spawn(service.clone().serve(first, second, third));
        let upstream = TestUpstream::start(name.to_owned()).await;
        let (name, serving) = (name.to_owned(), Some(serving));
        TestNode { name, service, observer, upstream, caller, local, relay, snapshot, serving }
    }

    pub fn entry(&self, slots: u32) -> TargetEntry {
        TargetEntry {
            name: self.name.as_str().into(),
            data_centre: "here".into(),
            upstream: self.upstream.address,
            relay: self.relay,
            control: "127.0.0.1:1".parse().unwrap(),
            slots,
            connections: slots + 4,
        }
    }

    /// Stops to take connections, as if the process had ended.
    pub async fn die(&mut self) {
        if let Some(serving) = self.serving.take() {
            serving.cancel().await;
        }
    }
}

/// Nodes `a`, `b` and so on of the service `shop`.
pub struct Mesh {
    pub nodes: Vec<TestNode>,
    pub slots: u32,
    number: u64,
}

impl Mesh {
    pub async fn start(count: usize, slots: u32) -> Mesh {
        let mut nodes = Vec::new();
        for index in 0..count {
            let name = char::from(b'a' + index as u8).to_string();
            nodes.push(TestNode::start(&name).await);
        }
        let mut mesh = Mesh { nodes, slots, number: 0 };
        let all: Vec<usize> = (0..count).collect();
        mesh.install(&all);
        mesh
    }

    /// Gives all nodes a new version with these nodes as targets.
    pub fn install(&mut self, targets: &[usize]) {
        let entries = targets.iter().map(|index| self.nodes[*index].entry(self.slots));
        self.install_entries(entries.collect());
    }

    /// Gives all nodes a new version with these targets.
    pub fn install_entries(&mut self, entries: Vec<TargetEntry>) {
        self.number += 1;
        let snapshot = Arc::new(snapshot(self.number, entries));
        for node in &self.nodes {
            node.snapshot.store(Some(snapshot.clone()));
        }
    }

    pub fn runs_of(&self, path: &str) -> usize {
        self.nodes.iter().map(|node| node.upstream.log.runs_of(path)).sum()
    }
}

fn part(name: &str, content: &impl Serialize) -> PartContent {
    PartContent::new(name.into(), serde_json::to_string(content).unwrap().into())
}

fn rule(method: &str, prefix: &str, kind: RouteKind, internal_only: bool) -> RouteRule {
    let classes = if internal_only { vec!["acme/back"] } else { vec!["acme/front", "acme/back"] };
    RouteRule {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        kind,
        internal_only,
        body_limit_bytes: 50_000_000,
        classes: classes.into_iter().map(str::to_owned).collect(),
    }
}

fn snapshot(number: u64, targets: Vec<TargetEntry>) -> ConfigSnapshot {
    let class = |name: &str, internal| CallerClass {
        name: name.to_owned(),
        internal,
        patience: vec![PatiencePeriod { from_minute: 0, to_minute: 0, patience_ms: PATIENCE_MS }],
    };
    let fleet = FleetPart {
        deployment: "test".to_owned(),
        regions: vec![RegionEntry { name: "r".to_owned(), data_centres: vec!["here".to_owned()] }],
        preference: SpreadPreference::Convergence,
        link_delay_ms: 1,
        caller_delay_ms: 1,
    };
    let callers = CallersPart {
        tenant: "acme".to_owned(),
        zone: "Europe/London".to_owned(),
        classes: vec![class("front", false), class("back", true)],
    };
    let service = ServicePart {
        service: "shop".to_owned(),
        tenant: "acme".to_owned(),
        routes: vec![
            rule("GET", "/lookup", RouteKind::Lookup, false),
            rule("HEAD", "/lookup", RouteKind::Lookup, false),
            rule("POST", "/submit", RouteKind::Submit, false),
            rule("POST", "/upload", RouteKind::Upload, false),
            rule("GET", "/inner", RouteKind::Lookup, true),
        ],
        queue_limit: 200,
        key_window_ms: KEY_WINDOW_MS,
        key_skew_ms: None,
    };
    let targets = TargetsPart { service: "shop".to_owned(), targets };
    let parts = vec![
        part("fleet", &fleet),
        part("callers/acme", &callers),
        part("service/shop", &service),
        part("targets/shop", &targets),
    ];
    let mut manifest = PartManifest::new();
    manifest.update(parts.iter().map(|part| (&part.name, part.hash())), std::iter::empty());
    ConfigSnapshot::new(VersionId { number, digest: manifest.digest() }, parts).unwrap()
}

/// The head of an answer and its body, or the error that ended it.
pub struct TestAnswer {
    pub status: StatusCode,
    pub code: String,
    pub outcome: String,
    pub retry_after: Option<String>,
    pub body: Result<String, std::io::ErrorKind>,
}

pub fn request(method: Method, path: &str) -> Request {
    Request::new(method, Url::parse(&format!("http://shop{path}")).unwrap())
}

pub fn submit(path: &str, key: &str, body: &str) -> Request {
    let mut request = request(Method::Post, path);
    request.insert_header("idempotency-key", key);
    request.set_body(body);
    request
}

pub async fn send(address: SocketAddr, request: Request) -> TestAnswer {
    let mut connection =
        ClientConnection::open(address, Duration::from_secs(5)).await.expect("connects");
    let mut answer = connection.send(request).await.expect("answers");
    let text = |name: &str| answer.header(name).map(|value| value.last().as_str().to_owned());
    let (code, outcome) = (text("fescuestack-code"), text("fescuestack-outcome"));
    let retry_after = text("retry-after");
    let status = answer.status();
    let mut bytes = Vec::new();
    let read = answer.take_body().read_to_end(&mut bytes).await;
    TestAnswer {
        status,
        code: code.unwrap_or_default(),
        outcome: outcome.unwrap_or_default(),
        retry_after,
        body: read
            .map(|_| String::from_utf8_lossy(&bytes).into_owned())
            .map_err(|error| error.kind()),
    }
}

pub async fn get(address: SocketAddr, path: &str) -> TestAnswer {
    send(address, request(Method::Get, path)).await
}

/// Waits for a condition that other tasks bring about.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("not within 5 s: {what}");
}
