//! Second requests for slow calls, through real nodes.

mod mesh;

use std::time::Duration;

use async_std::task;
use fescuestack_platform_standin::ApplicationMode;
use fescuestack_sidecar::{HedgingPolicy, NodePolicy};

use mesh::{Mesh, TestCall, eventually};

/// Starts two targets of one service, and sends so many requests that their usual time is known.
async fn measured_mesh(policy: NodePolicy) -> Mesh {
    let mesh = Mesh::start_with_policy(&[("alpha", 1_000.0), ("alpha", 1_000.0)], policy).await;
    for index in 0..200 {
        let response = mesh.send(0, &TestCall::get(&format!("m{index}"), "/a/")).await;
        assert_eq!(response.expect("a response").status, 200);
    }
    mesh
}

fn hedging() -> NodePolicy {
    NodePolicy { hedging: Some(HedgingPolicy { max_ratio: 1.0 }), ..NodePolicy::default() }
}

/// Returns the counters of second requests.
async fn metrics(mesh: &Mesh) -> String {
    let response = mesh.send_to_ready_port(0, "/metrics").await.expect("a response");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with("fescuestack_hedges"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the value of a counter of second requests.
async fn hedges(mesh: &Mesh, event: &str) -> u64 {
    let text = metrics(mesh).await;
    let event = format!("event=\"{event}\"");
    let lines = text.lines();
    let values =
        lines.filter(|line| line.contains(&event)).filter_map(|line| line.rsplit(' ').next());
    values.map(|value| value.parse::<u64>().expect("a count")).sum()
}

/// Guards against a second answer that does not win over a slow target, and against a target that works
/// on after the other one has answered. Without second requests these calls would time out.
#[test]
fn second_answer_wins_and_the_first_run_is_cancelled() {
    task::block_on(async {
        let mesh = measured_mesh(hedging()).await;
        let slow = &mesh.nodes[1].application;
        slow.set_processing_time(Duration::from_secs(3));
        let measured = slow.runs().len();
        let won = hedges(&mesh, "won").await;
        let mut sent = 0;
        while slow.runs().len() == measured {
            assert!(sent < 100, "no request reached the slow target");
            let call = TestCall::get(&format!("s{sent}"), "/a/");
            assert_eq!(mesh.send(0, &call).await.expect("a response").status, 200);
            sent += 1;
        }
        assert!(hedges(&mesh, "won").await > won, "the second answer did not win");
        let cancelled = hedges(&mesh, "cancelled").await;
        assert_eq!(cancelled, hedges(&mesh, "sent").await, "a run was not cancelled");
        // Its slot is free long before the run would have ended.
        eventually("the first run is cancelled", async || {
            mesh.status(1).await["target"]["running"] == 0
        })
        .await;
        task::sleep(Duration::from_millis(3_200)).await;
        let runs = slow.runs();
        assert!(runs[measured..].iter().all(|run| !run.finished), "the slow target worked on");
    });
}

/// Guards against an error that wins while the other target still works on the request.
#[test]
fn error_does_not_win_while_the_other_target_works() {
    task::block_on(async {
        let mesh = measured_mesh(hedging()).await;
        let mut round = 0;
        while hedges(&mesh, "failed").await == 0 {
            assert!(round < 15, "no second request failed:\n{}", metrics(&mesh).await);
            // The target that was slow last is avoided, so that the request begins at the other one.
            let slow = &mesh.nodes[round % 2].application;
            let failing = &mesh.nodes[(round + 1) % 2].application;
            slow.set_processing_time(Duration::from_millis(300));
            failing.set_mode(ApplicationMode::Fail);
            let call = TestCall::get(&format!("e{round}"), "/a/");
            assert_eq!(mesh.send(0, &call).await.expect("a response").status, 200);
            // Fast calls add to the budget again, and to what is known of both targets.
            slow.set_processing_time(Duration::ZERO);
            failing.set_mode(ApplicationMode::Serve);
            for index in 0..50 {
                let call = TestCall::get(&format!("f{round}-{index}"), "/a/");
                assert_eq!(mesh.send(0, &call).await.expect("a response").status, 200);
            }
            round += 1;
        }
    });
}

/// Guards against second requests of requests that may run once, or where nobody has asked for them.
#[test]
fn payments_and_default_settings_get_no_second_request() {
    task::block_on(async {
        for (policy, call) in [
            (hedging(), TestCall::post("p", "/a/pay/", b"x")),
            (NodePolicy::default(), TestCall::get("g", "/a/")),
        ] {
            let mesh = measured_mesh(policy).await;
            let count =
                || mesh.nodes.iter().map(|node| node.application.runs().len()).sum::<usize>();
            let (before, sent) = (count(), hedges(&mesh, "sent").await);
            for node in &mesh.nodes {
                node.application.set_processing_time(Duration::from_millis(600));
            }
            assert_eq!(mesh.send(0, &call).await.expect("a response").status, 200);
            assert_eq!(count(), before + 1, "{}", call.path);
            assert_eq!(hedges(&mesh, "sent").await, sent);
        }
    });
}
