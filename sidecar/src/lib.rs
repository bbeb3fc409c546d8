//! A sidecar node: the process that runs beside one target on the platform.
//!
//! Requests of clients on the VM arrive at `entry`, go over `links` to the node of the chosen
//! target, and wait in the queue of `target` there before they are sent to it. `follower` keeps the
//! configuration and the list of targets up to date. Routing decisions are made by
//! `fescuestack-routing`.

mod connections;
mod crashes;
mod down;
mod entry;
mod fingerprint;
mod follower;
mod hedge;
mod links;
mod message;
mod node;
mod note;
mod peer;
mod policy;
mod report;
mod run;
mod stop;
mod sync;
mod target;
mod target_pool;
mod warmth;

pub use policy::{ClientPolicy, HedgingPolicy, NodePolicy, PolicyError};
pub use run::{SidecarError, SidecarNode};
