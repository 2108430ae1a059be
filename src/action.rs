//! The actions that the decision module orders.

use crate::endpoint::HostId;
use crate::request::RequestId;
use crate::time::Nanos;

/// What the caller is to do, in the order in which the actions are appended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt of a request at a host.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Where to.
        host: HostId,
        /// How long its answer is waited for.
        until: Nanos,
        /// The latest moment at which it may be written.
        by: Nanos,
    },
    /// Final: a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client is to wait before it (0: no advice).
        retry_after: Nanos,
    },
    /// Final: nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ends an open connection politely; its client reconnects.
    Migrate {
        /// The request of that connection.
        id: RequestId,
    },
    /// Cancels an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// Requests [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// When.
        time: Nanos,
        /// Returned with the event.
        timer: u64,
    },
    /// Fetches the whole endpoint list once.
    PollEndpoints,
    /// Watches the endpoint list for changes.
    WatchEndpoints,
    /// Probes a host for a load report.
    Probe {
        /// Which host.
        host: HostId,
    },
    /// Sends a message to all other nodes; any of them may never receive it.
    Gossip {
        /// The bytes, in the form of [`gossip`](crate::gossip).
        message: Vec<u8>,
    },
    /// Writes one line to the log.
    Log(String),
}
