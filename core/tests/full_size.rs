//! Distribution of a configuration as large as that of 1,600 services and 15,000 targets.

mod network;

use fescuestack_core::{
    CallerClass, CallersPart, ConfigPart, PatiencePeriod, PlatformFault, VersionId,
};
use network::FakeNetwork;

/// Parts of the full-size configuration: one for routes and one for targets of each service, and
/// the tenants.
const PART_COUNT: u32 = 3_280;

/// Time in which a version has to be in effect.
const EFFECT_LIMIT_MS: u64 = 7_000;

/// Versions accepted while the source is down: about ten minutes' worth.
const CHANGES_WHILE_DOWN: u64 = 600;

/// Tenants in place of services, so that the parts do not name thousands of nodes that do not run.
fn padding() -> Vec<ConfigPart> {
    padding_with(1_000)
}

fn padding_with(patience_ms: u64) -> Vec<ConfigPart> {
    let period = PatiencePeriod { from_minute: 0, to_minute: 0, patience_ms };
    let class = |index: u32| CallerClass {
        name: format!("class-{index}"),
        internal: false,
        patience: vec![period],
    };
    let part = |index: u32| CallersPart {
        tenant: format!("padding-{index}"),
        zone: "Europe/London".to_owned(),
        classes: (0..6).map(class).collect(),
    };
    (0..PART_COUNT).map(|index| ConfigPart::Callers(part(index))).collect()
}

/// Guards against transfers that take one round trip for every few parts: the nodes of a data centre
/// that start together have to have the whole configuration within the limit.
#[test]
fn data_centre_restarts_with_a_full_size_configuration() {
    let mut network = FakeNetwork::new(&[("a", 3), ("b", 3)], 5);
    let first = network.platform.head;
    network.run_until_installed(first, 20_000);
    let version = network.platform.publish(&padding());
    network.run_until_installed(version, 600_000);
    network.run(5_000);
    (0..3).for_each(|index| network.kill(index, false));
    (0..3).for_each(|index| network.start(index));
    let taken = network.run_until_installed(version, 600_000);
    assert!(taken <= EFFECT_LIMIT_MS, "the nodes were ready after {taken} ms");
}

/// Guards against a start of the whole fleet in which each reader takes one call to the platform for every
/// part. The readers keep to 20 calls a second, so that would take minutes.
#[test]
fn fleet_starts_with_a_full_size_configuration() {
    let mut network = FakeNetwork::new(&[("a", 3), ("b", 3)], 6);
    let first = network.platform.head;
    network.run_until_installed(first, 20_000);
    (0..6).for_each(|index| network.kill(index, false));
    network.platform.publish(&padding());
    let version = network.platform.publish(&padding());
    (0..6).for_each(|index| network.start(index));
    let taken = network.run_until_installed(version, 600_000);
    assert!(taken <= EFFECT_LIMIT_MS, "the nodes were ready after {taken} ms");
}

/// Guards against a source that comes back after a long outage and is read part by part.
#[test]
fn source_comes_back_with_many_changes() {
    let mut network = FakeNetwork::new(&[("a", 3), ("b", 3)], 7);
    let parts = padding();
    let first = network.platform.publish(&parts);
    network.run_until_installed(first, 600_000);
    network.platform.fault = Some(PlatformFault::Unreachable);
    network.run(20_000);
    let number = first.number + CHANGES_WHILE_DOWN;
    let version = network.platform.publish_as(number, VersionId::NONE, &padding_with(2_000));
    network.platform.fault = None;
    let taken = network.run_until_installed(version, 600_000);
    assert!(taken <= EFFECT_LIMIT_MS, "in effect after {taken} ms");
}
