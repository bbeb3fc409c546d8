//! Tests of the call path: entry nodes, nodes beside targets, upstreams.

mod ejection;
mod fleet;
mod interleavings;
mod load;
mod overload;
mod rules;
mod service;
