//! Exchange of the store's content between nodes.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuestack_core::ClockSpan;
use fescuestack_http::{lock, within};
use fescuestack_platform::CONFIG_KEY;
use fescuestack_routing::{StorePosition, StoreView, StoredItem};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::crashes::{EndKnowledge, known_ends, learn_ends};
use crate::message::{FullResponse, empty_response};
use crate::node::{EncodedContent, NodeState};
use crate::note::SyncNote;

/// Compression level of `zstd`. Higher levels save little and take longer.
const COMPRESSION_LEVEL: i32 = 1;

/// Longest content that a node accepts from another one after decompression, in bytes.
const MAX_DECOMPRESSED_BYTES: usize = 64 * 1024 * 1024;

/// The store's content as another node knows it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    /// Position of the store up to which the content is complete.
    pub(crate) at: StorePosition,
    /// Time since the store confirmed this content, in ms. `None` if the node has lost contact.
    pub(crate) age: Option<u64>,
    /// Digest of the VM sizes that the node knows.
    pub(crate) digest: u64,
    /// The VM sizes, if `items` is set or the digests of both nodes differ.
    pub(crate) sizes: Vec<(IpAddr, bool)>,
    /// Time in ms for which removals of targets are still deferred, because missing entries may
    /// return.
    pub(crate) lapse: u64,
    /// Value of the node's active configuration, if it is newer than that of the requesting node and
    /// the store holds an older one.
    pub(crate) config: Option<Vec<u8>>,
    /// All keys of the store, if the node knows a later position than the request.
    pub(crate) items: Option<Vec<SyncItem>>,
    /// What the node knows of ended targets, if the requesting node wants it.
    pub(crate) crashes: EndKnowledge,
}

/// A key of the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SyncItem {
    pub(crate) key: Arc<str>,
    pub(crate) revision: u64,
    /// The value, if it was written after the requested position.
    pub(crate) value: Option<Vec<u8>>,
}

impl SyncItem {
    /// Splits into the key and its stored item, which is `None` if the value was left out.
    pub(crate) fn into_item(self) -> (Arc<str>, Option<StoredItem>) {
        let revision = self.revision;
        let item = self.value.map(|value| StoredItem { revision, value: value.into() });
        (self.key, item)
    }
}

/// Responds as soon as there is a later position than requested, or when this node loses contact
/// with the store. `body` holds the VM sizes of the requesting node, or is empty.
pub(crate) async fn serve_sync(state: &NodeState, note: SyncNote, body: &[u8]) -> FullResponse {
    lock(&state.vm_sizes).set(note.vm, note.small);
    if !body.is_empty() {
        match postcard::from_bytes::<Vec<(IpAddr, bool)>>(body) {
            Ok(sizes) => lock(&state.vm_sizes).merge(sizes),
            Err(err) => {
                let node = note.vm.to_string();
                log::warn!(node = node.as_str(); "801 cannot decode VM sizes: {err}");
            }
        }
    }
    let timeout = Duration::from_millis(note.wait);
    let changed = async {
        loop {
            let listener = state.view_changed.listen();
            if lock(&state.view).position() > note.after || state.view_age().is_none() {
                return;
            }
            listener.await;
        }
    };
    within(timeout, changed).await;
    let answer = build_answer(state, note);
    if answer.items.is_none() || answer.config.is_some() || !answer.crashes.is_empty() {
        return encode_response(&answer);
    }
    // Most followers request the same revisions, and compression takes most of the time.
    let mut cache = lock(&state.encoded_content);
    if let Some(cached) = &*cache
        && (cached.after, cached.at) == (note.after, answer.at)
    {
        return Response::new(cached.body.clone());
    }
    let response = encode_response(&answer);
    let body = response.body().clone();
    *cache = Some(EncodedContent { after: note.after, at: answer.at, body });
    response
}

fn encode_response(answer: &SyncAnswer) -> FullResponse {
    match encode_answer(answer) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(err) => {
            log::error!("801 cannot encode the store's content: {err}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn build_answer(state: &NodeState, note: SyncNote) -> SyncAnswer {
    let after = note.after;
    let view = lock(&state.view);
    let sizes = lock(&state.vm_sizes);
    let at = view.position();
    let item = |(key, item): (&Arc<str>, &StoredItem)| SyncItem {
        key: key.clone(),
        revision: item.revision,
        value: (at.era != after.era || item.revision > after.revision).then(|| item.value.to_vec()),
    };
    SyncAnswer {
        at,
        age: state.view_age().filter(|_| !state.is_stopping()).map(ClockSpan::millis),
        digest: sizes.digest(),
        sizes: match at > after || sizes.digest() != note.sizes {
            true => sizes.iter().collect(),
            false => Vec::new(),
        },
        lapse: state.removals_deferred_until().since(state.clock.now()).millis(),
        config: newer_config(state, &view, note.version),
        items: (at > after).then(|| view.iter().map(item).collect()),
        crashes: if note.wants_crashes { known_ends(state) } else { EndKnowledge::default() },
    }
}

/// Returns the value of the active configuration if it is newer than `version` and the store holds
/// another one.
fn newer_config(state: &NodeState, view: &StoreView, version: u64) -> Option<Vec<u8>> {
    if state.active_version() <= version {
        return None;
    }
    let active = state.config_value();
    let is_stored = view.get(CONFIG_KEY).is_some_and(|item| item.value == active);
    (!is_stored).then(|| active.to_vec())
}

/// Requests what the store holds after a position from the node on `vm`, and sends it `sizes`.
/// Returns `None` if the node cannot be reached, which its link reports, or if its response cannot
/// be used.
pub(crate) async fn request_sync(
    state: &Arc<NodeState>,
    vm: IpAddr,
    same_data_centre: bool,
    note: SyncNote,
    sizes: Vec<(IpAddr, bool)>,
) -> Option<SyncAnswer> {
    let body = match sizes.is_empty() {
        true => Vec::new(),
        // A list of plain values always encodes.
        false => postcard::to_stdvec(&sizes).unwrap_or_default(),
    };
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.uri_mut() = Uri::from_static("http://node/");
    note.write(request.headers_mut());
    let response =
        state.links.send(state.node_address(vm), same_data_centre, request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    log::debug!(node = vm.to_string().as_str(), bytes = response.body().len();
        "received store content");
    match decode_answer(response.body()) {
        Ok(mut answer) => {
            if note.wants_crashes {
                learn_ends(state, vm, std::mem::take(&mut answer.crashes));
            }
            Some(answer)
        }
        Err(err) => {
            log::warn!(node = vm.to_string().as_str();
                "801 cannot decode the store's content: {err}");
            None
        }
    }
}

/// Error while encoding or decoding the store's content.
#[derive(Debug, Snafu)]
enum SyncError {
    #[snafu(display("{source}"))]
    Encoding { source: postcard::Error },
    #[snafu(display("{source}"))]
    Compression { source: std::io::Error },
}

/// Compresses the answer: configurations are long and repetitive, and links of small VMs are slow.
fn encode_answer(answer: &SyncAnswer) -> Result<Vec<u8>, SyncError> {
    let bytes = postcard::to_stdvec(answer).context(EncodingSnafu)?;
    zstd::bulk::compress(&bytes, COMPRESSION_LEVEL).context(CompressionSnafu)
}

fn decode_answer(bytes: &[u8]) -> Result<SyncAnswer, SyncError> {
    let bytes = zstd::bulk::decompress(bytes, MAX_DECOMPRESSED_BYTES).context(CompressionSnafu)?;
    postcard::from_bytes(&bytes).context(EncodingSnafu)
}
