//! The typed model of a questionnaire, in which every value keeps its source location, and its parser.

use std::fmt;
use std::net::SocketAddr;

use fescuestack_core::{DAY_MINUTES, RouteKind, SpreadPreference};
use serde::{Serialize, Serializer};
use serde_saphyr::Spanned;

use crate::error::{Diagnostic, DiagnosticCode, Diagnostics};
use crate::tree::{MappingReader, SpannedNode, parse_tree, read_text, unlocated};

/// A local time of day with minute resolution, written as `HH:MM`. `24:00` is the end of the day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct DayMinute(u16);

impl DayMinute {
    /// Creates a time of day from minutes since midnight. Returns `None` after 24:00.
    pub fn new(minute: u16) -> Option<DayMinute> {
        (minute <= DAY_MINUTES).then_some(DayMinute(minute))
    }

    /// Parses `HH:MM`.
    pub fn parse(text: &str) -> Option<DayMinute> {
        let (hour, minute) = text.split_once(':')?;
        let digits = |part: &str| part.len() == 2 && part.bytes().all(|byte| byte.is_ascii_digit());
        if !digits(hour) || !digits(minute) {
            return None;
        }
        let (hour, minute): (u16, u16) = (hour.parse().ok()?, minute.parse().ok()?);
        if minute < 60 { DayMinute::new(hour * 60 + minute) } else { None }
    }

    /// Returns the minutes since local midnight.
    pub const fn minute(self) -> u16 {
        self.0
    }
}

impl fmt::Display for DayMinute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}:{:02}", self.0 / 60, self.0 % 60)
    }
}

impl Serialize for DayMinute {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// A complete questionnaire.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Answers {
    /// Name of the deployment.
    pub deployment: Spanned<String>,
    /// Optimisation goal of the configuration distribution.
    pub preference: Spanned<SpreadPreference>,
    /// One-way delay between data centres, in milliseconds.
    pub link_delay_ms: Spanned<u64>,
    /// One-way delay between callers and nodes, in milliseconds.
    pub caller_delay_ms: Spanned<u64>,
    /// Regions and their data centres.
    pub regions: Spanned<Vec<RegionAnswer>>,
    /// Tenants and their caller classes.
    pub tenants: Spanned<Vec<TenantAnswer>>,
    /// Services with their routes and targets.
    pub services: Spanned<Vec<ServiceAnswer>>,
}

/// A region: a named group of data centres.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RegionAnswer {
    /// Name of the region.
    pub name: Spanned<String>,
    /// Names of the data centres in the region.
    pub data_centres: Spanned<Vec<Spanned<String>>>,
}

/// A tenant: a team that runs services.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantAnswer {
    /// Name of the tenant.
    pub name: Spanned<String>,
    /// IANA time zone in which the patience periods are given.
    pub zone: Spanned<String>,
    /// Caller classes of the tenant.
    pub classes: Spanned<Vec<ClassAnswer>>,
}

/// Origin of the callers of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum CallerOrigin {
    /// Other services of the mesh.
    Internal,
    /// Clients outside the mesh.
    #[default]
    Outside,
}

/// A class of callers with the same patience.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassAnswer {
    /// Name of the class, unique within the tenant.
    pub name: Spanned<String>,
    /// Origin of the callers.
    pub callers: Spanned<CallerOrigin>,
    /// Patience periods, which together cover the local day.
    pub patience: Spanned<Vec<PeriodAnswer>>,
}

/// The patience of a caller class during a period of the local day. A period whose end is not after
/// its start spans midnight.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeriodAnswer {
    /// Start of the period.
    pub from: Spanned<DayMinute>,
    /// End of the period.
    pub to: Spanned<DayMinute>,
    /// How long callers wait for a response, in milliseconds.
    pub patience_ms: Spanned<u64>,
}

/// A service with its routes and targets.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceAnswer {
    /// Name of the service, which is also the host name of its requests.
    pub name: Spanned<String>,
    /// Name of the tenant that runs the service.
    pub tenant: Spanned<String>,
    /// Maximum length of the queue of each caller class at a target's node, in calls.
    pub queue_limit: Spanned<u32>,
    /// How long an idempotency key is retained, in milliseconds.
    pub key_window_ms: Spanned<u64>,
    /// Maximum clock skew between callers and nodes, in milliseconds, if the callers use version 7
    /// UUIDs as idempotency keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_clock_skew_ms: Option<Spanned<u64>>,
    /// Routes of the service.
    pub routes: Spanned<Vec<RouteAnswer>>,
    /// Targets listed individually.
    #[serde(skip_serializing_if = "is_empty")]
    pub targets: Spanned<Vec<TargetAnswer>>,
    /// Targets given as series.
    #[serde(skip_serializing_if = "is_empty")]
    pub target_series: Spanned<Vec<SeriesAnswer>>,
}

fn is_empty<T>(list: &Spanned<Vec<T>>) -> bool {
    list.value.is_empty()
}

/// A route of a service, which matches requests by method and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteAnswer {
    /// HTTP method.
    pub method: Spanned<String>,
    /// Path prefix, which starts with a slash.
    pub prefix: Spanned<String>,
    /// Kind of the route.
    pub kind: Spanned<RouteKind>,
    /// Whether a request may be executed more than once.
    pub may_repeat: Spanned<bool>,
    /// Whether only services of the mesh may call the route.
    pub internal_only: Spanned<bool>,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: Spanned<u64>,
    /// Caller classes as `<tenant>/<class>`; the first is the default.
    pub classes: Spanned<Vec<Spanned<String>>>,
}

/// A target: an upstream and the node on the same VM.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetAnswer {
    /// Name of the target and of its node.
    pub name: Spanned<String>,
    /// Name of the data centre of the VM.
    pub data_centre: Spanned<String>,
    /// Listen address of the upstream.
    pub upstream: Spanned<SocketAddr>,
    /// Listen address of the node for relayed calls.
    pub relay: Spanned<SocketAddr>,
    /// Listen address of the node for control streams.
    pub control: Spanned<SocketAddr>,
    /// Maximum number of calls that the upstream runs concurrently.
    pub slots: Spanned<u32>,
    /// Maximum number of connections that the upstream accepts.
    pub connections: Spanned<u32>,
}

/// A compact definition of `count` targets.
///
/// Target `i`, counted from 0, is named `<prefix>-<i + 1>` and belongs to data centre `over[i mod n]`,
/// where `n` is the length of `over`. Its upstream address is `base` with `i * address_step` added to
/// the IP address and `i * port_step` added to the port. The relay and control ports are the next two.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SeriesAnswer {
    /// Prefix of the targets' names; the service name by default.
    pub prefix: Spanned<String>,
    /// Number of targets.
    pub count: Spanned<u32>,
    /// Names of the data centres over which the targets are distributed in turn.
    pub over: Spanned<Vec<Spanned<String>>>,
    /// Address of the first upstream.
    pub base: Spanned<SocketAddr>,
    /// Difference between the ports of consecutive targets.
    pub port_step: Spanned<u32>,
    /// Difference between the IP addresses of consecutive targets.
    pub address_step: Spanned<u32>,
    /// Maximum number of calls that each upstream runs concurrently.
    pub slots: Spanned<u32>,
    /// Maximum number of connections that each upstream accepts.
    pub connections: Spanned<u32>,
}

impl Answers {
    /// Parses and validates a questionnaire in YAML. The error holds all diagnostics, syntactic and
    /// semantic; `file` is the path shown in them.
    pub fn parse(file: &str, text: &str) -> Result<Answers, Diagnostics> {
        let tree = parse_tree(text)
            .map_err(|diagnostic| Diagnostics::with_file(vec![diagnostic], file))?;
        let mut diagnostics = Vec::new();
        let answers = read_answers(&tree, &mut diagnostics);
        let is_malformed = !diagnostics.is_empty();
        let semantic_diagnostics = crate::check::check(&answers);
        // An answer that could not be read was replaced by a default without a location. Diagnostics
        // about such defaults only repeat an error that has been reported.
        diagnostics.extend(
            semantic_diagnostics
                .into_iter()
                .filter(|diagnostic| !is_malformed || diagnostic.line > 0),
        );
        if diagnostics.is_empty() {
            Ok(answers)
        } else {
            Err(Diagnostics::with_file(diagnostics, file))
        }
    }

    /// Serializes the answers as YAML.
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).expect("answers hold only values that YAML can express")
    }
}

fn read_answers(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> Answers {
    let mut map = MappingReader::new(node, diagnostics);
    let answers = Answers {
        deployment: map.text("deployment"),
        preference: map.parsed_text(
            "preference",
            "convergence or bytes",
            DiagnosticCode::UnknownWord,
            parse_preference,
            SpreadPreference::default(),
        ),
        link_delay_ms: map.number("link-delay-ms"),
        caller_delay_ms: map.number("caller-delay-ms"),
        regions: map.list("regions", read_region),
        tenants: map.list("tenants", read_tenant),
        services: map.list("services", read_service),
    };
    map.finish();
    answers
}

fn read_region(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> RegionAnswer {
    let mut map = MappingReader::new(node, diagnostics);
    let region =
        RegionAnswer { name: map.text("name"), data_centres: map.list("data-centres", read_text) };
    map.finish();
    region
}

fn read_tenant(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> TenantAnswer {
    let mut map = MappingReader::new(node, diagnostics);
    let tenant = TenantAnswer {
        name: map.text("name"),
        zone: map.text("zone"),
        classes: map.list("classes", read_class),
    };
    map.finish();
    tenant
}

fn read_class(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> ClassAnswer {
    let mut map = MappingReader::new(node, diagnostics);
    let class = ClassAnswer {
        name: map.text("name"),
        callers: map.parsed_text(
            "callers",
            "internal or outside",
            DiagnosticCode::UnknownWord,
            parse_origin,
            CallerOrigin::default(),
        ),
        patience: map.list("patience", read_period),
    };
    map.finish();
    class
}

fn read_period(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> PeriodAnswer {
    let mut map = MappingReader::new(node, diagnostics);
    let kind = "a time of day as HH:MM from 00:00 to 24:00";
    let code = DiagnosticCode::WrongKind;
    let period = PeriodAnswer {
        from: map.parsed_text("from", kind, code, DayMinute::parse, DayMinute::default()),
        to: map.parsed_text("to", kind, code, DayMinute::parse, DayMinute::default()),
        patience_ms: map.number("patience-ms"),
    };
    map.finish();
    period
}

fn read_service(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> ServiceAnswer {
    let mut map = MappingReader::new(node, diagnostics);
    let mut service = ServiceAnswer {
        name: map.text("name"),
        tenant: map.text("tenant"),
        queue_limit: map.count("queue-limit"),
        key_window_ms: map.number("key-window-ms"),
        key_clock_skew_ms: map.optional_number("key-clock-skew-ms"),
        routes: map.list("routes", read_route),
        targets: map.optional_list("targets", read_target),
        target_series: map.optional_list("target-series", read_series),
    };
    map.finish();
    for series in &mut service.target_series.value {
        if series.prefix.value.is_empty() {
            series.prefix = service.name.clone();
        }
    }
    service
}

fn read_route(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> RouteAnswer {
    let mut map = MappingReader::new(node, diagnostics);
    let route = RouteAnswer {
        method: map.text("method"),
        prefix: map.text("prefix"),
        kind: map.parsed_text(
            "kind",
            "lookup, search, submit or upload",
            DiagnosticCode::UnknownWord,
            parse_kind,
            RouteKind::Lookup,
        ),
        may_repeat: map.boolean("may-repeat"),
        internal_only: map.boolean("internal-only"),
        body_limit_bytes: map.number("body-limit-bytes"),
        classes: map.list("classes", read_text),
    };
    map.finish();
    route
}

fn read_address(map: &mut MappingReader<'_>, key: &'static str) -> Spanned<SocketAddr> {
    let kind = "<IP address>:<port>, such as 127.0.0.1:21000";
    let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
    map.parsed_text(key, kind, DiagnosticCode::BadAddress, |text| text.parse().ok(), placeholder)
}

fn read_target(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> TargetAnswer {
    let mut map = MappingReader::new(node, diagnostics);
    let target = TargetAnswer {
        name: map.text("name"),
        data_centre: map.text("data-centre"),
        upstream: read_address(&mut map, "upstream"),
        relay: read_address(&mut map, "relay"),
        control: read_address(&mut map, "control"),
        slots: map.count("slots"),
        connections: map.count("connections"),
    };
    map.finish();
    target
}

fn read_series(node: &SpannedNode, diagnostics: &mut Vec<Diagnostic>) -> SeriesAnswer {
    let mut map = MappingReader::new(node, diagnostics);
    let prefix = match map.get("prefix") {
        Some(_) => map.text("prefix"),
        None => unlocated(String::new()),
    };
    let address_step = match map.get("address-step") {
        Some(_) => map.count("address-step"),
        None => unlocated(0),
    };
    let series = SeriesAnswer {
        prefix,
        count: map.count("count"),
        over: map.list("over", read_text),
        base: read_address(&mut map, "base"),
        port_step: map.count("port-step"),
        address_step,
        slots: map.count("slots"),
        connections: map.count("connections"),
    };
    map.finish();
    series
}

fn parse_preference(word: &str) -> Option<SpreadPreference> {
    match word {
        "convergence" => Some(SpreadPreference::Convergence),
        "bytes" => Some(SpreadPreference::Bytes),
        _ => None,
    }
}

fn parse_origin(word: &str) -> Option<CallerOrigin> {
    match word {
        "internal" => Some(CallerOrigin::Internal),
        "outside" => Some(CallerOrigin::Outside),
        _ => None,
    }
}

fn parse_kind(word: &str) -> Option<RouteKind> {
    match word {
        "lookup" => Some(RouteKind::Lookup),
        "search" => Some(RouteKind::Search),
        "submit" => Some(RouteKind::Submit),
        "upload" => Some(RouteKind::Upload),
        _ => None,
    }
}
