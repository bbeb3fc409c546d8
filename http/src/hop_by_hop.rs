//! Hop-by-hop headers, which apply to a single connection.

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
