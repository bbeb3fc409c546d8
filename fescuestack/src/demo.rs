//! Demonstration of a deployment on loopback under load, with configuration changes and the replacement
//! of one target.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_questionnaire::{Answers, Artefact, Diagnostics, accept};
use fescuestack_standins::{
    LoadClass, LoadEntry, LoadPath, LoadReport, LoadSettings, RequestLedger, UpstreamSettings,
    UpstreamStandin, run_load,
};
use serde::Serialize;
use snafu::{ResultExt, Snafu};

use crate::cli::fail;
use crate::controller::wall_clock;
use crate::fleet::{DistributionKind, FleetError, LocalFleet};
use crate::measure::QuantileReport;
use crate::output::print_line;
use crate::settings::ListenSettings;

/// Questionnaire that is used without `--deployment`.
const DEFAULT_DEPLOYMENT: &str = include_str!("../../deployments/council.yaml");

/// Guaranteed time within which a version becomes active on all nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(7);

/// Number of configuration changes under load.
const CHANGE_COUNT: u32 = 5;

/// Number of internal calls for each external call.
const INTERNAL_CALL_RATIO: f64 = 0.3;

/// Time between the stop of a target and the start of its replacement.
const REPLACEMENT_TIME: Duration = Duration::from_millis(500);

/// Settings of a demonstration.
#[derive(Debug, Clone, clap::Args)]
pub(crate) struct DemoSettings {
    /// Questionnaire of the deployment. Defaults to the council deployment.
    #[arg(long)]
    deployment: Option<PathBuf>,
    /// External calls per second over all nodes.
    #[arg(long, default_value_t = 150.0)]
    rate: f64,
    /// Length of the load, in seconds.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(8..=300))]
    seconds: u64,
    /// Seed of the load and of the upstreams.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Snafu)]
enum DemoError {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("{source}"))]
    Answers { source: Diagnostics },
    #[snafu(context(false), display("{source}"))]
    Fleet { source: FleetError },
    #[snafu(display("cannot start upstream {name}: {source}"))]
    Upstream { name: String, source: std::io::Error },
}

#[derive(Debug, Serialize)]
struct DemoReport {
    deployment: String,
    nodes: usize,
    versions: u64,
    convergence_ms: QuantileReport,
    control_bytes_per_node_per_s: f64,
    calls: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    gave_up: u64,
    broken: u64,
    duplicates: u64,
    lost: u64,
    cut_off: u64,
    violations: u64,
}

impl DemoSettings {
    /// Runs the demonstration. The exit code is 1 if a guarantee was violated.
    pub(crate) fn run(self) -> ExitCode {
        let _logger =
            match crate::logging::start_logging("error", crate::logging::LogStream::Errors) {
                Ok(handle) => handle,
                Err(err) => return fail(&err),
            };
        match task::block_on(self.run_demo()) {
            Ok(report) => {
                print_line!("{}", serde_json::to_string(&report).unwrap_or_default());
                match report.duplicates + report.lost + report.cut_off + report.violations {
                    0 => ExitCode::SUCCESS,
                    _ => ExitCode::FAILURE,
                }
            }
            Err(err) => fail(&err),
        }
    }

    fn read_answers(&self) -> Result<Answers, DemoError> {
        let Some(path) = &self.deployment else {
            return Answers::parse("council.yaml", DEFAULT_DEPLOYMENT).context(AnswersSnafu);
        };
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        Answers::parse(&path.display().to_string(), &text).context(AnswersSnafu)
    }

    async fn run_demo(&self) -> Result<DemoReport, DemoError> {
        let mut answers = self.read_answers()?;
        let artefact = accept(&answers, None).context(AnswersSnafu)?;
        let deployment = answers.deployment.value.clone();
        print_line!("{deployment}: accepted {}", version_label(&artefact));

        let link_delay = Duration::from_millis(answers.link_delay_ms.value);
        let mut fleet = LocalFleet::new(&artefact, DistributionKind::Trees, link_delay).await?;
        let ledger = Arc::new(RequestLedger::new());
        let mut upstreams = Vec::new();
        for index in 0..fleet.targets.len() {
            upstreams.push(self.start_upstream(&fleet, index, &ledger).await?);
        }
        let published = fleet.publish(&artefact);
        fleet.start().await?;
        let count = fleet.nodes.len();
        let times = fleet.wait_for_version(1, published, count, CONVERGENCE_TIMEOUT).await?;
        print_line!(
            "{count} nodes started, version 1 active on all after {} ms",
            times.slowest_ms()
        );

        let (load, internal) = (self.load_settings(&fleet), self.internal_load_settings(&fleet));
        print_line!(
            "{} classes of calls, {} calls/s for {} s",
            load.classes.len() + internal.classes.len(),
            self.rate,
            self.seconds
        );
        let sent_before: u64 = fleet.nodes.iter().map(|node| node.link_usage().sent_bytes()).sum();
        let load_start = Instant::now();
        let load_ledger = ledger.clone();
        let running = task::spawn(async move {
            let outside = run_load(load, Some(&*load_ledger));
            let inside = run_load(internal, Some(&*load_ledger));
            futures_lite::future::zip(outside, inside).await
        });

        let mut convergence = Vec::new();
        let mut artefact = artefact;
        let pause = Duration::from_secs(self.seconds) / (CHANGE_COUNT + 3);
        for change in 0..CHANGE_COUNT {
            task::sleep(pause).await;
            change_answers(&mut answers, change);
            artefact = accept(&answers, Some(&artefact)).context(AnswersSnafu)?;
            let published = fleet.publish(&artefact);
            let number = u64::from(change) + 2;
            let times =
                fleet.wait_for_version(number, published, count, CONVERGENCE_TIMEOUT).await?;
            print_line!("version {number} active on all nodes after {} ms", times.slowest_ms());
            convergence.extend(times.node_delays);
        }
        let seconds = load_start.elapsed().as_secs_f64();
        let sent: u64 = fleet.nodes.iter().map(|node| node.link_usage().sent_bytes()).sum();
        let cut_off = self.replace_target(&mut fleet, &upstreams).await?;

        let (mut report, internal) = running.await;
        report.violations += internal.violations;
        report.classes.extend(internal.classes);
        let regressions = fleet.version_regressions();
        fleet.stop().await;
        print_table(&report);
        let summary = DemoReport {
            deployment,
            nodes: count,
            versions: u64::from(CHANGE_COUNT) + 1,
            convergence_ms: QuantileReport::new(convergence),
            control_bytes_per_node_per_s: ((sent - sent_before) as f64 / seconds / count as f64)
                .round(),
            calls: sum_classes(&report, |class| class.offered),
            answered: sum_classes(&report, |class| class.answered + class.answered_resent),
            not_run: sum_classes(&report, |class| class.not_run),
            unknown: sum_classes(&report, |class| class.unknown),
            gave_up: sum_classes(&report, |class| class.gave_up),
            broken: sum_classes(&report, |class| class.broken),
            duplicates: sum_classes(&report, |class| class.ledger.unwrap_or_default().duplicates),
            lost: sum_classes(&report, |class| class.ledger.unwrap_or_default().lost),
            cut_off: sum_classes(&report, |class| class.ledger.unwrap_or_default().cut_off)
                + cut_off as u64,
            violations: report.violations + regressions,
        };
        Ok(summary)
    }

    async fn start_upstream(
        &self,
        fleet: &LocalFleet,
        index: usize,
        ledger: &Arc<RequestLedger>,
    ) -> Result<UpstreamStandin, DemoError> {
        let target = &fleet.targets[index];
        let name = target.name.to_string();
        let mut settings = UpstreamSettings::new(&name, self.seed + index as u64);
        settings.address = target.upstream;
        if let Some(service) = fleet.service_of(&name) {
            settings = settings.with_service(&service.part);
        }
        UpstreamStandin::start(settings, ledger.clone()).await.context(UpstreamSnafu { name })
    }

    /// Returns the load of external calls to the caller ports.
    fn load_settings(&self, fleet: &LocalFleet) -> LoadSettings {
        let classes = LoadClass::from_snapshot(fleet.initial_snapshot(), wall_clock(), false);
        self.build_load(fleet, "caller", self.rate, classes, |listen| listen.caller)
    }

    /// Returns the load of calls between services to the local ports. Excludes classes that external
    /// callers use as well.
    fn internal_load_settings(&self, fleet: &LocalFleet) -> LoadSettings {
        let outside = LoadClass::from_snapshot(fleet.initial_snapshot(), wall_clock(), false);
        let mut classes = LoadClass::from_snapshot(fleet.initial_snapshot(), wall_clock(), true);
        classes.retain(|class| outside.iter().all(|other| other.label != class.label));
        let rate = self.rate * INTERNAL_CALL_RATIO;
        self.build_load(fleet, "local", rate, classes, |listen| listen.local)
    }

    fn build_load(
        &self,
        fleet: &LocalFleet,
        label: &str,
        rate: f64,
        classes: Vec<LoadClass>,
        port: impl Fn(ListenSettings) -> SocketAddr,
    ) -> LoadSettings {
        let entry =
            |index: usize| LoadEntry { service: None, address: port(fleet.settings(index).listen) };
        let entries = (0..fleet.targets.len()).map(entry).collect();
        let mut load = LoadSettings::new(self.seed, rate, self.seconds * 1_000);
        load.paths = vec![LoadPath { label: label.to_owned(), weight: 1.0, entries }];
        load.classes = classes;
        load
    }

    /// Stops the node and the upstream of the last target gracefully and starts both again, as when a VM is
    /// replaced. Returns the number of calls that the node aborted.
    async fn replace_target(
        &self,
        fleet: &mut LocalFleet,
        upstreams: &[UpstreamStandin],
    ) -> Result<usize, DemoError> {
        let index = fleet.targets.len() - 1;
        let name = fleet.targets[index].name.clone();
        let Some(node) = fleet.nodes.pop() else { return Ok(0) };
        let upstream = &upstreams[index];
        let started = Instant::now();
        let cut_off = node.stop().await;
        upstream.drain().await;
        print_line!("{name} stopped gracefully in {} ms", started.elapsed().as_millis());
        task::sleep(REPLACEMENT_TIME).await;
        upstream.restart().await.context(UpstreamSnafu { name: &*name })?;
        let replacement = fleet.start_node(index).await?;
        fleet.nodes.push(replacement);
        print_line!("{name} restarted");
        Ok(cut_off)
    }
}

fn version_label(artefact: &Artefact) -> String {
    match artefact.version() {
        Ok(version) => format!("version {version}"),
        Err(fault) => fault.to_string(),
    }
}

/// Changes the queue limit of one service. The third change reduces the slots of its targets as well.
fn change_answers(answers: &mut Answers, change: u32) {
    let services = &mut answers.services.value;
    let index = change as usize % services.len();
    let service = &mut services[index];
    service.queue_limit.value += 1;
    if change == 2 {
        for series in &mut service.target_series.value {
            series.slots.value -= 1;
        }
    }
}

fn sum_classes(
    report: &LoadReport,
    count: impl Fn(&fescuestack_standins::ClassReport) -> u64,
) -> u64 {
    report.classes.iter().map(count).sum()
}

fn print_table(report: &LoadReport) {
    print_line!(
        "{:<52} {:>7} {:>8} {:>7} {:>7} {:>6} {:>8} {:>8}",
        "class",
        "offered",
        "answered",
        "not run",
        "unknown",
        "other",
        "p50 ms",
        "p99 ms"
    );
    for class in &report.classes {
        let answered = class.answered + class.answered_resent;
        print_line!(
            "{:<52} {:>7} {:>8} {:>7} {:>7} {:>6} {:>8.1} {:>8.1}",
            class.class,
            class.offered,
            answered,
            class.not_run,
            class.unknown,
            class.offered - answered - class.not_run - class.unknown,
            class.latency.p50_us as f64 / 1_000.0,
            class.latency.p99_us as f64 / 1_000.0,
        );
    }
}
