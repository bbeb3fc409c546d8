//! Metadata of calls between nodes, encoded into headers beside the request and the response.

use std::net::IpAddr;
use std::sync::Arc;

use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use fescuestack_core::{ClockSpan, RequestFingerprint};
use fescuestack_routing::{
    KnownCompletion, KnownOutage, OutageNotice, PriorityCounts, RateLimit, SlotLoad, StorePosition,
    WarmupRule,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Header with the [`CallNote`] of a request to another node.
const CALL_HEADER: HeaderName = HeaderName::from_static("fescuestack-call");

/// Header with the [`WarmupNote`] of a request to another node.
const WARMUP_HEADER: HeaderName = HeaderName::from_static("fescuestack-warmup");

/// Header with the [`ReplyNote`] of the response to a call.
const REPLY_HEADER: HeaderName = HeaderName::from_static("fescuestack-reply");

/// Header with the [`OutageNote`] of a message to another node.
const OUTAGE_HEADER: HeaderName = HeaderName::from_static("fescuestack-outage");

/// Header with the [`CompletionNote`] of a message to another node.
const COMPLETION_HEADER: HeaderName = HeaderName::from_static("fescuestack-completed");

/// Header with the [`SyncNote`] of a request to another node.
const SYNC_HEADER: HeaderName = HeaderName::from_static("fescuestack-sync");

/// Headers of all notes.
const NOTE_HEADERS: [HeaderName; 6] =
    [CALL_HEADER, WARMUP_HEADER, REPLY_HEADER, OUTAGE_HEADER, COMPLETION_HEADER, SYNC_HEADER];

/// Metadata of a call, sent by the node that received it to the target's node. Times are in ms.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CallNote {
    /// Id of the chosen target.
    pub(crate) target: Arc<str>,
    /// Number of slots of the target.
    pub(crate) slots: u32,
    /// Name of the route that the request matched.
    pub(crate) route: Arc<str>,
    /// Priority; lower is more urgent.
    pub(crate) rank: u8,
    /// Whether the request may be executed more than once.
    pub(crate) idempotent: bool,
    /// Time until the caller's deadline.
    pub(crate) left: u64,
    /// Time until the route's soft timeout.
    pub(crate) aim_left: u64,
    /// Longest time to wait in the queue.
    pub(crate) wait_limit: u64,
    /// Length of the body in bytes.
    pub(crate) body_bytes: u64,
    /// Rate limit of the target as the sender knows it, in calls per 1,000 s. The target's node may
    /// have been restarted since the target last stated it.
    pub(crate) rate_limit: Option<u64>,
    /// Whether a run makes the call.
    pub(crate) from_run: bool,
    /// How targets of the service warm up, in a header of its own. The target's node may have started
    /// and have no configuration yet.
    #[serde(skip)]
    pub(crate) warmup: Option<WarmupRule>,
}

/// How targets of a service warm up: the rate in calls per 1,000 s and the time in ms.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct WarmupNote {
    rate: u64,
    duration: u64,
}

/// Outcome of a call at the target's node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReplyEnd {
    /// The target responded. Its response carries this note.
    Answered,
    /// Not executed: it would have waited in the queue for longer than its limit.
    Busy,
    /// Not executed: it cannot be answered before its deadline.
    Refused,
    /// Not executed: the node is stopping or the target is leaving.
    Leaving,
    /// Not executed: another target has the address by now.
    Gone,
    /// Not executed: the target rejected it.
    Rejected,
    /// Not executed: it could not be sent to the target.
    NotSent,
    /// The target may have executed it.
    Lost,
    /// Not executed: the node is stopping and might break it off.
    Stopping,
    /// Not executed: the target is down.
    Down,
    /// Not executed: the target's data centre is evacuated.
    Evacuated,
}

/// Outcome of a call and load of the target, sent by the target's node. Times are in ms.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ReplyNote {
    /// Outcome of the call.
    pub(crate) end: ReplyEnd,
    /// Number of calls that run at the target.
    pub(crate) running: u32,
    /// Number of calls in the queue, by priority.
    pub(crate) queued: [u32; 4],
    /// Mean execution time of a call.
    pub(crate) service: u64,
    /// Mean execution time of a call of the same route, if known.
    pub(crate) route_time: Option<u64>,
    /// Time until the large bodies that are being received have arrived.
    pub(crate) intake: u64,
    /// Rate limit of the target in calls per 1,000 s, if it states one.
    pub(crate) rate_limit: Option<u64>,
    /// Time until the rate limit allows the next call.
    pub(crate) rate_delay: u64,
    /// Time for which the call waited in the queue.
    pub(crate) waited: u64,
    /// Whether the target is down.
    pub(crate) outage: OutageNotice,
    /// Whether the target has stated that it is leaving.
    pub(crate) target_leaving: bool,
    /// After a refusal, the time after which a retry is likely to be accepted.
    pub(crate) retry_after: u64,
    /// Whether the call was refused because calls of its run would be refused.
    pub(crate) short_of_calls: bool,
    /// If the node is stopping, the time for which it still runs calls.
    pub(crate) stops_in: Option<u64>,
}

impl ReplyNote {
    pub(crate) fn load(&self) -> SlotLoad {
        SlotLoad {
            running: self.running,
            queued: PriorityCounts::from_array(self.queued),
            service_time: ClockSpan::new(self.service),
            route_service_time: self.route_time.map(ClockSpan::new),
            ingress_delay: ClockSpan::new(self.intake),
            rate_limit: self.rate_limit.map(RateLimit::from_millihertz),
            rate_delay: ClockSpan::new(self.rate_delay),
        }
    }
}

impl CallNote {
    /// Subtracts the time that has passed since the note was received.
    pub(crate) fn subtract_elapsed(&mut self, span: ClockSpan) {
        let passed = span.millis();
        self.left = self.left.saturating_sub(passed);
        self.aim_left = self.aim_left.saturating_sub(passed);
    }

    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, CALL_HEADER, self);
        if let Some(WarmupRule { duration, rate, .. }) = &self.warmup {
            let note = WarmupNote { rate: rate.millihertz(), duration: duration.millis() };
            write_note(headers, WARMUP_HEADER, &note);
        }
    }

    /// Removes the note from the headers of a request and decodes it.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<CallNote> {
        let warmup = take_note(headers, &WARMUP_HEADER).map(|note: WarmupNote| WarmupRule {
            duration: ClockSpan::new(note.duration),
            rate: RateLimit::from_millihertz(note.rate),
            health_path: "".into(),
        });
        let note: CallNote = take_note(headers, &CALL_HEADER)?;
        Some(CallNote { warmup, ..note })
    }
}

impl ReplyNote {
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, REPLY_HEADER, self);
    }

    /// Removes the note from the headers of a response and decodes it.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<ReplyNote> {
        take_note(headers, &REPLY_HEADER)
    }
}

/// Report that a target has ended or is back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OutageNote {
    target: Arc<str>,
    /// Start time of the target as listed, if it is known.
    started_ms: Option<u64>,
    pub(crate) notice: OutageNotice,
    /// At an end, numbers of the fingerprints of the requests that were at work, the most suspect
    /// first.
    requests: Vec<u64>,
}

impl OutageNote {
    pub(crate) fn new(outage: &KnownOutage, requests: &[RequestFingerprint]) -> OutageNote {
        OutageNote {
            target: outage.target.clone(),
            started_ms: outage.started_ms,
            notice: outage.notice,
            requests: requests.iter().map(|request| request.number()).collect(),
        }
    }

    pub(crate) fn outage(&self) -> KnownOutage {
        let OutageNote { target, started_ms, notice, .. } = self.clone();
        KnownOutage { target, started_ms, notice }
    }

    /// Returns at most `limit` of the requests.
    pub(crate) fn requests(&self, limit: usize) -> Vec<RequestFingerprint> {
        let numbers = self.requests.iter().take(limit);
        numbers.map(|number| RequestFingerprint::from_number(*number)).collect()
    }

    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, OUTAGE_HEADER, self);
    }

    /// Removes the note from the headers of a message and decodes it.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<OutageNote> {
        take_note(headers, &OUTAGE_HEADER)
    }
}

/// Report that the sender's target has completed requests that are suspected to crash targets: numbers
/// of their fingerprints, with the time since the run in ms.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CompletionNote(Vec<(u64, u64)>);

impl CompletionNote {
    pub(crate) fn new(completions: &[KnownCompletion]) -> CompletionNote {
        let entry = |known: &KnownCompletion| (known.request.number(), known.age.millis());
        CompletionNote(completions.iter().map(entry).collect())
    }

    /// Returns at most `limit` of the completed runs.
    pub(crate) fn completions(&self, limit: usize) -> Vec<KnownCompletion> {
        let known = |(number, age): &(u64, u64)| KnownCompletion {
            request: RequestFingerprint::from_number(*number),
            age: ClockSpan::new(*age),
        };
        self.0.iter().take(limit).map(known).collect()
    }

    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, COMPLETION_HEADER, self);
    }

    /// Removes the note from the headers of a message and decodes it.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<CompletionNote> {
        take_note(headers, &COMPLETION_HEADER)
    }
}

/// Request for the store's content. The response is delayed until there is a newer revision.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SyncNote {
    /// Latest position of the store that the requesting node has.
    pub(crate) after: StorePosition,
    /// Version of the active configuration of the requesting node, or 0.
    pub(crate) version: u64,
    /// Longest delay of the response, in ms.
    pub(crate) wait: u64,
    /// VM of the requesting node.
    pub(crate) vm: IpAddr,
    /// Whether that VM is small.
    pub(crate) small: bool,
    /// Digest of the VM sizes that the requesting node knows.
    pub(crate) sizes: u64,
    /// Whether the requesting node has started and not learned of crashes yet.
    pub(crate) wants_crashes: bool,
}

impl SyncNote {
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_note(headers, SYNC_HEADER, self);
    }

    /// Removes the note from the headers of a request and decodes it.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<SyncNote> {
        take_note(headers, &SYNC_HEADER)
    }
}

/// Removes all notes from the headers of a message of a client or a target, which must not speak for a
/// node.
pub(crate) fn remove_notes(headers: &mut HeaderMap) {
    for name in NOTE_HEADERS {
        headers.remove(name);
    }
}

fn write_note(headers: &mut HeaderMap, name: HeaderName, note: &impl Serialize) {
    // Notes are plain structs, which always encode, and base64 is valid in a header value.
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
