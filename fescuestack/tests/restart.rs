//! What a node that was killed and started again still knows of its target.

mod node_process;

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_http::{ExchangeConnection, within};
use fescuestack_platform_standin::{
    CONFIG_KEY, DEFAULT_MEMORY_MB, RouteEntry, SettingsEntry, StandinApplication, StandinStore,
    TargetRecord, client_request, config_value, free_ports, target_key,
};
use http::Method;

use node_process::NodeProcess;

const HOST: &str = "restart.example";

/// Rate limit that the target states, in requests per second.
const RATE_LIMIT: f64 = 2.0;

/// Number of requests that the target executes concurrently: more than the limit allows in seconds.
const SLOTS: u32 = 18;

const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Sends requests one after the other until `end`.
async fn send_requests(caller: usize, node: SocketAddr, end: Instant) {
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("c{caller}-{number}");
        let timeout_ms = CLIENT_TIMEOUT.as_millis() as u64;
        let request = client_request(HOST, &id, Method::GET, "/a/", timeout_ms, b"");
        // The node may be down, and then the request fails.
        let _ = within(CLIENT_TIMEOUT, async {
            ExchangeConnection::open(node, CLIENT_TIMEOUT).await?.exchange(&request, None).await
        })
        .await;
        task::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a restarted node that lets calls through until the first response states its
/// target's rate limit again.
#[test]
fn restarted_node_keeps_the_rate_limit() {
    task::block_on(async {
        let store = StandinStore::start().await.expect("a free port");
        let [application_port, ports @ ..] = free_ports::<4>().expect("free ports");
        let route = RouteEntry {
            prefix: "/a/",
            route_type: "safe",
            service: "alpha",
            timeout: CLIENT_TIMEOUT,
        };
        store.put(CONFIG_KEY, config_value(1, HOST, &[route]));
        let mut nodes = Vec::new();
        for (host, service) in [(1, "alpha"), (2, "beta")] {
            let vm = IpAddr::from([127, (std::process::id() % 200) as u8 + 3, 251, host]);
            let id = format!("t{host}");
            let application = StandinApplication::start(&id, SocketAddr::new(vm, application_port))
                .await
                .expect("a loopback address");
            let settings = SettingsEntry {
                vm,
                ports,
                service,
                target: application.address(),
                store: store.address(),
                link_mbps: 1_000.0,
                memory_mb: DEFAULT_MEMORY_MB,
                grace_s: 4,
            };
            let name = format!("fescuestack-restart-{}-{host}.json", std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, settings.value().to_string()).expect("a writable directory");
            let record = TargetRecord::new(application.address(), service).with_capacity(SLOTS);
            store.put(&target_key(&id), record.value());
            let mut node = NodeProcess::new(vm, application, path);
            node.start();
            nodes.push(node);
        }
        let application = nodes[0].application.clone();
        application.set_rate_limit(Some(RATE_LIMIT));
        application.set_processing_time(Duration::from_millis(1_000));
        let entry = SocketAddr::new(nodes[1].vm, ports[0]);
        let end = Instant::now() + Duration::from_secs(16);
        let callers: Vec<_> = (0..2 * SLOTS as usize)
            .map(|caller| task::spawn(send_requests(caller, entry, end)))
            .collect();
        // The number of runs every 100 ms, from a moment at which the limit has been known for long.
        task::sleep(Duration::from_secs(6)).await;
        let mut samples = Vec::new();
        while Instant::now() < end {
            samples.push(application.runs().len());
            if samples.len() == 30 {
                nodes[0].signal("-KILL");
            }
            if nodes[0].has_ended() {
                nodes[0].start();
            }
            task::sleep(Duration::from_millis(100)).await;
        }
        for caller in callers {
            caller.await;
        }
        let runs = samples.windows(40).map(|window| window[39] - window[0]).max();
        let runs = runs.expect("ten seconds of samples") as f64;
        // The rule of the platform for any 4 s.
        let allowed = 1.5 * RATE_LIMIT * 4.0 + 5.0;
        assert!(runs <= allowed, "{runs} requests in 4 s at a limit of {RATE_LIMIT}/s");
        let last = samples[samples.len() - 1] - samples[50];
        assert!(last > 0, "no request was executed after the restart");
    });
}
