//! Time of the decisions at a target's node and of finding a key's owner.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{Criterion, criterion_group, criterion_main};
use fescuestack_core::*;

fn service(count: u16) -> ServiceView {
    let address: SocketAddr = ([127, 0, 0, 1], 9000).into();
    let target = |number: u16| TargetEntry {
        name: format!("t{number:03}").into(),
        data_centre: if number.is_multiple_of(2) { "a".into() } else { "b".into() },
        upstream: address,
        relay: address,
        control: address,
        slots: 6,
        connections: 120,
    };
    let part = ServicePart {
        service: "register".to_owned(),
        tenant: "council".to_owned(),
        routes: Vec::new(),
        queue_limit: 100,
        key_window_ms: 120_000,
        key_skew_ms: None,
    };
    ServiceView { part, targets: (0..count).map(target).collect() }
}

fn bench_owner(criterion: &mut Criterion) {
    for count in [10, 200] {
        let view = service(count);
        criterion.bench_function(&format!("key owner, {count} targets"), |bencher| {
            bencher.iter(|| key_owner(&view, black_box("7d1c6a0e-55c2")));
        });
    }
}

fn bench_gate(criterion: &mut Criterion) {
    for waiting in [0, 1_000] {
        let settings = AdmissionSettings { slots: 6, queue_limit: 10_000 };
        let mut queue = AdmissionQueue::new(settings);
        let now = ClockTime::new(1_000_000);
        let call = AdmissionCall {
            class: "council/public",
            kind: RouteKind::Lookup,
            deadline: CallDeadline::new(now, ClockSpan::new(60_000)),
        };
        for _ in 0..waiting {
            queue.offer(now, &call);
        }
        let mut actions = Vec::new();
        criterion.bench_function(&format!("admit and finish, {waiting} waiting"), |bencher| {
            bencher.iter(|| {
                actions.clear();
                let answer = queue.offer(black_box(now), &call);
                match answer {
                    AdmissionAnswer::Run(ticket) => queue.finish(ticket, Some(1_000)),
                    AdmissionAnswer::Wait(ticket) => assert!(queue.cancel(ticket)),
                    AdmissionAnswer::Refused { .. } => unreachable!("there is room and time"),
                }
                queue.poll(now, &mut actions);
            });
        });
    }
}

criterion_group!(benches, bench_owner, bench_gate);
criterion_main!(benches);
