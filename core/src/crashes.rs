//! Requests that crash the upstreams that run them.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::control::ControlAction;
use crate::events::{CrashReport, SpreadEvent};
use crate::quarantine::{
    CRASH_MINIMUM, CRASH_POINTS, POINTS_MINIMUM, QUARANTINE_LIMIT, QUARANTINE_SPAN,
};
use crate::state::{ControlState, Turn};

#[derive(Debug, Default)]
struct CrashScore {
    crashes: u32,
    points: u32,
    quarantined: bool,
    /// When the score is forgotten.
    until: ClockTime,
}

/// Scores by fingerprint.
#[derive(Debug, Default)]
pub(crate) struct CrashTable {
    scores: BTreeMap<u64, CrashScore>,
}

impl CrashTable {
    pub(crate) fn quarantined(&self) -> Vec<u64> {
        let scores = self.scores.iter().filter(|(_, score)| score.quarantined);
        scores.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Takes in a report. True if the quarantine list changed.
    fn take_report(&mut self, now: ClockTime, report: &CrashReport) -> bool {
        let running = report.fingerprints.len().max(1) as u32;
        let mut changed = false;
        for &fingerprint in &report.fingerprints {
            if report.completed {
                changed |= self.scores.remove(&fingerprint).is_some_and(|score| score.quarantined);
                continue;
            }
            let score = self.scores.entry(fingerprint).or_default();
            score.crashes += 1;
            score.points += CRASH_POINTS / running;
            score.until = now + QUARANTINE_SPAN;
            let over = score.crashes >= CRASH_MINIMUM && score.points >= POINTS_MINIMUM;
            changed |= over && !score.quarantined;
            score.quarantined |= over;
        }
        self.drop_oldest() || changed
    }

    /// Keeps to the limit by dropping what ends first. True if the quarantine list changed.
    fn drop_oldest(&mut self) -> bool {
        let mut changed = false;
        while self.scores.len() > QUARANTINE_LIMIT {
            let ends =
                self.scores.iter().map(|(key, score)| (score.quarantined, score.until, *key));
            let Some((quarantined, _, key)) = ends.min() else { break };
            self.scores.remove(&key);
            changed |= quarantined;
        }
        changed
    }

    /// Drops scores that are over. True if the quarantine list changed.
    fn drop_over(&mut self, now: ClockTime) -> bool {
        let mut changed = false;
        self.scores.retain(|_, score| {
            let over = score.until <= now;
            changed |= over && score.quarantined;
            !over
        });
        changed
    }
}

impl ControlState {
    /// Reports requests that ran when the upstream beside the node died, or that completed.
    pub(crate) fn report_runs(
        &mut self,
        turn: &mut Turn<'_>,
        fingerprints: Vec<u64>,
        completed: bool,
    ) {
        if fingerprints.is_empty() {
            return;
        }
        let reporter = self.settings.node.name.clone();
        let at_ms = turn.now.millis();
        self.on_crash_report(turn, CrashReport { reporter, at_ms, fingerprints, completed });
    }

    pub(crate) fn on_crash_report(&mut self, turn: &mut Turn<'_>, report: CrashReport) {
        if !self.events.is_new(&report) {
            return;
        }
        if self.crashes.take_report(turn.now, &report) {
            self.publish_quarantine(turn);
        }
        self.spread(turn, SpreadEvent::Crash(report));
    }

    /// Ends quarantines that are over.
    pub(crate) fn step_crashes(&mut self, turn: &mut Turn<'_>) {
        if self.crashes.drop_over(turn.now) {
            self.publish_quarantine(turn);
        }
    }

    fn publish_quarantine(&self, turn: &mut Turn<'_>) {
        let fingerprints = self.crashes.quarantined();
        turn.actions.push(ControlAction::Quarantine { fingerprints });
    }
}
