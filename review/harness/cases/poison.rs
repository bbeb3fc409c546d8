//! A request that crashes its targets comes again and again, while the nodes are restarted in turn.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{CONTACT, Fleet, GRACE, Route, get, now_ms, post, sleep_until};
use crate::Verdict;
use crate::http::Request;
use crate::node::SIGTERM;
use crate::record;
use crate::target::Reaction;

/// Time after which a crashed target is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// Time that a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(120);

/// Pause between two sends of the request, at the machines in turn.
const REPEAT: Duration = Duration::from_millis(1_000);

/// Pause between the restarts of two nodes.
const RESTART_GAP: Duration = Duration::from_secs(8);

const DEADLINE: Duration = Duration::from_millis(1_500);

/// Time after a crash within which the payments that it broke off are answered.
const LOSS_SPAN: Duration = Duration::from_millis(300);

/// Retries that the rule allows.
const ALLOWED: usize = 3;

pub fn run(binary: &str, trouble: bool) -> Result<Verdict, String> {
    let routes = [
        Route { prefix: "/look/", kind: "safe", service: "alpha", aim_s: 0.4, timeout_s: 0.8 },
        Route { prefix: "/pay/", kind: "unsafe", service: "alpha", aim_s: 0.5, timeout_s: 1.0 },
    ];
    let spec = [("a", "alpha"), ("a", "alpha"), ("b", "alpha"), ("b", "alpha")];
    let behaviour = |_| {
        |request: &Request, _| match request.target.ends_with("/poison") {
            true => Reaction::Crash { back_after: BACK_AFTER },
            false => Reaction::Respond { after: WORK_TIME, body_bytes: 400 },
        }
    };
    let mut fleet = Fleet::start(binary, &spec, &routes, behaviour)?;
    for target in &fleet.targets {
        let (store, entry_of) = (fleet.store.clone(), target.clone());
        target.set_on_return(move || {
            // The target starts again under its id, and its counts start anew.
            let value = entry_of.entry("ready", now_ms(), 1);
            store.put(&format!("servers/{}", entry_of.id()), &value);
        });
    }
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicUsize::new(0));
    // Payments that were answered 502, with the time of the answer.
    let lost_payments: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let mut callers = Vec::new();
    for machine in &fleet.machines {
        for is_payment in [false, true] {
            let (stop, number, address) = (stop.clone(), number.clone(), machine.outbound);
            let lost_payments = lost_payments.clone();
            callers.push(std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let count = number.fetch_add(1, Ordering::SeqCst);
                    if is_payment {
                        let id = format!("pay{count}");
                        if post(address, "/pay/fee", &id, DEADLINE).status == Some(502) {
                            lost_payments.lock().unwrap().push((id, record::now()));
                        }
                    } else {
                        let id = format!("look{count}");
                        get(address, &format!("/look/{id}"), &id, DEADLINE);
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let addresses: Vec<_> = fleet.machines.iter().map(|machine| machine.outbound).collect();
    // Times from which the machines are in touch. The request comes only at those that are.
    let in_touch_from = Arc::new(Mutex::new(vec![Duration::ZERO; addresses.len()]));
    let known_in_touch = in_touch_from.clone();
    let repeating = stop.clone();
    let sender = std::thread::spawn(move || {
        let mut sends = Vec::new();
        let mut count = 0;
        while !repeating.load(Ordering::SeqCst) {
            let index = count % addresses.len();
            count += 1;
            if record::now() < known_in_touch.lock().unwrap()[index] {
                std::thread::sleep(REPEAT);
                continue;
            }
            let id = format!("poison{count}");
            let sent = record::now();
            let outcome = get(addresses[index], "/look/poison", &id, DEADLINE);
            record::line(&format!("{id} at machine {}: {}", index + 1, outcome.describe()));
            sends.push((id, index, sent));
            std::thread::sleep(REPEAT.saturating_sub(record::now() - sent));
        }
        sends
    });
    let crashes = |fleet: &Fleet| {
        let runs = fleet.targets.iter().flat_map(|target| target.runs());
        let mut runs: Vec<_> = runs.filter(|run| run.path.ends_with("/poison")).collect();
        runs.sort_by_key(|run| run.at);
        runs
    };
    let limit = record::now() + Duration::from_secs(30);
    while crashes(&fleet).len() < 3 {
        if record::now() > limit {
            return Err("the request did not crash three targets".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let third_at = crashes(&fleet)[2].at;
    record::line(&format!("third crash at {:.3}", third_at.as_secs_f64()));
    sleep_until(third_at + CONTACT + Duration::from_secs(2));
    // Spans in which a machine is not in touch.
    let mut restarts = Vec::new();
    for index in 0..fleet.machines.len() {
        let begun = record::now();
        if trouble {
            in_touch_from.lock().unwrap()[index] = Duration::MAX;
            fleet.machines[index].signal(SIGTERM);
            if !fleet.machines[index].wait_end(GRACE) {
                fleet.machines[index].signal(crate::node::SIGKILL);
                fleet.machines[index].wait_end(GRACE);
            }
            fleet.machines[index].start().map_err(|err| err.to_string())?;
            restarts.push((index, begun, record::now() + CONTACT));
            in_touch_from.lock().unwrap()[index] = record::now() + CONTACT;
            fleet.machines[index].wait_ready(Duration::from_secs(10))?;
        }
        std::thread::sleep(RESTART_GAP);
    }
    std::thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    let sends = sender.join().map_err(|_| "the sender failed".to_owned())?;
    callers.into_iter().for_each(|caller| drop(caller.join()));
    // A retry is one attempt of a client; it may reach two targets.
    let mut retries = Vec::new();
    let mut counted_at = Vec::new();
    for run in crashes(&fleet) {
        let Some((_, index, sent)) = sends.iter().find(|(id, ..)| *id == run.id) else { continue };
        let in_touch = restarts
            .iter()
            .all(|(restarted, from, until)| restarted != index || run.at < *from || *sent > *until);
        let counts = *sent > third_at + CONTACT && in_touch;
        if counts {
            counted_at.push(run.at);
            retries.push(run.id.clone());
        }
        record::line(&format!(
            "{} reached {} at {:.3}, sent by machine {}{}{}",
            run.id,
            run.target,
            run.at.as_secs_f64(),
            index + 1,
            if in_touch { "" } else { " (not in touch)" },
            if counts { " - COUNTS" } else { "" }
        ));
    }
    // Payments that were lost with a target which a counted retry crashed.
    for (id, at) in lost_payments.lock().unwrap().iter() {
        let crash =
            counted_at.iter().find(|crash| at.saturating_sub(**crash) < LOSS_SPAN && *at > **crash);
        if let Some(crash) = crash {
            record::line(&format!(
                "payment {id} answered 502 at {:.3}, after the crash at {:.3}",
                at.as_secs_f64(),
                crash.as_secs_f64()
            ));
        }
    }
    let arrivals = retries.len();
    retries.dedup();
    record::line(&format!(
        "{} retries reached targets, {arrivals} times in all, later than {} s after the third \
         crash, sent by machines in touch; {ALLOWED} are allowed",
        retries.len(),
        CONTACT.as_secs()
    ));
    Ok(if retries.len() > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
