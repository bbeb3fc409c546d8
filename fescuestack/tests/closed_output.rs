//! Commands whose output nobody reads to its end, as in `fescuestack losses LOG | head`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;

const SETTINGS: &str = "
node: register-1
data_centre: caerdydd
listen:
  caller: 127.0.33.1:21501
  local: 127.0.33.1:21502
  relay: 127.0.33.1:21503
  control: 127.0.33.1:21504
  operator: 127.0.33.1:21505
platform: 127.0.33.1:21500
";

/// Starts a server that answers each request of an operator with an empty JSON object.
fn start_operator_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a request");
                head.extend(byte);
            }
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
            stream.write_all(response).expect("the client reads");
        }
    });
    address
}

/// Runs a command with an output that is closed already. Returns its standard error.
fn run_unread(arguments: &[&str]) -> (Option<i32>, String) {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let output = Command::new(env!("CARGO_BIN_EXE_fescuestack"))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(writer)
        .stderr(Stdio::piped())
        .output()
        .expect("the command runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

fn temporary_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fescuestack-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a writable directory");
    path
}

/// Guards against commands that panic when the reader of their output ends before them.
#[test]
fn commands_end_quietly_when_their_reader_goes() {
    let line = r#"{"text":"request not served","cause":"no-target","route":"r","time":"t"}"#;
    let log = temporary_file("losses.log", &format!("{line}\n"));
    let settings = temporary_file("settings.yaml", SETTINGS);
    let deployment = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deployments/council.yaml");
    let text = |path: &Path| path.to_str().expect("a UTF-8 path").to_owned();
    let (log, settings, deployment) = (text(&log), text(&settings), text(&deployment));
    let node = start_operator_port().to_string();
    for arguments in [
        &["losses", &log][..],
        &["settings", "check", &settings],
        &["status", "--node", &node],
        &["explain", "--node", &node, "r1"],
        &["questionnaire", "check", &deployment],
        &["questionnaire", "generate", &deployment],
        &["--help"],
    ] {
        let (code, errors) = run_unread(arguments);
        assert!(!errors.contains("panicked"), "{arguments:?}: {errors}");
        assert_eq!(code, Some(0), "{arguments:?}: {errors}");
    }
    for path in [log, settings] {
        std::fs::remove_file(path).expect("the written file");
    }
}
