//! Which requests may use a kept connection to a target.

use fescuestack_core::ClockSpan;
use fescuestack_routing::{ConnectionHistory, RequestMark, ReuseCase, ReuseStep};
use quickcheck::quickcheck;

fn case(mark: Option<RequestMark>, idle_ms: u64) -> ReuseCase {
    ReuseCase { mark, is_idempotent: false, idle_time: ClockSpan::new(idle_ms), keep_alive: None }
}

fn mark(number: usize) -> RequestMark {
    RequestMark::new(format!("request-{number}").as_bytes())
}

/// Guards against a request id that comes twice on a connection, where the answer to the first request
/// could be taken for the one to the second.
#[test]
fn request_id_uses_a_connection_once() {
    let mut history = ConnectionHistory::new();
    for number in 0..20 {
        let next = case(Some(mark(number)), 0);
        assert_eq!(history.decide(next), ReuseStep::Use);
        history.record_sent(next.mark);
        assert_eq!(history.decide(next), ReuseStep::Keep, "request {number} again");
    }
    for number in 0..20 {
        assert_eq!(history.decide(case(Some(mark(number)), 0)), ReuseStep::Keep);
    }
}

/// Guards against a request whose answer bears no id on a connection with other answers, in either order.
#[test]
fn request_without_an_id_shares_no_connection() {
    let mut history = ConnectionHistory::new();
    history.record_sent(Some(mark(1)));
    assert_eq!(history.decide(case(None, 0)), ReuseStep::Keep);
    history.record_sent(None);
    assert!(!history.is_kept());
    assert_eq!(history.decide(case(Some(mark(2)), 0)), ReuseStep::Close);
}

/// Guards against a connection that remembers ever more ids.
#[test]
fn connection_is_closed_after_many_requests() {
    let mut history = ConnectionHistory::new();
    let carried = (0..10_000).take_while(|number| {
        let next = case(Some(mark(*number)), 0);
        let is_used = history.decide(next) == ReuseStep::Use;
        history.record_sent(next.mark);
        is_used
    });
    assert_eq!(carried.count(), 512);
    assert!(!history.is_kept());
}

/// Guards against a request that meets the end of an idle connection.
#[test]
fn idle_connections_are_closed_in_time() {
    let history = ConnectionHistory::new();
    for (is_idempotent, keep_alive, limit_ms) in [
        (false, None, 800),
        (true, None, 4_000),
        (true, Some(3_000), 2_000),
        (false, Some(3_000), 800),
        (false, Some(1_500), 500),
        (true, Some(60_000), 4_000),
    ] {
        let at = |idle_ms| ReuseCase {
            is_idempotent,
            keep_alive: keep_alive.map(ClockSpan::new),
            ..case(Some(mark(1)), idle_ms)
        };
        assert_eq!(history.decide(at(limit_ms - 1)), ReuseStep::Use);
        assert_eq!(history.decide(at(limit_ms)), ReuseStep::Close);
    }
}

quickcheck! {
    /// Guards against a repeated id in any order of requests.
    fn no_id_is_used_twice(numbers: Vec<u8>) -> bool {
        let mut history = ConnectionHistory::new();
        let mut sent = Vec::new();
        numbers.iter().all(|number| {
            let next = case(Some(mark(usize::from(*number))), 0);
            let is_used = history.decide(next) == ReuseStep::Use;
            let is_new = !sent.contains(number);
            if is_used {
                history.record_sent(next.mark);
                sent.push(*number);
            }
            is_used == is_new
        })
    }
}
