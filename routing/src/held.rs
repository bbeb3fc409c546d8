//! Detects requests that crash the targets that run them.
//!
//! A target that falls over under load ends with dozens of requests at work, and none of them is the
//! cause. One end therefore tells nothing about its requests. A request that was at work at several
//! ends since it last completed is suspect, unless many others were at work at the same ones.
//!
//! `QuarantineList` of the core crate weights each crash by the number of suspects and quarantines
//! a request at a weight of 1.5. Here the operators specify the number of crashes, so ends are
//! counted instead, however many other requests were at work.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::completions::CompletionTimes;

/// How long a request stays in quarantine after the last end at which it was at work, the first time.
pub const QUARANTINE_DURATION: ClockSpan = ClockSpan::new(120_000);

/// How many times the quarantine of a request that goes on to crash targets can double: to an hour.
const MAX_HOLD_DOUBLINGS: usize = 5;

/// Maximum number of requests in the report of an end. A target has fewer slots.
pub const MAX_REPORTED_REQUESTS: usize = 256;

/// Number of ends, apart in time, after which a request is no longer sent to targets.
const CRASH_LIMIT: usize = 3;

/// Ends that follow each other faster than this count as one. Many targets that end at the same moment have
/// a common cause, and a popular request is at work at all of them.
const MIN_END_SPACING: ClockSpan = ClockSpan::new(200);

/// The same for a request that is as suspect as more than [`MAX_COMPANIONS`] others. The operators
/// allow three further tries after the third crash.
const SHARED_CRASH_LIMIT: usize = 5;

/// Number of other requests that may have been at work at the same ends as a request that is
/// quarantined for them. More of them point to a cause outside the requests: load moves from one
/// target to the next with its retries. Small targets run about six requests.
const MAX_COMPANIONS: usize = 2;

/// Reports of an end of the same target within this time are about one end. A target needs several
/// seconds to restart.
const END_MERGE_WINDOW: ClockSpan = ClockSpan::new(1_000);

/// Maximum number of requests that are tracked. They take about 100 bytes each.
const MAX_SUSPECTS: usize = 4_096;

/// Number of requests that stay tracked when there are too many.
const KEPT_SUSPECTS: usize = MAX_SUSPECTS * 3 / 4;

/// The end of a target, as a node reports it to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownEnd {
    /// The target that ended.
    pub target: Arc<str>,
    /// Time since the end.
    pub age: ClockSpan,
    /// Requests that were at work, the most suspect first.
    pub requests: Vec<RequestFingerprint>,
}

/// A completed run, as a node reports it to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownCompletion {
    /// The request.
    pub request: RequestFingerprint,
    /// Time since the end of the run.
    pub age: ClockSpan,
}

/// What the end of a target tells about the requests that were at work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndEvidence {
    /// Requests that were at work, the most suspect first, with the number of ends at which each was at
    /// work since it last completed.
    pub requests: Vec<(RequestFingerprint, usize)>,
    /// Number of these requests that are in quarantine from this end on.
    pub quarantined: usize,
    /// Most suspect request that has not completed lately.
    most_suspect: Option<(RequestFingerprint, usize)>,
}

impl EndEvidence {
    /// Returns the most suspect request with its number of ends: one that was at work at several
    /// ends, or alone.
    pub fn suspect(&self) -> Option<(RequestFingerprint, usize)> {
        self.most_suspect.filter(|(_, ends)| *ends > 1 || self.requests.len() == 1)
    }
}

#[derive(Debug)]
struct TargetEnd {
    target: Arc<str>,
    at: ClockTime,
}

/// Tracks the ends of targets at which each request was at work.
///
/// Many requests have the same fingerprint, such as lookups without a body. Only ends after the last
/// completion of a request count, and identical requests that ran concurrently on a crashed target
/// count as one.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Ends at which each request was at work, in the order in which they became known.
    suspects: FxHashMap<RequestFingerprint, Vec<Arc<TargetEnd>>>,
    /// Ends with requests in `suspects`.
    ends: Vec<Arc<TargetEnd>>,
    completions: CompletionTimes,
    /// Requests that the target beside this node has completed while they were suspect. Nodes that have
    /// not seen it still suspect them.
    unreported: FxHashMap<RequestFingerprint, ClockTime>,
}

impl CrashTracker {
    /// Creates a tracker that knows no ends.
    pub fn new() -> CrashTracker {
        CrashTracker::default()
    }

    /// Records that `target` ended while the requests were at work there.
    pub fn record_end(
        &mut self,
        now: ClockTime,
        target: &Arc<str>,
        requests: &[RequestFingerprint],
    ) -> EndEvidence {
        self.add_end(now, target, requests)
    }

    /// Adds ends that another node knows. Those that several nodes report count once.
    pub fn merge(&mut self, now: ClockTime, known_ends: &[KnownEnd]) {
        for end in known_ends {
            self.add_end(now - end.age, &end.target, &end.requests);
        }
    }

    /// Returns all ends of which requests are still suspected.
    pub fn known_ends(&self, now: ClockTime) -> Vec<KnownEnd> {
        let mut requests: FxHashMap<_, Vec<_>> = FxHashMap::default();
        for (request, ends) in &self.suspects {
            if is_recent(now, ends) {
                for end in ends {
                    requests.entry(Arc::as_ptr(end)).or_default().push(*request);
                }
            }
        }
        let known = self.ends.iter().filter_map(|end| {
            let requests = requests.remove(&Arc::as_ptr(end))?;
            Some(KnownEnd { target: end.target.clone(), age: now.since(end.at), requests })
        });
        known.collect()
    }

    fn add_end(
        &mut self,
        at: ClockTime,
        target: &Arc<str>,
        requests: &[RequestFingerprint],
    ) -> EndEvidence {
        let has_completed_since = |request| self.completions.last(request) > Some(at);
        let requests: FxHashSet<_> =
            requests.iter().copied().filter(|request| !has_completed_since(*request)).collect();
        if requests.is_empty() {
            return EndEvidence::default();
        }
        let end = self.find_or_add_end(at, target);
        let is_held = |request: &&_| self.is_quarantined(at, **request);
        let held_before = requests.iter().filter(is_held).count();
        let mut counted: Vec<_> = requests
            .into_iter()
            .map(|request| {
                let ends = self.suspects.entry(request).or_default();
                if !is_recent(at, ends) {
                    ends.clear();
                }
                if !ends.iter().any(|known| Arc::ptr_eq(known, &end)) {
                    ends.push(end.clone());
                }
                (request, ends.len())
            })
            .collect();
        counted.sort_unstable_by_key(|(request, ends)| (std::cmp::Reverse(*ends), *request));
        let held = counted.iter().filter(|(request, _)| self.is_quarantined(at, *request)).count();
        let quarantined = held.saturating_sub(held_before);
        let mut unsound =
            counted.iter().filter(|(request, _)| !self.completions.is_sound(at, *request));
        let most_suspect = unsound.next().copied();
        self.drop_least_suspect(at);
        EndEvidence { requests: counted, quarantined, most_suspect }
    }

    fn find_or_add_end(&mut self, at: ClockTime, target: &Arc<str>) -> Arc<TargetEnd> {
        let known = self.ends.iter().find(|end| {
            let apart = at.since(end.at).max(end.at.since(at));
            end.target == *target && apart < END_MERGE_WINDOW
        });
        if let Some(known) = known {
            return known.clone();
        }
        // Ends that no suspected request refers to.
        self.ends.retain(|end| Arc::strong_count(end) > 1);
        let end = Arc::new(TargetEnd { target: target.clone(), at });
        self.ends.push(end.clone());
        end
    }

    /// Keeps to the limit. Requests that were at work at one end only, and long ago, go first.
    fn drop_least_suspect(&mut self, now: ClockTime) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(request, ends)| ((is_recent(now, ends), ends.len(), last_end(ends)), *request))
            .collect();
        ranked.sort_unstable();
        for (_, request) in &ranked[..ranked.len() - KEPT_SUSPECTS] {
            self.suspects.remove(request);
        }
    }

    /// Records a completed run, which clears the request of the ends before it.
    pub fn record_completion(&mut self, now: ClockTime, request: RequestFingerprint) {
        self.clear(now, request);
    }

    /// Records a run that the target beside this node has completed. Other nodes are told if the request
    /// was suspect.
    pub fn record_own_completion(&mut self, now: ClockTime, request: RequestFingerprint) {
        if self.clear(now, request) {
            self.unreported.insert(request, now);
        }
    }

    /// Records completed runs that another node reports. They need not be reported again.
    pub fn merge_completions(&mut self, now: ClockTime, known_completions: &[KnownCompletion]) {
        for completion in known_completions {
            let at = now - completion.age;
            self.clear(at, completion.request);
            if self.unreported.get(&completion.request).is_some_and(|known| *known <= at) {
                self.unreported.remove(&completion.request);
            }
        }
    }

    /// Returns the completed runs that other nodes have to learn of, once, in no order and at most
    /// [`MAX_REPORTED_REQUESTS`].
    pub fn take_unreported(&mut self, now: ClockTime) -> Vec<KnownCompletion> {
        let completion = |(request, at)| KnownCompletion { request, age: now.since(at) };
        self.unreported.drain().take(MAX_REPORTED_REQUESTS).map(completion).collect()
    }

    /// Clears a request of the ends up to a completion at `at`. Returns whether there were any.
    fn clear(&mut self, at: ClockTime, request: RequestFingerprint) -> bool {
        self.completions.record(at, request);
        let Some(ends) = self.suspects.get_mut(&request) else { return false };
        let known = ends.len();
        ends.retain(|end| end.at > at);
        let is_cleared = ends.len() < known;
        if ends.is_empty() {
            self.suspects.remove(&request);
        }
        is_cleared
    }

    /// Whether a target has recently ended while it ran the request.
    pub fn is_suspected(&self, now: ClockTime, request: RequestFingerprint) -> bool {
        self.suspects.get(&request).is_some_and(|ends| is_recent(now, ends))
    }

    /// Whether the request has crashed too many targets to be sent to another one.
    pub fn is_quarantined(&self, now: ClockTime, request: RequestFingerprint) -> bool {
        let Some(ends) = self.suspects.get(&request) else { return false };
        crash_times(ends).len() >= CRASH_LIMIT
            && is_within_hold(now, ends)
            && !self.completions.is_sound(now, request)
            && (ends.len() >= SHARED_CRASH_LIMIT || !self.is_shared(now, request, ends))
    }

    /// Whether many other requests were at work at the ends that make a request suspect.
    fn is_shared(
        &self,
        now: ClockTime,
        request: RequestFingerprint,
        ends: &[Arc<TargetEnd>],
    ) -> bool {
        let companions = self.suspects.iter().filter(|(other, other_ends)| {
            let is_common = |end: &&Arc<TargetEnd>| ends.iter().any(|own| Arc::ptr_eq(own, end));
            **other != request
                && other_ends.len() >= CRASH_LIMIT
                && other_ends.iter().filter(is_common).count() >= CRASH_LIMIT
                && !self.completions.is_sound(now, **other)
        });
        companions.take(MAX_COMPANIONS + 1).count() > MAX_COMPANIONS
    }

    /// Returns the number of requests and ends that are tracked.
    pub fn tracked(&self) -> (usize, usize) {
        (self.suspects.len(), self.ends.len())
    }
}

/// Returns the times of the ends, of which those in quick succession count as one.
fn crash_times(ends: &[Arc<TargetEnd>]) -> Vec<ClockTime> {
    let mut times: Vec<_> = ends.iter().map(|end| end.at).collect();
    times.sort_unstable();
    let mut counted: Vec<ClockTime> = Vec::with_capacity(times.len());
    for at in times {
        if counted.last().is_none_or(|last| at.since(*last) >= MIN_END_SPACING) {
            counted.push(at);
        }
    }
    counted
}

/// Returns how long a request with these ends is held after the last one: twice as long each time that it
/// has crashed a target after it was released.
fn hold_duration(ends: &[Arc<TargetEnd>]) -> ClockSpan {
    let times = crash_times(ends);
    let is_release = |pair: &&[ClockTime]| pair[1].since(pair[0]) >= QUARANTINE_DURATION;
    let releases = times.windows(2).filter(is_release).count().min(MAX_HOLD_DOUBLINGS);
    ClockSpan::new(QUARANTINE_DURATION.millis() << releases)
}

/// Whether the ends still count against the request. A request that was held is remembered for as long
/// again after its release.
fn is_recent(now: ClockTime, ends: &[Arc<TargetEnd>]) -> bool {
    let duration = match crash_times(ends).len() >= CRASH_LIMIT {
        true => ClockSpan::new(hold_duration(ends).millis() * 2),
        false => QUARANTINE_DURATION,
    };
    last_end(ends).is_some_and(|last| now.since(last) < duration)
}

/// Whether the last end is so recent that a request with enough crashes is held.
fn is_within_hold(now: ClockTime, ends: &[Arc<TargetEnd>]) -> bool {
    last_end(ends).is_some_and(|last| now.since(last) < hold_duration(ends))
}

fn last_end(ends: &[Arc<TargetEnd>]) -> Option<ClockTime> {
    ends.iter().map(|end| end.at).max()
}
