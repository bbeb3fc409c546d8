//! Replays the runs that `model/check` exports, so that specification and code stay together.

use std::fs;
use std::path::Path;

mod model {
    pub mod replay;
    pub mod versions;
}

use model::replay::{ReplayRun, TraceEvent, TraceHeader};

/// Within this time, the stated target, the newest version is in effect everywhere once faults are
/// over.
const SETTLE_MS: u64 = 7_000;

fn read_traces() -> Vec<(TraceHeader, Vec<TraceEvent>)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces/model");
    let files = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let is_trace = |path: &std::path::PathBuf| {
        let name = path.file_name().unwrap().to_string_lossy();
        name.starts_with("model-") && name.ends_with(".jsonl")
    };
    let mut files: Vec<_> = files.filter(is_trace).collect();
    files.sort_unstable();
    let read = |path: &std::path::PathBuf| {
        let text = fs::read_to_string(path).unwrap();
        let (header, events) = text.split_once('\n').unwrap();
        let parse = |line| serde_json::from_str(line).unwrap_or_else(|err| panic!("{line}: {err}"));
        (serde_json::from_str(header).unwrap(), events.lines().map(parse).collect())
    };
    files.iter().map(read).collect()
}

fn replay(header: &TraceHeader, events: &[TraceEvent]) -> Result<ReplayRun, (usize, String)> {
    let mut run = ReplayRun::new(header);
    for (index, event) in events.iter().enumerate() {
        run.step(event).map_err(|reason| (index, reason))?;
    }
    Ok(run)
}

/// Guards against code that decides otherwise than the checked specification, and against nodes
/// that do not converge from the end of a run.
#[test]
fn code_follows_the_model() {
    let runs: Vec<_> =
        read_traces().into_iter().filter(|(header, _)| header.mutation.is_empty()).collect();
    assert!(runs.len() >= 12);
    for (header, events) in runs {
        let mut run = replay(&header, &events)
            .unwrap_or_else(|(index, reason)| panic!("{} event {index}: {reason}", header.run));
        run.settle(SETTLE_MS).unwrap_or_else(|reason| panic!("{}: {reason}", header.run));
    }
}

/// Fails if the code does on the run of `mutation` what the mutation does. It must part from the run
/// at the event that breaks the property, or converge where the mutation does not.
fn assert_parts_from(mutation: &str) {
    let traces = read_traces();
    let trace = traces.iter().find(|(header, _)| header.mutation == mutation);
    let (header, events) = trace.unwrap_or_else(|| panic!("no run of mutation {mutation}"));
    let holds = match (header.violates.as_str(), replay(header, events)) {
        ("in_effect_everywhere", Ok(mut run)) => run.settle(SETTLE_MS),
        (_, Err((index, _))) if index + 1 == events.len() => Ok(()),
        (_, Err((index, reason))) => Err(format!("parts too early, at {index}: {reason}")),
        (_, Ok(_)) => Err("does what the mutation does".to_owned()),
    };
    holds.unwrap_or_else(|reason| panic!("{}: {reason}", header.run));
}

/// Guards against an order of versions that is not total, or not kept.
#[test]
fn older_version_is_not_applied() {
    assert_parts_from("ORDER");
    assert_parts_from("CLASH");
}

/// Guards against a version that takes effect in part, or whose parts belong to several versions.
#[test]
fn version_is_applied_whole() {
    assert_parts_from("PART");
    assert_parts_from("HASH");
}

/// Guards against a route whose resource is absent.
#[test]
fn bad_version_is_rejected() {
    assert_parts_from("RESOURCE");
}

/// Guards against a node that stays behind when pushes are lost.
#[test]
fn lost_push_is_repaired() {
    assert_parts_from("REPAIR");
}

/// Guards against a restarted node that serves with the first version it gets.
#[test]
fn restarted_node_waits_for_what_peers_named() {
    assert_parts_from("START");
}

/// Guards against a restarted node that serves with an older version than its peers named, because
/// the greatest one they had heard of was rejected.
#[test]
fn rejection_leaves_other_named_versions_wanted() {
    assert_parts_from("FORGET");
}

/// Guards against a restarted node whose start deadline passes while its process is paused.
#[test]
fn pause_does_not_use_up_the_start() {
    assert_parts_from("TIMER");
}
