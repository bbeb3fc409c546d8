//! Metrics of a node in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Bucket boundaries of the latency histogram, in milliseconds. They are dense around the added latency of
/// 1.3 ms and reach up to the longest patience of callers.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    0.25, 0.5, 1.0, 1.3, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 125.0, 250.0, 500.0, 1_000.0, 4_000.0,
    16_000.0,
];

/// Error of the metrics exporter or encoder.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The exporter could not be created.
    #[snafu(display("cannot create the metrics exporter: {source}"))]
    Exporter {
        /// Error of the exporter.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics could not be encoded.
    #[snafu(display("cannot encode metrics: {source}"))]
    Encode {
        /// Error of the encoder.
        source: prometheus::Error,
    },
}

/// What became of a second request for a slow call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeEvent {
    /// It was sent.
    Sent,
    /// Its answer came first.
    Won,
    /// One of the two runs was cancelled, since the other one had answered.
    Cancelled,
    /// It ended without a valid answer.
    Failed,
    /// It was not sent, for this reason.
    Held(&'static str),
}

/// Metrics of one node.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    _meter_provider: SdkMeterProvider,
    call_latency: Histogram<f64>,
    calls: Counter<u64>,
    control_bytes: Counter<u64>,
    installed_versions: Counter<u64>,
    dropped_records: Counter<u64>,
    attempts: Counter<u64>,
    run_calls: Counter<u64>,
    door_refusals: Counter<u64>,
    hedges: Counter<u64>,
    store_calls: Gauge<u64>,
    version: Gauge<u64>,
    targets: Gauge<u64>,
    target_calls: Gauge<u64>,
    target_ends: Counter<u64>,
    target_connections: Gauge<u64>,
    held_requests: Counter<u64>,
    cold_time: Gauge<u64>,
    evacuated: Gauge<u64>,
    held_bytes: Gauge<u64>,
    open_connections: Gauge<u64>,
    closed_connections: Gauge<u64>,
}

impl NodeMetrics {
    /// Creates the metrics of a node. Fails if the exporter cannot be created.
    pub fn new() -> Result<NodeMetrics, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(ExporterSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("fescuestack");
        let call_latency = meter
            .f64_histogram("fescuestack_call_latency")
            .with_unit("ms")
            .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
            .build();
        let calls = meter.u64_counter("fescuestack_calls").build();
        let control_bytes = meter.u64_counter("fescuestack_control").with_unit("By").build();
        let installed_versions = meter.u64_counter("fescuestack_versions_installed").build();
        let dropped_records = meter.u64_counter("fescuestack_records_dropped").build();
        let attempts = meter.u64_counter("fescuestack_attempts").build();
        let run_calls = meter.u64_counter("fescuestack_run_calls").build();
        let door_refusals = meter.u64_counter("fescuestack_door_refusals").build();
        // Counters are exported from their first event on, which may never come for these.
        run_calls.add(0, &[]);
        door_refusals.add(0, &[]);
        let hedges = meter.u64_counter("fescuestack_hedges").build();
        // Without hedging nothing is counted, and the metric is exported as 0.
        hedges.add(0, &[]);
        let store_calls = meter.u64_gauge("fescuestack_store_calls").build();
        let version = meter.u64_gauge("fescuestack_version").build();
        let targets = meter.u64_gauge("fescuestack_targets").build();
        let target_calls = meter.u64_gauge("fescuestack_target_calls").build();
        let target_ends = meter.u64_counter("fescuestack_target_ends").build();
        let target_connections = meter.u64_gauge("fescuestack_target_connections").build();
        let held_requests = meter.u64_counter("fescuestack_held_requests").build();
        // Exports them before the first event.
        target_ends.add(0, &[]);
        held_requests.add(0, &[]);
        let evacuated = meter.u64_gauge("fescuestack_evacuated").build();
        let cold_time = meter.u64_gauge("fescuestack_target_cold").with_unit("ms").build();
        let held_bytes = meter.u64_gauge("fescuestack_held").with_unit("By").build();
        let open_connections = meter.u64_gauge("fescuestack_connections").build();
        let closed_connections = meter.u64_gauge("fescuestack_connections_closed").build();
        let _meter_provider = provider;
        Ok(NodeMetrics {
            registry,
            _meter_provider,
            call_latency,
            calls,
            control_bytes,
            installed_versions,
            dropped_records,
            attempts,
            run_calls,
            door_refusals,
            hedges,
            store_calls,
            version,
            targets,
            target_calls,
            target_ends,
            target_connections,
            held_requests,
            cold_time,
            evacuated,
            held_bytes,
            open_connections,
            closed_connections,
        })
    }

    /// Counts a finished call and records its latency.
    pub fn record_call(&self, tenant: &str, class: &str, code: u16, elapsed: Duration) {
        let tenant = KeyValue::new("tenant", tenant.to_owned());
        let class = KeyValue::new("class", class.to_owned());
        let code = KeyValue::new("code", i64::from(code));
        self.call_latency.record(elapsed.as_secs_f64() * 1_000.0, &[tenant.clone(), class.clone()]);
        self.calls.add(1, &[tenant, class, code]);
    }

    /// Counts an attempt at a target by its result.
    pub fn record_attempt(&self, service: &str, end: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.attempts.add(1, &[service, KeyValue::new("end", end)]);
    }

    /// Counts a call to `route` that a run of `run_route` made, by its result.
    pub fn record_run_call(&self, run_route: &str, route: &str, end: &'static str) {
        let run_route = KeyValue::new("run_route", run_route.to_owned());
        let route = KeyValue::new("route", route.to_owned());
        self.run_calls.add(1, &[run_route, route, KeyValue::new("end", end)]);
    }

    /// Counts a request for `service` that was refused before it was queued or run, by its priority
    /// and the reason.
    pub fn record_door_refusal(&self, service: &str, priority: u8, reason: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        let priority = KeyValue::new("priority", i64::from(priority));
        self.door_refusals.add(1, &[service, priority, KeyValue::new("reason", reason)]);
    }

    /// Counts a second request for a slow call, or that it was not sent.
    pub fn record_hedge(&self, service: &str, event: HedgeEvent) {
        let (event, reason) = match event {
            HedgeEvent::Sent => ("sent", ""),
            HedgeEvent::Won => ("won", ""),
            HedgeEvent::Cancelled => ("cancelled", ""),
            HedgeEvent::Failed => ("failed", ""),
            HedgeEvent::Held(reason) => ("held", reason),
        };
        let service = KeyValue::new("service", service.to_owned());
        let labels = [service, KeyValue::new("event", event), KeyValue::new("reason", reason)];
        self.hedges.add(1, &labels);
    }

    /// Sets the active version, the number of known targets and the number of calls made to the store of the
    /// platform so far.
    pub fn record_node_state(&self, version: u64, targets: usize, store_calls: u64) {
        self.version.record(version, &[]);
        self.targets.record(targets as u64, &[]);
        self.store_calls.record(store_calls, &[]);
    }

    /// Sets the numbers of calls that are running at the target of the node and waiting for it.
    pub fn record_target_queue(&self, running: u32, waiting: u32) {
        self.target_calls.record(running.into(), &[KeyValue::new("state", "running")]);
        self.target_calls.record(waiting.into(), &[KeyValue::new("state", "waiting")]);
    }

    /// Counts an end of the target of the node.
    pub fn record_target_end(&self) {
        self.target_ends.add(1, &[]);
    }

    /// Sets the numbers of events on the connections to the target of the node since the start, by kind.
    pub fn record_target_connections(&self, events: &[(&'static str, u64)]) {
        for (event, count) in events {
            self.target_connections.record(*count, &[KeyValue::new("event", *event)]);
        }
    }

    /// Counts a request that was refused because it has crashed several targets.
    pub fn record_held_request(&self) {
        self.held_requests.add(1, &[]);
    }

    /// Sets the number of evacuated data centres.
    pub fn record_evacuated(&self, data_centres: usize) {
        self.evacuated.record(data_centres as u64, &[]);
    }

    /// Sets the time in ms for which the target of the node stays cold.
    pub fn record_cold_time(&self, left_ms: u64) {
        self.cold_time.record(left_ms, &[]);
    }

    /// Sets the number of bytes held for peers, of their open connections by kind, and of connections closed
    /// since the start by reason.
    pub fn record_connections(
        &self,
        held_bytes: u64,
        open: &[(&'static str, u64)],
        closed: &[(&'static str, u64)],
    ) {
        self.held_bytes.record(held_bytes, &[]);
        for (kind, count) in open {
            self.open_connections.record(*count, &[KeyValue::new("kind", *kind)]);
        }
        for (reason, count) in closed {
            self.closed_connections.record(*count, &[KeyValue::new("reason", *reason)]);
        }
    }

    /// Adds bytes of control traffic in one direction.
    pub fn record_control_bytes(&self, direction: &'static str, bytes: u64) {
        self.control_bytes.add(bytes, &[KeyValue::new("direction", direction)]);
    }

    /// Counts a version that became active.
    pub fn record_installed_version(&self) {
        self.installed_versions.add(1, &[]);
    }

    /// Counts a call record that was dropped because the queue was full.
    pub fn record_dropped_record(&self) {
        self.dropped_records.add(1, &[]);
    }

    /// Encodes all metrics in the Prometheus text format. Fails if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).context(EncodeSnafu)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
