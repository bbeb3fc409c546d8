//! A node is asked to stop while its clients read long answers over slow links.

use std::time::Duration;

use super::{Fleet, GRACE, HOST, Route};
use crate::Verdict;
use crate::client::{Call, Connection, Reading};
use crate::http::Request;
use crate::node::SIGTERM;
use crate::record;
use crate::target::{Reaction, body};

const ANSWER_BYTES: usize = 8_700_000;

/// Rate at which each client reads, that of a link of 14 Mbit/s.
const CLIENT_BYTES_PER_S: usize = 1_750_000;

const CLIENTS: usize = 3;

const TIMEOUT_S: f64 = 8.0;
const DEADLINE: Duration = Duration::from_secs(10);

pub fn run(binary: &str, trouble: bool) -> Result<Verdict, String> {
    let routes = [Route {
        prefix: "/search/",
        kind: "safe",
        service: "beta",
        aim_s: 5.0,
        timeout_s: TIMEOUT_S,
    }];
    let spec = [("a", "alpha"), ("a", "beta"), ("b", "beta")];
    let behaviour = |_| {
        |_: &Request, _| Reaction::Respond {
            after: Duration::from_millis(100),
            body_bytes: ANSWER_BYTES,
        }
    };
    let fleet = Fleet::start(binary, &spec, &routes, behaviour)?;
    let address = fleet.machines[0].outbound;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || {
                let id = format!("search{client}");
                let reading = Reading { bytes_per_s: Some(CLIENT_BYTES_PER_S), pause: None };
                let path = format!("/search/{client}");
                let call = Call {
                    method: "GET",
                    host: HOST,
                    path: &path,
                    id: &id,
                    deadline: DEADLINE,
                    body: &[],
                    reading,
                };
                record::line(&format!("request {id} sent"));
                let outcome = Connection::open_small(address).map(|mut link| link.call(&call));
                (id, outcome)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let runs: usize = fleet.targets.iter().map(|target| target.runs().len()).sum();
    record::line(&format!("targets have run {runs} requests and answered"));
    if trouble {
        fleet.machines[0].signal(SIGTERM);
        if !fleet.machines[0].wait_end(GRACE) {
            record::line("the grace period is over, and the node still runs");
        }
    }
    let mut broken = false;
    for client in clients {
        let (id, outcome) = client.join().map_err(|_| "a client failed".to_owned())?;
        let outcome = outcome.map_err(|err| err.to_string())?;
        record::line(&format!("request {id}: {}", outcome.describe()));
        let is_whole = outcome.is_signed_success() && outcome.body == body(ANSWER_BYTES);
        // Neither the deadline nor the route's timeout was reached.
        let is_in_time = outcome.took.as_secs_f64() < TIMEOUT_S;
        broken |= !is_whole && is_in_time;
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
