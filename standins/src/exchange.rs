//! One request at a stand-in upstream, from its head to its answer.

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

/// Header with the identifier of an attempt, set by the caller.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the time that the caller still waits, in milliseconds.
const LEFT_HEADER: &str = "fescuestack-left-ms";

/// Header that makes the stand-in crash. A path that contains the word does so too.
const POISON_HEADER: &str = "poison";

/// Body of a stand-in's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Identifier of the attempt that was run.
    pub request: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Bytes of the request's body.
    pub received: u64,
    /// Time from the whole request to this answer, in microseconds.
    pub held_us: u64,
    /// Fills the body up to its size.
    pub padding: String,
}

/// Serves one request. Returns whether the connection can take another one.
pub(crate) async fn serve_request(
    state: &Arc<StandinState>,
    stream: &TcpStream,
    connection: u64,
) -> bool {
    let Ok(Some((mut request, _))) = async_h1::server::decode(stream.clone()).await else {
        return false;
    };
    let declared = request.len();
    let Ok(received) = io::copy(request.take_body(), io::sink()).await else { return false };
    if declared.is_some_and(|length| length as u64 != received) {
        return false;
    }
    stay_silent(state, connection).await;
    let method = request.method();
    // A request whose client closes the connection is cancelled: its run is dropped.
    let answer = answer_request(state, &request, received).or(async {
        wait_closed(stream).await;
        None
    });
    let Some(response) = answer.await else { return false };
    stay_silent(state, connection).await;
    write_answer(state, stream, response, method).await.unwrap_or(false)
}

/// Never returns if the connection has gone silent.
async fn stay_silent(state: &StandinState, connection: u64) {
    if state.is_silent(connection) {
        future::pending::<()>().await;
    }
}

/// Returns when the client has closed the connection.
async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        // The next request came early; its bytes hide a later close.
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
    if is_run && take_one(&state.truncations) {
        // Cuts within the body, whose padding makes up the second half of an answer.
        writer.write_all(&bytes[..bytes.len() - bytes.len() / 4]).await?;
        return Ok(false);
    }
    writer.write_all(&bytes).await?;
    Ok(!close)
}

/// Takes one from a counter of pending faults.
fn take_one(counter: &AtomicUsize) -> bool {
    let less = |count: usize| count.checked_sub(1);
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok()
}

/// The answer to a request, or `None` if the connection is closed without one.
async fn answer_request(
    state: &Arc<StandinState>,
    request: &Request,
    received: u64,
) -> Option<Response> {
    let path = request.url().path();
    if path == "/health" || path == "/load" {
        return Some(probe_answer(state));
    }
    let began = Instant::now();
    let deadline = header(request, LEFT_HEADER)
        .and_then(|left| left.parse().ok())
        .map(|left| began + Duration::from_millis(left));
    let Some(slot) = SlotGuard::acquire(state).await else {
        return Some(refusal(state, StatusCode::ServiceUnavailable));
    };
    if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
        return Some(refusal(state, StatusCode::ServiceUnavailable));
    }
    let id = header(request, REQUEST_HEADER).unwrap_or("");
    let run = RunGuard::start(state, id, header(request, KEY_HEADER));
    let kind = state.settings.kind(request.method().as_ref(), path);
    let time = state.service_time(kind, received);
    if header(request, POISON_HEADER).is_some() || path.contains("poison") {
        task::sleep(time / 2).await;
        // The death of the stand-in drops this task, and with it the run.
        state.crash();
        future::pending::<()>().await;
    }
    let left = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
    if let Some(left) = left.filter(|left| *left < time) {
        task::sleep(left).await;
        run.end(RunEnd::Expired);
        return Some(Response::new(StatusCode::GatewayTimeout));
    }
    task::sleep(time).await;
    run.end(RunEnd::Finished);
    drop(slot);
    if take_one(&state.losses) {
        return None;
    }
    Some(run_answer(state, id, received, began))
}

fn run_answer(state: &StandinState, id: &str, received: u64, began: Instant) -> Response {
    let body = AnswerBody {
        request: id.to_owned(),
        upstream: state.settings.name.clone(),
        received,
        held_us: began.elapsed().as_micros() as u64,
        padding: "x".repeat(state.settings.answer_bytes),
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(&body).expect("strings and numbers"));
    response.insert_header("content-type", "application/json");
    response
}

/// The answer to a request that was not run.
fn refusal(state: &StandinState, status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header("retry-after", "1");
    response.insert_header("fescuestack-outcome", "not-run");
    if state.draining.load(Ordering::SeqCst) {
        response.insert_header(CONNECTION, "close");
    }
    response
}

fn probe_answer(state: &StandinState) -> Response {
    let sample = state.probe();
    let status = if sample.healthy { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(&sample).expect("numbers"));
    response
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

/// A slot taken by a request; freed on drop.
struct SlotGuard<'a> {
    state: &'a StandinState,
}

impl<'a> SlotGuard<'a> {
    /// Waits for a slot, or returns `None` when the queue is full or the stand-in drains.
    async fn acquire(state: &'a StandinState) -> Option<SlotGuard<'a>> {
        if state.draining.load(Ordering::SeqCst) {
            return None;
        }
        if state.permits.1.try_recv().is_err() {
            let _waiting = WaitGuard::enter(state)?;
            state.permits.1.recv().await.ok()?;
        }
        state.running.fetch_add(1, Ordering::SeqCst);
        state.note_load();
        Some(SlotGuard { state })
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        let _ = self.state.permits.0.try_send(());
        self.state.note_load();
    }
}

/// A place in the queue for slots; freed on drop.
struct WaitGuard<'a>(&'a StandinState);

impl<'a> WaitGuard<'a> {
    fn enter(state: &'a StandinState) -> Option<WaitGuard<'a>> {
        let limit = state.settings.queue;
        let more = |count: usize| (count < limit).then_some(count + 1);
        state.waiting.fetch_update(Ordering::SeqCst, Ordering::SeqCst, more).ok()?;
        Some(WaitGuard(state))
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A run in the ledger; recorded as cut off if it is dropped before its end.
struct RunGuard<'a> {
    state: &'a StandinState,
    index: RunIndex,
    deaths: u64,
}

impl<'a> RunGuard<'a> {
    fn start(state: &'a StandinState, id: &str, key: Option<&str>) -> RunGuard<'a> {
        let index = state.ledger.start(id, key, &state.settings.name);
        RunGuard { state, index, deaths: state.deaths.load(Ordering::SeqCst) }
    }

    fn end(&self, end: RunEnd) {
        self.state.ledger.end(self.index, end);
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let same_life = self.deaths == self.state.deaths.load(Ordering::SeqCst);
        self.end(if same_life { RunEnd::Cancelled } else { RunEnd::Killed });
    }
}
