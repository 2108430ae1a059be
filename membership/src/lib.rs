//! Membership of a fleet: who is alive, as one member knows it.
//!
//! SWIM's failure detection with suspicion and incarnations (Das, Gupta, Motivala, "SWIM", DSN 2002), Lifeguard's local
//! health and suspicion timeouts (Dadgar, Phillips, Currey, "Lifeguard", 2017), and anti-entropy between whole member
//! tables, so that partitions of the fleet merge again. On top of it: which member owns which shard, and leases on the
//! slow-start quota of dead members. [`Membership`] is a state machine: events and the caller's clock go in, actions
//! come out, and its random numbers follow from a given seed. It must never do I/O, nor act on what it knows of others.

mod anti_entropy;
mod event;
mod failure_detector;
mod gossip;
mod gossip_queue;
mod member;
mod member_table;
mod membership;
mod message;
mod quota;
mod quota_leases;
mod random;
mod rendezvous;
mod sharding;
mod suspicion;
mod table_digest;

#[cfg(test)]
mod model_tests;
#[cfg(test)]
mod quota_tests;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod untrusted_input_tests;

pub use event::{Action, Event, MembershipConfig};
pub use member::{
    LeaseHolder, MemberInfo, MemberState, MemberVersion, Nanos, Role, MAX_MESSAGE_BYTES,
    MAX_NAME_BYTES, SECOND,
};
pub use member_table::Member;
pub use membership::Membership;
pub use message::{checksum, MessageError};
pub use quota::QuotaShare;
pub use rendezvous::owner;
