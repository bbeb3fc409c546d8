//! A node's control state with the full configuration, whose peers all answer.

use std::time::{Duration, Instant};

use fescuestack_core::{
    ClockTime, ControlAction, ControlInput, ControlSettings, ControlState, PeerAddress,
    PeerMessage, TargetEntry, VersionDelta, VersionHeads, VersionId,
};

use super::FleetSample;

/// Start of the clock, well after the epoch so that incarnations are realistic.
const START_MS: u64 = 1_700_000_000_000;

/// Interval of ticks, in milliseconds.
const TICK_MS: u64 = 100;

/// A control state between its clock and its fake peers.
#[derive(Debug)]
pub struct FleetNode {
    pub state: ControlState,
    pub now: ClockTime,
    pub peers: Vec<PeerAddress>,
    actions: Vec<ControlAction>,
    heads: VersionHeads,
}

impl FleetNode {
    /// A node of the data centre `dc-0`, which has settled for 20 s.
    pub fn new(sample: &FleetSample) -> FleetNode {
        let snapshot = sample.snapshot();
        let targets = snapshot.services().flat_map(|view| &view.targets);
        let own = targets.filter(|target| &*target.data_centre == "dc-0");
        let mut peers: Vec<PeerAddress> = own.map(address).collect();
        peers.sort_by(|left, right| left.name.cmp(&right.name));
        // Neither of the two readers in any measured size: the cost of a reader is its reads.
        let node = peers.remove(peers.len() / 2);
        let settings = ControlSettings { node, seeds: peers[..3].to_vec() };
        let mut fleet_node = FleetNode {
            state: ControlState::new(settings, 1),
            now: ClockTime::new(START_MS),
            peers,
            actions: Vec::new(),
            heads: VersionHeads::new(sample.version, sample.version),
        };
        let changed = sample.parts.clone();
        let (from, to) = (VersionId::NONE, sample.version);
        fleet_node.push(VersionDelta { from, to, changed, removed: Vec::new() });
        for _ in 0..200 {
            fleet_node.tick();
        }
        assert_eq!(fleet_node.state.status().active, sample.version);
        fleet_node
    }

    /// Takes one tick and answers what it sends. Returns the time that the tick took.
    pub fn tick(&mut self) -> Duration {
        self.now = ClockTime::new(self.now.millis() + TICK_MS);
        let time = self.input(ControlInput::Tick);
        let sent = std::mem::take(&mut self.actions);
        for action in sent {
            let ControlAction::Send { to, message } = action else { continue };
            if let Some(message) = self.answer(message) {
                self.input(ControlInput::Peer { from: to, message });
            }
        }
        self.actions.clear();
        time
    }

    /// Takes a message from the peer with this index. Returns the time that it took.
    pub fn receive(&mut self, peer: usize, message: PeerMessage) -> Duration {
        let from = self.peers[peer % self.peers.len()].clone();
        let time = self.input(ControlInput::Peer { from, message });
        self.actions.clear();
        time
    }

    /// Takes a change down the tree.
    pub fn push(&mut self, delta: VersionDelta) -> Duration {
        self.heads = VersionHeads::new(delta.to, delta.to);
        self.receive(0, PeerMessage::Push { delta })
    }

    fn input(&mut self, input: ControlInput) -> Duration {
        let started = Instant::now();
        self.state.handle(self.now, input, &mut self.actions);
        started.elapsed()
    }

    fn answer(&self, message: PeerMessage) -> Option<PeerMessage> {
        let (heads, incarnation) = (self.heads, START_MS - 1);
        match message {
            PeerMessage::Probe { sequence, .. } => {
                let (heads, events) = (Some(heads), Vec::new());
                Some(PeerMessage::Ack { sequence, incarnation, heads, events })
            }
            PeerMessage::Join { .. } => {
                let members = Vec::new();
                Some(PeerMessage::Welcome { incarnation, heads, members })
            }
            _ => None,
        }
    }
}

fn address(target: &TargetEntry) -> PeerAddress {
    PeerAddress {
        name: target.name.clone(),
        data_centre: target.data_centre.clone(),
        control: target.control,
    }
}
