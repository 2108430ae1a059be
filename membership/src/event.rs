//! The inputs of the state machine ([`Event`]) and its outputs ([`Action`]).

use crate::member::{MemberState, Nanos};
use crate::message::MessageError;
use std::net::SocketAddr;

/// The configuration of a member.
pub struct MembershipConfig {
    /// The protocol period, in nanoseconds. All protocol timeouts scale with it.
    pub period: Nanos,
    /// The addresses of members to contact on startup, and again periodically while no live member is known there.
    pub seeds: Vec<SocketAddr>,
    /// The maximum number of other members to track, dead ones included.
    pub max_members: usize,
    /// The fleet's id. Messages with another id are dropped, which separates fleets that can reach each other.
    pub fleet_id: u32,
}

/// An input of the state machine.
pub enum Event<'a> {
    /// The time that [`crate::Membership::next_wakeup`] returned has been reached.
    TimerFired,
    /// A datagram was received.
    MessageReceived {
        /// The sender's address.
        from: SocketAddr,
        /// The complete datagram.
        bytes: &'a [u8],
    },
    /// This member announces this state of itself. Ignored unless the state is one that a running member may announce.
    StateChanged(MemberState),
    /// This member's configured position in the cluster has changed.
    PlacementChanged {
        /// This member's index in the cluster, from 0.
        member_index: u32,
        /// The configured number of members.
        cluster_size: u32,
    },
    /// Replaces the list of seed addresses; see [`MembershipConfig::seeds`].
    SeedsChanged(Vec<SocketAddr>),
    /// Whether this member currently needs leases on slow-start quota, its own and that of dead members.
    QuotaLendingChanged(bool),
    /// This member's process is shutting down.
    Shutdown,
}

/// An instruction to the caller, or an event to report.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The destination address.
        to: SocketAddr,
        /// The complete datagram.
        bytes: Vec<u8>,
    },
    /// Another member is new or has changed its state.
    MemberChanged {
        /// The member's name.
        name: String,
        /// The member's address.
        address: SocketAddr,
        /// The previous state, or `None` if the member is new.
        previous: Option<MemberState>,
        /// The new state.
        state: MemberState,
    },
    /// A later incarnation of a member has a different address.
    MemberMoved {
        /// The member's name.
        name: String,
        /// The previous address.
        from: SocketAddr,
        /// The new address.
        to: SocketAddr,
    },
    /// Other members declared this member dead, so they may have taken over its shards.
    DeclaredDead,
    /// This member was not run for this long, in nanoseconds, so others may have taken over its shards.
    Stalled(Nanos),
    /// Another process with this member's name takes precedence. This process stops participating.
    Superseded {
        /// The address of the other process.
        by: SocketAddr,
    },
    /// A message, or one of its claims, was dropped.
    MessageDropped {
        /// The reason for dropping it.
        reason: MessageError,
        /// The sender's address, or for a single claim the address in that claim.
        from: SocketAddr,
    },
}
