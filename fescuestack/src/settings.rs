//! Settings of a node, read from a YAML file at startup.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use fescuestack_core::{ControlSettings, PeerAddress};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Default limit of a graceful shutdown, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 30_000;

/// Largest value of `drain_ms`, in milliseconds.
const MAX_DRAIN_MS: u64 = 600_000;

/// Maximum number of seeds. A node contacts a few of them and learns the other members from their
/// answers.
const MAX_SEEDS: usize = 64;

/// Settings of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeSettings {
    /// Name of the node and of its target.
    pub(crate) node: String,
    /// Data centre that the VM belongs to.
    pub(crate) data_centre: String,
    /// Addresses that the node listens on.
    pub(crate) listen: ListenSettings,
    /// Address of the platform's configuration service.
    pub(crate) platform: SocketAddr,
    /// Nodes to contact at startup.
    #[serde(default)]
    pub(crate) seeds: Vec<PeerAddress>,
    /// Time limit of a graceful shutdown, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub(crate) drain_ms: u64,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub(crate) log: String,
}

/// Addresses of the five ports of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenSettings {
    /// Calls from external clients.
    pub(crate) caller: SocketAddr,
    /// Calls from the local upstream.
    pub(crate) local: SocketAddr,
    /// Calls forwarded by other nodes.
    pub(crate) relay: SocketAddr,
    /// Control messages of other nodes.
    pub(crate) control: SocketAddr,
    /// Status, explain, recording and metrics.
    pub(crate) operator: SocketAddr,
}

fn default_drain_ms() -> u64 {
    DEFAULT_DRAIN_MS
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Error in a settings file. The error numbers are listed in `docs/errors.md`.
#[derive(Debug, Snafu)]
pub(crate) enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("601 {}: cannot read the file: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    /// The file is not valid YAML or has unknown or missing keys.
    #[snafu(display("602 {}: {source}", path.display()))]
    Parse { path: PathBuf, source: Box<serde_saphyr::Error> },
    /// Values are out of range or contradict each other.
    #[snafu(display("603 {}: {}", path.display(), errors.join("; ")))]
    Invalid { path: PathBuf, errors: Vec<String> },
}

impl NodeSettings {
    /// Reads and validates a settings file. Reports all invalid values in one error.
    pub(crate) fn load(path: &Path) -> Result<NodeSettings, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let settings: NodeSettings =
            serde_saphyr::from_str(&text).map_err(Box::new).context(ParseSnafu { path })?;
        let errors = settings.validation_errors();
        if errors.is_empty() { Ok(settings) } else { InvalidSnafu { path, errors }.fail() }
    }

    /// Describes each invalid value and what is allowed in its place.
    pub(crate) fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.node.is_empty() || !self.node.bytes().all(|byte| byte.is_ascii_graphic()) {
            errors.push("node: must be a name in visible ASCII characters".to_owned());
        }
        if self.data_centre.is_empty() {
            errors.push("data_centre: must name the data centre of the VM".to_owned());
        }
        if self.drain_ms == 0 || self.drain_ms > MAX_DRAIN_MS {
            errors.push(format!("drain_ms: must be from 1 to {MAX_DRAIN_MS}"));
        }
        if self.seeds.len() > MAX_SEEDS {
            errors.push(format!("seeds: at most {MAX_SEEDS} are allowed"));
        }
        if !matches!(self.log.as_str(), "error" | "warn" | "info" | "debug" | "trace") {
            errors.push("log: must be error, warn, info, debug or trace".to_owned());
        }
        self.listen.collect_errors(&mut errors);
        errors
    }

    /// Returns the settings that the control state depends on.
    pub(crate) fn control_settings(&self) -> ControlSettings {
        let node = PeerAddress {
            name: self.node.as_str().into(),
            data_centre: self.data_centre.as_str().into(),
            control: self.listen.control,
        };
        let seeds = self.seeds.iter().filter(|seed| seed.name != node.name).cloned().collect();
        ControlSettings { node, seeds }
    }
}

impl ListenSettings {
    /// Returns the addresses with their names in the settings file.
    pub(crate) fn named_addresses(&self) -> [(&'static str, SocketAddr); 5] {
        [
            ("caller", self.caller),
            ("local", self.local),
            ("relay", self.relay),
            ("control", self.control),
            ("operator", self.operator),
        ]
    }

    fn collect_errors(&self, errors: &mut Vec<String>) {
        let addresses = self.named_addresses();
        for (index, (name, address)) in addresses.iter().enumerate() {
            if address.port() == 0 {
                errors.push(format!("listen.{name}: the port must not be 0"));
            }
            if let Some((other, _)) = addresses[..index].iter().find(|(_, used)| used == address) {
                errors.push(format!(
                    "listen.{name}: {address} is already used by listen.{other}; choose another port"
                ));
            }
        }
    }
}
