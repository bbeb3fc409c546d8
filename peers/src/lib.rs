//! Links between nodes: client-streaming gRPC calls that carry control messages.

mod address;
mod codec;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;
mod link;
mod listener;
mod usage;

pub use codec::{CodecError, decode_message, encode_message};
pub use link::{LinkEvent, LinkPool};
pub use listener::LinkListener;
pub use usage::LinkCounters;

pub use generated::Envelope;
