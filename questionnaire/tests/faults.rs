//! Tests of the diagnostics for invalid questionnaires.

use std::collections::BTreeSet;

use fescuestack_questionnaire::{Answers, DiagnosticCode};

/// A valid questionnaire. Each case replaces one string in it and expects diagnostics by line number.
const VALID: &str = r#"deployment: test
preference: convergence
link-delay-ms: 3
caller-delay-ms: 8
regions:
  - name: south
    data-centres: [caerdydd, abertawe]
tenants:
  - name: licensing
    zone: Europe/London
    classes:
      - name: traders
        callers: outside
        patience:
          - { from: "07:00", to: "19:00", patience-ms: 1500 }
          - { from: "19:00", to: "07:00", patience-ms: 4000 }
      - name: services
        callers: internal
        patience:
          - { from: "00:00", to: "24:00", patience-ms: 400 }
services:
  - name: register
    tenant: licensing
    queue-limit: 48
    key-window-ms: 120000
    routes:
      - method: GET
        prefix: /licences
        kind: lookup
        may-repeat: true
        internal-only: true
        body-limit-bytes: 0
        classes: [licensing/services]
      - method: POST
        prefix: /payments
        kind: submit
        may-repeat: false
        internal-only: false
        body-limit-bytes: 4096
        classes: [licensing/traders, licensing/services]
    targets:
      - name: register-a
        data-centre: caerdydd
        upstream: 127.0.0.1:21000
        relay: 127.0.0.1:21001
        control: 127.0.0.1:21002
        slots: 6
        connections: 120
    target-series:
      - count: 3
        over: [caerdydd, abertawe]
        base: 127.0.0.1:21010
        port-step: 10
        slots: 6
        connections: 120
"#;

use DiagnosticCode::*;

/// Replaced string, replacement, expected codes and lines.
type ErrorCase = (&'static str, &'static str, &'static [(DiagnosticCode, u64)]);

const CASES: &[ErrorCase] = &[
    // Syntax and types.
    ("data-centres: [caerdydd, abertawe]", "data-centres: [caerdydd", &[(BrokenYaml, 8)]),
    ("link-delay-ms: 3", "preference: bytes", &[(BrokenYaml, 3)]),
    ("deployment: test", "deployment: test\ncolour: red", &[(UnknownKey, 2)]),
    ("    queue-limit: 48", "    queue-limits: 48", &[(MissingAnswer, 22), (UnknownKey, 24)]),
    (
        "slots: 6\n        connections: 120\n    target",
        "slots: 6\n    target",
        &[(MissingAnswer, 42)],
    ),
    ("link-delay-ms: 3", "link-delay-ms: soon", &[(WrongKind, 3)]),
    ("link-delay-ms: 3", "link-delay-ms: -3", &[(WrongKind, 3)]),
    ("caller-delay-ms: 8", "caller-delay-ms: 0.5", &[(WrongKind, 4)]),
    ("queue-limit: 48", "queue-limit: 5000000000", &[(WrongKind, 24)]),
    ("may-repeat: true", "may-repeat: 1", &[(WrongKind, 30)]),
    ("from: \"07:00\"", "from: \"7 am\"", &[(WrongKind, 15)]),
    ("to: \"24:00\"", "to: \"24:01\"", &[(WrongKind, 20)]),
    ("from: \"00:00\"", "from: \"24:00\"", &[(PatienceGap, 20), (WrongKind, 20)]),
    ("preference: convergence", "preference: speed", &[(UnknownWord, 2)]),
    ("kind: lookup", "kind: read", &[(UnknownWord, 29)]),
    ("callers: internal", "callers: inside", &[(UnknownWord, 18)]),
    ("method: GET", "method: get", &[(UnknownWord, 27)]),
    // Names and addresses.
    (
        "name: services",
        "name: traders",
        &[(DuplicateName, 17), (UnknownClass, 33), (UnknownClass, 40)],
    ),
    ("[caerdydd, abertawe]\nten", "[caerdydd, abertawe, caerdydd]\nten", &[(DuplicateName, 7)]),
    ("name: register-a", "name: register-2", &[(DuplicateName, 52)]),
    ("name: register-a", "name: Register_A", &[(BadName, 42)]),
    ("deployment: test", "deployment: \"\"", &[(BadName, 1)]),
    ("relay: 127.0.0.1:21001", "relay: 127.0.0.1:21000", &[(DuplicateAddress, 45)]),
    ("base: 127.0.0.1:21010", "base: 127.0.0.1:21002", &[(DuplicateAddress, 52)]),
    ("port-step: 10", "port-step: 1", &[(DuplicateAddress, 52)]),
    ("control: 127.0.0.1:21002", "control: localhost:21002", &[(BadAddress, 46)]),
    ("control: 127.0.0.1:21002", "control: 127.0.0.1:0", &[(BadAddress, 46)]),
    ("port-step: 10", "port-step: 30000", &[(BadAddress, 52)]),
    ("count: 3", "count: 15001", &[(TooManyTargets, 50)]),
    ("prefix: /payments", "prefix: payments", &[(BadPrefix, 35)]),
    // Patience.
    ("to: \"19:00\"", "to: \"18:00\"", &[(PatienceGap, 15)]),
    ("from: \"19:00\"", "from: \"18:00\"", &[(PatienceOverlap, 16)]),
    (
        "from: \"19:00\", to: \"07:00\"",
        "from: \"20:00\", to: \"08:00\"",
        &[(PatienceGap, 15), (PatienceOverlap, 16)],
    ),
    ("zone: Europe/London", "zone: Europe/Cardiff", &[(UnknownZone, 10)]),
    // References.
    ("tenant: licensing", "tenant: licences", &[(UnknownTenant, 23)]),
    ("[licensing/traders, ", "[licensing/trader, ", &[(UnknownClass, 40)]),
    ("data-centre: caerdydd", "data-centre: bangor", &[(UnknownDataCentre, 43)]),
    ("over: [caerdydd, abertawe]", "over: [caerdydd, bangor]", &[(UnknownDataCentre, 51)]),
    ("over: [caerdydd, abertawe]", "over: []", &[(MissingAnswer, 51)]),
    (
        "    classes:\n      - name: traders",
        "    classes: []\n    others:\n      - name: traders",
        &[(UnknownKey, 12)],
    ),
    ("classes: [licensing/services]", "classes: []", &[(MissingAnswer, 33)]),
    ("classes: [licensing/services]", "classes: [licensing/traders]", &[(OutsideClass, 33)]),
    // Contradictions and limits.
    ("may-repeat: false", "may-repeat: true", &[(RepeatContradiction, 37)]),
    ("may-repeat: true", "may-repeat: false", &[(RepeatContradiction, 30)]),
    ("method: POST", "method: GET", &[(MethodContradiction, 34)]),
    (
        "method: POST\n        prefix: /payments",
        "method: GET\n        prefix: /licences",
        &[(DuplicateRoute, 34), (MethodContradiction, 34)],
    ),
    ("queue-limit: 48", "queue-limit: 0", &[(ZeroLimit, 24)]),
    ("key-window-ms: 120000", "key-window-ms: 0", &[(ZeroLimit, 25)]),
    (
        "key-window-ms: 120000",
        "key-window-ms: 120000\n    key-clock-skew-ms: 120000",
        &[(SkewTooLarge, 26)],
    ),
    ("patience-ms: 400 ", "patience-ms: 0 ", &[(ZeroLimit, 20)]),
    ("body-limit-bytes: 4096", "body-limit-bytes: 0", &[(ZeroLimit, 39)]),
    ("body-limit-bytes: 4096", "body-limit-bytes: 1048577", &[(BodyLimitTooLarge, 39)]),
];

fn codes_and_lines(text: &str) -> Vec<(DiagnosticCode, u64)> {
    match Answers::parse("test.yaml", text) {
        Ok(_) => Vec::new(),
        Err(diagnostics) => {
            diagnostics.items.iter().map(|diagnostic| (diagnostic.code, diagnostic.line)).collect()
        }
    }
}

/// Every error must be reported with its line, and without diagnostics that only result from it.
#[test]
fn each_error_is_reported_once() {
    assert_eq!(codes_and_lines(VALID), []);
    for (from, to, expected) in CASES {
        assert!(VALID.contains(from), "{from} is not in the questionnaire");
        let mut found = codes_and_lines(&VALID.replacen(from, to, 1));
        let mut expected = expected.to_vec();
        found.sort_unstable();
        expected.sort_unstable();
        assert_eq!(found, expected, "{from} replaced by {to}");
    }
}

/// A service without targets must be reported. The case removes lines, so it is not in the table.
#[test]
fn service_without_targets_is_reported() {
    let end = VALID.find("    targets:").unwrap();
    assert_eq!(codes_and_lines(&VALID[..end]), [(NoTargets, 22)]);
}

/// Every code must occur in a test.
#[test]
fn every_code_of_the_questionnaire_has_a_case() {
    let mut seen: BTreeSet<DiagnosticCode> =
        CASES.iter().flat_map(|case| case.2).map(|diagnostic| diagnostic.0).collect();
    seen.insert(NoTargets);
    // Codes of file access and acceptance, which `deployments.rs` and `command.rs` test.
    seen.extend([FileUnreadable, ValueTooLarge, BaseMissing, BaseMismatch, Refused, BadArtefact]);
    assert!(seen.iter().eq(DiagnosticCode::ALL), "{seen:?}");
}

/// All errors must be reported in one run.
#[test]
fn all_errors_are_reported_at_once() {
    let edits = [
        ("deployment: test", "deployment: \"\"", (BadName, 1)),
        ("preference: convergence", "preference: speed", (UnknownWord, 2)),
        ("link-delay-ms: 3", "link-delay-ms: soon", (WrongKind, 3)),
        ("zone: Europe/London", "zone: Europe/Cardiff", (UnknownZone, 10)),
        ("to: \"19:00\"", "to: \"18:00\"", (PatienceGap, 15)),
        ("tenant: licensing", "tenant: licences", (UnknownTenant, 23)),
        ("queue-limit: 48", "queue-limit: 0", (ZeroLimit, 24)),
        ("prefix: /payments", "prefix: payments", (BadPrefix, 35)),
        ("kind: submit", "kind: [submit]", (WrongKind, 36)),
        ("connections: 120", "connection: 120", (MissingAnswer, 42)),
        ("data-centre: caerdydd", "data-centre: bangor", (UnknownDataCentre, 43)),
    ];
    let apply = |text: String, edit: &(&str, &str, _)| text.replacen(edit.0, edit.1, 1);
    let text = edits.iter().fold(VALID.to_owned(), apply);
    let mut expected: Vec<_> = edits.iter().map(|edit| edit.2).collect();
    expected.push((UnknownKey, 48));
    let mut found = codes_and_lines(&text);
    found.sort_unstable();
    expected.sort_unstable();
    assert_eq!(found, expected);
}

/// A truncated questionnaire must give diagnostics and cause neither a panic nor an endless loop.
#[test]
fn truncated_text_is_reported() {
    for end in (0..VALID.len()).filter(|&end| VALID.is_char_boundary(end)) {
        if let Err(diagnostics) = Answers::parse("test.yaml", &VALID[..end]) {
            assert!(
                !diagnostics.items.is_empty() && diagnostics.to_string().starts_with("test.yaml:")
            );
        }
    }
}
