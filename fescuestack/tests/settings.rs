//! Error messages of `settings check` for invalid settings files.

use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;

const SETTINGS: &str = r#"
node: register-1
data_centre: caerdydd
listen:
  caller: 127.0.32.1:21501
  local: 127.0.32.1:21502
  relay: 127.0.32.1:21503
  control: 127.0.32.1:21504
  operator: 127.0.32.1:21505
platform: 127.0.32.1:21500
"#;

fn check(name: &str, text: &str) -> (bool, String) {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    fs::write(&file, text).expect("file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_fescuestack"))
        .args(["settings", "check"])
        .arg(&file)
        .output()
        .expect("command runs");
    (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Guards against invalid settings that pass the check, and against messages that do not name the key or the
/// error number.
#[test]
fn faults_are_named_with_their_code() {
    assert!(check("valid", SETTINGS).0);
    let cases = [
        ("yaml", SETTINGS.replace("node:", "node: ["), "602"),
        ("unknown", format!("{SETTINGS}drian_ms: 10\n"), "drian_ms"),
        ("missing", SETTINGS.replace("platform: 127.0.32.1:21500", ""), "platform"),
        ("address", SETTINGS.replace("127.0.32.1:21505", "nowhere"), "602"),
        ("same", SETTINGS.replace("21505", "21504"), "603"),
        ("zero", format!("{SETTINGS}drain_ms: 0\n"), "drain_ms"),
        ("level", format!("{SETTINGS}log: loud\n"), "log"),
    ];
    for (name, text, expected) in cases {
        let (passed, message) = check(name, &text);
        assert!(!passed && message.contains(expected), "{name}: {message}");
    }
}

/// Guards against a check that stops at the first of several invalid values.
#[test]
fn all_contradictions_are_reported_at_once() {
    let text = SETTINGS.replace("21505", "21504").replace("node: register-1", "node: ''");
    let (_, message) = check("several", &format!("{text}drain_ms: 0\n"));
    for expected in ["node:", "listen.operator:", "drain_ms:"] {
        assert!(message.contains(expected), "{expected} is missing in: {message}");
    }
}

/// Guards against an address in use that is only detected when the node starts. The ports differ from those
/// of the other tests, which run concurrently and bind their ports during the check.
#[test]
fn address_in_use_is_named() {
    let _listener = TcpListener::bind("127.0.32.1:21605").expect("a free port");
    let (passed, message) = check("taken", &SETTINGS.replace("2150", "2160"));
    assert!(!passed && message.contains("604 listen.operator"), "{message}");
}
