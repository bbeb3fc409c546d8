//! The relay port: calls that other nodes send to the upstream beside this node.

use std::sync::Arc;
use std::time::Duration;

use fescuestack_core::{
    CallDeadline, ConfigSnapshot, GateCall, KEY_LIMIT_BYTES, KeyQuestion, ResultCode, VersionId,
    scan_left,
};
use fescuestack_http::{BufferedBody, HttpFault, buffer_body, within};
use http_types::{Body, Request, Response, StatusCode};

use crate::content::CallContent;
use crate::entry::fault_code;
use crate::headers::{
    ASK_HEADER, AnswerNote, CLASS_HEADER, KEY_HEADER, LEFT_HEADER, LOAD_HEADER, REQUEST_HEADER,
    RETRY_HEADER, RETRY_MS_HEADER, VERSION_HEADER, remove_own_headers, scan_request, value,
};
use crate::record::{CallSide, CallStep, CallTrace};
use crate::routing::CallRoute;
use crate::service::CallService;
use crate::target::{TargetCall, TargetReply};

/// Longest question about a key, in bytes.
const QUESTION_LIMIT_BYTES: usize = 4096;

/// What the entry node says about a call in the head of its request.
struct RelayCall {
    class: Arc<str>,
    deadline: CallDeadline,
    key: Option<Arc<str>>,
    retry: bool,
    version: VersionId,
}

impl CallService {
    /// Answers a request at the relay port.
    pub(crate) async fn relay(self: Arc<Self>, incoming: Result<Request, HttpFault>) -> Response {
        let place = self.begin_call();
        let answer = match incoming {
            Ok(request) if value(&request, ASK_HEADER).is_some() => {
                self.answer_question(request).await
            }
            Ok(request) => self.relay_request(request).await,
            Err(fault) => AnswerNote::new(&self.next_request(), fault_code(fault)).refusal(),
        };
        self.send(answer, place)
    }

    async fn relay_request(&self, request: Request) -> Response {
        let named = value(&request, REQUEST_HEADER).filter(|text| scan_request(text));
        let Some(name) = named.map(Arc::<str>::from) else {
            return AnswerNote::new(&self.next_request(), ResultCode::BadRequest).refusal();
        };
        let mut trace = CallTrace::new(CallSide::Relay, name.clone(), self.observer.clone());
        let reply = match self.run_relayed(request, &mut trace).await {
            Ok(reply) => reply,
            Err(code) => {
                let load = self.target.load();
                TargetReply { code, retry_after: None, load, answer: None }
            }
        };
        trace.record.code = Some(reply.code);
        let mut note = AnswerNote::new(&name, reply.code);
        note.retry_after = reply.retry_after;
        let mut answer = match reply.answer {
            Some(mut answer) => {
                note.write(&mut answer);
                answer
            }
            None => note.refusal(),
        };
        if let Some(load) = reply.load {
            answer.insert_header(LOAD_HEADER, load.to_string());
        }
        if let Some(retry_after) = reply.retry_after {
            answer.insert_header(RETRY_MS_HEADER, retry_after.millis().to_string());
        }
        answer
    }

    async fn run_relayed(
        &self,
        mut request: Request,
        trace: &mut CallTrace,
    ) -> Result<TargetReply, ResultCode> {
        let relayed = self.scan_relay(&request).ok_or(ResultCode::BadRequest)?;
        remove_own_headers(request.as_mut());
        let snapshot = self.active().ok_or(ResultCode::NotReady)?;
        trace.record.version = snapshot.version();
        trace.set_class(&relayed.class);
        let route = CallRoute::find(&snapshot, &request)
            .map_err(|code| behind(&snapshot, relayed.version, code))?;
        if !self.target.serves(route.name()) {
            return Err(behind(&snapshot, relayed.version, ResultCode::ServiceGone));
        }
        trace.record.service = route.name().to_owned();
        trace.record.kind = Some(route.rule.kind);
        trace.push(CallStep::Routed { prefix: route.rule.prefix.clone(), kind: route.rule.kind });
        let left = relayed.deadline.left(self.clock.now());
        trace.push(CallStep::Left { left });
        let left = Duration::from_millis(left.millis());
        let reading = within(left, CallContent::read(request, route.rule)).await;
        let mut content = reading.unwrap_or(Err(ResultCode::PatienceSpent))?;
        let gate = GateCall {
            class: relayed.class,
            kind: route.rule.kind,
            deadline: relayed.deadline,
            fingerprint: content.fingerprint(route.name()),
            key: relayed.key,
            key_fingerprint: content.key_fingerprint(route.name()),
        };
        let name = trace.record.request.clone();
        let retry = relayed.retry;
        let call = TargetCall { gate, content: &mut content, request: &name, retry };
        Ok(self.target.run(call, trace).await)
    }

    fn scan_relay(&self, request: &Request) -> Option<RelayCall> {
        let left = scan_left(value(request, LEFT_HEADER)?)?;
        let key = value(request, KEY_HEADER);
        if key.is_some_and(|key| !(1..=KEY_LIMIT_BYTES).contains(&key.len())) {
            return None;
        }
        Some(RelayCall {
            class: value(request, CLASS_HEADER)?.into(),
            deadline: CallDeadline::new(self.clock.now(), left),
            key: key.map(Arc::from),
            retry: value(request, RETRY_HEADER).is_some(),
            version: VersionId::scan(value(request, VERSION_HEADER)?)?,
        })
    }

    /// Answers the question of a key's new owner.
    async fn answer_question(&self, mut request: Request) -> Response {
        // The table has to know the targets of the active version before it can answer.
        self.active();
        let gathered = buffer_body(request.take_body(), QUESTION_LIMIT_BYTES).await;
        let Ok(BufferedBody::Complete(bytes)) = gathered else {
            return Response::new(StatusCode::BadRequest);
        };
        let Ok(question) = serde_json::from_slice::<KeyQuestion>(&bytes) else {
            return Response::new(StatusCode::BadRequest);
        };
        let answer = self.target.answer_question(&question);
        match answer.and_then(|answer| serde_json::to_vec(&answer).ok()) {
            Some(bytes) => {
                let mut answer = Response::new(StatusCode::Ok);
                answer.set_body(Body::from_bytes(bytes));
                answer
            }
            None => Response::new(StatusCode::ServiceUnavailable),
        }
    }
}

/// The code for a call that this node's version has no place for. With an older version than the
/// entry node's it is not ready, so that the call goes to another target.
fn behind(snapshot: &ConfigSnapshot, entry: VersionId, code: ResultCode) -> ResultCode {
    if snapshot.version() < entry { ResultCode::NotReady } else { code }
}
