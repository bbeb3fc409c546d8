//! The settings files change: the platform's store has a new address.

use std::time::Duration;

use super::{CONFIG_APPLY, Fleet, OUTER, Route, config, get, sleep_until};
use crate::Verdict;
use crate::http::Request;
use crate::node::{SIGHUP, machine_ip};
use crate::record;
use crate::target::Reaction;

/// Time for which the store serves both addresses after the last settings file has changed.
const OVERLAP: Duration = Duration::from_secs(5);

/// Pause between the signals to two nodes.
const SIGNAL_GAP: Duration = Duration::from_millis(500);

pub fn run(binary: &str, trouble: bool) -> Result<Verdict, String> {
    let route =
        |service| [Route { prefix: "/look/", kind: "safe", service, aim_s: 0.4, timeout_s: 0.8 }];
    let spec = [("a", "alpha"), ("a", "beta"), ("b", "alpha"), ("b", "beta")];
    let behaviour = |_| {
        |_: &Request, _| Reaction::Respond { after: Duration::from_millis(20), body_bytes: 400 }
    };
    let text = |err: std::io::Error| err.to_string();
    let fleet = Fleet::start(binary, &spec, &route("alpha"), behaviour)?;
    if trouble {
        let new = fleet.store.open_address(&machine_ip(spec.len() + 1)).map_err(text)?;
        for machine in &fleet.machines {
            let (from, to) = (fleet.store.address.to_string(), new.address.to_string());
            machine.change_settings(&from, &to).map_err(text)?;
            machine.signal(SIGHUP);
            std::thread::sleep(SIGNAL_GAP);
        }
        std::thread::sleep(OVERLAP);
        fleet.store.close_address();
        record::line("the old address of the store is not served any more");
    }
    // Longer than `contact_s`.
    std::thread::sleep(Duration::from_secs(4));
    fleet.store.put("op/config", &config(5, &route("beta")));
    let acknowledged_at = record::now();
    record::line("version 5 acknowledged: /look/ goes to beta");
    // The bound is stretched as far as it can be for an unstable store, though the store is stable.
    let judged_from = acknowledged_at + CONFIG_APPLY + OUTER;
    sleep_until(judged_from - Duration::from_millis(500));
    let mut requests = Vec::new();
    let mut number = 0;
    while record::now() < judged_from + Duration::from_secs(3) {
        for (index, machine) in fleet.machines.iter().enumerate() {
            number += 1;
            let id = format!("look{number}");
            let sent = record::now();
            let outcome = get(machine.outbound, "/look/x", &id, Duration::from_millis(1_500));
            requests.push((id, index, sent, outcome));
        }
    }
    let runs: Vec<_> = fleet.targets.iter().flat_map(|target| target.runs()).collect();
    let mut stale = 0;
    for (id, index, sent, outcome) in &requests {
        let services: Vec<_> = runs
            .iter()
            .filter(|run| run.id == *id)
            .map(|run| format!("{} of {}", run.target, run.service))
            .collect();
        let is_stale =
            *sent > judged_from && services.iter().any(|service| service.ends_with("alpha"));
        stale += usize::from(is_stale);
        record::line(&format!(
            "{id} sent at {:.3} to {}: {}, run by {}{}",
            sent.as_secs_f64(),
            fleet.machines[*index].name,
            outcome.describe(),
            services.join(", "),
            if is_stale { " - STALE" } else { "" }
        ));
    }
    for machine in &fleet.machines {
        let changes = machine.log_lines("settings changed").len();
        record::line(&format!(
            "{}: ready {}, log lines \"settings changed\": {changes}",
            machine.name,
            machine.is_ready()
        ));
    }
    record::line(&format!(
        "{stale} of {} requests were run by the old service, sent more than {} s after the new \
         version was acknowledged",
        requests.iter().filter(|(_, _, sent, _)| *sent > judged_from).count(),
        (CONFIG_APPLY + OUTER).as_secs()
    ));
    Ok(if stale > 0 { Verdict::Broken } else { Verdict::Held })
}
