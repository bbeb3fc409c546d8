//! Tracks how long the target beside a node stays cold.
//!
//! A target that has just started, and some others, run only a few calls per second and crash when
//! they get more. The store lists how long a target stays cold, as of some time ago, and the target
//! itself states it in answers to health checks. Until either of them has spoken about the time after
//! an event that may have made the target cold, it counts as cold.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};

use crate::pacer::{ColdLimit, RateLimit};
use crate::registry::TargetListing;

/// Age that an entry of the store may have when it arrives. The store delivers it within a second,
/// and a node that follows others passes on a view of up to 2.5 s.
const LISTING_AGE: ClockSpan = ClockSpan::new(3_500);

/// Time after a failed health check until the next one. Each check takes one of the calls that a cold
/// target accepts.
const PROBE_RETRY: ClockSpan = ClockSpan::new(1_000);

/// Shortest time between health checks without any sign that the target is cold.
const SUSPICION_INTERVAL: ClockSpan = ClockSpan::new(5_000);

/// How the targets of a service warm up, as the operators configured it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WarmupRule {
    /// Longest time for which a target stays cold after its start.
    pub duration: ClockSpan,
    /// Rate of calls that a cold target accepts.
    pub rate: RateLimit,
    /// Path of the health check, or empty if it is not known.
    pub health_path: Arc<str>,
}

impl WarmupRule {
    /// Number of calls that a cold target may get in any second if bounds allow `factor` times the
    /// rate. It is at least 1, since only an answer can tell that the target is warm.
    pub fn calls_per_second(&self, factor: f64) -> u32 {
        ((self.rate.per_second() * factor.max(1.0)) as u32).max(1)
    }
}

/// Why a target counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// The node has started and does not know its target yet.
    NodeStart,
    /// No connection to the target can be opened.
    Down,
    /// The target accepts connections again.
    Return,
    /// Another target, or another start of it, is listed.
    Replacement,
    /// The evacuation of its data centre has ended.
    EvacuationEnd,
    /// The target's entry in the store says so.
    Listing,
    /// The target says so itself.
    Statement,
}

impl ColdCause {
    /// Name of the cause in the log.
    pub const fn label(self) -> &'static str {
        match self {
            ColdCause::NodeStart => "node-start",
            ColdCause::Down => "down",
            ColdCause::Return => "return",
            ColdCause::Replacement => "replacement",
            ColdCause::EvacuationEnd => "evacuation-end",
            ColdCause::Listing => "listing",
            ColdCause::Statement => "statement",
        }
    }
}

/// What is known of the warmth of one target.
#[derive(Debug)]
pub struct ColdTracker {
    rule: Option<WarmupRule>,
    cause: ColdCause,
    /// Time until which the target is cold according to the latest statement about it.
    stated_until: ClockTime,
    /// Time of an event after which the target may be cold and nothing is known of it yet.
    in_doubt_since: Option<ClockTime>,
    /// Time of the latest sign that the target is cold. Only later statements make it warm.
    evidence_at: ClockTime,
    is_down: bool,
    /// Id, start time and report number of the last entry.
    listed: Option<(Arc<str>, u64, u64)>,
    /// Time from which a health check is wanted.
    probe_at: Option<ClockTime>,
    probed_at: Option<ClockTime>,
    probe_running: bool,
}

impl ColdTracker {
    /// Creates the tracker of a node that starts at `now`. Its target counts as cold.
    pub fn new(now: ClockTime) -> ColdTracker {
        ColdTracker {
            rule: None,
            cause: ColdCause::NodeStart,
            stated_until: ClockTime::ZERO,
            in_doubt_since: Some(now),
            evidence_at: now,
            is_down: false,
            listed: None,
            probe_at: Some(now),
            probed_at: None,
            probe_running: false,
        }
    }

    /// Sets how targets of the service warm up. Without a rule no target is cold.
    pub fn set_rule(&mut self, rule: Option<WarmupRule>) {
        self.rule = rule;
    }

    /// Returns how targets of the service warm up.
    pub fn rule(&self) -> Option<&WarmupRule> {
        self.rule.as_ref()
    }

    /// Returns why the target counts as cold, if it does.
    pub fn cause(&self, now: ClockTime) -> Option<ColdCause> {
        self.is_cold(now).then_some(self.cause)
    }

    /// Returns the time for which the target is expected to stay cold.
    pub fn time_left(&self, now: ClockTime) -> ClockSpan {
        self.cold_until(now).since(now)
    }

    /// Returns the limit on calls to the target, whose bound is `factor` times the rate of the rule. Its
    /// end has passed if the target is warm.
    pub fn limit(&self, now: ClockTime, factor: f64) -> Option<ColdLimit> {
        let rule = self.rule.as_ref()?;
        let until = match self.is_down {
            // Not before it accepts connections again, however long that takes.
            true => ClockTime::new(u64::MAX),
            false => self.cold_until(now),
        };
        Some(ColdLimit { calls_per_second: rule.calls_per_second(factor), until })
    }

    fn is_cold(&self, now: ClockTime) -> bool {
        self.cold_until(now) > now
    }

    fn cold_until(&self, now: ClockTime) -> ClockTime {
        let Some(rule) = &self.rule else { return ClockTime::ZERO };
        if self.is_down {
            return now + rule.duration;
        }
        let in_doubt = self.in_doubt_since.map(|since| since + rule.duration);
        in_doubt.unwrap_or_default().max(self.stated_until)
    }

    /// Records an event after which the target may be cold.
    pub fn record_doubt(&mut self, now: ClockTime, cause: ColdCause) {
        self.cause = cause;
        self.in_doubt_since = Some(now);
        self.evidence_at = now;
        self.probe_at = Some(now);
    }

    /// Records that no connection to the target could be opened.
    pub fn record_down(&mut self, now: ClockTime) {
        self.record_doubt(now, ColdCause::Down);
        self.is_down = true;
        self.probe_at = None;
    }

    /// Records that a connection to the target was opened. A target that was down has started again.
    pub fn record_connected(&mut self, now: ClockTime) {
        if std::mem::replace(&mut self.is_down, false) {
            self.record_doubt(now, ColdCause::Return);
        }
    }

    /// Records that the target closed all idle connections ahead of time, as it does when it restarts,
    /// but also for other reasons. Asks for a health check only.
    pub fn record_suspicion(&mut self, now: ClockTime) {
        let asked_lately =
            self.probed_at.is_some_and(|probed_at| now.since(probed_at) < SUSPICION_INTERVAL);
        if !asked_lately && self.probe_at.is_none() {
            self.probe_at = Some(now);
        }
    }

    /// Records the entry of the target in the store. It is up to [`LISTING_AGE`] old.
    pub fn record_listing(&mut self, now: ClockTime, listing: &TargetListing) {
        let report = (listing.id.clone(), listing.started_ms, listing.sequence);
        if self.listed.as_ref() == Some(&report) {
            return;
        }
        let former = self.listed.replace(report);
        let is_replaced = former.is_some_and(|(id, started_ms, _)| {
            id != listing.id || started_ms != listing.started_ms
        });
        if is_replaced {
            self.record_doubt(now, ColdCause::Replacement);
        }
        if self.is_down {
            // The target lives, so that it is asked before calls wait for it.
            self.probe_at = Some(now);
        }
        let was_cold = self.is_cold(now);
        let describes_present = now.since(self.evidence_at) >= LISTING_AGE;
        if describes_present {
            self.in_doubt_since = None;
        }
        if listing.cold_time_left.is_zero() {
            if describes_present {
                self.stated_until = now.min(self.stated_until);
            }
            return;
        }
        self.stated_until = self.stated_until.max(now + listing.cold_time_left);
        self.evidence_at = now;
        if !was_cold {
            self.cause = ColdCause::Listing;
            self.probe_at = Some(now);
        }
    }

    /// Records an answer of the target, to a request sent at `asked_at`, that it stays cold for `left`.
    pub fn record_statement(&mut self, asked_at: ClockTime, now: ClockTime, left: ClockSpan) {
        let until = now + left;
        if !left.is_zero() {
            if !self.is_cold(now) {
                self.cause = ColdCause::Statement;
            }
            self.stated_until = self.stated_until.max(until);
        }
        // What the target said before the latest sign that it is cold does not make it warm.
        if asked_at < self.evidence_at || self.is_down {
            return;
        }
        self.in_doubt_since = None;
        self.stated_until = until;
        self.evidence_at = asked_at;
    }

    /// Whether a health check is to be sent now.
    pub fn wants_probe(&self, now: ClockTime) -> bool {
        self.rule.as_ref().is_some_and(|rule| !rule.health_path.is_empty())
            && !self.probe_running
            && self.probe_at.is_some_and(|at| at <= now)
    }

    /// Records that a health check begins.
    pub fn begin_probe(&mut self, now: ClockTime) {
        self.probe_running = true;
        self.probe_at = None;
        self.probed_at = Some(now);
    }

    /// Records the end of a health check, and whether the target has answered. Otherwise it is repeated
    /// while the target is in doubt.
    pub fn end_probe(&mut self, now: ClockTime, answered: bool) {
        self.probe_running = false;
        if !answered && !self.is_down && self.in_doubt_since.is_some() && self.is_cold(now) {
            self.probe_at = self.probe_at.or(Some(now + PROBE_RETRY));
        }
    }
}
