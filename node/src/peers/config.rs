//! What the operator's file says of a node's peers. It must never decide anything.

use reedferry::Nanos;
use std::net::SocketAddr;

/// Where gossip comes and goes.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipConfig {
    /// Where this node listens.
    pub listen: SocketAddr,
    /// The peers named one by one; none where there is a fleet.
    pub peers: Vec<SocketAddr>,
    /// Where the node takes part in a fleet: its members are the peers.
    pub fleet: Option<FleetConfig>,
}

/// How a node takes part in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Where others reach this node.
    pub address: SocketAddr,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The fleet's name.
    pub name: String,
    /// Members to contact first.
    pub seeds: Vec<SocketAddr>,
    /// How often each member probes another.
    pub period: Nanos,
    /// The most members that are tracked.
    pub max_members: usize,
    /// Where requests in flight are to survive their node.
    pub replication: Option<ReplicationConfig>,
}

/// How requests in flight are replicated.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// How long a record matters.
    pub retention: Nanos,
    /// How long a majority may take.
    pub majority_timeout: Nanos,
    /// The most records held for others.
    pub max_records: usize,
}
