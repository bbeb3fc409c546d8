//! The control state: takes an input and a time and decides on actions.

use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

use crate::clock::ClockTime;
use crate::config::{NodeName, SpreadPreference};
use crate::control::{ControlAction, ControlInput, ControlSettings};
use crate::crashes::CrashTable;
use crate::events::EventQueue;
use crate::gateways::RemoteTable;
use crate::head_check::HeadCheck;
use crate::members::{MemberRank, MemberTable};
use crate::message::{MemberState, PeerAddress, PeerMessage, VersionHeads};
use crate::probes::ProbeState;
use crate::source::SourceReader;
use crate::start::StartState;
use crate::status::{ControlCounters, ControlStatus, MemberStatus, SourceState};
use crate::transfer::TransferState;
use crate::versions::VersionStore;

/// Number of nodes of a data centre that watch the platform: the first live members in hash order.
pub(crate) const READER_COUNT: usize = 2;

/// The decisions of a node on versions, distribution and membership.
#[derive(Debug)]
pub struct ControlState {
    pub(crate) settings: ControlSettings,
    pub(crate) rng: Pcg32,
    pub(crate) own: MemberRank,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) start: StartState,
    pub(crate) members: MemberTable,
    pub(crate) remotes: RemoteTable,
    pub(crate) probes: ProbeState,
    pub(crate) events: EventQueue,
    pub(crate) crashes: CrashTable,
    pub(crate) versions: VersionStore,
    /// Targets that the active configuration names, by service.
    pub(crate) targets: FxHashMap<Arc<str>, Vec<PeerAddress>>,
    pub(crate) transfer: TransferState,
    pub(crate) source: SourceReader,
    pub(crate) head_check: HeadCheck,
    pub(crate) gossip_at: ClockTime,
    pub(crate) counters: ControlCounters,
}

/// The time of an input and the actions decided on so far.
#[derive(Debug)]
pub(crate) struct Turn<'a> {
    pub(crate) now: ClockTime,
    pub(crate) actions: &'a mut Vec<ControlAction>,
}

impl Turn<'_> {
    pub(crate) fn send(&mut self, to: &PeerAddress, message: PeerMessage) {
        self.actions.push(ControlAction::Send { to: to.clone(), message });
    }

    pub(crate) fn reset_link(&mut self, peer: &PeerAddress) {
        self.actions.push(ControlAction::ResetLink { peer: peer.clone() });
    }
}

impl ControlState {
    /// Creates the state of a node that knows nothing but its settings. `seed` starts its random
    /// numbers.
    pub fn new(settings: ControlSettings, seed: u64) -> ControlState {
        ControlState {
            own: MemberRank::new(&settings.node.name),
            rng: Pcg32::seed_from_u64(seed),
            incarnation: 0,
            leaving: false,
            start: StartState::default(),
            members: MemberTable::new(),
            remotes: RemoteTable::default(),
            probes: ProbeState::default(),
            events: EventQueue::default(),
            crashes: CrashTable::default(),
            versions: VersionStore::default(),
            targets: FxHashMap::default(),
            transfer: TransferState::default(),
            source: SourceReader::default(),
            head_check: HeadCheck::default(),
            gossip_at: ClockTime::ZERO,
            counters: ControlCounters::default(),
            settings,
        }
    }

    /// Takes in what happened at `now` and appends what the host is to do.
    pub fn handle(
        &mut self,
        now: ClockTime,
        input: ControlInput,
        actions: &mut Vec<ControlAction>,
    ) {
        let first = actions.len();
        let mut turn = Turn { now, actions };
        self.begin(&mut turn);
        match input {
            ControlInput::Tick => self.on_tick(&mut turn),
            ControlInput::Peer { from, message } => self.on_message(&mut turn, &from, message),
            ControlInput::HeadRead { result } => self.on_head(&mut turn, result),
            ControlInput::ValueRead { key, result } => self.on_value(&mut turn, &key, result),
            ControlInput::VmsRead { result } => self.on_vms(&mut turn, result),
            ControlInput::LinkLost { peer } => self.on_link_lost(&mut turn, &peer),
            ControlInput::CrashSeen { fingerprints } => {
                self.report_runs(&mut turn, fingerprints, false);
            }
            ControlInput::RunsCompleted { fingerprints } => {
                self.report_runs(&mut turn, fingerprints, true);
            }
            ControlInput::Leave => self.on_leave(&mut turn),
        }
        self.count(&actions[first..]);
    }

    /// The present state, for operators and tests.
    pub fn status(&self) -> ControlStatus {
        ControlStatus {
            node: self.settings.node.name.clone(),
            data_centre: self.settings.node.data_centre.clone(),
            incarnation: self.incarnation,
            active: self.versions.active(),
            seen: self.versions.seen,
            since: self.versions.since,
            arrival: self.versions.arrival,
            ready: self.start.ready,
            leaving: self.leaving,
            source: self.source_state(),
            reader: self.is_reader(),
            serving: self.transfer.slots.len(),
            members: self.member_statuses(),
            rejected: self.versions.rejected.iter().cloned().collect(),
            clashes: self.versions.clashes.iter().copied().collect(),
            quarantined: self.crashes.quarantined(),
            counters: self.counters,
        }
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let own = self.members.entries().map(|entry| entry.event());
        let events = own.chain(self.remotes.exceptions().cloned());
        let status = |event: crate::message::MemberEvent| MemberStatus {
            name: event.peer.name,
            data_centre: event.peer.data_centre,
            state: event.state,
            incarnation: event.incarnation,
        };
        events.map(status).collect()
    }

    fn source_state(&self) -> SourceState {
        if !self.is_reader() {
            return SourceState::NotRead;
        }
        self.source.state(self.versions.seen)
    }

    fn on_tick(&mut self, turn: &mut Turn<'_>) {
        self.check_pause(turn);
        self.step_start(turn);
        self.step_probes(turn);
        self.step_suspicions(turn);
        self.step_source(turn);
        self.step_head_check(turn);
        self.step_transfers(turn);
        self.step_gossip(turn);
        self.step_gateways(turn);
        self.step_crashes(turn);
        self.step_events(turn);
        self.check_ready(turn);
    }

    fn on_message(&mut self, turn: &mut Turn<'_>, from: &PeerAddress, message: PeerMessage) {
        if from.name == self.settings.node.name {
            return;
        }
        self.counters.messages_received += 1;
        self.hear(turn, from);
        match message {
            PeerMessage::Announce { active, seen } => {
                self.on_heads(turn, from, VersionHeads::new(active, seen));
                self.answer_behind(turn, from, active);
            }
            PeerMessage::Push { delta } => self.on_push(turn, from, delta),
            PeerMessage::Pull { have } => self.on_pull(turn, from, have),
            PeerMessage::Busy { retry_ms } => self.on_busy(turn, from, retry_ms),
            PeerMessage::Digests { version, digests } => {
                self.on_digests(turn, from, version, digests);
            }
            PeerMessage::PullBuckets { version, buckets } => {
                self.on_pull_buckets(turn, from, version, buckets);
            }
            PeerMessage::Buckets { version, buckets } => {
                self.on_buckets(turn, from, version, buckets);
            }
            PeerMessage::PullParts { parts } => self.on_pull_parts(turn, from, parts),
            PeerMessage::Chunk { hash, offset, total, content } => {
                self.on_chunk(turn, from, hash, offset, total, &content);
            }
            PeerMessage::PullDone => self.on_pull_done(from),
            PeerMessage::Missed { version } => self.on_missed(turn, from, version),
            PeerMessage::Probe { sequence, incarnation, heads, events } => {
                self.on_probe(turn, from, sequence, incarnation, heads, events);
            }
            PeerMessage::Ack { sequence, incarnation, heads, events } => {
                self.on_ack(turn, from, sequence, incarnation, heads, events);
            }
            PeerMessage::ProbeFor { sequence, target } => {
                self.on_probe_for(turn, from, sequence, &target);
            }
            PeerMessage::ProbeResult { sequence, incarnation } => {
                self.on_probe_result(turn, from, sequence, incarnation);
            }
            PeerMessage::Gossip { heads, view } => self.on_gossip(turn, from, heads, view),
            PeerMessage::ViewDigests { digests } => self.on_view_digests(turn, from, &digests),
            PeerMessage::ViewEntries { entries, wanted } => {
                self.on_view_entries(turn, from, entries, &wanted);
            }
            PeerMessage::Events { events } => self.on_events(turn, events),
            PeerMessage::Join { incarnation } => self.on_join(turn, from, incarnation),
            PeerMessage::Welcome { incarnation, heads, members } => {
                self.on_welcome(turn, from, incarnation, heads, members);
            }
            PeerMessage::GatewayHead { heads, exceptions, answer } => {
                self.on_gateway_head(turn, from, heads, exceptions, answer);
            }
            PeerMessage::PullExceptions { known } => self.on_pull_exceptions(turn, from, &known),
            PeerMessage::Exceptions { entries } => self.on_exceptions(turn, entries),
        }
    }

    fn count(&mut self, actions: &[ControlAction]) {
        for action in actions {
            match action {
                ControlAction::Send { message, .. } => {
                    self.counters.messages_sent += 1;
                    self.counters.pulls += u64::from(matches!(message, PeerMessage::Pull { .. }));
                }
                ControlAction::WatchHead { .. }
                | ControlAction::ReadValue { .. }
                | ControlAction::WatchVms { .. } => self.counters.platform_calls += 1,
                ControlAction::ResetLink { .. } => self.counters.resets += 1,
                ControlAction::Install(_)
                | ControlAction::Liveness { .. }
                | ControlAction::Quarantine { .. } => (),
            }
        }
    }

    /// Position of the node itself among the live members.
    pub(crate) fn own_index(&self) -> Option<usize> {
        self.members.index_of(&self.own)
    }

    /// Whether the node reads the platform for its data centre and is one of its gateways.
    pub(crate) fn is_reader(&self) -> bool {
        self.may_read_platform() && self.own_index().is_some_and(|index| index < READER_COUNT)
    }

    /// Whether the node has asked its peers and does not leave.
    pub(crate) fn may_read_platform(&self) -> bool {
        self.start.is_over() && !self.leaving
    }

    /// Optimisation goal of the active configuration.
    pub(crate) fn preference(&self) -> SpreadPreference {
        let fleet = self.versions.snapshot.as_ref().map(|snapshot| snapshot.fleet());
        fleet.map_or(SpreadPreference::default(), |fleet| fleet.preference)
    }

    pub(crate) fn heads(&self) -> VersionHeads {
        VersionHeads::new(self.versions.active(), self.versions.seen)
    }

    /// A random number below `bound`, which is not zero.
    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound as u64) as usize
    }

    /// `span_ms` changed at random by up to a half either way.
    pub(crate) fn jitter(&mut self, span_ms: u64) -> u64 {
        span_ms / 2 + self.random_below(span_ms as usize + 1) as u64
    }

    /// Up to `count` distinct live members other than the node itself and `except`.
    pub(crate) fn random_members(&mut self, count: usize, except: &str) -> Vec<PeerAddress> {
        let total = self.members.count();
        let mut chosen: Vec<PeerAddress> = Vec::with_capacity(count);
        // Random draws can repeat; a few more of them fill the list with high probability.
        for _ in 0..4 * count {
            if chosen.len() == count || total < 2 {
                break;
            }
            let index = self.random_below(total);
            let entry = self.members.at(index);
            let taken = |name: &NodeName| chosen.iter().any(|peer| peer.name == *name);
            let usable = entry.state == MemberState::Alive && *entry.peer.name != *except;
            if usable && entry.peer.name != self.settings.node.name && !taken(&entry.peer.name) {
                chosen.push(entry.peer.clone());
            }
        }
        chosen
    }
}
