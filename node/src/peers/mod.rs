//! The communication between nodes: gossip about loads, fleet membership, and replicated records of requests. Messages
//! are datagrams, and nothing here may depend on the delivery of any one of them.

mod assignments;
mod attempt_history;
mod config;
mod error;
mod membership;
mod membership_status;
mod replication;
mod static_peers;

pub use config::{FleetConfig, GossipConfig, ReplicationConfig};
pub use error::PeersError;
pub use membership::Fleet;
pub use replication::RequestReplication;
pub use static_peers::StaticPeers;
