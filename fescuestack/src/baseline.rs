//! Baseline protocols for measurements of configuration distribution: polling and flooding.

use std::sync::Arc;

use fescuestack_core::{
    ClockSpan, ClockTime, ConfigSnapshot, ControlAction, ControlInput, ControlState, HeadRecord,
    PeerAddress, PeerMessage, ReadAnswer, VersionDelta, VersionId, delta_key,
};
use serde_json::json;

/// Interval at which a polling node reads the head.
const POLL_INTERVAL: ClockSpan = ClockSpan::new(1_000);

/// Number of neighbours to which a flooding node sends each change.
const FLOOD_DEGREE: usize = 8;

/// Protocol by which a node receives configuration versions.
pub(crate) enum DistributionProtocol {
    /// Tree-based distribution, the default.
    Trees(Box<ControlState>),
    /// Each node polls the source.
    Poll(PollState),
    /// Two nodes watch the source, and each node forwards new changes to its neighbours.
    Flood(FloodState),
}

/// State of a node that polls the source.
pub(crate) struct PollState {
    snapshot: Arc<ConfigSnapshot>,
    next_poll: ClockTime,
    read_pending: bool,
}

/// State of a node that floods changes.
pub(crate) struct FloodState {
    snapshot: Arc<ConfigSnapshot>,
    neighbours: Vec<PeerAddress>,
    is_reader: bool,
    watching: bool,
    received_pushes: u64,
    duplicate_pushes: u64,
}

impl DistributionProtocol {
    /// Handles an input and appends the resulting actions.
    pub(crate) fn handle(
        &mut self,
        now: ClockTime,
        input: ControlInput,
        actions: &mut Vec<ControlAction>,
    ) {
        match self {
            DistributionProtocol::Trees(state) => state.handle(now, input, actions),
            DistributionProtocol::Poll(state) => state.handle(now, input, actions),
            DistributionProtocol::Flood(state) => state.handle(input, actions),
        }
    }

    /// Returns the greatest version seen, or `None` for a baseline protocol.
    pub(crate) fn seen(&self) -> Option<VersionId> {
        match self {
            DistributionProtocol::Trees(state) => Some(state.status().seen),
            DistributionProtocol::Poll(_) | DistributionProtocol::Flood(_) => None,
        }
    }

    /// Returns the status as JSON.
    pub(crate) fn status(&self) -> String {
        match self {
            DistributionProtocol::Trees(state) => {
                serde_json::to_string(&state.status()).unwrap_or_default()
            }
            DistributionProtocol::Poll(state) => {
                json!({"active": state.snapshot.version().to_string()}).to_string()
            }
            DistributionProtocol::Flood(state) => json!({
                "active": state.snapshot.version().to_string(),
                "pushes_received": state.received_pushes,
                "pushes_duplicate": state.duplicate_pushes,
            })
            .to_string(),
        }
    }
}

impl PollState {
    /// Creates a node that first reads the head at `first_poll`.
    pub(crate) fn new(snapshot: Arc<ConfigSnapshot>, first_poll: ClockTime) -> PollState {
        PollState { snapshot, next_poll: first_poll, read_pending: false }
    }

    fn handle(&mut self, now: ClockTime, input: ControlInput, actions: &mut Vec<ControlAction>) {
        match input {
            ControlInput::Tick if now >= self.next_poll && !self.read_pending => {
                self.next_poll = now + POLL_INTERVAL;
                self.read_pending = true;
                actions.push(ControlAction::WatchHead { after: None });
            }
            ControlInput::HeadRead { result } => {
                self.read_pending = false;
                actions.extend(delta_read_for(result.ok(), &self.snapshot));
            }
            ControlInput::ValueRead { result, .. } => {
                if let Some(delta) = parse_delta(result.ok()) {
                    install_delta(&mut self.snapshot, &delta, actions);
                }
            }
            _ => (),
        }
    }
}

impl FloodState {
    /// Creates a node whose neighbours are [`FLOOD_DEGREE`] peers at even distances in the list, counted
    /// from its own index.
    pub(crate) fn new(
        snapshot: Arc<ConfigSnapshot>,
        peers: &[PeerAddress],
        own_index: usize,
    ) -> FloodState {
        let step = (peers.len() / FLOOD_DEGREE).max(1);
        let mut neighbours: Vec<PeerAddress> = (0..FLOOD_DEGREE)
            .map(|index| peers[(own_index + 1 + index * step) % peers.len()].clone())
            .filter(|peer| peer.name != peers[own_index].name)
            .collect();
        neighbours.dedup();
        let is_reader = own_index < 2;
        FloodState {
            snapshot,
            neighbours,
            is_reader,
            watching: false,
            received_pushes: 0,
            duplicate_pushes: 0,
        }
    }

    fn handle(&mut self, input: ControlInput, actions: &mut Vec<ControlAction>) {
        match input {
            ControlInput::Tick if self.is_reader && !self.watching => {
                self.watching = true;
                actions.push(ControlAction::WatchHead { after: None });
            }
            ControlInput::HeadRead { result } => {
                let answer = result.ok();
                let after = match &answer {
                    Some(ReadAnswer::Found(value)) => Some(value.revision),
                    _ => None,
                };
                actions.extend(delta_read_for(answer, &self.snapshot));
                self.watching = after.is_some();
                if self.watching {
                    actions.push(ControlAction::WatchHead { after });
                }
            }
            ControlInput::ValueRead { result, .. } => {
                if let Some(delta) = parse_delta(result.ok()) {
                    self.install_and_forward(delta, actions);
                }
            }
            ControlInput::Peer { message: PeerMessage::Push { delta }, .. } => {
                self.received_pushes += 1;
                self.duplicate_pushes += u64::from(delta.to <= self.snapshot.version());
                self.install_and_forward(delta, actions);
            }
            _ => (),
        }
    }

    /// Installs a delta and, if it applied, forwards it to all neighbours.
    fn install_and_forward(&mut self, delta: VersionDelta, actions: &mut Vec<ControlAction>) {
        if !install_delta(&mut self.snapshot, &delta, actions) {
            return;
        }
        for to in &self.neighbours {
            let message = PeerMessage::Push { delta: delta.clone() };
            actions.push(ControlAction::Send { to: to.clone(), message });
        }
    }
}

/// Returns the action that reads the delta to the version in the head, if that version is newer than
/// `snapshot`.
fn delta_read_for(answer: Option<ReadAnswer>, snapshot: &ConfigSnapshot) -> Option<ControlAction> {
    let Some(ReadAnswer::Found(value)) = answer else { return None };
    let head: HeadRecord = serde_json::from_str(&value.content).ok()?;
    (head.version > snapshot.version())
        .then(|| ControlAction::ReadValue { key: delta_key(head.version) })
}

fn parse_delta(answer: Option<ReadAnswer>) -> Option<VersionDelta> {
    let Some(ReadAnswer::Found(value)) = answer else { return None };
    serde_json::from_str(&value.content).ok()
}

/// Applies a delta and pushes the install action. Returns `false` if the delta does not apply.
fn install_delta(
    snapshot: &mut Arc<ConfigSnapshot>,
    delta: &VersionDelta,
    actions: &mut Vec<ControlAction>,
) -> bool {
    let Ok(next) = snapshot.with_delta(delta) else { return false };
    *snapshot = Arc::new(next);
    actions.push(ControlAction::Install(snapshot.clone()));
    true
}
