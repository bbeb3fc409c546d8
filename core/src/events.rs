//! Events that reach every node of a data centre by being passed on.

use std::collections::VecDeque;

use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};

use crate::config::NodeName;
use crate::message::MemberEvent;
use crate::status::RejectedVersion;
use crate::version::VersionId;

/// Events in one message. Ten events of about 45 bytes stay below one network packet.
const EVENTS_PER_MESSAGE: usize = 10;

/// Events waiting to be passed on; the ones sent most often are dropped first.
const QUEUE_LIMIT: usize = 2048;

/// Remembered identities of events that have no state of their own to compare with.
const KNOWN_LIMIT: usize = 1024;

/// Something that all nodes are to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SpreadEvent {
    /// State of a member.
    Member(MemberEvent),
    /// A suspicion, with the member that raised it.
    Suspicion {
        /// The suspected member.
        member: MemberEvent,
        /// Who raised it.
        by: NodeName,
    },
    /// An upstream died while requests ran.
    Crash(CrashReport),
    /// A version that every node rejects.
    Rejected(RejectedVersion),
    /// Two versions with one number.
    Clash {
        /// The version that lost.
        lower: VersionId,
        /// The version that won.
        higher: VersionId,
    },
}

/// Report of a dead upstream, or of a completed run that clears earlier reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The node beside the upstream.
    pub reporter: NodeName,
    /// Time of the report at the reporter, in milliseconds; identifies it together with the name.
    pub at_ms: u64,
    /// Fingerprints of the requests that ran.
    pub fingerprints: Vec<u64>,
    /// Whether the requests completed, which clears them.
    pub completed: bool,
}

#[derive(Debug)]
struct QueuedEvent {
    event: SpreadEvent,
    sent: u32,
}

/// Events on their way, with the number of peers that each was sent to.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    queue: VecDeque<QueuedEvent>,
    fresh: Vec<SpreadEvent>,
    known: FxHashSet<CrashReport>,
    known_order: VecDeque<CrashReport>,
}

impl EventQueue {
    /// Queues an event. An earlier event on the same member gives way.
    pub(crate) fn push(&mut self, event: SpreadEvent) {
        if let SpreadEvent::Member(member) = &event {
            let keep = |queued: &SpreadEvent| !is_about(queued, &member.peer.name);
            self.queue.retain(|queued| keep(&queued.event));
            self.fresh.retain(keep);
        }
        self.fresh.push(event.clone());
        self.queue.push_front(QueuedEvent { event, sent: 0 });
        self.queue.truncate(QUEUE_LIMIT);
    }

    /// Whether a crash report is new; remembers it.
    pub(crate) fn is_new(&mut self, report: &CrashReport) -> bool {
        if !self.known.insert(report.clone()) {
            return false;
        }
        self.known_order.push_back(report.clone());
        if self.known_order.len() > KNOWN_LIMIT
            && let Some(oldest) = self.known_order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Events to piggyback on a message: those sent least often, each to `limit` peers at most.
    pub(crate) fn take_some(&mut self, limit: u32) -> Vec<SpreadEvent> {
        let count = self.queue.len().min(EVENTS_PER_MESSAGE);
        let mut taken = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(mut queued) = self.queue.pop_front() else { break };
            taken.push(queued.event.clone());
            queued.sent += 1;
            if queued.sent < limit {
                self.queue.push_back(queued);
            }
        }
        taken
    }

    /// Events that came in since the last call; they are passed on at once to `peers` peers.
    pub(crate) fn take_fresh(&mut self, peers: u32) -> Vec<SpreadEvent> {
        let fresh = std::mem::take(&mut self.fresh);
        for queued in self.queue.iter_mut().take(fresh.len()) {
            queued.sent += peers;
        }
        fresh
    }
}

fn is_about(event: &SpreadEvent, name: &NodeName) -> bool {
    match event {
        SpreadEvent::Member(member) | SpreadEvent::Suspicion { member, .. } => {
            member.peer.name == *name
        }
        SpreadEvent::Crash(_) | SpreadEvent::Rejected(_) | SpreadEvent::Clash { .. } => false,
    }
}
