//! Decision logic for calls between VMs: routing, target selection, admission control and retries.
//!
//! This crate performs no I/O and reads no clock. Callers pass in the time, and random numbers come
//! from a seeded generator, so tests can simulate any load or fault deterministically.

mod budget;
mod caller_waits;
mod crashes;
mod ingress;
mod liveness;
mod loss;
mod picker;
mod plan;
mod priorities;
mod registry;
mod routes;
mod slots;
mod sources;
mod view;

pub use budget::{RetryAllowance, RetryBudget};
pub use caller_waits::CallerWaitEstimator;
pub use crashes::{CrashTracker, QUARANTINE_DURATION};
pub use ingress::{IngressDecision, IngressLink, LARGE_BODY_BYTES};
pub use liveness::{LINK_CHECK_INTERVAL, LinkHealth, LinkMonitor, LinkTimeouts};
pub use loss::{LatencyBreakdown, LossCause};
pub use picker::{Alternatives, PickedTarget, TargetFeedback, TargetPicker};
pub use plan::{AttemptEnd, CallParams, CallPlan, PlanStep};
pub use priorities::PriorityCounts;
pub use registry::{TargetListing, TargetRegistry, TargetState};
pub use routes::{ClientLimits, RequestKind, RouteRule, RouteTable, ServiceRule, WeightedService};
pub use slots::{
    AdmissionDecision, CallEnd, QueuedCall, SlotAction, SlotLoad, SlotQueue, SlotTicket,
};
pub use sources::{SourceSelector, ViewSource, VmSizes, is_small_vm};
pub use view::{StoreView, StoredItem, ViewChange};
