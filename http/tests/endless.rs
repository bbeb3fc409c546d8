//! Peers that send bytes without end: what their input costs, and what it keeps from running.

use std::future::{Future, poll_fn};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use fescuestack_http::{
    BufferedRequest, BufferedResponse, ChunkParser, ClientConnection, ExchangeConnection,
    ExchangeError, HyperStream, within,
};
use futures_lite::AsyncRead;
use http::{HeaderMap, HeaderValue, Method};
use hyper::rt::{Read as _, ReadBuf};

const LIMIT: Duration = Duration::from_secs(20);

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Chunks whose framing is longer than their data.
const SMALL_CHUNKS: [&[u8]; 3] =
    [b"1\r\nx\r\n", b"1;extension=value\r\nx\r\n", b"1\r\nx\r\n2\r\nxx\r\n"];

/// Largest number of bytes that a connection may read before other tasks run.
const MAX_TURN_BYTES: u64 = 64 * 1024;

/// Starts a server that writes `head`, then `piece` again and again, up to `count` times, and then
/// `end`. It does not wait for a request.
fn serve(head: &[u8], piece: &[u8], count: usize, end: &[u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let pieces_per_write = (16 * 1024 / piece.len()).max(1);
    let (head, block, end) = (head.to_vec(), piece.repeat(pieces_per_write), end.to_vec());
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut sent = stream.write_all(&head);
        for _ in 0..count / pieces_per_write {
            if sent.is_err() {
                return;
            }
            sent = stream.write_all(&block);
        }
        let _ = sent.and_then(|()| stream.write_all(&end));
        // Closing with unread bytes would reset the connection.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    address
}

fn request() -> BufferedRequest {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    let (method, target, body) = (Method::GET, "/".to_owned(), Bytes::new());
    BufferedRequest { method, target, headers, body }
}

async fn exchange(
    address: SocketAddr,
    received: &Arc<AtomicU64>,
) -> Result<BufferedResponse, ExchangeError> {
    let connection = ExchangeConnection::open(address, LIMIT).await?;
    let mut connection = connection.with_byte_counter(received);
    // Lets the server fill the buffers of the connection.
    task::sleep(Duration::from_millis(200)).await;
    connection.exchange(&request(), None).await
}

/// Runs `work` and returns its output, with the largest number of bytes received in one poll.
async fn with_largest_turn<F: Future>(received: &AtomicU64, work: F) -> (F::Output, u64) {
    let mut work = pin!(work);
    let mut largest = 0;
    poll_fn(|cx| {
        let before = received.load(Ordering::Relaxed);
        let polled = work.as_mut().poll(cx);
        largest = largest.max(received.load(Ordering::Relaxed) - before);
        match polled {
            Poll::Ready(output) => Poll::Ready((output, largest)),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// Guards against a response whose framing is read without a limit: one with little data in each
/// chunk took a core until the memory budget had ended it.
#[test]
fn endless_small_chunks_end_early() {
    const MAX_RECEIVED_BYTES: u64 = 8 * 1024 * 1024;
    for piece in SMALL_CHUNKS {
        task::block_on(async {
            let received = Arc::default();
            let address = serve(CHUNKED_HEAD, piece, usize::MAX, b"");
            let outcome = within(LIMIT, exchange(address, &received)).await;
            let outcome = outcome.expect("the exchange ends on its own");
            assert!(matches!(outcome, Err(ExchangeError::InvalidResponse { .. })), "{outcome:?}");
            let received = received.load(Ordering::Relaxed);
            assert!(received < MAX_RECEIVED_BYTES, "{received} bytes received");
        });
    }
}

/// Guards against a decoder that stops at each chunk, so that its caller moves the rest of the buffer
/// once for each. For chunks of one byte, that moved up to 32 KB for each byte of data.
#[test]
fn decoder_consumes_all_small_chunks_at_once() {
    for piece in SMALL_CHUNKS {
        let bytes = piece.repeat(1_000);
        let (mut parser, mut body) = (ChunkParser::new(), Vec::new());
        let consumed = parser.decode(&bytes, &mut body).expect("chunks");
        assert_eq!(consumed, bytes.len());
        assert!(body.len() >= 1_000 && body.iter().all(|byte| *byte == b'x'), "{}", body.len());
    }
}

/// Guards against a response that keeps the thread from all other tasks, and its exchange from its
/// timeout, while its socket has data.
#[test]
fn responses_are_read_in_turns() {
    const ZEROS: &[u8] = &[b'0'; 16 * 1024];
    let unframed: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
    let framed: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 16000000\r\n\r\n";
    let chunked = SMALL_CHUNKS.map(|piece| (CHUNKED_HEAD, piece));
    for (head, piece) in chunked.into_iter().chain([(unframed, ZEROS), (framed, ZEROS)]) {
        task::block_on(async {
            let received = Arc::default();
            let address = serve(head, piece, usize::MAX, b"");
            let exchange = within(LIMIT, exchange(address, &received));
            let (outcome, largest) = with_largest_turn(&received, exchange).await;
            assert!(outcome.is_some(), "the exchange ends on its own");
            assert!(largest <= MAX_TURN_BYTES, "{largest} bytes in one turn");
        });
    }
}

/// Guards against a connection of `hyper` that keeps the thread while its socket has data. HTTP/2
/// frames of unknown types are ignored, so that a peer can send them without end.
#[test]
fn hyper_streams_are_read_in_turns() {
    task::block_on(async {
        let address = serve(b"", &[b'0'; 16 * 1024], usize::MAX, b"");
        let stream = TcpStream::connect(address).await.expect("a server");
        let mut stream = HyperStream::new(stream);
        task::sleep(Duration::from_millis(200)).await;
        let mut buffer = vec![0; 16 * 1024];
        let read_bytes = poll_fn(|cx| {
            let mut read_bytes = 0;
            loop {
                let mut target = ReadBuf::new(&mut buffer);
                match Pin::new(&mut stream).poll_read(cx, target.unfilled()) {
                    Poll::Ready(read) => read.expect("an open connection"),
                    Poll::Pending => return Poll::Ready(read_bytes),
                }
                read_bytes += target.filled().len() as u64;
            }
        });
        let read_bytes = read_bytes.await;
        assert!(0 < read_bytes && read_bytes <= MAX_TURN_BYTES, "{read_bytes} bytes in one turn");
    });
}

/// Guards against a streamed body that keeps the thread while its socket has data.
#[test]
fn streamed_bodies_are_read_in_turns() {
    for piece in SMALL_CHUNKS {
        task::block_on(async {
            let address = serve(CHUNKED_HEAD, piece, usize::MAX, b"");
            let mut connection = ClientConnection::open(address, LIMIT).await.expect("a server");
            let url = http_types::Url::parse("http://h/").expect("a URL");
            let request = http_types::Request::new(http_types::Method::Get, url);
            let mut body = connection.send(request).await.expect("a head").take_body();
            task::sleep(Duration::from_millis(200)).await;
            let mut buffer = vec![0; 16 * 1024];
            let data_bytes = poll_fn(|cx| {
                let mut data_bytes = 0;
                while data_bytes <= MAX_TURN_BYTES {
                    match Pin::new(&mut body).poll_read(cx, &mut buffer) {
                        Poll::Ready(read) => data_bytes += read.expect("an open connection") as u64,
                        Poll::Pending => break,
                    }
                }
                Poll::Ready(data_bytes)
            });
            let data_bytes = data_bytes.await;
            assert!(0 < data_bytes && data_bytes <= MAX_TURN_BYTES, "{data_bytes} in one turn");
        });
    }
}
