//! Links over loopback sockets, and what they do with peers that send garbage.

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

/// Far above what a loopback message takes, so that the machine's speed does not matter.
const LONG: Duration = Duration::from_secs(20);

struct LinkEnd {
    address: PeerAddress,
    hub: LinkPool,
    events: Receiver<LinkEvent>,
    usage: Arc<LinkCounters>,
    listener: LinkListener,
}

fn start(name: &str) -> LinkEnd {
    let (sender, events) = async_channel::unbounded();
    let usage = Arc::new(LinkCounters::default());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = LinkListener::listen(any, sender.clone(), usage.clone()).expect("a free port");
    let control = listener.address();
    let address = PeerAddress { name: name.into(), data_centre: "bangor".into(), control };
    let hub = LinkPool::new(address.clone(), sender, usage.clone());
    LinkEnd { address, hub, events, usage, listener }
}

async fn next(end: &LinkEnd) -> LinkEvent {
    future::timeout(LONG, end.events.recv()).await.expect("an event in time").expect("a sender")
}

async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            task::sleep(Duration::from_millis(1)).await;
        }
    };
    future::timeout(LONG, poll).await.expect("the condition comes true");
}

fn message() -> PeerMessage {
    PeerMessage::Join { incarnation: 7 }
}

/// Guards against messages that arrive changed or without their sender.
#[test]
fn message_arrives_with_its_sender() {
    task::block_on(async {
        let (mut one, two) = (start("one"), start("two"));
        one.hub.send(&two.address, &message());
        let expected =
            LinkEvent::Message { from: one.address.clone(), message: Box::new(message()) };
        assert_eq!(next(&two).await, expected);
        assert_eq!(one.usage.sent_bytes(), two.usage.received_bytes());
    });
}

/// Guards against a node that comes to hold a link to every other one: 200 nodes of one process ran out of
/// file descriptors.
#[test]
fn idle_link_is_closed_and_opened_again() {
    task::block_on(async {
        let (mut one, two) = (start("one"), start("two"));
        one.hub.send(&two.address, &message());
        next(&two).await;
        assert_eq!(one.usage.open_links(), 1);
        one.hub.close_idle_links(Instant::now() + Duration::from_secs(29));
        assert_eq!(one.usage.open_links(), 1, "29 s without a message are not idle yet");
        one.hub.close_idle_links(Instant::now() + Duration::from_secs(31));
        wait_until(|| one.usage.open_links() == 0).await;
        one.hub.send(&two.address, &message());
        next(&two).await;
        assert!(one.events.is_empty(), "closing an idle link is not a loss");
    });
}

/// Guards against a lost link that control does not hear of.
#[test]
fn link_to_a_closed_port_is_lost() {
    task::block_on(async {
        let (mut one, two) = (start("one"), start("two"));
        let gone = two.address.clone();
        two.listener.close().await;
        one.hub.send(&gone, &message());
        assert_eq!(next(&one).await, LinkEvent::Lost { peer: gone });
    });
}

/// Guards against a peer that speaks another protocol and stops the control port.
#[test]
fn garbage_does_not_stop_the_control_port() {
    task::block_on(async {
        let (mut one, two) = (start("one"), start("two"));
        let mut stream = TcpStream::connect(two.address.control).expect("the port listens");
        stream.write_all(&[0xff; 4_096]).expect("bytes are sent");
        one.hub.send(&two.address, &message());
        assert!(matches!(next(&two).await, LinkEvent::Message { .. }));
    });
}

/// Guards against envelopes that are cut, padded, not compressed as they say, or expand without bound.
#[test]
fn damaged_envelopes_are_refused() {
    let whole = encode_message(&message()).expect("a small message");
    assert_eq!(decode_message(&whole).expect("a whole message"), message());
    let mut padded = whole.clone();
    padded.payload.push(0);
    let mut cut = whole.clone();
    cut.payload.pop();
    let wrong = Envelope { compressed: true, payload: whole.payload };
    let large = zstd::bulk::compress(&vec![0; 64 * 1024 * 1024], 1).expect("zeros compress");
    let bomb = Envelope { compressed: true, payload: large };
    for envelope in [padded, cut, wrong, bomb] {
        assert!(decode_message(&envelope).is_err());
    }
}
