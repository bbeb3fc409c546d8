//! Which target owns an idempotency key.

use crate::config::{NodeName, TargetEntry};
use crate::snapshot::ServiceView;

/// The only target that runs requests with this key, or `None` when the service has no targets.
/// Depends on the configured targets alone, not on which of them are alive: two sides of a partition
/// agree on it.
pub fn key_owner<'a>(service: &'a ServiceView, key: &str) -> Option<&'a TargetEntry> {
    let key_hash = hash_text(key);
    service.targets.iter().max_by_key(|target| rank(key_hash, &target.name))
}

/// The owner of `key` among targets known by name.
pub(crate) fn owner_name<'a>(targets: &'a [NodeName], key: &str) -> Option<&'a NodeName> {
    let key_hash = hash_text(key);
    targets.iter().max_by_key(|name| rank(key_hash, name))
}

/// Rendezvous rank. The name decides between equal hashes, so that the order is total.
fn rank(key_hash: u64, name: &str) -> (u64, &str) {
    (mix(key_hash ^ mix(hash_text(name))), name)
}

/// FNV-1a. A cryptographic hash took 24 µs for 200 targets, and callers may choose keys freely anyway.
fn hash_text(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The finaliser of SplitMix64. Without it, xor would keep the order of targets for similar keys.
pub(crate) const fn mix(mut number: u64) -> u64 {
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
