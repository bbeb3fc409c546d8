//! Requests with many short header fields, far below the longest head that the configuration allows.

use std::io::Write;
use std::time::Duration;

use crate::common::{answer_bytes, has_trouble, request_head, send_once, Fleet, Route, SERVICE};

const REQUESTS: usize = 200;

/// Fields of each tenth request, which take 2,160 bytes. The configuration allows heads of 16,384.
const FIELDS: usize = 120;

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
    let many: String =
        (0..FIELDS).map(|index| format!("X-Trace-{index:03}: {index:03}\r\n")).collect();
    // The same number of bytes in one field.
    let one = format!("X-Trace: {}\r\n", "0".repeat(many.len() - "X-Trace: \r\n".len()));
    let fields = if has_trouble() { many } else { one };
    let (mut served, mut refused) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("pay-{number}");
        let fields = if number % 10 == 0 { &fields } else { "" };
        let head = request_head(
            "POST",
            "/pufi791/2f",
            &id,
            2_000,
            &format!("Content-Length: 2\r\n{fields}"),
        );
        let length = head.len();
        let answer = send_once(
            fleet.network.outbound(number % 4),
            &[head, b"ok".to_vec()].concat(),
            Duration::from_secs(3),
        );
        let answer = answer.map_err(|err| err.to_string())?;
        fleet.record.line(&format!(
            "client {id}: a head of {length} bytes with {} fields, answered {}",
            4 + if fields.is_empty() { 0 } else { fields.matches("\r\n").count() },
            answer.status
        ));
        let is_own = answer.header("x-fescuestack-response-signature").is_none();
        refused += usize::from(
            is_own
                && (300..500).contains(&answer.status)
                && ![408, 421, 429].contains(&answer.status),
        );
        served += usize::from(answer.status == 200);
    }
    let line = format!(
        "{served} of {REQUESTS} requests served, {refused} ended with a 4xx of the node's own"
    );
    fleet.record.line(&line);
    println!("{line}");
    fleet.check_nodes()?;
    if served < REQUESTS / 2 {
        return Err("most requests were not served".to_owned());
    }
    Ok(500 * refused > 5 * 500 + REQUESTS)
}
