//! Why a node cannot take part among its peers.

use reedferry_runtime::Errno;
use std::fmt;
use std::net::SocketAddr;

/// A socket that cannot be opened at the start.
#[derive(Debug)]
pub enum PeersError {
    /// The fleet's.
    Membership(SocketAddr, Errno),
    /// The one for gossip with named peers.
    Gossip(SocketAddr, Errno),
}

impl fmt::Display for PeersError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PeersError::Membership(address, e) => {
                write!(f, "cannot take letters on {address}: {e}")
            }
            PeersError::Gossip(address, e) => write!(f, "cannot take messages on {address}: {e}"),
        }
    }
}

impl std::error::Error for PeersError {}

impl From<PeersError> for String {
    fn from(error: PeersError) -> String {
        error.to_string()
    }
}
