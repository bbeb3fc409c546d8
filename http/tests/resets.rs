//! Responses without a declared length, on connections that are reset or closed at their end.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use fescuestack_http::{
    BufferedRequest, BufferedResponse, ExchangeConnection, ExchangeError, within,
};
use http::{HeaderMap, HeaderValue, Method};
use socket2::SockRef;

const LIMIT: Duration = Duration::from_secs(20);

/// More than the socket buffers hold, so that the upload is still being written.
const UPLOAD_BYTES: usize = 64 * 1024 * 1024;

/// An upload that the socket buffers hold.
const SHORT_UPLOAD_BYTES: usize = 200 * 1024;

/// Number of bytes of an upload that the server reads after its response.
const READ_BYTES: usize = 256 * 1024;

/// Number of exchanges of each kind, since an event may be noticed by a read or by a write.
const EXCHANGES: usize = 20;

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// Reads some of the upload and resets the connection.
    Reset,
    /// Ends its side of the connection and reads on.
    Close,
    /// Ends its side of the connection and closes it while the upload arrives, which resets the other
    /// side.
    CloseUnread,
}

/// Serves one connection: writes a response with `status` and a body of `body_bytes` bytes as soon as
/// the head of the request has arrived.
fn serve(status: u16, body_bytes: usize, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut response = format!("HTTP/1.1 {status} Reason\r\nx: y\r\n\r\n").into_bytes();
        response.resize(response.len() + body_bytes, b'b');
        let _ = stream.read(&mut [0; 1024]);
        let _ = stream.write_all(&response);
        match ending {
            Ending::Reset => {
                read_upload(&mut stream);
                let linger = Some(Duration::ZERO);
                SockRef::from(&stream).set_linger(linger).expect("a socket option");
            }
            Ending::Close => {
                let _ = stream.shutdown(Shutdown::Write);
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
            }
            Ending::CloseUnread => {
                let _ = stream.shutdown(Shutdown::Write);
            }
        }
    });
    address
}

fn read_upload(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(Duration::from_millis(20))).expect("a socket option");
    let (mut buffer, mut left) = ([0; 16 * 1024], READ_BYTES);
    while left > 0 {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => left = left.saturating_sub(count),
            _ => return,
        }
    }
}

fn exchange(address: SocketAddr, upload: &Bytes) -> Result<BufferedResponse, ExchangeError> {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    let method = if upload.is_empty() { Method::GET } else { Method::POST };
    let (target, body) = ("/".to_owned(), upload.clone());
    let request = BufferedRequest { method, target, headers, body };
    task::block_on(async {
        let mut connection = ExchangeConnection::open(address, LIMIT).await?;
        let outcome = within(LIMIT, connection.exchange(&request, None)).await;
        outcome.expect("the exchange ends on its own")
    })
}

/// Guards against a response that breaks off at a reset and that is taken for a complete one. While an
/// upload is being written, its write can report the reset in place of the read, which then sees an
/// ordinary end of the connection.
#[test]
fn response_that_a_reset_breaks_off_is_not_complete() {
    for upload_bytes in [0, SHORT_UPLOAD_BYTES, UPLOAD_BYTES] {
        let upload = Bytes::from(vec![b'u'; upload_bytes]);
        for (status, body_bytes) in
            [(200, 4), (200, 20_000), (200, 300_000), (500, 4), (500, 300_000)]
        {
            let complete = (0..EXCHANGES)
                .filter(|_| exchange(serve(status, body_bytes, Ending::Reset), &upload).is_ok())
                .count();
            assert_eq!(
                complete, 0,
                "of {EXCHANGES}, status {status}, {body_bytes} bytes, upload of {upload_bytes}"
            );
        }
    }
}

/// Guards against losing a complete response because its server closes the connection without
/// reading the rest of the upload. The server has ended its side, so that all bytes have arrived.
#[test]
fn response_before_the_end_of_an_upload_is_complete() {
    let upload = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    for (ending, body_bytes) in
        [(Ending::Close, 4), (Ending::Close, 300_000), (Ending::CloseUnread, 4)]
    {
        for index in 0..EXCHANGES {
            let outcome = exchange(serve(200, body_bytes, ending), &upload);
            let outcome = outcome.map(|response| response.body.len());
            let complete = matches!(outcome, Ok(length) if length == body_bytes);
            assert!(complete, "exchange {index}, {ending:?}, {body_bytes} bytes: {outcome:?}");
        }
    }
}
