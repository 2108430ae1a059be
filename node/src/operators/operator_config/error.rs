//! What can be wrong with an operator's file. Each error is one line that names the line and what would be right.

use crate::operators::config_files::ReadError;
use crate::operators::node_config::NodeConfigError;
use reedferry::{Nanos, MILLI};
use slog::{Key, Record, Serializer};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// An operator's file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The file is not UTF-8.
    #[error("cannot read {}: no text", .0.display())]
    NotUtf8(PathBuf),
    /// The file says something that can't be used.
    #[error("{}:{line}: {problem}", path.display())]
    Invalid {
        /// The operator's file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// What is wrong there.
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

/// What is wrong at a line of the file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// It is no TOML, or not of this form.
    #[error("{0}")]
    Syntax(String),
    /// The node configuration that it names can't be used.
    #[error(transparent)]
    NodeConfig(#[from] NodeConfigError),
    /// A duration has no unit.
    #[error("{key} is {text:?}, not a time with its unit, such as \"250ms\"")]
    InvalidDuration {
        /// The key in the file.
        key: &'static str,
        /// What stands there.
        text: String,
    },
    /// A duration is too short or too long.
    #[error("{key} is {text}, not between {} and {}", DisplayDuration(*min), DisplayDuration(*max))]
    DurationOutOfRange {
        /// The key in the file.
        key: &'static str,
        /// What stands there.
        text: String,
        /// The shortest allowed.
        min: Nanos,
        /// The longest allowed.
        max: Nanos,
    },
    /// A number is too small or too large.
    #[error("{key} is {count}, not between 1 and {max}")]
    CountOutOfRange {
        /// The key in the file.
        key: &'static str,
        /// What stands there.
        count: usize,
        /// The largest allowed.
        max: usize,
    },
    /// An address can't be parsed.
    #[error("{key} {text:?} is no address with a port, such as \"127.0.0.1:7000\"")]
    InvalidAddress {
        /// The key in the file.
        key: &'static str,
        /// What stands there.
        text: String,
    },
    /// The file is for two roles.
    #[error("a second role; one of [node], [forward] and [plan] is wanted")]
    MultipleRoles,
    /// A fleet where there can be none.
    #[error(
        "fleet: only a node takes part, with neither messages nor [[peer]]: members are its peers"
    )]
    FleetConflict,
    /// A fleet though gossip is disabled.
    #[error("fleet: policy_limits.peers in the papers is false")]
    FleetWithoutGossip,
    /// The fleet's own address is unreachable.
    #[error("address {0} can't be reached by others")]
    UnreachableAddress(SocketAddr),
    /// A seed of the fleet is unreachable, or a duplicate.
    #[error("seed {0} can't be reached, or stands here twice")]
    InvalidSeed(SocketAddr),
    /// The fleet's name or the node's is too long.
    #[error("a fleet's name has 64 bytes at most, a node's 1 to 64")]
    NameLength,
    /// A peer of a forwarder or planner.
    #[error("peer: only a node has peers; planners hear their forwarders")]
    PeersOfOtherRole,
    /// Gossip is enabled for a forwarder or planner.
    #[error("policy_limits.peers: forwarders and planners send no messages")]
    GossipOfOtherRole,
    /// Gossip and peers contradict each other.
    #[error(transparent)]
    Peers(#[from] PeerListError),
    /// A forwarder without planners.
    #[error("a forwarder needs a [[planner]] or more")]
    NoPlanners,
    /// A node with planners.
    #[error("a node follows no planner; [forward] or [plan] is wanted")]
    PlannersWithoutRole,
    /// A planner's name is empty or too long.
    #[error("a planner's name has 1 to 256 bytes")]
    PlannerNameLength,
    /// Two planners have the same name or address.
    #[error("planner {0:?} or its address stands here twice")]
    DuplicatePlanner(String),
    /// The planner's own name is not among the planners.
    #[error("{0:?} is none of the [[planner]] below")]
    UnknownPlanner(String),
    /// The drain grace is too short for any lease.
    #[error("the papers grant {} ms for drains; a planner's word needs 90 ms or more", drain_grace / MILLI)]
    DrainGraceTooShort {
        /// The drain grace of the node configuration.
        drain_grace: Nanos,
    },
}

/// How gossip and peers contradict each other.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerListError {
    /// Peers though gossip is disabled.
    #[error("peers without leave: policy_limits.peers in the papers is false")]
    GossipDisabled,
    /// No address at which gossip is received.
    #[error("policy_limits.peers: messages in [node] of an operator's file is missing")]
    MissingAddress,
    /// Nobody to gossip with.
    #[error("policy_limits.peers: messages are allowed and there is no [[peer]]")]
    NoPeers,
    /// One of the peers can't be one.
    #[error("peer {address} {reason}")]
    Peer {
        /// Its index in the list of peers.
        index: usize,
        /// Its address.
        address: SocketAddr,
        /// Why it can't be a peer.
        reason: PeerRejection,
    },
}

/// Why a peer can't be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerRejection {
    /// Its address has no port, no host or another family.
    #[error("cannot be reached from messages")]
    Unreachable,
    /// It has this node's address.
    #[error("is this node itself")]
    OwnAddress,
    /// It is listed before.
    #[error("stands here twice")]
    Duplicate,
    /// There are more peers than nodes.
    #[error("is one too many: settings.balancers counts this node and all its peers")]
    TooMany,
}

/// A duration as operators write it.
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
