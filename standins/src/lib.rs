//! Stand-ins of the platform and the upstreams, and the load generator.
