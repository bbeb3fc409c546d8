//! Tests of the stand-in upstream, its faults and its ledger.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::{future, task};
use fescuestack_core::RouteKind;
use fescuestack_standins::{
    AnswerVerdict, LoadClass, LoadClient, ProbeMode, RequestLedger, RunEnd, UpstreamSettings,
    UpstreamStandin, request_id,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Much longer than any service time in these tests, so that slow machines pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_standin(settings: UpstreamSettings) -> UpstreamStandin {
    let ledger = Arc::new(RequestLedger::new());
    UpstreamStandin::start(settings, ledger).await.expect("a loopback port is free")
}

async fn call(standin: &UpstreamStandin, class: &LoadClass, attempt: &str) -> AnswerVerdict {
    let client = LoadClient::new();
    let key = format!("key-{}", request_id(attempt));
    let call = client.call(standin.address(), class, 1, &key, attempt);
    future::timeout(TEST_TIMEOUT, call).await.expect("answer before the timeout").verdict
}

fn run_ends(standin: &UpstreamStandin) -> Vec<Option<RunEnd>> {
    standin.ledger().records().iter().map(|record| record.end).collect()
}

async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            task::sleep(Duration::from_millis(1)).await;
        }
    };
    future::timeout(TEST_TIMEOUT, poll).await.expect("condition met before the timeout");
}

fn test_class(kind: RouteKind) -> LoadClass {
    LoadClass::new("test", "register", kind)
}

/// Guards against undetected faults: truncated, dropped and missing answers must not count as done, and
/// the ledger must show which of the requests ran.
#[test]
fn faults_are_seen_by_the_caller_and_the_ledger() {
    task::block_on(async {
        let standin = start_standin(UpstreamSettings::new("a", 1)).await;
        let submit = test_class(RouteKind::Submit);
        assert!(matches!(call(&standin, &submit, "1.0").await, AnswerVerdict::Done { .. }));
        standin.truncate_next_answers(1);
        assert_eq!(call(&standin, &submit, "2.0").await, AnswerVerdict::Truncated);
        standin.drop_next_answers(1);
        assert_eq!(call(&standin, &submit, "3.0").await, AnswerVerdict::Broken);
        assert!(matches!(call(&standin, &submit, "4.0").await, AnswerVerdict::Done { .. }));
        assert_eq!(run_ends(&standin), vec![Some(RunEnd::Finished); 4]);
        assert_eq!(standin.ledger().runs_with_key("key-3"), 1);
        standin.kill();
        wait_until(|| standin.load().running == 0).await;
        task::sleep(Duration::from_millis(20)).await;
        assert_eq!(call(&standin, &submit, "5.0").await, AnswerVerdict::Broken);
        assert_eq!(standin.ledger().len(), 4, "a killed upstream must not run requests");
        standin.restart().await.expect("the port is free again");
        assert!(matches!(call(&standin, &submit, "6.0").await, AnswerVerdict::Done { .. }));
    })
}

/// Guards against running rejected requests: beyond slots and queue the answer is 503, and the ledger
/// has no run.
#[test]
fn rejects_excess_load_before_running_it() {
    task::block_on(async {
        let settings = UpstreamSettings { slots: 1, queue: 1, ..UpstreamSettings::new("a", 2) };
        // The slot stays occupied for the whole test, so the third request always finds a full queue.
        let standin = start_standin(UpstreamSettings { search_us: 60_000_000, ..settings }).await;
        let search = test_class(RouteKind::Search);
        let slot_holders: Vec<_> = ["1.0", "2.0"]
            .map(|attempt| {
                let (standin, search) = (standin.clone(), search.clone());
                task::spawn(async move {
                    LoadClient::new().call(standin.address(), &search, 1, "key-1", attempt).await
                })
            })
            .into();
        wait_until(|| standin.load().running + standin.load().waiting == 2).await;
        assert_eq!(call(&standin, &search, "3.0").await, AnswerVerdict::NotRun);
        assert_eq!(standin.ledger().len(), 1);
        for slot_holder in slot_holders {
            slot_holder.cancel().await;
        }
        // The queued request may still run for a moment once the first caller has left, so that all ends
        // are taken at one time.
        wait_until(|| {
            let load = standin.load();
            let cancelled = |end: &Option<RunEnd>| *end == Some(RunEnd::Cancelled);
            load.running + load.waiting == 0 && run_ends(&standin).iter().all(cancelled)
        })
        .await;
    })
}

/// Guards against running requests past the deadline of their caller: a deadline ends the run, and a
/// request without time left does not start.
#[test]
fn stops_at_the_deadline_and_refuses_without_time_left() {
    task::block_on(async {
        let settings = UpstreamSettings::new("a", 3);
        let standin = start_standin(UpstreamSettings { search_us: 60_000_000, ..settings }).await;
        for (left_ms, status, end) in [(0, "503", None), (1_000, "504", Some(RunEnd::Expired))] {
            let before = standin.ledger().len();
            let mut stream =
                TcpStream::connect(standin.address()).await.expect("connect to the stand-in");
            let head = format!(
                "GET /search/1 HTTP/1.1\r\nhost: a\r\nfescuestack-left-ms: {left_ms}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("the connection is open");
            let mut answer = vec![0; 12];
            stream.read_exact(&mut answer).await.expect("the stand-in answers");
            assert!(answer.ends_with(status.as_bytes()), "{}", String::from_utf8_lossy(&answer));
            assert_eq!(standin.ledger().records().get(before).and_then(|record| record.end), end);
        }
    })
}

/// Guards against a poison request that does not kill the upstream, and against an upstream that does
/// not restart.
#[test]
fn poison_kills_the_upstream_and_its_other_runs() {
    task::block_on(async {
        let settings = UpstreamSettings { restart_ms: Some(1), ..UpstreamSettings::new("a", 4) };
        let standin = start_standin(UpstreamSettings { search_us: 60_000_000, ..settings }).await;
        let (other_call, search) = (standin.clone(), test_class(RouteKind::Search));
        let other_call = task::spawn(async move { call(&other_call, &search, "1.0").await });
        wait_until(|| standin.load().running == 1).await;
        let poison = LoadClass { is_poison: true, ..test_class(RouteKind::Lookup) };
        assert_eq!(call(&standin, &poison, "2.0").await, AnswerVerdict::Broken);
        assert_eq!(other_call.await, AnswerVerdict::Broken);
        assert_eq!(run_ends(&standin), vec![Some(RunEnd::Killed); 2]);
        wait_until(|| standin.load().healthy).await;
        let lookup = test_class(RouteKind::Lookup);
        assert!(matches!(call(&standin, &lookup, "3.0").await, AnswerVerdict::Done { .. }));
    })
}

/// Guards against stalls and drains that differ from those of real upstreams: open connections hang while
/// new ones work, and a drain interrupts no run.
#[test]
fn stalled_connections_spare_new_ones_and_drain_finishes_runs() {
    task::block_on(async {
        let settings =
            UpstreamSettings { probes: ProbeMode::AlwaysGood, ..UpstreamSettings::new("a", 5) };
        let standin = start_standin(settings).await;
        let client = LoadClient::new();
        let lookup = test_class(RouteKind::Lookup);
        let first = client.call(standin.address(), &lookup, 1, "", "1.0").await;
        assert!(matches!(first.verdict, AnswerVerdict::Done { .. }));
        standin.stall_connections();
        let stalled_call = client.call(standin.address(), &lookup, 1, "", "2.0");
        assert!(future::timeout(Duration::from_millis(300), stalled_call).await.is_err());
        assert!(matches!(call(&standin, &lookup, "3.0").await, AnswerVerdict::Done { .. }));
        assert_eq!(standin.ledger().len(), 2, "a stalled connection must not run requests");

        let (running, search) = (standin.clone(), test_class(RouteKind::Search));
        let running = task::spawn(async move { call(&running, &search, "4.0").await });
        wait_until(|| standin.load().running == 1).await;
        standin.drain().await;
        assert!(matches!(running.await, AnswerVerdict::Done { .. }));
        assert_eq!(run_ends(&standin), vec![Some(RunEnd::Finished); 3]);
        assert_eq!(call(&standin, &lookup, "5.0").await, AnswerVerdict::Broken);
    })
}

/// Guards against answers, also to rejected requests, that do not name their requests, or that do so after
/// this was switched off.
#[test]
fn answers_name_their_requests() {
    task::block_on(async {
        for (settings, echoes) in [
            (UpstreamSettings::new("a", 6), true),
            (UpstreamSettings { slots: 0, queue: 0, ..UpstreamSettings::new("a", 6) }, true),
            (UpstreamSettings::new("a", 6).without_echo(), false),
        ] {
            let standin = start_standin(settings).await;
            let mut stream = TcpStream::connect(standin.address()).await.expect("a listener");
            let request = "GET /lookup HTTP/1.1\r\nhost: a\r\nfescuestack-request: r-7\r\n\r\n";
            stream.write_all(request.as_bytes()).await.expect("an open connection");
            let mut answer = vec![0; 4096];
            let reading = future::timeout(TEST_TIMEOUT, stream.read(&mut answer)).await;
            let count = reading.expect("an answer in time").expect("an open connection");
            let head = String::from_utf8_lossy(&answer[..count]).into_owned();
            assert_eq!(head.contains("fescuestack-request: r-7\r\n"), echoes, "{head}");
        }
    })
}
