//! Guards around `async-h1` for exact message framing.
//!
//! `async-h1` parses heads and encodes messages. The guards read the head, refuse what can be read
//! in two ways, bound each body by its framing and report every early end as an error.

mod body;
mod budget;
mod chunk;
mod client;
mod clock;
mod exchange;
mod fault;
mod gather;
mod hops;
mod progress;
mod reader;
mod runtime;
mod scan;
mod server;
mod ticks;
mod writer;

pub use body::lock;
pub use budget::{ByteBudget, ByteLease, CollectError, collect_body};
pub use chunk::ChunkScanner;
pub use client::{ClientConnection, LossCause, SendError};
pub use clock::{CallClock, wall_time};
pub use exchange::{
    AnswerTag, ExchangeConnection, ExchangeError, WholeAnswer, WholeRequest, connect,
    prepare_socket, remove_connection_headers,
};
pub use fault::HttpFault;
pub use gather::{GatheredBody, gather_body};
pub use runtime::{CloseWatch, LifeSigns, ServedStream, TaskExecutor, TaskTimer};
pub use scan::{
    BodyFraming, HEADER_LIMIT, HeadView, scan_decimal, scan_head, scan_head_end, scan_header,
    scan_host, scan_request_line, scan_status_line,
};
pub use server::{ServerSettings, serve_connection, serve_listener};
pub use ticks::{TickSleep, within};

/// Longest head read from a peer, in bytes, with the empty line. `async-h1` fails on longer ones.
pub const HEAD_LIMIT_BYTES: usize = 8 * 1024 - 1;
