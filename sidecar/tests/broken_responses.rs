//! What clients get when a target sends bytes that are no valid response, beside the client's node
//! and behind another node.

mod mesh;

use async_std::task;
use fescuestack_platform_standin::{RawEnding, RawResponse, request_id_and_signature};

use mesh::{Mesh, TestCall};

/// Number of calls with each response.
const CALLS: usize = 5;

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
            let received = mesh.send(node, &TestCall::get("g", "/a/")).await;
            let received = received.expect("a response of the node");
            let (_, signature) = request_id_and_signature(&received.headers);
            let received = (u16::from(received.status), signature, received.body.len());
            assert_eq!(received, (502, None, 0), "node {node} forwarded {head:?}");
        }
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
