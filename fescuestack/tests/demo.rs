//! Runs the demonstration of both example deployments and checks the guarantees in its report.

use std::process::Command;

/// Guards against duplicated, lost or aborted calls, against version regressions and against versions that
/// are not active on all nodes within the guaranteed limit. The counts come from the records of the
/// stand-ins.
#[test]
fn demo_of_both_deployments_keeps_the_guarantees() {
    for deployment in ["council", "plakidia"] {
        let file = format!("{}/../deployments/{deployment}.yaml", env!("CARGO_MANIFEST_DIR"));
        let output = Command::new(env!("CARGO_BIN_EXE_fescuestack"))
            .args(["demo", "--deployment", &file, "--rate", "60", "--seconds", "8"])
            .output()
            .expect("command runs");
        let text = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{deployment}: {text}{errors}");
        let last = text.lines().last().unwrap_or_default();
        let report: serde_json::Value = serde_json::from_str(last).expect("last line is JSON");
        for name in ["duplicates", "lost", "cut_off", "violations"] {
            assert_eq!(report[name], 0, "{deployment}: {last}");
        }
        assert_eq!(report["versions"], 6, "{deployment}: {last}");
        assert!(report["answered"].as_u64() > Some(0), "{deployment}: {last}");
    }
}
