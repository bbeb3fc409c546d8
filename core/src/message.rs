//! Messages between nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::NodeName;
use crate::delta::VersionDelta;
use crate::version::VersionId;

/// A control message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's active version and the greatest version that it has heard of.
    Announce {
        /// Active version of the sender.
        active: VersionId,
        /// Greatest version heard of.
        seen: VersionId,
    },
    /// A change on its way down a dissemination tree, or the answer to a pull.
    Push {
        /// The change.
        delta: VersionDelta,
    },
    /// Asks for what leads from `have` to the receiver's newest version.
    Pull {
        /// Active version of the asking node.
        have: VersionId,
    },
}

impl PeerMessage {
    /// A short label of the message's kind, for logs and metrics.
    pub const fn label(&self) -> &'static str {
        match self {
            PeerMessage::Announce { .. } => "announce",
            PeerMessage::Push { .. } => "push",
            PeerMessage::Pull { .. } => "pull",
        }
    }
}

/// A node and where its control streams go. The link carries it once, when a stream is opened.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the node.
    pub name: NodeName,
    /// Data centre of the node.
    pub data_centre: Arc<str>,
    /// Where it takes control streams.
    pub control: SocketAddr,
}
