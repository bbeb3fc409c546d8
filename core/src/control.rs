//! Control state of a node: inputs go in, actions come out.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::NodeName;
use crate::message::{MemberState, PeerAddress, PeerMessage};
use crate::snapshot::ConfigSnapshot;

/// What a control state knows from the node's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlSettings {
    /// The node itself.
    pub node: PeerAddress,
    /// Nodes to contact at the start, in any data centre.
    pub seeds: Vec<PeerAddress>,
}

/// A value read from the platform's configuration service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueRecord {
    /// The platform's own revision. It may jump back when the platform is restored.
    pub revision: u64,
    /// The content.
    pub content: Arc<str>,
}

/// Answer to a read or a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadAnswer {
    /// The key has this value.
    Found(ValueRecord),
    /// The watch ended without a change.
    Unchanged,
    /// The key does not exist.
    Absent,
}

/// Why a read of the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformFault {
    /// No connection, or it broke.
    Unreachable,
    /// No answer in time.
    Timeout,
    /// The platform refused because of its rate limit.
    Throttled,
    /// The answer was not understood.
    Malformed,
}

impl PlatformFault {
    /// The number shown to operators.
    pub const fn number(self) -> u16 {
        match self {
            PlatformFault::Unreachable => 701,
            PlatformFault::Timeout => 702,
            PlatformFault::Throttled => 703,
            PlatformFault::Malformed => 704,
        }
    }
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A VM in the platform's list, which lags. Key `vms/<data centre>` holds the list as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The node on the VM.
    pub peer: PeerAddress,
    /// State of the VM.
    pub state: VmState,
}

/// Something that happened, for the control state to react to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlInput {
    /// Time has passed. Comes every 100 ms.
    Tick,
    /// A message came in.
    Peer {
        /// The sender.
        from: PeerAddress,
        /// The message.
        message: PeerMessage,
    },
    /// A watch of `head` ended.
    HeadRead {
        /// The outcome.
        result: Result<ReadAnswer, PlatformFault>,
    },
    /// A read of a value ended.
    ValueRead {
        /// The key that was read.
        key: String,
        /// The outcome.
        result: Result<ReadAnswer, PlatformFault>,
    },
    /// A watch of the own data centre's VM list ended.
    VmsRead {
        /// The outcome.
        result: Result<ReadAnswer, PlatformFault>,
    },
    /// The link to a peer could not be opened or broke.
    LinkLost {
        /// The peer.
        peer: PeerAddress,
    },
    /// The upstream beside this node died while these request fingerprints were running.
    CrashSeen {
        /// Fingerprints of the requests that were running.
        fingerprints: Vec<u64>,
    },
    /// Requests with these fingerprints, reported by a crash before, completed.
    RunsCompleted {
        /// Fingerprints of the requests.
        fingerprints: Vec<u64>,
    },
    /// The node begins a graceful shutdown.
    Leave,
}

/// What the host is to do.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Send a message.
    Send {
        /// The receiver.
        to: PeerAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Watch `head`; one watch at a time.
    WatchHead {
        /// Revision last seen; the watch ends when it differs.
        after: Option<u64>,
    },
    /// Read a value.
    ReadValue {
        /// The key.
        key: String,
    },
    /// Watch the VM list of the own data centre; one watch at a time.
    WatchVms {
        /// Revision last seen; the watch ends when it differs.
        after: Option<u64>,
    },
    /// Make a snapshot the active one for new calls.
    Install(Arc<ConfigSnapshot>),
    /// Close the link to a peer; the next message opens a new one.
    ResetLink {
        /// The peer.
        peer: PeerAddress,
    },
    /// A target became usable or unusable. Targets that were never named here are usable.
    Liveness {
        /// Name of the target and of the node beside it.
        name: NodeName,
        /// New state; only [`MemberState::Alive`] is usable.
        state: MemberState,
    },
    /// The list of quarantined request fingerprints changed; this is the whole list.
    Quarantine {
        /// The fingerprints, in ascending order.
        fingerprints: Vec<u64>,
    },
}
