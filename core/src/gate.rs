//! What the node beside a target does with the calls that reach it.
//!
//! Shutdown, quarantine, idempotency keys and admission meet here, so that one place decides whether a
//! call was dispatched and thus which answers "not run" are true.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::admission::{
    AdmissionAction, AdmissionAnswer, AdmissionCall, AdmissionQueue, AdmissionSettings, CallTicket,
};
use crate::balancer::LoadReport;
use crate::clock::{ClockSpan, ClockTime};
use crate::code::ResultCode;
use crate::config::{NodeName, RouteKind};
use crate::deadline::CallDeadline;
use crate::drain::{DrainPhase, DrainState};
use crate::fingerprint::RequestFingerprint;
use crate::handover::{KeyAnswer, KeyQuestion, RecordedAnswer};
use crate::keys::{KeyTable, KeyVerdict};
use crate::quarantine::QuarantineList;
use crate::snapshot::ServiceView;
use crate::version::VersionId;

/// When a caller may try again after a refusal by a node that is leaving.
const LEAVING_RETRY: ClockSpan = ClockSpan::new(1_000);

/// Limits of a gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateSettings {
    /// The node and its target.
    pub node: NodeName,
    /// Slots and queue of the target.
    pub admission: AdmissionSettings,
    /// How long an idempotency key is remembered.
    pub key_window: ClockSpan,
    /// Longest shutdown.
    pub drain_bound: ClockSpan,
}

/// A call that has reached the node beside its target.
#[derive(Debug, Clone)]
pub struct GateCall {
    /// Class of the caller, as `<tenant>/<class>`.
    pub class: Arc<str>,
    /// Kind of the route.
    pub kind: RouteKind,
    /// When the answer has to leave this node.
    pub deadline: CallDeadline,
    /// Fingerprint for the quarantine.
    pub fingerprint: RequestFingerprint,
    /// Idempotency key. It counts on non-idempotent routes only.
    pub key: Option<Arc<str>>,
    /// Fingerprint that two uses of the key are compared by.
    pub key_fingerprint: RequestFingerprint,
}

/// An answer without a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateReply {
    /// The result code. A code 2xx is true of the key too, except for 216.
    pub code: ResultCode,
    /// When a new attempt may succeed; zero when that cannot be said.
    pub retry_after: ClockSpan,
    /// The recorded answer, with 101.
    pub recorded: Option<Arc<RecordedAnswer>>,
}

/// What is to be done with a call that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateStep {
    /// Call `dispatch`, then send it to the upstream.
    Run(CallTicket),
    /// Keep it until `poll` names it.
    Wait(CallTicket),
    /// Ask these targets about the key, then call `resume`; `abandon` if the caller goes away.
    Ask(Vec<NodeName>),
    /// Answer it now.
    Reply(GateReply),
}

/// What is to be done with a call that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateAction {
    /// Call `dispatch`, then send it to the upstream.
    Run(CallTicket),
    /// Answer it now. It has ended.
    Reply(CallTicket, GateReply),
}

/// How a call that was to be dispatched has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateOutcome {
    /// The upstream's answer is complete.
    Done {
        /// Time that the upstream took, in µs.
        service_micros: u64,
        /// The answer, if the call has a key and the answer is short enough.
        answer: Option<RecordedAnswer>,
    },
    /// No byte was sent to the upstream.
    NotSent,
    /// The upstream answered that it did not run the request.
    Refused,
    /// Bytes were sent, and the outcome is unknown for this reason: 302, 303 or 304.
    Lost(ResultCode),
}

#[derive(Debug)]
struct GateEntry {
    call: GateCall,
    dispatched: bool,
}

/// The calls at the node beside a target.
#[derive(Debug)]
pub struct TargetGate {
    admission: AdmissionQueue,
    keys: KeyTable,
    quarantine: QuarantineList,
    drain: DrainState,
    calls: FxHashMap<CallTicket, GateEntry>,
}

impl TargetGate {
    /// Creates the gate of a node that started at `started`.
    pub fn new(settings: GateSettings, started: ClockTime) -> TargetGate {
        TargetGate {
            admission: AdmissionQueue::new(settings.admission),
            keys: KeyTable::new(settings.node, settings.key_window, started),
            quarantine: QuarantineList::new(),
            drain: DrainState::new(settings.drain_bound),
            calls: FxHashMap::default(),
        }
    }

    /// Takes over a newer version. Calls that run or wait are not touched.
    pub fn update(
        &mut self,
        now: ClockTime,
        version: VersionId,
        service: &ServiceView,
        slots: u32,
    ) {
        let queue_limit = service.part.queue_limit;
        self.admission.update(AdmissionSettings { slots, queue_limit });
        self.keys.update(now, version, service);
    }

    /// Whether keys are waiting for `note_current`.
    pub fn wants_current(&self, now: ClockTime) -> bool {
        self.keys.wants_current(now)
    }

    /// Notes that the active version is the newest one that has been accepted, as far as a node in
    /// contact with the platform says. Comes at least every few seconds while that is so.
    pub fn note_current(&mut self, now: ClockTime) {
        self.keys.note_current(now);
    }

    /// Decides on a call. `Run` and `Wait` are ended with `finish`, `cancel` or a reply of `poll` or
    /// `dispatch`.
    pub fn arrive(&mut self, now: ClockTime, call: GateCall) -> GateStep {
        let Some(key) = scan_key(&call) else { return self.admit(now, call) };
        let verdict = self.keys.begin(now, &key, call.key_fingerprint);
        self.follow(now, verdict, call)
    }

    /// Goes on with a call after earlier owners of its key were asked.
    pub fn resume(
        &mut self,
        now: ClockTime,
        call: GateCall,
        answers: &[(NodeName, Option<KeyAnswer>)],
    ) -> GateStep {
        let Some(key) = scan_key(&call) else { return self.admit(now, call) };
        let verdict = self.keys.resume(now, &key, answers);
        self.follow(now, verdict, call)
    }

    /// Ends a call whose caller went away while earlier owners were asked.
    pub fn abandon(&mut self, now: ClockTime, call: &GateCall) {
        if let Some(key) = scan_key(call) {
            self.keys.release(now, &key);
        }
    }

    /// Names the waiting calls that are to be dispatched or answered now. Called after every `finish`
    /// and `cancel`, and at least every 100 ms.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<GateAction>) {
        let mut due = Vec::new();
        self.admission.poll(now, &mut due);
        for action in due {
            match action {
                AdmissionAction::Run(ticket) => actions.push(GateAction::Run(ticket)),
                AdmissionAction::Expire(ticket) => {
                    self.end_undispatched(now, ticket);
                    let reply = GateReply::new(ResultCode::PatienceSpent, ClockSpan::ZERO);
                    actions.push(GateAction::Reply(ticket, reply));
                }
            }
        }
    }

    /// The check right before the first byte goes to the upstream. Fails with the answer for the call,
    /// which has then ended: the node may have been paused since the call was admitted.
    pub fn dispatch(&mut self, now: ClockTime, ticket: CallTicket) -> Result<(), GateReply> {
        let Some(entry) = self.calls.get_mut(&ticket) else {
            return Err(GateReply::new(ResultCode::PatienceSpent, ClockSpan::ZERO));
        };
        let allowed = match scan_key(&entry.call) {
            _ if entry.call.deadline.is_over(now) => false,
            Some(key) => self.keys.dispatch(&key),
            None => true,
        };
        if allowed {
            entry.dispatched = true;
            return Ok(());
        }
        self.admission.finish(ticket, None);
        self.end_undispatched(now, ticket);
        Err(GateReply::new(ResultCode::PatienceSpent, ClockSpan::ZERO))
    }

    /// Ends a call that was to be dispatched. Returns the code that goes back: it is 1xx or 3xx once
    /// `dispatch` has allowed the call, except that `NotSent` stands for 213 and `Refused` for
    /// 217.
    pub fn finish(
        &mut self,
        now: ClockTime,
        ticket: CallTicket,
        outcome: GateOutcome,
    ) -> ResultCode {
        let Some(entry) = self.calls.remove(&ticket) else { return ResultCode::UpstreamLost };
        self.drain.end_call();
        let key = scan_key(&entry.call);
        match outcome {
            GateOutcome::Done { service_micros, answer } => {
                self.admission.finish(ticket, Some(service_micros));
                self.quarantine.complete(entry.call.fingerprint);
                if let Some(key) = key {
                    self.keys.complete(now, &key, answer);
                }
                ResultCode::Done
            }
            GateOutcome::NotSent => {
                self.end_unrun(now, ticket, key);
                ResultCode::ConnectFailed
            }
            GateOutcome::Refused => {
                self.end_unrun(now, ticket, key);
                ResultCode::UpstreamRefused
            }
            GateOutcome::Lost(code) => {
                self.admission.finish(ticket, None);
                if let Some(key) = key {
                    self.keys.lose(now, &key, code);
                }
                code
            }
        }
    }

    fn end_unrun(&mut self, now: ClockTime, ticket: CallTicket, key: Option<Arc<str>>) {
        self.admission.finish(ticket, None);
        if let Some(key) = key {
            self.keys.retract(now, &key);
        }
    }

    /// Ends a waiting call whose caller has gone. False when it is already to be dispatched: then the
    /// host closes the connection to the upstream and calls `finish`.
    pub fn cancel(&mut self, now: ClockTime, ticket: CallTicket) -> bool {
        let waited = self.admission.cancel(ticket);
        if waited {
            self.end_undispatched(now, ticket);
        }
        waited
    }

    /// Scores the calls that were running when the upstream died, before they are ended with `finish`.
    /// Returns the fingerprints that are now quarantined.
    pub fn upstream_died(&mut self, now: ClockTime) -> Vec<RequestFingerprint> {
        let running = self.running_fingerprints();
        self.quarantine.crash(now, &running)
    }

    /// Fingerprints of the calls that the upstream is running, for control.
    pub fn running_fingerprints(&self) -> Vec<RequestFingerprint> {
        let running = self.calls.values().filter(|entry| entry.dispatched);
        let mut fingerprints: Vec<_> = running.map(|entry| entry.call.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints
    }

    /// Replaces the fingerprints that other nodes have quarantined.
    pub fn install_quarantine(&mut self, spread: impl IntoIterator<Item = RequestFingerprint>) {
        self.quarantine.install(spread);
    }

    /// Answers the question of a key's new owner.
    pub fn answer(&mut self, now: ClockTime, question: &KeyQuestion) -> KeyAnswer {
        self.keys.answer(now, question)
    }

    /// Begins the shutdown.
    pub fn begin_drain(&mut self, now: ClockTime) {
        self.drain.begin(now);
    }

    /// Phase of the shutdown.
    pub fn phase(&self, now: ClockTime) -> DrainPhase {
        self.drain.phase(now)
    }

    /// The load, as it goes back with each answer.
    pub fn load(&self) -> LoadReport {
        self.admission.load()
    }

    fn follow(&mut self, now: ClockTime, verdict: KeyVerdict, call: GateCall) -> GateStep {
        match verdict {
            KeyVerdict::Run => self.admit(now, call),
            KeyVerdict::Ask(owners) => GateStep::Ask(owners),
            KeyVerdict::Answer { code, recorded, retry_after } => {
                GateStep::Reply(GateReply { code, retry_after, recorded })
            }
        }
    }

    /// The checks of a call whose key, if any, is in flight here.
    fn admit(&mut self, now: ClockTime, call: GateCall) -> GateStep {
        match self.admit_or_refuse(now, &call) {
            Ok(step) => {
                if let GateStep::Run(ticket) | GateStep::Wait(ticket) = step {
                    self.calls.insert(ticket, GateEntry { call, dispatched: false });
                }
                step
            }
            Err(reply) => {
                if let Some(key) = scan_key(&call) {
                    self.keys.release(now, &key);
                }
                GateStep::Reply(reply)
            }
        }
    }

    fn admit_or_refuse(&mut self, now: ClockTime, call: &GateCall) -> Result<GateStep, GateReply> {
        if self.drain.is_leaving() {
            return Err(GateReply::new(ResultCode::Leaving, LEAVING_RETRY));
        }
        if self.quarantine.contains(now, call.fingerprint) {
            let left = self.quarantine.left(now, call.fingerprint);
            return Err(GateReply::new(ResultCode::Quarantined, left));
        }
        let offer = AdmissionCall { class: &call.class, kind: call.kind, deadline: call.deadline };
        let step = match self.admission.offer(now, &offer) {
            AdmissionAnswer::Run(ticket) => GateStep::Run(ticket),
            AdmissionAnswer::Wait(ticket) => GateStep::Wait(ticket),
            AdmissionAnswer::Refused { code, retry_after } => {
                return Err(GateReply::new(code, retry_after));
            }
        };
        self.drain.begin_call().map_err(|code| GateReply::new(code, LEAVING_RETRY))?;
        Ok(step)
    }

    fn end_undispatched(&mut self, now: ClockTime, ticket: CallTicket) {
        let Some(entry) = self.calls.remove(&ticket) else { return };
        self.drain.end_call();
        if let Some(key) = scan_key(&entry.call) {
            self.keys.release(now, &key);
        }
    }
}

impl GateReply {
    fn new(code: ResultCode, retry_after: ClockSpan) -> GateReply {
        GateReply { code, retry_after, recorded: None }
    }
}

/// The key of a call on a non-idempotent route. Elsewhere a second run does no harm.
fn scan_key(call: &GateCall) -> Option<Arc<str>> {
    if call.kind.is_idempotent() { None } else { call.key.clone() }
}
