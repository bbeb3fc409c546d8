//! The parts of a configuration, as published.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Largest published value, in bytes. The platform's service refuses larger ones.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Name of a part, such as `service/register`.
pub type PartName = Arc<str>;

/// Name of a node. It equals the name of the target beside the node.
pub type NodeName = Arc<str>;

/// What the distribution of versions optimises for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadPreference {
    /// Short convergence time.
    #[default]
    Convergence,
    /// Few control bytes.
    Bytes,
}

/// Part `fleet`: places and the distribution preference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPart {
    /// Name of the deployment.
    pub deployment: String,
    /// Regions with their data centres.
    pub regions: Vec<RegionEntry>,
    /// What distribution optimises for.
    pub preference: SpreadPreference,
    /// One-way delay between data centres, in milliseconds.
    pub link_delay_ms: u64,
    /// One-way delay to callers, in milliseconds.
    pub caller_delay_ms: u64,
}

/// A region and its data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// Name of the region.
    pub name: String,
    /// Names of its data centres.
    pub data_centres: Vec<String>,
}

/// Part `callers/<tenant>`: the caller classes of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallersPart {
    /// Name of the tenant.
    pub tenant: String,
    /// IANA time zone in which the patience periods are given.
    pub zone: String,
    /// The caller classes.
    pub classes: Vec<CallerClass>,
}

/// A class of callers with the patience they have over the day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerClass {
    /// Name, unique within the tenant.
    pub name: String,
    /// Whether the callers are services of the mesh.
    pub internal: bool,
    /// Periods that together cover the local day.
    pub patience: Vec<PatiencePeriod>,
}

/// Patience during a period of the local day. A period whose end is not after its start spans midnight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatiencePeriod {
    /// First minute of the period, counted from local midnight.
    pub from_minute: u16,
    /// First minute after the period, counted from local midnight.
    pub to_minute: u16,
    /// How long the callers wait, in milliseconds.
    pub patience_ms: u64,
}

/// Part `service/<name>`: routes and limits of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePart {
    /// Name of the service; the host of its calls.
    pub service: String,
    /// Tenant that runs the service.
    pub tenant: String,
    /// The routes, in no particular order.
    pub routes: Vec<RouteRule>,
    /// Longest queue for each class at a target's node, in calls.
    pub queue_limit: u32,
    /// How long an idempotency key is remembered, in milliseconds.
    pub key_window_ms: u64,
    /// Most by which the clocks of callers and nodes differ, in milliseconds, when the callers use
    /// version 7 UUIDs as idempotency keys. Without it the creation time in a key is not believed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_skew_ms: Option<u64>,
}

/// The kind of a route, which decides on retries and streaming.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Short idempotent read.
    Lookup,
    /// Slow idempotent read.
    Search,
    /// Non-idempotent request.
    Submit,
    /// Streamed non-idempotent request.
    Upload,
}

impl RouteKind {
    /// Whether running a request of this kind twice does no harm.
    pub const fn is_idempotent(self) -> bool {
        match self {
            RouteKind::Lookup | RouteKind::Search => true,
            RouteKind::Submit | RouteKind::Upload => false,
        }
    }

    /// The name used in the configuration and in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            RouteKind::Lookup => "lookup",
            RouteKind::Search => "search",
            RouteKind::Submit => "submit",
            RouteKind::Upload => "upload",
        }
    }
}

/// A route of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path prefix; the longest matching one wins.
    pub prefix: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Whether only services of the mesh may call it.
    pub internal_only: bool,
    /// Largest request body, in bytes.
    pub body_limit_bytes: u64,
    /// Caller classes that use the route, as `<tenant>/<class>`. The first is the default.
    pub classes: Vec<String>,
}

/// Part `targets/<service>`: the upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetsPart {
    /// Name of the service.
    pub service: String,
    /// The targets, in any order.
    pub targets: Vec<TargetEntry>,
}

/// An upstream of a service and the node beside it. Serialised as an array, because there are
/// 15,000 of them and field names would double their size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name of the target and of the node beside it.
    pub name: NodeName,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
    /// Where the upstream listens.
    pub upstream: SocketAddr,
    /// Where the node takes relayed calls.
    pub relay: SocketAddr,
    /// Where the node takes control streams.
    pub control: SocketAddr,
    /// Calls the upstream runs at the same time.
    pub slots: u32,
    /// Connections the upstream accepts.
    pub connections: u32,
}

const TARGET_FIELDS: usize = 7;

impl Serialize for TargetEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(TARGET_FIELDS)?;
        tuple.serialize_element(&self.name)?;
        tuple.serialize_element(&self.data_centre)?;
        tuple.serialize_element(&self.upstream)?;
        tuple.serialize_element(&self.relay)?;
        tuple.serialize_element(&self.control)?;
        tuple.serialize_element(&self.slots)?;
        tuple.serialize_element(&self.connections)?;
        tuple.end()
    }
}

struct TargetVisitor;

impl<'de> Visitor<'de> for TargetVisitor {
    type Value = TargetEntry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[name, data centre, upstream, relay, control, slots, connections]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TargetEntry, A::Error> {
        let mut index = 0;
        let mut missing = || {
            index += 1;
            de::Error::invalid_length(index - 1, &"an array of seven elements")
        };
        Ok(TargetEntry {
            name: seq.next_element()?.ok_or_else(&mut missing)?,
            data_centre: seq.next_element()?.ok_or_else(&mut missing)?,
            upstream: seq.next_element()?.ok_or_else(&mut missing)?,
            relay: seq.next_element()?.ok_or_else(&mut missing)?,
            control: seq.next_element()?.ok_or_else(&mut missing)?,
            slots: seq.next_element()?.ok_or_else(&mut missing)?,
            connections: seq.next_element()?.ok_or_else(&mut missing)?,
        })
    }
}

impl<'de> Deserialize<'de> for TargetEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TargetEntry, D::Error> {
        deserializer.deserialize_tuple(TARGET_FIELDS, TargetVisitor)
    }
}

/// A part in its parsed form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigPart {
    /// Part `fleet`.
    Fleet(FleetPart),
    /// Part `callers/<tenant>`.
    Callers(CallersPart),
    /// Part `service/<name>`.
    Service(ServicePart),
    /// Part `targets/<service>`.
    Targets(TargetsPart),
}

/// Name of the part `fleet`.
pub const FLEET_PART: &str = "fleet";

impl ConfigPart {
    /// The name under which the part stands in the manifest.
    pub fn name(&self) -> PartName {
        match self {
            ConfigPart::Fleet(_) => FLEET_PART.into(),
            ConfigPart::Callers(part) => format!("callers/{}", part.tenant).into(),
            ConfigPart::Service(part) => format!("service/{}", part.service).into(),
            ConfigPart::Targets(part) => format!("targets/{}", part.service).into(),
        }
    }

    /// The published bytes of the part: compact JSON.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = match self {
            ConfigPart::Fleet(part) => serde_json::to_vec(part),
            ConfigPart::Callers(part) => serde_json::to_vec(part),
            ConfigPart::Service(part) => serde_json::to_vec(part),
            ConfigPart::Targets(part) => serde_json::to_vec(part),
        };
        encoded.expect("parts hold only values that JSON can express")
    }

    /// Parses the content published under `name`. Fails when the content is not valid for that kind
    /// of part or speaks of another name.
    pub fn decode(name: &str, content: &[u8]) -> Result<ConfigPart, serde_json::Error> {
        let part = match name.split_once('/') {
            None if name == FLEET_PART => ConfigPart::Fleet(serde_json::from_slice(content)?),
            Some(("callers", _)) => ConfigPart::Callers(serde_json::from_slice(content)?),
            Some(("service", _)) => ConfigPart::Service(serde_json::from_slice(content)?),
            Some(("targets", _)) => ConfigPart::Targets(serde_json::from_slice(content)?),
            _ => return Err(de::Error::custom(format_args!("unknown kind of part {name}"))),
        };
        if *part.name() == *name {
            Ok(part)
        } else {
            Err(de::Error::custom(format_args!("content of {name} names {}", part.name())))
        }
    }
}
