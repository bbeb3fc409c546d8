//! A service for tests of the key table.

use fescuestack_core::{ClockSpan, ServicePart, ServiceView, TargetEntry};

pub fn service_view(names: &[&str], window: ClockSpan, skew: Option<ClockSpan>) -> ServiceView {
    let address = "127.0.0.1:9000".parse().expect("an address");
    let target = |name: &&str| TargetEntry {
        name: (*name).into(),
        data_centre: "bangor".into(),
        upstream: address,
        relay: address,
        control: address,
        slots: 6,
        connections: 120,
    };
    let part = ServicePart {
        service: "register".to_owned(),
        tenant: "licensing".to_owned(),
        routes: Vec::new(),
        queue_limit: 10,
        key_window_ms: window.millis(),
        key_skew_ms: skew.map(ClockSpan::millis),
    };
    ServiceView { part, targets: names.iter().map(target).collect() }
}
