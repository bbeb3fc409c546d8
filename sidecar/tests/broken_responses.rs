//! What clients get when a target sends bytes that are no valid response, beside the client's node
//! and behind another node.

mod mesh;

use std::time::Duration;

use async_std::task;
use fescuestack_platform_standin::{
    CONFIG_KEY, RawEnding, RawResponse, RouteEntry, config_value_with_limit,
    request_id_and_signature,
};

use mesh::{HOST, Mesh, TestCall};

/// Number of calls with each response.
const CALLS: usize = 5;

/// More than the socket buffers hold, so that the upload is still being written when its response
/// ends.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;

const UPLOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Two nodes with a target of the service `alpha` beside the second one, which sends `response`. Node
/// 1 calls the target beside it, and node 0 the target behind another node.
async fn start_mesh(response: RawResponse) -> Mesh {
    let mesh = Mesh::start(&["beta", "alpha"]).await;
    mesh.nodes[1].application.set_raw_response(response);
    mesh
}

/// Checks that the clients of both nodes get a failure of the node's own, without the target's
/// signature and body. The response has `head`, the tags that mark it as the target's, and `body`.
async fn assert_not_forwarded(head: &str, body: &[u8], ending: RawEnding) {
    let mesh = start_mesh(RawResponse::new(head.as_bytes(), body, ending)).await;
    for node in 0..2 {
        for _ in 0..CALLS {
            assert_lost(&mesh, node, &TestCall::get("g", "/a/"), head).await;
        }
    }
}

async fn assert_lost(mesh: &Mesh, node: usize, call: &TestCall, head: &str) {
    let received = mesh.send(node, call).await.expect("a response of the node");
    let (_, signature) = request_id_and_signature(&received.headers);
    let received = (u16::from(received.status), signature, received.body.len());
    assert_eq!(received, (502, None, 0), "node {node} forwarded {head:?}");
}

/// Allows long uploads on a route of the service `alpha`.
async fn allow_uploads(mesh: &Mesh) {
    let (service, timeout) = ("alpha", UPLOAD_TIMEOUT);
    let route = |prefix, route_type| RouteEntry { prefix, route_type, service, timeout };
    let routes = [route("/long/", "upload"), route("/a/", "safe")];
    mesh.store.put(CONFIG_KEY, config_value_with_limit(2, HOST, &routes, UPLOAD_BYTES));
    for node in 0..mesh.nodes.len() {
        mesh::eventually("the configuration is active", async || {
            mesh.status(node).await["version"] == 2
        })
        .await;
    }
}

/// Guards against forwarding a response whose status is not one of HTTP.
#[test]
fn statuses_outside_of_http_are_not_forwarded() {
    task::block_on(async {
        for status in ["000", "099", "600", "999"] {
            let framed = format!("HTTP/1.1 {status} Trouble\r\ncontent-length: 4\r\n");
            assert_not_forwarded(&framed, b"body", RawEnding::KeepOpen).await;
            let until_end = format!("HTTP/1.1 {status} Trouble\r\n");
            assert_not_forwarded(&until_end, b"body", RawEnding::Close).await;
        }
    });
}

/// Guards against forwarding the part of a response that arrived before its connection was reset,
/// while the request was still being written. Each call is an upload, which must run at most once.
#[test]
fn responses_that_a_reset_breaks_off_are_not_forwarded() {
    task::block_on(async {
        for (status, part_bytes) in [(200, 4), (200, 300_000), (500, 4), (500, 300_000)] {
            let head = format!("HTTP/1.1 {status} Reason\r\n");
            let body = vec![b'b'; part_bytes];
            let response = RawResponse::new(head.as_bytes(), &body, RawEnding::Reset);
            let mesh = start_mesh(response).await;
            allow_uploads(&mesh).await;
            for node in 0..2 {
                for index in 0..CALLS {
                    let id = format!("u{node}-{index}");
                    let mut upload = TestCall::post(&id, "/long/", &vec![b'u'; UPLOAD_BYTES]);
                    upload.timeout_ms = UPLOAD_TIMEOUT.as_millis() as u64;
                    assert_lost(&mesh, node, &upload, &head).await;
                    let runs = mesh.nodes[1].application.runs();
                    assert_eq!(runs.iter().filter(|run| run.id == id).count(), 1);
                    assert_lost(&mesh, node, &TestCall::get("g", "/a/"), &head).await;
                }
            }
        }
    });
}

/// Guards against forwarding a response whose lines another parser splits differently.
#[test]
fn heads_with_invalid_line_ends_are_not_forwarded() {
    task::block_on(async {
        for head in ["HTTP/1.1 200 OK\ncontent-length: 4\n", "HTTP/1.1 200 OK\r\nx: y\nz: w\r\n"] {
            assert_not_forwarded(head, b"body", RawEnding::Close).await;
        }
    });
}

/// Guards against forwarding a response with the body that one of several framings yields.
#[test]
fn ambiguous_framings_are_not_forwarded() {
    const CHUNKS: &[u8] = b"4\r\nbody\r\n0\r\n\r\n";
    task::block_on(async {
        for fields in [
            "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
        ] {
            let head = format!("HTTP/1.1 200 OK\r\n{fields}");
            assert_not_forwarded(&head, CHUNKS, RawEnding::KeepOpen).await;
        }
    });
}

/// Guards against forwarding a response in whose head the name of a field has a blank or a control
/// byte.
#[test]
fn names_with_blanks_or_control_bytes_are_not_forwarded() {
    task::block_on(async {
        for name in ["x y", " x", "x ", "x\t", "x\x01", "x\0", "x\x7f", "content-length "] {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n{name}: 2\r\n");
            assert_not_forwarded(&head, b"body", RawEnding::KeepOpen).await;
        }
    });
}

/// Guards against forwarding a chunked body whose trailer is no list of fields.
#[test]
fn damaged_trailers_are_not_forwarded() {
    task::block_on(async {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n";
        for trailer in ["no colon", "x y: z", "x: \x01"] {
            let body = format!("4\r\nbody\r\n0\r\n{trailer}\r\n\r\n");
            assert_not_forwarded(head, body.as_bytes(), RawEnding::KeepOpen).await;
        }
    });
}

/// Guards against forwarding a body with a content coding, which no client asks for.
#[test]
fn encoded_bodies_are_not_forwarded() {
    task::block_on(async {
        for (status, coding) in [(200, "gzip"), (200, "identity"), (500, "br")] {
            let head = format!(
                "HTTP/1.1 {status} Reason\r\ncontent-length: 4\r\ncontent-encoding: {coding}\r\n"
            );
            assert_not_forwarded(&head, b"body", RawEnding::KeepOpen).await;
        }
    });
}
