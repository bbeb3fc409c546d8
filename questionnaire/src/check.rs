//! Contradictions between answers that are each well-formed.

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

/// Largest body of an upload. Uploads are streamed, so the bound protects the upstream's patience
/// more than the node's memory.
pub const UPLOAD_LIMIT_BYTES: u64 = 64 << 20;

/// Largest body of other requests. Nodes hold such a body in memory until it is dispatched; at 128 MB
/// for a node this leaves room for some tens of them.
pub const BODY_LIMIT_BYTES: u64 = 1 << 20;

/// Longest label of a host name.
const NAME_LIMIT: usize = 63;

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Names that other answers refer to.
struct AnswerCheck<'a> {
    data_centres: HashSet<&'a str>,
    tenants: HashSet<&'a str>,
    /// `None` for a class whose origin could not be read.
    classes: HashMap<String, Option<CallerOrigin>>,
    targets: HashSet<String>,
    addresses: HashMap<SocketAddr, String>,
    faults: Vec<Diagnostic>,
}

/// Reports every contradiction, in no particular order.
pub fn check(answers: &Answers) -> Vec<Diagnostic> {
    let mut check = AnswerCheck {
        data_centres: HashSet::new(),
        tenants: HashSet::new(),
        classes: HashMap::new(),
        targets: HashSet::new(),
        addresses: HashMap::new(),
        faults: Vec::new(),
    };
    check.name(&answers.deployment, "deployment");
    check.regions(answers);
    if answers.tenants.value.is_empty() {
        let message = "`tenants` is empty; write at least one tenant with a caller class";
        check.fail(DiagnosticCode::MissingAnswer, answers.tenants.referenced, message);
    }
    answers.tenants.value.iter().for_each(|tenant| check.tenant(tenant));
    let mut services = HashSet::new();
    for service in &answers.services.value {
        if !services.insert(service.name.value.as_str()) {
            check.duplicate(&service.name, "service");
        }
        check.service(service);
    }
    check.faults
}

impl<'a> AnswerCheck<'a> {
    fn fail(&mut self, code: DiagnosticCode, place: Location, message: impl Into<String>) {
        self.faults.push(Diagnostic::new(code, place, message));
    }

    fn duplicate(&mut self, name: &Spanned<String>, kind: &str) {
        let message = format!("{kind} `{}` occurs before; write another name", name.value);
        self.fail(DiagnosticCode::DuplicateName, name.referenced, message);
    }

    fn name(&mut self, name: &Spanned<String>, kind: &str) {
        if !scan_name(&name.value) {
            let message = format!(
                "{kind} `{}`; write 1 to {NAME_LIMIT} lower-case letters, digits and hyphens",
                name.value
            );
            self.fail(DiagnosticCode::BadName, name.referenced, message);
        }
    }

    fn limit(&mut self, value: u64, place: Location, key: &str) {
        if value == 0 {
            let message = format!("`{key}` is 0; write a number of at least 1");
            self.fail(DiagnosticCode::ZeroLimit, place, message);
        }
    }

    fn regions(&mut self, answers: &'a Answers) {
        if answers.regions.value.is_empty() {
            let message = "`regions` is empty; write at least one region with a data centre";
            self.fail(DiagnosticCode::MissingAnswer, answers.regions.referenced, message);
        }
        let mut names = HashSet::new();
        for region in &answers.regions.value {
            self.name(&region.name, "region");
            if !names.insert(region.name.value.as_str()) {
                self.duplicate(&region.name, "region");
            }
            for data_centre in &region.data_centres.value {
                self.name(data_centre, "data centre");
                if !self.data_centres.insert(&data_centre.value) {
                    self.duplicate(data_centre, "data centre");
                }
            }
        }
    }

    fn tenant(&mut self, tenant: &'a TenantAnswer) {
        self.name(&tenant.name, "tenant");
        if !self.tenants.insert(&tenant.name.value) {
            self.duplicate(&tenant.name, "tenant");
        }
        if tenant.zone.value.parse::<Tz>().is_err() {
            let message = format!(
                "`{}` is not a time zone; write an IANA name such as Europe/London",
                tenant.zone.value
            );
            self.fail(DiagnosticCode::UnknownZone, tenant.zone.referenced, message);
        }
        for class in &tenant.classes.value {
            self.name(&class.name, "caller class");
            let label = format!("{}/{}", tenant.name.value, class.name.value);
            let unread = is_unread(&class.callers, &class.name);
            let origin = (!unread).then_some(class.callers.value);
            if self.classes.insert(label, origin).is_some() {
                self.duplicate(&class.name, "caller class");
            }
            self.patience(class);
        }
    }

    fn patience(&mut self, class: &ClassAnswer) {
        let mut holders: Vec<Option<usize>> = vec![None; usize::from(DAY_MINUTES)];
        // What a period without a readable start or end covers is unknown, and so are its gaps.
        let in_file = !is_hole(&class.patience);
        let is_unread = |period: &PeriodAnswer| is_hole(&period.from) || is_hole(&period.to);
        let unread = in_file && class.patience.value.iter().any(is_unread);
        for (index, period) in class.patience.value.iter().enumerate() {
            self.limit(period.patience_ms.value, period.patience_ms.referenced, "patience-ms");
            if !unread {
                self.period(period, index, &mut holders, &class.patience.value);
            }
        }
        let gaps = if unread { Vec::new() } else { scan_gaps(&holders) };
        for (start, end) in gaps {
            let message = format!(
                "class `{}` has no patience from {} to {}; extend a period or add one",
                class.name.value,
                display_minute(start),
                display_minute(end)
            );
            self.fail(DiagnosticCode::PatienceGap, class.patience.referenced, message);
        }
    }

    fn period(
        &mut self,
        period: &PeriodAnswer,
        index: usize,
        holders: &mut [Option<usize>],
        periods: &[PeriodAnswer],
    ) {
        let (from, to) = (period.from.value.minute(), period.to.value.minute());
        if from == DAY_MINUTES {
            let message = "a period starts at 24:00; write 00:00";
            self.fail(DiagnosticCode::WrongKind, period.from.referenced, message);
            return;
        }
        let length = if from < to { to - from } else { DAY_MINUTES - from + to };
        let mut overlapped = None;
        for offset in 0..length {
            let holder = &mut holders[usize::from((from + offset) % DAY_MINUTES)];
            match *holder {
                Some(other) => overlapped = overlapped.or(Some(other)),
                None => *holder = Some(index),
            }
        }
        if let Some(other) = overlapped {
            let other = &periods[other];
            let message = format!(
                "the period {} to {} overlaps the period {} to {}; shorten one of them",
                period.from.value, period.to.value, other.from.value, other.to.value
            );
            self.fail(DiagnosticCode::PatienceOverlap, period.from.referenced, message);
        }
    }

    fn service(&mut self, service: &ServiceAnswer) {
        self.name(&service.name, "service");
        let complete = !self.tenants.is_empty() && !self.tenants.contains("");
        if complete && !self.tenants.contains(service.tenant.value.as_str()) {
            let message = format!(
                "tenant `{}` does not exist; write one of {}",
                service.tenant.value,
                listed(self.tenants.iter().copied())
            );
            self.fail(DiagnosticCode::UnknownTenant, service.tenant.referenced, message);
        }
        let queue = &service.queue_limit;
        self.limit(u64::from(queue.value), queue.referenced, "queue-limit");
        self.limit(service.key_window_ms.value, service.key_window_ms.referenced, "key-window-ms");
        if let Some(skew) = &service.key_clock_skew_ms
            && skew.value >= service.key_window_ms.value
        {
            let message = "`key-clock-skew-ms` is not below `key-window-ms`; write a lower value or \
                           leave it out when the callers' clocks are not synchronised";
            self.fail(DiagnosticCode::SkewTooLarge, skew.referenced, message);
        }
        if service.routes.value.is_empty() {
            let message = "`routes` is empty; write at least one route";
            self.fail(DiagnosticCode::MissingAnswer, service.routes.referenced, message);
        }
        let mut routes = HashSet::new();
        for route in &service.routes.value {
            if !routes.insert((route.method.value.as_str(), route.prefix.value.as_str())) {
                let message = format!(
                    "route {} {} occurs before; delete one of them",
                    route.method.value, route.prefix.value
                );
                self.fail(DiagnosticCode::DuplicateRoute, route.method.referenced, message);
            }
            self.route(route);
        }
        self.targets(service);
    }

    fn route(&mut self, route: &RouteAnswer) {
        let kind = route.kind.value;
        if !METHODS.contains(&route.method.value.as_str()) {
            let message =
                format!("method `{}`; write one of {}", route.method.value, METHODS.join(", "));
            self.fail(DiagnosticCode::UnknownWord, route.method.referenced, message);
        }
        if !kind.is_idempotent() && matches!(route.method.value.as_str(), "GET" | "HEAD") {
            let message = format!(
                "a route of kind {} cannot use {}; write POST, PUT, PATCH or DELETE",
                kind.label(),
                route.method.value
            );
            self.fail(DiagnosticCode::MethodContradiction, route.method.referenced, message);
        }
        if !scan_prefix(&route.prefix.value) {
            let message = format!("prefix `{}`; write a path such as /orders", route.prefix.value);
            self.fail(DiagnosticCode::BadPrefix, route.prefix.referenced, message);
        }
        if !is_unread(&route.kind, &route.may_repeat)
            && route.may_repeat.value != kind.is_idempotent()
        {
            let message = format!(
                "a route of kind {} has `may-repeat: {}`; write {}, or change the kind",
                kind.label(),
                route.may_repeat.value,
                kind.is_idempotent()
            );
            self.fail(DiagnosticCode::RepeatContradiction, route.may_repeat.referenced, message);
        }
        self.body_limit(route);
        self.route_classes(route);
    }

    fn body_limit(&mut self, route: &RouteAnswer) {
        let (kind, limit) = (route.kind.value, &route.body_limit_bytes);
        if !kind.is_idempotent() {
            self.limit(limit.value, limit.referenced, "body-limit-bytes");
        }
        let bound = match kind {
            RouteKind::Upload => UPLOAD_LIMIT_BYTES,
            RouteKind::Lookup | RouteKind::Search | RouteKind::Submit => BODY_LIMIT_BYTES,
        };
        if !is_unread(&route.kind, limit) && limit.value > bound {
            let message = format!(
                "{} bytes for a route of kind {}; write at most {bound}",
                limit.value,
                kind.label()
            );
            self.fail(DiagnosticCode::BodyLimitTooLarge, limit.referenced, message);
        }
    }

    fn route_classes(&mut self, route: &RouteAnswer) {
        if route.classes.value.is_empty() {
            let message = "`classes` is empty; write at least one <tenant>/<class>";
            self.fail(DiagnosticCode::MissingAnswer, route.classes.referenced, message);
        }
        let complete = !self.classes.is_empty()
            && !self.classes.keys().any(|label| label.starts_with('/') || label.ends_with('/'));
        for label in &route.classes.value {
            match self.classes.get(&label.value) {
                Some(Some(CallerOrigin::Outside)) if route.internal_only.value => {
                    let message = format!(
                        "the route is internal only, but class `{}` is outside; remove one of them",
                        label.value
                    );
                    self.fail(DiagnosticCode::OutsideClass, label.referenced, message);
                }
                Some(_) => (),
                None if complete => {
                    let known = listed(self.classes.keys().map(String::as_str));
                    let message =
                        format!("class `{}` does not exist; write one of {known}", label.value);
                    self.fail(DiagnosticCode::UnknownClass, label.referenced, message);
                }
                None => (),
            }
        }
    }

    fn targets(&mut self, service: &ServiceAnswer) {
        let (targets, series) = (&service.targets.value, &service.target_series.value);
        if targets.is_empty() && series.is_empty() {
            let message = format!(
                "service `{}` has no targets; write `targets:` or `target-series:` with at least one",
                service.name.value
            );
            self.fail(DiagnosticCode::NoTargets, service.name.referenced, message);
        }
        targets.iter().for_each(|target| self.target(target));
        series.iter().for_each(|series| self.series(series));
    }

    fn target(&mut self, target: &TargetAnswer) {
        self.name(&target.name, "target");
        self.target_name(target.name.value.clone(), target.name.referenced);
        self.data_centre(&target.data_centre);
        self.limit(u64::from(target.slots.value), target.slots.referenced, "slots");
        let connections = &target.connections;
        self.limit(u64::from(connections.value), connections.referenced, "connections");
        for address in [&target.upstream, &target.relay, &target.control] {
            self.address(address.value, address.referenced, &target.name.value);
        }
    }

    fn target_name(&mut self, name: String, place: Location) {
        if let Some(name) = self.targets.replace(name) {
            let message = format!("target `{name}` occurs before; write another name or prefix");
            self.fail(DiagnosticCode::DuplicateName, place, message);
        }
    }

    fn data_centre(&mut self, name: &Spanned<String>) {
        let complete = !self.data_centres.is_empty() && !self.data_centres.contains("");
        if complete && !self.data_centres.contains(name.value.as_str()) {
            let message = format!(
                "data centre `{}` does not exist; write one of {}",
                name.value,
                listed(self.data_centres.iter().copied())
            );
            self.fail(DiagnosticCode::UnknownDataCentre, name.referenced, message);
        }
    }

    fn address(&mut self, address: SocketAddr, place: Location, target: &str) {
        if address.port() == 0 || address.ip().is_unspecified() {
            let message = format!("{address} cannot be connected to; write <IP address>:<port>");
            self.fail(DiagnosticCode::BadAddress, place, message);
        }
        if let Some(other) = self.addresses.insert(address, target.to_owned()) {
            let message = format!("{address} is used by target `{other}` already; write another");
            self.fail(DiagnosticCode::DuplicateAddress, place, message);
        }
    }

    fn series(&mut self, series: &SeriesAnswer) {
        self.limit(u64::from(series.count.value), series.count.referenced, "count");
        self.limit(u64::from(series.slots.value), series.slots.referenced, "slots");
        let connections = &series.connections;
        self.limit(u64::from(connections.value), connections.referenced, "connections");
        if series.over.value.is_empty() {
            let message = "`over` is empty; write at least one data centre";
            self.fail(DiagnosticCode::MissingAnswer, series.over.referenced, message);
        }
        let faulty = self.faults.len();
        series.over.value.iter().for_each(|name| self.data_centre(name));
        self.name(&series.prefix, "prefix");
        match expand_series(series) {
            Err(fault) => self.faults.push(fault),
            Ok(entries) if self.faults.len() == faulty => {
                for entry in entries {
                    self.target_name(entry.name.to_string(), series.base.referenced);
                    for address in [entry.upstream, entry.relay, entry.control] {
                        self.address(address, series.base.referenced, &entry.name);
                    }
                }
            }
            Ok(_) => (),
        }
    }
}

/// Whether `value` stands in for a faulty answer, given that `neighbour` was read. Generated answers
/// have no places at all.
fn is_unread<T, U>(value: &Spanned<T>, neighbour: &Spanned<U>) -> bool {
    is_hole(value) && !is_hole(neighbour)
}

fn is_hole<T>(value: &Spanned<T>) -> bool {
    value.referenced == Location::UNKNOWN
}

fn scan_name(name: &str) -> bool {
    let permitted = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=NAME_LIMIT).contains(&name.len()) && name.bytes().all(permitted)
}

fn scan_prefix(prefix: &str) -> bool {
    let permitted = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    prefix.starts_with('/') && prefix.bytes().all(permitted)
}

/// Spans of minutes without a holder, as first minute and first minute after.
fn scan_gaps(holders: &[Option<usize>]) -> Vec<(usize, usize)> {
    let mut gaps: Vec<(usize, usize)> = Vec::new();
    for (minute, _) in holders.iter().enumerate().filter(|(_, holder)| holder.is_none()) {
        match gaps.last_mut() {
            Some((_, end)) if *end == minute => *end += 1,
            _ => gaps.push((minute, minute + 1)),
        }
    }
    gaps
}

fn display_minute(minute: usize) -> String {
    format!("{:02}:{:02}", minute / 60, minute % 60)
}

/// At most ten names, sorted, so that a message about a large fleet stays readable.
fn listed<'a>(names: impl Iterator<Item = &'a str>) -> String {
    const SHOWN: usize = 10;
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    let hidden = names.len().saturating_sub(SHOWN);
    names.truncate(SHOWN);
    let shown = names.join(", ");
    if hidden == 0 { shown } else { format!("{shown} and {hidden} others") }
}
