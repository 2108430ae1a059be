//! The events that the caller reports to the decision module.

use crate::endpoint::{Endpoint, EndpointUpdate, HostId};
use crate::inherited_state::InheritedState;
use crate::request::{AttemptOutcome, IncomingRequest, PriorAttempts, RequestId};
use crate::settings::BalancerSettings;
use crate::time::Nanos;

/// What has happened, as the caller reports it.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update to the endpoint list has arrived.
    EndpointsUpdated {
        /// What kind of update.
        kind: EndpointUpdate,
        /// The endpoints that it names.
        endpoints: Vec<Endpoint>,
    },
    /// A request has arrived.
    RequestArrived(IncomingRequest),
    /// A request that another node took and could not bring to its answer.
    RequestTakenOver(IncomingRequest, PriorAttempts),
    /// A connection that was open before this node started.
    ConnectionFound(IncomingRequest, HostId),
    /// A connection that the previous process has handed over, and since when it is open.
    ConnectionHandedOver(IncomingRequest, HostId, Nanos),
    /// The attempt in flight for a request has become an open connection.
    ConnectionEstablished {
        /// The request.
        id: RequestId,
        /// How long the set-up took.
        took: Nanos,
    },
    /// An attempt, or the connection that it became, has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// The host of that attempt.
        host: HostId,
        /// Whether the request has its final answer.
        request_over: bool,
        /// How it ended.
        ending: AttemptOutcome,
        /// The host's load report, where one came with it.
        load_metrics: Vec<f64>,
    },
    /// The load of an open connection was measured.
    LoadMeasured {
        /// The request.
        id: RequestId,
        /// As a share of a core.
        load: f64,
    },
    /// The latency of messages at a host was measured.
    MessageLatency {
        /// Which host.
        host: HostId,
        /// How long a message took.
        latency: Nanos,
    },
    /// The client of a request has closed or cancelled.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
    /// A timer of [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    TimerFired {
        /// As given with the action.
        timer: u64,
    },
    /// This node is asked to stop: new connections come to others after `from`, and its clients are
    /// to be gone by `by`.
    ShutdownStarted {
        /// From when clients may be migrated.
        from: Nanos,
        /// By when all are to be gone.
        by: Nanos,
    },
    /// It is to stay after all, and to work as before.
    ShutdownCancelled,
    /// New settings in place of the old, and the indices of classes that replace others. What is in
    /// flight goes by its own class, which is still there, and keeps its attempt count.
    SettingsChanged(Box<BalancerSettings>, Vec<usize>),
    /// Another process replaces this one: it has this one's state, and takes the clients; or has
    /// gone again.
    SuccessorChanged(bool),
    /// What the previous process has learned.
    StateInherited(Box<InheritedState>),
    /// A probe has ended.
    ProbeEnded {
        /// Which host was probed.
        host: HostId,
        /// How it ended.
        ending: AttemptOutcome,
        /// The load report.
        load_metrics: Vec<f64>,
    },
    /// Whose slow-start slots this node may use from now on, and how much of each.
    SlowStartSlotsAssigned(Vec<(u32, f64)>),
    /// The hosts that this node is to probe from now on, each in each round.
    ProbeTargetsAssigned(Vec<HostId>),
    /// Another node's message, as it came.
    GossipReceived {
        /// The bytes.
        message: Vec<u8>,
    },
}

impl Event {
    /// The request that is already known and that the event is about.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Event::ConnectionEstablished { id, .. }
            | Event::AttemptEnded { id, .. }
            | Event::LoadMeasured { id, .. }
            | Event::ClientLeft { id } => Some(*id),
            _ => None,
        }
    }

    /// The host that the event names.
    pub fn host(&self) -> Option<HostId> {
        match self {
            Event::ConnectionFound(_, host) | Event::ConnectionHandedOver(_, host, _) => {
                Some(*host)
            }
            Event::AttemptEnded { host, .. }
            | Event::MessageLatency { host, .. }
            | Event::ProbeEnded { host, .. } => Some(*host),
            _ => None,
        }
    }
}
