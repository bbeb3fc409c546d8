//! Refuses requests at the node where they arrive if calls as urgent have no chance at their service.
//!
//! In an overload, a call of a low priority is refused by several nodes, or waits in a queue until
//! more urgent calls have overtaken it. Its caller learns late that it has to come back. The node
//! therefore compares, for each service and priority, the calls that it has sent with those that were
//! refused, and refuses requests beyond a multiple of what was accepted. The requests that still pass
//! tell when there is room again, and keep each priority at the share that the targets give it.

use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime};
use rustc_hash::FxHashMap;

/// Requests that pass, as a multiple of those that were accepted. Targets refuse the rest, so that
/// they stay fully used although nodes cannot know which requests they would accept.
const PASS_FACTOR: f64 = 3.0;

/// Share of the requests that pass while more urgent ones are refused here. More of them would take
/// the slots that the more urgent ones leave for a moment.
const LESS_URGENT_SHARE: f64 = 0.1;

/// Time constant of the counts. Bursts last seconds, and callers come back within one.
const COUNT_TIME_CONSTANT: ClockSpan = ClockSpan::new(1_000);

/// Least number of recent refusals from which requests are refused. Single refusals are due to the
/// distribution of calls over targets.
const MIN_REFUSALS: f64 = 3.0;

/// Weight of the latest refusal in the delay that callers are told.
const RETRY_AFTER_WEIGHT: f64 = 0.2;

/// Range of the delays that callers are told around the average, as a fraction of it. Callers who are
/// refused together would return together.
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// Maximum number of services and priorities that are tracked.
const MAX_CLASSES: usize = 64;

/// Recent calls of one priority to one service, as exponentially decaying counts.
#[derive(Debug, Clone, Copy)]
struct ClassCounts {
    /// Calls that were sent to targets' nodes. They count as accepted until they are refused.
    passed: f64,
    /// Calls among them that were refused for lack of room.
    refused: f64,
    /// Requests that were refused here.
    held_back: f64,
    /// Average delay in ms that targets' nodes told refused callers.
    retry_after_ms: f64,
    updated_at: ClockTime,
}

impl ClassCounts {
    fn new(now: ClockTime) -> ClassCounts {
        let (passed, refused, held_back, retry_after_ms) = (0.0, 0.0, 0.0, 0.0);
        ClassCounts { passed, refused, held_back, retry_after_ms, updated_at: now }
    }

    /// Ages the counts up to `now`.
    fn age(&mut self, now: ClockTime) {
        let age = now.since(self.updated_at).millis() as f64;
        let left = (-age / COUNT_TIME_CONSTANT.millis() as f64).exp();
        self.passed *= left;
        self.refused *= left;
        self.held_back *= left;
        self.updated_at = now;
    }

    /// Share of the requests that exceeds the multiple of those that were accepted.
    fn excess_share(&self) -> f64 {
        if self.refused < MIN_REFUSALS {
            return 0.0;
        }
        let offered = self.passed + self.held_back;
        let accepted = (self.passed - self.refused).max(0.0);
        ((offered - PASS_FACTOR * accepted) / (offered + 1.0)).max(0.0)
    }
}

/// Estimates whether services have room for calls, by priority.
#[derive(Debug, Default)]
pub struct RoomEstimator {
    classes: FxHashMap<(Arc<str>, u8), ClassCounts>,
}

impl RoomEstimator {
    /// Creates an estimator that knows of no refusals.
    pub fn new() -> RoomEstimator {
        RoomEstimator::default()
    }

    /// Decides on a request. `has_waited` tells whether its caller was refused before and has come back
    /// later; it passes, so that waiting gains more than coming back at once. `random` is uniform between
    /// 0 and 1, and `has_free_slot` tells whether a target has reported a free slot, in which case the
    /// request passes, too. Fails with the time after which the caller should retry.
    pub fn admit(
        &mut self,
        now: ClockTime,
        (service, priority): (&Arc<str>, u8),
        has_waited: bool,
        random: f64,
        has_free_slot: impl FnOnce() -> bool,
    ) -> Result<(), ClockSpan> {
        let holds_urgent = (0..priority).any(|urgent| {
            let counts = self.classes.get_mut(&(service.clone(), urgent));
            counts.is_some_and(|counts| {
                counts.age(now);
                counts.excess_share() > 0.0
            })
        });
        let counts = self.counts(now, service, priority);
        let mut excess_share = counts.excess_share();
        if holds_urgent && excess_share > 0.0 {
            excess_share = excess_share.max(1.0 - LESS_URGENT_SHARE);
        }
        if has_waited || random >= excess_share || (!holds_urgent && has_free_slot()) {
            counts.passed += 1.0;
            return Ok(());
        }
        counts.held_back += 1.0;
        // `random` is uniform below the share here, so it spreads the delays as well.
        let spread = RETRY_AFTER_SPREAD * (random / excess_share - 0.5);
        Err(ClockSpan::new((counts.retry_after_ms * (1.0 + spread)) as u64))
    }

    /// Records that a call that had passed was refused for lack of room.
    pub fn record_refused(
        &mut self,
        now: ClockTime,
        (service, priority): (&Arc<str>, u8),
        retry_after: ClockSpan,
    ) {
        let counts = self.counts(now, service, priority);
        let retry_after_ms = retry_after.millis() as f64;
        if counts.refused < 1.0 {
            counts.retry_after_ms = retry_after_ms;
        }
        counts.retry_after_ms += (retry_after_ms - counts.retry_after_ms) * RETRY_AFTER_WEIGHT;
        counts.refused += 1.0;
    }

    fn counts(&mut self, now: ClockTime, service: &Arc<str>, priority: u8) -> &mut ClassCounts {
        let key = (service.clone(), priority);
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&key) {
            let oldest = self.classes.iter().min_by_key(|(_, counts)| counts.updated_at);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.classes.remove(&oldest);
            }
        }
        let counts = self.classes.entry(key).or_insert_with(|| ClassCounts::new(now));
        counts.age(now);
        counts
    }
}
