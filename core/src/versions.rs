//! The versions a node holds: the active one, recent deltas, early changes, rejections and clashes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::clock::ClockTime;
use crate::code::ResultCode;
use crate::config::PartName;
use crate::delta::{PartContent, VersionDelta};
use crate::snapshot::ConfigSnapshot;
use crate::status::{ArrivalPath, RejectedVersion, VersionClash};
use crate::version::{PartHash, VersionId};

/// Deltas kept for pulls: five minutes of changes at 0.86 a second.
const DELTA_LIMIT: usize = 256;

/// Memory for kept deltas, in bytes of content.
const DELTA_BYTES: usize = 8_000_000;

/// Largest chain that answers a pull; beyond it the transfer by buckets is bounded better.
const CHAIN_BYTES: usize = 512_000;

/// Changes kept that arrived before their base.
const EARLY_LIMIT: usize = 32;

/// Remembered rejections and clashes.
const REPORT_LIMIT: usize = 32;

/// A change that arrived before its base.
#[derive(Debug)]
pub(crate) struct EarlyDelta {
    pub(crate) delta: VersionDelta,
    pub(crate) arrival: ArrivalPath,
}

/// The versions a node holds.
#[derive(Debug, Default)]
pub(crate) struct VersionStore {
    pub(crate) snapshot: Option<Arc<ConfigSnapshot>>,
    pub(crate) seen: VersionId,
    /// When the greatest version was first heard of.
    pub(crate) seen_at: ClockTime,
    pub(crate) since: ClockTime,
    pub(crate) arrival: Option<ArrivalPath>,
    pub(crate) early: Vec<EarlyDelta>,
    pub(crate) rejected: VecDeque<RejectedVersion>,
    pub(crate) clashes: VecDeque<VersionClash>,
    deltas: VecDeque<Arc<VersionDelta>>,
    delta_bytes: usize,
}

impl VersionStore {
    pub(crate) fn active(&self) -> VersionId {
        self.snapshot.as_ref().map_or(VersionId::NONE, |snapshot| snapshot.version())
    }

    pub(crate) fn is_rejected(&self, version: VersionId) -> bool {
        self.rejected.iter().any(|rejected| rejected.version == version)
    }

    /// Remembers a rejection; false if it was known.
    pub(crate) fn reject(&mut self, rejected: RejectedVersion) -> bool {
        if self.is_rejected(rejected.version) {
            return false;
        }
        if self.seen == rejected.version {
            self.seen = self.active();
        }
        self.rejected.push_back(rejected);
        if self.rejected.len() > REPORT_LIMIT {
            self.rejected.pop_front();
        }
        true
    }

    /// Remembers a clash; false if it was known.
    pub(crate) fn clash(&mut self, lower: VersionId, higher: VersionId) -> bool {
        let code = ResultCode::VersionClash;
        let clash = VersionClash { lower, higher, code };
        if self.clashes.contains(&clash) {
            return false;
        }
        self.clashes.push_back(clash);
        if self.clashes.len() > REPORT_LIMIT {
            self.clashes.pop_front();
        }
        true
    }

    /// Keeps a change that arrived before its base; false if it is held already.
    pub(crate) fn keep_early(&mut self, delta: VersionDelta, arrival: ArrivalPath) -> bool {
        let held =
            |early: &EarlyDelta| early.delta.to == delta.to && early.delta.from == delta.from;
        if self.early.iter().any(held) {
            return false;
        }
        if self.early.len() == EARLY_LIMIT {
            self.early.remove(0);
        }
        self.early.push(EarlyDelta { delta, arrival });
        true
    }

    /// Takes the early change that starts at the active version, and drops those that are over.
    pub(crate) fn take_early(&mut self) -> Option<EarlyDelta> {
        let active = self.active();
        self.early.retain(|early| early.delta.to > active);
        let index = self.early.iter().position(|early| early.delta.from == active)?;
        Some(self.early.remove(index))
    }

    /// Keeps a delta for pulls.
    pub(crate) fn keep(&mut self, delta: Arc<VersionDelta>) {
        self.delta_bytes += content_bytes(&delta);
        self.deltas.push_back(delta);
        while self.deltas.len() > DELTA_LIMIT || self.delta_bytes > DELTA_BYTES {
            let Some(oldest) = self.deltas.pop_front() else { break };
            self.delta_bytes -= content_bytes(&oldest);
        }
    }

    /// The deltas that lead from `have` to the active version, if all are held and together small.
    pub(crate) fn chain(&self, have: VersionId) -> Option<Vec<Arc<VersionDelta>>> {
        let mut chain = Vec::new();
        let mut wanted = self.active();
        let mut bytes = 0;
        for delta in self.deltas.iter().rev().filter(|delta| delta.to <= self.active()) {
            if wanted == have {
                break;
            }
            if delta.to == wanted {
                bytes += content_bytes(delta);
                wanted = delta.from;
                chain.push(delta.clone());
            }
        }
        chain.reverse();
        (wanted == have && bytes <= CHAIN_BYTES).then_some(chain)
    }
}

/// Bytes of content in a delta.
pub(crate) fn content_bytes(delta: &VersionDelta) -> usize {
    delta.changed.iter().map(|part| part.name.len() + part.content.len()).sum()
}

/// Whether a delta carries what its target version consists of, given its base.
pub(crate) fn is_authentic(base: Option<&ConfigSnapshot>, delta: &VersionDelta) -> bool {
    let mut manifest = base.map(|snapshot| snapshot.manifest().clone()).unwrap_or_default();
    let hashes: Vec<PartHash> = delta.changed.iter().map(|part| part.hash()).collect();
    manifest.update(delta.changed.iter().map(|part| &part.name).zip(hashes), delta.removed.iter());
    manifest.digest() == delta.to.digest
}

/// Merges consecutive deltas, oldest first, into one.
pub(crate) fn merge_deltas(chain: Vec<VersionDelta>) -> Option<VersionDelta> {
    let from = chain.first()?.from;
    let to = chain.last()?.to;
    let mut changed: BTreeMap<PartName, Arc<str>> = BTreeMap::new();
    let mut removed: BTreeSet<PartName> = BTreeSet::new();
    for delta in chain {
        for part in delta.changed {
            removed.remove(&part.name);
            changed.insert(part.name, part.content);
        }
        for name in delta.removed {
            changed.remove(&name);
            removed.insert(name);
        }
    }
    let parts = changed.into_iter().map(|(name, content)| PartContent::new(name, content));
    Some(VersionDelta {
        from,
        to,
        changed: parts.collect(),
        removed: removed.into_iter().collect(),
    })
}
