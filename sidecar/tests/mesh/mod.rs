//! A small fleet on loopback addresses: a store, and nodes with a target each.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use fescuestack_http::{BufferedRequest, BufferedResponse, ExchangeConnection, ExchangeError};
use fescuestack_platform_standin::{
    CONFIG_KEY, DEFAULT_MEMORY_MB, READY_PATH, RouteEntry, SettingsEntry, StandinApplication,
    StandinStore, TargetRecord, client_request, config_value, free_ports, target_key,
};
use fescuestack_sidecar::{NodePolicy, SidecarNode};
use http::Method;
use serde_json::{Value, json};

pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Host of all routes.
pub const HOST: &str = "mesh.example";

static NEXT_MESH: AtomicU8 = AtomicU8::new(1);

/// A node and its target.
pub struct MeshNode {
    pub vm: IpAddr,
    /// The store at the address that this node uses.
    pub store: StandinStore,
    pub application: StandinApplication,
    ports: [u16; 3],
    settings: PathBuf,
    stop: async_channel::Sender<()>,
    node_task: Option<JoinHandle<()>>,
}

/// A store and the nodes that follow it.
pub struct Mesh {
    pub store: StandinStore,
    pub nodes: Vec<MeshNode>,
    /// Third octet of the VMs' addresses.
    number: u8,
    application_port: u16,
    /// Ports of each node.
    ports: [u16; 3],
    /// Policy of the nodes that are added.
    policy: NodePolicy,
}

impl Mesh {
    /// Starts a node for each service, in one data centre, and waits until all nodes are ready.
    pub async fn start(services: &[&str]) -> Mesh {
        Mesh::start_with(services, 1_000.0).await
    }

    /// Like [`Mesh::start`], on VMs whose links have `link_mbps` Mbit/s.
    pub async fn start_with(services: &[&str], link_mbps: f64) -> Mesh {
        let vms: Vec<_> = services.iter().map(|service| (*service, link_mbps)).collect();
        Mesh::start_on(&vms).await
    }

    /// Starts a node for each service, on a VM whose link has the given Mbit/s.
    pub async fn start_on(vms: &[(&str, f64)]) -> Mesh {
        Mesh::start_with_policy(vms, NodePolicy::default()).await
    }

    /// Like [`Mesh::start_on`], with a policy of the operators.
    pub async fn start_with_policy(vms: &[(&str, f64)], policy: NodePolicy) -> Mesh {
        let store = StandinStore::start().await.expect("a free port");
        let [application_port, ports @ ..] = free_ports::<4>().expect("free ports");
        store.put(CONFIG_KEY, config(1, &[("/a/", "alpha"), ("/b/", "beta")]));
        let number = NEXT_MESH.fetch_add(1, Ordering::Relaxed);
        let nodes = Vec::new();
        let mut mesh = Mesh { store, nodes, number, application_port, ports, policy };
        for (service, link_mbps) in vms {
            mesh.add_node(service, *link_mbps).await;
        }
        for index in 0..mesh.nodes.len() {
            eventually("the node is ready", async || mesh.is_ready(index).await).await;
            // A node that received a request before it listened counts as unreachable for a moment.
            let reaches_all = async || {
                let status = mesh.status(index).await;
                status["targets"] == mesh.nodes.len() && status["lost_nodes"] == json!([])
            };
            eventually("the node reaches all others", reaches_all).await;
        }
        mesh
    }

    /// Starts a further node, on a VM of its own whose link has `link_mbps` Mbit/s, and lists its
    /// target. Returns at once.
    pub async fn add_node(&mut self, service: &str, link_mbps: f64) {
        self.add_node_in("here", service, link_mbps).await;
    }

    /// Like [`Mesh::add_node`], in another data centre.
    pub async fn add_node_in(&mut self, zone: &'static str, service: &str, link_mbps: f64) {
        let host = self.nodes.len() as u8 + 1;
        let vm = IpAddr::from([127, (std::process::id() % 200) as u8 + 1, self.number, host]);
        let id = format!("t{host}");
        let application =
            StandinApplication::start(&id, SocketAddr::new(vm, self.application_port))
                .await
                .expect("a loopback address");
        let record = TargetRecord::new(application.address(), service).with_zone(zone);
        self.store.put(&target_key(&id), record.value());
        let store = self.store.with_new_address().await.expect("a free port");
        let settings = SettingsEntry {
            vm,
            ports: self.ports,
            service,
            target: application.address(),
            store: store.address(),
            link_mbps,
            memory_mb: DEFAULT_MEMORY_MB,
            grace_s: 6,
        };
        let path = std::env::temp_dir().join(format!(
            "fescuestack-{}-{}-{host}.json",
            std::process::id(),
            self.number
        ));
        let mut settings = settings.value();
        settings["self"]["zone"] = json!(zone);
        std::fs::write(&path, settings.to_string()).expect("a writable directory");
        let (stop, stopping) = async_channel::bounded(1);
        let node = SidecarNode::start_with_policy(path.clone(), self.policy.clone()).await;
        let node = node.expect("free addresses");
        let task = task::spawn(async move {
            let stop = move || {
                let stopping = stopping.clone();
                async move {
                    let _ = stopping.recv().await;
                }
            };
            node.run(stop, std::future::pending).await;
        });
        let (ports, node_task) = (self.ports, Some(task));
        self.nodes.push(MeshNode {
            vm,
            store,
            application,
            ports,
            settings: path,
            stop,
            node_task,
        });
    }

    /// Sends a request to a node and reads the response.
    pub async fn send(
        &self,
        node: usize,
        call: &TestCall,
    ) -> Result<BufferedResponse, ExchangeError> {
        let mut connection = self.connect(node).await?;
        connection.exchange(&call.request(), None).await
    }

    /// Returns the address of a node's port for clients (0), other nodes (1) or readiness (2).
    pub fn address(&self, node: usize, port: usize) -> SocketAddr {
        let node = &self.nodes[node];
        SocketAddr::new(node.vm, node.ports[port])
    }

    pub async fn connect(&self, node: usize) -> Result<ExchangeConnection, ExchangeError> {
        ExchangeConnection::open(self.address(node, 0), TIMEOUT).await
    }

    pub async fn is_ready(&self, node: usize) -> bool {
        self.send_to_ready_port(node, READY_PATH).await.is_ok_and(|response| response.status == 200)
    }

    /// Sends a request to the port of a node that serves the platform and operators.
    pub async fn send_to_ready_port(
        &self,
        node: usize,
        path: &str,
    ) -> Result<BufferedResponse, ExchangeError> {
        let mut connection = ExchangeConnection::open(self.address(node, 2), TIMEOUT).await?;
        connection.exchange(&TestCall::get("operator", path).request(), None).await
    }

    /// Returns the status of a node.
    pub async fn status(&self, node: usize) -> Value {
        let response = self.send_to_ready_port(node, "/status").await.expect("a response");
        serde_json::from_slice(&response.body).expect("JSON")
    }

    /// Waits until a node serves a path.
    pub async fn eventually_served(&self, node: usize, path: &str) {
        eventually(&format!("node {node} serves {path}"), async || {
            let response = self.send(node, &TestCall::get("e", path)).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
    }

    /// Waits until one of the first `large_count` nodes reads the store, and no other node does.
    /// Returns that node.
    pub async fn await_large_reader(&self, large_count: usize) -> usize {
        let found = Cell::new(None);
        eventually("one large node reads the store for all", async || {
            found.set(match self.readers().await[..] {
                [reader] if reader < large_count => Some(reader),
                _ => None,
            });
            found.get().is_some()
        })
        .await;
        found.get().expect("the wait has succeeded")
    }

    /// Returns the nodes that read the store and have contact with it.
    pub async fn readers(&self) -> Vec<usize> {
        let mut readers = Vec::new();
        for node in 0..self.nodes.len() {
            if self.status(node).await["source"] == "store" {
                readers.push(node);
            }
        }
        readers
    }

    /// Lists a target of `service` on a VM whose node accepts connections and never responds.
    pub async fn add_silent_node(&self, service: &str) {
        let IpAddr::V4(vm) = self.nodes[0].vm else { unreachable!("the mesh has IPv4 addresses") };
        let vm = IpAddr::from([vm.octets()[0], vm.octets()[1], vm.octets()[2], 200]);
        let inbound = SocketAddr::new(vm, self.nodes[0].ports[1]);
        let listener = TcpListener::bind(inbound).await.expect("a loopback address");
        task::spawn(async move {
            let mut streams = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                streams.push(stream);
            }
        });
        let record = TargetRecord::new(SocketAddr::new(vm, 1), service);
        self.store.put(&target_key("silent"), record.value());
    }

    /// Requests a node to stop, as SIGTERM does. The request may be repeated during the stop.
    pub fn request_stop(&self, node: usize) {
        self.nodes[node].stop.try_send(()).expect("the node listens");
    }

    /// Returns the task of a node, which completes when the node has stopped.
    pub fn take_task(&mut self, node: usize) -> JoinHandle<()> {
        self.nodes[node].node_task.take().expect("a node is stopped once")
    }

    /// Lists a target with the address of a node's target.
    pub fn list_target(&self, id: &str, node: usize, change: fn(TargetRecord) -> TargetRecord) {
        let record = TargetRecord::new(self.nodes[node].application.address(), "alpha");
        self.store.put(&target_key(id), change(record).value());
    }
}

impl Drop for MeshNode {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A client's request.
#[derive(Clone)]
pub struct TestCall {
    pub id: String,
    pub method: Method,
    pub path: String,
    pub timeout_ms: u64,
    pub body: Vec<u8>,
}

impl TestCall {
    pub fn get(id: &str, path: &str) -> TestCall {
        let (id, path) = (id.to_owned(), path.to_owned());
        TestCall { id, method: Method::GET, path, timeout_ms: 2_000, body: Vec::new() }
    }

    pub fn post(id: &str, path: &str, body: &[u8]) -> TestCall {
        TestCall { method: Method::POST, body: body.to_vec(), ..TestCall::get(id, path) }
    }

    pub fn request(&self) -> BufferedRequest {
        let method = self.method.clone();
        client_request(HOST, &self.id, method, &self.path, self.timeout_ms, &self.body)
    }
}

/// Returns a configuration with a safe route for each prefix, an unsafe one under its `/pay` and an
/// upload route under its `/up`.
pub fn config(version: u64, routes: &[(&str, &str)]) -> String {
    config_with(version, routes, Duration::from_secs(1))
}

/// Like [`config`], with routes of the given timeout.
pub fn config_with(version: u64, routes: &[(&str, &str)], timeout: Duration) -> String {
    let suffixes = [("", "safe"), ("pay/", "unsafe"), ("up/", "upload")];
    let prefixes: Vec<_> = routes
        .iter()
        .flat_map(|(prefix, service)| {
            suffixes.map(|(part, kind)| (format!("{prefix}{part}"), kind, *service))
        })
        .collect();
    let entries: Vec<_> = prefixes
        .iter()
        .map(|(prefix, route_type, service)| RouteEntry { prefix, route_type, service, timeout })
        .collect();
    config_value(version, HOST, &entries)
}

/// Returns a configuration with routes to two services, whose targets accept `per_second` calls while they
/// are cold.
pub fn config_with_warmup(version: u64, per_second: usize) -> String {
    let text = config(version, &[("/a/", "alpha"), ("/b/", "beta")]);
    let mut value: Value = serde_json::from_str(&text).expect("JSON");
    for cluster in value["clusters"].as_array_mut().expect("clusters") {
        cluster["warmup_s"] = json!(6);
        cluster["warmup_per_s"] = json!(per_second);
    }
    value.to_string()
}

/// Waits until `condition` holds. Panics after [`TIMEOUT`].
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}
