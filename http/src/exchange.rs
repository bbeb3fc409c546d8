//! Client connections with buffered bodies, for servers that may send invalid responses.
//!
//! A connection carries one exchange at a time.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt, future};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};

use crate::budget::{ByteBudget, ByteReservation};
use crate::coarse_timer::within;
use crate::hop_by_hop::has_connection_close;
use crate::read_turn::ReadTurn;
use crate::response_head::{ResponseFault, ResponseFraming, ResponseHead, parse_response_head};
use crate::{ChunkParser, ParseSchedule};

/// Maximum length of a response head.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Maximum length of a response body. Several of them must fit into the memory of a small VM.
const MAX_RESPONSE_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Maximum length of the framing of a chunked response body. A body of the maximum length in chunks
/// of 32 bytes still fits.
const MAX_CHUNK_FRAMING_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of interim responses in one exchange.
const MAX_INTERIM_RESPONSES: u32 = 4;

/// Maximum number of responses to earlier requests that are skipped in one exchange. A server that sends
/// copies of its responses may send those of many short exchanges during a long one.
const MAX_SKIPPED_RESPONSES: u32 = 128;

/// Maximum number of bytes per read from a socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// How long sent data may stay unacknowledged before the kernel closes the connection
/// (`TCP_USER_TIMEOUT`). Detects peers and paths that have vanished without a FIN or RST.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first TCP keepalive probe, and interval between further probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why an exchange yielded no response.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// The connection could not be opened, or was closed before anything was sent.
    #[snafu(display("cannot connect: {source}"))]
    NotSent {
        /// The reason.
        source: io::Error,
    },
    /// The connection failed after part of the request was sent and before any response arrived.
    #[snafu(display("connection lost: {source}"))]
    ConnectionLost {
        /// The reason.
        source: io::Error,
    },
    /// The connection failed in the middle of a response.
    #[snafu(display("response truncated: {source}"))]
    Truncated {
        /// The reason.
        source: io::Error,
    },
    /// The received bytes are not a valid response to this request.
    #[snafu(display("invalid response: {reason}"))]
    InvalidResponse {
        /// Which check failed.
        reason: &'static str,
    },
}

impl From<ResponseFault> for ExchangeError {
    fn from(fault: ResponseFault) -> ExchangeError {
        ExchangeError::InvalidResponse { reason: fault.reason() }
    }
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// Status code, from 200 to 599.
    pub status: StatusCode,
    /// All headers, including hop-by-hop ones.
    pub headers: HeaderMap,
    /// The decoded body.
    pub body: Bytes,
}

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// Request method.
    pub method: Method,
    /// Request target: path and query.
    pub target: String,
    /// Headers, without `Content-Length` and `Transfer-Encoding`.
    pub headers: HeaderMap,
    /// The body, which may be empty.
    pub body: Bytes,
}

/// A header that identifies the response to a request.
#[derive(Debug, Clone)]
pub struct ResponseTag {
    /// Name of a request header that the server echoes.
    pub name: HeaderName,
    /// Value that the response must have.
    pub value: HeaderValue,
}

/// Which request a response belongs to.
enum TagMatch {
    /// The request of this exchange.
    Same,
    /// An earlier request on the connection.
    Other,
    /// None, or several.
    Unclear,
}

impl ResponseTag {
    fn compare(&self, headers: &HeaderMap) -> TagMatch {
        let values = headers.get_all(&self.name);
        let matching = values.iter().filter(|value| **value == self.value).count();
        match (matching, values.iter().count()) {
            (_, 0) => TagMatch::Unclear,
            (0, _) => TagMatch::Other,
            (matching, count) if matching == count => TagMatch::Same,
            _ => TagMatch::Unclear,
        }
    }
}

/// A connection to a server, for one exchange of buffered messages at a time.
#[derive(Debug)]
pub struct ExchangeConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    reusable: bool,
    last_used: Instant,
    keep_alive_timeout: Option<Duration>,
    budget: Option<Arc<ByteBudget>>,
    received: Arc<AtomicU64>,
    skipped_responses: u32,
}

/// Connects to `address` within `limit`, and sets the socket options of [`set_socket_options`].
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream =
        within(limit, TcpStream::connect(address)).await.ok_or(io::ErrorKind::TimedOut)??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Sets the options of connections to servers and other nodes: those of [`set_client_options`], and a
/// limit on the time that sent data stays unacknowledged.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    set_client_options(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Sets the options of connections that clients have opened: `TCP_NODELAY` and TCP keepalive. There is no
/// limit on unacknowledged data, because Linux counts the time in which a client that reads slowly takes
/// nothing.
pub fn set_client_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}

/// Sets the receive buffer in bytes of a connection, or of those that a listener accepts.
pub fn set_receive_buffer(socket: &impl AsFd, bytes: usize) -> io::Result<()> {
    SockRef::from(socket).set_recv_buffer_size(bytes)
}

impl ExchangeConnection {
    /// Connects to `address` within `limit`.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
    ) -> Result<ExchangeConnection, ExchangeError> {
        let stream =
            connect(address, limit).await.map_err(|source| ExchangeError::NotSent { source })?;
        let (buffer, last_used) = (Vec::new(), Instant::now());
        Ok(ExchangeConnection {
            stream,
            buffer,
            reusable: true,
            last_used,
            keep_alive_timeout: None,
            budget: None,
            received: Arc::default(),
            skipped_responses: 0,
        })
    }

    /// Counts the memory of responses against `budget`.
    pub fn with_budget(mut self, budget: &Arc<ByteBudget>) -> ExchangeConnection {
        self.budget = Some(budget.clone());
        self
    }

    /// Adds the number of received bytes to `received`, so that the caller can distinguish a slow
    /// response from a stalled one.
    pub fn with_byte_counter(mut self, received: &Arc<AtomicU64>) -> ExchangeConnection {
        self.received = received.clone();
        self
    }

    /// Returns the time since the last exchange ended or, before the first one, since the
    /// connection was opened.
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Returns how long the server keeps an idle connection open, if it declared that.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout
    }

    /// Whether the last exchange left the connection open, as far as its messages tell.
    pub fn is_kept_alive(&self) -> bool {
        self.reusable && self.buffer.is_empty()
    }

    /// Whether another exchange can start: the last one ended well, the connection is open and
    /// nothing arrived since.
    pub async fn is_reusable(&mut self) -> bool {
        self.idle_state().await == IdleState::Open
    }

    /// Determines whether another exchange can start, and if not, why.
    pub async fn idle_state(&mut self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::UnexpectedBytes;
        }
        if !self.reusable {
            return IdleState::Closed;
        }
        let mut byte = [0];
        match future::poll_once(self.stream.read(&mut byte)).await {
            None => IdleState::Open,
            Some(Ok(1..)) => IdleState::UnexpectedBytes,
            Some(Ok(0) | Err(_)) => IdleState::Closed,
        }
    }

    /// Returns how many responses to other requests were skipped since the last call.
    pub fn take_skipped_responses(&mut self) -> u32 {
        std::mem::take(&mut self.skipped_responses)
    }

    /// Sends a request and reads its response. If the future is dropped, the connection can't be
    /// reused; drop it too, so that the server sees that the client has left.
    pub async fn exchange(
        &mut self,
        request: &BufferedRequest,
        tag: Option<&ResponseTag>,
    ) -> Result<BufferedResponse, ExchangeError> {
        self.reusable = false;
        let head = encode_head(request);
        let mut writer = self.stream.clone();
        let mut written = RequestWrite::Pending;
        let sending = async {
            let sent = async {
                writer.write_all(&head).await?;
                writer.write_all(&request.body).await
            };
            // A server may respond early to an upload and close, so reading continues after a
            // failed write. If there is no response, reading fails as well.
            written = match sent.await {
                Ok(()) => RequestWrite::Complete,
                Err(source) => RequestWrite::Failed { source },
            };
            future::pending().await
        };
        let budget = self.budget.as_ref();
        let reservation = budget.map(ByteBudget::reservation);
        let (stream, buffer) = (&self.stream, &mut self.buffer);
        let (received, turn) = (&self.received, ReadTurn::default());
        let skipped = &mut self.skipped_responses;
        let mut reader = ResponseReader {
            stream,
            buffer,
            read: 0,
            received,
            budget,
            reservation,
            turn,
            skipped,
            is_closing: false,
        };
        let (response, at_eof) =
            future::or(reader.read_response(&request.method, tag), sending).await?;
        let is_closing = reader.is_closing || has_connection_close(&response.headers);
        let request_written = matches!(written, RequestWrite::Complete);
        // A socket reports a reset only once. If a write got the report, reads see an ordinary end.
        // A broken pipe stands for a reset after the server had ended its side, which is such an end.
        if at_eof
            && let RequestWrite::Failed { source } = written
            && source.kind() != io::ErrorKind::BrokenPipe
        {
            return Err(ExchangeError::Truncated { source });
        }
        self.last_used = Instant::now();
        self.keep_alive_timeout = parse_keep_alive_timeout(&response.headers);
        self.reusable = request_written && !at_eof && !is_closing;
        Ok(response)
    }
}

/// State of a connection without an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Another exchange can start.
    Open,
    /// The server has closed the connection, or the last exchange left it unusable.
    Closed,
    /// Bytes have arrived that belong to no request.
    UnexpectedBytes,
}

/// How far the request of an exchange was written.
enum RequestWrite {
    Pending,
    Complete,
    Failed { source: io::Error },
}

struct ResponseReader<'a> {
    stream: &'a TcpStream,
    buffer: &'a mut Vec<u8>,
    /// Number of bytes read in this exchange.
    read: usize,
    received: &'a AtomicU64,
    budget: Option<&'a Arc<ByteBudget>>,
    reservation: Option<ByteReservation>,
    turn: ReadTurn,
    /// Number of responses to other requests.
    skipped: &'a mut u32,
    /// Whether a skipped response announced the end of the connection.
    is_closing: bool,
}

impl ResponseReader<'_> {
    /// Reads responses until one matches `tag`, and returns it with whether the connection has
    /// ended.
    async fn read_response(
        &mut self,
        method: &Method,
        tag: Option<&ResponseTag>,
    ) -> Result<(BufferedResponse, bool), ExchangeError> {
        let (mut interim, mut skipped) = (0, 0);
        while interim < MAX_INTERIM_RESPONSES && skipped < MAX_SKIPPED_RESPONSES {
            let ResponseHead { status, headers, framing, .. } = self.read_head().await?;
            if status.is_informational() {
                interim += 1;
                continue;
            }
            let (body, at_eof) = self.read_body(method, status, framing).await?;
            match tag.map_or(TagMatch::Same, |tag| tag.compare(&headers)) {
                TagMatch::Same => return Ok((BufferedResponse { status, headers, body }, at_eof)),
                // A late second response to an earlier request is skipped.
                TagMatch::Other if !at_eof => {
                    skipped += 1;
                    *self.skipped += 1;
                    self.is_closing |= has_connection_close(&headers);
                    // The reservation went to the body that was skipped.
                    self.reservation = self.budget.map(ByteBudget::reservation);
                    self.read = self.buffer.len();
                }
                TagMatch::Other | TagMatch::Unclear => {
                    return Err(ExchangeError::InvalidResponse {
                        reason: "the request id is missing, differs or is ambiguous",
                    });
                }
            }
        }
        Err(ExchangeError::InvalidResponse {
            reason: "too many interim responses or responses to other requests",
        })
    }

    async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        let mut schedule = ParseSchedule::new();
        loop {
            if schedule.is_due(self.buffer)
                && let Some(head) = parse_response_head(self.buffer)?
            {
                self.buffer.drain(..head.length);
                return Ok(head);
            }
            if self.buffer.len() >= MAX_RESPONSE_HEAD_BYTES {
                return Err(ExchangeError::InvalidResponse { reason: "the head is too long" });
            }
            self.fill().await?;
        }
    }

    async fn read_body(
        &mut self,
        method: &Method,
        status: StatusCode,
        framing: ResponseFraming,
    ) -> Result<(Bytes, bool), ExchangeError> {
        if *method == Method::HEAD || matches!(status.as_u16(), 204 | 304) {
            return Ok((Bytes::new(), false));
        }
        let too_long = ExchangeError::InvalidResponse { reason: "the body is too long" };
        match framing {
            ResponseFraming::Length(length) if length > MAX_RESPONSE_BODY_BYTES as u64 => {
                Err(too_long)
            }
            ResponseFraming::Length(length) => {
                let length = length as usize;
                while self.buffer.len() < length {
                    self.fill().await?;
                }
                let body = self.buffer.drain(..length).collect();
                Ok((self.finish_body(body), false))
            }
            ResponseFraming::Chunked => Ok((self.read_chunks().await?, false)),
            ResponseFraming::UntilEnd => {
                while self.try_fill().await? {
                    if self.buffer.len() > MAX_RESPONSE_BODY_BYTES {
                        return Err(too_long);
                    }
                }
                let body = std::mem::take(self.buffer);
                Ok((self.finish_body(body), true))
            }
        }
    }

    async fn read_chunks(&mut self) -> Result<Bytes, ExchangeError> {
        let invalid = |reason| Err(ExchangeError::InvalidResponse { reason });
        let mut parser = ChunkParser::new();
        let mut body = Vec::new();
        let mut consumed = 0;
        loop {
            let Ok(count) = parser.decode(self.buffer, &mut body) else {
                return invalid("the chunked body is malformed");
            };
            self.buffer.drain(..count);
            consumed += count;
            if body.len() > MAX_RESPONSE_BODY_BYTES {
                return invalid("the body is too long");
            }
            if consumed - body.len() > MAX_CHUNK_FRAMING_BYTES {
                return invalid("the framing of the chunked body is too long");
            }
            if parser.is_done() {
                return Ok(self.finish_body(body));
            }
            self.fill().await?;
        }
    }

    /// Reads more bytes into the buffer. Fails at the end of the connection.
    async fn fill(&mut self) -> Result<(), ExchangeError> {
        if self.try_fill().await? {
            return Ok(());
        }
        Err(self.connection_error(io::ErrorKind::UnexpectedEof.into()))
    }

    /// Reads more bytes into the buffer. Returns false at the end of the connection.
    async fn try_fill(&mut self) -> Result<bool, ExchangeError> {
        let start = self.buffer.len();
        self.buffer.resize(start + READ_CHUNK_BYTES, 0);
        let (mut stream, turn, free) = (self.stream, &mut self.turn, &mut self.buffer[start..]);
        let read = future::poll_fn(|cx| {
            turn.poll_read(cx, |cx| Pin::new(&mut stream).poll_read(cx, free))
        });
        let read = read.await;
        let count = *read.as_ref().unwrap_or(&0);
        self.buffer.truncate(start + count);
        self.read += count;
        self.received.fetch_add(count as u64, Ordering::Relaxed);
        if !self.reservation.as_mut().is_none_or(|reservation| reservation.try_grow_to(self.read)) {
            return Err(ExchangeError::InvalidResponse {
                reason: "the memory budget is exhausted",
            });
        }
        read.map(|count| count > 0).map_err(|source| self.connection_error(source))
    }

    /// Attaches the budget reservation, if any, to the complete body.
    fn finish_body(&mut self, body: Vec<u8>) -> Bytes {
        match self.reservation.take() {
            Some(reservation) => reservation.into_bytes(body),
            None => body.into(),
        }
    }

    fn connection_error(&self, source: io::Error) -> ExchangeError {
        if self.read > 0 {
            ExchangeError::Truncated { source }
        } else {
            ExchangeError::ConnectionLost { source }
        }
    }
}

fn encode_head(request: &BufferedRequest) -> Vec<u8> {
    let mut head = Vec::with_capacity(512);
    head.extend_from_slice(request.method.as_str().as_bytes());
    head.push(b' ');
    head.extend_from_slice(request.target.as_bytes());
    head.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in &request.headers {
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    let bodiless = matches!(request.method, Method::GET | Method::HEAD | Method::DELETE);
    if !request.body.is_empty() || !bodiless {
        head.extend_from_slice(format!("content-length: {}\r\n", request.body.len()).as_bytes());
    }
    head.extend_from_slice(b"\r\n");
    head
}

/// Returns the duration in `Keep-Alive: timeout=N`.
fn parse_keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut words = value.split(',').filter_map(|word| word.trim().strip_prefix("timeout="));
    words.next()?.trim().parse().ok().map(Duration::from_secs)
}
