//! Why a message from a peer was refused.

use std::io;

use http_types::{Response, StatusCode};
use snafu::Snafu;

/// A message that cannot be read. Carries no backtrace: peers can cause these at any rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HttpFault {
    /// The head is longer than the limit or has too many headers.
    #[snafu(display("the head exceeds 8 KB or {} headers", crate::MAX_HEADERS))]
    HeadTooLarge,
    /// The head did not arrive in time.
    #[snafu(display("the head did not arrive in time"))]
    HeadTimeout,
    /// The connection ended inside the head.
    #[snafu(display("the connection ended inside the head"))]
    HeadTruncated,
    /// The head is not valid HTTP/1.1.
    #[snafu(display("the head is malformed"))]
    BadHead,
    /// The length of the body is malformed or given in two ways.
    #[snafu(display("the body length is malformed or ambiguous"))]
    BadLength,
    /// A chunk of the body is malformed.
    #[snafu(display("the chunked body is malformed"))]
    BadChunk,
    /// The answer gives no body length, so a cut one looks complete.
    #[snafu(display("the answer has no body length"))]
    MissingLength,
    /// The connection failed.
    #[snafu(display("the connection failed: {kind}"))]
    Io {
        /// Kind of the I/O error.
        kind: io::ErrorKind,
    },
}

impl HttpFault {
    /// The status that tells a client about the fault.
    pub fn status(self) -> StatusCode {
        match self {
            HttpFault::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            HttpFault::HeadTimeout => StatusCode::RequestTimeout,
            _ => StatusCode::BadRequest,
        }
    }

    /// A plain answer that tells a client about the fault.
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
