//! A crowd of clients that each send a body in chunks of one byte and don't end it.

use std::collections::HashSet;
use std::fs;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    answer_bytes, connect, has_trouble, read_answer, request_head, work_for, Fleet, Place, Record,
    Route, SERVICE,
};

extern "C" {
    fn getrlimit(resource: i32, limit: *mut [u64; 2]) -> i32;
    fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
}

/// Memory of a machine, as the smallest ones of the site have it.
const MEMORY_MB: u64 = 160;

/// Connections of the crowd. A machine has 4,100 descriptors, of which 200 are reserved.
const CONNECTIONS: usize = 2_430;

/// Time between two connections, in which the node accepts the first one.
const PACE: Duration = Duration::from_micros(100);

/// Chunks that each connection of the crowd sends, of one byte each. The configuration allows bodies
/// of 64 MiB.
const CHUNKS: usize = 12_000;

/// Machines that meet the crowd, in turn, and how often each meets it at most.
const CROWDED: [usize; 2] = [0, 2];
const ROUNDS: usize = 5;

/// Ends of its process after which a machine meets no further crowd, as many as the rule names.
const ENDS: usize = 3;

/// How long the crowd stays.
const STAY: Duration = Duration::from_secs(4);

/// Time until a machine is in touch again after a start: `contact_s`, and some more.
const CONTACT: Duration = Duration::from_millis(3_500);

/// Ordinary clients on each of the crowded machines.
const CLIENTS: usize = 3;

/// The rule on kept connections allows three.
const ALLOWED: usize = 3;

/// Lets this program and the nodes have as many descriptors as they may, and returns their number.
fn raise_descriptor_limit() -> u64 {
    // RLIMIT_NOFILE.
    let mut limit = [0; 2];
    unsafe {
        getrlimit(7, &mut limit);
        limit[0] = limit[1];
        setrlimit(7, &limit);
    }
    limit[0]
}

/// Returns the memory of a process: pages of its own, and bytes that its sockets have received and
/// that it has not read.
fn memory(process: u32) -> (u64, u64) {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let own = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let own = own.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    let descriptors = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    let sockets: HashSet<_> = descriptors
        .filter_map(|entry| {
            let link = fs::read_link(entry.path()).ok()?;
            Some(link.to_str()?.strip_prefix("socket:[")?.trim_end_matches(']').to_owned())
        })
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        // Established, and with a receive queue in hexadecimal digits.
        (fields.get(3) == Some(&"01") && sockets.contains(*fields.get(9)?))
            .then(|| u64::from_str_radix(fields[4].split_once(':')?.1, 16).ok())?
    });
    (own.unwrap_or(0) * 1024, unread.sum())
}

/// Connects the crowd and keeps sending until `is_over`. Returns the number of connections.
fn crowd(address: SocketAddr, is_over: &AtomicBool) -> io::Result<usize> {
    let mut bytes =
        request_head("POST", "/upload/x", "crowd", 60_000, "Transfer-Encoding: chunked\r\n");
    bytes.extend(b"1\r\na\r\n".repeat(CHUNKS));
    let mut open: Vec<(TcpStream, usize)> = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        if open.len() < CONNECTIONS {
            let Ok(stream) = connect(address, Duration::from_secs(1)) else { continue };
            stream.set_nonblocking(true)?;
            open.push((stream, 0));
            let (stream, sent) = open.last_mut().expect("a connection");
            *sent += stream.write(&bytes).unwrap_or(0);
            thread::sleep(PACE);
            continue;
        }
        for (stream, sent) in &mut open {
            *sent += stream.write(&bytes[*sent..]).unwrap_or(0);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(open.len())
}

/// Sends unsafe requests on kept connections, one after the other. Returns the ids of those whose
/// connection ended without an answer.
fn ordinary_client(
    address: SocketAddr,
    name: &str,
    is_over: &AtomicBool,
    record: &Record,
) -> Vec<String> {
    let mut lost = Vec::new();
    let mut stream = None;
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Some(open) = &mut stream else {
            stream = connect(address, Duration::from_secs(3)).ok();
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        number += 1;
        let id = format!("{name}-{number}");
        let head = request_head("POST", "/pufi791/2f", &id, 2_000, "Content-Length: 2\r\n");
        let sent = open.write_all(&[head, b"ok".to_vec()].concat());
        match sent.and_then(|()| read_answer(open, &mut Vec::new())) {
            Ok(answer) if answer.status == 200 => {}
            Ok(answer) => record.line(&format!("client {id}: answered {}", answer.status)),
            Err(err) => {
                record.line(&format!("client {id}: no answer: {err}"));
                lost.push(id);
                stream = None;
            }
        }
    }
    lost
}

pub fn run() -> Result<bool, String> {
    if raise_descriptor_limit() < 4_000 {
        return Err("a process may have fewer than 4,000 descriptors".to_owned());
    }
    let route = |name, prefix, route_type| Route {
        name,
        prefix,
        route_type,
        service: SERVICE,
        aim_s: 0.5,
        timeout_s: 1.0,
        priority: 1,
    };
    let routes = [route("r-up", "/upload/", "upload"), route("r-pay", "/pufi791/", "unsafe")];
    let places = ["caerdydd", "caerdydd", "abertawe", "abertawe"]
        .map(|zone| Place { memory_mb: MEMORY_MB, ..Place::new(zone, SERVICE) });
    let mut fleet = Fleet::start_on(places.to_vec(), &routes, |request, stream| {
        work_for(stream, Duration::from_millis(150))
            && stream.write_all(&answer_bytes(200, request, "", b"ok")).is_ok()
    })?;
    let is_over = Arc::new(AtomicBool::new(false));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for machine in CROWDED {
        for number in 0..CLIENTS {
            let address = fleet.network.outbound(machine);
            let (record, is_over, lost) = (fleet.record.clone(), is_over.clone(), lost.clone());
            clients.push(thread::spawn(move || {
                let name = format!("pay-m{machine}c{number}");
                let own = ordinary_client(address, &name, &is_over, &record);
                lost.lock().unwrap().extend(own);
            }));
        }
    }
    let mut ends = [0; CROWDED.len()];
    let mut peak = 0;
    for round in 0..ROUNDS {
        for (index, machine) in CROWDED.into_iter().enumerate() {
            if ends[index] == ENDS {
                continue;
            }
            let address = fleet.network.outbound(machine);
            let crowd_over = Arc::new(AtomicBool::new(false));
            let over = crowd_over.clone();
            let sender = has_trouble().then(|| thread::spawn(move || crowd(address, &over)));
            let start = Instant::now();
            let mut is_killed = false;
            while start.elapsed() < STAY && !is_killed {
                let (own, unread) = memory(fleet.process(machine));
                peak = peak.max(own + unread);
                // The platform kills a process that exceeds the memory of its machine. MiB are in the
                // node's favour, and so are pages of the program's file, which don't count here.
                if own + unread > MEMORY_MB * 1024 * 1024 {
                    fleet.kill(machine);
                    is_killed = true;
                    fleet.record.line(&format!(
                        "round {round}: node {machine} has {} MiB of its own and {} MiB unread, of {MEMORY_MB}: \
                         killed {:.2} s after the crowd began",
                        own >> 20,
                        unread >> 20,
                        start.elapsed().as_secs_f64()
                    ));
                }
                thread::sleep(Duration::from_millis(20));
            }
            crowd_over.store(true, Ordering::SeqCst);
            if let Some(sender) = sender {
                let open = sender.join().map_err(|_| "the crowd failed")?;
                let open = open.map_err(|err| err.to_string())?;
                fleet.record.line(&format!("round {round}: a crowd of {open} at node {machine}"));
            }
            if is_killed {
                ends[index] += 1;
                fleet.restart(machine)?;
            }
            thread::sleep(CONTACT);
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let lost = lost.lock().unwrap();
    let runs = fleet.runs.lock().unwrap().clone();
    let lost_runs = lost.iter().filter(|id| runs.iter().any(|run| run.id == **id)).count();
    let line = format!(
        "peak {} MiB of {MEMORY_MB}; the processes of two machines exceeded their memory {ends:?} times; {lost_runs} \
         unsafe requests of ordinary clients were run, and their connections ended without an answer",
        peak >> 20
    );
    fleet.record.line(&line);
    println!("{line}");
    fleet.check_nodes()?;
    Ok(ends == [ENDS; CROWDED.len()] || lost_runs > ALLOWED)
}
