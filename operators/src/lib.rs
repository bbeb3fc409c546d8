//! Operator port: status, explain, recording and metrics. Tables from logs.

mod client;
mod explain;
mod losses;
mod metrics;
mod port;

pub use client::{ClientError, fetch};
pub use explain::RecentCalls;
pub use losses::LossTable;
pub use metrics::{MetricsError, NodeMetrics};
pub use port::{OperatorEndpoints, OperatorServer};
