//! Pure scanners over the bytes of a head.

use crate::HttpFault;

/// Most headers in a head. `async-h1` reads up to 128.
pub const MAX_HEADERS: usize = 100;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head says nothing about a body.
    Absent,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
}

/// What the guards need to know about a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsedHead<'a> {
    /// The request line or status line, without its line end.
    pub first_line: &'a [u8],
    /// How the end of the body is found.
    pub framing: BodyFraming,
    /// Whether the peer closes the connection after this message.
    pub close: bool,
    /// Whether the peer waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether there is a `Date` header.
    pub has_date: bool,
    /// Whether there is a `Content-Type` header.
    pub has_content_type: bool,
    /// How many `Host` headers there are.
    pub host_count: usize,
}

/// The index after the empty line that ends a head, searching from `from`.
pub fn find_head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.min(bytes.len());
    let end = bytes[from..].windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(from + end + 4)
}

/// A decimal number without sign or blanks that fits 64 bits.
pub fn parse_decimal(bytes: &[u8]) -> Option<u64> {
    if bytes.is_empty() {
        return None;
    }
    bytes.iter().try_fold(0u64, |value, byte| {
        let digit = byte.is_ascii_digit().then(|| u64::from(byte - b'0'))?;
        value.checked_mul(10)?.checked_add(digit)
    })
}

/// Name and trimmed value of a header line without its line end.
///
/// Values beyond printable ASCII are refused: `http-types` panics on them.
pub fn parse_header(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = line.iter().position(|&byte| byte == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let valid_name = !name.is_empty() && name.iter().all(|&byte| is_token(byte));
    let printable = value.iter().all(|&byte| byte == b'\t' || (b' '..=b'~').contains(&byte));
    (valid_name && printable).then(|| (name, value.trim_ascii()))
}

/// Method and target of a request line of HTTP/1.1.
pub fn parse_request_line(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let mut words = line.split(|&byte| byte == b' ');
    let (method, target, protocol) = (words.next()?, words.next()?, words.next()?);
    let printable = target.iter().all(u8::is_ascii_graphic);
    let valid_form = target.starts_with(b"/") || target.starts_with(b"http://");
    let valid_protocol = words.next().is_none() && protocol == b"HTTP/1.1";
    let valid_name = !method.is_empty() && method.iter().all(|&byte| is_token(byte));
    (valid_protocol && valid_name && printable && valid_form).then_some((method, target))
}

/// Status of a status line of HTTP/1.1.
pub fn parse_status_line(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.1 ")?;
    let (digits, reason) = rest.split_at_checked(3)?;
    let ended = reason.is_empty() || reason.starts_with(b" ");
    let status = parse_decimal(digits)? as u16;
    (ended && (100..600).contains(&status)).then_some(status)
}

/// Whether `host` names a host and an optional port, and nothing that a URL reads otherwise.
pub fn is_valid_host(host: &[u8]) -> bool {
    let is_host_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b".-_:[]".contains(byte);
    !host.is_empty() && host.iter().all(is_host_byte)
}

/// Checks a whole head, up to and with the empty line, and finds the framing of the body.
///
/// Fails on bare line feeds, folded lines, differing lengths and lengths beside an encoding, all of
/// which two readers may take for different messages.
pub fn parse_head(head: &[u8]) -> Result<ParsedHead<'_>, HttpFault> {
    let lines = head.strip_suffix(b"\r\n\r\n").ok_or(HttpFault::BadHead)?;
    let mut lines = split_lines(lines);
    let first_line = lines.next().ok_or(HttpFault::BadHead)?;
    let mut view = ParsedHead {
        first_line,
        framing: BodyFraming::Absent,
        close: false,
        expects_continue: false,
        has_date: false,
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
        self.has_date |= is("date");
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

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Splits at CRLF only, so that a bare CR or LF stays in its line and fails the check there.
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
