//! One attempt of a call: straight to the own upstream, or through another node.

use std::time::Instant;

use fescuestack_core::{
    AttemptEnd, CallDeadline, ClockSpan, GateCall, ResultCode, TargetEntry, scan_load,
};
use fescuestack_http::{BufferedBody, buffer_body};
use fescuestack_upstreams::{ExchangeError, ExchangeLimits, RelayResponseHead};
use http_types::{Body, Method, Request, Response};

use crate::content::WHOLE_LIMIT_BYTES;
use crate::entry::EntryCall;
use crate::headers::{
    CLASS_HEADER, KEY_HEADER, LEFT_HEADER, REQUEST_HEADER, RETRY_HEADER, RETRY_MS_HEADER,
    VERSION_HEADER, remove_own_headers, value,
};
use crate::record::CallTrace;
use crate::service::CallService;
use crate::target::TargetCall;
use crate::ticket::with_body;

/// How an attempt ended, with the upstream's answer if it brought one.
pub(crate) struct CallAttempt {
    pub(crate) end: AttemptEnd,
    pub(crate) answer: Option<Response>,
}

impl CallAttempt {
    /// An attempt that ended without a word from the target's node.
    fn fail(code: ResultCode) -> CallAttempt {
        let end = AttemptEnd { code, from_target: false, retry_after: None, load: None, micros: 0 };
        CallAttempt { end, answer: None }
    }
}

impl CallService {
    /// Sends a call to a target.
    pub(crate) async fn attempt(
        &self,
        call: &mut EntryCall<'_>,
        entry: Option<TargetEntry>,
        deadline: CallDeadline,
        retry: bool,
        trace: &mut CallTrace,
    ) -> CallAttempt {
        let Some(entry) = entry else { return CallAttempt::fail(ResultCode::NoTarget) };
        let started = Instant::now();
        let mut attempt = if entry.name == self.settings.node {
            self.attempt_here(call, deadline, retry, trace).await
        } else {
            self.attempt_relay(call, &entry, deadline, retry).await
        };
        let link_micros = match entry.data_centre == self.settings.data_centre {
            true => 0,
            false => call.snapshot.fleet().link_delay_ms * 2000,
        };
        let micros = started.elapsed().as_micros() as u64;
        attempt.end.micros = micros.saturating_sub(link_micros);
        attempt
    }

    async fn attempt_here(
        &self,
        call: &mut EntryCall<'_>,
        deadline: CallDeadline,
        retry: bool,
        trace: &mut CallTrace,
    ) -> CallAttempt {
        let gate = GateCall {
            class: call.class.clone(),
            kind: call.kind,
            deadline,
            fingerprint: call.fingerprint,
            key: call.key.clone(),
            key_fingerprint: call.key_fingerprint,
        };
        let request = &*call.request;
        let target = TargetCall { gate, content: &mut call.content, request, retry };
        let reply = self.target.run(target, trace).await;
        let end = AttemptEnd {
            code: reply.code,
            from_target: true,
            retry_after: reply.retry_after,
            load: reply.load,
            micros: 0,
        };
        CallAttempt { end, answer: reply.answer }
    }

    async fn attempt_relay(
        &self,
        call: &mut EntryCall<'_>,
        entry: &TargetEntry,
        deadline: CallDeadline,
        retry: bool,
    ) -> CallAttempt {
        let Some(mut request) = call.content.request() else {
            return CallAttempt::fail(ResultCode::UploadIncomplete);
        };
        self.write_relay_head(call, &mut request, deadline, retry);
        let pool = self.relays.get_or_create(entry.relay, self.settings.relay_connections);
        let limits = ExchangeLimits {
            deadline: self.clock.instant(call.deadline),
            idempotent: call.kind.is_idempotent(),
        };
        match pool.exchange(request, limits).await {
            Ok(answer) => read_relay_answer(call, answer).await,
            Err(fault) => {
                log::debug!(code = fault.code.number(); "relay failed: {}", fault.reason);
                CallAttempt::fail(fault.code)
            }
        }
    }

    fn write_relay_head(
        &self,
        call: &EntryCall<'_>,
        request: &mut Request,
        deadline: CallDeadline,
        retry: bool,
    ) {
        request.insert_header(REQUEST_HEADER, &*call.request);
        request.insert_header(CLASS_HEADER, &*call.class);
        request.insert_header(LEFT_HEADER, deadline.left_value(self.clock.now()));
        request.insert_header(VERSION_HEADER, call.snapshot.version().to_string());
        if let Some(key) = &call.key {
            request.insert_header(KEY_HEADER, &**key);
        }
        if retry {
            request.insert_header(RETRY_HEADER, "1");
        }
    }
}

/// Reads what the target's node says. A small answer is read whole, so that a cut one is known to
/// be cut before its head goes to the caller.
async fn read_relay_answer(call: &EntryCall<'_>, mut answer: Response) -> CallAttempt {
    let Some(head) = RelayResponseHead::parse(&answer, &call.request) else {
        log::warn!(request = &*call.request; "answer without or with another request's head");
        return CallAttempt::fail(ResultCode::LinkLost);
    };
    let retry_ms = value(&answer, RETRY_MS_HEADER).and_then(|text| text.parse().ok());
    let mut end = AttemptEnd {
        code: head.code,
        from_target: true,
        retry_after: retry_ms.map(ClockSpan::new),
        load: head.load.and_then(scan_load),
        micros: 0,
    };
    remove_own_headers(answer.as_mut());
    if !matches!(end.code, ResultCode::Done | ResultCode::DoneEarlier) {
        return CallAttempt { end, answer: None };
    }
    if call.content.head.method() == Method::Head {
        return CallAttempt { end, answer: Some(answer) };
    }
    let body = match buffer_body(answer.take_body(), WHOLE_LIMIT_BYTES).await {
        Ok(BufferedBody::Complete(bytes)) => Body::from_bytes(bytes),
        Ok(BufferedBody::Partial(_, rest)) => rest,
        Err(error) => {
            end.code = ExchangeError::from_body_error(&error).code;
            end.from_target = false;
            return CallAttempt { end, answer: None };
        }
    };
    CallAttempt { end, answer: Some(with_body(answer, body)) }
}
