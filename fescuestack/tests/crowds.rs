//! A node as a process of its own, on a VM with little memory and few descriptors, under crowds of
//! clients that do not behave.
//!
//! Each crowd is one entry of the table at the end. The checks don't depend on the speed of the
//! machine: the node lives, its memory and sockets stay within bounds that follow from its settings,
//! and it answers an ordinary request while the crowd is connected and after it has left.

mod node_process;

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use fescuestack_platform_standin::{
    CONFIG_KEY, READY_PATH, RouteEntry, SettingsEntry, StandinApplication, StandinStore,
    TargetRecord, config_value_with_limit, free_ports, target_key,
};
use socket2::{Domain, Socket, Type};

use node_process::NodeProcess;

const HOST: &str = "crowds.example";

/// Memory of the VM in MB.
const MEMORY_MB: u64 = 48;

/// Part of the VM's memory that a node may take under any crowd: 110 MB of 160 MB.
const MEMORY_SHARE: (u64, u64) = (110, 160);

/// Descriptors of the process where the crowd is about memory.
const MANY_FDS: u64 = 2_200;

/// Descriptors of the process where the crowd has more connections than that.
const FEW_FDS: u64 = 400;

/// Descriptors that the platform reserves for files.
const FILE_FDS: u64 = 200;

/// Longest body that the configuration allows, in bytes, as in `config_value`.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Time after which a crowd that the node does not read from counts as having sent.
const SEND_TIME: Duration = Duration::from_secs(4);

/// How long the crowd stays connected before the ordinary request.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// Pause between two rounds over all connections.
const ROUND_PAUSE: Duration = Duration::from_millis(10);

/// Time without an answer after which a node counts as hanging.
const HANG_TIME: Duration = Duration::from_secs(30);

/// Receive buffer of clients that take no answers, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 4096;

/// Last octet of the next VM's address.
static NEXT_VM: AtomicU8 = AtomicU8::new(1);

/// One crowd runs at a time.
static TURN: Mutex<()> = Mutex::new(());

/// Where the crowd connects.
#[derive(Clone, Copy)]
enum Door {
    Clients,
    Nodes,
    Ready,
}

/// What the crowd does with answers.
#[derive(Clone, Copy, PartialEq)]
enum Reading {
    Everything,
    Nothing,
    /// One byte in each round.
    Slow,
}

/// A number of connections that all do the same.
struct Crowd {
    door: Door,
    connections: usize,
    max_fds: u64,
    /// What each connection sends. It stays open afterwards.
    input: Vec<u8>,
    /// Number of bytes that each connection sends as fast as it can.
    burst_bytes: usize,
    /// Number of bytes that it sends in each round after that.
    piece_bytes: usize,
    reading: Reading,
    /// Length of the target's answers.
    answer_bytes: usize,
}

impl Default for Crowd {
    fn default() -> Crowd {
        Crowd {
            door: Door::Clients,
            connections: 400,
            max_fds: MANY_FDS,
            input: Vec::new(),
            burst_bytes: usize::MAX,
            piece_bytes: 1,
            reading: Reading::Everything,
            answer_bytes: 16,
        }
    }
}

/// Head of a request with a deadline that is not over before the crowd is checked.
fn head(method: &str, path: &str, fields: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-fescuestack-request-id: crowd\r\n\
         x-fescuestack-deadline-ms: 30000\r\n{fields}\r\n"
    )
    .into_bytes()
}

/// An upload of `length` bytes, of which only `sent` follow.
fn upload(path: &str, length: usize, sent: usize) -> Vec<u8> {
    let head = head("POST", path, &format!("content-length: {length}\r\n"));
    [head, vec![b'x'; sent]].concat()
}

/// A chunked upload without its end.
fn chunked_upload(path: &str, chunk: &[u8], count: usize) -> Vec<u8> {
    let chunk = [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat();
    [head("POST", path, "transfer-encoding: chunked\r\n"), chunk.repeat(count)].concat()
}

/// Requests sent one after the other, without waiting for answers.
fn requests(path: &str, count: usize) -> Vec<u8> {
    head("GET", path, "").repeat(count)
}

/// The start of a head that is filled with empty fields up to its longest length.
fn unfinished_head(path: &str) -> Vec<u8> {
    [format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n").as_bytes(), &b"a:\r\n".repeat(3_900)]
        .concat()
}

/// An HTTP/2 frame.
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

fn http2_preface() -> Vec<u8> {
    [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), frame(4, 0, 0, &[])].concat()
}

/// HTTP/2 uploads on `streams` streams of a connection, without their ends.
fn http2_uploads(streams: u32, sent: usize) -> Vec<u8> {
    // :method POST, :scheme http, :path / from the static table, and a literal :authority.
    let fields = [&[0x83, 0x86, 0x84, 0x01, HOST.len() as u8], HOST.as_bytes()].concat();
    let streams = (0..streams).flat_map(|index| {
        let stream = 2 * index + 1;
        let data = frame(0, 0, stream, &vec![b'x'; sent]);
        [frame(1, 4, stream, &fields), data].concat()
    });
    http2_preface().into_iter().chain(streams).collect()
}

/// A head that HTTP/2 CONTINUATION frames never end.
fn http2_unfinished_head() -> Vec<u8> {
    let field = [&[0x00, 1, b'a', 0][..]; 64].concat();
    let rest = frame(9, 0, 1, &field).repeat(40);
    [http2_preface(), frame(1, 0, 1, &[0x83, 0x86, 0x84]), rest].concat()
}

/// A node with its target, in front of which the crowd stands.
struct CrowdedNode {
    node: NodeProcess,
    ports: [u16; 3],
    _store: StandinStore,
}

/// What the node has used at most.
#[derive(Debug, Default)]
struct NodeUsage {
    memory_kb: u64,
    sockets: u64,
    unread_bytes: u64,
}

impl CrowdedNode {
    fn start(crowd: &Crowd) -> CrowdedNode {
        CrowdedNode::start_with(crowd, MEMORY_MB, MAX_BODY_BYTES)
    }

    /// Starts the node on a VM with `memory_mb`, for bodies of up to `max_body_bytes`.
    fn start_with(crowd: &Crowd, memory_mb: u64, max_body_bytes: usize) -> CrowdedNode {
        // Another address for each test, so that sockets of earlier ones are not in the way.
        let number = NEXT_VM.fetch_add(1, Ordering::Relaxed);
        let vm = IpAddr::from([127, (std::process::id() % 200) as u8 + 4, 246, number]);
        let [application_port, ports @ ..] = free_ports::<4>().expect("free ports");
        let (store, application) = task::block_on(async {
            let store = StandinStore::start().await.expect("a free port");
            let address = SocketAddr::new(vm, application_port);
            let application = StandinApplication::start("t1", address).await;
            (store, application.expect("a loopback address"))
        });
        application.set_response_bytes(crowd.answer_bytes);
        let timeout = Duration::from_secs(30);
        let route = RouteEntry { prefix: "/a/", route_type: "safe", service: "alpha", timeout };
        store.put(CONFIG_KEY, config_value_with_limit(1, HOST, &[route], max_body_bytes));
        let target = application.address();
        store.put(&target_key("t1"), TargetRecord::new(target, "alpha").value());
        let settings = SettingsEntry {
            vm,
            ports,
            service: "alpha",
            target,
            store: store.address(),
            link_mbps: 1_000.0,
            memory_mb,
            grace_s: 4,
        };
        let mut settings = settings.value();
        settings["self"]["limits"]["max_fds"] = crowd.max_fds.into();
        let path = std::env::temp_dir().join(format!(
            "fescuestack-crowds-{}-{}.json",
            std::process::id(),
            ports[0]
        ));
        std::fs::write(&path, settings.to_string()).expect("a writable directory");
        let mut node = NodeProcess::new(vm, application, path);
        node.start();
        let crowded = CrowdedNode { node, ports, _store: store };
        crowded.await_answer(Door::Clients, "/a/", "at the start");
        crowded
    }

    fn address(&self, door: Door) -> SocketAddr {
        let port = match door {
            Door::Clients => self.ports[0],
            Door::Nodes => self.ports[1],
            Door::Ready => self.ports[2],
        };
        SocketAddr::new(self.node.vm, port)
    }

    /// Sends requests until one is answered with 200. A refused request may be sent again.
    fn await_answer(&self, door: Door, path: &str, when: &str) {
        let started = Instant::now();
        while send(self.address(door), path) != Some(200) {
            assert!(started.elapsed() < HANG_TIME, "{path} is not answered {when}");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn sample(&self, usage: &mut NodeUsage) {
        usage.memory_kb = self.node.peak_memory_kb();
        usage.sockets = usage.sockets.max(self.node.open_sockets());
        usage.unread_bytes = usage.unread_bytes.max(unread_bytes(self.node.vm));
    }
}

/// Sends an ordinary request and returns the status of its answer, if there is one.
fn send(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(&head("GET", path, "connection: close\r\n")).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

/// Returns the number of bytes that the kernel holds for the sockets of a VM's node and that were not
/// read yet. They count against the memory of the process.
fn unread_bytes(vm: IpAddr) -> u64 {
    let IpAddr::V4(vm) = vm else { return 0 };
    let local = format!("{:08X}:", u32::from_le_bytes(vm.octets()));
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets of the machine");
    let unread = sockets.lines().filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        // In the state 0A (LISTEN) the field is the number of pending connections.
        let is_connection = fields.get(1)?.starts_with(&local) && *fields.get(3)? != "0A";
        let (_, unread) = fields.get(4)?.split_once(':')?;
        if is_connection { u64::from_str_radix(unread, 16).ok() } else { None }
    });
    unread.sum()
}

/// A connection of the crowd.
struct Visitor {
    stream: TcpStream,
    sent: usize,
    closed: bool,
}

impl Visitor {
    fn connect(address: SocketAddr, reading: Reading) -> std::io::Result<Visitor> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        if reading != Reading::Everything {
            socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER)?;
        }
        socket.connect_timeout(&address.into(), Duration::from_secs(2))?;
        socket.set_nonblocking(true)?;
        Ok(Visitor { stream: socket.into(), sent: 0, closed: false })
    }

    /// Sends and reads what is due in this round. Returns whether anything is left to send at once.
    fn act(&mut self, crowd: &Crowd) -> bool {
        if self.closed {
            return false;
        }
        let mut buffer = [0; 4096];
        let taken = match crowd.reading {
            Reading::Everything => &mut buffer[..],
            Reading::Nothing => &mut [],
            Reading::Slow => &mut buffer[..1],
        };
        if !taken.is_empty() {
            match self.stream.read(taken) {
                Ok(0) => self.closed = true,
                Err(err) if err.kind() != ErrorKind::WouldBlock => self.closed = true,
                _ => (),
            }
        }
        let burst = crowd.burst_bytes.min(crowd.input.len());
        let end = match self.sent < burst {
            true => burst.min(self.sent + 32 * 1024),
            false => crowd.input.len().min(self.sent + crowd.piece_bytes),
        };
        if end > self.sent {
            match self.stream.write(&crowd.input[self.sent..end]) {
                Ok(count) => self.sent += count,
                Err(err) if err.kind() != ErrorKind::WouldBlock => self.closed = true,
                Err(_) => (),
            }
        }
        !self.closed && self.sent < burst
    }
}

/// Brings a crowd to a node and checks it.
fn check(name: &str, crowd: &Crowd) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut crowded = CrowdedNode::start(crowd);
    let mut usage = NodeUsage::default();
    let mut visitors = Vec::new();
    for _ in 0..crowd.connections {
        // A node may refuse a connection, but it does not stop accepting them.
        if let Ok(visitor) = Visitor::connect(crowded.address(crowd.door), crowd.reading) {
            visitors.push(visitor);
        }
    }
    crowded.sample(&mut usage);
    let started = Instant::now();
    let mut sent_at = None;
    while sent_at.is_none_or(|sent_at: Instant| sent_at.elapsed() < HOLD_TIME) {
        let left = visitors.iter_mut().filter_map(|visitor| visitor.act(crowd).then_some(()));
        if left.count() == 0 || started.elapsed() >= SEND_TIME {
            sent_at.get_or_insert_with(Instant::now);
        }
        crowded.sample(&mut usage);
        thread::sleep(ROUND_PAUSE);
    }
    let open = visitors.iter().filter(|visitor| !visitor.closed).count();
    crowded.await_answer(Door::Clients, "/a/", "while the crowd is connected");
    crowded.sample(&mut usage);
    drop(visitors);
    crowded.await_answer(Door::Clients, "/a/", "after the crowd");
    crowded.await_answer(Door::Ready, READY_PATH, "after the crowd");
    crowded.sample(&mut usage);
    eprintln!("{name}: {usage:?}, {open} of {} connections open", crowd.connections);
    assert!(!crowded.node.has_ended(), "the node has ended");
    let NodeUsage { memory_kb, sockets, unread_bytes } = usage;
    let memory_bound_kb = MEMORY_MB * 1024 * MEMORY_SHARE.0 / MEMORY_SHARE.1;
    assert!(memory_kb <= memory_bound_kb, "{memory_kb} KB of {memory_bound_kb} KB");
    let with_unread_kb = memory_kb + unread_bytes / 1024;
    assert!(with_unread_kb <= MEMORY_MB * 1024, "{with_unread_kb} KB with unread bytes");
    let socket_bound = crowd.max_fds - FILE_FDS;
    assert!(sockets <= socket_bound, "{sockets} sockets of {socket_bound}");
}

/// Longest body that the users' configurations allow, in bytes.
const LONGEST_BODY_BYTES: usize = 64 << 20;

/// Sends an upload of the longest body to a node on a VM with `memory_mb`, and returns the status of
/// the answer. The body is sent only if `sends_body` is set.
fn upload_longest_body(memory_mb: u64, sends_body: bool) -> Option<u16> {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut crowded = CrowdedNode::start_with(&Crowd::default(), memory_mb, LONGEST_BODY_BYTES);
    let mut stream = TcpStream::connect(crowded.address(Door::Clients)).expect("a node");
    stream.set_read_timeout(Some(HANG_TIME)).expect("a timeout");
    let sent = if sends_body { LONGEST_BODY_BYTES } else { 0 };
    stream.write_all(&upload("/a/", LONGEST_BODY_BYTES, sent)).expect("the node reads");
    let mut answer = [0; 512];
    let count = stream.read(&mut answer).expect("an answer");
    let peak = crowded.node.peak_memory_kb();
    eprintln!("body of {LONGEST_BODY_BYTES} bytes with {memory_mb} MB: {peak} KB");
    assert!(!crowded.node.has_ended(), "the node has ended");
    assert!(peak <= memory_mb * 1024, "{peak} KB");
    String::from_utf8_lossy(&answer[..count]).split(' ').nth(1)?.parse().ok()
}

/// Guards against limits that refuse a single body of legal size on the smallest VM in use.
#[test]
fn longest_body_is_served_in_calm() {
    assert_eq!(upload_longest_body(160, true), Some(200));
}

/// Guards against receiving a body for which the VM never has the memory before it is refused.
#[test]
fn body_beyond_the_memory_is_refused_by_its_length() {
    assert_eq!(upload_longest_body(MEMORY_MB, false), Some(503));
}

/// The table of crowds: each entry becomes a test. The doc comment says what the crowd does that
/// could end the process.
macro_rules! crowds {
    ($($(#[$doc:meta])* $name:ident { $($field:ident: $value:expr),* $(,)? })*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check(stringify!($name), &Crowd { $($field: $value,)* ..Crowd::default() });
            }
        )*
    };
}

crowds! {
    /// Uploads of legal size that lack their last byte, sent as fast as possible.
    uploads_one_byte_short { input: upload("/a/", 65_536, 65_535) }

    /// The same in pieces.
    uploads_in_pieces {
        input: upload("/a/", 65_536, 65_535), burst_bytes: 0, piece_bytes: 2_048,
    }

    /// The same in chunks of one byte, which cost the node the most for each byte.
    uploads_in_chunks_of_one_byte { input: chunked_upload("/a/", b"x", 20_000) }

    /// The same on almost all connections that the descriptors allow, whose receive buffers alone held
    /// more than the memory of the VM.
    uploads_in_chunks_of_one_byte_on_all_connections {
        input: chunked_upload("/a/", b"x", 20_000), connections: 1_200,
    }

    /// Uploads of the longest legal size that lack their last byte.
    longest_uploads_one_byte_short {
        input: upload("/a/", MAX_BODY_BYTES, MAX_BODY_BYTES - 1), connections: 80,
    }

    /// Uploads that go on slowly after their first part.
    slow_uploads { input: upload("/a/", 65_536, 65_535), burst_bytes: 60_000 }

    /// Uploads that stop half-way.
    uploads_that_stop_half_way { input: upload("/a/", 120_000, 60_000) }

    /// Bodies far over the limit by their stated length.
    bodies_over_the_limit {
        input: upload("/a/", 100 * MAX_BODY_BYTES, 256 * 1024), connections: 300,
    }

    /// Bodies far over the limit without a stated length.
    chunked_bodies_over_the_limit {
        input: chunked_upload("/a/", &[b'x'; 16 * 1024], 80), connections: 100,
    }

    /// Heads of many short fields that do not end.
    unfinished_heads_of_many_fields { input: unfinished_head("/a/") }

    /// Heads of many short fields before a body that lacks its last byte.
    finished_heads_of_many_fields {
        input: [head("POST", "/a/", &("a:\r\n".repeat(3_800) + "content-length: 2\r\n")), vec![b'x']].concat(),
    }

    /// Heads with fewer fields than the HTTP library allows, before a body that lacks its last byte.
    long_heads_with_bodies_one_byte_short {
        input: {
            let fields: String = (0..90).map(|index| format!("f{index}: {}\r\n", "v".repeat(150))).collect();
            [head("POST", "/a/", &(fields + "content-length: 2\r\n")), vec![b'x']].concat()
        },
    }

    /// Many requests sent ahead by clients that read no answers.
    requests_ahead { input: requests("/a/", 600), reading: Reading::Nothing }

    /// The same, with answers that do not fit the kernel's buffers.
    requests_ahead_with_long_answers {
        input: requests("/a/", 600), reading: Reading::Nothing, answer_bytes: 60_000,
    }

    /// Clients that take nothing of an answer.
    readers_that_take_nothing {
        input: requests("/a/", 1), reading: Reading::Nothing, answer_bytes: 300_000,
    }

    /// Clients that take an answer byte by byte.
    slow_readers { input: requests("/a/", 1), reading: Reading::Slow, answer_bytes: 300_000 }

    /// Uploads one byte short to a path without a route.
    uploads_without_a_route { input: upload("/none/", 65_536, 65_535) }

    /// Chunked uploads to a path without a route.
    chunked_uploads_without_a_route { input: chunked_upload("/none/", b"x", 20_000) }

    /// Requests sent ahead to a path without a route.
    requests_ahead_without_a_route { input: requests("/none/", 600), reading: Reading::Nothing }

    /// Uploads one byte short at the port of the readiness probe.
    uploads_at_the_ready_port { door: Door::Ready, input: upload(READY_PATH, 65_536, 65_535) }

    /// Heads without end at that port.
    unfinished_heads_at_the_ready_port { door: Door::Ready, input: unfinished_head(READY_PATH) }

    /// Requests for the metrics sent ahead at that port, without reading the answers.
    requests_ahead_at_the_ready_port {
        door: Door::Ready, input: requests("/metrics", 600), reading: Reading::Nothing,
    }

    /// HTTP/1.1 uploads at the port between nodes.
    uploads_at_the_node_port { door: Door::Nodes, input: upload("/a/", 65_536, 65_535) }

    /// HTTP/2 uploads without end at that port.
    http2_uploads_at_the_node_port { door: Door::Nodes, input: http2_uploads(8, 16_000) }

    /// HTTP/2 heads without end at that port.
    http2_heads_at_the_node_port { door: Door::Nodes, input: http2_unfinished_head() }

    /// More connections than the process has descriptors, all idle.
    idle_connections { max_fds: FEW_FDS }

    /// More connections than that with heads that arrive byte by byte.
    slow_heads { max_fds: FEW_FDS, input: requests("/a/", 1), burst_bytes: 0 }

    /// More connections than that with uploads one byte short.
    uploads_on_too_many_connections { max_fds: FEW_FDS, input: upload("/a/", 2_000, 1_999) }

    /// More connections than that at the port of the readiness probe.
    idle_connections_at_the_ready_port { max_fds: FEW_FDS, door: Door::Ready }

    /// More connections than that at the port between nodes.
    idle_connections_at_the_node_port { max_fds: FEW_FDS, door: Door::Nodes }

    /// More HTTP/2 connections than that at the port between nodes.
    http2_connections_at_the_node_port {
        max_fds: FEW_FDS, door: Door::Nodes, input: http2_preface(),
    }
}
