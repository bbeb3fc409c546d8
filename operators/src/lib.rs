//! Operator port of a node, with status, explain, recording and metrics, and tables of lost requests from
//! logs.

mod client;
mod explain;
mod losses;
mod metrics;
mod port;

pub use client::{ClientError, fetch};
pub use explain::RecentCalls;
pub use losses::LossTable;
pub use metrics::{HedgeEvent, MetricsError, NodeMetrics};
pub use port::{OperatorEndpoints, OperatorServer};
