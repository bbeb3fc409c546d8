//! Encoding of control messages: postcard, compressed with zstd where it pays.

use fescuestack_core::PeerMessage;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::generated::Envelope;

/// Payloads up to this many bytes are sent as they are, because zstd rarely makes them smaller.
const COMPRESSION_THRESHOLD_BYTES: usize = 256;

/// Compression level. Deltas are small, so a higher level costs microseconds.
const COMPRESSION_LEVEL: i32 = 3;

/// Largest message after decompression. Guards against a small payload that expands without bound.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Why a message could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The payload is not a message.
    #[snafu(display("801 message is malformed: {source}"))]
    Malformed {
        /// The codec's error.
        source: postcard::Error,
    },
    /// The payload could not be compressed or decompressed.
    #[snafu(display("802 payload cannot be decompressed: {source}"))]
    Compression {
        /// The codec's error.
        source: std::io::Error,
    },
    /// The message is larger than the limit.
    #[snafu(display("803 message of {bytes} bytes exceeds {MAX_MESSAGE_BYTES}"))]
    TooLarge {
        /// Size after decompression, in bytes.
        bytes: usize,
    },
    /// The payload holds a message and further bytes.
    #[snafu(display("804 message is followed by {bytes} bytes"))]
    Trailing {
        /// Number of bytes left over.
        bytes: usize,
    },
    /// The payload does not state its decompressed size.
    #[snafu(display("805 compressed payload does not state its size"))]
    UnknownSize,
}

/// Encodes a message for a link. Fails when the message exceeds the size limit.
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

/// Decodes a message from a link. Fails on anything but exactly one message within the size limit.
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
