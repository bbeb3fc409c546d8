//! Clients that name the header of the calling service in their `Connection` header.

use std::io::Write;
use std::time::Duration;

use crate::common::{answer_bytes, has_trouble, request_head, send_once, Fleet, Route, SERVICE};

const REQUESTS: usize = 40;

pub fn run() -> Result<bool, String> {
    let routes = [Route {
        name: "r-pay",
        prefix: "/pufi791/",
        route_type: "unsafe",
        service: SERVICE,
        aim_s: 0.5,
        timeout_s: 1.0,
        priority: 1,
    }];
    let mut fleet = Fleet::start(&routes, |request, stream| {
        stream.write_all(&answer_bytes(200, request, "", b"ok")).is_ok()
    })?;
    let options = match has_trouble() {
        true => "close, X-Fescuestack-Caller-Service",
        false => "close",
    };
    let fields = format!(
        "Content-Length: 2\r\nConnection: {options}\r\nX-Fescuestack-Caller-Service: another\r\n"
    );
    let mut answered = 0;
    for number in 0..REQUESTS {
        let id = format!("pay-{number}");
        let head = request_head("POST", "/pufi791/2f", &id, 2_000, &fields);
        let answer = send_once(
            fleet.network.outbound(number % 4),
            &[head, b"ok".to_vec()].concat(),
            Duration::from_secs(3),
        );
        let answer = answer.map_err(|err| err.to_string())?;
        fleet.record.line(&format!(
            "client {id}: sent with Connection: {options}, answered {}",
            answer.status
        ));
        answered += usize::from(answer.status == 200);
    }
    let runs = fleet.runs.lock().unwrap().clone();
    let wrong = runs.iter().filter(|run| run.caller_service.as_deref() != Some(SERVICE)).count();
    let line = format!(
        "{answered} of {REQUESTS} requests answered with 200; {} runs, {wrong} of them without the service \
         of the machine where the request began",
        runs.len()
    );
    fleet.record.line(&line);
    println!("{line}");
    fleet.check_nodes()?;
    if answered < REQUESTS / 2 {
        return Err("most requests were not served".to_owned());
    }
    Ok(wrong > 0)
}
