//! What members tell each other about members.

use crate::clock::ClockTime;
use crate::config::NodeName;
use crate::control::{ControlAction, PlatformFault, ReadAnswer, VmEntry, VmState};
use crate::events::SpreadEvent;
use crate::members::{MemberChange, VIEW_BUCKETS};
use crate::message::{MemberEvent, MemberState, PeerAddress, PeerMessage, VersionHeads};
use crate::state::{ControlState, Turn};

/// Peers that a new event is passed on to at once. Four make 99 of 100 nodes know it in about six
/// steps; heartbeats reach the rest.
const FRESH_PEERS: usize = 4;

/// A member heard of by anyone this recently is not doubted because of the platform's list.
const FRESH_HEARD_MS: u64 = 3_000;

/// Bucket in the view digests that stands for targets of other data centres that are not alive.
const REMOTE_BUCKET: usize = VIEW_BUCKETS;

impl ControlState {
    /// Queues an event for all nodes, and hands it to the other data centres if it came up in this
    /// one and the node is a gateway.
    pub(crate) fn spread(&mut self, turn: &mut Turn<'_>, event: SpreadEvent) {
        self.spread_outside(turn, &event);
        self.events.push(event);
    }

    /// Notes that a peer was heard.
    pub(crate) fn hear(&mut self, turn: &mut Turn<'_>, from: &PeerAddress) {
        if from.data_centre != self.settings.node.data_centre {
            self.remotes.hear(from, turn.now);
        } else if let Some(entry) = self.members.get_mut(&from.name) {
            entry.heard = turn.now;
        }
    }

    pub(crate) fn on_events(&mut self, turn: &mut Turn<'_>, events: Vec<SpreadEvent>) {
        for event in events {
            match event {
                SpreadEvent::Member(event) => self.take_member(turn, event, None),
                SpreadEvent::Suspicion { member, by } => self.take_member(turn, member, Some(by)),
                SpreadEvent::Crash(report) => self.on_crash_report(turn, report),
                SpreadEvent::Rejected(rejected) => {
                    self.note_rejected(turn, rejected);
                }
                SpreadEvent::Clash { lower, higher } => {
                    if self.versions.clash(lower, higher) {
                        self.spread(turn, SpreadEvent::Clash { lower, higher });
                    }
                }
            }
        }
    }

    /// Takes in an entry of another node's list. A live member that is new to this node is known to
    /// the others, so it is not passed on; what contradicts the own view is.
    pub(crate) fn take_listed(&mut self, turn: &mut Turn<'_>, event: MemberEvent) {
        let own = event.peer.data_centre == self.settings.node.data_centre;
        let known = self.members.get(&event.peer.name).is_some();
        if own && !known && event.state == MemberState::Alive {
            self.members.update(turn.now, &event);
        } else {
            self.take_member(turn, event, None);
        }
    }

    /// Takes in what is said of a member and passes on what is new.
    pub(crate) fn take_member(
        &mut self,
        turn: &mut Turn<'_>,
        event: MemberEvent,
        by: Option<NodeName>,
    ) {
        if event.peer.name == self.settings.node.name {
            self.refute(turn, &event);
            return;
        }
        if event.peer.data_centre != self.settings.node.data_centre {
            if self.remotes.take_event(turn.now, &event) {
                self.report_liveness(turn, &event);
                self.events.push(spread_event(event, by));
            }
            return;
        }
        let before = self.members.get(&event.peer.name).map(|entry| entry.state);
        if event.state == MemberState::Dead && !self.may_declare_dead(turn, &event) {
            return;
        }
        let change = self.members.update(turn.now, &event);
        let confirmed = by.as_ref().is_some_and(|by| self.confirm_suspicion(&event, by));
        if change == MemberChange::None && !confirmed {
            return;
        }
        if change == MemberChange::State && (before.is_some() || event.state != MemberState::Alive)
        {
            self.report_liveness(turn, &event);
        }
        self.spread(turn, spread_event(event, by));
    }

    /// Counts a further member that holds a suspicion. True if it is new.
    fn confirm_suspicion(&mut self, event: &MemberEvent, by: &NodeName) -> bool {
        let Some(entry) = self.members.get_mut(&event.peer.name) else { return false };
        let same = entry.state == MemberState::Suspect && entry.incarnation == event.incarnation;
        // Two are enough to shorten the wait; more would only be passed around.
        if !same || entry.confirmers.len() >= 2 || entry.confirmers.contains(by) {
            return false;
        }
        entry.confirmers.push(by.clone());
        true
    }

    pub(crate) fn report_liveness(&self, turn: &mut Turn<'_>, event: &MemberEvent) {
        let name = event.peer.name.clone();
        turn.actions.push(ControlAction::Liveness { name, state: event.state });
    }

    /// Contradicts a wrong statement on the node itself with a greater incarnation.
    fn refute(&mut self, turn: &mut Turn<'_>, event: &MemberEvent) {
        let stale = event.incarnation < self.incarnation || event.state == MemberState::Alive;
        if self.leaving || (stale && event.incarnation <= self.incarnation) {
            return;
        }
        self.raise_incarnation(turn, event.incarnation);
    }

    pub(crate) fn raise_incarnation(&mut self, turn: &mut Turn<'_>, above: u64) {
        self.incarnation = turn.now.millis().max(above.max(self.incarnation) + 1);
        let event = self.own_event(MemberState::Alive);
        self.members.update(turn.now, &event);
        self.spread(turn, SpreadEvent::Member(event));
    }

    /// Passes on what came in since the last tick.
    pub(crate) fn step_events(&mut self, turn: &mut Turn<'_>) {
        let events = self.events.take_fresh(FRESH_PEERS as u32);
        if events.is_empty() {
            return;
        }
        for peer in self.random_members(FRESH_PEERS, "") {
            turn.send(&peer, PeerMessage::Events { events: events.clone() });
        }
    }

    /// Peers that each event is sent to.
    pub(crate) fn spread_limit(&self) -> u32 {
        let count = self.members.count().max(2) as u32;
        3 * (u32::BITS - (count - 1).leading_zeros())
    }

    /// Digest over members and exceptions, for comparison with other members of the data centre.
    pub(crate) fn view_digest(&self) -> u32 {
        self.members.view().rotate_left(7) ^ self.remotes.digest()
    }

    pub(crate) fn on_gossip(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        heads: VersionHeads,
        view: u32,
    ) {
        self.on_heads(turn, from, heads);
        self.answer_behind(turn, from, heads.active);
        if view != self.view_digest() {
            let mut digests = self.members.view_buckets().to_vec();
            digests.push(self.remotes.digest());
            turn.send(from, PeerMessage::ViewDigests { digests });
        }
    }

    pub(crate) fn on_view_digests(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        digests: &[u32],
    ) {
        let mut own = self.members.view_buckets().to_vec();
        own.push(self.remotes.digest());
        let pairs = own.iter().zip(digests).enumerate();
        let wanted: Vec<u8> =
            pairs.filter(|(_, (own, other))| own != other).map(|(index, _)| index as u8).collect();
        if !wanted.is_empty() {
            let entries = self.view_entries(&wanted);
            turn.send(from, PeerMessage::ViewEntries { entries, wanted });
        }
    }

    pub(crate) fn on_view_entries(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        entries: Vec<MemberEvent>,
        wanted: &[u8],
    ) {
        let answer = self.view_entries(wanted);
        for event in entries {
            self.take_listed(turn, event);
        }
        if !answer.is_empty() {
            turn.send(from, PeerMessage::ViewEntries { entries: answer, wanted: Vec::new() });
        }
    }

    fn view_entries(&self, wanted: &[u8]) -> Vec<MemberEvent> {
        let mut entries = Vec::new();
        for &bucket in wanted {
            match usize::from(bucket) {
                REMOTE_BUCKET => entries.extend(self.remotes.known_events().cloned()),
                bucket => entries.extend(self.members.bucket_events(bucket)),
            }
        }
        entries
    }

    /// Takes in the platform's list, which adds members and raises doubts about others.
    pub(crate) fn on_vms(
        &mut self,
        turn: &mut Turn<'_>,
        result: Result<ReadAnswer, PlatformFault>,
    ) {
        self.source.vms_watch.pending = false;
        match result {
            Ok(ReadAnswer::Found(record)) => {
                self.source.vms_watch.failures = 0;
                self.source.vms_watch.revision = Some(record.revision);
                if let Ok(list) = serde_json::from_str::<Vec<VmEntry>>(&record.content) {
                    self.take_vms(turn, &list);
                }
            }
            Ok(ReadAnswer::Unchanged) => self.source.vms_watch.failures = 0,
            Ok(ReadAnswer::Absent) | Err(_) => {
                self.source.vms_watch.failures += 1;
                let wait = self.back_off(self.source.vms_watch.failures);
                self.source.vms_watch.retry_at = turn.now + wait;
            }
        }
        self.step_source(turn);
    }

    fn take_vms(&mut self, turn: &mut Turn<'_>, list: &[VmEntry]) {
        let own = self.settings.node.data_centre.clone();
        for vm in list.iter().filter(|vm| vm.peer.data_centre == own) {
            let known = self.members.get(&vm.peer.name).is_some();
            if vm.state == VmState::Live && !known {
                self.learn_peer(turn, &vm.peer, 0);
            }
        }
        let live =
            |name: &str| list.iter().any(|vm| *vm.peer.name == *name && vm.state == VmState::Live);
        let doubtful: Vec<NodeName> = self
            .members
            .entries()
            .filter(|entry| entry.peer.name != self.settings.node.name)
            .filter(|entry| is_doubtful(entry.state, entry.heard, turn.now))
            .filter(|entry| !live(&entry.peer.name))
            .map(|entry| entry.peer.name.clone())
            .collect();
        for name in doubtful {
            self.confirm_departure(turn, &name);
        }
    }

    /// The platform no longer lists a suspected member: that counts as a second voice.
    fn confirm_departure(&mut self, turn: &mut Turn<'_>, name: &str) {
        let Some(entry) = self.members.get(name) else { return };
        let event = MemberEvent { state: MemberState::Suspect, ..entry.event() };
        self.take_member(turn, event, Some("platform".into()));
    }
}

fn is_doubtful(state: MemberState, heard: ClockTime, now: ClockTime) -> bool {
    state == MemberState::Suspect && now.since(heard).millis() > FRESH_HEARD_MS
}

fn spread_event(member: MemberEvent, by: Option<NodeName>) -> SpreadEvent {
    match by {
        Some(by) => SpreadEvent::Suspicion { member, by },
        None => SpreadEvent::Member(member),
    }
}
