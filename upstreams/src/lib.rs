//! HTTP client to the upstream and to the relay ports of other nodes.

mod fault;
mod lease;
mod pool;
mod relay;

pub use fault::ExchangeFault;
pub use pool::{ExchangeLimits, PeerKind, PoolSettings, PoolTable, UpstreamPool};
pub use relay::{CODE_HEADER, LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER, RelayHead};
