//! Buffering of small bodies, while larger ones are streamed.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt};
use http_types::Body;

/// A body that was buffered up to a limit.
#[derive(Debug)]
pub enum BufferedBody {
    /// The complete body.
    Complete(Vec<u8>),
    /// A copy of the first bytes, and a stream of the entire body that starts with the same bytes.
    Partial(Vec<u8>, Body),
}

/// Buffers `body` if it has at most `limit` bytes. A longer body is returned as a stream, along
/// with its first `limit + 1` bytes. Fails if the body ends before its declared length.
pub async fn buffer_body(mut body: Body, limit: usize) -> io::Result<BufferedBody> {
    let length = body.len();
    if length == Some(0) {
        return Ok(BufferedBody::Complete(Vec::new()));
    }
    let max_bytes = limit.saturating_add(1);
    let mut bytes =
        vec![0; length.map_or(max_bytes, |length| length.saturating_add(1).min(max_bytes))];
    let mut filled = 0;
    // Reading one byte beyond the limit distinguishes a body of exactly `limit` bytes from a longer
    // one.
    while filled < bytes.len() {
        let count = body.read(&mut bytes[filled..]).await?;
        if count == 0 {
            bytes.truncate(filled);
            return match length {
                Some(length) if length != filled => Err(io::ErrorKind::UnexpectedEof.into()),
                _ => Ok(BufferedBody::Complete(bytes)),
            };
        }
        filled += count;
    }
    let start = bytes.clone();
    let reader = PrefixedBody { prefix: bytes, position: 0, rest: body };
    Ok(BufferedBody::Partial(start, Body::from_reader(reader, length)))
}

/// Prepends bytes that were already read to the rest of a body.
struct PrefixedBody {
    prefix: Vec<u8>,
    position: usize,
    rest: Body,
}

impl AsyncRead for PrefixedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = &self.prefix[self.position..];
        if left.is_empty() {
            return Pin::new(&mut self.rest).poll_read(cx, out);
        }
        let count = left.len().min(out.len());
        out[..count].copy_from_slice(&left[..count]);
        self.position += count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for PrefixedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        if body.position < body.prefix.len() {
            return Poll::Ready(Ok(&body.prefix[body.position..]));
        }
        Poll::Ready(Ok(ready!(Pin::new(&mut body.rest).poll_fill_buf(cx))?))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        let taken = count.min(self.prefix.len() - self.position);
        self.position += taken;
        if count > taken {
            Pin::new(&mut self.rest).consume(count - taken);
        }
    }
}

impl fmt::Debug for PrefixedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PrefixedBody").field("position", &self.position).finish_non_exhaustive()
    }
}
