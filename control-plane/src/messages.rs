//! The messages between forwarders and planners. This module defines their wire format: postcard encodes fields and
//! variants by position and never by name, so neither may be reordered.

use reedferry::Nanos;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum length of the name of a host, a forwarder or a planner, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The maximum number of hosts that [`PriorAttempts`] may list.
pub const MAX_TRIED_HOSTS: usize = 32;

/// Returns whether a name that a peer sent is neither empty nor longer than [`MAX_NAME_BYTES`].
pub(crate) fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// The greeting that a forwarder sends as its first frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The forwarder's name.
    pub name: String,
    /// The name of the planner that the forwarder expects at the address.
    pub planner: String,
    /// The index of the zone that the forwarder serves.
    pub zone: u16,
    /// A number that grows with each start of the forwarder.
    pub epoch: u64,
    /// The [`fingerprint`](crate::fingerprint) of the lists of names that later messages refer to by index.
    pub fingerprint: u64,
}

/// A planner's answer to [`Hello`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Welcome {
    /// The session begins. Every later frame carries this session number.
    Session(u64),
    /// The planner rejects the session for this reason.
    Refused(String),
}

/// The header of each frame after the greeting.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrameHeader {
    /// The session's number from [`Welcome::Session`].
    pub session: u64,
    /// The sequence number of the frame in its direction, starting at 1.
    pub sequence: u64,
    /// From a forwarder: the number of its last heartbeat. From a planner: the number of the last heartbeat that it
    /// had read when it made the decisions in the frame.
    pub heartbeat: u64,
}

/// A request that needs a host. Times are durations because the two ends do not share a clock.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The index of the request class.
    pub class: u16,
    /// The hash of the affinity key; `None` if the request has no key.
    pub key: Option<u64>,
    /// The idempotency group; `None` if the request names none.
    pub group: Option<u64>,
    /// The load that the client's connections usually cause; `None` if it is unknown.
    pub usual_load: Option<f64>,
    /// The time until the request's deadline, in nanoseconds.
    pub time_left: Nanos,
}

/// An attempt that its host may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutedAttempt {
    /// The id of the host to which it was sent.
    pub host: u64,
    /// The time since it was sent, in nanoseconds.
    pub sent_ago: Nanos,
}

/// The history of a request's attempts so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorAttempts {
    /// The number of attempts that were made.
    pub attempts: u32,
    /// The first attempt that may have been executed; `None` if there is none.
    pub may_have_run: Option<ExecutedAttempt>,
    /// The ids of the hosts that were tried, at most [`MAX_TRIED_HOSTS`].
    pub tried_hosts: Vec<u64>,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireOutcome {
    /// The connection was served to its end.
    Completed,
    /// The host answered with an error.
    Error,
    /// The host rejected the attempt.
    Rejected,
    /// The host did not answer in time.
    TimedOut,
    /// No connection to the host could be made.
    ConnectFailed,
    /// The connection broke.
    ConnectionLost,
    /// The forwarder cancelled the attempt.
    Cancelled,
    /// Nothing of the attempt reached the host.
    NeverSent,
    /// Another process took over the connection.
    HandedOver,
}

/// The state of a host according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireHostState {
    /// The host takes new connections.
    Ready,
    /// The host takes no new connections.
    Draining,
    /// The host is no longer on the endpoint list.
    Gone,
}

/// A host as it is described to forwarders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's id.
    pub id: u64,
    /// The host's name.
    pub name: String,
    /// The address on which the host listens; `None` if it is unknown.
    pub address: Option<SocketAddr>,
    /// The host's state.
    pub state: WireHostState,
    /// The version of the endpoint list from which this entry comes; 0 if the planner has it from its own file and
    /// the list service has not confirmed it.
    pub list_version: u64,
}

impl HostEntry {
    /// Returns whether the list service has confirmed the entry.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.list_version > 0
    }
}

/// A message from a forwarder to a planner. Requests are named by the forwarder's ids. `decision_sequence` numbers
/// the forwarder's reports on one request, and each answer repeats the number of the report that it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwarderMessage {
    /// The forwarder follows this planner from now on. It reports its open connections before it sends requests.
    Follow {
        /// The number of open connections that will be reported.
        open_connections: u32,
    },
    /// All open connections have been reported.
    StateSyncComplete,
    /// The forwarder no longer follows this planner, and everything that it reported is void.
    Unfollow,
    /// Reports an open connection that the planner does not know yet.
    OpenConnection {
        /// The forwarder's id of the request.
        id: u64,
        /// The request as it was made.
        request: PlacementRequest,
        /// The id of the host that serves it.
        host: u64,
    },
    /// Asks for a host for a request.
    RequestPlacement {
        /// The forwarder's id of the request.
        id: u64,
        /// The number that the answer must repeat.
        decision_sequence: u32,
        /// The request.
        request: PlacementRequest,
        /// The history of the request.
        prior_attempts: PriorAttempts,
    },
    /// Reports that the connection of a request that the planner placed is open.
    ConnectionEstablished {
        /// The forwarder's id of the request.
        id: u64,
        /// The time since the start of the attempt, in nanoseconds.
        took: Nanos,
    },
    /// Reports that an attempt or an open connection ended.
    AttemptEnded {
        /// The forwarder's id of the request.
        id: u64,
        /// The number that the next answer must repeat.
        decision_sequence: u32,
        /// The outcome of the attempt or the connection.
        outcome: WireOutcome,
        /// Whether the request ended with it. If not, the forwarder asks for another decision.
        request_over: bool,
    },
    /// Reports the measured load of an open connection.
    LoadMeasured {
        /// The forwarder's id of the request.
        id: u64,
        /// The load.
        load: f64,
    },
    /// Reports the latency of a message to a host.
    MessageLatency {
        /// The id of the host.
        host: u64,
        /// The latency, in nanoseconds.
        latency: Nanos,
    },
    /// Reports that the client of a request left.
    ClientLeft {
        /// The forwarder's id of the request.
        id: u64,
    },
    /// Reports that the forwarder settled the request without this planner. Any decision that the planner made in
    /// the meantime is void.
    RequestClosed {
        /// The forwarder's id of the request.
        id: u64,
    },
}

/// A host of a fallback plan with its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostWeight {
    /// The id of the host.
    pub host: u64,
    /// The weight of the host, in thousandths of the plan's largest weight.
    pub weight: u16,
}

/// A message from a planner to a forwarder. `decision_sequence` is the number of the report that a decision answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlannerMessage {
    /// Starts an attempt at a host.
    StartAttempt {
        /// The forwarder's id of the request.
        id: u64,
        /// The number of the report that this answers.
        decision_sequence: u32,
        /// The id of the host.
        host: u64,
        /// The time after which the attempt times out, in nanoseconds.
        time_limit: Nanos,
    },
    /// Rejects the request.
    Reject {
        /// The forwarder's id of the request.
        id: u64,
        /// The number of the report that this answers.
        decision_sequence: u32,
        /// The time after which the client may retry, in nanoseconds.
        retry_after: Nanos,
    },
    /// Fails the request.
    Fail {
        /// The forwarder's id of the request.
        id: u64,
        /// The number of the report that this answers.
        decision_sequence: u32,
    },
    /// Asks the client of an open connection to reconnect.
    Migrate {
        /// The forwarder's id of the request.
        id: u64,
    },
    /// Describes a host that is new or has changed.
    Host(HostEntry),
    /// Announces that every host has been sent.
    HostsComplete {
        /// The version of the endpoint list to which the sent hosts belong; 0 if the planner has them from its own
        /// file. They are announced once more when the list service has confirmed them.
        list_version: u64,
    },
    /// Replaces the fallback plan, by which the forwarder places requests that the planner cannot decide in time.
    Plan {
        /// The hosts with their weights.
        hosts: Vec<HostWeight>,
        /// The maximum number of requests that may be placed by this plan.
        allowance: u32,
    },
    /// The planner is about to stop, and the forwarder should follow another one.
    ShuttingDown,
}
