//! Assembly of a version from its manifest buckets and parts, whatever the place they come from.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::config::PartName;
use crate::delta::{PartContent, VersionDelta};
use crate::manifest::{BUCKET_COUNT, BucketEntries, PartManifest, bucket_digest};
use crate::snapshot::ConfigSnapshot;
use crate::version::{PartHash, VersionId};

/// A version of which some buckets and parts are still missing.
#[derive(Debug)]
pub(crate) struct VersionAssembly {
    pub(crate) version: VersionId,
    digests: Vec<PartHash>,
    buckets: Vec<Option<BucketEntries>>,
    manifest: Option<PartManifest>,
    contents: FxHashMap<PartHash, Arc<str>>,
}

impl VersionAssembly {
    /// Starts with the bucket digests of `version`, taking what `base` shares with it. `None` if the
    /// digests do not add up to the version's digest.
    pub(crate) fn new(
        version: VersionId,
        digests: Vec<PartHash>,
        base: Option<&ConfigSnapshot>,
    ) -> Option<VersionAssembly> {
        let joined: Vec<u8> = digests.iter().flat_map(|digest| *digest.as_bytes()).collect();
        if digests.len() != BUCKET_COUNT || PartHash::new(&joined) != version.digest {
            return None;
        }
        let empty = PartManifest::new();
        let held = base.map_or(&empty, ConfigSnapshot::manifest);
        let bucket = |index: usize| {
            let same = held.bucket_digests()[index] == digests[index];
            same.then(|| held.bucket(index).cloned()).flatten()
        };
        let buckets = (0..BUCKET_COUNT).map(bucket).collect();
        let contents = FxHashMap::default();
        Some(VersionAssembly { version, digests, buckets, manifest: None, contents })
    }

    /// Takes over the parts that an abandoned assembly of another version holds.
    pub(crate) fn with_contents(mut self, other: Option<VersionAssembly>) -> VersionAssembly {
        if let Some(other) = other {
            self.contents = other.contents;
        }
        self
    }

    /// Index and digest of each missing bucket.
    pub(crate) fn missing_buckets(&self) -> impl Iterator<Item = (usize, PartHash)> + '_ {
        let missing = |index: &usize| self.buckets[*index].is_none();
        (0..BUCKET_COUNT).filter(missing).map(|index| (index, self.digests[index]))
    }

    /// Takes in a bucket. Once all are there, false if they do not add up to the version.
    pub(crate) fn put_bucket(&mut self, index: usize, entries: BucketEntries) -> bool {
        let Some(bucket) = self.buckets.get_mut(index) else { return false };
        *bucket = Some(entries);
        true
    }

    /// Builds the manifest when all buckets are there. False, with the wrong buckets dropped, if they
    /// do not add up to the version.
    pub(crate) fn build_manifest(&mut self) -> bool {
        if self.manifest.is_some() || self.buckets.iter().any(Option::is_none) {
            return true;
        }
        let buckets = self.buckets.iter().flatten().cloned().collect();
        let manifest = PartManifest::from_buckets(buckets);
        self.manifest = manifest.filter(|manifest| manifest.digest() == self.version.digest);
        if self.manifest.is_none() {
            self.buckets.fill(None);
        }
        self.manifest.is_some()
    }

    /// Whether all buckets are there.
    pub(crate) fn has_manifest(&self) -> bool {
        self.manifest.is_some()
    }

    /// Parts that neither the assembly nor `base` holds, each hash once.
    pub(crate) fn missing_parts(&self, base: Option<&ConfigSnapshot>) -> Vec<(PartName, PartHash)> {
        let mut listed = FxHashSet::default();
        let missing = |(_, hash): &(&PartName, PartHash)| {
            !self.contents.contains_key(hash) && listed.insert(*hash)
        };
        let changed = self.changed(base);
        changed.filter(missing).map(|(name, hash)| (name.clone(), hash)).collect()
    }

    /// Takes in a part's content. False if it does not have the hash.
    pub(crate) fn put_content(&mut self, hash: PartHash, content: Arc<str>) -> bool {
        let right = PartHash::new(content.as_bytes()) == hash;
        if right {
            self.contents.insert(hash, content);
        }
        right
    }

    /// Digest of the bucket at `index`.
    pub(crate) fn digest(&self, index: usize) -> Option<PartHash> {
        self.digests.get(index).copied()
    }

    /// Takes in the bucket at `index` with the contents of its parts. False if they do not have the
    /// bucket's digest.
    pub(crate) fn put_bundle(&mut self, index: usize, parts: BTreeMap<PartName, Arc<str>>) -> bool {
        let entry = |(name, content): (&PartName, &Arc<str>)| {
            (name.clone(), PartHash::new(content.as_bytes()))
        };
        let entries: BucketEntries = parts.iter().map(entry).collect();
        if self.digest(index) != Some(bucket_digest(&entries)) {
            return false;
        }
        self.contents.extend(entries.values().copied().zip(parts.into_values()));
        self.put_bucket(index, entries)
    }

    /// The change from `base` to the version, or `None` while something is missing.
    pub(crate) fn delta(&self, base: Option<&ConfigSnapshot>) -> Option<VersionDelta> {
        let manifest = self.manifest.as_ref()?;
        let part = |(name, hash): (&PartName, PartHash)| {
            Some(PartContent::new(name.clone(), self.contents.get(&hash)?.clone()))
        };
        let changed: Option<Vec<PartContent>> = self.changed(base).map(part).collect();
        let held = base.into_iter().flat_map(|base| base.manifest().entries());
        let removed = held.map(|(name, _)| name).filter(|name| manifest.get(name).is_none());
        Some(VersionDelta {
            from: base.map_or(VersionId::NONE, ConfigSnapshot::version),
            to: self.version,
            changed: changed?,
            removed: removed.cloned().collect(),
        })
    }

    fn changed<'a>(
        &'a self,
        base: Option<&'a ConfigSnapshot>,
    ) -> impl Iterator<Item = (&'a PartName, PartHash)> {
        let entries = self.manifest.iter().flat_map(|manifest| manifest.entries());
        let held = move |name: &str| base.and_then(|base| base.manifest().get(name));
        entries.filter(move |(name, hash)| held(name) != Some(*hash))
    }
}
