//! What a forwarder has its caller do.

use crate::messages::HostEntry;
use reedferry::{Action, HostId, Nanos, RequestId};
use std::net::SocketAddr;

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwarderAction {
    /// For the client's connection: a final answer, a migration, the cancellation of an attempt.
    Perform(Action),
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The host to try.
        host: HostId,
        /// When the attempt times out.
        deadline: Nanos,
        /// The attempt must start before, or not at all.
        start_by: Nanos,
    },
    /// Connect to a planner; answered by [`Forwarder::connected`](super::Forwarder::connected) or
    /// [`Forwarder::connection_lost`](super::Forwarder::connection_lost).
    ConnectPlanner {
        /// The number of the new connection.
        connection: u32,
        /// Where to connect to.
        address: SocketAddr,
    },
    /// Close the connection to a planner.
    DisconnectPlanner {
        /// The number of the connection.
        connection: u32,
    },
    /// A host is new or has changed.
    HostLearned(HostEntry),
    /// Write a log line.
    Log(String),
}
