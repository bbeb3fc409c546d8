//! A deterministic network of control states: a queue of messages with delay, loss, cut and silent
//! links, paused and dead nodes, and a platform that can fail.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod publisher;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use fescuestack_core::{
    ClockTime, ControlAction, ControlInput, ControlSettings, ControlState, ControlStatus,
    MemberState, PeerAddress, PeerMessage, VersionId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

pub use publisher::FakePlatform;

/// Start of the simulated time, well after the epoch so that incarnations are realistic.
pub const START_MS: u64 = 1_700_000_000_000;

/// Framing of a message on a link, in bytes.
const FRAMING_BYTES: usize = 14;

#[derive(Debug, Clone, PartialEq, Eq)]
enum NetworkEvent {
    Tick(usize, u32),
    Input(usize, u32, ControlInput),
    Message { from: usize, to: usize, message: PeerMessage },
}

pub struct FakeNode {
    pub address: PeerAddress,
    pub state: Option<ControlState>,
    pub seeds: Vec<PeerAddress>,
    /// Number of the process; inputs for an earlier one are dropped.
    pub life: u32,
    pub installed: VersionId,
    pub paused: bool,
    /// Whether the whole VM is gone, so that nothing refuses connections.
    pub vm_gone: bool,
    pub bytes: u64,
    pub pushes: u64,
    pub liveness: BTreeMap<String, MemberState>,
    pub quarantined: Vec<u64>,
    backlog: Vec<NetworkEvent>,
}

pub struct FakeNetwork {
    pub now: u64,
    pub nodes: Vec<FakeNode>,
    pub platform: FakePlatform,
    /// Lost messages in 1,000.
    pub loss: u32,
    pub duplicates: u32,
    /// Directed links that carry nothing until the sender resets them.
    pub silent: BTreeSet<(usize, usize)>,
    /// Data centres that reach each other only if they have the same number.
    pub side: BTreeMap<String, u8>,
    pub link_delay: u64,
    pub counted_resets: u64,
    rng: Pcg32,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), NetworkEvent>,
    order: u64,
    index: BTreeMap<String, usize>,
}

pub fn address(data_centre: &str, number: usize) -> PeerAddress {
    let control = format!("127.0.0.1:{}", 10_000 + number).parse().unwrap();
    let name = format!("{data_centre}-{number}").into();
    PeerAddress { name, data_centre: data_centre.into(), control }
}

impl FakeNetwork {
    /// `sizes` gives the nodes of each data centre. Each node knows three seeds.
    pub fn new(sizes: &[(&str, usize)], seed: u64) -> FakeNetwork {
        let mut addresses = Vec::new();
        for (data_centre, size) in sizes {
            let first = addresses.len();
            addresses.extend((first..first + size).map(|number| address(data_centre, number)));
        }
        let mut network = FakeNetwork {
            now: START_MS,
            platform: FakePlatform::new(&addresses),
            nodes: Vec::new(),
            loss: 0,
            duplicates: 0,
            silent: BTreeSet::new(),
            side: BTreeMap::new(),
            link_delay: 5,
            counted_resets: 0,
            rng: Pcg32::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            order: 0,
            index: addresses.iter().enumerate().map(|(i, a)| (a.name.to_string(), i)).collect(),
        };
        for (index, address) in addresses.iter().enumerate() {
            // The next nodes of the own data centre and the first of another one, so that the
            // graph of seeds is connected but sparse.
            let own: Vec<&PeerAddress> =
                addresses.iter().filter(|a| a.data_centre == address.data_centre).collect();
            let place = own.iter().position(|a| a.name == address.name).unwrap();
            let near = [1, 7].map(|step| own[(place + step) % own.len()].clone());
            let other = addresses.iter().find(|a| a.data_centre != address.data_centre);
            let seeds = near.into_iter().chain(other.cloned()).collect();
            network.nodes.push(FakeNode {
                address: address.clone(),
                state: None,
                seeds,
                life: 0,
                installed: VersionId::NONE,
                paused: false,
                vm_gone: false,
                bytes: 0,
                pushes: 0,
                liveness: BTreeMap::new(),
                quarantined: Vec::new(),
                backlog: Vec::new(),
            });
            network.start(index);
        }
        network
    }

    pub fn random(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    /// Starts a process on a node, with nothing kept from an earlier one.
    pub fn start(&mut self, index: usize) {
        let seed = self.rng.next_u64();
        let node = &mut self.nodes[index];
        let settings = ControlSettings { node: node.address.clone(), seeds: node.seeds.clone() };
        node.state = Some(ControlState::new(settings, seed));
        node.life += 1;
        node.installed = VersionId::NONE;
        node.liveness.clear();
        node.vm_gone = false;
        let (life, phase) = (node.life, self.random(100));
        self.push(phase, NetworkEvent::Tick(index, life));
    }

    /// Ends the process. Without the VM, nothing refuses connections any more.
    pub fn kill(&mut self, index: usize, vm_gone: bool) {
        self.nodes[index].state = None;
        self.nodes[index].vm_gone = vm_gone;
        self.platform.forget(index);
        let address = self.nodes[index].address.clone();
        if !vm_gone {
            for other in 0..self.nodes.len() {
                let input = ControlInput::LinkLost { peer: address.clone() };
                self.push_input(1, other, input);
            }
        }
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        let life = self.nodes[index].life;
        for event in std::mem::take(&mut self.nodes[index].backlog) {
            self.push(0, event);
        }
        self.push(0, NetworkEvent::Tick(index, life));
    }

    pub fn input(&mut self, index: usize, input: ControlInput) {
        self.push_input(0, index, input);
        self.run(0);
    }

    pub fn status(&self, index: usize) -> ControlStatus {
        self.nodes[index].state.as_ref().expect("the node runs").status()
    }

    pub fn live(&self) -> Vec<usize> {
        let runs = |index: &usize| self.nodes[*index].state.is_some();
        (0..self.nodes.len()).filter(runs).collect()
    }

    /// Runs until all live nodes have installed `version`; the time taken, in ms.
    pub fn run_until_installed(&mut self, version: VersionId, limit_ms: u64) -> u64 {
        let begin = self.now;
        loop {
            let behind = |index: &usize| self.nodes[*index].installed < version;
            let late: Vec<usize> = self.live().into_iter().filter(behind).collect();
            if late.is_empty() {
                return self.now - begin;
            }
            let waited = self.now - begin;
            assert!(
                waited <= limit_ms,
                "I9: {} nodes lack {version} after {waited} ms, {} has {:?}",
                late.len(),
                self.nodes[late[0]].address.name,
                self.status(late[0]),
            );
            self.run(50);
        }
    }

    /// Runs for `span_ms`.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while let Some(&Reverse(key)) = self.queue.peek() {
            if key.0 > end {
                break;
            }
            self.queue.pop();
            self.now = key.0;
            let event = self.events.remove(&key).expect("queued events are stored");
            self.deliver(event);
        }
        self.now = end;
    }

    fn push(&mut self, delay: u64, event: NetworkEvent) {
        self.order += 1;
        let key = (self.now + delay, self.order);
        self.queue.push(Reverse(key));
        self.events.insert(key, event);
    }

    fn push_input(&mut self, delay: u64, index: usize, input: ControlInput) {
        let life = self.nodes[index].life;
        self.push(delay, NetworkEvent::Input(index, life, input));
    }

    fn deliver(&mut self, event: NetworkEvent) {
        let (index, life, input) = match &event {
            NetworkEvent::Tick(index, life) => (*index, *life, ControlInput::Tick),
            NetworkEvent::Input(index, life, input) => (*index, *life, input.clone()),
            NetworkEvent::Message { from, to, message } => {
                let from = self.nodes[*from].address.clone();
                let input = ControlInput::Peer { from, message: message.clone() };
                (*to, self.nodes[*to].life, input)
            }
        };
        if self.nodes[index].state.is_none() || self.nodes[index].life != life {
            return;
        }
        if self.nodes[index].paused {
            if !matches!(event, NetworkEvent::Tick(..)) {
                self.nodes[index].backlog.push(event);
            }
            return;
        }
        let tick = matches!(input, ControlInput::Tick);
        self.handle(index, input);
        if tick {
            self.push(100, NetworkEvent::Tick(index, life));
        }
    }

    fn handle(&mut self, index: usize, input: ControlInput) {
        let mut actions = Vec::new();
        let now = ClockTime::new(self.now);
        self.nodes[index].state.as_mut().unwrap().handle(now, input, &mut actions);
        for action in actions {
            self.act(index, action);
        }
        for (node, delay, input) in self.platform.take_answers(self.now) {
            self.push_input(delay, node, input);
        }
    }

    fn act(&mut self, index: usize, action: ControlAction) {
        match action {
            ControlAction::Send { to, message } => self.send(index, &to, message),
            ControlAction::ResetLink { peer } => {
                self.counted_resets += 1;
                if let Some(&to) = self.index.get(&*peer.name) {
                    self.silent.remove(&(index, to));
                }
            }
            ControlAction::Install(snapshot) => {
                let node = &mut self.nodes[index];
                let version = snapshot.version();
                assert!(version > node.installed, "I1: {} reverts", node.address.name);
                publisher::check_snapshot(&snapshot);
                self.platform.check_applied(version);
                node.installed = version;
            }
            ControlAction::Liveness { name, state } => {
                self.nodes[index].liveness.insert(name.to_string(), state);
            }
            ControlAction::Quarantine { fingerprints } => {
                self.nodes[index].quarantined = fingerprints;
            }
            ControlAction::WatchHead { after } => self.platform.watch_head(self.now, index, after),
            ControlAction::WatchVms { after } => self.platform.watch_vms(self.now, index, after),
            ControlAction::ReadValue { key } => self.platform.read(self.now, index, key),
        }
    }

    fn send(&mut self, from: usize, to: &PeerAddress, message: PeerMessage) {
        let length = postcard::to_stdvec(&message).expect("messages can be encoded").len();
        self.nodes[from].bytes += (length + FRAMING_BYTES) as u64;
        self.nodes[from].pushes += u64::from(matches!(message, PeerMessage::Push { .. }));
        let Some(&to) = self.index.get(&*to.name) else { return };
        if self.nodes[to].state.is_none() {
            if !self.nodes[to].vm_gone {
                let peer = self.nodes[to].address.clone();
                self.push_input(1, from, ControlInput::LinkLost { peer });
            }
            return;
        }
        let centre = |index: usize| self.nodes[index].address.data_centre.to_string();
        let side = |index: usize| self.side.get(&centre(index)).copied().unwrap_or(0);
        let foreign = centre(from) != centre(to);
        if side(from) != side(to) || self.silent.contains(&(from, to)) {
            return;
        }
        let copies = 1 + u64::from(self.random(1_000) < u64::from(self.duplicates));
        for _ in 0..copies {
            if self.random(1_000) < u64::from(self.loss) {
                continue;
            }
            let base = if foreign { self.link_delay } else { 1 };
            let delay = base + self.random(base + 1);
            self.push(delay, NetworkEvent::Message { from, to, message: message.clone() });
        }
    }
}
