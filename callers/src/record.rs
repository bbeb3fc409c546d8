//! Records of calls, for logs, metrics and `explain`.

use std::sync::Arc;
use std::time::Instant;

use fescuestack_core::{ClockSpan, NodeName, RequestFingerprint, ResultCode, RouteKind, VersionId};
use serde::Serialize;

/// Where a call came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallSide {
    /// From outside the mesh.
    Caller,
    /// From the upstream beside this node.
    Local,
    /// From another node.
    Relay,
}

/// What was decided about a call, or happened to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallStep {
    /// The route was found.
    Routed {
        /// Prefix of the route.
        prefix: String,
        /// Kind of the route.
        kind: RouteKind,
    },
    /// The time left was determined.
    Left {
        /// The time left.
        left: ClockSpan,
    },
    /// A target was chosen and the call sent there.
    Sent {
        /// The target.
        target: NodeName,
        /// Whether it is a retry.
        retry: bool,
    },
    /// An attempt ended.
    Ended {
        /// How.
        code: ResultCode,
        /// Whether the target's node said so.
        from_target: bool,
    },
    /// Earlier owners of the key were asked.
    Asked {
        /// How many.
        owners: usize,
    },
    /// The call waited for a slot of the upstream.
    Queued,
    /// The call went to the upstream.
    Dispatched,
}

/// A step with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CallDecision {
    /// Time since the call arrived, in µs.
    pub micros: u64,
    /// What happened.
    pub step: CallStep,
}

/// What is known of a call when its answer is ready.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CallRecord {
    /// Where the call came in. A relayed call has a record at each of its two nodes.
    pub side: CallSide,
    /// Identity of the request.
    pub request: Arc<str>,
    /// Tenant of the caller; empty when the call was refused before it was known.
    pub tenant: String,
    /// Class of the caller.
    pub class: String,
    /// Name of the service.
    pub service: String,
    /// Kind of the route, if one was found.
    pub kind: Option<RouteKind>,
    /// Version that the call was routed by.
    pub version: VersionId,
    /// The steps, in order.
    pub decisions: Vec<CallDecision>,
    /// The result, or `None` when the caller went away first.
    pub code: Option<ResultCode>,
    /// What happened, when the code says less.
    pub cause: Option<ResultCode>,
    /// Time from the arrival to the head of the answer, in µs.
    pub elapsed_micros: u64,
}

/// Told of what happens to calls. The methods are called on the path of the calls and must not wait.
pub trait CallObserver: Send + Sync + 'static {
    /// A call has ended.
    fn call_ended(&self, record: CallRecord);

    /// The upstream died while these requests were running.
    fn upstream_died(&self, running: Vec<RequestFingerprint>);

    /// A request that was reported by `upstream_died` ran to its end.
    fn run_completed(&self, fingerprint: RequestFingerprint);
}

/// The record of a call in progress. It is reported when it is dropped.
pub(crate) struct CallTrace {
    pub(crate) record: CallRecord,
    started: Instant,
    observer: Arc<dyn CallObserver>,
}

impl CallTrace {
    pub(crate) fn new(
        side: CallSide,
        request: Arc<str>,
        observer: Arc<dyn CallObserver>,
    ) -> CallTrace {
        let record = CallRecord {
            side,
            request,
            tenant: String::new(),
            class: String::new(),
            service: String::new(),
            kind: None,
            version: VersionId::NONE,
            decisions: Vec::with_capacity(6),
            code: None,
            cause: None,
            elapsed_micros: 0,
        };
        CallTrace { record, started: Instant::now(), observer }
    }

    pub(crate) fn push(&mut self, step: CallStep) {
        let micros = self.elapsed_micros();
        self.record.decisions.push(CallDecision { micros, step });
    }

    pub(crate) fn set_class(&mut self, label: &str) {
        let (tenant, class) = label.split_once('/').unwrap_or(("", label));
        self.record.tenant = tenant.to_owned();
        self.record.class = class.to_owned();
    }

    fn elapsed_micros(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

impl Drop for CallTrace {
    fn drop(&mut self) {
        self.record.elapsed_micros = self.elapsed_micros();
        let empty = CallRecord {
            decisions: Vec::new(),
            request: self.record.request.clone(),
            tenant: String::new(),
            class: String::new(),
            service: String::new(),
            ..self.record
        };
        self.observer.call_ended(std::mem::replace(&mut self.record, empty));
    }
}
