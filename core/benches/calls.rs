//! Cost of the decisions on a call.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fescuestack_core::{
    ClockSpan, ClockTime, LoadReport, TargetBalancer, TargetOutcome, scan_load,
};

mod fleet;

use fleet::{FLEET_SIZES, FleetSample};

fn bench_calls(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("calls");
    group.sample_size(20);
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(2));
    group.bench_function("scan-load", |bencher| {
        bencher.iter(|| scan_load(black_box("5 2 6 2130")));
    });
    for (services, targets) in FLEET_SIZES {
        let snapshot = FleetSample::new(services, targets).snapshot();
        let largest = snapshot.services().max_by_key(|view| view.targets.len());
        let view = largest.expect("there are services");
        let mut balancer = TargetBalancer::new(view, "dc-0".into(), ClockSpan::new(5), 1);
        let mut now = ClockTime::new(1_700_000_000_000);
        let load = LoadReport { running: 3, queued: 0, slots: 6, service_micros: 2_000 };
        let name = format!("{services}-of-{}-targets", view.targets.len());
        group.bench_function(BenchmarkId::new("choose-and-finish", name), |bencher| {
            bencher.iter(|| {
                now = now + ClockSpan::new(1);
                let choice = balancer.choose(now, &[]).expect("all targets are alive");
                let outcome = TargetOutcome::Answered { micros: 2_000 };
                balancer.finish(now, &choice, outcome, Some(load));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_calls);
criterion_main!(benches);
