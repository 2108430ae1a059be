//! What the state machine is told, and what it asks of its caller.

use crate::member::{MemberState, Nanos};
use crate::message::MessageError;
use std::net::SocketAddr;

/// How a member takes part in its fleet.
pub struct MembershipConfig {
    /// The protocol period, the unit of all times here.
    pub period: Nanos,
    /// Members to contact first, and from time to time.
    pub seeds: Vec<SocketAddr>,
    /// The most members that are tracked.
    pub max_members: usize,
    /// Tells fleets apart that can reach each other.
    pub fleet_id: u32,
}

/// What happened.
pub enum Event<'a> {
    /// The time of [`crate::Membership::next_wakeup`] has come.
    TimerFired,
    /// A datagram has arrived.
    MessageReceived {
        /// The sender's address.
        from: SocketAddr,
        /// The whole datagram.
        bytes: &'a [u8],
    },
    /// The state that this member announces of itself.
    StateChanged(MemberState),
    /// This member's place by its settings.
    PlacementChanged {
        /// Its index.
        member_index: u32,
        /// The number of members.
        cluster_size: u32,
    },
    /// The members to contact first.
    SeedsChanged(Vec<SocketAddr>),
    /// Whether the slow-start quota of dead members is of use now.
    QuotaLendingChanged(bool),
    /// This member's process ends.
    Shutdown,
}

/// What the caller is to do or to report.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// The state of a member has changed.
    MemberChanged {
        /// Its name.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// The state before; none where the member is new.
        previous: Option<MemberState>,
        /// The state now.
        state: MemberState,
    },
    /// A later incarnation of a member has another address.
    MemberMoved {
        /// Its name.
        name: String,
        /// The address before.
        from: SocketAddr,
        /// The address now.
        to: SocketAddr,
    },
    /// Others took this member for dead, and its leases are void.
    DeclaredDead,
    /// This member did not run for so long, and others may have taken over its shards.
    Stalled(Nanos),
    /// Another process has this member's name and counts; this one takes no part any more.
    Superseded {
        /// That process's address.
        by: SocketAddr,
    },
    /// A message, or what it says of a member, was dropped.
    MessageDropped {
        /// What is wrong with it.
        reason: MessageError,
        /// Whose it is.
        from: SocketAddr,
    },
}
