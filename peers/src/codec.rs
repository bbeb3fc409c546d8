//! Encoding of control messages: postcard, compressed with zstd when that makes them smaller.

use fescuestack_core::PeerMessage;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::generated::Envelope;

/// Payloads up to this size, in bytes, are sent uncompressed because zstd rarely shrinks them.
const COMPRESSION_THRESHOLD_BYTES: usize = 256;

/// zstd compression level. Deltas are small, so a higher level would cost microseconds without a
/// gain.
const COMPRESSION_LEVEL: i32 = 3;

/// Maximum message size after decompression, in bytes. Protects against decompression bombs.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Errors of encoding and decoding control messages.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The message could not be encoded as postcard or decoded from it.
    #[snafu(display("801 malformed control message: {source}"))]
    Malformed {
        /// The error of the postcard codec.
        source: postcard::Error,
    },
    /// The payload could not be compressed or decompressed.
    #[snafu(display("802 zstd failed on a control message: {source}"))]
    Compression {
        /// The error of the zstd codec.
        source: std::io::Error,
    },
    /// The message exceeds the size limit.
    #[snafu(display(
        "803 control message of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
    ))]
    TooLarge {
        /// Size of the uncompressed message, in bytes.
        bytes: usize,
    },
    /// The payload has trailing bytes after the message.
    #[snafu(display("804 control message has {bytes} trailing bytes"))]
    Trailing {
        /// Number of trailing bytes.
        bytes: usize,
    },
    /// The zstd frame header lacks the decompressed size.
    #[snafu(display("805 compressed control message lacks its decompressed size"))]
    UnknownSize,
}

/// Encodes a message and compresses it if that makes it smaller. Fails if the message exceeds the
/// size limit.
pub fn encode_message(message: &PeerMessage) -> Result<Envelope, CodecError> {
    let payload = postcard::to_stdvec(message).context(MalformedSnafu)?;
    ensure!(payload.len() <= MAX_MESSAGE_BYTES, TooLargeSnafu { bytes: payload.len() });
    if payload.len() > COMPRESSION_THRESHOLD_BYTES {
        let compressed_payload =
            zstd::bulk::compress(&payload, COMPRESSION_LEVEL).context(CompressionSnafu)?;
        if compressed_payload.len() < payload.len() {
            return Ok(Envelope { compressed: true, payload: compressed_payload });
        }
    }
    Ok(Envelope { compressed: false, payload })
}

/// Decodes an envelope. Fails unless the payload is exactly one message within the size limit.
pub fn decode_message(envelope: &Envelope) -> Result<PeerMessage, CodecError> {
    let decompressed;
    let payload = if envelope.compressed {
        let bytes = zstd::zstd_safe::get_frame_content_size(&envelope.payload)
            .ok()
            .flatten()
            .and_then(|bytes| usize::try_from(bytes).ok())
            .context(UnknownSizeSnafu)?;
        ensure!(bytes <= MAX_MESSAGE_BYTES, TooLargeSnafu { bytes });
        decompressed =
            zstd::bulk::decompress(&envelope.payload, bytes).context(CompressionSnafu)?;
        &decompressed
    } else {
        &envelope.payload
    };
    let (message, rest) = postcard::take_from_bytes(payload).context(MalformedSnafu)?;
    ensure!(rest.is_empty(), TrailingSnafu { bytes: rest.len() });
    Ok(message)
}
