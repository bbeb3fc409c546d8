//! Start of a node, pauses of its process, and its planned end.

use std::collections::BTreeSet;

use crate::clock::{ClockSpan, ClockTime};
use crate::control::ControlAction;
use crate::members::MemberRank;
use crate::message::{MemberEvent, MemberState, PeerAddress, PeerMessage, VersionHeads};
use crate::state::{ControlState, Turn};
use crate::version::VersionId;

/// Peers of the own data centre that a starting node asks.
const ASKED_PEERS: usize = 5;

/// Starts are spread over this time, so that nodes restarted together do not ask together.
const START_SPREAD_MS: u64 = 300;

/// How long answers to the first question are awaited.
const ANSWER_MS: u64 = 1_000;

/// A node serves with the best version reachable after this time.
const SERVE_ANYWAY_MS: u64 = 5_000;

/// Longest pause between repeated questions while no member has answered.
const JOIN_AGAIN_MS: u64 = 5_000;

/// A longer gap between ticks means that the process was paused.
const PAUSE_MS: u64 = 2_000;

/// After a pause, no member is suspected for this time.
const PAUSE_HOLD_MS: u64 = 2_000;

/// Members in a first view besides the readers and the ring neighbours.
const WELCOME_MEMBERS: usize = 24;

/// Versions named by peers that are kept during the start.
const WANTED_LIMIT: usize = 16;

/// Peers that a leaving node tells itself.
const LEAVE_PEERS: usize = 8;

/// How far the start has come.
#[derive(Debug, Default)]
pub(crate) struct StartState {
    /// When the node started; nothing before the first input.
    started: Option<ClockTime>,
    last_tick: ClockTime,
    join_at: ClockTime,
    joins: u32,
    asked: usize,
    answers: usize,
    own_answers: usize,
    /// Versions that peers had applied or heard of. All are kept, because the greatest may turn out to be
    /// one that is rejected.
    wanted: BTreeSet<VersionId>,
    over: bool,
    pub(crate) ready: bool,
    /// Until when no member may be suspected.
    pub(crate) hold_until: ClockTime,
}

impl StartState {
    /// Whether the node has asked its peers, so that it may take up duties.
    pub(crate) fn is_over(&self) -> bool {
        self.over
    }

    /// Whether the node has waited for its peers as long as it may.
    pub(crate) fn is_wait_over(&self, now: ClockTime) -> bool {
        self.started.is_some_and(|started| now.since(started).millis() >= SERVE_ANYWAY_MS)
    }
}

impl ControlState {
    /// Sets the start time at the first input.
    pub(crate) fn begin(&mut self, turn: &mut Turn<'_>) {
        if self.start.started.is_some() {
            return;
        }
        self.start.started = Some(turn.now);
        self.start.last_tick = turn.now;
        let delay = self.random_below(START_SPREAD_MS as usize) as u64;
        self.start.join_at = turn.now + ClockSpan::new(delay);
        self.incarnation = turn.now.millis();
        self.probes.begin(turn.now);
        let own = self.own_event(MemberState::Alive);
        self.members.update(turn.now, &own);
        for peer in self.settings.seeds.clone() {
            if peer.data_centre == self.settings.node.data_centre {
                let state = MemberState::Alive;
                self.take_listed(turn, MemberEvent { peer, incarnation: 0, state });
            } else {
                self.remotes.add(&peer, false);
            }
        }
    }

    pub(crate) fn own_event(&self, state: MemberState) -> MemberEvent {
        let peer = self.settings.node.clone();
        MemberEvent { peer, incarnation: self.incarnation, state }
    }

    /// Takes in a node that showed up or was named as a seed.
    pub(crate) fn learn_peer(&mut self, turn: &mut Turn<'_>, peer: &PeerAddress, incarnation: u64) {
        if peer.name == self.settings.node.name {
            return;
        }
        if peer.data_centre != self.settings.node.data_centre {
            self.remotes.add(peer, false);
            return;
        }
        let event = MemberEvent { peer: peer.clone(), incarnation, state: MemberState::Alive };
        self.take_member(turn, event, None);
    }

    /// Asks peers for versions and members until one of the own data centre has answered.
    pub(crate) fn step_start(&mut self, turn: &mut Turn<'_>) {
        let Some(started) = self.start.started else { return };
        let alone = self.start.own_answers == 0;
        if turn.now >= self.start.join_at && alone && self.start.joins < 100 {
            self.send_joins(turn);
        }
        let waited = turn.now.since(started).millis();
        let all_answered = self.start.joins > 0 && self.start.answers >= self.start.asked;
        if all_answered || waited >= ANSWER_MS + START_SPREAD_MS {
            self.start.over = true;
        }
    }

    fn send_joins(&mut self, turn: &mut Turn<'_>) {
        let mut peers = self.random_members(ASKED_PEERS, "");
        peers.extend(self.remotes.one_of_each(turn.now));
        self.start.asked = self.start.asked.max(peers.len());
        let incarnation = self.incarnation;
        for peer in peers {
            turn.send(&peer, PeerMessage::Join { incarnation });
        }
        let wait = (ANSWER_MS << self.start.joins.min(3)).min(JOIN_AGAIN_MS);
        self.start.joins += 1;
        self.start.join_at = turn.now + ClockSpan::new(self.jitter(wait));
    }

    pub(crate) fn on_join(&mut self, turn: &mut Turn<'_>, from: &PeerAddress, incarnation: u64) {
        self.learn_peer(turn, from, incarnation);
        let members = self.first_view(from);
        let heads = self.heads();
        let incarnation = self.incarnation;
        turn.send(from, PeerMessage::Welcome { incarnation, heads, members });
    }

    /// Members for a joining node: the readers, its ring neighbours, some others, and those that
    /// are not alive.
    fn first_view(&mut self, peer: &PeerAddress) -> Vec<MemberEvent> {
        if peer.data_centre != self.settings.node.data_centre {
            return Vec::new();
        }
        let count = self.members.count();
        let rank = MemberRank::new(&peer.name);
        let own = self.members.index_of(&rank).unwrap_or(0);
        let near = (0..4).map(|step| (own + count + step - 1) % count);
        let mut indexes: Vec<usize> = (0..count.min(3)).chain(near).collect();
        for _ in 0..WELCOME_MEMBERS {
            indexes.push(self.random_below(count));
        }
        indexes.sort_unstable();
        indexes.dedup();
        let live = indexes.into_iter().map(|index| self.members.at(index).event());
        let gone = self.members.entries().filter(|entry| entry.state > MemberState::Suspect);
        let gone = gone.map(|entry| entry.event()).take(WELCOME_MEMBERS);
        live.chain(gone).collect()
    }

    pub(crate) fn on_welcome(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        incarnation: u64,
        heads: VersionHeads,
        members: Vec<MemberEvent>,
    ) {
        self.start.answers += 1;
        if from.data_centre == self.settings.node.data_centre {
            self.start.own_answers += 1;
        }
        self.learn_peer(turn, from, incarnation);
        self.start.wanted.extend([heads.active, heads.seen()]);
        while self.start.wanted.len() > WANTED_LIMIT {
            self.start.wanted.pop_first();
        }
        self.on_heads(turn, from, heads);
        for event in members {
            self.take_listed(turn, event);
        }
    }

    /// Starts to serve once the greatest version that peers knew of is applied, or after a while.
    pub(crate) fn check_ready(&mut self, turn: &mut Turn<'_>) {
        let Some(snapshot) = self.versions.snapshot.clone() else { return };
        if self.start.ready {
            return;
        }
        let mut wanted = self.start.wanted.iter().rev();
        let greatest = wanted.find(|version| !self.versions.is_rejected(**version));
        let newest = greatest.is_none_or(|version| snapshot.version() >= *version);
        let current = self.start.over && newest;
        if current || self.start.is_wait_over(turn.now) {
            self.start.ready = true;
            turn.actions.push(ControlAction::Install(snapshot));
        }
    }

    /// Notices that the process was paused: what was on its way is over, and what others believe
    /// may have changed.
    pub(crate) fn check_pause(&mut self, turn: &mut Turn<'_>) {
        let gap = turn.now.since(self.start.last_tick).millis();
        self.start.last_tick = turn.now;
        if gap <= PAUSE_MS {
            return;
        }
        self.counters.pauses += 1;
        if let Some(started) = &mut self.start.started {
            // No answers could come in meanwhile, so the pause must not use up the wait for them.
            *started = *started + ClockSpan::new(gap);
        }
        self.start.hold_until = turn.now + ClockSpan::new(PAUSE_HOLD_MS);
        self.probes.abandon();
        self.transfer.abandon();
        self.remotes.abandon();
        self.members.restart_suspicions(turn.now);
        if !self.leaving {
            self.raise_incarnation(turn, self.incarnation);
        }
        self.send_gossip(turn, 3);
    }

    /// Begins the planned end: the node takes no new work, and everyone is to know at once.
    pub(crate) fn on_leave(&mut self, turn: &mut Turn<'_>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let event = self.own_event(MemberState::Left);
        let mut peers = self.random_members(LEAVE_PEERS, "");
        peers.extend(self.ring_neighbours());
        peers.extend(self.remotes.gateways(0, turn.now));
        peers.extend(self.remotes.gateways(1, turn.now));
        peers.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        peers.dedup();
        for peer in peers {
            let events = vec![crate::events::SpreadEvent::Member(event.clone())];
            turn.send(&peer, PeerMessage::Events { events });
        }
        self.members.update(turn.now, &event);
        self.spread(turn, crate::events::SpreadEvent::Member(event));
    }
}
