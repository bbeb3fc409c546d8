//! Runs a mesh of nodes and checks what happens to calls that runs of a target make.

mod mesh;

use std::time::Duration;

use async_std::task;
use fescuestack_platform_standin::ApplicationMode;
use futures_lite::future;
use mesh::{Mesh, TestCall};

/// Time for which a client waits, in ms. It is shorter than the timeout of the routes.
const CLIENT_TIMEOUT_MS: u64 = 900;

/// Runs after which a node must have learned that they make calls.
const MAX_RUNS: u32 = 200;

/// Sends a request to `/a/` at the first node and, while it runs, two calls to `/b/` that expire with
/// it. Returns the status of the request and of the last call.
async fn run_with_calls(mesh: &Mesh, name: &str) -> (u16, u16) {
    let run = TestCall { timeout_ms: CLIENT_TIMEOUT_MS, ..TestCall::get(name, "/a/") };
    let run = async { mesh.send(0, &run).await.expect("a response").status.as_u16() };
    let calls = async {
        let wait = Duration::from_millis(15);
        task::sleep(wait).await;
        let timeout_ms = CLIENT_TIMEOUT_MS - wait.as_millis() as u64;
        let call =
            |part: &str| TestCall { timeout_ms, ..TestCall::get(&format!("{name}-{part}"), "/b/") };
        let (first, second) = (call("first"), call("second"));
        let (_, last) = future::zip(mesh.send(0, &first), mesh.send(0, &second)).await;
        last.expect("a response").status.as_u16()
    };
    future::zip(run, calls).await
}

async fn metric(mesh: &Mesh, name: &str, label: &str) -> bool {
    let response = mesh.send_to_ready_port(0, "/metrics").await.expect("a response");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    text.lines().any(|line| line.starts_with(name) && line.contains(label))
}

/// Guards against runs that are started while the service that they call rejects all calls, and
/// against a limit that stays once the service has recovered.
#[test]
fn runs_are_limited_while_their_calls_are_rejected() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        mesh.nodes[0].application.set_processing_time(Duration::from_millis(60));
        let mut runs = 0;
        while !metric(&mesh, "fescuestack_run_calls", "end=\"answered\"").await {
            runs += 1;
            assert!(runs <= MAX_RUNS, "no call was attributed to a run");
            run_with_calls(&mesh, &format!("learn-{runs}")).await;
        }
        mesh.nodes[1].application.set_mode(ApplicationMode::Refuse);
        let mut rounds = 0;
        while !metric(&mesh, "fescuestack_door_refusals", "reason=\"calls\"").await {
            rounds += 1;
            assert!(rounds <= MAX_RUNS, "no request was refused for want of calls");
            let names = [format!("short-{rounds}-1"), format!("short-{rounds}-2")];
            future::zip(run_with_calls(&mesh, &names[0]), run_with_calls(&mesh, &names[1])).await;
        }
        // One request at a time is always run, which shows when there is room.
        mesh.nodes[1].application.set_mode(ApplicationMode::Serve);
        let (run, call) = run_with_calls(&mesh, "again").await;
        assert_eq!((run, call), (200, 200));
    });
}
