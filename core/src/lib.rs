//! Decisions of fescuestack: versions, distribution, membership and calls.
//!
//! Nothing here does I/O, starts threads, reads a clock or draws its own random numbers. An input and
//! a time go in, actions come out, so that tests, replays and nodes drive the same code.

mod admission;
mod assembly;
mod balancer;
mod clock;
mod code;
mod completed;
mod config;
mod control;
mod crashes;
mod deadline;
mod delta;
mod distribution;
mod drain;
mod events;
mod fingerprint;
mod gate;
mod gateways;
mod handover;
mod head_check;
mod keys;
mod keytime;
mod manifest;
mod members;
mod membership;
mod message;
mod owner;
mod ownership;
mod patience;
mod plan;
mod probes;
mod quarantine;
mod record;
mod retries;
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
mod watch;

pub use admission::{
    AdmissionAction, AdmissionAnswer, AdmissionCall, AdmissionQueue, AdmissionSettings, CallTicket,
};
pub use balancer::{
    LoadReport, TargetBalancer, TargetChoice, TargetLiveness, TargetOutcome, scan_load,
};
pub use clock::{ClockSpan, ClockTime};
pub use code::{CallOutcome, ResultCode};
pub use completed::CompletedSet;
pub use config::{
    CallerClass, CallersPart, ConfigPart, FLEET_PART, FleetPart, NodeName, PartName,
    PatiencePeriod, RegionEntry, RouteKind, RouteRule, ServicePart, SpreadPreference, TargetEntry,
    TargetsPart, VALUE_LIMIT_BYTES,
};
pub use control::{
    ControlAction, ControlInput, ControlSettings, PlatformFault, ReadAnswer, ValueRecord, VmEntry,
    VmState,
};
pub use deadline::{CallDeadline, LEFT_HEADER, scan_left};
pub use delta::{
    BUNDLE_PARTS, HEAD_KEY, HeadRecord, ManifestRecord, PartContent, VersionDelta, bundle_key,
    delta_key, manifest_key, page_key, part_key,
};
pub use drain::{DrainPhase, DrainState};
pub use events::{CrashReport, SpreadEvent};
pub use fingerprint::{FINGERPRINT_BODY_BYTES, FingerprintHasher, RequestFingerprint};
pub use gate::{GateAction, GateCall, GateOutcome, GateReply, GateSettings, GateStep, TargetGate};
pub use handover::{KeyAnswer, KeyFinding, KeyQuestion, RecordedAnswer};
pub use keys::{
    KEY_CAPACITY, KEY_LIMIT_BYTES, KeyTable, KeyVerdict, RECORDED_BODY_BYTES, RECORDED_TOTAL_BYTES,
};
pub use keytime::{dated_key, scan_key_time};
pub use manifest::{BUCKET_COUNT, BucketEntries, PartManifest, bucket_index};
pub use message::{MemberEvent, MemberState, PartRequest, PeerAddress, PeerMessage, VersionHeads};
pub use owner::key_owner;
pub use patience::{DAY_MINUTES, PatienceZone};
pub use plan::{AttemptEnd, PlanAnswer, PlanCall, PlanStep, RequestPlan};
pub use quarantine::{QUARANTINE_LIMIT, QUARANTINE_SPAN, QuarantineList};
pub use record::{
    ControlRecorder, RecordHeader, RecordedInput, ReplayMismatch, ReplayReport, StatedOutcome,
    outcome_line, replay,
};
pub use retries::{ATTEMPT_LIMIT, RetryBudget, RetryCase};
pub use snapshot::{ConfigSnapshot, RejectReason, ServiceView, TenantView};
pub use state::ControlState;
pub use status::{
    ArrivalPath, ControlCounters, ControlStatus, MemberStatus, RejectedVersion, SourceState,
    VersionClash,
};
pub use version::{HASH_BYTES, PartHash, VersionId};
