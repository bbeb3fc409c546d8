//! End-to-end test with separate processes: questionnaire, platform, nodes and upstreams.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of every wait. Covers the guaranteed limit for a change to become active on all nodes and
/// the start of processes on a loaded machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const ANSWERS: &str = r#"
deployment: trial
preference: convergence
link-delay-ms: 1
caller-delay-ms: 1
regions:
  - name: attica
    data-centres: [marousi, piraeus]
tenants:
  - name: shops
    zone: Europe/Athens
    classes:
      - name: kiosks
        callers: outside
        patience:
          - { from: "00:00", to: "24:00", patience-ms: 10000 }
services:
  - name: stock
    tenant: shops
    queue-limit: 32
    key-window-ms: 1000
    routes:
      - method: GET
        prefix: /stock
        kind: lookup
        may-repeat: true
        internal-only: false
        body-limit-bytes: 0
        classes: [shops/kiosks]
      - method: POST
        prefix: /orders
        kind: submit
        may-repeat: false
        internal-only: false
        body-limit-bytes: 10000
        classes: [shops/kiosks]
    target-series:
      - count: 2
        over: [marousi, piraeus]
        base: 127.0.31.1:21500
        port-step: 10
        slots: 6
        connections: 130
"#;

const PLATFORM_ADDRESS: &str = "127.0.31.1:21490";

/// Child processes of a test. Drop kills the ones that are still running.
struct TestProcesses {
    directory: PathBuf,
    children: Vec<(String, Child)>,
}

impl TestProcesses {
    fn new(name: &str) -> TestProcesses {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).expect("directory is created");
        TestProcesses { directory, children: Vec::new() }
    }

    fn run(&self, arguments: &[&str]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_fescuestack"))
            .args(arguments)
            .current_dir(&self.directory)
            .output()
            .expect("command runs");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {errors}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn start(&mut self, name: &str, arguments: &[&str]) {
        let child = Command::new(env!("CARGO_BIN_EXE_fescuestack"))
            .args(arguments)
            .current_dir(&self.directory)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("process starts");
        self.children.push((name.to_owned(), child));
    }

    fn take_child(&mut self, name: &str) -> Child {
        let index = self.children.iter().position(|(child, _)| child == name).expect("is running");
        self.children.remove(index).1
    }

    fn kill(&mut self, name: &str) {
        let mut child = self.take_child(name);
        child.kill().expect("process is killed");
        child.wait().expect("process has ended");
    }

    /// Sends SIGTERM. Returns whether the process exited successfully, and its standard output.
    fn terminate(&mut self, name: &str) -> (bool, String) {
        let child = self.take_child(name);
        let pid = child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("signal is sent");
        assert!(sent.success());
        let output = child.wait_with_output().expect("process has ended");
        (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
    }

    fn write(&self, file: &str, content: &str) {
        fs::write(self.directory.join(file), content).expect("file is written");
    }

    fn start_node(&mut self, number: u16) {
        let data_centre = ["marousi", "piraeus"][usize::from(number) - 1];
        let base_port = 21_500 + (number - 1) * 10;
        let other_control_port = 21_500 + (2 - number) * 10 + 2;
        let other_data_centre = ["piraeus", "marousi"][usize::from(number) - 1];
        let settings = format!(
            r#"
node: stock-{number}
data_centre: {data_centre}
listen:
  relay: 127.0.31.1:{}
  control: 127.0.31.1:{}
  caller: 127.0.31.1:{}
  local: 127.0.31.1:{}
  operator: 127.0.31.1:{}
platform: {PLATFORM_ADDRESS}
seeds:
  - {{ name: stock-{}, data_centre: {other_data_centre}, control: "127.0.31.1:{other_control_port}" }}
"#,
            base_port + 1,
            base_port + 2,
            base_port + 3,
            base_port + 4,
            base_port + 5,
            3 - number,
        );
        let file = format!("node-{number}.yaml");
        self.write(&file, &settings);
        self.run(&["settings", "check", &file]);
        self.start(&format!("node-{number}"), &["node", "--settings", &file]);
    }

    fn status(&self, number: u16) -> String {
        let node = format!("127.0.31.1:{}", 21_505 + (number - 1) * 10);
        self.output(&["status", "--node", &node])
    }

    /// Returns the standard output of a command, whether it succeeds or not.
    fn output(&self, arguments: &[&str]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_fescuestack"))
            .args(arguments)
            .output()
            .expect("command runs");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn wait_for_version(&self, number: u16, version: u64) {
        let active = format!("\"active\":\"{version}-");
        wait_until(&format!("version {version} on node {number}"), || {
            self.status(number).contains(&active)
        });
    }
}

impl Drop for TestProcesses {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{what} took longer than {WAIT_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn call(node: u16, head: &str, body: &str) -> Option<String> {
    let address = format!("127.0.31.1:{}", 21_503 + (node - 1) * 10);
    let mut stream = TcpStream::connect(address).ok()?;
    let length = body.len();
    let request = format!(
        "{head}\r\nHost: stock\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.to_lowercase())
}

fn header<'a>(answer: &'a str, name: &str) -> &'a str {
    let line = answer.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.strip_prefix(':')).expect("the response has the header").trim()
}

fn send_order(node: u16, key: &str) -> String {
    let head = format!("POST /orders/7 HTTP/1.1\r\nIdempotency-Key: {key}");
    call(node, &head, "two bags").unwrap_or_default()
}

/// Guards against failures that only show with separate processes: in settings, start order, signal
/// handling and recovery without the platform. Also guards against an order that runs twice because it
/// is resent through another node.
#[test]
fn whole_path_runs_as_separate_processes() {
    let mut processes = TestProcesses::new("whole-path");
    processes.write("answers.yaml", ANSWERS);
    processes.run(&["questionnaire", "check", "answers.yaml"]);
    processes.run(&[
        "questionnaire",
        "accept",
        "answers.yaml",
        "--base",
        "none",
        "--output",
        "v1.json",
    ]);
    fs::copy(processes.directory.join("v1.json"), processes.directory.join("live.json"))
        .expect("copy");

    processes.start(
        "platform",
        &["standin", "platform", "--listen", PLATFORM_ADDRESS, "--artefact", "live.json"],
    );
    for (name, listen) in [("stock-1", "127.0.31.1:21500"), ("stock-2", "127.0.31.1:21510")] {
        processes.start(name, &["standin", "upstream", "--name", name, "--listen", listen]);
    }
    processes.start_node(1);
    processes.start_node(2);
    for number in [1, 2] {
        processes.wait_for_version(number, 1);
        wait_until("a lookup", || {
            call(number, "GET /stock/4 HTTP/1.1", "").is_some_and(|answer| {
                answer.starts_with("http/1.1 200") && answer.contains("fescuestack-outcome: done")
            })
        });
    }

    let answer = call(2, "GET /stock/9 HTTP/1.1", "").expect("an answer");
    let request = header(&answer, "fescuestack-request");
    // The call record is written after the response has been sent.
    wait_until("the record of the call", || {
        let explained = processes.output(&["explain", "--node", "127.0.31.1:21515", request]);
        ["\"code\":100", "routed", "sent"].iter().all(|word| explained.contains(word))
    });
    let recorded = processes.run(&["record", "--node", "127.0.31.1:21515"]);
    processes.write("recorded.jsonl", &recorded);
    let replayed = processes.run(&["replay", "recorded.jsonl"]);
    assert!(replayed.contains("active version 1-"), "{replayed}");

    // An owner that has just started cannot tell whether a key is new, so the first outcomes may be unknown.
    wait_until("an order", || send_order(1, "order-1").contains("fescuestack-outcome: done"));
    let repeated = send_order(2, "order-1");
    assert!(
        repeated.contains("fescuestack-code: 101"),
        "resend through the other node was not deduplicated: {repeated}"
    );

    let changed = ANSWERS.replace("queue-limit: 32", "queue-limit: 40");
    processes.write("answers.yaml", &changed);
    let accepted = processes.run(&[
        "questionnaire",
        "accept",
        "answers.yaml",
        "--previous",
        "v1.json",
        "--output",
        "v2.json",
    ]);
    assert!(accepted.contains("queue limit changes from 32 to 40"), "{accepted}");
    fs::copy(processes.directory.join("v2.json"), processes.directory.join("live.json"))
        .expect("copy");
    processes.wait_for_version(1, 2);
    processes.wait_for_version(2, 2);

    processes.kill("platform");
    processes.kill("node-1");
    wait_until("a lookup after the death of the other node", || {
        call(2, "GET /stock/5 HTTP/1.1", "")
            .is_some_and(|answer| answer.starts_with("http/1.1 200"))
    });
    processes.start_node(1);
    processes.wait_for_version(1, 2);

    for name in ["node-1", "node-2"] {
        assert!(processes.terminate(name).0, "{name} exits with an error on SIGTERM");
    }
    let ledgers = [processes.terminate("stock-1").1, processes.terminate("stock-2").1].concat();
    assert_eq!(
        ledgers.matches("order-1").count(),
        1,
        "the order did not run exactly once: {ledgers}"
    );
}
