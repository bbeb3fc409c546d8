//! Replays a run of the model on three control states.

use std::sync::Arc;

use fescuestack_core::{
    ClockSpan, ClockTime, ConfigSnapshot, ControlAction, ControlInput, ControlSettings,
    ControlState, HEAD_KEY, PartHash, PeerAddress, PeerMessage, ReadAnswer, RejectedVersion,
    ResultCode, SpreadEvent, ValueRecord, VersionHeads, VersionId,
};
use serde::Deserialize;

use crate::model::versions::{DATA_CENTRE, VersionSet};

const NODES: usize = 3;
const TICK_MS: u64 = 100;

/// First line of a trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    pub run: String,
    pub versions: String,
    pub first: usize,
    pub mutation: String,
    pub violates: String,
}

/// An event with the state of its node after it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceEvent {
    pub event: String,
    #[serde(default)]
    pub node: usize,
    #[serde(default)]
    version: usize,
    #[serde(default, rename = "peer")]
    _peer: usize,
    #[serde(default)]
    told: u32,
    #[serde(default)]
    part_routes: usize,
    #[serde(default)]
    part_targets: usize,
    active: Option<usize>,
    #[serde(default)]
    routes: usize,
    #[serde(default)]
    targets: usize,
    #[serde(default)]
    ready: u8,
    #[serde(default)]
    may_serve: u8,
    #[serde(default)]
    rejected: u32,
}

struct ReplayNode {
    peer: PeerAddress,
    state: ControlState,
    now: ClockTime,
    installed: Option<Arc<ConfigSnapshot>>,
    /// Active version in the model.
    modelled: usize,
    sent: Vec<(PeerAddress, PeerMessage)>,
    reads: Vec<String>,
    watching: Option<Option<u64>>,
}

pub struct ReplayRun {
    versions: VersionSet,
    nodes: Vec<ReplayNode>,
    accepted: usize,
    head: usize,
    revision: u64,
}

impl ReplayRun {
    /// Three nodes with the first version of the run in force.
    pub fn new(header: &TraceHeader) -> ReplayRun {
        let peers = peers();
        let versions = VersionSet::new(header.versions == "clash", &peers);
        let nodes = (0..NODES).map(|index| ReplayNode::new(&peers, index, 1)).collect();
        let (accepted, head) = (header.first, header.first);
        let mut run = ReplayRun { versions, nodes, accepted, head, revision: 1 };
        for node in 0..NODES {
            if header.first != 0 {
                run.push(node, run.versions.delta(0, header.first));
            }
            run.nodes[node].modelled = header.first;
            run.ask(node, 0);
        }
        run
    }

    /// Replays one event and compares the node with the model. Says what differs.
    pub fn step(&mut self, event: &TraceEvent) -> Result<(), String> {
        let (node, version) = (event.node, event.version);
        let before = self.nodes[node].modelled;
        match event.event.as_str() {
            "Accept" => {
                self.accepted = version;
                self.head = version;
                self.revision += 1;
            }
            "Publish" | "RollBack" => {
                self.head = version;
                self.revision += 1;
            }
            "Push" => self.push(node, self.versions.delta(self.versions.base(version), version)),
            // A delta at once, or the beginning of a transfer.
            "Pull" | "Read" => {
                let from_peer = event.event == "Pull";
                if self.versions.base(version) == before && (from_peer || before != 0) {
                    self.push(node, self.versions.delta(before, version));
                }
            }
            "Transfer" => {
                let (routes, targets) = (event.part_routes, event.part_targets);
                let mixed = (routes, targets) != (version, self.versions.targets(version));
                let delta = if mixed {
                    self.versions.mixed_delta(before, version, routes, targets)
                } else {
                    self.versions.delta(before, version)
                };
                self.push(node, delta);
            }
            "Head" => self.read_head(node, version),
            "Hear" => {
                let seen = self.versions.id(version);
                self.receive(node, PeerMessage::Announce { active: VersionId::NONE, seen });
            }
            "LearnRejected" => self.learn_rejected(node),
            "Restart" => {
                let later = self.nodes[node].now.millis() + 10;
                self.nodes[node] = ReplayNode::new(&peers(), node, later);
            }
            "Ask" => self.ask(node, event.told),
            "Serve" => self.nodes[node].advance(1, TICK_MS),
            "ServeLate" => self.nodes[node].advance(60, TICK_MS),
            // The clock of a paused node jumps.
            "Wake" => self.nodes[node].advance(1, 6_000),
            "Part" | "Abandon" | "Pause" | "Cut" | "Heal" | "Calm" => (),
            other => return Err(format!("unknown event {other}")),
        }
        let Some(active) = event.active else { return Ok(()) };
        self.nodes[node].modelled = active;
        self.compare(event, active)
    }

    fn compare(&self, event: &TraceEvent, active: usize) -> Result<(), String> {
        let node = &self.nodes[event.node];
        let status = node.state.status();
        let check = |holds: bool, what: &str| {
            let text = || format!("{what} differs after {event:?}: {status:?}");
            if holds { Ok(()) } else { Err(text()) }
        };
        check(status.active == self.versions.id(active), "the active version")?;
        let rejected = status.rejected.iter().any(|it| it.version == self.versions.id(3));
        check(rejected == (event.rejected & 1 << 3 != 0), "the rejected version")?;
        // The model may serve later than the code, but never earlier, and never against its rule.
        check(status.ready || event.ready == 0, "readiness")?;
        check(!status.ready || event.ready + event.may_serve > 0, "the permission to serve")?;
        let Some(installed) = &node.installed else {
            return check(!status.ready, "the installed version");
        };
        let service = installed.service("shop").unwrap();
        let routes = format!("team/class-{}", event.routes);
        check(service.part.routes[0].classes[0] == routes, "the route")?;
        let targets = format!("team/class-{}", event.targets);
        check(installed.class(&targets).is_some(), "the resource")
    }

    fn receive(&mut self, node: usize, message: PeerMessage) {
        let from = self.nodes[(node + 1) % NODES].peer.clone();
        self.nodes[node].feed(ControlInput::Peer { from, message });
    }

    fn push(&mut self, node: usize, delta: fescuestack_core::VersionDelta) {
        self.receive(node, PeerMessage::Push { delta });
    }

    fn read_head(&mut self, node: usize, version: usize) {
        let content = self.versions.head(version).into();
        let record = ValueRecord { revision: self.revision, content };
        self.nodes[node].feed(ControlInput::HeadRead { result: Ok(ReadAnswer::Found(record)) });
    }

    fn learn_rejected(&mut self, node: usize) {
        let rejected = RejectedVersion {
            version: self.versions.id(3),
            code: ResultCode::RouteWithoutResource,
            part: "service/shop".into(),
            reason: "as another node found".into(),
        };
        let events = vec![SpreadEvent::Rejected(rejected)];
        self.receive(node, PeerMessage::Events { events });
    }

    /// Has the peers answer the starting node; the greatest valid version of `told` is active at
    /// them, and the greatest one is the one they have heard of. Without answers time passes.
    fn ask(&mut self, node: usize, told: u32) {
        let named = |version: &usize| told & 1 << version != 0;
        let seen = (1..=3).rev().find(named).unwrap_or(0);
        let valid = |version: &usize| named(version) && !self.versions.is_bad(*version);
        let active = (1..=3).rev().find(valid).unwrap_or(0);
        let heads = VersionHeads::new(self.versions.id(active), self.versions.id(seen));
        if told == 0 {
            self.nodes[node].advance(14, TICK_MS);
            return;
        }
        for step in 1..NODES {
            let from = self.nodes[(node + step) % NODES].peer.clone();
            let message = PeerMessage::Welcome { incarnation: 1, heads, members: Vec::new() };
            self.nodes[node].feed(ControlInput::Peer { from, message });
        }
        self.nodes[node].advance(1, TICK_MS);
    }

    /// Lets the nodes run with all links and the source up. Fails unless the newest valid version is
    /// in effect on all of them within `span_ms`.
    pub fn settle(&mut self, span_ms: u64) -> Result<(), String> {
        let valid_head = if self.versions.is_bad(self.head) { 0 } else { self.head };
        let newest = self.nodes.iter().map(|node| node.modelled).fold(valid_head, usize::max);
        let values = self.versions.published(self.head, self.accepted);
        for _ in 0..span_ms / TICK_MS {
            self.nodes.iter_mut().for_each(|node| node.advance(1, TICK_MS));
            for _ in 0..20 {
                self.deliver(&values);
            }
            // A version that the source has taken back may still be fetched by its parts.
            let installed = |node: &ReplayNode| {
                node.installed.as_ref().map_or(VersionId::NONE, |snapshot| snapshot.version())
            };
            let first = installed(&self.nodes[0]);
            let same = self.nodes.iter().all(|node| installed(node) == first);
            if same && first >= self.versions.id(newest) {
                return Ok(());
            }
        }
        let statuses: Vec<_> = self.nodes.iter().map(|node| node.state.status()).collect();
        Err(format!("version {newest} is not in effect everywhere: {statuses:?}"))
    }

    /// Delivers what was sent and answers what was read.
    fn deliver(&mut self, values: &std::collections::BTreeMap<String, String>) {
        for node in 0..NODES {
            let from = self.nodes[node].peer.clone();
            for (to, message) in std::mem::take(&mut self.nodes[node].sent) {
                let Some(to) = self.nodes.iter_mut().find(|it| it.peer == to) else { continue };
                to.feed(ControlInput::Peer { from: from.clone(), message });
            }
            let node = &mut self.nodes[node];
            for key in std::mem::take(&mut node.reads) {
                let result = Ok(answer(values, &key, self.revision));
                node.feed(ControlInput::ValueRead { key, result });
            }
            if node.watching.is_some_and(|after| after != Some(self.revision)) {
                node.watching = None;
                let result = Ok(answer(values, HEAD_KEY, self.revision));
                node.feed(ControlInput::HeadRead { result });
            }
        }
    }
}

fn answer(
    values: &std::collections::BTreeMap<String, String>,
    key: &str,
    revision: u64,
) -> ReadAnswer {
    match values.get(key) {
        Some(content) => {
            ReadAnswer::Found(ValueRecord { revision, content: content.as_str().into() })
        }
        None => ReadAnswer::Absent,
    }
}

/// The nodes in hash order, so that the first two are the readers.
fn peers() -> Vec<PeerAddress> {
    let mut names = ["a", "b", "c"];
    names.sort_by_key(|name| {
        let hash = PartHash::new(name.as_bytes());
        u64::from_le_bytes(hash.as_bytes()[..8].try_into().unwrap())
    });
    let peer = |(index, name): (usize, &str)| PeerAddress {
        name: name.into(),
        data_centre: DATA_CENTRE.into(),
        control: ([127, 0, 0, 1], 21_000 + index as u16).into(),
    };
    names.into_iter().enumerate().map(peer).collect()
}

impl ReplayNode {
    /// A node that has sent its first questions.
    fn new(peers: &[PeerAddress], index: usize, start_ms: u64) -> ReplayNode {
        let peer = peers[index].clone();
        let seeds = peers.iter().filter(|seed| **seed != peer).cloned().collect();
        let settings = ControlSettings { node: peer.clone(), seeds };
        let mut node = ReplayNode {
            peer,
            state: ControlState::new(settings, index as u64),
            now: ClockTime::new(start_ms),
            installed: None,
            modelled: 0,
            sent: Vec::new(),
            reads: Vec::new(),
            watching: None,
        };
        node.advance(4, TICK_MS);
        node
    }

    fn advance(&mut self, ticks: usize, span_ms: u64) {
        for _ in 0..ticks {
            self.now = self.now + ClockSpan::new(span_ms);
            self.feed(ControlInput::Tick);
        }
    }

    fn feed(&mut self, input: ControlInput) {
        let mut actions = Vec::new();
        self.state.handle(self.now, input, &mut actions);
        for action in actions {
            match action {
                ControlAction::Send { to, message } => self.sent.push((to, message)),
                ControlAction::ReadValue { key } => self.reads.push(key),
                ControlAction::WatchHead { after } => self.watching = Some(after),
                ControlAction::Install(snapshot) => {
                    let former = self.installed.replace(snapshot.clone());
                    let former = former.map_or(VersionId::NONE, |former| former.version());
                    assert!(snapshot.version() > former, "{former} is replaced by an older one");
                }
                _ => (),
            }
        }
    }
}
