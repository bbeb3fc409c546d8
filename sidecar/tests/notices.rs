//! Targets that state a rate limit, or that they are leaving, in their responses.

mod mesh;

use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_platform_standin::StoreMode;

use mesh::{Mesh, TestCall, eventually};

/// Rate limit of the target, in requests per second.
const RATE_LIMIT: f64 = 5.0;

/// Time for which requests are sent as fast as they are answered.
const LOAD_TIME: Duration = Duration::from_millis(4_000);

/// Guards against nodes that send a target more than the rate it states, and against callers that
/// are not told when to retry.
#[test]
fn limited_target_gets_no_more_than_its_rate() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        let application = &mesh.nodes[0].application;
        application.set_rate_limit(Some(RATE_LIMIT));
        let response = mesh.send(1, &TestCall::get("first", "/a/")).await.expect("a response");
        assert_eq!(response.status, 200);
        let (before, started) = (application.runs().len(), Instant::now());
        let mut served = 0;
        while started.elapsed() < LOAD_TIME {
            for node in 0..2 {
                let response = mesh.send(node, &TestCall::get("l", "/a/")).await;
                let response = response.expect("a response");
                if response.status == 200 {
                    served += 1;
                    continue;
                }
                assert_eq!(response.status, 503);
                let retry_after = response.headers["retry-after"].to_str().expect("text");
                assert!(retry_after.parse::<f64>().is_ok_and(|seconds| seconds > 0.0));
                task::sleep(Duration::from_millis(10)).await;
            }
        }
        let runs = (application.runs().len() - before) as f64;
        // The rule of the platform for any 4 s.
        let allowed = 1.5 * RATE_LIMIT * 4.0 + 5.0;
        assert!(runs <= allowed, "{runs} requests in 4 s at a limit of {RATE_LIMIT}/s");
        assert!(f64::from(served) >= RATE_LIMIT * 2.0, "only {served} requests were served");

        // One response without the header ends the limit.
        application.set_rate_limit(None);
        eventually("the limit has ended", async || {
            let before = application.runs().len();
            for index in 0..20 {
                let response = mesh.send(1, &TestCall::get(&format!("e{index}"), "/a/")).await;
                response.expect("a response");
            }
            application.runs().len() - before == 20
        })
        .await;
    });
}

/// Guards against nodes that learn of a departure only from the store: a target that states it in a
/// response gets no more requests, also when its entry is written again.
#[test]
fn target_that_states_its_departure_gets_no_requests() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "alpha", "beta"]).await;
        mesh.store.set_mode(StoreMode::Unresponsive);
        mesh.store.abandon_pending_calls();
        let application = &mesh.nodes[0].application;
        application.set_leaving(true);
        eventually("a response has stated the departure", async || {
            mesh.send(2, &TestCall::get("d", "/a/")).await.expect("a response");
            application.request_count() > 0
        })
        .await;
        let check = async |moment: &str| {
            let before = application.request_count();
            for index in 0..60 {
                let call = TestCall::get(&format!("{moment}{index}"), "/a/");
                let response = mesh.send(index % 3, &call).await.expect("a response");
                assert_eq!(response.status, 200, "{moment}: request {index}");
            }
            assert_eq!(application.request_count(), before, "{moment}: requests were sent");
        };
        check("without the store").await;
        mesh.store.set_mode(StoreMode::Healthy);
        mesh.list_target("t1", 0, |record| record);
        task::sleep(Duration::from_millis(1_500)).await;
        check("listed again").await;
    });
}
