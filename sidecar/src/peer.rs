//! Calls between nodes: sending one, and serving those of others.

use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use fescuestack_http::{WholeAnswer, WholeRequest, remove_connection_headers};
use fescuestack_routing::{StoredItem, TargetChoice};
use http::header::HOST;
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::guard::lock;
use crate::links::LinkError;
use crate::node::NodeState;
use crate::note::{CallNote, ReplyEnd, ReplyNote, scan_sync, write_sync};

/// Longest body that another node passes on. The configuration's limit is checked where the call
/// began, possibly by another version.
const BODY_BYTES: usize = 256 * 1024 * 1024;

/// Sends a call to the node beside a target. The error tells whether certainly nothing was sent.
pub(crate) async fn send_call(
    state: &Arc<NodeState>,
    target: &TargetChoice,
    note: &CallNote,
    call: &WholeRequest,
) -> Result<(ReplyNote, Option<WholeAnswer>), bool> {
    let Some(mut request) = link_request(call) else { return Err(true) };
    note.write(request.headers_mut());
    let address = state.node_address(target.vm);
    let answer = match state.links.send(address, !target.crosses, request).await {
        Ok(answer) => answer,
        Err(LinkError::NotSent) => return Err(true),
        Err(LinkError::Lost { reason }) => {
            let node = address.to_string();
            log::info!(target = &*note.target, node = node.as_str(), reason = reason.as_str();
                "call lost on its way");
            return Err(false);
        }
    };
    let (mut parts, body) = answer.into_parts();
    let Some(reply) = ReplyNote::take(&mut parts.headers) else { return Err(false) };
    let status = parts.status.as_u16();
    let answered = reply.end == ReplyEnd::Answered;
    let answer = answered.then_some(WholeAnswer { status, headers: parts.headers, body });
    Ok((reply, answer))
}

/// The request as it goes over a link, where the host is a part of the address.
fn link_request(call: &WholeRequest) -> Option<Request<Full<Bytes>>> {
    let host = call.headers.get(HOST)?.to_str().ok()?;
    let uri = Uri::builder()
        .scheme("http")
        .authority(host)
        .path_and_query(call.target.as_str())
        .build()
        .ok()?;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().remove(HOST);
    Some(request)
}

/// Serves a request of another node.
pub(crate) async fn serve(
    state: Arc<NodeState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _place = state.begin_call();
    let (mut parts, body) = request.into_parts();
    if let Some(after) = scan_sync(&parts.headers) {
        return answer_sync(&state, after);
    }
    let Some(note) = CallNote::take(&mut parts.headers) else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let Ok(body) = Limited::new(body, BODY_BYTES).collect().await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let authority = parts.uri.authority().map(|host| host.as_str().to_owned());
    let Some(host) = authority.and_then(|host| HeaderValue::try_from(host).ok()) else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    remove_connection_headers(&mut parts.headers);
    parts.headers.insert(HOST, host);
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let call = WholeRequest {
        method: parts.method,
        target,
        headers: parts.headers,
        body: body.to_bytes(),
    };
    let reply = if state.is_refusing() {
        state.target.refuse_leaving()
    } else {
        state.target.run(&note, call).await
    };
    let mut response = match reply.answer {
        Some(answer) => {
            let mut response = Response::new(Full::new(answer.body));
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = answer.headers;
            remove_connection_headers(response.headers_mut());
            response
        }
        None => Response::new(Full::new(Bytes::new())),
    };
    reply.note.write(response.headers_mut());
    response
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The store's content as another node knows it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    /// The store's revision up to which the answer is complete.
    pub(crate) at: u64,
    /// All keys with their revisions and, where they are newer than asked, their values.
    pub(crate) items: Vec<SyncItem>,
}

/// A key of the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SyncItem {
    pub(crate) key: Arc<str>,
    pub(crate) revision: u64,
    pub(crate) value: Option<Vec<u8>>,
}

impl SyncItem {
    /// The item, if its value was sent.
    pub(crate) fn into_item(self) -> Option<(Arc<str>, StoredItem)> {
        let value = self.value?.into();
        Some((self.key, StoredItem { revision: self.revision, value }))
    }
}

fn answer_sync(state: &NodeState, after: u64) -> Response<Full<Bytes>> {
    let view = lock(&state.view);
    if view.at() <= after {
        return status_only(StatusCode::NO_CONTENT);
    }
    let items = view.iter().map(|(key, item)| SyncItem {
        key: key.clone(),
        revision: item.revision,
        value: (item.revision > after).then(|| item.value.to_vec()),
    });
    let answer = SyncAnswer { at: view.at(), items: items.collect() };
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(err) => {
            log::error!("801 cannot encode the store's content: {err}");
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Asks the node on `vm` for what the store holds after a revision. `None` means nothing newer, or
/// that the node cannot be reached.
pub(crate) async fn ask_sync(state: &Arc<NodeState>, vm: IpAddr, after: u64) -> Option<SyncAnswer> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static("http://node/");
    write_sync(request.headers_mut(), after);
    let answer = state.links.send(state.node_address(vm), false, request).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    match postcard::from_bytes(answer.body()) {
        Ok(answer) => Some(answer),
        Err(err) => {
            log::warn!(node = vm.to_string().as_str(); "802 store content cannot be read: {err}");
            None
        }
    }
}
