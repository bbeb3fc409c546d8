//! Targets that fail are left out, but never too many of them.

use fescuestack_core::*;

use crate::service::service;

fn at(millis: u64) -> ClockTime {
    ClockTime::new(1_000_000 + millis)
}

fn balancer(targets: usize) -> TargetBalancer {
    let view = service(0..targets, 8, 1_000);
    // Without a link delay, idle targets of both data centres are alike.
    TargetBalancer::new(&view, "a".into(), ClockSpan::ZERO, 7)
}

/// Ends calls to the named targets with `outcome`.
fn end_calls(
    balancer: &mut TargetBalancer,
    now: ClockTime,
    names: &[&str],
    count: u32,
    outcome: TargetOutcome,
) {
    for name in names {
        for _ in 0..count {
            let choice = balancer.choose_named(name).expect("a target");
            balancer.finish(now, &choice, outcome, None);
        }
    }
}

fn is_chosen(balancer: &mut TargetBalancer, now: ClockTime, name: &str) -> bool {
    let mut chosen = false;
    for _ in 0..200 {
        let choice = balancer.choose(now, &[]).expect("a target");
        balancer.finish(now, &choice, TargetOutcome::Uncounted, None);
        chosen |= *choice.name == *name;
    }
    chosen
}

/// Guards against ejections that take a whole service out, and against ones that never end or never
/// grow.
#[test]
fn ejection_is_bounded_and_doubles() {
    let mut balancer = balancer(6);
    let all = ["t000", "t001", "t002", "t003", "t004", "t005"];
    end_calls(&mut balancer, at(0), &all, 5, TargetOutcome::Failed);
    let left = all.iter().filter(|name| is_chosen(&mut balancer, at(0), name)).count();
    assert_eq!(left, 4, "a third of six may be ejected");
    assert!(!is_chosen(&mut balancer, at(999), "t000"));
    assert!(is_chosen(&mut balancer, at(15_000), "t000"));
    end_calls(&mut balancer, at(15_000), &["t000"], 5, TargetOutcome::Failed);
    assert!(!is_chosen(&mut balancer, at(16_999), "t000"));
    assert!(is_chosen(&mut balancer, at(30_000), "t000"));
}

/// Guards against a silent connection that keeps its share of calls, and against the ejection of a
/// target whose callers are merely impatient.
#[test]
fn silence_counts_when_it_is_long() {
    let mut balancer = balancer(6);
    let quick = TargetOutcome::Answered { micros: 1_000 };
    end_calls(&mut balancer, at(0), &["t000", "t002"], 20, quick);
    let silent = |micros| TargetOutcome::Silent { micros };
    end_calls(&mut balancer, at(0), &["t000"], 10, silent(3_000));
    assert!(is_chosen(&mut balancer, at(500), "t000"));
    end_calls(&mut balancer, at(500), &["t002"], 5, silent(400_000));
    assert!(!is_chosen(&mut balancer, at(500), "t002"));
}

/// Guards against calls to targets that leave or are dead, and against suspects while others live.
#[test]
fn only_live_targets_are_chosen() {
    let mut balancer = balancer(3);
    balancer.set_liveness(at(0), "t000", TargetLiveness::Leaving);
    balancer.set_liveness(at(0), "t001", TargetLiveness::Suspect);
    assert!(!is_chosen(&mut balancer, at(0), "t000"));
    assert!(!is_chosen(&mut balancer, at(0), "t001"));
    balancer.set_liveness(at(0), "t002", TargetLiveness::Dead);
    assert!(is_chosen(&mut balancer, at(0), "t001"));
    balancer.set_liveness(at(0), "t001", TargetLiveness::Dead);
    assert_eq!(balancer.choose(at(0), &[]), None);
}
