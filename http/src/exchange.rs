//! Exchanges with a server that is not trusted to answer well: one at a time on a connection, heads
//! read by `httparse`, whole bodies.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};

use crate::ChunkParser;
use crate::budget::{ByteBudget, ByteReservation};
use crate::coarse_timer::within;

/// Longest head of an answer in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Most headers of an answer.
const MAX_RESPONSE_HEADERS: usize = 128;

/// Longest body of an answer in bytes. It has to fit the memory of a small VM several times.
const MAX_RESPONSE_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Most answers to earlier requests that are skipped on a connection.
const MAX_RESPONSES_PER_EXCHANGE: usize = 4;

/// Bytes read from a socket at a time.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Time without acknowledgement after which the system gives up a connection whose peer or path is
/// gone.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which the system asks whether the other end of an unused connection is still there,
/// and pause between such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why an exchange has no answer.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No connection could be opened, or it was found closed before anything was sent.
    #[snafu(display("no connection: {source}"))]
    NotSent {
        /// The reason.
        source: io::Error,
    },
    /// The connection broke after a part of the request was sent, before any answer.
    #[snafu(display("connection lost: {source}"))]
    ConnectionLost {
        /// The reason.
        source: io::Error,
    },
    /// The connection broke within an answer.
    #[snafu(display("answer cut: {source}"))]
    Truncated {
        /// The reason.
        source: io::Error,
    },
    /// What came back is not an answer to this request.
    #[snafu(display("not an answer to this request: {reason}"))]
    InvalidResponse {
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// Status code.
    pub status: u16,
    /// Headers, those of the connection included.
    pub headers: HeaderMap,
    /// The body, without any framing.
    pub body: Bytes,
}

/// A request as it goes over the wire.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers without those of framing.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How an answer shows that it belongs to the request.
#[derive(Debug, Clone)]
pub struct ResponseTag {
    /// A header that the server echoes.
    pub name: HeaderName,
    /// Its value.
    pub value: HeaderValue,
}

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct ExchangeConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    reusable: bool,
    last_used: Instant,
    keep_alive_timeout: Option<Duration>,
    budget: Option<Arc<ByteBudget>>,
    received: Arc<AtomicU64>,
}

/// Opens a connection whose silent loss is noticed. Fails when it takes longer than `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream =
        within(limit, TcpStream::connect(address)).await.ok_or(io::ErrorKind::TimedOut)??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Sets the options that every socket has: no delay of small writes, and a limit on the time in
/// which nothing that was sent is acknowledged.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

impl ExchangeConnection {
    /// Opens a connection.
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
        })
    }

    /// Answers count against `budget`.
    pub fn with_budget(mut self, budget: &Arc<ByteBudget>) -> ExchangeConnection {
        self.budget = Some(budget.clone());
        self
    }

    /// Bytes that are received are counted in `received` as well, so that an answer that keeps coming is
    /// told from one that has stopped.
    pub fn with_byte_counter(mut self, received: &Arc<AtomicU64>) -> ExchangeConnection {
        self.received = received.clone();
        self
    }

    /// How long the connection was unused.
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// How long the server keeps the unused connection, if it said so.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout
    }

    /// Whether another exchange can start: the last one ended well, the connection is open and
    /// nothing arrived since.
    pub async fn is_reusable(&mut self) -> bool {
        if !self.reusable || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        future::poll_once(self.stream.read(&mut byte)).await.is_none()
    }

    /// Sends a request and reads its answer. Dropping the future leaves the connection unusable, so
    /// it has to be dropped as well, which tells the server that nobody waits.
    pub async fn exchange(
        &mut self,
        request: &BufferedRequest,
        tag: Option<&ResponseTag>,
    ) -> Result<BufferedResponse, ExchangeError> {
        self.reusable = false;
        let head = encode_head(request);
        let mut writer = self.stream.clone();
        let mut request_written = false;
        let sending = async {
            let sent = async {
                writer.write_all(&head).await?;
                writer.write_all(&request.body).await
            };
            // An early answer to an upload may come together with a close, so reading goes on after a
            // failed write. Without an answer, it fails as well.
            request_written = sent.await.is_ok();
            future::pending().await
        };
        let reservation = self.budget.as_ref().map(ByteBudget::reservation);
        let (stream, buffer) = (&self.stream, &mut self.buffer);
        let mut reader =
            ResponseReader { stream, buffer, read: 0, received: &self.received, reservation };
        let (response, at_eof) =
            future::or(reader.read_response(&request.method, tag), sending).await?;
        self.last_used = Instant::now();
        self.keep_alive_timeout = parse_keep_alive_timeout(&response.headers);
        self.reusable = request_written && !at_eof && !has_connection_close(&response.headers);
        Ok(response)
    }
}

struct ResponseReader<'a> {
    stream: &'a TcpStream,
    buffer: &'a mut Vec<u8>,
    /// Bytes that were read so far.
    read: usize,
    received: &'a AtomicU64,
    reservation: Option<ByteReservation>,
}

impl ResponseReader<'_> {
    /// Reads until the answer that bears `tag`. The flag tells whether the connection has ended.
    async fn read_response(
        &mut self,
        method: &Method,
        tag: Option<&ResponseTag>,
    ) -> Result<(BufferedResponse, bool), ExchangeError> {
        for _ in 0..MAX_RESPONSES_PER_EXCHANGE {
            let (status, headers) = self.read_head().await?;
            if (100..200).contains(&status) {
                continue;
            }
            let (body, at_eof) = self.read_body(method, status, &headers).await?;
            let matches_tag = |tag: &ResponseTag| headers.get(&tag.name) == Some(&tag.value);
            if tag.is_none_or(matches_tag) {
                return Ok((BufferedResponse { status, headers, body }, at_eof));
            }
            // A late second answer to an earlier request.
            if at_eof || !tag.is_some_and(|tag| headers.contains_key(&tag.name)) {
                return Err(ExchangeError::InvalidResponse {
                    reason: "it bears another request's id",
                });
            }
        }
        Err(ExchangeError::InvalidResponse { reason: "too many answers to other requests" })
    }

    async fn read_head(&mut self) -> Result<(u16, HeaderMap), ExchangeError> {
        loop {
            if let Some((length, status, headers)) = parse_response_head(self.buffer)? {
                self.buffer.drain(..length);
                return Ok((status, headers));
            }
            if self.buffer.len() >= MAX_RESPONSE_HEAD_BYTES {
                return Err(ExchangeError::InvalidResponse { reason: "its head is too long" });
            }
            self.fill().await?;
        }
    }

    async fn read_body(
        &mut self,
        method: &Method,
        status: u16,
        headers: &HeaderMap,
    ) -> Result<(Bytes, bool), ExchangeError> {
        if *method == Method::HEAD || matches!(status, 204 | 304) {
            return Ok((Bytes::new(), false));
        }
        match response_framing(headers)? {
            ResponseFraming::Length(length) => {
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
                        return Err(ExchangeError::InvalidResponse {
                            reason: "its body is too long",
                        });
                    }
                }
                let body = std::mem::take(self.buffer);
                Ok((self.finish_body(body), true))
            }
        }
    }

    async fn read_chunks(&mut self) -> Result<Bytes, ExchangeError> {
        let mut scanner = ChunkParser::new();
        let mut body = Vec::new();
        loop {
            let framed = scanner.parse_framing(self.buffer).map_err(|_| {
                ExchangeError::InvalidResponse { reason: "its chunks cannot be read" }
            })?;
            self.buffer.drain(..framed);
            if scanner.is_done() {
                return Ok(self.finish_body(body));
            }
            let left = usize::try_from(scanner.remaining_data()).unwrap_or(usize::MAX);
            let count = left.min(self.buffer.len());
            if count == 0 {
                self.fill().await?;
                continue;
            }
            body.extend(self.buffer.drain(..count));
            scanner.consume_data(count as u64);
            if body.len() > MAX_RESPONSE_BODY_BYTES {
                return Err(ExchangeError::InvalidResponse { reason: "its body is too long" });
            }
        }
    }

    /// Reads more bytes. Fails at the end of the connection.
    async fn fill(&mut self) -> Result<(), ExchangeError> {
        if self.try_fill().await? {
            return Ok(());
        }
        Err(self.connection_error(io::ErrorKind::UnexpectedEof.into()))
    }

    /// Reads more bytes. False at the end of the connection.
    async fn try_fill(&mut self) -> Result<bool, ExchangeError> {
        let start = self.buffer.len();
        self.buffer.resize(start + READ_CHUNK_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[start..]).await;
        let count = *read.as_ref().unwrap_or(&0);
        self.buffer.truncate(start + count);
        self.read += count;
        self.received.fetch_add(count as u64, Ordering::Relaxed);
        if !self.reservation.as_mut().is_none_or(|reservation| reservation.try_grow_to(self.read)) {
            return Err(ExchangeError::InvalidResponse { reason: "no memory is left for it" });
        }
        read.map(|count| count > 0).map_err(|source| self.connection_error(source))
    }

    /// The whole body, with what it takes of the budget.
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

enum ResponseFraming {
    Length(usize),
    Chunked,
    UntilEnd,
}

fn response_framing(headers: &HeaderMap) -> Result<ResponseFraming, ExchangeError> {
    let garbled = |reason| Err(ExchangeError::InvalidResponse { reason });
    if let Some(coding) = headers.get(http::header::TRANSFER_ENCODING) {
        if coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Ok(ResponseFraming::Chunked);
        }
        return garbled("its transfer encoding is not known");
    }
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else { return Ok(ResponseFraming::UntilEnd) };
    if lengths.any(|other| other != first) {
        return garbled("it has two lengths");
    }
    match crate::parse_decimal(first.as_bytes()).and_then(|length| usize::try_from(length).ok()) {
        Some(length) if length <= MAX_RESPONSE_BODY_BYTES => Ok(ResponseFraming::Length(length)),
        Some(_) => garbled("its body is too long"),
        None => garbled("its length cannot be read"),
    }
}

fn parse_response_head(bytes: &[u8]) -> Result<Option<(usize, u16, HeaderMap)>, ExchangeError> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_RESPONSE_HEADERS];
    let mut response = httparse::Response::new(&mut storage);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ExchangeError::InvalidResponse { reason: "its head cannot be read" }),
    };
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ExchangeError::InvalidResponse { reason: "a header cannot be read" });
        };
        headers.append(name, value);
    }
    Ok(Some((length, response.code.unwrap_or(0), headers)))
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

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let mut words = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    words.any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// The time in `Keep-Alive: timeout=N`.
fn parse_keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut words = value.split(',').filter_map(|word| word.trim().strip_prefix("timeout="));
    words.next()?.trim().parse().ok().map(Duration::from_secs)
}

/// Removes the headers that hold for one connection only, and those that `Connection` names.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let words = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let named: Vec<_> =
        words.filter_map(|word| HeaderName::from_bytes(word.trim_ascii()).ok()).collect();
    for name in named {
        headers.remove(name);
    }
    for name in crate::hop_by_hop::HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
