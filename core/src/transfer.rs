//! Pulling versions from other nodes.

use std::collections::BTreeMap;

use crate::assembly::VersionAssembly;
use crate::clock::{ClockSpan, ClockTime};
use crate::config::NodeName;
use crate::distribution::PassRule;
use crate::manifest::BucketEntries;
use crate::message::{PartRequest, PeerAddress, PeerMessage};
use crate::state::{ControlState, Turn};
use crate::status::ArrivalPath;
use crate::version::{PartHash, VersionId};

/// How long a push may still be on its way when a neighbour already announces the version.
const TREE_WAIT_MS: u64 = 300;

/// How long a gateway waits for its own source before it pulls across a link.
const GATEWAY_WAIT_MS: u64 = 150;

/// Further wait of the second gateway, so that the bytes cross the link once.
const SECOND_GATEWAY_WAIT_MS: u64 = 350;

/// Wait of other nodes before they pull from another data centre.
const OUTSIDE_WAIT_MS: u64 = 2_000;

/// A transfer without progress asks again after this time.
const STALL_MS: u64 = 1_000;

/// Attempts without progress before another node is asked.
const ATTEMPT_LIMIT: u32 = 3;

/// Nodes remembered that announced a newer version.
const SOURCE_LIMIT: usize = 8;

/// Parts asked for in the first message, when their size is not known. Four parts of 1 MB are on their
/// way at most.
const FIRST_PARTS: usize = 4;

/// Most parts asked for in one message. With four at a time, the 3,400 parts of a full-size configuration
/// took 850 round trips, which is longer than a restart of a data centre may last.
const PARTS_LIMIT: usize = 64;

/// Bytes that further messages ask for, by the mean size of the parts so far.
const REQUEST_BYTES: usize = 256 * 1024;

/// Buckets asked for in one message.
const BUCKETS_AT_ONCE: usize = 16;

/// A node that announced a newer version.
#[derive(Debug, Clone)]
struct VersionSource {
    peer: PeerAddress,
    version: VersionId,
}

#[derive(Debug)]
enum TransferStage {
    /// A pull was sent.
    Asked,
    /// Buckets or parts are on their way.
    Assembling {
        assembly: Box<VersionAssembly>,
        wanted: Vec<PartRequest>,
        pieces: PieceTable,
        received: ReceivedParts,
    },
}

/// Whole parts received in a transfer.
#[derive(Debug, Default)]
struct ReceivedParts {
    count: usize,
    bytes: usize,
}

impl ReceivedParts {
    /// How many parts to ask for at once.
    fn batch(&self) -> usize {
        match REQUEST_BYTES * self.count {
            0 => FIRST_PARTS,
            budget => (budget / self.bytes.max(1)).clamp(FIRST_PARTS, PARTS_LIMIT),
        }
    }
}

type PieceTable = BTreeMap<PartHash, PartPieces>;

/// Pieces of a part by offset. They may come in any order and more than once.
#[derive(Debug, Default)]
struct PartPieces(BTreeMap<u32, Box<str>>);

impl PartPieces {
    /// Length without a gap from the start, in bytes.
    fn prefix_len(&self) -> u32 {
        let lengths = self.0.iter().map(|(offset, piece)| (*offset, piece.len() as u32));
        lengths.fold(0, |end, (offset, length)| if offset == end { end + length } else { end })
    }

    fn join(self) -> String {
        self.0.into_values().map(String::from).collect()
    }
}

#[derive(Debug)]
struct VersionTransfer {
    peer: PeerAddress,
    progress_at: ClockTime,
    attempts: u32,
    stage: TransferStage,
}

/// What the node pulls and serves.
#[derive(Debug, Default)]
pub(crate) struct TransferState {
    sources: Vec<VersionSource>,
    behind_since: Option<ClockTime>,
    not_before: ClockTime,
    transfer: Option<VersionTransfer>,
    kept: Option<VersionAssembly>,
    /// Ends of the slots that other nodes hold.
    pub(crate) slots: BTreeMap<NodeName, ClockTime>,
}

impl TransferState {
    /// Whether a pull from `peer` is on its way.
    pub(crate) fn is_asked(&self, peer: &PeerAddress) -> bool {
        self.transfer.as_ref().is_some_and(|transfer| transfer.peer.name == peer.name)
    }

    pub(crate) fn forget_version(&mut self, version: VersionId) {
        self.sources.retain(|source| source.version != version);
    }

    /// Forgets what was on its way, after a pause.
    pub(crate) fn abandon(&mut self) {
        self.transfer = None;
        self.slots.clear();
        self.behind_since = None;
        self.sources.clear();
    }

    fn drop_source(&mut self, name: &str) {
        self.sources.retain(|source| *source.peer.name != *name);
    }

    fn end(&mut self) {
        if let Some(transfer) = self.transfer.take()
            && let TransferStage::Assembling { assembly, .. } = transfer.stage
        {
            self.kept = Some(*assembly);
        }
    }
}

impl ControlState {
    /// Notes that `peer` has `version`, which is newer than the active one.
    pub(crate) fn add_source(
        &mut self,
        turn: &mut Turn<'_>,
        peer: &PeerAddress,
        version: VersionId,
    ) {
        if version <= self.versions.active() || self.versions.is_rejected(version) {
            return;
        }
        let transfer = &mut self.transfer;
        transfer.drop_source(&peer.name);
        if transfer.sources.len() == SOURCE_LIMIT {
            transfer.sources.remove(0);
        }
        transfer.sources.push(VersionSource { peer: peer.clone(), version });
        transfer.behind_since.get_or_insert(turn.now);
    }

    /// Ends what the active version has made superfluous.
    pub(crate) fn end_transfer_if_done(&mut self, turn: &mut Turn<'_>) {
        let active = self.versions.active();
        self.transfer.sources.retain(|source| source.version > active);
        if self.transfer.sources.is_empty() {
            self.transfer.behind_since = None;
        }
        let Some(transfer) = &mut self.transfer.transfer else { return };
        transfer.progress_at = turn.now;
        let done = match &transfer.stage {
            TransferStage::Asked => self.transfer.sources.is_empty(),
            TransferStage::Assembling { assembly, .. } => assembly.version <= active,
        };
        if done {
            let peer = transfer.peer.clone();
            if matches!(transfer.stage, TransferStage::Assembling { .. }) {
                turn.send(&peer, PeerMessage::PullDone);
            }
            self.transfer.transfer = None;
            self.transfer.kept = None;
        }
    }

    /// Starts a pull when the node is behind, and repeats what got lost.
    pub(crate) fn step_transfers(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        self.transfer.slots.retain(|_, end| *end > now);
        if let Some(transfer) = &self.transfer.transfer {
            if now.since(transfer.progress_at).millis() >= STALL_MS {
                self.retry_transfer(turn);
            }
            return;
        }
        let Some(since) = self.transfer.behind_since else { return };
        if now < self.transfer.not_before {
            return;
        }
        let waited = now.since(since).millis();
        if let Some(source) = self.choose_source(waited) {
            self.report_missed(turn, &source);
            self.start_pull(turn, source.peer);
        }
    }

    /// A node that is behind asks again, up to a limit, and then turns to another node.
    fn retry_transfer(&mut self, turn: &mut Turn<'_>) {
        let Some(transfer) = &mut self.transfer.transfer else { return };
        transfer.attempts += 1;
        transfer.progress_at = turn.now;
        let peer = transfer.peer.clone();
        if transfer.attempts >= ATTEMPT_LIMIT {
            self.transfer.end();
            self.transfer.drop_source(&peer.name);
            turn.reset_link(&peer);
            return;
        }
        if matches!(transfer.stage, TransferStage::Asked) {
            let have = self.versions.active();
            turn.send(&peer, PeerMessage::Pull { have });
        } else {
            self.request_missing(turn);
        }
    }

    fn choose_source(&mut self, waited: u64) -> Option<VersionSource> {
        let first = self.versions.snapshot.is_none();
        let own_wait = if first { 0 } else { TREE_WAIT_MS };
        let outside_wait = match self.own_index() {
            Some(0) => GATEWAY_WAIT_MS,
            Some(1) => GATEWAY_WAIT_MS + SECOND_GATEWAY_WAIT_MS,
            _ => OUTSIDE_WAIT_MS,
        };
        let data_centre = self.settings.node.data_centre.clone();
        let is_own = |source: &&VersionSource| source.peer.data_centre == data_centre;
        let sources = &self.transfer.sources;
        let mut usable: Vec<VersionSource> = sources.iter().filter(is_own).cloned().collect();
        if usable.is_empty() && waited >= outside_wait {
            usable = sources.clone();
        } else if waited < own_wait {
            usable.clear();
        }
        if usable.is_empty() {
            return None;
        }
        let index = self.random_below(usable.len());
        Some(usable.swap_remove(index))
    }

    /// Tells the member that should have pushed the version that nothing came.
    fn report_missed(&mut self, turn: &mut Turn<'_>, source: &VersionSource) {
        let started = self.versions.snapshot.is_some() && self.start.is_over();
        let Some(parent) = self.tree_parent(source.version) else { return };
        if started && parent.name != source.peer.name {
            turn.send(parent, PeerMessage::Missed { version: source.version });
        }
    }

    fn start_pull(&mut self, turn: &mut Turn<'_>, peer: PeerAddress) {
        let have = self.versions.active();
        turn.send(&peer, PeerMessage::Pull { have });
        let stage = TransferStage::Asked;
        self.transfer.transfer =
            Some(VersionTransfer { peer, progress_at: turn.now, attempts: 0, stage });
    }

    pub(crate) fn on_busy(&mut self, turn: &mut Turn<'_>, from: &PeerAddress, retry_ms: u32) {
        if !self.transfer.is_asked(from) {
            return;
        }
        self.transfer.end();
        let wait = self.jitter(u64::from(retry_ms));
        self.transfer.not_before = turn.now + ClockSpan::new(wait);
    }

    pub(crate) fn on_digests(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        version: VersionId,
        digests: Vec<PartHash>,
    ) {
        self.note_seen(turn, version);
        if !self.transfer.is_asked(from) {
            return;
        }
        self.transfer.end();
        let base = self.versions.snapshot.as_deref();
        let newer = version > self.versions.active() && !self.versions.is_rejected(version);
        let assembly = VersionAssembly::new(version, digests, base).filter(|_| newer);
        let Some(assembly) = assembly else {
            self.transfer.drop_source(&from.name);
            turn.send(from, PeerMessage::PullDone);
            return;
        };
        let assembly = Box::new(assembly.with_contents(self.transfer.kept.take()));
        let (wanted, pieces) = (Vec::new(), PieceTable::new());
        let received = ReceivedParts::default();
        let stage = TransferStage::Assembling { assembly, wanted, pieces, received };
        let peer = from.clone();
        self.transfer.transfer =
            Some(VersionTransfer { peer, progress_at: turn.now, attempts: 0, stage });
        self.request_missing(turn);
    }

    /// Asks for the next buckets or parts, or finishes.
    fn request_missing(&mut self, turn: &mut Turn<'_>) {
        let Some(transfer) = &mut self.transfer.transfer else { return };
        let TransferStage::Assembling { assembly, wanted, pieces, received } = &mut transfer.stage
        else {
            return;
        };
        let missing = assembly.missing_buckets().map(|(index, _)| index as u8);
        let buckets: Vec<u8> = missing.take(BUCKETS_AT_ONCE).collect();
        if !buckets.is_empty() {
            let version = assembly.version;
            turn.send(&transfer.peer, PeerMessage::PullBuckets { version, buckets });
            return;
        }
        // Wrong buckets are dropped and asked for again when the transfer is retried.
        if !assembly.build_manifest() {
            return;
        }
        let base = self.versions.snapshot.as_deref();
        let offset = |hash| pieces.get(&hash).map_or(0, PartPieces::prefix_len);
        let missing = assembly.missing_parts(base).into_iter().take(received.batch());
        let request = |(name, hash)| PartRequest { name, hash, offset: offset(hash) };
        let parts: Vec<PartRequest> = missing.map(request).collect();
        if parts.is_empty() {
            self.finish_transfer(turn);
            return;
        }
        wanted.clone_from(&parts);
        turn.send(&transfer.peer, PeerMessage::PullParts { parts });
    }

    fn finish_transfer(&mut self, turn: &mut Turn<'_>) {
        let Some(transfer) = self.transfer.transfer.take() else { return };
        let TransferStage::Assembling { assembly, .. } = transfer.stage else { return };
        turn.send(&transfer.peer, PeerMessage::PullDone);
        let foreign = transfer.peer.data_centre != self.settings.node.data_centre;
        let rule = if foreign && self.is_reader() { PassRule::Origin } else { PassRule::Repair };
        if let Some(delta) = assembly.delta(self.versions.snapshot.as_deref()) {
            self.apply_delta(turn, delta, ArrivalPath::Transfer, rule);
        }
    }

    pub(crate) fn on_buckets(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        version: VersionId,
        buckets: Vec<(u8, BucketEntries)>,
    ) {
        if !self.transfer.is_asked(from) {
            return;
        }
        let Some(transfer) = &mut self.transfer.transfer else { return };
        let TransferStage::Assembling { assembly, .. } = &mut transfer.stage else { return };
        if assembly.version != version {
            return;
        }
        transfer.progress_at = turn.now;
        transfer.attempts = 0;
        for (index, entries) in buckets {
            assembly.put_bucket(usize::from(index), entries);
        }
        self.request_missing(turn);
    }

    pub(crate) fn on_chunk(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        hash: PartHash,
        offset: u32,
        total: u32,
        content: &str,
    ) {
        if !self.transfer.is_asked(from) {
            return;
        }
        let Some(transfer) = &mut self.transfer.transfer else { return };
        let TransferStage::Assembling { assembly, wanted, pieces, received } = &mut transfer.stage
        else {
            return;
        };
        let Some(index) = wanted.iter().position(|part| part.hash == hash) else { return };
        let part = pieces.entry(hash).or_default();
        if part.0.insert(offset, content.into()).is_none() {
            transfer.progress_at = turn.now;
            transfer.attempts = 0;
        }
        if part.prefix_len() < total {
            return;
        }
        wanted.remove(index);
        received.count += 1;
        received.bytes += total as usize;
        let whole =
            pieces.remove(&hash).is_some_and(|part| assembly.put_content(hash, part.join().into()));
        if !whole {
            // The peer's content is damaged; asking it again would not end.
            self.transfer.end();
            self.transfer.drop_source(&from.name);
            turn.send(from, PeerMessage::PullDone);
            return;
        }
        if wanted.is_empty() {
            self.request_missing(turn);
        }
    }
}
