//! Framing of client connections, tested over loopback sockets. Where a test says so, plain
//! `async-h1` has the fault that the test guards against.

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{SocketAddr, TcpListener, TcpStream};
use async_std::task;
use fescuestack_http::{ClientConnection, LossCause, ResponseMatch, SendError};
use futures_lite::future::poll_once;
use http::HeaderMap;
use http_types::{Body, Method, Request, Response, Url};

const LIMIT: Duration = Duration::from_secs(5);

/// Starts a server that writes the parts of `response` with pauses after each read from a client.
async fn start(response: &'static [&'static [u8]], close: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            task::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                    for part in response {
                        stream.write_all(part).await.unwrap();
                        task::sleep(Duration::from_millis(10)).await;
                    }
                    if close {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn request(method: Method) -> Request {
    Request::new(method, Url::parse("http://service/path?q=1").unwrap())
}

async fn open(address: SocketAddr) -> ClientConnection {
    ClientConnection::open(address, LIMIT).await.unwrap()
}

async fn raw_body(address: SocketAddr) -> http_types::Result<String> {
    let stream = TcpStream::connect(address).await.unwrap();
    let mut response = async_h1::connect(stream, request(Method::Get)).await?;
    response.body_string().await
}

/// Guards against returning `100 Continue` or `103 Early Hints` as the response, as plain
/// `async-h1` does.
#[test]
fn skips_interim_responses() {
    task::block_on(async {
        const ANSWER: &[&[u8]] = &[
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n",
        b"content-length: 2\r\n\r\nok",
    ];
        let address = start(ANSWER, false).await;
        let mut connection = open(address).await;
        for _ in 0..2 {
            let mut response = connection.send(request(Method::Get)).await.unwrap();
            assert_eq!(response.status(), 200);
            assert_eq!(response.body_string().await.unwrap(), "ok");
            assert!(connection.is_reusable());
        }
        let stream = TcpStream::connect(address).await.unwrap();
        let raw = async_h1::connect(stream, request(Method::Get)).await.unwrap();
        assert_eq!(raw.status(), 100);
    })
}

/// Guards against accepting a truncated response, as plain `async-h1` does for a declared length
/// and for a missing end of the last chunk.
#[test]
fn reports_truncated_responses() {
    task::block_on(async {
        const LENGTH: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc"];
        const CHUNK: &[&[u8]] =
            &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"];
        const LAST: &[&[u8]] =
            &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"];
        const SIZE: &[&[u8]] =
            &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n\r\n"];
        for parts in [LENGTH, CHUNK, LAST, SIZE] {
            let mut connection = open(start(parts, true).await).await;
            let mut response = connection.send(request(Method::Get)).await.unwrap();
            assert!(response.body_bytes().await.is_err(), "{parts:?}");
            assert!(!connection.is_reusable(), "{parts:?}");
        }
        assert_eq!(raw_body(start(LENGTH, true).await).await.unwrap(), "abc");
        assert_eq!(raw_body(start(LAST, true).await).await.unwrap(), "abc");
    })
}

/// Guards against a response whose head breaks off and that is taken for a complete one.
#[test]
fn head_that_breaks_off_is_an_error() {
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 2\r\n\r\nok";
    let head_length = RESPONSE.len() - 2;
    task::block_on(async {
        for length in 1..head_length {
            let parts: &'static [&'static [u8]] = vec![&RESPONSE[..length]].leak();
            let mut connection = open(start(parts, true).await).await;
            let outcome = connection.send(request(Method::Get)).await;
            assert!(outcome.is_err(), "complete after {length} bytes: {outcome:?}");
        }
    })
}

/// Guards against ambiguous responses. Plain `async-h1` uses the last of two lengths and reads no
/// body if there is no length.
#[test]
fn refuses_ambiguous_responses() {
    task::block_on(async {
        const DIFFERING: &[&[u8]] =
            &[b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 2\r\n\r\nhello"];
        const BOTH: &[&[u8]] =
            &[b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello"];
        const ABSENT: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\n\r\nhello"];
        const HEAD: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\ncontent-le"];
        for parts in [DIFFERING, BOTH, ABSENT, HEAD] {
            let mut connection = open(start(parts, true).await).await;
            let error = connection.send(request(Method::Get)).await.unwrap_err();
            let invalid = matches!(
                error,
                SendError::Lost { cause: LossCause::InvalidResponse(_) | LossCause::HeadTruncated }
            );
            assert!(invalid, "{parts:?}: {error}");
            assert!(!connection.is_reusable());
            assert!(!format!("{error:?}").contains("backtrace"));
        }
        assert_eq!(raw_body(start(DIFFERING, true).await).await.unwrap(), "he");
        assert_eq!(raw_body(start(ABSENT, true).await).await.unwrap(), "");
    })
}

/// Guards against the date header with line breaks that plain `async-h1` adds.
#[test]
fn adds_no_broken_date() {
    task::block_on(async {
        const ANSWER: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"];
        let address = start(ANSWER, false).await;
        let response = open(address).await.send(request(Method::Get)).await.unwrap();
        assert!(response.header("date").is_none());
        let stream = TcpStream::connect(address).await.unwrap();
        let raw = async_h1::connect(stream, request(Method::Get)).await.unwrap();
        assert!(raw.header("date").unwrap().as_str().contains('\n'));
    })
}

/// Waits until the connection detects what the server did after its response.
async fn becomes_unusable(connection: &ClientConnection) -> bool {
    for _ in 0..500 {
        if !connection.is_reusable() {
            return true;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Guards against reading the response to an earlier request: a connection isn't reused if its
/// exchange was abandoned, if bytes follow its response or if the server has closed it.
#[test]
fn never_reuses_unusable_connections() {
    task::block_on(async {
        const SLOW: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n", b"abc"];
        let mut connection = open(start(SLOW, false).await).await;
        drop(connection.send(request(Method::Get)).await.unwrap());
        let error = connection.send(request(Method::Get)).await.unwrap_err();
        assert!(matches!(error, SendError::NotSent { .. }), "{error}");

        let mut connection = open(start(&[], false).await).await;
        assert!(poll_once(connection.send(request(Method::Get))).await.is_none());
        assert!(!connection.is_reusable());

        const EXTRA: &[&[u8]] =
            &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", b"HTTP/1.1 500 X\r\n"];
        let mut connection = open(start(EXTRA, false).await).await;
        connection.send(request(Method::Get)).await.unwrap();
        assert!(becomes_unusable(&connection).await);

        const CLOSED: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"];
        let mut connection = open(start(CLOSED, true).await).await;
        connection.send(request(Method::Get)).await.unwrap();
        assert!(becomes_unusable(&connection).await);
    })
}

/// Guards against buffering of whole bodies: the server echoes an upload while it is being
/// received.
#[test]
fn streams_both_ways() {
    task::block_on(async {
        use fescuestack_http::{HttpFault, ServerSettings, serve_listener};
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let echo = |incoming: Result<Request, HttpFault>| async {
            let mut response = Response::new(200);
            response.set_body(incoming.unwrap().take_body());
            response
        };
        task::spawn(serve_listener(listener, ServerSettings::default(), echo));
        const BYTES: usize = 3_000_000;
        let pattern: Vec<u8> = (0..BYTES).map(|index| (index % 251) as u8).collect();
        let mut connection = open(address).await;
        for declared in [Some(BYTES), None, Some(BYTES)] {
            let mut upload = request(Method::Post);
            let reader = futures_lite::io::Cursor::new(pattern.clone());
            upload.set_body(Body::from_reader(reader, declared));
            let mut response = connection.send(upload).await.unwrap();
            assert_eq!(response.len(), declared);
            assert!(response.body_bytes().await.unwrap() == pattern);
            assert!(connection.is_reusable());
        }
    })
}

/// Guards against an upload that is shorter than declared and leaves the server waiting.
#[test]
fn reports_short_upload() {
    task::block_on(async {
        let address = start(&[], false).await;
        let mut upload = request(Method::Post);
        upload.set_body(Body::from_reader(
            futures_lite::io::Cursor::new(vec![0; 100_000]),
            Some(200_000),
        ));
        let error = open(address).await.send(upload).await.unwrap_err();
        assert!(matches!(error, SendError::Lost { cause: LossCause::RequestBody(_) }), "{error}");
    })
}

/// Guards against dropping the length of a response to HEAD, or waiting for a body of that length.
#[test]
fn keeps_length_of_head_responses() {
    task::block_on(async {
        const ANSWER: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\ncontent-length: 70\r\n\r\n"];
        let mut connection = open(start(ANSWER, false).await).await;
        let response = connection.send(request(Method::Head)).await.unwrap();
        assert_eq!(response.len(), Some(70));
        assert!(connection.is_reusable());
    })
}

/// Compares the header `id` of a response with `new`, the id of the request.
fn compare_ids(headers: &HeaderMap) -> ResponseMatch {
    match headers.get("id").map(|id| id.as_bytes()) {
        Some(b"new") => ResponseMatch::Current,
        Some(b"old") => ResponseMatch::Earlier,
        _ => ResponseMatch::Unclear,
    }
}

/// Guards against a response to an earlier request that is returned, or whose body is taken for the next
/// response, while the request is still being sent.
#[test]
fn skips_responses_to_earlier_requests() {
    task::block_on(async {
        const CHUNKED: &[u8] =
            b"HTTP/1.1 200 OK\r\nid: old\r\ntransfer-encoding: chunked\r\n\r\n4\r\nHTT";
        const EMPTY: &[u8] = b"HTTP/1.1 304 Not Modified\r\nid: old\r\ncontent-length: 9\r\n\r\n";
        const LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 4\r\n\r\nHT";
        const CURRENT: &[u8] = b"HTTP/1.1 200 OK\r\nid: new\r\ncontent-length: 2\r\n\r\nok";
        let address =
            start(&[CHUNKED, b"P\r\n0\r\n\r\n", EMPTY, LENGTH, b"TP", CURRENT], false).await;
        for length in [10, 100_000] {
            let mut connection = open(address).await;
            let mut request = request(Method::Post);
            request.set_body(vec![b'x'; length]);
            let mut response = connection.send_matched(request, compare_ids).await.unwrap();
            assert_eq!(response.body_string().await.unwrap(), "ok");
        }
    });
}

/// Guards against a refusal that is returned although it names another request, and against an endless
/// exchange with a server that repeats an earlier response.
#[test]
fn unmatched_responses_are_lost() {
    task::block_on(async {
        const FOREIGN: &[u8] = b"HTTP/1.1 503 Busy\r\nid: other\r\ncontent-length: 0\r\n\r\n";
        const EARLIER: &[u8] = b"HTTP/1.1 503 Busy\r\nid: old\r\ncontent-length: 0\r\n\r\n";
        const CURRENT: &[u8] = b"HTTP/1.1 200 OK\r\nid: new\r\ncontent-length: 0\r\n\r\n";
        let repeated = |count: usize| -> &'static [u8] {
            Box::leak([EARLIER.repeat(count), CURRENT.to_vec()].concat().into_boxed_slice())
        };
        let lost = Err(SendError::Lost { cause: LossCause::UnmatchedResponse });
        for (response, expected) in
            [(FOREIGN, lost), (repeated(1_024), Ok(200)), (repeated(1_025), lost)]
        {
            let parts: &'static [&'static [u8]] = Box::leak(Box::new([response]));
            let mut connection = open(start(parts, false).await).await;
            let result = connection.send_matched(request(Method::Get), compare_ids).await;
            assert_eq!(result.map(|response| response.status() as u16), expected);
        }
    });
}
