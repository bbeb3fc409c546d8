//! Tests of the `questionnaire` subcommands on files.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use fescuestack_core::{PartHash, VersionId};
use fescuestack_questionnaire::{
    Answers, Artefact, DiagnosticCode, QuestionnaireCommand, accept_after,
};

const COUNCIL: &str = include_str!("../../deployments/council.yaml");

/// Writes a file to a directory that only the test `test` uses, and returns its path.
fn write_file(test: &str, name: &str, content: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).unwrap();
    let file = folder.join(name);
    fs::write(&file, content).unwrap();
    file.display().to_string()
}

/// Runs a command line. Returns whether it succeeded, its standard output and its standard error.
fn run(args: &[&str]) -> (bool, String, String) {
    let command = QuestionnaireCommand::try_parse_from([&["questionnaire"], args].concat());
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let code = command.unwrap().run_with(&mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (code == ExitCode::SUCCESS, text(output), text(errors))
}

/// `check` has to report errors through its exit code and with file, line and column.
#[test]
fn check_prints_places() {
    let good = write_file("check", "good.yaml", COUNCIL);
    let (passed, output, errors) = run(&["check", &good]);
    assert!(passed && errors.is_empty() && output.contains("no faults"), "{errors}");
    let bad = write_file("check", "bad.yaml", &COUNCIL.replace("convergence", "speed"));
    let (passed, output, errors) = run(&["check", &bad]);
    assert!(!passed && output.is_empty());
    assert_eq!(
        errors,
        format!(
            "{bad}:4:13: 506 unknown word: `preference` is `speed`; write convergence or bytes\n"
        )
    );
    let (passed, _, errors) = run(&["check", "absent.yaml"]);
    assert!(!passed && errors.starts_with("501 "), "{errors}");
}

/// `accept` must not produce a version unless the change was reviewed against the accepted one.
#[test]
fn accept_numbers_versions() {
    let file = write_file("accept", "council.yaml", COUNCIL);
    let first = write_file("accept", "first.json", "");
    let second = write_file("accept", "second.json", "");
    let (passed, _, errors) = run(&["accept", &file]);
    assert!(!passed && errors.starts_with("526 "), "{errors}");
    assert!(run(&["accept", &file, "--base", "none", "--output", &first]).0);
    assert!(run(&["accept", &file, "--previous", &first, "--output", &second]).0);
    let base = Artefact::parse(&fs::read_to_string(&first).unwrap()).unwrap().version().unwrap();
    let (passed, output, _) = run(&["accept", &file, "--previous", &second]);
    assert!(passed);
    assert_eq!(Artefact::parse(&output).unwrap().version().unwrap().number, 3);
    let args = ["accept", &file, "--previous", &second, "--base", &base.to_string()];
    let (passed, _, errors) = run(&args);
    assert!(!passed && errors.starts_with("527 "), "{errors}");
    let broken = write_file("accept", "broken.json", "{}");
    let (passed, _, errors) = run(&["accept", &file, "--previous", &broken]);
    assert!(!passed && errors.contains("529 "), "{errors}");
}

/// A version number that wraps around would be older than its base.
#[test]
fn version_number_overflow_is_rejected() {
    let answers = Answers::parse("council.yaml", COUNCIL).unwrap();
    let base = VersionId::new(u64::MAX, PartHash::default());
    let diagnostics = accept_after(&answers, base, None).unwrap_err().items;
    assert_eq!(diagnostics[0].code, DiagnosticCode::Refused);
}

/// `diff` has to list the callers and routes that a change affects.
#[test]
fn diff_names_affected_callers() {
    let edits = [
        ("patience-ms: 800", "patience-ms: 700"),
        ("count: 6", "count: 8"),
        ("queue-limit: 32", "queue-limit: 40"),
        ("        prefix: /pigments", "        prefix: /paints"),
        ("body-limit-bytes: 16384", "body-limit-bytes: 8192"),
        ("link-delay-ms: 3", "link-delay-ms: 4"),
    ];
    let changed = edits.iter().fold(COUNCIL.to_owned(), |text, (from, to)| text.replace(from, to));
    let old = write_file("diff", "old.yaml", COUNCIL);
    let new = write_file("diff", "new.yaml", &changed);
    let artefact = write_file("diff", "old.json", "");
    assert!(run(&["accept", &old, "--base", "none", "--output", &artefact]).0);
    let expected = "\
Fleet: the delay between data centres in ms changes from 3 to 4.
Callers licensing/counter wait 5000 ms from 00:00 to 08:30, 700 ms from 08:30 to 17:00, 5000 ms from 17:00 to 24:00 \
instead of 5000 ms from 00:00 to 08:30, 800 ms from 08:30 to 17:00, 5000 ms from 17:00 to 24:00; \
routes affected: register GET /licences, register GET /licences/search, register POST /payments.
Service gallery: the queue limit changes from 32 to 40.
Service gallery: route GET /paints of kind lookup is added for heritage/services, licensing/services.
Service gallery: route GET /pigments is removed for heritage/services, licensing/services.
Service register: route POST /payments takes bodies up to 8192 bytes instead of 16384.
Service register: 2 targets added (register-7, register-8).
";
    assert_eq!(run(&["diff", &old, &new]).1, expected);
    assert_eq!(run(&["diff", &artefact, &new]).1, expected);
    assert_eq!(run(&["diff", &artefact, &old]).1, "Nothing changes.\n");
}

/// `fleet` must generate questionnaires that `check` and `generate` accept.
#[test]
fn fleet_can_be_checked_and_generated() {
    let (passed, yaml, _) = run(&["fleet", "--services", "30", "--targets", "100", "--seed", "5"]);
    assert!(passed);
    let file = write_file("fleet", "fleet.yaml", &yaml);
    assert!(run(&["check", &file]).0);
    let (passed, output, errors) = run(&["generate", &file]);
    assert!(passed, "{errors}");
    let keys = Artefact::parse(&output).unwrap().values;
    let count = |start: &str| keys.keys().filter(|key| key.starts_with(start)).count();
    assert_eq!((count("manifest/"), count("head"), count("parts/")), (1, 0, 1 + 2 + 60));
}
