//! Calls between nodes: sending one, and serving those of others.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use fescuestack_core::{ClockSpan, RequestFingerprint};
use fescuestack_http::{WholeAnswer, WholeRequest, lock, remove_connection_headers, within};
use fescuestack_routing::{StoredItem, TargetChoice};
use http::header::HOST;
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::links::LinkError;
use crate::node::{EncodedContent, NodeState};
use crate::note::{CallNote, ReplyEnd, ReplyNote, SyncNote, scan_crash, write_crash};
use crate::target::TargetReply;

/// Longest body that another node passes on. The configuration's limit is checked where the call
/// began, possibly by another version.
const BODY_BYTES: usize = 256 * 1024 * 1024;

/// Level of compression of the store's content. Higher ones save little and cost more time.
const SYNC_LEVEL: i32 = 1;

/// Longest content of the store that a node takes from another, in bytes.
const SYNC_BYTES: usize = 64 * 1024 * 1024;

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
    let (mut parts, body) = request.into_parts();
    if let Some(note) = SyncNote::take(&mut parts.headers) {
        return answer_sync(&state, note).await;
    }
    if let Some(request) = scan_crash(&parts.headers) {
        note_crash(&state, request);
        return status_only(StatusCode::NO_CONTENT);
    }
    let _place = state.begin_call();
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
        run_beside(&state, &note, call).await
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

/// Runs a call at the target beside this node, and tells other nodes if that crashed it.
pub(crate) async fn run_beside(
    state: &Arc<NodeState>,
    note: &CallNote,
    call: WholeRequest,
) -> TargetReply {
    let reply = state.target.run(note, call.clone()).await;
    if reply.note.crashed {
        let request = fingerprint(&call);
        note_crash(state, request);
        spread_crash(state, request);
    }
    reply
}

/// What stays the same when a request is sent again at any VM: its host, method, path and body.
pub(crate) fn fingerprint(call: &WholeRequest) -> RequestFingerprint {
    let host = call.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    RequestFingerprint::from_whole(host, call.method.as_str(), &call.target, &call.body)
}

fn note_crash(state: &NodeState, request: RequestFingerprint) {
    let crashes = lock(&state.crashes).crash(state.clock.now(), request);
    log::info!(hash = request.number(), crashes = crashes; "request crashed a target");
}

/// Tells the nodes beside the targets of all services, since the request may come again anywhere.
fn spread_crash(state: &Arc<NodeState>, request: RequestFingerprint) {
    for vm in lock(&state.routing).picker.vms() {
        if state.is_own(vm) {
            continue;
        }
        let state = state.clone();
        task::spawn(async move {
            let mut message = Request::new(Full::new(Bytes::new()));
            *message.uri_mut() = Uri::from_static("http://node/");
            write_crash(message.headers_mut(), request);
            // A node that is out of reach learns of the request by its next crash.
            if let Err(err) = state.links.send(state.node_address(vm), false, message).await {
                log::debug!(node = vm.to_string().as_str(); "news of a crash not delivered: {err}");
            }
        });
    }
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
    /// How long ago the store confirmed this content, in ms. `None` if the node is out of contact.
    pub(crate) age: Option<u64>,
    /// Whether the node should not serve others while there are larger ones.
    pub(crate) small: bool,
    /// How much longer missing entries may come back, in ms.
    pub(crate) lapse: u64,
    /// All keys, if the node knows a newer revision than asked.
    pub(crate) items: Option<Vec<SyncItem>>,
}

/// A key of the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SyncItem {
    pub(crate) key: Arc<str>,
    pub(crate) revision: u64,
    /// The value, if it is newer than asked.
    pub(crate) value: Option<Vec<u8>>,
}

impl SyncItem {
    /// The key, with the item if its value was sent.
    pub(crate) fn into_item(self) -> (Arc<str>, Option<StoredItem>) {
        let revision = self.revision;
        let item = self.value.map(|value| StoredItem { revision, value: value.into() });
        (self.key, item)
    }
}

/// Answers as soon as there is something newer than asked, or when this node stops reading the store.
async fn answer_sync(state: &NodeState, note: SyncNote) -> Response<Full<Bytes>> {
    let limit = Duration::from_millis(note.wait);
    let changed = async {
        loop {
            let listener = state.view_changed.listen();
            if lock(&state.view).at() > note.after || state.view_age().is_none() {
                return;
            }
            listener.await;
        }
    };
    within(limit, changed).await;
    let answer = sync_answer(state, note.after);
    if answer.items.is_none() {
        return sync_response(&answer);
    }
    // Most followers ask for the same revisions, and compressing takes longer than all the rest.
    let mut encoded = lock(&state.encoded);
    if let Some(kept) = &*encoded
        && (kept.after, kept.at) == (note.after, answer.at)
    {
        return Response::new(kept.body.clone());
    }
    let response = sync_response(&answer);
    let body = response.body().clone();
    *encoded = Some(EncodedContent { after: note.after, at: answer.at, body });
    response
}

fn sync_response(answer: &SyncAnswer) -> Response<Full<Bytes>> {
    match encode_answer(answer) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(err) => {
            log::error!("801 cannot encode the store's content: {err}");
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn sync_answer(state: &NodeState, after: u64) -> SyncAnswer {
    let view = lock(&state.view);
    let item = |(key, item): (&Arc<str>, &StoredItem)| SyncItem {
        key: key.clone(),
        revision: item.revision,
        value: (item.revision > after).then(|| item.value.to_vec()),
    };
    SyncAnswer {
        at: view.at(),
        age: state.view_age().filter(|_| !state.is_stopping()).map(ClockSpan::millis),
        small: state.is_small(),
        lapse: state.lapse_until().since(state.clock.now()).millis(),
        items: (view.at() > after).then(|| view.iter().map(item).collect()),
    }
}

/// Asks the node on `vm` for what the store holds after a revision. `None` means that it cannot be
/// reached, which its link reports.
pub(crate) async fn ask_sync(
    state: &Arc<NodeState>,
    vm: IpAddr,
    near: bool,
    note: SyncNote,
) -> Option<SyncAnswer> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static("http://node/");
    note.write(request.headers_mut());
    let answer = state.links.send(state.node_address(vm), near, request).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    match decode_answer(answer.body()) {
        Ok(answer) => Some(answer),
        Err(err) => {
            log::warn!(node = vm.to_string().as_str(); "801 store content cannot be read: {err}");
            None
        }
    }
}

/// Why content of the store cannot be passed on.
#[derive(Debug, Snafu)]
enum SyncError {
    #[snafu(display("{source}"))]
    Form { source: postcard::Error },
    #[snafu(display("{source}"))]
    Compression { source: std::io::Error },
}

/// Configurations are long and repeat themselves, and the links of small VMs are slow.
fn encode_answer(answer: &SyncAnswer) -> Result<Vec<u8>, SyncError> {
    let bytes = postcard::to_stdvec(answer).context(FormSnafu)?;
    zstd::bulk::compress(&bytes, SYNC_LEVEL).context(CompressionSnafu)
}

fn decode_answer(bytes: &[u8]) -> Result<SyncAnswer, SyncError> {
    let bytes = zstd::bulk::decompress(bytes, SYNC_BYTES).context(CompressionSnafu)?;
    postcard::from_bytes(&bytes).context(FormSnafu)
}
