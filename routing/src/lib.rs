//! Decision logic for calls between VMs: routing, target selection, admission control and retries.
//!
//! This crate performs no I/O and reads no clock. Callers pass in the time, and random numbers come
//! from a seeded generator, so tests can simulate any load or fault deterministically.

mod budget;
mod calls;
mod completions;
mod evacuation;
mod gate;
mod hedge;
mod held;
mod intake;
mod loss;
mod memory;
mod outage;
mod pacer;
mod picker;
mod plan;
mod ranks;
mod readers;
mod registry;
mod repeats;
mod reuse;
mod room;
mod routes;
mod silence;
mod slots;
mod stop;
mod view;
mod waits;
mod warmth;

pub use budget::{RetryAllowance, RetryBudget};
pub use calls::{CallNeed, CallProfile, CallingRun, RunId};
pub use completions::SOUND_DURATION;
pub use evacuation::EvacuationSet;
pub use gate::RunGate;
pub use hedge::{HedgeBook, HedgeDecision, HedgeHold, SecondTarget, SlowCall};
pub use held::{
    CrashTracker, EndEvidence, KnownCompletion, KnownEnd, MAX_REPORTED_REQUESTS,
    QUARANTINE_DURATION,
};
pub use intake::{IngressDecision, IngressLink, LARGE_BODY_BYTES};
pub use loss::{LatencyBreakdown, LossCause};
pub use memory::{
    CloseReason, ConnectionKind, ConnectionLimits, ConnectionPhase, ConnectionProgress,
    ConnectionState, MemoryAccount, MemoryRequest, MemoryStep, ProgressLimits, choose_displaced,
    choose_evictions,
};
pub use outage::{FailureStep, KnownOutage, OUTAGE_TTL, OutageChange, OutageNotice, OutageTracker};
pub use pacer::{ColdLimit, RateLimit};
pub use picker::{Alternatives, PickedTarget, TargetFeedback, TargetPicker};
pub use plan::{AttemptEnd, CallParams, CallPlan, PlanStep};
pub use ranks::PriorityCounts;
pub use readers::{SourceSelector, ViewSource, VmSizes, is_small_vm};
pub use registry::{TargetListing, TargetNotice, TargetRegistry, TargetState};
pub use repeats::RepeatGuard;
pub use reuse::{ConnectionHistory, RequestMark, ReuseCase, ReuseStep};
pub use room::RoomEstimator;
pub use routes::{
    ClientLimits, RequestKind, RouteRule, RouteTable, ServiceRule, WeightedService, host_name,
};
pub use silence::{LINK_CHECK_INTERVAL, LinkHealth, LinkMonitor, LinkTimeouts};
pub use slots::{
    AdmissionDecision, CallEnd, CallOrigin, QueuedCall, SlotAction, SlotLoad, SlotQueue, SlotTicket,
};
pub use stop::{READINESS_NOTICE_TIME, StopSchedule};
pub use view::{StorePosition, StoreView, StoredItem, ViewChange};
pub use waits::CallerWaitEstimator;
pub use warmth::{ColdCause, ColdTracker, WarmupRule};
