//! Operator port: status, explain, recording and metrics.

mod client;
mod explain;
mod metrics;
mod port;

pub use client::{ClientError, fetch};
pub use explain::ExplainRing;
pub use metrics::{MetricsError, NodeMetrics};
pub use port::{OperatorPort, OperatorView};
