//! Data centres whose targets get no calls, because operators have asked for it.
//!
//! An evacuation ends only when the store reports the removal of its key. If a store that was restored
//! from an older copy lacks the key, nobody has removed it, so the evacuation is kept until the store
//! holds it again and reports its removal.

use std::sync::Arc;

use rustc_hash::FxHashMap;

/// Whether the store holds the key of an evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EvacuationState {
    /// The store holds it.
    Listed,
    /// The store was restored from a copy without it.
    Kept,
}

/// Evacuated data centres.
#[derive(Debug, Default)]
pub struct EvacuationSet {
    centres: FxHashMap<Arc<str>, EvacuationState>,
}

impl EvacuationSet {
    /// Creates an empty set.
    pub fn new() -> EvacuationSet {
        EvacuationSet::default()
    }

    /// Records that the store holds the evacuation of a data centre. Returns whether it is new.
    pub fn begin(&mut self, centre: &str) -> bool {
        self.centres.insert(centre.into(), EvacuationState::Listed).is_none()
    }

    /// Records that the evacuation of a data centre was removed from the store. Returns whether it has
    /// ended. One that is missing from a restored store is kept.
    pub fn end(&mut self, centre: &str) -> bool {
        if self.centres.get(centre) != Some(&EvacuationState::Listed) {
            return false;
        }
        self.centres.remove(centre).is_some()
    }

    /// Records that the store was restored from a copy that holds the evacuations for which `is_listed`
    /// is true. Called before the changes that the restore makes are recorded. Returns the data centres
    /// whose evacuation is missing there.
    pub fn record_restore(&mut self, is_listed: impl Fn(&str) -> bool) -> Vec<Arc<str>> {
        let mut kept = Vec::new();
        for (centre, state) in &mut self.centres {
            *state = match is_listed(centre) {
                true => EvacuationState::Listed,
                false => EvacuationState::Kept,
            };
            if *state == EvacuationState::Kept {
                kept.push(centre.clone());
            }
        }
        kept
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, centre: &str) -> bool {
        self.centres.contains_key(centre)
    }
}
