//! Tests of links over loopback sockets, including peers that send invalid data.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::{future, task};
use fescuestack_core::{PeerAddress, PeerMessage};
use fescuestack_peers::{
    Envelope, LinkCounters, LinkEvent, LinkListener, LinkPool, decode_message, encode_message,
};

/// Much longer than a loopback message takes, so that slow machines pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct TestNode {
    address: PeerAddress,
    links: LinkPool,
    events: Receiver<LinkEvent>,
    counters: Arc<LinkCounters>,
    listener: LinkListener,
}

fn start_node(name: &str) -> TestNode {
    let (sender, events) = async_channel::unbounded();
    let counters = Arc::new(LinkCounters::default());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = LinkListener::listen(any_port, sender.clone(), counters.clone())
        .expect("bind a free loopback port");
    let control = listener.address();
    let address = PeerAddress { name: name.into(), data_centre: "bangor".into(), control };
    let links = LinkPool::new(address.clone(), sender, counters.clone());
    TestNode { address, links, events, counters, listener }
}

async fn next_event(node: &TestNode) -> LinkEvent {
    future::timeout(TEST_TIMEOUT, node.events.recv())
        .await
        .expect("event before the timeout")
        .expect("event channel is open")
}

async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            task::sleep(Duration::from_millis(1)).await;
        }
    };
    future::timeout(TEST_TIMEOUT, poll).await.expect("condition met before the timeout");
}

fn join_message() -> PeerMessage {
    PeerMessage::Join { incarnation: 7 }
}

/// Guards against messages that are altered in transit or lose the address of their sender.
#[test]
fn message_arrives_with_its_sender() {
    task::block_on(async {
        let (mut first, second) = (start_node("one"), start_node("two"));
        first.links.send(&second.address, &join_message());
        let expected =
            LinkEvent::Message { from: first.address.clone(), message: Box::new(join_message()) };
        assert_eq!(next_event(&second).await, expected);
        assert_eq!(first.counters.sent_bytes(), second.counters.received_bytes());
    });
}

/// Guards against a node that accumulates a link to every other node: 200 nodes in one process ran
/// out of file descriptors.
#[test]
fn idle_link_is_closed_and_opened_again() {
    task::block_on(async {
        let (mut first, second) = (start_node("one"), start_node("two"));
        first.links.send(&second.address, &join_message());
        next_event(&second).await;
        assert_eq!(first.counters.open_links(), 1);
        first.links.close_idle_links(Instant::now() + Duration::from_secs(29));
        assert_eq!(
            first.counters.open_links(),
            1,
            "link must stay open after 29 s without messages"
        );
        first.links.close_idle_links(Instant::now() + Duration::from_secs(31));
        wait_until(|| first.counters.open_links() == 0).await;
        first.links.send(&second.address, &join_message());
        next_event(&second).await;
        assert!(first.events.is_empty(), "closing an idle link must not report a lost link");
    });
}

/// Guards against a failed link that is not reported to the control thread.
#[test]
fn link_to_a_closed_port_is_lost() {
    task::block_on(async {
        let (mut first, second) = (start_node("one"), start_node("two"));
        let closed_address = second.address.clone();
        second.listener.close().await;
        first.links.send(&closed_address, &join_message());
        assert_eq!(next_event(&first).await, LinkEvent::Lost { peer: closed_address });
    });
}

/// Guards against a control port that stops when a peer sends bytes of another protocol.
#[test]
fn invalid_bytes_do_not_stop_the_control_port() {
    task::block_on(async {
        let (mut first, second) = (start_node("one"), start_node("two"));
        let mut stream =
            TcpStream::connect(second.address.control).expect("connect to the control port");
        stream.write_all(&[0xff; 4_096]).expect("send bytes");
        first.links.send(&second.address, &join_message());
        assert!(matches!(next_event(&second).await, LinkEvent::Message { .. }));
    });
}

/// Guards against decoding envelopes that are truncated, padded, wrongly marked as compressed, or that
/// expand beyond the size limit.
#[test]
fn damaged_envelopes_are_rejected() {
    let valid = encode_message(&join_message()).expect("encode a small message");
    assert_eq!(decode_message(&valid).expect("decode a valid message"), join_message());
    let mut padded = valid.clone();
    padded.payload.push(0);
    let mut truncated = valid.clone();
    truncated.payload.pop();
    let mislabelled = Envelope { compressed: true, payload: valid.payload };
    let zeros = zstd::bulk::compress(&vec![0; 64 * 1024 * 1024], 1).expect("compress zeros");
    let bomb = Envelope { compressed: true, payload: zeros };
    for envelope in [padded, truncated, mislabelled, bomb] {
        assert!(decode_message(&envelope).is_err());
    }
}
