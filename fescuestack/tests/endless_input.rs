//! Nodes with one thread, while one of their peers sends bytes without end.

mod node_process;

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_http::{ExchangeConnection, within};
use fescuestack_platform_standin::{
    CONFIG_KEY, DEFAULT_MEMORY_MB, READY_PATH, RouteEntry, SettingsEntry, StandinApplication,
    StandinStore, TargetRecord, client_request, config_value, free_ports, target_key,
};
use http::Method;

use node_process::NodeProcess;

const HOST: &str = "endless.example";

const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request that is answered later keeps its client waiting beyond the route's timeout.
const MAX_LATENCY: Duration = Duration::from_millis(500);

/// How long the peer sends while other requests are checked.
const INPUT_TIME: Duration = Duration::from_millis(2_500);

/// Number of concurrent callers or connections that receive endless input.
const PEER_COUNT: usize = 4;

const SMALL_CHUNK: &[u8] = b"1\r\nx\r\n";

const EXTENDED_CHUNK: &[u8] = b"1;extension=value\r\nx\r\n";

const MIXED_CHUNKS: &[u8] = b"1\r\nx\r\n2\r\nxx\r\n";

const CHUNKED_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// HTTP/2 client preface with an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// Empty HTTP/2 SETTINGS frame.
const SETTINGS_FRAME: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];

/// HTTP/2 frame of a type that receivers must ignore.
const UNKNOWN_FRAME: &[u8] = &[0, 0, 0, 0x20, 0, 0, 0, 0, 0];

/// A server whose connections receive `head` and then `piece` without end.
#[derive(Clone, Copy)]
struct EndlessServer {
    address: SocketAddr,
}

impl EndlessServer {
    fn start(address: SocketAddr, head: &'static [u8], piece: &'static [u8]) -> EndlessServer {
        let listener = TcpListener::bind(address).expect("a loopback address");
        let address = listener.local_addr().expect("a bound port");
        thread::spawn(move || {
            for stream in listener.incoming() {
                thread::spawn(move || -> std::io::Result<()> {
                    let mut stream = stream?;
                    let _ = stream.read(&mut [0; 4096])?;
                    send_endless(stream, head, piece)
                });
            }
        });
        EndlessServer { address }
    }
}

/// Writes until the peer closes the connection.
fn send_endless(mut stream: TcpStream, head: &[u8], piece: &[u8]) -> std::io::Result<()> {
    stream.write_all(head)?;
    let block = piece.repeat((16 * 1024 / piece.len()).max(1));
    loop {
        stream.write_all(&block)?;
    }
}

/// Opens connections to `address` until `stop` is set, one after the other, and writes `head` and
/// then `piece` to each without end. Discards what it receives.
fn write_endless(
    address: SocketAddr,
    stop: &Arc<AtomicBool>,
    head: &'static [u8],
    piece: &'static [u8],
) -> thread::JoinHandle<()> {
    let stop = stop.clone();
    let block = piece.repeat(16 * 1024 / piece.len());
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            let mut responses = stream.try_clone().expect("a descriptor");
            thread::spawn(move || std::io::copy(&mut responses, &mut std::io::sink()));
            let mut sent = stream.write_all(head);
            while sent.is_ok() && !stop.load(Ordering::SeqCst) {
                sent = stream.write_all(&block);
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    })
}

/// Forwards connections to a store until it is told to respond without end itself.
struct StoreProxy {
    address: SocketAddr,
    endless: Arc<AtomicBool>,
    endless_responses: Arc<AtomicUsize>,
}

impl StoreProxy {
    fn start(store: SocketAddr) -> StoreProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let endless = Arc::new(AtomicBool::new(false));
        let endless_responses = Arc::new(AtomicUsize::new(0));
        let (is_endless, count_responses) = (endless.clone(), endless_responses.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (is_endless, count_responses) = (is_endless.clone(), count_responses.clone());
                thread::spawn(move || -> std::io::Result<()> {
                    let mut client = stream?;
                    let mut server = TcpStream::connect(store)?;
                    let (mut to_client, mut from_server) =
                        (client.try_clone()?, server.try_clone()?);
                    thread::spawn(move || std::io::copy(&mut from_server, &mut to_client));
                    let mut buffer = [0; 4096];
                    loop {
                        let count = client.read(&mut buffer)?;
                        if is_endless.load(Ordering::SeqCst) {
                            count_responses.fetch_add(1, Ordering::SeqCst);
                            server.shutdown(std::net::Shutdown::Both)?;
                            return send_endless(client, CHUNKED_RESPONSE, SMALL_CHUNK);
                        }
                        server.write_all(&buffer[..count])?;
                    }
                });
            }
        });
        StoreProxy { address, endless, endless_responses }
    }
}

/// Two nodes as processes. The target beside the second one, of the service `alpha`, is healthy. All
/// requests go to the first node.
struct EndlessFleet {
    store: StandinStore,
    proxy: StoreProxy,
    /// Third octet of the VMs' addresses.
    number: u8,
    ports: [u16; 3],
    nodes: Vec<NodeProcess>,
}

impl EndlessFleet {
    /// Starts the nodes. The target beside the first one is `target`, of the service `beta`.
    async fn start(number: u8, target: Option<EndlessServer>) -> EndlessFleet {
        EndlessFleet::start_with(number, [target, None], DEFAULT_MEMORY_MB).await
    }

    /// Starts the nodes, on VMs with `memory_mb` MB. The targets beside them are `targets`, and the
    /// first node's is of the service `beta`, if it is given.
    async fn start_with(
        number: u8,
        targets: [Option<EndlessServer>; 2],
        memory_mb: u64,
    ) -> EndlessFleet {
        let store = StandinStore::start().await.expect("a free port");
        let proxy = StoreProxy::start(store.address());
        let [application_port, ports @ ..] = free_ports::<4>().expect("free ports");
        let mut fleet = EndlessFleet { store, proxy, number, ports, nodes: Vec::new() };
        let routes = [("/a/", "alpha"), ("/b/", "beta")].map(|(prefix, service)| RouteEntry {
            prefix,
            route_type: "safe",
            service,
            timeout: CLIENT_TIMEOUT,
        });
        fleet.store.put(CONFIG_KEY, config_value(1, HOST, &routes));
        for (host, target) in [1, 2].into_iter().zip(targets) {
            let vm = fleet.vm(host);
            let id = format!("t{host}");
            let application = StandinApplication::start(&id, SocketAddr::new(vm, application_port))
                .await
                .expect("a loopback address");
            let service = if host == 1 && target.is_some() { "beta" } else { "alpha" };
            let address = target.map_or(application.address(), |target| target.address);
            let settings = SettingsEntry {
                vm,
                ports,
                service,
                target: address,
                store: fleet.proxy.address,
                link_mbps: 1_000.0,
                memory_mb,
                grace_s: 4,
            };
            let name = format!("fescuestack-endless-{}-{number}-{host}.json", std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, settings.value().to_string()).expect("a writable directory");
            fleet.store.put(&target_key(&id), TargetRecord::new(address, service).value());
            let mut node = NodeProcess::new(vm, application, path);
            node.start();
            fleet.nodes.push(node);
        }
        if targets[1].is_none() {
            fleet.await_served().await;
        }
        fleet
    }

    fn vm(&self, host: u8) -> IpAddr {
        IpAddr::from([127, (std::process::id() % 200) as u8 + 4, self.number, host])
    }

    /// Returns the address of the first node for clients (0), other nodes (1) or readiness (2).
    fn address(&self, port: usize) -> SocketAddr {
        SocketAddr::new(self.vm(1), self.ports[port])
    }

    async fn await_served(&self) {
        let started = Instant::now();
        let mut served = 0;
        while served < 10 {
            assert!(started.elapsed() < Duration::from_secs(10), "the nodes do not serve");
            served = if send(self.address(0), "/a/").await == Some(200) { served + 1 } else { 0 };
            task::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends requests to the healthy target and probes of readiness while endless input arrives, and
    /// checks that each is answered in time.
    async fn check_other_requests(&self) {
        let end = Instant::now() + INPUT_TIME;
        while Instant::now() < end {
            for (port, path) in [(0, "/a/"), (2, READY_PATH)] {
                let started = Instant::now();
                let status = send(self.address(port), path).await;
                let taken = started.elapsed();
                assert_eq!(status, Some(200), "{path} after {taken:?}");
                assert!(taken <= MAX_LATENCY, "{path} took {taken:?}");
            }
            task::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends a request and returns the status of its response, unless there is none in time.
async fn send(address: SocketAddr, path: &str) -> Option<u16> {
    let timeout_ms = CLIENT_TIMEOUT.as_millis() as u64;
    let request = client_request(HOST, "endless", Method::GET, path, timeout_ms, b"");
    let exchange = async {
        let mut connection = ExchangeConnection::open(address, CLIENT_TIMEOUT).await.ok()?;
        connection.exchange(&request, None).await.ok()
    };
    Some(within(CLIENT_TIMEOUT, exchange).await??.status.as_u16())
}

/// Sends requests that get endless responses until the tasks are cancelled.
fn send_requests(address: SocketAddr) -> Vec<task::JoinHandle<()>> {
    send_requests_to(address, "/b/")
}

fn send_requests_to(address: SocketAddr, path: &'static str) -> Vec<task::JoinHandle<()>> {
    let request = move |_| {
        task::spawn(async move {
            loop {
                send(address, path).await;
                task::sleep(Duration::from_millis(10)).await;
            }
        })
    };
    (0..PEER_COUNT).map(request).collect()
}

/// Guards against a target whose responses never end and keep its node from serving other requests.
#[test]
fn endless_target_does_not_block_its_node() {
    task::block_on(async {
        let any = "127.0.0.1:0".parse().expect("an address");
        let target = EndlessServer::start(any, CHUNKED_RESPONSE, SMALL_CHUNK);
        let fleet = EndlessFleet::start(241, Some(target)).await;
        let callers = send_requests(fleet.address(0));
        fleet.check_other_requests().await;
        for caller in callers {
            caller.cancel().await;
        }
    });
}

/// Guards against another node, or what listens in its place, that sends ignored frames without end
/// in response to a call.
#[test]
fn endless_node_does_not_block_its_callers() {
    task::block_on(async {
        let fleet = EndlessFleet::start(242, None).await;
        let inbound = SocketAddr::new(fleet.vm(3), fleet.ports[1]);
        EndlessServer::start(inbound, SETTINGS_FRAME, UNKNOWN_FRAME);
        let record = TargetRecord::new(SocketAddr::new(fleet.vm(3), 1), "beta");
        fleet.store.put(&target_key("t3"), record.value());
        let callers = send_requests(fleet.address(0));
        fleet.check_other_requests().await;
        for caller in callers {
            caller.cancel().await;
        }
    });
}

/// Guards against a store whose responses never end and keep a node from serving requests, and from
/// noticing that it is asked to stop.
#[test]
fn endless_store_does_not_block_a_node() {
    task::block_on(async {
        let mut fleet = EndlessFleet::start(243, None).await;
        fleet.proxy.endless.store(true, Ordering::SeqCst);
        fleet.check_other_requests().await;
        assert!(fleet.proxy.endless_responses.load(Ordering::SeqCst) > 0);
        for node in &mut fleet.nodes {
            node.signal("-TERM");
        }
        task::sleep(MAX_LATENCY).await;
        for node in &fleet.nodes {
            let ready = SocketAddr::new(node.vm, fleet.ports[2]);
            assert_eq!(send(ready, READY_PATH).await, Some(503), "{} is still ready", node.vm);
        }
    });
}

/// Guards against clients, and what connects to the port for other nodes, that send without end: a
/// body in small chunks, requests that are refused at once, a head, and ignored frames.
#[test]
fn endless_clients_do_not_block_a_node() {
    let upload = b"POST /a/ HTTP/1.1\r\nhost: endless.example\r\nx-fescuestack-request-id: u\r\n\
        x-fescuestack-deadline-ms: 1000\r\ntransfer-encoding: chunked\r\n\r\n";
    let refused = b"GET /none/ HTTP/1.1\r\nhost: none.example\r\n\r\n";
    let inputs: [(usize, &'static [u8], &'static [u8]); 6] = [
        (0, upload, SMALL_CHUNK),
        (0, upload, EXTENDED_CHUNK),
        (0, upload, MIXED_CHUNKS),
        (0, b"", refused),
        (0, b"GET /a/ HTTP/1.1\r\n", b"name: value\r\n"),
        (1, PREFACE, UNKNOWN_FRAME),
    ];
    task::block_on(async {
        let fleet = EndlessFleet::start(244, None).await;
        for (port, head, piece) in inputs {
            let stop = Arc::new(AtomicBool::new(false));
            let address = fleet.address(port);
            let writers: Vec<_> =
                (0..PEER_COUNT).map(|_| write_endless(address, &stop, head, piece)).collect();
            fleet.check_other_requests().await;
            stop.store(true, Ordering::SeqCst);
            for writer in writers {
                writer.join().expect("the writer ends");
            }
        }
    });
}

/// Guards against endless responses that a node keeps until its VM has no memory left, so that the
/// calls of all other clients end with it. All targets of the fleet send them in every response.
#[test]
fn endless_responses_stay_within_the_memory_of_a_vm() {
    /// Memory of the smallest VM that nodes run on.
    const MEMORY_MB: u64 = 160;
    const CALLERS: usize = 16;
    const ZEROS: &[u8] = &[b'0'; 16 * 1024];
    let chunk: &'static [u8] = [b"4000\r\n", ZEROS, b"\r\n"].concat().leak();
    let inputs: [(&'static [u8], &'static [u8]); 7] = [
        (CHUNKED_RESPONSE, chunk),
        (b"HTTP/1.1 200 OK\r\n\r\n", ZEROS),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 16000000\r\n\r\n", ZEROS),
        (CHUNKED_RESPONSE, SMALL_CHUNK),
        (b"HTTP/1.1 200 OK\r\n", b"name: value\r\n"),
        (b"HTTP/1.1 200 OK\r\nname: ", ZEROS),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    task::block_on(async {
        for (head, piece) in inputs {
            let any = "127.0.0.1:0".parse().expect("an address");
            let targets = [(); 2].map(|()| Some(EndlessServer::start(any, head, piece)));
            let mut fleet = EndlessFleet::start_with(245, targets, MEMORY_MB).await;
            let nodes = [1, 2].map(|host| SocketAddr::new(fleet.vm(host), fleet.ports[0]));
            let callers: Vec<_> = (0..CALLERS)
                .flat_map(|index| send_requests_to(nodes[index % 2], ["/a/", "/b/"][index / 2 % 2]))
                .collect();
            task::sleep(INPUT_TIME).await;
            let ready = fleet.vm(1);
            let status = send(SocketAddr::new(ready, fleet.ports[2]), READY_PATH).await;
            assert_eq!(status, Some(200), "the node is not ready");
            for node in &mut fleet.nodes {
                let peak = node.peak_memory_kb();
                let text = head.escape_ascii();
                eprintln!("{} {peak} KB {text}", node.vm);
                assert!(!node.has_ended(), "{} ended, {text}", node.vm);
                assert!(peak <= MEMORY_MB * 1024, "{peak} KB, {text}");
            }
            for caller in callers {
                caller.cancel().await;
            }
        }
    });
}
