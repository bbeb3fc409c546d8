//! Framing of chunked bodies.
//!
//! The decoder of `async-h1` takes an empty size line for the last chunk, accepts an end of the
//! connection after the last size line and waits forever for trailers that arrive in two parts.

use crate::HttpFault;

/// Longest size line with extensions and longest trailer section, in bytes.
const LINE_LIMIT_BYTES: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size { value: u64, digits: u8 },
    Extension { value: u64 },
    SizeEnd { value: u64 },
    Data { left: u64 },
    DataCr,
    DataLf,
    TrailerStart,
    Trailer,
    TrailerEnd,
    LastEnd,
    Done,
}

/// Finds the data in a chunked body, whatever the pieces in which it arrives.
#[derive(Debug)]
pub struct ChunkParser {
    state: ChunkState,
    line_bytes: usize,
}

impl Default for ChunkParser {
    fn default() -> ChunkParser {
        ChunkParser::new()
    }
}

impl ChunkParser {
    /// Creates a scanner at the start of a body.
    pub fn new() -> ChunkParser {
        ChunkParser { state: ChunkState::Size { value: 0, digits: 0 }, line_bytes: 0 }
    }

    /// Whether the body has ended.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// How many bytes of data come next. Zero means framing or the end.
    pub fn remaining_data(&self) -> u64 {
        match self.state {
            ChunkState::Data { left } => left,
            _ => 0,
        }
    }

    /// Notes that `count` bytes of data were taken, at most [`ChunkParser::remaining_data`].
    pub fn consume_data(&mut self, count: u64) {
        if let ChunkState::Data { left } = &mut self.state {
            *left -= count;
            if *left == 0 {
                self.state = ChunkState::DataCr;
            }
        }
    }

    /// Reads framing up to the next data or the end and returns the count of bytes read.
    pub fn parse_framing(&mut self, bytes: &[u8]) -> Result<usize, HttpFault> {
        for (index, &byte) in bytes.iter().enumerate() {
            if self.remaining_data() > 0 || self.is_done() {
                return Ok(index);
            }
            self.state = self.scan_byte(byte)?;
        }
        Ok(bytes.len())
    }

    fn scan_byte(&mut self, byte: u8) -> Result<ChunkState, HttpFault> {
        self.line_bytes += 1;
        if self.line_bytes > LINE_LIMIT_BYTES {
            return Err(HttpFault::BadChunk);
        }
        let state = match (self.state, byte) {
            (ChunkState::Size { value, digits }, b'\r') if digits > 0 => {
                ChunkState::SizeEnd { value }
            }
            (ChunkState::Size { value, digits }, b';' | b' ' | b'\t') if digits > 0 => {
                ChunkState::Extension { value }
            }
            (ChunkState::Size { value, digits }, byte) if digits < 16 => {
                let digit = char::from(byte).to_digit(16).ok_or(HttpFault::BadChunk)?;
                ChunkState::Size { value: (value << 4) | u64::from(digit), digits: digits + 1 }
            }
            (ChunkState::Extension { value }, b'\r') => ChunkState::SizeEnd { value },
            (ChunkState::Extension { value }, byte) if byte != b'\n' => {
                ChunkState::Extension { value }
            }
            (ChunkState::SizeEnd { value: 0 }, b'\n') => ChunkState::TrailerStart,
            (ChunkState::SizeEnd { value }, b'\n') => {
                self.line_bytes = 0;
                ChunkState::Data { left: value }
            }
            (ChunkState::DataCr, b'\r') => ChunkState::DataLf,
            (ChunkState::DataLf, b'\n') => ChunkState::Size { value: 0, digits: 0 },
            (ChunkState::TrailerStart, b'\r') => ChunkState::LastEnd,
            (ChunkState::TrailerStart | ChunkState::Trailer, byte)
                if byte != b'\r' && byte != b'\n' =>
            {
                ChunkState::Trailer
            }
            (ChunkState::Trailer, b'\r') => ChunkState::TrailerEnd,
            (ChunkState::TrailerEnd, b'\n') => ChunkState::TrailerStart,
            (ChunkState::LastEnd, b'\n') => ChunkState::Done,
            _ => return Err(HttpFault::BadChunk),
        };
        Ok(state)
    }
}
