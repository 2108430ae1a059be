//! The node's papers: what it is told by the file that `GW_CONFIG` names, at its start and again whenever
//! it is asked to read them afresh. Whatever is missing or malformed is one plain line: no node starts
//! with it, and one that runs keeps what it has.

use crate::operators::files::{self, NotRead};
use reedferry::BalancerSettings;
use reedferry_settings::NodeSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Deserialize)]
struct Sheet {
    #[serde(rename = "name")]
    name: String,
    #[serde(rename = "listen")]
    listen: String,
    #[serde(rename = "discovery")]
    discovery: String,
    #[serde(default)]
    #[serde(rename = "ops")]
    ops: Option<String>,
    #[serde(default)]
    #[serde(rename = "seed")]
    seed: Seed,
    #[serde(rename = "limits")]
    limits: Limits,
    #[serde(default)]
    #[serde(rename = "known")]
    known: serde_json::Value,
    #[serde(rename = "settings")]
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(rename = "memory_mb")]
    memory_mb: f64,
    #[serde(rename = "sockets")]
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

pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    pub ops: Option<SocketAddr>,
    pub seed: u64,
    pub memory: usize,
    pub sockets: usize,
    /// The roll as last known, in discovery's own form.
    pub known: Vec<u8>,
    pub balancer_settings: BalancerSettings,
    pub node_settings: NodeSettings,
    /// All of it as it was written, but for the roll.
    whole: serde_json::Value,
}

impl NodeConfig {
    pub fn read() -> Result<NodeConfig, NotRead> {
        let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG is not set".to_string())?;
        let mut node_config = NodeConfig::read_at(Path::new(&path))?;
        if let (None, Ok(ops)) = (node_config.ops, std::env::var("GW_OPS")) {
            let wrong = |_| format!("GW_OPS {ops:?} is no address with a port");
            node_config.ops = Some(ops.parse().map_err(wrong)?);
        }
        Ok(node_config)
    }

    pub fn read_at(path: &Path) -> Result<NodeConfig, NotRead> {
        let text = files::read(path)?;
        Ok(NodeConfig::decode(&text).map_err(|e| format!("{}: {e}", path.display()))?)
    }

    /// Of the lists whose places stand for names on the link.
    pub fn fingerprint(&self) -> u64 {
        reedferry_control_plane::fingerprint(self.node_settings.names())
    }

    pub fn decode(text: &[u8]) -> Result<NodeConfig, String> {
        let mut whole: serde_json::Value =
            serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let sheet = Sheet::deserialize(&whole).map_err(|e| e.to_string())?;
        reedferry_settings::sound(&whole["settings"])?;
        whole
            .as_object_mut()
            .and_then(|all| all.insert("known".into(), serde_json::Value::Null));
        let address = |what: &str, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|_| format!("{what} {text:?} is no address with a port"))
        };
        if !(1.0..1e9).contains(&sheet.limits.memory_mb) {
            return Err(format!("limits: memory_mb is {}", sheet.limits.memory_mb));
        }
        let (balancer_settings, node_settings) = reedferry_settings::from_value(sheet.settings)?;
        Ok(NodeConfig {
            listen: address("listen", &sheet.listen)?,
            discovery: address("discovery", &sheet.discovery)?,
            ops: sheet.ops.map(|ops| address("ops", &ops)).transpose()?,
            name: sheet.name,
            seed: match sheet.seed {
                Seed::Number(seed) => seed,
                Seed::Text(text) => {
                    crate::connections::protocol::keys::key_from_text(&text).unwrap_or(0)
                }
            },
            memory: (sheet.limits.memory_mb * 1024.0 * 1024.0) as usize,
            sockets: sheet.limits.sockets,
            known: match sheet.known {
                serde_json::Value::Null => Vec::new(),
                known => known.to_string().into_bytes(),
            },
            balancer_settings,
            node_settings,
            whole,
        })
    }

    /// The parts that those papers change and that a node which runs does not take up.
    pub fn kept_from(&self, other: &NodeConfig) -> Vec<&'static str> {
        let differ = |name: &&str| self.whole[*name] != other.whole[*name];
        ["name", "listen", "ops", "limits"]
            .into_iter()
            .filter(differ)
            .collect()
    }

    /// Whether those papers have every key that these have. Guards: half a file taken up where what is missing
    /// would do without.
    ///
    /// # Errors
    /// One line that names the key.
    pub fn whole_in(&self, other: &NodeConfig) -> Result<(), String> {
        match reedferry_settings::renewal::missing(&self.whole, &other.whole) {
            Some(key) => Err(format!("{key} is missing, which the papers in force have")),
            None => Ok(()),
        }
    }
}
