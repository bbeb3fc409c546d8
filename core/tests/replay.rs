//! Replays of the recorded traces under `traces`, and of damaged recordings.

use std::path::PathBuf;

use fescuestack_core::{
    ClockTime, ControlInput, ControlRecorder, ReadAnswer, RecordHeader, ReplayMismatch,
    ValueRecord, replay,
};

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

/// Guards against a ring whose inputs are few but hold more content than a node may use for it.
#[test]
fn ring_is_bounded_in_bytes() {
    let (_, text) = traces().swap_remove(0);
    let header: RecordHeader = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    let mut recorder = ControlRecorder::new(header.settings, header.seed, 1_000);
    let content: std::sync::Arc<str> = "x".repeat(1_000_000).into();
    for revision in 0..40 {
        let record = ValueRecord { revision, content: content.clone() };
        let result = Ok(ReadAnswer::Found(record));
        recorder.record(ClockTime::new(revision), ControlInput::HeadRead { result }, &[]);
    }
    let bytes: usize = recorder.lines().map(|line| line.len()).sum();
    assert!(bytes < 9_000_000, "the recording has {bytes} bytes");
    let first: RecordHeader = serde_json::from_str(&recorder.lines().next().unwrap()).unwrap();
    assert!(first.dropped > 0);
}
