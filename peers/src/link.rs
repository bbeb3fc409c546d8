//! Pool of outgoing links, one stream per peer, opened on demand.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender, TrySendError};
use async_std::task;
use fescuestack_core::{PeerAddress, PeerMessage};
use futures_lite::future;
use tonic::Request;
use tonic::transport::Endpoint;

use crate::address::write_address;
use crate::codec::encode_message;
use crate::generated::Envelope;
use crate::generated::node_link_client::NodeLinkClient;
use crate::usage::LinkCounters;

/// Maximum number of messages queued for a slow peer. Further messages are dropped; the control
/// protocol repairs such losses.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Time without messages after which a link is closed. Nodes send a message to a random member every
/// few seconds, so without this timeout each node would end up with a link to every other node.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks for idle links.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Event that a link reports to the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkEvent {
    /// A message was received.
    Message {
        /// The sender.
        from: PeerAddress,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// The outgoing link to a peer could not be opened, or it failed.
    Lost {
        /// The peer.
        peer: PeerAddress,
    },
}

struct QueuedEnvelope {
    envelope: Envelope,
    send_at: Instant,
}

struct OpenLink {
    queue: Sender<QueuedEnvelope>,
    last_used: Instant,
    delay: Duration,
    /// Dropping the sender ends the stream's task and closes the connection, even if the peer no
    /// longer responds.
    _stop_on_drop: Sender<()>,
}

/// The outgoing links of a node, owned by the control thread.
pub struct LinkPool {
    node: PeerAddress,
    links: HashMap<PeerAddress, OpenLink>,
    idle_checked_at: Instant,
    events: Sender<LinkEvent>,
    counters: Arc<LinkCounters>,
    delay: Box<dyn Fn(&PeerAddress) -> Duration + Send>,
}

impl LinkPool {
    /// Creates a hub for `node` that reports lost links to `events`.
    pub fn new(
        node: PeerAddress,
        events: Sender<LinkEvent>,
        counters: Arc<LinkCounters>,
    ) -> LinkPool {
        LinkPool {
            node,
            links: HashMap::new(),
            idle_checked_at: Instant::now(),
            events,
            counters,
            delay: Box::new(|_| Duration::ZERO),
        }
    }

    /// Delays messages to each peer by the result of `delay`. Measurements on loopback use it to
    /// simulate the latency between data centres.
    pub fn with_delay(
        mut self,
        delay: impl Fn(&PeerAddress) -> Duration + Send + 'static,
    ) -> LinkPool {
        self.delay = Box::new(delay);
        self
    }

    /// Queues a message for a peer and opens a link if there is none. The message is dropped if the
    /// queue of the peer is full.
    pub fn send(&mut self, to: &PeerAddress, message: &PeerMessage) {
        let envelope = match encode_message(message) {
            Ok(envelope) => envelope,
            Err(err) => {
                log::warn!("failed to encode a {} message: {err}", message.label());
                return;
            }
        };
        let payload = envelope.payload.len();
        if self.links.get(to).is_none_or(|link| link.queue.is_closed()) {
            let link = self.open(to);
            self.links.insert(to.clone(), link);
        }
        let now = Instant::now();
        let Some(link) = self.links.get_mut(to) else { return };
        link.last_used = now;
        let queued = QueuedEnvelope { envelope, send_at: now + link.delay };
        match link.queue.try_send(queued) {
            Ok(()) => {
                let crosses_data_centres = to.data_centre != self.node.data_centre;
                self.counters.count_sent(payload, crosses_data_centres);
            }
            Err(TrySendError::Full(_)) => {
                log::warn!("message dropped: the queue to node {} is full", to.name)
            }
            Err(TrySendError::Closed(_)) => {
                log::debug!("message dropped: the link to node {} is closed", to.name)
            }
        }
    }

    /// Closes links that exceed the idle timeout. Checks at most once per interval, so it can be called
    /// on every tick.
    pub fn close_idle_links(&mut self, now: Instant) {
        if now.duration_since(self.idle_checked_at) >= IDLE_CHECK_INTERVAL {
            self.idle_checked_at = now;
            self.links.retain(|_, link| now.duration_since(link.last_used) < IDLE_TIMEOUT);
        }
    }

    /// Closes the link to a peer. The next message to the peer opens a new link.
    pub fn reset(&mut self, peer: &PeerAddress) {
        self.links.remove(peer);
    }

    fn open(&self, peer: &PeerAddress) -> OpenLink {
        let (queue, envelopes) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        let (stop_on_drop, stopped) = async_channel::bounded::<()>(1);
        let stream = LinkStream { node: self.node.clone(), peer: peer.clone(), envelopes };
        let events = self.events.clone();
        let peer = peer.clone();
        let delay = (self.delay)(&peer);
        let counters = self.counters.clone();
        counters.count_opened();
        task::spawn(async move {
            let closed = async {
                let _ = stopped.recv().await;
                None
            };
            // A link that this node closes itself is not reported as lost.
            let outcome = future::or(closed, async { Some(stream.run().await) }).await;
            counters.count_closed();
            if let Some(result) = outcome {
                if let Err(err) = result {
                    log::debug!("link to node {} failed: {err}", peer.name);
                }
                let _ = events.send(LinkEvent::Lost { peer }).await;
            }
        });
        OpenLink { queue, last_used: Instant::now(), delay, _stop_on_drop: stop_on_drop }
    }
}

struct LinkStream {
    node: PeerAddress,
    peer: PeerAddress,
    envelopes: Receiver<QueuedEnvelope>,
}

impl LinkStream {
    async fn run(self) -> Result<(), tonic::Status> {
        let endpoint = Endpoint::from_shared(format!("http://{}", self.peer.control))
            .map_err(|err| tonic::Status::invalid_argument(err.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let channel =
            endpoint.connect().await.map_err(|err| tonic::Status::unavailable(err.to_string()))?;
        let mut request = Request::new(delayed_envelopes(self.envelopes));
        write_address(&self.node, request.metadata_mut()).ok_or_else(|| {
            tonic::Status::invalid_argument(
                "node name or data centre is not a valid metadata value",
            )
        })?;
        NodeLinkClient::new(channel).deliver(request).await?;
        Ok(())
    }
}

/// Stream of the queued envelopes that yields each one when its delay is over.
fn delayed_envelopes(
    queue: Receiver<QueuedEnvelope>,
) -> impl futures_lite::Stream<Item = Envelope> + Send + 'static {
    futures_lite::stream::unfold(queue, |queue| async move {
        let queued = queue.recv().await.ok()?;
        let wait = queued.send_at.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        Some((queued.envelope, queue))
    })
}
