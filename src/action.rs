//! The actions that a [`Balancer`](crate::Balancer) asks the caller to carry out.

use crate::endpoint::HostId;
use crate::request::RequestId;
use crate::time::Nanos;

/// An action that the caller carries out; actions are carried out in the order in which they were
/// appended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt of a request at a host.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The host to send it to.
        host: HostId,
        /// The time at which the attempt is given up if the host has not answered.
        until: Nanos,
        /// The latest time at which bytes of the attempt may be written, inclusive.
        by: Nanos,
    },
    /// Gives a request its final answer: it was not served, and the client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Nanos,
    },
    /// Gives a request its final answer: it may have run, so a retry may be unsafe.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Closes an open connection in an orderly way, so that its client reconnects elsewhere.
    Migrate {
        /// The request of that connection.
        id: RequestId,
    },
    /// Cancels an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The index of the attempt within the request, from 0.
        attempt: u32,
    },
    /// Requests [`Event::TimerFired`](crate::Event::TimerFired) at a given time.
    SetTimer {
        /// The time at which the timer fires.
        time: Nanos,
        /// The number that the event returns.
        timer: u64,
    },
    /// Fetches the whole endpoint list once.
    PollEndpoints,
    /// Watches the endpoint list for changes.
    WatchEndpoints,
    /// Probes a host for a load report.
    Probe {
        /// The host to probe.
        host: HostId,
    },
    /// Sends a message to all other nodes, without a guarantee of delivery.
    Gossip {
        /// The bytes, in the form of [`gossip`](crate::gossip).
        message: Vec<u8>,
    },
    /// Writes one line to the log.
    Log(String),
}
