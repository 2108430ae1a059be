//! The configuration of a node's peers, as the operator's file contains it.

use reedferry::Nanos;
use std::net::SocketAddr;

/// The configuration of gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipConfig {
    /// The address on which this node listens for gossip.
    pub listen: SocketAddr,
    /// The addresses of the peers listed in the file; empty if the node belongs to a fleet.
    pub peers: Vec<SocketAddr>,
    /// The configuration of the fleet whose members are the peers; `None` if the peers are listed in the file.
    pub fleet: Option<FleetConfig>,
}

/// The configuration of a node's membership in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The address at which other members reach this node.
    pub address: SocketAddr,
    /// The address on which this node listens.
    pub listen: SocketAddr,
    /// The fleet's name.
    pub name: String,
    /// The addresses of the members to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The interval at which each member probes another one, in nanoseconds.
    pub period: Nanos,
    /// The maximum number of members that are tracked.
    pub max_members: usize,
    /// The configuration of the replication of requests in flight; `None` if they are not replicated.
    pub replication: Option<ReplicationConfig>,
}

/// The configuration of the replication of requests in flight, which lets another node take them over.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// How long a replica keeps a record after the last message about it, in nanoseconds.
    pub retention: Nanos,
    /// The maximum time to wait for the responses of a majority of replicas, in nanoseconds.
    pub majority_timeout: Nanos,
    /// The maximum number of records held for other nodes.
    pub max_records: usize,
}
