//! Real node processes with their targets and the store, and the faults that act on them.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_platform_standin::{
    ApplicationMode, CONFIG_KEY, DEFAULT_MEMORY_MB, RouteEntry, SettingsEntry, StandinApplication,
    StandinStore, StoreMode, TargetRecord, config_value, free_ports, target_key,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::HOST;
use crate::faults::{SoakFault, end_copies};
use crate::node_process::NodeProcess;

/// Services of the targets. Every third target has the second one.
const SERVICES: [&str; 2] = ["alpha", "beta"];

/// Processing time of targets without a fault.
const PROCESSING_TIME: Duration = Duration::from_millis(20);

/// Processing time of slow targets. With the capacity below, requests wait for most of their time.
const SLOW_PROCESSING_TIME: Duration = Duration::from_millis(250);

/// Number of requests that a target runs at the same time by its entry.
const TARGET_CAPACITY: u32 = 2;

/// Time after the start of a process in which SIGHUP may still end it.
const SIGNAL_SETUP_LIMIT: Duration = Duration::from_secs(3);

/// Pause between the signals and changes of a series.
const SERIES_PAUSE: Duration = Duration::from_millis(30);

/// Bandwidths that the settings of a node may have, in Mbit/s.
const LINKS_MBPS: [f64; 3] = [200.0, 1_000.0, 2_000.0];

struct SoakNode {
    node: NodeProcess,
    service: &'static str,
    paused: bool,
    started: Instant,
    /// Whether a signal that ends the process was sent.
    end_expected: bool,
}

impl SoakNode {
    fn start(&mut self) {
        self.node.start();
        self.paused = false;
        self.started = Instant::now();
        self.end_expected = false;
    }

    fn end(&mut self, signal: &str) {
        self.end_expected = true;
        self.node.signal(signal);
    }

    fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
        self.node.signal(if paused { "-STOP" } else { "-CONT" });
    }

    fn reload(&mut self) {
        if self.started.elapsed() > SIGNAL_SETUP_LIMIT {
            self.node.signal("-HUP");
        }
    }
}

pub struct SoakFleet {
    store: StandinStore,
    nodes: Vec<SoakNode>,
    ports: [u16; 3],
    version: u64,
    pub random: Pcg64,
    started: Instant,
    /// Injected faults with their times, for reports.
    pub trace: Vec<String>,
    /// Processes that ended without a reason.
    pub violations: Vec<String>,
}

impl SoakFleet {
    pub async fn start(seed: u64, node_count: usize) -> SoakFleet {
        let store = StandinStore::start().await.expect("a free port");
        let [application_port, ports @ ..] = free_ports::<4>().expect("free ports");
        let mut fleet = SoakFleet {
            store,
            nodes: Vec::new(),
            ports,
            version: 0,
            random: Pcg64::seed_from_u64(seed),
            started: Instant::now(),
            trace: Vec::new(),
            violations: Vec::new(),
        };
        fleet.change_config([SERVICES[0]; 2]);
        for index in 0..node_count {
            let address_bytes = [(std::process::id() % 200) as u8 + 2, (seed % 250) as u8 + 1];
            let vm = IpAddr::from([127, address_bytes[0], address_bytes[1], index as u8 + 1]);
            fleet.add_node(index, SocketAddr::new(vm, application_port)).await;
        }
        fleet
    }

    async fn add_node(&mut self, index: usize, target: SocketAddr) {
        let id = format!("t{index}");
        let application = StandinApplication::start(&id, target).await.expect("a loopback address");
        application.set_processing_time(PROCESSING_TIME);
        application.add_alias(&second_id(index));
        end_copies(&application);
        let name = format!("fescuestack-soak-{}-{}.json", std::process::id(), target.ip());
        let settings = std::env::temp_dir().join(name);
        let mut node = NodeProcess::new(target.ip(), application, settings);
        node.set_binary(std::env::var_os("SOAK_BINARY").map(PathBuf::from));
        let logs = std::env::var_os("SOAK_LOGS").map(PathBuf::from);
        node.set_log(logs.map(|logs| logs.join(format!("{}.log", target.ip()))));
        let service = SERVICES[usize::from(index % 3 == 2)];
        let (paused, end_expected) = (false, false);
        let mut node = SoakNode { node, service, paused, started: Instant::now(), end_expected };
        self.write_settings(&node, 1_000.0);
        node.start();
        self.nodes.push(node);
        self.list_target(index, &id);
    }

    /// Addresses for clients.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        let port = self.ports[0];
        self.nodes.iter().map(|node| SocketAddr::new(node.node.vm, port)).collect()
    }

    pub fn targets(&self) -> impl Iterator<Item = &StandinApplication> {
        self.nodes.iter().map(|node| &node.node.application)
    }

    fn write_settings(&self, node: &SoakNode, link_mbps: f64) {
        let settings = SettingsEntry {
            vm: node.node.vm,
            ports: self.ports,
            service: node.service,
            target: node.node.application.address(),
            store: self.store.address(),
            link_mbps,
            memory_mb: DEFAULT_MEMORY_MB,
            grace_s: 4,
        };
        let text = settings.value().to_string();
        std::fs::write(&node.node.settings, text).expect("a writable directory");
    }

    /// Lists the target of a node under `id`.
    fn list_target(&self, index: usize, id: &str) {
        let node = &self.nodes[index];
        let record = TargetRecord::new(node.node.application.address(), node.service)
            .with_capacity(TARGET_CAPACITY);
        self.store.put(&target_key(id), record.value());
    }

    /// Writes a configuration in which the two routes lead to `services`.
    fn change_config(&mut self, services: [&str; 2]) {
        self.version += 1 + self.random.next_u64() % 3;
        let route = |prefix, route_type, service| RouteEntry {
            prefix,
            route_type,
            service,
            timeout: Duration::from_secs(1),
        };
        let routes = [route("/read/", "safe", services[0]), route("/pay/", "unsafe", services[1])];
        self.store.put(CONFIG_KEY, config_value(self.version, HOST, &routes));
    }

    fn choose_services(&mut self) -> [&'static str; 2] {
        [(); 2].map(|()| SERVICES[usize::from(self.random.random::<f64>() < 0.25)])
    }

    /// Injects one to three random faults at the same moment, then restarts the processes that ended.
    pub async fn inject_faults(&mut self) {
        for _ in 0..self.random.random_range(1..=3) {
            let index = self.random.next_u64() as usize % self.nodes.len();
            let fault = SoakFault::choose(&mut self.random);
            let time_ms = self.started.elapsed().as_millis();
            self.trace.push(format!("{time_ms} ms: {fault:?} at t{index}"));
            self.inject(fault, index).await;
        }
        self.restart_ended();
    }

    async fn inject(&mut self, fault: SoakFault, index: usize) {
        if let Some(mode) = fault.store_mode() {
            self.store.set_mode(mode);
        }
        let node = &mut self.nodes[index];
        fault.apply_to_target(&node.node.application, &mut self.random);
        match fault {
            SoakFault::Kill => node.end("-KILL"),
            SoakFault::Stop => node.end("-TERM"),
            SoakFault::Pause => node.set_paused(!node.paused),
            SoakFault::Reload => node.reload(),
            SoakFault::KillBesideStop => self.kill_beside_stop(index).await,
            SoakFault::StopSeries => self.stop_series(index).await,
            SoakFault::SettingsChange => self.change_settings(index),
            SoakFault::SlowTargets => self.set_processing_time(SLOW_PROCESSING_TIME),
            SoakFault::FastTargets => self.set_processing_time(PROCESSING_TIME),
            SoakFault::StoreCompaction => self.store.compact(),
            SoakFault::ConfigChange => {
                let services = self.choose_services();
                self.change_config(services);
            }
            SoakFault::ConfigSeries => self.config_series().await,
            SoakFault::SecondId | SoakFault::CopiedRefusals => {
                self.list_target(index, &second_id(index));
            }
            SoakFault::FormerId => self.list_target(index, &former_id(index)),
            SoakFault::IdsRemoved => self.remove_ids(index),
            _ => (),
        }
    }

    async fn kill_beside_stop(&mut self, index: usize) {
        let neighbour = (index + 1) % self.nodes.len();
        self.nodes[index].end("-TERM");
        task::sleep(Duration::from_millis(self.random.random_range(0..100))).await;
        self.nodes[neighbour].end("-KILL");
    }

    async fn stop_series(&mut self, first: usize) {
        let count = self.random.random_range(2..=self.nodes.len().div_ceil(2).max(2));
        for offset in 0..count {
            let index = (first + offset) % self.nodes.len();
            self.nodes[index].end("-TERM");
            task::sleep(SERIES_PAUSE).await;
        }
    }

    async fn config_series(&mut self) {
        for _ in 0..self.random.random_range(2..=5) {
            let services = self.choose_services();
            self.change_config(services);
            task::sleep(SERIES_PAUSE).await;
        }
    }

    fn change_settings(&mut self, index: usize) {
        let link_mbps = LINKS_MBPS[self.random.next_u64() as usize % LINKS_MBPS.len()];
        self.write_settings(&self.nodes[index], link_mbps);
        if self.random.random::<f64>() < 0.5 {
            self.nodes[index].reload();
        }
    }

    fn set_processing_time(&self, time: Duration) {
        self.targets().for_each(|target| target.set_processing_time(time));
    }

    fn remove_ids(&self, index: usize) {
        self.store.remove(&target_key(&second_id(index)));
        self.store.remove(&target_key(&former_id(index)));
    }

    /// Restarts the processes that have exited.
    pub fn restart_ended(&mut self) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !node.node.has_ended() {
                continue;
            }
            if !node.end_expected {
                let time_ms = self.started.elapsed().as_millis();
                self.violations.push(format!("{time_ms} ms: the node of t{index} ended by itself"));
            }
            node.start();
        }
    }

    /// Clears all faults.
    pub fn clear_faults(&mut self) {
        self.store.set_mode(StoreMode::Healthy);
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            node.set_paused(false);
            let target = &node.node.application;
            target.set_mode(ApplicationMode::Serve);
            end_copies(target);
            self.remove_ids(index);
        }
        self.set_processing_time(PROCESSING_TIME);
        self.change_config([SERVICES[0]; 2]);
        self.restart_ended();
    }
}

/// ID that the target of a node takes besides its own.
fn second_id(index: usize) -> String {
    format!("t{index}-second")
}

/// ID that the target of a node refuses.
fn former_id(index: usize) -> String {
    format!("t{index}-former")
}
