//! Decisions on calls between VMs: routes, known targets, choice, admission and repeats.
//!
//! Nothing here does I/O or reads a clock. Times are handed in, random numbers come from a seeded
//! generator, so that a test can play any load or fault.

mod budget;
mod held;
mod intake;
mod loss;
mod picker;
mod plan;
mod ranks;
mod readers;
mod registry;
mod routes;
mod silence;
mod slots;
mod view;
mod waits;

pub use budget::{RepeatAllowance, RepeatBudget};
pub use held::{CrashHistory, HELD_SPAN};
pub use intake::{IntakeStep, LARGE_BODY, LinkIntake};
pub use loss::{AnswerTimes, LossCause};
pub use picker::{OtherTargets, PickedTarget, TargetPicker, TargetSignal};
pub use plan::{AttemptEnd, CallPlan, PlanCall, PlanStep};
pub use ranks::RankCounts;
pub use readers::{ReaderChoice, ViewSource, VmSizes, is_small};
pub use registry::{TargetListing, TargetRegistry, TargetState};
pub use routes::{ClientLimits, RepeatKind, RouteRule, RouteTable, ServiceRule, SplitPart};
pub use silence::{LOOK_PERIOD, LinkLife, LinkSilence, SilenceLimits};
pub use slots::{CallEnd, QueuedCall, SlotAction, SlotLoad, SlotQueue, SlotStep, SlotTicket};
pub use view::{StoreView, StoredItem, ViewChange};
pub use waits::CallerWaits;
