//! Operator port: status, explain, recording and metrics.
