//! The actions that a planner returns to its caller.

use reedferry::{HostId, Nanos};

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Calls [`Planner::timer_fired`](super::Planner::timer_fired) at the given time.
    SetTimer {
        /// The time of the call.
        time: Nanos,
        /// The zone to pass.
        zone: u16,
        /// The timer to pass.
        timer: u64,
    },
    /// Fetches the endpoint list.
    PollEndpoints,
    /// Starts a watch of the endpoint list.
    WatchEndpoints,
    /// Probes the load of a host.
    Probe {
        /// The host.
        host: HostId,
    },
    /// Closes a forwarder's connection once its unsent bytes are sent.
    Disconnect {
        /// The caller's number for the connection.
        connection: u32,
    },
    /// Writes a log line.
    Log(String),
}
