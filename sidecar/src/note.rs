//! What nodes tell each other about a call, beside the request and the answer themselves.

use std::net::IpAddr;
use std::sync::Arc;

use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use fescuestack_core::{ClockSpan, RequestFingerprint};
use fescuestack_routing::{PriorityCounts, SlotLoad};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Header of a request to another node.
const CALL_HEADER: HeaderName = HeaderName::from_static("fescuestack-call");

/// Header of its answer.
const REPLY_HEADER: HeaderName = HeaderName::from_static("fescuestack-reply");

/// Header of the news that a request has crashed a target.
const CRASH_HEADER: HeaderName = HeaderName::from_static("fescuestack-crash");

/// Header of a question for the store's content.
const SYNC_HEADER: HeaderName = HeaderName::from_static("fescuestack-sync");

/// What the node where a call began tells the node beside the target. Times are in ms.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CallNote {
    /// The target that the call is meant for.
    pub(crate) target: Arc<str>,
    /// Slots of the target.
    pub(crate) slots: u32,
    /// Route of the call.
    pub(crate) route: Arc<str>,
    /// Urgency; lower is more urgent.
    pub(crate) rank: u8,
    /// Whether the call may run twice.
    pub(crate) idempotent: bool,
    /// Time until its caller stops waiting.
    pub(crate) left: u64,
    /// Time until its aim is missed.
    pub(crate) aim_left: u64,
    /// Longest wait in the queue.
    pub(crate) wait_limit: u64,
    /// Length of the body in bytes.
    pub(crate) body_bytes: u64,
}

/// How a call ended at its target's node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReplyEnd {
    /// The target answered; the answer follows.
    Answered,
    /// The node did not let it run, since it would wait longer than its limit.
    Busy,
    /// The node did not let it run, since it cannot be answered in time.
    Refused,
    /// The node is about to end and takes no more calls.
    Leaving,
    /// The target that the call is meant for is not here any more.
    Gone,
    /// The target said that it did not run it.
    Rejected,
    /// Nothing reached the target.
    NotSent,
    /// It may have run.
    Lost,
}

/// What the node beside a target tells about a call and its own load. Times are in ms.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ReplyNote {
    /// How the call ended.
    pub(crate) end: ReplyEnd,
    /// Calls that run at the target.
    pub(crate) running: u32,
    /// Calls that wait for it, by their urgency.
    pub(crate) queued: [u32; 4],
    /// Mean time of a call.
    pub(crate) service: u64,
    /// Mean time of a call of the same route.
    pub(crate) route_time: Option<u64>,
    /// Time until the large bodies that are on their way have arrived.
    pub(crate) intake: u64,
    /// Time for which the call waited in the queue.
    pub(crate) waited: u64,
    /// Whether the target crashed while it ran the call.
    pub(crate) crashed: bool,
    /// After a refusal, when there is likely to be room.
    pub(crate) retry_after: u64,
}

impl ReplyNote {
    pub(crate) fn load(&self) -> SlotLoad {
        SlotLoad {
            running: self.running,
            queued: PriorityCounts::from_array(self.queued),
            service_time: ClockSpan::new(self.service),
            route_service_time: self.route_time.map(ClockSpan::new),
            ingress_delay: ClockSpan::new(self.intake),
        }
    }
}

impl CallNote {
    /// Takes the time off that has passed since the note was written.
    pub(crate) fn subtract_elapsed(&mut self, span: ClockSpan) {
        let passed = span.millis();
        self.left = self.left.saturating_sub(passed);
        self.aim_left = self.aim_left.saturating_sub(passed);
    }

    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, CALL_HEADER, self);
    }

    /// Takes the note out of the headers of a request.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<CallNote> {
        take_note(headers, &CALL_HEADER)
    }
}

impl ReplyNote {
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, REPLY_HEADER, self);
    }

    /// Takes the note out of the headers of an answer.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<ReplyNote> {
        take_note(headers, &REPLY_HEADER)
    }
}

/// The news that a target crashed while it ran a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CrashNote {
    pub(crate) target: Arc<str>,
    request: u64,
}

impl CrashNote {
    pub(crate) fn new(target: Arc<str>, request: RequestFingerprint) -> CrashNote {
        CrashNote { target, request: request.number() }
    }

    pub(crate) fn request(&self) -> RequestFingerprint {
        RequestFingerprint::from_number(self.request)
    }

    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, CRASH_HEADER, self);
    }

    /// Takes the note out of the headers of a message.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<CrashNote> {
        take_note(headers, &CRASH_HEADER)
    }
}

/// A question for what the store holds. It is answered when there is something newer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SyncNote {
    /// The store's revision that the asking node has.
    pub(crate) after: u64,
    /// Longest time until the answer, in ms.
    pub(crate) wait: u64,
    /// The VM of the asking node.
    pub(crate) vm: IpAddr,
    /// Whether that VM is small.
    pub(crate) small: bool,
    /// Digest of the sizes that the asking node knows.
    pub(crate) sizes: u64,
}

impl SyncNote {
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, SYNC_HEADER, self);
    }

    /// Takes the note out of the headers of a request.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<SyncNote> {
        take_note(headers, &SYNC_HEADER)
    }
}

fn write_note(headers: &mut HeaderMap, name: HeaderName, note: &impl Serialize) {
    // Plain structures always encode, and the text holds header characters only.
    let Ok(bytes) = postcard::to_stdvec(note) else { return };
    if let Ok(value) = HeaderValue::try_from(BASE64_STANDARD_NO_PAD.encode(bytes)) {
        headers.insert(name, value);
    }
}

fn take_note<T: DeserializeOwned>(headers: &mut HeaderMap, name: &HeaderName) -> Option<T> {
    let value = headers.remove(name)?;
    let bytes = BASE64_STANDARD_NO_PAD.decode(value.as_bytes()).ok()?;
    postcard::from_bytes(&bytes).ok()
}
