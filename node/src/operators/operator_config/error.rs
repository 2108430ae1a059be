//! The errors of an operator's file. Each is one line that names the line of the file and what is allowed there.

use crate::operators::config_files::ReadError;
use crate::operators::node_config::NodeConfigError;
use reedferry::{Nanos, MILLI};
use slog::{Key, Record, Serializer};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The reason why an operator's file cannot be read or used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The file is not UTF-8.
    #[error("cannot read {}: not UTF-8", .0.display())]
    NotUtf8(PathBuf),
    /// The content of the file, or of the node configuration that it names, is invalid.
    #[error("{}:{line}: {problem}", path.display())]
    Invalid {
        /// The operator's file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The problem at that line.
        problem: Box<Problem>,
    },
}

impl From<OperatorConfigError> for String {
    fn from(error: OperatorConfigError) -> Self {
        error.to_string()
    }
}

impl slog::Value for OperatorConfigError {
    fn serialize(&self, _: &Record, key: Key, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_arguments(key, &format_args!("{self}"))
    }
}

/// A problem at a line of the file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// The file is not valid TOML, or a key is unknown, missing or has a value of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// The node configuration that the file names cannot be read or used.
    #[error(transparent)]
    NodeConfig(#[from] NodeConfigError),
    /// A duration is not a number with a unit.
    #[error("{key} is {text:?}, not a duration with a unit, such as \"250ms\"")]
    InvalidDuration {
        /// The key in the file.
        key: &'static str,
        /// The value of the key.
        text: String,
    },
    /// A duration is too short or too long.
    #[error("{key} is {text}, not between {} and {}", DisplayDuration(*min), DisplayDuration(*max))]
    DurationOutOfRange {
        /// The key in the file.
        key: &'static str,
        /// The value of the key.
        text: String,
        /// The shortest allowed duration, inclusive.
        min: Nanos,
        /// The longest allowed duration, inclusive.
        max: Nanos,
    },
    /// A number is too small or too large.
    #[error("{key} is {count}, not between 1 and {max}")]
    CountOutOfRange {
        /// The key in the file.
        key: &'static str,
        /// The value of the key.
        count: usize,
        /// The largest allowed number, inclusive.
        max: usize,
    },
    /// An address is invalid.
    #[error("{key} {text:?} is not an address with a port, such as \"127.0.0.1:7000\"")]
    InvalidAddress {
        /// The key in the file.
        key: &'static str,
        /// The value of the key.
        text: String,
    },
    /// The file has sections of two roles.
    #[error("more than one role; only one of [node], [forward] and [plan] is allowed")]
    MultipleRoles,
    /// A `[fleet]` section in the file of a forwarder or planner, or beside peers that are listed one by one.
    #[error(
        "fleet: allowed only for a node with neither messages nor [[peer]], because the members are its peers"
    )]
    FleetConflict,
    /// A `[fleet]` section although gossip is disabled.
    #[error("fleet: policy_limits.peers in the node configuration is false")]
    FleetWithoutGossip,
    /// The address of this node in the fleet has no port or host, or is of another family than the listening address.
    #[error("address {0} is unreachable for other members; it needs a host, a port and the family of listen")]
    UnreachableAddress(SocketAddr),
    /// A seed of the fleet has no port or host, is of another family than this node's address, or is a duplicate.
    #[error(
        "seed {0} is unreachable or a duplicate; it needs a host, a port and the family of address"
    )]
    InvalidSeed(SocketAddr),
    /// The name of the fleet or node is too long, or the node has no name.
    #[error("the name of a fleet must have at most 64 bytes, that of a node 1 to 64")]
    NameLength,
    /// The file of a forwarder or planner lists a peer.
    #[error("peer: only a node has peers; forwarders report to planners instead")]
    PeersOfOtherRole,
    /// Gossip is enabled for a forwarder or planner.
    #[error(
        "policy_limits.peers: must be false for forwarders and planners, which send no gossip"
    )]
    GossipOfOtherRole,
    /// The list of peers is invalid, or contradicts the settings of gossip.
    #[error(transparent)]
    Peers(#[from] PeerListError),
    /// The file of a forwarder lists no planner.
    #[error("forward: at least one [[planner]] is required")]
    NoPlanners,
    /// The file of a node lists a planner.
    #[error("planner: a node follows no planner; the file needs [forward] or [plan]")]
    PlannersWithoutRole,
    /// A planner's name is empty or too long.
    #[error("the name of a planner must have 1 to 256 bytes")]
    PlannerNameLength,
    /// Two planners have the same name or address.
    #[error("planner {0:?}: duplicate name or address")]
    DuplicatePlanner(String),
    /// The planner's own name is not among the planners.
    #[error("name {0:?} is not in the list of [[planner]]")]
    UnknownPlanner(String),
    /// The drain grace is too short for the default lease.
    #[error("contract.drain_grace in the node configuration is {} ms; a forwarder needs at least 90 ms", drain_grace / MILLI)]
    DrainGraceTooShort {
        /// The drain grace of the node configuration.
        drain_grace: Nanos,
    },
}

/// The reason why a list of peers is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerListError {
    /// There are peers or an address for gossip although gossip is disabled.
    #[error("peer and messages: not allowed where policy_limits.peers in the node configuration is false")]
    GossipDisabled,
    /// Gossip is enabled, but there is no address at which to receive it.
    #[error("policy_limits.peers: needs messages in [node] of an operator's file")]
    MissingAddress,
    /// Gossip is enabled, but there are no peers.
    #[error("policy_limits.peers: needs at least one [[peer]]")]
    NoPeers,
    /// A peer is invalid.
    #[error("peer {address} {reason}")]
    Peer {
        /// The index of the peer in the list of peers, from 0.
        index: usize,
        /// The address of the peer.
        address: SocketAddr,
        /// The reason why the peer is rejected.
        reason: PeerRejection,
    },
}

/// The reason why a peer is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerRejection {
    /// The address of the peer has no port or host, or is of another family than this node's.
    #[error("is unreachable; it needs a host, a port and the family of messages")]
    Unreachable,
    /// The peer has this node's address.
    #[error("is the address of this node")]
    OwnAddress,
    /// The peer is listed more than once.
    #[error("is a duplicate")]
    Duplicate,
    /// There are more peers than other nodes.
    #[error("exceeds settings.balancers, which counts this node and all its peers")]
    TooMany,
}

/// Formats a duration with its unit, as operators write it.
struct DisplayDuration(Nanos);

impl fmt::Display for DisplayDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}",
            humantime::format_duration(Duration::from_nanos(self.0))
        )
    }
}
