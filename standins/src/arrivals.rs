//! Arrival schedule of a load: a Poisson process and a request mix drawn from a seed, independent of
//! the answers.

use std::net::SocketAddr;

use fescuestack_core::{ClockTime, ConfigSnapshot, RouteKind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// A class of requests in the mix and the callers that send them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadClass {
    /// Name in the report.
    pub label: String,
    /// Share of the arrivals, relative to the other classes.
    pub weight: f64,
    /// Service to call.
    pub service: String,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path template. Each `{n}` is replaced by the number of the request.
    pub path: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Caller class, as `<tenant>/<class>`.
    pub caller_class: String,
    /// Time that the callers wait for an answer, in milliseconds.
    pub patience_ms: u64,
    /// Whether requests carry an idempotency key.
    pub has_key: bool,
    /// Number of times that a request without a successful answer is sent again with the same key.
    pub resends: u32,
    /// Size of the request body, in bytes.
    pub body_bytes: usize,
    /// Whether the requests crash the upstream that runs them.
    pub is_poison: bool,
}

/// An address to which requests are sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The only service behind the address, or `None` for the caller port of a node.
    pub service: Option<String>,
    /// Address of the node or upstream.
    pub address: SocketAddr,
}

/// A set of addresses. The paths of a load are compared with each other in the same run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadPath {
    /// Name in the report.
    pub label: String,
    /// Share of the arrivals, relative to the other paths.
    pub weight: f64,
    /// The addresses, one of which is chosen at random for each request.
    pub entries: Vec<LoadEntry>,
}

/// Settings of a load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadSettings {
    /// Seed for arrival times, classes, paths and addresses.
    pub seed: u64,
    /// Mean number of arrivals per second over all paths.
    pub rate: f64,
    /// Duration of the arrivals, in milliseconds.
    pub duration_ms: u64,
    /// Maximum number of requests in the load.
    pub count_limit: u64,
    /// Maximum number of concurrent requests. Arrivals beyond it are skipped and counted.
    pub open_limit: usize,
    /// Pause before a request is sent again, in milliseconds.
    pub resend_pause_ms: u64,
    /// Time after the last answer in which upstreams may finish their runs, in milliseconds.
    pub settle_ms: u64,
    /// The paths over which requests are sent.
    pub paths: Vec<LoadPath>,
    /// The request mix.
    pub classes: Vec<LoadClass>,
}

impl LoadSettings {
    /// Creates settings for `rate` requests per second over `duration_ms`, without paths and classes.
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
    /// Creates a class with the defaults of a route kind and without a caller class. Requests of kinds
    /// that are not idempotent carry a key.
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

    /// Derives the classes from the routes in `snapshot`, with the patience that applies at `now`.
    /// Routes and classes of internal callers are included only if `with_internal` is set.
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

/// Relative shares of the route kinds in a mix derived from a configuration. Most requests are reads.
fn kind_weight(kind: RouteKind) -> f64 {
    match kind {
        RouteKind::Lookup => 80.0,
        RouteKind::Search => 1.0,
        RouteKind::Submit => 15.0,
        RouteKind::Upload => 4.0,
    }
}

/// A request in the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledArrival {
    /// Number of the request, starting at zero.
    pub number: u64,
    /// Arrival time after the start of the load, in microseconds.
    pub due_us: u64,
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the path in the settings.
    pub path: usize,
    /// Address to which the request is sent.
    pub address: SocketAddr,
}

/// Iterator over the requests of a load, whose arrivals form a Poisson process.
#[derive(Debug)]
pub struct ArrivalSchedule<'a> {
    settings: &'a LoadSettings,
    rng: Pcg64,
    due_us: f64,
    number: u64,
}

impl<'a> ArrivalSchedule<'a> {
    /// Creates the schedule of a load.
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

    /// Returns the next request. Ends at the duration or count limit, or if the drawn path has no address
    /// for the service of the drawn class.
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
