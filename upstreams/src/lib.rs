//! HTTP client with connection pools for the upstream and the relay ports of other nodes.

mod answers;
mod fault;
mod lease;
mod pool;
mod relay;

pub use fault::ExchangeError;
pub use pool::{ConnectionPool, ExchangeLimits, PeerKind, PoolSettings, PoolTable};
pub use relay::{CODE_HEADER, LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER, RelayResponseHead};
