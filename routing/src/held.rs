//! Detects requests that crash the targets that run them.
//!
//! `QuarantineList` of the core crate weights each crash by the number of suspects and quarantines
//! a request at a weight of 1.5. Here the operators specify the number of crashes, so crashes are
//! counted instead.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime, CompletedSet, RequestFingerprint};
use rustc_hash::FxHashMap;

/// How long a request stays in quarantine after its last crash.
pub const QUARANTINE_DURATION: ClockSpan = ClockSpan::new(120_000);

/// Number of crashes after which a request is no longer sent to targets.
const CRASH_LIMIT: usize = 3;

/// Reports of a crash of the same target within this time count as one crash. A target needs
/// several seconds to restart.
const CRASH_MERGE_WINDOW: ClockSpan = ClockSpan::new(1_000);

/// Maximum number of suspected requests that are tracked.
const MAX_SUSPECTS: usize = 1_024;

/// A crash, as a node reports it to another one that has started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownCrash {
    /// The request that the target executed.
    pub request: RequestFingerprint,
    /// The target that crashed.
    pub target: Arc<str>,
    /// Time since the crash.
    pub age: ClockSpan,
}

/// Counts the crashes in which each request was involved.
///
/// Many requests have the same fingerprint, such as lookups without a body. A fingerprint that
/// completed recently is not suspected, and identical requests that ran concurrently on a crashed
/// target count as one crash.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Targets that crashed while they ran a request, with the time of each crash.
    crashes: FxHashMap<RequestFingerprint, Vec<(Arc<str>, ClockTime)>>,
    completed: CompletedSet,
}

impl CrashTracker {
    /// Creates a tracker without crashes.
    pub fn new() -> CrashTracker {
        CrashTracker::default()
    }

    /// Records that `target` crashed while it ran the request. Returns the number of crashes
    /// counted so far.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        target: &Arc<str>,
        request: RequestFingerprint,
    ) -> usize {
        self.crashes.retain(|_, crashes| is_recent(now, crashes));
        self.add_crash(now, target, request)
    }

    /// Adds crashes that another node knows. Those of nodes that report the same crash count once.
    pub fn merge(&mut self, now: ClockTime, crashes: &[KnownCrash]) {
        for crash in crashes {
            self.add_crash(now - crash.age, &crash.target, crash.request);
        }
    }

    /// Returns the crashes of all suspected requests.
    pub fn known_crashes(&self, now: ClockTime) -> Vec<KnownCrash> {
        let recent = self.crashes.iter().filter(|(_, crashes)| is_recent(now, crashes));
        let known = recent.flat_map(|(request, crashes)| {
            crashes.iter().map(|(target, at)| KnownCrash {
                request: *request,
                target: target.clone(),
                age: now.since(*at),
            })
        });
        known.collect()
    }

    fn add_crash(
        &mut self,
        at: ClockTime,
        target: &Arc<str>,
        request: RequestFingerprint,
    ) -> usize {
        if self.completed.contains(request) {
            return 0;
        }
        if self.crashes.len() >= MAX_SUSPECTS
            && let Some(oldest) = self.crashes.iter().min_by_key(|(_, crashes)| last_crash(crashes))
        {
            let oldest = *oldest.0;
            self.crashes.remove(&oldest);
        }
        let crashes = self.crashes.entry(request).or_default();
        let is_duplicate = |(known, known_at): &(Arc<str>, ClockTime)| {
            let apart = at.since(*known_at).max(known_at.since(at));
            known == target && apart < CRASH_MERGE_WINDOW
        };
        if !crashes.iter().any(is_duplicate) {
            crashes.push((target.clone(), at));
        }
        crashes.len()
    }

    /// Records a completed run, which clears the request of suspicion.
    pub fn record_completion(&mut self, request: RequestFingerprint) {
        self.crashes.remove(&request);
        self.completed.insert(request);
    }

    /// Whether a target has recently crashed while it ran the request.
    pub fn is_suspected(&self, now: ClockTime, request: RequestFingerprint) -> bool {
        self.crashes.get(&request).is_some_and(|crashes| is_recent(now, crashes))
    }

    /// Whether the request has crashed too many targets to be sent to another one.
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
