//! The members of the own data centre as this node sees them.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::config::NodeName;
use crate::message::{MemberEvent, MemberState, PeerAddress};
use crate::version::PartHash;

/// Buckets of the view digest. With 1,150 members a difference costs about 18 entries.
pub(crate) const VIEW_BUCKETS: usize = 64;

/// How long a member that is gone and not configured is remembered, in milliseconds.
const TOMBSTONE_MS: u64 = 600_000;

/// What is known of a member of the own data centre.
#[derive(Debug, Clone)]
pub(crate) struct MemberEntry {
    pub(crate) peer: PeerAddress,
    pub(crate) rank: MemberRank,
    pub(crate) incarnation: u64,
    pub(crate) state: MemberState,
    /// When the state began.
    pub(crate) since: ClockTime,
    /// When the member itself was last heard.
    pub(crate) heard: ClockTime,
    /// Whether the active configuration names it.
    pub(crate) configured: bool,
    /// Members that hold the present suspicion.
    pub(crate) confirmers: Vec<NodeName>,
}

impl MemberEntry {
    pub(crate) fn event(&self) -> MemberEvent {
        MemberEvent { peer: self.peer.clone(), incarnation: self.incarnation, state: self.state }
    }
}

/// Position of a member in hash order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MemberRank {
    pub(crate) hash: u64,
    pub(crate) name: NodeName,
}

impl MemberRank {
    pub(crate) fn new(name: &NodeName) -> MemberRank {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&PartHash::new(name.as_bytes()).as_bytes()[..8]);
        MemberRank { hash: u64::from_le_bytes(bytes), name: name.clone() }
    }

    pub(crate) fn bucket(&self) -> usize {
        self.hash as usize % VIEW_BUCKETS
    }
}

/// The outcome of telling the table something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberChange {
    /// Nothing new.
    None,
    /// A newer incarnation in the same state.
    Renewed,
    /// The state changed or the member is new.
    State,
}

/// Members by name and, as far as they are live, in hash order.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<NodeName, MemberEntry>,
    order: Vec<MemberRank>,
    view: Vec<u32>,
}

impl MemberTable {
    pub(crate) fn new() -> MemberTable {
        MemberTable { view: vec![0; VIEW_BUCKETS], ..MemberTable::default() }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut MemberEntry> {
        self.entries.get_mut(name)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Number of live members.
    pub(crate) fn count(&self) -> usize {
        self.order.len()
    }

    /// Position of a live member in hash order.
    pub(crate) fn index_of(&self, rank: &MemberRank) -> Option<usize> {
        self.order.binary_search(rank).ok()
    }

    /// The live member at a position in hash order.
    pub(crate) fn at(&self, index: usize) -> &MemberEntry {
        &self.entries[&self.order[index].name]
    }

    /// The live member that follows `rank` at `distance` on the ring.
    pub(crate) fn successor(&self, rank: &MemberRank, distance: usize) -> Option<&MemberEntry> {
        let index = self.index_of(rank)?;
        let next = (index + distance) % self.order.len();
        (next != index).then(|| self.at(next))
    }

    /// Digest over all live members.
    pub(crate) fn view(&self) -> u32 {
        self.view.iter().fold(0, |sum, part| sum.rotate_left(5) ^ part)
    }

    /// Digest over the live members of each bucket.
    pub(crate) fn view_buckets(&self) -> &[u32] {
        &self.view
    }

    /// Everything known of the members in a bucket.
    pub(crate) fn bucket_events(&self, bucket: usize) -> impl Iterator<Item = MemberEvent> + '_ {
        let inside = move |entry: &&MemberEntry| entry.rank.bucket() == bucket;
        self.entries.values().filter(inside).map(MemberEntry::event)
    }

    /// Takes in an event: a greater incarnation holds; within one incarnation the later state holds.
    pub(crate) fn update(&mut self, now: ClockTime, event: &MemberEvent) -> MemberChange {
        let Some(entry) = self.entries.get(&event.peer.name) else {
            self.insert(now, event);
            return MemberChange::State;
        };
        let newer = event.incarnation > entry.incarnation;
        if !newer && (event.incarnation < entry.incarnation || event.state <= entry.state) {
            return MemberChange::None;
        }
        let changed = event.state != entry.state;
        let rank = entry.rank.clone();
        self.remove_view(&rank);
        let entry = self.entries.get_mut(&rank.name).expect("the entry was found above");
        entry.incarnation = event.incarnation;
        entry.peer = event.peer.clone();
        if changed {
            entry.state = event.state;
            entry.since = now;
        }
        entry.confirmers.clear();
        self.insert_view(&rank);
        if changed { MemberChange::State } else { MemberChange::Renewed }
    }

    fn insert(&mut self, now: ClockTime, event: &MemberEvent) {
        let rank = MemberRank::new(&event.peer.name);
        let entry = MemberEntry {
            peer: event.peer.clone(),
            rank: rank.clone(),
            incarnation: event.incarnation,
            state: event.state,
            since: now,
            heard: ClockTime::ZERO,
            configured: false,
            confirmers: Vec::new(),
        };
        self.entries.insert(event.peer.name.clone(), entry);
        self.insert_view(&rank);
    }

    fn remove_view(&mut self, rank: &MemberRank) {
        let entry = &self.entries[&rank.name];
        if entry.state <= MemberState::Suspect {
            self.view[rank.bucket()] ^= view_mark(entry);
            if let Ok(index) = self.order.binary_search(rank) {
                self.order.remove(index);
            }
        }
    }

    fn insert_view(&mut self, rank: &MemberRank) {
        let entry = &self.entries[&rank.name];
        if entry.state <= MemberState::Suspect {
            self.view[rank.bucket()] ^= view_mark(entry);
            if let Err(index) = self.order.binary_search(rank) {
                self.order.insert(index, rank.clone());
            }
        }
    }

    /// Notes that the configuration no longer names a member. One that never showed up is forgotten.
    pub(crate) fn forget_target(&mut self, name: &str) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.configured = false;
        if entry.incarnation == 0 {
            let rank = entry.rank.clone();
            self.remove_view(&rank);
            self.entries.remove(name);
        }
    }

    /// Suspected members whose time to refute is over, declared dead.
    pub(crate) fn overdue(&self, now: ClockTime, full_ms: u64, short_ms: u64) -> Vec<MemberEvent> {
        let is_over = |entry: &&MemberEntry| {
            let limit = if entry.confirmers.len() >= 2 { short_ms } else { full_ms };
            entry.state == MemberState::Suspect && now.since(entry.since).millis() >= limit
        };
        let dead = |entry: &MemberEntry| MemberEvent { state: MemberState::Dead, ..entry.event() };
        self.entries.values().filter(is_over).map(dead).collect()
    }

    /// Gives every suspected member its full time again.
    pub(crate) fn restart_suspicions(&mut self, now: ClockTime) {
        for entry in self.entries.values_mut() {
            if entry.state == MemberState::Suspect {
                entry.since = now;
            }
        }
    }

    /// Forgets members that are gone for long and that no configuration names.
    pub(crate) fn forget_gone(&mut self, now: ClockTime) {
        self.entries.retain(|_, entry| {
            entry.configured
                || entry.state <= MemberState::Suspect
                || now.since(entry.since).millis() < TOMBSTONE_MS
        });
    }
}

/// Contribution of a live member to the view digest. Suspicions are short and are left out.
fn view_mark(entry: &MemberEntry) -> u32 {
    let mixed =
        (entry.rank.hash ^ entry.incarnation.rotate_left(32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 32) as u32
}
