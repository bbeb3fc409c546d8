//! What the owners of an idempotency key tell each other when the key moves.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::code::ResultCode;
use crate::config::NodeName;
use crate::version::VersionId;

/// A complete answer, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values to repeat.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Question of a key's new owner to an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyQuestion {
    /// The key.
    pub key: Arc<str>,
    /// The target that wants to run a request with it.
    pub asker: NodeName,
}

/// Answer of an earlier owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyAnswer {
    /// The version that the earlier owner has applied.
    pub version: VersionId,
    /// What it knows of the key.
    pub finding: KeyFinding,
}

/// What an earlier owner knows of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyFinding {
    /// It has not run the key and will not. These targets may have.
    Fenced {
        /// Targets to ask as well.
        also_ask: Vec<NodeName>,
    },
    /// A request with the key is queued or running.
    InFlight,
    /// A request with the key ran to its end.
    Done {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// The answer, unless it was too long to record.
        answer: Option<Arc<RecordedAnswer>>,
    },
    /// A request with the key may have run.
    Unknown {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// How it ended.
        code: ResultCode,
    },
    /// It cannot tell: it started recently, or cannot record the fence.
    Unsure,
}

impl RecordedAnswer {
    /// Size that counts towards the limits, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        headers.sum::<usize>() + self.body.len()
    }
}
