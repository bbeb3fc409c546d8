//! Cost of compiling a configuration, of a change of one service and of routing a call.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use fescuestack_core::{ClockTime, ConfigSnapshot};

mod fleet;

use fleet::{FLEET_SIZES, FleetSample};

fn bench_snapshot(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("snapshot");
    group.sample_size(20);
    group.warm_up_time(Duration::from_millis(500));
    group.measurement_time(Duration::from_secs(3));
    for (services, targets) in FLEET_SIZES {
        let sample = FleetSample::new(services, targets);
        let snapshot = sample.snapshot();
        let delta = sample.delta(&snapshot);
        group.bench_function(BenchmarkId::new("full", services), |bencher| {
            let parts = || sample.parts.clone();
            let compile = |parts| ConfigSnapshot::new(sample.version, parts).expect("valid");
            bencher.iter_batched(parts, compile, BatchSize::LargeInput);
        });
        group.bench_function(BenchmarkId::new("delta", services), |bencher| {
            bencher.iter(|| snapshot.with_delta(black_box(&delta)).expect("valid"));
        });
        group.bench_function(BenchmarkId::new("route", services), |bencher| {
            let name = format!("service-{}", services / 2);
            // 12 March 2026, 12:00 UTC: neither end of a patience period.
            let now = ClockTime::new(1_773_316_800_000);
            bencher.iter(|| route_call(&snapshot, black_box(&name), black_box(now)));
        });
    }
    group.finish();
}

/// What an entry node looks up for each call: the service, its route, the class and its patience.
fn route_call(snapshot: &ConfigSnapshot, host: &str, now: ClockTime) -> Option<u64> {
    let service = snapshot.service(host)?;
    let rule = service.route("GET", "/items/17")?;
    let (tenant, class) = snapshot.class(rule.classes.first()?)?;
    class.patience(tenant.zone, now).map(|patience| patience.millis())
}

criterion_group!(benches, bench_snapshot);
criterion_main!(benches);
