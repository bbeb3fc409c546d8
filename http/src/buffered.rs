//! Reads small bodies whole and leaves large ones to stream.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt};
use http_types::Body;

/// A body of which the start was read.
#[derive(Debug)]
pub enum BufferedBody {
    /// The whole body.
    Complete(Vec<u8>),
    /// The first bytes, and the body with these bytes put back before the rest.
    Partial(Vec<u8>, Body),
}

/// Reads `body` whole if it has at most `limit` bytes, and otherwise its first `limit` bytes.
/// Fails when the body ends early.
pub async fn buffer_body(mut body: Body, limit: usize) -> io::Result<BufferedBody> {
    let length = body.len();
    if length == Some(0) {
        return Ok(BufferedBody::Complete(Vec::new()));
    }
    let max_bytes = limit.saturating_add(1);
    let mut bytes =
        vec![0; length.map_or(max_bytes, |length| length.saturating_add(1).min(max_bytes))];
    let mut filled = 0;
    // One byte more than the limit tells a body of exactly this length from a longer one.
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

/// A body with bytes put back before it.
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
