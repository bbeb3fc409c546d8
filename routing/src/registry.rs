//! Registry of the targets that the platform lists.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

use crate::pacer::RateLimit;
use crate::view::StorePosition;

/// How long the last entry of a departed target is kept, in case a restored store lists it again.
const DEPARTED_TTL: ClockSpan = ClockSpan::new(600_000);

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
    /// Number of the target's report, which rises while it lives.
    pub sequence: u64,
    /// Position of the entry in the store's history.
    pub position: StorePosition,
}

impl TargetListing {
    /// Whether this entry is a later report of the same start of a target than `other`. A start time
    /// of 0 is unknown.
    fn is_later_report(&self, other: &TargetListing) -> bool {
        let rank = |entry: &TargetListing| (entry.sequence, entry.state == TargetState::Draining);
        self.started_ms != 0 && self.started_ms == other.started_ms && rank(self) > rank(other)
    }

    /// Whether `other` is of a later era of the store. The copy that an era begins with may hold
    /// entries that their targets have replaced or removed since.
    fn precedes_era_of(&self, other: &TargetListing) -> bool {
        self.position.era < other.position.era
    }
}

/// What becomes of an entry that is inserted.
enum EntryDecision {
    Accept,
    Ignore,
    /// Decide later whether the target still renews the entry.
    Hold,
}

/// Target entries by id.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    targets: FxHashMap<Arc<str>, TargetListing>,
    /// Last entries of targets that have left, with the time of their removal.
    departed: FxHashMap<Arc<str>, (TargetListing, ClockTime)>,
    /// Entries of departed targets that a restored store lists again, with the time from which they
    /// are used if they are still listed.
    held: FxHashMap<Arc<str>, (TargetListing, ClockTime)>,
    /// Entries that disappeared while the store was unavailable, with the time of their removal.
    expiring: FxHashMap<Arc<str>, ClockTime>,
}

impl TargetRegistry {
    /// Creates an empty registry.
    pub fn new() -> TargetRegistry {
        TargetRegistry::default()
    }

    /// Adds or updates an entry. Returns false if nothing relevant to calls has changed. An entry of a
    /// departed target that a restored store lists again is used from `hold_until` on, unless it
    /// disappears before: its target may have left while the store had no record of it.
    pub fn insert(&mut self, entry: TargetListing, hold_until: ClockTime) -> bool {
        self.expiring.remove(&entry.id);
        match self.decide(&entry) {
            EntryDecision::Accept => {
                self.held.remove(&entry.id);
                self.departed.remove(&entry.id);
                self.targets.insert(entry.id.clone(), entry);
                true
            }
            EntryDecision::Ignore => false,
            EntryDecision::Hold => {
                self.held.insert(entry.id.clone(), (entry, hold_until));
                false
            }
        }
    }

    fn decide(&self, entry: &TargetListing) -> EntryDecision {
        if let Some(existing) = self.targets.get(&entry.id) {
            let is_outdated = existing.position > entry.position
                || (existing.precedes_era_of(entry) && existing.is_later_report(entry));
            return match is_outdated || existing == entry {
                true => EntryDecision::Ignore,
                false => EntryDecision::Accept,
            };
        }
        match self.departed.get(&entry.id) {
            Some((last, _))
                if last.precedes_era_of(entry)
                    && last.started_ms == entry.started_ms
                    && entry.sequence <= last.sequence =>
            {
                match last.state {
                    TargetState::Draining => EntryDecision::Ignore,
                    TargetState::Ready => EntryDecision::Hold,
                }
            }
            _ => EntryDecision::Accept,
        }
    }

    /// Adds the held entries that are still listed at the end of their time, and returns them.
    pub fn release_held(&mut self, now: ClockTime) -> Vec<TargetListing> {
        let due: Vec<_> = self.held.extract_if(|_, (_, until)| *until <= now).collect();
        let entries: Vec<_> = due.into_iter().map(|(_, (entry, _))| entry).collect();
        for entry in &entries {
            self.departed.remove(&entry.id);
            self.targets.insert(entry.id.clone(), entry.clone());
        }
        entries
    }

    /// Removes an entry immediately.
    pub fn remove(&mut self, now: ClockTime, id: &str) -> Option<TargetListing> {
        self.expiring.remove(id);
        self.held.remove(id);
        let entry = self.targets.remove(id)?;
        self.departed.retain(|_, (_, at)| now.since(*at) < DEPARTED_TTL);
        self.departed.insert(entry.id.clone(), (entry.clone(), now));
        Some(entry)
    }

    /// Schedules the removal of an entry at `until`, unless it is inserted again before. Entries
    /// expire in the store while it is unavailable and reappear shortly afterwards, so a missing
    /// entry does not yet mean that its target is gone.
    pub fn expire_at(&mut self, id: &str, until: ClockTime) {
        if let Some((id, _)) = self.targets.get_key_value(id) {
            self.expiring.entry(id.clone()).or_insert(until);
        }
    }

    /// Returns the time of the next scheduled removal.
    pub fn next_removal(&self) -> Option<ClockTime> {
        self.expiring.values().min().copied()
    }

    /// Removes the entries whose scheduled removal is due.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<TargetListing> {
        let due = self.expiring.iter().filter(|(_, until)| **until <= now);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.remove(now, id)).collect()
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
        entries.max_by_key(|entry| (entry.started_ms, entry.position))
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
