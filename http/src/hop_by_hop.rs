//! Headers that hold for one connection only.

use http_types::headers::{HeaderName, Headers};

/// Headers that are not passed on. The encoder writes the framing headers itself; a kept one would
/// give the length in two ways.
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

/// Removes the headers that hold for one connection, and those that `connection` names.
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
