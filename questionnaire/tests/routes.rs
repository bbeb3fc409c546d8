//! Tests of the platform format on the example deployments.

use std::process::ExitCode;

use clap::Parser;
use fescuestack_core::ClockSpan;
use fescuestack_platform::decode_config;
use fescuestack_questionnaire::{Answers, QuestionnaireCommand, build_route_table};
use fescuestack_routing::{RequestKind, RouteTable};

const COUNCIL: &str = include_str!("../../deployments/council.yaml");
const PLAKIDIA: &str = include_str!("../../deployments/plakidia.yaml");

fn path(name: &str) -> String {
    format!("{}/../deployments/{name}.yaml", env!("CARGO_MANIFEST_DIR"))
}

fn generate(args: &[&str]) -> (bool, String, String) {
    let line = [&["questionnaire", "generate"], args].concat();
    let command = QuestionnaireCommand::try_parse_from(line).expect("a valid command line");
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let code = command.run_with(&mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (code == ExitCode::SUCCESS, text(output), text(errors))
}

/// Formats all contents of a table for comparison.
fn describe(table: &RouteTable) -> String {
    format!("{} {:?} {:?} {:?}", table.version, table.limits, table.services(), table.hosts())
}

/// Nodes must decode the generated value to the same route table.
#[test]
fn value_round_trips() {
    for (name, text) in [("council", COUNCIL), ("plakidia", PLAKIDIA)] {
        let answers = Answers::parse(name, text).expect("no faults");
        let (table, _) = build_route_table(&answers, 7);
        let (passed, value, _) =
            generate(&[&path(name), "--form", "platform", "--as-version", "7"]);
        assert!(passed);
        let read = decode_config(value.as_bytes()).expect("a valid value");
        assert_eq!(describe(&read), describe(&table));
        for service in &answers.services.value {
            for route in &service.routes.value {
                let path = format!("{}/1", route.prefix.value);
                let rule = read.find(&service.name.value, &path).expect("a route");
                assert!(
                    route.may_repeat.value || !rule.kind.is_idempotent(),
                    "{path} may run twice"
                );
            }
        }
    }
}

/// Kind, priority and timeouts must follow the answers: a payment must not run twice, and no call may
/// time out before the patience of its caller ends.
#[test]
fn routes_follow_the_answers() {
    let answers = Answers::parse("council", COUNCIL).expect("no faults");
    let (table, _) = build_route_table(&answers, 1);
    let payments = table.find("register", "/payments/1").expect("a route");
    assert_eq!((payments.kind, payments.priority), (RequestKind::NonIdempotent, 1));
    assert_eq!(
        (payments.soft_timeout, payments.timeout),
        (ClockSpan::new(800), ClockSpan::new(5_000))
    );
    let search = table.find("register", "/licences/search/x").expect("a route");
    assert_eq!((search.kind, &*search.prefix), (RequestKind::Idempotent, "/licences/search/"));
    let pigments = table.find("gallery", "/pigments/red").expect("a route");
    assert_eq!((pigments.kind, pigments.priority), (RequestKind::Idempotent, 1));
    assert_eq!(table.limits.max_body_bytes, 33_554_432);
}

/// Answers that the platform format cannot express must be listed as warnings.
#[test]
fn omitted_answers_are_listed() {
    let file = path("council");
    let (passed, _, warnings) = generate(&[&file, "--form", "platform", "--as-version", "1"]);
    assert!(passed);
    let internal = COUNCIL.lines().position(|line| line.contains("internal-only: true"));
    let line = internal.expect("an internal route") + 1;
    let expected = format!("{file}:{line}: left out: /pigments for services of the mesh only");
    assert!(warnings.contains(&expected), "{warnings}");
    for part in ["patience of /payments by hour", "queue limit of gallery", "body limit of 16384"] {
        assert!(warnings.contains(part), "no `{part}` in {warnings}");
    }
    let (passed, _, warnings) = generate(&[&file]);
    assert!(passed && warnings.is_empty(), "{warnings}");
}

/// The platform format requires a version number, and a submit route must not become repeatable
/// because a lookup with the same prefix is.
#[test]
fn version_is_required_and_submits_stay_non_idempotent() {
    let line = ["questionnaire", "generate", "council.yaml", "--form", "platform"];
    assert!(QuestionnaireCommand::try_parse_from(line).is_err());
    let answers = Answers::parse("plakidia", PLAKIDIA).expect("no faults");
    let (table, omitted) = build_route_table(&answers, 1);
    let orders = table.find("ordering", "/orders/1").expect("a route");
    assert_eq!(orders.kind, RequestKind::NonIdempotent);
    let repeats = omitted.iter().find(|omitted| omitted.message.starts_with("repeats of GET"));
    assert!(repeats.is_some_and(|omitted| omitted.message.contains("/orders")), "{omitted:?}");
}
