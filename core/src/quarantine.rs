//! Requests that crash upstreams are recognised and refused.

use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::{ClockSpan, ClockTime};
use crate::completed::CompletedSet;
use crate::fingerprint::RequestFingerprint;

/// How long a fingerprint stays quarantined, and how long a crash is held against it.
pub const QUARANTINE_SPAN: ClockSpan = ClockSpan::new(10 * 60 * 1000);

/// Most fingerprints under suspicion or in quarantine.
pub const QUARANTINE_LIMIT: usize = 256;

/// Crashes that a fingerprint has to take part in.
pub(crate) const CRASH_MINIMUM: u32 = 2;

/// Points of a crash, shared by the fingerprints that may have caused it.
pub(crate) const CRASH_POINTS: u32 = 60_000;

/// Points from which a fingerprint is quarantined: one and a half crashes.
pub(crate) const POINTS_MINIMUM: u32 = CRASH_POINTS * 3 / 2;

#[derive(Debug, Clone, Copy)]
struct CrashScore {
    crashes: u32,
    points: u32,
    last: ClockTime,
}

/// Scores of suspected fingerprints and the list of quarantined ones.
#[derive(Debug, Clone, Default)]
pub struct QuarantineList {
    scores: FxHashMap<RequestFingerprint, CrashScore>,
    until: FxHashMap<RequestFingerprint, ClockTime>,
    spread: FxHashSet<RequestFingerprint>,
    completed: CompletedSet,
}

impl QuarantineList {
    /// Creates an empty list.
    pub fn new() -> QuarantineList {
        QuarantineList::default()
    }

    /// Replaces the fingerprints that other nodes have quarantined.
    pub fn install(&mut self, spread: impl IntoIterator<Item = RequestFingerprint>) {
        self.spread = spread.into_iter().take(QUARANTINE_LIMIT).collect();
    }

    /// Whether requests with this fingerprint are refused with 208.
    pub fn contains(&self, now: ClockTime, fingerprint: RequestFingerprint) -> bool {
        self.spread.contains(&fingerprint)
            || self.until.get(&fingerprint).is_some_and(|until| now < *until)
    }

    /// Time until the quarantine of a fingerprint ends, as a retry-after time.
    pub fn left(&self, now: ClockTime, fingerprint: RequestFingerprint) -> ClockSpan {
        match self.until.get(&fingerprint) {
            Some(until) => until.since(now),
            None => QUARANTINE_SPAN,
        }
    }

    /// Notes a run that the upstream completed, which clears the fingerprint.
    pub fn complete(&mut self, fingerprint: RequestFingerprint) {
        self.scores.remove(&fingerprint);
        self.completed.insert(fingerprint);
    }

    /// Scores the requests that were running when an upstream died. Returns those that are now
    /// quarantined, for control to spread.
    pub fn crash(
        &mut self,
        now: ClockTime,
        running: &[RequestFingerprint],
    ) -> Vec<RequestFingerprint> {
        let mut distinct = running.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        // A request that ran to its end before is less likely the cause than one that never did. It is
        // shielded once: stored data may have changed so that it now crashes the upstream.
        let (shielded, mut suspects): (Vec<_>, Vec<_>) =
            distinct.iter().copied().partition(|fingerprint| self.completed.contains(*fingerprint));
        for fingerprint in &shielded {
            self.completed.remove(*fingerprint);
        }
        if suspects.is_empty() {
            suspects = shielded;
        }
        self.forget(now);
        let share = CRASH_POINTS / suspects.len().max(1) as u32;
        suspects.into_iter().filter(|suspect| self.add(now, *suspect, share)).collect()
    }

    /// Scores a request of this node after another node lost its upstream while running it along with
    /// others, `running` in all. A crash beside this node is scored by `crash` alone. True when the
    /// fingerprint is now quarantined.
    pub fn crash_elsewhere(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        running: u32,
    ) -> bool {
        self.forget(now);
        self.add(now, fingerprint, CRASH_POINTS / running.max(1))
    }

    /// Adds a share of a crash. True when that quarantines the fingerprint.
    fn add(&mut self, now: ClockTime, fingerprint: RequestFingerprint, share: u32) -> bool {
        if !self.scores.contains_key(&fingerprint) && self.scores.len() >= QUARANTINE_LIMIT {
            self.drop_weakest();
        }
        let score = self.scores.entry(fingerprint).or_insert(CrashScore {
            crashes: 0,
            points: 0,
            last: now,
        });
        score.crashes += 1;
        score.points += share;
        score.last = now;
        if score.crashes < CRASH_MINIMUM || score.points < POINTS_MINIMUM {
            return false;
        }
        self.scores.remove(&fingerprint);
        if self.until.len() >= QUARANTINE_LIMIT {
            let first = self.until.iter().min_by_key(|(print, until)| (**until, **print));
            if let Some(first) = first.map(|(print, _)| *print) {
                self.until.remove(&first);
            }
        }
        self.until.insert(fingerprint, now + QUARANTINE_SPAN);
        true
    }

    fn forget(&mut self, now: ClockTime) {
        self.scores.retain(|_, score| now.since(score.last) < QUARANTINE_SPAN);
        self.until.retain(|_, until| now < *until);
    }

    fn drop_weakest(&mut self) {
        let weakest = self.scores.iter().min_by_key(|(print, score)| (score.points, **print));
        if let Some(weakest) = weakest.map(|(print, _)| *print) {
            self.scores.remove(&weakest);
        }
    }
}
