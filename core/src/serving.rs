//! Serving pulls of other nodes.

use crate::clock::ClockSpan;
use crate::message::{PartRequest, PeerAddress, PeerMessage};
use crate::state::{ControlState, Turn};
use crate::version::VersionId;
use crate::versions::content_bytes;

/// Transfers served at the same time.
const SLOT_LIMIT: usize = 4;

/// A slot without a request is free again after this time, in milliseconds.
const SLOT_MS: u64 = 2_000;

/// Time that a chain of deltas holds a slot, for each byte sent: that of a link of 1 MB/s.
const BYTES_PER_MS: usize = 1_000;

/// Earliest repetition of a refused pull, in milliseconds; the asking node adds jitter.
const RETRY_MS: u32 = 400;

/// Size of the pieces that parts are sent in, in bytes.
const CHUNK_BYTES: usize = 65_536;

/// Bytes of parts sent for one request. Parts beyond it are asked for again.
const REPLY_BYTES: usize = 4 * 1024 * 1024;

/// Buckets in one message, of about 3 KB each.
const BUCKETS_PER_MESSAGE: usize = 16;

impl ControlState {
    pub(crate) fn on_pull(&mut self, turn: &mut Turn<'_>, from: &PeerAddress, have: VersionId) {
        if have >= self.versions.active() {
            self.send_announce(turn, from);
            return;
        }
        if self.refuse(turn, from) {
            return;
        }
        let Some(chain) = self.versions.chain(have) else {
            self.send_digests(turn, from);
            return;
        };
        let bytes: usize = chain.iter().map(|delta| content_bytes(delta)).sum();
        self.hold_slot(turn, from, (bytes / BYTES_PER_MS) as u64);
        for delta in chain {
            turn.send(from, PeerMessage::Push { delta: (*delta).clone() });
        }
    }

    /// Refuses a peer that holds no slot while all are taken.
    fn refuse(&mut self, turn: &mut Turn<'_>, from: &PeerAddress) -> bool {
        let held = self.transfer.slots.contains_key(&from.name);
        if held || self.transfer.slots.len() < SLOT_LIMIT {
            return false;
        }
        self.counters.refused_pulls += 1;
        turn.send(from, PeerMessage::Busy { retry_ms: RETRY_MS });
        true
    }

    fn hold_slot(&mut self, turn: &Turn<'_>, peer: &PeerAddress, span_ms: u64) {
        let end = turn.now + ClockSpan::new(span_ms);
        self.transfer.slots.insert(peer.name.clone(), end);
    }

    fn send_digests(&mut self, turn: &mut Turn<'_>, to: &PeerAddress) {
        self.hold_slot(turn, to, SLOT_MS);
        let Some(snapshot) = &self.versions.snapshot else { return };
        let digests = snapshot.manifest().bucket_digests().to_vec();
        turn.send(to, PeerMessage::Digests { version: snapshot.version(), digests });
    }

    pub(crate) fn on_pull_buckets(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        version: VersionId,
        buckets: Vec<u8>,
    ) {
        let Some(snapshot) = self.versions.snapshot.clone() else { return };
        if self.refuse(turn, from) {
            return;
        }
        if snapshot.version() != version {
            self.send_digests(turn, from);
            return;
        }
        self.hold_slot(turn, from, SLOT_MS);
        let manifest = snapshot.manifest();
        let entry = |index: u8| Some((index, manifest.bucket(usize::from(index))?.clone()));
        let buckets = buckets.into_iter().take(BUCKETS_PER_MESSAGE).filter_map(entry).collect();
        turn.send(from, PeerMessage::Buckets { version, buckets });
    }

    pub(crate) fn on_pull_parts(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        parts: Vec<PartRequest>,
    ) {
        let Some(snapshot) = self.versions.snapshot.clone() else { return };
        if self.refuse(turn, from) {
            return;
        }
        let held = |part: &PartRequest| snapshot.manifest().get(&part.name) == Some(part.hash);
        if !parts.iter().all(held) {
            // The version moved on; the asking node starts over and keeps what it has.
            self.send_digests(turn, from);
            return;
        }
        self.hold_slot(turn, from, SLOT_MS);
        let mut bytes = 0;
        for part in &parts {
            if bytes >= REPLY_BYTES {
                break;
            }
            if let Some(content) = snapshot.content(&part.name) {
                bytes += content.len();
                send_part(turn, from, part, content);
            }
        }
    }

    pub(crate) fn on_pull_done(&mut self, from: &PeerAddress) {
        self.transfer.slots.remove(&from.name);
    }
}

/// Sends a part from the wanted byte on, in pieces that end between characters.
fn send_part(turn: &mut Turn<'_>, to: &PeerAddress, part: &PartRequest, content: &str) {
    let mut start = part.offset as usize;
    if !content.is_char_boundary(start) {
        return;
    }
    while start < content.len() {
        let mut end = (start + CHUNK_BYTES).min(content.len());
        while !content.is_char_boundary(end) {
            end -= 1;
        }
        let message = PeerMessage::Chunk {
            hash: part.hash,
            offset: start as u32,
            total: content.len() as u32,
            content: content[start..end].into(),
        };
        turn.send(to, message);
        start = end;
    }
}
