//! Where a standalone node finds its configuration.

use crate::operators::config_files::MayBeTransient;
use crate::operators::node_config::{NodeConfig, NodeConfigError};
use crate::operators::operator_config::{
    gossip_peers, OperatorConfig, OperatorConfigError, PeerListError, Role,
};
use crate::peers::GossipConfig;
use std::path::{Path, PathBuf};

/// Where a node finds its configuration.
pub enum ConfigSource<'a> {
    /// In the file that the environment names, as the platform has it.
    Environment,
    /// In the file that an operator's file names.
    OperatorFile(&'a Path),
}

/// A node's configuration, and the peers that it exchanges messages with.
pub(super) struct LoadedConfig {
    pub node_config: NodeConfig,
    pub gossip_config: Option<GossipConfig>,
}

/// Why a node's configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file that the environment names can't be read or used.
    #[error(transparent)]
    NodeConfig(#[from] NodeConfigError),
    /// That file needs peers, which only an operator's file can name.
    #[error(transparent)]
    Peers(#[from] PeerListError),
    /// The operator's file can't be read or used.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The operator's file is for another role.
    #[error("{} is for `reedferry {role}`", path.display())]
    WrongRole {
        /// The operator's file.
        path: PathBuf,
        /// The command that the file is for.
        role: &'static str,
    },
}

impl MayBeTransient for LoadError {
    /// Only the file that the environment names is read again.
    fn is_transient(&self) -> bool {
        matches!(self, LoadError::NodeConfig(error) if error.is_transient())
    }
}

impl ConfigSource<'_> {
    /// Reads the configuration.
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
