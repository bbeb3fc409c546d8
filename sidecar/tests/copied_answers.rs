//! Targets that send copies of their answers: beside the client's node and behind another node.

mod mesh;

use std::collections::HashSet;
use std::time::Duration;

use async_std::task;
use fescuestack_platform_standin::{AnswerCopies, ApplicationMode, CONFIG_KEY, CopiedAnswers};
use http::StatusCode;

use mesh::{Mesh, TestCall, config_with_warmup, eventually};

/// Delay of late copies, within the processing time of the next request on the connection.
const LATE: Duration = Duration::from_millis(30);

/// Processing time, in which copies of earlier answers arrive.
const PROCESSING_TIME: Duration = Duration::from_millis(120);

/// Requests in each case.
const CALLS: usize = 4;

/// Requests that are refused at the same time.
const CROWD: usize = 80;

/// Slots of a target.
const SLOTS: u64 = 4;

/// Statuses of answers that a request was not executed.
const REFUSALS: [u16; 4] = [503, 429, 421, 400];

/// Former ids of a target. There are several, so that a request rarely goes to the right one first.
const FORMER_IDS: [&str; 3] = ["former1", "former2", "former3"];

/// Two nodes, with a target of the service `alpha` beside the second one, and a retry budget at both.
async fn start_mesh() -> Mesh {
    let mesh = Mesh::start(&["beta", "alpha"]).await;
    let no_copies = AnswerCopies::new(CopiedAnswers::All, LATE).with_count(0);
    mesh.nodes[1].application.set_answer_copies(Some(no_copies));
    for index in 0..100 {
        let call = TestCall::get(&format!("s{index}"), "/a/");
        assert_eq!(mesh.send(index % 2, &call).await.expect("a response").status, 200);
    }
    mesh
}

/// Like [`start_mesh`]. The target is listed under a
/// second id, which it takes as well, so that a request that it refuses comes to it once more.
async fn start_mesh_with_twin() -> Mesh {
    let mesh = start_mesh().await;
    let application = &mesh.nodes[1].application;
    application.add_alias("twin");
    application.set_processing_time(PROCESSING_TIME);
    mesh.list_target("twin", 1, |record| record);
    for node in 0..2 {
        eventually("the twin is known", async || mesh.status(node).await["targets"] == 3).await;
    }
    mesh
}

/// Sends unsafe requests to a node and checks that none ran that was answered with a promise, and that
/// none ran twice. Returns the statuses.
async fn assert_promises_hold(mesh: &Mesh, node: usize, case: &str) -> Vec<u16> {
    let application = &mesh.nodes[1].application;
    let mut statuses = Vec::new();
    for index in 0..CALLS {
        let id = format!("{case}-{node}-{index}");
        let call = TestCall::post(&id, "/a/pay/", b"once");
        let status = mesh.send(node, &call).await.expect("a response").status.as_u16();
        let runs = application.runs().iter().filter(|run| run.id == id).count();
        assert!(runs <= 1, "{id} ran {runs} times");
        let is_promise = [408, 421, 429, 503].contains(&status);
        assert!(!is_promise || runs == 0, "{id} was answered with {status} and has run");
        statuses.push(status);
    }
    statuses
}

async fn play_refusals(copies: AnswerCopies, case: &str) {
    for status in REFUSALS {
        let mesh = start_mesh_with_twin().await;
        let application = &mesh.nodes[1].application;
        application.set_answer_copies(Some(copies));
        application.set_mode(ApplicationMode::RefuseFirst);
        application.set_refusal_status(StatusCode::from_u16(status).expect("a status"));
        for node in 0..2 {
            let case = format!("{case}-{status}");
            let statuses = assert_promises_hold(&mesh, node, &case).await;
            // A target that answers 421 gets no more calls for the refused id.
            let is_served = status == 421 || statuses == [200; CALLS];
            assert!(is_served, "{case} at node {node}: {statuses:?}");
        }
    }
}

/// Guards against a late copy of a refusal that is taken for the answer to the run of the same request.
#[test]
fn late_copy_of_a_refusal_is_not_the_answer_to_the_run() {
    let copies = AnswerCopies::new(CopiedAnswers::Refusals, LATE);
    task::block_on(play_refusals(copies, "late"));
}

/// Guards against two late copies of a refusal, the second of which is taken for the answer to the run.
#[test]
fn two_late_copies_of_a_refusal_are_not_the_answer_to_the_run() {
    let copies = AnswerCopies::new(CopiedAnswers::Refusals, LATE).with_count(2);
    task::block_on(play_refusals(copies, "twice"));
}

/// Guards against a copy that arrives with the refusal itself, before the request is sent again.
#[test]
fn early_copies_of_a_refusal_are_not_the_answer_to_the_run() {
    for count in 1..=2 {
        let copies = AnswerCopies::new(CopiedAnswers::Refusals, Duration::ZERO).with_count(count);
        task::block_on(play_refusals(copies, "early"));
    }
}

/// Guards against a copy that is on its way while the request is sent again.
#[test]
fn copies_that_cross_the_next_request_are_not_its_answer() {
    for micros in [50, 200, 1_000, 4_000] {
        let delay = Duration::from_micros(micros);
        let copies = AnswerCopies::new(CopiedAnswers::All, delay).with_count(2);
        task::block_on(play_refusals(copies, "crossing"));
    }
}

/// Guards against the case of the report: the target beside a node is listed under former ids, refuses
/// one with 421, and a copy of the 421 arrives while the request runs under the right id.
#[test]
fn copied_421_is_not_the_answer_after_a_change_of_id() {
    task::block_on(async {
        let mut refused = 0;
        for round in 0..6 {
            let mesh = start_mesh().await;
            let application = &mesh.nodes[1].application;
            application.set_processing_time(PROCESSING_TIME);
            application.set_answer_copies(Some(AnswerCopies::new(CopiedAnswers::All, LATE)));
            for id in FORMER_IDS {
                mesh.list_target(id, 1, |record| record);
            }
            for node in 0..2 {
                let known = 2 + FORMER_IDS.len();
                eventually("all ids are known", async || {
                    mesh.status(node).await["targets"] == known
                })
                .await;
            }
            let statuses = assert_promises_hold(&mesh, round % 2, &format!("former{round}")).await;
            assert_eq!(statuses, [200; CALLS]);
            refused += application.request_count() - application.runs().len() as u64;
        }
        assert!(refused > 0, "no request was sent under a former id");
    });
}

/// Guards against an answer to an earlier request with the same id, which a client uses again.
#[test]
fn copied_result_is_not_the_answer_to_a_later_run_with_the_same_id() {
    task::block_on(async {
        let mesh = Mesh::start(&["beta", "alpha"]).await;
        let application = &mesh.nodes[1].application;
        application.set_processing_time(PROCESSING_TIME);
        application.set_answer_copies(Some(AnswerCopies::new(CopiedAnswers::Results, LATE)));
        for node in 0..2 {
            let call = TestCall::post(&format!("again{node}"), "/a/pay/", b"once");
            application.set_mode(ApplicationMode::Serve);
            assert_eq!(mesh.send(node, &call).await.expect("a response").status, 200);
            application.set_mode(ApplicationMode::Fail);
            let second = mesh.send(node, &call).await.expect("a response").status;
            assert_eq!(second, 500, "the first answer was taken for the second one");
        }
    });
}

/// Guards against copies of other requests' answers that are passed on, and against requests that fail
/// because of them.
#[test]
fn copies_of_all_answers_reach_no_other_client() {
    task::block_on(async {
        let mesh = Mesh::start(&["beta", "alpha"]).await;
        let application = &mesh.nodes[1].application;
        application.set_processing_time(Duration::from_millis(5));
        let copies = AnswerCopies::new(CopiedAnswers::All, Duration::from_millis(7)).with_count(2);
        application.set_answer_copies(Some(copies));
        let mut ids = HashSet::new();
        for index in 0..60 {
            let call = TestCall::post(&format!("c{index}"), "/a/pay/", b"once");
            let response = mesh.send(index % 2, &call).await.expect("a response");
            let (id, _) = fescuestack_platform_standin::request_id_and_signature(&response.headers);
            assert_eq!((response.status.as_u16(), id), (200, Some(&*call.id)));
            ids.insert(call.id);
        }
        let runs: Vec<_> = application.runs().into_iter().map(|run| run.id).collect();
        assert_eq!(runs.len(), ids.len(), "{runs:?}");
    });
}

/// Guards against a fix that opens a connection to the target for each refusal: only a request that comes
/// again needs one, unless another connection is idle.
#[test]
fn refusals_without_copies_cost_no_connections() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        let application = &mesh.nodes[0].application;
        application.set_mode(ApplicationMode::Refuse);
        let before = application.connection_count();
        for index in 0..200 {
            let call = TestCall::post(&format!("r{index}"), "/a/pay/", b"once");
            assert_eq!(mesh.send(0, &call).await.expect("a response").status, 503);
        }
        let opened = application.connection_count() - before;
        println!("{opened} connections for 200 refusals");
        assert!(opened <= 2, "{opened} connections for 200 refusals, one after the other");
    });
}

/// Changes to a configuration by which targets warm up, so that the node beside a target asks it for how
/// long it stays cold.
async fn await_health_check(mesh: &Mesh) {
    mesh.store.put(CONFIG_KEY, config_with_warmup(2, 10));
    let application = &mesh.nodes[1].application;
    let is_checked = async || application.health_check_count() > 0;
    eventually("the target gets a health check", is_checked).await;
}

/// Guards against a copied answer to a request, which carries an id, that is taken for the answer to a
/// health check, which carries none.
#[test]
fn copied_answer_is_not_the_answer_to_a_health_check() {
    task::block_on(async {
        let mesh = start_mesh().await;
        let application = &mesh.nodes[1].application;
        application.set_cold_time(Duration::from_secs(60));
        application.set_processing_time(Duration::from_millis(800));
        let copies = AnswerCopies::new(CopiedAnswers::Results, Duration::from_millis(400));
        application.set_answer_copies(Some(copies));
        let call = TestCall::post("before", "/a/pay/", b"once");
        assert_eq!(mesh.send(1, &call).await.expect("a response").status, 200);
        await_health_check(&mesh).await;
        task::sleep(Duration::from_millis(1_000)).await;
        let status = mesh.status(1).await;
        assert_ne!(status["target"]["cold_ms"], 0, "a cold target counts as warm");
    });
}

/// Guards against a copied answer to a health check, which fails the next request on its connection.
#[test]
fn copied_health_check_fails_no_request() {
    task::block_on(async {
        let mesh = start_mesh().await;
        let application = &mesh.nodes[1].application;
        application.set_cold_time(Duration::ZERO);
        let copies = AnswerCopies::new(CopiedAnswers::HealthChecks, Duration::from_millis(150));
        application.set_answer_copies(Some(copies.with_count(2)));
        await_health_check(&mesh).await;
        eventually("the target is warm", async || mesh.status(1).await["target"]["cold_ms"] == 0)
            .await;
        application.set_processing_time(Duration::from_millis(300));
        let call = TestCall::post("after", "/a/pay/", b"once");
        assert_eq!(mesh.send(1, &call).await.expect("a response").status, 200);
    });
}

/// Guards against a fix that opens a connection for each request that comes again, in a crowd of refusals:
/// it takes a connection that has carried other requests.
#[test]
fn crowd_of_requests_that_come_again_shares_connections() {
    task::block_on(async {
        let mesh = start_mesh_with_twin().await;
        let application = &mesh.nodes[1].application;
        application.set_processing_time(Duration::from_millis(10));
        for index in 0..CROWD * 5 {
            let call = TestCall::get(&format!("b{index}"), "/a/");
            assert_eq!(mesh.send(1, &call).await.expect("a response").status, 200);
        }
        application.set_mode(ApplicationMode::RefuseFirst);
        let before = (application.connection_count(), application.request_count());
        let mut calls = Vec::new();
        for index in 0..CROWD {
            let mut connection = mesh.connect(1).await.expect("a connection");
            let request = TestCall::post(&format!("x{index}"), "/a/pay/", b"once").request();
            calls.push(task::spawn(async move { connection.exchange(&request, None).await }));
        }
        let mut served = 0;
        for call in calls {
            served += usize::from(call.await.expect("a response").status == 200);
        }
        let opened = application.connection_count() - before.0;
        let arrived = application.request_count() - before.1;
        println!("{opened} connections, {arrived} arrivals, {served} of {CROWD} requests served");
        assert!(arrived > CROWD as u64, "no request came again");
        assert!(opened <= 2 * SLOTS, "{opened} connections for {arrived} arrivals");
    });
}
