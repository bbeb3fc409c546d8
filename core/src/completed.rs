//! Memory of requests that ran to their end.

use rustc_hash::FxHashSet;

use crate::fingerprint::RequestFingerprint;

/// Most fingerprints that are remembered.
const COMPLETED_LIMIT: usize = 4096;

/// Remembers the newest completed requests. Two sets that take turns forget the oldest half without a
/// list in order of time.
#[derive(Debug, Clone, Default)]
pub struct CompletedSet {
    newer: FxHashSet<RequestFingerprint>,
    older: FxHashSet<RequestFingerprint>,
}

impl CompletedSet {
    /// Creates an empty set.
    pub fn new() -> CompletedSet {
        CompletedSet::default()
    }

    /// Notes a completed run.
    pub fn insert(&mut self, fingerprint: RequestFingerprint) {
        if self.newer.len() >= COMPLETED_LIMIT / 2 {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint);
    }

    /// Forgets a request.
    pub fn remove(&mut self, fingerprint: RequestFingerprint) {
        self.newer.remove(&fingerprint);
        self.older.remove(&fingerprint);
    }

    /// Whether the request ran to its end lately.
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.newer.contains(&fingerprint) || self.older.contains(&fingerprint)
    }
}
