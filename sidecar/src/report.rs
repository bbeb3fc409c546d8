//! Status and decision records for operators.

use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{lock, wall_time};
use fescuestack_routing::AttemptEnd;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

use crate::entry::{EntryFault, EntryTrace};
use crate::message::{FullResponse, empty_response};
use crate::node::NodeState;

/// Path of the node's status.
pub(crate) const STATUS_PATH: &str = "/status";

/// Prefix of the paths of decision records, followed by the request id.
pub(crate) const EXPLAIN_PREFIX: &str = "/explain/";

/// Number of decision records that are kept. A record takes about 500 bytes; small VMs have 160 MB.
pub(crate) const EXPLAIN_RECORDS: usize = 1_024;

/// Returns the node's status as JSON.
pub(crate) fn status_response(state: &NodeState) -> FullResponse {
    let settings = state.settings.load();
    let routes = state.routes.load();
    let view_age = state.view_age();
    let source = match view_age {
        Some(_) if state.is_store_reader() => "store",
        Some(_) => "node",
        None => "none",
    };
    let load = state.local_target.load();
    let status = json!({
        "node": settings.node,
        "data_centre": settings.data_centre,
        "service": settings.service,
        "ready": state.is_ready(),
        "stopping": state.is_stopping(),
        "version": routes.as_ref().map(|routes| routes.version),
        "routes": routes.as_ref().map(|routes| routes.route_count()),
        "revision": lock(&state.view).position().revision,
        "era": lock(&state.view).position().era,
        "source": source,
        "source_age_ms": view_age.map(ClockSpan::millis),
        "targets": lock(&state.routing).picker.len(),
        "evacuated": lock(&state.routing).picker.evacuated_count(),
        "lost_nodes": state.links.unreachable_vms(),
        "calls": state.active_calls(),
        "target": {"running": load.running, "waiting": load.queued.total(),
            "service_ms": load.service_time.millis(),
            "cold_ms": state.local_target.cold_time_left().millis()},
    });
    json_response(&status)
}

/// Returns the decisions on a request as JSON. Responds with 404 if the request was answered at its
/// first attempt, which is not recorded, or if the record was overwritten.
pub(crate) fn explain_response(state: &NodeState, request: &str) -> FullResponse {
    match state.recent_calls.get(request) {
        Some(record) => text_response(record),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Records the decisions on a request that failed or took more than one attempt.
pub(crate) fn record_decisions(
    state: &NodeState,
    id: Option<&HeaderValue>,
    arrived: ClockTime,
    fault: Option<EntryFault>,
    trace: &EntryTrace,
) {
    if fault.is_none() && trace.attempts.len() < 2 {
        return;
    }
    let Some(id) = id.and_then(|id| id.to_str().ok()) else { return };
    let attempt = |(target, end): &(_, AttemptEnd)| {
        let retry_after = match end {
            AttemptEnd::Refused { retry_after } => Some(retry_after.millis()),
            _ => None,
        };
        json!({"target": target, "end": end.label(), "retry_after_ms": retry_after})
    };
    let route = trace.route.as_ref();
    let retry_after = match fault {
        Some(EntryFault::NotRun { retry_after }) => Some(retry_after.millis()),
        _ => None,
    };
    let record = json!({
        "request": id,
        "node": state.settings.load().node,
        "ended_ms": wall_time().millis(),
        "held_ms": state.clock.now().since(arrived).millis(),
        "fault": fault.map(EntryFault::label),
        "retry_after_ms": retry_after,
        "version": trace.version,
        "route": route.map(|route| &*route.name),
        "priority": route.map(|route| route.priority),
        "service": trace.service,
        "attempts": trace.attempts.iter().map(attempt).collect::<Vec<_>>(),
    });
    state.recent_calls.insert(id, record.to_string());
}

fn json_response(value: &Value) -> FullResponse {
    text_response(value.to_string())
}

fn text_response(text: String) -> FullResponse {
    Response::new(Full::new(text.into()))
}
