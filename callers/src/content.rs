//! The content of a request: read whole when small, streamed otherwise.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use fescuestack_core::RouteKind;
use fescuestack_core::{FINGERPRINT_BODY_BYTES, RequestFingerprint, ResultCode, RouteRule};
use fescuestack_http::{BufferedBody, buffer_body};
use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::{Body, Request};

/// Largest body that is read whole before the request is sent on.
pub(crate) const WHOLE_LIMIT_BYTES: usize = 64 * 1024;

/// A request whose body is ready to be sent.
#[derive(Debug)]
pub(crate) struct CallContent {
    /// The request without its body.
    pub(crate) head: Request,
    body: ContentBody,
    start: Vec<u8>,
    length: Option<u64>,
    failure: Arc<ContentFailure>,
}

/// How the streamed body of a request has failed.
#[derive(Debug, Default)]
struct ContentFailure {
    ended_early: AtomicBool,
    too_large: AtomicBool,
}

#[derive(Debug)]
enum ContentBody {
    /// Can be sent any number of times; the bytes are in `start`.
    Whole,
    /// Can be sent once.
    Stream(Option<Body>),
}

impl CallContent {
    /// Reads a small body whole. Fails with 209 when the body is too large and with 214 when it ends
    /// early.
    pub(crate) async fn read(
        mut request: Request,
        rule: &RouteRule,
    ) -> Result<CallContent, ResultCode> {
        let body = request.take_body();
        let declared = body.len().map(|length| length as u64);
        if declared.is_some_and(|length| length > rule.body_limit_bytes) {
            return Err(ResultCode::BodyTooLarge);
        }
        // An upload starts to flow at once; only its fingerprint is needed first.
        let limit = match rule.kind {
            RouteKind::Upload => FINGERPRINT_BODY_BYTES,
            RouteKind::Lookup | RouteKind::Search | RouteKind::Submit => WHOLE_LIMIT_BYTES,
        };
        let gathered = buffer_body(body, limit).await.map_err(|_| ResultCode::UploadIncomplete)?;
        let failure = Arc::new(ContentFailure::default());
        let (start, length, body) = match gathered {
            BufferedBody::Complete(bytes) => {
                let length = bytes.len() as u64;
                (bytes, Some(length), ContentBody::Whole)
            }
            BufferedBody::Partial(start, rest) => {
                let limited = LimitedBody {
                    body: rest,
                    left: rule.body_limit_bytes,
                    failure: failure.clone(),
                };
                (start, declared, ContentBody::Stream(Some(limited.into_body())))
            }
        };
        if start.len() as u64 > rule.body_limit_bytes {
            return Err(ResultCode::BodyTooLarge);
        }
        Ok(CallContent { head: request, body, start, length, failure })
    }

    /// Whether the body can be sent only once.
    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.body, ContentBody::Stream(_))
    }

    /// Why the streamed body failed, if it did: 209 or 214.
    pub(crate) fn failure(&self) -> Option<ResultCode> {
        if self.failure.too_large.load(Ordering::Acquire) {
            return Some(ResultCode::BodyTooLarge);
        }
        let early = self.failure.ended_early.load(Ordering::Acquire);
        early.then_some(ResultCode::UploadIncomplete)
    }

    /// The request with its body, to be sent. `None` when a stream was sent before.
    pub(crate) fn request(&mut self) -> Option<Request> {
        let body = match &mut self.body {
            ContentBody::Whole => Body::from_bytes(self.start.clone()),
            ContentBody::Stream(body) => body.take()?,
        };
        let mut request = self.head.clone();
        let typed = request.header("content-type").is_some();
        request.set_body(body);
        // The library adds a type of its own.
        if !typed {
            request.remove_header("content-type");
        }
        Some(request)
    }

    /// Fingerprint for the quarantine.
    pub(crate) fn fingerprint(&self, service: &str) -> RequestFingerprint {
        let (method, path) = (self.head.method(), self.target());
        RequestFingerprint::new(service, method.as_ref(), &path, self.length, &self.start)
    }

    /// Fingerprint that two uses of a key are compared by.
    pub(crate) fn key_fingerprint(&self, service: &str) -> RequestFingerprint {
        match &self.body {
            ContentBody::Whole => {
                let (method, path) = (self.head.method(), self.target());
                RequestFingerprint::from_whole(service, method.as_ref(), &path, &self.start)
            }
            ContentBody::Stream(_) => self.fingerprint(service),
        }
    }

    /// Path and query.
    fn target(&self) -> String {
        let url = self.head.url();
        match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        }
    }
}

/// A body that fails when it is longer than its route allows.
struct LimitedBody {
    body: Body,
    left: u64,
    failure: Arc<ContentFailure>,
}

impl LimitedBody {
    fn into_body(self) -> Body {
        let length = self.body.len();
        Body::from_reader(self, length)
    }
}

impl AsyncRead for LimitedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = ready!(Pin::new(&mut self.body).poll_read(cx, out));
        if polled.is_err() {
            self.failure.ended_early.store(true, Ordering::Release);
        }
        let count = polled?;
        match self.left.checked_sub(count as u64) {
            Some(left) => self.left = left,
            None => {
                self.failure.too_large.store(true, Ordering::Release);
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for LimitedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.left = self.left.saturating_sub(count as u64);
        Pin::new(&mut self.body).consume(count);
    }
}

impl fmt::Debug for LimitedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LimitedBody").field("left", &self.left).finish_non_exhaustive()
    }
}
