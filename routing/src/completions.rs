//! Times at which requests last ran to their end.

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use rustc_hash::FxHashMap;

/// How long a completed run shows that a request is sound. The target that runs it next may have another
/// release, and operators allow 3 s after the third crash until a request is held.
pub const SOUND_DURATION: ClockSpan = ClockSpan::new(2_000);

/// Maximum number of requests in each of the two maps. An entry takes about 20 bytes.
const MAX_COMPLETIONS: usize = 4_096;

/// Remembers the latest completions for at least [`SOUND_DURATION`], unless there are too many. Two maps
/// that take turns forget the oldest ones without a list in order of time.
#[derive(Debug, Default)]
pub(crate) struct CompletionTimes {
    newer: FxHashMap<RequestFingerprint, ClockTime>,
    older: FxHashMap<RequestFingerprint, ClockTime>,
    swapped_at: ClockTime,
}

impl CompletionTimes {
    /// Records that a run of the request was complete at `at`.
    pub(crate) fn record(&mut self, at: ClockTime, request: RequestFingerprint) {
        if self.newer.len() >= MAX_COMPLETIONS || at.since(self.swapped_at) >= SOUND_DURATION {
            std::mem::swap(&mut self.newer, &mut self.older);
            self.newer.clear();
            self.swapped_at = at;
        }
        let last = self.newer.entry(request).or_insert(at);
        *last = at.max(*last);
    }

    /// Returns the latest completion of the request that is remembered.
    pub(crate) fn last(&self, request: RequestFingerprint) -> Option<ClockTime> {
        self.newer.get(&request).max(self.older.get(&request)).copied()
    }

    /// Whether the request has completed so lately that it counts as sound.
    pub(crate) fn is_sound(&self, now: ClockTime, request: RequestFingerprint) -> bool {
        self.last(request).is_some_and(|at| now.since(at) < SOUND_DURATION)
    }
}
