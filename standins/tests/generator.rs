//! Tests of the load generator: it follows its schedule, and its report detects violations by nodes.

use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task;
use fescuestack_core::RouteKind;
use fescuestack_standins::{
    ArrivalSchedule, LoadClass, LoadEntry, LoadPath, LoadSettings, MeasureSettings, RequestLedger,
    UpstreamSettings, UpstreamStandin, measure_calls, run_load,
};
use futures_lite::StreamExt;
use http_types::{Response, StatusCode};

fn settings(address: std::net::SocketAddr, class: LoadClass) -> LoadSettings {
    let entries = vec![LoadEntry { service: None, address }];
    let path = LoadPath { label: "node".to_owned(), weight: 1.0, entries };
    let patient_class = LoadClass { patience_ms: 20_000, ..class };
    LoadSettings {
        count_limit: 40,
        paths: vec![path],
        classes: vec![patient_class],
        ..LoadSettings::new(7, 400.0, 60_000)
    }
}

async fn start_standin(seed: u64, ledger: &Arc<RequestLedger>) -> UpstreamStandin {
    let settings = UpstreamSettings { queue: 100, ..UpstreamSettings::new("a", seed) };
    UpstreamStandin::start(settings, ledger.clone()).await.expect("a loopback port is free")
}

/// Starts an HTTP server that responds to each request with the result of `answer` and keeps its
/// connections open.
async fn start_server<F>(answer: F) -> std::net::SocketAddr
where
    F: Fn(&str) -> Response + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            let answer = answer.clone();
            task::spawn(async_h1::accept(stream, move |request| {
                let id = request.header("x-request-id").map_or("", |id| id.as_str()).to_owned();
                let answer = answer.clone();
                async move { Ok(answer(&id)) }
            }));
        }
    });
    address
}

fn answer_body(id: &str) -> String {
    format!(r#"{{"request":"{id}","upstream":"x","received":0,"held_us":0,"padding":""}}"#)
}

/// Guards against schedules that differ between runs with the same seed, and against a rate other than
/// the configured one.
#[test]
fn schedule_is_deterministic_and_keeps_its_rate() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let class = LoadClass::new("lookup", "register", RouteKind::Lookup);
    let settings = LoadSettings { count_limit: 50_000, ..settings(address, class) };
    let schedule: Vec<_> = ArrivalSchedule::new(&settings).collect();
    assert!(schedule.iter().eq(ArrivalSchedule::new(&settings).collect::<Vec<_>>().iter()));
    let other = LoadSettings { seed: 8, ..settings.clone() };
    assert!(!schedule.iter().eq(ArrivalSchedule::new(&other).collect::<Vec<_>>().iter()));
    // A minute has 24,000 expected arrivals; five standard deviations are 775.
    assert!(schedule.len().abs_diff(24_000) < 775, "{} arrivals", schedule.len());
    // In a Poisson process, the share of intervals longer than the mean is 1/e.
    let gaps = schedule.windows(2).filter(|pair| pair[1].due_us - pair[0].due_us > 2_500).count();
    let share = gaps as f64 / schedule.len() as f64;
    assert!((share - (-1.0f64).exp()).abs() < 0.02, "share {share}");
}

/// Guards against false positives: a correct path has no violations, and every run is counted.
#[test]
fn correct_path_has_no_violation() {
    task::block_on(async {
        let ledger = Arc::new(RequestLedger::new());
        let standin = start_standin(1, &ledger).await;
        let submit = LoadClass::new("submit", "register", RouteKind::Submit);
        let report = run_load(settings(standin.address(), submit), Some(&ledger)).await;
        let class = report.class("node", "submit").expect("requests were sent");
        assert_eq!((class.offered, class.answered, report.violations), (40, 40, 0));
        let counts = class.ledger.expect("there is a ledger");
        assert_eq!((counts.runs, counts.cut_off, counts.killed), (40, 0, 0));
        assert_eq!(class.latency.count, 40);
        serde_json::to_string(&report).expect("the report serialises to JSON");
    })
}

/// Guards against an undetected violation: a request that ran is answered as not run, so the caller sends
/// it again and it runs twice.
#[test]
fn false_not_run_and_its_duplicate_are_violations() {
    task::block_on(async {
        let ledger = Arc::new(RequestLedger::new());
        let runs = ledger.clone();
        let address = start_server(move |id| {
            let run = runs.start(id, None, "x");
            runs.end(run, fescuestack_standins::RunEnd::Finished);
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.insert_header("fescuestack-outcome", "not-run");
            response.insert_header("fescuestack-code", "201");
            response
        })
        .await;
        let class = LoadClass::new("submit", "register", RouteKind::Submit);
        let class = LoadClass { resends: 1, ..class };
        let report = run_load(settings(address, class), Some(&ledger)).await;
        let class = report.class("node", "submit").expect("requests were sent");
        let counts = class.ledger.expect("there is a ledger");
        assert_eq!((counts.not_run_but_ran, counts.duplicates, counts.runs), (80, 40, 80));
        assert_eq!(class.codes.get(&201), Some(&40));
        assert_eq!(report.violations, 120);
    })
}

/// Guards against undetected violations: answers that belong to another request, and answers that report
/// success for requests that no upstream finished.
#[test]
fn foreign_and_fabricated_answers_are_violations() {
    task::block_on(async {
        let ledger = RequestLedger::new();
        let foreign = start_server(|_| {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(answer_body("0-0-0.0"));
            response
        })
        .await;
        let fabricated = start_server(|id| {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(answer_body(id));
            response
        })
        .await;
        let class = LoadClass::new("lookup", "register", RouteKind::Lookup);
        let report = run_load(settings(foreign, class.clone()), Some(&ledger)).await;
        assert_eq!((report.classes[0].foreign, report.violations), (40, 40));
        let report = run_load(settings(fabricated, class), Some(&ledger)).await;
        assert_eq!(report.classes[0].ledger.map(|counts| counts.lost), Some(40));
    })
}

/// Guards against latencies measured from the send time instead of the schedule, which hides queueing:
/// with one slot and a backlog, the last requests wait for all earlier ones.
#[test]
fn latency_counts_from_the_scheduled_arrival() {
    task::block_on(async {
        let ledger = Arc::new(RequestLedger::new());
        let warm =
            UpstreamSettings { slots: 1, queue: 100, spread: 0.0, ..UpstreamSettings::new("a", 1) };
        let warm = warm.with_warm_start();
        let standin = UpstreamStandin::start(warm, ledger.clone()).await.expect("a port is free");
        let submit = LoadClass::new("submit", "register", RouteKind::Submit);
        // 40 requests arrive within about 100 ms, and each takes 10 ms in the only slot.
        let report = run_load(settings(standin.address(), submit), Some(&ledger)).await;
        let latency = report.classes[0].latency;
        assert!(latency.max_us >= 250_000, "longest latency {} us", latency.max_us);
    })
}

/// Guards against a comparison in which one of the two paths gets no calls.
#[test]
fn measures_both_paths_in_one_run() {
    task::block_on(async {
        let ledger = Arc::new(RequestLedger::new());
        let (node, direct) = (start_standin(1, &ledger).await, start_standin(2, &ledger).await);
        let settings = MeasureSettings {
            seed: 3,
            rate: 100.0,
            seconds: 1,
            entries: vec![node.address()],
            upstreams: vec![("register".to_owned(), direct.address())],
            classes: Vec::new(),
        };
        let report = measure_calls(settings, Some(&ledger)).await;
        assert_eq!(report.added.len(), 1);
        assert_eq!(report.load.classes.len(), 2);
        assert_eq!(report.load.violations, 0);
    })
}
