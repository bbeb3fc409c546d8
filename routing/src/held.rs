//! Requests that crash the targets that run them.
//!
//! `QuarantineList` of the core package weighs each crash by the number of suspects and holds a request
//! from one and a half crashes on. Here the operators name the number of crashes, and a request that
//! ran to its end anywhere is cleared, so the crashes are counted.

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use rustc_hash::FxHashMap;

/// How long a request stays suspected after a crash.
pub const HELD_SPAN: ClockSpan = ClockSpan::new(120_000);

/// Crashes after which a request is not sent to targets any more.
const CRASH_LIMIT: u32 = 3;

/// Most suspected requests that are remembered.
const SUSPECT_LIMIT: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct CrashCount {
    crashes: u32,
    last: ClockTime,
}

/// Counts the crashes in which each request took part.
#[derive(Debug, Default)]
pub struct CrashHistory {
    counts: FxHashMap<RequestFingerprint, CrashCount>,
}

impl CrashHistory {
    /// Creates a history without crashes.
    pub fn new() -> CrashHistory {
        CrashHistory::default()
    }

    /// Notes a target that crashed while it ran the request. Returns the crashes counted so far.
    pub fn crash(&mut self, now: ClockTime, request: RequestFingerprint) -> u32 {
        self.counts.retain(|_, count| now.since(count.last) < HELD_SPAN);
        if self.counts.len() >= SUSPECT_LIMIT
            && let Some(oldest) = self.counts.iter().min_by_key(|(_, count)| count.last)
        {
            let oldest = *oldest.0;
            self.counts.remove(&oldest);
        }
        let count = self.counts.entry(request).or_insert(CrashCount { crashes: 0, last: now });
        count.crashes += 1;
        count.last = now;
        count.crashes
    }

    /// Whether no request is suspected, so that none needs to be hashed.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Notes a run that came to its end, which clears the request.
    pub fn complete(&mut self, request: RequestFingerprint) {
        self.counts.remove(&request);
    }

    /// Whether the request has crashed too many targets to be sent to another.
    pub fn is_held(&self, now: ClockTime, request: RequestFingerprint) -> bool {
        self.counts
            .get(&request)
            .is_some_and(|count| count.crashes >= CRASH_LIMIT && now.since(count.last) < HELD_SPAN)
    }
}
