//! Tests of routes, targets, the view of the store, store sources, link health and quarantine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use fescuestack_core::{ClockSpan, ClockTime, RequestFingerprint};
use fescuestack_routing::{
    ClientLimits, CrashTracker, LinkHealth, LinkMonitor, LinkTimeouts, QUARANTINE_DURATION,
    RequestKind, RouteRule, RouteTable, ServiceRule, SourceSelector, StorePosition, StoreView,
    StoredItem, TargetListing, TargetRegistry, TargetState, ViewChange, ViewSource, VmSizes,
    WeightedService,
};
use quickcheck::quickcheck;

const NOW: ClockTime = ClockTime::new(50_000);

fn limits() -> ClientLimits {
    ClientLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1 << 20,
        head_timeout: ClockSpan::new(3_000),
        idle_timeout: ClockSpan::new(15_000),
    }
}

fn rule(prefix: &str, parts: &[(&str, u32)]) -> RouteRule {
    let part = |(service, weight): &(&str, u32)| WeightedService {
        service: (*service).into(),
        weight: *weight,
    };
    RouteRule::new(prefix.into(), prefix.into(), RequestKind::Idempotent)
        .with_times(ClockSpan::new(400), ClockSpan::new(1_000))
        .with_limits(1, 2)
        .with_split(parts.iter().map(part).collect())
}

/// Guards against matching a shorter prefix, or the route of another host.
#[test]
fn longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(1, limits())
        .with_route("One.example", rule("/", &[("all", 1)]))
        .with_route("one.example", rule("/a/", &[("a", 1)]))
        .with_route("one.example", rule("/a/b/", &[("b", 1)]))
        .with_route("two.example", rule("/a/b/c/", &[("c", 1)]));
    let name = |host, path| table.find(host, path).map(|rule| rule.name.to_string());
    assert_eq!(name("one.example", "/a/b/c/d").as_deref(), Some("/a/b/"));
    assert_eq!(name("ONE.example:80", "/a/x").as_deref(), Some("/a/"));
    assert_eq!(name("one.example", "/a").as_deref(), Some("/"));
    assert_eq!(name("two.example", "/a/b/"), None);
    assert_eq!(name("three.example", "/"), None);
}

/// Guards against a version with a route to an undefined service.
#[test]
fn route_without_service_is_refused() {
    let rule = || rule("/", &[("a", 1)]);
    let table = RouteTable::new(1, limits()).with_route("h", rule());
    assert!(!table.is_complete());
    let table = table.with_service("a".into(), ServiceRule::new(10));
    assert!(table.is_complete());
}

/// Guards against splits that deviate from their weights over few calls.
#[test]
fn split_keeps_its_weights() {
    let rule = rule("/", &[("a", 90), ("b", 10)]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..300 {
        let service = rule.next_service(77).expect("the rule has services");
        *counts.entry(service.to_string()).or_default() += 1;
    }
    assert!((27..=33).contains(&counts["b"]), "{counts:?}");
}

fn entry(id: &str, started_ms: u64, revision: u64) -> TargetListing {
    TargetListing {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: "here".into(),
        slots: 6,
        state: TargetState::Ready,
        cold_time_left: ClockSpan::ZERO,
        started_ms,
        sequence: 1,
        position: position(0, revision),
    }
}

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// Guards against an address that still resolves to its previous target.
#[test]
fn newest_entry_has_the_address() {
    let mut registry = TargetRegistry::new();
    registry.insert(entry("old", 100, 9), NOW);
    registry.insert(entry("new", 200, 5), NOW);
    let found = registry
        .find_by_address(SocketAddr::from(([10, 0, 0, 1], 80)))
        .expect("the registry has two entries");
    assert_eq!(&*found.id, "new");
    assert!(!registry.insert(entry("new", 200, 4), NOW), "an older revision replaced a newer one");
}

/// Guards against losing all targets when the store recovers from an outage without their entries,
/// and against keeping those that do not reappear.
#[test]
fn expiring_entries_may_return() {
    let mut registry = TargetRegistry::new();
    registry.insert(entry("a", 1, 1), NOW);
    registry.insert(entry("b", 1, 1), NOW);
    let until = NOW + ClockSpan::new(2_000);
    registry.expire_at("a", until);
    registry.expire_at("b", until);
    assert!(registry.remove_expired(NOW + ClockSpan::new(1_999)).is_empty());
    registry.insert(entry("a", 1, 7), NOW);
    let gone = registry.remove_expired(until);
    assert_eq!(gone.iter().map(|entry| &*entry.id).collect::<Vec<_>>(), ["b"]);
    assert!(registry.get("a").is_some());
}

fn item(revision: u64) -> StoredItem {
    StoredItem { revision, value: Arc::from(revision.to_le_bytes()) }
}

/// Guards against older content that arrives late and replaces newer content.
#[test]
fn view_never_reverts() {
    let mut view = StoreView::new();
    assert!(view.write("k", item(5)).is_some());
    assert_eq!(view.write("k", item(4)), None);
    assert_eq!(view.remove("k", 4), None);
    view.advance(position(0, 9));
    view.advance(position(0, 7));
    assert_eq!(view.position(), position(0, 9));
    let changes = view.replace(position(0, 6), vec![("j".into(), Some(item(6)))]);
    assert!(changes.contains(&ViewChange::Removed("k".into())));
    view.write("late", item(8));
    let changes = view.replace(position(0, 7), Vec::new());
    assert!(!changes.contains(&ViewChange::Removed("late".into())), "{changes:?}");
}

/// Guards against a view that compares revisions of two eras of the store, and against one that
/// reverts to an earlier era.
#[test]
fn new_era_replaces_the_view() {
    let mut view = StoreView::new();
    view.write("kept", item(5));
    view.write("changed", item(90));
    view.write("lost", item(95));
    view.advance(position(0, 99));
    let kept = StoredItem { revision: 3, ..item(5) };
    let listing = vec![("kept".into(), Some(kept)), ("changed".into(), Some(item(8)))];
    let changes = view.replace(position(1, 10), listing);
    assert_eq!(view.position(), position(1, 10));
    let expected = [ViewChange::Written("changed".into()), ViewChange::Removed("lost".into())];
    assert_eq!(changes, expected);
    assert!(view.write("kept", item(11)).is_some(), "a reused revision is ignored");
    assert_eq!(view.replace(position(0, 200), vec![("old".into(), Some(item(200)))]), []);
    assert_eq!(view.position(), position(1, 10));
}

/// Entry as a restored store lists it.
fn restored(entry: TargetListing, era: u64) -> TargetListing {
    TargetListing { position: position(era, 1), ..entry }
}

/// Guards against a target that has reported to be draining and is used again, because the restored
/// store holds its earlier entry, and against one that is not used after it reported anew.
#[test]
fn earlier_report_of_a_restored_store_is_ignored() {
    let mut registry = TargetRegistry::new();
    let ready = entry("a", 100, 5);
    let draining = TargetListing { state: TargetState::Draining, sequence: 2, ..ready.clone() };
    registry.insert(draining, NOW);
    assert!(!registry.insert(restored(ready.clone(), 1), NOW), "the copy has been accepted");
    assert_eq!(registry.get("a").map(|entry| entry.state), Some(TargetState::Draining));
    registry.remove(NOW, "a");
    assert!(!registry.insert(restored(ready.clone(), 2), NOW), "a second copy has been accepted");
    assert!(registry.release_held(NOW + ClockSpan::new(60_000)).is_empty());
    let restarted = TargetListing { started_ms: 200, ..restored(ready, 2) };
    assert!(registry.insert(restarted, NOW), "a target that has started again is not used");
}

/// Guards against a target that has left without a word and is used again, because the restored
/// store lists it, and against one that stays unused although it lives.
#[test]
fn departed_target_in_a_restored_store_is_held() {
    let hold_until = NOW + ClockSpan::new(6_000);
    for is_alive in [false, true] {
        let mut registry = TargetRegistry::new();
        registry.insert(entry("a", 100, 5), NOW);
        registry.remove(NOW, "a");
        assert!(!registry.insert(restored(entry("a", 100, 5), 1), hold_until));
        assert!(registry.release_held(hold_until - ClockSpan::new(1)).is_empty());
        if !is_alive {
            registry.remove(NOW, "a");
        }
        assert_eq!(registry.release_held(hold_until).len(), usize::from(is_alive));
        assert_eq!(registry.get("a").is_some(), is_alive);
    }
    let mut registry = TargetRegistry::new();
    registry.insert(entry("a", 100, 5), NOW);
    registry.remove(NOW, "a");
    let later = TargetListing { sequence: 2, ..restored(entry("a", 100, 5), 1) };
    assert!(registry.insert(later, hold_until), "a later report of the target is ignored");
}

/// Guards against a target that is kept out for good because its start time is unknown.
#[test]
fn entry_without_a_start_time_is_accepted_in_a_new_era() {
    let mut registry = TargetRegistry::new();
    let first = TargetListing { sequence: 7, ..entry("a", 0, 5) };
    registry.insert(first, NOW);
    assert!(registry.insert(restored(entry("a", 0, 5), 1), NOW));
}

quickcheck! {
    /// The latest write of each key is kept, whatever the order of arrival.
    fn newest_write_stays(writes: Vec<(u8, u16)>) -> bool {
        let mut view = StoreView::new();
        let mut newest = BTreeMap::new();
        for (key, revision) in writes {
            let key = (key % 4).to_string();
            view.write(&key, item(u64::from(revision)));
            let known = newest.entry(key).or_insert(revision);
            *known = revision.max(*known);
        }
        newest.iter().all(|(key, revision)| {
            view.get(key).is_some_and(|item| item.revision == u64::from(*revision))
        })
    }

    /// All nodes of a data centre agree on one reader. Every other node has a path to it, on which
    /// no node has more than four followers.
    fn followers_form_a_tree(hosts: BTreeSet<u8>) -> bool {
        let vms: Vec<IpAddr> = hosts.iter().map(|host| [10, 0, 0, *host].into()).collect();
        let source = |own: IpAddr| SourceSelector::new(own).select(NOW, vms.iter().copied(), &VmSizes::default());
        let readers = vms.iter().filter(|vm| source(**vm) == ViewSource::Store).count();
        let mut followers: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for vm in &vms {
            let mut at = *vm;
            for _ in 0..vms.len() {
                match source(at) {
                    ViewSource::Store => break,
                    ViewSource::Node(parent) => at = parent,
                }
            }
            if source(at) != ViewSource::Store {
                return false;
            }
            if let ViewSource::Node(parent) = source(*vm) {
                *followers.entry(parent).or_default() += 1;
            }
        }
        readers == usize::from(!vms.is_empty()) && followers.values().all(|count| *count <= 4)
    }
}

/// Guards against small VMs that serve others while there are large ones, and against a node that
/// follows itself.
#[test]
fn small_nodes_follow_large_ones() {
    let vms: Vec<IpAddr> = (1..=100).map(|host| [10, 0, 0, host].into()).collect();
    let is_large = |vm: &IpAddr| vms[..2].contains(vm);
    let mut followers: BTreeMap<IpAddr, usize> = BTreeMap::new();
    let mut readers = 0;
    for own in &vms {
        let mut sizes = VmSizes::default();
        for vm in &vms {
            sizes.set(*vm, !is_large(vm));
        }
        match SourceSelector::new(*own).select(NOW, vms.iter().copied(), &sizes) {
            ViewSource::Store => {
                assert!(is_large(own), "a small node reads the store");
                readers += 1;
            }
            ViewSource::Node(parent) => {
                assert_ne!(parent, *own);
                *followers.entry(parent).or_default() += 1;
            }
        }
    }
    assert_eq!(readers, 1);
    for (vm, count) in followers {
        let most = if is_large(&vm) { 25 } else { 4 };
        assert!(count <= most, "{vm} has {count} followers");
    }
}

/// Guards against small VMs that serve others while the large ones are excluded. The first copies
/// saturate their links, and all of them lose their source.
#[test]
fn small_nodes_do_not_replace_large_ones() {
    let vms: Vec<IpAddr> = (1..=20).map(|host| [10, 0, 0, host].into()).collect();
    let mut sizes = VmSizes::default();
    for vm in &vms {
        sizes.set(*vm, !vms[..2].contains(vm));
    }
    for own in &vms[2..] {
        let mut selector = SourceSelector::new(*own);
        for large in &vms[..2] {
            let source = selector.select(NOW, vms.iter().copied(), &sizes);
            assert!(matches!(source, ViewSource::Node(vm) if vms[..2].contains(&vm)));
            selector.exclude(NOW, *large);
            selector.record_store_read();
        }
        assert_eq!(selector.select(NOW, vms.iter().copied(), &sizes), ViewSource::Store);
    }
}

/// Guards against followers that wait for the next reader, which may not reach the store either.
#[test]
fn excluded_source_is_replaced_by_one_read_of_the_store() {
    let vms: Vec<IpAddr> = (1..=20).map(|host| [10, 0, 0, host].into()).collect();
    let sizes = VmSizes::default();
    for own in &vms {
        let mut selector = SourceSelector::new(*own);
        let ViewSource::Node(parent) = selector.select(NOW, vms.iter().copied(), &sizes) else {
            continue;
        };
        selector.exclude(NOW, parent);
        assert!(selector.is_store_check_due());
        assert_eq!(selector.select(NOW, vms.iter().copied(), &sizes), ViewSource::Store);
        selector.record_store_read();
        assert!(!selector.is_store_check_due());
        let next = selector.select(NOW, vms.iter().copied(), &sizes);
        assert_ne!(next, ViewSource::Node(parent));
    }
}

/// Guards against new VMs that attract the followers of large ones before they have reported that
/// they are small.
#[test]
fn new_vms_get_no_followers() {
    let vms: Vec<IpAddr> = (1..=40).map(|host| [10, 0, 0, host].into()).collect();
    let mut sizes = VmSizes::default();
    for vm in &vms[..20] {
        sizes.set(*vm, !vms[..2].contains(vm));
    }
    for own in &vms[2..20] {
        let source = SourceSelector::new(*own).select(NOW, vms.iter().copied(), &sizes);
        assert!(matches!(source, ViewSource::Node(vm) if vms[..2].contains(&vm)), "{source:?}");
    }
}

/// Guards against a data centre that gets no updates after its reader has failed.
#[test]
fn next_node_takes_over_reading() {
    let vms: Vec<IpAddr> = (1..=5).map(|host| [10, 0, 0, host].into()).collect();
    let sizes = VmSizes::default();
    let is_follower = |vm: &&IpAddr| {
        SourceSelector::new(**vm).select(NOW, vms.iter().copied(), &sizes) != ViewSource::Store
    };
    let own = *vms.iter().find(is_follower).expect("four of five nodes follow another one");
    let mut selector = SourceSelector::new(own);
    for _ in 0..4 {
        let ViewSource::Node(parent) = selector.select(NOW, vms.iter().copied(), &sizes) else {
            break;
        };
        selector.exclude(NOW, parent);
        selector.record_store_read();
    }
    assert_eq!(selector.select(NOW, vms.iter().copied(), &sizes), ViewSource::Store);
    let later = NOW + ClockSpan::new(2_500);
    assert!(matches!(selector.select(later, vms.iter().copied(), &sizes), ViewSource::Node(_)));
}

/// Guards against nodes that compute different trees because they know different VM sizes: when the
/// reader fails, they would follow each other and get no updates. Two of 27 VMs are large.
/// Initially each node knows only its own size, and then all nodes query their sources in turn.
#[test]
fn sizes_spread_to_all_nodes() {
    let vms: Vec<IpAddr> = (1..=27).map(|host| [10, 0, 0, host].into()).collect();
    let is_large = |vm: IpAddr| vms[..2].contains(&vm);
    let mut known: BTreeMap<IpAddr, VmSizes> = BTreeMap::new();
    for vm in &vms {
        let mut sizes = VmSizes::default();
        sizes.set(*vm, !is_large(*vm));
        known.insert(*vm, sizes);
    }
    let source = |own: IpAddr, selector: &SourceSelector, known: &BTreeMap<IpAddr, VmSizes>| {
        selector.select(NOW, vms.iter().copied(), &known[&own])
    };
    for _ in 0..4 {
        for own in &vms {
            let vm = match source(*own, &SourceSelector::new(*own), &known) {
                ViewSource::Node(vm) => vm,
                // A node that reads the store queries a node whose size it does not know.
                ViewSource::Store => match vms.iter().find(|vm| !known[own].contains(**vm)) {
                    Some(vm) => *vm,
                    None => continue,
                },
            };
            let sent: Vec<_> = known[own].iter().collect();
            let peer_sizes = known.get_mut(&vm).expect("the sizes known to each VM are recorded");
            peer_sizes.merge(sent);
            let received: Vec<_> = peer_sizes.iter().collect();
            known.get_mut(own).expect("the sizes known to each VM are recorded").merge(received);
        }
    }
    let digests: BTreeSet<u64> = known.values().map(VmSizes::digest).collect();
    assert_eq!(digests.len(), 1, "nodes know different VM sizes");
    let reader = vms
        .iter()
        .find(|vm| source(**vm, &SourceSelector::new(**vm), &known) == ViewSource::Store)
        .expect("one node reads the store");
    let without_reader = |own: IpAddr| {
        let mut selector = SourceSelector::new(own);
        selector.exclude(NOW, *reader);
        selector.record_store_read();
        source(own, &selector, &known)
    };
    for own in vms.iter().filter(|vm| *vm != reader) {
        let mut at = *own;
        for _ in 0..2 {
            if let ViewSource::Node(vm) = without_reader(at) {
                at = vm;
            }
        }
        assert!(is_large(at), "{own} follows the small node {at}");
        assert_eq!(without_reader(at), ViewSource::Store);
    }
}

/// Guards against a slow link that counts as disconnected while uploads pass through it, against a
/// failed link that is not detected, and against a pause of the own process that counts as
/// inactivity of the peer.
#[test]
fn active_links_stay_connected() {
    let timeouts = LinkTimeouts { suspect: ClockSpan::new(500), disconnect: ClockSpan::new(900) };
    let checks_until_disconnected = |monitor: &mut LinkMonitor,
                                     activity: u64,
                                     has_open_calls: bool| {
        (1..=20)
            .find(|_| monitor.check(activity, has_open_calls, timeouts) == LinkHealth::Disconnected)
    };
    let mut monitor = LinkMonitor::default();
    for activity in 1..30 {
        assert_eq!(
            monitor.check(activity, true, timeouts),
            LinkHealth::Alive,
            "writes made progress"
        );
    }
    assert_eq!(
        checks_until_disconnected(&mut monitor, 29, false),
        None,
        "an idle link without open calls was disconnected"
    );
    assert_eq!(checks_until_disconnected(&mut monitor, 29, true), Some(9));
    let mut monitor = LinkMonitor::default();
    assert_eq!(
        (1..=8).find(|_| monitor.check(0, true, timeouts) == LinkHealth::Disconnected),
        None
    );
    assert_eq!(
        monitor.check(1, true, timeouts),
        LinkHealth::Alive,
        "activity was seen before the timeout"
    );
    assert_eq!(checks_until_disconnected(&mut monitor, 1, true), Some(9));
}

/// Guards against a request that crashes one target after another.
#[test]
fn crashing_request_is_quarantined() {
    let mut tracker = CrashTracker::new();
    let request = RequestFingerprint::from_number(1);
    for (index, target) in ["a", "b", "a"].into_iter().enumerate() {
        assert!(!tracker.is_quarantined(NOW, request), "quarantined after {index} crashes");
        let now = NOW + ClockSpan::new(5_000 * index as u64);
        let evidence = tracker.record_end(now, &target.into(), &[request]);
        assert_eq!(evidence.requests, [(request, index + 1)]);
    }
    let now = NOW + ClockSpan::new(10_000);
    assert!(tracker.is_quarantined(now, request));
    assert!(!tracker.is_quarantined(now + QUARANTINE_DURATION, request));
}

/// Guards against quarantining ordinary requests. Many requests with the same fingerprint run
/// concurrently when a target crashes, and requests that completed before are not suspected.
#[test]
fn ordinary_requests_are_not_quarantined() {
    let mut tracker = CrashTracker::new();
    let [alike, known] = [1, 2].map(RequestFingerprint::from_number);
    tracker.record_completion(NOW, known);
    for index in 0..6 {
        tracker.record_end(NOW + ClockSpan::new(index), &"a".into(), &[alike]);
        tracker.record_end(NOW, &format!("t{index}").into(), &[known]);
    }
    assert!(!tracker.is_quarantined(NOW, alike), "one crash was counted more than once");
    assert!(!tracker.is_quarantined(NOW, known), "a request that had completed was quarantined");
    tracker.record_end(NOW, &"b".into(), &[alike]);
    tracker.record_completion(NOW, alike);
    tracker.record_end(NOW, &"c".into(), &[alike]);
    assert!(!tracker.is_quarantined(NOW, alike));
}

/// Guards against new calls on a link that has failed but does not yet count as disconnected: all
/// of them would be lost.
#[test]
fn idle_link_is_suspect_before_disconnect() {
    let timeouts = LinkTimeouts { suspect: ClockSpan::new(500), disconnect: ClockSpan::new(900) };
    let mut monitor = LinkMonitor::default();
    let states: Vec<_> = (0..9).map(|_| monitor.check(0, true, timeouts)).collect();
    assert_eq!(states[..4], [LinkHealth::Alive; 4]);
    assert_eq!(states[4..8], [LinkHealth::Suspect; 4]);
    assert_eq!(states[8], LinkHealth::Disconnected);
    assert_eq!(monitor.check(1, true, timeouts), LinkHealth::Alive);
}
