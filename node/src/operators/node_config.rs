//! The node configuration: the file that `GW_CONFIG` or an operator's file names, read at the start and at each reload. A missing
//! or invalid value is reported as an error of one line. A node does not start with an invalid file, and a running node keeps
//! its current configuration.

use crate::operators::config_files::{self, MayBeTransient, ReadError};
use reedferry::BalancerSettings;
use reedferry_settings::{NodeSettings, Settings, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The file as it is written in JSON. `expecting` fixes the text of a type error, which users see.
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

/// The resource limits of the process: memory in MiB and the number of descriptors.
#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

/// The seed of random draws, as hexadecimal text or as a number.
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

/// The reason why a node configuration cannot be read or used.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// The environment does not name a file.
    #[error("GW_CONFIG is not set")]
    PathNotSet,
    /// The address for operators in the environment is invalid.
    #[error("GW_OPS {0:?} is not an address with a port, such as \"127.0.0.1:7000\"")]
    InvalidOpsAddress(String),
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The content of the file is invalid.
    #[error("{}: {problem}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The first problem that was found in it.
        problem: NodeConfigProblem,
    },
}

impl MayBeTransient for NodeConfigError {
    fn is_transient(&self) -> bool {
        matches!(self, NodeConfigError::Read(error) if error.is_transient())
    }
}

/// A problem in the content of a node configuration.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigProblem {
    /// The file is not valid JSON, or a key is missing or has a value of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An address is invalid.
    #[error("{key} {text:?} is not an address with a port, such as \"127.0.0.1:7000\"")]
    InvalidAddress {
        /// The key in the file.
        key: &'static str,
        /// The value of the key.
        text: String,
    },
    /// The memory limit, in MiB, is less than 1 or not less than 1e9.
    #[error("limits: memory_mb is {0}, expected at least 1 and less than 1e9")]
    MemoryOutOfRange(f64),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A key of the current configuration is missing in the one that would replace it. Holds the path of the key.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is missing, but the current configuration has it")]
pub struct MissingKey(String);

/// A decoded and checked node configuration.
pub struct NodeConfig {
    /// The node's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the list service.
    pub discovery: SocketAddr,
    /// The address at which operators connect; `None` disables the operators' API.
    pub ops: Option<SocketAddr>,
    /// The seed of random draws.
    pub seed: u64,
    /// The memory limit in bytes.
    pub memory: usize,
    /// The maximum number of descriptors.
    pub sockets: usize,
    /// The last known endpoint list, as JSON in the format of the list service; empty if there is none.
    pub known: Vec<u8>,
    /// The settings of the decision core.
    pub balancer_settings: BalancerSettings,
    /// The settings of the rest of the node.
    pub node_settings: NodeSettings,
    /// The whole JSON document, without the endpoint list.
    document: serde_json::Value,
}

impl NodeConfig {
    /// Reads the file that `GW_CONFIG` names. `GW_OPS` gives the address for operators where the file has none.
    ///
    /// # Errors
    /// Returns an error of one line if no file is named, or if it cannot be read or is invalid.
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

    /// Reads the file at this path.
    ///
    /// # Errors
    /// Returns an error of one line that names the file and the problem.
    pub fn read_at(path: &Path) -> Result<NodeConfig, NodeConfigError> {
        let text = config_files::read(path)?;
        NodeConfig::decode(&text).map_err(|problem| NodeConfigError::Invalid {
            path: path.to_path_buf(),
            problem,
        })
    }

    /// Returns a hash of the names of classes, tenants and zones. Forwarders and planners refer to these by index, and so need the
    /// same lists.
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

    /// Returns the keys whose values differ in a newer configuration but cannot change until the node restarts.
    pub fn parts_kept_until_restart(&self, newer: &NodeConfig) -> Vec<&'static str> {
        let differs = |key: &&str| self.document[*key] != newer.document[*key];
        ["name", "listen", "ops", "limits"]
            .into_iter()
            .filter(differs)
            .collect()
    }

    /// Checks that a newer configuration has every key that this one has. Otherwise a file that is written only in part could be
    /// applied, with defaults for the missing keys.
    ///
    /// # Errors
    /// Returns the first key that is missing.
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
