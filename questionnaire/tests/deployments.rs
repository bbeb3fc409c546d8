//! Tests of check, generation, comparison and acceptance on the example deployments and generated
//! fleets.

use std::collections::BTreeSet;

use fescuestack_core::{
    ConfigPart, RouteKind, SpreadPreference, VALUE_LIMIT_BYTES, VersionDelta, VersionId, delta_key,
};
use fescuestack_questionnaire::{
    Answers, Artefact, DiagnosticCode, FleetSize, accept, accept_after, describe_changes,
    encode_parts, generate, generate_fleet,
};

const COUNCIL: &str = include_str!("../../deployments/council.yaml");
const PLAKIDIA: &str = include_str!("../../deployments/plakidia.yaml");

fn parse(text: &str) -> Answers {
    Answers::parse("test.yaml", text).unwrap_or_else(|diagnostics| panic!("{diagnostics}"))
}

/// The example questionnaires must be valid and use only loopback ports of the range reserved for the
/// demo.
#[test]
fn deployments_are_accepted() {
    let expected = [
        (COUNCIL, SpreadPreference::Convergence, vec![("gallery", 4), ("register", 6)]),
        (PLAKIDIA, SpreadPreference::Bytes, vec![("claims", 5), ("ordering", 7)]),
    ];
    for (text, preference, services) in expected {
        let snapshot = accept(&parse(text), None).unwrap().snapshot().unwrap();
        assert_eq!(snapshot.fleet().preference, preference);
        assert_eq!(snapshot.version().number, 1);
        let mut found: Vec<(&str, usize)> = snapshot
            .services()
            .map(|service| (service.part.service.as_str(), service.targets.len()))
            .collect();
        found.sort_unstable();
        assert_eq!(found, services);
        for target in snapshot.services().flat_map(|service| &service.targets) {
            for address in [target.upstream, target.relay, target.control] {
                assert!(address.ip().is_loopback() && (21000..24000).contains(&address.port()));
            }
        }
    }
}

/// The example questionnaires must cover every route kind and an internal-only route.
#[test]
fn deployments_cover_every_route_kind() {
    let parts = [generate(&parse(COUNCIL)).unwrap(), generate(&parse(PLAKIDIA)).unwrap()];
    for parts in &parts {
        let services = parts.iter().filter_map(|part| match part {
            ConfigPart::Service(part) => Some(part),
            _ => None,
        });
        let routes: Vec<_> = services.flat_map(|service| &service.routes).collect();
        for kind in [RouteKind::Lookup, RouteKind::Search, RouteKind::Submit, RouteKind::Upload] {
            assert!(routes.iter().any(|route| route.kind == kind), "{kind:?}");
        }
        assert!(routes.iter().any(|route| route.internal_only));
    }
}

/// Equal answers must give equal artefacts, whatever the iteration order of hash maps.
#[test]
fn generation_is_deterministic() {
    for text in [COUNCIL, PLAKIDIA] {
        let artefacts = [accept(&parse(text), None).unwrap(), accept(&parse(text), None).unwrap()];
        assert_eq!(artefacts[0].to_json(), artefacts[1].to_json());
    }
    let (left, right) =
        (generate_fleet(FleetSize::new(40, 200), 7), generate_fleet(FleetSize::new(40, 200), 7));
    assert_eq!(left.to_yaml(), right.to_yaml());
    assert_ne!(left.to_yaml(), generate_fleet(FleetSize::new(40, 200), 8).to_yaml());
}

/// A delta must contain only the changed parts and produce the published version.
#[test]
fn acceptance_publishes_the_delta() {
    let first = accept(&parse(COUNCIL), None).unwrap();
    assert_eq!(first.head().unwrap().base, VersionId::NONE);
    let changed = COUNCIL.replace("queue-limit: 48", "queue-limit: 40");
    let second = accept(&parse(&changed), Some(&first)).unwrap();
    let head = second.head().unwrap();
    assert_eq!(head.version.number, 2);
    assert_eq!(head.base, first.version().unwrap());
    let delta: VersionDelta =
        serde_json::from_str(&second.values[&delta_key(head.version)]).unwrap();
    let names: Vec<&str> = delta.changed.iter().map(|part| &*part.name).collect();
    assert_eq!(names, ["service/register"]);
    let reached = first.snapshot().unwrap().with_delta(&delta).unwrap();
    assert_eq!(reached.version(), head.version);
    let reread = Artefact::parse(&second.to_json()).unwrap();
    assert_eq!(reread, second);
}

/// Acceptance must fail if the change was reviewed against another version than the accepted one.
#[test]
fn acceptance_requires_the_right_base() {
    let first = accept(&parse(COUNCIL), None).unwrap();
    let second = accept(&parse(COUNCIL), Some(&first)).unwrap();
    let base = first.version().unwrap();
    let diagnostics = accept_after(&parse(COUNCIL), base, Some(&second)).unwrap_err().items;
    assert_eq!(diagnostics[0].code, DiagnosticCode::BaseMismatch);
    let rollback = accept(&parse(COUNCIL), Some(&second)).unwrap();
    assert_eq!(rollback.version().unwrap().number, 3, "a rollback gets a new version number");
}

/// A previous artefact with a wrong part hash must be rejected.
#[test]
fn damaged_artefact_is_rejected() {
    let mut artefact = accept(&parse(COUNCIL), None).unwrap();
    let part = artefact.values.iter_mut().find(|(key, _)| key.starts_with("parts/")).unwrap();
    part.1.push(' ');
    let diagnostics = accept(&parse(COUNCIL), Some(&artefact)).unwrap_err().items;
    assert_eq!(diagnostics[0].code, DiagnosticCode::BadArtefact);
}

/// A part that exceeds the value limit of the platform must be rejected.
#[test]
fn large_part_is_rejected() {
    let single = generate_fleet(FleetSize::new(1, 14_900), 1);
    let diagnostics = accept(&single, None).unwrap_err().items;
    assert_eq!(diagnostics[0].code, DiagnosticCode::ValueTooLarge);
    assert!(diagnostics[0].message.contains("targets/service-0"), "{}", diagnostics[0]);
}

/// A delta above the value limit must be omitted: an error would block every change that affects the
/// whole fleet.
#[test]
fn large_delta_is_omitted() {
    let mut answers = generate_fleet(FleetSize::new(2, 14_000), 1);
    let first = accept(&answers, None).unwrap();
    for service in &mut answers.services.value {
        service.target_series.value[0].slots.value = 7;
    }
    let second = accept(&answers, Some(&first)).unwrap();
    let head = second.head().unwrap();
    assert_eq!((head.version.number, head.base), (2, VersionId::NONE));
    assert!(!second.values.contains_key(&delta_key(head.version)));
    assert!(second.values.values().all(|value| value.len() < VALUE_LIMIT_BYTES));
}

/// A fleet of the required size must fit into the published values.
#[test]
fn required_fleet_is_accepted() {
    let yaml = generate_fleet(FleetSize::new(1_600, 15_000), 42).to_yaml();
    let answers = parse(&yaml);
    let first = accept(&answers, None).unwrap();
    let snapshot = first.snapshot().unwrap();
    assert_eq!(snapshot.services().count(), 1_600);
    assert_eq!(snapshot.services().map(|service| service.targets.len()).sum::<usize>(), 15_000);
    let regions = &snapshot.fleet().regions;
    let data_centres: BTreeSet<&String> =
        regions.iter().flat_map(|region| &region.data_centres).collect();
    assert_eq!((regions.len(), data_centres.len()), (6, 13));
    assert!(first.values.values().all(|value| value.len() < VALUE_LIMIT_BYTES));
    let mut changed = answers.clone();
    changed.services.value[9].queue_limit.value += 1;
    let second = accept(&changed, Some(&first)).unwrap();
    let delta = &second.values[&delta_key(second.version().unwrap())];
    assert!(delta.len() < 10_000, "one changed service costs {} bytes", delta.len());
    let lines = describe_changes(&generate(&answers).unwrap(), &generate(&changed).unwrap());
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(encode_parts(&generate(&answers).unwrap()).len(), 1 + 80 + 2 * 1_600);
}
