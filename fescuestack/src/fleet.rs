//! A whole deployment on loopback in one process, for demonstrations and measurements.

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

use crate::baseline::{ControlPolicy, FloodState, PollState};
use crate::controller::{InstallRecord, wall_clock};
use crate::node::{NodeError, NodeOptions, NodeProcess};
use crate::settings::{ListenSettings, NodeSettings};
use crate::standin;

/// Seeds that each node is given.
const SEED_COUNT: usize = 3;

/// Bound of a graceful shutdown in a local fleet, in milliseconds.
const DRAIN_MS: u64 = 10_000;

/// How versions are distributed in a local fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum DistributionKind {
    /// The product's distribution.
    Trees,
    /// Baseline: every node polls the source each second.
    Poll,
    /// Baseline: two readers and plain flooding over eight neighbours.
    Flood,
}

/// Why a local fleet cannot run.
#[derive(Debug, Snafu)]
pub(crate) enum FleetError {
    #[snafu(display("cannot start the platform stand-in: {source}"))]
    Platform { source: std::io::Error },
    #[snafu(display("artefact is not usable: {fault}"))]
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

/// A platform stand-in and a node beside each target of a configuration.
pub(crate) struct LocalFleet {
    pub(crate) platform: PlatformStandin,
    pub(crate) nodes: Vec<NodeProcess>,
    pub(crate) targets: Vec<TargetEntry>,
    installs: Receiver<InstallRecord>,
    sender: Sender<InstallRecord>,
    link_delay: Duration,
    kind: DistributionKind,
    first: Arc<ConfigSnapshot>,
    last: Mutex<HashMap<(NodeName, u64), u64>>,
    regressions: AtomicU64,
}

/// When a version became active on each node, counted from its publication.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConvergenceTimes {
    pub(crate) nodes: Vec<Duration>,
}

impl LocalFleet {
    /// Publishes `artefact` and creates, without starting them, the nodes of its targets. The delay
    /// between data centres is added to control messages.
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
        let (sender, installs) = async_channel::unbounded();
        let fleet = LocalFleet {
            platform,
            nodes: Vec::new(),
            targets,
            installs,
            sender,
            link_delay,
            kind,
            first: Arc::new(snapshot),
            last: Mutex::default(),
            regressions: AtomicU64::new(0),
        };
        fleet.publish_vms(&[]);
        Ok(fleet)
    }

    /// Publishes an artefact, `head` last. Returns the time of publication.
    pub(crate) fn publish(&self, artefact: &Artefact) -> Instant {
        let published = Instant::now();
        standin::publish(&self.platform, artefact);
        published
    }

    /// Publishes the VM list of each data centre, in which the targets called `leaving` leave.
    pub(crate) fn publish_vms(&self, leaving: &[&str]) {
        let mut places: Vec<&str> =
            self.targets.iter().map(|target| &*target.data_centre).collect();
        places.sort_unstable();
        places.dedup();
        for place in places {
            let entry = |target: &TargetEntry| VmEntry {
                peer: peer_of(target),
                state: match leaving.contains(&&*target.name) {
                    true => VmState::Leaving,
                    false => VmState::Live,
                },
            };
            let own = self.targets.iter().filter(|target| *target.data_centre == *place);
            let entries: Vec<VmEntry> = own.map(entry).collect();
            let content = serde_json::to_string(&entries).unwrap_or_default();
            self.platform.publish([(format!("vms/{place}").as_str(), content.as_str())]);
        }
    }

    /// Starts the nodes of all targets.
    pub(crate) async fn start(&mut self) -> Result<(), FleetError> {
        for index in 0..self.targets.len() {
            let node = self.start_node(index).await?;
            self.nodes.push(node);
        }
        Ok(())
    }

    /// Starts the node of the target at `index`.
    pub(crate) async fn start_node(&self, index: usize) -> Result<NodeProcess, FleetError> {
        let settings = self.settings(index);
        let place = self.targets[index].data_centre.clone();
        let delay = self.link_delay;
        let options = NodeOptions {
            link_delay: Some(Box::new(move |peer| {
                if peer.data_centre == place { Duration::ZERO } else { delay }
            })),
            installs: Some(self.sender.clone()),
            baseline: self.baseline(index),
        };
        let name = &settings.node;
        NodeProcess::start(&settings, options).await.context(NodeSnafu { name })
    }

    fn baseline(&self, index: usize) -> Option<ControlPolicy> {
        match self.kind {
            DistributionKind::Trees => None,
            DistributionKind::Poll => {
                // Spreads the polls over a second.
                let first =
                    wall_clock().millis() + index as u64 * 1_000 / self.targets.len() as u64;
                let state = PollState::new(self.first.clone(), ClockTime::new(first));
                Some(ControlPolicy::Poll(state))
            }
            DistributionKind::Flood => {
                let peers: Vec<PeerAddress> = self.targets.iter().map(peer_of).collect();
                let state = FloodState::new(self.first.clone(), &peers, index);
                Some(ControlPolicy::Flood(state))
            }
        }
    }

    /// Settings of the node of the target at `index`. Its other ports follow the control port.
    pub(crate) fn settings(&self, index: usize) -> NodeSettings {
        let target = &self.targets[index];
        let port =
            |offset: u16| SocketAddr::new(target.control.ip(), target.control.port() + offset);
        let step = (self.targets.len() / SEED_COUNT).max(1);
        let seeds = (0..SEED_COUNT).map(|seed| &self.targets[(seed * step) % self.targets.len()]);
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
            seeds: seeds.map(peer_of).collect(),
            drain_ms: DRAIN_MS,
            log: "warn".to_owned(),
        }
    }

    /// Waits until the version with `number` is active on `expected` nodes. Fails after `limit`.
    pub(crate) async fn wait_for(
        &self,
        number: u64,
        published: Instant,
        expected: usize,
        limit: Duration,
    ) -> Result<ConvergenceTimes, FleetError> {
        let mut times = ConvergenceTimes::default();
        while times.nodes.len() < expected {
            let left = limit.saturating_sub(published.elapsed());
            match async_std::future::timeout(left, self.installs.recv()).await {
                Ok(Ok(record)) => {
                    self.check_order(&record);
                    if record.number == number {
                        times.nodes.push(record.at.saturating_duration_since(published));
                    }
                }
                Ok(Err(_)) | Err(_) => {
                    return ConvergenceSnafu {
                        number,
                        nodes: times.nodes.len(),
                        expected,
                        seconds: limit.as_secs(),
                    }
                    .fail();
                }
            }
        }
        Ok(times)
    }

    fn check_order(&self, record: &InstallRecord) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (record.node.clone(), record.run);
        let before = last.insert(key, record.number).unwrap_or(0);
        if record.number <= before {
            self.regressions.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The version that the fleet started with.
    pub(crate) fn first(&self) -> &ConfigSnapshot {
        &self.first
    }

    /// The service that the target called `name` belongs to.
    pub(crate) fn service_of(&self, name: &str) -> Option<&Arc<ServiceView>> {
        let owns =
            |view: &&Arc<ServiceView>| view.targets.iter().any(|target| *target.name == *name);
        self.first.services().find(owns)
    }

    /// How often a node made a version active that was not newer than the one it had, counted over the
    /// records that [`LocalFleet::wait_for`] has seen.
    pub(crate) fn regressions(&self) -> u64 {
        self.regressions.load(Ordering::Relaxed)
    }

    /// Stops all nodes at once.
    pub(crate) async fn stop(self) {
        let stops: Vec<_> = self.nodes.into_iter().map(|node| task::spawn(node.stop())).collect();
        for stop in stops {
            stop.await;
        }
    }
}

impl ConvergenceTimes {
    /// Time until the last node had the version, in milliseconds.
    pub(crate) fn slowest_ms(&self) -> u128 {
        self.nodes.iter().max().map_or(0, Duration::as_millis)
    }
}

/// The node beside a target.
pub(crate) fn peer_of(target: &TargetEntry) -> PeerAddress {
    PeerAddress {
        name: target.name.clone(),
        data_centre: target.data_centre.clone(),
        control: target.control,
    }
}
