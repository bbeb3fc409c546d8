//! Exchange of crash reports between nodes: at each crash, and to a node that has
//! started.

use std::net::IpAddr;
use std::sync::Arc;

use async_std::task;
use bytes::Bytes;
use fescuestack_core::{ClockSpan, RequestFingerprint};
use fescuestack_http::lock;
use fescuestack_routing::KnownCrash;
use http::{Request, Uri};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::node::NodeState;
use crate::note::CrashNote;

/// When a client should retry a request that has crashed several targets.
pub(crate) const CRASHING_RETRY_AFTER: ClockSpan = ClockSpan::new(5_000);

/// A crash as it is sent to a node that has started.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CrashEntry {
    /// Number of the request's fingerprint.
    request: u64,
    target: Arc<str>,
    /// Time since the crash, in ms.
    age: u64,
}

/// Records a crash. Returns the number of crashes of the request so far, or 0 if it is not
/// suspected.
pub(crate) fn record_crash(state: &NodeState, crash: &CrashNote) -> usize {
    let (now, request) = (state.clock.now(), crash.request());
    let crashes = lock(&state.crashes).record_crash(now, &crash.target, request);
    log::info!(target = &*crash.target, hash = request.number(), crashes = crashes;
        "request crashed a target");
    crashes
}

/// Reports a crash to the nodes of all targets, since any of them may receive the request again.
pub(crate) fn broadcast_crash(state: &Arc<NodeState>, crash: &CrashNote) {
    for vm in lock(&state.routing).picker.vms() {
        if state.is_own_vm(vm) {
            continue;
        }
        let state = state.clone();
        let mut message = Request::new(Full::new(Bytes::new()));
        *message.uri_mut() = Uri::from_static("http://node/");
        crash.write(message.headers_mut());
        task::spawn(async move {
            // An unreachable node learns of the request at its next crash, or when it starts.
            if let Err(err) = state.links.send(state.node_address(vm), false, message).await {
                log::debug!(node = vm.to_string().as_str(); "cannot report a crash: {err}");
            }
        });
    }
}

/// Returns the crashes that this node knows.
pub(crate) fn known_crashes(state: &NodeState) -> Vec<CrashEntry> {
    let entry = |crash: KnownCrash| CrashEntry {
        request: crash.request.number(),
        target: crash.target,
        age: crash.age.millis(),
    };
    lock(&state.crashes).known_crashes(state.clock.now()).into_iter().map(entry).collect()
}

/// Adds the crashes that the node on `vm` knows.
pub(crate) fn learn_crashes(state: &NodeState, vm: IpAddr, entries: Vec<CrashEntry>) {
    state.set_crashes_learned();
    if entries.is_empty() {
        return;
    }
    log::info!(node = vm.to_string().as_str(), crashes = entries.len(); "crashes learned");
    let known = |entry: CrashEntry| KnownCrash {
        request: RequestFingerprint::from_number(entry.request),
        target: entry.target,
        age: ClockSpan::new(entry.age),
    };
    let crashes: Vec<_> = entries.into_iter().map(known).collect();
    lock(&state.crashes).merge(state.clock.now(), &crashes);
}
