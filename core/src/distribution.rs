//! Applying versions and passing them on.

use std::sync::Arc;

use crate::clock::ClockSpan;
use crate::config::SpreadPreference;
use crate::control::ControlAction;
use crate::delta::{PartContent, VersionDelta};
use crate::events::SpreadEvent;
use crate::message::{MemberState, PeerAddress, PeerMessage, VersionHeads};
use crate::snapshot::{ConfigSnapshot, RejectReason};
use crate::state::{ControlState, Turn};
use crate::status::{ArrivalPath, RejectedVersion};
use crate::trees::TreeShape;
use crate::version::VersionId;
use crate::versions::{content_bytes, is_authentic};

/// Largest change that is pushed. A larger one is announced, and pulled in chunks.
const PUSH_BYTES: usize = 1_000_000;

/// A pulled version is passed on only this long after it was first heard of, in milliseconds. A node
/// that catches up later would send copies of what its children hold.
const FRESH_MS: u64 = 5_000;

/// Interval of gossip with a random member, in milliseconds, when convergence is preferred. The
/// probes between ring neighbours carry the versions each second.
const GOSSIP_MS: u64 = 2_000;

/// The same when few bytes are preferred.
const GOSSIP_BYTES_MS: u64 = 3_000;

/// How a version reached the node, for the decision whom to pass it on to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PassRule {
    /// The node brings the version into its data centre: to the root and to its own children.
    Origin,
    /// It came down a tree: to the node's children.
    Tree,
    /// It was pulled: to the node's children while it is fresh.
    Repair,
}

impl ControlState {
    pub(crate) fn on_push(&mut self, turn: &mut Turn<'_>, from: &PeerAddress, delta: VersionDelta) {
        self.counters.pushes_received += 1;
        let active = self.versions.active();
        if delta.to <= active || self.versions.is_rejected(delta.to) {
            self.note_clash(delta.to);
            self.counters.duplicates += 1;
            return;
        }
        self.note_seen(turn, delta.to);
        let rule = self.pass_rule(from);
        if delta.from == active {
            self.apply_delta(turn, delta, ArrivalPath::Push, rule);
            return;
        }
        self.add_source(turn, from, delta.to);
        if delta.from > active && !self.versions.keep_early(delta, ArrivalPath::Push) {
            self.counters.duplicates += 1;
        }
    }

    /// How to pass on what `from` sent.
    pub(crate) fn pass_rule(&self, from: &PeerAddress) -> PassRule {
        let foreign = from.data_centre != self.settings.node.data_centre;
        if foreign && self.is_reader() {
            PassRule::Origin
        } else if self.transfer.is_asked(from) {
            PassRule::Repair
        } else {
            PassRule::Tree
        }
    }

    /// Applies a change that starts at the active version. False if it does not lead to a valid one.
    pub(crate) fn apply_delta(
        &mut self,
        turn: &mut Turn<'_>,
        mut delta: VersionDelta,
        arrival: ArrivalPath,
        rule: PassRule,
    ) -> bool {
        if delta.from != self.versions.active() || self.versions.is_rejected(delta.to) {
            return false;
        }
        // The order decides which of several faults is reported; it has to be that of a full compile.
        delta.changed.sort_by(|left, right| left.name.cmp(&right.name));
        let base = self.versions.snapshot.as_deref();
        let compiled = match base {
            Some(snapshot) => snapshot.with_delta(&delta),
            None => ConfigSnapshot::new(delta.to, delta.changed.iter().cloned()),
        };
        match compiled {
            Ok(snapshot) => {
                self.adopt(turn, Arc::new(snapshot), Some(delta), arrival, rule);
                true
            }
            Err(reason) => {
                if is_authentic(base, &delta) {
                    self.reject(turn, delta.to, reason);
                }
                false
            }
        }
    }

    /// Makes a compiled version the active one and passes it on.
    pub(crate) fn adopt(
        &mut self,
        turn: &mut Turn<'_>,
        snapshot: Arc<ConfigSnapshot>,
        delta: Option<VersionDelta>,
        arrival: ArrivalPath,
        rule: PassRule,
    ) {
        if snapshot.version() <= self.versions.active() {
            return;
        }
        let old = self.versions.snapshot.replace(snapshot.clone());
        let delta = delta.unwrap_or_else(|| difference(old.as_deref(), &snapshot));
        self.versions.since = turn.now;
        self.versions.arrival = Some(arrival);
        self.counters.applied += 1;
        self.note_seen(turn, snapshot.version());
        self.learn_targets(turn, &delta);
        if self.start.ready {
            turn.actions.push(ControlAction::Install(snapshot));
        }
        let delta = Arc::new(delta);
        if content_bytes(&delta) <= PUSH_BYTES {
            self.versions.keep(delta.clone());
        }
        self.pass_on(turn, &delta, rule);
        self.announce_gateways(turn);
        self.end_transfer_if_done(turn);
        if let Some(early) = self.versions.take_early() {
            self.apply_delta(turn, early.delta, early.arrival, PassRule::Tree);
        }
    }

    /// Remembers that `version` is bad and lets every node know, so that all give the same reason.
    pub(crate) fn reject(&mut self, turn: &mut Turn<'_>, version: VersionId, reason: RejectReason) {
        let rejected = RejectedVersion {
            version,
            code: reason.code,
            part: reason.part.into(),
            reason: reason.reason.into(),
        };
        self.note_rejected(turn, rejected);
    }

    pub(crate) fn note_rejected(&mut self, turn: &mut Turn<'_>, rejected: RejectedVersion) {
        if rejected.version <= self.versions.active() || !self.versions.reject(rejected.clone()) {
            return;
        }
        self.transfer.forget_version(rejected.version);
        self.source.forget_version(rejected.version);
        self.spread(turn, SpreadEvent::Rejected(rejected));
    }

    /// Notes that a version exists.
    pub(crate) fn note_seen(&mut self, turn: &mut Turn<'_>, version: VersionId) {
        if self.versions.is_rejected(version) {
            return;
        }
        self.note_clash(version);
        if version > self.versions.seen {
            self.versions.seen = version;
            self.versions.seen_at = turn.now;
            self.announce_gateways(turn);
        }
    }

    /// Reports two versions with one number. The greater digest wins on every node.
    pub(crate) fn note_clash(&mut self, version: VersionId) {
        for other in [self.versions.active(), self.versions.seen] {
            if other.number == version.number && other != version && version.number != 0 {
                let (lower, higher) = (other.min(version), other.max(version));
                if self.versions.clash(lower, higher) {
                    self.events.push(SpreadEvent::Clash { lower, higher });
                }
            }
        }
    }

    pub(crate) fn on_heads(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        heads: VersionHeads,
    ) {
        self.note_seen(turn, heads.active);
        self.note_seen(turn, heads.seen());
        if heads.active > self.versions.active() {
            self.add_source(turn, from, heads.active);
        }
    }

    /// Tells a peer that has announced an older version about the own one.
    pub(crate) fn answer_behind(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        active: VersionId,
    ) {
        if active < self.versions.active() {
            self.send_announce(turn, from);
        }
    }

    pub(crate) fn send_announce(&self, turn: &mut Turn<'_>, to: &PeerAddress) {
        let (active, seen) = (self.versions.active(), self.versions.seen);
        turn.send(to, PeerMessage::Announce { active, seen });
    }

    pub(crate) fn tree_arity(&self) -> usize {
        match self.preference() {
            SpreadPreference::Convergence => 8,
            SpreadPreference::Bytes => 4,
        }
    }

    /// Sends a change to the root of its tree and to the node's children, as `rule` says.
    fn pass_on(&mut self, turn: &mut Turn<'_>, delta: &Arc<VersionDelta>, rule: PassRule) {
        let late = turn.now.since(self.versions.seen_at).millis() > FRESH_MS;
        if rule == PassRule::Repair && (late || delta.to != self.versions.seen) {
            return;
        }
        let Some(index) = self.own_index() else { return };
        let shape = TreeShape::new(self.members.count(), self.tree_arity(), delta.to.number);
        let mut receivers: Vec<usize> = Vec::new();
        if rule == PassRule::Origin && shape.root() != index {
            self.add_receiver(&shape, shape.root(), index, &mut receivers);
        }
        for child in shape.children(index) {
            self.add_receiver(&shape, child, index, &mut receivers);
        }
        receivers.sort_unstable();
        receivers.dedup();
        for receiver in receivers {
            let peer = self.members.at(receiver).peer.clone();
            self.send_change(turn, &peer, delta);
        }
    }

    /// Adds a receiver. The children of a suspected one are added too, since it may not pass it on.
    fn add_receiver(
        &self,
        shape: &TreeShape,
        receiver: usize,
        own: usize,
        receivers: &mut Vec<usize>,
    ) {
        if receiver == own {
            return;
        }
        receivers.push(receiver);
        if self.members.at(receiver).state == MemberState::Suspect {
            receivers.extend(shape.children(receiver).filter(|&child| child != own));
        }
    }

    fn send_change(&mut self, turn: &mut Turn<'_>, to: &PeerAddress, delta: &Arc<VersionDelta>) {
        if content_bytes(delta) > PUSH_BYTES {
            self.send_announce(turn, to);
        } else {
            turn.send(to, PeerMessage::Push { delta: VersionDelta::clone(delta) });
        }
    }

    /// Exchanges versions and the membership digest with a random member now and then.
    pub(crate) fn step_gossip(&mut self, turn: &mut Turn<'_>) {
        if turn.now < self.gossip_at {
            return;
        }
        let period = match self.preference() {
            SpreadPreference::Convergence => GOSSIP_MS,
            SpreadPreference::Bytes => GOSSIP_BYTES_MS,
        };
        self.gossip_at = turn.now + ClockSpan::new(self.jitter(period));
        self.send_gossip(turn, 1);
        self.members.forget_gone(turn.now);
    }

    pub(crate) fn send_gossip(&mut self, turn: &mut Turn<'_>, count: usize) {
        let (heads, view) = (self.heads(), self.view_digest());
        for peer in self.random_members(count, "") {
            turn.send(&peer, PeerMessage::Gossip { heads, view });
        }
    }

    /// A child in some tree had to pull a version that this node has pushed: the link between them
    /// has gone silent.
    pub(crate) fn on_missed(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        version: VersionId,
    ) {
        let held = version <= self.versions.active() && self.versions.since < turn.now;
        if held && self.is_parent_of(version, &from.name) {
            turn.reset_link(from);
        }
    }

    fn is_parent_of(&self, version: VersionId, name: &str) -> bool {
        let child = self.members.get(name).and_then(|entry| self.members.index_of(&entry.rank));
        let shape = TreeShape::new(self.members.count(), self.tree_arity(), version.number);
        child.and_then(|child| shape.parent(child)) == self.own_index() && child.is_some()
    }

    /// The member that should have pushed `version` to this node.
    pub(crate) fn tree_parent(&self, version: VersionId) -> Option<&PeerAddress> {
        let shape = TreeShape::new(self.members.count(), self.tree_arity(), version.number);
        let parent = shape.parent(self.own_index()?)?;
        Some(&self.members.at(parent).peer)
    }
}

/// The change between two compiled versions.
fn difference(old: Option<&ConfigSnapshot>, new: &ConfigSnapshot) -> VersionDelta {
    let old_hash = |name: &str| old.and_then(|old| old.manifest().get(name));
    let changed = new.manifest().entries().filter(|(name, hash)| old_hash(name) != Some(*hash));
    let content = |name| new.content(name).cloned().unwrap_or_else(|| "".into());
    let mut changed: Vec<PartContent> =
        changed.map(|(name, _)| PartContent::new(name.clone(), content(name))).collect();
    changed.sort_by(|left, right| left.name.cmp(&right.name));
    let removed = match old {
        Some(old) => {
            let entries = old.manifest().entries().map(|(name, _)| name);
            entries.filter(|name| new.manifest().get(name).is_none()).cloned().collect()
        }
        None => Vec::new(),
    };
    let from = old.map_or(VersionId::NONE, ConfigSnapshot::version);
    VersionDelta { from, to: new.version(), changed, removed }
}
