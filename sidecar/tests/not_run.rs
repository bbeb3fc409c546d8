//! Answers that state that a request has not run, beside the client's node and behind another node, and the
//! failures after which a node must not give one.

mod mesh;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use fescuestack_platform_standin::{
    ApplicationMode, RawEnding, RawResponse, StandinApplication, request_id_and_signature,
};
use http::{Method, StatusCode};

use mesh::{Mesh, TestCall};

/// Statuses by which clients know that their request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Requests in each case.
const CALLS: usize = 4;

/// Delay of late copies, within the processing time of the next request on the connection.
const LATE: Duration = Duration::from_millis(30);

/// Processing time of a target that sends late copies.
const PROCESSING_TIME: Duration = Duration::from_millis(120);

/// Number of runs of a request at all targets.
fn count_runs(mesh: &Mesh, id: &str) -> usize {
    let runs = mesh.nodes.iter().flat_map(|node| node.application.runs());
    runs.filter(|run| run.id == id).count()
}

/// Makes a target run its requests and answer with a failure that states something else.
fn fail_with(application: &StandinApplication, status: u16) {
    application.set_mode(ApplicationMode::Fail);
    application.set_failure_status(StatusCode::from_u16(status).expect("a status"));
}

/// Guards against passing on the status of a target that has run an unsafe request, and does not state
/// the opposite, to a client that takes it as a promise.
#[test]
fn failure_of_a_run_is_not_passed_on_as_a_promise() {
    task::block_on(async {
        let mesh = Mesh::start(&["beta", "alpha"]).await;
        for status in [503, 429, 408] {
            fail_with(&mesh.nodes[1].application, status);
            for node in 0..2 {
                for index in 0..CALLS {
                    let id = format!("failed-{status}-{node}-{index}");
                    let call = TestCall::post(&id, "/a/pay/", b"once");
                    let response = mesh.send(node, &call).await.expect("a response");
                    let (_, signature) = request_id_and_signature(&response.headers);
                    let received = (response.status.as_u16(), signature, response.body.len());
                    assert_eq!(received, (502, None, 0), "{id}");
                    assert_eq!(count_runs(&mesh, &id), 1, "{id}");
                }
            }
        }
    });
}

/// Guards against a fix that replaces the failures of a target which promise nothing.
#[test]
fn other_failures_of_a_run_are_passed_on() {
    task::block_on(async {
        let mesh = Mesh::start(&["beta", "alpha"]).await;
        for status in [500, 501, 502, 504, 400, 404, 409, 425] {
            fail_with(&mesh.nodes[1].application, status);
            for node in 0..2 {
                let id = format!("other-{status}-{node}");
                let call = TestCall::post(&id, "/a/pay/", b"once");
                let response = mesh.send(node, &call).await.expect("a response");
                let (_, signature) = request_id_and_signature(&response.headers);
                let received = (response.status.as_u16(), signature);
                assert_eq!(received, (status, Some("t2")), "{id}");
                assert_eq!(count_runs(&mesh, &id), 1, "{id}");
            }
        }
    });
}

/// Sends served requests, which add to the retry budget and restore the trust in a target.
async fn send_served(mesh: &Mesh, prefix: &str, count: usize) {
    for index in 0..count {
        let call = TestCall::get(&format!("{prefix}-{index}"), "/a/");
        assert_eq!(mesh.send(0, &call).await.expect("a response").status, 200);
    }
}

/// Guards against giving up an idempotent request that another target would serve, after one has run it
/// and answered with a status that would promise the opposite.
#[test]
fn idempotent_request_is_served_by_another_target() {
    task::block_on(async {
        for status in [503, 429, 408] {
            let mesh = Mesh::start(&["beta", "alpha", "alpha"]).await;
            let failing = &mesh.nodes[1].application;
            let mut retried = 0;
            for index in 0..12 {
                failing.set_mode(ApplicationMode::Serve);
                send_served(&mesh, &format!("served-{status}-{index}"), 30).await;
                fail_with(failing, status);
                let id = format!("again-{status}-{index}");
                let response = mesh.send(0, &TestCall::get(&id, "/a/")).await.expect("a response");
                assert_eq!(response.status, 200, "{id}");
                retried += count_runs(&mesh, &id) - 1;
            }
            assert!(retried > 0, "no request was sent to the failing target");
        }
    });
}

/// Guards against sending a target as many requests as before, because its answers are not passed on.
#[test]
fn status_that_is_not_passed_on_counts_as_a_failure_of_the_target() {
    task::block_on(async {
        // Without feedback, each of two targets gets half of the requests, with a standard deviation of 10.
        let (sent, limit) = (400, 200 - 3 * 10);
        for status in [500, 503, 429, 408] {
            let mesh = Mesh::start(&["beta", "alpha", "alpha"]).await;
            let failing = &mesh.nodes[1].application;
            send_served(&mesh, "first", 20).await;
            fail_with(failing, status);
            let before = failing.runs().len();
            for index in 0..sent {
                let call = TestCall::post(&format!("share-{index}"), "/a/pay/", b"once");
                mesh.send(0, &call).await.expect("a response");
            }
            let failed = failing.runs().len() - before;
            println!("{failed} of {sent} requests at the target that answers {status}");
            assert!(failed < limit, "{failed} requests at the target that answers {status}");
        }
    });
}

/// Guards against holding back a sound request as one that crashes targets, because its completed runs
/// were answered with a status that is not passed on.
#[test]
fn runs_whose_status_is_not_passed_on_have_completed() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha", "beta", "beta", "beta", "beta", "beta"]).await;
        for node in &mesh.nodes {
            node.application.set_crash_rule(|run, _| run.id == "crash");
            node.application.set_processing_time(Duration::from_millis(200));
            fail_with(&node.application, 503);
        }
        let sound = TestCall::post("sound", "/b/pay/y", b"");
        for _ in 0..3 {
            assert_eq!(mesh.send(0, &sound).await.expect("a response").status, 502);
            let mut pending = Vec::new();
            for _ in 0..15 {
                let mut connection = mesh.connect(0).await.expect("a connection");
                let request = sound.request();
                pending.push(task::spawn(async move { connection.exchange(&request, None).await }));
            }
            task::sleep(Duration::from_millis(100)).await;
            let crashing = TestCall::post("crash", "/b/pay/x", b"");
            assert_eq!(mesh.send(0, &crashing).await.expect("a response").status, 502);
            for answer in pending {
                answer.await.expect("a response");
            }
            task::sleep(Duration::from_millis(400)).await;
        }
        // The time after which a request that counts as crashing is held back for longer.
        task::sleep(Duration::from_secs(3)).await;
        for _ in 0..CALLS {
            let response = mesh.send(0, &sound).await.expect("a response");
            assert_eq!(response.status, 502, "a sound request was held back");
        }
    });
}

/// A target whose answers to HEAD and GET have the same head, and which sends a late copy of each answer to
/// the method of `copied`.
async fn replace_application(application: &StandinApplication, copied: &'static str) {
    application.crash().await;
    let listener = bind_eventually(application.address()).await;
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(serve_heads(stream, copied));
        }
    });
}

async fn bind_eventually(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => task::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn serve_heads(mut stream: TcpStream, copied: &'static str) {
    while let Some(head) = read_head(&mut stream).await {
        let method = head.split(' ').next().unwrap_or("").to_owned();
        let field = "x-fescuestack-request-id: ";
        let id = head.lines().find_map(|line| line.strip_prefix(field)).unwrap_or("").to_owned();
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\n{field}{id}\r\nx-fescuestack-response-signature: s\r\n\
             content-length: 6\r\n\r\n"
        );
        if method != "HEAD" {
            answer.push_str("answer");
        }
        if id.starts_with("slow") {
            task::sleep(PROCESSING_TIME).await;
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if method == copied {
            let mut stream = stream.clone();
            task::spawn(async move {
                task::sleep(LATE).await;
                // Fails if the node has closed the connection.
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    }
}

/// Reads the head of a request without a body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Sends a request and then a slow one, during which a copy of the answer to the first arrives.
async fn assert_served_after_copy(mesh: &Mesh, first: Method, second: Method) {
    replace_application(
        &mesh.nodes[1].application,
        if first == Method::HEAD { "HEAD" } else { "GET" },
    )
    .await;
    for node in 0..2 {
        for (id, method) in [("quick", &first), ("slow", &second)] {
            let call = TestCall { method: method.clone(), ..TestCall::get(id, "/a/") };
            let response = mesh.send(node, &call).await.expect("a response");
            let (id, _) = request_id_and_signature(&response.headers);
            let body = if *method == Method::HEAD { "" } else { "answer" };
            let received = (response.status.as_u16(), id, &*response.body);
            assert_eq!(
                received,
                (200, Some(&*call.id), body.as_bytes()),
                "{method} at node {node}"
            );
        }
    }
}

/// Guards against a late copy of an answer to HEAD, which is read with the bytes of the next answer as its
/// body.
#[test]
fn copied_answer_to_head_takes_no_bytes_of_the_next_answer() {
    task::block_on(async {
        let mesh = Mesh::start(&["beta", "alpha"]).await;
        assert_served_after_copy(&mesh, Method::HEAD, Method::GET).await;
    });
}

/// Guards against a late copy of an answer whose body is read as the head of the answer to HEAD.
#[test]
fn copied_answer_does_not_fail_a_head_request() {
    task::block_on(async {
        let mesh = Mesh::start(&["beta", "alpha"]).await;
        assert_served_after_copy(&mesh, Method::GET, Method::HEAD).await;
    });
}

/// Guards against passing on CONNECT, whose path is lost between nodes, so that a target would run another
/// request than the client sent.
#[test]
fn connect_is_not_passed_on() {
    task::block_on(async {
        let mesh = Mesh::start(&["beta", "alpha"]).await;
        for node in 0..2 {
            for (target, status) in [("/a/pay/x", "400"), ("mesh.example:80", "400")] {
                let mut stream = TcpStream::connect(mesh.address(node, 0)).await.expect("a node");
                let request = format!(
                    "CONNECT {target} HTTP/1.1\r\nHost: mesh.example\r\n\
                     X-Fescuestack-Request-Id: tunnel{node}\r\n\r\n"
                );
                stream.write_all(request.as_bytes()).await.expect("the node reads");
                let mut received = [0; 12];
                stream.read_exact(&mut received).await.expect("a response");
                assert_eq!(&received[9..], status.as_bytes(), "CONNECT {target} at node {node}");
            }
        }
        let runs = mesh.nodes.iter().flat_map(|node| node.application.runs());
        let runs: Vec<_> = runs.map(|run| run.request_line).collect();
        assert_eq!(runs, Vec::<String>::new());
    });
}

/// Time after which a request that was refused would have run if it were still queued or on its way.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Sends unsafe requests to both nodes at the same time, and then changes something with `change`. Returns
/// the statuses, after having checked that no request ran twice, and that none ran, then or later, that
/// was answered with a promise.
async fn assert_kept_under_load(
    mesh: &Mesh,
    case: &str,
    change: impl AsyncFnOnce(&Mesh),
) -> Vec<u16> {
    let mut pending = Vec::new();
    for index in 0..40 {
        let id = format!("{case}-{index}");
        let mut connection = mesh.connect(index % 2).await.expect("a connection");
        let request = TestCall::post(&id, "/a/pay/", b"once").request();
        let answer = task::spawn(async move { connection.exchange(&request, None).await });
        pending.push((id, answer));
    }
    change(mesh).await;
    let mut statuses = Vec::new();
    for (id, answer) in pending {
        statuses.push((id, answer.await.expect("a response").status.as_u16()));
    }
    task::sleep(SETTLE_TIME).await;
    for (id, status) in &statuses {
        let runs = count_runs(mesh, id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(!PROMISES.contains(status) || runs == 0, "{id} was answered with {status} and ran");
    }
    statuses.into_iter().map(|(_, status)| status).collect()
}

/// Two nodes, with a slow target of the service `alpha` beside the second one.
async fn start_slow_mesh() -> Mesh {
    let mesh = Mesh::start(&["beta", "alpha"]).await;
    mesh.nodes[1].application.set_processing_time(Duration::from_millis(300));
    mesh
}

fn count_refused(statuses: &[u16]) -> usize {
    statuses.iter().filter(|status| **status == 503).count()
}

/// Guards against a call that is sent to the target after the queue has refused it.
#[test]
fn call_that_the_queue_refuses_never_runs() {
    task::block_on(async {
        let mesh = start_slow_mesh().await;
        let statuses = assert_kept_under_load(&mesh, "queue", async |_| ()).await;
        assert!(count_refused(&statuses) > 0, "{statuses:?}");
        assert!(statuses.contains(&200), "{statuses:?}");
    });
}

/// Guards against a queued call that is sent to a target after it was refused because the target drains.
#[test]
fn call_that_a_draining_target_refuses_never_runs() {
    task::block_on(async {
        let mesh = start_slow_mesh().await;
        let drain = async |mesh: &Mesh| {
            task::sleep(Duration::from_millis(100)).await;
            mesh.list_target("t2", 1, |record| record.with_sequence(2).draining());
        };
        let statuses = assert_kept_under_load(&mesh, "drain", drain).await;
        assert!(count_refused(&statuses) > 0, "{statuses:?}");
    });
}

/// Guards against the statement that a call has not run which was at work at a target that ended, and
/// against sending queued ones after their refusal.
#[test]
fn call_at_a_target_that_ends_is_not_reported_as_not_run() {
    task::block_on(async {
        let mesh = start_slow_mesh().await;
        let end = async |mesh: &Mesh| {
            task::sleep(Duration::from_millis(100)).await;
            let application = &mesh.nodes[1].application;
            application.crash().await;
            task::sleep(Duration::from_millis(600)).await;
            application.restart().await.expect("the address is free");
        };
        let statuses = assert_kept_under_load(&mesh, "end", end).await;
        assert!(count_refused(&statuses) > 0, "{statuses:?}");
        assert!(statuses.contains(&502), "{statuses:?}");
    });
}

/// Guards against the statement that a call has not run which a stopping node breaks off, and against
/// running one that it has refused.
#[test]
fn call_at_a_node_that_stops_is_not_reported_as_not_run() {
    task::block_on(async {
        let mesh = start_slow_mesh().await;
        let stop = async |mesh: &Mesh| {
            task::sleep(Duration::from_millis(100)).await;
            mesh.request_stop(1);
        };
        assert_kept_under_load(&mesh, "stop", stop).await;
    });
}

/// Guards against running a request whose body arrives after it was answered with 408.
#[test]
fn request_whose_body_is_late_never_runs() {
    task::block_on(async {
        let mesh = Mesh::start(&["beta", "alpha"]).await;
        for node in 0..2 {
            let mut stream = TcpStream::connect(mesh.address(node, 0)).await.expect("a node");
            let head = format!(
                "POST /a/pay/ HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: 4\r\n\
                 X-Fescuestack-Request-Id: late{node}\r\nX-Fescuestack-Deadline-Ms: 200\r\n\r\non"
            );
            stream.write_all(head.as_bytes()).await.expect("the node reads");
            let mut received = [0; 12];
            stream.read_exact(&mut received).await.expect("a response");
            assert_eq!(&received[9..], b"408");
            // Fails if the node has closed the connection.
            let _ = stream.write_all(b"ce").await;
        }
        task::sleep(SETTLE_TIME).await;
        assert_eq!(count_runs(&mesh, "late0") + count_runs(&mesh, "late1"), 0);
    });
}

/// Guards against a target whose answer bears the note by which a node states that a call has not run:
/// numbers of a reply with the end `Busy` and `Rejected`, and zeros.
#[test]
fn target_cannot_state_the_end_of_a_call_for_its_node() {
    task::block_on(async {
        for note in ["AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "BQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"]
        {
            let mesh = Mesh::start(&["beta", "alpha"]).await;
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 6\r\nfescuestack-reply: {note}\r\n\
                 Connection: fescuestack-reply\r\n"
            );
            let response = RawResponse::new(head.as_bytes(), b"answer", RawEnding::KeepOpen);
            mesh.nodes[1].application.set_raw_response(response);
            for node in 0..2 {
                let call = TestCall::post(&format!("note{node}"), "/a/pay/", b"");
                let response = mesh.send(node, &call).await.expect("a response");
                assert_eq!((response.status.as_u16(), &*response.body), (200, &b"answer"[..]));
                assert!(!response.headers.contains_key("fescuestack-reply"));
                assert_eq!(count_runs(&mesh, &call.id), 1);
            }
        }
    });
}
