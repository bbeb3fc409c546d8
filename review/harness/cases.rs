//! The cases, each with its disruption and its check.

mod endless_body;
mod moved_store;
mod poison;
mod restored_store;
mod rolling_stop;
mod silent_store;
mod stalled_reader;
mod stop;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::client::{Call, Reading, call_once};
use crate::http::Request;
use crate::node::{Machine, MachineSetup, free_ports, machine_ip};
use crate::record;
use crate::store::Store;
use crate::target::{Reaction, Target};

/// Host of all routes.
pub const HOST: &str = "review.example";

/// The bounds of the small deployments.
pub const CONTACT: Duration = Duration::from_secs(3);
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
pub const OUTER: Duration = Duration::from_secs(5);
pub const GRACE: Duration = Duration::from_secs(6);

/// Plays the case `name`.
pub fn run(name: &str, binary: &str, trouble: bool) -> Result<Verdict, String> {
    match name {
        "endless-body" => endless_body::run(binary, trouble),
        "stop" => stop::run(binary, trouble),
        "restored-store" => restored_store::run(binary, trouble),
        "rolling-stop" => rolling_stop::run(binary, trouble),
        "silent-store" => silent_store::run(binary, trouble),
        "stalled-reader" => stalled_reader::run(binary, trouble),
        "moved-store" => moved_store::run(binary, trouble),
        "poison" => poison::run(binary, trouble),
        _ => Err(format!("unknown case {name}")),
    }
}

/// A route of the configuration.
#[derive(Clone, Copy)]
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub aim_s: f64,
    pub timeout_s: f64,
}

/// The operators' configuration with these routes.
pub fn config(version: u64, routes: &[Route<'_>]) -> String {
    let policies: Vec<_> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"r-{}\",\"route_type\":\"{}\",\"aim_s\":{},\"priority\":1,\
                 \"match\":{{\"prefix\":\"{}\"}},\"action\":{{\"service\":\"{}\",\
                 \"timeout_s\":{},\"max_attempts\":2}}}}",
                route.prefix.trim_matches('/'),
                route.kind,
                route.aim_s,
                route.prefix,
                route.service,
                route.timeout_s
            )
        })
        .collect();
    let cluster = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":120,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\
         \"listeners\":[{{\"host\":\"{HOST}\",\"policies\":[{}]}}],\"clusters\":[{},{}]}}",
        policies.join(","),
        cluster("alpha"),
        cluster("beta")
    )
}

/// Machines with their nodes and targets, and the store.
pub struct Fleet {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub targets: Vec<Target>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a machine for each zone and service of `spec`. `behaviour` makes the behaviour of the
    /// target with this number.
    pub fn start<B>(
        binary: &str,
        spec: &[(&str, &str)],
        routes: &[Route<'_>],
        behaviour: impl Fn(usize) -> B,
    ) -> Result<Fleet, String>
    where
        B: Fn(&Request, usize) -> Reaction + Send + Sync + 'static,
    {
        let text = |err: std::io::Error| err.to_string();
        let folder =
            std::env::temp_dir().join(format!("fescuestack-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let ports = free_ports(spec.len()).map_err(text)?;
        let store = Store::start(&machine_ip(spec.len())).map_err(text)?;
        store.put("op/config", &config(1, routes));
        let (mut machines, mut targets) = (Vec::new(), Vec::new());
        for (number, (zone, service)) in spec.iter().enumerate() {
            let setup = MachineSetup {
                number,
                zone,
                service,
                ports,
                store: store.address,
                folder: &folder,
                binary,
            };
            let machine = Machine::new(&setup).map_err(text)?;
            let id = format!("i-{:04}", number + 1);
            let target =
                Target::start(machine.app, &id, service, zone, behaviour(number)).map_err(text)?;
            store.put(&format!("servers/{id}"), &target.entry("ready", now_ms(), 1));
            machines.push(machine);
            targets.push(target);
        }
        for machine in &mut machines {
            machine.start().map_err(text)?;
        }
        let fleet = Fleet { store, machines, targets, folder };
        for machine in &fleet.machines {
            machine.wait_ready(Duration::from_secs(15))?;
        }
        // Traffic starts 8 s after the machines do.
        std::thread::sleep(Duration::from_secs(8));
        Ok(fleet)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        crate::node::kill_all();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Sends a request without a body on a new connection.
pub fn get(
    address: SocketAddr,
    path: &str,
    id: &str,
    deadline: Duration,
) -> crate::client::Outcome {
    let reading = Reading::default();
    call_once(address, &Call { method: "GET", host: HOST, path, id, deadline, body: &[], reading })
}

/// Sends a POST request on a new connection.
pub fn post(
    address: SocketAddr,
    path: &str,
    id: &str,
    deadline: Duration,
) -> crate::client::Outcome {
    let reading = Reading::default();
    let body = id.as_bytes();
    call_once(address, &Call { method: "POST", host: HOST, path, id, deadline, body, reading })
}

/// Sleeps until this time of the case.
pub fn sleep_until(time: Duration) {
    std::thread::sleep(time.saturating_sub(record::now()));
}
