//! HTTP server for callers and for calls relayed by other nodes.

mod ask;
mod attempt;
mod balancers;
mod content;
mod entry;
mod headers;
mod record;
mod relay;
mod routing;
mod service;
mod target;
mod ticket;

pub use record::{CallDecision, CallObserver, CallRecord, CallSide, CallStep};
pub use service::{CallService, CallSettings};
