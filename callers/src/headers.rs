//! Headers of calls, and answers that a node writes itself.

use std::sync::Arc;

use fescuestack_core::{CallOutcome, ClockSpan, ResultCode};
use http_types::headers::Headers;
use http_types::{Body, Response, StatusCode};

pub(crate) use fescuestack_core::LEFT_HEADER;
pub(crate) use fescuestack_upstreams::{CODE_HEADER, LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER};

/// Caller class, as `<tenant>/<class>`, set by callers.
pub(crate) const CALLER_HEADER: &str = "fescuestack-caller";
/// Caller class that the entry node determined.
pub(crate) const CLASS_HEADER: &str = "fescuestack-class";
/// Idempotency key on its way to the target's node.
pub(crate) const KEY_HEADER: &str = "fescuestack-key";
/// Marks a request that is part of a retry.
pub(crate) const RETRY_HEADER: &str = "fescuestack-retry";
/// Configuration version that the entry node routed by.
pub(crate) const VERSION_HEADER: &str = "fescuestack-version";
/// Retry-after time between nodes, in milliseconds.
pub(crate) const RETRY_MS_HEADER: &str = "fescuestack-retry-ms";
/// Marks the question of a key's new owner.
pub(crate) const ASK_HEADER: &str = "fescuestack-ask";
/// Idempotency key, set by callers.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// What a node says about a call in the head of its answer.
#[derive(Debug, Clone)]
pub(crate) struct AnswerNote {
    pub(crate) request: Arc<str>,
    pub(crate) code: ResultCode,
    pub(crate) cause: Option<ResultCode>,
    pub(crate) retry_after: Option<ClockSpan>,
}

impl AnswerNote {
    pub(crate) fn new(request: &Arc<str>, code: ResultCode) -> AnswerNote {
        AnswerNote { request: request.clone(), code, cause: None, retry_after: None }
    }

    /// Writes the note into the head of an answer.
    pub(crate) fn write(&self, answer: &mut Response) {
        answer.insert_header(REQUEST_HEADER, &*self.request);
        answer.insert_header(CODE_HEADER, self.code.number().to_string());
        let outcome = self.code.outcome().map_or("unknown", CallOutcome::label);
        answer.insert_header(OUTCOME_HEADER, outcome);
        if let Some(retry_after) = self.retry_after() {
            let seconds = retry_after.millis().div_ceil(1000).max(1);
            answer.insert_header("retry-after", seconds.to_string());
        }
    }

    /// The answer to a call that brought none from an upstream.
    pub(crate) fn refusal(&self) -> Response {
        let mut answer = Response::new(status(self.code));
        answer.set_body(Body::from_string(self.json()));
        answer.insert_header("content-type", "application/json");
        self.write(&mut answer);
        answer
    }

    fn retry_after(&self) -> Option<ClockSpan> {
        let known = self.retry_after.filter(|span| !span.is_zero());
        known.or(default_retry(self.code))
    }

    /// One line. Every value is free of characters that JSON would escape.
    fn json(&self) -> String {
        let code = self.code;
        let outcome = code.outcome().map_or("unknown", CallOutcome::label);
        let cause = match self.cause {
            Some(cause) => {
                format!(",\"cause\":{},\"reason\":\"{}\"", cause.number(), cause.label())
            }
            None => String::new(),
        };
        format!(
            "{{\"code\":{},\"outcome\":\"{outcome}\",\"label\":\"{}\"{cause},\"request\":\"{}\"}}\n",
            code.number(),
            code.label(),
            self.request
        )
    }
}

/// When coming back makes sense although no better time is known.
fn default_retry(code: ResultCode) -> Option<ClockSpan> {
    match code {
        ResultCode::Overload
        | ResultCode::Leaving
        | ResultCode::NoTarget
        | ResultCode::NotReady
        | ResultCode::ConnectFailed
        | ResultCode::TenantLimit
        | ResultCode::UpstreamRefused => Some(ClockSpan::new(1_000)),
        _ => None,
    }
}

/// The HTTP status for an answer that a node writes itself.
pub(crate) fn status(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::Done | ResultCode::DoneEarlier => StatusCode::Ok,
        ResultCode::Overload
        | ResultCode::Leaving
        | ResultCode::NoTarget
        | ResultCode::NotReady
        | ResultCode::ConnectFailed
        | ResultCode::TenantLimit
        | ResultCode::UpstreamRefused
        | ResultCode::KeyInFlight => StatusCode::ServiceUnavailable,
        ResultCode::PatienceSpent | ResultCode::PatienceOver => StatusCode::GatewayTimeout,
        ResultCode::NoRoute | ResultCode::ServiceGone => StatusCode::NotFound,
        ResultCode::InternalOnly => StatusCode::Forbidden,
        ResultCode::Quarantined => StatusCode::UnprocessableEntity,
        ResultCode::BodyTooLarge => StatusCode::PayloadTooLarge,
        ResultCode::BadRequest | ResultCode::UploadIncomplete => StatusCode::BadRequest,
        ResultCode::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
        _ => StatusCode::BadGateway,
    }
}

/// The last value of a header.
pub(crate) fn value<'a>(headers: &'a impl AsRef<Headers>, name: &str) -> Option<&'a str> {
    Some(headers.as_ref().get(name)?.last().as_str())
}

/// Removes the headers that only nodes may set.
pub(crate) fn remove_own_headers(headers: &mut Headers) {
    let own: Vec<_> =
        headers.names().filter(|name| name.as_str().starts_with("fescuestack-")).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// Whether `text` can be the identity of a request.
pub(crate) fn scan_request(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}
