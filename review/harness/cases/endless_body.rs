//! One target in three spoils one in fifty of its answers: the body never ends.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Fleet, Route, get, post};
use crate::Verdict;
use crate::http::Request;
use crate::record;
use crate::target::Reaction;

/// One answer in this many is spoilt: `x` of `garble` is 0.02.
const SPOILT_ONE_IN: usize = 50;

const LOOKUP_DEADLINE: Duration = Duration::from_millis(1_500);
const PAYMENT_DEADLINE: Duration = Duration::from_millis(2_000);
const PAYMENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The rule allows an answer half a second after the timeout.
const LATENESS: Duration = Duration::from_millis(500);

/// Fewer overdue requests than this are not judged.
const MIN_OVERDUE: usize = 8;

const PLAY_TIME: Duration = Duration::from_secs(20);

struct Payment {
    machine: usize,
    sent: Duration,
    answered_in: Option<Duration>,
}

pub fn run(binary: &str, trouble: bool) -> Result<Verdict, String> {
    let routes = [
        Route { prefix: "/look/", kind: "safe", service: "alpha", aim_s: 0.4, timeout_s: 0.8 },
        Route { prefix: "/pay/", kind: "unsafe", service: "alpha", aim_s: 0.5, timeout_s: 1.0 },
    ];
    let spec = [("a", "alpha"), ("a", "alpha"), ("b", "alpha"), ("b", "beta")];
    let behaviour = |number: usize| {
        move |request: &Request, count: usize| {
            let work = if request.method == "GET" { 120 } else { 160 };
            let after = Duration::from_millis(work);
            match trouble && number == 0 && count % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
                true => Reaction::Endless { after },
                false => Reaction::Respond { after, body_bytes: 400 },
            }
        }
    };
    let fleet = Fleet::start(binary, &spec, &routes, behaviour)?;
    let payments: Arc<Mutex<Vec<Payment>>> = Arc::default();
    let next_id = Arc::new(AtomicUsize::new(1));
    let started = record::now();
    let mut workers = Vec::new();
    for (index, machine) in fleet.machines.iter().enumerate() {
        let (outbound, ready) = (machine.outbound, machine.ready);
        // Clients send new work only while the node answers the platform's probe.
        let in_use = Arc::new(AtomicBool::new(true));
        let probed = in_use.clone();
        let name = machine.name.clone();
        workers.push(std::thread::spawn(move || {
            let mut misses = 0;
            while record::now() < started + PLAY_TIME {
                let begun = record::now();
                let is_ready = probe(ready);
                misses = if is_ready { 0 } else { misses + 1 };
                if !is_ready {
                    record::line(&format!("readiness probe of {name} missed, {misses} in a row"));
                }
                probed.store(misses < 2, Ordering::SeqCst);
                std::thread::sleep((begun + Duration::from_secs(1)).saturating_sub(record::now()));
            }
        }));
        for (path, pause) in [("/look/", 50), ("/pay/", 100)] {
            let (payments, next_id, in_use) = (payments.clone(), next_id.clone(), in_use.clone());
            workers.push(std::thread::spawn(move || {
                let mut calls = Vec::new();
                while record::now() < started + PLAY_TIME {
                    std::thread::sleep(Duration::from_millis(pause));
                    if !in_use.load(Ordering::SeqCst) {
                        continue;
                    }
                    let payments = payments.clone();
                    let id = format!("{:016x}", next_id.fetch_add(1, Ordering::SeqCst));
                    calls.push(std::thread::spawn(move || {
                        if path == "/look/" {
                            get(outbound, &format!("/look/{id}"), &id, LOOKUP_DEADLINE);
                            return;
                        }
                        let sent = record::now();
                        let outcome = post(outbound, "/pay/fee", &id, PAYMENT_DEADLINE);
                        record::line(&format!("payment {id}: {}", outcome.describe()));
                        let answered_in = outcome.complete.then_some(outcome.took);
                        let payment = Payment { machine: index, sent, answered_in };
                        payments.lock().unwrap().push(payment);
                    }));
                }
                calls.into_iter().for_each(|call| drop(call.join()));
            }));
        }
    }
    workers.into_iter().for_each(|worker| drop(worker.join()));
    let payments = payments.lock().unwrap();
    // The rule sums over all machines; all of them are in touch.
    let (mut all_pending, mut all_overdue) = (0, 0);
    for (index, machine) in fleet.machines.iter().enumerate() {
        let own: Vec<_> = payments.iter().filter(|payment| payment.machine == index).collect();
        let is_pending_after = |payment: &&&Payment, time: Duration| {
            payment.answered_in.is_none_or(|answered_in| answered_in > time)
        };
        let pending: Vec<_> =
            own.iter().filter(|payment| is_pending_after(payment, PAYMENT_TIMEOUT)).collect();
        let overdue: Vec<_> = pending
            .iter()
            .filter(|payment| is_pending_after(payment, PAYMENT_TIMEOUT + LATENESS))
            .collect();
        record::line(&format!(
            "machine {}: {} payments, {} without an answer at their timeout, {} of them without \
             one half a second later",
            machine.name,
            own.len(),
            pending.len(),
            overdue.len()
        ));
        if let (Some(first), Some(last)) = (overdue.first(), overdue.last()) {
            record::line(&format!("  sent at {:?} to {:?}", first.sent, last.sent));
        }
        all_pending += pending.len();
        all_overdue += overdue.len();
    }
    record::line(&format!(
        "all machines: {all_pending} without an answer at their timeout, {all_overdue} of them \
         without one half a second later"
    ));
    let broken = all_overdue >= MIN_OVERDUE && all_overdue * 2 > all_pending;
    for target in &fleet.targets {
        let runs = target.runs();
        record::line(&format!("target {} ran {} requests", target.id(), runs.len()));
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

fn probe(ready: std::net::SocketAddr) -> bool {
    let outcome = get(ready, "/-/ready", "probe", Duration::from_millis(900));
    outcome.status == Some(200)
}
