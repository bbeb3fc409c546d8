//! Graceful shutdown of a node while it has calls.

mod mesh;

use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_http::within;
use fescuestack_platform_standin::CONFIG_KEY;

use mesh::{Mesh, TestCall, config_with, eventually};

/// A stopping node is not ready, completes the requests that it has and those that still arrive,
/// and exits.
#[test]
fn stop_completes_all_requests() {
    task::block_on(async {
        let mut mesh = Mesh::start(&["alpha", "alpha"]).await;
        mesh.nodes[0].application.set_processing_time(Duration::from_millis(700));
        mesh.nodes[1].application.set_processing_time(Duration::from_millis(700));
        mesh.request_stop(0);
        let node_task = mesh.take_task(0);
        let started = Instant::now();
        eventually("the node is not ready", async || !mesh.is_ready(0).await).await;
        let mut served = 0;
        while started.elapsed() < Duration::from_millis(2_000) {
            let response = mesh.send(0, &TestCall::get("s", "/a/")).await.expect("a response");
            assert_eq!(response.status, 200);
            served += 1;
        }
        assert!(served > 1);
        node_task.await;
        assert!(
            started.elapsed() < Duration::from_secs(6),
            "the stop took longer than the grace period"
        );
    });
}

/// Guards against cutting off a call at the end of the first grace period when the platform has
/// requested the stop again: the grace period starts again at each request.
#[test]
fn second_stop_request_extends_the_grace() {
    task::block_on(async {
        let mut mesh = Mesh::start(&["alpha"]).await;
        let slow = config_with(2, &[("/s/", "alpha")], Duration::from_secs(10));
        mesh.store.put(CONFIG_KEY, slow);
        mesh.eventually_served(0, "/s/").await;
        mesh.nodes[0].application.set_processing_time(Duration::from_millis(7_000));
        let mut call = TestCall::get("long", "/s/");
        call.timeout_ms = 10_000;
        let mut connection = mesh.connect(0).await.expect("a node");
        let long_call = task::spawn(async move {
            connection.exchange(&call.request(), None).await.map(|response| response.status)
        });
        task::sleep(Duration::from_millis(100)).await;
        mesh.request_stop(0);
        task::sleep(Duration::from_millis(3_000)).await;
        mesh.request_stop(0);
        mesh.take_task(0).await;
        // The process would exit now and cut off what is still in progress.
        let answered = within(Duration::from_millis(100), long_call).await;
        assert_eq!(answered.expect("the node waits for the call").expect("a response"), 200);
    });
}

/// Guards against treating a call from another node as silent when the target's node has only
/// announced to close the connection and still waits for the call.
#[test]
fn stop_cuts_off_no_call_of_another_node() {
    task::block_on(async {
        let mut mesh = Mesh::start(&["alpha", "beta"]).await;
        let slow = config_with(2, &[("/s/", "alpha")], Duration::from_secs(10));
        mesh.store.put(CONFIG_KEY, slow);
        mesh.eventually_served(1, "/s/").await;
        // Longer than a stopping node accepts calls, and longer than a silence of a second.
        mesh.nodes[0].application.set_processing_time(Duration::from_millis(5_000));
        let mut call = TestCall::get("long", "/s/");
        call.timeout_ms = 10_000;
        let mut connection = mesh.connect(1).await.expect("a node");
        let long_call = task::spawn(async move {
            connection.exchange(&call.request(), None).await.map(|response| response.status)
        });
        task::sleep(Duration::from_millis(100)).await;
        mesh.request_stop(0);
        // By now the stopping node has announced to close the link, which the next call finds out.
        task::sleep(Duration::from_millis(3_300)).await;
        let refused = mesh.send(1, &TestCall::get("next", "/s/")).await.expect("a response");
        assert_eq!(refused.status, 503);
        mesh.take_task(0).await;
        let answered = within(Duration::from_millis(100), long_call).await;
        assert_eq!(answered.expect("the node waits for the call").expect("a response"), 200);
    });
}

/// Guards against a node that exits while a call is in progress and closes the client's connection
/// without a response, and against one that leaves another node waiting for a reply.
#[test]
fn calls_in_progress_at_the_end_of_the_grace_are_answered() {
    task::block_on(async {
        let mut mesh = Mesh::start(&["alpha", "beta"]).await;
        let slow = config_with(2, &[("/s/", "alpha")], Duration::from_secs(12));
        mesh.store.put(CONFIG_KEY, slow);
        for node in [0, 1] {
            mesh.eventually_served(node, "/s/").await;
        }
        mesh.nodes[0].application.set_processing_time(Duration::from_millis(9_000));
        let mut calls = Vec::new();
        for node in [0, 1] {
            let mut call = TestCall::post("long", "/s/pay/", b"1");
            call.timeout_ms = 12_000;
            let mut connection = mesh.connect(node).await.expect("a node");
            calls.push(task::spawn(async move {
                let response = connection.exchange(&call.request(), None).await;
                response.expect("a response").status
            }));
        }
        task::sleep(Duration::from_millis(100)).await;
        mesh.request_stop(0);
        mesh.take_task(0).await;
        // The process would exit now.
        for call in calls {
            let answered = within(Duration::from_millis(100), call).await;
            assert_eq!(answered.expect("a response before the exit"), 502);
        }
    });
}

/// Sends `call` to a node, and returns the status of the response and the time that it took.
async fn timed_status(mesh: &Mesh, node: usize, call: &TestCall) -> (u16, Duration) {
    let started = Instant::now();
    let response = mesh.send(node, call).await.expect("a response");
    if response.status == 503 {
        assert!(response.headers.contains_key("retry-after"), "{:?}", response.headers);
    }
    (response.status.as_u16(), started.elapsed())
}

/// Guards against a stopping node that takes a call, passes it on and exits before its response: the
/// connection was closed without one, for requests that must not be repeated, too.
#[test]
fn calls_that_may_outlast_the_node_are_refused_at_once() {
    task::block_on(async {
        let mut mesh = Mesh::start(&["alpha"]).await;
        let slow = config_with(2, &[("/s/", "alpha")], Duration::from_secs(10));
        mesh.store.put(CONFIG_KEY, slow);
        mesh.eventually_served(0, "/s/").await;
        mesh.nodes[0].application.set_processing_time(Duration::from_millis(4_500));
        let runs = mesh.nodes[0].application.runs().len();
        // An idle node exits before the last calls are sent.
        let mut first = TestCall::get("first", "/s/");
        first.timeout_ms = 10_000;
        let mut connection = mesh.connect(0).await.expect("a node");
        let first = task::spawn(async move { connection.exchange(&first.request(), None).await });
        task::sleep(Duration::from_millis(100)).await;
        mesh.request_stop(0);
        let node_task = mesh.take_task(0);
        for delay in [100, 1_400, 1_000] {
            task::sleep(Duration::from_millis(delay)).await;
            let long_calls = [TestCall::get("g", "/s/"), TestCall::post("p", "/s/pay/", b"1")];
            for mut call in long_calls {
                call.timeout_ms = 10_000;
                let (status, taken) = timed_status(&mesh, 0, &call).await;
                assert_eq!(status, 503);
                assert!(taken < Duration::from_millis(300), "refused after {taken:?}");
            }
        }
        node_task.await;
        assert_eq!(first.await.expect("a response").status, 200);
        assert_eq!(mesh.nodes[0].application.runs().len(), runs + 1, "a refused call has run");
    });
}

/// Guards against calls of other nodes that a stopping node takes and breaks off, and against a
/// target that stands idle while its node stops.
#[test]
fn long_calls_avoid_a_stopping_node_and_short_ones_do_not() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "alpha", "beta"]).await;
        let slow = config_with(2, &[("/s/", "alpha")], Duration::from_secs(10));
        mesh.store.put(CONFIG_KEY, slow);
        mesh.eventually_served(2, "/s/").await;
        let runs_of = |mesh: &Mesh| mesh.nodes[0].application.runs().len();
        mesh.request_stop(0);
        task::sleep(Duration::from_millis(200)).await;
        for (timeout_ms, is_long) in [(10_000, true), (1_000, false)] {
            let before = runs_of(&mesh);
            for number in 0..30 {
                let id = format!("c{number}");
                let calls = [TestCall::get(&id, "/s/"), TestCall::post(&id, "/s/pay/", b"1")];
                for mut call in calls {
                    call.timeout_ms = timeout_ms;
                    assert_eq!(timed_status(&mesh, 2, &call).await.0, 200);
                }
            }
            assert_eq!(runs_of(&mesh) == before, is_long, "calls of {timeout_ms} ms");
        }
    });
}

/// Guards against a call that waits in the queue when the stop begins and is started too late.
#[test]
fn queued_calls_that_may_outlast_the_node_are_refused_at_once() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        let slow = config_with(2, &[("/s/", "alpha")], Duration::from_secs(10));
        mesh.store.put(CONFIG_KEY, slow);
        mesh.eventually_served(0, "/s/").await;
        mesh.nodes[0].application.set_processing_time(Duration::from_millis(1_500));
        let application = mesh.nodes[0].application.clone();
        let runs = application.runs().len();
        // Two more than the target has slots.
        let mut calls = Vec::new();
        for number in 0..6 {
            let mut call = TestCall::get(&format!("q{number}"), "/s/");
            call.timeout_ms = 10_000;
            let mut connection = mesh.connect(0).await.expect("a node");
            calls.push(task::spawn(async move {
                let outcome = connection.exchange(&call.request(), None).await;
                (outcome.expect("a response").status, Instant::now())
            }));
        }
        task::sleep(Duration::from_millis(300)).await;
        assert_eq!(application.runs().len(), runs + 4, "two calls wait");
        let stopped_at = Instant::now();
        mesh.request_stop(0);
        let mut statuses = Vec::new();
        for call in calls {
            let (status, at) = call.await;
            statuses.push(status);
            let waited = at - stopped_at;
            assert!(status == 200 || waited < Duration::from_millis(300), "after {waited:?}");
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 200, 200, 503, 503]);
        assert_eq!(application.runs().len(), runs + 4, "a refused call has run");
    });
}
