//! Outgoing streams: one for each peer that messages go to, opened when needed.

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

/// Messages that may wait for a slow peer. Beyond it new ones are dropped; repair makes up for them.
const MAX_QUEUED_MESSAGES: usize = 256;

/// A link without messages for this time is closed. Nodes send a message to a random member every few
/// seconds, so without it each node would come to hold a link to every other one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How often idle links are looked for.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long opening a link may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Something that the control thread hears from its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkEvent {
    /// A message came in.
    Message {
        /// The sender.
        from: PeerAddress,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// The outgoing link to a peer could not be opened or broke.
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
    /// Dropping it ends the stream's task and closes the connection, also one that has gone silent.
    _stop_on_drop: Sender<()>,
}

/// All outgoing links of a node. Belongs to the control thread.
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

    /// Delays messages to each peer by what `delay` returns. Measurements on loopback use it to add
    /// the delay between data centres.
    pub fn with_delay(
        mut self,
        delay: impl Fn(&PeerAddress) -> Duration + Send + 'static,
    ) -> LinkPool {
        self.delay = Box::new(delay);
        self
    }

    /// Queues a message for a peer and opens the link if there is none. A message to a peer whose
    /// queue is full is dropped.
    pub fn send(&mut self, to: &PeerAddress, message: &PeerMessage) {
        let envelope = match encode_message(message) {
            Ok(envelope) => envelope,
            Err(err) => {
                log::warn!("cannot encode a {} message: {err}", message.label());
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
            Err(TrySendError::Full(_)) => log::warn!("queue to {} is full", to.name),
            Err(TrySendError::Closed(_)) => log::debug!("link to {} closed", to.name),
        }
    }

    /// Closes links that have not been used for a while. Cheap enough for every tick.
    pub fn close_idle_links(&mut self, now: Instant) {
        if now.duration_since(self.idle_checked_at) >= IDLE_CHECK_INTERVAL {
            self.idle_checked_at = now;
            self.links.retain(|_, link| now.duration_since(link.last_used) < IDLE_TIMEOUT);
        }
    }

    /// Closes the link to a peer. The next message opens a new one.
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
            // A link closed by `reset` is not a loss that control has to hear of.
            let outcome = future::or(closed, async { Some(stream.run().await) }).await;
            counters.count_closed();
            if let Some(result) = outcome {
                if let Err(err) = result {
                    log::debug!("link to {} lost: {err}", peer.name);
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
        write_address(&self.node, request.metadata_mut())
            .ok_or_else(|| tonic::Status::invalid_argument("node name is not visible ASCII"))?;
        NodeLinkClient::new(channel).deliver(request).await?;
        Ok(())
    }
}

/// The queued envelopes, none before it is due.
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
