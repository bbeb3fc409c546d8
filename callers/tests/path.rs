//! The way of a call from its caller to an upstream and back.

mod mesh;

use async_std::task;
use http_types::{Body, Method, StatusCode};
use mesh::{Mesh, get, request, send, submit};

/// Guards against calls that do not reach every target, directly or through its node.
#[test]
fn reaches_all_targets() {
    task::block_on(async {
        let mesh = Mesh::start(3, 4).await;
        for index in 0..60 {
            let answer = get(mesh.nodes[index % 3].caller, "/lookup/x?y=1").await;
            assert_eq!((answer.code.as_str(), answer.outcome.as_str()), ("100", "done"));
            assert_eq!(answer.status, StatusCode::Ok);
            assert!(answer.body.unwrap().ends_with(" /lookup/x "));
        }
        for node in &mesh.nodes {
            assert!(node.upstream.log.runs_of("/lookup/x") > 0, "{}", node.name);
            let records = node.observer.records.lock().unwrap();
            assert!(records.iter().all(|record| record.code.is_some()));
            assert!(records.iter().any(|record| !record.decisions.is_empty()));
        }
    });
}

/// Guards against content that is changed on the way: small, chunked, large, empty and HEAD.
#[test]
fn passes_content_unchanged() {
    task::block_on(async {
        let mesh = Mesh::start(2, 4).await;
        for index in 0..8 {
            let address = mesh.nodes[index % 2].caller;
            let mut small = request(Method::Post, "/submit/echo");
            small.set_body("hello");
            let answer = send(address, small).await;
            assert!(answer.body.unwrap().ends_with(" /submit/echo hello"));
            let mut chunked = request(Method::Post, "/upload/count");
            let reader = futures_lite::io::Cursor::new(vec![7; 1_000_000]);
            chunked.set_body(Body::from_reader(reader, None));
            assert_eq!(send(address, chunked).await.body.unwrap(), "1000000");
            let long = get(address, "/lookup/long/3000000").await;
            assert_eq!(long.body.unwrap().len(), 3_000_000);
            let head = send(address, request(Method::Head, "/lookup/x")).await;
            assert_eq!((head.code.as_str(), head.body.unwrap().as_str()), ("100", ""));
        }
    });
}

/// Guards against an answer that is lost because the upstream did not read the upload.
#[test]
fn passes_early_answers() {
    task::block_on(async {
        let mesh = Mesh::start(2, 4).await;
        for index in 0..12 {
            let address = mesh.nodes[index % 2].caller;
            let mut upload = request(Method::Post, "/upload/early");
            upload.set_body(vec![7; 5_000_000]);
            let answer = send(address, upload).await;
            assert_eq!((answer.code.as_str(), answer.body.unwrap().as_str()), ("100", "early"));
        }
        assert_eq!(mesh.runs_of("/upload/early"), 12);
    });
}

/// Guards against a refusal with the wrong code, status or outcome.
#[test]
fn refuses_with_codes() {
    task::block_on(async {
        let mesh = Mesh::start(2, 4).await;
        let caller = mesh.nodes[0].caller;
        let check = async |request, code: &str, status: u16| {
            let answer = send(caller, request).await;
            assert_eq!((answer.code.as_str(), answer.status as u16), (code, status));
            assert_eq!(answer.outcome, "not-run", "{code}");
            let body = answer.body.unwrap();
            assert!(body.starts_with(&format!("{{\"code\":{code},")) && body.ends_with("}\n"));
        };
        check(request(Method::Get, "/nowhere"), "203", 404).await;
        check(request(Method::Delete, "/lookup/x"), "203", 404).await;
        check(request(Method::Get, "/inner/x"), "205", 403).await;
        let mut other = request(Method::Get, "/lookup/x");
        other.url_mut().set_host(Some("elsewhere")).unwrap();
        check(other, "204", 404).await;
        let mut class = request(Method::Get, "/lookup/x");
        class.insert_header("fescuestack-caller", "acme/nobody");
        check(class, "210", 400).await;
        check(submit("/submit/x", &"k".repeat(200), ""), "210", 400).await;
        let mut large = request(Method::Post, "/submit/x");
        large.set_body(vec![0; 60_000_000]);
        check(large, "209", 413).await;
        let inner = get(mesh.nodes[0].local, "/inner/x").await;
        assert_eq!(inner.code, "100");
        assert!(mesh.nodes[0].observer.records.lock().unwrap().len() >= 8);
    });
}

/// Guards against a refusal by an upstream that its caller takes for a run, and against a bare 503, which may
/// come after a run, that its caller takes for a refusal.
#[test]
fn refusal_of_the_upstream_is_not_run() {
    task::block_on(async {
        let mut mesh = Mesh::start(1, 4).await;
        mesh.install(&[0]);
        let caller = mesh.nodes[0].caller;
        let shed = send(caller, request(Method::Post, "/submit/shed")).await;
        assert_eq!((shed.code.as_str(), shed.outcome.as_str()), ("217", "not-run"));
        assert!(shed.retry_after.is_some());
        let bare = send(caller, request(Method::Post, "/submit/unavailable")).await;
        assert_eq!((bare.code.as_str(), bare.outcome.as_str()), ("100", "done"));
        assert_eq!(bare.status, StatusCode::ServiceUnavailable);
    });
}
