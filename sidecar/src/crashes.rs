//! Reports of ended targets between nodes: at each end and return, and to a node that has started.

use std::net::IpAddr;
use std::sync::Arc;

use async_std::task;
use bytes::Bytes;
use fescuestack_core::{ClockSpan, RequestFingerprint};
use fescuestack_http::lock;
use fescuestack_routing::{
    EndEvidence, KnownEnd, KnownOutage, MAX_REPORTED_REQUESTS, OutageNotice,
};
use http::{HeaderMap, Request, Uri};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::down::{OutageEvent, OutageObserver};
use crate::node::NodeState;
use crate::note::{CompletionNote, OutageNote};

/// When a client should retry a request that has crashed several targets.
pub(crate) const CRASHING_RETRY_AFTER: ClockSpan = ClockSpan::new(5_000);

/// The end of a target as it is sent to a node that has started.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndEntry {
    target: Arc<str>,
    /// Time since the end, in ms.
    age: u64,
    /// Numbers of the fingerprints of the requests that were at work.
    requests: Vec<u64>,
}

/// A target that is down, as it is sent to a node that has started.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OutageEntry {
    target: Arc<str>,
    started_ms: Option<u64>,
    notice: OutageNotice,
}

/// What a node knows of ended targets.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct EndKnowledge {
    ends: Vec<EndEntry>,
    outages: Vec<OutageEntry>,
}

impl EndKnowledge {
    pub(crate) fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.outages.is_empty()
    }
}

impl OutageObserver for NodeState {
    /// Takes in that this node's own target has ended or is back, and reports it to the nodes of all
    /// targets, since any of them may send calls or receive a request that crashed the target again.
    fn outage_changed(&self, event: OutageEvent) {
        let OutageEvent { target, started_ms, notice, requests, reason } = event;
        let outage = KnownOutage { target, started_ms, notice };
        let now = self.clock.now();
        lock(&self.routing).picker.record_outage(now, &outage);
        let mut reported = Vec::new();
        if notice.is_down {
            let evidence = lock(&self.crashes).record_end(now, &outage.target, &requests);
            log::info!(target = &*outage.target, reason = reason.as_str(),
                running = requests.len(), changes = notice.changes; "cannot connect to the target");
            log_suspect(&outage.target, &evidence, log::Level::Info);
            self.metrics.record_target_end();
            let most_suspect = evidence.requests.iter().take(MAX_REPORTED_REQUESTS);
            reported.extend(most_suspect.map(|(request, _)| *request));
        } else {
            log::info!(target = &*outage.target, changes = notice.changes;
                "target accepts connections again");
        }
        let note = OutageNote::new(&outage, &reported);
        self.send_to_all(|headers| note.write(headers));
    }
}

impl NodeState {
    /// Tells the nodes of all targets which suspect requests the target beside this node has completed
    /// since the last call.
    pub(crate) fn report_completions(&self) {
        let completions = lock(&self.crashes).take_unreported(self.clock.now());
        if !completions.is_empty() {
            log::debug!(requests = completions.len(); "suspect requests have completed");
            let note = CompletionNote::new(&completions);
            self.send_to_all(|headers| note.write(headers));
        }
    }

    /// Sends a message that consists of a note to the nodes of all targets.
    fn send_to_all(&self, write_note: impl Fn(&mut HeaderMap)) {
        let vms = lock(&self.routing).picker.vms();
        for vm in vms.into_iter().filter(|vm| !self.is_own_vm(*vm)) {
            let (links, address) = (self.links.clone(), self.node_address(vm));
            let mut message = Request::new(Full::new(Bytes::new()));
            *message.uri_mut() = Uri::from_static("http://node/");
            write_note(message.headers_mut());
            task::spawn(async move {
                // An unreachable node learns of an end from the reply to its next call, or when it starts.
                if let Err(err) = links.send(address, false, message).await {
                    log::debug!(node = vm.to_string().as_str(); "cannot report to the node: {err}");
                }
            });
        }
    }
}

/// Takes in which requests another node's target has completed.
pub(crate) fn record_completion_note(state: &NodeState, note: &CompletionNote) {
    let completions = note.completions(MAX_REPORTED_REQUESTS);
    lock(&state.crashes).merge_completions(state.clock.now(), &completions);
}

/// Takes in what another node reports about its target.
pub(crate) fn record_outage_note(state: &NodeState, note: &OutageNote) {
    let now = state.clock.now();
    let outage = note.outage();
    lock(&state.routing).picker.record_outage(now, &outage);
    if !note.notice.is_down {
        return;
    }
    let requests = note.requests(MAX_REPORTED_REQUESTS);
    let evidence = lock(&state.crashes).record_end(now, &outage.target, &requests);
    // The node beside the target has logged the end.
    if evidence.suspect().is_none() {
        log::debug!(target = &*outage.target, running = requests.len(); "end of a target reported");
    }
    let level = if evidence.quarantined > 0 { log::Level::Info } else { log::Level::Debug };
    log_suspect(&outage.target, &evidence, level);
}

fn log_suspect(target: &str, evidence: &EndEvidence, level: log::Level) {
    let Some((request, crashes)) = evidence.suspect() else { return };
    log::log!(level, target = target, hash = request.number(), crashes = crashes,
        running = evidence.requests.len(), quarantined = evidence.quarantined;
        "request crashed a target");
}

/// Returns what this node knows of ended targets.
pub(crate) fn known_ends(state: &NodeState) -> EndKnowledge {
    let now = state.clock.now();
    let end = |end: KnownEnd| EndEntry {
        target: end.target,
        age: end.age.millis(),
        requests: end.requests.iter().map(|request| request.number()).collect(),
    };
    let outage = |outage: KnownOutage| {
        let KnownOutage { target, started_ms, notice } = outage;
        OutageEntry { target, started_ms, notice }
    };
    let ends = lock(&state.crashes).known_ends(now);
    let outages = lock(&state.routing).picker.known_outages(now);
    EndKnowledge {
        ends: ends.into_iter().map(end).collect(),
        outages: outages.into_iter().map(outage).collect(),
    }
}

/// Adds what the node on `vm` knows of ended targets.
pub(crate) fn learn_ends(state: &NodeState, vm: IpAddr, knowledge: EndKnowledge) {
    state.set_crashes_learned();
    if knowledge.is_empty() {
        return;
    }
    let EndKnowledge { ends, outages } = knowledge;
    log::info!(node = vm.to_string().as_str(), crashes = ends.len(), down = outages.len();
        "crashes learned");
    let now = state.clock.now();
    let end = |entry: EndEntry| KnownEnd {
        target: entry.target,
        age: ClockSpan::new(entry.age),
        requests: entry.requests.into_iter().map(RequestFingerprint::from_number).collect(),
    };
    let ends: Vec<_> = ends.into_iter().map(end).collect();
    lock(&state.crashes).merge(now, &ends);
    let picker = &mut lock(&state.routing).picker;
    for OutageEntry { target, started_ms, notice } in outages {
        picker.record_outage(now, &KnownOutage { target, started_ms, notice });
    }
}
