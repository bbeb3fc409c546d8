//! Performance measurements on loopback.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use clap::Subcommand;
use fescuestack_core::SpreadPreference;
use fescuestack_questionnaire::{Answers, Artefact, FleetSize, accept, generate_fleet};
use serde::Serialize;
use serde_json::Value;

use crate::cli::fail;
use crate::fleet::{ConvergenceTimes, DistributionKind, FleetError, LocalFleet};
use crate::measure_calls::CallMeasurement;
use crate::output::print_line;
use crate::usage::ProcessUsage;

/// Seed of the generated fleet.
const FLEET_SEED: u64 = 7;

/// Time limit for a version to become active on all nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Kind of measurement.
#[derive(Debug, Subcommand)]
pub(crate) enum MeasureCommand {
    /// Measure convergence time and control traffic of configuration changes. The last line of output is a
    /// JSON object.
    Distribution(DistributionSettings),
    /// Measure the latency that two nodes add to a call. The last line of output is a JSON object.
    Calls(CallMeasurement),
}

/// Settings of a distribution measurement.
#[derive(Debug, Clone, clap::Args)]
pub(crate) struct DistributionSettings {
    /// Number of nodes, at most 250.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(2..=250))]
    nodes: u32,
    /// Optimisation goal of distribution.
    #[arg(long, value_enum, default_value = "convergence")]
    weigh: WeighOption,
    /// Number of data centres.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=13))]
    data_centres: u32,
    /// Number of configuration changes.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=1_000))]
    changes: u32,
    /// Time between changes, in milliseconds.
    #[arg(long, default_value_t = 1_160)]
    interval_ms: u64,
    /// Time before the idle phase, in seconds, in which membership information spreads.
    #[arg(long, default_value_t = 10)]
    settle_s: u64,
    /// Length of the idle phase, in seconds.
    #[arg(long, default_value_t = 10)]
    idle_s: u64,
    /// One-way delay between data centres, in milliseconds.
    #[arg(long, default_value_t = 5)]
    link_ms: u64,
    /// Publish changes at a fixed interval without waiting for convergence, as in a rollout of many
    /// changes. Convergence is then measured for the last change only.
    #[arg(long)]
    wave: bool,
    /// Distribution protocol: trees is the default, poll and flood are baselines.
    #[arg(long, value_enum, default_value = "trees")]
    kind: DistributionKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum WeighOption {
    Convergence,
    Bytes,
}

#[derive(Debug, Serialize)]
struct DistributionReport {
    nodes: u32,
    weigh: &'static str,
    kind: String,
    data_centres: u32,
    changes: u32,
    first_version_ms: u64,
    convergence_ms: QuantileReport,
    node_delay_ms: QuantileReport,
    control_bytes_per_node_per_s: f64,
    idle_bytes_per_node_per_s: f64,
    bytes_per_change_per_link: f64,
    change_bytes: u64,
    copies_per_change_per_node: f64,
    platform_calls_per_s: f64,
    platform_bytes_per_s: f64,
    idle_platform_calls_per_s: f64,
    memory_kb_per_node: u64,
    processor_share_per_node: f64,
    idle_processor_share_per_node: f64,
    open_links_per_node: f64,
}

/// Quantiles of a set of durations, in milliseconds.
#[derive(Debug, Default, Serialize)]
pub(crate) struct QuantileReport {
    p50: f64,
    p99: f64,
    max: f64,
}

impl QuantileReport {
    /// Computes the quantiles with the nearest-rank method.
    pub(crate) fn new(mut times: Vec<Duration>) -> QuantileReport {
        times.sort_unstable();
        let at = |share: f64| {
            let index = (share * times.len() as f64).ceil() as usize;
            let time = times.get(index.saturating_sub(1)).copied().unwrap_or_default();
            (time.as_secs_f64() * 10_000.0).round() / 10.0
        };
        QuantileReport { p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }
}

impl MeasureCommand {
    /// Runs the measurement and prints its report.
    pub(crate) fn run(self) -> ExitCode {
        let _logger =
            match crate::logging::start_logging("error", crate::logging::LogStream::Errors) {
                Ok(handle) => handle,
                Err(err) => return fail(&err),
            };
        match self {
            MeasureCommand::Calls(settings) => settings.run(),
            MeasureCommand::Distribution(settings) => match task::block_on(settings.measure()) {
                Ok(report) => {
                    print_line!("{}", serde_json::to_string(&report).unwrap_or_default());
                    ExitCode::SUCCESS
                }
                Err(err) => fail(&err),
            },
        }
    }
}

/// Counters of the whole fleet at one point in time.
#[derive(Debug, Clone, Copy)]
struct FleetCounters {
    at: Instant,
    sent_bytes: u64,
    cross_data_centre_bytes: u64,
    platform_calls: u64,
    platform_bytes: u64,
    usage: ProcessUsage,
}

impl FleetCounters {
    fn read(fleet: &LocalFleet) -> FleetCounters {
        let sent_bytes = fleet.nodes.iter().map(|node| node.link_usage().sent_bytes()).sum();
        let cross_data_centre_bytes =
            fleet.nodes.iter().map(|node| node.link_usage().cross_data_centre_bytes()).sum();
        let platform = fleet.platform.counters();
        FleetCounters {
            at: Instant::now(),
            sent_bytes,
            cross_data_centre_bytes,
            platform_calls: platform.calls,
            platform_bytes: platform.bytes,
            usage: ProcessUsage::read(),
        }
    }

    fn seconds_since(&self, earlier: &FleetCounters) -> f64 {
        self.at.duration_since(earlier.at).as_secs_f64()
    }

    /// Returns the processor time used since `earlier`, as a share of one processor.
    fn processor_since(&self, earlier: &FleetCounters) -> f64 {
        let used = self.usage.processor.saturating_sub(earlier.usage.processor);
        used.as_secs_f64() / self.seconds_since(earlier)
    }
}

impl DistributionSettings {
    async fn measure(&self) -> Result<DistributionReport, FleetError> {
        let mut answers = self.generate_answers();
        let mut artefact = accept_answers(&answers, None);
        let usage_before = ProcessUsage::read();
        let link_delay = Duration::from_millis(self.link_ms);
        let mut fleet = LocalFleet::new(&artefact, self.kind, link_delay).await?;
        let published = fleet.publish(&artefact);
        fleet.start().await?;
        let count = fleet.nodes.len();
        let mut first_version = ConvergenceTimes::default();
        if self.kind == DistributionKind::Trees {
            first_version =
                fleet.wait_for_version(1, published, count, CONVERGENCE_TIMEOUT).await?;
        }
        task::sleep(Duration::from_secs(self.settle_s)).await;

        let idle_start = FleetCounters::read(&fleet);
        task::sleep(Duration::from_secs(self.idle_s)).await;
        let idle_end = FleetCounters::read(&fleet);

        let received_copies_before = self.received_copies(&fleet).await;
        let busy_start = FleetCounters::read(&fleet);
        let mut convergence = Vec::new();
        let mut delays = Vec::new();
        let mut change_bytes = 0;
        for change in 0..self.changes {
            change_queue_limit(&mut answers, change);
            artefact = accept_answers(&answers, Some(&artefact));
            change_bytes += delta_bytes(&artefact);
            let published = fleet.publish(&artefact);
            let number = u64::from(change) + 2;
            if !self.wave || change + 1 == self.changes {
                let times =
                    fleet.wait_for_version(number, published, count, CONVERGENCE_TIMEOUT).await?;
                convergence.extend(times.node_delays.iter().max());
                delays.extend(times.node_delays);
            }
            let pause = Duration::from_millis(self.interval_ms);
            task::sleep(pause.saturating_sub(published.elapsed())).await;
        }
        let busy_end = FleetCounters::read(&fleet);
        let received_copies = self.received_copies(&fleet).await - received_copies_before;
        let open_links: usize = fleet.nodes.iter().map(|node| node.open_links()).sum();
        fleet.stop().await;

        let per_node = |value: f64| value / count as f64;
        let idle_seconds = idle_end.seconds_since(&idle_start);
        let busy_seconds = busy_end.seconds_since(&busy_start);
        let idle_rate = (idle_end.sent_bytes - idle_start.sent_bytes) as f64 / idle_seconds;
        let busy_rate = (busy_end.sent_bytes - busy_start.sent_bytes) as f64 / busy_seconds;
        let idle_cross_rate = (idle_end.cross_data_centre_bytes
            - idle_start.cross_data_centre_bytes) as f64
            / idle_seconds;
        let change_cross_bytes = (busy_end.cross_data_centre_bytes
            - busy_start.cross_data_centre_bytes) as f64
            - idle_cross_rate * busy_seconds;
        // A change crosses one link to each data centre except the one that reads it from the platform.
        let links = f64::from((self.data_centres - 1).max(1));
        let platform_calls =
            (busy_end.platform_calls - busy_start.platform_calls) as f64 / busy_seconds;
        let platform_bytes =
            (busy_end.platform_bytes - busy_start.platform_bytes) as f64 / busy_seconds;
        let idle_platform_calls =
            (idle_end.platform_calls - idle_start.platform_calls) as f64 / idle_seconds;
        let memory_kb =
            busy_end.usage.peak_kb.saturating_sub(usage_before.resident_kb) / count as u64;
        Ok(DistributionReport {
            nodes: self.nodes,
            weigh: match self.weigh {
                WeighOption::Convergence => "convergence",
                WeighOption::Bytes => "bytes",
            },
            kind: format!("{:?}", self.kind).to_lowercase(),
            data_centres: self.data_centres,
            changes: self.changes,
            first_version_ms: first_version
                .node_delays
                .iter()
                .max()
                .map_or(0, |time| time.as_millis() as u64),
            convergence_ms: QuantileReport::new(convergence),
            node_delay_ms: QuantileReport::new(delays),
            control_bytes_per_node_per_s: round_to_hundredths(per_node(busy_rate)),
            idle_bytes_per_node_per_s: round_to_hundredths(per_node(idle_rate)),
            bytes_per_change_per_link: round_to_hundredths(
                change_cross_bytes / f64::from(self.changes) / links,
            ),
            change_bytes: change_bytes / u64::from(self.changes),
            copies_per_change_per_node: round_to_hundredths(per_node(
                received_copies / f64::from(self.changes),
            )),
            platform_calls_per_s: round_to_hundredths(platform_calls),
            platform_bytes_per_s: round_to_hundredths(platform_bytes),
            idle_platform_calls_per_s: round_to_hundredths(idle_platform_calls),
            memory_kb_per_node: memory_kb,
            processor_share_per_node: per_node(busy_end.processor_since(&busy_start)),
            idle_processor_share_per_node: per_node(idle_end.processor_since(&idle_start)),
            open_links_per_node: round_to_hundredths(per_node(open_links as f64)),
        })
    }

    fn generate_answers(&self) -> Answers {
        // Ten targets per service, as in a deployment of full size.
        let size = FleetSize {
            services: self.nodes.div_ceil(10),
            targets: self.nodes,
            regions: self.data_centres.min(6),
            data_centres: self.data_centres,
        };
        let mut answers = generate_fleet(size, FLEET_SEED);
        answers.preference.value = match self.weigh {
            WeighOption::Convergence => SpreadPreference::Convergence,
            WeighOption::Bytes => SpreadPreference::Bytes,
        };
        answers
    }

    /// Sums the copies of changes that nodes have received from other nodes.
    async fn received_copies(&self, fleet: &LocalFleet) -> f64 {
        let mut copies = 0;
        for node in &fleet.nodes {
            let status: Value = serde_json::from_str(&node.status().await).unwrap_or_default();
            let counters = status.get("counters").unwrap_or(&status);
            copies += counters["pushes_received"].as_u64().unwrap_or(0);
        }
        copies as f64
    }
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn accept_answers(answers: &Answers, previous: Option<&Artefact>) -> Artefact {
    accept(answers, previous).expect("generated answers are valid")
}

/// Changes the queue limit of one service, as an operator would.
fn change_queue_limit(answers: &mut Answers, change: u32) {
    let count = answers.services.value.len();
    let service = &mut answers.services.value[change as usize % count];
    service.queue_limit.value = 16 + change % 64;
}

/// Returns the size of the published delta, in bytes.
fn delta_bytes(artefact: &Artefact) -> u64 {
    let deltas = artefact.values.iter().filter(|(key, _)| key.starts_with("delta/"));
    deltas.map(|(_, content)| content.len() as u64).sum()
}
