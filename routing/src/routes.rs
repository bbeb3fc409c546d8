//! The operators' configuration, compiled for the path of a call.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use fescuestack_core::ClockSpan;
use rustc_hash::FxHashMap;

/// Fractional part of the golden ratio in 32 bits. Its multiples spread evenly over the range, so
/// that a split keeps its weights even over few calls.
const GOLDEN_STEP: u32 = 0x9e37_79b9;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Idempotent.
    Idempotent,
    /// Runs at most once for each attempt of a client.
    NonIdempotent,
    /// Runs at most once; its body is large.
    Upload,
}

impl RequestKind {
    /// Whether a request of this kind may be sent again without knowing that it has not run.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Idempotent)
    }
}

/// A service that takes a part of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the calls, relative to the other parts.
    pub weight: u32,
}

/// A rule for the requests below one prefix of a host.
#[derive(Debug)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Start of the paths, with a slash at both ends.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Time within which an answer has its full use for the caller.
    pub soft_timeout: ClockSpan,
    /// Longest time that a caller is kept waiting.
    pub timeout: ClockSpan,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Where the calls go. Never empty.
    pub split: Vec<WeightedService>,
    /// Calls so far, for the split.
    call_count: AtomicU32,
}

impl RouteRule {
    /// Creates a rule without times and services, for one attempt of the highest urgency.
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

    /// Sets the time of full use and the longest time.
    pub fn with_times(self, soft_timeout: ClockSpan, timeout: ClockSpan) -> RouteRule {
        RouteRule { soft_timeout, timeout, ..self }
    }

    /// Sets the urgency and the most targets that a request may be sent to.
    pub fn with_limits(self, priority: u8, max_attempts: u32) -> RouteRule {
        RouteRule { priority, max_attempts, ..self }
    }

    /// Sets where the calls go.
    pub fn with_split(self, split: Vec<WeightedService>) -> RouteRule {
        RouteRule { split, ..self }
    }

    /// The service of the next call.
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

/// What the configuration says about a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// Most connections that a target takes from all callers.
    pub max_connections: u32,
}

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest head in bytes.
    pub max_head_bytes: usize,
    /// Longest body in bytes.
    pub max_body_bytes: u64,
    /// Longest time for a head.
    pub head_timeout: ClockSpan,
    /// How long an unused connection is kept.
    pub idle_timeout: ClockSpan,
}

/// One version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// The operators' version. Grows with each change.
    pub version: u64,
    /// Limits of clients.
    pub limits: ClientLimits,
    services: FxHashMap<Arc<str>, ServiceRule>,
    hosts: FxHashMap<Box<str>, FxHashMap<Box<str>, Arc<RouteRule>>>,
}

impl RouteTable {
    /// Creates a table without routes.
    pub fn new(version: u64, limits: ClientLimits) -> RouteTable {
        let (services, hosts) = Default::default();
        RouteTable { version, limits, services, hosts }
    }

    /// Adds a service.
    pub fn with_service(mut self, name: Arc<str>, rule: ServiceRule) -> RouteTable {
        self.services.insert(name, rule);
        self
    }

    /// Adds a route of `host`.
    pub fn with_route(mut self, host: &str, rule: RouteRule) -> RouteTable {
        let routes = self.hosts.entry(host.to_ascii_lowercase().into()).or_default();
        routes.insert(rule.prefix.clone(), Arc::new(rule));
        self
    }

    /// Whether each service of a route is known.
    pub fn is_complete(&self) -> bool {
        let mut rules = self.hosts.values().flat_map(|routes| routes.values());
        rules.all(|rule| {
            rule.split.iter().all(|part| self.services.contains_key(&part.service))
                && rule.split.iter().any(|part| part.weight > 0)
        })
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// All services, ordered by name.
    pub fn services(&self) -> Vec<(&str, &ServiceRule)> {
        let mut services: Vec<_> =
            self.services.iter().map(|(name, rule)| (&**name, rule)).collect();
        services.sort_unstable_by_key(|(name, _)| *name);
        services
    }

    /// The routes of all hosts, ordered by host and prefix.
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

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(FxHashMap::len).sum()
    }

    /// The route of a request: the longest prefix of the host that starts the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => {
                let name = host.split(':').next()?.to_ascii_lowercase();
                self.hosts.get(name.as_str())?
            }
        };
        // Prefixes end with a slash, so only the slashes of the path have to be tried.
        path.rmatch_indices('/').find_map(|(index, _)| routes.get(&path[..=index]))
    }
}
