//! The difference between two versions.

use serde::{Deserialize, Serialize};

use crate::config::PartName;
use crate::version::{PartHash, VersionId};

/// A part's name with its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartContent {
    /// Name of the part.
    pub name: PartName,
    /// The published bytes, which are UTF-8 JSON.
    pub content: std::sync::Arc<str>,
}

impl PartContent {
    /// Creates a part from its published bytes.
    pub fn new(name: PartName, content: std::sync::Arc<str>) -> PartContent {
        PartContent { name, content }
    }

    /// The hash of the content.
    pub fn hash(&self) -> PartHash {
        PartHash::new(self.content.as_bytes())
    }
}

/// What changes from one version to a later one. Self-contained: it carries the changed parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDelta {
    /// The version that the delta starts from.
    pub from: VersionId,
    /// The version that it leads to.
    pub to: VersionId,
    /// Parts that are new or have new content.
    pub changed: Vec<PartContent>,
    /// Parts that no longer exist.
    pub removed: Vec<PartName>,
}

/// Content of the published key `head`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadRecord {
    /// The accepted version.
    pub version: VersionId,
    /// The version that the published delta starts from, or [`VersionId::NONE`] when there is none.
    pub base: VersionId,
}

/// Content of the published key `manifest/<digest>`: the hash of each page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestRecord {
    /// Bucket digests in order; bucket `i` is published as `page/<digest>`.
    pub pages: Vec<PartHash>,
    /// Bit `i` is set when bucket `i` is also published as `bundle/<digest>`.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub bundled: u64,
}

fn is_zero(bits: &u64) -> bool {
    *bits == 0
}

/// Key of the published head.
pub const HEAD_KEY: &str = "head";

/// Key of the delta that leads to `version`.
pub fn delta_key(version: VersionId) -> String {
    format!("delta/{version}")
}

/// Key of the manifest with `digest`.
pub fn manifest_key(digest: PartHash) -> String {
    format!("manifest/{digest}")
}

/// Key of the manifest page with `digest`.
pub fn page_key(digest: PartHash) -> String {
    format!("page/{digest}")
}

/// Key of the part with `hash`.
pub fn part_key(hash: PartHash) -> String {
    format!("parts/{hash}")
}

/// Key of the bundle of the manifest page with `digest`: a JSON object of its parts' contents by name.
pub fn bundle_key(digest: PartHash) -> String {
    format!("bundle/{digest}")
}

/// Pages with at least this many parts have a bundle, and readers that lack at least this many parts of a
/// page read it. A full-size configuration then takes 65 reads in place of 3,400, which at 20 calls a
/// second is the difference between 3 s and 3 min.
pub const BUNDLE_PARTS: usize = 8;
