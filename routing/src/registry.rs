//! The targets that the platform lists.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// A target as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetListing {
    /// Identity of this target.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where the processes of its own VM reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How much longer it is slow after its start.
    pub warmup_left: ClockSpan,
    /// When it started, in milliseconds since the Unix epoch by its own clock.
    pub started_ms: u64,
    /// The store's revision of the entry.
    pub revision: u64,
}

/// Targets by id.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    targets: FxHashMap<Arc<str>, TargetListing>,
    /// Entries that vanished while the store was away, and when they count as gone.
    expiring: FxHashMap<Arc<str>, ClockTime>,
}

impl TargetRegistry {
    /// Creates an empty registry.
    pub fn new() -> TargetRegistry {
        TargetRegistry::default()
    }

    /// Takes over an entry. False when nothing that matters to calls changed.
    pub fn insert(&mut self, entry: TargetListing) -> bool {
        self.expiring.remove(&entry.id);
        match self.targets.get(&entry.id) {
            Some(existing) if existing.revision > entry.revision => false,
            Some(existing) if *existing == entry => false,
            _ => {
                self.targets.insert(entry.id.clone(), entry);
                true
            }
        }
    }

    /// Removes an entry at once.
    pub fn remove(&mut self, id: &str) -> Option<TargetListing> {
        self.expiring.remove(id);
        self.targets.remove(id)
    }

    /// Removes an entry at `until` unless it comes back. Entries lapse while the store is away and
    /// come back shortly after it, so a missing one says little at first.
    pub fn expire_at(&mut self, id: &str, until: ClockTime) {
        if let Some((id, _)) = self.targets.get_key_value(id) {
            self.expiring.entry(id.clone()).or_insert(until);
        }
    }

    /// Removes the lapsed entries whose time is over.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<TargetListing> {
        let due = self.expiring.iter().filter(|(_, until)| **until <= now);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// The entry called `id`.
    pub fn get(&self, id: &str) -> Option<&TargetListing> {
        self.targets.get(id)
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &TargetListing> {
        self.targets.values()
    }

    /// The newest entry at `address`. An address may be used again by another target while the
    /// entry of the former one is still listed.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&TargetListing> {
        let entries = self.targets.values().filter(|entry| entry.address == address);
        entries.max_by_key(|entry| (entry.started_ms, entry.revision))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
