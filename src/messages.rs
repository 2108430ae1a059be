//! The messages that the components of a balancer exchange while it handles one event. They are
//! handled in the order in which they were sent, after the event that caused them, so that no
//! component sees another one in the middle of a change.

use crate::connection::Connection;
use crate::endpoint::{Endpoint, EndpointUpdate, HostId};
use crate::inherited_state::{HostSnapshot, InheritedState};
use crate::request::{AttemptOutcome, IncomingRequest};
use crate::time::Nanos;
use std::collections::VecDeque;

/// The messages that have not been handled yet, the oldest first.
pub(crate) type MessageQueue = VecDeque<Message>;

/// A message, by the component that handles it.
pub(crate) enum Message {
    /// For the record of the host with this index.
    Host(usize, HostMessage),
    /// For the request table and the components that act on requests.
    Request(RequestMessage),
    /// For the weight optimizer: a placement by the weight vector with this index was evaluated.
    PlacementEvaluated {
        vector: usize,
        load_spread: f64,
        longest_remaining: f64,
    },
    /// For the connection history.
    History(HistoryMessage),
    /// For the endpoint poller.
    Poller(PollerMessage),
}

/// An event at one host.
pub(crate) enum HostMessage {
    Listed {
        endpoint: Endpoint,
        /// Whether the entry is in the first list that this node has received.
        first_list: bool,
    },
    Unlisted,
    /// An attempt was started, or an open connection was found.
    ConnectionAdded(Connection),
    ConnectionEstablished {
        slot: usize,
        took: Nanos,
    },
    ConnectionEnded {
        slot: usize,
        outcome: AttemptOutcome,
    },
    /// Another host has accepted a request that failed with an error at this one.
    ErrorConfirmed,
    LoadMeasured {
        slot: usize,
        load: f64,
    },
    MessageLatency(Nanos),
    /// The host has reported this many seconds of queued work.
    BacklogReported(f64),
    /// The host itself, or the gossip of another node, has reported the host's load.
    LoadReported {
        load: f64,
        from_gossip: bool,
    },
    SnapshotInherited(Box<HostSnapshot>),
    /// The length of slow-start slots has changed, and with it the number of the current slot.
    SlotLengthChanged,
    /// The placements of connections that have been open for a look-ahead step are to be evaluated.
    EvaluatePlacements {
        mean_load: f64,
    },
    /// A probe of the host is due.
    Probe,
    /// Whether this node probes the host from now on.
    ProbeAssigned(bool),
    Tick {
        mean_load: f64,
        healthy_share: f64,
    },
}

/// An event at a request or at the node as a whole.
pub(crate) enum RequestMessage {
    Arrived(IncomingRequest),
    TakenOver {
        incoming: IncomingRequest,
        attempts: u32,
        /// The index of the host of the first attempt that may have run, and when that attempt was
        /// sent.
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
    /// An open connection is to be closed so that its client reconnects to another host or node.
    Migrate {
        slot: usize,
    },
    /// The host of a connection delivered messages late, or in time, when the connection was
    /// migrated or its placement was evaluated.
    LatencyObserved {
        late: bool,
    },
    /// Gossip was sent; `bytes` is the total over all receivers.
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

/// An update of the connection history.
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

/// An update of the endpoint poller.
pub(crate) enum PollerMessage {
    Updated(EndpointUpdate),
    Tick,
}
