//! Routing configuration of the operators, compiled for fast lookup.

use std::borrow::Cow;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use fescuestack_core::ClockSpan;
use rustc_hash::FxHashMap;

use crate::warmth::WarmupRule;

/// Fractional part of the golden ratio in 32 bits. Its multiples are distributed evenly over the
/// range, so that a traffic split matches its weights even over few calls.
const GOLDEN_STEP: u32 = 0x9e37_79b9;

/// Whether and how a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of a client.
    NonIdempotent,
    /// The request runs at most once, and has a large body.
    Upload,
}

impl RequestKind {
    /// Whether a request of this kind may be retried although it may have run.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Idempotent)
    }
}

/// A service that receives a share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the calls, relative to the other services of the route.
    pub weight: u32,
}

/// Rule for the requests below one path prefix of a host.
#[derive(Debug)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// Whether requests may be retried.
    pub kind: RequestKind,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time within which an answer has its full value for the caller (`aim_s` in the settings).
    pub soft_timeout: ClockSpan,
    /// Time after which the caller stops waiting.
    pub timeout: ClockSpan,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Services that receive the calls. Never empty.
    pub split: Vec<WeightedService>,
    /// Number of calls so far, from which the traffic split is computed.
    call_count: AtomicU32,
}

impl RouteRule {
    /// Creates a rule without timeouts and services, with one attempt and the highest priority.
    pub fn new(name: Arc<str>, prefix: Box<str>, kind: RequestKind) -> RouteRule {
        RouteRule {
            name,
            prefix,
            kind,
            priority: 0,
            soft_timeout: ClockSpan::ZERO,
            timeout: ClockSpan::ZERO,
            max_attempts: 1,
            split: Vec::new(),
            call_count: AtomicU32::new(0),
        }
    }

    /// Sets the soft and the hard timeout.
    pub fn with_times(self, soft_timeout: ClockSpan, timeout: ClockSpan) -> RouteRule {
        RouteRule { soft_timeout, timeout, ..self }
    }

    /// Sets the priority and the maximum number of targets that a request may be sent to.
    pub fn with_limits(self, priority: u8, max_attempts: u32) -> RouteRule {
        RouteRule { priority, max_attempts, ..self }
    }

    /// Sets the services that receive the calls.
    pub fn with_split(self, split: Vec<WeightedService>) -> RouteRule {
        RouteRule { split, ..self }
    }

    /// Selects the service of the next call. `offset` shifts the sequence, so that nodes do not all
    /// start with the same service.
    pub fn next_service(&self, offset: u32) -> Option<&Arc<str>> {
        if let [part] = &self.split[..] {
            return Some(&part.service);
        }
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let call_count = self.call_count.fetch_add(1, Ordering::Relaxed).wrapping_add(offset);
        let point = (u64::from(call_count.wrapping_mul(GOLDEN_STEP)) * total) >> 32;
        let mut cumulative = 0;
        for part in &self.split {
            cumulative += u64::from(part.weight);
            if point < cumulative {
                return Some(&part.service);
            }
        }
        self.split.last().map(|part| &part.service)
    }
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// Maximum number of connections that a target accepts from all callers.
    pub max_connections: u32,
    /// How its targets warm up, if calls to cold ones are limited.
    pub warmup: Option<WarmupRule>,
}

impl ServiceRule {
    /// Creates the rule of a service whose targets need not warm up.
    pub const fn new(max_connections: u32) -> ServiceRule {
        ServiceRule { max_connections, warmup: None }
    }
}

/// Limits for the requests of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum length of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request body in bytes.
    pub max_body_bytes: u64,
    /// Time within which the head has to be received.
    pub head_timeout: ClockSpan,
    /// Time for which an idle connection is kept open.
    pub idle_timeout: ClockSpan,
}

/// One version of the routing configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Version number assigned by the operators. It increases with each change.
    pub version: u64,
    /// Limits for the requests of clients.
    pub limits: ClientLimits,
    services: FxHashMap<Arc<str>, ServiceRule>,
    hosts: FxHashMap<Box<str>, FxHashMap<Box<str>, Arc<RouteRule>>>,
    /// Most and least urgent priority of the routes of each service.
    priorities: FxHashMap<Arc<str>, (u8, u8)>,
}

impl RouteTable {
    /// Creates a table without routes.
    pub fn new(version: u64, limits: ClientLimits) -> RouteTable {
        let (services, hosts, priorities) = Default::default();
        RouteTable { version, limits, services, hosts, priorities }
    }

    /// Adds a service.
    pub fn with_service(mut self, name: Arc<str>, rule: ServiceRule) -> RouteTable {
        self.services.insert(name, rule);
        self
    }

    /// Adds a route of `host`.
    pub fn with_route(mut self, host: &str, rule: RouteRule) -> RouteTable {
        for part in &rule.split {
            let known = (rule.priority, rule.priority);
            let range = self.priorities.entry(part.service.clone()).or_insert(known);
            *range = (range.0.min(rule.priority), range.1.max(rule.priority));
        }
        let routes = self.hosts.entry(host.to_ascii_lowercase().into()).or_default();
        routes.insert(rule.prefix.clone(), Arc::new(rule));
        self
    }

    /// Whether all services of all routes are defined, and each route has a service with a non-zero
    /// weight.
    pub fn is_complete(&self) -> bool {
        let mut rules = self.hosts.values().flat_map(|routes| routes.values());
        rules.all(|rule| {
            rule.split.iter().all(|part| self.services.contains_key(&part.service))
                && rule.split.iter().any(|part| part.weight > 0)
        })
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Whether routes of different priority go to a service.
    pub fn has_competing_routes(&self, service: &str) -> bool {
        self.priorities.get(service).is_some_and(|(most, least)| most < least)
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> Vec<(&str, &ServiceRule)> {
        let mut services: Vec<_> =
            self.services.iter().map(|(name, rule)| (&**name, rule)).collect();
        services.sort_unstable_by_key(|(name, _)| *name);
        services
    }

    /// Returns the routes of all hosts, sorted by host and prefix.
    pub fn hosts(&self) -> Vec<(&str, Vec<&RouteRule>)> {
        let mut hosts = Vec::with_capacity(self.hosts.len());
        for (host, routes) in &self.hosts {
            let mut rules: Vec<_> = routes.values().map(|rule| &**rule).collect();
            rules.sort_unstable_by_key(|rule| &rule.prefix);
            hosts.push((&**host, rules));
        }
        hosts.sort_unstable_by_key(|(host, _)| *host);
        hosts
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(FxHashMap::len).sum()
    }

    /// Finds the route of a request: the one with the longest matching prefix on the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&*host_name(host))?,
        };
        // Prefixes end with a slash, so only the slashes in the path have to be tried.
        path.rmatch_indices('/').find_map(|(index, _)| routes.get(&path[..=index]))
    }
}

/// Returns the name in a `Host` header, in lower case and without the port.
pub fn host_name(host: &str) -> Cow<'_, str> {
    let name = host.split(':').next().unwrap_or(host);
    match name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(name.to_ascii_lowercase()),
        false => Cow::Borrowed(name),
    }
}
