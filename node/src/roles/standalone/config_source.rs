//! The sources of a standalone node's configuration, and the errors of loading it.

use crate::operators::config_files::MayBeTransient;
use crate::operators::node_config::{NodeConfig, NodeConfigError};
use crate::operators::operator_config::{
    gossip_peers, OperatorConfig, OperatorConfigError, PeerListError, Role,
};
use crate::peers::GossipConfig;
use std::path::{Path, PathBuf};

/// The source of a node's configuration.
pub enum ConfigSource<'a> {
    /// The file that an environment variable of the platform names.
    Environment,
    /// The operator's file at this path, which names the file of the node.
    OperatorFile(&'a Path),
}

/// A node's configuration and its peers.
pub(super) struct LoadedConfig {
    pub node_config: NodeConfig,
    /// The peers with which the node exchanges messages; `None` if it has none.
    pub gossip_config: Option<GossipConfig>,
}

/// The reason why a node's configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file that the environment names can't be read or is invalid.
    #[error(transparent)]
    NodeConfig(#[from] NodeConfigError),
    /// The settings in that file enable gossip, which needs peers that only an operator's file can name.
    #[error(transparent)]
    Peers(#[from] PeerListError),
    /// The operator's file can't be read or is invalid.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The operator's file is for another role.
    #[error("{} is for `reedferry {role}`, not for `reedferry node`", path.display())]
    WrongRole {
        /// The operator's file.
        path: PathBuf,
        /// The `reedferry` command for which the file is.
        role: &'static str,
    },
}

impl MayBeTransient for LoadError {
    /// Only errors in reading the file that the environment names can be transient.
    fn is_transient(&self) -> bool {
        matches!(self, LoadError::NodeConfig(error) if error.is_transient())
    }
}

impl ConfigSource<'_> {
    /// Reads and validates the configuration.
    pub(super) fn load(&self) -> Result<LoadedConfig, LoadError> {
        match self {
            ConfigSource::Environment => {
                let node_config = NodeConfig::read()?;
                let gossip_config = gossip_peers(&node_config, None, &[])?;
                Ok(LoadedConfig {
                    node_config,
                    gossip_config,
                })
            }
            ConfigSource::OperatorFile(path) => match OperatorConfig::read(path)? {
                OperatorConfig {
                    node_config,
                    role: Role::Node(gossip_config),
                    ..
                } => Ok(LoadedConfig {
                    node_config,
                    gossip_config,
                }),
                OperatorConfig { role, .. } => Err(LoadError::WrongRole {
                    path: path.to_path_buf(),
                    role: role.command(),
                }),
            },
        }
    }
}
