//! What a control state shows to operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::code::ResultCode;
use crate::config::NodeName;
use crate::control::PlatformFault;
use crate::message::MemberState;
use crate::version::VersionId;

/// How the active version came to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ArrivalPath {
    /// A published delta, read from the platform.
    SourceDelta,
    /// Manifest, pages and parts, read from the platform.
    SourceParts,
    /// A push of another node.
    Push,
    /// Manifest buckets and parts, pulled from another node.
    Transfer,
}

/// State of the platform's configuration service as this node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SourceState {
    /// The node does not read the platform.
    NotRead,
    /// No answer yet.
    Waiting,
    /// The last answer was the greatest version seen.
    Current,
    /// The last answer was older than the greatest version seen.
    Stale,
    /// The last call failed.
    Failing(PlatformFault),
}

/// A version that was rejected whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// The version.
    pub version: VersionId,
    /// The numbered reason.
    pub code: ResultCode,
    /// The part at fault, or the version when no single part is.
    pub part: Arc<str>,
    /// What is wrong with it.
    pub reason: Arc<str>,
}

/// Two versions with one number; reported with code 406.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionClash {
    /// The version that lost.
    pub lower: VersionId,
    /// The version that won.
    pub higher: VersionId,
    /// Always [`ResultCode::VersionClash`].
    pub code: ResultCode,
}

/// A member as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the node.
    pub name: NodeName,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its state.
    pub state: MemberState,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCounters {
    /// Messages received.
    pub messages_received: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Changes received from other nodes.
    pub pushes_received: u64,
    /// Changes received that were already applied or queued.
    pub duplicates: u64,
    /// Versions applied.
    pub applied: u64,
    /// Pulls sent.
    pub pulls: u64,
    /// Pulls refused because too many transfers were running.
    pub refused_pulls: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Links reset.
    pub resets: u64,
    /// Pauses noticed.
    pub pauses: u64,
}

/// State of a node's control side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Active version.
    pub active: VersionId,
    /// Greatest version heard of.
    pub seen: VersionId,
    /// When the active version was applied.
    pub since: ClockTime,
    /// How it arrived; nothing before the first version.
    pub arrival: Option<ArrivalPath>,
    /// Whether the node serves calls.
    pub ready: bool,
    /// Whether the node has begun a graceful shutdown.
    pub leaving: bool,
    /// State of the platform.
    pub source: SourceState,
    /// Whether the node reads the platform for its data centre.
    pub reader: bool,
    /// Transfers to other nodes that are running.
    pub serving: usize,
    /// Members of the own data centre, and targets of others that are not alive.
    pub members: Vec<MemberStatus>,
    /// Rejected versions, oldest first.
    pub rejected: Vec<RejectedVersion>,
    /// Version clashes, oldest first.
    pub clashes: Vec<VersionClash>,
    /// Quarantined request fingerprints.
    pub quarantined: Vec<u64>,
    /// Counters.
    pub counters: ControlCounters,
}
