//! Ring probes, indirect probes, suspicions and their ends.

use std::collections::VecDeque;

use crate::clock::ClockTime;
use crate::config::SpreadPreference;
use crate::events::SpreadEvent;
use crate::message::{MemberEvent, MemberState, PeerAddress, PeerMessage, VersionHeads};
use crate::state::{ControlState, Turn};

/// Ring successors that a node probes in turn, one each second.
const RING_PROBES: u64 = 3;

/// Interval of probes, in milliseconds.
const PROBE_MS: u64 = 1_000;

/// Wait for an answer before other members are asked to probe.
const ACK_MS: u64 = 1_000;

/// Wait for the other members' answers. Two delays inside a data centre and two ticks fit in.
const INDIRECT_MS: u64 = 600;

/// How long a helper waits for the third node's answer.
const HELPER_MS: u64 = 400;

/// Members asked to probe.
const HELPERS: usize = 2;

/// A suspicion that is not refuted ends in this time, in milliseconds.
const SUSPICION_MS: u64 = 5_000;

/// The same when two distinct members hold it.
const CONFIRMED_MS: u64 = 2_000;

/// Probe outcomes by which a node judges itself.
const OUTCOMES: usize = 12;

/// Every how many seconds a dead member is probed, so that two halves of a data centre that have
/// given each other up find together again.
const REVIVAL_SECONDS: u64 = 5;

#[derive(Debug)]
struct PendingProbe {
    sequence: u32,
    target: PeerAddress,
    sent: ClockTime,
    /// When other members were asked.
    asked: Option<ClockTime>,
    /// Whether any of them answered, even if only to say that the target does not.
    helped: bool,
}

#[derive(Debug)]
struct HelpedProbe {
    sequence: u32,
    asker: PeerAddress,
    asker_sequence: u32,
    target: PeerAddress,
    sent: ClockTime,
}

/// Probes on their way, own and for others.
#[derive(Debug, Default)]
pub(crate) struct ProbeState {
    sequence: u32,
    second: u64,
    pending: Vec<PendingProbe>,
    helping: Vec<HelpedProbe>,
    /// Recent probes that failed without any sign of life from the rest of the data centre.
    outcomes: VecDeque<bool>,
    dead_second: u64,
    dead_count: usize,
}

impl ProbeState {
    pub(crate) fn begin(&mut self, now: ClockTime) {
        self.second = now.millis() / PROBE_MS;
    }

    /// Forgets what is on its way, after a pause.
    pub(crate) fn abandon(&mut self) {
        self.pending.clear();
        self.helping.clear();
        self.outcomes.clear();
    }

    fn note_outcome(&mut self, failed: bool) {
        if self.outcomes.len() == OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(failed);
    }

    /// Whether so many probes fail that the node itself is the likely cause.
    fn is_cut_off(&self) -> bool {
        let failed = self.outcomes.iter().filter(|failed| **failed).count();
        4 * failed > self.outcomes.len()
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}

impl ControlState {
    /// Sends the probe of this second and follows up on the earlier ones.
    pub(crate) fn step_probes(&mut self, turn: &mut Turn<'_>) {
        let second = turn.now.millis() / PROBE_MS;
        if second != self.probes.second {
            self.probes.second = second;
            self.probe_successor(turn, 1 + (second % RING_PROBES) as usize);
            if second.is_multiple_of(REVIVAL_SECONDS) {
                self.probe_dead(turn);
            }
        }
        self.step_pending(turn);
        self.step_helping(turn);
    }

    /// The distance is derived from the wall clock, so that each node is probed once a second by one
    /// of its three predecessors.
    fn probe_successor(&mut self, turn: &mut Turn<'_>, distance: usize) {
        let own = self.own.clone();
        if self.leaving {
            return;
        }
        if let Some(target) = self.members.successor(&own, distance) {
            let target = target.peer.clone();
            self.send_probe(turn, target);
        }
    }

    fn probe_dead(&mut self, turn: &mut Turn<'_>) {
        let gone = self.members.entries().filter(|entry| entry.state == MemberState::Dead);
        let gone: Vec<PeerAddress> = gone.map(|entry| entry.peer.clone()).collect();
        if !gone.is_empty() {
            let index = self.random_below(gone.len());
            let sequence = self.probes.next_sequence();
            self.send_heartbeat(turn, &gone[index], sequence, true);
        }
    }

    fn send_probe(&mut self, turn: &mut Turn<'_>, target: PeerAddress) {
        let sequence = self.probes.next_sequence();
        self.send_heartbeat(turn, &target, sequence, true);
        let (sent, asked, helped) = (turn.now, None, false);
        self.probes.pending.push(PendingProbe { sequence, target, sent, asked, helped });
    }

    /// Sends a probe or its answer, with the versions when they are due and with events.
    fn send_heartbeat(
        &mut self,
        turn: &mut Turn<'_>,
        to: &PeerAddress,
        sequence: u32,
        probe: bool,
    ) {
        let limit = self.spread_limit();
        let mut events = self.events.take_some(limit);
        // A peer that is thought to be gone is told, so that it can refute that.
        if let Some(entry) = self.members.get(&to.name)
            && entry.state != MemberState::Alive
        {
            events.push(SpreadEvent::Member(entry.event()));
        }
        let due = match self.preference() {
            SpreadPreference::Convergence => true,
            SpreadPreference::Bytes => self.probes.second.is_multiple_of(3),
        };
        let heads = due.then(|| self.heads());
        let incarnation = self.incarnation;
        let message = if probe {
            PeerMessage::Probe { sequence, incarnation, heads, events }
        } else {
            PeerMessage::Ack { sequence, incarnation, heads, events }
        };
        turn.send(to, message);
    }

    /// Takes in what a probe and its ack have in common.
    fn take_heartbeat(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        incarnation: u64,
        heads: Option<VersionHeads>,
        events: Vec<SpreadEvent>,
    ) {
        self.learn_peer(turn, from, incarnation);
        self.on_events(turn, events);
        if let Some(heads) = heads {
            self.on_heads(turn, from, heads);
        }
    }

    pub(crate) fn on_probe(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        sequence: u32,
        incarnation: u64,
        heads: Option<VersionHeads>,
        events: Vec<SpreadEvent>,
    ) {
        self.take_heartbeat(turn, from, incarnation, heads, events);
        self.send_heartbeat(turn, from, sequence, false);
    }

    pub(crate) fn on_ack(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        sequence: u32,
        incarnation: u64,
        heads: Option<VersionHeads>,
        events: Vec<SpreadEvent>,
    ) {
        self.take_heartbeat(turn, from, incarnation, heads, events);
        if let Some(index) = self.probes.pending.iter().position(|p| p.sequence == sequence) {
            self.probes.pending.swap_remove(index);
            self.probes.note_outcome(false);
        }
        if let Some(index) = self.probes.helping.iter().position(|p| p.sequence == sequence) {
            let helped = self.probes.helping.swap_remove(index);
            let (sequence, incarnation) = (helped.asker_sequence, Some(incarnation));
            turn.send(&helped.asker, PeerMessage::ProbeResult { sequence, incarnation });
        }
        if self.members.get(&from.name).is_some_and(|entry| entry.state == MemberState::Dead) {
            self.tell_gone(turn, from);
        }
    }

    /// Tells a peer that answers that it is thought to be gone.
    fn tell_gone(&mut self, turn: &mut Turn<'_>, peer: &PeerAddress) {
        if let Some(entry) = self.members.get(&peer.name) {
            let events = vec![SpreadEvent::Member(entry.event())];
            turn.send(peer, PeerMessage::Events { events });
        }
    }

    pub(crate) fn on_probe_for(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        sequence: u32,
        target: &PeerAddress,
    ) {
        let asker_sequence = sequence;
        let sequence = self.probes.next_sequence();
        self.send_heartbeat(turn, target, sequence, true);
        self.probes.helping.push(HelpedProbe {
            sequence,
            asker: from.clone(),
            asker_sequence,
            target: target.clone(),
            sent: turn.now,
        });
    }

    pub(crate) fn on_probe_result(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        sequence: u32,
        incarnation: Option<u64>,
    ) {
        let pending = &mut self.probes.pending;
        let Some(index) = pending.iter().position(|p| p.sequence == sequence) else { return };
        if from.name == pending[index].target.name {
            return;
        }
        pending[index].helped = true;
        let Some(incarnation) = incarnation else { return };
        let probe = pending.swap_remove(index);
        self.probes.note_outcome(false);
        // The target lives, so the link to it is at fault.
        turn.reset_link(&probe.target);
        self.learn_peer(turn, &probe.target, incarnation);
    }

    fn step_pending(&mut self, turn: &mut Turn<'_>) {
        let pending = std::mem::take(&mut self.probes.pending);
        for mut probe in pending {
            let waited = turn.now.since(probe.sent).millis();
            match probe.asked {
                None if waited >= ACK_MS => {
                    self.ask_helpers(turn, &probe);
                    probe.asked = Some(turn.now);
                    self.probes.pending.push(probe);
                }
                Some(asked) if turn.now.since(asked).millis() >= INDIRECT_MS => {
                    self.fail_probe(turn, probe);
                }
                _ => self.probes.pending.push(probe),
            }
        }
    }

    fn ask_helpers(&mut self, turn: &mut Turn<'_>, probe: &PendingProbe) {
        let sequence = probe.sequence;
        for helper in self.random_members(HELPERS, &probe.target.name) {
            let target = probe.target.clone();
            turn.send(&helper, PeerMessage::ProbeFor { sequence, target });
        }
    }

    fn fail_probe(&mut self, turn: &mut Turn<'_>, probe: PendingProbe) {
        // With no other member to ask there is nobody to hear from.
        let heard = probe.helped || self.members.count() <= 2;
        self.probes.note_outcome(!heard);
        // What the target sends may still arrive: the link that has gone silent is the one to it.
        turn.reset_link(&probe.target);
        if self.probes.is_cut_off() || turn.now < self.start.hold_until {
            return;
        }
        let Some(entry) = self.members.get(&probe.target.name) else { return };
        if entry.state <= MemberState::Suspect {
            let event = MemberEvent { state: MemberState::Suspect, ..entry.event() };
            let own = self.settings.node.name.clone();
            self.take_member(turn, event, Some(own));
        }
    }

    fn step_helping(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        self.probes.helping.retain(|helped| {
            let waiting = now.since(helped.sent).millis() < HELPER_MS;
            if !waiting {
                let (sequence, incarnation) = (helped.asker_sequence, None);
                turn.send(&helped.asker, PeerMessage::ProbeResult { sequence, incarnation });
            }
            waiting
        });
    }

    /// A link broke. A ring successor is probed at once; if the probe's own link breaks too, other
    /// members are asked without further wait.
    pub(crate) fn on_link_lost(&mut self, turn: &mut Turn<'_>, peer: &PeerAddress) {
        self.fail_helping(turn, peer);
        self.on_remote_lost(turn, peer);
        let now = turn.now;
        let pending = &mut self.probes.pending;
        if let Some(index) = pending.iter().position(|probe| probe.target.name == peer.name) {
            let mut probe = pending.swap_remove(index);
            if probe.asked.is_none() {
                self.ask_helpers(turn, &probe);
                probe.asked = Some(now);
            }
            self.probes.pending.push(probe);
            return;
        }
        let own = self.own.clone();
        let is_next = |distance: u64| {
            let next = self.members.successor(&own, distance as usize);
            next.is_some_and(|entry| entry.peer.name == peer.name)
        };
        if (1..=RING_PROBES).any(is_next) && !self.leaving {
            self.send_probe(turn, peer.clone());
        }
    }

    fn fail_helping(&mut self, turn: &mut Turn<'_>, peer: &PeerAddress) {
        self.probes.helping.retain(|helped| {
            let lost = helped.target.name == peer.name;
            if lost {
                let (sequence, incarnation) = (helped.asker_sequence, None);
                turn.send(&helped.asker, PeerMessage::ProbeResult { sequence, incarnation });
            }
            !lost
        });
    }

    /// Ends suspicions that were not refuted in time.
    pub(crate) fn step_suspicions(&mut self, turn: &mut Turn<'_>) {
        if turn.now < self.start.hold_until || self.probes.is_cut_off() {
            return;
        }
        for event in self.members.overdue(turn.now, SUSPICION_MS, CONFIRMED_MS) {
            self.take_member(turn, event, None);
        }
    }

    /// At most a tenth of the data centre is declared dead in a second, whoever says so: a fault that
    /// hits more at once is more likely in the network or in the observer.
    pub(crate) fn may_declare_dead(&mut self, turn: &Turn<'_>, event: &MemberEvent) -> bool {
        let Some(entry) = self.members.get(&event.peer.name) else { return true };
        if entry.state > MemberState::Suspect || event.incarnation < entry.incarnation {
            return true;
        }
        let second = turn.now.millis() / 1_000;
        if second != self.probes.dead_second {
            self.probes.dead_second = second;
            self.probes.dead_count = 0;
        }
        if self.probes.dead_count >= (self.members.count() / 10).max(1) {
            return false;
        }
        self.probes.dead_count += 1;
        true
    }

    /// Members that probe this node or that it probes.
    pub(crate) fn ring_neighbours(&self) -> Vec<PeerAddress> {
        let Some(index) = self.own_index() else { return Vec::new() };
        let count = self.members.count();
        let reach = (RING_PROBES as usize).min(count - 1);
        let after = (1..=reach).map(|step| (index + step) % count);
        let before = (1..=reach).map(|step| (index + count - step) % count);
        after.chain(before).map(|index| self.members.at(index).peer.clone()).collect()
    }
}
