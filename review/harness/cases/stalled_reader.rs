//! Clients stop reading their answer for a few seconds.

use std::time::Duration;

use super::{Fleet, HOST, Route};
use crate::Verdict;
use crate::client::{Call, Connection, Reading};
use crate::http::Request;
use crate::record;
use crate::target::{Reaction, body};

const ANSWER_BYTES: usize = 600_000;

/// Bytes after which a client stops reading, and for how long.
const PAUSE: (usize, Duration) = (64 * 1024, Duration::from_secs(3));

const CLIENTS: usize = 6;

/// More than three such requests break the rule.
const ALLOWED: usize = 3;

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
        |request: &Request, _| Reaction::Respond {
            after: Duration::from_millis(100),
            body_bytes: if request.target.ends_with("/small") { 400 } else { ANSWER_BYTES },
        }
    };
    let fleet = Fleet::start(binary, &spec, &routes, behaviour)?;
    let address = fleet.machines[0].outbound;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || -> Result<_, String> {
                let mut connection =
                    Connection::open_small(address).map_err(|err| err.to_string())?;
                let pause = trouble.then_some(PAUSE);
                let mut send = |id: &str, path: &str, pause| {
                    let reading = Reading { bytes_per_s: None, pause };
                    let deadline = DEADLINE;
                    let call =
                        Call { method: "GET", host: HOST, path, id, deadline, body: &[], reading };
                    let outcome = connection.call(&call);
                    record::line(&format!("request {id}: {}", outcome.describe()));
                    outcome
                };
                // Makes the connection a kept one.
                let first = send(&format!("small{client}"), "/search/small", None);
                if !first.is_signed_success() {
                    return Err("the first request was not served".to_owned());
                }
                let outcome = send(&format!("long{client}"), "/search/long", pause);
                Ok(outcome.is_signed_success() && outcome.body == body(ANSWER_BYTES))
            })
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let is_whole = client.join().map_err(|_| "a client failed".to_owned())??;
        lost += usize::from(!is_whole);
    }
    record::line(&format!("{lost} of {CLIENTS} answers were cut off on kept connections"));
    Ok(if lost > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
