//! Converts answers to configuration parts and published values.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use fescuestack_core::{
    BUNDLE_PARTS, CallerClass, CallersPart, ConfigPart, FleetPart, ManifestRecord, PartContent,
    PartHash, PartManifest, PatiencePeriod, RegionEntry, RouteRule, ServicePart, TargetEntry,
    TargetsPart, VALUE_LIMIT_BYTES, bucket_index, bundle_key, manifest_key, page_key, part_key,
};
use serde_saphyr::Spanned;

use crate::answers::{
    Answers, CallerOrigin, ClassAnswer, RouteAnswer, SeriesAnswer, ServiceAnswer, TargetAnswer,
};
use crate::artefact::ValueMap;
use crate::error::{Diagnostic, DiagnosticCode};

/// Maximum number of targets in a series. At about 70 bytes each, more would not fit into a published
/// value of 1 MB.
pub const MAX_SERIES_TARGETS: u32 = 15_000;

/// Generates the configuration parts from the answers, ordered by part name. The result is
/// deterministic. The answers must have passed [`check`](crate::check()).
pub fn generate(answers: &Answers) -> Result<Vec<ConfigPart>, Diagnostic> {
    let mut parts = vec![ConfigPart::Fleet(fleet_part(answers))];
    for tenant in &answers.tenants.value {
        parts.push(ConfigPart::Callers(CallersPart {
            tenant: tenant.name.value.clone(),
            zone: tenant.zone.value.clone(),
            classes: tenant.classes.value.iter().map(caller_class).collect(),
        }));
    }
    for service in &answers.services.value {
        parts.push(ConfigPart::Service(service_part(service)));
        parts.push(ConfigPart::Targets(targets_part(service)?));
    }
    parts.sort_by_key(ConfigPart::name);
    Ok(parts)
}

/// Encodes each part in its published form.
pub fn encode_parts(parts: &[ConfigPart]) -> Vec<PartContent> {
    let encode = |part: &ConfigPart| {
        let text = String::from_utf8(part.encode()).expect("JSON is UTF-8");
        PartContent::new(part.name(), text.into())
    };
    parts.iter().map(encode).collect()
}

/// Builds the manifest of `contents`.
pub fn build_manifest(contents: &[PartContent]) -> PartManifest {
    let mut manifest = PartManifest::new();
    let hashes = contents.iter().map(PartContent::hash);
    manifest.update(contents.iter().map(|part| &part.name).zip(hashes), std::iter::empty());
    manifest
}

/// Builds the published values of a version, except `head` and the delta.
pub fn build_values(contents: &[PartContent], manifest: &PartManifest) -> ValueMap {
    let mut values = ValueMap::new();
    for part in contents {
        values.insert(part_key(part.hash()), part.content.to_string());
    }
    let pages = manifest.bucket_digests().to_vec();
    for (index, digest) in pages.iter().enumerate() {
        let bucket = manifest.bucket(index).expect("each digest belongs to a bucket");
        values.insert(page_key(*digest), encode_json(bucket));
    }
    let bundles = build_bundles(contents, &pages);
    let bundled = bundles.iter().fold(0, |bitmap, (index, ..)| bitmap | 1 << index);
    values.extend(bundles.into_iter().map(|(_, key, content)| (key, content)));
    let record = ManifestRecord { pages, bundled };
    values.insert(manifest_key(manifest.digest()), encode_json(&record));
    values
}

/// Builds a bundle for each page with many parts and returns page index, key and content. A bundle
/// that would reach the size limit is omitted; nodes then read its parts individually.
fn build_bundles(contents: &[PartContent], pages: &[PartHash]) -> Vec<(usize, String, String)> {
    let mut buckets: Vec<BTreeMap<&str, &str>> = vec![BTreeMap::new(); pages.len()];
    for part in contents {
        buckets[bucket_index(&part.name)].insert(&part.name, &part.content);
    }
    let large_buckets = buckets.iter().enumerate().filter(|(_, parts)| parts.len() >= BUNDLE_PARTS);
    let bundles =
        large_buckets.map(|(index, parts)| (index, bundle_key(pages[index]), encode_json(parts)));
    bundles.filter(|(_, _, content)| content.len() < VALUE_LIMIT_BYTES).collect()
}

pub(crate) fn encode_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("published values hold only what JSON can express")
}

fn fleet_part(answers: &Answers) -> FleetPart {
    let regions = answers.regions.value.iter().map(|region| RegionEntry {
        name: region.name.value.clone(),
        data_centres: string_values(&region.data_centres),
    });
    FleetPart {
        deployment: answers.deployment.value.clone(),
        regions: regions.collect(),
        preference: answers.preference.value,
        link_delay_ms: answers.link_delay_ms.value,
        caller_delay_ms: answers.caller_delay_ms.value,
    }
}

fn string_values(list: &Spanned<Vec<Spanned<String>>>) -> Vec<String> {
    list.value.iter().map(|text| text.value.clone()).collect()
}

fn caller_class(class: &ClassAnswer) -> CallerClass {
    let patience = class.patience.value.iter().map(|period| PatiencePeriod {
        from_minute: period.from.value.minute(),
        to_minute: period.to.value.minute(),
        patience_ms: period.patience_ms.value,
    });
    CallerClass {
        name: class.name.value.clone(),
        internal: class.callers.value == CallerOrigin::Internal,
        patience: patience.collect(),
    }
}

fn service_part(service: &ServiceAnswer) -> ServicePart {
    ServicePart {
        service: service.name.value.clone(),
        tenant: service.tenant.value.clone(),
        routes: service.routes.value.iter().map(route_rule).collect(),
        queue_limit: service.queue_limit.value,
        key_window_ms: service.key_window_ms.value,
        key_skew_ms: service.key_clock_skew_ms.as_ref().map(|skew| skew.value),
    }
}

fn route_rule(route: &RouteAnswer) -> RouteRule {
    RouteRule {
        method: route.method.value.clone(),
        prefix: route.prefix.value.clone(),
        kind: route.kind.value,
        internal_only: route.internal_only.value,
        body_limit_bytes: route.body_limit_bytes.value,
        classes: string_values(&route.classes),
    }
}

fn targets_part(service: &ServiceAnswer) -> Result<TargetsPart, Diagnostic> {
    let mut targets: Vec<TargetEntry> = service.targets.value.iter().map(target_entry).collect();
    for series in &service.target_series.value {
        targets.extend(expand_series(series)?);
    }
    targets.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(TargetsPart { service: service.name.value.clone(), targets })
}

fn target_entry(target: &TargetAnswer) -> TargetEntry {
    TargetEntry {
        name: target.name.value.as_str().into(),
        data_centre: target.data_centre.value.as_str().into(),
        upstream: target.upstream.value,
        relay: target.relay.value,
        control: target.control.value,
        slots: target.slots.value,
        connections: target.connections.value,
    }
}

/// Expands a series into its targets. Fails on a count above the limit or an address out of range.
pub(crate) fn expand_series(series: &SeriesAnswer) -> Result<Vec<TargetEntry>, Diagnostic> {
    let count = series.count.value;
    if count > MAX_SERIES_TARGETS {
        let message = format!("a series of {count} targets; write at most {MAX_SERIES_TARGETS}");
        return Err(Diagnostic::new(
            DiagnosticCode::TooManyTargets,
            series.count.referenced,
            message,
        ));
    }
    if series.over.value.is_empty() {
        return Ok(Vec::new());
    }
    let data_centres: Vec<Arc<str>> =
        series.over.value.iter().map(|name| name.value.as_str().into()).collect();
    (0..count).map(|index| series_target(series, &data_centres, index)).collect()
}

fn series_target(
    series: &SeriesAnswer,
    data_centres: &[Arc<str>],
    index: u32,
) -> Result<TargetEntry, Diagnostic> {
    let base = series.base.value;
    let address = |port: u32| {
        let ip = offset_ip(base.ip(), u64::from(index) * u64::from(series.address_step.value))?;
        let offset = u64::from(index) * u64::from(series.port_step.value) + u64::from(port);
        let port = u16::try_from(u64::from(base.port()) + offset).ok()?;
        Some(SocketAddr::new(ip, port))
    };
    let addresses = address(0).zip(address(1)).zip(address(2));
    let Some(((upstream, relay), control)) = addresses else {
        let message = format!(
            "the address of target {} of the series is out of range; write a lower base, count or \
             step",
            index + 1
        );
        return Err(Diagnostic::new(DiagnosticCode::BadAddress, series.base.referenced, message));
    };
    Ok(TargetEntry {
        name: format!("{}-{}", series.prefix.value, index + 1).into(),
        data_centre: data_centres[index as usize % data_centres.len()].clone(),
        upstream,
        relay,
        control,
        slots: series.slots.value,
        connections: series.connections.value,
    })
}

fn offset_ip(ip: IpAddr, offset: u64) -> Option<IpAddr> {
    match ip {
        IpAddr::V4(ip) => {
            let sum = u64::from(u32::from(ip)).checked_add(offset)?;
            Some(IpAddr::V4(u32::try_from(sum).ok()?.into()))
        }
        IpAddr::V6(ip) => Some(IpAddr::V6(u128::from(ip).checked_add(offset.into())?.into())),
    }
}
