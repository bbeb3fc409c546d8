//! Prints what distribution and membership cost at several sizes, as lines of JSON.
//!
//! Control states exchange messages over the fake network of the tests, so that the counts are exact
//! and the same on every run. Times are simulated. Messages count uncompressed.
//!
//!     distribution_slopes steady|centre|events|fleet-events|wave|restart SIZE...
//!
//! `steady`, `fleet-events` and `wave` give every data centre the size, the others only the first
//! one.

use std::process::ExitCode;

use fescuestack_core::{
    CallerClass, CallersPart, ConfigPart, ControlInput, PatiencePeriod, SpreadPreference, VersionId,
};

#[allow(unused_imports, missing_docs)]
#[path = "../tests/network/mod.rs"]
mod network;

use network::{FakeNetwork, START_MS, publisher};

/// Data centres of the measured fleets, as in the requirements.
const CENTRE_COUNT: usize = 13;

/// Changes in a measured minute: 74,000 a day are 51.4.
const MINUTE_CHANGES: u32 = 52;

/// Seed of all networks.
const SEED: u64 = 3;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let measure: fn(usize) = match arguments.next().as_deref() {
        Some("steady") => |size| steady(size, size),
        Some("centre") => |size| steady(size, 3),
        Some("events") => |size| events(size, 3),
        Some("fleet-events") => |size| events(size, size),
        Some("wave") => wave,
        Some("restart") => restart,
        _ => {
            eprintln!(
                "usage: distribution_slopes steady|centre|events|fleet-events|wave|restart SIZE..."
            );
            return ExitCode::FAILURE;
        }
    };
    arguments.filter_map(|size| size.parse().ok()).for_each(measure);
    ExitCode::SUCCESS
}

/// A settled fleet whose first data centre has `first` nodes and each other one `others`.
fn settled(first: usize, others: usize, preference: SpreadPreference) -> FakeNetwork {
    let names: Vec<String> = (0..CENTRE_COUNT).map(|index| format!("dc{index:02}")).collect();
    let size = |index: usize| if index == 0 { first } else { others };
    let sizes: Vec<(&str, usize)> =
        names.iter().enumerate().map(|(index, name)| (name.as_str(), size(index))).collect();
    let mut network = FakeNetwork::new(&sizes, SEED);
    let addresses: Vec<_> = network.nodes.iter().map(|node| node.address.clone()).collect();
    let version = network.platform.publish(&[publisher::fleet_part(&addresses, preference)]);
    network.run_until_installed(version, 20_000);
    // The events of the start are passed on, ten with each of about 2.5 messages a second, until
    // each went to 3 log2(N) peers.
    let sends = first as u64 * 3 * u64::from(first.ilog2() + 1);
    network.run(60_000 + sends * 1_000 / 25);
    network
}

/// Sums over the nodes of the first data centre: followers and readers apart.
#[derive(Debug, Clone, Copy, Default)]
struct RoleSums {
    nodes: u64,
    bytes: u64,
    messages: u64,
    pushes: u64,
    pulls: u64,
}

fn sums(network: &FakeNetwork, reader: bool) -> RoleSums {
    let mut sums = RoleSums::default();
    for index in network.live() {
        let status = network.status(index);
        if &*status.data_centre != "dc00" || status.reader != reader {
            continue;
        }
        sums.nodes += 1;
        sums.bytes += network.nodes[index].bytes;
        sums.messages += status.counters.messages_sent;
        sums.pushes += network.nodes[index].pushes;
        sums.pulls += status.counters.pulls;
    }
    sums
}

/// Bytes and messages that a node sends per second, between two sums.
fn rates(before: RoleSums, after: RoleSums, seconds: u64) -> (f64, f64) {
    let span = (after.nodes * seconds) as f64;
    let rate = |before: u64, after: u64| (after - before) as f64 / span;
    (rate(before.bytes, after.bytes), rate(before.messages, after.messages))
}

fn steady(first: usize, others: usize) {
    let both = [SpreadPreference::Convergence, SpreadPreference::Bytes];
    // The second preference costs as much time again and differs little in a large data centre.
    for &preference in &both[..if first > 100 { 1 } else { 2 }] {
        let mut network = settled(first, others, preference);
        let idle = [false, true].map(|reader| sums(&network, reader));
        network.run(60_000);
        let busy = [false, true].map(|reader| sums(&network, reader));
        let idle = [0, 1].map(|role| rates(idle[role], busy[role], 60));
        let mut slowest = 0;
        for limit in 0..MINUTE_CHANGES {
            let version = network.platform.publish_limit(limit + 10);
            slowest = slowest.max(network.run_until_installed(version, 7_000));
            let rest = (network.now - START_MS) % 1_163;
            network.run(1_163 - rest);
        }
        let end = [false, true].map(|reader| sums(&network, reader));
        let pushes: u64 = [0, 1].map(|role| end[role].pushes - busy[role].pushes).iter().sum();
        let nodes: u64 = [0, 1].map(|role| end[role].nodes).iter().sum();
        let copies = pushes as f64 / (u64::from(MINUTE_CHANGES) * nodes) as f64;
        let pulls = end[1].pulls - busy[1].pulls;
        let busy = [0, 1].map(|role| rates(busy[role], end[role], 60));
        let calls = network.platform.peak_calls(network.now - 60_000);
        println!(
            "{{\"preference\":\"{preference:?}\",\"centre\":{first},\"nodes\":{},\
             \"idle_follower\":[{:.1},{:.2}],\"idle_reader\":[{:.1},{:.2}],\
             \"busy_follower\":[{:.1},{:.2}],\"busy_reader\":[{:.1},{:.2}],\
             \"copies\":{copies:.3},\"reader_pulls\":{pulls},\"slowest_ms\":{slowest},\"peak_calls\":{calls}}}",
            network.nodes.len(),
            idle[0].0,
            idle[0].1,
            idle[1].0,
            idle[1].1,
            busy[0].0,
            busy[0].1,
            busy[1].0,
            busy[1].1,
        );
    }
}

fn total_bytes(network: &FakeNetwork) -> u64 {
    network.nodes.iter().map(|node| node.bytes).sum()
}

/// What happens to a node of the first data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeEvent {
    /// The process dies and starts again.
    Restart,
    /// The node leaves as planned and starts again, as in a deployment.
    Renewal,
    /// The VM is gone.
    Death,
}

/// Bytes over the whole fleet for each event in the first data centre.
fn events(first: usize, others: usize) {
    const EVENTS: usize = 10;
    let mut network = settled(first, others, SpreadPreference::Convergence);
    let begin = total_bytes(&network);
    network.run(100_000);
    let idle = total_bytes(&network) - begin;
    let mut extra = Vec::new();
    for (turn, event) in
        [NodeEvent::Restart, NodeEvent::Renewal, NodeEvent::Death].into_iter().enumerate()
    {
        let begin = total_bytes(&network);
        for number in 0..EVENTS {
            cause(&mut network, (first / 4 + turn * EVENTS + number) % first, event);
        }
        let more = total_bytes(&network) as i64 - begin as i64 - idle as i64;
        extra.push(more / EVENTS as i64);
        network.run(60_000);
    }
    println!(
        "{{\"centre\":{first},\"others\":{others},\"restart_bytes\":{},\"renewal_bytes\":{},\
         \"death_bytes\":{}}}",
        extra[0], extra[1], extra[2]
    );
}

/// Causes an event and waits for 10 s.
fn cause(network: &mut FakeNetwork, index: usize, event: NodeEvent) {
    match event {
        NodeEvent::Restart => {
            network.kill(index, false);
            network.start(index);
            network.run(10_000);
        }
        NodeEvent::Renewal => {
            network.input(index, ControlInput::Leave);
            network.run(2_000);
            network.kill(index, false);
            network.start(index);
            network.run(8_000);
        }
        NodeEvent::Death => {
            network.kill(index, true);
            network.run(10_000);
        }
    }
}

/// A deployment wave at the rate of 15,000 nodes in an hour: all nodes of the fleet leave as planned
/// and start again, one every 240 ms.
fn wave(size: usize) {
    const INTERVAL_MS: u64 = 240;
    const STOP_MS: u64 = 2_000;
    let mut network = settled(size, size, SpreadPreference::Convergence);
    let count = network.nodes.len();
    let (begin, bytes) = (network.now, total_bytes(&network));
    let mut stopping = std::collections::VecDeque::new();
    for number in 0..count {
        // Neighbours in the list share a data centre; the wave goes through all of them in turn.
        let index = number % CENTRE_COUNT * size + number / CENTRE_COUNT;
        network.input(index, ControlInput::Leave);
        stopping.push_back((index, network.now + STOP_MS));
        network.run(INTERVAL_MS);
        while let Some(&(index, at)) = stopping.front()
            && at <= network.now
        {
            stopping.pop_front();
            network.kill(index, false);
            network.start(index);
        }
    }
    let seconds = (network.now - begin) as f64 / 1e3;
    let rate = (total_bytes(&network) - bytes) as f64 / seconds / count as f64;
    println!("{{\"centre\":{size},\"nodes\":{count},\"wave_bytes\":{rate:.0}}}");
}

/// Parts that bring a configuration to the number and size of parts of 1,600 services.
fn padding() -> Vec<ConfigPart> {
    let period = PatiencePeriod { from_minute: 0, to_minute: 0, patience_ms: 1_000 };
    let class = |index: u32| CallerClass {
        name: format!("class-{index}"),
        internal: index.is_multiple_of(2),
        patience: vec![period],
    };
    let part = |index: u32| CallersPart {
        tenant: format!("padding-{index}"),
        zone: "Europe/London".to_owned(),
        classes: (0..6).map(class).collect(),
    };
    (0..3_280).map(|index| ConfigPart::Callers(part(index))).collect()
}

/// All nodes of the first data centre start again together, with a configuration of full size.
fn restart(first: usize) {
    let mut network = settled(first, 3, SpreadPreference::Convergence);
    let padded = network.platform.publish(&padding());
    network.run_until_installed(padded, 60_000);
    let begin = network.now;
    let bytes = total_bytes(&network);
    (0..first).for_each(|index| network.kill(index, false));
    (0..first).for_each(|index| network.start(index));
    let version: VersionId = network.platform.head;
    let taken = network.run_until_installed(version, 60_000);
    let spent = total_bytes(&network) - bytes;
    let content: usize = network.platform.contents.values().map(|content| content.len()).sum();
    let calls = network.platform.peak_calls(begin);
    println!(
        "{{\"centre\":{first},\"ready_ms\":{taken},\"bytes_for_each_node\":{},\
         \"content_bytes\":{content},\"peak_calls\":{calls}}}",
        spent / first as u64
    );
}
