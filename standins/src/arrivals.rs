//! Plan of a load: which request arrives when, drawn from a seed before any is sent.

use std::net::SocketAddr;

use fescuestack_core::{ClockTime, ConfigSnapshot, RouteKind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// A kind of request in the mix, with the callers that send it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadClass {
    /// Name in the report.
    pub label: String,
    /// Share of the arrivals, relative to the other classes.
    pub weight: f64,
    /// Service that is called.
    pub service: String,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path. Each `{n}` is replaced by the number of the request.
    pub path: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Caller class, as `<tenant>/<class>`.
    pub caller_class: String,
    /// How long the callers wait, in milliseconds.
    pub patience_ms: u64,
    /// Whether each request has an idempotency key.
    pub has_key: bool,
    /// How often an unanswered request is sent again with the same key.
    pub resends: u32,
    /// Size of the request's body, in bytes.
    pub body_bytes: usize,
    /// Whether the request crashes the upstream that runs it.
    pub is_poison: bool,
}

/// Where a service can be called.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The only service that the address serves, or `None` for a node's caller port.
    pub service: Option<String>,
    /// The address.
    pub address: SocketAddr,
}

/// A set of addresses that are compared with the other sets in the same run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadPath {
    /// Name in the report.
    pub label: String,
    /// Share of the arrivals, relative to the other paths.
    pub weight: f64,
    /// The addresses, of which each request takes one at random.
    pub entries: Vec<LoadEntry>,
}

/// Settings of a load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadSettings {
    /// Seed of arrivals, classes and addresses.
    pub seed: u64,
    /// Mean arrivals per second over all paths.
    pub rate: f64,
    /// Time in which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Most requests of the load.
    pub count_limit: u64,
    /// Most requests that are unanswered at the same time; further arrivals are counted as skipped.
    pub open_limit: usize,
    /// Pause before an unanswered request is sent again, in milliseconds.
    pub resend_pause_ms: u64,
    /// Time after the load in which upstreams may finish their runs, in milliseconds.
    pub settle_ms: u64,
    /// The sets of addresses.
    pub paths: Vec<LoadPath>,
    /// The mix of requests.
    pub classes: Vec<LoadClass>,
}

impl LoadSettings {
    /// Settings of a load of `rate` requests per second for `duration_ms`.
    pub fn new(seed: u64, rate: f64, duration_ms: u64) -> LoadSettings {
        LoadSettings {
            seed,
            rate,
            duration_ms,
            count_limit: 500_000,
            open_limit: 4_000,
            resend_pause_ms: 50,
            settle_ms: 500,
            paths: Vec::new(),
            classes: Vec::new(),
        }
    }
}

impl LoadClass {
    /// A class of lookups without a key, for services that the caller reaches without a class.
    pub fn new(label: &str, service: &str, kind: RouteKind) -> LoadClass {
        let (method, body_bytes) = match kind {
            RouteKind::Lookup | RouteKind::Search => ("GET", 0),
            RouteKind::Submit => ("POST", 200),
            RouteKind::Upload => ("PUT", 64 * 1024),
        };
        LoadClass {
            label: label.to_owned(),
            weight: 1.0,
            service: service.to_owned(),
            method: method.to_owned(),
            path: format!("/{}/{{n}}", kind.label()),
            kind,
            caller_class: String::new(),
            patience_ms: 2_000,
            has_key: !kind.is_idempotent(),
            resends: 0,
            body_bytes,
            is_poison: false,
        }
    }

    /// The classes that the routes of `snapshot` name, with the patience that applies at `now`.
    /// Routes and classes of internal callers are left out unless `with_internal` is set.
    pub fn from_snapshot(
        snapshot: &ConfigSnapshot,
        now: ClockTime,
        with_internal: bool,
    ) -> Vec<LoadClass> {
        let mut classes = Vec::new();
        for view in snapshot.services() {
            for rule in view.part.routes.iter().filter(|rule| with_internal || !rule.internal_only)
            {
                for name in &rule.classes {
                    let Some((tenant, class)) = snapshot.class(name) else { continue };
                    if class.internal && !with_internal {
                        continue;
                    }
                    let Some(patience) = class.patience(tenant.zone, now) else { continue };
                    let label = format!("{} {} {}", view.part.service, rule.prefix, name);
                    let template = LoadClass::new(&label, &view.part.service, rule.kind);
                    classes.push(LoadClass {
                        weight: kind_weight(rule.kind),
                        method: rule.method.clone(),
                        path: format!("{}/{{n}}", rule.prefix.trim_end_matches('/')),
                        caller_class: name.clone(),
                        patience_ms: patience.millis(),
                        resends: u32::from(!rule.kind.is_idempotent()),
                        body_bytes: template.body_bytes.min(rule.body_limit_bytes as usize),
                        ..template
                    });
                }
            }
        }
        classes.sort_by(|left, right| left.label.cmp(&right.label));
        classes
    }
}

/// Shares of the kinds in a mix derived from a configuration: mostly reads.
fn kind_weight(kind: RouteKind) -> f64 {
    match kind {
        RouteKind::Lookup => 80.0,
        RouteKind::Search => 1.0,
        RouteKind::Submit => 15.0,
        RouteKind::Upload => 4.0,
    }
}

/// A request in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledArrival {
    /// Number of the request, from zero.
    pub number: u64,
    /// When the request is due after the start of the load, in microseconds.
    pub due_us: u64,
    /// Index of its class.
    pub class: usize,
    /// Index of its path.
    pub path: usize,
    /// Where it is sent.
    pub address: SocketAddr,
}

/// Iterator over the planned requests of a load, a Poisson process.
#[derive(Debug)]
pub struct ArrivalSchedule<'a> {
    settings: &'a LoadSettings,
    rng: Pcg64,
    due_us: f64,
    number: u64,
}

impl<'a> ArrivalSchedule<'a> {
    /// Creates the plan of `settings`.
    pub fn new(settings: &'a LoadSettings) -> ArrivalSchedule<'a> {
        ArrivalSchedule {
            settings,
            rng: Pcg64::seed_from_u64(settings.seed),
            due_us: 0.0,
            number: 0,
        }
    }

    fn draw_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> Option<usize> {
        let mut left = self.rng.random::<f64>() * weights.clone().sum::<f64>();
        let mut last = None;
        for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
            last = Some(index);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

impl Iterator for ArrivalSchedule<'_> {
    type Item = ScheduledArrival;

    /// The next request. Ends at the time or count limit, or when no address serves a drawn class.
    fn next(&mut self) -> Option<ScheduledArrival> {
        let settings = self.settings;
        // 1 − u lies in (0, 1], so the logarithm is finite.
        let draw: f64 = 1.0 - self.rng.random::<f64>();
        self.due_us += -draw.ln() / settings.rate * 1e6;
        if self.number == settings.count_limit || self.due_us >= settings.duration_ms as f64 * 1e3 {
            return None;
        }
        let class = self.draw_index(settings.classes.iter().map(|class| class.weight))?;
        let path = self.draw_index(settings.paths.iter().map(|path| path.weight))?;
        let service = &settings.classes[class].service;
        let has_service =
            |entry: &&LoadEntry| entry.service.as_ref().is_none_or(|name| name == service);
        let entries: Vec<&LoadEntry> =
            settings.paths[path].entries.iter().filter(has_service).collect();
        if entries.is_empty() {
            return None;
        }
        let address = entries[self.rng.random_range(0..entries.len())].address;
        let number = self.number;
        self.number += 1;
        Some(ScheduledArrival { number, due_us: self.due_us as u64, class, path, address })
    }
}
