//! Calls between nodes, on the sending and on the receiving side.

use std::sync::Arc;

use bytes::Bytes;
use fescuestack_core::{ClockSpan, RequestFingerprint};
use fescuestack_http::{BufferedRequest, BufferedResponse, CollectError, lock};
use fescuestack_routing::{AttemptEnd, CallEnd, PickedTarget};
use futures_lite::future;
use http::header::HOST;
use http::{Request, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::connections::ConnectionRecord;
use crate::crashes::{CRASHING_RETRY_AFTER, record_completion_note, record_outage_note};
use crate::fingerprint::fingerprint;
use crate::links::LinkError;
use crate::message::{FullResponse, empty_response, forwarded_request, full_response};
use crate::node::NodeState;
use crate::note::{CallNote, CompletionNote, OutageNote, ReplyEnd, ReplyNote, SyncNote};
use crate::sync::serve_sync;
use crate::target::{TargetReply, request_id};

/// Longest body that a node accepts from another one, in bytes. The configured limit is enforced by
/// the node that received the request, possibly with another version of the configuration.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Time after which a caller should retry when a node has no memory left for its body. Bodies are
/// held for about this time.
pub(crate) const MEMORY_FULL_RETRY_AFTER: ClockSpan = ClockSpan::new(500);

/// Sends a call to a target's node. If there is no reply, the error says whether the call may have
/// been executed.
pub(crate) async fn send_call(
    state: &Arc<NodeState>,
    target: &PickedTarget,
    note: &CallNote,
    call: &BufferedRequest,
) -> Result<(ReplyNote, Option<BufferedResponse>), AttemptEnd> {
    let Some(mut request) = http2_request(call) else { return Err(AttemptEnd::NotSent) };
    note.write(request.headers_mut());
    let address = state.node_address(target.vm);
    let response = match state.links.send(address, !target.is_remote, request).await {
        Ok(response) => response,
        Err(LinkError::NotSent) => return Err(AttemptEnd::NotSent),
        Err(LinkError::Lost { reason }) => {
            let node = address.to_string();
            log::info!(request = request_id(call), target = &*note.target, node = node.as_str(),
                reason = reason.as_str();
                "connection lost during a call");
            return Err(AttemptEnd::LinkLost);
        }
    };
    let (mut parts, body) = response.into_parts();
    let Some(reply) = ReplyNote::take(&mut parts.headers) else { return Err(AttemptEnd::LinkLost) };
    let status = parts.status;
    let answered = reply.end == ReplyEnd::Answered;
    let response = answered.then_some(BufferedResponse { status, headers: parts.headers, body });
    Ok((reply, response))
}

/// Builds the HTTP/2 request, in which the host is part of the URI.
fn http2_request(call: &BufferedRequest) -> Option<Request<Full<Bytes>>> {
    let host = call.headers.get(HOST)?.to_str().ok()?;
    let uri = Uri::builder()
        .scheme("http")
        .authority(host)
        .path_and_query(call.target.as_str())
        .build()
        .ok()?;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().remove(HOST);
    Some(request)
}

/// Serves a request from another node.
pub(crate) async fn serve(
    state: Arc<NodeState>,
    request: Request<Incoming>,
    connection: &Arc<ConnectionRecord>,
) -> FullResponse {
    let (mut parts, body) = request.into_parts();
    if let Some(note) = SyncNote::take(&mut parts.headers) {
        connection.trust();
        return match state.connections.receive_body(connection, body, MAX_BODY_BYTES).await {
            Ok(body) => serve_sync(&state, note, &body).await,
            Err(err) => {
                log::info!(node = note.vm.to_string().as_str(); "cannot read sync request: {err}");
                empty_response(StatusCode::BAD_REQUEST)
            }
        };
    }
    if let Some(note) = OutageNote::take(&mut parts.headers) {
        connection.trust();
        record_outage_note(&state, &note);
        return empty_response(StatusCode::NO_CONTENT);
    }
    if let Some(note) = CompletionNote::take(&mut parts.headers) {
        connection.trust();
        record_completion_note(&state, &note);
        return empty_response(StatusCode::NO_CONTENT);
    }
    let _call_guard = state.begin_call();
    let Some(mut note) = CallNote::take(&mut parts.headers) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    connection.trust();
    let received_at = state.clock.now();
    if !state.stop.allows(received_at + ClockSpan::new(note.left)) {
        return reply_response(state.local_target.reply(
            &note.route,
            ReplyEnd::Stopping,
            ClockSpan::ZERO,
        ));
    }
    if state.local_target.outage.is_down() {
        return reply_response(state.local_target.reply(
            &note.route,
            ReplyEnd::Down,
            ClockSpan::ZERO,
        ));
    }
    if state.local_target.is_evacuated() {
        return reply_response(state.local_target.evacuated_reply(&note));
    }
    let incoming_body = match state.local_target.admit_body(&note) {
        Ok(incoming_body) => incoming_body,
        Err((end, retry_after)) => {
            return reply_response(state.local_target.reply(&note.route, end, retry_after));
        }
    };
    let body = match state.connections.receive_body(connection, body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(CollectError::BudgetExhausted | CollectError::Evicted) => {
            let refused = ReplyEnd::Refused;
            return reply_response(state.local_target.reply(
                &note.route,
                refused,
                MEMORY_FULL_RETRY_AFTER,
            ));
        }
        Err(err) => {
            log::info!(target = &*note.target; "cannot read call: {err}");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    drop(incoming_body);
    note.subtract_elapsed(state.clock.now().since(received_at));
    if parts.uri.authority().is_none() {
        return empty_response(StatusCode::BAD_REQUEST);
    }
    let call = forwarded_request(parts, body);
    let reply = if state.is_refusing() {
        state.local_target.leaving_reply(&note)
    } else {
        let aborted = async {
            state.stop.aborted().await;
            state.local_target.reply(&note.route, ReplyEnd::Lost, ClockSpan::ZERO)
        };
        let request = fingerprint(&call).await;
        future::or(run_local(&state, &note, request, call), aborted).await
    };
    reply_response(reply)
}

fn reply_response(reply: TargetReply) -> FullResponse {
    let mut response = reply.response.map_or_else(|| empty_response(StatusCode::OK), full_response);
    reply.note.write(response.headers_mut());
    response
}

/// Executes a call at this node's target.
pub(crate) async fn run_local(
    state: &Arc<NodeState>,
    note: &CallNote,
    request: RequestFingerprint,
    call: BufferedRequest,
) -> TargetReply {
    // The node that received the request may have been restarted and not know of the crashes.
    if lock(&state.crashes).is_quarantined(state.clock.now(), request) {
        state.metrics.record_held_request();
        return state.local_target.reply(&note.route, ReplyEnd::Refused, CRASHING_RETRY_AFTER);
    }
    let reply = state.local_target.run(note, request, call).await;
    if reply.run_end == CallEnd::Answered {
        lock(&state.crashes).record_own_completion(state.clock.now(), request);
    }
    reply
}
