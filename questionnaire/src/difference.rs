//! Describes the differences between two configurations in plain sentences for operators.

use std::collections::BTreeMap;
use std::fmt::Display;

use fescuestack_core::{
    CallerClass, CallersPart, ConfigPart, FleetPart, PatiencePeriod, RouteRule, ServicePart,
    TargetEntry, TargetsPart,
};

/// Maximum number of targets listed by name in a sentence; of the others only the count is given.
const MAX_LISTED_TARGETS: usize = 5;

/// The parts of a configuration, indexed by the name of the tenant or service.
#[derive(Default)]
struct PartIndex<'a> {
    fleet: Option<&'a FleetPart>,
    tenants: BTreeMap<&'a str, &'a CallersPart>,
    services: BTreeMap<&'a str, &'a ServicePart>,
    targets: BTreeMap<&'a str, &'a TargetsPart>,
}

impl<'a> PartIndex<'a> {
    fn new(parts: &'a [ConfigPart]) -> PartIndex<'a> {
        let mut index = PartIndex::default();
        for part in parts {
            match part {
                ConfigPart::Fleet(part) => index.fleet = Some(part),
                ConfigPart::Callers(part) => {
                    index.tenants.insert(&part.tenant, part);
                }
                ConfigPart::Service(part) => {
                    index.services.insert(&part.service, part);
                }
                ConfigPart::Targets(part) => {
                    index.targets.insert(&part.service, part);
                }
            }
        }
        index
    }

    /// Returns the routes that list `class`, as `<service> <method> <prefix>`.
    fn routes_with_class(&self, class: &str) -> Vec<String> {
        let mut routes = Vec::new();
        for (service, part) in &self.services {
            for rule in
                part.routes.iter().filter(|rule| rule.classes.iter().any(|name| name == class))
            {
                routes.push(format!("{service} {}", route_label(rule)));
            }
        }
        routes
    }
}

/// Describes the changes from `old` to `new`, one sentence each; empty if nothing changes.
pub fn describe_changes(old: &[ConfigPart], new: &[ConfigPart]) -> Vec<String> {
    let (old, new) = (PartIndex::new(old), PartIndex::new(new));
    let mut lines = Vec::new();
    compare_fleets(&old, &new, &mut lines);
    compare_tenants(&old, &new, &mut lines);
    compare_services(&old, &new, &mut lines);
    lines
}

fn compare_fleets(old: &PartIndex<'_>, new: &PartIndex<'_>, lines: &mut Vec<String>) {
    let (Some(old), Some(new)) = (old.fleet, new.fleet) else { return };
    let mut compare_field = |what: &str, before: &dyn Display, after: &dyn Display| {
        let (before, after) = (before.to_string(), after.to_string());
        if before != after {
            lines.push(format!("Fleet: {what} changes from {before} to {after}."));
        }
    };
    compare_field("the deployment's name", &old.deployment, &new.deployment);
    let preference = |part: &FleetPart| format!("{:?}", part.preference).to_lowercase();
    compare_field("the distribution preference", &preference(old), &preference(new));
    compare_field("the delay between data centres in ms", &old.link_delay_ms, &new.link_delay_ms);
    compare_field("the delay to callers in ms", &old.caller_delay_ms, &new.caller_delay_ms);
    let (before, after) = (regions_by_data_centre(old), regions_by_data_centre(new));
    for (data_centre, region) in &after {
        match before.get(data_centre) {
            None => {
                lines.push(format!("Fleet: data centre {data_centre} is added in region {region}."))
            }
            Some(old_region) if old_region != region => {
                lines.push(format!(
                    "Fleet: data centre {data_centre} moves from {old_region} to {region}."
                ));
            }
            Some(_) => (),
        }
    }
    for data_centre in before.keys().filter(|data_centre| !after.contains_key(*data_centre)) {
        lines.push(format!("Fleet: data centre {data_centre} is removed."));
    }
}

/// Maps each data centre to its region.
fn regions_by_data_centre(fleet: &FleetPart) -> BTreeMap<&str, &str> {
    let pairs = fleet.regions.iter().flat_map(|region| {
        region.data_centres.iter().map(|data_centre| (data_centre.as_str(), region.name.as_str()))
    });
    pairs.collect()
}

fn compare_tenants(old: &PartIndex<'_>, new: &PartIndex<'_>, lines: &mut Vec<String>) {
    for (name, part) in &new.tenants {
        match old.tenants.get(name) {
            Some(before) => compare_tenant(before, part, new, lines),
            None => {
                let classes: Vec<&str> =
                    part.classes.iter().map(|class| class.name.as_str()).collect();
                let classes = join_or_none(&classes);
                lines.push(format!("Tenant {name} is added with caller classes {classes}."));
            }
        }
    }
    for name in old.tenants.keys().filter(|name| !new.tenants.contains_key(*name)) {
        lines.push(format!("Tenant {name} is removed with its caller classes."));
    }
}

fn compare_tenant(
    old: &CallersPart,
    new: &CallersPart,
    index: &PartIndex<'_>,
    lines: &mut Vec<String>,
) {
    let tenant = &new.tenant;
    if old.zone != new.zone {
        lines.push(format!(
            "Tenant {tenant}: the patience periods follow the clock of {} instead of {}.",
            new.zone, old.zone
        ));
    }
    for class in &new.classes {
        let label = format!("{tenant}/{}", class.name);
        match old.classes.iter().find(|other| other.name == class.name) {
            Some(before) => compare_class(&label, before, class, index, lines),
            None => lines
                .push(format!("Callers {label} are added; they wait {}.", format_patience(class))),
        }
    }
    let is_removed =
        |class: &&CallerClass| !new.classes.iter().any(|other| other.name == class.name);
    for class in old.classes.iter().filter(is_removed) {
        lines.push(format!("Callers {tenant}/{} are removed.", class.name));
    }
}

fn compare_class(
    label: &str,
    old: &CallerClass,
    new: &CallerClass,
    index: &PartIndex<'_>,
    lines: &mut Vec<String>,
) {
    if old.internal != new.internal {
        let origin = if new.internal { "internal services" } else { "outside callers" };
        lines.push(format!("Callers {label} are now {origin}."));
    }
    if old.patience != new.patience {
        let routes = index.routes_with_class(label);
        let routes: Vec<&str> = routes.iter().map(String::as_str).collect();
        lines.push(format!(
            "Callers {label} wait {} instead of {}; routes affected: {}.",
            format_patience(new),
            format_patience(old),
            join_or_none(&routes)
        ));
    }
}

fn format_patience(class: &CallerClass) -> String {
    let period = |period: &PatiencePeriod| {
        format!(
            "{} ms from {} to {}",
            period.patience_ms,
            format_minute(period.from_minute),
            format_minute(period.to_minute)
        )
    };
    let periods: Vec<String> = class.patience.iter().map(period).collect();
    periods.join(", ")
}

fn format_minute(minute: u16) -> String {
    format!("{:02}:{:02}", minute / 60, minute % 60)
}

fn compare_services(old: &PartIndex<'_>, new: &PartIndex<'_>, lines: &mut Vec<String>) {
    for (name, part) in &new.services {
        let targets = new.targets.get(name).map_or(&[][..], |part| &part.targets);
        match old.services.get(name) {
            Some(before) => {
                compare_service(before, part, lines);
                let old_targets = old.targets.get(name).map_or(&[][..], |part| &part.targets);
                compare_targets(name, old_targets, targets, lines);
            }
            None => lines.push(format!(
                "Service {name} of tenant {} is added with {} and {}.",
                part.tenant,
                pluralize(part.routes.len(), "route"),
                pluralize(targets.len(), "target")
            )),
        }
    }
    for name in old.services.keys().filter(|name| !new.services.contains_key(*name)) {
        lines.push(format!("Service {name} is removed; its callers get code 204."));
    }
}

fn compare_service(old: &ServicePart, new: &ServicePart, lines: &mut Vec<String>) {
    let name = &new.service;
    let mut compare_field = |what: &str, before: &dyn Display, after: &dyn Display| {
        let (before, after) = (before.to_string(), after.to_string());
        if before != after {
            lines.push(format!("Service {name}: {what} changes from {before} to {after}."));
        }
    };
    compare_field("the tenant", &old.tenant, &new.tenant);
    compare_field("the queue limit", &old.queue_limit, &new.queue_limit);
    compare_field("the key window in ms", &old.key_window_ms, &new.key_window_ms);
    let skew = |part: &ServicePart| part.key_skew_ms.map_or("none".to_owned(), |ms| ms.to_string());
    compare_field("the clock skew of keys in ms", &skew(old), &skew(new));
    let is_same_route = |left: &RouteRule, right: &RouteRule| {
        left.method == right.method && left.prefix == right.prefix
    };
    for rule in &new.routes {
        match old.routes.iter().find(|other| is_same_route(other, rule)) {
            Some(before) => compare_route(name, before, rule, lines),
            None => lines.push(format!(
                "Service {name}: route {} of kind {} is added for {}.",
                route_label(rule),
                rule.kind.label(),
                rule.classes.join(", ")
            )),
        }
    }
    for rule in
        old.routes.iter().filter(|rule| !new.routes.iter().any(|other| is_same_route(other, rule)))
    {
        lines.push(format!(
            "Service {name}: route {} is removed for {}.",
            route_label(rule),
            rule.classes.join(", ")
        ));
    }
}

fn compare_route(service: &str, old: &RouteRule, new: &RouteRule, lines: &mut Vec<String>) {
    let subject = format!("Service {service}: route {}", route_label(new));
    if old.kind != new.kind {
        let (before, after) = (old.kind.label(), new.kind.label());
        lines.push(format!("{subject} changes its kind from {before} to {after}."));
    }
    if old.internal_only != new.internal_only {
        let verb = if new.internal_only { "closes to" } else { "opens to" };
        lines.push(format!("{subject} {verb} outside callers."));
    }
    if old.body_limit_bytes != new.body_limit_bytes {
        let (before, after) = (old.body_limit_bytes, new.body_limit_bytes);
        lines.push(format!("{subject} takes bodies up to {after} bytes instead of {before}."));
    }
    if old.classes != new.classes {
        let (before, after) = (old.classes.join(", "), new.classes.join(", "));
        lines.push(format!("{subject} serves {after} instead of {before}."));
    }
}

fn compare_targets(
    service: &str,
    old: &[TargetEntry],
    new: &[TargetEntry],
    lines: &mut Vec<String>,
) {
    let before: BTreeMap<&str, &TargetEntry> =
        old.iter().map(|target| (&*target.name, target)).collect();
    let after: BTreeMap<&str, &TargetEntry> =
        new.iter().map(|target| (&*target.name, target)).collect();
    let is_added = |name: &&str| !before.contains_key(name);
    let is_removed = |name: &&str| !after.contains_key(name);
    let is_changed = |name: &&str| before.get(name).is_some_and(|entry| *entry != after[name]);
    let added: Vec<&str> = after.keys().copied().filter(is_added).collect();
    let removed: Vec<&str> = before.keys().copied().filter(is_removed).collect();
    let changed: Vec<&str> = after.keys().copied().filter(is_changed).collect();
    for (names, verb) in [(added, "added"), (removed, "removed"), (changed, "changed")] {
        if !names.is_empty() {
            let targets = pluralize(names.len(), "target");
            let names = join_limited(&names);
            lines.push(format!("Service {service}: {targets} {verb} ({names})."));
        }
    }
}

fn join_limited(names: &[&str]) -> String {
    if names.len() <= MAX_LISTED_TARGETS {
        return names.join(", ");
    }
    format!(
        "{} and {} others",
        names[..MAX_LISTED_TARGETS].join(", "),
        names.len() - MAX_LISTED_TARGETS
    )
}

fn route_label(rule: &RouteRule) -> String {
    format!("{} {}", rule.method, rule.prefix)
}

fn pluralize(count: usize, noun: &str) -> String {
    if count == 1 { format!("1 {noun}") } else { format!("{count} {noun}s") }
}

fn join_or_none(names: &[&str]) -> String {
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}
