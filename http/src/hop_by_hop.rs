//! Hop-by-hop headers, which apply to a single connection.

use http::HeaderMap;
use http::header::CONNECTION;
use http_types::headers::{HeaderName, Headers};

/// Headers that are not forwarded. Besides the hop-by-hop headers, the list has `expect` and the
/// framing headers: the encoder writes its own, and a forwarded one would declare the length twice.
pub(crate) const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that are meant for every recipient of a message. `Connection` must not name them (RFC 9110,
/// section 7.6.1): without them the message would be routed, authorised or read in another way.
const END_TO_END_HEADERS: [&str; 15] = [
    "authorization",
    "cache-control",
    "cookie",
    "date",
    "etag",
    "expires",
    "host",
    "last-modified",
    "location",
    "range",
    "retry-after",
    "set-cookie",
    "vary",
    "via",
    "www-authenticate",
];

/// Prefixes of further such headers: those that describe the body, make a request conditional, or
/// are exchanged between nodes, callers and upstreams.
const END_TO_END_PREFIXES: [&str; 3] = ["content-", "if-", "fescuestack-"];

/// Whether a header stays in a message whose `Connection` names it.
fn is_end_to_end(name: &str) -> bool {
    END_TO_END_HEADERS.contains(&name)
        || END_TO_END_PREFIXES.iter().any(|prefix| name.starts_with(prefix))
}

/// Removes hop-by-hop headers, including those listed in `connection`, except for end-to-end headers.
pub(crate) fn remove_hop_by_hop_fields(headers: &mut Headers) {
    let named: Vec<HeaderName> = headers
        .get("connection")
        .into_iter()
        .flat_map(|values| values.iter())
        .flat_map(|value| value.as_str().split(','))
        .filter_map(|word| word.trim().parse().ok())
        .filter(|name: &HeaderName| !is_end_to_end(name.as_str()))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers, including those listed in `Connection`, except for end-to-end headers
/// and those for which `is_kept` is true.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap, is_kept: fn(&http::HeaderName) -> bool) {
    let values = headers.get_all(CONNECTION).iter();
    let words = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let named: Vec<_> = words
        .filter_map(|word| http::HeaderName::from_bytes(word.trim_ascii()).ok())
        .filter(|name| !is_end_to_end(name.as_str()) && !is_kept(name))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether `Connection` contains `close`.
pub(crate) fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut words = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    words.any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
}
