//! Targets that are cold: calls to them are limited, also when a target or its node starts again.

mod mesh;

use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_platform_standin::{
    CONFIG_KEY, StandinApplication, StoreMode, TargetRecord, target_key,
};

use mesh::{Mesh, TestCall, eventually};

/// Requests per second that a cold target accepts in these tests.
const COLD_RATE: usize = 10;

/// Bound on the requests that a cold target gets in any second: the rate times 1, which is the default
/// of the factor, and a slack of 8.
const BOUND: usize = COLD_RATE + 8;

/// Configuration with a limit on calls to cold targets.
fn config_with_warmup(version: u64) -> String {
    mesh::config_with_warmup(version, COLD_RATE)
}

async fn start(services: &[&str]) -> Mesh {
    let mesh = Mesh::start(services).await;
    for node in &mesh.nodes {
        node.application.set_cold_time(Duration::ZERO);
    }
    mesh.store.put(CONFIG_KEY, config_with_warmup(2));
    for index in 0..mesh.nodes.len() {
        eventually("the target is known to be warm", async || {
            let status = mesh.status(index).await;
            status["version"] == 2 && status["target"]["cold_ms"] == 0
        })
        .await;
    }
    mesh
}

/// Sends requests to all nodes by turns, one each 4 ms, and returns how many were answered with 200.
async fn send_for(mesh: &Mesh, path: &str, time: Duration) -> usize {
    let started = Instant::now();
    let mut calls = Vec::new();
    for index in 0.. {
        if started.elapsed() >= time {
            break;
        }
        let node = index % mesh.nodes.len();
        let mut connection = mesh.connect(node).await.expect("a connection");
        let request = TestCall::get(&format!("w{index}"), path).request();
        calls.push(task::spawn(async move { connection.exchange(&request, None).await }));
        task::sleep(Duration::from_millis(4)).await;
    }
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.is_ok_and(|response| response.status == 200));
    }
    served
}

/// Largest number of requests that arrived in any second after `from`.
fn max_per_second(application: &StandinApplication, from: Instant) -> usize {
    let arrivals = application.arrivals();
    let second = Duration::from_secs(1);
    let in_second = |first: &Instant| {
        arrivals.iter().filter(|at| **at >= *first && **at < *first + second).count()
    };
    arrivals.iter().filter(|at| **at >= from).map(in_second).max().unwrap_or(0)
}

/// Guards against a target that comes back cold after a crash, under the id that it had and without
/// contact to the store, and gets all calls at once.
#[test]
fn crashed_target_is_paced_when_it_is_back() {
    task::block_on(async {
        let mesh = start(&["beta", "alpha"]).await;
        let application = &mesh.nodes[1].application;
        let warm = send_for(&mesh, "/a/", Duration::from_millis(1_000)).await;
        assert!(warm > BOUND * 2, "{warm} requests in a second while it was warm");
        mesh.store.set_mode(StoreMode::Unavailable);
        application.set_crash_body("crash");
        let _ = mesh.send(0, &TestCall::post("c", "/a/", b"crash")).await;
        task::sleep(Duration::from_millis(500)).await;
        let returned = Instant::now();
        let restarted = StandinApplication::start("t2", application.address())
            .await
            .expect("the address is free again");
        restarted.set_cold_time(Duration::from_millis(2_500));
        let served = send_for(&mesh, "/a/", Duration::from_millis(2_400)).await;
        let most = max_per_second(&restarted, returned);
        assert!(most <= BOUND, "{most} requests in a second, {served} served");
        assert!(served >= COLD_RATE, "the cold target got {served} requests");
        let health_checks =
            restarted.runs().iter().filter(|run| run.request_line.contains("/health")).count();
        assert!((1..=2).contains(&health_checks), "{health_checks} health checks");
        task::sleep(Duration::from_millis(500)).await;
        let served = send_for(&mesh, "/a/", Duration::from_millis(1_000)).await;
        assert!(served > BOUND * 2, "{served} requests in a second after it has warmed up");
    });
}

/// Guards against a running target that turns cold, as its entry says, and gets what it got before.
#[test]
fn running_target_that_turns_cold_is_paced() {
    task::block_on(async {
        let mesh = start(&["beta", "alpha"]).await;
        let application = &mesh.nodes[1].application;
        application.set_cold_time(Duration::from_secs(5));
        let record = TargetRecord::new(application.address(), "alpha");
        let record = record.with_sequence(2).with_cold_time(5.0);
        mesh.store.put(&target_key("t2"), record.value());
        eventually("the target counts as cold", async || {
            mesh.status(1).await["target"]["cold_ms"] != 0
        })
        .await;
        let from = Instant::now();
        send_for(&mesh, "/a/", Duration::from_millis(2_000)).await;
        let most = max_per_second(application, from);
        assert!(most <= BOUND, "{most} requests in a second");
    });
}
