//! Membership under failures: I7 (a leaving or dead target gets no new work after 3 s), and that no
//! live member is given up for the faults of others.

mod network;

use std::collections::BTreeSet;

use fescuestack_core::{
    ControlInput, MemberEvent, MemberState, PeerMessage, PlatformFault, SpreadEvent, StatedOutcome,
    VmEntry, VmState,
};
use network::FakeNetwork;
use network::scenario::{RECORDED, settled};

/// Time after which a target that left gets no new work (I7), in ms.
const LEAVE_MS: u64 = 3_000;

fn assert_unused(network: &FakeNetwork, name: &str) {
    for index in network.live() {
        assert!(!network.nodes[index].uses(name), "{} uses it", network.nodes[index].address.name);
    }
}

/// Guards against new work for a leaving target, and against reviving it because the platform's
/// list still shows it or because late messages of it arrive.
#[test]
fn leaving_spreads_and_stays() {
    let mut network = settled(30);
    let entry = |node: &network::node::FakeNode| VmEntry {
        peer: node.address.clone(),
        state: VmState::Live,
    };
    let list: Vec<VmEntry> = network.nodes.iter().map(entry).collect();
    network.platform.vms = Some(serde_json::to_string(&list).unwrap().into());
    let name = network.nodes[5].address.name.clone();
    network.input(5, ControlInput::Leave);
    network.run(LEAVE_MS);
    network.nodes[5].isolated = true;
    assert_unused(&network, &name);
    network.nodes[5].isolated = false;
    network.run(20_000);
    network.kill(5, false);
    network.run(10_000);
    assert_unused(&network, &name);
    let state = MemberState::Left;
    // Links that lose messages do not keep the event from anyone.
    network.loss = 50;
    for index in [6, 10, 14] {
        network.input(index, ControlInput::Leave);
        network.run(LEAVE_MS);
        let name = network.nodes[index].address.name.clone();
        network.kill(index, true);
        assert_unused(&network, &name);
    }
    network.finish("leave", vec![StatedOutcome::Member { name, state }]);
}

/// Guards against new work for a target whose process or VM died.
#[test]
fn crash_is_noticed() {
    let mut network = settled(32);
    for (index, vm_gone) in [(5, false), (6, true), (9, true)] {
        let name = network.nodes[index].address.name.clone();
        network.kill(index, vm_gone);
        network.run(LEAVE_MS);
        assert_unused(&network, &name);
        network.run(10_000);
        assert_eq!(network.nodes[RECORDED].liveness[&*name], MemberState::Dead);
    }
    [5, 6, 9].into_iter().for_each(|index| network.start(index));
    network.run(20_000);
    network.assert_all_alive();
    network.finish("crash", Vec::new());
}

/// Guards against a node that is cut off and gives up everyone else.
#[test]
fn isolated_node_suspects_nobody() {
    let mut network = settled(33);
    network.nodes[RECORDED].isolated = true;
    network.run(40_000);
    let dead = &network.nodes[RECORDED].declared_dead;
    assert!(dead.len() <= 1, "the node gave up {dead:?}");
    network.nodes[RECORDED].isolated = false;
    network.run(30_000);
    network.assert_all_alive();
    network.finish("isolated-node", Vec::new());
}

/// Guards against a woken process that ends suspicions by timers that ran out while it was paused,
/// before it reads what arrived in the meantime.
#[test]
fn woken_node_waits_for_news() {
    let mut network = settled(40);
    let peer = network.nodes[5].address.clone();
    let incarnation = network.status(5).incarnation;
    let member = MemberEvent { peer, incarnation, state: MemberState::Suspect };
    let by = network.nodes[4].address.name.clone();
    let events = vec![SpreadEvent::Suspicion { member, by }];
    let from = network.nodes[4].address.clone();
    let message = PeerMessage::Events { events };
    network.input(RECORDED, ControlInput::Peer { from, message });
    network.nodes[RECORDED].paused = true;
    let old = network.status(RECORDED).incarnation;
    network.run(4_000);
    network.input(5, ControlInput::LinkLost { peer: network.nodes[RECORDED].address.clone() });
    network.run(4_000);
    network.resume(RECORDED);
    network.run(20_000);
    assert!(network.nodes[RECORDED].declared_dead.is_empty(), "it gave up a live member");
    let status = network.status(RECORDED);
    assert_eq!(status.counters.pauses, 1);
    assert!(status.incarnation > old, "the incarnation is raised");
    network.assert_all_alive();
    network.finish("woken-node", Vec::new());
}

/// Guards against believing a member that calls much of the data centre dead: at most a tenth is
/// given up in a second, and live members refute in that time.
#[test]
fn mass_eviction_by_one_message_is_bounded() {
    let mut network = FakeNetwork::new(&[("a", 40)], 41);
    network.run(20_000);
    let dead = |index: usize| {
        let incarnation = network.status(index).incarnation;
        let peer = network.nodes[index].address.clone();
        SpreadEvent::Member(MemberEvent { peer, incarnation, state: MemberState::Dead })
    };
    let events = (0..20).map(dead).collect();
    let from = network.nodes[25].address.clone();
    let message = PeerMessage::Events { events };
    network.input(30, ControlInput::Peer { from, message });
    assert!(network.nodes[30].declared_dead.len() <= 4);
    network.run(20_000);
    network.assert_all_alive();
}

/// Guards against dead members that are never given up when half of the data centre dies at once.
#[test]
fn mass_eviction_is_slow() {
    let mut network = FakeNetwork::new(&[("a", 40)], 34);
    network.run(20_000);
    (0..20).for_each(|index| network.kill(index, true));
    let mut known = 0;
    for _ in 0..60 {
        network.run(1_000);
        let dead = network.nodes[30].declared_dead.len();
        // A tenth of the members in each of the two seconds that the interval touches.
        assert!(dead <= known + 8, "{dead} members dead after {known}");
        known = dead;
    }
    assert_eq!(known, 20, "the dead members are given up in the end");
}

/// Guards against two halves of a data centre that gave each other up and stay apart.
#[test]
fn halves_find_together() {
    let mut network = settled(35);
    // All links between nodes of different parity are silent, and resetting them does not help.
    let links: BTreeSet<(usize, usize)> =
        (0..8).flat_map(|from| (0..8).map(move |to| (from, to))).collect();
    let apart = links.into_iter().filter(|(from, to)| (from + to) % 2 == 1);
    network.cut = apart.collect();
    network.run(45_000);
    network.cut.clear();
    network.run(45_000);
    network.assert_all_alive();
    network.finish("halves", Vec::new());
}

/// Guards against a leave that a data centre never hears of because the links to it were cut while the
/// event was passed on.
#[test]
fn leave_during_a_partition_is_known_after_it() {
    let mut network = settled(38);
    network.side.insert("a".to_owned(), 1);
    network.run(5_000);
    let name = network.nodes[9].address.name.clone();
    network.input(9, ControlInput::Leave);
    network.run(2_000);
    network.kill(9, true);
    network.run(60_000);
    assert!(network.nodes[RECORDED].uses(&name), "the partition hides the leave");
    network.side.clear();
    network.run(15_000);
    assert_unused(&network, &name);
    network.start(9);
    network.run(20_000);
    network.assert_all_alive();
    network.finish("leave-partition", Vec::new());
}

/// Guards against a node that never hears of events that it missed.
#[test]
fn missed_events_are_caught_up() {
    let mut network = settled(39);
    network.nodes[RECORDED].isolated = true;
    let name = network.nodes[5].address.name.clone();
    network.input(5, ControlInput::Leave);
    network.run(2_000);
    network.kill(5, true);
    network.run(60_000);
    network.nodes[RECORDED].isolated = false;
    network.run(15_000);
    assert_unused(&network, &name);
    network.finish("missed-events", Vec::new());
}

/// Guards against poison requests that run on after two crashes, and against lists without bound.
#[test]
fn crashing_requests_are_quarantined() {
    let mut network = settled(36);
    let crash = |fingerprints: Vec<u64>| ControlInput::CrashSeen { fingerprints };
    network.input(3, crash(vec![1]));
    network.run(3_000);
    assert!(network.nodes[9].quarantined.is_empty(), "one crash is not enough");
    network.input(4, crash(vec![1, 2]));
    network.input(4, ControlInput::RunsCompleted { fingerprints: vec![2] });
    network.run(3_000);
    for index in network.live() {
        assert_eq!(network.nodes[index].quarantined, [1]);
    }
    for fingerprint in 10..400 {
        network.input(3, crash(vec![fingerprint]));
        network.input(4, crash(vec![fingerprint]));
    }
    network.run(20_000);
    assert!(network.live().iter().all(|&index| network.nodes[index].quarantined.len() <= 256));
    network.run(600_000);
    assert!(network.live().iter().all(|&index| network.nodes[index].quarantined.is_empty()));
}

/// Guards against a lagging VM list that overrides what the members say.
#[test]
fn platform_list_overrides_no_heartbeat() {
    let mut network = settled(37);
    network.platform.vms = Some("[]".into());
    network.platform.fault = Some(PlatformFault::Unreachable);
    network.run(1_000);
    network.platform.fault = None;
    network.run(30_000);
    network.assert_all_alive();
    assert!(network.nodes.iter().all(|node| node.declared_dead.is_empty()));
}
