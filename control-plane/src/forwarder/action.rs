//! The actions that a forwarder returns to its caller.

use crate::messages::HostEntry;
use reedferry::{Action, HostId, Nanos, RequestId};
use std::net::SocketAddr;

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwarderAction {
    /// Carries out an action of the decision core on a client's connection: a final answer, a migration or the
    /// cancellation of an attempt.
    Perform(Action),
    /// Starts an attempt.
    StartAttempt {
        /// The id of the request.
        id: RequestId,
        /// The host to try.
        host: HostId,
        /// The time at which the attempt times out.
        deadline: Nanos,
        /// The time from which on the attempt must not be started any more.
        start_by: Nanos,
    },
    /// Connects to a planner. The caller reports the result by [`Forwarder::connected`](super::Forwarder::connected)
    /// or [`Forwarder::connection_lost`](super::Forwarder::connection_lost).
    ConnectPlanner {
        /// The number of the new connection.
        connection: u32,
        /// The planner's address.
        address: SocketAddr,
    },
    /// Closes the connection to a planner.
    DisconnectPlanner {
        /// The number of the connection.
        connection: u32,
    },
    /// Records a host that is new or has changed. An entry for a host that is missing from a complete list has an
    /// empty name and no address.
    HostLearned(HostEntry),
    /// Writes a log line.
    Log(String),
}
