//! Requests that crash the targets that run them.
//!
//! `QuarantineList` of the core package weighs each crash by the number of suspects and holds a request
//! from one and a half crashes on. Here the operators name the number of crashes, so they are counted.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime, CompletedSet, RequestFingerprint};
use rustc_hash::FxHashMap;

/// How long a request stays suspected after a crash.
pub const QUARANTINE_DURATION: ClockSpan = ClockSpan::new(120_000);

/// Crashes after which a request is not sent to targets any more.
const CRASH_LIMIT: usize = 3;

/// Time within which the reports that a target has crashed are about the same crash. A target is
/// back after some seconds.
const CRASH_MERGE_WINDOW: ClockSpan = ClockSpan::new(1_000);

/// Most suspected requests that are remembered.
const MAX_SUSPECTS: usize = 1_024;

/// Counts the crashes in which each request took part.
///
/// Many requests are alike, such as lookups without a body. One that ran to its end lately is no
/// suspect, and alike requests that ran beside each other count once.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// The targets that crashed while they ran a request, and when.
    crashes: FxHashMap<RequestFingerprint, Vec<(Arc<str>, ClockTime)>>,
    completed: CompletedSet,
}

impl CrashTracker {
    /// Creates a history without crashes.
    pub fn new() -> CrashTracker {
        CrashTracker::default()
    }

    /// Notes that `target` crashed while it ran the request. Returns the crashes counted so far.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        target: &Arc<str>,
        request: RequestFingerprint,
    ) -> usize {
        if self.completed.contains(request) {
            return 0;
        }
        self.crashes.retain(|_, crashes| is_recent(now, crashes));
        if self.crashes.len() >= MAX_SUSPECTS
            && let Some(oldest) = self.crashes.iter().min_by_key(|(_, crashes)| last_crash(crashes))
        {
            let oldest = *oldest.0;
            self.crashes.remove(&oldest);
        }
        let crashes = self.crashes.entry(request).or_default();
        let is_duplicate = |(known, at): &(Arc<str>, ClockTime)| {
            known == target && now.since(*at) < CRASH_MERGE_WINDOW
        };
        if !crashes.iter().any(is_duplicate) {
            crashes.push((target.clone(), now));
        }
        crashes.len()
    }

    /// Notes a run that came to its end, which clears the request.
    pub fn record_completion(&mut self, request: RequestFingerprint) {
        self.crashes.remove(&request);
        self.completed.insert(request);
    }

    /// Whether the request has crashed too many targets to be sent to another.
    pub fn is_quarantined(&self, now: ClockTime, request: RequestFingerprint) -> bool {
        self.crashes
            .get(&request)
            .is_some_and(|crashes| crashes.len() >= CRASH_LIMIT && is_recent(now, crashes))
    }
}

fn is_recent(now: ClockTime, crashes: &[(Arc<str>, ClockTime)]) -> bool {
    last_crash(crashes).is_some_and(|last| now.since(last) < QUARANTINE_DURATION)
}

fn last_crash(crashes: &[(Arc<str>, ClockTime)]) -> Option<ClockTime> {
    crashes.iter().map(|(_, at)| *at).max()
}
