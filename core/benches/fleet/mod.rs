//! Generated fleets for benches and examples.

#![allow(dead_code, reason = "each bench and example uses a part")]

use std::sync::Arc;

use fescuestack_core::{ConfigPart, ConfigSnapshot, PartContent, VersionDelta, VersionId};
use fescuestack_questionnaire::{
    FleetSize, build_manifest, encode_parts, generate, generate_fleet,
};

pub mod centre;

/// Services and targets of the measured fleets. The largest is the size in the requirements.
pub const FLEET_SIZES: [(u32, u32); 3] = [(100, 940), (400, 3_750), (1_600, 15_000)];

/// Seed of all generated fleets.
pub const FLEET_SEED: u64 = 11;

/// A fleet's first version.
#[derive(Debug, Clone)]
pub struct FleetSample {
    pub version: VersionId,
    pub parts: Vec<PartContent>,
}

impl FleetSample {
    pub fn new(services: u32, targets: u32) -> FleetSample {
        let answers = generate_fleet(FleetSize::new(services, targets), FLEET_SEED);
        let parts = encode_parts(&generate(&answers).expect("generated fleets have no faults"));
        let version = VersionId::new(1, build_manifest(&parts).digest());
        FleetSample { version, parts }
    }

    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot::new(self.version, self.parts.clone()).expect("generated fleets are valid")
    }

    /// A delta from `snapshot` that changes the slots of all targets of the service in the middle.
    pub fn delta(&self, snapshot: &ConfigSnapshot) -> VersionDelta {
        let targets: Vec<_> =
            self.parts.iter().filter(|part| part.name.starts_with("targets/")).collect();
        let name = &targets[targets.len() / 2].name;
        let content = snapshot.content(name).expect("each service has targets");
        let parsed = ConfigPart::decode(name, content.as_bytes()).expect("published parts parse");
        let ConfigPart::Targets(mut part) = parsed else { unreachable!("chosen by name") };
        part.targets.iter_mut().for_each(|target| target.slots += 1);
        let text = String::from_utf8(ConfigPart::Targets(part).encode()).expect("JSON is UTF-8");
        let changed = PartContent::new(name.clone(), Arc::from(text));
        let mut manifest = snapshot.manifest().clone();
        manifest.update([(name, changed.hash())].into_iter(), std::iter::empty());
        let from = snapshot.version();
        let to = VersionId::new(from.number + 1, manifest.digest());
        VersionDelta { from, to, changed: vec![changed], removed: Vec::new() }
    }
}
