//! Messages between nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{NodeName, PartName};
use crate::delta::VersionDelta;
use crate::events::SpreadEvent;
use crate::manifest::BucketEntries;
use crate::version::{PartHash, VersionId};

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
    /// The receiver of a pull serves as many transfers as it may.
    Busy {
        /// When to ask again, in milliseconds.
        retry_ms: u32,
    },
    /// Answer to a pull when no chain of deltas is held: the digests of the buckets.
    Digests {
        /// Version that the sender offers.
        version: VersionId,
        /// Digest of each bucket, in order.
        digests: Vec<PartHash>,
    },
    /// Asks for the entries of buckets.
    PullBuckets {
        /// Version offered before.
        version: VersionId,
        /// Indexes of the buckets.
        buckets: Vec<u8>,
    },
    /// The entries of some buckets.
    Buckets {
        /// Version that they belong to.
        version: VersionId,
        /// Index and entries.
        buckets: Vec<(u8, BucketEntries)>,
    },
    /// Asks for the content of parts.
    PullParts {
        /// The parts.
        parts: Vec<PartRequest>,
    },
    /// A piece of a part's content.
    Chunk {
        /// Hash of the whole content.
        hash: PartHash,
        /// Position of the piece, in bytes.
        offset: u32,
        /// Length of the whole content, in bytes.
        total: u32,
        /// The piece.
        content: Arc<str>,
    },
    /// The transfer is over and its slot is free.
    PullDone,
    /// A push of this version should have come from the receiver and did not arrive.
    Missed {
        /// The version that had to be pulled.
        version: VersionId,
    },
    /// Heartbeat that asks for an [`PeerMessage::Ack`].
    Probe {
        /// Number to repeat in the answer.
        sequence: u32,
        /// Incarnation of the sender.
        incarnation: u64,
        /// Versions of the sender; absent when they are not due.
        heads: Option<VersionHeads>,
        /// Events on their way to all nodes.
        events: Vec<SpreadEvent>,
    },
    /// Answer to a probe.
    Ack {
        /// Number of the probe.
        sequence: u32,
        /// Incarnation of the sender.
        incarnation: u64,
        /// Versions of the sender; absent when they are not due.
        heads: Option<VersionHeads>,
        /// Events on their way to all nodes.
        events: Vec<SpreadEvent>,
    },
    /// Asks the receiver to probe a third node.
    ProbeFor {
        /// Number to repeat in the answer.
        sequence: u32,
        /// The node to probe.
        target: PeerAddress,
    },
    /// Outcome of an indirect probe.
    ProbeResult {
        /// Number of the request.
        sequence: u32,
        /// Incarnation of the probed node, or nothing when it did not answer.
        incarnation: Option<u64>,
    },
    /// Versions and membership digest for one random member of the data centre.
    Gossip {
        /// Versions of the sender.
        heads: VersionHeads,
        /// Digest over the sender's live members.
        view: u32,
    },
    /// Digests of the sender's live members by bucket, after a difference was found.
    ViewDigests {
        /// Digest of each bucket.
        digests: Vec<u32>,
    },
    /// Members in buckets that differ.
    ViewEntries {
        /// What the sender knows of them.
        entries: Vec<MemberEvent>,
        /// Buckets whose entries the sender wants in return.
        wanted: Vec<u8>,
    },
    /// Events on their way to all nodes.
    Events {
        /// The events.
        events: Vec<SpreadEvent>,
    },
    /// First message of a node that starts; asks for a [`PeerMessage::Welcome`].
    Join {
        /// Incarnation of the sender.
        incarnation: u64,
    },
    /// Answer to a joining node.
    Welcome {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Versions of the sender.
        heads: VersionHeads,
        /// Members for a first view: the readers, the ring neighbours of the asking node, others.
        members: Vec<MemberEvent>,
    },
    /// From a gateway to one gateway of another data centre.
    GatewayHead {
        /// Versions of the sender.
        heads: VersionHeads,
        /// Digest over the sender's list of members that are not alive.
        exceptions: u32,
        /// Whether the receiver is to answer in kind.
        answer: bool,
    },
    /// Asks a gateway for the members of its data centre that are not alive.
    PullExceptions {
        /// Members that the sender holds to be not alive; their states are wanted in any case.
        known: Vec<NodeName>,
    },
    /// Answer to [`PeerMessage::PullExceptions`].
    Exceptions {
        /// The members that are not alive, and the state of those that were asked for.
        entries: Vec<MemberEvent>,
    },
}

/// A part wanted from another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Name of the part.
    pub name: PartName,
    /// Hash of its content.
    pub hash: PartHash,
    /// First byte wanted; the bytes before it have arrived.
    pub offset: u32,
}

/// Versions as a node announces them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHeads {
    /// Active version.
    pub active: VersionId,
    /// Greatest version heard of, or nothing when that is the active one.
    pub seen: Option<VersionId>,
}

impl VersionHeads {
    /// Creates heads from the active version and the greatest one heard of.
    pub fn new(active: VersionId, seen: VersionId) -> VersionHeads {
        VersionHeads { active, seen: (seen != active).then_some(seen) }
    }

    /// Greatest version heard of.
    pub fn seen(&self) -> VersionId {
        self.seen.unwrap_or(self.active)
    }
}

/// State of a member. Of two states in one incarnation the later in this list holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer and may still refute the suspicion.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Announced that it leaves.
    Left,
}

/// What is known of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEvent {
    /// The member.
    pub peer: PeerAddress,
    /// Its incarnation; zero when only the configuration or the platform names it.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

impl PeerMessage {
    /// A short label of the message's kind, for logs and metrics.
    pub const fn label(&self) -> &'static str {
        match self {
            PeerMessage::Announce { .. } => "announce",
            PeerMessage::Push { .. } => "push",
            PeerMessage::Pull { .. } => "pull",
            PeerMessage::Busy { .. } => "busy",
            PeerMessage::Digests { .. } => "digests",
            PeerMessage::PullBuckets { .. } => "pull-buckets",
            PeerMessage::Buckets { .. } => "buckets",
            PeerMessage::PullParts { .. } => "pull-parts",
            PeerMessage::Chunk { .. } => "chunk",
            PeerMessage::PullDone => "pull-done",
            PeerMessage::Missed { .. } => "missed",
            PeerMessage::Probe { .. } => "probe",
            PeerMessage::Ack { .. } => "ack",
            PeerMessage::ProbeFor { .. } => "probe-for",
            PeerMessage::ProbeResult { .. } => "probe-result",
            PeerMessage::Gossip { .. } => "gossip",
            PeerMessage::ViewDigests { .. } => "view-digests",
            PeerMessage::ViewEntries { .. } => "view-entries",
            PeerMessage::Events { .. } => "events",
            PeerMessage::Join { .. } => "join",
            PeerMessage::Welcome { .. } => "welcome",
            PeerMessage::GatewayHead { .. } => "gateway-head",
            PeerMessage::PullExceptions { .. } => "pull-exceptions",
            PeerMessage::Exceptions { .. } => "exceptions",
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
