//! Open connections to the store go silent for good, while new ones work.

use std::time::Duration;

use super::{CONFIG_APPLY, CONTACT, Fleet, Route, config, get, sleep_until};
use crate::Verdict;
use crate::http::Request;
use crate::record;
use crate::target::Reaction;

pub fn run(binary: &str, trouble: bool) -> Result<Verdict, String> {
    let route = |service, timeout_s| {
        [Route { prefix: "/look/", kind: "safe", service, aim_s: 0.4, timeout_s }]
    };
    // One machine in each zone.
    let spec = [("a", "alpha"), ("b", "alpha"), ("c", "beta")];
    let behaviour = |_| {
        |_: &Request, _| Reaction::Respond { after: Duration::from_millis(20), body_bytes: 400 }
    };
    let fleet = Fleet::start(binary, &spec, &route("alpha", 0.8), behaviour)?;
    fleet.store.put("op/config", &config(3, &route("alpha", 0.9)));
    record::line("version 3 acknowledged: another timeout");
    std::thread::sleep(Duration::from_millis(100));
    let silenced_at = record::now();
    if trouble {
        fleet.store.silence_open_connections();
        record::line("open connections to the store are silent from now on");
    }
    std::thread::sleep(Duration::from_millis(200));
    fleet.store.put("op/config", &config(8, &route("beta", 0.9)));
    let acknowledged_at = record::now();
    record::line("version 8 acknowledged: /look/ goes to beta");
    // From then on the machines are in touch again, and the version has to be in force.
    let judged_from = (silenced_at + CONTACT).max(acknowledged_at + CONFIG_APPLY);
    sleep_until(judged_from - Duration::from_millis(500));
    let mut requests = Vec::new();
    let mut number = 0;
    while record::now() < judged_from + Duration::from_secs(2) {
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
        let is_judged = *sent > judged_from;
        let is_stale = is_judged && services.iter().any(|service| service.ends_with("alpha"));
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
    record::line(&format!(
        "{stale} requests were run by the old service, sent {:.1} s or more after the new version \
         was acknowledged by machines in touch",
        (judged_from - acknowledged_at).as_secs_f64()
    ));
    Ok(if stale > 0 { Verdict::Broken } else { Verdict::Held })
}
