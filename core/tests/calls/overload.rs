//! Goodput, balance and retries under load, with baselines in the same simulation.

use crate::load::{Load, Outcome, Policy};

fn print(name: &str, outcome: &Outcome) {
    let runs: u64 = outcome.runs.iter().sum();
    println!(
        "{name:<34} good {:.3} refused {:.3} runs/call {:.3} p50 {:.1} ms p99 {:.1} ms {:?}",
        outcome.goodput(),
        outcome.refused as f64 / outcome.offered as f64,
        runs as f64 / outcome.offered as f64,
        outcome.time(0.5) as f64 / 1e3,
        outcome.time(0.99) as f64 / 1e3,
        outcome.runs,
    );
}

/// Guards against a collapse of goodput when more is offered than the upstreams can do and callers
/// are impatient.
#[test]
fn goodput_holds_under_overload() {
    for patience_ms in [40, 100, 1_000] {
        let good = |policy, share| {
            let outcome = Load { patience_ms, ..Load::new(policy, share) }.run();
            print(&format!("{patience_ms} ms, load {share}"), &outcome);
            outcome.good
        };
        let peak = [0.7, 0.8, 0.9, 1.0].map(|share| good(Policy::Full, share));
        let peak = peak.into_iter().max().unwrap_or(0);
        for share in [1.5, 3.0] {
            let full = good(Policy::Full, share);
            let baseline = good(Policy::NoAdmission, share);
            assert!(full * 10 >= peak * 9, "{patience_ms} ms, {share}: {full} of {peak}");
            assert!(baseline < full, "the baseline without admission does as well: {baseline}");
        }
    }
}

/// Guards against a balancer that does no better than random choice.
#[test]
fn balancer_shortens_the_tail() {
    for share in [0.5, 0.7, 0.85] {
        let run = |policy| Load { patience_ms: 1_000, ..Load::new(policy, share) }.run();
        let (full, random) = (run(Policy::Full), run(Policy::RandomTargets));
        print(&format!("balancer, load {share}"), &full);
        print(&format!("random targets, load {share}"), &random);
        assert!(full.time(0.99) < random.time(0.99), "p99 at load {share}");
        assert!(full.time(0.5) < random.time(0.5), "p50 at load {share}");
    }
}

/// Guards against calls that are lost because a cold target gets its full share at once.
#[test]
fn cold_start_under_load_loses_few_calls() {
    let run = |policy| {
        let load = Load { cold: Some((2, 4)), patience_ms: 150, ..Load::new(policy, 0.8) };
        load.run()
    };
    let (full, random) = (run(Policy::Full), run(Policy::RandomTargets));
    print("cold target", &full);
    print("cold target, random targets", &random);
    let bad = |outcome: &Outcome| outcome.offered - outcome.good;
    assert!(full.goodput() >= 0.995, "goodput {}", full.goodput());
    assert!(bad(&full) * 2 < bad(&random), "{} of {}", bad(&full), bad(&random));
}

/// Guards against a target that attracts calls by reporting no load while it is slow.
#[test]
fn misleading_load_reports_attract_few_calls() {
    let load = Load { liar: Some(1), patience_ms: 150, ..Load::new(Policy::Full, 0.7) };
    let full = load.clone().run();
    let random = Load { policy: Policy::RandomTargets, ..load }.run();
    print("misleading target", &full);
    print("misleading target, random targets", &random);
    let runs: u64 = full.runs.iter().sum();
    assert!(full.runs[1] * 6 < runs, "the slow target gets more than an even share");
    assert!(full.goodput() >= 0.99, "goodput {}", full.goodput());
}

/// Guards against retries that multiply the load during and after an outage.
#[test]
fn outage_does_not_cause_a_retry_storm() {
    let run = |policy| {
        let load = Load { outage: Some((4, 6)), ..Load::new(policy, 0.9) };
        load.run()
    };
    let (full, plain) = (run(Policy::Full), run(Policy::PlainRetries));
    print("outage", &full);
    print("outage, plain retries", &plain);
    let amplification =
        |outcome: &Outcome| outcome.outage_runs as f64 / outcome.outage_calls as f64;
    println!("amplification {:.3}, plain {:.3}", amplification(&full), amplification(&plain));
    println!("good per second {:?}, plain {:?}", full.seconds, plain.seconds);
    // Six entry nodes may each spend a saved burst of 10 besides 10 %.
    assert!(full.outage_runs <= full.outage_calls * 11 / 10 + 6 * 10);
    assert!(amplification(&full) * 2.0 < amplification(&plain));
    // The second after the outage is as good as the one before it.
    assert!(full.seconds[7] * 10 >= full.seconds[3] * 9, "{:?}", full.seconds);
}
