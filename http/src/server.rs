//! HTTP/1.1 server connections.

use std::future::{Future, poll_fn};
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, future};
use http_types::headers::CONNECTION;
use http_types::{Body, Method, Request, Response};

use crate::body::{BodySource, SharedBody, lock, now_or_never};
use crate::coarse_timer::{CoarseSleep, within};
use crate::hop_by_hop::remove_hop_by_hop_fields;
use crate::read_turn::ReadTurn;
use crate::reader::MessageReader;
use crate::writer::MessageWriter;
use crate::{BodyFraming, HttpFault, parse_head, parse_request_line};

/// Maximum number of unread request bytes that are discarded to keep a connection open.
const MAX_SKIPPED_BYTES: u64 = 64 * 1024;

/// Maximum time to discard the rest of a request, and to let a client read the final response
/// before its connection is closed, which resets the connection if there are unread bytes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a request runs before the server starts to watch for a close by the client.
const CLOSE_WATCH_DELAY: Duration = Duration::from_millis(15);

/// Delay after a failed accept, which usually means that the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSettings {
    /// How long a connection stays open without a request.
    pub idle_timeout: Duration,
    /// How long a head may take to arrive, from its first byte.
    pub head_timeout: Duration,
    /// How long a body may make no progress, in either direction.
    pub progress_timeout: Duration,
    /// Maximum number of connections per listener. Further ones are closed at once. A connection
    /// uses up to about 100 KB while a slow peer sends or receives a body.
    pub max_connections: usize,
}

impl Default for ServerSettings {
    fn default() -> ServerSettings {
        ServerSettings {
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(10),
            progress_timeout: Duration::from_secs(20),
            max_connections: 1024,
        }
    }
}

/// Accepts connections until the future is dropped. Each connection is served by its own task,
/// which continues after that.
pub async fn serve_listener<F, Fut>(listener: TcpListener, settings: ServerSettings, handler: F)
where
    F: Fn(Result<Request, HttpFault>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let handler = Arc::new(handler);
    let count = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let slot = ConnectionSlot::acquire(&count);
        if count.load(Ordering::Relaxed) > settings.max_connections {
            continue;
        }
        let handler = handler.clone();
        task::spawn(async move {
            let _slot = slot;
            // An error only affects this connection.
            let _ = serve_connection(stream, &settings, &*handler).await;
        });
    }
}

/// Serves the requests of a connection in sequence.
///
/// The handler receives a request, or the error of a rejected one. Its future is dropped when the
/// client closes the connection, even if it only shuts down its write half. A response with
/// `connection: close` ends the connection. Fails if the connection ends in the middle of a
/// message.
pub async fn serve_connection<F, Fut>(
    stream: TcpStream,
    settings: &ServerSettings,
    handler: &F,
) -> Result<(), HttpFault>
where
    F: Fn(Result<Request, HttpFault>) -> Fut,
    Fut: Future<Output = Response>,
{
    stream.set_nodelay(true)?;
    let reader = Arc::new(Mutex::new(MessageReader::new(stream.clone())));
    let mut connection = ServedConnection { stream, reader, settings, close: false };
    while !connection.close {
        let incoming = match connection.read_request().await {
            Ok(Some(request)) => Ok(request),
            Ok(None) => return Ok(()),
            Err(fault @ (HttpFault::Io { .. } | HttpFault::HeadTruncated)) => return Err(fault),
            Err(fault) => Err(fault),
        };
        let refused = incoming.as_ref().err().copied();
        connection.close |= refused.is_some();
        let method = incoming.as_ref().map_or(Method::Get, Request::method);
        let responding = async {
            let response = handler(incoming).await;
            connection.write_response(response, method).await
        };
        let close = match until_closed(&connection.reader, responding).await {
            Some(result) => result?,
            None => return Ok(()),
        };
        connection.close |= close;
        connection.discard_body().await;
        if let Some(fault) = refused {
            return Err(fault);
        }
    }
    Ok(())
}

struct ServedConnection<'a> {
    stream: TcpStream,
    reader: Arc<Mutex<MessageReader>>,
    settings: &'a ServerSettings,
    close: bool,
}

impl ServedConnection<'_> {
    /// Reads the next request. Returns `None` if the client closes the connection or the idle
    /// timeout expires.
    async fn read_request(&mut self) -> Result<Option<Request>, HttpFault> {
        lock(&self.reader).set_read_timeout(None);
        if lock(&self.reader).buffered().is_empty() {
            let first = poll_fn(|cx| lock(&self.reader).poll_fill_untimed(cx));
            match within(self.settings.idle_timeout, first).await {
                Some(Ok(count)) if count > 0 => (),
                _ => return Ok(None),
            }
        }
        let head = poll_fn(|cx| lock(&self.reader).poll_request_head(cx));
        let head =
            within(self.settings.head_timeout, head).await.ok_or(HttpFault::HeadTimeout)??;
        match head {
            Some(head) => self.parse_request(head).map(Some),
            None => Ok(None),
        }
    }

    fn parse_request(&mut self, head: Vec<u8>) -> Result<Request, HttpFault> {
        let view = parse_head(&head)?;
        parse_request_line(view.first_line).ok_or(HttpFault::BadHead)?;
        if view.host_count != 1 {
            return Err(HttpFault::BadHead);
        }
        let (framing, has_content_type) = (view.framing, view.has_content_type);
        self.close |= view.close;
        lock(&self.reader).set_read_timeout(Some(self.settings.progress_timeout));
        lock(&self.reader).start_body(framing, view.expects_continue);
        // `async-h1` only gets the head, because it would end a truncated body without an error.
        let decoded = now_or_never(async_h1::server::decode(HeadStream::new(head)));
        let Some(Ok(Some((mut request, _)))) = decoded else { return Err(HttpFault::BadHead) };
        let body = || SharedBody::new(self.reader.clone());
        match framing {
            BodyFraming::Absent | BodyFraming::Length(0) => drop(request.take_body()),
            BodyFraming::Length(length) => {
                let length = usize::try_from(length).map_err(|_| HttpFault::BadLength)?;
                request.set_body(Body::from_reader(body(), Some(length)));
            }
            BodyFraming::Chunked => request.set_body(Body::from_reader(body(), None)),
        }
        if !has_content_type {
            request.remove_header("content-type");
        }
        remove_hop_by_hop_fields(request.as_mut());
        Ok(request)
    }

    /// Writes a response and returns whether the connection must be closed afterwards.
    async fn write_response(
        &self,
        mut response: Response,
        method: Method,
    ) -> Result<bool, HttpFault> {
        let close_requested = response
            .header(CONNECTION)
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        remove_hop_by_hop_fields(response.as_mut());
        let close = self.close || close_requested || lock(&self.reader).awaits_continue();
        if close {
            response.insert_header(CONNECTION, "close");
        }
        let length = match method {
            Method::Head => Some(0),
            _ => response.len().map(|length| length as u64),
        };
        let encoder = Box::new(async_h1::server::Encoder::new(response, method));
        let interval = Some(self.settings.progress_timeout);
        let mut writer = MessageWriter::new(self.stream.clone(), encoder, length, interval);
        let result = poll_fn(|cx| writer.poll(cx)).await;
        // The connection is closed before the end of the body, so the client sees the truncation.
        result.map(|()| close).map_err(|_| HttpFault::Io { kind: io::ErrorKind::BrokenPipe })
    }

    /// Discards the rest of a request body. If the connection must be closed, first gives the
    /// client time to read the response, because closing with unread bytes resets the connection.
    async fn discard_body(&mut self) {
        let done = lock(&self.reader).is_body_done();
        if done && !self.close {
            return;
        }
        if !self.close && !lock(&self.reader).awaits_continue() {
            let mut rest = SharedBody::new(self.reader.clone()).take(MAX_SKIPPED_BYTES);
            let _ = within(LINGER_TIMEOUT, discard(&mut rest)).await;
            self.close = !lock(&self.reader).is_body_done();
        }
        if self.close {
            let _ = self.stream.shutdown(Shutdown::Write);
            let _ = within(LINGER_TIMEOUT, discard(&mut self.stream)).await;
        }
    }
}

async fn discard<R: AsyncRead + Unpin>(rest: &mut R) -> io::Result<()> {
    let mut buffer = vec![0; 4096];
    let mut turn = ReadTurn::default();
    let mut read = |cx: &mut Context<'_>| {
        turn.poll_read(cx, |cx| Pin::new(&mut *rest).poll_read(cx, &mut buffer))
    };
    while poll_fn(&mut read).await? > 0 {}
    Ok(())
}

/// Runs `work` until it completes, or returns `None` if the client closes the connection first.
async fn until_closed<T>(
    reader: &Mutex<MessageReader>,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    let closed = async {
        // Most calls complete before this delay, which saves the system calls of the watch.
        CoarseSleep::new(CLOSE_WATCH_DELAY).await;
        poll_fn(|cx| lock(reader).poll_close(cx)).await;
    };
    future::or(async { Some(work.as_mut().await) }, async {
        closed.await;
        None
    })
    .await
}

impl BodySource for MessageReader {
    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        MessageReader::poll_body(self, cx, out)
    }
}

/// A buffered head as the stream that `async-h1` reads.
#[derive(Debug, Clone)]
struct HeadStream {
    head: Arc<Vec<u8>>,
    position: usize,
}

impl HeadStream {
    fn new(head: Vec<u8>) -> HeadStream {
        HeadStream { head: Arc::new(head), position: 0 }
    }
}

impl AsyncRead for HeadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = &self.head[self.position..];
        let count = rest.len().min(out.len());
        out[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        Poll::Ready(Ok(count))
    }
}

/// Discards the `100 Continue` that `async-h1` writes. `MessageReader` sends it in order with the
/// response instead.
impl AsyncWrite for HeadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Counts an open connection of a listener until it is dropped.
struct ConnectionSlot(Arc<AtomicUsize>);

impl ConnectionSlot {
    fn acquire(count: &Arc<AtomicUsize>) -> ConnectionSlot {
        count.fetch_add(1, Ordering::Relaxed);
        ConnectionSlot(count.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
