//! The store comes back from a copy in which a target that has left is still listed, and the node beside
//! that target is restarted meanwhile.

use std::time::Duration;

use super::{CONTACT, Fleet, Route, get, sleep_until};
use crate::Verdict;
use crate::http::Request;
use crate::node::SIGKILL;
use crate::record;
use crate::target::Reaction;

/// Time for which the target goes on serving after its entry was removed.
const SERVES_ON: Duration = Duration::from_secs(14);

const DRAIN: Duration = Duration::from_secs(2);

/// Time after which the platform removes the entry of a silent target: three heartbeats.
const LAPSE: Duration = Duration::from_millis(4_500);

const STORE_AWAY: Duration = Duration::from_secs(1);

pub fn run(binary: &str, trouble: bool) -> Result<Verdict, String> {
    let routes =
        [Route { prefix: "/look/", kind: "safe", service: "alpha", aim_s: 0.4, timeout_s: 0.8 }];
    let spec = [("a", "alpha"), ("a", "alpha"), ("b", "alpha"), ("b", "alpha")];
    let behaviour = |_| {
        |_: &Request, _| Reaction::Respond { after: Duration::from_millis(20), body_bytes: 400 }
    };
    let mut fleet = Fleet::start(binary, &spec, &routes, behaviour)?;
    let leaving = fleet.targets[0].clone();
    let key = format!("servers/{}", leaving.id());
    let copy = fleet.store.copy();
    record::line("the store is copied");
    std::thread::sleep(Duration::from_secs(1));
    fleet.store.remove(&key);
    let left_at = record::now();
    record::line(&format!("the entry of {} is removed: it leaves, and serves on", leaving.id()));
    std::thread::sleep(Duration::from_secs(4));
    let restarted_at = record::now();
    let mut stable_from = record::now();
    if trouble {
        fleet.store.go_away();
        record::line("the store is away");
        fleet.machines[0].signal(SIGKILL);
        fleet.machines[0].wait_end(Duration::from_secs(1));
        std::thread::sleep(STORE_AWAY);
        fleet.store.restore(copy);
        let back_at = record::now();
        record::line("the store is back from the copy");
        let store = fleet.store.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LAPSE);
            store.remove(&key);
            record::line("the entry of the target that has left has lapsed again");
        });
        fleet.machines[0].start().map_err(|err| err.to_string())?;
        stable_from = back_at + CONTACT;
    }
    let started_at = record::now();
    let judged_from = stable_from.max(started_at + CONTACT).max(restarted_at);
    sleep_until(judged_from - Duration::from_millis(300));
    let mut sends = Vec::new();
    while record::now() < left_at + SERVES_ON {
        let id = format!("look{}", sends.len());
        let sent = record::now();
        let outcome = get(fleet.machines[0].outbound, "/look/x", &id, Duration::from_millis(1_500));
        record::line(&format!("{id}: {}", outcome.describe()));
        sends.push((id, sent));
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut late = 0;
    for run in leaving.runs() {
        let Some((_, sent)) = sends.iter().find(|(id, _)| *id == run.id) else { continue };
        let counts = *sent > judged_from && run.at > left_at + DRAIN;
        late += usize::from(counts);
        record::line(&format!(
            "{} reached {} {:.3} s after it had left{}",
            run.id,
            run.target,
            (run.at - left_at).as_secs_f64(),
            if counts { " - LATE" } else { "" }
        ));
    }
    record::line(&format!(
        "{late} requests reached a target that had left, sent by a machine in touch"
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
