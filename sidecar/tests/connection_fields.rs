//! Which header fields the peers of a node can change or remove: by naming them in `Connection`, by
//! sending a field twice, or by sending a field that nodes set.

mod mesh;

use async_std::task;
use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use fescuestack_http::BufferedResponse;
use fescuestack_platform_standin::{
    ApplicationRun, RawEnding, RawResponse, request_id_and_signature,
};
use fescuestack_routing::OutageNotice;
use http::{HeaderMap, HeaderName, HeaderValue};

use mesh::{HOST, Mesh, TestCall};

const REQUEST_ID: &str = "x-fescuestack-request-id";
const CALLER_SERVICE: &str = "x-fescuestack-caller-service";
const DEADLINE_MS: &str = "x-fescuestack-deadline-ms";
const EXPECTED_INSTANCE: &str = "x-fescuestack-expected-instance";
const RESPONSE_SIGNATURE: &str = "x-fescuestack-response-signature";

/// Ways to name a field in `Connection`: alone, among others, in another case, and in a second field.
fn options_naming(field: &str) -> [Vec<String>; 4] {
    [
        vec![field.to_owned()],
        vec![format!("keep-alive, {field} ,x-unused")],
        vec![field.to_ascii_uppercase()],
        vec!["keep-alive".to_owned(), field.to_owned()],
    ]
}

/// The target of the service `alpha` is beside node 1, which the client of node 0 reaches over the
/// link between the nodes.
async fn start_mesh() -> Mesh {
    Mesh::start(&["beta", "alpha"]).await
}

/// Sends a request with further fields to a node.
async fn send_with(
    mesh: &Mesh,
    node: usize,
    id: &str,
    fields: &[(&str, &str)],
) -> BufferedResponse {
    let mut request = TestCall::post(id, "/a/pay/x", b"body").request();
    for (name, value) in fields {
        let name: HeaderName = name.parse().expect("a field name");
        request.headers.append(name, HeaderValue::from_str(value).expect("a field value"));
    }
    let mut connection = mesh.connect(node).await.expect("a connection");
    connection.exchange(&request, None).await.expect("a response")
}

fn values<'a>(headers: &'a HeaderMap, name: &str) -> Vec<&'a str> {
    headers.get_all(name).iter().filter_map(|value| value.to_str().ok()).collect()
}

fn find_run(mesh: &Mesh, id: &str) -> ApplicationRun {
    let runs = mesh.nodes[1].application.runs();
    let found = runs.iter().find(|run| run.id == id);
    found.unwrap_or_else(|| panic!("the target has not run {id}")).clone()
}

/// Guards against a client that removes fields which the target needs, by naming them in `Connection`:
/// targets ran requests without the calling service or the host, and rejected those without an ID.
#[test]
fn client_cannot_remove_fields_for_the_target() {
    task::block_on(async {
        let mesh = start_mesh().await;
        let kept = [
            "host",
            REQUEST_ID,
            CALLER_SERVICE,
            DEADLINE_MS,
            EXPECTED_INSTANCE,
            "content-type",
            "authorization",
        ];
        for node in 0..2 {
            for (field, options) in kept.map(|field| (field, options_naming(field))) {
                for (index, options) in options.into_iter().enumerate() {
                    let id = format!("{node}-{field}-{index}");
                    let mut fields =
                        vec![("content-type", "text/plain"), ("authorization", "token")];
                    fields.extend(options.iter().map(|option| ("connection", option.as_str())));
                    let response = send_with(&mesh, node, &id, &fields).await;
                    let (status, tags) =
                        (response.status.as_u16(), request_id_and_signature(&response.headers));
                    assert_eq!((status, tags), (200, (Some(&*id), Some("t2"))), "{options:?}");
                    let run = find_run(&mesh, &id);
                    let service = ["beta", "alpha"][node];
                    let expected = [
                        ("host", HOST),
                        (REQUEST_ID, &*id),
                        (CALLER_SERVICE, service),
                        (EXPECTED_INSTANCE, "t2"),
                        ("content-type", "text/plain"),
                        ("authorization", "token"),
                    ];
                    for (name, value) in expected {
                        assert_eq!(values(&run.headers, name), [value], "{name} with {options:?}");
                    }
                    assert!((1..=1_000).contains(&run.deadline_ms), "{}", run.deadline_ms);
                    assert_eq!(values(&run.headers, "connection"), [""; 0]);
                }
            }
        }
    });
}

/// Guards against forwarding fields that concern the client's connection alone.
#[test]
fn fields_of_the_clients_connection_are_removed() {
    task::block_on(async {
        let mesh = start_mesh().await;
        for node in 0..2 {
            let id = format!("hop-{node}");
            let fields = [
                ("connection", "x-first"),
                ("connection", "X-Second"),
                ("x-first", "1"),
                ("x-second", "2"),
                ("x-third", "3"),
                ("keep-alive", "timeout=5"),
            ];
            assert_eq!(send_with(&mesh, node, &id, &fields).await.status, 200);
            let run = find_run(&mesh, &id);
            for name in ["connection", "x-first", "x-second", "keep-alive"] {
                assert!(!run.headers.contains_key(name), "{name} was forwarded");
            }
            assert_eq!(values(&run.headers, "x-third"), ["3"]);
        }
    });
}

/// Guards against a target that removes its signature or the request ID from its responses, by naming
/// them in `Connection`.
#[test]
fn target_cannot_remove_fields_for_the_client() {
    task::block_on(async {
        let mesh = start_mesh().await;
        for field in [RESPONSE_SIGNATURE, REQUEST_ID, "content-type", "cache-control"] {
            for options in options_naming(field) {
                let options: String =
                    options.iter().map(|option| format!("connection: {option}\r\n")).collect();
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-type: text/plain\r\n\
                     cache-control: no-store\r\nx-unused: 1\r\n{options}"
                );
                let response = RawResponse::new(head.as_bytes(), b"ok", RawEnding::Close);
                mesh.nodes[1].application.set_raw_response(response);
                for node in 0..2 {
                    let received = mesh.send(node, &TestCall::get("g", "/a/")).await;
                    let received = received.expect("a response");
                    let tags = request_id_and_signature(&received.headers);
                    assert_eq!((received.status.as_u16(), &received.body[..]), (200, &b"ok"[..]));
                    assert_eq!(tags, (Some("g"), Some("t2")), "node {node}, {options}");
                    assert_eq!(values(&received.headers, "content-type"), ["text/plain"]);
                    assert_eq!(values(&received.headers, "cache-control"), ["no-store"]);
                    let is_named = options.contains("x-unused");
                    assert_eq!(received.headers.contains_key("x-unused"), !is_named);
                }
            }
        }
    });
}

/// Guards against a second copy of a field that a node sets: the target would take one of the two.
#[test]
fn second_fields_do_not_reach_the_target() {
    task::block_on(async {
        let mesh = start_mesh().await;
        for node in 0..2 {
            let id = format!("second-{node}");
            let fields = [
                (CALLER_SERVICE, "another"),
                (DEADLINE_MS, "90000"),
                (EXPECTED_INSTANCE, "t9"),
                (EXPECTED_INSTANCE, "t8"),
            ];
            assert_eq!(send_with(&mesh, node, &id, &fields).await.status, 200);
            let run = find_run(&mesh, &id);
            assert_eq!(values(&run.headers, CALLER_SERVICE), [["beta", "alpha"][node]]);
            assert_eq!(values(&run.headers, EXPECTED_INSTANCE), ["t2"]);
            let deadlines = values(&run.headers, DEADLINE_MS);
            assert_eq!(deadlines.len(), 1, "{deadlines:?}");
            assert!(run.deadline_ms <= 1_000, "{deadlines:?}");
        }
    });
}

/// Guards against a request with two hosts or IDs, of which the node uses one and the target another.
#[test]
fn ambiguous_requests_are_refused() {
    task::block_on(async {
        let mesh = start_mesh().await;
        for node in 0..2 {
            for (name, value) in [("host", "other.example"), (REQUEST_ID, "other")] {
                let response = send_with(&mesh, node, "ambiguous", &[(name, value)]).await;
                assert_eq!(response.status, 400, "two fields {name}");
            }
        }
        assert!(mesh.nodes[1].application.runs().is_empty());
    });
}

/// Guards against a request that is routed by the host of its absolute URI and reaches the target without a
/// host, or no target at all.
#[test]
fn host_of_an_absolute_uri_reaches_the_target() {
    task::block_on(async {
        let mesh = start_mesh().await;
        for node in 0..2 {
            let id = format!("absolute-{node}");
            let mut request = TestCall::get(&id, &format!("http://{HOST}/a/x?q=1")).request();
            request.headers.remove("host");
            let mut connection = mesh.connect(node).await.expect("a connection");
            let response = connection.exchange(&request, None).await.expect("a response");
            assert_eq!(response.status, 200);
            let run = find_run(&mesh, &id);
            assert_eq!(values(&run.headers, "host"), [HOST]);
            assert_eq!(run.request_line, "GET /a/x?q=1");
        }
    });
}

/// Guards against a client that forges the messages of nodes: a call with the report of an ended target
/// was taken for such a report, so that the target got no more calls, and the call was lost.
#[test]
fn clients_cannot_forge_messages_of_nodes() {
    task::block_on(async {
        let mesh = start_mesh().await;
        let notice = OutageNotice { node_start: u64::MAX, changes: 1, is_down: true };
        let report = ("t2", None::<u64>, notice, Vec::<u64>::new());
        let report = postcard::to_stdvec(&report).expect("a report");
        let report = BASE64_STANDARD_NO_PAD.encode(report);
        let names = ["outage", "sync", "call", "warmup", "reply", "completed"];
        for node in 0..2 {
            let id = format!("forged-{node}");
            let fields = names.map(|name| (format!("fescuestack-{name}"), report.as_str()));
            let fields = fields.each_ref().map(|(name, value)| (name.as_str(), *value));
            assert_eq!(send_with(&mesh, node, &id, &fields).await.status, 200);
            let run = find_run(&mesh, &id);
            for (name, _) in fields {
                assert!(!run.headers.contains_key(name), "{name} reached the target");
            }
        }
    });
}
