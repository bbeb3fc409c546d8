//! What clients of a node receive after the platform has asked its process to stop.

mod node_process;

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_http::{ExchangeConnection, within};
use fescuestack_platform_standin::{
    CONFIG_KEY, DEFAULT_MEMORY_MB, RouteEntry, SettingsEntry, StandinApplication, StandinStore,
    TargetRecord, client_request, config_value, free_ports, target_key,
};
use http::Method;
use socket2::{Domain, Socket, Type};

use node_process::NodeProcess;

const HOST: &str = "stop.example";

const LIMIT: Duration = Duration::from_secs(5);

/// Reads the response to a request at `bytes_per_s`. Returns the number of bytes until the connection
/// ends.
fn read_slowly(address: SocketAddr, bytes_per_s: usize) -> usize {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // A large receive buffer would take most of the response at once.
    socket.set_recv_buffer_size(64 * 1024).expect("a socket option");
    socket.connect(&address.into()).expect("a node");
    let mut stream = TcpStream::from(socket);
    let head = format!(
        "GET /a/ HTTP/1.1\r\nhost: {HOST}\r\nx-fescuestack-request-id: slow\r\n\
         x-fescuestack-deadline-ms: 10000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("an open connection");
    let mut buffer = vec![0; bytes_per_s / 50];
    let (started, mut received) = (Instant::now(), 0);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return received,
            Ok(count) => received += count,
        }
        let due = Duration::from_secs_f64(received as f64 / bytes_per_s as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
}

/// Guards against a node that exits while its clients still read their responses.
#[test]
fn responses_are_written_to_their_end() {
    // More than the kernel buffers for a connection.
    const RESPONSE_BYTES: usize = 14_000_000;
    const CLIENT_BYTES_PER_S: usize = 2_800_000;
    task::block_on(async {
        let store = StandinStore::start().await.expect("a free port");
        let [application_port, ports @ ..] = free_ports::<4>().expect("free ports");
        let timeout = Duration::from_secs(8);
        let route = RouteEntry { prefix: "/a/", route_type: "safe", service: "alpha", timeout };
        store.put(CONFIG_KEY, config_value(1, HOST, &[route]));
        let vm = IpAddr::from([127, (std::process::id() % 200) as u8 + 5, 240, 1]);
        let application = StandinApplication::start("t1", SocketAddr::new(vm, application_port));
        let application = application.await.expect("a loopback address");
        let settings = SettingsEntry {
            vm,
            ports,
            service: "alpha",
            target: application.address(),
            store: store.address(),
            link_mbps: 1_000.0,
            memory_mb: DEFAULT_MEMORY_MB,
            grace_s: 6,
        };
        let path =
            std::env::temp_dir().join(format!("fescuestack-stop-{}.json", std::process::id()));
        std::fs::write(&path, settings.value().to_string()).expect("a writable directory");
        store.put(&target_key("t1"), TargetRecord::new(application.address(), "alpha").value());
        let mut node = NodeProcess::new(vm, application.clone(), path);
        node.start();
        let address = SocketAddr::new(vm, ports[0]);
        let request = client_request(HOST, "first", Method::GET, "/a/", 1_000, b"");
        let is_served = async || {
            let connection = ExchangeConnection::open(address, LIMIT).await;
            let response = connection.ok()?.exchange(&request, None).await.ok()?;
            (response.status == 200).then_some(())
        };
        let served = within(LIMIT, async {
            while is_served().await.is_none() {
                task::sleep(Duration::from_millis(20)).await;
            }
        });
        assert!(served.await.is_some(), "the node does not serve");
        application.set_response_bytes(RESPONSE_BYTES);
        let clients: Vec<_> = (0..2)
            .map(|_| thread::spawn(move || read_slowly(address, CLIENT_BYTES_PER_S)))
            .collect();
        task::sleep(Duration::from_millis(500)).await;
        node.signal("-TERM");
        for client in clients {
            let received = client.join().expect("the client ends");
            assert!(received > RESPONSE_BYTES, "{received} bytes received, with the head");
        }
    });
}
