//! Responses that the client of the operator port reads.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use async_std::task;
use fescuestack_operators::{ClientError, fetch};

/// Serves one connection: reads a request, writes `response` and closes.
fn serve(response: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let response = response.to_owned();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let _ = stream.read(&mut [0; 4096]);
        // The client may close as soon as it has seen that the response is invalid.
        let _ = stream.write_all(response.as_bytes());
    });
    address
}

fn fetch_from(response: &str) -> Result<String, ClientError> {
    task::block_on(fetch(serve(response), "/status?x=y"))
}

/// Guards against showing operators a response that is invalid or has broken off.
#[test]
fn invalid_responses_are_errors() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ntext\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\ntext",
        "HTTP/1.1 200 OK\ncontent-length: 4\n\ntext",
        "HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\ntext",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n",
        "",
    ] {
        let outcome = fetch_from(response);
        let expected = matches!(outcome, Err(ClientError::IncompleteResponse { .. }));
        assert!(expected, "{outcome:?} from {response:?}");
    }
}

/// Checks that interim responses are skipped, and that a status other than 200 is reported.
#[test]
fn complete_responses_are_returned() {
    let response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntext";
    assert_eq!(fetch_from(response).expect("a response"), "text");
    let absent = fetch_from("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
    assert!(matches!(absent, Err(ClientError::NotFound { .. })), "{absent:?}");
}
