//! gRPC server for incoming links.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use async_std::task::{self, JoinHandle};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

use crate::address::read_address;
use crate::codec::decode_message;
use crate::generated::node_link_server::{NodeLink, NodeLinkServer};
use crate::generated::{Closed, Envelope};
use crate::link::LinkEvent;
use crate::usage::LinkCounters;

/// Maximum size of a received envelope, in bytes.
const MAX_ENVELOPE_BYTES: usize = 4 * 1024 * 1024;

/// Listener on the control port of a node.
pub struct LinkListener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

struct LinkServer {
    events: Sender<LinkEvent>,
    counters: Arc<LinkCounters>,
}

impl LinkListener {
    /// Binds the control port and sends received messages to `events` until it is closed. Fails if
    /// the address cannot be bound.
    pub fn listen(
        address: SocketAddr,
        events: Sender<LinkEvent>,
        counters: Arc<LinkCounters>,
    ) -> io::Result<LinkListener> {
        let incoming = TcpIncoming::bind(address)?.with_nodelay(Some(true));
        let bound = incoming.local_addr()?;
        let service = NodeLinkServer::new(LinkServer { events, counters })
            .max_decoding_message_size(MAX_ENVELOPE_BYTES);
        let task = task::spawn(async move {
            let result = Server::builder().add_service(service).serve_with_incoming(incoming).await;
            if let Err(err) = result {
                log::error!("gRPC server on control port {bound} failed: {err}");
            }
        });
        Ok(LinkListener { address: bound, task })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening. Open streams end when the receiver of the events is dropped.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

#[tonic::async_trait]
impl NodeLink for LinkServer {
    async fn deliver(
        &self,
        request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Closed>, Status> {
        let from = read_address(request.metadata()).ok_or_else(|| {
            Status::invalid_argument("stream metadata lacks the address of the sender")
        })?;
        let mut envelopes = request.into_inner();
        while let Some(envelope) = envelopes.message().await? {
            self.counters.count_received(envelope.payload.len());
            let message = decode_message(&envelope).map_err(|err| {
                log::warn!("closed the stream from node {}: {err}", from.name);
                Status::invalid_argument(err.to_string())
            })?;
            let event = LinkEvent::Message { from: from.clone(), message: Box::new(message) };
            // Waiting while the event queue is full applies HTTP/2 flow control to the sender.
            if self.events.send(event).await.is_err() {
                return Err(Status::unavailable("node is stopping"));
            }
        }
        Ok(Response::new(Closed {}))
    }
}
