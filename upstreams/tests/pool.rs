//! Tests of connection reuse, limits and result codes over loopback sockets.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{SocketAddr, TcpListener, TcpStream};
use async_std::task;
use fescuestack_core::ResultCode;
use fescuestack_upstreams::{
    ConnectionPool, ExchangeError, ExchangeLimits, PeerKind, PoolSettings, PoolTable,
    RelayResponseHead,
};
use http_types::{Method, Request, Response, Url};

/// Number of the next request, which makes its id.
static NEXT_REQUEST: AtomicUsize = AtomicUsize::new(0);

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A server that sends a fixed response with the id of the request to each request, and counts its
/// connections.
struct CountingServer {
    address: SocketAddr,
    opened_connections: Arc<AtomicUsize>,
    ended_connections: Arc<AtomicUsize>,
}

impl CountingServer {
    async fn start(response: &'static [u8], delay: Duration, close: bool) -> CountingServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let opened_connections = Arc::new(AtomicUsize::new(0));
        let ended_connections = Arc::new(AtomicUsize::new(0));
        let counts = (opened_connections.clone(), ended_connections.clone());
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counts.0.fetch_add(1, Ordering::SeqCst);
                let ended_connections = counts.1.clone();
                task::spawn(async move {
                    let _ = serve_connection(stream, response, delay, close).await;
                    ended_connections.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        CountingServer { address, opened_connections, ended_connections }
    }

    fn opened_connections(&self) -> usize {
        self.opened_connections.load(Ordering::SeqCst)
    }

    fn pool(&self, limit: usize) -> Arc<ConnectionPool> {
        ConnectionPool::new(self.address, PeerKind::Upstream, limit, short_idle_settings())
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    response: &[u8],
    delay: Duration,
    close: bool,
) -> std::io::Result<()> {
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            break;
        }
        let request = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
        let id = request.lines().find(|line| line.starts_with("fescuestack-request:"));
        let head_end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let head = &response[..head_end.unwrap_or(0)];
        let id = head_end.and(id).map(|line| format!("\r\n{line}")).unwrap_or_default();
        task::sleep(delay).await;
        stream.write_all(&[head, id.as_bytes(), &response[head.len()..]].concat()).await?;
        if close {
            break;
        }
    }
    Ok(())
}

fn short_idle_settings() -> PoolSettings {
    PoolSettings {
        non_idempotent_idle_timeout: Duration::from_millis(100),
        ..PoolSettings::default()
    }
}

fn limits(millis: u64, idempotent: bool) -> ExchangeLimits {
    ExchangeLimits { deadline: Instant::now() + Duration::from_millis(millis), idempotent }
}

fn request() -> Request {
    let mut request = Request::new(Method::Get, Url::parse("http://service/path").unwrap());
    let number = NEXT_REQUEST.fetch_add(1, Ordering::SeqCst);
    request.insert_header("fescuestack-request", number.to_string());
    request
}

async fn call(pool: &Arc<ConnectionPool>, limits: ExchangeLimits) -> Result<String, ExchangeError> {
    let mut response = pool.exchange(request(), limits).await?;
    let mut bytes = Vec::new();
    let mut body = response.take_body();
    futures_lite::AsyncReadExt::read_to_end(&mut body, &mut bytes)
        .await
        .map_err(|error| ExchangeError::from_body_error(&error))?;
    Ok(String::from_utf8(bytes).unwrap())
}

/// Guards against a new connection for each call, and against sending a non-idempotent request on
/// one that the server may be about to close.
#[test]
fn reuses_fresh_connections() {
    task::block_on(async {
        let server = CountingServer::start(RESPONSE, Duration::ZERO, false).await;
        let pool = server.pool(4);
        for _ in 0..5 {
            assert_eq!(call(&pool, limits(5000, false)).await.unwrap(), "ok");
        }
        assert_eq!(server.opened_connections(), 1);
        task::sleep(Duration::from_millis(150)).await;
        call(&pool, limits(5000, true)).await.unwrap();
        assert_eq!(
            server.opened_connections(),
            1,
            "an idempotent request may use an older connection"
        );
        task::sleep(Duration::from_millis(150)).await;
        call(&pool, limits(5000, false)).await.unwrap();
        assert_eq!(server.opened_connections(), 2);
    });
}

/// Guards against sending on a connection that the server closed.
#[test]
fn drops_closed_connections() {
    task::block_on(async {
        let server = CountingServer::start(RESPONSE, Duration::ZERO, true).await;
        let pool = server.pool(4);
        for _ in 0..3 {
            call(&pool, limits(5000, true)).await.unwrap();
            task::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(server.opened_connections(), 3);
    });
}

/// Guards against more connections than the upstream accepts.
#[test]
fn enforces_connection_limit() {
    task::block_on(async {
        let server = CountingServer::start(RESPONSE, Duration::from_millis(20), false).await;
        let pool = server.pool(2);
        let calls: Vec<_> = (0..8)
            .map(|_| {
                let pool = pool.clone();
                task::spawn(async move { call(&pool, limits(5000, true)).await })
            })
            .collect();
        for call in calls {
            assert_eq!(call.await.unwrap(), "ok");
        }
        assert!(server.opened_connections() <= 2, "{} connections", server.opened_connections());
        let single_connection_pool = server.pool(1);
        let held = single_connection_pool.exchange(request(), limits(5000, true));
        let waiting = call(&single_connection_pool, limits(5, true));
        let (held, waited) = futures_lite::future::zip(held, waiting).await;
        assert_eq!(held.unwrap().status(), 200);
        let error = waited.unwrap_err();
        assert_eq!(error.code, ResultCode::PatienceSpent);
    });
}

/// Guards against result codes that misreport whether the request was executed.
#[test]
fn maps_failures_to_codes() {
    task::block_on(async {
        let unused_address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let pool =
            ConnectionPool::new(unused_address, PeerKind::Upstream, 1, short_idle_settings());
        let code = |result: Result<String, ExchangeError>| result.unwrap_err().code;
        assert_eq!(code(call(&pool, limits(5000, true)).await), ResultCode::ConnectFailed);

        let closing_server = CountingServer::start(b"", Duration::ZERO, true).await;
        assert_eq!(
            code(call(&closing_server.pool(1), limits(5000, true)).await),
            ResultCode::UpstreamLost
        );
        let node_pool =
            ConnectionPool::new(closing_server.address, PeerKind::Node, 1, short_idle_settings());
        assert_eq!(code(call(&node_pool, limits(5000, true)).await), ResultCode::LinkLost);

        let silent_server = CountingServer::start(RESPONSE, Duration::from_secs(60), false).await;
        let pool = silent_server.pool(1);
        assert_eq!(code(call(&pool, limits(100, true)).await), ResultCode::PatienceOver);
        assert_eq!(pool.idle_count(), 0);

        for (response, close) in [
            (&b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok"[..], true),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", true),
            (b"HTTP/1.1 200 OK\r\ncontent-le", true),
        ] {
            let server = CountingServer::start(response, Duration::ZERO, close).await;
            let pool = server.pool(1);
            assert_eq!(code(call(&pool, limits(5000, true)).await), ResultCode::AnswerTruncated);
            assert_eq!(pool.idle_count(), 0);
        }
        let stalled = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok";
        let server = CountingServer::start(stalled, Duration::ZERO, false).await;
        assert_eq!(code(call(&server.pool(1), limits(100, true)).await), ResultCode::PatienceOver);
    });
}

/// Guards against an upstream that keeps working for a caller that has disconnected, and against
/// a permit that is lost with the cancelled exchange.
#[test]
fn cancels_by_closing() {
    task::block_on(async {
        let server = CountingServer::start(RESPONSE, Duration::from_millis(100), false).await;
        let pool = server.pool(1);
        let exchange = pool.exchange(request(), limits(5000, true));
        let cancelled = async_std::future::timeout(Duration::from_millis(50), exchange).await;
        assert!(cancelled.is_err());
        for _ in 0..100 {
            if server.ended_connections.load(Ordering::SeqCst) == 1 {
                break;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(server.ended_connections.load(Ordering::SeqCst), 1);
        call(&pool, limits(5000, true)).await.unwrap();
        assert_eq!(server.opened_connections(), 2);
    });
}

/// Guards against pools that stay in the table after their targets are gone.
#[test]
fn forgets_unused_pools() {
    task::block_on(async {
        let server = CountingServer::start(RESPONSE, Duration::ZERO, false).await;
        let settings = PoolSettings { idle_timeout: Duration::ZERO, ..short_idle_settings() };
        let table = PoolTable::new(PeerKind::Node, settings);
        call(&table.get_or_create(server.address, 3), limits(5000, true)).await.unwrap();
        let weak = Arc::downgrade(&table.get_or_create(server.address, 3));
        assert_eq!(weak.upgrade().unwrap().idle_count(), 1);
        table.evict_idle();
        assert!(weak.upgrade().is_none());
    });
}

/// Guards against accepting the response to another request, or one not written by a node.
#[test]
fn parses_relay_response_heads() {
    let mut response = Response::new(200);
    assert_eq!(RelayResponseHead::parse(&response, "7"), None);
    response.insert_header("fescuestack-request", "7");
    response.insert_header("fescuestack-code", "100");
    response.insert_header("fescuestack-load", "1,2,3");
    let head = RelayResponseHead::parse(&response, "7").unwrap();
    assert_eq!((head.code, head.load), (ResultCode::Done, Some("1,2,3")));
    assert_eq!(RelayResponseHead::parse(&response, "8"), None);
    response.insert_header("fescuestack-code", "401");
    assert_eq!(RelayResponseHead::parse(&response, "7"), None);
}
