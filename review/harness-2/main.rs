//! The cases of the second review that are scripts. The first argument names the case. Exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run.

mod chunked_crowd;
mod common;
mod connection_field;
mod crashing_request;
mod left_clients;
mod many_fields;
mod slow_readers;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let case = match name.as_str() {
        "chunked-crowd" => chunked_crowd::run,
        "connection-field" => connection_field::run,
        "crashing-request" => crashing_request::run,
        "left-clients" => left_clients::run,
        "many-fields" => many_fields::run,
        "slow-readers" => slow_readers::run,
        _ => {
            eprintln!("unknown case {name:?}");
            std::process::exit(2);
        }
    };
    let status = match std::panic::catch_unwind(case) {
        Ok(Ok(false)) => 0,
        Ok(Ok(true)) => 1,
        Ok(Err(reason)) => {
            eprintln!("the case could not run: {reason}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(status);
}
