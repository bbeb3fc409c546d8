//! Conversion between `hyper` messages and the buffered messages that nodes forward.

use bytes::Bytes;
use fescuestack_http::{BufferedRequest, BufferedResponse, remove_hop_by_hop_headers};
use fescuestack_platform::headers::is_platform_header;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use crate::note::remove_notes;

/// A response with a buffered body, as `hyper` sends it.
pub(crate) type FullResponse = Response<Full<Bytes>>;

/// Builds the request to forward, without the hop-by-hop headers of the client's connection and the
/// notes of nodes. The host of an absolute URI becomes the `Host` header if there is none.
pub(crate) fn forwarded_request(mut parts: Parts, body: Bytes) -> BufferedRequest {
    remove_hop_by_hop_headers(&mut parts.headers, is_platform_header);
    remove_notes(&mut parts.headers);
    if !parts.headers.contains_key(HOST)
        && let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(HOST, host);
    }
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    BufferedRequest { method: parts.method, target, headers: parts.headers, body }
}

/// Converts a target's response, without the hop-by-hop headers of the target's connection and the
/// notes of nodes.
pub(crate) fn full_response(buffered: BufferedResponse) -> FullResponse {
    let mut response = Response::new(Full::new(buffered.body));
    *response.status_mut() = buffered.status;
    *response.headers_mut() = buffered.headers;
    remove_hop_by_hop_headers(response.headers_mut(), is_platform_header);
    remove_notes(response.headers_mut());
    response
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
