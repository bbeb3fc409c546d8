//! Stand-ins of the platform and the upstreams, and the load generator.

mod platform;

pub use platform::{PlatformMode, PlatformStandin, PlatformUsage};
