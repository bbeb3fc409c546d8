//! Clients that read an answer slowly, but well within their deadline.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    answer_bytes, has_trouble, read_answer, request_head, work_for, Fleet, Record, Route,
};

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// How long each client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(4_000);

/// The rule on kept connections allows three.
const ALLOWED: usize = 3;

/// Nodes that get SIGHUP shortly before the requests, which is planned work: two of the four.
const HANGING_UP: [usize; 2] = [2, 3];

/// How a client reads.
#[derive(Clone, Copy)]
struct Reader {
    name: &'static str,
    path: &'static str,
    answer_bytes: usize,
    /// Receive buffer in bytes, as the client asks for it. The kernel takes twice as much.
    receive_buffer: i32,
    /// Time before the first read.
    pause: Duration,
    /// Bytes of one read, and the time between two of them.
    step: (usize, Duration),
}

/// Reads 80 KB a second without a break, and needs 2.5 s for its answer.
const STEADY: Reader = Reader {
    name: "steady",
    path: "/pufi791/list",
    answer_bytes: 200_000,
    receive_buffer: 64 * 1024,
    pause: Duration::ZERO,
    step: (8 * 1024, Duration::from_millis(100)),
};

/// Begins to read after 2 s, and then reads all at once.
const PAUSING: Reader = Reader {
    name: "pausing",
    path: "/pufi791/page",
    answer_bytes: 30_000,
    receive_buffer: 4 * 1024,
    pause: Duration::from_secs(2),
    step: (64 * 1024, Duration::ZERO),
};

fn connect_with_buffer(address: SocketAddr, receive_buffer: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    // AF_INET, SOCK_STREAM and SOCK_CLOEXEC.
    let fd = unsafe { socket(2, 0x80001, 0) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    // SOL_SOCKET and SO_RCVBUF, before the connection tells its window.
    unsafe { setsockopt(fd, 1, 8, &receive_buffer, 4) };
    let mut raw = [0; 16];
    raw[..2].copy_from_slice(&2u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    if unsafe { connect(fd, raw.as_ptr(), 16) } != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(stream)
}

/// Sends two requests on a connection, reads the first answer at once and the second one slowly.
/// Returns whether the second answer was complete before the deadline.
fn read_slowly(
    address: SocketAddr,
    reader: Reader,
    number: usize,
    record: &Record,
) -> io::Result<bool> {
    let mut stream = connect_with_buffer(address, reader.receive_buffer)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let id = |part| format!("{}-{number}-{part}", reader.name);
    let fields = "Content-Length: 2\r\n";
    let deadline_ms = DEADLINE.as_millis() as u64;
    let first =
        [request_head("POST", "/pufi791/short", &id("first"), deadline_ms, fields), b"ok".to_vec()];
    stream.write_all(&first.concat())?;
    let first = read_answer(&mut stream, &mut Vec::new())?;
    if first.status != 200 {
        return Err(io::Error::other(format!("the first answer has the status {}", first.status)));
    }
    let second =
        [request_head("POST", reader.path, &id("second"), deadline_ms, fields), b"ok".to_vec()];
    let sent = Instant::now();
    stream.write_all(&second.concat())?;
    let (step, gap) = match has_trouble() {
        true => reader.step,
        false => (64 * 1024, Duration::ZERO),
    };
    if has_trouble() {
        thread::sleep(reader.pause);
    }
    let mut bytes = Vec::new();
    let mut chunk = vec![0; step];
    let end = loop {
        match stream.read(&mut chunk) {
            Ok(0) => break "the connection was closed".to_owned(),
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(err) => break err.to_string(),
        }
        let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if head.is_some_and(|start| bytes.len() >= start + 4 + reader.answer_bytes) {
            break "complete".to_owned();
        }
        thread::sleep(gap);
    };
    let taken = sent.elapsed();
    record.line(&format!(
        "client {}: {} bytes read of an answer with a body of {}, after {:.2} s: {end}",
        id("second"),
        bytes.len(),
        reader.answer_bytes,
        taken.as_secs_f64()
    ));
    Ok(end == "complete" && taken < DEADLINE)
}

pub fn run() -> Result<bool, String> {
    let routes = [Route {
        name: "r-pay",
        prefix: "/pufi791/",
        route_type: "unsafe",
        service: crate::common::SERVICE,
        aim_s: 1.5,
        timeout_s: 4.0,
        priority: 1,
    }];
    let mut fleet = Fleet::start(&routes, |request, stream| {
        if !work_for(stream, Duration::from_millis(50)) {
            return false;
        }
        let readers = [STEADY, PAUSING];
        let reader = readers.iter().find(|reader| reader.path == request.path);
        let body = vec![b'x'; reader.map_or(2, |reader| reader.answer_bytes)];
        stream.write_all(&answer_bytes(200, request, "", &body)).is_ok()
    })?;
    let (mut total, mut total_planned) = (0, 0);
    for reader in [STEADY, PAUSING] {
        HANGING_UP.iter().for_each(|&machine| fleet.hang_up(machine));
        let clients: Vec<_> = (0..8)
            .map(|number| {
                let (address, record) = (fleet.network.outbound(number % 4), fleet.record.clone());
                thread::spawn(move || read_slowly(address, reader, number, &record))
            })
            .collect();
        let (mut cut, mut cut_planned) = (0, 0);
        for (number, client) in clients.into_iter().enumerate() {
            let served =
                client.join().map_err(|_| "a client failed")?.map_err(|err| err.to_string())?;
            let id = format!("{}-{number}-second", reader.name);
            let has_run = fleet.runs.lock().unwrap().iter().any(|run| run.id == id);
            let is_cut = has_run && !served;
            cut += usize::from(is_cut);
            cut_planned += usize::from(is_cut && HANGING_UP.contains(&(number % 4)));
        }
        let line = format!(
            "{} readers: {cut} of 8 requests were run by a target, and the connection ended without a \
             complete answer; {cut_planned} of them were sent within 2 s of a SIGHUP of their node",
            reader.name
        );
        fleet.record.line(&line);
        println!("{line}");
        total += cut;
        total_planned += cut_planned;
    }
    fleet.check_nodes()?;
    Ok(total > ALLOWED || total_planned > 0)
}
