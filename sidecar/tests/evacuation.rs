//! Evacuations of data centres, under load and with failures of the store.

mod mesh;

use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_platform_standin::{CONFIG_KEY, StandinApplication, StoreMode, target_key};
use serde_json::{Value, json};

use mesh::{Mesh, TestCall, config, eventually};

/// Time from the store's acknowledgement after which an evacuated target gets nothing (`evac_s`).
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Time in which nodes that follow the store have received a change.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Bound on the requests that a cold target gets in any second: 10 times 1, which is the default of
/// the factor, and a slack of 8.
const COLD_BOUND: usize = 18;

const HERE: &str = "op/evacuate/here";
const THERE: &str = "op/evacuate/there";

/// Starts two nodes with targets of one service in `here`, and one in `there`. Cold targets accept 10
/// requests a second.
async fn start() -> Mesh {
    let mut mesh = Mesh::start(&["alpha", "alpha"]).await;
    mesh.add_node_in("there", "alpha", 1_000.0).await;
    let text = config(2, &[("/a/", "alpha")]);
    let mut value: Value = serde_json::from_str(&text).expect("JSON");
    for cluster in value["clusters"].as_array_mut().expect("clusters") {
        cluster["warmup_s"] = json!(6);
        cluster["warmup_per_s"] = json!(10);
    }
    for node in &mesh.nodes {
        node.application.set_cold_time(Duration::ZERO);
    }
    mesh.store.put(CONFIG_KEY, value.to_string());
    for index in 0..3 {
        eventually("the node knows all targets, and its own to be warm", async || {
            let status = mesh.status(index).await;
            status["version"] == 2
                && status["targets"] == 3
                && status["lost_nodes"] == json!([])
                && status["target"]["cold_ms"] == 0
        })
        .await;
    }
    mesh
}

async fn await_evacuated(mesh: &Mesh, count: usize) {
    for index in 0..mesh.nodes.len() {
        eventually("the node knows the evacuations", async || {
            mesh.status(index).await["evacuated"] == count
        })
        .await;
    }
}

/// Sends requests to all nodes by turns, one each 10 ms: half of what a target with 4 slots can run at
/// 20 ms each. Returns the number of those that were sent and
/// of those that were answered with 200.
async fn send_for(mesh: &Mesh, time: Duration) -> (usize, usize) {
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < time {
        let index = calls.len();
        let mut connection = mesh.connect(index % mesh.nodes.len()).await.expect("a connection");
        let request = TestCall::get(&format!("e{index}"), "/a/").request();
        calls.push(task::spawn(async move { connection.exchange(&request, None).await }));
        task::sleep(Duration::from_millis(10)).await;
    }
    let (sent, mut served) = (calls.len(), 0);
    for call in calls {
        served += usize::from(call.await.is_ok_and(|response| response.status == 200));
    }
    (sent, served)
}

fn arrivals_since(application: &StandinApplication, from: Instant) -> Vec<Instant> {
    application.arrivals().into_iter().filter(|at| *at >= from).collect()
}

/// Guards against requests that reach an evacuated data centre, are lost with the change, or break off
/// there, and against a rush to its targets, which are cold when it is taken back.
#[test]
fn evacuated_data_centre_gets_nothing_until_it_is_taken_back() {
    task::block_on(async {
        let mesh = start().await;
        for node in &mesh.nodes {
            node.application.set_processing_time(Duration::from_millis(20));
        }
        send_for(&mesh, Duration::from_millis(500)).await;
        mesh.store.put(HERE, "{}");
        let acknowledged = Instant::now();
        let (sent, served) = send_for(&mesh, SETTLE_TIME).await;
        assert_eq!(served, sent, "served during the change");
        await_evacuated(&mesh, 1).await;
        assert!(acknowledged.elapsed() < EVACUATION_LIMIT);
        let evacuated = Instant::now();
        let (sent, served) = send_for(&mesh, Duration::from_millis(500)).await;
        assert_eq!(served, sent, "served from elsewhere, also for callers of the data centre");
        for node in 0..2 {
            let application = &mesh.nodes[node].application;
            assert_eq!(arrivals_since(application, evacuated), [], "target {node}");
            assert!(application.runs().iter().all(|run| run.finished), "broken off");
            application.set_cold_time(Duration::from_secs(3));
        }
        let taken_back = Instant::now();
        mesh.store.remove(HERE);
        send_for(&mesh, Duration::from_millis(2_500)).await;
        for node in 0..2 {
            let arrivals = arrivals_since(&mesh.nodes[node].application, taken_back);
            let second = Duration::from_secs(1);
            let in_second = |first: &Instant| {
                arrivals.iter().filter(|at| **at >= *first && **at < *first + second).count()
            };
            let most = arrivals.iter().map(in_second).max().unwrap_or(0);
            assert!((1..=COLD_BOUND).contains(&most), "{most} in a second at target {node}");
        }
    });
}

/// Guards against missing the beginning or the end of an evacuation while the store is away, against
/// mixing up two of them, and against refusals that promise nothing when no target is left.
#[test]
fn evacuations_overlap_an_outage_of_the_store() {
    task::block_on(async {
        let mesh = start().await;
        mesh.store.put(HERE, "{}");
        await_evacuated(&mesh, 1).await;
        mesh.store.set_mode(StoreMode::Unavailable);
        mesh.store.put(THERE, "{}");
        task::sleep(SETTLE_TIME).await;
        for index in 0..3 {
            assert_eq!(mesh.status(index).await["evacuated"], 1, "kept while the store is away");
        }
        mesh.store.set_mode(StoreMode::Healthy);
        await_evacuated(&mesh, 2).await;
        let response = mesh.send(0, &TestCall::get("none", "/a/")).await.expect("a response");
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
        mesh.store.set_mode(StoreMode::Unavailable);
        mesh.store.remove(HERE);
        task::sleep(Duration::from_millis(600)).await;
        mesh.store.set_mode(StoreMode::Healthy);
        await_evacuated(&mesh, 1).await;
        let from = Instant::now();
        mesh.eventually_served(2, "/a/").await;
        assert_eq!(arrivals_since(&mesh.nodes[2].application, from), [], "still evacuated");
    });
}

/// Guards against an evacuation that ends with a restore of the store from an older copy or with the
/// removal of a target, and against a node that starts meanwhile and does not know of it.
#[test]
fn evacuation_outlasts_a_restore_and_a_change_of_targets() {
    task::block_on(async {
        let mut mesh = start().await;
        let copy = mesh.store.copy();
        mesh.store.put(HERE, "{}");
        await_evacuated(&mesh, 1).await;
        mesh.store.remove(&target_key("t2"));
        let from = Instant::now();
        mesh.add_node("alpha", 1_000.0).await;
        eventually("the new node knows the evacuation", async || {
            mesh.is_ready(3).await && mesh.status(3).await["evacuated"] == 1
        })
        .await;
        for node in 0..4 {
            mesh.eventually_served(node, "/a/").await;
        }
        assert_eq!(arrivals_since(&mesh.nodes[3].application, from), [], "the new target");
        mesh.store.set_mode(StoreMode::Unavailable);
        task::sleep(Duration::from_millis(600)).await;
        mesh.store.restore(copy);
        mesh.store.set_mode(StoreMode::Healthy);
        eventually("the node has read the restored store", async || {
            mesh.status(0).await["era"] == 1
        })
        .await;
        task::sleep(SETTLE_TIME).await;
        await_evacuated(&mesh, 1).await;
        mesh.store.put(HERE, "{}");
        task::sleep(SETTLE_TIME).await;
        mesh.store.remove(HERE);
        await_evacuated(&mesh, 0).await;
    });
}
