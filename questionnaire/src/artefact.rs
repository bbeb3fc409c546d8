//! The artefact of an accepted version: all values to publish, in a single JSON file.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{
    BucketEntries, ConfigPart, ConfigSnapshot, HEAD_KEY, HeadRecord, ManifestRecord, PartContent,
    VersionId, manifest_key, page_key, part_key,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Diagnostic, DiagnosticCode};

/// Published values, indexed by key.
pub type ValueMap = BTreeMap<String, String>;

/// All values of an accepted version. A platform must write `head` last, because nodes read the other
/// keys as soon as `head` refers to them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Artefact {
    /// Values to publish, indexed by key.
    pub values: ValueMap,
}

impl Artefact {
    /// Parses an artefact file.
    pub fn parse(text: &str) -> Result<Artefact, Diagnostic> {
        serde_json::from_str(text).map_err(|err| invalid_artefact(err.to_string()))
    }

    /// Serializes the artefact as JSON with a trailing newline.
    pub fn to_json(&self) -> String {
        let mut text =
            serde_json::to_string_pretty(self).expect("strings can be expressed in JSON");
        text.push('\n');
        text
    }

    /// Returns the record stored under `head`.
    pub fn head(&self) -> Result<HeadRecord, Diagnostic> {
        self.decode(HEAD_KEY)
    }

    /// Returns the accepted version.
    pub fn version(&self) -> Result<VersionId, Diagnostic> {
        self.head().map(|head| head.version)
    }

    /// Returns the encoded parts of the version, in the order of the manifest.
    pub fn contents(&self) -> Result<Vec<PartContent>, Diagnostic> {
        let version = self.version()?;
        let manifest: ManifestRecord = self.decode(&manifest_key(version.digest))?;
        let mut contents = Vec::new();
        for page in &manifest.pages {
            let entries: BucketEntries = self.decode(&page_key(*page))?;
            for (name, hash) in entries {
                let content: Arc<str> = self.get(&part_key(hash))?.into();
                contents.push(PartContent::new(name, content));
            }
        }
        Ok(contents)
    }

    /// Builds a snapshot of the version and verifies the hash of every part.
    pub fn snapshot(&self) -> Result<ConfigSnapshot, Diagnostic> {
        let version = self.version()?;
        ConfigSnapshot::new(version, self.contents()?)
            .map_err(|reason| invalid_artefact(reason.to_string()))
    }

    /// Decodes the parts of the version, ordered by name.
    pub fn parts(&self) -> Result<Vec<ConfigPart>, Diagnostic> {
        let mut contents = self.contents()?;
        contents.sort_by(|left, right| left.name.cmp(&right.name));
        let decode = |part: &PartContent| {
            ConfigPart::decode(&part.name, part.content.as_bytes())
                .map_err(|err| invalid_artefact(format!("{}: {err}", part.name)))
        };
        contents.iter().map(decode).collect()
    }

    fn get(&self, key: &str) -> Result<&str, Diagnostic> {
        match self.values.get(key) {
            Some(content) => Ok(content),
            None => Err(invalid_artefact(format!("key `{key}` is missing"))),
        }
    }

    fn decode<T: DeserializeOwned>(&self, key: &str) -> Result<T, Diagnostic> {
        serde_json::from_str(self.get(key)?)
            .map_err(|err| invalid_artefact(format!("key `{key}`: {err}")))
    }
}

fn invalid_artefact(reason: String) -> Diagnostic {
    Diagnostic::without_location(DiagnosticCode::BadArtefact, reason)
}
