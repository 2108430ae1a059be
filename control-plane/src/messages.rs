//! The messages between forwarders and planners. This module owns their form on the wire: postcard writes
//! fields and variants in the order in which they stand here and never their names, so neither may be
//! reordered.

use reedferry::Nanos;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a host, a forwarder or a planner, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The most hosts that [`PriorAttempts`] may list.
pub const MAX_TRIED_HOSTS: usize = 32;

/// Whether a name that a peer sent is usable.
pub(crate) fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// The greeting of a forwarder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The forwarder's name.
    pub name: String,
    /// The name of the planner that the forwarder means to reach.
    pub planner: String,
    /// The zone that the forwarder serves.
    pub zone: u16,
    /// Grows with each start of the forwarder.
    pub epoch: u64,
    /// Hash of the lists whose positions stand for names in later messages.
    pub fingerprint: u64,
}

/// A planner's answer to [`Hello`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Welcome {
    /// The session begins; every later frame bears this number.
    Session(u64),
    /// The planner rejects the session, with its reason.
    Refused(String),
}

/// The header of each frame behind the greeting.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrameHeader {
    /// The session's number from [`Welcome::Session`].
    pub session: u64,
    /// Counts the frames of one direction, from one.
    pub sequence: u64,
    /// From a forwarder: its last heartbeat. From a planner: the last heartbeat that it had read when it decided
    /// what the frame holds.
    pub heartbeat: u64,
}

/// A request that needs a host. Times are durations: the two ends share no clock.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Index of the request class.
    pub class: u16,
    /// Hash of the affinity key.
    pub key: Option<u64>,
    /// The idempotency group.
    pub group: Option<u64>,
    /// The load that the client's connections usually bring.
    pub usual_load: Option<f64>,
    /// Time until the request's deadline.
    pub time_left: Nanos,
}

/// An attempt that its host may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutedAttempt {
    /// The host it went to.
    pub host: u64,
    /// How long ago it was sent.
    pub sent_ago: Nanos,
}

/// What has become of a request so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorAttempts {
    /// How many attempts were made.
    pub attempts: u32,
    /// The first attempt that may have been executed.
    pub may_have_run: Option<ExecutedAttempt>,
    /// The hosts that were tried.
    pub tried_hosts: Vec<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireOutcome {
    /// The connection was served to its end.
    Completed,
    /// The host answered with an error.
    Error,
    /// The host rejected it.
    Rejected,
    /// The host did not answer in time.
    TimedOut,
    /// No connection to the host could be made.
    ConnectFailed,
    /// The connection broke.
    ConnectionLost,
    /// The forwarder cancelled it.
    Cancelled,
    /// Nothing of it reached the host.
    NeverSent,
    /// Another process took the connection over.
    HandedOver,
}

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireHostState {
    /// It takes new connections.
    Ready,
    /// It takes no new connections.
    Draining,
    /// It is no longer on the endpoint list.
    Gone,
}

/// A host as a forwarder needs to know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's id.
    pub id: u64,
    /// The host's name.
    pub name: String,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its state.
    pub state: WireHostState,
    /// The version of the endpoint list that says so.
    pub list_version: u64,
}

/// From a forwarder to a planner. Requests go by the forwarder's ids. `decision_sequence` counts what the
/// forwarder has reported of one request, and an answer bears the number that it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwarderMessage {
    /// This planner decides from now on; the open connections are reported first.
    Follow {
        /// How many open connections will be reported.
        open_connections: u32,
    },
    /// All open connections have been reported.
    StateSyncComplete,
    /// Another planner decides: all that was reported is void.
    Unfollow,
    /// An open connection that the planner does not know yet.
    OpenConnection {
        /// The forwarder's id of the request.
        id: u64,
        /// What the request asked for.
        request: PlacementRequest,
        /// The host that serves it.
        host: u64,
    },
    /// Asks for a host.
    RequestPlacement {
        /// The forwarder's id of the request.
        id: u64,
        /// What the answer is to bear.
        decision_sequence: u32,
        /// What the request asks for.
        request: PlacementRequest,
        /// What has become of it so far.
        prior_attempts: PriorAttempts,
    },
    /// A connection that the planner placed is open.
    ConnectionEstablished {
        /// The forwarder's id of the request.
        id: u64,
        /// Time from the attempt's start.
        took: Nanos,
    },
    /// An attempt or an open connection ended.
    AttemptEnded {
        /// The forwarder's id of the request.
        id: u64,
        /// What the next answer is to bear.
        decision_sequence: u32,
        /// How it ended.
        outcome: WireOutcome,
        /// Whether the request ended with it.
        request_over: bool,
    },
    /// The load of an open connection.
    LoadMeasured {
        /// The forwarder's id of the request.
        id: u64,
        /// The load.
        load: f64,
    },
    /// The latency of a message to a host.
    MessageLatency {
        /// The host.
        host: u64,
        /// Its latency.
        latency: Nanos,
    },
    /// The client left.
    ClientLeft {
        /// The forwarder's id of the request.
        id: u64,
    },
    /// The forwarder settled the request without this planner, whatever was decided meanwhile.
    RequestClosed {
        /// The forwarder's id of the request.
        id: u64,
    },
}

/// A host of a fallback plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostWeight {
    /// The host.
    pub host: u64,
    /// Its weight, in thousandths of the largest.
    pub weight: u16,
}

/// From a planner to a forwarder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlannerMessage {
    /// Start an attempt.
    StartAttempt {
        /// The forwarder's id of the request.
        id: u64,
        /// The report that this answers.
        decision_sequence: u32,
        /// The host to try.
        host: u64,
        /// How long the host may take.
        time_limit: Nanos,
    },
    /// Reject the request.
    Reject {
        /// The forwarder's id of the request.
        id: u64,
        /// The report that this answers.
        decision_sequence: u32,
        /// When the client may retry.
        retry_after: Nanos,
    },
    /// Fail the request.
    Fail {
        /// The forwarder's id of the request.
        id: u64,
        /// The report that this answers.
        decision_sequence: u32,
    },
    /// Ask the client of an open connection to reconnect.
    Migrate {
        /// The forwarder's id of the request.
        id: u64,
    },
    /// A host is new or has changed.
    Host(HostEntry),
    /// All hosts have been sent.
    HostsComplete {
        /// The version of the endpoint list that they are of.
        list_version: u64,
    },
    /// Where the next requests would go, by weight, and how many may go there while the planner is too slow.
    Plan {
        /// The hosts with their weights.
        hosts: Vec<HostWeight>,
        /// How many requests may go by this plan.
        allowance: u32,
    },
    /// The planner is about to stop.
    ShuttingDown,
}
