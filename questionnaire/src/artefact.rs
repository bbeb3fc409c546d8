//! The accepted artefact: the published keys of one version in a single JSON file.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuestack_core::{
    BucketEntries, ConfigPart, ConfigSnapshot, HEAD_KEY, HeadRecord, ManifestRecord, PartContent,
    VersionId, manifest_key, page_key, part_key,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Diagnostic, DiagnosticCode};

/// Published values by key.
pub type ValueMap = BTreeMap<String, String>;

/// An accepted version with everything to publish. A platform must write `head` last, because nodes
/// read the other keys when `head` names them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Artefact {
    /// Content of each published key.
    pub values: ValueMap,
}

impl Artefact {
    /// Parses an artefact file.
    pub fn parse(text: &str) -> Result<Artefact, Diagnostic> {
        serde_json::from_str(text).map_err(|err| invalid_artefact(err.to_string()))
    }

    /// The content of an artefact file, which ends with a newline.
    pub fn to_json(&self) -> String {
        let mut text =
            serde_json::to_string_pretty(self).expect("strings can be expressed in JSON");
        text.push('\n');
        text
    }

    /// The content of `head`.
    pub fn head(&self) -> Result<HeadRecord, Diagnostic> {
        self.decode(HEAD_KEY)
    }

    /// The accepted version.
    pub fn version(&self) -> Result<VersionId, Diagnostic> {
        self.head().map(|head| head.version)
    }

    /// The parts of the version, in the manifest's order.
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

    /// Compiles the version, which also verifies every hash.
    pub fn snapshot(&self) -> Result<ConfigSnapshot, Diagnostic> {
        let version = self.version()?;
        ConfigSnapshot::new(version, self.contents()?)
            .map_err(|reason| invalid_artefact(reason.to_string()))
    }

    /// The parsed parts, ordered by name.
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
            None => Err(invalid_artefact(format!("key `{key}` is absent"))),
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
