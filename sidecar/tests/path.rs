//! Requests through real nodes, and what clients and targets observe when components fail.

mod mesh;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use fescuestack_platform_standin::{
    ApplicationMode, CONFIG_KEY, TargetRecord, request_id_and_signature, target_key,
};
use serde_json::{Value, json};

use mesh::{Mesh, TestCall, config_with, eventually};

/// A request to any node reaches a target of its service, with no changes but the headers that the
/// node sets, and the target's response returns unchanged.
#[test]
fn request_reaches_its_service() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        let response = mesh.send(0, &TestCall::post("p1", "/b/pay/x?q=1", b"body")).await;
        let response = response.expect("a response");
        assert_eq!((response.status.as_u16(), &response.body[..]), (200, &b"answer"[..]));
        assert_eq!(request_id_and_signature(&response.headers), (Some("p1"), Some("t2")));
        let runs = mesh.nodes[1].application.runs();
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].request_line, "POST /b/pay/x?q=1");
        assert_eq!(runs[0].caller_service, "alpha", "the caller's service was not set by the node");
        assert_eq!(runs[0].body_bytes, 4);
        assert!(runs[0].deadline_ms <= 1_000, "the remaining time exceeds the route's timeout");
        assert!(mesh.nodes[0].application.runs().is_empty());
    });
}

/// Guards against a wrong status for refusals: 404 without a route, 503 with `Retry-After` without
/// a target, 413 for a body that is too long.
#[test]
fn refusals_have_their_status() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        let response = mesh.send(0, &TestCall::get("n", "/none/")).await.expect("a response");
        assert_eq!(response.status, 404);
        let response = mesh.send(0, &TestCall::get("m", "/b/")).await.expect("a response");
        assert_eq!(response.status, 503);
        let retry_after = response.headers["retry-after"].to_str().expect("text");
        assert!(retry_after.parse::<f64>().is_ok_and(|seconds| seconds > 0.0), "{retry_after}");
        let oversized = TestCall::post("l", "/a/up/", &vec![0; 2 * 1024 * 1024]);
        let response = mesh.send(0, &oversized).await.expect("a response");
        assert_eq!(response.status, 413);
    });
}

/// Guards against executing a payment again after its response was lost, and against failing a
/// lookup that another target can serve.
#[test]
fn only_idempotent_requests_are_retried() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "alpha"]).await;
        for node in &mesh.nodes {
            node.application.set_mode(ApplicationMode::Drop);
        }
        let response =
            mesh.send(0, &TestCall::post("p", "/a/pay/", b"x")).await.expect("a response");
        assert_eq!(response.status, 502);
        let runs: usize = mesh.nodes.iter().map(|node| node.application.runs().len()).sum();
        assert_eq!(runs, 1, "a payment was executed more than once");

        // Completed calls add to the retry budget.
        mesh.nodes[0].application.set_mode(ApplicationMode::Serve);
        mesh.nodes[1].application.set_mode(ApplicationMode::Serve);
        for index in 0..40 {
            let response = mesh.send(0, &TestCall::get(&format!("s{index}"), "/a/")).await;
            assert_eq!(response.expect("a response").status, 200);
        }
        mesh.nodes[1].application.set_mode(ApplicationMode::Drop);
        for index in 0..3 {
            let response = mesh.send(0, &TestCall::get(&format!("g{index}"), "/a/")).await;
            assert_eq!(response.expect("a response").status, 200, "request {index}");
        }
    });
}

/// Guards against reporting a rejected request as executed, and against failing one that another
/// target can serve.
#[test]
fn rejected_request_is_sent_to_another_target() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "alpha"]).await;
        for index in 0..40 {
            mesh.send(0, &TestCall::get(&format!("s{index}"), "/a/")).await.expect("a response");
        }
        mesh.nodes[0].application.set_mode(ApplicationMode::Refuse);
        for index in 0..3 {
            let call = TestCall::post(&format!("p{index}"), "/a/pay/", b"x");
            assert_eq!(mesh.send(0, &call).await.expect("a response").status, 200);
        }
        mesh.nodes[1].application.set_mode(ApplicationMode::Refuse);
        let response =
            mesh.send(0, &TestCall::post("p", "/a/pay/", b"x")).await.expect("a response");
        assert_eq!(response.status, 503);
    });
}

/// Guards against forwarding a success that lacks the target's signature.
#[test]
fn unsigned_success_is_not_forwarded() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        mesh.nodes[0].application.set_mode(ApplicationMode::Unsigned);
        let response = mesh.send(0, &TestCall::get("u", "/a/")).await.expect("a response");
        assert_eq!(response.status, 502);
    });
}

/// Guards against requests that are held beyond their timeout, and against targets that work on
/// after it.
#[test]
fn slow_target_is_cut_at_the_timeout() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        mesh.nodes[1].application.set_processing_time(Duration::from_secs(3));
        let started = Instant::now();
        let response = mesh.send(0, &TestCall::get("t", "/b/")).await.expect("a response");
        assert_eq!(response.status, 504);
        let elapsed = started.elapsed();
        assert!(
            elapsed >= Duration::from_millis(950) && elapsed < Duration::from_millis(1_250),
            "{elapsed:?}"
        );
        task::sleep(Duration::from_millis(2_500)).await;
        assert!(
            !mesh.nodes[1].application.runs()[0].finished,
            "the target worked on after the timeout"
        );
    });
}

/// Encodes a request, for connections that carry several requests at a time.
fn raw_request(id: &str, path: &str) -> String {
    let request = TestCall::get(id, path).request();
    let mut text = format!("GET {path} HTTP/1.1\r\n");
    for (name, value) in &request.headers {
        text += &format!("{name}: {}\r\n", value.to_str().expect("plain text"));
    }
    text + "\r\n"
}

/// Guards against work for a client that has disconnected, also on a pipelined request.
#[test]
fn client_disconnect_cancels_its_request() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        mesh.nodes[1].application.set_processing_time(Duration::from_millis(900));
        let head = |id| raw_request(id, "/b/");
        let mut stream = TcpStream::connect(mesh.address(0, 0)).await.expect("a node");
        let both = head("c1") + &head("c2");
        stream.write_all(both.as_bytes()).await.expect("the node reads");
        eventually("the request runs", async || mesh.nodes[1].application.runs().len() == 1).await;
        drop(stream);
        task::sleep(Duration::from_millis(1_200)).await;
        let runs = mesh.nodes[1].application.runs();
        assert!(!runs[0].finished, "the target worked for a client that had disconnected");
        assert_eq!(runs.len(), 1, "a request of a disconnected client was sent to the target");
    });
}

/// Responses to pipelined requests are sent in the order of the requests.
#[test]
fn pipelined_requests_are_answered_in_order() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        let mut stream = TcpStream::connect(mesh.address(0, 0)).await.expect("a node");
        let mut requests = String::new();
        for index in 0..5 {
            requests += &raw_request(&format!("q{index}"), &format!("/a/{index}"));
        }
        stream.write_all(requests.as_bytes()).await.expect("the node reads");
        let mut text = String::new();
        let mut buffer = [0; 4096];
        while text.matches("answer").count() < 5 {
            let count = stream.read(&mut buffer).await.expect("answers");
            assert!(count > 0, "the connection ended: {text}");
            text += &String::from_utf8_lossy(&buffer[..count]);
        }
        let positions: Vec<_> = (0..5).map(|index| text.find(&format!(": q{index}\r\n"))).collect();
        assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{text}");
    });
}

/// Guards against calls to a draining target, and against calls to an address that now belongs to
/// another target.
#[test]
fn draining_and_replaced_targets_get_no_requests() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "alpha"]).await;
        mesh.list_target("t2", 1, TargetRecord::draining);
        task::sleep(Duration::from_millis(500)).await;
        for index in 0..20 {
            let response = mesh.send(1, &TestCall::get(&format!("d{index}"), "/a/")).await;
            assert_eq!(response.expect("a response").status, 200);
        }
        assert!(mesh.nodes[1].application.runs().is_empty(), "a draining target got a request");

        // Another target is listed at the address of the first one, which responds with 421.
        mesh.store.remove(&target_key("t1"));
        mesh.list_target("other", 0, |record| record.with_start_offset(1));
        task::sleep(Duration::from_millis(500)).await;
        let before = mesh.nodes[0].application.request_count();
        for index in 0..5 {
            let response = mesh.send(0, &TestCall::get(&format!("w{index}"), "/a/")).await;
            assert_eq!(response.expect("a response").status, 503);
        }
        let requests = mesh.nodes[0].application.request_count() - before;
        assert!(requests <= 1, "{requests} requests reached a target that is not the listed one");
    });
}

/// Guards against a call that waits for a silent node until its deadline, and against that call
/// being counted on the next connection, which would then count as silent as well.
#[test]
fn calls_to_a_silent_node_fail_early() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        mesh.add_silent_node("beta").await;
        let slow = config_with(2, &[("/s/", "beta")], Duration::from_secs(4));
        mesh.store.put(CONFIG_KEY, slow);
        eventually("the target is known", async || mesh.status(0).await["targets"] == 2).await;
        eventually("version 2 is active", async || mesh.status(0).await["version"] == 2).await;
        let mut call = TestCall::post("s", "/s/pay/", b"once");
        call.timeout_ms = 4_000;
        let started = Instant::now();
        assert_eq!(mesh.send(0, &call).await.expect("a response").status, 502);
        // A silent link is closed after 0.9 s, which fails the call.
        assert!(started.elapsed() < Duration::from_millis(1_600), "{:?}", started.elapsed());
        let is_reachable = async || mesh.status(0).await["lost_nodes"] == json!([]);
        eventually("the link is open again", is_reachable).await;
        for _ in 0..15 {
            task::sleep(Duration::from_millis(100)).await;
            assert!(is_reachable().await, "a link without calls counts as silent");
        }
    });
}

/// Guards against uploads that saturate the slow link of one VM, and against a refusal during a
/// body that leaves the outcome unknown: each upload is either executed once and answered, or not
/// executed.
#[test]
fn uploads_stay_within_the_link_capacity() {
    task::block_on(async {
        let mesh = Mesh::start_with(&["alpha", "beta", "beta"], 7.0).await;
        let body = vec![1; 300_000];
        let mut uploads = Vec::new();
        for index in 0..12 {
            let call = TestCall::post(&format!("u{index}"), "/b/up/", &body);
            let mut connection = mesh.connect(0).await.expect("a node");
            uploads.push(task::spawn(async move {
                connection
                    .exchange(&call.request(), None)
                    .await
                    .expect("a response")
                    .status
                    .as_u16()
            }));
        }
        let mut statuses = Vec::new();
        for upload in uploads {
            let status = upload.await;
            assert!([200, 503].contains(&status), "{status}");
            statuses.push(status);
        }
        let served = statuses.iter().filter(|status| **status == 200).count();
        let runs: usize = mesh.nodes.iter().map(|node| node.application.runs().len()).sum();
        assert_eq!(runs, served, "{statuses:?}");
        if served < 2 {
            for index in 0..12 {
                let decided = mesh.send_to_ready_port(0, &format!("/explain/u{index}")).await;
                println!("u{index}: {:?}", decided.map(|response| response.body));
            }
        }
        assert!(served >= 2, "each of the two links can carry an upload: {statuses:?}");
        assert!(served < 12, "the links cannot carry all uploads, at 340 ms each: {statuses:?}");
        task::sleep(Duration::from_millis(500)).await;
        let later = TestCall::post("again", "/b/up/", &body);
        assert_eq!(mesh.send(0, &later).await.expect("a response").status, 200);
    });
}

/// Returns the initial flow-control window of a node, the bytes of a body that another node may
/// send before the call is accepted. It is announced when a connection opens.
async fn announced_window(address: SocketAddr) -> u32 {
    const SETTINGS: u8 = 4;
    const INITIAL_WINDOW: u16 = 4;
    let mut stream = TcpStream::connect(address).await.expect("a node");
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";
    stream.write_all(preface).await.expect("the node reads");
    let mut head = [0; 9];
    stream.read_exact(&mut head).await.expect("a frame");
    assert_eq!(head[3], SETTINGS, "the first frame holds the settings");
    let mut entries = vec![0; usize::from(u16::from_be_bytes([head[1], head[2]]))];
    stream.read_exact(&mut entries).await.expect("the settings");
    let entry = entries.chunks_exact(6).find(|entry| entry[..2] == INITIAL_WINDOW.to_be_bytes());
    let entry = entry.expect("the node states its window");
    u32::from_be_bytes([entry[2], entry[3], entry[4], entry[5]])
}

/// Guards against refused bodies that fill the link. A target was seen to refuse 22 of them per
/// second, which may take up a quarter of a link of 7 Mbit/s, or 875 bytes per ms.
#[test]
fn rejected_bodies_do_not_fill_the_link() {
    task::block_on(async {
        let slow = Mesh::start_with(&["alpha"], 7.0).await;
        assert!(22 * announced_window(slow.address(0, 1)).await <= 875 * 1_000 / 4);
        let fast = Mesh::start(&["alpha"]).await;
        assert!(
            announced_window(fast.address(0, 1)).await >= 1 << 20,
            "the window makes uploads wait for round trips"
        );
    });
}

/// Guards against a node that fails on bytes that are no request or on heads beyond the limit.
#[test]
fn garbage_does_not_stop_a_node() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        let garbage: [Vec<u8>; 4] = [
            vec![0; 1_000],
            b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\ncontent-length: x\r\n\r\n".to_vec(),
            [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 200_000]].concat(),
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
        ];
        for port in 0..3 {
            for bytes in &garbage {
                let address = mesh.address(0, port);
                let mut stream = TcpStream::connect(address).await.expect("a node");
                // The node may close the connection before everything is written.
                let _ = stream.write_all(bytes).await;
            }
        }
        let response = mesh.send(0, &TestCall::get("g", "/a/")).await.expect("a response");
        assert_eq!(response.status, 200);
    });
}

/// Guards against a request that crashes one target after another: after the third crash no node
/// sends it to a target, while other requests of its route are served.
#[test]
fn crashing_request_is_blocked_on_all_nodes() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "alpha", "beta", "beta", "beta", "beta"]).await;
        for node in &mesh.nodes {
            node.application.set_crash_body("crash");
        }
        let call = TestCall::post("x", "/b/pay/", b"crash");
        for _ in 0..3 {
            let response = mesh.send(0, &call).await.expect("a response");
            assert_eq!(response.status, 502);
            task::sleep(Duration::from_millis(400)).await;
        }
        let runs = || mesh.nodes.iter().map(|node| node.application.runs().len()).sum::<usize>();
        assert_eq!(runs(), 3);
        for node in 0..2 {
            assert_eq!(mesh.send(node, &call).await.expect("a response").status, 503);
        }
        assert_eq!(runs(), 3, "the request was sent to a target after its third crash");
        let other = TestCall::post("y", "/b/pay/", b"other");
        assert_eq!(mesh.send(1, &other).await.expect("a response").status, 200);
    });
}

/// Guards against sending a request on that crashes targets, because other requests were at work
/// there each time.
#[test]
fn crashing_request_is_blocked_among_others() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "alpha", "beta", "beta", "beta", "beta"]).await;
        for node in &mesh.nodes {
            node.application.set_crash_body("crash");
            node.application.set_processing_time(Duration::from_millis(300));
        }
        let crashing = TestCall::post("x", "/b/pay/", b"crash");
        let crashes = || {
            let runs = mesh.nodes.iter().flat_map(|node| node.application.runs());
            runs.filter(|run| run.request_line.starts_with("POST")).count()
        };
        for round in 0..3 {
            let mut others = Vec::new();
            for index in 0..12 {
                let mut connection = mesh.connect(0).await.expect("a node");
                let call =
                    TestCall::get(&format!("o{round}-{index}"), &format!("/b/{round}/{index}"));
                others.push(task::spawn(async move {
                    connection.exchange(&call.request(), None).await
                }));
            }
            task::sleep(Duration::from_millis(100)).await;
            assert_eq!(mesh.send(0, &crashing).await.expect("a response").status, 502);
            for other in others {
                other.await.expect("each request is answered");
            }
        }
        assert_eq!(crashes(), 3);
        for node in 0..2 {
            assert_eq!(mesh.send(node, &crashing).await.expect("a response").status, 503);
        }
        assert_eq!(crashes(), 3, "the request was sent to a target after its third crash");
    });
}

/// Guards against a node that has started after the crashes and sends the request on: at once, when
/// the node beside the target still knows of them, and later, when all of those have been replaced.
#[test]
fn started_node_learns_of_a_crashing_request() {
    task::block_on(async {
        let mut mesh = Mesh::start(&["alpha", "beta", "beta", "beta"]).await;
        for node in &mesh.nodes {
            node.application.set_crash_body("crash");
        }
        let call = TestCall::post("x", "/b/pay/", b"crash");
        for _ in 0..3 {
            // From a node of the service of those that are added, since the calling service is a part
            // of what makes two requests the same.
            assert_eq!(mesh.send(1, &call).await.expect("a response").status, 502);
            task::sleep(Duration::from_millis(400)).await;
        }
        // Two further nodes, with a healthy target each. The first one knows of the crashes by the
        // time the second one starts.
        for node in [4, 5] {
            mesh.add_node("beta", 1_000.0).await;
            mesh.nodes[node].application.set_crash_body("crash");
            eventually("the node is ready", async || mesh.is_ready(node).await).await;
            task::sleep(Duration::from_millis(1_500)).await;
            assert_eq!(mesh.send(node, &call).await.expect("a response").status, 503);
            assert_eq!(mesh.nodes[node].application.runs().len(), 0, "a target has run it");
        }
        mesh.add_node("beta", 1_000.0).await;
        // Its own target belongs to another service, so that the call goes to another node.
        mesh.list_target("t7", 6, |record| record);
        eventually("the node is ready", async || mesh.is_ready(6).await).await;
        // It may not have learned of the crashes yet.
        assert_eq!(mesh.send(6, &call).await.expect("a response").status, 503);
        let runs: usize = mesh.nodes.iter().map(|node| node.application.runs().len()).sum();
        assert_eq!(runs, 3, "the request was sent to a target after its third crash");
    });
}

/// Guards against metrics that are documented and not exported.
#[test]
fn documented_metrics_are_exported() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        mesh.send(0, &TestCall::get("m", "/a/")).await.expect("a response");
        let response = mesh.send_to_ready_port(0, "/metrics").await.expect("a response");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let page = include_str!("../../docs/OPERATIONS.md");
        let documented: Vec<_> = page
            .lines()
            .filter_map(|line| line.strip_prefix("| `fescuestack_"))
            .filter_map(|line| line.split('`').next())
            .collect();
        assert!(documented.len() >= 6, "the page lists {} metrics", documented.len());
        for name in documented {
            assert!(text.contains(&format!("fescuestack_{name}")), "{name} is missing:\n{text}");
        }
    });
}

/// Guards against blocking ordinary requests because several of them ran at a target when it
/// crashed. They have the same fingerprint, and each one used to be counted as a crash.
#[test]
fn requests_concurrent_with_a_crash_are_not_blocked() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta", "beta"]).await;
        for index in 0..20 {
            let response = mesh.send(0, &TestCall::get(&format!("w{index}"), "/b/")).await;
            assert_eq!(response.expect("a response").status, 200);
        }
        for node in &mesh.nodes {
            node.application.set_processing_time(Duration::from_millis(400));
        }
        mesh.nodes[1].application.set_crash_body("crash");
        mesh.nodes[2].application.set_crash_body("crash");
        let calls: Vec<_> =
            (0..8).map(|index| TestCall::get(&format!("r{index}"), "/b/")).collect();
        // Each call is sent before the next one starts; the responses are read later.
        let mut streams = Vec::new();
        for call in &calls {
            let mut stream = TcpStream::connect(mesh.address(0, 0)).await.expect("a node");
            let text = raw_request(&call.id, "/b/");
            stream.write_all(text.as_bytes()).await.expect("the node reads");
            streams.push(stream);
        }
        task::sleep(Duration::from_millis(100)).await;
        let response = mesh.send(0, &TestCall::post("c", "/b/pay/", b"crash")).await;
        assert_eq!(response.expect("a response").status, 502);
        for node in 0..3 {
            mesh.eventually_served(node, "/b/").await;
        }
    });
}

/// Guards against a failed request without a decision record, and against a status that differs
/// from the state of the node.
#[test]
fn status_and_explain_show_decisions() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta"]).await;
        let explain = async |id: &str| {
            mesh.send_to_ready_port(0, &format!("/explain/{id}")).await.expect("a response")
        };
        let record = async |id: &str| -> Value {
            serde_json::from_slice(&explain(id).await.body).expect("JSON")
        };
        let status = mesh.status(0).await;
        assert_eq!((&status["version"], &status["targets"]), (&json!(1), &json!(2)), "{status}");
        assert_eq!((&status["ready"], &status["lost_nodes"]), (&json!(true), &json!([])));
        mesh.send(0, &TestCall::get("served", "/a/")).await.expect("a response");
        mesh.send(0, &TestCall::get("lost-way", "/none/")).await.expect("a response");
        mesh.nodes[1].application.set_crash_body("crash");
        mesh.send(0, &TestCall::post("crashed", "/b/pay/", b"crash")).await.expect("a response");
        assert_eq!(
            explain("served").await.status,
            404,
            "a request answered at once is not recorded"
        );
        assert_eq!(record("lost-way").await["fault"], "no-route");
        let record = record("crashed").await;
        assert_eq!((&record["fault"], &record["service"]), (&json!("lost"), &json!("beta")));
        assert_eq!(record["attempts"][0]["target"], "t2", "{record}");
        assert_eq!(record["attempts"][0]["end"], "lost");
    });
}
