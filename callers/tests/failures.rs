//! Failures of upstreams, links and callers, seen by the callers.

mod mesh;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task;
use http_types::{Method, StatusCode};
use mesh::proxy::SilentProxy;
use mesh::{Mesh, PATIENCE_MS, eventually, get, request, send};

/// Guards against a second run, or a claim about the first one, when the upstream dies; against a
/// death that is reported more than once or without the requests that ran.
#[test]
fn upstream_dies_during_calls() {
    task::block_on(async {
        let mut mesh = Mesh::start(2, 4).await;
        mesh.install(&[0]);
        let caller = mesh.nodes[1].caller;
        let paths = ["/submit/1/hang", "/submit/2/hang", "/submit/3/hang"];
        let calls: Vec<_> = paths
            .iter()
            .map(|path| task::spawn(send(caller, request(Method::Post, path))))
            .collect();
        let log = mesh.nodes[0].upstream.log.clone();
        eventually("three runs", || paths.iter().all(|path| log.runs_of(path) == 1)).await;
        mesh.nodes[0].upstream.die().await;
        for call in calls {
            let answer = call.await;
            assert_eq!((answer.code.as_str(), answer.outcome.as_str()), ("302", "unknown"));
            assert_eq!(answer.status, StatusCode::BadGateway);
        }
        assert!(paths.iter().all(|path| mesh.runs_of(path) == 1));
        let deaths = mesh.nodes[0].observer.deaths.lock().unwrap().clone();
        assert_eq!(deaths.iter().map(Vec::len).collect::<Vec<_>>(), [3]);
        // A target's node and an entry node give a request the same fingerprint.
        let numbers: Vec<u64> = deaths[0].iter().map(|print| print.number()).collect();
        for node in &mesh.nodes {
            node.service.install_quarantine(&numbers);
            let answer = send(node.caller, request(Method::Post, paths[0])).await;
            assert_eq!((answer.code.as_str(), answer.outcome.as_str()), ("208", "not-run"));
        }
        let refused = send(caller, request(Method::Post, "/submit/4/x")).await;
        // 207 when the plan looks for another target after the refused connection and finds none.
        assert!(matches!(refused.code.as_str(), "207" | "213"), "{}", refused.code);
        assert_eq!(refused.outcome, "not-run");
        assert_eq!(mesh.runs_of("/submit/4/x"), 0);
    });
}

/// Guards against an idempotent call that fails although another target can take it.
#[test]
fn lookup_moves_to_another_target() {
    task::block_on(async {
        let mut mesh = Mesh::start(3, 4).await;
        mesh.install(&[0, 1]);
        let caller = mesh.nodes[2].caller;
        let calls: Vec<_> = (0..6)
            .map(|index| {
                task::spawn(async move { get(caller, &format!("/lookup/slow/300/{index}")).await })
            })
            .collect();
        let log = mesh.nodes[0].upstream.log.clone();
        eventually("a run at the first target", || !log.runs.lock().unwrap().is_empty()).await;
        mesh.nodes[0].upstream.die().await;
        for call in calls {
            let answer = call.await;
            assert_eq!(answer.code, "100");
            assert!(answer.body.unwrap().contains("/lookup/slow/300/"));
        }
    });
}

/// Guards against a cut answer that is passed on, small or large, and against its second run.
#[test]
fn cut_answers_are_not_passed_on() {
    task::block_on(async {
        let mut mesh = Mesh::start(2, 4).await;
        mesh.install(&[0]);
        for caller in [mesh.nodes[0].caller, mesh.nodes[1].caller] {
            let answer = send(caller, request(Method::Post, "/submit/cut")).await;
            assert_eq!((answer.code.as_str(), answer.outcome.as_str()), ("304", "unknown"));
            assert!(!answer.body.unwrap().contains("short"));
            let long = get(caller, "/lookup/longcut").await;
            assert_eq!(long.body.unwrap_err(), std::io::ErrorKind::UnexpectedEof);
            assert_eq!(get(caller, "/lookup/after").await.code, "100");
        }
        assert_eq!(mesh.runs_of("/submit/cut"), 2);
    });
}

/// Guards against a caller that waits beyond its patience, and against a slot that stays taken.
#[test]
fn silent_upstream_ends_with_patience() {
    task::block_on(async {
        let mut mesh = Mesh::start(2, 1).await;
        mesh.install(&[0]);
        let caller = mesh.nodes[1].caller;
        let started = Instant::now();
        let answer = send(caller, request(Method::Post, "/submit/hang")).await;
        let took = started.elapsed();
        assert_eq!((answer.code.as_str(), answer.outcome.as_str()), ("303", "unknown"));
        assert_eq!(answer.status, StatusCode::GatewayTimeout);
        assert!(took >= Duration::from_millis(PATIENCE_MS - 10), "{took:?}");
        let log = mesh.nodes[0].upstream.log.clone();
        eventually("the run is cancelled", || {
            log.cancelled.load(std::sync::atomic::Ordering::SeqCst) == 1
        })
        .await;
        assert_eq!(get(caller, "/lookup/after").await.code, "100");
    });
}

/// Guards against a call that runs twice, or a lookup that fails, when the link to a node breaks.
#[test]
fn broken_link_is_unknown() {
    task::block_on(async {
        let mut mesh = Mesh::start(2, 16).await;
        let proxy = SilentProxy::start(mesh.nodes[0].relay).await;
        let mut entry = mesh.nodes[0].entry(16);
        entry.relay = proxy.address;
        mesh.install_entries(vec![entry, mesh.nodes[1].entry(16)]);
        let caller = mesh.nodes[1].caller;
        let log = mesh.nodes[0].upstream.log.clone();
        let mut calls = Vec::new();
        for index in 0..16 {
            let (method, kind) = match index % 2 {
                0 => (Method::Get, "lookup"),
                _ => (Method::Post, "submit"),
            };
            let path = format!("/{kind}/held/{index}");
            calls.push(task::spawn(async move {
                let answer = send(caller, request(method, &path)).await;
                (path, answer)
            }));
        }
        eventually("all run", || {
            mesh.nodes
                .iter()
                .map(|node| node.upstream.log.runs.lock().unwrap().len())
                .sum::<usize>()
                == 16
        })
        .await;
        proxy.cut();
        for node in &mesh.nodes {
            node.upstream.log.released.store(true, Ordering::SeqCst);
        }
        for call in calls {
            let (path, answer) = call.await;
            let here = log.runs_of(&path) > 0;
            if path.starts_with("/submit") {
                let expected = if here { ("301", "unknown") } else { ("100", "done") };
                assert_eq!((answer.code.as_str(), answer.outcome.as_str()), expected, "{path}");
                assert_eq!(mesh.runs_of(&path), 1, "{path}");
            } else {
                assert_eq!(answer.code, "100", "{path}");
            }
        }
    });
}

/// Guards against targets that are ejected because callers break off their uploads, and against an
/// upload that is called "not run" after a part of it was sent on.
#[test]
fn broken_upload_does_not_count_against_target() {
    task::block_on(async {
        use async_std::io::{ReadExt, WriteExt};
        let mut mesh = Mesh::start(4, 4).await;
        mesh.install(&[0, 1, 2]);
        let caller = mesh.nodes[3].caller;
        for _ in 0..30 {
            let mut stream = async_std::net::TcpStream::connect(caller).await.unwrap();
            let head = "POST /upload/count HTTP/1.1\r\nhost: shop\r\ncontent-length: 90000\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&[7; 50_000]).await.unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            assert!(answer.contains("fescuestack-outcome: unknown"), "{answer}");
        }
        for index in 0..60 {
            assert_eq!(get(caller, &format!("/lookup/{index}")).await.code, "100");
        }
        // An ejected target takes no calls for a second.
        for node in &mesh.nodes[..3] {
            let runs = node.upstream.log.runs.lock().unwrap();
            assert!(runs.iter().any(|path| path.starts_with("/lookup")), "{}", node.name);
        }
    });
}

/// Guards against half-open connections being used again after one of them went silent.
#[test]
fn silent_link_costs_one_call() {
    task::block_on(async {
        let mut mesh = Mesh::start(2, 8).await;
        let proxy = SilentProxy::start(mesh.nodes[0].relay).await;
        let mut entry = mesh.nodes[0].entry(8);
        entry.relay = proxy.address;
        mesh.install_entries(vec![entry]);
        let caller = mesh.nodes[1].caller;
        let warm: Vec<_> = (0..5)
            .map(|_| task::spawn(async move { get(caller, "/lookup/slow/50/x").await.code }))
            .collect();
        for call in warm {
            assert_eq!(call.await, "100");
        }
        proxy.silence();
        let lost = get(caller, "/lookup/x").await;
        assert_eq!((lost.code.as_str(), lost.outcome.as_str()), ("303", "unknown"));
        for _ in 0..5 {
            assert_eq!(get(caller, "/lookup/x").await.code, "100");
        }
    });
}

/// Guards against work for a caller that has left: running, and waiting for a slot.
#[test]
fn cancellation_reaches_upstream() {
    task::block_on(async {
        let mut mesh = Mesh::start(2, 1).await;
        mesh.install(&[0]);
        let caller = mesh.nodes[1].caller;
        let running = task::spawn(async move { get(caller, "/lookup/hang").await.code });
        let log = mesh.nodes[0].upstream.log.clone();
        eventually("the run", || log.runs_of("/lookup/hang") == 1).await;
        let waiting = task::spawn(async move { get(caller, "/lookup/waiting").await.code });
        let gate = mesh.nodes[0].service.clone();
        eventually("the queue", || gate.load().unwrap().queued == 1).await;
        waiting.cancel().await;
        eventually("the queue is empty", || gate.load().unwrap().queued == 0).await;
        running.cancel().await;
        let cancelled = || log.cancelled.load(std::sync::atomic::Ordering::SeqCst) == 1;
        eventually("the run is cancelled", cancelled).await;
        eventually("the slot is free", || gate.load().unwrap().running == 0).await;
        assert_eq!(mesh.runs_of("/lookup/waiting"), 0);
        assert_eq!(get(caller, "/lookup/after").await.code, "100");
        let records = mesh.nodes[1].observer.records.lock().unwrap();
        assert_eq!(records.iter().filter(|record| record.code.is_none()).count(), 2);
    });
}
