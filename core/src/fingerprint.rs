//! Hashes that recognise a request that is sent again.

use blake3::Hasher;

/// Bytes at the start of a body that go into a crash fingerprint. The rest of an upload has not
/// arrived when the request is dispatched.
pub const FINGERPRINT_BODY_BYTES: usize = 4096;

/// Hash of a request: service, method, path, body length and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// The fingerprint of a request of which the first bytes of the body are known. `body_length` is
    /// the declared length; `None` for a chunked body. Bytes of `body` past the first 4 KB are ignored.
    pub fn new(
        service: &str,
        method: &str,
        path: &str,
        body_length: Option<u64>,
        body: &[u8],
    ) -> RequestFingerprint {
        let start = &body[..body.len().min(FINGERPRINT_BODY_BYTES)];
        RequestFingerprint::hash(service, method, path, body_length, start)
    }

    /// The fingerprint of a request with its whole body, for comparing two uses of an idempotency
    /// key. It equals `new` for bodies of up to 4 KB with a declared length.
    pub fn from_whole(service: &str, method: &str, path: &str, body: &[u8]) -> RequestFingerprint {
        RequestFingerprint::hash(service, method, path, Some(body.len() as u64), body)
    }

    /// The fingerprint as it is spread between nodes.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// A fingerprint that another node reported.
    pub const fn from_number(number: u64) -> RequestFingerprint {
        RequestFingerprint(number)
    }

    fn hash(
        service: &str,
        method: &str,
        path: &str,
        body_length: Option<u64>,
        body: &[u8],
    ) -> RequestFingerprint {
        let mut hasher = FingerprintHasher::new(&[service, method, path]);
        hasher.update(&body_length.unwrap_or(u64::MAX).to_le_bytes());
        hasher.update(body);
        hasher.finish()
    }
}

/// Computes the fingerprint of a request whose body is hashed in parts. How the body is divided does not
/// matter.
#[derive(Debug)]
pub struct FingerprintHasher(Hasher);

impl FingerprintHasher {
    /// Starts with the fields that identify the request beside its body.
    pub fn new(fields: &[&str]) -> FingerprintHasher {
        let mut hasher = Hasher::new();
        for field in fields {
            // The length in front keeps ("ab", "c") and ("a", "bc") apart.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        FingerprintHasher(hasher)
    }

    /// Adds the next part of the body.
    pub fn update(&mut self, part: &[u8]) {
        self.0.update(part);
    }

    /// Returns the fingerprint of all that was added.
    pub fn finish(self) -> RequestFingerprint {
        RequestFingerprint(hash_number(&self.0))
    }
}

/// The first 8 bytes of the hash.
fn hash_number(hasher: &Hasher) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
