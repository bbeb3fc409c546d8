//! Decisions of fescuestack: versions, distribution, membership and calls.
//!
//! Nothing here does I/O, starts threads, reads a clock or draws its own random numbers. An input and
//! a time go in, actions come out, so that tests, replays and nodes drive the same code.

mod assembly;
mod clock;
mod code;
mod config;
mod control;
mod crashes;
mod delta;
mod distribution;
mod events;
mod gateways;
mod manifest;
mod members;
mod membership;
mod message;
mod patience;
mod probes;
mod record;
mod serving;
mod snapshot;
mod source;
mod start;
mod state;
mod status;
mod targets;
mod transfer;
mod trees;
mod version;
mod versions;

pub use clock::{ClockSpan, ClockTime};
pub use code::{CallOutcome, ResultCode};
pub use config::{
    CallerClass, CallersPart, ConfigPart, FLEET_PART, FleetPart, NodeName, PartName,
    PatiencePeriod, RegionEntry, RouteKind, RouteRule, ServicePart, SpreadPreference, TargetEntry,
    TargetsPart, VALUE_LIMIT_BYTES,
};
pub use control::{
    ControlAction, ControlInput, ControlSettings, PlatformFault, ReadAnswer, ValueRecord, VmEntry,
    VmState,
};
pub use delta::{
    HEAD_KEY, HeadRecord, ManifestRecord, PartContent, VersionDelta, delta_key, manifest_key,
    page_key, part_key,
};
pub use events::{CrashReport, SpreadEvent};
pub use manifest::{BUCKET_COUNT, BucketEntries, PartManifest, bucket_index};
pub use message::{MemberEvent, MemberState, PartRequest, PeerAddress, PeerMessage, VersionHeads};
pub use patience::{DAY_MINUTES, PatienceZone};
pub use record::{
    ControlRecorder, RecordHeader, RecordedInput, ReplayMismatch, ReplayReport, StatedOutcome,
    outcome_line, replay,
};
pub use snapshot::{ConfigSnapshot, RejectReason, ServiceView, TenantView};
pub use state::ControlState;
pub use status::{
    ArrivalPath, ControlCounters, ControlStatus, MemberStatus, RejectedVersion, SourceState,
    VersionClash,
};
pub use version::{HASH_BYTES, PartHash, VersionId};
