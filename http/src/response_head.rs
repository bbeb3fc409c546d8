//! The rule for what is a valid response head, shared by all readers of responses.
//!
//! `httparse` splits a head into its fields. It also takes forms that are not HTTP/1.1, or that
//! another parser reads differently; these are rejected here.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::HttpFault;

/// Maximum number of headers in a response.
const MAX_RESPONSE_HEADERS: usize = 128;

/// Reason why bytes are not a valid response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseFault {
    /// The bytes are not a head, or have too many headers.
    Malformed,
    /// A line does not end in CRLF, or an empty line precedes the status line.
    LineEnd,
    /// The version is not HTTP/1.1.
    Version,
    /// The status is not one of HTTP.
    Status,
    /// The body has a transfer coding other than `chunked`, or several.
    Coding,
    /// The length of the body is malformed or ambiguous.
    Length,
}

impl ResponseFault {
    /// Returns a description for logs.
    pub(crate) const fn reason(self) -> &'static str {
        match self {
            ResponseFault::Malformed => "the head is malformed",
            ResponseFault::LineEnd => "a line of the head has an invalid end",
            ResponseFault::Version => "the version is not HTTP/1.1",
            ResponseFault::Status => "the status is invalid",
            ResponseFault::Coding => "the transfer coding is unknown or ambiguous",
            ResponseFault::Length => "the body length is malformed or ambiguous",
        }
    }
}

impl From<ResponseFault> for HttpFault {
    fn from(fault: ResponseFault) -> HttpFault {
        match fault {
            ResponseFault::Malformed
            | ResponseFault::LineEnd
            | ResponseFault::Version
            | ResponseFault::Status => HttpFault::BadHead,
            ResponseFault::Coding | ResponseFault::Length => HttpFault::BadLength,
        }
    }
}

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseFraming {
    /// The body has this length in bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body extends to the end of the connection.
    UntilEnd,
}

/// A valid response head.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    /// Length in bytes, including the empty line.
    pub(crate) length: usize,
    /// Status from 100 to 599, other than 101.
    pub(crate) status: StatusCode,
    /// All headers, including hop-by-hop ones.
    pub(crate) headers: HeaderMap,
    /// Framing of the body that the headers declare.
    pub(crate) framing: ResponseFraming,
}

/// Parses the head at the start of `bytes`. Returns `None` if more bytes are needed.
pub(crate) fn parse_response_head(bytes: &[u8]) -> Result<Option<ResponseHead>, ResponseFault> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_RESPONSE_HEADERS];
    let mut response = httparse::Response::new(&mut storage);
    let parsed = response.parse(bytes).map_err(|_| ResponseFault::Malformed)?;
    let length = match parsed {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => bytes.len(),
    };
    if !has_valid_lines(&bytes[..length]) {
        return Err(ResponseFault::LineEnd);
    }
    if parsed.is_partial() {
        return Ok(None);
    }
    if response.version != Some(1) {
        return Err(ResponseFault::Version);
    }
    let status = response.code.and_then(response_status).ok_or(ResponseFault::Status)?;
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else { return Err(ResponseFault::Malformed) };
        headers.append(name, value);
    }
    let framing = response_framing(&headers)?;
    Ok(Some(ResponseHead { length, status, headers, framing }))
}

/// Returns whether a head has no empty line before its status line and all lines end in CRLF.
/// `httparse` skips empty lines and takes a bare line feed for the end of a line.
fn has_valid_lines(head: &[u8]) -> bool {
    let ends_in_crlf =
        |index: usize| index.checked_sub(1).is_some_and(|before| head[before] == b'\r');
    let mut line_feeds = (0..head.len()).filter(|index| head[*index] == b'\n');
    !head.starts_with(b"\r") && line_feeds.all(ends_in_crlf)
}

/// Rejects several codings, and a coding combined with a length: readers differ in which of them they
/// use, and so in where the body ends.
fn response_framing(headers: &HeaderMap) -> Result<ResponseFraming, ResponseFault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(ResponseFraming::UntilEnd),
        (Some(coding), None) => {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            let is_single = codings.next().is_none();
            let framing = (is_chunked && is_single).then_some(ResponseFraming::Chunked);
            framing.ok_or(ResponseFault::Coding)
        }
        (None, Some(first)) if lengths.all(|other| other == first) => {
            let length = crate::parse_decimal(first.as_bytes()).ok_or(ResponseFault::Length)?;
            Ok(ResponseFraming::Length(length))
        }
        _ => Err(ResponseFault::Length),
    }
}

/// Returns the status with this code, unless HTTP assigns it no class of responses. Requests never ask
/// for another protocol, so that no server may switch to one.
pub(crate) fn response_status(code: u16) -> Option<StatusCode> {
    let is_valid =
        |status: &StatusCode| status.as_u16() < 600 && *status != StatusCode::SWITCHING_PROTOCOLS;
    StatusCode::from_u16(code).ok().filter(is_valid)
}
