//! Other data centres: their gateways, and their targets that are not alive.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::{ClockSpan, ClockTime};
use crate::config::NodeName;
use crate::events::SpreadEvent;
use crate::members::MemberRank;
use crate::message::{MemberEvent, MemberState, PeerAddress, PeerMessage, VersionHeads};
use crate::state::{ControlState, Turn};

/// Interval at which gateways repeat their announcements, in milliseconds. A new version is
/// announced at once.
const ANNOUNCE_MS: u64 = 3_000;

/// Repetition after a new version, in milliseconds, in case the first announcement was lost.
const REPEAT_MS: u64 = 1_000;

/// A gateway that does not answer for this time is passed over.
const ANSWER_MS: u64 = 2_500;

/// How long it is passed over.
const PASS_OVER_MS: u64 = 15_000;

/// Interval of questions for exceptions, in milliseconds.
const EXCEPTIONS_MS: u64 = 2_000;

/// A suspicion from another data centre lapses after this time. Its end there, refuted or not, is an
/// event too, but a lost refutation must not keep a live target out of use.
const SUSPICION_MS: u64 = 10_000;

/// Latest event on a target of another data centre.
#[derive(Debug)]
struct RemoteEvent {
    event: MemberEvent,
    since: ClockTime,
    /// Whether the event is a suspicion whose time is over.
    lapsed: bool,
}

impl RemoteEvent {
    fn is_exception(&self) -> bool {
        self.event.state != MemberState::Alive && !self.lapsed
    }
}

/// A node of another data centre.
#[derive(Debug)]
struct RemotePeer {
    peer: PeerAddress,
    configured: bool,
    silent_until: ClockTime,
}

impl RemotePeer {
    fn pass_over(&mut self, now: ClockTime) {
        self.silent_until = now + ClockSpan::new(PASS_OVER_MS);
    }
}

/// Another data centre.
#[derive(Debug, Default)]
struct RemoteCentre {
    peers: BTreeMap<MemberRank, RemotePeer>,
    /// Latest events on configured targets that are or were not alive.
    events: BTreeMap<NodeName, RemoteEvent>,
    /// Gateway that owes an answer, and since when.
    asked: Option<(MemberRank, ClockTime)>,
    pulled_at: ClockTime,
}

impl RemoteCentre {
    /// The gateway with `index`. When all nodes are passed over, as in a partition, it is the one whose
    /// time ends first, so that the end of the partition is noticed.
    fn gateway(&self, index: usize, now: ClockTime) -> Option<&RemotePeer> {
        let gone =
            |name| self.events.get(name).is_some_and(|e| e.event.state > MemberState::Suspect);
        let present = self.peers.iter().filter(|(rank, _)| !gone(&rank.name)).map(|(_, peer)| peer);
        let mut usable = present.clone().filter(|peer| peer.silent_until <= now);
        let first = usable.next();
        let chosen = if index == 0 { first } else { usable.nth(index - 1).or(first) };
        chosen.or_else(|| present.min_by_key(|peer| peer.silent_until))
    }

    fn digest(&self) -> u32 {
        self.events.values().fold(0, |digest, known| digest ^ exception_mark(&known.event))
    }
}

/// The other data centres by name.
#[derive(Debug, Default)]
pub(crate) struct RemoteTable {
    centres: BTreeMap<Arc<str>, RemoteCentre>,
    announce_at: ClockTime,
    repeat_at: Option<ClockTime>,
    news: bool,
}

impl RemoteTable {
    /// Adds a node of another data centre.
    pub(crate) fn add(&mut self, peer: &PeerAddress, configured: bool) {
        let centre = self.centres.entry(peer.data_centre.clone()).or_default();
        let rank = MemberRank::new(&peer.name);
        let silent_until = ClockTime::ZERO;
        let entry = RemotePeer { peer: peer.clone(), configured, silent_until };
        let known = centre.peers.entry(rank).or_insert(entry);
        known.configured |= configured;
        if configured {
            known.peer = peer.clone();
        }
    }

    /// Forgets a target that the configuration no longer names.
    pub(crate) fn forget(&mut self, peer: &PeerAddress) {
        if let Some(centre) = self.centres.get_mut(&peer.data_centre) {
            centre.peers.remove(&MemberRank::new(&peer.name));
            centre.events.remove(&peer.name);
        }
    }

    pub(crate) fn hear(&mut self, peer: &PeerAddress, _now: ClockTime) {
        self.add(peer, false);
        let Some(centre) = self.centres.get_mut(&peer.data_centre) else { return };
        if let Some(known) = centre.peers.get_mut(&MemberRank::new(&peer.name)) {
            known.silent_until = ClockTime::ZERO;
        }
        if centre.asked.as_ref().is_some_and(|(rank, _)| rank.name == peer.name) {
            centre.asked = None;
        }
    }

    /// Forgets open questions, after a pause.
    pub(crate) fn abandon(&mut self) {
        for centre in self.centres.values_mut() {
            centre.asked = None;
        }
    }

    /// The gateway with `index` of every other data centre.
    pub(crate) fn gateways(&self, index: usize, now: ClockTime) -> Vec<PeerAddress> {
        let centres = self.centres.values();
        centres.filter_map(|centre| centre.gateway(index, now)).map(|e| e.peer.clone()).collect()
    }

    /// One node of each other data centre, for a node that starts.
    pub(crate) fn one_of_each(&self, now: ClockTime) -> Vec<PeerAddress> {
        self.gateways(0, now)
    }

    /// Takes in an event on a configured target. True if it is news.
    pub(crate) fn take_event(&mut self, now: ClockTime, event: &MemberEvent) -> bool {
        let Some(centre) = self.centres.get_mut(&event.peer.data_centre) else { return false };
        let known = centre.peers.get(&MemberRank::new(&event.peer.name));
        if !known.is_some_and(|known| known.configured) {
            return false;
        }
        let news = match centre.events.get(&event.peer.name) {
            None => event.state != MemberState::Alive,
            Some(RemoteEvent { event: old, .. }) => {
                let newer = event.incarnation > old.incarnation;
                let same = event.incarnation == old.incarnation;
                (newer && event.state != old.state) || (same && event.state > old.state)
            }
        };
        if news {
            let known = RemoteEvent { event: event.clone(), since: now, lapsed: false };
            centre.events.insert(event.peer.name.clone(), known);
        }
        news
    }

    /// Targets that are not alive.
    pub(crate) fn exceptions(&self) -> impl Iterator<Item = &MemberEvent> {
        let events = self.centres.values().flat_map(|centre| centre.events.values());
        events.filter(|known| known.is_exception()).map(|known| &known.event)
    }

    /// Latest events on targets that are or were not alive, without suspicions.
    pub(crate) fn known_events(&self) -> impl Iterator<Item = &MemberEvent> {
        let events = self.centres.values().flat_map(|centre| centre.events.values());
        events.map(|known| &known.event).filter(|event| event.state != MemberState::Suspect)
    }

    /// Ends suspicions whose time is over; the targets count as alive again.
    fn lapse_suspicions(&mut self, now: ClockTime) -> Vec<MemberEvent> {
        let mut lapsed = Vec::new();
        for known in self.centres.values_mut().flat_map(|centre| centre.events.values_mut()) {
            let over = now.since(known.since).millis() >= SUSPICION_MS;
            if over && !known.lapsed && known.event.state == MemberState::Suspect {
                known.lapsed = true;
                lapsed.push(MemberEvent { state: MemberState::Alive, ..known.event.clone() });
            }
        }
        lapsed
    }

    /// Digest over the targets that are gone.
    pub(crate) fn digest(&self) -> u32 {
        self.centres.values().fold(0, |digest, centre| digest ^ centre.digest())
    }
}

/// Contribution of an event to a digest; suspicions are short and are left out.
fn exception_mark(event: &MemberEvent) -> u32 {
    if event.state <= MemberState::Suspect {
        return 0;
    }
    let rank = MemberRank::new(&event.peer.name);
    let mixed = (rank.hash ^ event.incarnation.rotate_left(24) ^ event.state as u64)
        .wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 32) as u32
}

impl ControlState {
    /// Lets the other data centres know of a new version at the next tick.
    pub(crate) fn announce_gateways(&mut self, _turn: &mut Turn<'_>) {
        self.remotes.news = true;
    }

    /// Announces the versions to the gateways of the other data centres.
    pub(crate) fn step_gateways(&mut self, turn: &mut Turn<'_>) {
        for event in self.remotes.lapse_suspicions(turn.now) {
            self.report_liveness(turn, &event);
        }
        if !self.is_reader() {
            return;
        }
        self.pass_over_silent(turn);
        let news = std::mem::take(&mut self.remotes.news);
        let repeat = self.remotes.repeat_at.is_some_and(|at| turn.now >= at);
        let due = turn.now >= self.remotes.announce_at;
        if !(news || repeat || due) {
            return;
        }
        self.remotes.repeat_at = news.then(|| turn.now + ClockSpan::new(REPEAT_MS));
        if due {
            let wait = self.jitter(ANNOUNCE_MS);
            self.remotes.announce_at = turn.now + ClockSpan::new(wait);
        }
        for peer in self.remotes.gateways(self.own_index().unwrap_or(0), turn.now) {
            self.send_gateway_head(turn, &peer, due);
            if due {
                self.remotes.ask(&peer, turn.now);
            }
        }
    }

    fn send_gateway_head(&self, turn: &mut Turn<'_>, to: &PeerAddress, answer: bool) {
        let (heads, exceptions) = (self.heads(), self.own_exceptions_digest());
        turn.send(to, PeerMessage::GatewayHead { heads, exceptions, answer });
    }

    fn own_exceptions(&self) -> impl Iterator<Item = MemberEvent> + '_ {
        let gone = |entry: &&crate::members::MemberEntry| {
            entry.configured && entry.state > MemberState::Suspect
        };
        self.members.entries().filter(gone).map(|entry| entry.event())
    }

    fn own_exceptions_digest(&self) -> u32 {
        self.own_exceptions().fold(0, |digest, event| digest ^ exception_mark(&event))
    }

    /// Turns to another gateway where one owes an answer for too long.
    fn pass_over_silent(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        for centre in self.remotes.centres.values_mut() {
            let Some((rank, since)) = centre.asked.clone() else { continue };
            if now.since(since).millis() < ANSWER_MS {
                continue;
            }
            centre.asked = None;
            if let Some(silent) = centre.peers.get_mut(&rank) {
                silent.pass_over(now);
                turn.reset_link(&silent.peer);
            }
            self.remotes.announce_at = now;
        }
    }

    /// A link to a gateway broke: another one is tried without further wait.
    pub(crate) fn on_remote_lost(&mut self, turn: &mut Turn<'_>, peer: &PeerAddress) {
        let Some(centre) = self.remotes.centres.get_mut(&peer.data_centre) else { return };
        if centre.asked.as_ref().is_some_and(|(rank, _)| rank.name == peer.name) {
            centre.asked = None;
            if let Some(lost) = centre.peers.get_mut(&MemberRank::new(&peer.name)) {
                lost.pass_over(turn.now);
            }
            self.remotes.news = true;
        }
    }

    pub(crate) fn on_gateway_head(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        heads: VersionHeads,
        exceptions: u32,
        answer: bool,
    ) {
        self.on_heads(turn, from, heads);
        if answer {
            self.send_gateway_head(turn, from, false);
        }
        let now = turn.now;
        let Some(centre) = self.remotes.centres.get_mut(&from.data_centre) else { return };
        let recent = now.since(centre.pulled_at).millis() < EXCEPTIONS_MS;
        if centre.digest() != exceptions && !recent {
            centre.pulled_at = now;
            let gone = centre.events.values().filter(|known| known.is_exception());
            let known = gone.map(|known| known.event.peer.name.clone()).collect();
            turn.send(from, PeerMessage::PullExceptions { known });
        }
    }

    pub(crate) fn on_pull_exceptions(
        &mut self,
        turn: &mut Turn<'_>,
        from: &PeerAddress,
        known: &[NodeName],
    ) {
        let asked = known.iter().filter_map(|name| self.members.get(name));
        let back = asked.filter(|entry| entry.state <= MemberState::Suspect);
        let entries = back.map(|entry| entry.event()).chain(self.own_exceptions()).collect();
        turn.send(from, PeerMessage::Exceptions { entries });
    }

    pub(crate) fn on_exceptions(&mut self, turn: &mut Turn<'_>, entries: Vec<MemberEvent>) {
        for event in entries {
            self.take_member(turn, event, None);
        }
    }

    /// Hands an event that came up in this data centre to one gateway of every other one.
    pub(crate) fn spread_outside(&mut self, turn: &mut Turn<'_>, event: &SpreadEvent) {
        if !self.is_reader() {
            return;
        }
        if let SpreadEvent::Member(member) | SpreadEvent::Suspicion { member, .. } = event
            && !self.members.get(&member.peer.name).is_some_and(|entry| entry.configured)
        {
            return;
        }
        for peer in self.remotes.gateways(self.own_index().unwrap_or(0), turn.now) {
            turn.send(&peer, PeerMessage::Events { events: vec![event.clone()] });
        }
    }
}

impl RemoteTable {
    fn ask(&mut self, peer: &PeerAddress, now: ClockTime) {
        if let Some(centre) = self.centres.get_mut(&peer.data_centre)
            && centre.asked.is_none()
        {
            centre.asked = Some((MemberRank::new(&peer.name), now));
        }
    }
}
