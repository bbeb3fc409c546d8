//! Test harness of the review: stand-ins of clients, targets and the platform's store around real
//! nodes. Only the standard library is used.
//!
//! `harness CASE RECORD BINARY` plays one case and writes what happened to the file RECORD. Exit
//! status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With `TROUBLE=0` the
//! case runs without its disruption.

mod cases;
mod client;
mod http;
mod node;
mod record;
mod store;
mod target;

use std::process::exit;
use std::time::Duration;

/// Longest run of a case.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path, binary] = &arguments[..] else {
        eprintln!("usage: harness CASE RECORD BINARY");
        exit(2);
    };
    record::open(record_path);
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        record::line("the case took too long");
        node::kill_all();
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let result = cases::run(case, binary, trouble);
    node::kill_all();
    let status = match result {
        Ok(Verdict::Held) => {
            record::line("RESULT: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record::line("RESULT: the rule was broken");
            1
        }
        Err(reason) => {
            record::line(&format!("RESULT: the case could not run: {reason}"));
            2
        }
    };
    exit(status);
}
