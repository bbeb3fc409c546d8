//! Cost of a control state's inputs with the full configuration.

use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fescuestack_core::{
    ClockTime, MemberEvent, MemberState, PeerMessage, SpreadEvent, VersionHeads,
};

mod fleet;

use fleet::centre::FleetNode;
use fleet::{FLEET_SIZES, FleetSample};

fn bench_control(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("control");
    group.sample_size(20);
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(2));
    for (services, targets) in FLEET_SIZES {
        let sample = FleetSample::new(services, targets);
        let mut node = FleetNode::new(&sample);
        group.bench_function(BenchmarkId::new("tick", services), |bencher| {
            bencher.iter_custom(|count| (0..count).map(|_| node.tick()).sum());
        });
        group.bench_function(BenchmarkId::new("longest-tick", services), |bencher| {
            // Each iteration is the longest of the 40 ticks in two gossip periods.
            let longest = |node: &mut FleetNode| (0..40).map(|_| node.tick()).max();
            bencher.iter_custom(|count| (0..count).filter_map(|_| longest(&mut node)).sum());
        });
        let heads = VersionHeads::new(sample.version, sample.version);
        group.bench_function(BenchmarkId::new("probe", services), |bencher| {
            let probe = |sequence: u64| PeerMessage::Probe {
                sequence: sequence as u32,
                incarnation: 1,
                heads: Some(heads),
                events: Vec::new(),
            };
            let run = |count| (0..count).map(|n| node.receive(n as usize, probe(n))).sum();
            bencher.iter_custom(run);
        });
        group.bench_function(BenchmarkId::new("ten-events", services), |bencher| {
            let mut incarnation = node.now.millis();
            bencher.iter_custom(|count| {
                let mut receive = |n: u64| {
                    incarnation += 1;
                    let events = restarts(&node, n as usize, incarnation);
                    node.receive(n as usize, PeerMessage::Events { events })
                };
                (0..count).map(&mut receive).sum()
            });
        });
        // A fresh node, because the one above has seen 10 members restart with each message.
        let mut node = FleetNode::new(&sample);
        let mut snapshot = sample.snapshot();
        group.bench_function(BenchmarkId::new("push", services), |bencher| {
            bencher.iter_custom(|count| {
                let mut push = |_| {
                    let delta = sample.delta(&snapshot);
                    snapshot = snapshot.with_delta(&delta).expect("valid");
                    node.now = ClockTime::new(node.now.millis() + 1);
                    node.push(delta)
                };
                (0..count).map(&mut push).sum()
            });
        });
        assert_eq!(node.state.status().active, snapshot.version(), "each push was applied");
    }
    group.finish();
}

/// Ten members that have started again.
fn restarts(node: &FleetNode, first: usize, incarnation: u64) -> Vec<SpreadEvent> {
    let peer = |index: usize| node.peers[(first + index) % node.peers.len()].clone();
    let event = |index| MemberEvent { peer: peer(index), incarnation, state: MemberState::Alive };
    (0..10).map(|index| SpreadEvent::Member(event(index))).collect()
}

criterion_group!(benches, bench_control);
criterion_main!(benches);
