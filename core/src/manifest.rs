//! The list of a version's parts and the digest computed over it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::PartName;
use crate::version::PartHash;

/// Number of buckets. At 3,200 parts a bucket holds about 50 entries, so that a changed part costs one
/// bucket of about 3 KB and not the whole list.
pub const BUCKET_COUNT: usize = 64;

/// Entries of one bucket: part name to content hash.
pub type BucketEntries = BTreeMap<PartName, PartHash>;

/// The parts of a version with their content hashes, divided into buckets by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartManifest {
    buckets: Vec<BucketEntries>,
    digests: Vec<PartHash>,
}

impl Default for PartManifest {
    fn default() -> PartManifest {
        PartManifest::new()
    }
}

impl PartManifest {
    /// Creates a manifest without parts.
    pub fn new() -> PartManifest {
        let empty = bucket_digest(&BucketEntries::new());
        PartManifest {
            buckets: vec![BucketEntries::new(); BUCKET_COUNT],
            digests: vec![empty; BUCKET_COUNT],
        }
    }

    /// Builds a manifest from its buckets, or returns `None` when the number of buckets is wrong or
    /// an entry stands in a bucket that its name does not belong to.
    pub fn from_buckets(buckets: Vec<BucketEntries>) -> Option<PartManifest> {
        let placed = |(index, bucket): (usize, &BucketEntries)| {
            bucket.keys().all(|name| bucket_index(name) == index)
        };
        if buckets.len() != BUCKET_COUNT || !buckets.iter().enumerate().all(placed) {
            return None;
        }
        let digests = buckets.iter().map(bucket_digest).collect();
        Some(PartManifest { buckets, digests })
    }

    /// Sets or removes entries and recomputes the digests of the touched buckets only.
    pub fn update<'a>(
        &mut self,
        changed: impl Iterator<Item = (&'a PartName, PartHash)>,
        removed: impl Iterator<Item = &'a PartName>,
    ) {
        let mut touched = [false; BUCKET_COUNT];
        for (name, hash) in changed {
            let index = bucket_index(name);
            self.buckets[index].insert(name.clone(), hash);
            touched[index] = true;
        }
        for name in removed {
            let index = bucket_index(name);
            self.buckets[index].remove(name);
            touched[index] = true;
        }
        for index in (0..BUCKET_COUNT).filter(|&index| touched[index]) {
            self.digests[index] = bucket_digest(&self.buckets[index]);
        }
    }

    /// The digest of the whole version.
    pub fn digest(&self) -> PartHash {
        let mut hasher = blake3::Hasher::new();
        for digest in &self.digests {
            hasher.update(digest.as_bytes());
        }
        PartHash::from_hasher(&hasher)
    }

    /// The digest of each bucket.
    pub fn bucket_digests(&self) -> &[PartHash] {
        &self.digests
    }

    /// The entries of the bucket at `index`, if there is one.
    pub fn bucket(&self, index: usize) -> Option<&BucketEntries> {
        self.buckets.get(index)
    }

    /// The hash of the part called `name`.
    pub fn get(&self, name: &str) -> Option<PartHash> {
        self.buckets[bucket_index(name)].get(name).copied()
    }

    /// All entries, bucket by bucket.
    pub fn entries(&self) -> impl Iterator<Item = (&PartName, PartHash)> {
        self.buckets.iter().flatten().map(|(name, hash)| (name, *hash))
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(BTreeMap::len).sum()
    }

    /// Whether there are no parts.
    pub fn is_empty(&self) -> bool {
        self.buckets.iter().all(BTreeMap::is_empty)
    }
}

/// The bucket that `name` belongs to.
pub fn bucket_index(name: &str) -> usize {
    usize::from(PartHash::new(name.as_bytes()).as_bytes()[0]) % BUCKET_COUNT
}

pub(crate) fn bucket_digest(bucket: &BucketEntries) -> PartHash {
    let mut hasher = blake3::Hasher::new();
    for (name, hash) in bucket {
        hasher.update(&(name.len() as u32).to_le_bytes());
        hasher.update(name.as_bytes());
        hasher.update(hash.as_bytes());
    }
    PartHash::from_hasher(&hasher)
}
