//! Baselines that the distribution is measured against: polling the source and plain flooding.

use std::sync::Arc;

use fescuestack_core::{
    ClockSpan, ClockTime, ConfigSnapshot, ControlAction, ControlInput, ControlState, HeadRecord,
    PeerAddress, PeerMessage, ReadAnswer, VersionDelta, VersionId, delta_key,
};
use serde_json::json;

/// How often a polling node reads the head.
const POLL_PERIOD: ClockSpan = ClockSpan::new(1_000);

/// Neighbours that a flooding node sends each change to.
const FLOOD_DEGREE: usize = 8;

/// How versions get to a node.
pub(crate) enum ControlPolicy {
    /// The product's distribution.
    Trees(Box<ControlState>),
    /// Every node polls the source.
    Poll(PollState),
    /// Two readers, and each node sends each change to its neighbours.
    Flood(FloodState),
}

/// A node that polls the source.
pub(crate) struct PollState {
    snapshot: Arc<ConfigSnapshot>,
    next_poll: ClockTime,
    pending: bool,
}

/// A node that floods changes.
pub(crate) struct FloodState {
    snapshot: Arc<ConfigSnapshot>,
    neighbours: Vec<PeerAddress>,
    reader: bool,
    watching: bool,
    received: u64,
    duplicates: u64,
}

impl ControlPolicy {
    pub(crate) fn handle(
        &mut self,
        now: ClockTime,
        input: ControlInput,
        actions: &mut Vec<ControlAction>,
    ) {
        match self {
            ControlPolicy::Trees(state) => state.handle(now, input, actions),
            ControlPolicy::Poll(state) => state.handle(now, input, actions),
            ControlPolicy::Flood(state) => state.handle(input, actions),
        }
    }

    /// Greatest version heard of, for the product's distribution.
    pub(crate) fn seen(&self) -> Option<VersionId> {
        match self {
            ControlPolicy::Trees(state) => Some(state.status().seen),
            ControlPolicy::Poll(_) | ControlPolicy::Flood(_) => None,
        }
    }

    /// The status, as JSON.
    pub(crate) fn status(&self) -> String {
        match self {
            ControlPolicy::Trees(state) => {
                serde_json::to_string(&state.status()).unwrap_or_default()
            }
            ControlPolicy::Poll(state) => {
                json!({"active": state.snapshot.version().to_string()}).to_string()
            }
            ControlPolicy::Flood(state) => json!({
                "active": state.snapshot.version().to_string(),
                "pushes_received": state.received,
                "pushes_duplicate": state.duplicates,
            })
            .to_string(),
        }
    }
}

impl PollState {
    pub(crate) fn new(snapshot: Arc<ConfigSnapshot>, first_poll: ClockTime) -> PollState {
        PollState { snapshot, next_poll: first_poll, pending: false }
    }

    fn handle(&mut self, now: ClockTime, input: ControlInput, actions: &mut Vec<ControlAction>) {
        match input {
            ControlInput::Tick if now >= self.next_poll && !self.pending => {
                self.next_poll = now + POLL_PERIOD;
                self.pending = true;
                actions.push(ControlAction::WatchHead { after: None });
            }
            ControlInput::HeadRead { result } => {
                self.pending = false;
                actions.extend(scan_head(result.ok(), &self.snapshot));
            }
            ControlInput::ValueRead { result, .. } => {
                if let Some(delta) = scan_delta(result.ok()) {
                    install(&mut self.snapshot, &delta, actions);
                }
            }
            _ => (),
        }
    }
}

impl FloodState {
    /// Creates a node that sends changes to [`FLOOD_DEGREE`] of `peers`, spread evenly from its own
    /// place in the list.
    pub(crate) fn new(
        snapshot: Arc<ConfigSnapshot>,
        peers: &[PeerAddress],
        place: usize,
    ) -> FloodState {
        let step = (peers.len() / FLOOD_DEGREE).max(1);
        let mut neighbours: Vec<PeerAddress> = (0..FLOOD_DEGREE)
            .map(|index| peers[(place + 1 + index * step) % peers.len()].clone())
            .filter(|peer| peer.name != peers[place].name)
            .collect();
        neighbours.dedup();
        let reader = place < 2;
        FloodState { snapshot, neighbours, reader, watching: false, received: 0, duplicates: 0 }
    }

    fn handle(&mut self, input: ControlInput, actions: &mut Vec<ControlAction>) {
        match input {
            ControlInput::Tick if self.reader && !self.watching => {
                self.watching = true;
                actions.push(ControlAction::WatchHead { after: None });
            }
            ControlInput::HeadRead { result } => {
                let answer = result.ok();
                let after = match &answer {
                    Some(ReadAnswer::Found(value)) => Some(value.revision),
                    _ => None,
                };
                actions.extend(scan_head(answer, &self.snapshot));
                self.watching = after.is_some();
                if self.watching {
                    actions.push(ControlAction::WatchHead { after });
                }
            }
            ControlInput::ValueRead { result, .. } => {
                if let Some(delta) = scan_delta(result.ok()) {
                    self.spread(delta, actions);
                }
            }
            ControlInput::Peer { message: PeerMessage::Push { delta }, .. } => {
                self.received += 1;
                self.duplicates += u64::from(delta.to <= self.snapshot.version());
                self.spread(delta, actions);
            }
            _ => (),
        }
    }

    fn spread(&mut self, delta: VersionDelta, actions: &mut Vec<ControlAction>) {
        if !install(&mut self.snapshot, &delta, actions) {
            return;
        }
        for to in &self.neighbours {
            let message = PeerMessage::Push { delta: delta.clone() };
            actions.push(ControlAction::Send { to: to.clone(), message });
        }
    }
}

fn scan_head(answer: Option<ReadAnswer>, snapshot: &ConfigSnapshot) -> Option<ControlAction> {
    let Some(ReadAnswer::Found(value)) = answer else { return None };
    let head: HeadRecord = serde_json::from_str(&value.content).ok()?;
    (head.version > snapshot.version())
        .then(|| ControlAction::ReadValue { key: delta_key(head.version) })
}

fn scan_delta(answer: Option<ReadAnswer>) -> Option<VersionDelta> {
    let Some(ReadAnswer::Found(value)) = answer else { return None };
    serde_json::from_str(&value.content).ok()
}

fn install(
    snapshot: &mut Arc<ConfigSnapshot>,
    delta: &VersionDelta,
    actions: &mut Vec<ControlAction>,
) -> bool {
    let Ok(next) = snapshot.with_delta(delta) else { return false };
    *snapshot = Arc::new(next);
    actions.push(ControlAction::Install(snapshot.clone()));
    true
}
