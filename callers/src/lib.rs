//! HTTP server for callers and for calls relayed by other nodes.
