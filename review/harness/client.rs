//! Stand-in of a client.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::time::{Duration, Instant};

use crate::http::{find_header, head_length, parse_head};

/// How a client reads its answer.
#[derive(Clone, Copy, Default)]
pub struct Reading {
    /// Bytes per second, if the client's link is slow.
    pub bytes_per_s: Option<usize>,
    /// Bytes after which the client reads nothing for a while.
    pub pause: Option<(usize, Duration)>,
}

/// An answer, or how the attempt ended without one.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer is complete by its framing.
    pub complete: bool,
    pub error: String,
    pub took: Duration,
}

impl Outcome {
    pub fn is_signed_success(&self) -> bool {
        let signed = find_header(&self.headers, "x-fescuestack-response-signature").is_some();
        self.complete && signed && self.status.is_some_and(|status| status / 100 == 2)
    }

    pub fn describe(&self) -> String {
        let status = self.status.map_or("no status".to_owned(), |status| status.to_string());
        format!(
            "{status}, {} bytes of body, {}, {} ms{}{}",
            self.body.len(),
            if self.complete { "complete" } else { "incomplete" },
            self.took.as_millis(),
            if self.error.is_empty() { "" } else { ", " },
            self.error
        )
    }
}

/// A connection to a node.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// One request.
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
    pub reading: Reading,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Connection> {
        // Clients allow a new connection one second.
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    /// Opens a connection with the segment size of an Ethernet link and a small receive buffer, as
    /// clients behind a slow link have.
    pub fn open_small(address: SocketAddr) -> std::io::Result<Connection> {
        let SocketAddr::V4(address) = address else { return Err(std::io::ErrorKind::Other.into()) };
        let stream = connect_with_options(
            address,
            &[(TCP, TCP_MAXSEG, 1_448), (SOCKET, SO_RCVBUF, 32 * 1024)],
        )?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    /// Sends a request and reads the answer until the client's deadline.
    pub fn call(&mut self, call: &Call<'_>) -> Outcome {
        let started = Instant::now();
        let mut outcome = Outcome {
            status: None,
            headers: Vec::new(),
            body: Vec::new(),
            complete: false,
            error: String::new(),
            took: Duration::ZERO,
        };
        if let Err(err) = self.exchange(call, started, &mut outcome) {
            outcome.error = err.to_string();
        }
        outcome.took = started.elapsed();
        outcome
    }

    fn exchange(
        &mut self,
        call: &Call<'_>,
        started: Instant,
        outcome: &mut Outcome,
    ) -> std::io::Result<()> {
        let length = match call.body.is_empty() && call.method == "GET" {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", call.body.len()),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Fescuestack-Request-Id: {}\r\n\
             X-Fescuestack-Deadline-Ms: {}\r\n{length}\r\n",
            call.method,
            call.path,
            call.host,
            call.id,
            call.deadline.as_millis()
        );
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(call.body)?;
        let end = started + call.deadline;
        let (mut total, mut paused) = (0, false);
        let mut content_length = None;
        loop {
            if outcome.status.is_none()
                && let Some(length) = head_length(&self.buffer)
            {
                let head: Vec<u8> = self.buffer.drain(..length).collect();
                let (first, headers) = parse_head(&head);
                outcome.status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
                content_length = find_header(&headers, "content-length")
                    .and_then(|text| text.parse::<usize>().ok());
                outcome.headers = headers;
            }
            if outcome.status.is_some() {
                outcome.body.append(&mut self.buffer);
                // Nodes always state the length, because they buffer responses.
                if content_length.is_some_and(|length| outcome.body.len() >= length) {
                    outcome.complete = content_length == Some(outcome.body.len());
                    return Ok(());
                }
            }
            if let Some((after, span)) = call.reading.pause
                && !paused
                && total >= after
            {
                paused = true;
                std::thread::sleep(span);
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                outcome.error = "no complete answer before the deadline".to_owned();
                return Ok(());
            }
            self.stream.set_read_timeout(Some(left))?;
            let mut bytes = [0; 16 * 1024];
            let limit = call.reading.bytes_per_s.map_or(bytes.len(), |rate| (rate / 50).max(1));
            let limit = limit.min(bytes.len());
            let count = match self.stream.read(&mut bytes[..limit]) {
                Ok(count) => count,
                Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(err) => return Err(err),
            };
            if count == 0 {
                outcome.error = "the connection ended".to_owned();
                return Ok(());
            }
            total += count;
            self.buffer.extend_from_slice(&bytes[..count]);
            if let Some(rate) = call.reading.bytes_per_s {
                std::thread::sleep(Duration::from_secs_f64(count as f64 / rate as f64));
            }
        }
    }
}

/// Sends one request on a new connection.
pub fn call_once(address: SocketAddr, call: &Call<'_>) -> Outcome {
    match Connection::open(address) {
        Ok(mut connection) => connection.call(call),
        Err(err) => Outcome {
            status: None,
            headers: Vec::new(),
            body: Vec::new(),
            complete: false,
            error: format!("cannot connect: {err}"),
            took: Duration::ZERO,
        },
    }
}

const SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;

#[repr(C)]
struct Ipv4Address {
    family: u16,
    port: u16,
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const Ipv4Address, length: u32) -> i32;
}

/// Connects with socket options that have to be set before.
fn connect_with_options(
    address: SocketAddrV4,
    options: &[(i32, i32, i32)],
) -> std::io::Result<TcpStream> {
    let raw = Ipv4Address {
        family: AF_INET as u16,
        port: address.port().to_be(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is owned by the stream from its creation on, and the pointers refer to
    // live values of the given lengths.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in options {
            if setsockopt(fd, *level, *name, value, 4) != 0 {
                return Err(std::io::Error::last_os_error());
            }
        }
        if connect(fd, &raw, size_of::<Ipv4Address>() as u32) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}
