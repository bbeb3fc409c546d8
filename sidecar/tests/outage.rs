//! Real nodes whose target ends under load and comes back.

mod mesh;

use std::sync::Mutex;
use std::time::Duration;

use async_std::task;
use fescuestack_platform_standin::ApplicationMode;

use mesh::{Mesh, TestCall, eventually};

/// Keeps the texts of all log lines of the nodes, which run in this process.
struct LineLog(Mutex<Vec<String>>);

static LINES: LineLog = LineLog(Mutex::new(Vec::new()));

impl log::Log for LineLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        self.0.lock().expect("no panic while it is locked").push(record.args().to_string());
    }

    fn flush(&self) {}
}

impl LineLog {
    fn count(&self, text: &str) -> usize {
        let lines = self.0.lock().expect("no panic while it is locked");
        lines.iter().filter(|line| line.starts_with(text)).count()
    }
}

/// Returns the sum of a node's counters whose line starts with `name` and contains `label`.
async fn counter(mesh: &Mesh, node: usize, name: &str, label: &str) -> u64 {
    let response = mesh.send_to_ready_port(node, "/metrics").await.expect("a response");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(label));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

async fn down_attempts(mesh: &Mesh) -> Vec<u64> {
    let mut attempts = Vec::new();
    for node in 0..mesh.nodes.len() {
        attempts.push(counter(mesh, node, "fescuestack_attempts", "end=\"down\"").await);
    }
    attempts
}

async fn ends(mesh: &Mesh, node: usize) -> u64 {
    counter(mesh, node, "fescuestack_target_ends", "").await
}

/// Guards against a target that ends with many calls at work and takes further calls with it: each
/// node learns of the end from one message, sends the target none until it is back, and holds none of
/// the requests that were at work. Also guards against log lines for each of them.
#[test]
fn target_that_ends_gets_no_calls_until_it_is_back() {
    log::set_logger(&LINES).expect("the only logger");
    log::set_max_level(log::LevelFilter::Debug);
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta", "beta", "gamma"]).await;
        for index in 0..20 {
            mesh.send(0, &TestCall::get(&format!("w{index}"), "/b/")).await.expect("a response");
        }
        let [ended, other] = [1, 2].map(|node| &mesh.nodes[node].application);
        for application in [ended, other] {
            application.set_processing_time(Duration::from_millis(300));
        }
        let mut calls = Vec::new();
        for index in 0..12 {
            let mut connection = mesh.connect(0).await.expect("a node");
            let call = TestCall::get(&format!("r{index}"), &format!("/b/{index}"));
            calls.push(task::spawn(async move {
                connection.exchange(&call.request(), None).await.map(|response| response.status)
            }));
        }
        let running = async || ended.runs().iter().filter(|run| !run.finished).count() >= 3;
        eventually("several calls are at work at the target", running).await;
        ended.crash().await;
        for call in calls {
            call.await.expect("each call is answered");
        }
        for application in [ended, other] {
            application.set_processing_time(Duration::ZERO);
        }
        assert_eq!(ends(&mesh, 1).await, 1, "one end was recorded several times");
        assert!(LINES.count("exchange with the target failed") >= 3);
        eventually("all others get the message", async || {
            LINES.count("end of a target reported") >= 3
        })
        .await;

        let (received, before) = (ended.request_count(), down_attempts(&mesh).await);
        for round in 0..3 {
            for node in 0..mesh.nodes.len() {
                for index in 0..12 {
                    let id = format!("d{round}-{node}-{index}");
                    let call = TestCall::get(&id, &format!("/b/{index}"));
                    let response = mesh.send(node, &call).await.expect("a response");
                    assert_eq!(response.status, 200, "{id}");
                }
            }
        }
        assert_eq!(down_attempts(&mesh).await, before, "calls were sent to the node of the target");
        assert_eq!(ended.request_count(), received);

        ended.restart().await.expect("a free address");
        for node in [0, 3] {
            let received = ended.request_count();
            eventually("the target is used again", async || {
                mesh.send(node, &TestCall::get("b", "/b/")).await.expect("a response");
                ended.request_count() > received
            })
            .await;
        }
        assert_eq!(ends(&mesh, 1).await, 1);
        assert_eq!(LINES.count("end of a target reported"), 3, "one message for each other node");
        assert_eq!(LINES.count("cannot connect to the target"), 1);
        assert_eq!(LINES.count("request crashed a target"), 0, "one end makes none suspect");
        assert_eq!(counter(&mesh, 0, "fescuestack_held_requests", "").await, 0);
    });
}

/// Guards against taking a target out of use because it closes connections, as one does that is full.
#[test]
fn target_that_closes_connections_is_not_down() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        mesh.nodes[1].application.set_mode(ApplicationMode::Drop);
        for index in 0..8 {
            let call = TestCall::post(&format!("p{index}"), "/b/pay/", b"x");
            assert_eq!(mesh.send(0, &call).await.expect("a response").status, 502);
        }
        assert_eq!(ends(&mesh, 1).await, 0);
        mesh.nodes[1].application.set_mode(ApplicationMode::Serve);
        let response = mesh.send(0, &TestCall::get("g", "/b/")).await.expect("a response");
        assert_eq!(response.status, 200);
    });
}
