//! Client connections with streaming bodies.

use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use http::HeaderMap;
use http_types::{Body, Method, Request, Response, StatusCode};

use crate::body::{BodySource, SharedBody, lock};
use crate::coarse_timer::within;
use crate::hop_by_hop::{has_connection_close, remove_hop_by_hop_fields};
use crate::reader::MessageReader;
use crate::response_head::{ResponseFraming, ResponseHead};
use crate::writer::{MessageWriter, WriteFault};
use crate::{BodyFraming, HttpFault};

/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Maximum number of responses to earlier requests that are skipped in one exchange. Two copies of the
/// responses to 512 short exchanges may arrive during a long one.
const MAX_SKIPPED_RESPONSES: usize = 1_024;

/// Size of the reads from the body of a skipped response.
const SKIP_BYTES: usize = 4 * 1024;

/// How long a check of the socket stays valid. Saves a second check when a pool has just checked
/// the connection that an exchange is about to use.
const VERIFICATION_VALIDITY: Duration = Duration::from_millis(1);

/// Reason why an exchange failed, which tells whether the peer may have received the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
pub enum SendError {
    /// No byte of the request was written to the socket.
    #[snafu(display("the request was not sent: {kind}"))]
    NotSent {
        /// Kind of the I/O error.
        kind: io::ErrorKind,
    },
    /// The peer may have received all or part of the request.
    #[snafu(display("the exchange failed after the request was sent: {cause}"))]
    Lost {
        /// Cause of the failure.
        cause: LossCause,
    },
}

/// Cause of a failure after part of the request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The connection failed before any byte of the response arrived.
    ConnectionFailed(io::ErrorKind),
    /// The connection was closed in the middle of the response head.
    HeadTruncated,
    /// The response is invalid.
    InvalidResponse(HttpFault),
    /// The response can't be assigned to a request, or too many responses to earlier ones arrived.
    UnmatchedResponse,
    /// Reading the request body failed, or its length differs from the declared one.
    RequestBody(io::ErrorKind),
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LossCause::ConnectionFailed(kind) => write!(f, "{kind}"),
            LossCause::HeadTruncated => f.write_str("the response head is truncated"),
            LossCause::InvalidResponse(fault) => fault.fmt(f),
            LossCause::UnmatchedResponse => f.write_str("the response is not that to the request"),
            LossCause::RequestBody(kind) => write!(f, "the request body failed: {kind}"),
        }
    }
}

/// Which request on a connection a response belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMatch {
    /// The request of the exchange.
    Current,
    /// An earlier request, whose method was not HEAD.
    Earlier,
    /// None, or it is unclear which.
    Unclear,
}

/// A connection to a server, for one exchange at a time.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    exchange: Arc<Mutex<ClientExchange>>,
    /// False during an exchange, and after one if the server closes the connection.
    keep_alive: bool,
    last_used: Instant,
}

/// Reading and writing half of the current exchange.
#[derive(Debug)]
struct ClientExchange {
    reader: MessageReader,
    /// Writer of the request, until all of it is sent. It may outlast the response head.
    writer: Option<MessageWriter>,
    /// When the socket was last found open and without unread bytes.
    verified_at: Option<Instant>,
}

impl ClientConnection {
    /// Connects to `address` within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<ClientConnection> {
        let connecting = within(limit, TcpStream::connect(address));
        let stream = connecting.await.ok_or(io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let reader = MessageReader::new(stream.clone());
        let now = Instant::now();
        let exchange =
            Arc::new(Mutex::new(ClientExchange { reader, writer: None, verified_at: Some(now) }));
        Ok(ClientConnection { stream, exchange, keep_alive: true, last_used: now })
    }

    /// Returns the time since the last exchange started or, before the first one, since the
    /// connection was opened.
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Returns whether another exchange may start: the last response was read to the end of its
    /// framing, the last request was sent completely, and the server keeps the connection open.
    pub fn is_idle(&self) -> bool {
        let exchange = lock(&self.exchange);
        self.keep_alive && exchange.writer.is_none() && exchange.reader.is_body_done()
    }

    /// Returns whether the connection is idle, still open and has no unread bytes. Checks the
    /// socket unless that was done within `VERIFICATION_VALIDITY`.
    pub fn is_reusable(&self) -> bool {
        if !self.is_idle() {
            return false;
        }
        let mut exchange = lock(&self.exchange);
        if exchange
            .verified_at
            .is_some_and(|verified_at| verified_at.elapsed() < VERIFICATION_VALIDITY)
        {
            return true;
        }
        // Unsolicited bytes are a late or mismatched response; zero bytes mean that the peer has
        // closed.
        let mut cx = Context::from_waker(Waker::noop());
        let usable = exchange.reader.buffered().is_empty()
            && exchange.reader.poll_fill_untimed(&mut cx).is_pending();
        exchange.verified_at = usable.then(Instant::now);
        usable
    }

    /// Sends a request and returns the final response with a streaming body.
    ///
    /// The connection can't be reused if the future or the body is dropped before its end. A
    /// response that arrives during the upload is returned at once; the rest of the upload is sent
    /// while the response body is read.
    pub async fn send(&mut self, request: Request) -> Result<Response, SendError> {
        self.send_matched(request, |_| ResponseMatch::Current).await
    }

    /// Like [`ClientConnection::send`], for a server that may send responses to earlier requests again.
    /// These are skipped; `compare` tells them by the headers of a response.
    pub async fn send_matched(
        &mut self,
        mut request: Request,
        compare: impl Fn(&HeaderMap) -> ResponseMatch,
    ) -> Result<Response, SendError> {
        if !self.is_reusable() {
            return Err(SendError::NotSent { kind: io::ErrorKind::NotConnected });
        }
        self.keep_alive = false;
        self.last_used = Instant::now();
        let method = request.method();
        remove_hop_by_hop_fields(request.as_mut());
        let length = request.len().map(|length| length as u64);
        let encoder = Box::new(async_h1::client::Encoder::new(request));
        let writer = MessageWriter::new(self.stream.clone(), encoder, length, None);
        lock(&self.exchange).start(writer);
        let mut progress = RequestProgress::default();
        let (mut interim, mut skipped) = (0, 0);
        while interim < MAX_INTERIM_RESPONSES {
            let reading = poll_fn(|cx| progress.poll(&mut lock(&self.exchange), cx));
            let head = reading.await?;
            if head.status.is_informational() {
                interim += 1;
                continue;
            }
            match compare(&head.headers) {
                ResponseMatch::Current => {
                    return self.convert_head(&head, method).map_err(invalid_response);
                }
                ResponseMatch::Earlier if skipped < MAX_SKIPPED_RESPONSES => {
                    skipped += 1;
                    self.skip_body(&head, &mut progress).await?;
                }
                ResponseMatch::Earlier | ResponseMatch::Unclear => {
                    return Err(SendError::Lost { cause: LossCause::UnmatchedResponse });
                }
            }
        }
        Err(invalid_response(HttpFault::BadHead))
    }

    /// Reads the body of a response to an earlier request to its end, and goes on to send the request.
    async fn skip_body(
        &mut self,
        head: &ResponseHead,
        progress: &mut RequestProgress,
    ) -> Result<(), SendError> {
        let bodiless = is_bodiless(head, Method::Get);
        let framing = body_framing(head, bodiless).map_err(invalid_response)?;
        let started = if bodiless { BodyFraming::Absent } else { framing };
        lock(&self.exchange).reader.start_body(started, false);
        let mut skipped = vec![0; SKIP_BYTES];
        loop {
            let reading =
                poll_fn(|cx| progress.poll_skip(&mut lock(&self.exchange), cx, &mut skipped));
            if reading.await? == 0 {
                return Ok(());
            }
        }
    }

    /// Converts the head of a final response.
    fn convert_head(&mut self, head: &ResponseHead, method: Method) -> Result<Response, HttpFault> {
        let framing = body_framing(head, is_bodiless(head, method))?;
        let mut response = response_without_body(head)?;
        self.set_body(&mut response, framing, method)?;
        // Setting a body adds a content type.
        if !head.headers.contains_key(http::header::CONTENT_TYPE) {
            response.remove_header("content-type");
        }
        remove_hop_by_hop_fields(response.as_mut());
        self.keep_alive = !has_connection_close(&head.headers);
        Ok(response)
    }

    fn set_body(
        &mut self,
        response: &mut Response,
        framing: BodyFraming,
        method: Method,
    ) -> Result<(), HttpFault> {
        let is_head = method == Method::Head;
        let bodiless = is_head || matches!(response.status() as u16, 204 | 304);
        let mut exchange = lock(&self.exchange);
        let started = if bodiless { BodyFraming::Absent } else { framing };
        exchange.reader.start_body(started, false);
        let length = match framing {
            BodyFraming::Length(length) => {
                Some(usize::try_from(length).map_err(|_| HttpFault::BadLength)?)
            }
            BodyFraming::Chunked | BodyFraming::Absent => None,
        };
        let body = if bodiless {
            // Preserves the declared length of a response to HEAD.
            let declared = length.filter(|_| is_head).unwrap_or(0);
            Body::from_reader(futures_lite::io::empty(), Some(declared))
        } else if let Some(bytes) = exchange.reader.take_buffered_body() {
            Body::from_bytes(bytes)
        } else if exchange.reader.is_body_done() {
            Body::empty()
        } else {
            Body::from_reader(SharedBody::new(self.exchange.clone()), length)
        };
        drop(exchange);
        response.set_body(body);
        Ok(())
    }
}

impl ClientExchange {
    fn start(&mut self, writer: MessageWriter) {
        self.writer = Some(writer);
        self.verified_at = None;
    }
}

impl BodySource for ClientExchange {
    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        if let Some(writer) = &mut self.writer
            && let Poll::Ready(Ok(())) = writer.poll(cx)
        {
            self.writer = None;
        }
        self.reader.poll_body(cx, out)
    }
}

/// State of an exchange until the response head arrives.
#[derive(Debug, Default)]
struct RequestProgress {
    fault: Option<WriteFault>,
    sent: bool,
}

impl RequestProgress {
    fn poll(
        &mut self,
        exchange: &mut ClientExchange,
        cx: &mut Context<'_>,
    ) -> Poll<Result<ResponseHead, SendError>> {
        self.poll_writer(exchange, cx)?;
        let cause = match ready!(exchange.reader.poll_response_head(cx)) {
            Ok(Some(head)) => return Poll::Ready(Ok(head)),
            Ok(None) => LossCause::ConnectionFailed(io::ErrorKind::UnexpectedEof),
            Err(HttpFault::Io { kind }) => LossCause::ConnectionFailed(kind),
            Err(HttpFault::HeadTruncated) => LossCause::HeadTruncated,
            Err(fault) => LossCause::InvalidResponse(fault),
        };
        Poll::Ready(Err(self.fail(cause)))
    }

    /// Reads from the body of a skipped response. Returns 0 at its end.
    fn poll_skip(
        &mut self,
        exchange: &mut ClientExchange,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<Result<usize, SendError>> {
        self.poll_writer(exchange, cx)?;
        let read = ready!(exchange.reader.poll_body(cx, out));
        Poll::Ready(read.map_err(|error| self.fail(LossCause::ConnectionFailed(error.kind()))))
    }

    fn poll_writer(
        &mut self,
        exchange: &mut ClientExchange,
        cx: &mut Context<'_>,
    ) -> Result<(), SendError> {
        let Some(writer) = &mut exchange.writer else { return Ok(()) };
        if self.fault.is_some() {
            return Ok(());
        }
        let polled = writer.poll(cx);
        self.sent |= writer.has_written();
        match polled {
            Poll::Pending => Ok(()),
            Poll::Ready(Ok(())) => {
                exchange.writer = None;
                Ok(())
            }
            Poll::Ready(Err(WriteFault::Body(kind))) => {
                Err(self.fail(LossCause::RequestBody(kind)))
            }
            // The server may have rejected the upload and closed, so its response is still read.
            Poll::Ready(Err(fault @ WriteFault::Connection(kind))) => {
                self.fault = Some(fault);
                if self.sent { Ok(()) } else { Err(self.fail(LossCause::ConnectionFailed(kind))) }
            }
        }
    }

    fn fail(&self, cause: LossCause) -> SendError {
        match cause {
            LossCause::ConnectionFailed(kind) | LossCause::RequestBody(kind) if !self.sent => {
                SendError::NotSent { kind }
            }
            cause => SendError::Lost { cause },
        }
    }
}

/// Whether a response has no body, whatever its headers declare.
fn is_bodiless(head: &ResponseHead, method: Method) -> bool {
    method == Method::Head || matches!(head.status.as_u16(), 204 | 304)
}

fn body_framing(head: &ResponseHead, bodiless: bool) -> Result<BodyFraming, HttpFault> {
    match head.framing {
        ResponseFraming::Length(length) => Ok(BodyFraming::Length(length)),
        ResponseFraming::Chunked => Ok(BodyFraming::Chunked),
        ResponseFraming::UntilEnd if bodiless => Ok(BodyFraming::Absent),
        // The head is passed on before the end of the connection shows whether the body is
        // complete.
        ResponseFraming::UntilEnd => Err(HttpFault::MissingLength),
    }
}

/// Converts the status and headers of a response. Fails for a status that `http-types` does not know,
/// and for a header value that is not printable ASCII, on which it panics.
fn response_without_body(head: &ResponseHead) -> Result<Response, HttpFault> {
    let status = StatusCode::try_from(head.status.as_u16()).map_err(|_| HttpFault::BadHead)?;
    let mut response = Response::new(status);
    for (name, value) in &head.headers {
        let value = value.to_str().map_err(|_| HttpFault::BadHead)?;
        response.append_header(name.as_str(), value);
    }
    Ok(response)
}

fn invalid_response(fault: HttpFault) -> SendError {
    SendError::Lost { cause: LossCause::InvalidResponse(fault) }
}
