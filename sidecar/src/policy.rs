//! Optional settings of the operators that the platform's settings file has no place for, in YAML.
//!
//! Each part is off or has a default that no client inside the documented limits meets, so that a
//! node without the file behaves as before.

use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// Error in a policy file. The numbers are listed in `docs/errors.md`.
#[derive(Debug, Snafu)]
pub enum PolicyError {
    /// The file cannot be read.
    #[snafu(display("601 {}: cannot read the file: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The file is not valid YAML or has unknown keys.
    #[snafu(display("602 {}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The YAML error with its position.
        source: Box<serde_saphyr::Error>,
    },
    /// Values are out of range.
    #[snafu(display("603 {}: {}", path.display(), errors.join("; ")))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Each invalid value and what is allowed in its place.
        errors: Vec<String>,
    },
}

/// What the operators ask of a node beyond the platform's settings.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodePolicy {
    /// Limits for clients that nobody controls.
    pub clients: ClientPolicy,
    /// Second requests for slow calls. Off if the section is missing.
    pub hedging: Option<HedgingPolicy>,
}

/// Limits for clients that nobody controls.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientPolicy {
    /// Time for a head beyond the configured one, in ms. It covers delays of a busy node.
    pub head_margin_ms: u64,
    /// Least rate of a body, in bytes per second.
    pub min_body_bytes_per_s: u64,
    /// Least rate at which an answer is read, in bytes per second.
    pub min_answer_bytes_per_s: u64,
    /// Time over which these rates are measured, in ms.
    pub progress_window_ms: u64,
    /// Maximum number of fields of a head.
    pub max_head_fields: usize,
}

impl Default for ClientPolicy {
    fn default() -> ClientPolicy {
        ClientPolicy {
            head_margin_ms: 2_000,
            min_body_bytes_per_s: 1_024,
            min_answer_bytes_per_s: 1_024,
            progress_window_ms: 10_000,
            max_head_fields: 100,
        }
    }
}

/// Limit on second requests for slow calls.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HedgingPolicy {
    /// Maximum number of second requests of a service, over the whole fleet, as a fraction of its
    /// requests.
    pub max_ratio: f64,
}

impl ClientPolicy {
    /// Describes each invalid value and what is allowed in its place.
    fn validation_errors(&self) -> Vec<String> {
        let checks = [
            (self.head_margin_ms <= 60_000, "clients.head_margin_ms: must be at most 60000"),
            (
                self.min_body_bytes_per_s <= 65_536,
                "clients.min_body_bytes_per_s: must be at most 65536",
            ),
            (
                self.min_answer_bytes_per_s <= 65_536,
                "clients.min_answer_bytes_per_s: must be at most 65536",
            ),
            (
                (1_000..=600_000).contains(&self.progress_window_ms),
                "clients.progress_window_ms: must be from 1000 to 600000",
            ),
            (
                (20..=1_000).contains(&self.max_head_fields),
                "clients.max_head_fields: must be from 20 to 1000",
            ),
        ];
        let errors = checks.into_iter().filter(|(is_valid, _)| !is_valid);
        errors.map(|(_, error)| error.to_owned()).collect()
    }
}

impl NodePolicy {
    /// Loads a policy. Fails with 601, 602 or 603.
    pub fn load(path: &Path) -> Result<NodePolicy, PolicyError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let policy: NodePolicy =
            serde_saphyr::from_str(&text).map_err(Box::new).context(MalformedSnafu { path })?;
        let errors = policy.validation_errors();
        if errors.is_empty() { Ok(policy) } else { InvalidSnafu { path, errors }.fail() }
    }

    /// Describes each invalid value and what is allowed in its place.
    fn validation_errors(&self) -> Vec<String> {
        let mut errors = self.clients.validation_errors();
        if let Some(hedging) = &self.hedging
            && !(0.0..=1.0).contains(&hedging.max_ratio)
        {
            errors.push("hedging.max_ratio: must be from 0 to 1".to_owned());
        }
        errors
    }
}
