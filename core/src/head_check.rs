//! Checks of the platform's head by the nodes that do not watch it.
//!
//! The platform may leave both readers of a data centre without a response while it serves other
//! nodes, and a watch without a response is noticed only at its timeout. Therefore the other nodes
//! take turns to read the head, so that the number of calls does not grow with the data centre.

use crate::clock::{ClockSpan, ClockTime};
use crate::control::{ControlAction, PlatformFault, ReadAnswer};
use crate::delta::{HEAD_KEY, HeadRecord};
use crate::state::{ControlState, READER_COUNT, Turn};

/// Interval of the checks in a data centre, in milliseconds. A version has to be in effect within
/// 7 s, also when several nodes in a row get no response.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// How long after the last version a node makes no check, in milliseconds, since the readers have a
/// response then.
const QUIET_MS: u64 = 2_000;

/// How long a node waits for a version that its check has found to arrive from a reader, in
/// milliseconds.
const ARRIVAL_WAIT_MS: u64 = 500;

/// How long a node makes no check after a failed one, in milliseconds. Bounds the calls to a
/// platform that is down.
const FAILURE_PAUSE_MS: u64 = 30_000;

/// State of a node's checks.
#[derive(Debug, Default)]
pub(crate) struct HeadCheck {
    pending: bool,
    /// Whether the node fetches a version that its check has found.
    fetching: bool,
    /// Number of the interval of the last check.
    last_interval: u64,
    paused_until: ClockTime,
}

impl HeadCheck {
    pub(crate) fn is_fetching(&self) -> bool {
        self.fetching
    }

    pub(crate) fn end_fetch(&mut self) {
        self.fetching = false;
    }
}

impl ControlState {
    /// Reads the head if it is the turn of this node.
    pub(crate) fn step_head_check(&mut self, turn: &mut Turn<'_>) {
        let Some(position) = self.own_index().and_then(|index| index.checked_sub(READER_COUNT))
        else {
            return;
        };
        // A node that starts gets the configuration from its peers.
        if !self.may_read_platform() || !self.start.is_wait_over(turn.now) {
            return;
        }
        if turn.now.since(self.versions.since).millis() < QUIET_MS {
            return;
        }
        let interval = turn.now.millis() / CHECK_INTERVAL_MS;
        let checker_count = (self.members.count() - READER_COUNT) as u64;
        let check = &mut self.head_check;
        let is_turn = interval % checker_count == position as u64;
        let is_free = !check.pending && turn.now >= check.paused_until;
        if !is_turn || !is_free || interval == check.last_interval {
            return;
        }
        check.pending = true;
        check.last_interval = interval;
        turn.actions.push(ControlAction::ReadValue { key: HEAD_KEY.to_owned() });
    }

    /// Takes in the response to a check.
    pub(crate) fn on_head_check(
        &mut self,
        turn: &mut Turn<'_>,
        result: Result<ReadAnswer, PlatformFault>,
    ) {
        self.head_check.pending = false;
        let head = match result {
            Ok(ReadAnswer::Found(record)) => {
                serde_json::from_str::<HeadRecord>(&record.content).ok()
            }
            Ok(ReadAnswer::Unchanged | ReadAnswer::Absent) => return,
            Err(_) => None,
        };
        // The host logs failed reads, and the readers report a malformed head.
        let Some(head) = head else { return self.pause_head_check(turn.now) };
        self.take_head(turn, head, ClockSpan::new(ARRIVAL_WAIT_MS));
        self.head_check.fetching = true;
    }

    /// Suspends the checks of this node after a failure.
    pub(crate) fn pause_head_check(&mut self, now: ClockTime) {
        self.head_check.paused_until = now + ClockSpan::new(FAILURE_PAUSE_MS);
    }
}
