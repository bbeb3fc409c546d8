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

/// Removes hop-by-hop headers, including those listed in `connection`.
pub(crate) fn remove_hop_by_hop_fields(headers: &mut Headers) {
    let named: Vec<HeaderName> = headers
        .get("connection")
        .into_iter()
        .flat_map(|values| values.iter())
        .flat_map(|value| value.as_str().split(','))
        .filter_map(|word| word.trim().parse().ok())
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
