//! Measurement of the latency that two nodes add to a call, compared with direct calls in the same run.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use fescuestack_core::{RouteKind, TargetEntry};
use fescuestack_questionnaire::{Answers, FleetSize, accept, generate_fleet};
use fescuestack_standins::{
    LoadClass, MeasureReport, MeasureSettings, RequestLedger, UpstreamSettings, UpstreamStandin,
    measure_calls,
};
use serde::Serialize;

use crate::cli::fail;
use crate::controller::wall_clock;
use crate::fleet::{DistributionKind, FleetError, LocalFleet};
use crate::output::print_line;
use crate::usage::ProcessUsage;

/// Time limit for the first version to become active on all nodes.
const START_TIMEOUT: Duration = Duration::from_secs(7);

/// Time before the load in which nodes open connections and estimate service times.
const WARM_UP_TIME: Duration = Duration::from_secs(1);

/// Base port of the measured upstreams. The ports of their nodes follow it.
const FIRST_PORT: u16 = 21_000;

/// Settings of a call measurement.
#[derive(Debug, Clone, clap::Args)]
pub(crate) struct CallMeasurement {
    /// Calls per second through the nodes. The same number goes directly to the upstreams.
    #[arg(long, default_value_t = 240.0)]
    rate: f64,
    /// Length of the load, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of nodes that receive calls from callers. The called upstreams have the same number of
    /// nodes.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=32))]
    entries: u32,
    /// Kind of the called route.
    #[arg(long, value_enum, default_value = "lookup")]
    kind: CalledKind,
    /// Mean service time of a lookup, in microseconds.
    #[arg(long, default_value_t = 2_000)]
    lookup_us: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum CalledKind {
    Lookup,
    Submit,
}

#[derive(Debug, Serialize)]
struct CallReport {
    nodes: usize,
    calls_per_s_per_node: f64,
    processor_us_per_call: f64,
    #[serde(flatten)]
    measured: MeasureReport,
}

impl CallMeasurement {
    /// Runs the measurement. The last line of output is a JSON object.
    pub(crate) fn run(self) -> ExitCode {
        match task::block_on(self.measure()) {
            Ok(report) => {
                print_line!("{}", serde_json::to_string(&report).unwrap_or_default());
                ExitCode::SUCCESS
            }
            Err(err) => fail(&err),
        }
    }

    async fn measure(&self) -> Result<CallReport, FleetError> {
        let artefact = accept(&self.generate_answers(), None).expect("generated answers are valid");
        let mut fleet = LocalFleet::new(&artefact, DistributionKind::Trees, Duration::ZERO).await?;
        let called_targets: Vec<TargetEntry> = match fleet.initial_snapshot().service("service-1") {
            Some(view) => view.targets.clone(),
            None => Vec::new(),
        };
        let ledger = Arc::new(RequestLedger::new());
        let mut upstreams = Vec::new();
        for (index, target) in called_targets.iter().enumerate() {
            upstreams.push(self.start_upstream(&fleet, target, index as u64, &ledger).await?);
        }
        let published = fleet.publish(&artefact);
        fleet.start().await?;
        fleet.wait_for_version(1, published, fleet.nodes.len(), START_TIMEOUT).await?;
        task::sleep(WARM_UP_TIME).await;

        let is_entry = |index: &usize| {
            called_targets.iter().all(|target| target.name != fleet.targets[*index].name)
        };
        let entries: Vec<_> = (0..fleet.targets.len())
            .filter(is_entry)
            .map(|index| fleet.settings(index).listen.caller)
            .collect();
        let entry_count = entries.len() as f64;
        let settings = MeasureSettings {
            seed: self.seed,
            rate: 2.0 * self.rate,
            seconds: self.seconds,
            entries,
            upstreams: called_targets
                .iter()
                .map(|target| ("service-1".to_owned(), target.upstream))
                .collect(),
            classes: self.classes(&fleet),
        };
        let usage_before = ProcessUsage::read();
        let measured = measure_calls(settings, Some(&ledger)).await;
        let processor_time = ProcessUsage::read().processor.saturating_sub(usage_before.processor);
        let offered: u64 = measured.load.classes.iter().map(|class| class.offered).sum();
        let nodes = fleet.nodes.len();
        fleet.stop().await;
        Ok(CallReport {
            nodes,
            calls_per_s_per_node: self.rate / entry_count,
            processor_us_per_call: processor_time.as_micros() as f64 / offered.max(1) as f64,
            measured,
        })
    }

    /// Generates two services with the same number of targets. The calls enter through the nodes of the
    /// one and run on the upstreams of the other, so that each call passes through two nodes.
    fn generate_answers(&self) -> Answers {
        let size = FleetSize { services: 2, targets: 2, regions: 1, data_centres: 1 };
        let mut answers = generate_fleet(size, self.seed);
        for (number, service) in (1_u8..).zip(&mut answers.services.value) {
            for series in &mut service.target_series.value {
                series.count.value = self.entries;
                series.base.value = SocketAddr::from(([127, 32, number, 1], FIRST_PORT));
            }
        }
        answers
    }

    async fn start_upstream(
        &self,
        fleet: &LocalFleet,
        target: &TargetEntry,
        seed: u64,
        ledger: &Arc<RequestLedger>,
    ) -> Result<UpstreamStandin, FleetError> {
        let mut settings = UpstreamSettings::new(&target.name, self.seed + seed).with_warm_start();
        settings.address = target.upstream;
        settings.lookup_us = self.lookup_us;
        settings.slots = target.slots as usize;
        settings.connections = target.connections as usize * 2;
        if let Some(view) = fleet.service_of(&target.name) {
            settings = settings.with_service(&view.part);
        }
        UpstreamStandin::start(settings, ledger.clone())
            .await
            .map_err(|source| FleetError::Upstream { name: target.name.to_string(), source })
    }

    fn classes(&self, fleet: &LocalFleet) -> Vec<LoadClass> {
        let kind = match self.kind {
            CalledKind::Lookup => RouteKind::Lookup,
            CalledKind::Submit => RouteKind::Submit,
        };
        let mut classes = LoadClass::from_snapshot(fleet.initial_snapshot(), wall_clock(), false);
        classes.retain(|class| class.service == "service-1" && class.kind == kind);
        classes.truncate(1);
        for class in &mut classes {
            // With a key, calls would depend on the key window of an owner that has just started.
            class.has_key = false;
        }
        classes
    }
}
