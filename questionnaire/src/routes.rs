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
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Longest time for a head, as on the project's own caller ports.
const HEAD_TIMEOUT: ClockSpan = ClockSpan::new(10_000);

/// How long an unused connection is kept, as on the project's own caller ports.
const IDLE_TIMEOUT: ClockSpan = ClockSpan::new(60_000);

/// Most targets for a request that may be repeated.
const IDEMPOTENT_MAX_ATTEMPTS: u32 = 3;

/// Most targets for one that may not: a second one after one that has not run it.
const NON_IDEMPOTENT_MAX_ATTEMPTS: u32 = 2;

/// Urgency of requests that must not get lost, and of calls that a target makes while it runs another.
const HIGH_PRIORITY: u8 = 1;

/// Urgency of all others.
const NORMAL_PRIORITY: u8 = 2;

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
    let mut builder = RouteTableBuilder { answers, omitted: Vec::new() };
    let routes = || answers.services.value.iter().flat_map(|service| &service.routes.value);
    let largest_body = routes().map(|route| route.body_limit_bytes.value).max().unwrap_or(0);
    let limits = ClientLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        max_body_bytes: largest_body,
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
    };
    let mut table = RouteTable::new(version, limits);
    for service in &answers.services.value {
        table = builder.add_service(table, service);
    }
    for route in routes().filter(|route| route.body_limit_bytes.value < largest_body) {
        let (limit, location) = (route.body_limit_bytes.value, route.body_limit_bytes.referenced);
        let prefix = &route.prefix.value;
        builder.report_omission(
            location,
            format!("body limit of {limit} bytes at {prefix}; {largest_body} hold for all"),
        );
    }
    builder.omitted.sort_by_key(|omitted| omitted.line);
    (table, builder.omitted)
}

struct RouteTableBuilder<'a> {
    answers: &'a Answers,
    omitted: Vec<OmittedAnswer>,
}

impl RouteTableBuilder<'_> {
    fn add_service(&mut self, mut table: RouteTable, service: &ServiceAnswer) -> RouteTable {
        let name: Arc<str> = service.name.value.as_str().into();
        let rule = ServiceRule { max_connections: min_connections(service) };
        table = table.with_service(name.clone(), rule);
        self.report_omission(
            service.queue_limit.referenced,
            format!("queue limit of {name}; nodes bound their queues by the time that is left"),
        );
        self.report_omission(
            service.key_window_ms.referenced,
            format!(
                "idempotency keys of {name}; requests that may not be repeated run at most once"
            ),
        );
        let mut by_prefix: BTreeMap<String, Vec<&RouteAnswer>> = BTreeMap::new();
        for route in &service.routes.value {
            by_prefix.entry(with_trailing_slash(&route.prefix.value)).or_default().push(route);
        }
        for (prefix, routes) in by_prefix {
            table = table.with_route(&name, self.build_route(&name, prefix, &routes));
        }
        table
    }

    fn build_route(
        &mut self,
        service: &Arc<str>,
        prefix: String,
        routes: &[&RouteAnswer],
    ) -> RouteRule {
        let kind = strictest_kind(routes);
        for route in routes {
            if request_kind(route.kind.value) != kind {
                let (method, own) = (&route.method.value, &route.prefix.value);
                self.report_omission(
                    route.may_repeat.referenced,
                    format!(
                        "repeats of {method} {own}; another method of this prefix forbids them"
                    ),
                );
            }
            self.report_route_omissions(route);
        }
        let (soft_timeout, timeout) = self.timeouts(routes);
        let is_high_priority =
            !kind.is_idempotent() || routes.iter().any(|route| route.internal_only.value);
        let max_attempts = if kind.is_idempotent() {
            IDEMPOTENT_MAX_ATTEMPTS
        } else {
            NON_IDEMPOTENT_MAX_ATTEMPTS
        };
        let name = format!("{service}{prefix}");
        RouteRule::new(name.into(), prefix.into(), kind)
            .with_times(soft_timeout, timeout)
            .with_limits(
                if is_high_priority { HIGH_PRIORITY } else { NORMAL_PRIORITY },
                max_attempts,
            )
            .with_split(vec![WeightedService { service: service.clone(), weight: 1 }])
    }

    fn report_route_omissions(&mut self, route: &RouteAnswer) {
        let (method, prefix) = (&route.method.value, &route.prefix.value);
        self.report_omission(
            route.method.referenced,
            format!("method {method} of {prefix}; all methods are forwarded"),
        );
        if !prefix.ends_with('/') {
            self.report_omission(
                route.prefix.referenced,
                format!("path {prefix} itself; only paths below {prefix}/ have a route"),
            );
        }
        if route.internal_only.value {
            self.report_omission(
                route.internal_only.referenced,
                format!("{prefix} for services of the mesh only; every client may call it"),
            );
        }
        if self.patience_ms_values(route).count() > 1 {
            self.report_omission(
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
    fn timeouts(&self, routes: &[&RouteAnswer]) -> (ClockSpan, ClockSpan) {
        let all = || routes.iter().flat_map(|route| self.patience_ms_values(route));
        let span = |patience: Option<u64>| ClockSpan::new(patience.unwrap_or(0));
        (span(all().min()), span(all().max()))
    }

    /// The patience in ms of each period of each class of a route.
    fn patience_ms_values<'b>(&'b self, route: &'b RouteAnswer) -> impl Iterator<Item = u64> + 'b {
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

    fn report_omission(&mut self, location: Location, message: String) {
        self.omitted.push(OmittedAnswer { line: location.line(), message });
    }
}

fn request_kind(kind: RouteKind) -> RequestKind {
    match kind {
        RouteKind::Lookup | RouteKind::Search => RequestKind::Idempotent,
        RouteKind::Submit => RequestKind::NonIdempotent,
        RouteKind::Upload => RequestKind::Upload,
    }
}

/// The kind that is safe for all routes of a prefix, whose methods the platform does not tell apart.
fn strictest_kind(routes: &[&RouteAnswer]) -> RequestKind {
    let kinds = || routes.iter().map(|route| request_kind(route.kind.value));
    if kinds().any(|kind| kind == RequestKind::Upload) {
        RequestKind::Upload
    } else if kinds().any(|kind| kind == RequestKind::NonIdempotent) {
        RequestKind::NonIdempotent
    } else {
        RequestKind::Idempotent
    }
}

/// The fewest connections that a target of the service accepts.
fn min_connections(service: &ServiceAnswer) -> u32 {
    let listed = service.targets.value.iter().map(|target| target.connections.value);
    let series = service.target_series.value.iter().map(|series| series.connections.value);
    listed.chain(series).min().unwrap_or(1)
}

/// The platform's prefixes have a slash at both ends.
fn with_trailing_slash(prefix: &str) -> String {
    if prefix.ends_with('/') { prefix.to_owned() } else { format!("{prefix}/") }
}
