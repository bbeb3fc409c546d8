//! What the active configuration says on members.

use std::sync::Arc;

use crate::delta::VersionDelta;
use crate::message::{MemberEvent, MemberState, PeerAddress};
use crate::state::{ControlState, Turn};

impl ControlState {
    /// Takes in the targets of the services that a change touches.
    pub(crate) fn learn_targets(&mut self, turn: &mut Turn<'_>, delta: &VersionDelta) {
        let changed = delta.changed.iter().map(|part| &part.name);
        let names: Vec<Arc<str>> = changed.chain(&delta.removed).cloned().collect();
        for name in names {
            if let Some(service) = name.strip_prefix("targets/") {
                self.learn_service(turn, service);
            }
        }
    }

    fn learn_service(&mut self, turn: &mut Turn<'_>, service: &str) {
        let snapshot = self.versions.snapshot.clone();
        let view = snapshot.as_ref().and_then(|snapshot| snapshot.service(service));
        let new: Vec<PeerAddress> = match view {
            Some(view) => view.targets.iter().map(target_address).collect(),
            None => Vec::new(),
        };
        let old = self.targets.remove(service).unwrap_or_default();
        for gone in old.iter().filter(|peer| !new.contains(peer)) {
            self.forget_target(gone);
        }
        for peer in &new {
            self.learn_target(turn, peer);
        }
        if !new.is_empty() {
            self.targets.insert(service.into(), new);
        }
    }

    fn learn_target(&mut self, turn: &mut Turn<'_>, peer: &PeerAddress) {
        if peer.data_centre != self.settings.node.data_centre {
            self.remotes.add(peer, true);
            return;
        }
        let state = MemberState::Alive;
        let event = MemberEvent { peer: peer.clone(), incarnation: 0, state };
        self.members.update(turn.now, &event);
        if let Some(entry) = self.members.get_mut(&peer.name) {
            entry.configured = true;
        }
    }

    fn forget_target(&mut self, peer: &PeerAddress) {
        if peer.data_centre == self.settings.node.data_centre {
            self.members.forget_target(&peer.name);
        } else {
            self.remotes.forget(peer);
        }
    }
}

fn target_address(target: &crate::config::TargetEntry) -> PeerAddress {
    PeerAddress {
        name: target.name.clone(),
        data_centre: target.data_centre.clone(),
        control: target.control,
    }
}
