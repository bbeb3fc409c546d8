//! Buffered exchanges with faulty servers, tested over loopback sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use bytes::Bytes;
use fescuestack_http::{
    BufferedRequest, BufferedResponse, ByteBudget, CollectError, ExchangeConnection, ExchangeError,
    ResponseTag, collect_body, within,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use http_body_util::Full;

const LIMIT: Duration = Duration::from_secs(5);

/// Serves one connection and writes the next piece after each read.
async fn serve_script(pieces: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client");
        let mut buffer = [0; 4096];
        for piece in pieces {
            if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
                return;
            }
            stream.write_all(piece).await.expect("the client reads");
        }
    });
    address
}

fn request(id: &'static str, body: &'static [u8]) -> BufferedRequest {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    headers.insert("id", HeaderValue::from_static(id));
    let method = if body.is_empty() { Method::GET } else { Method::POST };
    BufferedRequest { method, target: "/a/".to_owned(), headers, body: Bytes::from_static(body) }
}

fn tag(id: &'static str) -> ResponseTag {
    ResponseTag { name: HeaderName::from_static("id"), value: HeaderValue::from_static(id) }
}

async fn send(
    connection: &mut ExchangeConnection,
    id: &'static str,
) -> Result<BufferedResponse, ExchangeError> {
    connection.exchange(&request(id, b""), Some(&tag(id))).await
}

fn one_exchange(response: &'static [u8]) -> Result<BufferedResponse, ExchangeError> {
    task::block_on(async {
        let address = serve_script(vec![response]).await;
        let mut connection = ExchangeConnection::open(address, LIMIT).await?;
        send(&mut connection, "1").await
    })
}

/// Guards against truncated responses that look complete.
#[test]
fn truncated_responses_are_errors() {
    let truncated: [&'static [u8]; 5] = [
        b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 10\r\n\r\n12345",
        b"HTTP/1.1 200 OK\r\nid: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\n123",
        b"HTTP/1.1 200 OK\r\nid: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n",
        b"HTTP/1.1 200 OK\r\nid: 1\r\n",
        b"",
    ];
    for response in truncated {
        let outcome = one_exchange(response);
        let expected = match outcome {
            Err(ExchangeError::ConnectionLost { .. }) => response.is_empty(),
            Err(ExchangeError::Truncated { .. }) => !response.is_empty(),
            _ => false,
        };
        assert!(expected, "{outcome:?}");
    }
}

/// Checks that a body without declared framing extends to the end of the connection.
#[test]
fn response_until_the_end_is_whole() {
    let response = one_exchange(b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\nwhole").expect("a response");
    assert_eq!(&response.body[..], b"whole");
}

/// Guards against accepting malformed and ambiguous responses, and responses to other requests.
#[test]
fn garbage_is_not_a_response() {
    let invalid: [&'static [u8]; 4] = [
        b"\x00\x01\x02 what\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n12345",
        b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: -5\r\n\r\n12345",
        b"HTTP/1.1 200 OK\r\nid: 2\r\n\r\nanother's",
    ];
    for response in invalid {
        let outcome = one_exchange(response);
        assert!(matches!(outcome, Err(ExchangeError::InvalidResponse { .. })), "{outcome:?}");
    }
}

/// Guards against taking a late duplicate of a response for the response to the next request.
#[test]
fn late_second_response_is_skipped() {
    task::block_on(async {
        let address = serve_script(vec![
            b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\none",
            b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 3\r\n\r\ntwo",
        ])
        .await;
        let mut connection = ExchangeConnection::open(address, LIMIT).await.expect("a server");
        assert_eq!(&send(&mut connection, "1").await.expect("a response").body[..], b"one");
        assert_eq!(&send(&mut connection, "2").await.expect("a response").body[..], b"two");
    });
}

/// Guards against reusing a connection whose end a skipped response has announced.
#[test]
fn connection_ends_after_a_skipped_response_that_announces_it() {
    task::block_on(async {
        let address = serve_script(vec![
            b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\none",
            b"HTTP/1.1 200 OK\r\nid: 1\r\nconnection: close\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 3\r\n\r\ntwo",
            // The server waits for a third request.
            b"",
        ])
        .await;
        let mut connection = ExchangeConnection::open(address, LIMIT).await.expect("a server");
        assert_eq!(&send(&mut connection, "1").await.expect("a response").body[..], b"one");
        assert!(connection.is_reusable().await);
        assert_eq!(&send(&mut connection, "2").await.expect("a response").body[..], b"two");
        assert!(!connection.is_reusable().await);
    });
}

/// Guards against taking the repeated refusal of an earlier request for the response to the next one,
/// which the server is executing.
#[test]
fn repeated_refusal_is_skipped() {
    const REFUSAL: &[u8] =
        b"HTTP/1.1 503 Busy\r\nid: 1\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 3\r\n\r\ntwo";
    const UNTAGGED: &[u8] = b"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
    // The bytes after the second request, and whether they hold its response.
    let scripts: [(&[&'static [u8]], bool); 4] = [
        (&[REFUSAL, ANSWER], true),
        (&[REFUSAL, REFUSAL, ANSWER], true),
        (&[REFUSAL], false),
        (&[UNTAGGED, ANSWER], false),
    ];
    for (pieces, is_answered) in scripts {
        task::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("a bound port");
            let pieces = pieces.to_vec();
            task::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a client");
                let mut buffer = [0; 4096];
                for response in [vec![REFUSAL], pieces] {
                    stream.read(&mut buffer).await.expect("a request");
                    for piece in response {
                        // Later pieces than the client may abandon the connection at are lost.
                        let _ = stream.write_all(piece).await;
                        task::sleep(Duration::from_millis(20)).await;
                    }
                }
            });
            let mut connection = ExchangeConnection::open(address, LIMIT).await.expect("a server");
            assert_eq!(send(&mut connection, "1").await.expect("a refusal").status, 503);
            match send(&mut connection, "2").await {
                Ok(response) => assert!(is_answered && response.status == 200, "{response:?}"),
                Err(err) => assert!(!is_answered, "{err}"),
            }
        });
    }
}

/// Guards against taking a response that names several requests for the response to one of them.
#[test]
fn response_with_several_tags_is_invalid() {
    for ids in ["id: 1\r\nid: 2", "id: 2\r\nid: 1", "id: 1\r\nid:"] {
        let response = format!("HTTP/1.1 200 OK\r\n{ids}\r\ncontent-length: 3\r\n\r\none");
        let outcome = one_exchange(response.into_bytes().leak());
        let is_invalid = matches!(outcome, Err(ExchangeError::InvalidResponse { .. }));
        assert!(is_invalid, "{ids:?}: {outcome:?}");
    }
    let repeated = b"HTTP/1.1 200 OK\r\nid: 1\r\nid: 1\r\ncontent-length: 3\r\n\r\none";
    assert_eq!(&one_exchange(repeated).expect("a response").body[..], b"one");
}

/// Guards against a response whose head breaks off and that reaches the caller as a complete one.
#[test]
fn head_that_breaks_off_is_no_response() {
    let responses: [&'static [u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\ncontent-length: 12\r\n\r\nwhole answer",
        b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\nid: 1\r\nsignature: s\r\n\r\nwhole answer",
        b"HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n\
            c\r\nwhole answer\r\n0\r\n\r\n",
    ];
    for response in responses {
        for length in 0..response.len() {
            let outcome = one_exchange(&response[..length]);
            assert!(outcome.is_err(), "complete after {length} bytes: {outcome:?}");
        }
        assert_eq!(&one_exchange(response).expect("a response").body[..], b"whole answer");
    }
}

/// Guards against reusing a connection after unexpected bytes, or one that the server closes after
/// its response.
#[test]
fn unusable_connections_are_not_reused() {
    let endings: [&'static [u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\nconnection: close\r\n\r\none",
        b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\none",
    ];
    for response in endings {
        task::block_on(async {
            let address = serve_script(vec![response]).await;
            let mut connection = ExchangeConnection::open(address, LIMIT).await.expect("a server");
            send(&mut connection, "1").await.expect("a response");
            assert!(!connection.is_reusable().await, "{}", String::from_utf8_lossy(response));
        });
    }
}

/// Guards against sending a request where the server expects the rest of a body: after a response
/// that precedes the end of the upload, the connection isn't reused.
#[test]
fn early_response_ends_the_connection() {
    task::block_on(async {
        let response: &[u8] = b"HTTP/1.1 413 Too Long\r\nid: 1\r\ncontent-length: 0\r\n\r\n";
        let address = serve_script(vec![response]).await;
        let mut connection = ExchangeConnection::open(address, LIMIT).await.expect("a server");
        let mut long = request("1", b"x");
        // More than the socket buffers hold.
        long.body = Bytes::from(vec![0; 32 * 1024 * 1024]);
        let response = connection.exchange(&long, Some(&tag("1"))).await.expect("a response");
        assert_eq!(response.status, 413);
        assert!(!connection.is_reusable().await);
    });
}

/// Starts a server that writes `head` and then repeats `piece` until the client closes. Returns its
/// address and the number of closed connections.
async fn serve_endless(
    head: &'static [u8],
    piece: &'static [u8],
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let closed = Arc::new(AtomicUsize::new(0));
    let count = closed.clone();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            task::spawn(async move {
                let mut buffer = [0; 4096];
                let _ = stream.read(&mut buffer).await;
                let mut sent = stream.write_all(head).await;
                while sent.is_ok() {
                    sent = stream.write_all(piece).await;
                }
                count.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, closed)
}

/// Guards against endless input in a head, in interim responses and in a body of each framing. The
/// exchanges must end on their own, close their connections and together stay within the budget.
#[test]
fn endless_responses_end() {
    const CALLS: usize = 12;
    const BUDGET: usize = 4 * 1024 * 1024;
    static ZEROS: [u8; 64 * 1024] = [b'0'; 64 * 1024];
    let responses: [(&'static [u8], &'static [u8]); 8] = [
        (b"", &ZEROS),
        (b"HTTP/1.1 200 OK\r\nid: ", &ZEROS),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", &ZEROS),
        (b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 16000000\r\n\r\n", &ZEROS),
        (
            b"HTTP/1.1 200 OK\r\nid: 0\r\ncontent-length: 3\r\n\r\nold\
              HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 16000000\r\n\r\n",
            &ZEROS,
        ),
        (b"HTTP/1.1 200 OK\r\nid: 1\r\ntransfer-encoding: chunked\r\n\r\nFFFFFFFF\r\n", &ZEROS),
    ];
    for (head, piece) in responses {
        let name =
            String::from_utf8_lossy(&[head, &piece[..piece.len().min(24)]].concat()).into_owned();
        task::block_on(async {
            let budget = ByteBudget::new(BUDGET);
            let (address, closed) = serve_endless(head, piece).await;
            let call = move |budget: Arc<ByteBudget>| async move {
                let connection = ExchangeConnection::open(address, LIMIT).await.expect("a server");
                let mut connection = connection.with_budget(&budget);
                let outcome = within(LIMIT, send(&mut connection, "1")).await;
                assert!(budget.used() <= BUDGET + CALLS * 32 * 1024, "{}", budget.used());
                outcome
            };
            let calls: Vec<_> = (0..CALLS).map(|_| task::spawn(call(budget.clone()))).collect();
            let mut whole = 0;
            for outcome in calls {
                let outcome = outcome.await;
                match outcome.expect("the exchange ends on its own") {
                    Ok(response) => whole += usize::from(response.body.len() == 16_000_000),
                    Err(ExchangeError::InvalidResponse { .. }) => (),
                    Err(err) => panic!("{name}: {err}"),
                }
            }
            assert_eq!(whole, 0, "{name}: a response exceeds the budget");
            assert_eq!(budget.used(), 0, "{name}: the reservations were not released");
            let started = Instant::now();
            while closed.load(Ordering::SeqCst) < CALLS {
                assert!(started.elapsed() < LIMIT, "{name}: a connection stays open");
                task::sleep(Duration::from_millis(10)).await;
            }
        });
    }
}

/// Guards against failing ordinary responses while long ones have exhausted the budget.
#[test]
fn short_responses_pass_a_full_budget() {
    task::block_on(async {
        let budget = ByteBudget::new(100_000);
        let mut lease = budget.reservation();
        assert!(!lease.try_grow_to(200_000));
        let address =
            serve_script(vec![b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\none"]).await;
        let connection = ExchangeConnection::open(address, LIMIT).await.expect("a server");
        let mut connection = connection.with_budget(&budget);
        assert_eq!(&send(&mut connection, "1").await.expect("a response").body[..], b"one");
        drop(lease);
        assert_eq!(budget.used(), 0);
    });
}

/// Guards against bodies that exceed their limit or the budget, and against reservations that
/// outlive their body.
#[test]
fn bodies_hold_their_part_of_the_budget() {
    task::block_on(async {
        let budget = ByteBudget::new(1_000_000);
        let body = |bytes: usize| Full::new(Bytes::from(vec![0; bytes]));
        let held = collect_body(body(600_000), usize::MAX, &budget).await.expect("there is room");
        assert_eq!((held.len(), budget.used()), (600_000, 600_000));
        let refused = collect_body(body(600_000), usize::MAX, &budget).await;
        let refused = refused.map(|body| body.len());
        assert!(matches!(refused, Err(CollectError::BudgetExhausted)), "{refused:?}");
        drop(held);
        assert_eq!(budget.used(), 0);
        let refused = collect_body(body(600_000), 500_000, &budget).await;
        let refused = refused.map(|body| body.len());
        assert!(matches!(refused, Err(CollectError::TooLong)), "{refused:?}");
        assert_eq!(budget.used(), 0);
    });
}
