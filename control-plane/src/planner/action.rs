//! What a planner has its caller do.

use reedferry::{HostId, Nanos};

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Call [`Planner::timer_fired`](super::Planner::timer_fired) at this time.
    SetTimer {
        /// When.
        time: Nanos,
        /// The zone to call it for.
        zone: u16,
        /// The timer to call it with.
        timer: u64,
    },
    /// Fetch the endpoint list.
    PollEndpoints,
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Probe the load of a host.
    Probe {
        /// The host.
        host: HostId,
    },
    /// Close a forwarder's connection once what waits for it is sent.
    Disconnect {
        /// The caller's number for the connection.
        connection: u32,
    },
    /// Write a log line.
    Log(String),
}
