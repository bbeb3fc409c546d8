//! Content hashes and the total order of configuration versions.

use std::fmt;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Length of a content hash in bytes: BLAKE3 truncated to 128 bits.
pub const HASH_BYTES: usize = 16;

/// Hash of a part's content, of a manifest page or of a whole version.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PartHash([u8; HASH_BYTES]);

/// A configuration version. Ordered by number, then by digest, so that two versions accepted under
/// one number have the same winner on every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct VersionId {
    /// Number given at acceptance; zero means no configuration.
    pub number: u64,
    /// Digest over the whole manifest.
    pub digest: PartHash,
}

impl PartHash {
    /// Hashes `content`.
    pub fn new(content: &[u8]) -> PartHash {
        PartHash::from_hasher(blake3::Hasher::new().update(content))
    }

    pub(crate) fn from_hasher(hasher: &blake3::Hasher) -> PartHash {
        let mut bytes = [0; HASH_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
        PartHash(bytes)
    }

    /// The raw bytes.
    pub const fn as_bytes(&self) -> &[u8; HASH_BYTES] {
        &self.0
    }

    /// Parses 32 lower-case hexadecimal digits.
    pub fn scan(text: &str) -> Option<PartHash> {
        let digits = text.as_bytes();
        if digits.len() != 2 * HASH_BYTES {
            return None;
        }
        let mut bytes = [0; HASH_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = scan_hex_digit(pair[0])? << 4 | scan_hex_digit(pair[1])?;
        }
        Some(PartHash(bytes))
    }
}

impl VersionId {
    /// The version of a node that has no configuration.
    pub const NONE: VersionId = VersionId { number: 0, digest: PartHash([0; HASH_BYTES]) };

    /// Creates a version identifier.
    pub const fn new(number: u64, digest: PartHash) -> VersionId {
        VersionId { number, digest }
    }

    /// Parses the form `<number>-<digest>`.
    pub fn scan(text: &str) -> Option<VersionId> {
        let (number, digest) = text.split_once('-')?;
        Some(VersionId::new(number.parse().ok()?, PartHash::scan(digest)?))
    }
}

const fn scan_hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

impl fmt::Display for PartHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for PartHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.number, self.digest)
    }
}

impl Serialize for PartHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

struct HashVisitor;

impl Visitor<'_> for HashVisitor {
    type Value = PartHash;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("32 hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<PartHash, E> {
        PartHash::scan(text).ok_or_else(|| E::invalid_value(de::Unexpected::Str(text), &self))
    }
}

impl<'de> Deserialize<'de> for PartHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<PartHash, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(HashVisitor)
        } else {
            <[u8; HASH_BYTES]>::deserialize(deserializer).map(PartHash)
        }
    }
}

impl Serialize for VersionId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            (self.number, self.digest).serialize(serializer)
        }
    }
}

struct VersionVisitor;

impl Visitor<'_> for VersionVisitor {
    type Value = VersionId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a version as <number>-<digest>")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<VersionId, E> {
        VersionId::scan(text).ok_or_else(|| E::invalid_value(de::Unexpected::Str(text), &self))
    }
}

impl<'de> Deserialize<'de> for VersionId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<VersionId, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(VersionVisitor)
        } else {
            let (number, digest) = Deserialize::deserialize(deserializer)?;
            Ok(VersionId { number, digest })
        }
    }
}
