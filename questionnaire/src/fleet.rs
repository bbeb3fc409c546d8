//! Generates questionnaires of any size for tests and benchmarks.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use fescuestack_core::{DAY_MINUTES, RouteKind, SpreadPreference};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_saphyr::Spanned;

use crate::answers::{
    Answers, CallerOrigin, ClassAnswer, DayMinute, PeriodAnswer, RegionAnswer, RouteAnswer,
    SeriesAnswer, ServiceAnswer, TenantAnswer,
};
use crate::tree::unlocated;

/// Number of services per tenant.
const SERVICES_PER_TENANT: u32 = 20;

/// IP address of the first target. Every target has its own address, as on separate VMs. The range is
/// loopback, so that a fleet started by mistake cannot reach other machines.
const FIRST_TARGET_IP: u32 = 0x7f01_0001;

/// Port of the upstreams. The relay and control ports are the next two.
const UPSTREAM_PORT: u16 = 21_000;

const TIME_ZONES: [&str; 4] = ["Europe/London", "Europe/Athens", "America/New_York", "Asia/Tokyo"];

/// Size of a generated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of services.
    pub services: u32,
    /// Number of targets; at least one per service is generated.
    pub targets: u32,
    /// Number of regions, at least 1.
    pub regions: u32,
    /// Number of data centres, at least 1. They are distributed over the regions in turn.
    pub data_centres: u32,
}

impl FleetSize {
    /// Creates the size of a fleet with 6 regions and 13 data centres.
    pub const fn new(services: u32, targets: u32) -> FleetSize {
        FleetSize { services, targets, regions: 6, data_centres: 13 }
    }
}

/// Generates the answers for a fleet of `size`. Equal seeds give equal answers.
pub fn generate_fleet(size: FleetSize, seed: u64) -> Answers {
    let mut rng = Pcg64::seed_from_u64(seed);
    let size =
        FleetSize { regions: size.regions.max(1), data_centres: size.data_centres.max(1), ..size };
    let data_centres: Vec<String> =
        (0..size.data_centres).map(|index| format!("dc-{index}")).collect();
    let counts = target_counts(size, &mut rng);
    let mut services = Vec::new();
    let mut offset = 0;
    for (index, &count) in (0..).zip(&counts) {
        services.push(service_answer(index, count, offset, &data_centres, &mut rng));
        offset += count;
    }
    let tenants = (0..size.services.div_ceil(SERVICES_PER_TENANT))
        .map(|index| tenant_answer(index, &mut rng));
    Answers {
        deployment: unlocated(format!("fleet-{seed}")),
        preference: unlocated(SpreadPreference::Convergence),
        link_delay_ms: unlocated(5),
        caller_delay_ms: unlocated(8),
        regions: unlocated(region_answers(size, &data_centres)),
        tenants: unlocated(tenants.collect()),
        services: unlocated(services),
    }
}

fn region_answers(size: FleetSize, data_centres: &[String]) -> Vec<RegionAnswer> {
    let region = |index: u32| {
        let is_in_region = |(position, _): &(u32, &String)| position % size.regions == index;
        let in_region = (0..)
            .zip(data_centres)
            .filter(is_in_region)
            .map(|(_, data_centre)| unlocated(data_centre.clone()));
        RegionAnswer {
            name: unlocated(format!("region-{index}")),
            data_centres: unlocated(in_region.collect()),
        }
    };
    (0..size.regions).map(region).collect()
}

/// Returns the number of targets of each service: one each, and the rest distributed at random with a
/// bias towards the first services.
fn target_counts(size: FleetSize, rng: &mut Pcg64) -> Vec<u32> {
    let mut counts = vec![1; size.services as usize];
    if counts.is_empty() {
        return counts;
    }
    for _ in size.services..size.targets {
        // The minimum of two draws gives the first services about twice the average.
        let index = rng.random_range(0..counts.len()).min(rng.random_range(0..counts.len()));
        counts[index] += 1;
    }
    counts
}

fn tenant_answer(index: u32, rng: &mut Pcg64) -> TenantAnswer {
    let outside = ClassAnswer {
        name: unlocated("callers".to_owned()),
        callers: unlocated(CallerOrigin::Outside),
        patience: unlocated(vec![
            period_answer(0, 8 * 60, rng.random_range(20..60) * 100),
            period_answer(8 * 60, 18 * 60, rng.random_range(10..30) * 100),
            period_answer(18 * 60, DAY_MINUTES, rng.random_range(20..60) * 100),
        ]),
    };
    let internal = ClassAnswer {
        name: unlocated("services".to_owned()),
        callers: unlocated(CallerOrigin::Internal),
        patience: unlocated(vec![period_answer(0, DAY_MINUTES, rng.random_range(3..10) * 100)]),
    };
    TenantAnswer {
        name: unlocated(format!("team-{index}")),
        zone: unlocated(TIME_ZONES[rng.random_range(0..TIME_ZONES.len())].to_owned()),
        classes: unlocated(vec![outside, internal]),
    }
}

fn period_answer(from: u16, to: u16, patience_ms: u64) -> PeriodAnswer {
    let minute = |minute| unlocated(DayMinute::new(minute).expect("within the day"));
    PeriodAnswer { from: minute(from), to: minute(to), patience_ms: unlocated(patience_ms) }
}

fn service_answer(
    index: u32,
    count: u32,
    offset: u32,
    data_centres: &[String],
    rng: &mut Pcg64,
) -> ServiceAnswer {
    let name = format!("service-{index}");
    let tenant = format!("team-{}", index / SERVICES_PER_TENANT);
    let base = IpAddr::V4(Ipv4Addr::from(FIRST_TARGET_IP + offset));
    let series = SeriesAnswer {
        prefix: unlocated(name.clone()),
        count: unlocated(count),
        over: unlocated(pick_data_centres(data_centres, rng)),
        base: unlocated(SocketAddr::new(base, UPSTREAM_PORT)),
        port_step: unlocated(0),
        address_step: unlocated(1),
        slots: unlocated(6),
        connections: unlocated(120),
    };
    ServiceAnswer {
        name: unlocated(name),
        routes: unlocated(route_answers(&tenant, rng)),
        tenant: unlocated(tenant),
        queue_limit: unlocated(rng.random_range(16..128)),
        key_window_ms: unlocated(120_000),
        key_clock_skew_ms: Some(unlocated(500)),
        targets: unlocated(Vec::new()),
        target_series: unlocated(vec![series]),
    }
}

/// Picks up to four consecutive data centres, starting at a random one.
fn pick_data_centres(data_centres: &[String], rng: &mut Pcg64) -> Vec<Spanned<String>> {
    let first = rng.random_range(0..data_centres.len());
    let count = rng.random_range(1..=data_centres.len().min(4));
    data_centres
        .iter()
        .cycle()
        .skip(first)
        .take(count)
        .map(|data_centre| unlocated(data_centre.clone()))
        .collect()
}

fn route_answers(tenant: &str, rng: &mut Pcg64) -> Vec<RouteAnswer> {
    let templates = [
        ("GET", "/items", RouteKind::Lookup, false, 0),
        ("GET", "/search", RouteKind::Search, false, 0),
        ("POST", "/orders", RouteKind::Submit, false, 64 << 10),
        ("PUT", "/files", RouteKind::Upload, false, 16 << 20),
        ("GET", "/stock", RouteKind::Lookup, true, 0),
    ];
    let count = rng.random_range(1..=templates.len());
    let route =
        |(method, prefix, kind, internal_only, limit): (&str, &str, RouteKind, bool, u64)| {
            let (internal, outside) = (format!("{tenant}/services"), format!("{tenant}/callers"));
            let classes = if internal_only {
                vec![unlocated(internal)]
            } else {
                vec![unlocated(outside), unlocated(internal)]
            };
            RouteAnswer {
                method: unlocated(method.to_owned()),
                prefix: unlocated(prefix.to_owned()),
                kind: unlocated(kind),
                may_repeat: unlocated(kind.is_idempotent()),
                internal_only: unlocated(internal_only),
                body_limit_bytes: unlocated(limit),
                classes: unlocated(classes),
            }
        };
    templates.into_iter().take(count).map(route).collect()
}
