//! Upstreams that send copies of their answers, each with the id of its request, on the same connection.

mod copier;

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{SocketAddr, TcpListener};
use async_std::task;
use copier::{CopyRule, CopyingUpstream};
use fescuestack_core::ResultCode;
use fescuestack_upstreams::{
    ConnectionPool, ExchangeError, ExchangeLimits, PeerKind, PoolSettings, REQUEST_HEADER,
};
use http_types::{Method, Request, Url};

/// Delay of a copy that arrives while the next request runs.
const LATE: Duration = Duration::from_millis(20);

const CALLS: usize = 4;

fn pool(address: SocketAddr) -> Arc<ConnectionPool> {
    ConnectionPool::new(address, PeerKind::Upstream, 8, PoolSettings::default())
}

/// Sends a request and returns the status and the content of its answer.
async fn call(
    pool: &Arc<ConnectionPool>,
    method: Method,
    id: &str,
    path: &str,
) -> Result<(u16, String), ExchangeError> {
    let mut request = Request::new(method, Url::parse(&format!("http://service{path}")).unwrap());
    request.insert_header(REQUEST_HEADER, id);
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut answer = pool.exchange(request, ExchangeLimits { deadline, idempotent: false }).await?;
    let status = answer.status() as u16;
    if method == Method::Head {
        return Ok((status, String::new()));
    }
    let content = answer.body_string().await.expect("a complete answer");
    Ok((status, content))
}

async fn get(pool: &Arc<ConnectionPool>, id: &str, path: &str) -> (u16, String) {
    call(pool, Method::Get, id, path).await.unwrap_or_else(|error| panic!("{id}: {error}"))
}

/// Sends refused requests and runs in turn and checks that each gets its own answer. Returns the number of
/// connections.
async fn play_refusals(rule: CopyRule, pause: Duration) -> usize {
    let upstream = CopyingUpstream::start(rule).await;
    let pool = pool(upstream.address);
    for index in 0..CALLS {
        for word in ["refused", "run"] {
            let path = format!("/{word}/{index}");
            let status = if word == "run" { 200 } else { 503 };
            assert_eq!(get(&pool, &format!("{word}-{index}"), &path).await, (status, path));
            task::sleep(pause).await;
        }
    }
    upstream.connections()
}

/// Guards against a copy of a refusal that arrives while the next request runs and is taken for its answer.
#[test]
fn late_copy_of_a_refusal_is_skipped() {
    task::block_on(play_refusals(CopyRule::new(1, LATE), Duration::ZERO));
}

/// Guards against a new connection for each copy that is skipped.
#[test]
fn skipped_copies_cost_no_connection() {
    // Each copy arrives while the next request runs, also on a busy machine.
    let rule = CopyRule::new(1, Duration::from_millis(200));
    let rule = rule.with_run_time(Duration::from_millis(400));
    assert_eq!(task::block_on(play_refusals(rule, Duration::ZERO)), 1);
}

/// Like the test before, with two copies of each answer.
#[test]
fn two_late_copies_of_a_refusal_are_skipped() {
    task::block_on(play_refusals(CopyRule::new(2, LATE), Duration::ZERO));
}

/// Guards against a copy that arrives with its answer.
#[test]
fn early_copies_of_a_refusal_are_not_the_next_answer() {
    for count in 1..=2 {
        task::block_on(play_refusals(CopyRule::new(count, Duration::ZERO), Duration::ZERO));
    }
}

/// Guards against a copy that arrives before the next request is sent.
#[test]
fn copies_between_requests_are_not_the_next_answer() {
    let delay = Duration::from_millis(2);
    task::block_on(play_refusals(CopyRule::new(2, delay), Duration::from_millis(10)));
}

/// Guards against a copy that is on its way while the next request is written.
#[test]
fn copies_that_cross_the_next_request_are_skipped() {
    for micros in [50, 200, 1_000, 4_000] {
        let rule = CopyRule::new(2, Duration::from_micros(micros));
        task::block_on(play_refusals(rule, Duration::ZERO));
    }
}

/// Guards against a long exchange that fails because copies of the answers to many short ones arrive.
#[test]
fn copies_of_many_answers_are_skipped() {
    task::block_on(async {
        let rule =
            CopyRule::new(3, Duration::from_millis(100)).with_run_time(Duration::from_millis(500));
        let upstream = CopyingUpstream::start(rule).await;
        let pool = pool(upstream.address);
        for index in 0..60 {
            let path = format!("/refused/{index}");
            assert_eq!(get(&pool, &format!("refused-{index}"), &path).await, (503, path));
        }
        assert_eq!(get(&pool, "run", "/run").await, (200, "/run".to_owned()));
    });
}

/// Guards against the refusal of a request that is taken for the answer when the same request is sent again.
#[test]
fn copied_refusal_is_not_the_answer_to_the_same_request() {
    task::block_on(async {
        let upstream = CopyingUpstream::start(CopyRule::new(1, LATE)).await;
        let pool = pool(upstream.address);
        for index in 0..CALLS {
            let (id, path) = (format!("same-{index}"), format!("/once/{index}"));
            assert_eq!(get(&pool, &id, &path).await.0, 503);
            assert_eq!(get(&pool, &id, &path).await, (200, path.clone()));
            assert_eq!(upstream.runs_of(&path), 1);
        }
    });
}

/// Guards against an answer that is taken for that of another request where answers name no request.
#[test]
fn upstream_without_echo_gets_a_connection_for_each_request() {
    task::block_on(async {
        for delay in [Duration::ZERO, Duration::from_millis(1), LATE] {
            let rule = CopyRule::new(2, delay).without_echo();
            let opened = play_refusals(rule, Duration::ZERO).await;
            assert_eq!(opened, 2 * CALLS);
        }
    });
}

/// Guards against a copied answer to HEAD, whose stated length is that of no content.
#[test]
fn copied_answer_to_head_does_not_shift_the_next_one() {
    task::block_on(async {
        let upstream = CopyingUpstream::start(CopyRule::new(1, LATE)).await;
        let pool = pool(upstream.address);
        for index in 0..CALLS {
            let path = format!("/run/{index}");
            let head = call(&pool, Method::Head, &format!("head-{index}"), &path).await;
            assert_eq!(head.expect("an answer").0, 200);
            assert_eq!(get(&pool, &format!("get-{index}"), &path).await, (200, path));
        }
    });
}

/// Guards against a copied answer with content that arrives while a HEAD runs.
#[test]
fn copied_content_is_skipped_before_the_answer_to_head() {
    task::block_on(async {
        let upstream = CopyingUpstream::start(CopyRule::new(1, LATE)).await;
        let pool = pool(upstream.address);
        for index in 0..CALLS {
            let path = format!("/refused/{index}");
            assert_eq!(get(&pool, &format!("get-{index}"), &path).await.0, 503);
            let head = call(&pool, Method::Head, &format!("head-{index}"), "/run").await;
            assert_eq!(head.expect("an answer").0, 200);
        }
    });
}

/// Guards against a refusal by an answer that names no request, or one that was never sent on its connection.
#[test]
fn foreign_answers_are_lost() {
    const OWN: &str = "fescuestack-request: first\r\n";
    const NONE: &str = "";
    const OTHER: &str = "fescuestack-request: other\r\n";
    const BOTH: &str = "fescuestack-request: second\r\nfescuestack-request: first\r\n";
    task::block_on(async {
        for (headers, reached) in
            [([OTHER, NONE], 0), ([OWN, NONE], 1), ([OWN, OTHER], 1), ([OWN, BOTH], 1)]
        {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let pool = pool(listener.local_addr().unwrap());
            task::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                for header in headers {
                    let answer = format!(
                        "HTTP/1.1 503 Service Unavailable\r\nfescuestack-outcome: not-run\r\n{header}content-length: 0\r\n\r\n"
                    );
                    let _ = stream.read(&mut [0; 4096]).await;
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
                let _ = stream.read(&mut [0; 4096]).await;
            });
            for (index, id) in ["first", "second"].into_iter().enumerate().take(reached + 1) {
                let result = call(&pool, Method::Get, id, "/run").await;
                if index == reached {
                    let error = result.expect_err("an answer to another request");
                    assert_eq!(error.code, ResultCode::AnswerTruncated, "{headers:?}");
                } else {
                    assert_eq!(result.expect("the own answer").0, 503);
                }
            }
            assert_eq!(pool.idle_count(), 0);
        }
    });
}

/// Guards against connections that are opened without need: refusals without copies keep theirs.
#[test]
fn refusals_without_copies_share_a_connection() {
    task::block_on(async {
        let upstream = CopyingUpstream::start(CopyRule::new(0, Duration::ZERO)).await;
        let pool = pool(upstream.address);
        for index in 0..100 {
            let path = format!("/refused/{index}");
            assert_eq!(get(&pool, &format!("refused-{index}"), &path).await.0, 503);
        }
        assert_eq!(upstream.connections(), 1);
    });
}
