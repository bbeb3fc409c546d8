//! Services for the tests.

use std::net::SocketAddr;

use fescuestack_core::{ServicePart, ServiceView, TargetEntry};

pub const SLOTS: u32 = 6;

/// A target in data centre `a` or `b`, by turns.
pub fn target(number: usize) -> TargetEntry {
    let address: SocketAddr = ([127, 0, 0, 1], 9000 + number as u16).into();
    TargetEntry {
        name: format!("t{number:03}").into(),
        data_centre: if number.is_multiple_of(2) { "a".into() } else { "b".into() },
        upstream: address,
        relay: address,
        control: address,
        slots: SLOTS,
        connections: 120,
    }
}

pub fn service(
    targets: impl IntoIterator<Item = usize>,
    queue_limit: u32,
    window: u64,
) -> ServiceView {
    let mut targets: Vec<TargetEntry> = targets.into_iter().map(target).collect();
    targets.sort_by(|left, right| left.name.cmp(&right.name));
    let part = ServicePart {
        service: "register".to_owned(),
        tenant: "council".to_owned(),
        routes: Vec::new(),
        queue_limit,
        key_window_ms: window,
        key_skew_ms: None,
    };
    ServiceView { part, targets }
}
