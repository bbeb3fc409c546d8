//! Two nodes are asked to stop, one two seconds after the other, as in a rolling restart. Long requests
//! that the second took from its clients run at the target beside the first.

use std::time::Duration;

use super::{Fleet, GRACE, Route, get, sleep_until};
use crate::Verdict;
use crate::http::Request;
use crate::node::SIGTERM;
use crate::record;
use crate::target::Reaction;

/// Pause between the two stops, as `gap_s` of `roll_term` has it.
const STOP_GAP: Duration = Duration::from_secs(2);

/// When the requests are sent, from the first stop on. All are sent before the second one.
const SENT_FROM: Duration = Duration::from_millis(1_700);

const REQUESTS: u32 = 4;

/// Time that a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(4_200);

const TIMEOUT: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(10);

pub fn run(binary: &str, trouble: bool) -> Result<Verdict, String> {
    let timeout_s = TIMEOUT.as_secs_f64();
    let routes =
        [Route { prefix: "/status/", kind: "safe", service: "beta", aim_s: 4.5, timeout_s }];
    let spec = [("a", "alpha"), ("a", "beta"), ("b", "beta"), ("b", "alpha")];
    let behaviour = |_| |_: &Request, _| Reaction::Respond { after: WORK_TIME, body_bytes: 400 };
    let fleet = Fleet::start(binary, &spec, &routes, behaviour)?;
    let (entry, beside) = (&fleet.machines[0], &fleet.machines[1]);
    let first_stop = record::now();
    if trouble {
        beside.signal(SIGTERM);
    }
    sleep_until(first_stop + SENT_FROM);
    let address = entry.outbound;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            std::thread::sleep(Duration::from_millis(50));
            std::thread::spawn(move || {
                let id = format!("status{number}");
                let sent = record::now();
                record::line(&format!("request {id} sent"));
                let outcome = get(address, &format!("/status/{number}"), &id, DEADLINE);
                record::line(&format!("request {id}: {}", outcome.describe()));
                (id, sent, outcome)
            })
        })
        .collect();
    sleep_until(first_stop + STOP_GAP);
    let second_stop = record::now();
    if trouble {
        entry.signal(SIGTERM);
        // The platform kills a process that has not ended at the end of the grace period.
        if !beside.wait_end((first_stop + GRACE).saturating_sub(record::now())) {
            beside.signal(crate::node::SIGKILL);
        }
    }
    let mut broken_off = 0;
    for client in clients {
        let (id, sent, outcome) = client.join().map_err(|_| "a client failed".to_owned())?;
        let runs: Vec<_> = fleet
            .targets
            .iter()
            .flat_map(|target| target.runs())
            .filter(|run| run.id == id)
            .map(|run| format!("{} at {:.3}", run.target, run.at.as_secs_f64()))
            .collect();
        record::line(&format!("request {id} was run by {}", runs.join(", ")));
        let ended = sent + outcome.took;
        // Sent no later than 3 s after the SIGTERM, and at work in the last sixth of the grace period.
        let is_excused = ended > second_stop + GRACE * 5 / 6 || outcome.took >= TIMEOUT;
        let was_at_work = !runs.is_empty();
        if !outcome.is_signed_success() && was_at_work && !is_excused {
            broken_off += 1;
        }
    }
    record::line(&format!("{broken_off} requests were broken off while their target was at work"));
    Ok(if broken_off > 0 { Verdict::Broken } else { Verdict::Held })
}
