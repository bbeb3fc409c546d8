//! The `sidecar` command as a process: settings check, log output and graceful shutdown.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Output, Stdio};

use fescuestack_platform_standin::{DEFAULT_MEMORY_MB, SettingsEntry, free_ports};
use serde_json::{Value, json};

fn settings_json([outbound, inbound, ready, store]: [u16; 4]) -> Value {
    let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let settings = SettingsEntry {
        vm: loopback(0).ip(),
        ports: [outbound, inbound, ready],
        service: "alpha",
        // No process listens on this port.
        target: loopback(9),
        store: loopback(store),
        link_mbps: 1_000.0,
        memory_mb: DEFAULT_MEMORY_MB,
        grace_s: 3,
    };
    settings.value()
}

struct SettingsFile(std::path::PathBuf);

impl SettingsFile {
    fn new(name: &str, settings: &Value) -> SettingsFile {
        let path = std::env::temp_dir().join(format!("{name}-{}.json", std::process::id()));
        std::fs::write(&path, settings.to_string()).expect("a writable directory");
        SettingsFile(path)
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn check(file: &SettingsFile) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fescuestack"))
        .args(["settings", "check", "--platform"])
        .arg(&file.0)
        .output()
        .expect("the binary runs")
}

/// Guards against invalid settings that are only detected when the node starts.
#[test]
fn check_names_what_is_wrong() {
    let complete = settings_json(free_ports().expect("free ports"));
    let output = check(&SettingsFile::new("fescuestack-whole", &complete));
    assert!(output.status.success(), "{output:?}");
    let mut incomplete = complete.clone();
    incomplete["self"].as_object_mut().expect("a table").remove("service");
    let output = check(&SettingsFile::new("fescuestack-lacking", &incomplete));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && errors.contains("608"), "{errors}");
    assert!(errors.contains("service"), "{errors}");
}

struct SidecarProcess(Child);

impl Drop for SidecarProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against log lines that are lost at exit, are not valid JSON or lack fields, and against a
/// shutdown that does not finish within the grace period of the platform.
#[test]
fn stop_is_logged_to_its_end() {
    let file =
        SettingsFile::new("fescuestack-stop", &settings_json(free_ports().expect("free ports")));
    let child = Command::new(env!("CARGO_BIN_EXE_fescuestack"))
        .arg("sidecar")
        .env("FESCUESTACK_SETTINGS", &file.0)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary runs");
    let mut node = SidecarProcess(child);
    let mut output = BufReader::new(node.0.stdout.take().expect("a pipe"));
    let mut first = String::new();
    output.read_line(&mut first).expect("a line");
    let first: Value = serde_json::from_str(&first).expect("a JSON line");
    assert_eq!(
        (&first["text"], &first["node"]),
        (&json!("node started"), &json!("node-127.0.0.1"))
    );
    let id = node.0.id().to_string();
    Command::new("kill").args(["-TERM", &id]).status().expect("the signal is sent");
    let mut remaining = String::new();
    output.read_to_string(&mut remaining).expect("lines");
    assert!(node.0.wait().expect("the process ends").success());
    let lines: Vec<Value> =
        remaining.lines().map(|line| serde_json::from_str(line).expect("a JSON line")).collect();
    let texts: Vec<_> = lines.iter().filter_map(|line| line["text"].as_str()).collect();
    assert!(texts.contains(&"graceful stop begins"), "{texts:?}");
    assert_eq!(texts.last(), Some(&"node stopped"), "{texts:?}");
    assert!(texts.iter().any(|text| text.starts_with("store lost: 701")), "{texts:?}");
}
