//! Clients that read the answers to their requests slowly.

mod mesh;

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use socket2::{Domain, Socket, Type};

use mesh::{HOST, Mesh};

/// More than the kernel's buffers of a connection hold.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Receive buffer of the client, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;

/// Pause in which the client takes nothing. Its deadline is longer.
const READ_PAUSE: Duration = Duration::from_secs(4);

/// Guards against a reset in place of the rest of an answer, after the request has run, when the client
/// takes nothing for a while but is there.
#[test]
fn client_that_pauses_gets_its_whole_answer() {
    task::block_on(async {
        let mesh = Mesh::start(&["alpha"]).await;
        mesh.nodes[0].application.set_response_bytes(ANSWER_BYTES);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a socket option");
        socket.connect(&mesh.address(0, 0).into()).expect("a node");
        let mut stream = TcpStream::from(std::net::TcpStream::from(socket));
        let request = format!(
            "POST /a/pay/x HTTP/1.1\r\nHost: {HOST}\r\nX-Fescuestack-Request-Id: slow\r\n\
             X-Fescuestack-Deadline-Ms: 9000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.expect("the node reads");
        let mut answer = vec![0; 1_024];
        stream.read_exact(&mut answer).await.expect("the start of the answer");
        task::sleep(READ_PAUSE).await;
        stream.read_to_end(&mut answer).await.expect("the rest of the answer");
        let head_end = answer.windows(4).position(|window| window == b"\r\n\r\n");
        let body = &answer[head_end.expect("a head") + 4..];
        assert_eq!(body.len(), ANSWER_BYTES);
        assert_eq!(mesh.nodes[0].application.runs().len(), 1);
    });
}
