//! From answers to the routes of a node that runs on the users' platform.
//!
//! The platform's form has fewer questions than the questionnaire. What it cannot say is listed, with the
//! place of the answer, so that operators know what will not be in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, RouteKind};
use fescuestack_routing::{
    ClientLimits, RequestKind, RouteRule, RouteTable, ServiceRule, WeightedService,
};
use serde_saphyr::Location;

use crate::answers::{Answers, RouteAnswer, ServiceAnswer};

/// Longest head that a client may send, in bytes: twice what common clients and proxies send at most.
const HEAD_BYTES: usize = 16 * 1024;

/// Longest time for a head, as on the project's own caller ports.
const HEAD_TIME: ClockSpan = ClockSpan::new(10_000);

/// How long an unused connection is kept, as on the project's own caller ports.
const IDLE_TIME: ClockSpan = ClockSpan::new(60_000);

/// Most targets for a request that may be repeated.
const REPEAT_ATTEMPTS: u32 = 3;

/// Most targets for one that may not: a second one after one that has not run it.
const SINGLE_ATTEMPTS: u32 = 2;

/// Urgency of requests that must not get lost, and of calls that a target makes while it runs another.
const URGENT_RANK: u8 = 1;

/// Urgency of all others.
const COMMON_RANK: u8 = 2;

/// An answer that the platform's form cannot express.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OmittedAnswer {
    /// Line of the answer, counted from 1.
    pub line: u64,
    /// What will not be in force, and what holds instead.
    pub message: String,
}

/// The routes that the answers ask for, as the operators' version `version`, and what is left out. The
/// answers have to be free of faults.
pub fn build_route_table(answers: &Answers, version: u64) -> (RouteTable, Vec<OmittedAnswer>) {
    let mut draft = RouteDraft { answers, omitted: Vec::new() };
    let routes = || answers.services.value.iter().flat_map(|service| &service.routes.value);
    let largest = routes().map(|route| route.body_limit_bytes.value).max().unwrap_or(0);
    let limits = ClientLimits {
        max_head_bytes: HEAD_BYTES,
        max_body_bytes: largest,
        head_timeout: HEAD_TIME,
        idle_timeout: IDLE_TIME,
    };
    let mut table = RouteTable::new(version, limits);
    for service in &answers.services.value {
        table = draft.add_service(table, service);
    }
    for route in routes().filter(|route| route.body_limit_bytes.value < largest) {
        let (own, place) = (route.body_limit_bytes.value, route.body_limit_bytes.referenced);
        let prefix = &route.prefix.value;
        draft.omit(place, format!("body limit of {own} bytes at {prefix}; {largest} hold for all"));
    }
    draft.omitted.sort_by_key(|omitted| omitted.line);
    (table, draft.omitted)
}

struct RouteDraft<'a> {
    answers: &'a Answers,
    omitted: Vec<OmittedAnswer>,
}

impl RouteDraft<'_> {
    fn add_service(&mut self, mut table: RouteTable, service: &ServiceAnswer) -> RouteTable {
        let name: Arc<str> = service.name.value.as_str().into();
        let rule = ServiceRule { max_connections: connections(service) };
        table = table.with_service(name.clone(), rule);
        self.omit(
            service.queue_limit.referenced,
            format!("queue limit of {name}; nodes bound their queues by the time that is left"),
        );
        self.omit(
            service.key_window_ms.referenced,
            format!(
                "idempotency keys of {name}; requests that may not be repeated run at most once"
            ),
        );
        let mut by_prefix: BTreeMap<String, Vec<&RouteAnswer>> = BTreeMap::new();
        for route in &service.routes.value {
            by_prefix.entry(with_slashes(&route.prefix.value)).or_default().push(route);
        }
        for (prefix, routes) in by_prefix {
            table = table.with_route(&name, self.route(&name, prefix, &routes));
        }
        table
    }

    fn route(&mut self, service: &Arc<str>, prefix: String, routes: &[&RouteAnswer]) -> RouteRule {
        let kind = strictest_kind(routes);
        for route in routes {
            if repeat_kind(route.kind.value) != kind {
                let (method, own) = (&route.method.value, &route.prefix.value);
                self.omit(
                    route.may_repeat.referenced,
                    format!(
                        "repeats of {method} {own}; another method of this prefix forbids them"
                    ),
                );
            }
            self.omit_route(route);
        }
        let (aim, timeout) = self.times(routes);
        let urgent = !kind.is_idempotent() || routes.iter().any(|route| route.internal_only.value);
        let attempts = if kind.is_idempotent() { REPEAT_ATTEMPTS } else { SINGLE_ATTEMPTS };
        let name = format!("{service}{prefix}");
        RouteRule::new(name.into(), prefix.into(), kind)
            .with_times(aim, timeout)
            .with_limits(if urgent { URGENT_RANK } else { COMMON_RANK }, attempts)
            .with_split(vec![WeightedService { service: service.clone(), weight: 1 }])
    }

    fn omit_route(&mut self, route: &RouteAnswer) {
        let (method, prefix) = (&route.method.value, &route.prefix.value);
        self.omit(
            route.method.referenced,
            format!("method {method} of {prefix}; all methods are forwarded"),
        );
        if !prefix.ends_with('/') {
            self.omit(
                route.prefix.referenced,
                format!("path {prefix} itself; only paths below {prefix}/ have a route"),
            );
        }
        if route.internal_only.value {
            self.omit(
                route.internal_only.referenced,
                format!("{prefix} for services of the mesh only; every client may call it"),
            );
        }
        if self.periods(route).count() > 1 {
            self.omit(
                route.classes.referenced,
                format!(
                    "patience of {prefix} by hour and class; its shortest is the aim, its longest \
                     the time-out"
                ),
            );
        }
    }

    /// The shortest and the longest patience of the callers. A client's own deadline shortens the
    /// time-out further.
    fn times(&self, routes: &[&RouteAnswer]) -> (ClockSpan, ClockSpan) {
        let all = || routes.iter().flat_map(|route| self.periods(route));
        let span = |patience: Option<u64>| ClockSpan::new(patience.unwrap_or(0));
        (span(all().min()), span(all().max()))
    }

    /// The patience in ms of each period of each class of a route.
    fn periods<'b>(&'b self, route: &'b RouteAnswer) -> impl Iterator<Item = u64> + 'b {
        let names = route.classes.value.iter().filter_map(|name| name.value.split_once('/'));
        names.flat_map(|(tenant, class)| {
            let tenants = self.answers.tenants.value.iter();
            let classes = tenants
                .filter(move |known| known.name.value == tenant)
                .flat_map(|known| &known.classes.value);
            let periods = classes
                .filter(move |known| known.name.value == class)
                .flat_map(|known| &known.patience.value);
            periods.map(|period| period.patience_ms.value)
        })
    }

    fn omit(&mut self, place: Location, message: String) {
        self.omitted.push(OmittedAnswer { line: place.line(), message });
    }
}

fn repeat_kind(kind: RouteKind) -> RequestKind {
    match kind {
        RouteKind::Lookup | RouteKind::Search => RequestKind::Idempotent,
        RouteKind::Submit => RequestKind::NonIdempotent,
        RouteKind::Upload => RequestKind::Upload,
    }
}

/// The kind that is safe for all routes of a prefix, whose methods the platform does not tell apart.
fn strictest_kind(routes: &[&RouteAnswer]) -> RequestKind {
    let kinds = || routes.iter().map(|route| repeat_kind(route.kind.value));
    if kinds().any(|kind| kind == RequestKind::Upload) {
        RequestKind::Upload
    } else if kinds().any(|kind| kind == RequestKind::NonIdempotent) {
        RequestKind::NonIdempotent
    } else {
        RequestKind::Idempotent
    }
}

/// The fewest connections that a target of the service accepts.
fn connections(service: &ServiceAnswer) -> u32 {
    let listed = service.targets.value.iter().map(|target| target.connections.value);
    let series = service.target_series.value.iter().map(|series| series.connections.value);
    listed.chain(series).min().unwrap_or(1)
}

/// The platform's prefixes have a slash at both ends.
fn with_slashes(prefix: &str) -> String {
    if prefix.ends_with('/') { prefix.to_owned() } else { format!("{prefix}/") }
}
