//! Fleet membership: this member's view of which other members are alive.
//!
//! Implements SWIM failure detection with suspicion and incarnations (Das, Gupta, Motivala, "SWIM", DSN 2002),
//! Lifeguard's local health multiplier and dynamic suspicion timeouts (Dadgar, Phillips, Currey, "Lifeguard", 2017),
//! and anti-entropy between whole member tables, so that the views of a partitioned fleet merge again. Two services
//! build on it: shard ownership, and leases on the slow-start quota of dead members.
//!
//! [`Membership`] is a deterministic state machine: it takes events and the caller's clock and returns actions, and it
//! draws all random numbers from a given seed. It performs no I/O. What other members' states mean for the caller's own
//! work is left to the caller.

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
