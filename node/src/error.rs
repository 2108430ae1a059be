//! Why the program could not start or go on. Each error is one line for the user.

use crate::operators::operator_config::OperatorConfigError;
use crate::roles::standalone::LoadError;
use reedferry_runtime::Errno;
use std::net::SocketAddr;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum FatalError {
    /// The poller can't be made, extended or waited for.
    #[error("cannot poll: {0}")]
    Poll(#[source] Errno),
    /// The address for clients, forwarders or planners can't be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// What the system said.
        #[source]
        error: Errno,
    },
    /// The address for operators can't be listened on.
    #[error("cannot listen for operators on {address}: {error}")]
    ListenForOperators {
        /// The configured address.
        address: SocketAddr,
        /// What the system said.
        #[source]
        error: Errno,
    },
    /// The environment names a listener that is no number.
    #[error("GW_ACCEPT_FD {0:?} is no descriptor")]
    InvalidDescriptor(String),
    /// The environment names a descriptor that can't be listened on.
    #[error("GW_ACCEPT_FD {descriptor} is no listener: {error}")]
    InvalidListener {
        /// The number of the descriptor.
        descriptor: i32,
        /// What the system said.
        #[source]
        error: Errno,
    },
    /// The endpoint list of the configuration can't be read.
    #[error("known: {0}")]
    KnownEndpoints(String),
    /// A node's configuration can't be read or used.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// An operator's file can't be read or used.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The sockets to other nodes can't be opened.
    #[error(transparent)]
    Peers(#[from] crate::peers::PeersError),
    /// A signal can't be handled.
    #[error(transparent)]
    Signal(#[from] reedferry_runtime::signals::SignalError),
    /// Another part of the program says why in one line.
    #[error("{0}")]
    Other(String),
}

impl From<String> for FatalError {
    fn from(reason: String) -> Self {
        FatalError::Other(reason)
    }
}

impl From<FatalError> for String {
    fn from(error: FatalError) -> Self {
        error.to_string()
    }
}
