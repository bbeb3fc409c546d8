//! HTTP/1.1 connections with strict message framing.
//!
//! `async-h1` parses heads of requests and encodes messages. This crate reads the head first, rejects
//! ambiguous messages, limits each body to its framing and reports every truncated message as an error.

mod body;
mod budget;
mod buffered;
mod chunk;
mod client;
mod clock;
mod coarse_timer;
mod exchange;
mod fault;
mod head;
mod hop_by_hop;
mod meter;
mod progress;
mod read_turn;
mod reader;
mod response_head;
mod runtime;
mod server;
mod writer;

pub use body::lock;
pub use budget::{ByteBudget, ByteReservation, CollectError, collect_body};
pub use buffered::{BufferedBody, buffer_body};
pub use chunk::ChunkParser;
pub use client::{ClientConnection, LossCause, ResponseMatch, SendError};
pub use clock::{CallClock, wall_time};
pub use coarse_timer::{CoarseSleep, within};
pub use exchange::{
    BufferedRequest, BufferedResponse, ExchangeConnection, ExchangeError, IdleState, ResponseTag,
    connect, set_client_options, set_receive_buffer, set_socket_options,
};
pub use fault::HttpFault;
pub use head::{
    BodyFraming, MAX_HEADERS, ParseSchedule, ParsedHead, find_head_end, is_valid_host,
    parse_decimal, parse_head, parse_header, parse_request_line,
};
pub use hop_by_hop::remove_hop_by_hop_headers;
pub use meter::{ConnectionMeter, HeldBytes, InputLimit};
pub use runtime::{CloseWatch, HyperExecutor, HyperStream, HyperTimer, PeerActivity};
pub use server::{ServerSettings, serve_connection, serve_listener};

/// Maximum length of a message head, including the empty line. `async-h1` fails on longer heads.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
