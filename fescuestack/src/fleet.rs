//! A complete deployment on loopback in one process, for demonstrations and measurements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::task;
use fescuestack_core::{
    ClockTime, ConfigSnapshot, NodeName, PeerAddress, ServiceView, TargetEntry, VmEntry, VmState,
};
use fescuestack_questionnaire::{Artefact, Diagnostic};
use fescuestack_standins::PlatformStandin;
use snafu::{ResultExt, Snafu};

use crate::baseline::{DistributionProtocol, FloodState, PollState};
use crate::controller::{InstallRecord, wall_clock};
use crate::node::{NodeError, NodeOptions, RunningNode};
use crate::settings::{ListenSettings, NodeSettings};
use crate::standin;

/// Number of seeds in the settings of each node.
const SEEDS_PER_NODE: usize = 3;

/// Time limit of a graceful shutdown in a local fleet, in milliseconds.
const DRAIN_MS: u64 = 10_000;

/// Distribution protocol of a local fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum DistributionKind {
    /// Tree-based distribution, the default.
    Trees,
    /// Baseline: every node polls the source once per second.
    Poll,
    /// Baseline: two nodes watch the source, and each node forwards changes to eight neighbours.
    Flood,
}

/// Error while starting or running a local fleet.
#[derive(Debug, Snafu)]
pub(crate) enum FleetError {
    #[snafu(display("cannot start the platform stand-in: {source}"))]
    Platform { source: std::io::Error },
    #[snafu(display("invalid artefact: {fault}"))]
    Artefact { fault: Diagnostic },
    #[snafu(display("node {name}: {source}"))]
    Node { name: String, source: NodeError },
    #[snafu(display("cannot start upstream {name}: {source}"))]
    Upstream { name: String, source: std::io::Error },
    #[snafu(display(
        "version {number} was active on {nodes} of {expected} nodes after {seconds} s"
    ))]
    Convergence { number: u64, nodes: usize, expected: usize, seconds: u64 },
}

/// A platform stand-in and one node for each target of a configuration.
pub(crate) struct LocalFleet {
    pub(crate) platform: PlatformStandin,
    pub(crate) nodes: Vec<RunningNode>,
    pub(crate) targets: Vec<TargetEntry>,
    install_records: Receiver<InstallRecord>,
    install_sender: Sender<InstallRecord>,
    link_delay: Duration,
    kind: DistributionKind,
    initial_snapshot: Arc<ConfigSnapshot>,
    last_versions: Mutex<HashMap<(NodeName, u64), u64>>,
    version_regressions: AtomicU64,
}

/// Delays between the publication of a version and its activation on each node.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConvergenceTimes {
    pub(crate) node_delays: Vec<Duration>,
}

impl LocalFleet {
    /// Creates a fleet with the targets of `artefact` and publishes their VM lists. Neither publishes the
    /// artefact nor starts nodes. Control messages between data centres are delayed by `link_delay`.
    pub(crate) async fn new(
        artefact: &Artefact,
        kind: DistributionKind,
        link_delay: Duration,
    ) -> Result<LocalFleet, FleetError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::new(any_port).await.context(PlatformSnafu)?;
        let snapshot = artefact.snapshot().map_err(|fault| FleetError::Artefact { fault })?;
        let mut targets: Vec<TargetEntry> =
            snapshot.services().flat_map(|service| service.targets.iter().cloned()).collect();
        targets.sort_by(|left, right| left.name.cmp(&right.name));
        let (install_sender, install_records) = async_channel::unbounded();
        let fleet = LocalFleet {
            platform,
            nodes: Vec::new(),
            targets,
            install_records,
            install_sender,
            link_delay,
            kind,
            initial_snapshot: Arc::new(snapshot),
            last_versions: Mutex::default(),
            version_regressions: AtomicU64::new(0),
        };
        fleet.publish_vm_lists(&[]);
        Ok(fleet)
    }

    /// Publishes an artefact, the head last. Returns the time of publication.
    pub(crate) fn publish(&self, artefact: &Artefact) -> Instant {
        let published = Instant::now();
        standin::publish_artefact(&self.platform, artefact);
        published
    }

    /// Publishes the VM list of each data centre. The targets named in `leaving` are marked as leaving.
    pub(crate) fn publish_vm_lists(&self, leaving: &[&str]) {
        let mut data_centres: Vec<&str> =
            self.targets.iter().map(|target| &*target.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        for data_centre in data_centres {
            let entry = |target: &TargetEntry| VmEntry {
                peer: peer_address(target),
                state: match leaving.contains(&&*target.name) {
                    true => VmState::Leaving,
                    false => VmState::Live,
                },
            };
            let local_targets =
                self.targets.iter().filter(|target| *target.data_centre == *data_centre);
            let entries: Vec<VmEntry> = local_targets.map(entry).collect();
            let content = serde_json::to_string(&entries).unwrap_or_default();
            self.platform.publish([(format!("vms/{data_centre}").as_str(), content.as_str())]);
        }
    }

    /// Starts one node for each target.
    pub(crate) async fn start(&mut self) -> Result<(), FleetError> {
        for index in 0..self.targets.len() {
            let node = self.start_node(index).await?;
            self.nodes.push(node);
        }
        Ok(())
    }

    /// Starts the node for the target at `index`.
    pub(crate) async fn start_node(&self, index: usize) -> Result<RunningNode, FleetError> {
        let settings = self.settings(index);
        let data_centre = self.targets[index].data_centre.clone();
        let delay = self.link_delay;
        let options = NodeOptions {
            link_delay: Some(Box::new(move |peer| {
                if peer.data_centre == data_centre { Duration::ZERO } else { delay }
            })),
            install_records: Some(self.install_sender.clone()),
            protocol: self.baseline_protocol(index),
        };
        let name = &settings.node;
        RunningNode::start(&settings, options).await.context(NodeSnafu { name })
    }

    fn baseline_protocol(&self, index: usize) -> Option<DistributionProtocol> {
        match self.kind {
            DistributionKind::Trees => None,
            DistributionKind::Poll => {
                // Spreads the polls of all nodes evenly over one second.
                let first_poll =
                    wall_clock().millis() + index as u64 * 1_000 / self.targets.len() as u64;
                let state =
                    PollState::new(self.initial_snapshot.clone(), ClockTime::new(first_poll));
                Some(DistributionProtocol::Poll(state))
            }
            DistributionKind::Flood => {
                let peers: Vec<PeerAddress> = self.targets.iter().map(peer_address).collect();
                let state = FloodState::new(self.initial_snapshot.clone(), &peers, index);
                Some(DistributionProtocol::Flood(state))
            }
        }
    }

    /// Returns the node settings for the target at `index`. The caller, local and operator ports follow
    /// the control port.
    pub(crate) fn settings(&self, index: usize) -> NodeSettings {
        let target = &self.targets[index];
        let port =
            |offset: u16| SocketAddr::new(target.control.ip(), target.control.port() + offset);
        let step = (self.targets.len() / SEEDS_PER_NODE).max(1);
        let seeds =
            (0..SEEDS_PER_NODE).map(|seed| &self.targets[(seed * step) % self.targets.len()]);
        NodeSettings {
            node: target.name.to_string(),
            data_centre: target.data_centre.to_string(),
            listen: ListenSettings {
                caller: port(1),
                local: port(2),
                relay: target.relay,
                control: target.control,
                operator: port(3),
            },
            platform: self.platform.address(),
            seeds: seeds.map(peer_address).collect(),
            drain_ms: DRAIN_MS,
            log: "warn".to_owned(),
        }
    }

    /// Waits until version `number` is active on `expected` nodes. Fails if that takes longer than `limit`
    /// from the time of publication.
    pub(crate) async fn wait_for_version(
        &self,
        number: u64,
        published: Instant,
        expected: usize,
        limit: Duration,
    ) -> Result<ConvergenceTimes, FleetError> {
        let mut times = ConvergenceTimes::default();
        while times.node_delays.len() < expected {
            let left = limit.saturating_sub(published.elapsed());
            match async_std::future::timeout(left, self.install_records.recv()).await {
                Ok(Ok(record)) => {
                    self.check_version_order(&record);
                    if record.number == number {
                        times.node_delays.push(record.at.saturating_duration_since(published));
                    }
                }
                Ok(Err(_)) | Err(_) => {
                    return ConvergenceSnafu {
                        number,
                        nodes: times.node_delays.len(),
                        expected,
                        seconds: limit.as_secs(),
                    }
                    .fail();
                }
            }
        }
        Ok(times)
    }

    /// Counts a regression if the version is not newer than the last one of the same node process.
    fn check_version_order(&self, record: &InstallRecord) {
        let mut last_versions = self.last_versions.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (record.node.clone(), record.process_start_ms);
        let previous = last_versions.insert(key, record.number).unwrap_or(0);
        if record.number <= previous {
            self.version_regressions.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the configuration with which the fleet was created.
    pub(crate) fn initial_snapshot(&self) -> &ConfigSnapshot {
        &self.initial_snapshot
    }

    /// Returns the service of the target called `name`.
    pub(crate) fn service_of(&self, name: &str) -> Option<&Arc<ServiceView>> {
        let has_target =
            |view: &&Arc<ServiceView>| view.targets.iter().any(|target| *target.name == *name);
        self.initial_snapshot.services().find(has_target)
    }

    /// Returns how often a node activated a version that was not newer than its previous one. Counts only
    /// records that [`LocalFleet::wait_for_version`] has received.
    pub(crate) fn version_regressions(&self) -> u64 {
        self.version_regressions.load(Ordering::Relaxed)
    }

    /// Stops all nodes concurrently.
    pub(crate) async fn stop(self) {
        let stops: Vec<_> = self.nodes.into_iter().map(|node| task::spawn(node.stop())).collect();
        for stop in stops {
            stop.await;
        }
    }
}

impl ConvergenceTimes {
    /// Returns the delay of the slowest node, in milliseconds.
    pub(crate) fn slowest_ms(&self) -> u128 {
        self.node_delays.iter().max().map_or(0, Duration::as_millis)
    }
}

/// Returns the control address of the node of a target.
pub(crate) fn peer_address(target: &TargetEntry) -> PeerAddress {
    PeerAddress {
        name: target.name.clone(),
        data_centre: target.data_centre.clone(),
        control: target.control,
    }
}
