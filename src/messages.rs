//! The messages that the parts of a balancer send each other while it handles one event. They are
//! handled in the order in which they are sent, after the event that caused them: so no part sees
//! another in the middle of a change.

use crate::connection::Connection;
use crate::endpoint::{Endpoint, EndpointUpdate, HostId};
use crate::inherited_state::{HostSnapshot, InheritedState};
use crate::request::{AttemptOutcome, IncomingRequest};
use crate::time::Nanos;
use std::collections::VecDeque;

/// Messages that wait to be handled.
pub(crate) type MessageQueue = VecDeque<Message>;

/// A message, by the part that handles it.
pub(crate) enum Message {
    /// To the record of one host, by its index.
    Host(usize, HostMessage),
    /// To the request table and the parts around it.
    Request(RequestMessage),
    /// To the weight optimizer.
    PlacementEvaluated {
        vector: usize,
        load_spread: f64,
        longest_remaining: f64,
    },
    /// To the connection history.
    History(HistoryMessage),
    /// To the endpoint poller.
    Poller(PollerMessage),
}

/// What happens to one host.
pub(crate) enum HostMessage {
    Listed {
        endpoint: Endpoint,
        /// It is in the first list that this node has received.
        first_list: bool,
    },
    Unlisted,
    /// An attempt was started, or an open connection found.
    ConnectionAdded(Connection),
    ConnectionEstablished {
        slot: usize,
        took: Nanos,
    },
    ConnectionEnded {
        slot: usize,
        outcome: AttemptOutcome,
    },
    /// Another host has taken a request that this one failed.
    ErrorConfirmed,
    LoadMeasured {
        slot: usize,
        load: f64,
    },
    MessageLatency(Nanos),
    /// Seconds of queued work.
    BacklogReported(f64),
    /// By the host itself, or in another node's gossip.
    LoadReported {
        load: f64,
        from_gossip: bool,
    },
    SnapshotInherited(Box<HostSnapshot>),
    /// Slow-start slots have another length, and so other numbers, from now on.
    SlotLengthChanged,
    /// Connections that have been open for a step are evaluated.
    EvaluatePlacements {
        mean_load: f64,
    },
    Probe,
    /// Whether this node is to probe it.
    ProbeAssigned(bool),
    Tick {
        mean_load: f64,
        healthy_share: f64,
    },
}

/// What happens to requests, and to the node as a whole.
pub(crate) enum RequestMessage {
    Arrived(IncomingRequest),
    TakenOver {
        incoming: IncomingRequest,
        attempts: u32,
        /// The host of the first attempt that may have run, and when that was sent.
        may_have_run: Option<(usize, Nanos)>,
        tried_hosts: Vec<usize>,
    },
    ConnectionFound {
        incoming: IncomingRequest,
        host: usize,
        since: Nanos,
    },
    ConnectionEstablished {
        slot: usize,
    },
    AttemptEnded {
        slot: usize,
        request_over: bool,
        outcome: AttemptOutcome,
    },
    ClientLeft {
        slot: usize,
    },
    /// The client of an open connection is to be sent to another host or node.
    Migrate {
        slot: usize,
    },
    /// A connection has met late messages at its host, or none in its first step.
    LatencyObserved {
        late: bool,
    },
    /// Gossip of that many bytes, over all receivers, was sent.
    GossipSent {
        bytes: f64,
    },
    ShutdownStarted {
        from: Nanos,
        by: Nanos,
    },
    ShutdownCancelled,
    MigrationTimer,
    SuccessorChanged(bool),
    StateInherited(Box<InheritedState>),
    Tick,
}

/// Updates of the connection history.
pub(crate) enum HistoryMessage {
    ConnectionEnded {
        key: Option<u64>,
        duration: Nanos,
    },
    FinalLoad {
        key: Option<u64>,
        load: f64,
    },
    LoadMeasured {
        class: usize,
        load: f64,
    },
    SetupEnded {
        host: HostId,
        took: Nanos,
        timed_out: bool,
    },
    ClassesChanged {
        count: usize,
        replaced: Vec<usize>,
    },
    StateInherited(Box<InheritedState>),
    Tick {
        open_requests: f64,
    },
}

/// Updates of the endpoint poller.
pub(crate) enum PollerMessage {
    Updated(EndpointUpdate),
    Tick,
}
