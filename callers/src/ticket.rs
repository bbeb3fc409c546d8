//! A call that the gate has let in, until it has ended.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::future::timeout;
use async_std::net::TcpStream;
use fescuestack_core::{
    CallOutcome, CallTicket, GateAction, GateOutcome, GateReply, RECORDED_BODY_BYTES,
    RecordedAnswer, RequestFingerprint, ResultCode,
};
use fescuestack_http::{BufferedBody, buffer_body};
use fescuestack_upstreams::{ExchangeError, OUTCOME_HEADER};
use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::{Body, Response};

use crate::content::WHOLE_LIMIT_BYTES;
use crate::headers::remove_own_headers;
use crate::target::{TargetSide, TargetState};

/// Time for the check whether an upstream still takes connections.
const PROBE_LIMIT: Duration = Duration::from_millis(100);

/// Most requests that are remembered because an upstream died while they ran.
const SUSPECT_LIMIT: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TicketPhase {
    /// Admitted or waiting; nothing was sent.
    Admitted,
    /// Bytes may have been sent.
    Dispatched,
    Ended,
}

/// What is done with the content of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerContent {
    /// There is none: the request is a HEAD.
    HeadOnly,
    /// It is passed on.
    Passed,
    /// It is passed on and kept for resends with the same key.
    Recorded,
}

/// Ends the call at the gate, also when its caller goes away.
pub(crate) struct TicketGuard {
    side: Arc<TargetSide>,
    ticket: CallTicket,
    fingerprint: RequestFingerprint,
    phase: TicketPhase,
}

impl TicketGuard {
    pub(crate) fn new(
        side: Arc<TargetSide>,
        ticket: CallTicket,
        fingerprint: RequestFingerprint,
    ) -> TicketGuard {
        TicketGuard { side, ticket, fingerprint, phase: TicketPhase::Admitted }
    }

    /// Waits for a slot. Fails with the answer for the call, which has then ended.
    pub(crate) async fn wait(
        mut self,
        waiter: Receiver<GateAction>,
    ) -> Result<TicketGuard, GateReply> {
        match waiter.recv().await {
            Ok(GateAction::Reply(_, reply)) => {
                self.phase = TicketPhase::Ended;
                Err(reply)
            }
            Ok(GateAction::Run(_)) | Err(_) => Ok(self),
        }
    }

    /// The check right before the first byte. Fails with the answer for the call, which has then
    /// ended.
    pub(crate) fn dispatch(mut self) -> Result<TicketGuard, GateReply> {
        let ticket = self.ticket;
        let allowed = self.side.with_gate(|state, now| match &mut state.gate {
            Some(gate) => gate.dispatch(now, ticket),
            None => Ok(()),
        });
        match allowed {
            Ok(()) => {
                self.phase = TicketPhase::Dispatched;
                Ok(self)
            }
            Err(reply) => {
                self.phase = TicketPhase::Ended;
                Err(reply)
            }
        }
    }

    /// Ends the call by the result of its exchange. A long answer goes on to stream and ends the call
    /// with its last byte.
    pub(crate) async fn finish(
        self,
        result: Result<Response, ExchangeError>,
        started: Instant,
        upstream: SocketAddr,
        content: AnswerContent,
    ) -> (ResultCode, Option<Response>) {
        let gathered = match result {
            // An upstream that sheds load says so in the header; a bare 503 is passed on as its answer,
            // since it does not tell whether the request ran.
            Ok(answer) if is_refusal(&answer) => return (self.end(GateOutcome::Refused), None),
            Ok(mut answer) if content == AnswerContent::HeadOnly => {
                remove_own_headers(answer.as_mut());
                return (self.end(done(started, None)), Some(answer));
            }
            Ok(mut answer) => {
                remove_own_headers(answer.as_mut());
                let gathered = buffer_body(answer.take_body(), WHOLE_LIMIT_BYTES).await;
                gathered
                    .map(|body| (answer, body))
                    .map_err(|error| ExchangeError::from_body_error(&error))
            }
            Err(fault) => Err(fault),
        };
        match gathered {
            Ok((answer, BufferedBody::Complete(bytes))) => {
                let kept = (content == AnswerContent::Recorded
                    && bytes.len() <= RECORDED_BODY_BYTES)
                    .then(|| record(&answer, &bytes));
                let code = self.end(done(started, kept));
                (code, Some(with_body(answer, Body::from_bytes(bytes))))
            }
            Ok((answer, BufferedBody::Partial(_, rest))) => {
                let body =
                    TrackedBody { left: rest.len(), body: rest, ticket: Some(self), started };
                let length = body.left;
                let body = Body::from_reader(body, length);
                (ResultCode::Done, Some(with_body(answer, body)))
            }
            Err(fault) => (self.fail(&fault, upstream).await, None),
        }
    }

    async fn fail(self, fault: &ExchangeError, upstream: SocketAddr) -> ResultCode {
        if fault.code.outcome() == Some(CallOutcome::NotRun) {
            self.end(GateOutcome::NotSent);
            return fault.code;
        }
        log::debug!(code = fault.code.number(); "upstream exchange failed: {}", fault.reason);
        if matches!(fault.code, ResultCode::UpstreamLost | ResultCode::AnswerTruncated) {
            self.probe(upstream).await;
        }
        self.end(GateOutcome::Lost(fault.code))
    }

    /// Reports the death of the upstream when it refuses connections. The calls that it was running
    /// are all still open at the gate when the first of them gets here.
    async fn probe(&self, upstream: SocketAddr) {
        let connected = timeout(PROBE_LIMIT, TcpStream::connect(upstream)).await;
        let refused = matches!(
            &connected,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
        );
        if !refused {
            return;
        }
        let running = self.side.with_gate(|state, now| {
            let gate = state.gate.as_mut().filter(|_| !state.down)?;
            let running = gate.running_fingerprints();
            gate.upstream_died(now);
            state.down = true;
            state.suspects.extend(&running);
            let excess = state.suspects.len().saturating_sub(SUSPECT_LIMIT);
            state.suspects.drain(..excess);
            Some(running)
        });
        if let Some(running) = running {
            log::warn!(running = running.len(); "upstream died");
            self.side.observer.upstream_died(running);
        }
    }

    /// Ends the call and frees its slot.
    fn end(mut self, outcome: GateOutcome) -> ResultCode {
        self.end_now(outcome)
    }

    fn end_now(&mut self, outcome: GateOutcome) -> ResultCode {
        self.phase = TicketPhase::Ended;
        let ticket = self.ticket;
        let is_done = matches!(outcome, GateOutcome::Done { .. });
        let (code, cleared) = self.side.with_gate(|state, now| {
            let Some(gate) = &mut state.gate else { return (ResultCode::UpstreamLost, false) };
            let code = gate.finish(now, ticket, outcome);
            (code, is_done && clear_suspect(state, self.fingerprint))
        });
        if cleared {
            self.side.observer.run_completed(self.fingerprint);
        }
        code
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        let ticket = self.ticket;
        match self.phase {
            TicketPhase::Ended => (),
            TicketPhase::Admitted => self.side.with_gate(|state, now| {
                state.remove_waiter(ticket);
                if let Some(gate) = &mut state.gate
                    && !gate.cancel(now, ticket)
                {
                    gate.finish(now, ticket, GateOutcome::NotSent);
                }
            }),
            // The upstream may go on with a request whose connection was closed.
            TicketPhase::Dispatched => {
                self.end_now(GateOutcome::Lost(ResultCode::UpstreamLost));
            }
        }
    }
}

/// Whether the upstream states that it did not run the request. The pool returns no answer that may be a
/// copy of one to an earlier request.
fn is_refusal(answer: &Response) -> bool {
    let outcome = answer.header(OUTCOME_HEADER).map(|values| values.last().as_str());
    outcome == Some(CallOutcome::NotRun.label())
}

/// Notes a run to its end. True if a death was reported with this request running.
fn clear_suspect(state: &mut TargetState, fingerprint: RequestFingerprint) -> bool {
    state.down = false;
    let index = state.suspects.iter().position(|suspect| *suspect == fingerprint);
    index.map(|index| state.suspects.swap_remove(index)).is_some()
}

/// A long answer that ends its call with its last byte.
struct TrackedBody {
    body: Body,
    /// Bytes to come, if that is known.
    left: Option<usize>,
    ticket: Option<TicketGuard>,
    started: Instant,
}

impl TrackedBody {
    fn advance(&mut self, count: usize) {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(count);
        }
        // A reader that knows the length does not read past the last byte.
        let is_over = if self.left.is_some() { self.left == Some(0) } else { count == 0 };
        if is_over && let Some(ticket) = self.ticket.take() {
            ticket.end(done(self.started, None));
        }
    }

    fn fail(&mut self, error: &io::Error) {
        if let Some(ticket) = self.ticket.take() {
            ticket.end(GateOutcome::Lost(ExchangeError::from_body_error(error).code));
        }
    }
}

impl AsyncRead for TrackedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if out.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let polled = Pin::new(&mut self.body).poll_read(cx, out);
        match &polled {
            Poll::Ready(Ok(count)) => self.advance(*count),
            Poll::Ready(Err(error)) => self.fail(error),
            Poll::Pending => (),
        }
        polled
    }
}

impl AsyncBufRead for TrackedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        Pin::new(&mut self.body).consume(count);
        self.advance(count);
    }
}

fn done(started: Instant, answer: Option<RecordedAnswer>) -> GateOutcome {
    GateOutcome::Done { service_micros: started.elapsed().as_micros() as u64, answer }
}

/// Replaces the body without the content type that the library would add.
pub(crate) fn with_body(mut answer: Response, body: Body) -> Response {
    let typed = answer.header("content-type").is_some();
    answer.set_body(body);
    if !typed {
        answer.remove_header("content-type");
    }
    answer
}

fn record(answer: &Response, body: &[u8]) -> RecordedAnswer {
    let headers = answer.iter().flat_map(|(name, values)| {
        values.iter().map(move |value| (name.as_str().to_owned(), value.as_str().to_owned()))
    });
    RecordedAnswer {
        status: answer.status() as u16,
        headers: headers.collect(),
        body: body.to_vec(),
    }
}
