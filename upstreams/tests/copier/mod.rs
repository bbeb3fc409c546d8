//! An upstream that sends copies of its answers, for the tests of two packages.
#![allow(dead_code)]

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::{SocketAddr, TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// What the upstream does with each answer.
#[derive(Debug, Clone, Copy)]
pub struct CopyRule {
    /// Whether answers name their requests.
    pub echo: bool,
    /// Number of copies that follow each answer.
    pub copies: usize,
    /// Time before each copy. Without one, the copies are sent in one write with the answer.
    pub delay: Duration,
    /// Time for which a request runs.
    pub run_time: Duration,
}

impl CopyRule {
    pub fn new(copies: usize, delay: Duration) -> CopyRule {
        CopyRule { echo: true, copies, delay, run_time: Duration::from_millis(60) }
    }

    pub fn without_echo(self) -> CopyRule {
        CopyRule { echo: false, ..self }
    }

    pub fn with_run_time(self, run_time: Duration) -> CopyRule {
        CopyRule { run_time, ..self }
    }
}

/// Runs requests, and refuses those with `refused` in their path and the first one of each path with
/// `once`. The answer to a run is the path.
pub struct CopyingUpstream {
    pub address: SocketAddr,
    state: Arc<CopierState>,
}

struct CopierState {
    rule: CopyRule,
    connections: AtomicUsize,
    arrivals: Mutex<Vec<String>>,
    runs: Mutex<Vec<String>>,
}

impl CopyingUpstream {
    pub async fn start(rule: CopyRule) -> CopyingUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(CopierState {
            rule,
            connections: AtomicUsize::new(0),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
        });
        let shared = state.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.fetch_add(1, Ordering::SeqCst);
                task::spawn(serve_connection(stream, shared.clone()));
            }
        });
        CopyingUpstream { address, state }
    }

    /// Number of connections that were opened.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    pub fn arrivals_of(&self, path: &str) -> usize {
        count(&self.state.arrivals, path)
    }

    pub fn runs_of(&self, path: &str) -> usize {
        count(&self.state.runs, path)
    }
}

fn count(paths: &Mutex<Vec<String>>, path: &str) -> usize {
    paths.lock().unwrap().iter().filter(|seen| *seen == path).count()
}

async fn serve_connection(stream: TcpStream, state: Arc<CopierState>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut received = Vec::new();
    loop {
        let head = read_request(&stream, &mut received).await?;
        let answer = answer_request(&head, &state).await;
        let rule = state.rule;
        let repeats = if rule.delay.is_zero() { 1 + rule.copies } else { 1 };
        (&stream).write_all(&answer.repeat(repeats)).await.ok()?;
        if repeats <= rule.copies {
            let mut writer = stream.clone();
            task::spawn(async move {
                for _ in 0..rule.copies {
                    task::sleep(rule.delay).await;
                    let _ = writer.write_all(&answer).await;
                }
            });
        }
    }
}

/// Reads a request whose body has a stated length, and returns its head.
async fn read_request(mut stream: &TcpStream, received: &mut Vec<u8>) -> Option<String> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8(received[..end].to_vec()).ok()?;
            let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
            if received.len() >= end + 4 + length {
                received.drain(..end + 4 + length);
                return Some(head);
            }
        }
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        received.extend_from_slice(&buffer[..count]);
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    fields.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

async fn answer_request(head: &str, state: &CopierState) -> Vec<u8> {
    let mut words = head.split(' ');
    let (method, path) = (words.next().unwrap(), words.next().unwrap().to_owned());
    let is_first = count(&state.arrivals, &path) == 0;
    state.arrivals.lock().unwrap().push(path.clone());
    let mut lines = Vec::new();
    if path.contains("refused") || (path.contains("once") && is_first) {
        lines.push("HTTP/1.1 503 Service Unavailable".to_owned());
        lines.push("fescuestack-outcome: not-run".to_owned());
    } else {
        state.runs.lock().unwrap().push(path.clone());
        task::sleep(state.rule.run_time).await;
        lines.push("HTTP/1.1 200 OK".to_owned());
    }
    if let Some(request) = header(head, "fescuestack-request").filter(|_| state.rule.echo) {
        lines.push(format!("fescuestack-request: {request}"));
    }
    lines.push(format!("content-length: {}\r\n\r\n", path.len()));
    let content = if method == "HEAD" { "" } else { &path };
    format!("{}{content}", lines.join("\r\n")).into_bytes()
}
