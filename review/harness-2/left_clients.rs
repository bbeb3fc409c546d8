//! Clients that send further safe requests before the first is answered, some of which leave early.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    answer_bytes, connect, has_trouble, read_answer, request_head, work_for, Fleet, Route, SERVICE,
};

/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(1_500);

/// Time after its last byte at which a client leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(200);

const WAVES: usize = 3;
const CLIENTS: usize = 20;

/// Clients of a wave that leave: 30 in 100.
const LEAVING: usize = 6;

/// Requests that each client sends behind its first one.
const AHEAD: usize = 3;

/// Length of a header of the later requests, in bytes. The configuration allows heads of 16,384 bytes.
const FIELD_BYTES: usize = 9_000;

/// "More than a few".
const ALLOWED: usize = 5;

pub fn run() -> Result<bool, String> {
    let routes = [Route {
        name: "r-look",
        prefix: "/lohu930/",
        route_type: "safe",
        service: SERVICE,
        aim_s: 3.0,
        timeout_s: 10.0,
        priority: 1,
    }];
    // When the targets ended their work on each request.
    let ended: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let ends = ended.clone();
    let mut fleet = Fleet::start(&routes, move |request, stream| {
        let is_wanted = work_for(stream, WORK);
        let id = request.header("x-fescuestack-request-id").unwrap_or("");
        ends.lock().unwrap().insert(id.to_owned(), Instant::now());
        is_wanted && stream.write_all(&answer_bytes(200, request, "", b"ok")).is_ok()
    })?;
    // When each client that left closed its connection.
    let left: Arc<Mutex<HashMap<(usize, usize), Instant>>> = Arc::default();
    for wave in 0..WAVES {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (address, record) = (fleet.network.outbound(number % 4), fleet.record.clone());
                let left = left.clone();
                thread::spawn(move || -> std::io::Result<()> {
                    let mut stream = connect(address, Duration::from_secs(12))?;
                    let cookie = format!("Cookie: {}\r\n", "c".repeat(FIELD_BYTES));
                    for part in 0..=AHEAD {
                        let fields = if part == 0 { "" } else { &cookie };
                        let id = format!("w{wave}-c{number}-r{part}");
                        stream.write_all(&request_head(
                            "GET",
                            "/lohu930/2f",
                            &id,
                            10_000,
                            fields,
                        ))?;
                    }
                    if has_trouble() && number < LEAVING {
                        thread::sleep(LEAVE_AFTER);
                        drop(stream);
                        left.lock().unwrap().insert((wave, number), Instant::now());
                        record.line(&format!(
                            "client w{wave}-c{number} sent {} requests and leaves",
                            AHEAD + 1
                        ));
                        return Ok(());
                    }
                    let mut buffer = Vec::new();
                    for part in 0..=AHEAD {
                        let answer = read_answer(&mut stream, &mut buffer)?;
                        record.line(&format!(
                            "client w{wave}-c{number}-r{part}: answered {}",
                            answer.status
                        ));
                    }
                    Ok(())
                })
            })
            .collect();
        for client in clients {
            client.join().map_err(|_| "a client failed")?.map_err(|err| err.to_string())?;
        }
    }
    thread::sleep(Duration::from_secs(2));
    let (left, ended) = (left.lock().unwrap(), ended.lock().unwrap());
    let half_second = Duration::from_millis(500);
    let (mut reached_late, mut lasting, mut worked_on) = (0, 0, 0);
    for run in fleet.runs.lock().unwrap().iter() {
        let mut parts = run.id.split('-').map(|part| part[1..].parse::<usize>().unwrap_or(0));
        let client = (parts.next().unwrap_or(0), parts.next().unwrap_or(0));
        let Some(left_at) = left.get(&client) else { continue };
        reached_late += usize::from(run.at > *left_at + half_second);
        if run.at < *left_at && run.at + WORK > *left_at + half_second {
            lasting += 1;
            worked_on +=
                usize::from(ended.get(&run.id).is_none_or(|end| *end > *left_at + half_second));
        }
    }
    let line = format!(
        "{} clients left early; {reached_late} of their requests reached a target over half a second later; \
         targets were at work half a second later on {worked_on} of {lasting} that would have lasted so long",
        left.len()
    );
    fleet.record.line(&line);
    println!("{line}");
    drop((left, ended));
    fleet.check_nodes()?;
    Ok(reached_late > ALLOWED || 4 * worked_on > lasting)
}
