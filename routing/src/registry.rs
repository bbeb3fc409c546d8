//! Registry of the targets that the platform lists.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

use crate::pacer::RateLimit;

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts work.
    Ready,
    /// The target finishes its open calls and shuts down.
    Draining,
}

/// What a target states about itself in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetNotice {
    /// Rate of calls that the target accepts from all callers together, if it limits them.
    pub rate_limit: Option<RateLimit>,
    /// Whether the target is leaving.
    pub is_leaving: bool,
}

/// A target's entry in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetListing {
    /// Unique id of this target.
    pub id: Arc<str>,
    /// Service that the target belongs to.
    pub service: Arc<str>,
    /// Address at which processes on the same VM reach the target.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Arc<str>,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new work.
    pub state: TargetState,
    /// Remaining time for which the target is slow after its start.
    pub cold_time_left: ClockSpan,
    /// Start time in milliseconds since the Unix epoch, by the target's own clock.
    pub started_ms: u64,
    /// Revision of the entry in the store.
    pub revision: u64,
}

/// Target entries by id.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    targets: FxHashMap<Arc<str>, TargetListing>,
    /// Entries that disappeared while the store was unavailable, with the time of their removal.
    expiring: FxHashMap<Arc<str>, ClockTime>,
}

impl TargetRegistry {
    /// Creates an empty registry.
    pub fn new() -> TargetRegistry {
        TargetRegistry::default()
    }

    /// Adds or updates an entry. Returns false if nothing relevant to calls has changed.
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

    /// Removes an entry immediately.
    pub fn remove(&mut self, id: &str) -> Option<TargetListing> {
        self.expiring.remove(id);
        self.targets.remove(id)
    }

    /// Schedules the removal of an entry at `until`, unless it is inserted again before. Entries
    /// expire in the store while it is unavailable and reappear shortly afterwards, so a missing
    /// entry does not yet mean that its target is gone.
    pub fn expire_at(&mut self, id: &str, until: ClockTime) {
        if let Some((id, _)) = self.targets.get_key_value(id) {
            self.expiring.entry(id.clone()).or_insert(until);
        }
    }

    /// Removes the entries whose scheduled removal is due.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<TargetListing> {
        let due = self.expiring.iter().filter(|(_, until)| **until <= now);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the entry with an id.
    pub fn get(&self, id: &str) -> Option<&TargetListing> {
        self.targets.get(id)
    }

    /// Iterates over all entries.
    pub fn iter(&self) -> impl Iterator<Item = &TargetListing> {
        self.targets.values()
    }

    /// Returns the newest entry at `address`. An address may be reused by another target while the
    /// entry of the previous one is still listed.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&TargetListing> {
        let entries = self.targets.values().filter(|entry| entry.address == address);
        entries.max_by_key(|entry| (entry.started_ms, entry.revision))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the registry is empty.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
