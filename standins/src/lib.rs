//! Stand-ins for the platform and for upstreams, and an open-loop load generator.

mod arrivals;
mod caller;
mod exchange;
mod generator;
mod ledger;
mod platform;
mod report;
mod upstream;

pub use arrivals::{
    ArrivalSchedule, LoadClass, LoadEntry, LoadPath, LoadSettings, ScheduledArrival,
};
pub use caller::{AnswerVerdict, CallAnswer, LoadClient};
pub use exchange::{AnswerBody, KEY_HEADER, REQUEST_HEADER};
pub use generator::{
    AttemptRecord, DIRECT_PATH, MeasureSettings, NODE_PATH, RequestRecord, measure_calls, run_load,
};
pub use ledger::{LedgerIndex, RequestLedger, RunEnd, RunIndex, RunRecord, request_id};
pub use platform::{PlatformCounters, PlatformMode, PlatformStandin};
pub use report::{
    AddedLatency, ClassReport, LedgerCounts, LoadReport, MeasureReport, TimeQuantiles,
};
pub use upstream::{LoadSample, ProbeMode, StandinRoute, UpstreamSettings, UpstreamStandin};
