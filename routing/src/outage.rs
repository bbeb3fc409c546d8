//! Targets that accept no connections.
//!
//! A target that ends is back after some seconds. Until then its node refuses calls at once, and
//! other nodes send it none. This answers targets that end under load: their calls are retried at
//! the same moment, and each attempt at a target that is down delays them and uses up one of their
//! chances. A target that resets connections, as some do when they are full, is not down: only a
//! failed connection attempt of a probe says so.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// How long a target is left out after its node last stated that it is down. The statement that it
/// is back may be lost, and a call that finds the target still down is refused at once.
pub const OUTAGE_TTL: ClockSpan = ClockSpan::new(3_000);

/// Delay before the second probe of a target that is down.
const MIN_PROBE_DELAY: ClockSpan = ClockSpan::new(50);

/// Longest delay between two probes. It bounds how long a target that is back stays unused.
const MAX_PROBE_DELAY: ClockSpan = ClockSpan::new(400);

/// Whether a target is down, as the node beside it states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageNotice {
    /// Identifies the start of the node. The changes are counted from there.
    pub node_start: u64,
    /// Number of times that the target has ended or come back.
    pub changes: u64,
    /// Whether the target is down.
    pub is_down: bool,
}

/// What a node does about a call that failed at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureStep {
    /// Start to probe the target.
    Probe,
    /// Wait for the result of the probe in progress.
    Wait,
    /// Nothing: the target is known to be down.
    Down,
}

/// A change of the target that a probe has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageChange {
    /// The target has ended.
    Ended,
    /// The target accepts connections again.
    Back,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutagePhase {
    Up,
    /// A call has failed, and the first probe is in progress.
    Suspected,
    Down {
        /// Delay before the next probe.
        probe_delay: ClockSpan,
    },
}

/// Tracks whether the target beside a node is down.
#[derive(Debug)]
pub struct OutageTracker {
    phase: OutagePhase,
    node_start: u64,
    changes: u64,
}

impl OutageTracker {
    /// Creates the tracker of a target that is assumed to be up. `node_start` differs between starts
    /// of the node.
    pub fn new(node_start: u64) -> OutageTracker {
        OutageTracker { phase: OutagePhase::Up, node_start, changes: 0 }
    }

    /// Whether the target is down.
    pub fn is_down(&self) -> bool {
        matches!(self.phase, OutagePhase::Down { .. })
    }

    /// Returns what the node states about the target.
    pub fn notice(&self) -> OutageNotice {
        let OutageTracker { node_start, changes, .. } = *self;
        OutageNotice { node_start, changes, is_down: self.is_down() }
    }

    /// Records that a connection to the target broke or could not be opened. All calls that an end
    /// breaks off share one probe.
    pub fn record_failure(&mut self) -> FailureStep {
        match self.phase {
            OutagePhase::Up => {
                self.phase = OutagePhase::Suspected;
                FailureStep::Probe
            }
            OutagePhase::Suspected => FailureStep::Wait,
            OutagePhase::Down { .. } => FailureStep::Down,
        }
    }

    /// Records whether a probe has connected to the target.
    pub fn record_probe(&mut self, connected: bool) -> Option<OutageChange> {
        let change = match (self.phase, connected) {
            (OutagePhase::Up, true) => None,
            (OutagePhase::Suspected, true) => {
                self.phase = OutagePhase::Up;
                None
            }
            (OutagePhase::Down { .. }, true) => {
                self.phase = OutagePhase::Up;
                Some(OutageChange::Back)
            }
            (OutagePhase::Down { probe_delay }, false) => {
                let doubled = ClockSpan::new(probe_delay.millis() * 2);
                self.phase = OutagePhase::Down { probe_delay: doubled.min(MAX_PROBE_DELAY) };
                None
            }
            (OutagePhase::Up | OutagePhase::Suspected, false) => {
                self.phase = OutagePhase::Down { probe_delay: MIN_PROBE_DELAY };
                Some(OutageChange::Ended)
            }
        };
        self.changes += u64::from(change.is_some());
        change
    }

    /// Returns the delay before the next probe. There is none while the target is up.
    pub fn probe_delay(&self) -> Option<ClockSpan> {
        match self.phase {
            OutagePhase::Down { probe_delay } => Some(probe_delay),
            OutagePhase::Up | OutagePhase::Suspected => None,
        }
    }
}

/// An outage, as a node reports it to another one that has started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOutage {
    /// The target.
    pub target: Arc<str>,
    /// Start time of the target as listed, in milliseconds since the Unix epoch, if it is known.
    pub started_ms: Option<u64>,
    /// What its node stated last.
    pub notice: OutageNotice,
}

#[derive(Debug)]
struct OutageRecord {
    started_ms: Option<u64>,
    notice: OutageNotice,
    /// Until when the notice is believed.
    until: ClockTime,
}

/// What a node knows of the outages of all targets.
#[derive(Debug, Default)]
pub(crate) struct OutageTable {
    records: FxHashMap<Arc<str>, OutageRecord>,
}

impl OutageTable {
    /// Takes in what a target's node states. Returns whether the state of the target has changed.
    pub(crate) fn record(&mut self, now: ClockTime, outage: &KnownOutage) -> bool {
        let KnownOutage { target, started_ms, notice } = outage;
        let known = self.records.get(target).map(|record| record.notice);
        match known {
            // Most targets are up and have no record.
            None if !notice.is_down => return false,
            // Messages and replies may arrive out of order.
            Some(known) if !notice.replaces(known) => return false,
            _ => (),
        }
        self.records.retain(|_, record| now < record.until);
        let (started_ms, notice) = (*started_ms, *notice);
        let record = OutageRecord { started_ms, notice, until: now + OUTAGE_TTL };
        self.records.insert(target.clone(), record);
        known.is_none_or(|known| known.is_down != notice.is_down)
    }

    /// Whether the target is down. A later start under the same id is another target.
    pub(crate) fn is_down(&self, now: ClockTime, target: &str, started_ms: u64) -> bool {
        self.records.get(target).is_some_and(|record| {
            record.notice.is_down
                && now < record.until
                && record.started_ms.is_none_or(|known| known == started_ms)
        })
    }

    /// Returns the targets that are down.
    pub(crate) fn known(&self, now: ClockTime) -> Vec<KnownOutage> {
        let down =
            self.records.iter().filter(|(_, record)| record.notice.is_down && now < record.until);
        let known = down.map(|(target, record)| KnownOutage {
            target: target.clone(),
            started_ms: record.started_ms,
            notice: record.notice,
        });
        known.collect()
    }
}

impl OutageNotice {
    /// Whether this statement is as recent as `known`, or of another start of the node.
    fn replaces(self, known: OutageNotice) -> bool {
        self.node_start != known.node_start || self.changes >= known.changes
    }
}
