//! The errors of opening the sockets to other nodes.

use reedferry_runtime::Errno;
use std::fmt;
use std::net::SocketAddr;

/// A socket that cannot be opened at the start, with its address and the error of the system.
#[derive(Debug)]
pub enum PeersError {
    /// The socket for membership of a fleet.
    Membership(SocketAddr, Errno),
    /// The socket for gossip with the peers listed in the operator's file.
    Gossip(SocketAddr, Errno),
}

impl fmt::Display for PeersError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PeersError::Membership(address, e) => {
                write!(f, "cannot open the membership socket on {address}: {e}")
            }
            PeersError::Gossip(address, e) => {
                write!(f, "cannot open the gossip socket on {address}: {e}")
            }
        }
    }
}

impl std::error::Error for PeersError {}

impl From<PeersError> for String {
    fn from(error: PeersError) -> String {
        error.to_string()
    }
}
