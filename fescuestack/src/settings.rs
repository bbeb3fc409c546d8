//! Settings of a node, read once from a YAML file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use fescuestack_core::{ControlSettings, PeerAddress};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// How long a graceful shutdown may take when the settings do not say, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 30_000;

/// Longest allowed graceful shutdown, in milliseconds.
const MAX_DRAIN_MS: u64 = 600_000;

/// Most seeds that are worth listing. A node contacts a few and learns the rest from them.
const MAX_SEEDS: usize = 64;

/// Settings of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeSettings {
    /// Name of the node and of the target beside it.
    pub(crate) node: String,
    /// Data centre of the VM.
    pub(crate) data_centre: String,
    /// Addresses that the node listens on.
    pub(crate) listen: ListenSettings,
    /// Address of the platform's configuration service.
    pub(crate) platform: SocketAddr,
    /// Nodes to contact at the start.
    #[serde(default)]
    pub(crate) seeds: Vec<PeerAddress>,
    /// Bound of a graceful shutdown, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub(crate) drain_ms: u64,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub(crate) log: String,
}

/// The five ports of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenSettings {
    /// Calls from outside.
    pub(crate) caller: SocketAddr,
    /// Calls from the upstream beside the node.
    pub(crate) local: SocketAddr,
    /// Calls relayed by other nodes.
    pub(crate) relay: SocketAddr,
    /// Control streams.
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

/// What is wrong with a settings file. The numbers are listed in `docs/errors.md`.
#[derive(Debug, Snafu)]
pub(crate) enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("601 {}: cannot read the file: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    /// The file is not valid YAML or has unknown or missing keys.
    #[snafu(display("602 {}: {source}", path.display()))]
    Parse { path: PathBuf, source: Box<serde_saphyr::Error> },
    /// Values contradict each other or are out of range.
    #[snafu(display("603 {}: {}", path.display(), errors.join("; ")))]
    Invalid { path: PathBuf, errors: Vec<String> },
}

impl NodeSettings {
    /// Reads and checks a settings file. Reports all contradictions at once.
    pub(crate) fn load(path: &Path) -> Result<NodeSettings, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let settings: NodeSettings =
            serde_saphyr::from_str(&text).map_err(Box::new).context(ParseSnafu { path })?;
        let errors = settings.validation_errors();
        if errors.is_empty() { Ok(settings) } else { InvalidSnafu { path, errors }.fail() }
    }

    /// What is wrong with the values, in sentences that say what to write instead.
    pub(crate) fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.node.is_empty() || !self.node.bytes().all(|byte| byte.is_ascii_graphic()) {
            errors.push("node: write the target's name in visible ASCII".to_owned());
        }
        if self.data_centre.is_empty() {
            errors.push("data_centre: write the name of the VM's data centre".to_owned());
        }
        if self.drain_ms == 0 || self.drain_ms > MAX_DRAIN_MS {
            errors.push(format!("drain_ms: write a value from 1 to {MAX_DRAIN_MS}"));
        }
        if self.seeds.len() > MAX_SEEDS {
            errors.push(format!("seeds: list at most {MAX_SEEDS}"));
        }
        if !matches!(self.log.as_str(), "error" | "warn" | "info" | "debug" | "trace") {
            errors.push("log: write error, warn, info, debug or trace".to_owned());
        }
        self.listen.collect_errors(&mut errors);
        errors
    }

    /// The part of the settings that control decisions depend on.
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
    /// The ports with their names in the settings file.
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
                errors.push(format!("listen.{name}: write a port other than 0"));
            }
            if let Some((other, _)) = addresses[..index].iter().find(|(_, used)| used == address) {
                errors.push(format!(
                    "listen.{name}: {address} is taken by listen.{other}; write another port"
                ));
            }
        }
    }
}
