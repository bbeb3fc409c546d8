//! A small mesh on loopback: a store, nodes with a target each, and a client.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use bytes::Bytes;
use fescuestack_http::{ExchangeConnection, ExchangeError, WholeAnswer, WholeRequest};
use fescuestack_sidecar::SidecarNode;
use fescuestack_standins::{StandinApplication, StandinStore};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::{Value, json};

pub const LIMIT: Duration = Duration::from_secs(5);

static NEXT_MESH: AtomicU8 = AtomicU8::new(1);

/// A node with the target beside it.
pub struct MeshNode {
    pub vm: IpAddr,
    pub application: StandinApplication,
    ports: [u16; 3],
    settings: PathBuf,
    stop: async_channel::Sender<()>,
    running: Option<JoinHandle<()>>,
}

/// A store and nodes.
pub struct Mesh {
    pub store: StandinStore,
    pub nodes: Vec<MeshNode>,
}

impl Mesh {
    /// Starts a node for each service, in one data centre, and waits until all are ready.
    pub async fn start(services: &[&str]) -> Mesh {
        let mesh = NEXT_MESH.fetch_add(1, Ordering::Relaxed);
        let store = StandinStore::start().await.expect("a free port");
        let mut ports = [0; 3];
        for port in &mut ports {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            *port = listener.local_addr().expect("a bound port").port();
        }
        store.put("op/config", config(1, &[("/a/", "alpha"), ("/b/", "beta")]).to_string());
        let mut nodes = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let host = index as u8 + 1;
            let vm = IpAddr::from([127, (std::process::id() % 200) as u8 + 1, mesh, host]);
            let id = format!("t{host}");
            let application = StandinApplication::start(&id, SocketAddr::new(vm, 0))
                .await
                .expect("a loopback address");
            store.put(&format!("servers/{id}"), entry(&application, service, "ready"));
            let settings = settings(&store, vm, &application, service, ports);
            let path = std::env::temp_dir()
                .join(format!("fescuestack-{}-{mesh}-{host}.json", std::process::id()));
            std::fs::write(&path, settings.to_string()).expect("a writable directory");
            let (stop, stopping) = async_channel::bounded(1);
            let node = SidecarNode::start(path.clone()).await.expect("free addresses");
            let running = task::spawn(async move {
                let stop = async move {
                    let _ = stopping.recv().await;
                };
                node.run(stop, async || std::future::pending().await).await;
            });
            let running = Some(running);
            nodes.push(MeshNode { vm, application, ports, settings: path, stop, running });
        }
        let mesh = Mesh { store, nodes };
        for index in 0..mesh.nodes.len() {
            eventually("the node is ready", async || mesh.is_ready(index).await).await;
        }
        mesh
    }

    /// Sends a request to a node and reads the answer.
    pub async fn ask(&self, node: usize, call: &TestCall) -> Result<WholeAnswer, ExchangeError> {
        let mut connection = self.connect(node).await?;
        connection.exchange(&call.request(), None).await
    }

    /// Address of a node's port for clients (0), other nodes (1) or readiness (2).
    pub fn address(&self, node: usize, port: usize) -> SocketAddr {
        let node = &self.nodes[node];
        SocketAddr::new(node.vm, node.ports[port])
    }

    pub async fn connect(&self, node: usize) -> Result<ExchangeConnection, ExchangeError> {
        ExchangeConnection::open(self.address(node, 0), LIMIT).await
    }

    pub async fn is_ready(&self, node: usize) -> bool {
        let address = self.address(node, 2);
        let Ok(mut connection) = ExchangeConnection::open(address, LIMIT).await else {
            return false;
        };
        let call = TestCall::get("ready", "/-/ready");
        let answer = connection.exchange(&call.request(), None).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Asks a node to stop, as SIGTERM does.
    pub fn stop(&mut self, node: usize) -> JoinHandle<()> {
        let node = &mut self.nodes[node];
        node.stop.close();
        node.running.take().expect("a node is stopped once")
    }

    pub fn list(&self, node: usize, service: &str, state: &str) {
        let application = &self.nodes[node].application;
        let id = format!("t{}", node + 1);
        self.store.put(&format!("servers/{id}"), entry(application, service, state));
    }
}

impl Drop for MeshNode {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A request of a test.
#[derive(Clone)]
pub struct TestCall {
    pub id: String,
    pub method: Method,
    pub path: String,
    pub left: u64,
    pub body: Vec<u8>,
}

impl TestCall {
    pub fn get(id: &str, path: &str) -> TestCall {
        let (id, path) = (id.to_owned(), path.to_owned());
        TestCall { id, method: Method::GET, path, left: 2_000, body: Vec::new() }
    }

    pub fn post(id: &str, path: &str, body: &[u8]) -> TestCall {
        TestCall { method: Method::POST, body: body.to_vec(), ..TestCall::get(id, path) }
    }

    pub fn request(&self) -> WholeRequest {
        let mut headers = HeaderMap::new();
        let mut add = |name: &'static str, value: &str| {
            let value = HeaderValue::from_str(value).expect("plain text");
            headers.insert(HeaderName::from_static(name), value);
        };
        add("host", "mesh.example");
        add("x-fescuestack-request-id", &self.id);
        add("x-fescuestack-deadline-ms", &self.left.to_string());
        add("x-fescuestack-caller-service", "forged");
        WholeRequest {
            method: self.method.clone(),
            target: self.path.clone(),
            headers,
            body: Bytes::from(self.body.clone()),
        }
    }
}

/// A configuration with a safe route for each prefix, an unsafe one under `/pay` and an upload
/// under `/up` of it.
pub fn config(version: u64, routes: &[(&str, &str)]) -> Value {
    let mut policies = Vec::new();
    for (prefix, service) in routes {
        for (part, kind) in [("", "safe"), ("pay/", "unsafe"), ("up/", "upload")] {
            policies.push(json!({
                "name": format!("r{prefix}{part}"), "route_type": kind, "aim_s": 0.5, "priority": 1,
                "match": {"prefix": format!("{prefix}{part}")},
                "action": {"service": service, "timeout_s": 1.0, "max_attempts": 2},
            }));
        }
    }
    let cluster = |name: &str| {
        json!({"name": name, "health_path": "/health",
        "max_connections": 100, "protocol": "h1", "tls": false})
    };
    json!({
        "version": version,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_s": 3,
            "idle_timeout_s": 15},
        "listeners": [{"host": "mesh.example", "policies": policies}],
        "clusters": [cluster("alpha"), cluster("beta")],
    })
}

fn entry(application: &StandinApplication, service: &str, state: &str) -> String {
    json!({
        "address": application.address(), "born": 1_790_000_000_000_u64,
        "info": {"service": service, "version": "v1", "zone": "here", "capacity": 4},
        "status": {"state": state, "sequence": 1, "warmup_left_s": 0},
    })
    .to_string()
}

fn settings(
    store: &StandinStore,
    vm: IpAddr,
    application: &StandinApplication,
    service: &str,
    ports: [u16; 3],
) -> Value {
    let listen = |port| SocketAddr::new(vm, port);
    json!({
        "self": {"node_name": format!("node-{vm}"), "zone": "here", "service": service,
            "app_addr": application.address(), "limits": {"memory_mb": 260, "cpu_share": 0.2, "bandwidth_mbps": 1000.0}, "unknown": 1},
        "network": {"listen_addrs": {"outbound": listen(ports[0]), "inbound": listen(ports[1]),
            "ready": listen(ports[2])}, "seeds": []},
        "platform": {"heartbeat_s": 1.5, "platform": {"address": store.address()}},
        "terms": {"bounds": {"grace_s": 6, "budget_ratio": 0.2, "budget_slack": 60}},
    })
}

/// Waits until `check` holds. Fails after [`LIMIT`].
pub async fn eventually(what: &str, check: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !check().await {
        assert!(started.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}
