//! A deterministic network of control states: a queue of messages with delay, loss, cut and silent
//! links, paused and dead nodes, and a platform that can fail.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod node;
pub mod publisher;
pub mod scenario;

use std::collections::{BTreeMap, BTreeSet};

use fescuestack_core::{
    ClockTime, ControlAction, ControlInput, ControlRecorder, ControlSettings, ControlState,
    ControlStatus, PeerAddress, PeerMessage, VersionId,
};
use node::FakeNode;
use publisher::FakePlatform;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Start of the simulated time, well after the epoch so that incarnations are realistic.
pub const START_MS: u64 = 1_700_000_000_000;

/// Framing of a message on a link, in bytes.
const FRAMING_BYTES: usize = 14;

/// Inputs kept in a recording; more than any trace has, so that it can be replayed.
const RECORD_LIMIT: usize = 100_000;

pub struct FakeNetwork {
    pub now: u64,
    pub nodes: Vec<FakeNode>,
    pub platform: FakePlatform,
    /// Lost messages in 1,000.
    pub loss: u64,
    /// Messages that arrive twice in 1,000.
    pub twice: u64,
    /// Directed links that carry nothing until the sender resets them.
    pub silent: BTreeSet<(usize, usize)>,
    /// Directed links that carry nothing whatever is done.
    pub cut: BTreeSet<(usize, usize)>,
    /// Data centres reach each other only if they are on the same side.
    pub side: BTreeMap<String, u8>,
    /// Changes sent to each data centre from others.
    pub crossed: BTreeMap<String, u64>,
    /// One-way delay between data centres; up to as much is added at random.
    pub link_delay: u64,
    rng: Pcg32,
    queue: BTreeMap<(u64, u64), (usize, u32, ControlInput)>,
    order: u64,
    index: BTreeMap<String, usize>,
}

fn address(data_centre: &str, number: usize) -> PeerAddress {
    let control = format!("127.0.0.1:{}", 10_000 + number).parse().unwrap();
    let name = format!("{data_centre}-{number}").into();
    PeerAddress { name, data_centre: data_centre.into(), control }
}

impl FakeNetwork {
    /// `sizes` gives the nodes of each data centre. All start at once and know three seeds each.
    pub fn new(sizes: &[(&str, usize)], seed: u64) -> FakeNetwork {
        let mut addresses = Vec::new();
        for (data_centre, size) in sizes {
            let first = addresses.len();
            addresses.extend((first..first + size).map(|number| address(data_centre, number)));
        }
        let mut network = FakeNetwork {
            now: START_MS,
            platform: FakePlatform::new(&addresses),
            nodes: addresses.iter().map(|address| FakeNode::new(address, &addresses)).collect(),
            loss: 0,
            twice: 0,
            silent: BTreeSet::new(),
            cut: BTreeSet::new(),
            side: BTreeMap::new(),
            crossed: BTreeMap::new(),
            link_delay: 5,
            rng: Pcg32::seed_from_u64(seed),
            queue: BTreeMap::new(),
            order: 0,
            index: addresses.iter().enumerate().map(|(i, a)| (a.name.to_string(), i)).collect(),
        };
        (0..addresses.len()).for_each(|index| network.start(index));
        network
    }

    pub fn random(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    /// Starts a process on a node, with nothing kept from an earlier one.
    pub fn start(&mut self, index: usize) {
        let (seed, phase) = (self.rng.next_u64(), self.random(100));
        let node = &mut self.nodes[index];
        let settings = ControlSettings { node: node.address.clone(), seeds: node.seeds.clone() };
        if let Some(recorder) = &mut node.recorder {
            *recorder = ControlRecorder::new(settings.clone(), seed, RECORD_LIMIT);
        }
        node.state = Some(ControlState::new(settings, seed));
        node.life += 1;
        node.installed = VersionId::NONE;
        node.liveness.clear();
        node.vm_gone = false;
        self.push(phase, index, ControlInput::Tick);
    }

    /// Starts a node anew and records its inputs.
    pub fn record(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let settings = ControlSettings { node: node.address.clone(), seeds: Vec::new() };
        node.recorder = Some(ControlRecorder::new(settings, 0, RECORD_LIMIT));
        self.start(index);
    }

    /// Ends the process. Without the VM, nothing refuses connections any more.
    pub fn kill(&mut self, index: usize, vm_gone: bool) {
        self.nodes[index].state = None;
        self.nodes[index].vm_gone = vm_gone;
        self.platform.forget(index);
        if !vm_gone {
            let peer = self.nodes[index].address.clone();
            for other in 0..self.nodes.len() {
                self.push(1, other, ControlInput::LinkLost { peer: peer.clone() });
            }
        }
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        // A woken process may see its timers before or after what waited in its sockets.
        self.push(0, index, ControlInput::Tick);
        for input in std::mem::take(&mut self.nodes[index].backlog) {
            self.push(0, index, input);
        }
    }

    /// Delivers an input at once.
    pub fn input(&mut self, index: usize, input: ControlInput) {
        self.push(0, index, input);
        self.run(0);
    }

    pub fn status(&self, index: usize) -> ControlStatus {
        self.nodes[index].state.as_ref().expect("the node runs").status()
    }

    /// Indexes of the nodes that run.
    pub fn live(&self) -> Vec<usize> {
        let runs = |node: &FakeNode| node.state.is_some() && !node.paused && !node.isolated;
        (0..self.nodes.len()).filter(|&index| runs(&self.nodes[index])).collect()
    }

    /// Runs until all running nodes have installed `version`; gives the time taken, in ms.
    pub fn run_until_installed(&mut self, version: VersionId, limit_ms: u64) -> u64 {
        let begin = self.now;
        loop {
            let mut live = self.live().into_iter();
            let Some(late) = live.find(|&index| self.nodes[index].installed < version) else {
                return self.now - begin;
            };
            let waited = self.now - begin;
            let status = self.status(late);
            assert!(waited <= limit_ms, "I9: no {version} after {waited} ms at {status:?}");
            self.run(50);
        }
    }

    /// Runs for `span_ms`.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            let (index, life, input) = entry.remove();
            if self.nodes[index].state.is_some() && self.nodes[index].life == life {
                self.deliver(index, input);
            }
        }
        self.now = end;
    }

    fn push(&mut self, delay: u64, index: usize, input: ControlInput) {
        self.order += 1;
        let life = self.nodes[index].life;
        self.queue.insert((self.now + delay, self.order), (index, life, input));
    }

    fn deliver(&mut self, index: usize, input: ControlInput) {
        let tick = input == ControlInput::Tick;
        if self.nodes[index].paused {
            if !tick {
                self.nodes[index].backlog.push(input);
            }
            return;
        }
        if tick {
            self.push(100, index, ControlInput::Tick);
        }
        let now = ClockTime::new(self.now);
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        let state = node.state.as_mut().expect("only running nodes get inputs");
        state.handle(now, input.clone(), &mut actions);
        if let Some(recorder) = &mut node.recorder {
            recorder.record(now, input, &actions);
        }
        actions.into_iter().for_each(|action| self.act(index, action));
        for (node, delay, input) in self.platform.take_answers() {
            self.push(delay, node, input);
        }
    }

    fn act(&mut self, index: usize, action: ControlAction) {
        let node = &mut self.nodes[index];
        match action {
            ControlAction::Send { to, message } => self.send(index, &to, message),
            ControlAction::ResetLink { peer } => {
                self.silent.remove(&(index, self.index[&*peer.name]));
            }
            ControlAction::Install(snapshot) => {
                let version = snapshot.version();
                assert!(version > node.installed, "I1: {} reverts", node.address.name);
                publisher::check_snapshot(&snapshot);
                self.platform.check_applied(version);
                node.installed = version;
            }
            ControlAction::Liveness { name, state } => node.take_liveness(&name, state),
            ControlAction::Quarantine { fingerprints } => node.quarantined = fingerprints,
            ControlAction::WatchHead { after } => self.platform.watch_head(self.now, index, after),
            ControlAction::WatchVms { .. } => self.platform.watch_vms(self.now, index),
            ControlAction::ReadValue { key } => self.platform.read(self.now, index, key),
        }
    }

    fn send(&mut self, from: usize, to: &PeerAddress, message: PeerMessage) {
        let length = postcard::to_stdvec(&message).expect("messages can be encoded").len();
        let (to, peer) = (self.index[&*to.name], to);
        let push = u64::from(matches!(message, PeerMessage::Push { .. }));
        self.nodes[from].bytes += (length + FRAMING_BYTES) as u64;
        self.nodes[from].pushes += push;
        if self.nodes[from].address.data_centre != peer.data_centre {
            *self.crossed.entry(peer.data_centre.to_string()).or_default() += push;
        }
        let (sender, receiver) = (&self.nodes[from], &self.nodes[to]);
        if receiver.state.is_none() && !receiver.vm_gone {
            self.push(1, from, ControlInput::LinkLost { peer: peer.clone() });
            return;
        }
        let side = |node: &FakeNode| self.side.get(&*node.address.data_centre).copied();
        let apart = side(sender) != side(receiver) || sender.isolated || receiver.isolated;
        let lost = self.cut.contains(&(from, to)) || self.silent.contains(&(from, to));
        if receiver.state.is_none() || apart || lost {
            return;
        }
        let foreign = sender.address.data_centre != receiver.address.data_centre;
        let delay = if foreign { self.link_delay } else { 1 };
        let from = sender.address.clone();
        let copies = 1 + u64::from(self.random(1_000) < self.twice);
        for _ in 0..copies {
            if self.random(1_000) >= self.loss {
                let delay = delay + self.random(delay + 1);
                let input = ControlInput::Peer { from: from.clone(), message: message.clone() };
                self.push(delay, to, input);
            }
        }
    }
}
