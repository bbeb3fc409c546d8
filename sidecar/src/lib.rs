//! A node on the users' platform: the process beside one target.
//!
//! Requests of the VM's clients come in at `entry`, go over `links` to the node beside the chosen
//! target and through its queue (`target`) to the target itself. `follower` keeps configuration and
//! targets up to date. Everything that is decided is decided in `fescuestack-routing`.

mod entry;
mod follower;
mod links;
mod message;
mod node;
mod note;
mod peer;
mod report;
mod run;
mod sync;
mod target;

pub use run::{SidecarError, SidecarNode};
