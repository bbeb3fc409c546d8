//! Errors of messages received from a peer.

use std::io;

use http_types::{Response, StatusCode};
use snafu::Snafu;

/// Reason why a message could not be read. Holds no backtrace, because peers can cause such errors
/// at any rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HttpFault {
    /// The head exceeds its length limit or has too many headers.
    #[snafu(display("the head exceeds 8 KB or {} headers", crate::MAX_HEADERS))]
    HeadTooLarge,
    /// The head did not arrive before its timeout.
    #[snafu(display("the head did not arrive in time"))]
    HeadTimeout,
    /// The connection was closed in the middle of the head.
    #[snafu(display("the connection ended inside the head"))]
    HeadTruncated,
    /// The head is not valid HTTP/1.1, or has a form that this crate rejects.
    #[snafu(display("the head is malformed"))]
    BadHead,
    /// The body length is malformed, or declared more than once with different results.
    #[snafu(display("the body length is malformed or ambiguous"))]
    BadLength,
    /// The chunked encoding of the body is malformed.
    #[snafu(display("the chunked body is malformed"))]
    BadChunk,
    /// The response declares no body length, so a truncated body would look complete.
    #[snafu(display("the answer has no body length"))]
    MissingLength,
    /// An I/O error occurred on the connection.
    #[snafu(display("the connection failed: {kind}"))]
    Io {
        /// Kind of the I/O error.
        kind: io::ErrorKind,
    },
}

impl HttpFault {
    /// Returns the status code that reports this error to a client.
    pub fn status(self) -> StatusCode {
        match self {
            HttpFault::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            HttpFault::HeadTimeout => StatusCode::RequestTimeout,
            _ => StatusCode::BadRequest,
        }
    }

    /// Returns a plain-text response that reports this error to a client.
    pub fn response(self) -> Response {
        let mut response = Response::new(self.status());
        response.set_body(format!("{self}\n"));
        response
    }
}

impl From<io::Error> for HttpFault {
    fn from(error: io::Error) -> HttpFault {
        HttpFault::Io { kind: error.kind() }
    }
}

impl From<HttpFault> for io::Error {
    fn from(fault: HttpFault) -> io::Error {
        match fault {
            HttpFault::Io { kind } => kind.into(),
            fault => io::Error::new(io::ErrorKind::InvalidData, fault),
        }
    }
}
