//! Request handling of a stand-in upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::{future, task};
use futures_lite::FutureExt;
use futures_lite::io::{self, AsyncWriteExt};
use http_types::headers::CONNECTION;
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::ledger::{RunEnd, RunIndex};
use crate::upstream::StandinState;

/// Header with the identifier of the attempt, set by the caller.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the identifier that a node gives a request. Answers carry it as well, so that the node can
/// tell them apart.
const NODE_REQUEST_HEADER: &str = "fescuestack-request";

/// Header with the time left until the deadline of the caller, in milliseconds.
const TIME_LEFT_HEADER: &str = "fescuestack-left-ms";

/// Header of requests that crash the stand-in. Requests whose path contains the word crash it too.
const POISON_HEADER: &str = "poison";

/// Body of the answer of a stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Identifier of the attempt that was run.
    pub request: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Size of the request body, in bytes.
    pub received: u64,
    /// Time between receiving the complete request and sending this answer, in microseconds.
    pub held_us: u64,
    /// Padding of the size given in the settings.
    pub padding: String,
}

/// Serves one request. Returns whether the connection can be reused.
pub(crate) async fn serve_request(
    state: &Arc<StandinState>,
    stream: &TcpStream,
    connection: u64,
) -> bool {
    let Ok(Some((mut request, _))) = async_h1::server::decode(stream.clone()).await else {
        return false;
    };
    let content_length = request.len();
    let Ok(received) = io::copy(request.take_body(), io::sink()).await else { return false };
    if content_length.is_some_and(|length| length as u64 != received) {
        return false;
    }
    hang_if_stalled(state, connection).await;
    let method = request.method();
    // If the client closes the connection, dropping this future cancels the run.
    let answer = answer_request(state, &request, received).or(async {
        wait_until_closed(stream).await;
        None
    });
    let Some(mut response) = answer.await else { return false };
    if state.settings.echo_requests
        && let Some(id) = header_value(&request, NODE_REQUEST_HEADER)
    {
        response.insert_header(NODE_REQUEST_HEADER, id);
    }
    hang_if_stalled(state, connection).await;
    write_answer(state, stream, response, method).await.unwrap_or(false)
}

/// Waits forever if the connection is stalled.
async fn hang_if_stalled(state: &StandinState, connection: u64) {
    if state.is_stalled(connection) {
        future::pending::<()>().await;
    }
}

/// Waits until the client closes the connection.
async fn wait_until_closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        // A pipelined request is already in the buffer and hides a later close.
        Ok(length) if length > 0 => future::pending().await,
        _ => (),
    }
}

async fn write_answer(
    state: &StandinState,
    stream: &TcpStream,
    response: Response,
    method: Method,
) -> io::Result<bool> {
    let close = response.header(CONNECTION).is_some();
    let is_run = response.status() == StatusCode::Ok;
    let mut encoder = async_h1::server::Encoder::new(response, method);
    let mut bytes = Vec::new();
    io::copy(&mut encoder, &mut bytes).await?;
    let mut writer = stream.clone();
    if is_run && take_pending_fault(&state.pending_truncations) {
        // The padding makes up the second half of an answer, so this truncates the body, not the head.
        writer.write_all(&bytes[..bytes.len() - bytes.len() / 4]).await?;
        return Ok(false);
    }
    writer.write_all(&bytes).await?;
    Ok(!close)
}

/// Decrements a counter of pending faults. Returns false if it is zero.
fn take_pending_fault(counter: &AtomicUsize) -> bool {
    let decrement = |count: usize| count.checked_sub(1);
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
}

/// Runs a request and returns its answer, or `None` to close the connection without one.
async fn answer_request(
    state: &Arc<StandinState>,
    request: &Request,
    received: u64,
) -> Option<Response> {
    let path = request.url().path();
    if path == "/health" || path == "/load" {
        return Some(probe_response(state));
    }
    let received_at = Instant::now();
    let deadline = header_value(request, TIME_LEFT_HEADER)
        .and_then(|left| left.parse().ok())
        .map(|left| received_at + Duration::from_millis(left));
    let Some(slot) = SlotGuard::acquire(state).await else {
        return Some(not_run_response(state, StatusCode::ServiceUnavailable));
    };
    if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
        return Some(not_run_response(state, StatusCode::ServiceUnavailable));
    }
    let attempt = header_value(request, REQUEST_HEADER).unwrap_or("");
    let run = RunGuard::start(state, attempt, header_value(request, KEY_HEADER));
    let kind = state.settings.kind(request.method().as_ref(), path);
    let service_time = state.service_time(kind, received);
    if header_value(request, POISON_HEADER).is_some() || path.contains("poison") {
        task::sleep(service_time / 2).await;
        // The crash cancels this task and drops the run.
        state.crash();
        future::pending::<()>().await;
    }
    let left = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
    if let Some(left) = left.filter(|left| *left < service_time) {
        task::sleep(left).await;
        run.end(RunEnd::Expired);
        return Some(Response::new(StatusCode::GatewayTimeout));
    }
    task::sleep(service_time).await;
    run.end(RunEnd::Finished);
    drop(slot);
    if take_pending_fault(&state.pending_drops) {
        return None;
    }
    Some(done_response(state, attempt, received, received_at))
}

fn done_response(
    state: &StandinState,
    attempt: &str,
    received: u64,
    received_at: Instant,
) -> Response {
    let body = AnswerBody {
        request: attempt.to_owned(),
        upstream: state.settings.name.clone(),
        received,
        held_us: received_at.elapsed().as_micros() as u64,
        padding: "x".repeat(state.settings.answer_bytes),
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(&body).expect("strings and numbers are valid JSON"));
    response.insert_header("content-type", "application/json");
    response
}

/// Builds the answer to a request that was not run.
fn not_run_response(state: &StandinState, status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header("retry-after", "1");
    response.insert_header("fescuestack-outcome", "not-run");
    if state.draining.load(Ordering::SeqCst) {
        response.insert_header(CONNECTION, "close");
    }
    response
}

fn probe_response(state: &StandinState) -> Response {
    let sample = state.probe();
    let status = if sample.healthy { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(&sample).expect("numbers"));
    response
}

fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

/// A slot held by a request, released on drop.
struct SlotGuard<'a> {
    state: &'a StandinState,
}

impl<'a> SlotGuard<'a> {
    /// Waits for a slot. Returns `None` if the queue is full or the stand-in is draining.
    async fn acquire(state: &'a StandinState) -> Option<SlotGuard<'a>> {
        if state.draining.load(Ordering::SeqCst) {
            return None;
        }
        if state.slot_permits.1.try_recv().is_err() {
            let _queued = QueueGuard::enter(state)?;
            state.slot_permits.1.recv().await.ok()?;
        }
        state.running.fetch_add(1, Ordering::SeqCst);
        state.record_load();
        Some(SlotGuard { state })
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        let _ = self.state.slot_permits.0.try_send(());
        self.state.record_load();
    }
}

/// A place in the queue for a slot, released on drop.
struct QueueGuard<'a>(&'a StandinState);

impl<'a> QueueGuard<'a> {
    fn enter(state: &'a StandinState) -> Option<QueueGuard<'a>> {
        let limit = state.settings.queue;
        let increment = |count: usize| (count < limit).then_some(count + 1);
        state.waiting.fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment).ok()?;
        Some(QueueGuard(state))
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A run in the ledger. If it is dropped before its end, it is recorded as killed when the stand-in was
/// killed in the meantime, and as cancelled otherwise.
struct RunGuard<'a> {
    state: &'a StandinState,
    index: RunIndex,
    kill_count: u64,
}

impl<'a> RunGuard<'a> {
    fn start(state: &'a StandinState, attempt: &str, key: Option<&str>) -> RunGuard<'a> {
        let index = state.ledger.start(attempt, key, &state.settings.name);
        RunGuard { state, index, kill_count: state.kill_count.load(Ordering::SeqCst) }
    }

    fn end(&self, end: RunEnd) {
        self.state.ledger.end(self.index, end);
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let is_same_process = self.kill_count == self.state.kill_count.load(Ordering::SeqCst);
        self.end(if is_same_process { RunEnd::Cancelled } else { RunEnd::Killed });
    }
}
