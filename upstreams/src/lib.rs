//! HTTP client to upstreams and to other nodes.
