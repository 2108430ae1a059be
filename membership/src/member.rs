//! The data types that describe a member: its identity, role, state and version. They contain no protocol logic.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A point on the caller's monotonic clock, or a duration, in nanoseconds.
pub type Nanos = u64;

/// One second, in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;

/// The maximum length of a datagram, in bytes (inclusive).
pub const MAX_MESSAGE_BYTES: usize = 1200;
/// The maximum length of a member's name, zone and build, in bytes each (inclusive).
pub const MAX_NAME_BYTES: usize = 64;

/// The state of a member. A member announces `Active`, `Standby` and `Leaving` itself, and `Dead` when it shuts down;
/// others infer `Suspect` and `Dead`. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member serves requests.
    Active,
    /// The member runs while another process serves in its place.
    Standby,
    /// The member is shutting down gracefully.
    Leaving,
    /// The member does not answer probes.
    Suspect,
    /// The member has left or failed.
    Dead,
}

impl MemberState {
    /// Ranks states: of two claims with equal versions, the one with the more severe state wins.
    pub(crate) fn severity(self) -> u8 {
        match self {
            MemberState::Active | MemberState::Standby | MemberState::Leaving => 0,
            MemberState::Suspect => 1,
            MemberState::Dead => 2,
        }
    }

    /// Whether a running member may announce this state of itself.
    pub(crate) fn is_healthy(self) -> bool {
        self.severity() == 0
    }

    /// Whether a member in this state owns shards. A suspect keeps its shards until it is declared dead.
    pub(crate) fn owns_shards(self) -> bool {
        matches!(self, MemberState::Active | MemberState::Suspect)
    }

    /// Returns the name shown to operators.
    pub fn label(self) -> &'static str {
        match self {
            MemberState::Active => "at work",
            MemberState::Standby => "standing by",
            MemberState::Leaving => "leaving",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "gone",
        }
    }
}

/// The role of a member in its fleet. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// A node that makes its own placement decisions and forwards requests.
    Node,
    /// Forwards requests according to a planner's decisions.
    Forwarder,
    /// Makes placement decisions for forwarders.
    Planner,
}

impl Role {
    /// Returns the name shown to operators.
    pub fn label(self) -> &'static str {
        match self {
            Role::Node => "node",
            Role::Forwarder => "forwarder",
            Role::Planner => "planner",
        }
    }
}

/// The version of a claim about a member. Of two claims about one member, the one with the higher version wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberVersion {
    /// Identifies the run of the member's process: the system clock at its start, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The number of the member's announcement within this incarnation.
    pub sequence: u32,
}

impl MemberVersion {
    /// Returns the version of the next announcement. When the sequence number is exhausted, the incarnation is
    /// increased.
    pub(crate) fn next(self) -> MemberVersion {
        match self.sequence.checked_add(1) {
            Some(sequence) => MemberVersion { sequence, ..self },
            None => MemberVersion {
                incarnation: self.incarnation.saturating_add(1),
                sequence: 0,
            },
        }
    }
}

/// The properties of a member that rarely change, as announced by the member. The order of the fields is the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The name, unique in the fleet.
    pub name: String,
    /// The address at which the member receives messages.
    pub address: SocketAddr,
    /// The role in the fleet.
    pub role: Role,
    /// The zone in which the member runs.
    pub zone: String,
    /// The version of the member's software.
    pub build: String,
    /// The configured index of the member in the cluster, from 0.
    pub member_index: u32,
    /// The configured number of members in the cluster; 0 once the member has left.
    pub cluster_size: u32,
}

/// Identifies one run of a member's process as the holder of a lease. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The member's index in the cluster.
    pub member_index: u32,
    /// The incarnation of the process; a later run has a higher one.
    pub incarnation: u64,
}
