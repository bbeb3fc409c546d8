//! Passes call records from the call path to logs, metrics, `explain` and the control thread.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use fescuestack_callers::{CallObserver, CallRecord};
use fescuestack_core::{CallOutcome, ControlInput, RequestFingerprint, ResultCode};
use fescuestack_operators::{NodeMetrics, RecentCalls};
use log::Level;

use crate::controller::ControlRequest;

/// Capacity of the call record queue. When it is full, records are dropped so that calls are not
/// delayed.
const RECORD_QUEUE_CAPACITY: usize = 4_096;

/// Observer of the calls of a node.
pub(crate) struct NodeObserver {
    record_sender: Sender<CallRecord>,
    control_requests: Sender<ControlRequest>,
    metrics: Arc<NodeMetrics>,
}

impl NodeObserver {
    /// Creates an observer and starts the task that logs the call records.
    pub(crate) fn new(
        control_requests: Sender<ControlRequest>,
        metrics: Arc<NodeMetrics>,
        recent_calls: Arc<RecentCalls>,
    ) -> NodeObserver {
        let (record_sender, receiver) = async_channel::bounded(RECORD_QUEUE_CAPACITY);
        task::spawn(write_records(receiver, recent_calls));
        NodeObserver { record_sender, control_requests, metrics }
    }

    fn send_to_control(&self, input: ControlInput) {
        // The message can be dropped: another crash reports the same fingerprints again.
        if self.control_requests.try_send(ControlRequest::Input(input)).is_err() {
            log::warn!("control queue is full, crash report dropped");
        }
    }
}

impl CallObserver for NodeObserver {
    fn call_ended(&self, record: CallRecord) {
        if let Some(code) = record.code {
            let elapsed = Duration::from_micros(record.elapsed_micros);
            self.metrics.record_call(&record.tenant, &record.class, code.number(), elapsed);
        }
        if self.record_sender.try_send(record).is_err() {
            self.metrics.record_dropped_record();
        }
    }

    fn upstream_died(&self, running: Vec<RequestFingerprint>) {
        let fingerprints = running.iter().map(|fingerprint| fingerprint.number()).collect();
        self.send_to_control(ControlInput::CrashSeen { fingerprints });
    }

    fn run_completed(&self, fingerprint: RequestFingerprint) {
        let fingerprints = vec![fingerprint.number()];
        self.send_to_control(ControlInput::RunsCompleted { fingerprints });
    }
}

async fn write_records(records: Receiver<CallRecord>, recent_calls: Arc<RecentCalls>) {
    while let Ok(record) = records.recv().await {
        let code = record.code.map_or(0, |code| code.number());
        let level = match record.code.and_then(ResultCode::outcome) {
            // Most calls are answered, and the latency histogram counts them.
            Some(CallOutcome::Done) => Level::Debug,
            Some(CallOutcome::NotRun | CallOutcome::Unknown) | None => Level::Info,
        };
        log::log!(
            level,
            request = &*record.request, version = record.version.to_string(), code = code,
            service = record.service.as_str(), class = record.class.as_str(),
            micros = record.elapsed_micros;
            "call ended"
        );
        let text = serde_json::to_string(&record).unwrap_or_default();
        recent_calls.insert(&record.request, text);
    }
}
