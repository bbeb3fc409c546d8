//! The compiled configuration that calls are routed by.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::code::ResultCode;
use crate::config::{
    CallerClass, CallersPart, ConfigPart, FLEET_PART, FleetPart, PartName, RouteRule, ServicePart,
    TargetEntry, VALUE_LIMIT_BYTES,
};
use crate::delta::{PartContent, VersionDelta};
use crate::manifest::PartManifest;
use crate::patience::PatienceZone;
use crate::version::{PartHash, VersionId};

/// Why a version was rejected.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{code} in {part}: {reason}"))]
pub struct RejectReason {
    /// The numbered reason.
    pub code: ResultCode,
    /// The part at fault, or the version when no single part is.
    pub part: String,
    /// What is wrong with it.
    pub reason: String,
}

impl RejectReason {
    fn new(code: ResultCode, part: &str, reason: impl Into<String>) -> RejectReason {
        RejectReason { code, part: part.to_owned(), reason: reason.into() }
    }
}

/// A service with everything that a call to it needs.
#[derive(Debug)]
pub struct ServiceView {
    /// Routes and limits.
    pub part: ServicePart,
    /// The targets, ordered by name.
    pub targets: Vec<TargetEntry>,
}

impl ServiceView {
    /// The route for a call: the longest prefix of `path` among the routes of `method`.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteRule> {
        let matching = |rule: &&RouteRule| rule.method == method && scan_prefix(&rule.prefix, path);
        self.part.routes.iter().filter(matching).max_by_key(|rule| rule.prefix.len())
    }
}

/// Whether `prefix` covers `path` up to the end of a path segment.
fn scan_prefix(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?']),
        None => false,
    }
}

/// The caller classes of a tenant.
#[derive(Debug)]
pub struct TenantView {
    /// Time zone of the patience periods.
    pub zone: PatienceZone,
    /// The classes.
    pub part: CallersPart,
}

impl TenantView {
    /// The class called `name`.
    pub fn class(&self, name: &str) -> Option<&CallerClass> {
        self.part.classes.iter().find(|class| class.name == name)
    }
}

/// A version with all its parts, immutable. Versions share what did not change between them.
#[derive(Debug, Clone)]
pub struct ConfigSnapshot {
    version: VersionId,
    manifest: PartManifest,
    contents: FxHashMap<PartName, Arc<str>>,
    fleet: Arc<FleetPart>,
    tenants: FxHashMap<Arc<str>, Arc<TenantView>>,
    services: FxHashMap<Arc<str>, Arc<ServiceView>>,
}

impl ConfigSnapshot {
    /// Compiles `version` from all its parts. Fails with the first part at fault, in order of name, so
    /// that every node gives the same reason.
    pub fn new(
        version: VersionId,
        parts: impl IntoIterator<Item = PartContent>,
    ) -> Result<ConfigSnapshot, RejectReason> {
        let mut snapshot = ConfigSnapshot {
            version,
            manifest: PartManifest::new(),
            contents: FxHashMap::default(),
            fleet: Arc::new(empty_fleet()),
            tenants: FxHashMap::default(),
            services: FxHashMap::default(),
        };
        let mut changed: Vec<PartContent> = parts.into_iter().collect();
        changed.sort_by(|left, right| left.name.cmp(&right.name));
        snapshot.update(&changed, &[])?;
        snapshot.verify_digest(version)?;
        Ok(snapshot)
    }

    /// Compiles the version that `delta` leads to. Fails when the delta does not start at this
    /// version, does not lead to a newer one, or leads to an invalid one.
    pub fn with_delta(&self, delta: &VersionDelta) -> Result<ConfigSnapshot, RejectReason> {
        let label = delta.to.to_string();
        if delta.from != self.version {
            let reason = format!("the delta starts at {}, not {}", delta.from, self.version);
            return Err(RejectReason::new(ResultCode::DeltaBaseMismatch, &label, reason));
        }
        if delta.to <= self.version {
            let reason = format!("version {} is active", self.version);
            return Err(RejectReason::new(ResultCode::OlderVersion, &label, reason));
        }
        let mut snapshot = self.clone();
        snapshot.version = delta.to;
        snapshot.update(&delta.changed, &delta.removed)?;
        snapshot.verify_digest(delta.to)?;
        Ok(snapshot)
    }

    /// The version.
    pub fn version(&self) -> VersionId {
        self.version
    }

    /// The list of parts.
    pub fn manifest(&self) -> &PartManifest {
        &self.manifest
    }

    /// The published content of a part.
    pub fn content(&self, name: &str) -> Option<&Arc<str>> {
        self.contents.get(name)
    }

    /// Places and the distribution preference.
    pub fn fleet(&self) -> &FleetPart {
        &self.fleet
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceView>> {
        self.services.values()
    }

    /// The tenant called `name`.
    pub fn tenant(&self, name: &str) -> Option<&Arc<TenantView>> {
        self.tenants.get(name)
    }

    /// The class called `<tenant>/<class>` with its tenant.
    pub fn class(&self, label: &str) -> Option<(&Arc<TenantView>, &CallerClass)> {
        let (tenant, name) = label.split_once('/')?;
        let tenant = self.tenants.get(tenant)?;
        Some((tenant, tenant.class(name)?))
    }

    fn update(
        &mut self,
        changed: &[PartContent],
        removed: &[PartName],
    ) -> Result<(), RejectReason> {
        let mut touched: Vec<Arc<str>> = Vec::new();
        let mut tenants_touched = false;
        for part in changed {
            let parsed = decode_part(part)?;
            tenants_touched |= matches!(parsed, ConfigPart::Callers(_));
            self.insert(parsed, &mut touched)?;
            self.contents.insert(part.name.clone(), part.content.clone());
        }
        for name in removed {
            tenants_touched |= name.starts_with("callers/");
            self.remove(name, &mut touched);
        }
        let hashes: Vec<PartHash> = changed.iter().map(PartContent::hash).collect();
        let entries = changed.iter().map(|part| &part.name).zip(hashes);
        self.manifest.update(entries, removed.iter());
        if !self.contents.contains_key(FLEET_PART) {
            let reason = "every version has this part";
            return Err(RejectReason::new(ResultCode::PartMissing, FLEET_PART, reason));
        }
        // A class may be used by any service, so a changed tenant means checking them all.
        if tenants_touched {
            touched = self.services.keys().cloned().collect();
        }
        touched.sort_unstable();
        touched.dedup();
        touched.iter().try_for_each(|service| self.verify_service(service))
    }

    fn insert(
        &mut self,
        part: ConfigPart,
        touched: &mut Vec<Arc<str>>,
    ) -> Result<(), RejectReason> {
        match part {
            ConfigPart::Fleet(part) => self.fleet = Arc::new(part),
            ConfigPart::Callers(part) => {
                let zone = PatienceZone::scan(&part.zone).ok_or_else(|| {
                    let name = format!("callers/{}", part.tenant);
                    let reason = format!("{} is not a time zone", part.zone);
                    RejectReason::new(ResultCode::BadPart, &name, reason)
                })?;
                let tenant = part.tenant.as_str().into();
                self.tenants.insert(tenant, Arc::new(TenantView { zone, part }));
            }
            ConfigPart::Service(part) => {
                let name: Arc<str> = part.service.as_str().into();
                let targets = match self.services.get(&name) {
                    Some(view) => view.targets.clone(),
                    None => Vec::new(),
                };
                self.services.insert(name.clone(), Arc::new(ServiceView { part, targets }));
                touched.push(name);
            }
            ConfigPart::Targets(part) => {
                let name: Arc<str> = part.service.as_str().into();
                let mut targets = part.targets;
                targets.sort_by(|left, right| left.name.cmp(&right.name));
                let part = match self.services.get(&name) {
                    Some(view) => view.part.clone(),
                    None => empty_service(&name),
                };
                self.services.insert(name.clone(), Arc::new(ServiceView { part, targets }));
                touched.push(name);
            }
        }
        Ok(())
    }

    fn remove(&mut self, name: &str, touched: &mut Vec<Arc<str>>) {
        self.contents.remove(name);
        let Some((kind, label)) = name.split_once('/') else { return };
        match kind {
            "callers" => {
                self.tenants.remove(label);
            }
            // The other part of the service has to go with it; `verify_service` sees to that.
            "service" | "targets" => touched.push(label.into()),
            _ => (),
        }
    }

    /// Checks that a service has both its parts and that its routes name classes that exist.
    fn verify_service(&mut self, service: &Arc<str>) -> Result<(), RejectReason> {
        let routes_name = format!("service/{service}");
        let targets_name = format!("targets/{service}");
        let has_routes = self.contents.contains_key(routes_name.as_str());
        let has_targets = self.contents.contains_key(targets_name.as_str());
        match (has_routes, has_targets) {
            (true, true) => self.verify_routes(service, &routes_name),
            (false, false) => {
                self.services.remove(service);
                Ok(())
            }
            (true, false) => {
                let reason = format!("{targets_name} is absent");
                Err(RejectReason::new(ResultCode::RouteWithoutResource, &routes_name, reason))
            }
            (false, true) => {
                let reason = format!("{routes_name} is absent");
                Err(RejectReason::new(ResultCode::RouteWithoutResource, &targets_name, reason))
            }
        }
    }

    fn verify_routes(&self, service: &str, name: &str) -> Result<(), RejectReason> {
        let Some(view) = self.services.get(service) else { return Ok(()) };
        let fail =
            |reason: String| Err(RejectReason::new(ResultCode::RouteWithoutResource, name, reason));
        if view.targets.is_empty() {
            return fail("the service has no targets".to_owned());
        }
        for rule in &view.part.routes {
            if rule.classes.is_empty() {
                return fail(format!("route {} {} has no class", rule.method, rule.prefix));
            }
            if let Some(label) = rule.classes.iter().find(|label| self.class(label).is_none()) {
                return fail(format!("class {label} does not exist"));
            }
        }
        Ok(())
    }

    fn verify_digest(&self, version: VersionId) -> Result<(), RejectReason> {
        let digest = self.manifest.digest();
        if digest == version.digest {
            return Ok(());
        }
        let reason = format!("the parts add up to digest {digest}");
        Err(RejectReason::new(ResultCode::HashMismatch, &version.to_string(), reason))
    }
}

fn decode_part(part: &PartContent) -> Result<ConfigPart, RejectReason> {
    if part.content.len() > VALUE_LIMIT_BYTES {
        let reason = format!("{} bytes", part.content.len());
        return Err(RejectReason::new(ResultCode::PartTooLarge, &part.name, reason));
    }
    ConfigPart::decode(&part.name, part.content.as_bytes())
        .map_err(|err| RejectReason::new(ResultCode::BadPart, &part.name, err.to_string()))
}

fn empty_fleet() -> FleetPart {
    FleetPart {
        deployment: String::new(),
        regions: Vec::new(),
        preference: Default::default(),
        link_delay_ms: 0,
        caller_delay_ms: 0,
    }
}

fn empty_service(name: &str) -> ServicePart {
    ServicePart {
        service: name.to_owned(),
        tenant: String::new(),
        routes: Vec::new(),
        queue_limit: 0,
        key_window_ms: 0,
        key_skew_ms: None,
    }
}
