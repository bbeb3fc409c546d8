//! Converts answers to the route table of a node on the users' platform.
//!
//! The platform's format is less expressive than the questionnaire. Answers that it cannot express are
//! listed with their line, so that operators know what will not take effect.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{ClockSpan, RouteKind};
use fescuestack_routing::{
    ClientLimits, RequestKind, RouteRule, RouteTable, ServiceRule, WeightedService,
};
use serde_saphyr::Location;

use crate::answers::{Answers, RouteAnswer, ServiceAnswer};

/// Maximum size of a request head: twice the maximum that common clients and proxies send.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Time limit for receiving a request head, as on the project's own caller ports.
const HEAD_TIMEOUT: ClockSpan = ClockSpan::new(10_000);

/// Time after which an idle connection is closed, as on the project's own caller ports.
const IDLE_TIMEOUT: ClockSpan = ClockSpan::new(60_000);

/// Maximum number of attempts, each at another target, for an idempotent request.
const IDEMPOTENT_MAX_ATTEMPTS: u32 = 3;

/// Maximum number of attempts for a non-idempotent request: it is retried once if the first target did
/// not run it.
const NON_IDEMPOTENT_MAX_ATTEMPTS: u32 = 2;

/// Priority of non-idempotent requests, which must not get lost, and of calls that a target makes while
/// it runs another.
const HIGH_PRIORITY: u8 = 1;

/// Priority of all other requests.
const NORMAL_PRIORITY: u8 = 2;

/// An answer that the platform's format cannot express.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OmittedAnswer {
    /// Line of the answer, counted from 1.
    pub line: u64,
    /// What will not take effect, and what applies instead.
    pub message: String,
}

/// Builds the route table of version `version` from the answers, and the list of omitted answers. The
/// answers must have passed [`check`](crate::check()).
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
            format!("body limit of {limit} bytes at {prefix}; {largest_body} apply to all routes"),
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
        let rule = ServiceRule::new(min_connections(service));
        table = table.with_service(name.clone(), rule);
        self.report_omission(
            service.queue_limit.referenced,
            format!("queue limit of {name}; nodes limit their queues by the remaining time"),
        );
        self.report_omission(
            service.key_window_ms.referenced,
            format!(
                "idempotency keys of {name}; requests that must not be repeated run at most once"
            ),
        );
        let mut routes_by_prefix: BTreeMap<String, Vec<&RouteAnswer>> = BTreeMap::new();
        for route in &service.routes.value {
            routes_by_prefix
                .entry(with_trailing_slash(&route.prefix.value))
                .or_default()
                .push(route);
        }
        for (prefix, routes) in routes_by_prefix {
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
                    "patience of {prefix} by hour and class; the shortest becomes aim_s, the longest \
                     timeout_s"
                ),
            );
        }
    }

    /// Returns the soft timeout and the timeout: the shortest and the longest patience of the callers. A
    /// deadline sent by the client can shorten the timeout further.
    fn timeouts(&self, routes: &[&RouteAnswer]) -> (ClockSpan, ClockSpan) {
        let patience_values = || routes.iter().flat_map(|route| self.patience_ms_values(route));
        let span = |patience: Option<u64>| ClockSpan::new(patience.unwrap_or(0));
        (span(patience_values().min()), span(patience_values().max()))
    }

    /// Returns the patience in ms of each period of each class of a route.
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

/// Returns the kind that is safe for all routes of a prefix, because the platform does not distinguish
/// methods.
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

/// Returns the lowest connection limit among the targets of the service.
fn min_connections(service: &ServiceAnswer) -> u32 {
    let listed = service.targets.value.iter().map(|target| target.connections.value);
    let series = service.target_series.value.iter().map(|series| series.connections.value);
    listed.chain(series).min().unwrap_or(1)
}

/// Appends a slash unless there is one: the platform's prefixes start and end with a slash.
fn with_trailing_slash(prefix: &str) -> String {
    if prefix.ends_with('/') { prefix.to_owned() } else { format!("{prefix}/") }
}
