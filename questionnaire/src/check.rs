//! Semantic validation: answers that are well-formed one by one but invalid or contradictory.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use chrono_tz::Tz;
use fescuestack_core::{DAY_MINUTES, RouteKind};
use serde_saphyr::{Location, Spanned};

use crate::answers::{
    Answers, CallerOrigin, ClassAnswer, PeriodAnswer, RouteAnswer, SeriesAnswer, ServiceAnswer,
    TargetAnswer, TenantAnswer,
};
use crate::error::{Diagnostic, DiagnosticCode};
use crate::generate::expand_series;

/// Maximum body size of an upload. Uploads are streamed, so the limit bounds how long they occupy the
/// upstream rather than the memory of the node.
pub const UPLOAD_LIMIT_BYTES: u64 = 64 << 20;

/// Maximum body size of all other requests. Nodes buffer such a body in memory until it is
/// dispatched, and a node with 128 MB has room for a few dozen of this size.
pub const BODY_LIMIT_BYTES: u64 = 1 << 20;

/// Maximum length of a label in a host name.
const MAX_NAME_BYTES: usize = 63;

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// State of the validation: the names and addresses defined so far and the diagnostics found.
struct Checker<'a> {
    data_centres: HashSet<&'a str>,
    tenants: HashSet<&'a str>,
    /// Origin of each class, by `<tenant>/<class>`; `None` if the origin could not be read.
    classes: HashMap<String, Option<CallerOrigin>>,
    targets: HashSet<String>,
    addresses: HashMap<SocketAddr, String>,
    diagnostics: Vec<Diagnostic>,
}

/// Returns a diagnostic for every invalid answer, in no particular order.
pub fn check(answers: &Answers) -> Vec<Diagnostic> {
    let mut checker = Checker {
        data_centres: HashSet::new(),
        tenants: HashSet::new(),
        classes: HashMap::new(),
        targets: HashSet::new(),
        addresses: HashMap::new(),
        diagnostics: Vec::new(),
    };
    checker.check_name(&answers.deployment, "deployment");
    checker.check_regions(answers);
    if answers.tenants.value.is_empty() {
        let message = "`tenants` is empty; write at least one tenant with a caller class";
        checker.report(DiagnosticCode::MissingAnswer, answers.tenants.referenced, message);
    }
    answers.tenants.value.iter().for_each(|tenant| checker.check_tenant(tenant));
    let mut services = HashSet::new();
    for service in &answers.services.value {
        if !services.insert(service.name.value.as_str()) {
            checker.report_duplicate(&service.name, "service");
        }
        checker.check_service(service);
    }
    checker.diagnostics
}

impl<'a> Checker<'a> {
    fn report(&mut self, code: DiagnosticCode, location: Location, message: impl Into<String>) {
        self.diagnostics.push(Diagnostic::new(code, location, message));
    }

    fn report_duplicate(&mut self, name: &Spanned<String>, kind: &str) {
        let message = format!("{kind} `{}` is already defined; write another name", name.value);
        self.report(DiagnosticCode::DuplicateName, name.referenced, message);
    }

    fn check_name(&mut self, name: &Spanned<String>, kind: &str) {
        if !is_valid_name(&name.value) {
            let message = format!(
                "{kind} `{}`; write 1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens",
                name.value
            );
            self.report(DiagnosticCode::BadName, name.referenced, message);
        }
    }

    fn check_nonzero(&mut self, value: u64, location: Location, key: &str) {
        if value == 0 {
            let message = format!("`{key}` is 0; write a number of at least 1");
            self.report(DiagnosticCode::ZeroLimit, location, message);
        }
    }

    fn check_regions(&mut self, answers: &'a Answers) {
        if answers.regions.value.is_empty() {
            let message = "`regions` is empty; write at least one region with a data centre";
            self.report(DiagnosticCode::MissingAnswer, answers.regions.referenced, message);
        }
        let mut names = HashSet::new();
        for region in &answers.regions.value {
            self.check_name(&region.name, "region");
            if !names.insert(region.name.value.as_str()) {
                self.report_duplicate(&region.name, "region");
            }
            for data_centre in &region.data_centres.value {
                self.check_name(data_centre, "data centre");
                if !self.data_centres.insert(&data_centre.value) {
                    self.report_duplicate(data_centre, "data centre");
                }
            }
        }
    }

    fn check_tenant(&mut self, tenant: &'a TenantAnswer) {
        self.check_name(&tenant.name, "tenant");
        if !self.tenants.insert(&tenant.name.value) {
            self.report_duplicate(&tenant.name, "tenant");
        }
        if tenant.zone.value.parse::<Tz>().is_err() {
            let message = format!(
                "`{}` is not a time zone; write an IANA name such as Europe/London",
                tenant.zone.value
            );
            self.report(DiagnosticCode::UnknownZone, tenant.zone.referenced, message);
        }
        for class in &tenant.classes.value {
            self.check_name(&class.name, "caller class");
            let label = format!("{}/{}", tenant.name.value, class.name.value);
            let is_unread = is_placeholder(&class.callers, &class.name);
            let origin = (!is_unread).then_some(class.callers.value);
            if self.classes.insert(label, origin).is_some() {
                self.report_duplicate(&class.name, "caller class");
            }
            self.check_patience(class);
        }
    }

    fn check_patience(&mut self, class: &ClassAnswer) {
        let mut period_by_minute: Vec<Option<usize>> = vec![None; usize::from(DAY_MINUTES)];
        // If the start or end of a period could not be read, gaps and overlaps are unknown.
        let is_from_file = !lacks_location(&class.patience);
        let is_unread =
            |period: &PeriodAnswer| lacks_location(&period.from) || lacks_location(&period.to);
        let has_unread_period = is_from_file && class.patience.value.iter().any(is_unread);
        for (index, period) in class.patience.value.iter().enumerate() {
            self.check_nonzero(
                period.patience_ms.value,
                period.patience_ms.referenced,
                "patience-ms",
            );
            if !has_unread_period {
                self.check_period(period, index, &mut period_by_minute, &class.patience.value);
            }
        }
        let gaps = if has_unread_period { Vec::new() } else { find_gaps(&period_by_minute) };
        for (start, end) in gaps {
            let message = format!(
                "class `{}` has no patience period from {} to {}; extend a period or add one",
                class.name.value,
                format_minute(start),
                format_minute(end)
            );
            self.report(DiagnosticCode::PatienceGap, class.patience.referenced, message);
        }
    }

    fn check_period(
        &mut self,
        period: &PeriodAnswer,
        index: usize,
        period_by_minute: &mut [Option<usize>],
        periods: &[PeriodAnswer],
    ) {
        let (from, to) = (period.from.value.minute(), period.to.value.minute());
        if from == DAY_MINUTES {
            let message = "a period starts at 24:00; write 00:00";
            self.report(DiagnosticCode::WrongKind, period.from.referenced, message);
            return;
        }
        let length = if from < to { to - from } else { DAY_MINUTES - from + to };
        let mut overlapped = None;
        for offset in 0..length {
            let assigned = &mut period_by_minute[usize::from((from + offset) % DAY_MINUTES)];
            match *assigned {
                Some(other) => overlapped = overlapped.or(Some(other)),
                None => *assigned = Some(index),
            }
        }
        if let Some(other) = overlapped {
            let other = &periods[other];
            let message = format!(
                "the period {} to {} overlaps the period {} to {}; shorten one of them",
                period.from.value, period.to.value, other.from.value, other.to.value
            );
            self.report(DiagnosticCode::PatienceOverlap, period.from.referenced, message);
        }
    }

    fn check_service(&mut self, service: &ServiceAnswer) {
        self.check_name(&service.name, "service");
        let is_complete = !self.tenants.is_empty() && !self.tenants.contains("");
        if is_complete && !self.tenants.contains(service.tenant.value.as_str()) {
            let message = format!(
                "tenant `{}` does not exist; write one of {}",
                service.tenant.value,
                join_limited(self.tenants.iter().copied())
            );
            self.report(DiagnosticCode::UnknownTenant, service.tenant.referenced, message);
        }
        let queue = &service.queue_limit;
        self.check_nonzero(u64::from(queue.value), queue.referenced, "queue-limit");
        self.check_nonzero(
            service.key_window_ms.value,
            service.key_window_ms.referenced,
            "key-window-ms",
        );
        if let Some(skew) = &service.key_clock_skew_ms
            && skew.value >= service.key_window_ms.value
        {
            let message = "`key-clock-skew-ms` is not below `key-window-ms`; write a lower value or \
                           leave it out when the callers' clocks are not synchronised";
            self.report(DiagnosticCode::SkewTooLarge, skew.referenced, message);
        }
        if service.routes.value.is_empty() {
            let message = "`routes` is empty; write at least one route";
            self.report(DiagnosticCode::MissingAnswer, service.routes.referenced, message);
        }
        let mut routes = HashSet::new();
        for route in &service.routes.value {
            if !routes.insert((route.method.value.as_str(), route.prefix.value.as_str())) {
                let message = format!(
                    "route {} {} is already defined; delete one of them",
                    route.method.value, route.prefix.value
                );
                self.report(DiagnosticCode::DuplicateRoute, route.method.referenced, message);
            }
            self.check_route(route);
        }
        self.check_targets(service);
    }

    fn check_route(&mut self, route: &RouteAnswer) {
        let kind = route.kind.value;
        if !METHODS.contains(&route.method.value.as_str()) {
            let message =
                format!("method `{}`; write one of {}", route.method.value, METHODS.join(", "));
            self.report(DiagnosticCode::UnknownWord, route.method.referenced, message);
        }
        if !kind.is_idempotent() && matches!(route.method.value.as_str(), "GET" | "HEAD") {
            let message = format!(
                "a route of kind {} cannot use {}; write POST, PUT, PATCH or DELETE",
                kind.label(),
                route.method.value
            );
            self.report(DiagnosticCode::MethodContradiction, route.method.referenced, message);
        }
        if !is_valid_prefix(&route.prefix.value) {
            let message = format!("prefix `{}`; write a path such as /orders", route.prefix.value);
            self.report(DiagnosticCode::BadPrefix, route.prefix.referenced, message);
        }
        if !is_placeholder(&route.kind, &route.may_repeat)
            && route.may_repeat.value != kind.is_idempotent()
        {
            let message = format!(
                "a route of kind {} has `may-repeat: {}`; write {}, or change the kind",
                kind.label(),
                route.may_repeat.value,
                kind.is_idempotent()
            );
            self.report(DiagnosticCode::RepeatContradiction, route.may_repeat.referenced, message);
        }
        self.check_body_limit(route);
        self.check_route_classes(route);
    }

    fn check_body_limit(&mut self, route: &RouteAnswer) {
        let (kind, limit) = (route.kind.value, &route.body_limit_bytes);
        if !kind.is_idempotent() {
            self.check_nonzero(limit.value, limit.referenced, "body-limit-bytes");
        }
        let bound = match kind {
            RouteKind::Upload => UPLOAD_LIMIT_BYTES,
            RouteKind::Lookup | RouteKind::Search | RouteKind::Submit => BODY_LIMIT_BYTES,
        };
        if !is_placeholder(&route.kind, limit) && limit.value > bound {
            let message = format!(
                "{} bytes for a route of kind {}; write at most {bound}",
                limit.value,
                kind.label()
            );
            self.report(DiagnosticCode::BodyLimitTooLarge, limit.referenced, message);
        }
    }

    fn check_route_classes(&mut self, route: &RouteAnswer) {
        if route.classes.value.is_empty() {
            let message = "`classes` is empty; write at least one <tenant>/<class>";
            self.report(DiagnosticCode::MissingAnswer, route.classes.referenced, message);
        }
        let is_complete = !self.classes.is_empty()
            && !self.classes.keys().any(|label| label.starts_with('/') || label.ends_with('/'));
        for label in &route.classes.value {
            match self.classes.get(&label.value) {
                Some(Some(CallerOrigin::Outside)) if route.internal_only.value => {
                    let message = format!(
                        "the route is internal only, but class `{}` is outside; remove one of them",
                        label.value
                    );
                    self.report(DiagnosticCode::OutsideClass, label.referenced, message);
                }
                Some(_) => (),
                None if is_complete => {
                    let known_classes = join_limited(self.classes.keys().map(String::as_str));
                    let message = format!(
                        "class `{}` does not exist; write one of {known_classes}",
                        label.value
                    );
                    self.report(DiagnosticCode::UnknownClass, label.referenced, message);
                }
                None => (),
            }
        }
    }

    fn check_targets(&mut self, service: &ServiceAnswer) {
        let (targets, series) = (&service.targets.value, &service.target_series.value);
        if targets.is_empty() && series.is_empty() {
            let message = format!(
                "service `{}` has no targets; write `targets:` or `target-series:` with at least one",
                service.name.value
            );
            self.report(DiagnosticCode::NoTargets, service.name.referenced, message);
        }
        targets.iter().for_each(|target| self.check_target(target));
        series.iter().for_each(|series| self.check_series(series));
    }

    fn check_target(&mut self, target: &TargetAnswer) {
        self.check_name(&target.name, "target");
        self.check_target_name(target.name.value.clone(), target.name.referenced);
        self.check_data_centre(&target.data_centre);
        self.check_nonzero(u64::from(target.slots.value), target.slots.referenced, "slots");
        let connections = &target.connections;
        self.check_nonzero(u64::from(connections.value), connections.referenced, "connections");
        for address in [&target.upstream, &target.relay, &target.control] {
            self.check_address(address.value, address.referenced, &target.name.value);
        }
    }

    fn check_target_name(&mut self, name: String, location: Location) {
        if let Some(name) = self.targets.replace(name) {
            let message =
                format!("target `{name}` is already defined; write another name or prefix");
            self.report(DiagnosticCode::DuplicateName, location, message);
        }
    }

    fn check_data_centre(&mut self, name: &Spanned<String>) {
        let is_complete = !self.data_centres.is_empty() && !self.data_centres.contains("");
        if is_complete && !self.data_centres.contains(name.value.as_str()) {
            let message = format!(
                "data centre `{}` does not exist; write one of {}",
                name.value,
                join_limited(self.data_centres.iter().copied())
            );
            self.report(DiagnosticCode::UnknownDataCentre, name.referenced, message);
        }
    }

    fn check_address(&mut self, address: SocketAddr, location: Location, target: &str) {
        if address.port() == 0 || address.ip().is_unspecified() {
            let message = format!("{address} cannot be connected to; write <IP address>:<port>");
            self.report(DiagnosticCode::BadAddress, location, message);
        }
        if let Some(other) = self.addresses.insert(address, target.to_owned()) {
            let message = format!("{address} is already used by target `{other}`; write another");
            self.report(DiagnosticCode::DuplicateAddress, location, message);
        }
    }

    fn check_series(&mut self, series: &SeriesAnswer) {
        self.check_nonzero(u64::from(series.count.value), series.count.referenced, "count");
        self.check_nonzero(u64::from(series.slots.value), series.slots.referenced, "slots");
        let connections = &series.connections;
        self.check_nonzero(u64::from(connections.value), connections.referenced, "connections");
        if series.over.value.is_empty() {
            let message = "`over` is empty; write at least one data centre";
            self.report(DiagnosticCode::MissingAnswer, series.over.referenced, message);
        }
        let count_before = self.diagnostics.len();
        series.over.value.iter().for_each(|name| self.check_data_centre(name));
        self.check_name(&series.prefix, "prefix");
        match expand_series(series) {
            Err(diagnostic) => self.diagnostics.push(diagnostic),
            Ok(entries) if self.diagnostics.len() == count_before => {
                for entry in entries {
                    self.check_target_name(entry.name.to_string(), series.base.referenced);
                    for address in [entry.upstream, entry.relay, entry.control] {
                        self.check_address(address, series.base.referenced, &entry.name);
                    }
                }
            }
            Ok(_) => (),
        }
    }
}

/// Returns whether `value` replaces an invalid answer. `sibling` is an answer that was read from the
/// same mapping: generated answers have no locations at all, so its location tells the two cases apart.
fn is_placeholder<T, U>(value: &Spanned<T>, sibling: &Spanned<U>) -> bool {
    lacks_location(value) && !lacks_location(sibling)
}

fn lacks_location<T>(value: &Spanned<T>) -> bool {
    value.referenced == Location::UNKNOWN
}

fn is_valid_name(name: &str) -> bool {
    let permitted = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(permitted)
}

fn is_valid_prefix(prefix: &str) -> bool {
    let permitted = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    prefix.starts_with('/') && prefix.bytes().all(permitted)
}

/// Returns the ranges of minutes without a period, as half-open intervals.
fn find_gaps(period_by_minute: &[Option<usize>]) -> Vec<(usize, usize)> {
    let mut gaps: Vec<(usize, usize)> = Vec::new();
    for (minute, _) in
        period_by_minute.iter().enumerate().filter(|(_, assigned)| assigned.is_none())
    {
        match gaps.last_mut() {
            Some((_, end)) if *end == minute => *end += 1,
            _ => gaps.push((minute, minute + 1)),
        }
    }
    gaps
}

fn format_minute(minute: usize) -> String {
    format!("{:02}:{:02}", minute / 60, minute % 60)
}

/// Joins at most ten names in sorted order, so that messages about large fleets stay readable.
fn join_limited<'a>(names: impl Iterator<Item = &'a str>) -> String {
    const MAX_LISTED: usize = 10;
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    let omitted = names.len().saturating_sub(MAX_LISTED);
    names.truncate(MAX_LISTED);
    let shown = names.join(", ");
    if omitted == 0 { shown } else { format!("{shown} and {omitted} others") }
}
