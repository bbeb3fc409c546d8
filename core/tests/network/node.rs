//! A node of the fake network: a control state, or none, and what its host was told.

use std::collections::BTreeMap;

use fescuestack_core::{
    ControlInput, ControlRecorder, ControlState, MemberState, PeerAddress, VersionId,
};

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
    /// Whether all links of the node are cut.
    pub isolated: bool,
    pub bytes: u64,
    pub pushes: u64,
    pub liveness: BTreeMap<String, MemberState>,
    pub quarantined: Vec<u64>,
    pub recorder: Option<ControlRecorder>,
    /// Members that the node told its host were dead.
    pub declared_dead: Vec<String>,
    /// Inputs that wait while the process is paused.
    pub backlog: Vec<ControlInput>,
}

impl FakeNode {
    pub fn new(address: &PeerAddress, all: &[PeerAddress]) -> FakeNode {
        // Two nodes of the own data centre and the first of another one, so that the graph of
        // seeds is connected but sparse.
        let own: Vec<_> = all.iter().filter(|a| a.data_centre == address.data_centre).collect();
        let place = own.iter().position(|a| a.name == address.name).unwrap();
        let near = [1, 7].map(|step| own[(place + step) % own.len()].clone());
        let other = all.iter().find(|a| a.data_centre != address.data_centre);
        FakeNode {
            address: address.clone(),
            state: None,
            seeds: near.into_iter().chain(other.cloned()).collect(),
            life: 0,
            installed: VersionId::NONE,
            paused: false,
            vm_gone: false,
            isolated: false,
            bytes: 0,
            pushes: 0,
            liveness: BTreeMap::new(),
            quarantined: Vec::new(),
            recorder: None,
            declared_dead: Vec::new(),
            backlog: Vec::new(),
        }
    }

    pub fn take_liveness(&mut self, name: &str, state: MemberState) {
        if state == MemberState::Dead {
            self.declared_dead.push(name.to_owned());
        }
        self.liveness.insert(name.to_owned(), state);
    }

    /// Whether the node would send new work to a target.
    pub fn uses(&self, name: &str) -> bool {
        self.liveness.get(name).is_none_or(|state| *state == MemberState::Alive)
    }
}
