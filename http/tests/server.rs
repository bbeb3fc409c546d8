//! Framing of server connections, tested over loopback sockets. Where a test says so, plain
//! `async-h1` has the fault that the test guards against.

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{SocketAddr, TcpListener, TcpStream};
use async_std::task;
use fescuestack_http::{HttpFault, ServerSettings, serve_listener};
use http_types::{Request, Response, StatusCode};

fn short_limits() -> ServerSettings {
    let limit = Duration::from_millis(200);
    ServerSettings { head_timeout: limit, progress_timeout: limit, ..ServerSettings::default() }
}

/// Responds with the path and the complete body, or with status 500 if the body is truncated.
async fn echo(incoming: Result<Request, HttpFault>) -> Response {
    let mut request = match incoming {
        Ok(request) => request,
        Err(fault) => return fault.response(),
    };
    let body = request.take_body().into_bytes().await;
    let mut response = Response::new(StatusCode::Ok);
    match body {
        Ok(body) => {
            let body = String::from_utf8_lossy(&body).into_owned();
            response.set_body(format!("{} {body};", request.url().path()));
        }
        Err(_) => response.set_status(StatusCode::InternalServerError),
    }
    response
}

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(serve_listener(listener, short_limits(), echo));
    address
}

/// Starts a server on plain `async-h1`, to show the faults that this crate prevents.
async fn start_raw() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(async move {
                let _ =
                    async_h1::accept(stream, |request| async { Ok(echo(Ok(request)).await) }).await;
            });
        }
    });
    address
}

/// Sends `parts` with pauses and reads until the server closes or sends nothing for a while.
async fn exchange(address: SocketAddr, parts: &[&[u8]], half_close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            task::sleep(Duration::from_millis(20)).await;
        }
        // A server that rejects the request may close before the last part.
        if stream.write_all(part).await.is_err() {
            break;
        }
    }
    if half_close {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    let silence = Duration::from_millis(600);
    while let Ok(Ok(count)) = async_std::future::timeout(silence, stream.read(&mut buffer)).await {
        if count == 0 {
            break;
        }
        response.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&response).into_owned()
}

const TWO_REQUESTS: &[u8] = b"POST /one HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc\
    GET /two HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against dropping the second request of a packet, as plain `async-h1` does.
#[test]
fn serves_pipelined_requests() {
    task::block_on(async {
        let response = exchange(start().await, &[TWO_REQUESTS], false).await;
        assert!(response.contains("/one abc;"), "{response}");
        assert!(response.contains("/two ;"), "{response}");
        let raw = exchange(start_raw().await, &[TWO_REQUESTS], false).await;
        assert!(raw.contains("/one abc;") && !raw.contains("/two"), "{raw}");
    })
}

/// Guards against dropping a request that follows a chunked one in the same packet.
#[test]
fn serves_pipelined_chunks() {
    task::block_on(async {
        let parts: &[&[u8]] = &[
            b"POST /one HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0",
            b"\r\nt: 1\r\n\r",
            b"\nGET /two HTTP/1.1\r\nhost: a\r\n\r\n",
        ];
        let response = exchange(start().await, parts, false).await;
        assert!(response.contains("/one abc;"), "{response}");
        assert!(response.contains("/two ;"), "{response}");
        let raw = exchange(start_raw().await, parts, false).await;
        assert!(!raw.contains("/one abc;"), "{raw}");
    })
}

/// Guards against accepting a truncated upload as complete, as plain `async-h1` does.
#[test]
fn reports_truncated_upload() {
    task::block_on(async {
        let truncated: &[&[u8]] =
            &[b"POST /cut HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc"];
        let response = exchange(start().await, truncated, true).await;
        assert!(response.starts_with("HTTP/1.1 500"), "{response}");
        let raw = exchange(start_raw().await, truncated, true).await;
        assert!(raw.contains("/cut abc;"), "{raw}");
    })
}

/// Guards against accepting the end of the connection or an empty size line as the last chunk.
#[test]
fn reports_truncated_chunks() {
    task::block_on(async {
        let head = b"POST /cut HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        for body in [
            &b"3\r\nabc\r\n0\r\n"[..],
            b"3\r\nabc\r\n\r\n",
            b"3\r\nabc\r\n",
            b"3\r\nabcd\r\n0\r\n\r\n",
        ] {
            let response = exchange(start().await, &[head, body], true).await;
            assert!(response.starts_with("HTTP/1.1 500"), "{body:?}: {response}");
        }
        let raw = exchange(start_raw().await, &[head, b"3\r\nabc\r\n0\r\n"], true).await;
        assert!(raw.contains("/cut abc;"), "{raw}");
    })
}

/// Guards against request smuggling with ambiguous body lengths.
#[test]
fn refuses_ambiguous_length() {
    task::block_on(async {
        let heads = [
            "content-length: 3\r\ncontent-length: 4",
            "content-length: 3\r\ntransfer-encoding: chunked",
            "transfer-encoding: chunked\r\ncontent-length: 3",
            "transfer-encoding: gzip, chunked",
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
            "content-length: +3",
            "content-length: 3, 3",
            "content-length: 99999999999999999999",
            "content-length : 3",
            "x: 1\n content-length: 3",
            "x: caf\u{e9}",
            "host: b",
        ];
        let address = start().await;
        for lines in heads {
            let head = format!("POST /x HTTP/1.1\r\nhost: a\r\n{lines}\r\n\r\nabcd");
            let response = exchange(address, &[head.as_bytes()], false).await;
            assert!(response.starts_with("HTTP/1.1 400"), "{lines}: {response}");
            assert!(
                response.to_ascii_lowercase().contains("connection: close"),
                "{lines}: {response}"
            );
            assert!(!response.contains("/x"), "{lines}: {response}");
        }
        let head =
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd";
        let raw = exchange(start_raw().await, &[head], false).await;
        assert!(raw.contains("/x abcd;"), "plain async-h1 uses the last length: {raw}");
    })
}

/// Guards against unlimited heads. Plain `async-h1` closes the connection without a response.
#[test]
fn refuses_long_head() {
    task::block_on(async {
        let long = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(9000));
        let response = exchange(start().await, &[long.as_bytes()], false).await;
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
        let many = format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "x: y\r\n".repeat(101));
        let response = exchange(start().await, &[many.as_bytes()], false).await;
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
        let raw = exchange(start_raw().await, &[long.as_bytes()], false).await;
        assert!(raw.is_empty(), "{raw}");
    })
}

/// Guards against a client that keeps a connection by stalling in a head or a body.
#[test]
fn limits_slow_senders() {
    task::block_on(async {
        let address = start().await;
        let response = exchange(address, &[b"GET / HTT"], false).await;
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        let body = b"POST /slow HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc";
        let response = exchange(address, &[body], false).await;
        assert!(response.starts_with("HTTP/1.1 500"), "{response}");
    })
}

/// Guards against a `100 Continue` that is missing or follows the response.
#[test]
fn sends_continue_before_response() {
    task::block_on(async {
        let head =
            b"POST /c HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nexpect: 100-continue\r\n\r\n";
        let response = exchange(start().await, &[head, b"abc"], false).await;
        assert!(response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{response}");
        assert!(response.contains("/c abc;"), "{response}");
    })
}

/// Guards against closing a connection after a response, and against keeping it after `close`.
#[test]
fn keeps_connection_as_asked() {
    task::block_on(async {
        let address = start().await;
        let get = b"GET /k HTTP/1.1\r\nhost: a\r\n\r\n";
        let response = exchange(address, &[get, get], false).await;
        assert_eq!(response.matches("/k ;").count(), 2, "{response}");
        let last = b"GET /k HTTP/1.1\r\nhost: a\r\nconnection: x, close\r\n\r\n";
        let response = exchange(address, &[last, get], false).await;
        assert_eq!(response.matches("/k ;").count(), 1, "{response}");
    })
}

/// Guards against a handler that keeps running after its client has disconnected.
#[test]
fn drops_handler_of_closed_connection() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, receiver) = async_std::channel::bounded::<()>(1);
        task::spawn(serve_listener(listener, short_limits(), move |_| {
            let sender = sender.clone();
            async move {
                let _held = sender;
                std::future::pending().await
            }
        }));
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        task::sleep(Duration::from_millis(50)).await;
        assert_eq!(receiver.sender_count(), 2);
        drop(stream);
        for _ in 0..100 {
            if receiver.sender_count() == 1 {
                return;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        panic!("the handler is still running");
    })
}

/// An endless body that closes its channel when it is dropped.
struct EndlessBody(#[allow(dead_code)] async_std::channel::Sender<()>);

impl futures_lite::AsyncRead for EndlessBody {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        out: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        out.fill(b'x');
        std::task::Poll::Ready(Ok(out.len()))
    }
}

/// Guards against a client that occupies a connection and its memory by not reading the response.
#[test]
fn limits_slow_readers() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, receiver) = async_std::channel::bounded::<()>(1);
        task::spawn(serve_listener(listener, short_limits(), move |_| {
            let body = futures_lite::io::BufReader::new(EndlessBody(sender.clone()));
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(http_types::Body::from_reader(body, None));
            async { response }
        }));
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        stream.read_exact(&mut [0; 1000]).await.unwrap();
        for _ in 0..500 {
            if receiver.sender_count() == 1 {
                return;
            }
            task::sleep(Duration::from_millis(10)).await;
        }
        panic!("the response is still being written");
    });
}

/// Guards against a client that removes a header which callers and nodes rely on, such as the key of a
/// request that must not run twice, by naming it in `Connection`.
#[test]
fn connection_header_cannot_remove_end_to_end_headers() {
    async fn echo_headers(incoming: Result<Request, HttpFault>) -> Response {
        let request = incoming.expect("a request");
        let names = ["host", "fescuestack-key", "content-type", "x-hop", "x-second-hop"];
        let found: Vec<_> =
            names.into_iter().filter(|name| request.header(*name).is_some()).collect();
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(format!("{};", found.join(" ")));
        response
    }
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        task::spawn(serve_listener(listener, short_limits(), echo_headers));
        let request =
            b"GET / HTTP/1.1\r\nHost: h\r\nFescuestack-Key: k\r\nContent-Type: text/plain\r\n\
            X-Hop: 1\r\nX-Second-Hop: 1\r\nConnection: host, x-hop, Fescuestack-Key\r\n\
            Connection: content-type,x-second-hop\r\n\r\n";
        let answer = exchange(address, &[request], false).await;
        assert!(answer.ends_with("host fescuestack-key content-type;"), "{answer}");
    });
}
