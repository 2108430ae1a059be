//! The node configuration: the file that `GW_CONFIG` or an operator's file names, read at the start and at each reload.
//! Whatever is missing or malformed is one plain line: no node starts with it, and one that runs keeps what it has.

use crate::operators::config_files::{self, MayBeTransient, ReadError};
use reedferry::BalancerSettings;
use reedferry_settings::{NodeSettings, Settings, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The file as it is written. The text of a type error, which users see, is fixed by `expecting`.
#[derive(Deserialize)]
#[serde(expecting = "struct Sheet")]
struct NodeConfigDocument {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    ops: Option<String>,
    #[serde(default)]
    seed: Seed,
    limits: Limits,
    #[serde(default)]
    known: serde_json::Value,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

/// Hexadecimal text, or a number.
#[derive(Deserialize)]
#[serde(untagged)]
enum Seed {
    Text(String),
    Number(u64),
}

impl Default for Seed {
    fn default() -> Self {
        Seed::Number(0)
    }
}

/// Why there is no node configuration.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// The environment names no file.
    #[error("GW_CONFIG is not set")]
    PathNotSet,
    /// The environment's address for operators can't be parsed.
    #[error("GW_OPS {0:?} is no address with a port")]
    InvalidOpsAddress(String),
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The file says something that can't be used.
    #[error("{}: {problem}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        problem: NodeConfigProblem,
    },
}

impl MayBeTransient for NodeConfigError {
    fn is_transient(&self) -> bool {
        matches!(self, NodeConfigError::Read(error) if error.is_transient())
    }
}

/// What a node configuration says that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigProblem {
    /// It is no JSON, or a key is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An address can't be parsed.
    #[error("{key} {text:?} is no address with a port")]
    InvalidAddress {
        /// The key in the file.
        key: &'static str,
        /// What stands there.
        text: String,
    },
    /// The memory limit is out of range.
    #[error("limits: memory_mb is {0}")]
    MemoryOutOfRange(f64),
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A key of the configuration in force is missing in the one that is to replace it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is missing, which the papers in force have")]
pub struct MissingKey(String);

/// What a node is configured with.
pub struct NodeConfig {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// Where operators connect, if they do.
    pub ops: Option<SocketAddr>,
    /// The seed of random draws.
    pub seed: u64,
    /// The memory limit in bytes.
    pub memory: usize,
    /// The limit of descriptors.
    pub sockets: usize,
    /// The endpoint list as last known, in discovery's own form.
    pub known: Vec<u8>,
    /// The settings of the decision core.
    pub balancer_settings: BalancerSettings,
    /// The settings of the rest of the node.
    pub node_settings: NodeSettings,
    /// The raw document, except for the endpoint list.
    document: serde_json::Value,
}

impl NodeConfig {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// One line that says why there is none, or what is wrong in it.
    pub fn read() -> Result<NodeConfig, NodeConfigError> {
        let path = std::env::var("GW_CONFIG").map_err(|_| NodeConfigError::PathNotSet)?;
        let mut node_config = NodeConfig::read_at(Path::new(&path))?;
        if let (None, Ok(ops)) = (node_config.ops, std::env::var("GW_OPS")) {
            let address = ops
                .parse()
                .map_err(|_| NodeConfigError::InvalidOpsAddress(ops))?;
            node_config.ops = Some(address);
        }
        Ok(node_config)
    }

    /// Reads a file.
    ///
    /// # Errors
    /// One line that names the file and what is wrong in it.
    pub fn read_at(path: &Path) -> Result<NodeConfig, NodeConfigError> {
        let text = config_files::read(path)?;
        NodeConfig::decode(&text).map_err(|problem| NodeConfigError::Invalid {
            path: path.to_path_buf(),
            problem,
        })
    }

    /// A hash of the lists whose indices stand for names between forwarders and planners.
    pub fn fingerprint(&self) -> u64 {
        reedferry_control_plane::fingerprint(self.node_settings.names())
    }

    fn decode(text: &[u8]) -> Result<NodeConfig, NodeConfigProblem> {
        let mut raw: serde_json::Value = serde_json::from_slice(text)?;
        let document = NodeConfigDocument::deserialize(&raw)?;
        reedferry_settings::validate(&raw["settings"])?;
        if let Some(keys) = raw.as_object_mut() {
            keys.insert("known".into(), serde_json::Value::Null);
        }
        let memory_mb = document.limits.memory_mb;
        if !(1.0..1e9).contains(&memory_mb) {
            return Err(NodeConfigProblem::MemoryOutOfRange(memory_mb));
        }
        let settings = Settings::from_value(document.settings)?;
        Ok(NodeConfig {
            listen: parse_address("listen", document.listen)?,
            discovery: parse_address("discovery", document.discovery)?,
            ops: document
                .ops
                .map(|ops| parse_address("ops", ops))
                .transpose()?,
            name: document.name,
            seed: match document.seed {
                Seed::Number(seed) => seed,
                Seed::Text(text) => {
                    crate::connections::protocol::keys::key_from_text(&text).unwrap_or(0)
                }
            },
            memory: (memory_mb * BYTES_PER_MB) as usize,
            sockets: document.limits.sockets,
            known: match document.known {
                serde_json::Value::Null => Vec::new(),
                known => known.to_string().into_bytes(),
            },
            balancer_settings: settings.balancer,
            node_settings: settings.node,
            document: raw,
        })
    }

    /// The parts that differ in a newer configuration and that a running node does not take up.
    pub fn parts_kept_until_restart(&self, newer: &NodeConfig) -> Vec<&'static str> {
        let differs = |key: &&str| self.document[*key] != newer.document[*key];
        ["name", "listen", "ops", "limits"]
            .into_iter()
            .filter(differs)
            .collect()
    }

    /// Checks that a newer configuration has every key that this one has. Without this, half a file could be taken up, as a node
    /// would do without what is missing.
    ///
    /// # Errors
    /// The key that is missing.
    pub fn check_complete(&self, newer: &NodeConfig) -> Result<(), MissingKey> {
        match reedferry_settings::reload::missing_key(&self.document, &newer.document) {
            Some(key) => Err(MissingKey(key)),
            None => Ok(()),
        }
    }
}

fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, NodeConfigProblem> {
    text.parse()
        .map_err(|_| NodeConfigProblem::InvalidAddress { key, text })
}
