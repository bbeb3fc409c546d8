//! Parser for the chunked transfer coding.
//!
//! The decoder of `async-h1` is not used for bodies because it accepts an empty size line as the
//! last chunk, accepts end of file after the last size line, and waits forever for trailers that
//! arrive in two reads.

use crate::HttpFault;
use crate::head::{is_field_byte, is_token};

/// Maximum length of the framing between two chunks of data, including chunk extensions, and of the
/// last size line with the trailer section.
const MAX_FRAMING_BYTES: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size { size: u64, digits: u8 },
    SizePadding { size: u64 },
    Extension { size: u64 },
    SizeLf { size: u64 },
    Data { remaining: u64 },
    DataCr,
    DataLf,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLf,
    FinalLf,
    Done,
}

/// Incremental parser that separates the data of a chunked body from its framing.
#[derive(Debug)]
pub struct ChunkParser {
    state: ChunkState,
    framing_bytes: usize,
}

impl Default for ChunkParser {
    fn default() -> ChunkParser {
        ChunkParser::new()
    }
}

impl ChunkParser {
    /// Creates a parser at the start of a body.
    pub fn new() -> ChunkParser {
        ChunkParser { state: ChunkState::Size { size: 0, digits: 0 }, framing_bytes: 0 }
    }

    /// Returns whether the end of the body was parsed.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Returns how many bytes of chunk data come next; zero if framing or the end of the body does.
    pub fn remaining_data(&self) -> u64 {
        match self.state {
            ChunkState::Data { remaining } => remaining,
            _ => 0,
        }
    }

    /// Advances past `count` bytes of data, at most [`ChunkParser::remaining_data`].
    pub fn consume_data(&mut self, count: u64) {
        if let ChunkState::Data { remaining } = &mut self.state {
            *remaining -= count;
            if *remaining == 0 {
                self.state = ChunkState::DataCr;
            }
        }
    }

    /// Parses framing up to the next data or the end of the body, and returns the number of bytes
    /// consumed.
    pub fn parse_framing(&mut self, bytes: &[u8]) -> Result<usize, HttpFault> {
        for (index, &byte) in bytes.iter().enumerate() {
            if self.remaining_data() > 0 || self.is_done() {
                return Ok(index);
            }
            self.state = self.next_state(byte)?;
        }
        Ok(bytes.len())
    }

    /// Decodes `bytes`, appends the chunk data to `body` and returns the number of bytes consumed: all
    /// of them, unless the body ends before.
    pub fn decode(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<usize, HttpFault> {
        let mut consumed = 0;
        loop {
            consumed += self.parse_framing(&bytes[consumed..])?;
            let rest = &bytes[consumed..];
            let remaining = usize::try_from(self.remaining_data()).unwrap_or(usize::MAX);
            let count = remaining.min(rest.len());
            if count == 0 {
                return Ok(consumed);
            }
            body.extend_from_slice(&rest[..count]);
            self.consume_data(count as u64);
            consumed += count;
        }
    }

    fn next_state(&mut self, byte: u8) -> Result<ChunkState, HttpFault> {
        self.framing_bytes += 1;
        if self.framing_bytes > MAX_FRAMING_BYTES {
            return Err(HttpFault::BadChunk);
        }
        let state = match (self.state, byte) {
            (ChunkState::Size { size, digits }, b'\r') if digits > 0 => ChunkState::SizeLf { size },
            (ChunkState::Size { size, digits }, b' ' | b'\t') if digits > 0 => {
                ChunkState::SizePadding { size }
            }
            (ChunkState::Size { size, digits }, b';') if digits > 0 => {
                ChunkState::Extension { size }
            }
            (ChunkState::Size { size, digits }, byte) if digits < 16 => {
                let digit = char::from(byte).to_digit(16).ok_or(HttpFault::BadChunk)?;
                ChunkState::Size { size: (size << 4) | u64::from(digit), digits: digits + 1 }
            }
            (ChunkState::SizePadding { size }, b' ' | b'\t') => ChunkState::SizePadding { size },
            (ChunkState::SizePadding { size }, b';') => ChunkState::Extension { size },
            (ChunkState::SizePadding { size } | ChunkState::Extension { size }, b'\r') => {
                ChunkState::SizeLf { size }
            }
            (ChunkState::Extension { size }, byte) if is_field_byte(byte) => {
                ChunkState::Extension { size }
            }
            (ChunkState::SizeLf { size: 0 }, b'\n') => ChunkState::TrailerStart,
            (ChunkState::SizeLf { size }, b'\n') => {
                self.framing_bytes = 0;
                ChunkState::Data { remaining: size }
            }
            (ChunkState::DataCr, b'\r') => ChunkState::DataLf,
            (ChunkState::DataLf, b'\n') => ChunkState::Size { size: 0, digits: 0 },
            (ChunkState::TrailerStart, b'\r') => ChunkState::FinalLf,
            (ChunkState::TrailerStart | ChunkState::TrailerName, byte) if is_token(byte) => {
                ChunkState::TrailerName
            }
            (ChunkState::TrailerName, b':') => ChunkState::TrailerValue,
            (ChunkState::TrailerValue, b'\r') => ChunkState::TrailerLf,
            (ChunkState::TrailerValue, byte) if is_field_byte(byte) => ChunkState::TrailerValue,
            (ChunkState::TrailerLf, b'\n') => ChunkState::TrailerStart,
            (ChunkState::FinalLf, b'\n') => ChunkState::Done,
            _ => return Err(HttpFault::BadChunk),
        };
        Ok(state)
    }
}
