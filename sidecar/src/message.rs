//! Requests and answers on their way between `hyper` and the node's own whole messages.

use bytes::Bytes;
use fescuestack_http::{BufferedRequest, BufferedResponse, remove_hop_by_hop_headers};
use http::request::Parts;
use http::{Response, StatusCode};
use http_body_util::Full;

/// An answer as `hyper` writes it.
pub(crate) type FullResponse = Response<Full<Bytes>>;

/// A request as it goes on, without the headers of the connection on which it came.
pub(crate) fn forwarded_request(mut parts: Parts, body: Bytes) -> BufferedRequest {
    remove_hop_by_hop_headers(&mut parts.headers);
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    BufferedRequest { method: parts.method, target, headers: parts.headers, body }
}

/// A target's answer as it goes on, without the headers of the connection on which it came.
pub(crate) fn full_response(buffered: BufferedResponse) -> FullResponse {
    let mut response = Response::new(Full::new(buffered.body));
    *response.status_mut() =
        StatusCode::from_u16(buffered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = buffered.headers;
    remove_hop_by_hop_headers(response.headers_mut());
    response
}

/// An answer without a body.
pub(crate) fn empty_response(status: StatusCode) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
