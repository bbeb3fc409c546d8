//! Parsers for request heads, without I/O, and what they share with other parsers.

use crate::HttpFault;

/// Maximum number of headers in a head. `async-h1` parses up to 128.
pub const MAX_HEADERS: usize = 100;

/// Length up to which an incomplete head is parsed after each read, so that bytes that are no head
/// are detected at once.
const EAGER_PARSE_BYTES: usize = 4 * 1024;

/// Decides when a head that arrives in pieces is parsed again, by a parser that starts over each
/// time. A long head is parsed when it is complete or has doubled in length, so that the cost of a
/// byte does not grow with the length.
#[derive(Debug, Default)]
pub struct ParseSchedule {
    parsed_bytes: usize,
    scanned_bytes: usize,
}

impl ParseSchedule {
    /// Creates a schedule for one head.
    pub fn new() -> ParseSchedule {
        ParseSchedule::default()
    }

    /// Returns whether `bytes`, which begin with all earlier ones, are to be parsed now.
    pub fn is_due(&mut self, bytes: &[u8]) -> bool {
        let unscanned = &bytes[self.scanned_bytes.saturating_sub(2).min(bytes.len())..];
        self.scanned_bytes = bytes.len();
        let is_due = bytes.len() <= EAGER_PARSE_BYTES
            || bytes.len() >= 2 * self.parsed_bytes
            || has_empty_line(unscanned);
        if is_due {
            self.parsed_bytes = bytes.len();
        }
        is_due
    }
}

/// Returns whether `bytes` hold the end of a line and then an empty line. Some parsers accept lines
/// that end without a carriage return.
fn has_empty_line(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
        rest = &rest[end + 1..];
        if rest.starts_with(b"\n") || rest.starts_with(b"\r\n") {
            return true;
        }
    }
    false
}

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head declares no body.
    Absent,
    /// The body has this length in bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
}

/// The properties of a request head that framing and validation depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsedHead<'a> {
    /// The request line, without CRLF.
    pub first_line: &'a [u8],
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether `Connection` contains `close`.
    pub close: bool,
    /// Whether the peer waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether there is a `Content-Type` header.
    pub has_content_type: bool,
    /// Number of `Host` headers.
    pub host_count: usize,
}

/// Returns the index after the empty line that ends a head. The search starts at `from`.
pub fn find_head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.min(bytes.len());
    let end = bytes[from..].windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(from + end + 4)
}

/// Parses a 64-bit decimal number that consists of digits only.
pub fn parse_decimal(bytes: &[u8]) -> Option<u64> {
    if bytes.is_empty() {
        return None;
    }
    bytes.iter().try_fold(0u64, |value, byte| {
        let digit = byte.is_ascii_digit().then(|| u64::from(byte - b'0'))?;
        value.checked_mul(10)?.checked_add(digit)
    })
}

/// Splits a header line without CRLF into its name and trimmed value.
///
/// Rejects values other than printable ASCII, because `http-types` panics on them.
pub fn parse_header(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = line.iter().position(|&byte| byte == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let valid_name = !name.is_empty() && name.iter().all(|&byte| is_token(byte));
    let printable = value.iter().all(|&byte| byte == b'\t' || (b' '..=b'~').contains(&byte));
    (valid_name && printable).then(|| (name, value.trim_ascii()))
}

/// Returns the method and the target of an HTTP/1.1 request line.
pub fn parse_request_line(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let mut words = line.split(|&byte| byte == b' ');
    let (method, target, protocol) = (words.next()?, words.next()?, words.next()?);
    let printable = target.iter().all(u8::is_ascii_graphic);
    let valid_form = target.starts_with(b"/") || target.starts_with(b"http://");
    let valid_protocol = words.next().is_none() && protocol == b"HTTP/1.1";
    let valid_name = !method.is_empty() && method.iter().all(|&byte| is_token(byte));
    (valid_protocol && valid_name && printable && valid_form).then_some((method, target))
}

/// Returns whether `host` only has characters of a host with an optional port, and none that a URL
/// parser would interpret, such as `/` or `@`.
pub fn is_valid_host(host: &[u8]) -> bool {
    let is_host_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b".-_:[]".contains(byte);
    !host.is_empty() && host.iter().all(is_host_byte)
}

/// Validates a complete request head, including the empty line, and determines the framing of the body.
///
/// Rejects bare line feeds, folded lines, conflicting lengths and a length combined with a transfer
/// encoding. Two parsers may read such a message differently, which enables request smuggling.
pub fn parse_head(head: &[u8]) -> Result<ParsedHead<'_>, HttpFault> {
    let lines = head.strip_suffix(b"\r\n\r\n").ok_or(HttpFault::BadHead)?;
    let mut lines = split_lines(lines);
    let first_line = lines.next().ok_or(HttpFault::BadHead)?;
    let mut view = ParsedHead {
        first_line,
        framing: BodyFraming::Absent,
        close: false,
        expects_continue: false,
        has_content_type: false,
        host_count: 0,
    };
    if !first_line.iter().all(|&byte| (b' '..=b'~').contains(&byte)) {
        return Err(HttpFault::BadHead);
    }
    for (index, line) in lines.enumerate() {
        if index == MAX_HEADERS {
            return Err(HttpFault::HeadTooLarge);
        }
        let (name, value) = parse_header(line).ok_or(HttpFault::BadHead)?;
        view.apply_header(name, value)?;
    }
    Ok(view)
}

impl ParsedHead<'_> {
    fn apply_header(&mut self, name: &[u8], value: &[u8]) -> Result<(), HttpFault> {
        let is = |label: &str| name.eq_ignore_ascii_case(label.as_bytes());
        if is("content-length") {
            let length = parse_decimal(value).ok_or(HttpFault::BadLength)?;
            self.set_framing(BodyFraming::Length(length))?;
        } else if is("transfer-encoding") {
            if !value.eq_ignore_ascii_case(b"chunked") || self.framing != BodyFraming::Absent {
                return Err(HttpFault::BadLength);
            }
            self.framing = BodyFraming::Chunked;
        } else if is("connection") {
            let mut options = value.split(|&byte| byte == b',');
            self.close |= options.any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"));
        } else if is("expect") {
            self.expects_continue = value.eq_ignore_ascii_case(b"100-continue");
        } else if is("host") {
            self.host_count += 1;
            if !is_valid_host(value) {
                return Err(HttpFault::BadHead);
            }
        }
        self.has_content_type |= is("content-type");
        Ok(())
    }

    fn set_framing(&mut self, framing: BodyFraming) -> Result<(), HttpFault> {
        match self.framing {
            BodyFraming::Absent => self.framing = framing,
            current if current == framing => (),
            _ => return Err(HttpFault::BadLength),
        }
        Ok(())
    }
}

/// Returns whether a field name can have this byte.
pub(crate) fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a field value can have this byte: no control byte but the tab.
pub(crate) fn is_field_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Splits at CRLF only, so that a bare CR or LF stays in its line and fails validation.
fn split_lines(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut ended = false;
    std::iter::from_fn(move || {
        if ended {
            return None;
        }
        match bytes.windows(2).position(|window| window == b"\r\n") {
            Some(end) => {
                let line = &bytes[..end];
                bytes = &bytes[end + 2..];
                Some(line)
            }
            None => {
                ended = true;
                Some(bytes)
            }
        }
    })
}
