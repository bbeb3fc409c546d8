//! Stand-ins of the platform and the upstreams, and the load generator.

mod arrivals;
mod caller;
mod exchange;
mod generator;
mod ledger;
mod platform;
mod report;
mod upstream;

pub use arrivals::{ArrivalPlan, LoadClass, LoadEntry, LoadPath, LoadSettings, PlannedArrival};
pub use caller::{AnswerVerdict, CallAnswer, CallerClient};
pub use exchange::{AnswerBody, KEY_HEADER, REQUEST_HEADER};
pub use generator::{
    AttemptRecord, DIRECT_PATH, MeasureSettings, NODE_PATH, RequestRecord, measure_calls, run_load,
};
pub use ledger::{LedgerView, RequestLedger, RunEnd, RunIndex, RunRecord, request_of};
pub use platform::{PlatformMode, PlatformStandin, PlatformUsage};
pub use report::{
    AddedLatency, ClassReport, LedgerCounts, LoadReport, MeasureReport, TimeQuantiles,
};
pub use upstream::{LoadSample, ProbeMode, StandinRoute, UpstreamSettings, UpstreamStandin};
