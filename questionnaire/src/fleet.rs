//! Generated questionnaires of any size, for tests and measurements.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use fescuestack_core::{DAY_MINUTES, RouteKind, SpreadPreference};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_saphyr::Spanned;

use crate::answers::{
    Answers, CallerOrigin, ClassAnswer, DayMinute, PeriodAnswer, RegionAnswer, RouteAnswer,
    SeriesAnswer, ServiceAnswer, TenantAnswer,
};
use crate::tree::hole;

/// Services that share a tenant.
const TENANT_SERVICES: u32 = 20;

/// First IP address of the targets. The loopback range, so that a fleet that is started by mistake
/// stays on its machine; each target has its own address, as on VMs.
const FIRST_IP: u32 = 0x7f01_0001;

/// Port of the upstreams; relay and control take the next two.
const UPSTREAM_PORT: u16 = 21_000;

const ZONES: [&str; 4] = ["Europe/London", "Europe/Athens", "America/New_York", "Asia/Tokyo"];

/// Size of a generated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of services.
    pub services: u32,
    /// Number of targets; raised to the number of services when it is lower.
    pub targets: u32,
    /// Number of regions, at least 1.
    pub regions: u32,
    /// Number of data centres, at least 1, distributed over the regions.
    pub data_centres: u32,
}

impl FleetSize {
    /// A fleet over 6 regions and 13 data centres.
    pub const fn new(services: u32, targets: u32) -> FleetSize {
        FleetSize { services, targets, regions: 6, data_centres: 13 }
    }
}

/// Answers for a fleet of `size`. The same seed gives the same answers.
pub fn generate_fleet(size: FleetSize, seed: u64) -> Answers {
    let mut random = Pcg64::seed_from_u64(seed);
    let size =
        FleetSize { regions: size.regions.max(1), data_centres: size.data_centres.max(1), ..size };
    let places: Vec<String> = (0..size.data_centres).map(|index| format!("dc-{index}")).collect();
    let counts = target_counts(size, &mut random);
    let mut services = Vec::new();
    let mut offset = 0;
    for (index, &count) in (0..).zip(&counts) {
        services.push(service_answer(index, count, offset, &places, &mut random));
        offset += count;
    }
    let tenants =
        (0..size.services.div_ceil(TENANT_SERVICES)).map(|index| tenant_answer(index, &mut random));
    Answers {
        deployment: hole(format!("fleet-{seed}")),
        preference: hole(SpreadPreference::Convergence),
        link_delay_ms: hole(5),
        caller_delay_ms: hole(8),
        regions: hole(region_answers(size, &places)),
        tenants: hole(tenants.collect()),
        services: hole(services),
    }
}

fn region_answers(size: FleetSize, places: &[String]) -> Vec<RegionAnswer> {
    let region = |index: u32| {
        let placed = |(place, _): &(u32, &String)| place % size.regions == index;
        let own = (0..).zip(places).filter(placed).map(|(_, place)| hole(place.clone()));
        RegionAnswer { name: hole(format!("region-{index}")), data_centres: hole(own.collect()) }
    };
    (0..size.regions).map(region).collect()
}

/// Targets of each service: one each, the rest drawn so that few services are large.
fn target_counts(size: FleetSize, random: &mut Pcg64) -> Vec<u32> {
    let mut counts = vec![1; size.services as usize];
    if counts.is_empty() {
        return counts;
    }
    for _ in size.services..size.targets {
        // The lower of two draws makes the services at the front about twice the average.
        let index = random.random_range(0..counts.len()).min(random.random_range(0..counts.len()));
        counts[index] += 1;
    }
    counts
}

fn tenant_answer(index: u32, random: &mut Pcg64) -> TenantAnswer {
    let outside = ClassAnswer {
        name: hole("callers".to_owned()),
        callers: hole(CallerOrigin::Outside),
        patience: hole(vec![
            period_answer(0, 8 * 60, random.random_range(20..60) * 100),
            period_answer(8 * 60, 18 * 60, random.random_range(10..30) * 100),
            period_answer(18 * 60, DAY_MINUTES, random.random_range(20..60) * 100),
        ]),
    };
    let internal = ClassAnswer {
        name: hole("services".to_owned()),
        callers: hole(CallerOrigin::Internal),
        patience: hole(vec![period_answer(0, DAY_MINUTES, random.random_range(3..10) * 100)]),
    };
    TenantAnswer {
        name: hole(format!("team-{index}")),
        zone: hole(ZONES[random.random_range(0..ZONES.len())].to_owned()),
        classes: hole(vec![outside, internal]),
    }
}

fn period_answer(from: u16, to: u16, patience_ms: u64) -> PeriodAnswer {
    let minute = |minute| hole(DayMinute::new(minute).expect("within the day"));
    PeriodAnswer { from: minute(from), to: minute(to), patience_ms: hole(patience_ms) }
}

fn service_answer(
    index: u32,
    count: u32,
    offset: u32,
    places: &[String],
    random: &mut Pcg64,
) -> ServiceAnswer {
    let name = format!("service-{index}");
    let tenant = format!("team-{}", index / TENANT_SERVICES);
    let base = IpAddr::V4(Ipv4Addr::from(FIRST_IP + offset));
    let series = SeriesAnswer {
        prefix: hole(name.clone()),
        count: hole(count),
        over: hole(draw_places(places, random)),
        base: hole(SocketAddr::new(base, UPSTREAM_PORT)),
        port_step: hole(0),
        address_step: hole(1),
        slots: hole(6),
        connections: hole(120),
    };
    ServiceAnswer {
        name: hole(name),
        routes: hole(route_answers(&tenant, random)),
        tenant: hole(tenant),
        queue_limit: hole(random.random_range(16..128)),
        key_window_ms: hole(120_000),
        key_clock_skew_ms: Some(hole(500)),
        targets: hole(Vec::new()),
        target_series: hole(vec![series]),
    }
}

/// Up to four data centres, from a random one on.
fn draw_places(places: &[String], random: &mut Pcg64) -> Vec<Spanned<String>> {
    let first = random.random_range(0..places.len());
    let count = random.random_range(1..=places.len().min(4));
    places.iter().cycle().skip(first).take(count).map(|place| hole(place.clone())).collect()
}

fn route_answers(tenant: &str, random: &mut Pcg64) -> Vec<RouteAnswer> {
    let shapes = [
        ("GET", "/items", RouteKind::Lookup, false, 0),
        ("GET", "/search", RouteKind::Search, false, 0),
        ("POST", "/orders", RouteKind::Submit, false, 64 << 10),
        ("PUT", "/files", RouteKind::Upload, false, 16 << 20),
        ("GET", "/stock", RouteKind::Lookup, true, 0),
    ];
    let count = random.random_range(1..=shapes.len());
    let route =
        |(method, prefix, kind, internal_only, limit): (&str, &str, RouteKind, bool, u64)| {
            let (inside, outside) = (format!("{tenant}/services"), format!("{tenant}/callers"));
            let classes =
                if internal_only { vec![hole(inside)] } else { vec![hole(outside), hole(inside)] };
            RouteAnswer {
                method: hole(method.to_owned()),
                prefix: hole(prefix.to_owned()),
                kind: hole(kind),
                may_repeat: hole(kind.is_idempotent()),
                internal_only: hole(internal_only),
                body_limit_bytes: hole(limit),
                classes: hole(classes),
            }
        };
    shapes.into_iter().take(count).map(route).collect()
}
