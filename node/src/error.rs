//! The errors with which the program ends. The text of each is one line for the user.

use crate::operators::operator_config::OperatorConfigError;
use crate::roles::standalone::LoadError;
use reedferry_runtime::Errno;
use std::net::SocketAddr;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum FatalError {
    /// The poller can't be created, can't register a socket, or can't be waited for.
    #[error("cannot poll: {0}")]
    Poll(#[source] Errno),
    /// The program can't listen on the address for clients or forwarders.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        #[source]
        error: Errno,
    },
    /// The program can't listen on the address for operators.
    #[error("cannot listen for operators on {address}: {error}")]
    ListenForOperators {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        #[source]
        error: Errno,
    },
    /// `GW_ACCEPT_FD` is not a number.
    #[error("GW_ACCEPT_FD {0:?} is not the number of a descriptor")]
    InvalidDescriptor(String),
    /// `GW_ACCEPT_FD` names a descriptor that is not a listening socket.
    #[error("GW_ACCEPT_FD {descriptor} is not a listening socket: {error}")]
    InvalidListener {
        /// The number of the descriptor.
        descriptor: i32,
        /// The error of the system.
        #[source]
        error: Errno,
    },
    /// The endpoint list in the configuration can't be read.
    #[error("invalid endpoint list in `known`: {0}")]
    KnownEndpoints(String),
    /// The configuration of a node can't be read or is invalid.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// An operator's file can't be read or is invalid.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The sockets to other nodes can't be opened.
    #[error(transparent)]
    Peers(#[from] crate::peers::PeersError),
    /// A signal handler can't be registered.
    #[error(transparent)]
    Signal(#[from] reedferry_runtime::signals::SignalError),
    /// Another part of the program failed, with the reason in one line.
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
