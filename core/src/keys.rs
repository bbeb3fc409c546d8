//! Idempotency keys at the node of their owner: a request with a key runs at most once in the window.
//! The window is counted between arrivals at the owner, since no node knows how long a request was on
//! its way.
//!
//! The table says "not run" of a key only when it is certain that no request with it was dispatched:
//! the node has been up for a whole window, and every earlier owner has stated that it has not seen the
//! key and will not run it (it is fenced there). In every other case the outcome is unknown.

use std::collections::VecDeque;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::clock::{ClockSpan, ClockTime};
use crate::code::ResultCode;
use crate::config::NodeName;
use crate::fingerprint::RequestFingerprint;
use crate::handover::{KeyAnswer, KeyFinding, KeyQuestion, RecordedAnswer};
use crate::keytime::scan_key_time;
use crate::ownership::{KeyOwnership, OwnershipCheck};
use crate::snapshot::ServiceView;
use crate::version::VersionId;

/// Most keys that a node remembers.
pub const KEY_CAPACITY: usize = 20_000;

/// Longest body of an answer that is recorded, in bytes.
pub const RECORDED_BODY_BYTES: usize = 16 * 1024;

/// Most bytes of recorded bodies together: 20,000 bodies of 16 KB would not fit a node's memory.
pub const RECORDED_TOTAL_BYTES: usize = 32 * 1024 * 1024;

/// Longest idempotency key, in bytes.
pub const KEY_LIMIT_BYTES: usize = 128;

/// Share of the window that questions to earlier owners may take: a sixteenth, 7.5 s of 120 s. An
/// earlier owner keeps a key for that much longer, since a request that came within the window may
/// cause the question.
const ASK_SHARE: u64 = 16;

/// Rounds of questions to earlier owners, each naming further ones.
const ASK_ROUNDS: u32 = 4;

/// Most targets that a key is remembered to have been handed to.
const HANDED_LIMIT: usize = 8;

/// Fingerprint of a key that was fenced before any request with it came.
const NO_REQUEST: RequestFingerprint = RequestFingerprint::from_number(0);

/// When a caller may ask again about a key in flight.
const IN_FLIGHT_RETRY: ClockSpan = ClockSpan::new(200);

/// When a caller may ask again after an earlier owner could not be asked.
const UNSURE_RETRY: ClockSpan = ClockSpan::new(2_000);

/// What becomes of a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyVerdict {
    /// It may run; the key is in flight until `complete`, `lose` or `release`.
    Run,
    /// Ask these targets, then call `resume`. The key is in flight until then.
    Ask(Vec<NodeName>),
    /// Answer it now; it was not dispatched.
    Answer {
        /// 101, 210, 216, 201 or an unknown outcome.
        code: ResultCode,
        /// The recorded answer, with 101.
        recorded: Option<Arc<RecordedAnswer>>,
        /// When a new attempt may succeed; zero when that cannot be said.
        retry_after: ClockSpan,
    },
}

#[derive(Debug, Clone)]
enum KeyState {
    /// Earlier owners are being asked.
    Asking {
        since: ClockTime,
        asked: Vec<NodeName>,
        rounds: u32,
        handed: Vec<NodeName>,
    },
    /// Admitted, and perhaps dispatched.
    Running {
        dispatched: bool,
    },
    Done {
        answer: Option<Arc<RecordedAnswer>>,
    },
    Unknown {
        code: ResultCode,
    },
    /// Handed to other targets.
    Fenced {
        handed: Vec<NodeName>,
    },
}

#[derive(Debug, Clone)]
struct KeyEntry {
    fingerprint: RequestFingerprint,
    state: KeyState,
    expires: ClockTime,
}

/// The keys that a node has seen within the window.
#[derive(Debug)]
pub struct KeyTable {
    ownership: KeyOwnership,
    /// How long a key is kept: the window and the time that a question to this node may take.
    kept: ClockSpan,
    /// Most by which clocks differ; without it creation times are not believed.
    skew: Option<ClockSpan>,
    /// Every key seen since then is in the table, until it expires.
    known_since: ClockTime,
    entries: FxHashMap<Arc<str>, KeyEntry>,
    /// In order of insertion, which is the order of expiry.
    expiries: VecDeque<(ClockTime, Arc<str>)>,
    recorded_bytes: usize,
    capacity: usize,
}

impl KeyTable {
    /// Creates the table of a node that started at `started`. Times have to come from a clock that does
    /// not jump forward, since a jump would shorten the window.
    pub fn new(node: NodeName, window: ClockSpan, started: ClockTime) -> KeyTable {
        KeyTable {
            ownership: KeyOwnership::new(node, kept_span(window)),
            kept: kept_span(window),
            skew: None,
            known_since: started,
            entries: FxHashMap::default(),
            expiries: VecDeque::new(),
            recorded_bytes: 0,
            capacity: KEY_CAPACITY,
        }
    }

    /// The table with another capacity, for tests.
    pub fn with_capacity(self, capacity: usize) -> KeyTable {
        KeyTable { capacity, ..self }
    }

    /// Takes over the targets and the window of a newer version.
    pub fn update(&mut self, now: ClockTime, version: VersionId, service: &ServiceView) {
        let kept = kept_span(ClockSpan::new(service.part.key_window_ms));
        // A shorter window does not count until the node restarts: other nodes may not know of it.
        if kept > self.kept {
            // Keys older than the shorter window have been forgotten.
            self.known_since = self.known_since.max(now - self.kept);
            self.kept = kept;
            self.ownership.set_window(kept);
        }
        self.skew = service.part.key_skew_ms.map(ClockSpan::new);
        let targets = service.targets.iter().map(|target| target.name.clone()).collect();
        self.ownership.update(now, version, targets);
    }

    /// Whether keys are waiting for `note_current`: a target was removed and cannot be asked.
    pub fn wants_current(&self, now: ClockTime) -> bool {
        self.ownership.wants_current(now)
    }

    /// Notes that the active version is the newest one that has been accepted. Without it, keys of
    /// targets that were removed and cannot be asked stay unknown.
    pub fn note_current(&mut self, now: ClockTime) {
        self.ownership.note_current(now);
    }

    /// Decides on a request with a key.
    pub fn begin(
        &mut self,
        now: ClockTime,
        key: &str,
        fingerprint: RequestFingerprint,
    ) -> KeyVerdict {
        self.expire(now);
        let mut handed = Vec::new();
        if let Some(entry) = self.entries.get(key) {
            match &entry.state {
                KeyState::Fenced { handed: known } => handed.clone_from(known),
                _ => {
                    let verdict = entry.verdict(fingerprint);
                    self.touch(now, key);
                    return verdict;
                }
            }
        }
        if !self.ownership.is_owner(key) {
            return answer(ResultCode::NotKeyOwner, ClockSpan::ZERO);
        }
        let sure_at = self.known_since + self.kept;
        if now < sure_at && !self.is_newer(now, key) {
            return answer(ResultCode::KeyOwnerYoung, sure_at.since(now));
        }
        let mut owners = match self.ownership.duty(now, key) {
            OwnershipCheck::Ask(owners) => owners,
            OwnershipCheck::Unsure(until) => {
                return answer(ResultCode::KeyOwnerYoung, until.since(now));
            }
        };
        owners.extend(handed.iter().cloned());
        owners.sort_unstable();
        owners.dedup();
        if !self.entries.contains_key(key) && self.entries.len() >= self.capacity {
            return answer(ResultCode::Overload, self.next_expiry(now));
        }
        if owners.is_empty() {
            self.insert(now, key, fingerprint, KeyState::Running { dispatched: false });
            return KeyVerdict::Run;
        }
        let state = KeyState::Asking { since: now, asked: owners.clone(), rounds: 1, handed };
        self.insert(now, key, fingerprint, state);
        KeyVerdict::Ask(owners)
    }

    /// Whether `key` was certainly created after this table began to know every key. The creation time
    /// in a key is believed only within the stated difference of clocks, and never when it lies further
    /// ahead: a fast clock would make an old key look new.
    fn is_newer(&self, now: ClockTime, key: &str) -> bool {
        let (Some(skew), Some(created)) = (self.skew, scan_key_time(key)) else { return false };
        self.known_since + skew < created && created <= now + skew
    }

    /// Goes on after earlier owners were asked. `None` stands for one that did not answer.
    pub fn resume(
        &mut self,
        now: ClockTime,
        key: &str,
        answers: &[(NodeName, Option<KeyAnswer>)],
    ) -> KeyVerdict {
        let Some(entry) = self.entries.get(key) else {
            return answer(ResultCode::KeyOwnerYoung, UNSURE_RETRY);
        };
        let KeyState::Asking { since, asked, rounds, handed } = entry.state.clone() else {
            return entry.verdict(entry.fingerprint);
        };
        let fingerprint = entry.fingerprint;
        let mut missing = now.since(since).millis() > self.kept.millis() / (ASK_SHARE + 1);
        missing |= asked.iter().any(|name| !answers.iter().any(|(from, _)| from == name));
        let mut further: Vec<NodeName> = Vec::new();
        for (name, reply) in answers {
            let Some(reply) = reply else {
                missing = true;
                continue;
            };
            self.ownership.confirm(now, name, reply.version);
            match &reply.finding {
                KeyFinding::Fenced { also_ask } => {
                    further.extend(also_ask.iter().filter(|name| !asked.contains(name)).cloned());
                }
                KeyFinding::InFlight => {
                    self.unask(now, key, handed);
                    return answer(ResultCode::KeyInFlight, IN_FLIGHT_RETRY);
                }
                KeyFinding::Done { fingerprint: first, answer } => {
                    let first = RequestFingerprint::from_number(*first);
                    self.insert(now, key, first, KeyState::Done { answer: None });
                    self.record(key, answer.clone());
                    return self.entries[key].verdict(fingerprint);
                }
                KeyFinding::Unknown { fingerprint: first, code } => {
                    let first = RequestFingerprint::from_number(*first);
                    self.insert(now, key, first, KeyState::Unknown { code: *code });
                    return self.entries[key].verdict(fingerprint);
                }
                KeyFinding::Unsure => missing = true,
            }
        }
        further.retain(|name| *name != *self.ownership.node());
        if missing || (rounds >= ASK_ROUNDS && !further.is_empty()) {
            self.unask(now, key, handed);
            return answer(ResultCode::KeyOwnerYoung, UNSURE_RETRY);
        }
        if further.is_empty() {
            self.insert(now, key, fingerprint, KeyState::Running { dispatched: false });
            return KeyVerdict::Run;
        }
        let state = KeyState::Asking { since, asked: further.clone(), rounds: rounds + 1, handed };
        self.insert(now, key, fingerprint, state);
        KeyVerdict::Ask(further)
    }

    /// Notes that a request is about to be dispatched. False when the key is not in flight here, in
    /// which case it must not be dispatched.
    pub fn dispatch(&mut self, key: &str) -> bool {
        match self.entries.get_mut(key).map(|entry| &mut entry.state) {
            Some(KeyState::Running { dispatched }) => !std::mem::replace(dispatched, true),
            _ => false,
        }
    }

    /// Ends a request that ran to its end.
    pub fn complete(&mut self, now: ClockTime, key: &str, recorded: Option<RecordedAnswer>) {
        let Some(entry) = self.entries.get(key) else { return };
        let fingerprint = entry.fingerprint;
        self.insert(now, key, fingerprint, KeyState::Done { answer: None });
        self.record(key, recorded.map(Arc::new));
    }

    /// Ends a request that was dispatched and whose outcome is unknown.
    pub fn lose(&mut self, now: ClockTime, key: &str, code: ResultCode) {
        let Some(entry) = self.entries.get(key) else { return };
        let fingerprint = entry.fingerprint;
        self.insert(now, key, fingerprint, KeyState::Unknown { code });
    }

    /// Ends a request that was certainly not dispatched; the key may be used again. After a dispatch
    /// the outcome is unknown instead.
    pub fn release(&mut self, now: ClockTime, key: &str) {
        match self.entries.get(key).map(|entry| &entry.state) {
            Some(KeyState::Running { dispatched: true }) => {
                self.lose(now, key, ResultCode::UpstreamLost);
            }
            Some(KeyState::Running { .. }) => {
                self.entries.remove(key);
                // A refusal follows the entry at once. Without this, refusals would fill the list.
                if self.expiries.back().is_some_and(|(_, last)| **last == *key) {
                    self.expiries.pop_back();
                }
            }
            Some(KeyState::Asking { handed, .. }) => {
                let handed = handed.clone();
                self.unask(now, key, handed);
            }
            _ => (),
        }
    }

    /// Ends a request that was about to be dispatched but of which no byte was sent.
    pub fn retract(&mut self, now: ClockTime, key: &str) {
        if let Some(KeyState::Running { dispatched }) =
            self.entries.get_mut(key).map(|entry| &mut entry.state)
        {
            *dispatched = false;
        }
        self.release(now, key);
    }

    /// Answers a new owner. From then on this node does not run the key unless it becomes the owner
    /// again and has asked in its turn.
    pub fn answer(&mut self, now: ClockTime, question: &KeyQuestion) -> KeyAnswer {
        self.expire(now);
        let finding = self.find(now, question);
        KeyAnswer { version: self.ownership.version(), finding }
    }

    /// Keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table holds no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn find(&mut self, now: ClockTime, question: &KeyQuestion) -> KeyFinding {
        let mut handed = Vec::new();
        if let Some(entry) = self.entries.get(&question.key) {
            let fingerprint = entry.fingerprint.number();
            match &entry.state {
                KeyState::Asking { .. } | KeyState::Running { .. } => return KeyFinding::InFlight,
                KeyState::Done { answer } => {
                    return KeyFinding::Done { fingerprint, answer: answer.clone() };
                }
                KeyState::Unknown { code } => {
                    return KeyFinding::Unknown { fingerprint, code: *code };
                }
                KeyState::Fenced { handed: known } => handed.clone_from(known),
            }
        } else if self.entries.len() >= self.capacity {
            return KeyFinding::Unsure;
        }
        if now < self.known_since + self.kept && !self.is_newer(now, &question.key) {
            return KeyFinding::Unsure;
        }
        let OwnershipCheck::Ask(mut also_ask) = self.ownership.duty(now, &question.key) else {
            return KeyFinding::Unsure;
        };
        also_ask.extend(handed.iter().cloned());
        also_ask.extend(self.ownership.owner(&question.key).cloned());
        also_ask.retain(|name| *name != question.asker && *name != *self.ownership.node());
        also_ask.sort_unstable();
        also_ask.dedup();
        if !handed.contains(&question.asker) {
            if handed.len() >= HANDED_LIMIT {
                return KeyFinding::Unsure;
            }
            handed.push(question.asker.clone());
        }
        self.insert(now, &question.key, NO_REQUEST, KeyState::Fenced { handed });
        KeyFinding::Fenced { also_ask }
    }

    /// Gives up asking. What was known of the key before stays known.
    fn unask(&mut self, now: ClockTime, key: &str, handed: Vec<NodeName>) {
        if handed.is_empty() {
            self.entries.remove(key);
        } else {
            self.insert(now, key, NO_REQUEST, KeyState::Fenced { handed });
        }
    }

    fn insert(
        &mut self,
        now: ClockTime,
        key: &str,
        fingerprint: RequestFingerprint,
        state: KeyState,
    ) {
        let expires = now + self.kept;
        let name: Arc<str> = match self.entries.get_key_value(key) {
            Some((name, _)) => name.clone(),
            None => key.into(),
        };
        self.expiries.push_back((expires, name.clone()));
        self.entries.insert(name, KeyEntry { fingerprint, state, expires });
    }

    /// Starts the window anew, since the key was sent again.
    fn touch(&mut self, now: ClockTime, key: &str) {
        let Some((name, entry)) = self.entries.get_key_value(key) else { return };
        let name = name.clone();
        // Not on every resend, or a caller that polls would fill the list of expiries.
        if entry.expires.since(now) + ClockSpan::new(self.kept.millis() / 8) > self.kept {
            return;
        }
        self.expiries.push_back((now + self.kept, name));
        if let Some(entry) = self.entries.get_mut(key) {
            entry.expires = now + self.kept;
        }
    }

    fn record(&mut self, key: &str, recorded: Option<Arc<RecordedAnswer>>) {
        let Some(recorded) = recorded else { return };
        let bytes = recorded.bytes();
        if bytes > RECORDED_BODY_BYTES || self.recorded_bytes + bytes > RECORDED_TOTAL_BYTES {
            return;
        }
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.recorded_bytes += bytes;
        entry.state = KeyState::Done { answer: Some(recorded) };
    }

    /// Forgets keys after their window. A key in flight stays, whatever its age.
    fn expire(&mut self, now: ClockTime) {
        while let Some((expires, _)) = self.expiries.front() {
            if now < *expires {
                break;
            }
            let Some((_, key)) = self.expiries.pop_front() else { break };
            let Some(entry) = self.entries.get(&key) else { continue };
            if now < entry.expires {
                continue;
            }
            match &entry.state {
                KeyState::Asking { .. } | KeyState::Running { .. } => continue,
                KeyState::Done { answer: Some(answer) } => self.recorded_bytes -= answer.bytes(),
                _ => (),
            }
            self.entries.remove(&key);
        }
    }

    fn next_expiry(&self, now: ClockTime) -> ClockSpan {
        let first = self.expiries.front().map(|(expires, _)| expires.since(now));
        first.unwrap_or(UNSURE_RETRY).max(IN_FLIGHT_RETRY)
    }
}

impl KeyEntry {
    /// The answer to a request whose key is in the table.
    fn verdict(&self, fingerprint: RequestFingerprint) -> KeyVerdict {
        if fingerprint != self.fingerprint {
            return answer(ResultCode::BadRequest, ClockSpan::ZERO);
        }
        match &self.state {
            KeyState::Done { answer: Some(recorded) } => KeyVerdict::Answer {
                code: ResultCode::DoneEarlier,
                recorded: Some(recorded.clone()),
                retry_after: ClockSpan::ZERO,
            },
            // It ran, but its answer was too long to keep.
            KeyState::Done { answer: None } => answer(ResultCode::AnswerTruncated, ClockSpan::ZERO),
            KeyState::Unknown { code } => answer(*code, ClockSpan::ZERO),
            _ => answer(ResultCode::KeyInFlight, IN_FLIGHT_RETRY),
        }
    }
}

/// How long a key is kept for this window.
fn kept_span(window: ClockSpan) -> ClockSpan {
    ClockSpan::new(window.millis() + window.millis() / ASK_SHARE)
}

fn answer(code: ResultCode, retry_after: ClockSpan) -> KeyVerdict {
    KeyVerdict::Answer { code, recorded: None, retry_after }
}
