//! Replays of the recorded traces under `traces`, and of damaged recordings.

use std::path::PathBuf;

use fescuestack_core::{ReplayMismatch, replay};

fn traces() -> Vec<(PathBuf, String)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../traces");
    let entries = std::fs::read_dir(folder).expect("the folder of traces exists");
    let paths = entries.map(|entry| entry.unwrap().path());
    let traces =
        paths.filter(|path| path.extension().is_some_and(|extension| extension == "jsonl"));
    let mut read: Vec<(PathBuf, String)> =
        traces.map(|path| (path.clone(), std::fs::read_to_string(path).unwrap())).collect();
    read.sort();
    read
}

/// Guards against decisions that differ from the recorded ones, and against outcomes that no
/// longer hold.
#[test]
fn recorded_traces_replay() {
    let traces = traces();
    assert!(traces.len() >= 20, "only {} traces", traces.len());
    for (path, text) in traces {
        let report = replay(text.lines()).unwrap_or_else(|err| panic!("{}: {err}", path.display()));
        assert!(report.inputs > 100 && report.outcomes > 0, "{} checks little", path.display());
        assert!(text.len() <= 200_000, "{} has {} bytes", path.display(), text.len());
    }
}

/// Guards against a replay that overlooks a changed decision: a lost input is noticed.
#[test]
fn changed_recording_is_noticed() {
    let (_, text) = traces().swap_remove(0);
    let is_message = |line: &&str| line.contains("\"Welcome\"");
    let dropped = text.lines().position(|line| is_message(&line)).expect("peers have answered");
    let rest = text.lines().enumerate().filter(|(index, _)| *index != dropped);
    let result = replay(rest.map(|(_, line)| line));
    assert!(matches!(result, Err(ReplayMismatch::Actions { .. })), "{result:?}");
}

/// Guards against a stated outcome that is not checked.
#[test]
fn wrong_outcome_is_noticed() {
    let (_, text) = traces().swap_remove(0);
    let stated = "{\"outcome\":{\"member\":{\"name\":\"nobody\",\"state\":\"alive\"}}}";
    let result = replay(text.lines().chain([stated]));
    assert!(matches!(result, Err(ReplayMismatch::Outcome { .. })), "{result:?}");
}
