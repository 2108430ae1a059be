//! What a fleet's members are. It must never decide anything.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Steady time of the caller, in nanoseconds.
pub type Nanos = u64;

/// One second.
pub const SECOND: Nanos = 1_000_000_000;

/// The longest datagram, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1200;
/// The longest name, zone and build of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The state of a member. It announces the first three itself; others conclude the last two. The order is the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It serves.
    Active,
    /// It runs, and another process serves in its place.
    Standby,
    /// It shuts down gracefully.
    Leaving,
    /// It does not answer probes.
    Suspect,
    /// It left or failed.
    Dead,
}

impl MemberState {
    /// Of two states under one version the one of higher severity counts.
    pub(crate) fn severity(self) -> u8 {
        match self {
            MemberState::Active | MemberState::Standby | MemberState::Leaving => 0,
            MemberState::Suspect => 1,
            MemberState::Dead => 2,
        }
    }

    /// Whether a member may announce it of itself while it runs.
    pub(crate) fn is_healthy(self) -> bool {
        self.severity() == 0
    }

    /// Whether the member counts for the ownership of shards: a suspect one does until it is dead.
    pub(crate) fn owns_shards(self) -> bool {
        matches!(self, MemberState::Active | MemberState::Suspect)
    }

    /// The word that operators see.
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

/// What a member is in its fleet. The order is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// A node that decides and forwards by itself.
    Node,
    /// Forwards as a planner decides.
    Forwarder,
    /// Decides for forwarders.
    Planner,
}

impl Role {
    /// The word that operators see.
    pub fn label(self) -> &'static str {
        match self {
            Role::Node => "node",
            Role::Forwarder => "forwarder",
            Role::Planner => "planner",
        }
    }
}

/// Orders what is said of one member: the later version counts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberVersion {
    /// The run of its process: the system's clock at the start, in milliseconds.
    pub incarnation: u64,
    /// Counts what it announced of itself in that run.
    pub sequence: u32,
}

impl MemberVersion {
    /// The version of the next announcement.
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

/// What a member says of itself that rarely changes. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Unique in the fleet.
    pub name: String,
    /// Where it receives messages.
    pub address: SocketAddr,
    /// What it is.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Its version of the software.
    pub build: String,
    /// Its index by its settings.
    pub member_index: u32,
    /// The number of members by its settings; 0 once it has left.
    pub cluster_size: u32,
}

/// One run of a member's process. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The member's index in the cluster.
    pub member_index: u32,
    /// Tells one run of its process from another; a later run has a higher one.
    pub incarnation: u64,
}
