//! Bytes that are no valid response, sent to each reader of responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use bytes::Bytes;
use fescuestack_http::{BufferedRequest, ClientConnection, ExchangeConnection, within};
use http::{HeaderMap, HeaderValue, Method};
use http_types::Url;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const LIMIT: Duration = Duration::from_secs(5);

/// Serves one connection: reads a request, writes `response` and closes after `pause`.
async fn serve(response: &[u8], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let response = response.to_vec();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client");
        let _ = stream.read(&mut [0; 4096]).await;
        // The client may close as soon as it has seen that the response is invalid.
        let _ = stream.write_all(&response).await;
        task::sleep(pause).await;
    });
    address
}

/// A response as a reader has returned it.
type ReadResponse = Result<(u16, Vec<u8>), String>;

async fn read_buffered(address: SocketAddr) -> ReadResponse {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    let (method, target, body) = (Method::GET, "/".to_owned(), Bytes::new());
    let request = BufferedRequest { method, target, headers, body };
    let connection = ExchangeConnection::open(address, LIMIT).await;
    let mut connection = connection.map_err(|err| err.to_string())?;
    let response = connection.exchange(&request, None).await.map_err(|err| err.to_string())?;
    Ok((u16::from(response.status), response.body.to_vec()))
}

async fn read_streamed(address: SocketAddr) -> ReadResponse {
    let connection = ClientConnection::open(address, LIMIT).await;
    let mut connection = connection.map_err(|err| err.to_string())?;
    let url = Url::parse("http://h/").expect("a URL");
    let request = http_types::Request::new(http_types::Method::Get, url);
    let mut response = connection.send(request).await.map_err(|err| err.to_string())?;
    let body = response.body_bytes().await.map_err(|err| err.to_string())?;
    Ok((response.status() as u16, body))
}

/// Returns what both readers make of `response`, after which the connection stays open for `pause`.
fn read_before(response: &[u8], pause: Duration) -> [(&'static str, ReadResponse); 2] {
    task::block_on(async {
        let buffered = within(LIMIT, read_buffered(serve(response, pause).await)).await;
        let streamed = within(LIMIT, read_streamed(serve(response, pause).await)).await;
        let late = || Err("the reader still waits".to_owned());
        [("buffered", buffered.unwrap_or_else(late)), ("streamed", streamed.unwrap_or_else(late))]
    })
}

fn read(response: &[u8]) -> [(&'static str, ReadResponse); 2] {
    read_before(response, Duration::ZERO)
}

#[track_caller]
fn assert_invalid(response: &[u8]) {
    for (reader, outcome) in read(response) {
        let text = response.escape_ascii();
        assert!(outcome.is_err(), "{reader} reader took {outcome:?} from {text}");
    }
}

#[track_caller]
fn assert_valid(response: &[u8], status: u16, body: &[u8]) {
    for (reader, outcome) in read(response) {
        let text = response.escape_ascii();
        assert_eq!(outcome, Ok((status, body.to_vec())), "{reader} reader, {text}");
    }
}

/// Guards against a response whose status is not one of HTTP and that reaches the caller.
#[test]
fn statuses_outside_of_http_are_invalid() {
    let framings = ["content-length: 4\r\n\r\nbody", "transfer-encoding: chunked\r\n\r\n0\r\n\r\n"];
    for status in ["000", "099", "600", "999", "20", "2000", "2 0", "-20", "0200", "200x", ""] {
        for framing in framings {
            assert_invalid(format!("HTTP/1.1 {status} Trouble\r\n{framing}").as_bytes());
        }
        assert_invalid(format!("HTTP/1.1 {status} Trouble\r\n\r\nuntil the end").as_bytes());
    }
    for status in [200, 404, 500, 511] {
        let response = format!("HTTP/1.1 {status} Reason\r\ncontent-length: 4\r\n\r\nbody");
        assert_valid(response.as_bytes(), status, b"body");
    }
}

/// Guards against a response head that another parser splits into other lines, and that reaches the
/// caller.
#[test]
fn lines_that_do_not_end_in_crlf_are_invalid() {
    for head in [
        "HTTP/1.1 200 OK\nx: y\ncontent-length: 4\n\n",
        "HTTP/1.1 200 OK\nx: y\r\ncontent-length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx: y\ncontent-length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 4\n\r\n",
        "HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 4\r\n\n",
        "HTTP/1.1 200 OK\r\nx: y\rcontent-length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\rx: y\r\ncontent-length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx: y\r\n folded\r\ncontent-length: 4\r\n\r\n",
    ] {
        assert_invalid(format!("{head}body").as_bytes());
    }
}

/// Guards against bytes before the status line that are dropped, so that the rest is taken for a
/// response.
#[test]
fn responses_start_with_their_status_line() {
    for start in ["\r\n", "\n", "\r\n\r\n", " ", "\t", "\0", "x"] {
        let response = format!("{start}HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody");
        assert_invalid(response.as_bytes());
        let interim = format!("HTTP/1.1 100 Continue\r\n\r\n{response}");
        assert_invalid(interim.as_bytes());
    }
}

/// Guards against a response of another version, whose framing has other rules.
#[test]
fn other_versions_are_invalid() {
    for version in ["HTTP/1.0", "HTTP/1.2", "HTTP/2.0", "HTTP/2", "HTTP/11", "http/1.1", "ICY"] {
        assert_invalid(format!("{version} 200 OK\r\ncontent-length: 4\r\n\r\nbody").as_bytes());
    }
}

/// Guards against a field whose name another parser reads differently, which can hide the framing of
/// the body or reach the caller.
#[test]
fn names_with_blanks_or_control_bytes_are_invalid() {
    let names =
        ["x y", " x", "x ", "\tx", "x\t", "x\0", "\x01x", "x\x7f", "x\x1fy", "", "x\u{e9}", "x(y)"];
    for name in
        names.into_iter().chain(["content-length ", "transfer-encoding\t", " content-length"])
    {
        let framed = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n{name}: 9\r\n\r\nbody");
        assert_invalid(framed.as_bytes());
        let first = format!("HTTP/1.1 200 OK\r\n{name}: 9\r\ncontent-length: 4\r\n\r\nbody");
        assert_invalid(first.as_bytes());
        assert_invalid(format!("HTTP/1.1 200 OK\r\n{name}: 9\r\n\r\nuntil the end").as_bytes());
    }
    for value in ["a\0b", "a\x01b", "a\x7fb", "\x1b"] {
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx: {value}\r\n\r\nbody");
        assert_invalid(response.as_bytes());
    }
    assert_invalid(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nno colon\r\n\r\nbody");
}

/// Guards against a body whose end depends on which of several fields a reader uses.
#[test]
fn ambiguous_framings_are_invalid() {
    const CHUNKS: &str = "4\r\nbody\r\n0\r\n\r\n";
    for fields in [
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: gzip",
        "transfer-encoding: chunked\r\nTransfer-Encoding: identity",
        "transfer-encoding: gzip\r\ntransfer-encoding: chunked",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked, chunked",
        "transfer-encoding: identity",
        "transfer-encoding: chunked;q=1",
        "transfer-encoding:",
        "transfer-encoding: chunked\r\ncontent-length: 4",
        "content-length: 4\r\ntransfer-encoding: chunked",
        "content-length: 4\r\ncontent-length: 5",
        "content-length: 4, 4",
        "content-length: +4",
        "content-length: 4.0",
        "content-length: 0x4",
        "content-length: 18446744073709551620",
        "content-length:",
    ] {
        assert_invalid(format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{CHUNKS}").as_bytes());
    }
    let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n{CHUNKS}");
    assert_valid(chunked.as_bytes(), 200, b"body");
    let repeated = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 4\r\n\r\nbody";
    assert_valid(repeated.as_bytes(), 200, b"body");
}

/// Guards against skipping the switch to another protocol as an interim response, and taking what
/// follows for the response.
#[test]
fn switched_protocols_are_invalid() {
    const FINAL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    let switched = "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
    assert_invalid(switched.as_bytes());
    assert_invalid(format!("{switched}{FINAL}").as_bytes());
    let interim = format!("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n{FINAL}");
    assert_valid(interim.as_bytes(), 200, b"body");
}

/// Guards against waiting for the rest of a head that cannot become valid, while the server keeps the
/// connection open.
#[test]
fn invalid_heads_fail_at_once() {
    for response in
        ["HTTP/1.1 200 OK\nx: y\n\n", "\r\n\r\nHTTP", "no response", "HTTP/1.1 200 OK\r\n:"]
    {
        let started = Instant::now();
        for (reader, outcome) in read_before(response.as_bytes(), LIMIT) {
            assert!(outcome.is_err(), "{reader} reader took {outcome:?} from {response:?}");
        }
        let taken = started.elapsed();
        assert!(taken < LIMIT / 2, "both readers took {taken:?} for {response:?}");
    }
}

/// Guards against two readers that differ in what they take for a response, and against panics on what
/// a library does not expect.
#[test]
fn readers_agree_on_damaged_heads() {
    const HEAD: &[u8] =
        b"HTTP/1.1 200 OK\r\nx-y: z\r\nconnection: close\r\ncontent-length: 4\r\n\r\n";
    let mut rng = Pcg32::seed_from_u64(42);
    let mut taken = 0;
    for case in 0..2_000 {
        let mut response = HEAD.to_vec();
        for _ in 0..rng.random_range(0..3) {
            let index = rng.random_range(0..response.len());
            let byte = *b"\r\n\0\x7f\x80 \t:,;19zH".choose(&mut rng).expect("a byte");
            match rng.random_range(0..3) {
                0 => response[index] = byte,
                1 => response.insert(index, byte),
                _ => drop(response.remove(index)),
            }
        }
        response.extend_from_slice(b"body");
        let [(_, buffered), (_, streamed)] = read(&response);
        let text = response.escape_ascii();
        match &streamed {
            Ok(_) => {
                taken += 1;
                assert_eq!(buffered, streamed, "case {case}: {text}");
            }
            // The streaming reader cannot pass on a body without a declared length, nor a value or a
            // status that its library cannot hold.
            Err(err) => {
                let is_limit = err.contains("no body length") || !response.is_ascii();
                let is_known = matches!(&buffered, Ok((200, _)));
                assert!(!is_known || is_limit, "case {case}: {err}, {text}");
            }
        }
    }
    assert!(taken > 500, "{taken}");
}

/// Guards against a chunked body with bytes between its chunks or after them that are no framing.
#[test]
fn damaged_chunk_framings_are_invalid() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for trailer in
        ["no colon", "x y: z", " x: y", "x : y", ": y", "x: \0", "x: \x01", "x\x7f: y", "x: y\x1f"]
    {
        assert_invalid(format!("{HEAD}4\r\nbody\r\n0\r\n{trailer}\r\n\r\n").as_bytes());
        let second = format!("{HEAD}4\r\nbody\r\n0\r\nx: y\r\n{trailer}\r\n\r\n");
        assert_invalid(second.as_bytes());
    }
    for size in
        ["4 x", "4 4", "4\t5", "4;\0", "4;a=\x01", "4;a=\x7f", "4\0", " 4", "+4", "0x4", "", ";a"]
    {
        assert_invalid(format!("{HEAD}{size}\r\nbody\r\n0\r\n\r\n").as_bytes());
    }
    for (size, trailer) in [
        ("4", "x: y\r\nz:\r\n"),
        ("04", "x:\ty z\r\n"),
        ("4 ", ""),
        ("4\t;a=\"b\"", ""),
        ("4;\u{e9}", "x: \u{e9}\r\n"),
    ] {
        let response = format!("{HEAD}{size}\r\nbody\r\n0\r\n{trailer}\r\n");
        assert_valid(response.as_bytes(), 200, b"body");
    }
}
