//! Calls to an upstream that sends copies of its answers.

#[path = "../../upstreams/tests/copier/mod.rs"]
mod copier;
mod mesh;

use std::time::Duration;

use async_std::task;
use copier::{CopyRule, CopyingUpstream};
use http_types::Method;
use mesh::{Mesh, get, request, send};

/// Delay of a copy that arrives while the next request runs.
const LATE: Duration = Duration::from_millis(20);

const CALLS: usize = 4;

/// Two nodes. The only target is beside the second one, in front of a copying upstream.
async fn start_mesh(rule: CopyRule) -> (Mesh, CopyingUpstream) {
    let mut mesh = Mesh::start(2, 4).await;
    let upstream = CopyingUpstream::start(rule).await;
    let mut entry = mesh.nodes[1].entry(4);
    entry.upstream = upstream.address;
    mesh.install_entries(vec![entry]);
    (mesh, upstream)
}

/// Sends refused submits and runs in turn and checks that each gets its own answer.
async fn play_refusals(rule: CopyRule) {
    let (mesh, upstream) = start_mesh(rule).await;
    for node in &mesh.nodes {
        for index in 0..CALLS {
            let refused = format!("/submit/refused/{}/{index}", node.name);
            let answer = send(node.caller, request(Method::Post, &refused)).await;
            assert_eq!((answer.code.as_str(), answer.outcome.as_str()), ("217", "not-run"));
            let path = format!("/submit/run/{}/{index}", node.name);
            let answer = send(node.caller, request(Method::Post, &path)).await;
            let runs = upstream.runs_of(&path);
            assert!(answer.outcome != "not-run" || runs == 0, "{path} ran {runs} times");
            assert_eq!((answer.code.as_str(), runs), ("100", 1), "{path}");
            assert_eq!(answer.body.unwrap(), path);
        }
    }
}

/// Guards against "not run" for a submit that runs, because a copy of an earlier refusal is taken for its
/// answer.
#[test]
fn copied_refusal_is_not_the_answer_to_a_run() {
    for count in 1..=2 {
        task::block_on(play_refusals(CopyRule::new(count, LATE)));
    }
}

/// Like the test before, with copies that come with the refusal or cross the next request.
#[test]
fn copied_refusal_around_the_next_request_is_not_its_answer() {
    for micros in [0, 50, 1_000, 4_000] {
        task::block_on(play_refusals(CopyRule::new(2, Duration::from_micros(micros))));
    }
}

/// Guards against the same with an upstream whose answers do not name their requests.
#[test]
fn copied_refusal_without_echo_is_not_the_answer_to_a_run() {
    task::block_on(play_refusals(CopyRule::new(1, LATE).without_echo()));
}

/// Guards against an answer that goes to another caller.
#[test]
fn copied_result_is_not_the_answer_to_another_caller() {
    task::block_on(async {
        for rule in [CopyRule::new(1, LATE), CopyRule::new(1, LATE).without_echo()] {
            let (mesh, _upstream) = start_mesh(rule).await;
            for index in 0..2 * CALLS {
                let path = format!("/lookup/run/{index}");
                let answer = get(mesh.nodes[index % 2].caller, &path).await;
                assert_eq!((answer.code.as_str(), answer.body), ("100", Ok(path)));
            }
        }
    });
}

/// Guards against connections that are opened without need: refusals without copies keep theirs.
#[test]
fn refusals_without_copies_share_a_connection() {
    task::block_on(async {
        let (mesh, upstream) = start_mesh(CopyRule::new(0, Duration::ZERO)).await;
        for index in 0..100 {
            let path = format!("/submit/refused/{index}");
            assert_eq!(send(mesh.nodes[1].caller, request(Method::Post, &path)).await.code, "217");
        }
        assert_eq!(upstream.connections(), 1);
    });
}
