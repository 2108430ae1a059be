//! What nodes tell each other: gossip on loads, membership of the fleet, and replicated records of requests. It must
//! never depend on any message arriving.

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
