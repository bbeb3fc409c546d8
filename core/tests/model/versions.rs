//! The versions of the model as parts.

use std::collections::BTreeMap;

use fescuestack_core::{
    CallerClass, CallersPart, ConfigPart, FleetPart, HEAD_KEY, HeadRecord, ManifestRecord,
    PartContent, PartManifest, PatiencePeriod, PeerAddress, RegionEntry, RouteKind, RouteRule,
    ServicePart, SpreadPreference, TargetEntry, TargetsPart, VersionDelta, VersionId, delta_key,
    manifest_key, page_key, part_key,
};

pub const DATA_CENTRE: &str = "dc";

/// The greatest version of the model.
const NEWEST: usize = 3;

/// Identifiers and contents of the model's versions; index 0 is none.
pub struct VersionSet {
    clash: bool,
    nodes: Vec<PeerAddress>,
    ids: Vec<VersionId>,
    queue_limits: Vec<u32>,
}

impl VersionSet {
    pub fn new(clash: bool, nodes: &[PeerAddress]) -> VersionSet {
        let (ids, queue_limits) = (vec![VersionId::NONE], vec![0]);
        let mut set = VersionSet { clash, nodes: nodes.to_vec(), ids, queue_limits };
        for version in 1..=NEWEST {
            let number = if clash && version == 3 { 2 } else { version as u64 };
            // The model's order has to be that of the digests, also where numbers are the same.
            let id = |limit| {
                let contents = set.mixed(version, set.targets(version), limit);
                VersionId::new(number, manifest(&contents).digest())
            };
            let limit = (1..).find(|limit| id(*limit) > set.ids[version - 1]).unwrap();
            let id = id(limit);
            set.ids.push(id);
            set.queue_limits.push(limit);
        }
        set
    }

    pub fn id(&self, version: usize) -> VersionId {
        self.ids[version]
    }

    pub fn is_bad(&self, version: usize) -> bool {
        version != 0 && self.targets(version) != version
    }

    /// The version that the published delta of `version` starts from.
    pub fn base(&self, version: usize) -> usize {
        if self.clash && version == 3 { 1 } else { version.saturating_sub(1) }
    }

    /// The resource that the targets of `version` hold.
    pub fn targets(&self, version: usize) -> usize {
        if !self.clash && version == 3 { 2 } else { version }
    }

    pub fn contents(&self, version: usize) -> Vec<PartContent> {
        self.mixed(version, self.targets(version), self.queue_limits[version])
    }

    /// Contents with routes and targets of possibly different versions. The resource that a route
    /// needs is a caller class here.
    fn mixed(&self, routes: usize, targets: usize, queue_limit: u32) -> Vec<PartContent> {
        let region = RegionEntry { name: "r".into(), data_centres: vec![DATA_CENTRE.into()] };
        let fleet = FleetPart {
            deployment: "model".into(),
            regions: vec![region],
            preference: SpreadPreference::Convergence,
            link_delay_ms: 1,
            caller_delay_ms: 1,
        };
        let patience = PatiencePeriod { from_minute: 0, to_minute: 0, patience_ms: 500 };
        let class = CallerClass {
            name: format!("class-{targets}"),
            internal: false,
            patience: vec![patience],
        };
        let callers =
            CallersPart { tenant: "team".into(), zone: "UTC".into(), classes: vec![class] };
        let route = RouteRule {
            method: "GET".into(),
            prefix: "/".into(),
            kind: RouteKind::Lookup,
            internal_only: false,
            body_limit_bytes: 0,
            classes: vec![format!("team/class-{routes}")],
        };
        let service = ServicePart {
            service: "shop".into(),
            tenant: "team".into(),
            routes: vec![route],
            queue_limit,
            key_window_ms: 1_000,
            key_skew_ms: None,
        };
        let entries = self.nodes.iter().map(target_entry).collect();
        let targets = TargetsPart { service: "shop".into(), targets: entries };
        let parts = [
            ConfigPart::Callers(callers),
            ConfigPart::Fleet(fleet),
            ConfigPart::Service(service),
            ConfigPart::Targets(targets),
        ];
        let encode = |part: &ConfigPart| {
            let text = String::from_utf8(part.encode()).unwrap();
            PartContent::new(part.name(), text.into())
        };
        parts.iter().map(encode).collect()
    }

    /// The change from `from` to `to`.
    pub fn delta(&self, from: usize, to: usize) -> VersionDelta {
        self.change(from, to, self.contents(to))
    }

    /// A change that claims to lead to `to` and carries routes and targets of other versions.
    pub fn mixed_delta(
        &self,
        from: usize,
        to: usize,
        routes: usize,
        targets: usize,
    ) -> VersionDelta {
        let limit = self.queue_limits[routes];
        self.change(from, to, self.mixed(routes, targets, limit))
    }

    fn change(&self, from: usize, to: usize, contents: Vec<PartContent>) -> VersionDelta {
        let held = if from == 0 { Vec::new() } else { self.contents(from) };
        let changed = contents.into_iter().filter(|part| !held.contains(part)).collect();
        VersionDelta { from: self.id(from), to: self.id(to), changed, removed: Vec::new() }
    }

    pub fn head(&self, version: usize) -> String {
        let base = self.id(self.base(version));
        serde_json::to_string(&HeadRecord { version: self.id(version), base }).unwrap()
    }

    /// What the platform holds once `head` is at `version`, with the values of all earlier ones.
    pub fn published(&self, version: usize, accepted: usize) -> BTreeMap<String, String> {
        let mut values = BTreeMap::from([(HEAD_KEY.to_owned(), self.head(version))]);
        for version in 1..=accepted {
            let contents = self.contents(version);
            let manifest = manifest(&contents);
            let pages = manifest.bucket_digests().to_vec();
            for (index, page) in pages.iter().enumerate() {
                let bucket = serde_json::to_string(manifest.bucket(index).unwrap()).unwrap();
                values.insert(page_key(*page), bucket);
            }
            let record = serde_json::to_string(&ManifestRecord { pages, bundled: 0 }).unwrap();
            values.insert(manifest_key(manifest.digest()), record);
            for part in &contents {
                values.insert(part_key(part.hash()), part.content.to_string());
            }
            if version > 1 {
                let delta = serde_json::to_string(&self.delta(self.base(version), version));
                values.insert(delta_key(self.id(version)), delta.unwrap());
            }
        }
        values
    }
}

fn target_entry(peer: &PeerAddress) -> TargetEntry {
    let mut upstream = peer.control;
    upstream.set_port(peer.control.port() + 100);
    let mut relay = peer.control;
    relay.set_port(peer.control.port() + 200);
    TargetEntry {
        name: peer.name.clone(),
        data_centre: peer.data_centre.clone(),
        upstream,
        relay,
        control: peer.control,
        slots: 6,
        connections: 120,
    }
}

fn manifest(contents: &[PartContent]) -> PartManifest {
    let mut manifest = PartManifest::new();
    let hashes = contents.iter().map(PartContent::hash);
    manifest.update(contents.iter().map(|part| &part.name).zip(hashes), std::iter::empty());
    manifest
}
